"""Links between members on TCP, and pings on UDP at the same port: bytes in, bytes out, nothing decided.

One connection from each member to each other, for what that one has to say; so a cut one way is one. What can't go
out now is dropped and counted: who has something to say says it again.
"""

import socket
from collections import Counter
from collections.abc import Callable, Mapping
from contextlib import suppress
from random import Random
from typing import Any

from loguru import logger
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import ClientFactory, DatagramProtocol, Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from ternquay.net.request_deadline import SECOND, Part, Position, RequestDeadline
from ternquay.peers.frames import FRAME_MOST

DIAL, AGAIN = 0.5, 0.2  # seconds
GONE_MS = 2000  # without an acknowledgement of what was sent, a connection is over
UNPROVEN_MOST, UNPROVEN_S = 32, 5.0
LOOK = 0.25  # seconds between two looks for frames that stand still
DATAGRAM_MOST = 8192

Where = tuple[str, int]


@implementer(IPushProducer)
class Outgoing(Int32StringReceiver):
    MAX_LENGTH = 64
    full = False

    def connectionMade(self) -> None:
        assert self.transport is not None
        self.transport.setTcpNoDelay(True)
        with suppress(AttributeError, OSError):
            self.transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, GONE_MS)
        self.transport.registerProducer(self, True)
        self.factory.link.connected(self)

    def pauseProducing(self) -> None:
        self.full = True

    def resumeProducing(self) -> None:
        self.full = False

    def stopProducing(self) -> None:
        self.full = True

    def stringReceived(self, string: bytes) -> None:
        """Nothing is said here."""

    def lengthLimitExceeded(self, length: int) -> None:
        self.transport.abortConnection()  # type: ignore[union-attr]

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.factory.link.lost(self)


class Dialler(ClientFactory):
    protocol = Outgoing
    noisy = False

    def __init__(self, link: "Link") -> None:
        self.link = link

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.link.again()


class Link:
    """To one other member."""

    def __init__(self, reactor: Any, where: Where, random: Random, dropped: "Counter[str]") -> None:
        self.reactor, self.where, self.random, self.dropped = reactor, where, random, dropped
        self.connection: Outgoing | None = None
        self.ended = False

    def dial(self) -> None:
        if not self.ended:
            self.reactor.connectTCP(*self.where, Dialler(self), timeout=DIAL)

    def again(self) -> None:
        if not self.ended:
            self.reactor.callLater(AGAIN * (0.5 + self.random.random()), self.dial)

    def connected(self, connection: Outgoing) -> None:
        if self.ended:
            connection.transport.abortConnection()  # type: ignore[union-attr]
            return
        self.connection = connection

    def lost(self, connection: Outgoing) -> None:
        if self.connection is connection:
            self.connection = None
            self.again()

    def send(self, text: bytes) -> bool:
        if self.connection is None or self.connection.full:
            self.dropped["no link" if self.connection is None else "link full"] += 1
            return False
        self.connection.sendString(text)  # type: ignore[no-untyped-call]
        return True

    def stop(self) -> None:
        self.ended = True
        if self.connection is not None:
            self.connection.transport.abortConnection()  # type: ignore[union-attr]


class Incoming(Int32StringReceiver):
    MAX_LENGTH = FRAME_MOST
    proven = False
    factory: "Door"

    def __init__(self) -> None:
        self.frames = 0
        self.deadline = RequestDeadline()

    def connectionMade(self) -> None:
        self.factory.came(self)

    def dataReceived(self, data: bytes) -> None:
        super().dataReceived(data)  # type: ignore[no-untyped-call]
        # A frame is a value whose length was told: one that does not go on holds up all behind it.
        part = Part.VALUE if self._unprocessed else Part.NONE
        self.deadline.read(self.factory.now(), Position(part, self.frames), len(data))

    def overdue(self) -> bool:
        """Whether a frame has begun to arrive and is not whole in its time: the link may be out of step."""
        due = self.deadline.due()
        return due is not None and self.factory.now() >= due

    def stringReceived(self, string: bytes) -> None:
        self.frames += 1
        if self.factory.taken(string):
            self.proven = True
        elif not self.proven:
            self.transport.abortConnection()  # type: ignore[union-attr]

    def lengthLimitExceeded(self, length: int) -> None:
        self.factory.dropped["size"] += 1
        self.transport.abortConnection()  # type: ignore[union-attr]

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.factory.left(self)


