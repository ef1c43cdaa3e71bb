"""One client connection: reads requests and writes their answers in the order of the requests."""

from collections import deque
from itertools import islice
from typing import TYPE_CHECKING

from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from ternquay.net import meta
from ternquay.net.dispatcher import KNOWN_REQUEST_ID, UNKNOWN_PROFILE, DelayedCall, IncomingTx, cancel_call
from ternquay.net.driver import Driver
from ternquay.net.limits import MS
from ternquay.net.pending_answer import PendingAnswer, PostponedRequest
from ternquay.net.receive_backlog import ReceiveBacklog
from ternquay.net.request_deadline import RequestDeadline
from ternquay.net.safety import CloseReason, RequestRefusal, may_close
from ternquay.net.send_progress import PATIENT, SHORT, SendProgress
from ternquay.net.value_hold import HoldState
from ternquay.net.value_stream import ValueStream

if TYPE_CHECKING:
    from ternquay.net.frontend import Frontend

UNKNOWN_REQUEST_ID = ""  # of an answer that is queued
OVERDUE_ANSWER = b"CLIENT_ERROR request was not whole in time"
MIN_UNREAD_NS = 100 * MS  # bytes that waited no longer than this to be read count as read on arrival
# For this long after a late read, bytes of the same request part count as equally late; for others the system is asked.
CATCH_UP_NS = 100 * MS
FULL_READ_BYTES = 16 << 10  # a read of this size may mean that a full socket buffer kept the client from writing more
ITEMS_PER_TURN = 200  # handled of one client in one turn of the loop
MAX_PENDING_ANSWERS = 1024  # of one client, before reading from it is paused
RESUME_GRACE_NS = 500 * MS  # time for such a client to write more


