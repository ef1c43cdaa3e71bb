"""TCP connections that count what the system takes, and wait a moment where it refuses what it said it has room for.

send(2) may fail with ENOBUFS on a socket that the poll calls writable. The library tries again with the next poll, at
once, so that the loop spins for as long as that lasts. Here such a connection writes nothing for a moment.
"""

from typing import Any

from twisted.internet.tcp import Client, Connector, Server

REFUSED_MOST = 2  # times in a row; once is the ordinary word that the socket's buffer is full
PAUSE = 0.01  # seconds


class _Patient:
    """Mixed into a connection of the library."""

    refused = 0  # times in a row that the system took nothing
    taken = 0  # bytes that it took

    def writeSomeData(self: Any, data: Any) -> Any:
        taken = super().writeSomeData(data)  # type: ignore[misc]
        if not isinstance(taken, int):
            return taken  # why the connection is lost
        if taken > 0:
            self.refused = 0
            self.taken += taken
        elif data:
            self.refused += 1
            if self.refused > REFUSED_MOST:
                self.refused = 0
                self.stopWriting()
                self.reactor.callLater(PAUSE, self.write_again)
        return taken

    def write_again(self: Any) -> None:
        """The pause is over."""
        if self.connected:
            self.startWriting()


class PatientServer(_Patient, Server):
    """A connection that was accepted."""


class PatientClient(_Patient, Client):
    """A connection that is made."""


class PatientConnector(Connector):
    """Makes connections of this module."""

    def _makeTransport(self) -> PatientClient:
        return PatientClient(self.host, self.port, self.bindAddress, self, self.reactor)
