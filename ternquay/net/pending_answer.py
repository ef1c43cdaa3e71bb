"""The answer that a client waits for: it receives the result of one transaction and hands it to the connection."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ternquay.net import meta
from ternquay.net.dispatcher import DelayedCall, cancel_call
from ternquay.net.limits import MS
from ternquay.net.safety import HoldEnd, RequestRefusal
from ternquay.net.value_hold import HoldState, ValueHold, begin_hold
from ternquay.net.value_stream import ValueStream

if TYPE_CHECKING:
    from ternquay.net.client import ClientConnection


class PendingAnswer:
    """One answer that a client waits for, in request order. It is the Requester of its transaction."""

    __slots__ = (
        "client",
        "command",
        "counted_open",
        "dispatcher",
        "stream",
        "value_begun",
        "hold",
        "hold_call",
        "due",
        "early_until",
        "committed_at",
        "answer",
        "tx",
    )

    def __init__(self, client: "ClientConnection", command: meta.Command) -> None:
        self.client, self.command, self.dispatcher = client, command, client.frontend.dispatcher
        self.answer: bytes | None = None
        self.stream: ValueStream | None = None  # a large value of the answer, as it arrives
        self.value_begun = False  # its first line was written
        self.hold: ValueHold | None = None  # while the value is kept until it is whole
        self.hold_call: DelayedCall | None = None  # at the end of the hold
        self.due = self.early_until = 0  # when its client stops waiting; until when an answer is early
        self.committed_at = 0  # when the value began to arrive
        self.tx = -1
        self.counted_open = False  # a subclass counts it as an open transaction of its client

    def commit(self, answer: bytes | ValueStream) -> None:
        if isinstance(answer, ValueStream):
            self.stream, answer.on_data = answer, self.client.flush
            self.committed_at = self.dispatcher.now()
            self.set_answer(meta.value_header(self.command, answer.length))
            return
        text = meta.committed(self.command, answer)
        if self.command.is_write or self.client.has_memory_for(len(text)):
            self.set_answer(text)
            return
        self.client.frontend.safety.record_request_refusal(RequestRefusal.MEMORY, self.id)
        self.set_answer(self._failure())

    def _failure(self) -> bytes:
        """Returns the answer of a request that has run and whose value can't be passed on."""
        if not self.dispatcher.is_idempotent(self.command.profile):
            return meta.ABANDONED
        return meta.rolled_back(self.dispatcher.jittered(self.client.frontend.limits.retry_after) // MS)

    def value_may_break(self) -> bool:
        """Whether a large value is being passed on whose last byte has not arrived."""
        return self.value_begun and self.stream is not None and not self.stream.complete

    def hold_state(self, stream: ValueStream, needed: bool) -> HoldState:
        """Returns whether the large value is kept until it is whole. `needed`: requests wait behind it."""
        if stream.aborted:
            self._hold_ended(HoldEnd.BROKEN)
            return HoldState.FAIL
        now = self.dispatcher.now()
        if self.hold is None or (needed and not self.hold.needed):
            self._start_hold(stream, now, needed)
        state = HoldState.PASS_ON if self.hold is None else self.hold.state(stream, now)
        if state is HoldState.PASS_ON:
            self._hold_ended(HoldEnd.WHOLE if stream.complete else HoldEnd.INCOMPLETE)
        return state

    def _hold_ended(self, end: HoldEnd) -> None:
        cancel_call(self.hold_call)
        if self.hold is not None:
            self.client.frontend.safety.record_hold_end(end, self.id)

    def _start_hold(self, stream: ValueStream, now: int, needed: bool) -> None:
        """Starts or extends the hold, if there is time and memory for it."""
        # The time for which it waited behind other answers does not count.
        time_left = (self.due if needed else self.early_until) - self.committed_at
        if time_left <= 0 or not stream.keep_whole(precaution=not needed):
            return
        if self.hold is None:
            self.hold = begin_hold(now, time_left, needed)
        else:
            self.hold.extend(time_left)
        if self.dispatcher.answer_deadline:
            self.hold.until = min(self.hold.until, self.dispatcher.answer_deadline)
        cancel_call(self.hold_call)
        # Later than `until`, also when rounded.
        self.hold_call = self.dispatcher.call_at(self.hold.until + MS, self.client.flush)

    def fail_value(self) -> None:
        """Answers with an error in place of a large value of which nothing was passed on."""
        stream, self.stream = self.stream, None
        if stream is None or self.answer is None:
            return
        self.client.frontend.safety.record_request_refusal(RequestRefusal.VALUE_BROKEN, self.id)
        header, self.answer = self.answer, self._failure()
        self.client.count_known(len(self.answer) - len(header))
        stream.discard()

    def roll_back(self, wait: int) -> None:
        self.set_answer(meta.rolled_back(wait // MS))

    def id(self) -> str:
        """Returns the request id that the client assigned."""
        return self.command.id.decode("latin-1")

    def abandon(self) -> None:
        self.set_answer(meta.ABANDONED)

    def has_left(self) -> bool:
        return self.client.ended or self.client.peer_closed()

    def client_seen_at(self) -> int:
        return self.client.connected_at()

    def set_answer(self, text: bytes) -> None:
        if not self.client.frontend.safety.may_answer(self.answer is not None, self.id):
            return
        self.answer = text
        self.client.count_known(len(text))
        self.client.answer_ready(self)
        if self.client.streaming is self:
            self.client.discard_value()
        if not self.client.in_read:
            self.client.flush()


@dataclass(frozen=True, slots=True)
class PostponedRequest:
    """A request that was read and is begun later. Times are integer nanoseconds."""

    command: meta.Command
    pending_answer: PendingAnswer
    read_at: int
    unread: int  # the longest time that it had waited to be read by then
