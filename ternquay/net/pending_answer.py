"""The answer that a client waits for: it receives the result of one transaction and hands it to the connection."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ternquay.net import meta
from ternquay.net.limits import MS
from ternquay.net.safety import RequestRefusal
from ternquay.net.value_stream import ValueStream

if TYPE_CHECKING:
    from ternquay.net.client import ClientConnection


class PendingAnswer:
    """One answer that a client waits for, in request order. It is the Requester of its transaction."""

    __slots__ = ("client", "command", "counted_open", "dispatcher", "stream", "answer", "tx")

    def __init__(self, client: "ClientConnection", command: meta.Command) -> None:
        self.client, self.command, self.dispatcher = client, command, client.frontend.dispatcher
        self.answer: bytes | None = None
        self.stream: ValueStream | None = None  # a large value of the answer, as it arrives
        self.tx = -1
        self.counted_open = False  # a subclass counts it as an open transaction of its client

    def commit(self, answer: bytes | ValueStream) -> None:
        if isinstance(answer, ValueStream):
            self.stream, answer.on_data = answer, self.client.flush
            self.set_answer(meta.value_header(self.command, answer.length))
            return
        text = meta.committed(self.command, answer)
        if self.command.is_write or self.client.has_memory_for(len(text)):
            self.set_answer(text)
            return
        self.client.frontend.safety.record_request_refusal(RequestRefusal.MEMORY, self.id)
        if self.dispatcher.is_idempotent(self.command.profile):
            self.roll_back(self.dispatcher.jittered(self.client.frontend.limits.retry_after))
        else:
            self.abandon()

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
class UnverifiedRequest:
    """A request that is begun once its client is known to be there. Times are integer nanoseconds."""

    command: meta.Command
    pending_answer: PendingAnswer
    read_at: int
    unread: int  # the longest time that it had waited to be read by then
