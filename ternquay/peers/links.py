"""Links between members: frames over TCP, and pings over UDP at the same port. Carries bytes and decides nothing.

Each member has one connection to each other member and only sends on it, so a partition may affect one direction
alone. A frame that cannot be sent at once is dropped and counted; the layers above send again.
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

from ternquay.net.request_deadline import SECOND, Position, RequestDeadline, RequestPart
from ternquay.peers.frames import MAX_FRAME_BYTES

CONNECT_TIMEOUT_SECONDS = 0.5
RECONNECT_DELAY_SECONDS = 0.2
TCP_USER_TIMEOUT_MS = 2000  # ends a connection whose data is not acknowledged for so long
MAX_UNAUTHENTICATED_LINKS = 32
AUTHENTICATION_TIMEOUT_SECONDS = 5.0
STALL_CHECK_INTERVAL_SECONDS = 0.25
MAX_DATAGRAM_BYTES = 8192
LISTEN_BACKLOG = 64

Address = tuple[str, int]


@implementer(IPushProducer)
class OutgoingConnection(Int32StringReceiver):
    """The sending end of a link. While its send buffer is full, frames are dropped."""

    MAX_LENGTH = 64
    buffer_full = False

    def connectionMade(self) -> None:
        assert self.transport is not None
        self.transport.setTcpNoDelay(True)
        with suppress(AttributeError, OSError):
            self.transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        self.transport.registerProducer(self, True)
        self.factory.link.connection_made(self)

    def pauseProducing(self) -> None:
        self.buffer_full = True

    def resumeProducing(self) -> None:
        self.buffer_full = False

    def stopProducing(self) -> None:
        self.buffer_full = True

    def stringReceived(self, string: bytes) -> None:
        """The other member sends nothing on this connection."""

    def lengthLimitExceeded(self, length: int) -> None:
        self.transport.abortConnection()  # type: ignore[union-attr]

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.factory.link.connection_lost(self)


class LinkFactory(ClientFactory):
    """Makes one connection for a link."""

    protocol = OutgoingConnection
    noisy = False

    def __init__(self, link: "Link") -> None:
        self.link = link

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.link.reconnect_later()


class Link:
    """The outgoing link to one other member, which reconnects until it is stopped."""

    def __init__(self, reactor: Any, address: Address, random: Random, drop_counts: "Counter[str]") -> None:
        self.reactor, self.address, self.random, self.drop_counts = reactor, address, random, drop_counts
        self.connection: OutgoingConnection | None = None
        self.stopped = False

    def connect(self) -> None:
        if not self.stopped:
            self.reactor.connectTCP(*self.address, LinkFactory(self), timeout=CONNECT_TIMEOUT_SECONDS)

    def reconnect_later(self) -> None:
        """Reconnects after a delay with jitter."""
        if not self.stopped:
            self.reactor.callLater(RECONNECT_DELAY_SECONDS * (0.5 + self.random.random()), self.connect)

    def connection_made(self, connection: OutgoingConnection) -> None:
        if self.stopped:
            connection.transport.abortConnection()  # type: ignore[union-attr]
            return
        self.connection = connection

    def connection_lost(self, connection: OutgoingConnection) -> None:
        if self.connection is connection:
            self.connection = None
            self.reconnect_later()

    def send(self, text: bytes) -> bool:
        """Whether the frame was handed to the connection; otherwise it is dropped."""
        if self.connection is None or self.connection.buffer_full:
            self.drop_counts["no link" if self.connection is None else "link full"] += 1
            return False
        self.connection.sendString(text)  # type: ignore[no-untyped-call]
        return True

    def stop(self) -> None:
        self.stopped = True
        if self.connection is not None:
            self.connection.transport.abortConnection()  # type: ignore[union-attr]


class IncomingLink(Int32StringReceiver):
    """The receiving end of a link; authenticated by the first valid frame, closed by an invalid one before that."""

    MAX_LENGTH = MAX_FRAME_BYTES
    authenticated = False
    factory: "LinkListener"

    def __init__(self) -> None:
        self.frame_count = 0
        self.deadline = RequestDeadline()

    def connectionMade(self) -> None:
        self.factory.link_made(self)

    def dataReceived(self, data: bytes) -> None:
        super().dataReceived(data)  # type: ignore[no-untyped-call]
        # A frame is a value of announced length: while it is incomplete, nothing after it can be read.
        part = RequestPart.VALUE if self._unprocessed else RequestPart.NONE
        self.deadline.record_read(self.factory.now(), Position(part, self.frame_count), len(data))

    def is_stalled(self) -> bool:
        """Whether a frame is overdue after its first bytes; the stream may have lost its framing."""
        due = self.deadline.due_at()
        return due is not None and self.factory.now() >= due

    def stringReceived(self, string: bytes) -> None:
        self.frame_count += 1
        if self.factory.on_frame(string):
            self.authenticated = True
        elif not self.authenticated:
            self.transport.abortConnection()  # type: ignore[union-attr]

    def lengthLimitExceeded(self, length: int) -> None:
        self.factory.drop_counts["size"] += 1
        self.transport.abortConnection()  # type: ignore[union-attr]

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.factory.link_lost(self)


class LinkListener(Factory):
    """Accepts links from the other members. `on_frame` returns whether the frame came from a member."""

    protocol = IncomingLink  # type: ignore[assignment]
    noisy = False

    def __init__(self, reactor: Any, on_frame: Callable[[bytes], bool], drop_counts: "Counter[str]") -> None:
        self.reactor, self.on_frame, self.drop_counts = reactor, on_frame, drop_counts
        self.links: dict[IncomingLink, None] = {}
        self.stall_check: Any = None  # the timer of the next check

    def now(self) -> int:
        """Nanoseconds of the reactor's clock."""
        return int(self.reactor.seconds() * SECOND)

    def check_stalls(self) -> None:
        """Aborts the links with a stalled frame, and repeats."""
        self.stall_check = self.reactor.callLater(STALL_CHECK_INTERVAL_SECONDS, self.check_stalls)
        for link in [link for link in self.links if link.is_stalled()]:
            self.drop_counts["half a frame"] += 1
            link.transport.abortConnection()  # type: ignore[union-attr]

    def stop(self) -> None:
        if self.stall_check is not None and self.stall_check.active():
            self.stall_check.cancel()

    def link_made(self, link: IncomingLink) -> None:
        """Takes a new link; when too many are unauthenticated, the oldest of those is closed."""
        unauthenticated = [other for other in self.links if not other.authenticated]
        if len(unauthenticated) >= MAX_UNAUTHENTICATED_LINKS:
            unauthenticated[0].transport.abortConnection()  # type: ignore[union-attr]
        self.links[link] = None
        self.reactor.callLater(AUTHENTICATION_TIMEOUT_SECONDS, self._close_unauthenticated, link)

    def _close_unauthenticated(self, link: IncomingLink) -> None:
        if link in self.links and not link.authenticated:
            link.transport.abortConnection()  # type: ignore[union-attr]

    def link_lost(self, link: IncomingLink) -> None:
        self.links.pop(link, None)


