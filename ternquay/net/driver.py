"""What the drivers of both sides share: a LineReceiver in raw mode, which keeps no bytes itself."""

from contextlib import suppress
from select import POLLERR, POLLHUP, POLLRDHUP, poll
from socket import IPPROTO_TCP, MSG_DONTWAIT, MSG_PEEK, SHUT_RDWR, TCP_INFO, TCP_NODELAY, socket
from struct import Struct
from typing import Any

from twisted.protocols.basic import LineReceiver

TCP_INFO_LAST_DATA = Struct(
    "=52xI"
)  # of the kernel's tcp_info: milliseconds since data last came (tcpi_last_data_recv)
NS_PER_MS = 1_000_000  # nanoseconds


class Driver(LineReceiver):
    line_mode = 0  # raw from the first byte: the state machine has the one buffer
    transport: Any
    transport_closed = False  # the transport has closed it
    reading_paused = False  # nothing is read for now; `paused` is the library's, which then keeps what comes to itself

    def connectionMade(self) -> None:
        # An option that can't be set makes small writes later, and nothing wrong. The library would log a traceback.
        with suppress(OSError):
            self.transport.getHandle().setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    def _peek(self) -> bytes | None:
        """The first byte that has come and was not read, b"" for the other side's end, None for nothing."""
        try:
            handle: socket = self.transport.getHandle()
            return handle.recv(1, MSG_PEEK | MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def nothing_unread(self) -> bool:
        """Whether nothing has come that was not read yet, neither bytes nor the other side's end."""
        return self._peek() is None

    def has_unread_bytes(self) -> bool:
        """Whether bytes have come that the loop is about to read."""
        return not self.reading_paused and bool(self._peek())

    def receive_idle_ns(self) -> int:
        """For how many nanoseconds nothing has come, as the system knows; 0 where it does not tell."""
        try:
            info = self.transport.getHandle().getsockopt(IPPROTO_TCP, TCP_INFO, TCP_INFO_LAST_DATA.size)
        except OSError:
            return 0
        return int(TCP_INFO_LAST_DATA.unpack(info)[0]) * NS_PER_MS if len(info) == TCP_INFO_LAST_DATA.size else 0

    def peer_closed(self) -> bool:
        """Whether the other side has closed, also behind bytes that were not read yet."""
        first = self._peek()
        if not first:
            return first is not None
        poller = poll()
        poller.register(self.transport.getHandle().fileno(), POLLRDHUP)
        return any(events & (POLLRDHUP | POLLHUP | POLLERR) for _, events in poller.poll(0))

    def close_if_nothing_unread(self) -> bool:
        """Ends an idle connection at once, unless bytes have come that were not read: they would be lost.

        In one step, as the transport closes only a turn later, and a command may come in between.
        """
        if self._peek():
            return False
        with suppress(OSError):
            self.transport.getHandle().shutdown(SHUT_RDWR)
        self.close_after_write()
        return True

    def hold_reading(self, paused: bool) -> None:
        """Reads no more for now, or goes on."""
        self.reading_paused = paused
        if paused:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def close_after_write(self) -> None:
        """Closes once all is written; with a producer the transport never would."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()
