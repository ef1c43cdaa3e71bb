"""Connections to cache hosts: one attempt on each while sockets last, several in order when they don't."""

from typing import Any

from ternquay import model as m
from ternquay.net.dispatcher import Dispatcher, OutgoingHop
from ternquay.net.host_connection import Dialer, HostConnection
from ternquay.net.idle_loss import IdleLoss
from ternquay.net.limits import SECOND, Limits
from ternquay.net.listing import Address
from ternquay.net.safety import ServerCloseReason
from ternquay.net.sockets import Sockets


class HostPlace:
    """The connections to one cache host."""

    def __init__(self, index: int, address: Address) -> None:
        self.index, self.address = index, address
        self.ready = self.gone = False  # ready: what is new may go there
        self.all: dict[HostConnection, None] = {}
        self.idle: list[HostConnection] = []  # the one used last at the end


class Pool:
    """The connections to all cache hosts, and the choice of one for each attempt."""

    connects = HostConnection  # what drives one connection

    def __init__(self, reactor: Any, dispatcher: Dispatcher, limits: Limits, sockets: Sockets, share: bool) -> None:
        self.reactor, self.dispatcher, self.limits, self.sockets = reactor, dispatcher, limits, sockets
        # Where a transaction may not be out twice, a given-up hop may not stay behind on a shared connection.
        self.share = share
        self.places: dict[int, HostPlace] = {}
        self.kept = 0  # bytes of half-read answers on all connections
        self.idle_loss = IdleLoss(limits)
        sockets.close_idle_host = self.shed

    # ---- for the door ----

    def listed(self, index: int, address: Address, ready: bool) -> None:
        place = self.places.setdefault(index, HostPlace(index, address))
        if address != place.address or not ready:
            self._close_idle(place)
        place.address, place.ready = address, ready

    def unlisted(self, index: int) -> None:
        """The cache host is gone for good; its place goes with its last connection."""
        place = self.places.get(index)
        if place is None:
            return  # a fault within the list that told of it: nothing of it came this far
        place.ready, place.gone = False, True
        self.recall(index)
        self._forget(place)

    def recall(self, index: int) -> None:
        """Of a host that drains, or is at another address, connections carry nothing that they have not begun."""
        for connection in list(self.places[index].all):
            if not connection.current():
                connection.recall()

    def _forget(self, place: HostPlace) -> None:
        if place.gone and not place.all:
            self.places.pop(place.index, None)

    def send(self, hop: OutgoingHop) -> None:
        place = self.places.get(hop.host)
        # Not to one that drains, though the decisions should know: they may have failed on the list that said so.
        # Nor what is partly written elsewhere: those bytes are gone.
        spent = hop.tx.stream is not None and hop.tx.stream.partly_taken
        connection = (
            self._connection(place, hop.tx.stream is None)
            if place is not None and place.ready and (not spent)
            else None
        )
        if connection is None:
            # Not the cache host's fault, and never sent.
            self.dispatcher.hop_ended(hop, m.HopOutcome.SKIPPED)
        else:
            connection.take(hop)

    def give_up(self, hop: OutgoingHop) -> None:
        if hop.connection is not None:
            hop.connection.give_up(hop)

    # ---- connections ----

    def _connection(self, place: HostPlace, share: bool) -> HostConnection | None:
        now = self.dispatcher.now()
        while place.idle:
            connection = place.idle.pop()
            # What the cache host closed, or added to its answer, may lie here unread: the hop would be lost.
            rested = now - connection.idle_since
            if (
                rested < self.limits.host_idle_timeout
                and self.idle_loss.is_usable(rested, now)
                and connection.nothing_unread()
            ):
                connection.rested = rested
                return connection
            connection.retire(ServerCloseReason.UNFIT)
        if self.sockets.may_open_host():
            return self._dial(place)
        if not self.share or not share:
            return None
        may = (c for c in place.all if c.current() and c.stream is None and not c.carries_large())
        least = min(may, key=HostConnection.load, default=None)
        return least if least is not None and least.load() < self.limits.per_host_connection else None

    def _dial(self, place: HostPlace) -> HostConnection:
        connection = self.connects(self, place)
        place.all[connection] = None
        self.sockets.host_opened()
        connection.connector = self.reactor.connectTCP(
            place.address.host, place.address.port, Dialer(connection), timeout=self.limits.connect_timeout / SECOND
        )
        return connection

    def idle(self, connection: HostConnection) -> None:
        # One that was taken up for a hop that was not begun has rested on.
        connection.idle_since, connection.rested = self.dispatcher.now() - max(0, connection.rested), -1
        if not connection.current():
            connection.retire(ServerCloseReason.LEAVING)
        elif connection not in connection.host.idle:
            connection.host.idle.append(connection)

    def lost(self, connection: HostConnection) -> None:
        place = connection.host
        if connection in place.all:
            del place.all[connection]
            self.sockets.host_closed()
            if not connection.transport_closed:
                self.sockets.closing.add(connection)
            self.kept -= connection.kept
            self._forget(place)
        if connection in place.idle:
            place.idle.remove(connection)

    def _close_idle(self, place: HostPlace) -> None:
        for connection in list(place.idle):
            connection.retire(ServerCloseReason.LEAVING)

    def shed(self) -> bool:
        """Closes the connection that has been idle longest."""
        first = (place.idle[0] for place in self.places.values() if place.idle)
        oldest = min(first, key=lambda c: c.idle_since, default=None)
        if oldest is None:
            return False
        oldest.retire(ServerCloseReason.IDLE)
        return True

    def sweep(self) -> None:
        # Made first, so that a fault in one look does not end them all.
        self.reactor.callLater(self.limits.sweep_interval / SECOND, self.sweep)
        self.swept()

    def swept(self) -> None:
        """Closes what stands idle before the cache host may: a write that crosses that is lost."""
        before = self.dispatcher.now() - self.limits.host_idle_timeout
        for place in list(self.places.values()):
            while place.idle and place.idle[0].idle_since <= before:
                place.idle[0].retire(ServerCloseReason.UNFIT)
            for connection in [c for c in place.all if c.silent() and not c.has_unread_bytes()]:
                self.dispatcher.log("WARNING", "{} breaks off a large value", place.address)
                connection.drop(ServerCloseReason.VALUE_STOPPED)
            for connection in [c for c in place.all if c.takes_nothing()]:
                self.dispatcher.log("WARNING", "{} takes no more of a large value", place.address)
                connection.drop(ServerCloseReason.VALUE_STOPPED)
