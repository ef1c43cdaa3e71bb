"""The pool of connections to cache hosts: one hop on each while sockets are available, else several in order."""

from collections.abc import Callable
from typing import Any

from ternquay import model as m
from ternquay.net.dispatcher import Dispatcher, OutgoingHop
from ternquay.net.host_connection import ConnectionFactory, HostConnection
from ternquay.net.idle_loss import IdleLoss
from ternquay.net.limits import SECOND, Limits
from ternquay.net.listing import Address
from ternquay.net.safety import ServerCloseReason
from ternquay.net.shared_budget import SharedBudget
from ternquay.net.sockets import Sockets


class HostConnections:
    """The connections to one cache host."""

    def __init__(self, index: int, address: Address) -> None:
        self.index, self.address = index, address
        self.ready = self.gone = False  # ready: new hops may be sent to it
        self.connections: dict[HostConnection, None] = {}
        self.idle: list[HostConnection] = []  # the most recently used one last


class Pool:
    """Keeps the connections to all cache hosts and picks one for each hop."""

    connection_class = HostConnection  # the protocol of one connection

    def __init__(
        self, reactor: Any, dispatcher: Dispatcher, limits: Limits, sockets: Sockets, allow_sharing: bool
    ) -> None:
        self.reactor, self.dispatcher, self.limits, self.sockets = reactor, dispatcher, limits, sockets
        # Where a transaction may have only one hop in flight, a given-up hop must not stay on a shared connection.
        self.allow_sharing = allow_sharing
        self.hosts: dict[int, HostConnections] = {}
        self.incomplete_responses: SharedBudget[HostConnection] = SharedBudget()
        self.idle_loss = IdleLoss(limits)
        self.is_short: Callable[[], bool] = lambda: False  # whether what stands still costs others something
        sockets.close_idle_host = self.close_idlest

    # ---- calls of the dispatcher ----

    def update_host(self, index: int, address: Address, ready: bool) -> None:
        """Adds or updates a cache host of the host list."""
        host = self.hosts.setdefault(index, HostConnections(index, address))
        if address != host.address or not ready:
            self._close_idle(host)
        host.address, host.ready = address, ready

    def remove_host(self, index: int) -> None:
        """Removes a cache host that is gone for good; its record goes with its last connection."""
        host = self.hosts.get(index)
        if host is None:
            return  # the list that named it failed before it reached the pool
        host.ready, host.gone = False, True
        self.return_unsent_hops(index)
        self._remove_if_unused(host)

    def return_unsent_hops(self, index: int) -> None:
        """Takes back the hops that connections have not started, where the host drains or its address changed."""
        for connection in list(self.hosts[index].connections):
            if not connection.may_send():
                connection.recall()

    def _remove_if_unused(self, host: HostConnections) -> None:
        if host.gone and not host.connections:
            self.hosts.pop(host.index, None)

    def send(self, hop: OutgoingHop) -> None:
        """Sends a hop on an idle, new or shared connection, or ends it as skipped where there is none."""
        host = self.hosts.get(hop.host)
        # A draining host gets no hop. The balancer should know, but it may have failed on the list that said so.
        # A streamed value that was partly written elsewhere can't be sent again, as its first bytes are not kept.
        partly_written = hop.tx.stream is not None and hop.tx.stream.partly_taken
        connection = (
            self._pick_connection(host, hop.tx.stream is None)
            if host is not None and host.ready and (not partly_written)
            else None
        )
        if connection is None:
            # The hop was never sent, and the cache host is not at fault.
            self.dispatcher.hop_ended(hop, m.HopOutcome.SKIPPED)
        else:
            connection.enqueue(hop)

    def give_up(self, hop: OutgoingHop) -> None:
        """Stops waiting for a hop."""
        if hop.connection is not None:
            hop.connection.give_up(hop)

    # ---- connections ----

    def _pick_connection(self, host: HostConnections, may_share: bool) -> HostConnection | None:
        now = self.dispatcher.now()
        while host.idle:
            connection = host.idle.pop()
            # An unread close, or unread bytes after the last response, would lose the hop.
            idle_time = now - connection.idle_since
            if (
                idle_time < self.limits.host_idle_timeout
                and self.idle_loss.is_usable(idle_time, now)
                and connection.nothing_unread()
            ):
                connection.idle_before_hop = idle_time
                return connection
            connection.close(ServerCloseReason.UNFIT)
        if self.sockets.may_open_host():
            return self._connect(host)
        if not self.allow_sharing or not may_share:
            return None
        usable = (c for c in host.connections if c.may_send() and c.incoming is None and not c.sends_large_value())
        least_loaded = min(usable, key=HostConnection.load, default=None)
        return (
            least_loaded if least_loaded is not None and least_loaded.load() < self.limits.per_host_connection else None
        )

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
        """Records that a connection has no hops."""
        # If the connection was picked for a hop that did not start, its idle time continues.
        connection.idle_since, connection.idle_before_hop = (
            self.dispatcher.now() - max(0, connection.idle_before_hop),
            -1,
        )
        if not connection.may_send():
            connection.close(ServerCloseReason.LEAVING)
        elif connection not in connection.host.idle:
            connection.host.idle.append(connection)

    def connection_lost(self, connection: HostConnection) -> None:
        """Forgets a connection that is closed or about to close."""
        host = connection.host
        self.incomplete_responses.release(connection)
        if connection in host.connections:
            del host.connections[connection]
            self.sockets.host_closed()
            if not connection.transport_closed:
                self.sockets.closing.add(connection)
            self._remove_if_unused(host)
        if connection in host.idle:
            host.idle.remove(connection)

    def count_incomplete(self, connection: HostConnection, size: int) -> None:
        """Records the bytes of an incomplete response.

        While all of them exceed their memory limit, closes the connection whose response has stood still for longest.
        """
        self.incomplete_responses.record_progress(connection, size)
        while self.incomplete_responses.total > self.limits.buffered_bytes:
            next(iter(self.incomplete_responses)).reject_response("incomplete responses exceed the memory limit")

    def _close_idle(self, host: HostConnections) -> None:
        for connection in list(host.idle):
            connection.close(ServerCloseReason.LEAVING)

    def close_idlest(self) -> bool:
        """Closes the connection that has been idle longest. Returns False where none is idle."""
        candidates = (host.idle[0] for host in self.hosts.values() if host.idle)
        oldest = min(candidates, key=lambda c: c.idle_since, default=None)
        if oldest is None:
            return False
        oldest.close(ServerCloseReason.IDLE)
        return True

    def sweep(self) -> None:
        """Calls close_stale() at a fixed interval."""
        # The next sweep is scheduled first, so that an exception in one does not end them all.
        self.reactor.callLater(self.limits.sweep_interval / SECOND, self.sweep)
        self.close_stale()

    def close_stale(self) -> None:
        """Closes stalled connections, and idle ones before the cache host may: a hop that crosses a close is lost."""
        before = self.dispatcher.now() - self.limits.host_idle_timeout
        for host in list(self.hosts.values()):
            while host.idle and host.idle[0].idle_since <= before:
                host.idle[0].close(ServerCloseReason.UNFIT)
            for connection in [c for c in host.connections if c.receive_stalled() and not c.has_unread_bytes()]:
                self.dispatcher.log("WARNING", "{} stopped sending a large value", host.address)
                connection.abort(ServerCloseReason.VALUE_STOPPED)
            for connection in [c for c in host.connections if c.send_stalled()]:
                self.dispatcher.log("WARNING", "{} stopped reading a large value", host.address)
                connection.abort(ServerCloseReason.VALUE_STOPPED)
