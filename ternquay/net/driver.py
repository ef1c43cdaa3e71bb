"""What the drivers of both sides share: a LineReceiver in raw mode, which keeps no bytes itself."""

from contextlib import suppress
from select import POLLERR, POLLHUP, POLLRDHUP, poll
from socket import IPPROTO_TCP, MSG_DONTWAIT, MSG_PEEK, SHUT_RDWR, TCP_INFO, TCP_NODELAY, socket
from struct import Struct
from typing import Any

from twisted.protocols.basic import LineReceiver

LAST_DATA = Struct("=52xI")  # of the kernel's tcp_info: milliseconds since data last came (tcpi_last_data_recv)
MILLISECOND = 1_000_000  # nanoseconds


class Driver(LineReceiver):
    line_mode = 0  # raw from the first byte: the state machine has the one buffer
    transport: Any
    released = False  # the transport has closed it
    unreading = False  # nothing is read for now; `paused` is the library's, which then keeps what comes to itself

    def connectionMade(self) -> None:
        # An option that can't be set makes small writes later, and nothing wrong. The library would log a traceback.
        with suppress(OSError):
            self.transport.getHandle().setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    def _unread(self) -> bytes | None:
        """The first byte that has come and was not read, b"" for the other side's end, None for nothing."""
        try:
            handle: socket = self.transport.getHandle()
            return handle.recv(1, MSG_PEEK | MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def untouched(self) -> bool:
        """Whether nothing has come that was not read yet, neither bytes nor the other side's end."""
        return self._unread() is None

    def lies_unread(self) -> bool:
        """Whether bytes have come that the loop is about to read."""
        return not self.unreading and bool(self._unread())

    def silence(self) -> int:
        """For how many nanoseconds nothing has come, as the system knows; 0 where it does not tell."""
        try:
            told = self.transport.getHandle().getsockopt(IPPROTO_TCP, TCP_INFO, LAST_DATA.size)
        except OSError:
            return 0
        return int(LAST_DATA.unpack(told)[0]) * MILLISECOND if len(told) == LAST_DATA.size else 0

    def gone(self) -> bool:
        """Whether the other side has closed, also behind bytes that were not read yet."""
        first = self._unread()
        if not first:
            return first is not None
        asked = poll()
        asked.register(self.transport.getHandle().fileno(), POLLRDHUP)
        return any(found & (POLLRDHUP | POLLHUP | POLLERR) for _, found in asked.poll(0))

    def shut(self) -> bool:
        """Ends an idle connection at once, unless bytes have come that were not read: they would be lost.

        In one step, as the transport closes only a turn later, and a command may come in between.
        """
        if self._unread():
            return False
        with suppress(OSError):
            self.transport.getHandle().shutdown(SHUT_RDWR)
        self.finish()
        return True

    def pause(self, back: bool) -> None:
        """Reads no more for now, or goes on."""
        self.unreading = back
        if back:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def finish(self) -> None:
        """Closes once all is written; with a producer the transport never would."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()
