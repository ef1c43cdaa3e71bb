"""Connections to cache hosts: one hop on each while sockets last, several in order when they don't.

How it is known that a command was written: each connection is the pull producer of its own transport, which
asks for more exactly when the system has taken the last byte of what it was given, and gets one command at a
time. A connection that ends before it asked has not written its last command whole.
"""

from collections import deque
from typing import Any

from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from ternquay import model as m
from ternquay.net.door import Door, Outgoing
from ternquay.net.driver import Driver
from ternquay.net.flow import Flow, nothing
from ternquay.net.limits import MS, SECOND, Limits
from ternquay.net.listing import Address
from ternquay.net.meta import Answer, Begun, HostSide, Piece
from ternquay.net.safety import ServerCloseReason
from ternquay.net.sockets import Sockets


@implementer(IPullProducer)
class HostConnection(Driver):
    """Thin driver of one connection: the machine reads, this keeps the hops on it in order."""

    def __init__(self, pool: "Pool", host: "HostPlace") -> None:
        self.pool, self.host = pool, host
        self.address = host.address  # where it leads; the host may go on at another
        self.connector: Any = None
        self.machine = HostSide(pool.limits.line, pool.limits.answer, pool.limits.whole)
        self.kept = 0  # bytes of an answer that is not whole
        self.to_write: deque[Outgoing] = deque()
        self.writing: Outgoing | None = None
        self.hops: deque[Outgoing] = deque()  # given to the transport, in order; given-up ones stay in place
        self.idle_since = 0
        self.rested = -1  # how long it had been idle before the hop it is used for now, until something comes
        self.up = self.closing = False
        self.flow: Flow | None = None  # a large value that is coming in
        self.pours: Flow | None = None  # one that is going out, as the value of `writing`
        self.filled = False  # the system has not taken yet what it was given of that
        self.filled_at = 0  # since when
        self.note = 0  # what the cache host said of the read that `flow` answers
        self.moved = 0  # when something of `flow` came, or was let come again

    def current(self) -> bool:
        """Whether what is new may go out here: the host is listed, does not drain, and is where this leads."""
        return self.host.ready and self.address == self.host.address

    def carries_large(self) -> bool:
        """A large value goes out here, or is about to: nothing else may wait for its writer."""
        return self.pours is not None or any(hop.tx.flow is not None for hop in self.to_write)

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
            if self.pool.door.may_begin(hop):
                self.begin(hop)
            else:
                skipped = True
                self.pool.door.hop_ended(hop, m.End.SKIPPED)
        if skipped:
            self.settle()

    def begin(self, hop: Outgoing) -> None:
        left = max(1, (hop.not_past - self.pool.door.now()) // MS)
        self.pool.door.safety.begun(hop.tx.answered, hop.tx.asker.id, hop.number)
        self.writing = hop
        self.hops.append(hop)
        self.machine.expect(hop.tx.message)
        flow = hop.tx.flow
        if flow is None:
            hop.written = True
            self.transport.write(hop.tx.message.forward(left))
        else:
            flow.touched = True
            self._filled()
            self.pours, flow.sink = flow, self.pour
            self.transport.write(hop.tx.message.forward(hop.tx.ttl // MS))
        # The library would write it in the loop's next turn, and who was there at the last look may have gone by then.
        # What comes of a broken connection the loop hears of by itself.
        self.transport.doWrite()

    def pour(self) -> None:
        """Passes on what has come of a large value, as far as the system takes it."""
        flow, hop = self.pours, self.writing
        if flow is None or hop is None or self.filled or self.closing or flow.broken:
            return
        data = flow.take()
        if flow.over():
            self.pours, flow.sink = None, nothing
            hop.written = True
            data += b"\r\n"
        if data:
            self._filled()
            self.transport.write(data)
        else:
            flow.taken()

    def _filled(self) -> None:
        """The system is given some of a large value."""
        self.filled, self.filled_at = True, self.pool.door.now()

    def stopProducing(self) -> None:
        pass

    def rawDataReceived(self, data: bytes) -> None:
        if self.closing:
            return
        if self.rested >= 0:
            self.pool.wear.told(self.rested, False)
            self.rested = -1
        for item in self.machine.feed(data):
            if self.closing:
                return  # an answer before this one ended the rest
            if isinstance(item, Answer):
                self.answered(item)
            elif isinstance(item, Begun):
                self.begins(item)
            elif isinstance(item, Piece):
                self.comes(item.data)
            else:
                self.came()
        if not self.closing:
            self.pool.kept += len(self.machine.buffer) - self.kept
            self.kept = len(self.machine.buffer)
            if self.pool.kept > self.pool.limits.held:
                self.machine.fault = "more than there is room for"
        if self.machine.fault and not self.closing:
            self.pool.door.tell("WARNING", "{} answered badly: {}", self.host.address, self.machine.fault)
            self.drop(ServerCloseReason.BAD_ANSWER)

    def answered(self, answer: Answer) -> None:
        hop = self.hops.popleft()
        if hop is self.writing and not hop.written:
            # Before its last byte was written it can't have run, whatever the cache host says.
            self.pool.door.hop_ended(hop, answer.end if answer.end is m.End.FULL else m.End.UNREACHABLE)
            return self.drop(ServerCloseReason.BAD_ANSWER)
        # Before the door hears of it, as what that sets free may go to the same cache host.
        if not self.machine.fault:
            self.settle()
        self.pool.door.hop_ended(hop, answer.end, answer.body, answer.note)

    # ---- a large value ----

    def begins(self, begun: Begun) -> None:
        self.note, self.moved = begun.note, self.pool.door.now()
        self.flow = Flow(begun.length, self.pool.limits.piece, self.hold, self.unwanted)
        self.hand_back()  # against what is small behind what is large

    def unwanted(self) -> None:
        """Nobody takes the large value that comes in."""
        self.drop(ServerCloseReason.VALUE_UNWANTED)

    def comes(self, data: bytes) -> None:
        """With its first byte it is the answer: it has come in time, and no other hop can give it any more."""
        flow, hop = self.flow, self.hops[0]
        self.moved = self.pool.door.now()
        if flow is None:
            return
        if not hop.ended:
            self.pool.door.hop_ended(hop, m.End.DONE, flow, self.note)
        elif flow.sink is nothing:
            flow.broken = True  # given up before it came: read, and dropped
        flow.offer(data)

    def came(self) -> None:
        self.hops.popleft()
        flow, self.flow = self.flow, None
        if not self.machine.fault:
            self.settle()
        if flow is not None:
            flow.finish()

    def hold(self, back: bool) -> None:
        """Whoever takes the value is behind, or goes on."""
        if not self.closing:
            self.moved = self.pool.door.now()
            self.pause(back)

    def silent(self) -> bool:
        """A large value has begun, and nothing more of it comes though nobody holds it back."""
        flow = self.flow
        return flow is not None and not flow.held_back and (
            self.pool.door.now() - self.moved > self.pool.limits.stalled)

    def takes_nothing(self) -> bool:
        """A large value goes out, and the cache host takes no more of it: its client is held back meanwhile.

        A piece counts as taken once all of it is, so this bound is longer than the one for what comes in.
        """
        return self.filled and self.up and self.pool.door.now() - self.filled_at > self.pool.limits.stalled

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.rested >= 0 and not self.closing:
            self.pool.wear.told(self.rested, True)
        self.closing = self.released = True
        self.pool.lost(self)
        self.pool.sockets.closed(self)
        self.fail()

    # ---- from the pool ----

    def take(self, hop: Outgoing) -> None:
        hop.connection = self
        self.to_write.append(hop)
        if self.up and self.writing is None:
            self.resumeProducing()

    def give_up(self, hop: Outgoing) -> None:
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
            self.pool.door.hop_ended(hop, m.End.SKIPPED)

    def settle(self) -> None:
        """Idle again, or of no more use: with nothing but given-up hops on it, it is closed to end them."""
        if not self.up or self.closing or self.to_write:
            return
        if not self.hops:
            self.pool.idle(self)
        elif all(hop.ended for hop in self.hops) and self.flow is None:
            self.drop(ServerCloseReason.GIVEN_UP)

    def drop(self, reason: ServerCloseReason) -> None:
        """At once, with all that is on it."""
        if not self.closing:
            self.closing = True
            self.pool.door.safety.closing_server(reason)
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
            self.pool.door.safety.closing_server(reason)
            self.pool.lost(self)
            self.finish()

    def fail(self) -> None:
        """All that is on it has ended: the command in the transport's hands and those behind it never ran."""
        hops, self.hops, waiting = self.hops, deque(), self.to_write
        self.to_write = deque()
        flow, self.flow, self.pours = self.flow, None, None
        if flow is not None:
            flow.break_off()
        for hop in hops:
            end = m.End.UNREACHABLE if hop is self.writing else m.End.RESET
            self.pool.door.hop_ended(hop, end)
        for hop in waiting:
            self.pool.door.hop_ended(hop, m.End.UNREACHABLE)


class Dialer(ClientFactory):
    noisy = False

    def __init__(self, connection: HostConnection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: Any) -> HostConnection:
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.connection.connectionLost(reason)


class HostPlace:
    """The connections to one cache host."""

    def __init__(self, index: int, address: Address) -> None:
        self.index, self.address = index, address
        self.ready = self.gone = False  # ready: what is new may go there
        self.all: dict[HostConnection, None] = {}
        self.idle: list[HostConnection] = []  # the one used last at the end


class Wear:
    """What idle connections come to, by how long they were idle: whatever lies between may forget them.

    Where more than one in five that rested as long broke under their next hop, none so old is used; what
    was seen counts half after each `half`, so that they are tried again.
    """

    SHARE = 0.2

    def __init__(self, limits: Limits) -> None:
        self.half, self.least, self.at = limits.wear, limits.wear_least, 0
        # Each span is twice as long as the last; none rests for longer than the limit.
        spans = self._span(limits.idle) + 1
        self.used, self.broke = [0.0] * spans, [0.0] * spans

    def _span(self, rested: int) -> int:
        return (rested // MS).bit_length()

    def told(self, rested: int, broke: bool) -> None:
        span = self._span(rested)
        self.used[span] += 1
        self.broke[span] += broke

    def holds(self, rested: int, now: int) -> bool:
        if now - self.at > self.half:
            self.at = now
            self.used, self.broke = [x / 2 for x in self.used], [x / 2 for x in self.broke]
        span = self._span(rested)
        return self.used[span] < self.least or self.broke[span] <= self.SHARE * self.used[span]


class Pool:
    connects = HostConnection  # what drives one connection

    def __init__(self, reactor: Any, door: Door, limits: Limits, sockets: Sockets, share: bool) -> None:
        self.reactor, self.door, self.limits, self.sockets = reactor, door, limits, sockets
        # Where a transaction may not be out twice, a given-up hop may not stay behind on a shared connection.
        self.share = share
        self.places: dict[int, HostPlace] = {}
        self.kept = 0  # bytes of half-read answers on all connections
        self.wear = Wear(limits)
        sockets.shed_host = self.shed

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

    def send(self, hop: Outgoing) -> None:
        place = self.places.get(hop.host)
        # Not to one that drains, though the decisions should know: they may have failed on the list that said so.
        # Nor what is partly written elsewhere: those bytes are gone.
        spent = hop.tx.flow is not None and hop.tx.flow.touched
        connection = self._connection(place, hop.tx.flow is None) if place is not None and place.ready and (
            not spent) else None
        if connection is None:
            # Not the cache host's fault, and never sent.
            self.door.hop_ended(hop, m.End.SKIPPED)
        else:
            connection.take(hop)

    def give_up(self, hop: Outgoing) -> None:
        if hop.connection is not None:
            hop.connection.give_up(hop)

    # ---- connections ----

    def _connection(self, place: HostPlace, share: bool) -> HostConnection | None:
        now = self.door.now()
        while place.idle:
            connection = place.idle.pop()
            # What the cache host closed, or added to its answer, may lie here unread: the hop would be lost.
            rested = now - connection.idle_since
            if rested < self.limits.idle and self.wear.holds(rested, now) and connection.untouched():
                connection.rested = rested
                return connection
            connection.retire(ServerCloseReason.UNFIT)
        if self.sockets.may_open():
            return self._dial(place)
        if not self.share or not share:
            return None
        may = (c for c in place.all if c.current() and c.flow is None and not c.carries_large())
        least = min(may, key=HostConnection.load, default=None)
        return least if least is not None and least.load() < self.limits.per_connection else None

    def _dial(self, place: HostPlace) -> HostConnection:
        connection = self.connects(self, place)
        place.all[connection] = None
        self.sockets.host_opened()
        connection.connector = self.reactor.connectTCP(place.address.host, place.address.port, Dialer(connection),
                                                       timeout=self.limits.dial / SECOND)
        return connection

    def idle(self, connection: HostConnection) -> None:
        # One that was taken up for a hop that was not begun has rested on.
        connection.idle_since, connection.rested = self.door.now() - max(0, connection.rested), -1
        if not connection.current():
            connection.retire(ServerCloseReason.LEAVING)
        elif connection not in connection.host.idle:
            connection.host.idle.append(connection)

    def lost(self, connection: HostConnection) -> None:
        place = connection.host
        if connection in place.all:
            del place.all[connection]
            self.sockets.host_closed()
            if not connection.released:
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
        self.reactor.callLater(self.limits.sweep / SECOND, self.sweep)
        self.swept()

    def swept(self) -> None:
        """Closes what stands idle before the cache host may: a write that crosses that is lost."""
        before = self.door.now() - self.limits.idle
        for place in list(self.places.values()):
            while place.idle and place.idle[0].idle_since <= before:
                place.idle[0].retire(ServerCloseReason.UNFIT)
            for connection in [c for c in place.all if c.silent() and not c.lies_unread()]:
                self.door.tell("WARNING", "{} breaks off a large value", place.address)
                connection.drop(ServerCloseReason.VALUE_STOPPED)
            for connection in [c for c in place.all if c.takes_nothing()]:
                self.door.tell("WARNING", "{} takes no more of a large value", place.address)
                connection.drop(ServerCloseReason.VALUE_STOPPED)