@implementer(IPullProducer)
class ClientConnection(Driver):
    """The protocol of one client connection.

    It registers as the transport's pull producer, so that the transport reports when all data was written.
    """

    frontend: "Frontend"

    def __init__(self, frontend: "Frontend") -> None:
        self.frontend = frontend
        self.parser = meta.RequestParser(
            frontend.limits.line_bytes, frontend.limits.value_bytes, frontend.limits.stream_above_bytes
        )
        self.pending: deque[PendingAnswer | bytes] = deque()  # bytes: an answer that needs no transaction
        self.over_limit = self.closing = self.ended = self.in_read = self.answered = False
        self.queued_bytes = 0  # bytes that the operating system has not accepted yet
        self.unsent_answer_bytes = 0  # of these, without those of large values
        self.known_answer_bytes = 0  # of answers that are known and not written yet
        self.send_progress = SendProgress()  # of the queued bytes
        self.streaming: PendingAnswer | None = None  # the request whose large value is arriving
        self.incoming: ValueStream | None = None  # the large value that is arriving
        self.last_activity = 0  # when bytes were last read or written
        self.accepted_at = 0
        self.value_call: DelayedCall | None = None  # the next check of a large value that is held back
        self.backlog = ReceiveBacklog()
        self.unverified: list[PostponedRequest] = []  # read from an old backlog, in order
        self.postponed: list[PostponedRequest] = []  # read behind a value that may break off, in order
        self.pipelines = False  # it has sent a request before it had the answer to another one
        self.seen_at = 0  # when the client was last found connected, with requests to handle
        self.accepted_iteration = 0  # the loop iteration in which it was accepted
        self.readable_since = 0  # the earliest time at which its first bytes may have arrived; 0 once they are read
        self.catch_up_until = 0  # bytes read until this time count as having arrived at `last_arrival`
        self.last_arrival = 0
        self.deadline = RequestDeadline()
        self.unreported_bytes = 0  # bytes that were read but not reported to `deadline`
        self.held_since = 0  # when reading was paused
        self.stream_held = False  # reading is paused for a large value
        self.unparsed = False  # whole items may be buffered, which are handled in a later turn of the loop
        self.continuing = False  # such a turn is scheduled
        self.close_reason = CloseReason.MALFORMED  # for a close after all pending answers are written

    def connectionMade(self) -> None:
        super().connectionMade()
        self.transport.registerProducer(self, False)
        self.read_at_once(self.frontend.limits.read_bytes)
        self.frontend.client_connected(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.ended = self.transport_closed = True
        self.frontend.client_disconnected(self)
        self.frontend.sockets.descriptor_freed(self)
        self.end_pending()

    def end_pending(self) -> None:
        """Ends the transactions whose answers nobody waits for any more."""
        cancel_call(self.value_call)
        pending, self.pending = self.pending, deque()
        for item in pending:
            if isinstance(item, PendingAnswer) and item.stream is not None:
                item.stream.discard()
            elif isinstance(item, PendingAnswer) and item.answer is None:
                item.dispatcher.client_gone(item.tx)

    def rawDataReceived(self, data: bytes) -> None:
        if self.ended or self.closing:
            return
        self.unreported_bytes += len(data)
        self.record_read(len(data))
        self.frontend.mark_busy(self)
        self.parser.buffer_data(data)
        self.handle_buffered()

    def handle_buffered(self) -> None:
        """Handles a limited number of the buffered items, so that no client keeps the others waiting."""
        items = self.parser.parse(ITEMS_PER_TURN)
        self.unparsed = len(items) >= ITEMS_PER_TURN
        self.handle_items(items)
        if self.ended or self.closing:
            return
        self.update_reading()
        if self.unparsed and not self.pending_full():
            self._continue_later()

    def _continue_later(self) -> None:
        if not self.continuing:
            self.continuing = True
            self.frontend.reactor.callLater(0, self._continue)

    def _continue(self) -> None:
        """Handles what is buffered, or reads on."""
        self.continuing = False
        if self.ended or self.closing:
            return
        if self.unparsed:
            self.handle_buffered()
        else:
            self.update_reading()

    def pending_full(self) -> bool:
        """Whether so many answers wait behind one that is not known that no more requests are read."""
        return len(self.pending) > MAX_PENDING_ANSWERS

    def must_hold_reading(self) -> bool:
        """Whether nothing may be read from the socket for now."""
        return self.stream_held or self.unparsed or self.pending_full()

    def update_reading(self) -> None:
        """Pauses or resumes reading. The time of a pause does not count against the client."""
        hold = self.must_hold_reading()
        if hold == self.reading_paused:
            return
        now = self.frontend.dispatcher.now()
        self.hold_reading(hold)
        self.catch_up_until = 0  # bytes that arrive from now on wait because of this pause
        if hold:
            self.held_since = now
            self.backlog.record_pause(now)
        else:
            self.deadline.extend(now - self.held_since)
            self.backlog.record_resume(now, self._peek() is None)

    def record_read(self, size: int) -> None:
        """Records a read from the socket of so many bytes."""
        now = self.frontend.dispatcher.now()
        waited = self.frontend.loop_timing.max_unread_time(now, self.first_byte_since())
        more = size >= self.transport.bufferSize and self._peek() is not None
        self.backlog.record_read(now, now - waited, more)

    def handle_items(self, items: "list[meta.RequestItem]") -> None:
        """Handles parsed items and writes the answers that are ready afterwards."""
        if any(isinstance(item, meta.Command) for item in items):
            # A large backlog is read in many loop iterations, and its client may have closed long before the last.
            if self.peer_closed():
                self.client_departed()
                return
            self.seen_at = self.connected_at()
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
        if not self.parser.discards_value():
            self.frontend.refused_values.pop(self, None)
        self.last_activity = self.frontend.dispatcher.now()
        self.count_buffered()
        self.update_deadline()
        self.readable_since = 0
        self.flush()

    def connected_at(self) -> int:
        """Returns the latest time at which the client had surely not closed, unless its close shows already."""
        now = self.frontend.dispatcher.now()
        return self.backlog.since if self.backlog.since and self._peek() else now

    def client_departed(self) -> None:
        """The client has closed its connection, and none of the requests that are unread or open is sent on."""
        self.ended = True
        self.parser.stop()
        self.frontend.release_memory(self)
        self.end_pending()
        self.transport.abortConnection()

    def update_deadline(self) -> None:
        """Starts, moves or ends the deadline of an incomplete request."""
        arrived, self.unreported_bytes = self.unreported_bytes, 0
        if self.parser.is_idle() and self.deadline.due_at() is None:
            return  # the common case: all requests are complete
        position = self.parser.position()
        self.deadline.record_read(
            self.last_activity - self.unread_time(position == self.deadline.position), position, arrived
        )
        if self.last_activity < self.catch_up_until and arrived >= FULL_READ_BYTES:
            # The socket buffer may have been full, so the client gets some time to write more.
            self.deadline.defer_until(self.last_activity + RESUME_GRACE_NS)
        self.frontend.deadline_changed(self)

    def unread_time(self, same_part: bool) -> int:
        """Returns how long the last bytes of this read waited to be read, in nanoseconds.

        They may have waited for the accept, or for a busy or stopped process. The loop knows an upper bound; where it
        is long, the operating system is asked. `same_part`: they belong to the same part of a request as the previous
        read.
        """
        if self.last_activity < self.catch_up_until:
            bound = self.last_activity - self.last_arrival
            return bound if same_part else min(bound, self.receive_idle_ns())
        bound = self.frontend.loop_timing.max_unread_time(self.last_activity, self.first_byte_since())
        waited = min(bound, self.receive_idle_ns()) if bound > MIN_UNREAD_NS else 0
        if waited > MIN_UNREAD_NS:
            # A large backlog is read in many loop iterations, and only the first of them is late.
            self.last_arrival, self.catch_up_until = self.last_activity - waited, self.last_activity + CATCH_UP_NS
        return waited

    def is_overdue(self, now: int) -> bool:
        """Whether an incomplete request has passed its deadline and the balancer did not delay it."""
        due = self.deadline.due_at()
        if due is None or now < due or self.ended or self.closing or self.reading_held():
            return False
        # After a stall of the process this runs before the bytes that arrived meanwhile are read.
        return may_close(CloseReason.REQUEST_OVERDUE, owes_answer=False, unread=self.has_unread_bytes())

    def reading_held(self) -> bool:
        """Whether reading is paused, so that an incomplete request cannot become complete."""
        return self.reading_paused

    def fail_request(self, reason: CloseReason = CloseReason.REQUEST_OVERDUE) -> None:
        """Answers an incomplete request with an error, in order behind pending answers, and closes the connection."""
        self.closing, self.close_reason = True, reason
        if not self.parser.discards_value():  # else the request has its answer
            self.answer_error(meta.InvalidCommand(OVERDUE_ANSWER, fatal=True))
        self._stop_reading()
        self.flush()

    def answer_error(self, item: meta.InvalidCommand) -> None:
        """Answers an invalid command. A fatal one closes the connection after the pending answers."""
        self.closing = self.closing or item.fatal
        pending_answer = self.streaming
        if pending_answer is None or pending_answer.answer is not None:
            self.pending.append(item.line + b"\r\n")
            return
        # The error ends a large value: its hops are cut off, so that no cache host takes the value for complete.
        pending_answer.dispatcher.client_gone(pending_answer.tx)
        pending_answer.set_answer(item.line + b"\r\n")

    def hold_stream(self, paused: bool) -> None:
        """Pauses reading while the cache host takes a large value more slowly than it arrives, or resumes it."""
        if self.ended:
            return
        self.last_activity = self.frontend.dispatcher.now()
        self.read_at_once(self.frontend.dispatcher.streams.piece_bytes())
        self.stream_held = paused
        self.update_reading()
        if paused:
            self._watch_value()

    def _watch_value(self) -> None:
        """Sees to it that the request whose value is held back is answered in its time.

        Its last byte may have been written as early as the backlog began, which is when the time of the request starts.
        """
        pending_answer = self.streaming
        if pending_answer is not None and self.value_call is None:
            due = self.backlog.since + pending_answer.command.ttl_ms * MS
            self.value_call = self.frontend.dispatcher.call_at(due, self._check_value, pending_answer)

    def _check_value(self, pending_answer: PendingAnswer) -> None:
        """Refuses the request if its value may have been written completely for as long as its client waits."""
        self.value_call = None
        if self.ended or self.streaming is not pending_answer or not self.backlog.since:
            return
        if self.frontend.dispatcher.now() < self.backlog.since + pending_answer.command.ttl_ms * MS:
            self._watch_value()  # the backlog was empty meanwhile
        elif self.reading_paused or self._peek():
            pending_answer.dispatcher.value_overdue(pending_answer.tx)

    def value_taken(self) -> None:
        """A cache host still takes the large value that is held back, however slowly."""
        self.last_activity = self.frontend.dispatcher.now()

    def refuse_held_value(self) -> None:
        """Refuses the request whose value no cache host takes. The rest of the value is discarded as it arrives."""
        if self.streaming is not None:
            self.streaming.dispatcher.value_overdue(self.streaming.tx)
        if self.stream_held:
            self.abort(CloseReason.VALUE_BROKEN)

    def value_received(self) -> None:
        """The last byte of a large value arrived."""
        pending_answer, stream = self.streaming, self.incoming
        if pending_answer is None or stream is None:
            self._end_value()
            return
        now = self.frontend.dispatcher.now()
        unread = self.frontend.loop_timing.max_unread_time(now, self.first_byte_since())
        if self.backlog.since:
            unread = max(unread, now - self.backlog.since)
        if unread >= pending_answer.command.ttl_ms * MS:
            pending_answer.dispatcher.value_overdue(pending_answer.tx)
        self._end_value()
        pending_answer.dispatcher.tx_fully_received(pending_answer.tx, unread)
        stream.finish()

    def discard_value(self) -> None:
        """Discards the rest of a large value as it arrives, because its transaction is already answered."""
        stream = self.incoming
        self._end_value()
        if stream is not None:
            stream.discard()

    def _end_value(self) -> None:
        """Forgets the large value that was arriving, and its check: the next one gets a check of its own."""
        self.streaming = self.incoming = None
        cancel_call(self.value_call)
        self.value_call = None
        self.read_at_once(self.frontend.limits.read_bytes)

    def count_buffered(self) -> None:
        """Updates the count of buffered bytes and enforces the shared limit on them."""
        self.frontend.incomplete_requests.record_progress(self, len(self.parser.buffer))
        if self.frontend.buffers_exceeded():
            self.frontend.relieve_buffers()

    def refuse_incomplete_request(self) -> None:
        """Refuses the incomplete request and frees its memory. All requests before it keep their answers.

        The connection goes on behind a value, as its end is known, and closes behind the refusal of an incomplete line.
        """
        request = self.parser.discard_value()
        if request is None:
            self.closing, self.close_reason = True, CloseReason.MEMORY
            self._stop_reading()
        else:
            self.frontend.refused_values[self] = None
        if isinstance(request, meta.InvalidCommand):
            self.answer_error(request)
        elif isinstance(request, meta.OverLimit):
            self.pending.append(meta.rolled_back(request.wait // MS))
        else:
            self._refuse_for_memory(request.id if request is not None else b"")
        self.count_buffered()
        self.flush()

    def _stop_reading(self) -> None:
        """Frees the memory of an incomplete request that is not served, and ignores all that arrives behind it."""
        self.parser.stop()
        self.deadline = RequestDeadline()
        self.frontend.deadline_changed(self)
        self.frontend.incomplete_requests.release(self)

    def _refuse_for_memory(self, request_id: bytes) -> None:
        """Adds the answer of a request that there is no memory for. The id of an incomplete line is not known."""
        self.frontend.safety.record_request_refusal(RequestRefusal.MEMORY, lambda: request_id.decode("latin-1"))
        wait = self.frontend.dispatcher.jittered(self.frontend.limits.retry_after)
        self.pending.append(meta.rolled_back(wait // MS))

    def accept_command(self, command: meta.Command) -> None:
        """Refuses a command or starts its transaction."""
        pending_answer = PendingAnswer(self, command)
        self.pipelines = self.pipelines or bool(self.pending)
        self.pending.append(pending_answer)
        if command.stream_length:
            self.streaming, self.incoming = (
                pending_answer,
                ValueStream(command.stream_length, self.frontend.dispatcher.streams, self.hold_stream),
            )
            self.incoming.on_progress = self.value_taken
            self.read_at_once(self.frontend.dispatcher.streams.piece_bytes())
        now, loop_timing = self.frontend.dispatcher.now(), self.frontend.loop_timing
        # Under CPU overload, each further transaction delays all others, even beyond their hard limits.
        late = loop_timing.is_overrun(now)
        if late:
            self.frontend.dispatcher.log(
                "WARNING", "CPU overload: requests that are read late in a loop iteration are rolled back"
            )
        refusal = self.refusal(late)
        if refusal is not None:
            self.refuse(pending_answer, refusal)
            return
        unread = loop_timing.max_unread_time(now, self.first_byte_since())
        request = PostponedRequest(command, pending_answer, now, unread)
        if not self.backlog.is_old(now):
            self.begin_or_postpone(request)
        elif command.stream_length:
            # The bytes behind its first line are unread, so the client can't be known to be there.
            self.refuse(pending_answer, RequestRefusal.BACKLOG)
        else:
            self.unverified.append(request)
            if len(self.unverified) == 1:
                # The loop polls between two delayed calls, and reads what is left.
                self.frontend.reactor.callLater(0, self.frontend.reactor.callLater, 0, self.begin_unverified)

    def begin_unverified(self) -> None:
        """Begins the requests that were read from an old backlog if all of it is read and the client is there."""
        waiting, self.unverified = self.unverified, []
        self._begin_waiting(waiting, refuse_if_unread=True)

    def _begin_waiting(self, waiting: list[PostponedRequest], refuse_if_unread: bool) -> None:
        """Begins requests that waited, if their client is still there.

        `refuse_if_unread`: refuses them if more is unread, as the client may have closed behind that.
        """
        if self.ended or not waiting:
            return
        if self.peer_closed():
            self.client_departed()
            return
        refused = refuse_if_unread and bool(self._peek())
        self.seen_at = self.connected_at()
        for request in waiting:
            if request.pending_answer.answer is not None or self.ended:
                continue
            if refused:
                self.refuse(request.pending_answer, RequestRefusal.BACKLOG)
            else:
                self.begin_or_postpone(request)

    # ---- requests behind a large value ----

    def begin_or_postpone(self, request: PostponedRequest) -> None:
        """Begins a request, or postpones it while a value before it may break off, which would lose its answer."""
        if not self.postponed and not self.value_may_break():
            self.begin_request(request)
        elif request.command.stream_length or not self.may_postpone(request):
            self.refuse(request.pending_answer, RequestRefusal.VALUE_AHEAD)
        else:
            self.postponed.append(request)

    def value_may_break(self) -> bool:
        """Whether a large value is being written whose last byte has not arrived."""
        first = self.pending[0] if self.pending else None
        return isinstance(first, PendingAnswer) and first.value_may_break()

    def may_postpone(self, request: PostponedRequest) -> bool:
        """Whether there is memory for one more postponed request: a piece of the value, or one line."""
        kept = sum(postponed.command.size() for postponed in self.postponed)
        room = max(self.frontend.limits.line_bytes, self.frontend.dispatcher.streams.piece_bytes())
        return kept + request.command.size() <= room

    def begin_request(self, request: PostponedRequest) -> None:
        """Begins a request; the time since it was read counts as if it had not been read."""
        waited = self.frontend.dispatcher.now() - request.read_at
        self.begin_transaction(request.command, request.pending_answer, request.unread + waited)

    def begin_postponed(self) -> None:
        """Begins the requests behind a value that has arrived completely."""
        waiting, self.postponed = self.postponed, []
        self._begin_waiting(waiting, refuse_if_unread=False)

    def may_get_more_requests(self) -> bool:
        """Whether requests wait behind the first answer, or are likely to come before it is written."""
        return self.pipelines or len(self.pending) > 1 or not self.parser.is_idle() or self.has_unread_bytes()

    def refuse(self, pending_answer: PendingAnswer, reason: RequestRefusal) -> None:
        """Refuses a request that was not begun."""
        self.frontend.safety.record_request_refusal(reason, pending_answer.id)
        pending_answer.roll_back(self.frontend.dispatcher.jittered(self.frontend.limits.retry_after))

    def refusal(self, late: bool) -> RequestRefusal | None:
        """Returns why a request is refused before the decisions see it, or None."""
        if self.over_limit:
            return RequestRefusal.CROWDED
        if len(self.pending) > self.frontend.limits.pipelined:
            return RequestRefusal.PIPELINED
        if self.frontend.answers_exceeded():
            return RequestRefusal.MEMORY
        return RequestRefusal.LATE_TURN if late else None

    def begin_transaction(self, command: meta.Command, pending_answer: PendingAnswer, unread: int) -> None:
        """Passes a transaction to the dispatcher. `unread`: the longest time that the command waited to be read."""
        dispatcher = self.frontend.dispatcher
        ttl = max(0, command.ttl_ms * MS - unread)
        time_limits = dispatcher.time_limits(command.profile)
        pending_answer.due = dispatcher.now() + min(ttl, time_limits.hard_limit)
        pending_answer.early_until = dispatcher.now() - unread + time_limits.service_goal // 2
        if command.is_write and not command.has_idempotency_key and dispatcher.needs_idempotency_key(command.profile):
            pending_answer.set_answer(b"CLIENT_ERROR a keyed write without its key\r\n")
            return
        arrival = IncomingTx(
            command.profile,
            self.share_name(command),
            command.key.decode("latin-1"),
            ttl,
            command.is_retry,
            command.is_write,
            command,
            self.incoming,
            self.seen_at,
        )
        pending_answer.tx = dispatcher.tx_arrived(arrival, pending_answer)
        if pending_answer.tx == UNKNOWN_PROFILE:
            pending_answer.set_answer(b"CLIENT_ERROR unknown profile\r\n")
        elif pending_answer.tx == KNOWN_REQUEST_ID:
            # Not a refusal, which would promise that a retry is harmless: the request of this id may have run.
            pending_answer.set_answer(b"CLIENT_ERROR the id is not new\r\n")

    def first_byte_since(self) -> int:
        """Returns the earliest time at which its first bytes may have arrived; 0: they waited no longer than others."""
        # Bytes that arrived before the accept are readable at the next poll. Later ones did not wait for the accept.
        return self.readable_since if self.frontend.loop_timing.iteration <= self.accepted_iteration + 1 else 0

    def share_name(self, command: meta.Command) -> str:
        """Returns the name of the share that the command counts towards."""
        return command.share

    def answer_ready(self, pending_answer: PendingAnswer) -> None:
        """Hook for subclasses: an answer is known, but maybe not written yet."""

    def flush(self) -> None:
        """Writes all answers up to the first one that is not known yet."""
        while self.pending and not self.ended:
            first = self.pending[0]
            text = first if isinstance(first, bytes) else self.next_text(first)
            if text is None or self.queued_bytes >= self.frontend.limits.write_ahead_bytes:
                return  # goes on when the answer is known, or the operating system has taken what is queued
            self.pending.popleft()
            self._answer_written()
            self.answered = True
            self.write_answer(text)
            if isinstance(first, PendingAnswer) and first.answer:
                self.count_known(-len(first.answer))
        if not self.ended:
            if self.closing:
                self.close(self.close_reason)
            else:
                self.frontend.mark_idle(self)

    def next_text(self, first: PendingAnswer) -> bytes | None:
        """Returns the text with which the first answer ends, or None while that may not be written.

        The part of a large value before it is written here, as it arrives.
        """
        if first.stream is not None and not first.value_begun and not self.begin_value(first, first.stream):
            return None
        if first.stream is None:
            return first.answer
        return b"\r\n" if self.write_stream(first, first.stream) else None

    def _answer_written(self) -> None:
        """Reads on once there is room for answers again."""
        if len(self.pending) == MAX_PENDING_ANSWERS // 2 and self.reading_paused:
            self._continue_later()

    def begin_value(self, pending_answer: PendingAnswer, stream: ValueStream) -> bool:
        """Writes the first line of a large value, unless the value is to be kept until it is whole.

        Returns whether the answer is ready to be written further, which it also is if the value broke off meanwhile.
        """
        state = pending_answer.hold_state(stream, self.may_get_more_requests())
        if state is HoldState.FAIL:
            pending_answer.fail_value()
        elif state is HoldState.PASS_ON:
            header, pending_answer.answer = pending_answer.answer or b"", b""
            pending_answer.value_begun = True
            self.write_chunk(header)
            self.count_known(-len(header))
        return state is not HoldState.KEEP

    def write_stream(self, pending_answer: PendingAnswer, stream: ValueStream) -> bool:
        """Writes the next chunk of a large value once the previous one was sent. Returns whether the value is done."""
        if stream.aborted:
            # Closed before its full length, so that the client does not take the value for complete.
            self.close(CloseReason.VALUE_BROKEN)
            return False
        if stream.complete and self.postponed:
            self.frontend.reactor.callLater(0, self.begin_postponed)
        if self.queued_bytes:
            return False
        data = stream.take()
        if data:
            self.write_chunk(data)
        else:
            stream.mark_written()
        return stream.all_taken()

    def writes_value(self) -> bool:
        """Whether the first pending answer is a large value."""
        first = self.pending[0] if self.pending else None
        return isinstance(first, PendingAnswer) and first.stream is not None and not self.ended

    def write_chunk(self, data: bytes) -> None:
        """Writes a part of a large value, which does not count towards the limits on queued answers."""
        self.queued_bytes += len(data)
        self.last_activity = self.frontend.dispatcher.now()
        self.transport.write(data)

    def write_answer(self, text: bytes) -> None:
        """Writes an answer."""
        self.queued_bytes += len(text)
        self.unsent_answer_bytes += len(text)
        self._count_unsent()
        self.last_activity = self.frontend.dispatcher.now()
        self.transport.write(text)

    def count_known(self, size: int) -> None:
        """Counts bytes of answers that are known and wait behind others."""
        self.known_answer_bytes += size
        self._count_unsent()

    def _count_unsent(self) -> None:
        if not self.ended:
            self.frontend.unsent_answers.set_size(self, self.known_answer_bytes + self.unsent_answer_bytes)

    def has_memory_for(self, size: int) -> bool:
        """Whether an answer of this size may be kept until it is sent.

        Over the memory limit each client may use its part of it, so that those that read their answers get them.
        """
        unsent, limit = self.frontend.unsent_answers, self.frontend.limits.buffered_bytes
        part = limit // max(1, len(unsent.sizes))
        return unsent.total + size <= limit or unsent.sizes.get(self, 0) + size <= part

    def pending_ids(self) -> list[str]:
        """Returns the ids of requests whose answers are not written yet, known or not."""
        return [item.id() for item in self.pending if isinstance(item, PendingAnswer)]

    def ids_behind_value(self) -> list[str]:
        """Returns the ids of the requests behind the first answer that were begun and not only read."""
        postponed = {request.pending_answer for request in self.postponed}
        behind = islice(self.pending, 1, None)
        return [item.id() for item in behind if isinstance(item, PendingAnswer) and item not in postponed]

    def close(self, reason: CloseReason) -> None:
        """Closes the connection once all written bytes are sent."""
        if not self.ended:
            # A value that breaks off is no answer that is owed, as its client can tell that it is not whole.
            owed = self.ids_behind_value() if reason is CloseReason.VALUE_BROKEN else self.pending_ids()
            self.frontend.safety.record_client_close(reason, owed)
            self.ended = True
            self.close_after_write()

    def abort(self, reason: CloseReason) -> None:
        """Closes the connection immediately and drops queued bytes, but not those that the system has accepted."""
        if not self.ended:
            owed = self.pending_ids()
            if self.queued_bytes and not owed:
                owed = [UNKNOWN_REQUEST_ID]
            self.frontend.safety.record_client_close(reason, owed)
        self.ended = True
        # The transport reports the end in a later loop iteration, and others must not pay for these bytes until then.
        self.parser.stop()
        self.frontend.release_memory(self)
        if reason is not CloseReason.ANSWERS_UNREAD and not self.queued_bytes and self.has_unacknowledged_bytes():
            self.close_after_write()  # a reset would drop answers that the client is about to get
        else:
            self.transport.abortConnection()

    def resumeProducing(self) -> None:
        """Called by the transport when the operating system has accepted all written bytes."""
        if self.queued_bytes:
            self.queued_bytes = self.unsent_answer_bytes = 0
            self.send_progress.restart()
            self._count_unsent()
            self.last_activity = self.frontend.dispatcher.now()
            self.flush()

    def stopProducing(self) -> None:
        pass

    def is_stalled(self) -> bool:
        """Whether the client reads no answers, or its paused request makes no progress, beyond the stall timeout."""
        now = self.frontend.dispatcher.now()
        if self.queued_bytes:
            return self.has_taken_nothing_for(self.frontend.limits.stall_timeout)
        incomplete = self.ended or (self.stream_held and not self.parser.is_idle())
        return incomplete and now - self.last_activity > self.frontend.limits.stall_timeout

    def unsent_for(self) -> int:
        """Returns how long the client has taken no queued bytes. Reading or queueing is no progress."""
        now = self.frontend.dispatcher.now()
        if self.send_progress.is_recent(now):
            return now - self.send_progress.since
        return self.send_progress.idle_time(now, self.send_state(), self.frontend.loop_timing.process_stalled(now))

    def has_taken_nothing_for(self, time_limit: int) -> bool:
        """Whether the client has taken no queued bytes for longer than this, and for longer than a slow one may."""
        idle = self.unsent_for()
        return idle > max(time_limit, self.send_progress.quiet_time(SHORT if self.frontend.is_short() else PATIENT))
