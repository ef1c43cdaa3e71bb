"""One client connection: it reads requests, and writes their answers in the order of the requests."""

from collections import deque
from typing import TYPE_CHECKING

from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from ternquay.net import meta
from ternquay.net.dispatcher import IncomingTx
from ternquay.net.driver import Driver
from ternquay.net.flow import Flow
from ternquay.net.limits import MS
from ternquay.net.request_deadline import RequestDeadline
from ternquay.net.safety import CloseReason, RequestRefusal, may_close

if TYPE_CHECKING:
    from ternquay.net.frontend import Frontend

OVERDUE = b"CLIENT_ERROR request was not whole in time"
UNREAD_NOTICED = 100 * MS  # bytes that waited no longer than this to be read count as read when they came
CATCH_UP = 100 * MS  # from a late read on, more of the same counts as having waited like that; else the system is asked
BLOCKED = 16 << 10  # bytes read at once: a client that wrote as much may have been kept from writing more
GO_ON = 500 * MS  # for such a one to write more


class Owed:
    """One answer that a client waits for, in its place among the others."""

    __slots__ = ("client", "command", "counted", "dispatcher", "flow", "text", "tx")

    def __init__(self, client: "ClientConnection", command: meta.Command) -> None:
        self.client, self.command, self.dispatcher = client, command, client.frontend.dispatcher
        self.text: bytes | None = None
        self.flow: Flow | None = None  # the value that is its answer, as it comes
        self.tx = -1
        self.counted = False  # for whoever counts what its client has open

    def commit(self, answer: bytes | Flow) -> None:
        if isinstance(answer, Flow):
            self.flow, answer.sink = answer, self.client.flush
            self.put(meta.begun(self.command, answer.length))
        else:
            self.put(meta.committed(self.command, answer))

    def roll_back(self, wait: int) -> None:
        self.put(meta.rolled_back(wait // MS))

    def id(self) -> str:
        """The request's id, as its client gave it."""
        return self.command.id.decode("latin-1")

    def abandon(self) -> None:
        self.put(meta.ABANDONED)

    def has_left(self) -> bool:
        return self.client.ended or self.client.peer_closed()

    def put(self, text: bytes) -> None:
        if not self.client.frontend.safety.may_answer(self.text is not None, self.id):
            return
        self.text = text
        self.client.owes_less(self)
        if self.client.pours is self:
            self.client.swallow()
        if not self.client.reading:
            self.client.flush()


@implementer(IPullProducer)
class ClientConnection(Driver):
    """Thin driver of one client connection. As its transport's pull producer it learns when all is out."""

    frontend: "Frontend"

    def __init__(self, frontend: "Frontend") -> None:
        self.frontend = frontend
        self.machine = meta.ClientSide(
            frontend.limits.line_bytes, frontend.limits.value_bytes, frontend.limits.stream_above_bytes
        )
        self.owed: deque[Owed | bytes] = deque()  # bytes: an answer that needed no transaction
        self.crowded = self.closing = self.ended = self.reading = self.answered = False
        self.queued = 0  # bytes that the system has not taken yet
        self.untaken_since = 0  # since when it was seen that none of those are taken; 0: not looked at
        self.taken_before = 0  # bytes that the system had taken at the last look
        self.owing = 0  # those of them that count against the room of all: a large value is held back instead
        self.pours: Owed | None = None  # whose large value is coming in
        self.coming: Flow | None = None  # and that value
        self.kept = 0  # bytes of a command that is not whole
        self.moved = 0  # when bytes last went either way
        self.made = 0  # when it came
        self.turn = 0  # in which it was accepted
        self.since = 0  # since when its first bytes may have waited, until they are read
        self.catch_up_until = 0  # what is read until then had waited, and
        self.last_came = 0  # the last of it came then
        self.deadline = RequestDeadline()
        self.arrived = 0  # bytes that the deadline has not been told of
        self.held_since = 0  # since when reading is held back
        self.closes_for = CloseReason.MALFORMED  # why it is closed once all that it is owed is written

    def connectionMade(self) -> None:
        super().connectionMade()
        self.transport.registerProducer(self, False)
        self.frontend.client_connected(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.ended = self.transport_closed = True
        self.frontend.client_disconnected(self)
        self.frontend.sockets.descriptor_freed(self)
        owed, self.owed = self.owed, deque()
        for one in owed:
            if isinstance(one, Owed) and one.flow is not None:
                one.flow.leave()
            elif isinstance(one, Owed) and one.text is None:
                one.dispatcher.client_gone(one.tx)

    def rawDataReceived(self, data: bytes) -> None:
        if self.ended or self.closing:
            return
        self.arrived += len(data)
        self.frontend.mark_busy(self)
        self.read(self.machine.feed(data))

    def read(self, items: "list[meta.Item]") -> None:
        """Takes what was read, and writes what is answered by then."""
        self.reading = True
        if items or not self.machine.unproven():
            self.frontend.awaiting_first_command.pop(self, None)
        for item in items:
            if isinstance(item, meta.Command):
                self.taken(item)
            elif isinstance(item, meta.Hello):
                self.owed.append(self.frontend.noop_answer)
            elif isinstance(item, meta.Piece):
                if self.coming is not None:
                    self.coming.offer(item.data)
            elif isinstance(item, meta.Finish):
                self.came()
            elif isinstance(item, meta.Over):
                self.owed.append(meta.rolled_back(item.wait // MS))
            else:
                self.bad(item)
        self.reading = False
        self.moved = self.frontend.dispatcher.now()
        self.keep()
        self.expect_more()
        self.since = 0
        self.flush()

    def expect_more(self) -> None:
        """Begins or ends the time in which the request that is not whole has to be."""
        arrived, self.arrived = self.arrived, 0
        if self.machine.quiet() and self.deadline.due() is None:
            return  # as most of the time: all that came was whole
        position = self.machine.position()
        self.deadline.read(self.moved - self.lay_unread(position == self.deadline.position), position, arrived)
        if self.moved < self.catch_up_until and arrived >= BLOCKED:
            # The system may have had no room for more: whoever was kept from writing is given a moment to go on.
            self.deadline.spare(self.moved + GO_ON)
        self.frontend.deadline_changed(self)

    def lay_unread(self, goes_on: bool) -> int:
        """How long the last of what was read now had waited for that: before it was accepted, or in a process that was
        busy or stopped. The loop knows the most that it can be; the system, asked where that is long, how long it was.
        `goes_on`: it belongs to the same part of a request as what was read before.
        """
        if self.moved < self.catch_up_until:
            most = self.moved - self.last_came
            return most if goes_on else min(most, self.receive_idle_ns())
        most = self.frontend.loop_timing.max_unread_time(self.moved, self.first_since())
        waited = min(most, self.receive_idle_ns()) if most > UNREAD_NOTICED else 0
        if waited > UNREAD_NOTICED:
            # Much that has waited is read in many turns of the loop, of which only the first came late.
            self.last_came, self.catch_up_until = self.moved - waited, self.moved + CATCH_UP
        return waited

    def overdue(self, now: int) -> bool:
        """Whether a request has begun to arrive and is not whole in its time, through no doing of ours."""
        due = self.deadline.due()
        if due is None or now < due or self.ended or self.closing or self.held_by_us():
            return False
        # After a stop of the process, or a long turn, this comes before the reading of what came meanwhile.
        return may_close(CloseReason.REQUEST_OVERDUE, owing=False, unread=self.has_unread_bytes())

    def held_by_us(self) -> bool:
        """Whether it is not read for now, so that its request can't become whole."""
        return self.reading_paused

    def end_request(self, reason: CloseReason = CloseReason.REQUEST_OVERDUE) -> None:
        """Its request was not whole in time: an error in its place behind the answers that are owed, and the close."""
        self.closes_for = reason
        self.bad(meta.Bad(OVERDUE, fatal=True))
        self.flush()

    def bad(self, item: meta.Bad) -> None:
        self.closing = self.closing or item.fatal
        owed = self.pours
        if owed is None or owed.text is not None:
            self.owed.append(item.line + b"\r\n")
            return
        # A large value that does not end where it should: what was passed on of it is cut off, and never whole.
        owed.dispatcher.client_gone(owed.tx)
        owed.put(item.line + b"\r\n")

    def hold(self, back: bool) -> None:
        """The cache host takes a large value more slowly than it comes, or goes on."""
        if self.ended:
            return
        self.moved = self.frontend.dispatcher.now()
        self.hold_reading(back)
        self.catch_up_until = 0  # what comes after this has waited for us
        if back:
            self.held_since = self.moved
        else:
            self.deadline.extend(self.moved - self.held_since)

    def came(self) -> None:
        """The last byte of a large value."""
        owed, flow = self.pours, self.coming
        self.pours = self.coming = None
        if owed is not None and flow is not None:
            owed.dispatcher.tx_fully_received(owed.tx)
            flow.finish()

    def swallow(self) -> None:
        """What still comes of a large value is read and dropped: its transaction has its answer."""
        flow, self.pours, self.coming = self.coming, None, None
        if flow is not None:
            flow.leave()

    def keep(self) -> None:
        """Counts what is kept unread."""
        self.frontend.buffered_bytes += len(self.machine.buffer) - self.kept
        self.kept = len(self.machine.buffer)
        if self.frontend.buffered_bytes > self.frontend.limits.buffered_bytes:
            self.frontend.relieve_buffers(self)

    def taken(self, command: meta.Command) -> None:
        owed = Owed(self, command)
        self.owed.append(owed)
        if command.length:
            self.pours, self.coming = owed, Flow(command.length, self.frontend.limits.chunk_bytes, self.hold)
        now, loop_timing = self.frontend.dispatcher.now(), self.frontend.loop_timing
        # Against more than there is time for: all that is taken makes all else late, past its hard limit too.
        late = loop_timing.is_overrun(now)
        if late:
            self.frontend.dispatcher.log(
                "WARNING", "short of CPU: what comes late in a turn of the loop is rolled back"
            )
        why = self.no_room(late)
        if why is not None:
            self.frontend.safety.record_request_refusal(why, owed.id)
            owed.roll_back(self.frontend.dispatcher.jittered(self.frontend.limits.retry_after))
            return
        self.arrives(command, owed, loop_timing.max_unread_time(now, self.first_since()))

    def no_room(self, late: bool) -> RequestRefusal | None:
        """Why a request is refused before the decisions are asked."""
        if self.crowded:
            return RequestRefusal.CROWDED
        if len(self.owed) > self.frontend.limits.pipelined:
            return RequestRefusal.PIPELINED
        return RequestRefusal.LATE_TURN if late else None

    def arrives(self, command: meta.Command, owed: Owed, unread: int) -> None:
        names, left = command.names, max(0, command.ttl_ms * MS - unread)
        arrival = IncomingTx(
            names["c"],
            self.share(command),
            command.key.decode("latin-1"),
            left,
            names.get("r") == "1",
            command.write,
            command,
            self.coming,
            unread,
        )
        owed.tx = self.frontend.dispatcher.tx_arrived(arrival, owed)
        if owed.tx < 0:
            owed.put(b"CLIENT_ERROR unknown profile\r\n")

    def first_since(self) -> int:
        """Since when its first bytes may have waited, 0 for no longer than any others."""
        # What came before it was accepted is readable at the very next poll: a client that writes later has not waited.
        return self.since if self.frontend.loop_timing.iteration <= self.turn + 1 else 0

    def share(self, command: meta.Command) -> str:
        """The name of the share of whoever asks."""
        return command.names.get("tenant", "")

    def owes_less(self, owed: Owed) -> None:
        """One more is answered, though maybe not written yet."""

    def flush(self) -> None:
        """Writes what is answered, up to the first that is not."""
        while self.owed and not self.ended:
            first = self.owed[0]
            text = first if isinstance(first, bytes) else first.text
            if text is None:
                return
            if isinstance(first, Owed) and first.flow is not None:
                if not self.pass_on(first, first.flow):
                    return
                text = b"\r\n"
            self.owed.popleft()
            self.answered = True
            self.write(text)
        if not self.ended:
            if self.closing:
                self.close(self.closes_for)
            else:
                self.frontend.mark_idle(self)

    def pass_on(self, owed: Owed, flow: Flow) -> bool:
        """Writes what has come of a large value, once the system has taken the last of it; whether that is all."""
        if flow.broken:
            # Short of its length, so that nobody takes it for whole.
            self.close(CloseReason.VALUE_BROKEN)
            return False
        if owed.text:
            self.queue(owed.text)
            owed.text = b""
            return False
        if self.queued:
            return False
        data = flow.take()
        if data:
            self.queue(data)
        else:
            flow.taken()
        return flow.over()

    def queue(self, data: bytes) -> None:
        self.queued += len(data)
        self.moved = self.frontend.dispatcher.now()
        self.transport.write(data)

    def write(self, text: bytes) -> None:
        self.queued += len(text)
        self.owing += len(text)
        self.frontend.queued_bytes += len(text)
        self.moved = self.frontend.dispatcher.now()
        if self.queued > self.frontend.limits.queued_bytes:
            self.abort(CloseReason.ANSWERS_UNREAD)
        elif self.frontend.queued_bytes > self.frontend.limits.buffered_bytes:
            self.abort(CloseReason.MEMORY)
        else:
            self.transport.write(text)

    def owed_ids(self) -> list[str]:
        """The requests that were read and wait for their answers."""
        return [one.id() for one in self.owed if isinstance(one, Owed) and one.text is None]

    def close(self, reason: CloseReason) -> None:
        """Ends the connection once what is written has been taken."""
        if not self.ended:
            self.frontend.safety.record_client_close(reason, self.owed_ids())
            self.ended = True
            self.close_after_write()

    def abort(self, reason: CloseReason) -> None:
        """Ends the connection at once, with what is queued on it."""
        if not self.ended:
            self.frontend.safety.record_client_close(reason, self.owed_ids())
        self.ended = True
        self.transport.abortConnection()

    def resumeProducing(self) -> None:
        """The system has taken all answers written so far."""
        if self.queued:
            self.frontend.queued_bytes -= self.owing
            self.queued = self.owing = self.untaken_since = 0
            self.moved = self.frontend.dispatcher.now()
            first = self.owed[0] if self.owed else None
            if isinstance(first, Owed) and first.flow is not None:
                self.flush()
            else:
                self.frontend.mark_idle(self)

    def stopProducing(self) -> None:
        pass

    def stalled(self) -> bool:
        """It takes none of its answers, or is held back from a request that gets nowhere."""
        now = self.frontend.dispatcher.now()
        if self.queued:
            return self.untaken(now) > self.frontend.limits.stall_timeout
        half = self.ended or (self.reading_paused and not self.machine.quiet())
        return half and now - self.moved > self.frontend.limits.stall_timeout

    def untaken(self, now: int) -> int:
        """For how long the system has taken none of what is queued. What is read or queued meanwhile is no progress."""
        taken = self.transport.taken
        if not self.untaken_since or taken != self.taken_before or self.frontend.loop_timing.process_stalled(now):
            self.untaken_since, self.taken_before = now, taken
        return now - self.untaken_since
