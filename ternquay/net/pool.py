"""Connections to cache hosts: one attempt on each while sockets last, several in order when they don't."""

from typing import Any

from ternquay import model as m
from ternquay.net.dispatcher import Dispatcher, OutgoingHop
from ternquay.net.host_connection import ConnectionFactory, HostConnection
from ternquay.net.idle_loss import IdleLoss
from ternquay.net.limits import SECOND, Limits
from ternquay.net.listing import Address
from ternquay.net.safety import ServerCloseReason
from ternquay.net.sockets import Sockets


class HostConnections:
    """The connections to one cache host."""

    def __init__(self, index: int, address: Address) -> None:
        self.index, self.address = index, address
        self.ready = self.gone = False  # ready: what is new may go there
        self.connections: dict[HostConnection, None] = {}
        self.idle: list[HostConnection] = []  # the one used last at the end


class Pool:
    """The connections to all cache hosts, and the choice of one for each attempt."""

    connection_class = HostConnection  # what drives one connection

    def __init__(
        self, reactor: Any, dispatcher: Dispatcher, limits: Limits, sockets: Sockets, allow_sharing: bool
    ) -> None:
        self.reactor, self.dispatcher, self.limits, self.sockets = reactor, dispatcher, limits, sockets
        # Where a transaction may not be out twice, a given-up hop may not stay behind on a shared connection.
        self.allow_sharing = allow_sharing
        self.hosts: dict[int, HostConnections] = {}
        self.buffered_bytes = 0  # bytes of half-read answers on all connections
        self.idle_loss = IdleLoss(limits)
        sockets.close_idle_host = self.close_idlest

    # ---- for the door ----

    def listed(self, index: int, address: Address, ready: bool) -> None:
        host = self.hosts.setdefault(index, HostConnections(index, address))
        if address != host.address or not ready:
            self._close_idle(host)
        host.address, host.ready = address, ready

    def unlisted(self, index: int) -> None:
        """The cache host is gone for good; its host goes with its last connection."""
        host = self.hosts.get(index)
        if host is None:
            return  # a fault within the list that told of it: nothing of it came this far
        host.ready, host.gone = False, True
        self.recall(index)
        self._remove_if_unused(host)

    def recall(self, index: int) -> None:
        """Of a host that drains, or is at another address, connections carry nothing that they have not begun."""
        for connection in list(self.hosts[index].connections):
            if not connection.may_send():
                connection.recall()

    def _remove_if_unused(self, host: HostConnections) -> None:
        if host.gone and not host.connections:
            self.hosts.pop(host.index, None)

    def send(self, hop: OutgoingHop) -> None:
        host = self.hosts.get(hop.host)
        # Not to one that drains, though the decisions should know: they may have failed on the list that said so.
        # Nor what is partly written elsewhere: those bytes are gone.
        spent = hop.tx.flow is not None and hop.tx.flow.touched
        connection = (
            self._pick_connection(host, hop.tx.flow is None)
            if host is not None and host.ready and (not spent)
            else None
        )
        if connection is None:
            # Not the cache host's fault, and never sent.
            self.dispatcher.hop_ended(hop, m.HopOutcome.SKIPPED)
        else:
            connection.enqueue(hop)

    def give_up(self, hop: OutgoingHop) -> None:
        if hop.connection is not None:
            hop.connection.give_up(hop)

    # ---- connections ----

    def _pick_connection(self, host: HostConnections, may_share: bool) -> HostConnection | None:
        now = self.dispatcher.now()
        while host.idle:
            connection = host.idle.pop()
            # What the cache host closed, or added to its answer, may lie here unread: the hop would be lost.
            idle_time = now - connection.idle_since
            if (
                idle_time < self.limits.host_idle_timeout
                and self.idle_loss.holds(idle_time, now)
                and connection.nothing_unread()
            ):
                connection.idle_before_hop = idle_time
                return connection
            connection.close(ServerCloseReason.UNFIT)
        if self.sockets.may_open_host():
            return self._connect(host)
        if not self.allow_sharing or not may_share:
            return None
        may = (c for c in host.connections if c.may_send() and c.incoming is None and not c.sends_large_value())
        least = min(may, key=HostConnection.load, default=None)
        return least if least is not None and least.load() < self.limits.per_host_connection else None

    def _connect(self, host: HostConnections) -> HostConnection:
        connection = self.connection_class(self, host)
        host.connections[connection] = None
        self.sockets.host_opened()
        connection.connector = self.reactor.connectTCP(
            host.address.host,
            host.address.port,
            ConnectionFactory(connection),
            timeout=self.limits.connect_timeout / SECOND,
        )
        return connection

    def connection_idle(self, connection: HostConnection) -> None:
        # One that was taken up for a hop that was not begun has idle_time on.
        connection.idle_since, connection.idle_before_hop = (
            self.dispatcher.now() - max(0, connection.idle_before_hop),
            -1,
        )
        if not connection.may_send():
            connection.close(ServerCloseReason.LEAVING)
        elif connection not in connection.host.idle:
            connection.host.idle.append(connection)

    def connection_lost(self, connection: HostConnection) -> None:
        host = connection.host
        if connection in host.connections:
            del host.connections[connection]
            self.sockets.host_closed()
            if not connection.transport_closed:
                self.sockets.closing.add(connection)
            self.buffered_bytes -= connection.buffered_bytes
            self._remove_if_unused(host)
        if connection in host.idle:
            host.idle.remove(connection)

    def _close_idle(self, host: HostConnections) -> None:
        for connection in list(host.idle):
            connection.close(ServerCloseReason.LEAVING)

    def close_idlest(self) -> bool:
        """Closes the connection that has been idle longest."""
        first = (host.idle[0] for host in self.hosts.values() if host.idle)
        oldest = min(first, key=lambda c: c.idle_since, default=None)
        if oldest is None:
            return False
        oldest.close(ServerCloseReason.IDLE)
        return True

    def sweep(self) -> None:
        # Made first, so that a fault in one look does not end them all.
        self.reactor.callLater(self.limits.sweep_interval / SECOND, self.sweep)
        self.close_stale()

    def close_stale(self) -> None:
        """Closes what stands idle before the cache host may: a write that crosses that is lost."""
        before = self.dispatcher.now() - self.limits.host_idle_timeout
        for host in list(self.hosts.values()):
            while host.idle and host.idle[0].idle_since <= before:
                host.idle[0].close(ServerCloseReason.UNFIT)
            for connection in [c for c in host.connections if c.receive_stalled() and not c.has_unread_bytes()]:
                self.dispatcher.log("WARNING", "{} breaks off a large value", host.address)
                connection.abort(ServerCloseReason.VALUE_STOPPED)
            for connection in [c for c in host.connections if c.send_stalled()]:
                self.dispatcher.log("WARNING", "{} takes no more of a large value", host.address)
                connection.abort(ServerCloseReason.VALUE_STOPPED)
