"""One connection to a cache host: its hops in order, and how each of them ends.

The connection is the pull producer of its own transport, so that it knows which commands were written. The transport
asks for more exactly when the operating system has taken the last byte it was given, and gets one command at a time. A
connection that ends before the transport asked has not written its last command completely.
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
from ternquay.net.send_progress import PATIENT, SHORT, SendProgress
from ternquay.net.value_stream import ValueStream, no_receiver

if TYPE_CHECKING:
    from ternquay.net.pool import HostConnections, Pool


@implementer(IPullProducer)
class HostConnection(Driver):
    """The protocol of one connection. A ResponseParser parses responses; this class keeps hops in order."""

    def __init__(self, pool: "Pool", host: "HostConnections") -> None:
        self.pool, self.host = pool, host
        self.address = host.address  # of this connection; the host may have moved to another one since
        self.connector: Any = None
        self.machine = ResponseParser(pool.limits.line_bytes, pool.limits.answer_bytes, pool.limits.stream_above_bytes)
        self.to_write: deque[OutgoingHop] = deque()
        self.writing: OutgoingHop | None = None
        self.hops: deque[OutgoingHop] = deque()  # given to the transport, in order; given-up ones keep their place
        self.idle_since = 0
        self.idle_before_hop = -1  # idle time before the current hop, until the first bytes of a response; else -1
        self.established = self.closing = False
        self.incoming: ValueStream | None = None  # a large value that is being received
        self.outgoing: ValueStream | None = None  # the large value of `writing`, which is being sent
        self.write_pending = False  # the operating system has not taken all bytes of `outgoing` yet
        self.send_progress = SendProgress()  # of these bytes
        self.cache_result = 0  # reported by the cache host for the read that `incoming` answers
        self.incoming_moved_at = 0  # when bytes of `incoming` arrived, or reading was paused or resumed

    def may_send(self) -> bool:
        """Returns whether new hops may be sent: the host is listed as ready at the address of this connection."""
        return self.host.ready and self.address == self.host.address

    def sends_large_value(self) -> bool:
        """Returns whether a large value is being sent or queued. Its client may be slow, so no other hop may wait."""
        return self.outgoing is not None or any(hop.tx.stream is not None for hop in self.to_write)

    def load(self) -> int:
        """Returns the number of hops on this connection."""
        return len(self.hops) + len(self.to_write)

    # ---- calls of the transport ----

    def connectionMade(self) -> None:
        if self.closing:  # aborted while connecting
            self.transport.abortConnection()
            return
        super().connectionMade()
        self.established = True
        self.read_at_once(self.pool.limits.read_bytes)
        self.transport.registerProducer(self, False)
        if not self.load():
            self.pool.connection_idle(self)

    def resumeProducing(self) -> None:
        """Writes the next command. The operating system has taken all bytes that the transport was given."""
        self.write_pending = False
        if self.outgoing is not None:
            self.write_outgoing()
            return
        self.writing = None
        skipped = False
        while self.to_write and self.writing is None and not self.closing:
            if not self.may_send():
                # The last check before the first byte: an error in handling a list may have prevented recall().
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
        """Writes the command of a hop, or its line where the value is streamed."""
        remaining_ms = max(1, (hop.deadline - self.pool.dispatcher.now()) // MS)
        self.pool.dispatcher.safety.record_attempt_start(hop.tx.answered, hop.tx.requester.id, hop.number)
        self.writing = hop
        self.hops.append(hop)
        self.machine.expect(hop.tx.message)
        flow = hop.tx.stream
        if flow is None:
            hop.written = True
            self.transport.write(hop.tx.message.forward(remaining_ms))
        else:
            flow.partly_taken = True
            self._write_started()
            self.outgoing, flow.on_data = flow, self.write_outgoing
            self.transport.write(hop.tx.message.forward(hop.tx.ttl // MS))
        # Twisted would write in the next turn of the loop, and the client that was just seen may have gone by then. The
        # reactor reports a broken connection by itself.
        self.transport.doWrite()

    def write_outgoing(self) -> None:
        """Forwards the received part of a large value as fast as the operating system takes it."""
        flow, hop = self.outgoing, self.writing
        if flow is None or hop is None or self.write_pending or self.closing or flow.aborted:
            return
        data = flow.take()
        if flow.all_taken():
            self.outgoing, flow.on_data = None, no_receiver
            hop.written = True
            data += b"\r\n"
        if data:
            self._write_started()
            self.transport.write(data)
        else:
            flow.mark_written()

    def _write_started(self) -> None:
        """Records that the operating system was given bytes of a large value."""
        self.write_pending = True
        self.send_progress.restart()

    def stopProducing(self) -> None:
        pass

    def rawDataReceived(self, data: bytes) -> None:
        if self.closing:
            return
        if self.idle_before_hop >= 0:
            self.pool.idle_loss.record_use(self.idle_before_hop, False)
            self.idle_before_hop = -1
        for item in self.machine.feed(data):
            if self.closing:
                return  # the previous response closed the connection
            if isinstance(item, Answer):
                self.answer_received(item)
            elif isinstance(item, ValueHeader):
                self.value_started(item)
            elif isinstance(item, ValueChunk):
                self.value_data(item.data)
            else:
                self.value_finished()
        if not self.closing:
            self.pool.count_incomplete(self, len(self.machine.buffer))
        if self.machine.fault and not self.closing:
            self.reject_response(self.machine.fault)

    def reject_response(self, fault: str) -> None:
        """Closes the connection, because its response is not valid or there is no memory for it."""
        self.pool.dispatcher.log("WARNING", "{} sent an invalid response: {}", self.host.address, fault)
        self.abort(ServerCloseReason.BAD_ANSWER)

    def answer_received(self, answer: Answer) -> None:
        """Ends the first hop with a complete response."""
        hop = self.hops.popleft()
        if hop is self.writing and not hop.written:
            # The hop can't have run before its last byte was written, whatever the cache host says.
            self.pool.dispatcher.hop_ended(
                hop, answer.outcome if answer.outcome is m.HopOutcome.FULL else m.HopOutcome.UNREACHABLE
            )
            return self.abort(ServerCloseReason.BAD_ANSWER)
        # First, as the dispatcher may send another hop to the same cache host from within hop_ended().
        if not self.machine.fault:
            self.settle()
        self.pool.dispatcher.hop_ended(hop, answer.outcome, answer.body, answer.cache_result)

    # ---- a large value that is being received ----

    def value_started(self, begun: ValueHeader) -> None:
        """The header of a large value arrived. It commits the transaction: no other hop can answer it any more.

        The first byte may come much later, and cutting off what the cache host still sends would lose the request.
        """
        self.cache_result, self.incoming_moved_at = begun.cache_result, self.pool.dispatcher.now()
        streams = self.pool.dispatcher.streams
        flow = ValueStream(begun.length, streams, self.hold_incoming, self.value_unwanted)
        self.read_at_once(streams.piece_bytes())
        self.incoming, hop = flow, self.hops[0]
        self.return_waiting()  # other hops would wait behind the large value
        if hop.ended:
            flow.abort()  # the hop was given up before: the value is read and discarded
        else:
            self.pool.dispatcher.hop_ended(hop, m.HopOutcome.DONE, flow, self.cache_result)

    def value_unwanted(self) -> None:
        """The value that is being received has no reader any more."""
        self.abort(ServerCloseReason.VALUE_UNWANTED)

    def value_data(self, data: bytes) -> None:
        """Forwards bytes of the value."""
        self.incoming_moved_at = self.pool.dispatcher.now()
        if self.incoming is not None:
            self.incoming.feed(data)

    def value_finished(self) -> None:
        """The last byte of the value arrived."""
        self.hops.popleft()
        flow, self.incoming = self.incoming, None
        self.read_at_once(self.pool.limits.read_bytes)
        if not self.machine.fault:
            self.settle()
        if flow is not None:
            flow.finish()

    def hold_incoming(self, paused: bool) -> None:
        """Pauses reading while the reader of the value is behind, and resumes it."""
        if not self.closing:
            self.incoming_moved_at = self.pool.dispatcher.now()
            self.read_at_once(self.pool.dispatcher.streams.piece_bytes())
            self.hold_reading(paused)

    def receive_stalled(self) -> bool:
        """Returns whether a large value stopped arriving although reading is not paused.

        A cache host that vanished says nothing, and one that pauses goes on, so it gets as long as a slow client does.
        """
        flow = self.incoming
        if flow is None or flow.paused:
            return False
        if flow.aborted:  # nobody waits for it
            time_limit = self.pool.limits.stall_timeout
        else:
            time_limit = (SHORT if self.pool.is_short() else PATIENT).max_quiet
        return self.pool.dispatcher.now() - self.incoming_moved_at > time_limit

    def send_stalled(self) -> bool:
        """Returns whether the cache host stopped reading a large value, whose client is paused meanwhile."""
        if not self.write_pending or not self.established:
            return False
        idle = self.send_progress.idle_time(self.pool.dispatcher.now(), self.send_state())
        if not idle and self.outgoing is not None:
            self.outgoing.on_progress()
        return idle > max(self.pool.limits.stall_timeout, self.send_progress.quiet_time(SHORT))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.idle_before_hop >= 0 and not self.closing:
            self.pool.idle_loss.record_use(self.idle_before_hop, True)
        self.closing = self.transport_closed = True
        self.pool.connection_lost(self)
        self.pool.sockets.descriptor_freed(self)
        self.fail_hops()

    # ---- calls of the pool ----

    def enqueue(self, hop: OutgoingHop) -> None:
        """Sends a hop as soon as those before it are written."""
        hop.connection = self
        self.to_write.append(hop)
        if self.established and self.writing is None:
            self.resumeProducing()

    def give_up(self, hop: OutgoingHop) -> None:
        """Stops waiting for a hop. The others on this connection continue."""
        if hop in self.to_write:
            self.to_write.remove(hop)
        elif hop is self.writing and all(other.ended for other in self.hops):
            hop.written = False  # and never will be: settle() aborts the connection
        self.settle()

    def recall(self) -> None:
        """Ends hops that have not started as skipped, as no new hop may be sent here; the balancer decides again."""
        self.return_waiting()
        if self.established:
            self.settle()
        else:
            self.abort(ServerCloseReason.LEAVING)

    def return_waiting(self) -> None:
        """Ends hops that have not started as skipped, so that they are sent elsewhere."""
        waiting, self.to_write = self.to_write, deque()
        for hop in waiting:
            self.pool.dispatcher.hop_ended(hop, m.HopOutcome.SKIPPED)

    def settle(self) -> None:
        """Reports an idle connection, and aborts one whose hops are all given up, which ends them."""
        if not self.established or self.closing or self.to_write:
            return
        if not self.hops:
            self.pool.connection_idle(self)
        elif all(hop.ended for hop in self.hops) and self.incoming is None:
            self.abort(ServerCloseReason.GIVEN_UP)

    def abort(self, reason: ServerCloseReason) -> None:
        """Closes the connection at once and fails its hops."""
        if not self.closing:
            self.closing = True
            self.pool.dispatcher.safety.record_server_close(reason)
            self.pool.connection_lost(self)
            if self.established:
                self.transport.abortConnection()
            else:
                self.connector.stopConnecting()  # there is no transport yet
            self.fail_hops()

    def close(self, reason: ServerCloseReason) -> None:
        """Closes an idle connection."""
        if not self.closing:
            self.closing = True
            self.pool.dispatcher.safety.record_server_close(reason)
            self.pool.connection_lost(self)
            self.close_after_write()

    def fail_hops(self) -> None:
        """Ends all hops. The command that the transport still holds and those behind it never ran."""
        hops, self.hops, waiting = self.hops, deque(), self.to_write
        self.to_write = deque()
        flow, self.incoming, self.outgoing = self.incoming, None, None
        if flow is not None:
            flow.abort()
        for hop in hops:
            outcome = m.HopOutcome.UNREACHABLE if hop is self.writing else m.HopOutcome.RESET
            self.pool.dispatcher.hop_ended(hop, outcome)
        for hop in waiting:
            self.pool.dispatcher.hop_ended(hop, m.HopOutcome.UNREACHABLE)


class ConnectionFactory(ClientFactory):
    """Creates one connection and reports a failure to connect."""

    noisy = False

    def __init__(self, connection: HostConnection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: Any) -> HostConnection:
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.connection.connectionLost(reason)