class Door(Factory):
    protocol = Incoming  # type: ignore[assignment]
    noisy = False

    def __init__(self, reactor: Any, taken: Callable[[bytes], bool], dropped: "Counter[str]") -> None:
        self.reactor, self.taken, self.dropped = reactor, taken, dropped
        self.all: dict[Incoming, None] = {}
        self.looks: Any = None  # the next look for frames that are overdue

    def now(self) -> int:
        return int(self.reactor.seconds() * SECOND)

    def look(self) -> None:
        """Ends the links on which a frame stands still."""
        self.looks = self.reactor.callLater(LOOK, self.look)
        for one in [one for one in self.all if one.overdue()]:
            self.dropped["half a frame"] += 1
            one.transport.abortConnection()  # type: ignore[union-attr]

    def stop(self) -> None:
        if self.looks is not None and self.looks.active():
            self.looks.cancel()

    def came(self, one: Incoming) -> None:
        unproven = [other for other in self.all if not other.proven]
        if len(unproven) >= UNPROVEN_MOST:
            unproven[0].transport.abortConnection()  # type: ignore[union-attr]
        self.all[one] = None
        self.reactor.callLater(UNPROVEN_S, self._look, one)

    def _look(self, one: Incoming) -> None:
        if one in self.all and not one.proven:
            one.transport.abortConnection()  # type: ignore[union-attr]

    def left(self, one: Incoming) -> None:
        self.all.pop(one, None)


class Pings(DatagramProtocol):
    noisy = False

    def __init__(self, taken: Callable[[bytes], bool]) -> None:
        self.taken = taken

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self.taken(datagram)

    def send(self, text: bytes, where: Where) -> None:
        if self.transport is not None and len(text) <= DATAGRAM_MOST:
            with suppress(OSError):
                self.transport.write(text, where)  # type: ignore[call-arg, arg-type]


class Links:
    """`taken` is told each frame as it came, and says whether it was one."""

    def __init__(
        self, reactor: Any, listen: Where, others: Mapping[str, Where], taken: Callable[[bytes], bool], random: Random
    ) -> None:
        self.reactor, self.listen, self.others = reactor, listen, dict(others)
        self.dropped: Counter[str] = Counter()
        self.door = Door(reactor, taken, self.dropped)
        self.pings = Pings(taken)
        self.links = {name: Link(reactor, where, random, self.dropped) for name, where in others.items()}
        self.port: Any = None
        self.udp: Any = None

    def start(self) -> None:
        """Raises CannotListenError, with nothing left open."""
        host, port = self.listen
        self.port = self.reactor.listenTCP(port, self.door, 64, host)
        try:
            self.udp = self.reactor.listenUDP(port, self.pings, host, DATAGRAM_MOST)
        except CannotListenError:
            self.port.stopListening()
            raise
        for link in self.links.values():
            link.dial()
        self.door.look()
        logger.info("members of the fleet reach this one at {}:{}", host, port)

    def send(self, name: str, text: bytes) -> None:
        link = self.links.get(name)
        if link is not None:
            link.send(text)

    def ping(self, name: str, text: bytes) -> None:
        if name in self.others:
            self.pings.send(text, self.others[name])

    def stop(self) -> None:
        for port in (self.port, self.udp):
            if port is not None:
                port.stopListening()
        self.door.stop()
        for link in self.links.values():
            link.stop()
        for one in list(self.door.all):
            one.transport.abortConnection()  # type: ignore[union-attr]
