"""TCP connections that count the bytes written, and pause where the operating system refuses a writable socket.

send(2) may fail with ENOBUFS on a socket that the poller reports as writable. Twisted retries with the next poll, at
once, so that the loop spins as long as this lasts. These connections stop writing for a moment instead.
"""

from typing import Any

from twisted.internet.tcp import Client, Connector, Server

MAX_REFUSED_WRITES = 2  # consecutive ones; a single one only means that the socket's buffer is full
PAUSE_SECONDS = 0.01


class _WriteBackoff:
    """A mixin for Twisted's connections."""

    refused_writes = 0  # consecutive ones
    bytes_taken = 0  # by the operating system

    def writeSomeData(self: Any, data: Any) -> Any:
        written = super().writeSomeData(data)  # type: ignore[misc]
        if not isinstance(written, int):
            return written  # the reason why the connection is lost
        if written > 0:
            self.refused_writes = 0
            self.bytes_taken += written
        elif data:
            self.refused_writes += 1
            if self.refused_writes > MAX_REFUSED_WRITES:
                self.refused_writes = 0
                self.stopWriting()
                self.reactor.callLater(PAUSE_SECONDS, self.resume_writing)
        return written

    def resume_writing(self: Any) -> None:
        """Writes again after the pause."""
        if self.connected:
            self.startWriting()


class BackoffServer(_WriteBackoff, Server):
    """An accepted connection."""


class BackoffClient(_WriteBackoff, Client):
    """An outgoing connection."""


class BackoffConnector(Connector):
    """Creates outgoing connections of this module."""

    def _makeTransport(self) -> BackoffClient:
        return BackoffClient(self.host, self.port, self.bindAddress, self, self.reactor)
