"""TCP connections that count what the system takes, and wait a moment where it refuses what it said it has room for.

send(2) may fail with ENOBUFS on a socket that the poll calls writable. The library tries again with the next poll, at
once, so that the loop spins for as long as that lasts. Here such a connection writes nothing for a moment.
"""

from typing import Any

from twisted.internet.tcp import Client, Connector, Server

MAX_REFUSED_WRITES = 2  # times in a row; once is the ordinary word that the socket's buffer is full
PAUSE_SECONDS = 0.01  # seconds


class _WriteBackoff:
    """Mixed into a connection of the library."""

    refused_writes = 0  # times in a row that the system took nothing
    bytes_taken = 0  # bytes that it took

    def writeSomeData(self: Any, data: Any) -> Any:
        taken = super().writeSomeData(data)  # type: ignore[misc]
        if not isinstance(taken, int):
            return taken  # why the connection is lost
        if taken > 0:
            self.refused_writes = 0
            self.bytes_taken += taken
        elif data:
            self.refused_writes += 1
            if self.refused_writes > MAX_REFUSED_WRITES:
                self.refused_writes = 0
                self.stopWriting()
                self.reactor.callLater(PAUSE_SECONDS, self.resume_writing)
        return taken

    def resume_writing(self: Any) -> None:
        """The pause is over."""
        if self.connected:
            self.startWriting()


class BackoffServer(_WriteBackoff, Server):
    """A connection that was accepted."""


class BackoffClient(_WriteBackoff, Client):
    """A connection that is made."""


class BackoffConnector(Connector):
    """Makes connections of this module."""

    def _makeTransport(self) -> BackoffClient:
        return BackoffClient(self.host, self.port, self.bindAddress, self, self.reactor)
