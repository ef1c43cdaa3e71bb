"""The time in which a request that has begun to arrive has to be whole.

A client may write its request slowly, in pieces cut anywhere, but it has to go on: a command line has a bound from its
first byte, a value has one from the end of its line that grows with what has come of it, and a value on which nothing
comes has one from its last byte. Bytes that end nothing never begin a bound anew.

Without I/O; times are whole nanoseconds on the monotonic clock of whoever calls.
"""

from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000_000
# Clients that stop in the middle of a request are owed an error or a close within 3 s, and those that write slowly take
# up to 2 s for a command line (the operators' pages). What is left of the 3 s is for a loop that is behind.
LINE_MOST = 5 * SECOND // 2  # from the first byte of a command line to its last
VALUE_PAUSE = 5 * SECOND // 2  # without a byte of a value
VALUE_LEAST = 5 * SECOND // 2  # for a value of any size, from the end of its command line
VALUE_RATE = 1024  # bytes a second: for so many of a value that have come, it may take a second more


class Part(Enum):
    """How far a request has come that is not whole."""

    NONE = 0  # the connection is between two requests
    LINE = 1
    VALUE = 2


@dataclass(frozen=True, slots=True)
class Position:
    """Where a client's stream stands: the part that is not whole, and how many command lines came before."""

    part: Part
    lines: int


BETWEEN = Position(Part.NONE, 0)


@dataclass(slots=True)
class RequestDeadline:
    """The deadline of the one request of a connection that is not whole."""

    position: Position = BETWEEN
    began: int = 0  # when the first byte of this part came
    last: int = 0  # when its latest byte came
    received: int = 0  # bytes of this part
    spared: int = 0  # it is not due before then

    def read(self, came: int, position: Position, size: int) -> None:
        """So many bytes were read, the last of which came then, and brought the stream to that position."""
        if position != self.position:
            self.position, self.began, self.received, self.spared = position, came, 0, 0
        self.last = max(self.last, came)
        self.received += size

    def extend(self, span: int) -> None:
        """The client was kept from writing for so long."""
        self.began += span
        self.last += span

    def spare(self, until: int) -> None:
        """The request is not overdue before then, whatever came late."""
        self.spared = max(self.spared, until)

    def due(self) -> int | None:
        """When the request is overdue; None between two requests."""
        if self.position.part is Part.NONE:
            return None
        if self.position.part is Part.LINE:
            return max(self.spared, self.began + LINE_MOST)
        by_rate = self.began + VALUE_LEAST + self.received * SECOND // VALUE_RATE
        return max(self.spared, min(by_rate, self.last + VALUE_PAUSE))
