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
from ternquay.net.limits import MS
from ternquay.net.request_deadline import RequestDeadline
from ternquay.net.safety import CloseReason, RequestRefusal, may_close
from ternquay.net.value_stream import ValueStream

if TYPE_CHECKING:
    from ternquay.net.frontend import Frontend

OVERDUE_ANSWER = b"CLIENT_ERROR request was not whole in time"
MIN_UNREAD_NS = 100 * MS  # bytes that waited no longer than this to be read count as read when they came
CATCH_UP_NS = (
    100 * MS
)  # from a late read on, more of the same counts as having waited like that; else the system is asked
FULL_READ_BYTES = 16 << 10  # bytes read at once: a client that wrote as much may have been kept from writing more
RESUME_GRACE_NS = 500 * MS  # for such a one to write more


class PendingAnswer:
    """One answer that a client waits for, in its place among the others."""

    __slots__ = ("client", "command", "counted_open", "dispatcher", "stream", "answer", "tx")

    def __init__(self, client: "ClientConnection", command: meta.Command) -> None:
        self.client, self.command, self.dispatcher = client, command, client.frontend.dispatcher
        self.answer: bytes | None = None
        self.stream: ValueStream | None = None  # the value that is its answer, as it comes
        self.tx = -1
        self.counted_open = False  # for whoever counts what its client has open

    def commit(self, answer: bytes | ValueStream) -> None:
        if isinstance(answer, ValueStream):
            self.stream, answer.on_data = answer, self.client.flush
            self.set_answer(meta.value_header(self.command, answer.length))
        else:
            self.set_answer(meta.committed(self.command, answer))

    def roll_back(self, wait: int) -> None:
        self.set_answer(meta.rolled_back(wait // MS))

    def id(self) -> str:
        """The request's id, as its client gave it."""
        return self.command.id.decode("latin-1")

    def abandon(self) -> None:
        self.set_answer(meta.ABANDONED)

    def has_left(self) -> bool:
        return self.client.ended or self.client.peer_closed()

    def set_answer(self, text: bytes) -> None:
        if not self.client.frontend.safety.may_answer(self.answer is not None, self.id):
            return
        self.answer = text
        self.client.answer_ready(self)
        if self.client.streaming is self:
            self.client.discard_value()
        if not self.client.in_read:
            self.client.flush()


@implementer(IPullProducer)
class ClientConnection(Driver):
    """Thin driver of one client connection. As its transport's pull producer it learns when all is out."""

    frontend: "Frontend"

    def __init__(self, frontend: "Frontend") -> None:
        self.frontend = frontend
        self.parser = meta.RequestParser(
            frontend.limits.line_bytes, frontend.limits.value_bytes, frontend.limits.stream_above_bytes
        )
        self.pending: deque[PendingAnswer | bytes] = deque()  # bytes: an answer that needed no transaction
        self.over_limit = self.closing = self.ended = self.in_read = self.answered = False
        self.queued_bytes = 0  # bytes that the system has not taken yet
        self.unsent_since = 0  # since when it was seen that none of those are taken; 0: not looked at
        self.sent_before = 0  # bytes that the system had taken at the last look
        self.counted_bytes = 0  # those of them that count against the room of all: a large value is held back instead
        self.streaming: PendingAnswer | None = None  # whose large value is coming in
        self.incoming: ValueStream | None = None  # and that value
        self.buffered_bytes = 0  # bytes of a command that is not whole
        self.last_activity = 0  # when bytes last went either way
        self.accepted_at = 0  # when it came
        self.accepted_iteration = 0  # in which it was accepted
        self.readable_since = 0  # since when its first bytes may have waited, until they are read
        self.catch_up_until = 0  # what is read until then had waited, and
        self.last_arrival = 0  # the last of it came then
        self.deadline = RequestDeadline()
        self.unreported_bytes = 0  # bytes that the deadline has not been told of
        self.held_since = 0  # since when reading is held back
        self.close_reason = CloseReason.MALFORMED  # why it is closed once all that it is owed is written

    def connectionMade(self) -> None:
        super().connectionMade()
        self.transport.registerProducer(self, False)
        self.frontend.client_connected(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.ended = self.transport_closed = True
        self.frontend.client_disconnected(self)
        self.frontend.sockets.descriptor_freed(self)
        owed, self.pending = self.pending, deque()
        for one in owed:
            if isinstance(one, PendingAnswer) and one.stream is not None:
                one.stream.discard()
            elif isinstance(one, PendingAnswer) and one.answer is None:
                one.dispatcher.client_gone(one.tx)

    def rawDataReceived(self, data: bytes) -> None:
        if self.ended or self.closing:
            return
        self.unreported_bytes += len(data)
        self.frontend.mark_busy(self)
        self.handle_items(self.parser.feed(data))

    def handle_items(self, items: "list[meta.RequestItem]") -> None:
        """Takes what was read, and writes what is answered by then."""
        self.in_read = True
        if items or not self.parser.awaits_no_value():
            self.frontend.awaiting_first_command.pop(self, None)
        for item in items:
            if isinstance(item, meta.Command):
                self.accept_command(item)
            elif isinstance(item, meta.NoOp):
                self.pending.append(self.frontend.noop_answer)
            elif isinstance(item, meta.ValueChunk):
                if self.incoming is not None:
                    self.incoming.feed(item.data)
            elif isinstance(item, meta.ValueEnd):
                self.value_received()
            elif isinstance(item, meta.OverLimit):
                self.pending.append(meta.rolled_back(item.wait // MS))
            else:
                self.answer_error(item)
        self.in_read = False
        self.last_activity = self.frontend.dispatcher.now()
        self.count_buffered()
        self.update_deadline()
        self.readable_since = 0
        self.flush()

    def update_deadline(self) -> None:
        """Begins or ends the time in which the request that is not whole has to be."""
        arrived, self.unreported_bytes = self.unreported_bytes, 0
        if self.parser.is_idle() and self.deadline.due_at() is None:
            return  # as most of the time: all that came was whole
        position = self.parser.position()
        self.deadline.record_read(
            self.last_activity - self.unread_time(position == self.deadline.position), position, arrived
        )
        if self.last_activity < self.catch_up_until and arrived >= FULL_READ_BYTES:
            # The system may have had no room for more: whoever was kept from writing is given a moment to go on.
            self.deadline.defer_until(self.last_activity + RESUME_GRACE_NS)
        self.frontend.deadline_changed(self)

    def unread_time(self, goes_on: bool) -> int:
        """How long the last of what was read now had waited for that: before it was accepted, or in a process that was
        busy or stopped. The loop knows the most that it can be; the system, asked where that is long, how long it was.
        `goes_on`: it belongs to the same part of a request as what was read before.
        """
        if self.last_activity < self.catch_up_until:
            most = self.last_activity - self.last_arrival
            return most if goes_on else min(most, self.receive_idle_ns())
        most = self.frontend.loop_timing.max_unread_time(self.last_activity, self.first_byte_since())
        waited = min(most, self.receive_idle_ns()) if most > MIN_UNREAD_NS else 0
        if waited > MIN_UNREAD_NS:
            # Much that has waited is read in many turns of the loop, of which only the first came late.
            self.last_arrival, self.catch_up_until = self.last_activity - waited, self.last_activity + CATCH_UP_NS
        return waited

    def is_overdue(self, now: int) -> bool:
        """Whether a request has begun to arrive and is not whole in its time, through no doing of ours."""
        due = self.deadline.due_at()
        if due is None or now < due or self.ended or self.closing or self.reading_held():
            return False
        # After a stop of the process, or a long turn, this comes before the reading of what came meanwhile.
        return may_close(CloseReason.REQUEST_OVERDUE, owes_answer=False, unread=self.has_unread_bytes())

    def reading_held(self) -> bool:
        """Whether it is not read for now, so that its request can't become whole."""
        return self.reading_paused

    def fail_request(self, reason: CloseReason = CloseReason.REQUEST_OVERDUE) -> None:
        """Its request was not whole in time: an error in its place behind the answers that are owed, and the close."""
        self.close_reason = reason
        self.answer_error(meta.InvalidCommand(OVERDUE_ANSWER, fatal=True))
        self.flush()

    def answer_error(self, item: meta.InvalidCommand) -> None:
        self.closing = self.closing or item.fatal
        owed = self.streaming
        if owed is None or owed.answer is not None:
            self.pending.append(item.line + b"\r\n")
            return
        # A large value that does not end where it should: what was passed on of it is cut off, and never whole.
        owed.dispatcher.client_gone(owed.tx)
        owed.set_answer(item.line + b"\r\n")

    def hold_stream(self, back: bool) -> None:
        """The cache host takes a large value more slowly than it comes, or goes on."""
        if self.ended:
            return
        self.last_activity = self.frontend.dispatcher.now()
        self.hold_reading(back)
        self.catch_up_until = 0  # what comes after this has waited for us
        if back:
            self.held_since = self.last_activity
        else:
            self.deadline.extend(self.last_activity - self.held_since)

    def value_received(self) -> None:
        """The last byte of a large value."""
        owed, stream = self.streaming, self.incoming
        self.streaming = self.incoming = None
        if owed is not None and stream is not None:
            owed.dispatcher.tx_fully_received(owed.tx)
            stream.finish()

    def discard_value(self) -> None:
        """What still comes of a large value is read and dropped: its transaction has its answer."""
        stream, self.streaming, self.incoming = self.incoming, None, None
        if stream is not None:
            stream.discard()

    def count_buffered(self) -> None:
        """Counts what is kept unread."""
        self.frontend.buffered_bytes += len(self.parser.buffer) - self.buffered_bytes
        self.buffered_bytes = len(self.parser.buffer)
        if self.frontend.buffered_bytes > self.frontend.limits.buffered_bytes:
            self.frontend.relieve_buffers(self)

    def accept_command(self, command: meta.Command) -> None:
        owed = PendingAnswer(self, command)
        self.pending.append(owed)
        if command.stream_length:
            self.streaming, self.incoming = (
                owed,
                ValueStream(command.stream_length, self.frontend.limits.chunk_bytes, self.hold_stream),
            )
        now, loop_timing = self.frontend.dispatcher.now(), self.frontend.loop_timing
        # Against more than there is time for: all that is taken makes all else late, past its hard limit too.
        late = loop_timing.is_overrun(now)
        if late:
            self.frontend.dispatcher.log(
                "WARNING", "short of CPU: what comes late in a turn of the loop is rolled back"
            )
        why = self.refusal(late)
        if why is not None:
            self.frontend.safety.record_request_refusal(why, owed.id)
            owed.roll_back(self.frontend.dispatcher.jittered(self.frontend.limits.retry_after))
            return
        self.begin_transaction(command, owed, loop_timing.max_unread_time(now, self.first_byte_since()))

    def refusal(self, late: bool) -> RequestRefusal | None:
        """Why a request is refused before the decisions are asked."""
        if self.over_limit:
            return RequestRefusal.CROWDED
        if len(self.pending) > self.frontend.limits.pipelined:
            return RequestRefusal.PIPELINED
        return RequestRefusal.LATE_TURN if late else None

    def begin_transaction(self, command: meta.Command, owed: PendingAnswer, unread: int) -> None:
        names, left = command.params, max(0, command.ttl_ms * MS - unread)
        arrival = IncomingTx(
            names["c"],
            self.share_name(command),
            command.key.decode("latin-1"),
            left,
            names.get("r") == "1",
            command.is_write,
            command,
            self.incoming,
            unread,
        )
        owed.tx = self.frontend.dispatcher.tx_arrived(arrival, owed)
        if owed.tx < 0:
            owed.set_answer(b"CLIENT_ERROR unknown profile\r\n")

    def first_byte_since(self) -> int:
        """Since when its first bytes may have waited, 0 for no longer than any others."""
        # What came before it was accepted is readable at the very next poll: a client that writes later has not waited.
        return self.readable_since if self.frontend.loop_timing.iteration <= self.accepted_iteration + 1 else 0

    def share_name(self, command: meta.Command) -> str:
        """The name of the share of whoever asks."""
        return command.params.get("tenant", "")

    def answer_ready(self, owed: PendingAnswer) -> None:
        """One more is answered, though maybe not written yet."""

    def flush(self) -> None:
        """Writes what is answered, up to the first that is not."""
        while self.pending and not self.ended:
            first = self.pending[0]
            text = first if isinstance(first, bytes) else first.answer
            if text is None:
                return
            if isinstance(first, PendingAnswer) and first.stream is not None:
                if not self.write_stream(first, first.stream):
                    return
                text = b"\r\n"
            self.pending.popleft()
            self.answered = True
            self.write_answer(text)
        if not self.ended:
            if self.closing:
                self.close(self.close_reason)
            else:
                self.frontend.mark_idle(self)

    def write_stream(self, owed: PendingAnswer, stream: ValueStream) -> bool:
        """Writes what has come of a large value, once the system has taken the last of it; whether that is all."""
        if stream.aborted:
            # Short of its length, so that nobody takes it for whole.
            self.close(CloseReason.VALUE_BROKEN)
            return False
        if owed.answer:
            self.write_chunk(owed.answer)
            owed.answer = b""
            return False
        if self.queued_bytes:
            return False
        data = stream.take()
        if data:
            self.write_chunk(data)
        else:
            stream.mark_written()
        return stream.all_taken()

    def write_chunk(self, data: bytes) -> None:
        self.queued_bytes += len(data)
        self.last_activity = self.frontend.dispatcher.now()
        self.transport.write(data)

    def write_answer(self, text: bytes) -> None:
        self.queued_bytes += len(text)
        self.counted_bytes += len(text)
        self.frontend.queued_bytes += len(text)
        self.last_activity = self.frontend.dispatcher.now()
        if self.queued_bytes > self.frontend.limits.queued_bytes:
            self.abort(CloseReason.ANSWERS_UNREAD)
        elif self.frontend.queued_bytes > self.frontend.limits.buffered_bytes:
            self.abort(CloseReason.MEMORY)
        else:
            self.transport.write(text)

    def pending_ids(self) -> list[str]:
        """The requests that were read and wait for their answers."""
        return [one.id() for one in self.pending if isinstance(one, PendingAnswer) and one.answer is None]

    def close(self, reason: CloseReason) -> None:
        """Ends the connection once what is written has been taken."""
        if not self.ended:
            self.frontend.safety.record_client_close(reason, self.pending_ids())
            self.ended = True
            self.close_after_write()

    def abort(self, reason: CloseReason) -> None:
        """Ends the connection at once, with what is queued on it."""
        if not self.ended:
            self.frontend.safety.record_client_close(reason, self.pending_ids())
        self.ended = True
        self.transport.abortConnection()

    def resumeProducing(self) -> None:
        """The system has taken all answers written so far."""
        if self.queued_bytes:
            self.frontend.queued_bytes -= self.counted_bytes
            self.queued_bytes = self.counted_bytes = self.unsent_since = 0
            self.last_activity = self.frontend.dispatcher.now()
            first = self.pending[0] if self.pending else None
            if isinstance(first, PendingAnswer) and first.stream is not None:
                self.flush()
            else:
                self.frontend.mark_idle(self)

    def stopProducing(self) -> None:
        pass

    def is_stalled(self) -> bool:
        """It takes none of its answers, or is held back from a request that gets nowhere."""
        now = self.frontend.dispatcher.now()
        if self.queued_bytes:
            return self.unsent_for(now) > self.frontend.limits.stall_timeout
        half = self.ended or (self.reading_paused and not self.parser.is_idle())
        return half and now - self.last_activity > self.frontend.limits.stall_timeout

    def unsent_for(self, now: int) -> int:
        """For how long the system has taken none of what is queued. What is read or queued meanwhile is no progress."""
        taken = self.transport.bytes_taken
        if not self.unsent_since or taken != self.sent_before or self.frontend.loop_timing.process_stalled(now):
            self.unsent_since, self.sent_before = now, taken
        return now - self.unsent_since
