"""A listening socket that respects the socket limit and keeps accepting after any failure of accept().

Twisted's own port accepts many connections at once regardless of the socket limit, closes clients unread when file
descriptors run short, and does not handle most of the errors that accept(2) lists. Here an error of one connection
affects that connection only. If the system lacks resources, accepting pauses briefly, so that the loop does not spin on
a socket that stays readable.
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
from twisted.internet.protocol import connectionDone
from twisted.internet.tcp import Port

from ternquay.net.connection_filter import block_connection_requests
from ternquay.net.transports import BackoffServer

# Errors of the one connection that is being accepted: accept(2) passes them on, or a firewall rejects it.
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
# The pause in accepting after any other error. It doubles with each further error until a connection is accepted.
MIN_PAUSE_SECONDS = 0.002
MAX_PAUSE_SECONDS = 0.064
TCP_INFO_UNACKED = Struct("=24xI")  # tcpi_unacked of the kernel's tcp_info: the accept queue of a listening socket
ASSUMED_QUEUE_LENGTH = 16  # used where the kernel does not report the length
MAX_CONSECUTIVE_FAILURES = 16  # connections that may fail in a row before accepting pauses nevertheless


class Listener(Port):
    """A TCP port. `accept_limit` returns how many connections may be accepted now; `on_accepted` is called afterwards
    with whether more may wait."""

    transport = BackoffServer
    accept_limit: Callable[[], int] = staticmethod(lambda: 1)
    on_accepted: Callable[[bool], None] = staticmethod(lambda more_waiting: None)
    on_no_room: Callable[[], None] = staticmethod(lambda: None)  # called when accepting fails for lack of resources

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.failures: Counter[str] = Counter()  # failures of accept() by error name
        self.accepting = True  # as set by the owner
        self.pause_call: Any = None  # ends the current pause
        self.next_pause = MIN_PAUSE_SECONDS
        self.consecutive_failures = 0  # since the last accepted connection

    def set_accepting(self, accept: bool) -> None:
        """Starts or stops accepting connections."""
        self.accepting = accept
        if accept and self.pause_call is None:
            self.startReading()
        else:
            self.stopReading()

    def stop_connecting(self) -> None:
        """Takes no new connections; those in the accept queue can still be accepted.

        An adopted socket goes on taking them, for whoever else holds it.
        """
        self.accepting = False
        self.stopReading()
        if self._shouldShutdown:
            block_connection_requests(self.socket)

    def close(self) -> None:
        """Closes the socket at once. stopListening() does so a turn later, and resets who connects in between."""
        self.stopReading()
        if self.connected:
            self.connectionLost(connectionDone)

    def has_waiting(self) -> bool:
        """Returns whether a connection waits in the accept queue."""
        poller = poll()
        poller.register(self.socket.fileno(), POLLIN)
        return bool(poller.poll(0))

    def queue_length(self) -> int:
        """Returns the length of the accept queue, or an assumed one where the kernel only reports that some wait."""
        if not self.has_waiting():
            return 0
        try:
            info = self.socket.getsockopt(IPPROTO_TCP, TCP_INFO, TCP_INFO_UNACKED.size)
        except OSError:
            return ASSUMED_QUEUE_LENGTH
        return (
            int(TCP_INFO_UNACKED.unpack(info)[0]) or ASSUMED_QUEUE_LENGTH
            if len(info) == TCP_INFO_UNACKED.size
            else ASSUMED_QUEUE_LENGTH
        )

    def doRead(self) -> None:
        self.accept()

    def accept(self) -> None:
        """Accepts waiting connections up to the limit."""
        self.on_accepted(self.accept_up_to(self.accept_limit()))

    def accept_up_to(self, most: int) -> bool:
        """Accepts up to `most` connections. Returns whether more may wait: that many came, or accepting failed."""
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
        """Counts a failure and logs the first of its kind. Returns whether to try the next connection immediately."""
        name = errorcode.get(fault.errno or 0, "unknown")
        self.failures[name] += 1
        if self.failures[name] == 1:
            logger.warning("accept failed: {}, further failures of this kind are only counted", name)
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
        """Ends the pause after a failure."""
        self.pause_call = None
        if self.accepting and self.connected and not self.disconnecting:
            self.startReading()

    def make_connection(self, connection: Any, address: Any) -> None:
        """Creates the transport and protocol of an accepted connection in the same way as Twisted does."""
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
        transport: Any = self.transport(connection, protocol, address, self, number, self.reactor)
        protocol.makeConnection(transport)
