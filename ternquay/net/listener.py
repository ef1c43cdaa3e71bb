"""A listening socket: accepts as many connections in a turn as fit, and goes on after any failure of accept().

The library accepts many at once, unseen by the limit on sockets, closes clients unread where descriptors are short, and
has no answer to most of the errors that accept(2) names. Here an error that belongs to one connection costs that
connection alone; where the system has no room, accepting pauses for a moment, so that the loop does not spin on a
socket that stays readable.
"""

from collections import Counter
from collections.abc import Callable
from errno import (
    ECONNABORTED,
    EHOSTDOWN,
    EHOSTUNREACH,
    EINTR,
    ENETDOWN,
    ENETUNREACH,
    ENONET,
    ENOPROTOOPT,
    EOPNOTSUPP,
    EPERM,
    EPROTO,
    ETIMEDOUT,
    errorcode,
)
from select import POLLIN, poll
from socket import IPPROTO_TCP, NI_NUMERICHOST, NI_NUMERICSERV, TCP_INFO, getnameinfo
from struct import Struct
from typing import Any

from loguru import logger
from twisted.internet.tcp import Port

from ternquay.net.transports import BackoffServer

# Errors of the connection that was to be accepted, which accept(2) passes on, or of one that a firewall forbids.
CONNECTION_ERRORS = frozenset(
    {
        ECONNABORTED,
        EHOSTDOWN,
        EHOSTUNREACH,
        EINTR,
        ENETDOWN,
        ENETUNREACH,
        ENONET,
        ENOPROTOOPT,
        EOPNOTSUPP,
        EPERM,
        EPROTO,
        ETIMEDOUT,
    }
)
# Seconds without accepting after any other error: doubled by each that follows before a connection was accepted.
MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.002, 0.064
TCP_INFO_UNACKED = Struct("=24xI")  # of the kernel's tcp_info: of a listening socket, what waits (tcpi_unacked)
ASSUMED_QUEUE_LENGTH = 16  # is taken for their number where the system does not tell it
MAX_CONSECUTIVE_FAILURES = 16  # connections that may fail one after the other, before there is a pause all the same


class Listener(Port):
    """`room` tells how many connections may be accepted now; `accepted` is told whether that many were."""

    transport = BackoffServer
    accept_limit: Callable[[], int] = staticmethod(lambda: 1)
    on_accepted: Callable[[bool], None] = staticmethod(lambda all_that_fit: None)
    on_no_room: Callable[[], None] = staticmethod(lambda: None)  # told of a failure for want of room

    def __init__(self, *terms: Any, **more: Any) -> None:
        super().__init__(*terms, **more)
        self.failures: Counter[str] = Counter()  # of accept(), by the name of the error
        self.accepting = True  # as whoever owns it has said
        self.pause_call: Any = None  # the timer of a pause
        self.next_pause = MIN_PAUSE_SECONDS
        self.consecutive_failures = 0  # connections that failed since the last one that was accepted

    def set_accepting(self, accept: bool) -> None:
        """Accepts connections from now on, or none."""
        self.accepting = accept
        if accept and self.pause_call is None:
            self.startReading()
        else:
            self.stopReading()

    def queue_length(self) -> int:
        """How many connections wait to be accepted; a few where the system tells only that there are some."""
        asked = poll()
        asked.register(self.socket.fileno(), POLLIN)
        if not asked.poll(0):
            return 0
        try:
            told = self.socket.getsockopt(IPPROTO_TCP, TCP_INFO, TCP_INFO_UNACKED.size)
        except OSError:
            return ASSUMED_QUEUE_LENGTH
        return (
            int(TCP_INFO_UNACKED.unpack(told)[0]) or ASSUMED_QUEUE_LENGTH
            if len(told) == TCP_INFO_UNACKED.size
            else ASSUMED_QUEUE_LENGTH
        )

    def doRead(self) -> None:
        self.accept()

    def accept(self) -> None:
        """Accepts what waits, as far as there is room."""
        self.on_accepted(self.accept_up_to(self.accept_limit()))

    def accept_up_to(self, most: int) -> bool:
        """Accepts up to so many connections; whether more may wait, as that many came or accepting failed."""
        for _ in range(most):
            try:
                connection, address = self.socket.accept()
            except BlockingIOError:
                return False
            except OSError as fault:
                if not self.handle_failure(fault):
                    return True
            else:
                self.next_pause, self.consecutive_failures = MIN_PAUSE_SECONDS, 0
                self.make_connection(connection, address)
        return True

    def handle_failure(self, fault: OSError) -> bool:
        """Counts a failure, and warns of the first of its kind; whether the next connection may be tried at once."""
        name = errorcode.get(fault.errno or 0, "unknown")
        self.failures[name] += 1
        if self.failures[name] == 1:
            logger.warning("accept failed: {}, further ones are counted and not told", name)
        self.consecutive_failures += 1
        if fault.errno in CONNECTION_ERRORS and self.consecutive_failures < MAX_CONSECUTIVE_FAILURES:
            return True
        if fault.errno not in CONNECTION_ERRORS:
            self.on_no_room()
        if self.pause_call is None:
            self.stopReading()
            self.pause_call = self.reactor.callLater(self.next_pause, self.end_pause)
            self.next_pause = min(MAX_PAUSE_SECONDS, 2 * self.next_pause)
        return False

    def end_pause(self) -> None:
        """The pause after a failure is over."""
        self.pause_call = None
        if self.accepting and self.connected and not self.disconnecting:
            self.startReading()

    def make_connection(self, connection: Any, address: Any) -> None:
        """Hands on a connection that was accepted, made as the library makes it."""
        if len(address) == 4:
            host, _ = getnameinfo(address, NI_NUMERICHOST | NI_NUMERICSERV)
            address = (host, *address[1:])
        connection.setblocking(False)
        factory: Any = self.factory
        protocol = factory.buildProtocol(self._buildAddr(address))
        if protocol is None:
            connection.close()
            return
        number = self.sessionno
        self.sessionno = number + 1
        made: Any = self.transport(connection, protocol, address, self, number, self.reactor)
        protocol.makeConnection(made)
