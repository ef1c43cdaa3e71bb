"""One connection to a cache host: the attempts on it in their order, and how each of them ends.

How it is known that a command was written: the connection is the pull producer of its own transport, which asks for
more exactly when the system has taken the last byte of what it was given, and gets one command at a time. A connection
that ends before it asked has not written its last command whole.
"""

from collections import deque
from typing import TYPE_CHECKING, Any

from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from ternquay import model as m
from ternquay.net.dispatcher import OutgoingHop
from ternquay.net.driver import Driver
from ternquay.net.limits import MS
from ternquay.net.meta import Answer, ResponseParser, ValueChunk, ValueHeader
from ternquay.net.safety import ServerCloseReason
from ternquay.net.value_stream import ValueStream, no_receiver

if TYPE_CHECKING:
    from ternquay.net.pool import HostPlace, Pool


@implementer(IPullProducer)
class HostConnection(Driver):
    """Thin driver of one connection: the machine reads, this keeps the hops on it in order."""

    def __init__(self, pool: "Pool", host: "HostPlace") -> None:
        self.pool, self.host = pool, host
        self.address = host.address  # where it leads; the host may go on at another
        self.connector: Any = None
        self.machine = ResponseParser(pool.limits.line_bytes, pool.limits.answer_bytes, pool.limits.stream_above_bytes)
        self.kept = 0  # bytes of an answer that is not whole
        self.to_write: deque[OutgoingHop] = deque()
        self.writing: OutgoingHop | None = None
        self.hops: deque[OutgoingHop] = deque()  # given to the transport, in order; given-up ones stay in place
        self.idle_since = 0
        self.rested = -1  # how long it had been idle before the hop it is used for now, until something comes
        self.up = self.closing = False
        self.stream: ValueStream | None = None  # a large value that is coming in
        self.pours: ValueStream | None = None  # one that is going out, as the value of `writing`
        self.filled = False  # the system has not taken yet what it was given of that
        self.filled_at = 0  # since when
        self.note = 0  # what the cache host said of the read that `flow` answers
        self.moved = 0  # when something of `flow` came, or was let come again

    def current(self) -> bool:
        """Whether what is new may go out here: the host is listed, does not drain, and is where this leads."""
        return self.host.ready and self.address == self.host.address

    def carries_large(self) -> bool:
        """A large value goes out here, or is about to: nothing else may wait for its writer."""
        return self.pours is not None or any(hop.tx.stream is not None for hop in self.to_write)

    def load(self) -> int:
        return len(self.hops) + len(self.to_write)

    # ---- from the transport ----

    def connectionMade(self) -> None:
        if self.closing:  # dropped while it was being made
            self.transport.abortConnection()
            return
        super().connectionMade()
        self.up = True
        self.transport.registerProducer(self, False)
        if not self.load():
            self.pool.idle(self)

    def resumeProducing(self) -> None:
        """The system has taken all that the transport was given."""
        self.filled = False
        if self.pours is not None:
            self.pour()
            return
        self.writing = None
        skipped = False
        while self.to_write and self.writing is None and not self.closing:
            if not self.current():
                # The last place before the first byte: a fault while a list was taken may have kept recall() away.
                self.recall()
                return
            hop = self.to_write.popleft()
            if self.pool.dispatcher.may_begin(hop):
                self.begin(hop)
            else:
                skipped = True
                self.pool.dispatcher.hop_ended(hop, m.HopOutcome.SKIPPED)
        if skipped:
            self.settle()

    def begin(self, hop: OutgoingHop) -> None:
        left = max(1, (hop.deadline - self.pool.dispatcher.now()) // MS)
        self.pool.dispatcher.safety.record_attempt_start(hop.tx.answered, hop.tx.requester.id, hop.number)
        self.writing = hop
        self.hops.append(hop)
        self.machine.expect(hop.tx.message)
        flow = hop.tx.stream
        if flow is None:
            hop.written = True
            self.transport.write(hop.tx.message.forward(left))
        else:
            flow.partly_taken = True
            self._filled()
            self.pours, flow.on_data = flow, self.pour
            self.transport.write(hop.tx.message.forward(hop.tx.ttl // MS))
        # The library would write it in the loop's next turn, and who was there at the last look may have gone by then.
        # What comes of a broken connection the loop hears of by itself.
        self.transport.doWrite()

    def pour(self) -> None:
        """Passes on what has come of a large value, as far as the system takes it."""
        flow, hop = self.pours, self.writing
        if flow is None or hop is None or self.filled or self.closing or flow.aborted:
            return
        data = flow.take()
        if flow.all_taken():
            self.pours, flow.on_data = None, no_receiver
            hop.written = True
            data += b"\r\n"
        if data:
            self._filled()
            self.transport.write(data)
        else:
            flow.mark_written()

    def _filled(self) -> None:
        """The system is given some of a large value."""
        self.filled, self.filled_at = True, self.pool.dispatcher.now()

    def stopProducing(self) -> None:
        pass

    def rawDataReceived(self, data: bytes) -> None:
        if self.closing:
            return
        if self.rested >= 0:
            self.pool.idle_loss.record_use(self.rested, False)
            self.rested = -1
        for item in self.machine.feed(data):
            if self.closing:
                return  # an answer before this one ended the rest
            if isinstance(item, Answer):
                self.answered(item)
            elif isinstance(item, ValueHeader):
                self.begins(item)
            elif isinstance(item, ValueChunk):
                self.comes(item.data)
            else:
                self.came()
        if not self.closing:
            self.pool.kept += len(self.machine.buffer) - self.kept
            self.kept = len(self.machine.buffer)
            if self.pool.kept > self.pool.limits.buffered_bytes:
                self.machine.fault = "more than there is room for"
        if self.machine.fault and not self.closing:
            self.pool.dispatcher.log("WARNING", "{} answered badly: {}", self.host.address, self.machine.fault)
            self.drop(ServerCloseReason.BAD_ANSWER)

    def answered(self, answer: Answer) -> None:
        hop = self.hops.popleft()
        if hop is self.writing and not hop.written:
            # Before its last byte was written it can't have run, whatever the cache host says.
            self.pool.dispatcher.hop_ended(
                hop, answer.outcome if answer.outcome is m.HopOutcome.FULL else m.HopOutcome.UNREACHABLE
            )
            return self.drop(ServerCloseReason.BAD_ANSWER)
        # Before the door hears of it, as what that sets free may go to the same cache host.
        if not self.machine.fault:
            self.settle()
        self.pool.dispatcher.hop_ended(hop, answer.outcome, answer.body, answer.cache_result)

    # ---- a large value ----

    def begins(self, begun: ValueHeader) -> None:
        self.note, self.moved = begun.cache_result, self.pool.dispatcher.now()
        self.stream = ValueStream(begun.length, self.pool.limits.chunk_bytes, self.hold, self.unwanted)
        self.hand_back()  # against what is small behind what is large

    def unwanted(self) -> None:
        """Nobody takes the large value that comes in."""
        self.drop(ServerCloseReason.VALUE_UNWANTED)

    def comes(self, data: bytes) -> None:
        """With its first byte it is the answer: it has come in time, and no other hop can give it any more."""
        flow, hop = self.stream, self.hops[0]
        self.moved = self.pool.dispatcher.now()
        if flow is None:
            return
        if not hop.ended:
            self.pool.dispatcher.hop_ended(hop, m.HopOutcome.DONE, flow, self.note)
        elif flow.on_data is no_receiver:
            flow.aborted = True  # given up before it came: read, and dropped
        flow.feed(data)

    def came(self) -> None:
        self.hops.popleft()
        flow, self.stream = self.stream, None
        if not self.machine.fault:
            self.settle()
        if flow is not None:
            flow.finish()

    def hold(self, back: bool) -> None:
        """Whoever takes the value is behind, or goes on."""
        if not self.closing:
            self.moved = self.pool.dispatcher.now()
            self.hold_reading(back)

    def silent(self) -> bool:
        """A large value has begun, and nothing more of it comes though nobody holds it back."""
        flow = self.stream
        return (
            flow is not None
            and not flow.paused
            and (self.pool.dispatcher.now() - self.moved > self.pool.limits.stall_timeout)
        )

    def takes_nothing(self) -> bool:
        """A large value goes out, and the cache host takes no more of it: its client is held back meanwhile.

        A piece counts as taken once all of it is, so this bound is longer than the one for what comes in.
        """
        return self.filled and self.up and self.pool.dispatcher.now() - self.filled_at > self.pool.limits.stall_timeout

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.rested >= 0 and not self.closing:
            self.pool.idle_loss.record_use(self.rested, True)
        self.closing = self.transport_closed = True
        self.pool.lost(self)
        self.pool.sockets.descriptor_freed(self)
        self.fail()

    # ---- from the pool ----

    def take(self, hop: OutgoingHop) -> None:
        hop.connection = self
        self.to_write.append(hop)
        if self.up and self.writing is None:
            self.resumeProducing()

    def give_up(self, hop: OutgoingHop) -> None:
        """The hop is over for us; all others on this connection go on."""
        if hop in self.to_write:
            self.to_write.remove(hop)
        elif hop is self.writing and all(other.ended for other in self.hops):
            hop.written = False  # and the rest of it never will be: the connection is closed at once
        self.settle()

    def recall(self) -> None:
        """Nothing new may go out here any more: what was not begun ends as never sent, and is decided on anew."""
        self.hand_back()
        if self.up:
            self.settle()
        else:
            self.drop(ServerCloseReason.LEAVING)

    def hand_back(self) -> None:
        """What was not begun ends as never sent, and goes out elsewhere."""
        waiting, self.to_write = self.to_write, deque()
        for hop in waiting:
            self.pool.dispatcher.hop_ended(hop, m.HopOutcome.SKIPPED)

    def settle(self) -> None:
        """Idle again, or of no more use: with nothing but given-up hops on it, it is closed to end them."""
        if not self.up or self.closing or self.to_write:
            return
        if not self.hops:
            self.pool.idle(self)
        elif all(hop.ended for hop in self.hops) and self.stream is None:
            self.drop(ServerCloseReason.GIVEN_UP)

    def drop(self, reason: ServerCloseReason) -> None:
        """At once, with all that is on it."""
        if not self.closing:
            self.closing = True
            self.pool.dispatcher.safety.record_server_close(reason)
            self.pool.lost(self)
            if self.up:
                self.transport.abortConnection()
            else:
                self.connector.stopConnecting()  # there is no transport yet
            self.fail()

    def retire(self, reason: ServerCloseReason) -> None:
        """An idle one: nothing is on it."""
        if not self.closing:
            self.closing = True
            self.pool.dispatcher.safety.record_server_close(reason)
            self.pool.lost(self)
            self.close_after_write()

    def fail(self) -> None:
        """All that is on it has ended: the command in the transport's hands and those behind it never ran."""
        hops, self.hops, waiting = self.hops, deque(), self.to_write
        self.to_write = deque()
        flow, self.stream, self.pours = self.stream, None, None
        if flow is not None:
            flow.abort()
        for hop in hops:
            end = m.HopOutcome.UNREACHABLE if hop is self.writing else m.HopOutcome.RESET
            self.pool.dispatcher.hop_ended(hop, end)
        for hop in waiting:
            self.pool.dispatcher.hop_ended(hop, m.HopOutcome.UNREACHABLE)


class Dialer(ClientFactory):
    """Makes one connection, and hands on that it could not be made."""

    noisy = False

    def __init__(self, connection: HostConnection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: Any) -> HostConnection:
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.connection.connectionLost(reason)
