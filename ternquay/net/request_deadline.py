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
MAX_LINE_NS = 5 * SECOND // 2  # from the first byte of a command line to its last
MAX_VALUE_PAUSE_NS = 5 * SECOND // 2  # without a byte of a value
MIN_VALUE_NS = 5 * SECOND // 2  # for a value of any size, from the end of its command line
MIN_VALUE_BYTES_PER_SECOND = 1024  # bytes a second: for so many of a value that have come, it may take a second more


class RequestPart(Enum):
    """How far a request has come that is not whole."""

    NONE = 0  # the connection is between two requests
    LINE = 1
    VALUE = 2


@dataclass(frozen=True, slots=True)
class Position:
    """Where a client's stream stands: the part that is not whole, and how many command lines came before."""

    part: RequestPart
    line_count: int


BETWEEN_REQUESTS = Position(RequestPart.NONE, 0)


@dataclass(slots=True)
class RequestDeadline:
    """The deadline of the one request of a connection that is not whole."""

    position: Position = BETWEEN_REQUESTS
    part_started_at: int = 0  # when the first byte of this part came
    last_byte_at: int = 0  # when its latest byte came
    part_bytes: int = 0  # bytes of this part
    not_before: int = 0  # it is not due before then

    def record_read(self, came: int, position: Position, size: int) -> None:
        """So many bytes were read, the last of which came then, and brought the stream to that position."""
        if position != self.position:
            self.position, self.part_started_at, self.part_bytes, self.not_before = position, came, 0, 0
        self.last_byte_at = max(self.last_byte_at, came)
        self.part_bytes += size

    def extend(self, span: int) -> None:
        """The client was kept from writing for so long."""
        self.part_started_at += span
        self.last_byte_at += span

    def defer_until(self, until: int) -> None:
        """The request is not overdue before then, whatever came late."""
        self.not_before = max(self.not_before, until)

    def due_at(self) -> int | None:
        """When the request is overdue; None between two requests."""
        if self.position.part is RequestPart.NONE:
            return None
        if self.position.part is RequestPart.LINE:
            return max(self.not_before, self.part_started_at + MAX_LINE_NS)
        by_rate = self.part_started_at + MIN_VALUE_NS + self.part_bytes * SECOND // MIN_VALUE_BYTES_PER_SECOND
        return max(self.not_before, min(by_rate, self.last_byte_at + MAX_VALUE_PAUSE_NS))