class PingSocket(DatagramProtocol):
    """Sends and receives frames as datagrams."""

    noisy = False

    def __init__(self, on_frame: Callable[[bytes], bool]) -> None:
        self.on_frame = on_frame

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self.on_frame(datagram)

    def send(self, text: bytes, address: Address) -> None:
        if self.transport is not None and len(text) <= MAX_DATAGRAM_BYTES:
            with suppress(OSError):
                self.transport.write(text, address)  # type: ignore[call-arg, arg-type]


class Links:
    """All links of a member. `on_frame` gets the bytes of each frame and returns whether it came from a member.

    `drop_counts` counts the frames that were dropped on the way out or in, by reason.
    """

    def __init__(
        self,
        reactor: Any,
        listen: Address,
        addresses: Mapping[str, Address],
        on_frame: Callable[[bytes], bool],
        random: Random,
    ) -> None:
        self.reactor, self.listen, self.addresses = reactor, listen, dict(addresses)
        self.drop_counts: Counter[str] = Counter()
        self.listener = LinkListener(reactor, on_frame, self.drop_counts)
        self.ping_socket = PingSocket(on_frame)
        self.links = {name: Link(reactor, address, random, self.drop_counts) for name, address in addresses.items()}
        self.tcp_port: Any = None
        self.udp_port: Any = None

    def start(self) -> None:
        """Listens and connects. Raises CannotListenError, with nothing left open."""
        host, port = self.listen
        self.tcp_port = self.reactor.listenTCP(port, self.listener, LISTEN_BACKLOG, host)
        try:
            self.udp_port = self.reactor.listenUDP(port, self.ping_socket, host, MAX_DATAGRAM_BYTES)
        except CannotListenError:
            self.tcp_port.stopListening()
            raise
        for link in self.links.values():
            link.connect()
        self.listener.check_stalls()
        logger.info("listening for fleet members on {}:{}", host, port)

    def send(self, name: str, text: bytes) -> None:
        link = self.links.get(name)
        if link is not None:
            link.send(text)

    def ping(self, name: str, text: bytes) -> None:
        if name in self.addresses:
            self.ping_socket.send(text, self.addresses[name])

    def stop(self) -> None:
        for port in (self.tcp_port, self.udp_port):
            if port is not None:
                port.stopListening()
        self.listener.stop()
        for link in self.links.values():
            link.stop()
        for incoming in list(self.listener.links):
            incoming.transport.abortConnection()  # type: ignore[union-attr]
