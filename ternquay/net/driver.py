"""The base of connections to clients and to cache hosts: a LineReceiver in raw mode, which buffers nothing itself."""

from contextlib import suppress
from select import POLLERR, POLLHUP, POLLRDHUP, poll
from socket import IPPROTO_TCP, MSG_DONTWAIT, MSG_PEEK, SHUT_RDWR, TCP_INFO, TCP_NODELAY, socket
from struct import Struct
from typing import Any

from twisted.protocols.basic import LineReceiver

from ternquay.net.send_progress import SendState

# Fields of the kernel's struct tcp_info, each up to the end of the one that is wanted.
TCP_INFO_LAST_DATA = Struct("=52xI")  # tcpi_last_data_recv: milliseconds since data last arrived
TCP_INFO_SEGMENTS = Struct("=16xI4xI")  # tcpi_snd_mss, tcpi_unacked: segments that are out
TCP_INFO_ACKNOWLEDGED = Struct("=120xQ")  # tcpi_bytes_acked
TCP_INFO_UNSENT = Struct("=144xI")  # tcpi_notsent_bytes
TCP_INFO_WINDOW = Struct("=228xI")  # tcpi_snd_wnd
NS_PER_MS = 1_000_000


class Driver(LineReceiver):
    """The protocol of a TCP connection, with what the operating system knows about its unread bytes and its peer."""

    line_mode = 0  # raw from the first byte: the only buffer is that of the state machine
    transport: Any
    transport_closed = False  # the transport has closed the connection
    reading_paused = False  # unlike Twisted's attribute `paused`, with which it would buffer arriving bytes itself

    def connectionMade(self) -> None:
        # Without the option small writes are delayed, which is no error. Twisted would log a traceback of an exception.
        with suppress(OSError):
            self.transport.getHandle().setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    def _peek(self) -> bytes | None:
        """Returns the first unread byte without reading it, b"" if the peer has closed, None if nothing is unread."""
        try:
            handle: socket = self.transport.getHandle()
            return handle.recv(1, MSG_PEEK | MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def nothing_unread(self) -> bool:
        """Returns whether neither bytes nor a close of the peer have arrived unread."""
        return self._peek() is None

    def has_unread_bytes(self) -> bool:
        """Returns whether bytes have arrived that the loop is about to read."""
        return not self.reading_paused and bool(self._peek())

    def receive_idle_ns(self) -> int:
        """Returns the nanoseconds since data last arrived, or 0 if the operating system does not tell."""
        return _field(self._tcp_info(TCP_INFO_LAST_DATA.size), TCP_INFO_LAST_DATA) * NS_PER_MS

    def send_state(self) -> SendState:
        """Returns what has been sent so far."""
        info = self._tcp_info(TCP_INFO_WINDOW.size)
        return SendState(
            self.transport.bytes_taken,
            _field(info, TCP_INFO_ACKNOWLEDGED),
            _field(info, TCP_INFO_WINDOW),
            _field(info, TCP_INFO_SEGMENTS),
        )

    def has_unacknowledged_bytes(self) -> bool:
        """Returns whether the operating system still has to send bytes that it has accepted, as far as it tells."""
        info = self._tcp_info(TCP_INFO_UNSENT.size)
        return _field(info, TCP_INFO_UNSENT) > 0 or _field(info, TCP_INFO_SEGMENTS, 1) > 0

    def _tcp_info(self, size: int) -> bytes:
        """Returns up to `size` bytes of the kernel's struct tcp_info, none if the operating system does not tell."""
        try:
            info: bytes = self.transport.getHandle().getsockopt(IPPROTO_TCP, TCP_INFO, size)
        except OSError:
            return b""
        return info

    def peer_closed(self) -> bool:
        """Returns whether the peer has closed, even if unread bytes arrived before the close."""
        first = self._peek()
        if not first:
            return first is not None
        poller = poll()
        poller.register(self.transport.getHandle().fileno(), POLLRDHUP)
        return any(events & (POLLRDHUP | POLLHUP | POLLERR) for _, events in poller.poll(0))

    def close_if_nothing_unread(self) -> bool:
        """Closes an idle connection at once and returns True, unless unread bytes have arrived, which would be lost.

        The socket is shut down here, as the transport closes only a turn later and a command may arrive before that.
        """
        if self._peek():
            return False
        with suppress(OSError):
            self.transport.getHandle().shutdown(SHUT_RDWR)
        self.close_after_write()
        return True

    def read_at_once(self, size: int) -> None:
        """Sets how many bytes are read from the socket in one turn of the loop."""
        self.transport.bufferSize = size

    def hold_reading(self, paused: bool) -> None:
        """Pauses or resumes reading."""
        self.reading_paused = paused
        if paused:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def close_after_write(self) -> None:
        """Closes the connection once all bytes are written. The transport never would while it has a producer."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()


def _field(info: bytes, field: Struct, index: int = 0) -> int:
    """Returns a field of struct tcp_info, or 0 where an older kernel has no such field."""
    return int(field.unpack_from(info)[index]) if len(info) >= field.size else 0
