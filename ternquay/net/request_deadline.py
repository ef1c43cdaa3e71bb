"""The deadline by which a request that has started to arrive must be complete.

A client may send its request slowly and in arbitrary pieces, but it must make progress. A command line has a time limit
from its first byte. A value has a limit from the end of its command line, which grows with the bytes received, and a
limit from its latest byte. Bytes that do not complete a line or a value never restart these limits.

The module does no I/O; times are integer nanoseconds on the caller's monotonic clock.
"""

from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000_000
# A client that stops in the middle of a request must get an error or a close within 3 s, and a slow client may take up
# to 2 s for a command line (the operators' pages). The rest of the 3 s covers a loop that is late.
MAX_LINE_NS = 5 * SECOND // 2  # from the first byte of a command line to its last
MAX_VALUE_PAUSE_NS = 5 * SECOND // 2  # between two bytes of a value
MIN_VALUE_NS = 5 * SECOND // 2  # for a value of any size, from the end of its command line
MIN_VALUE_BYTES_PER_SECOND = 1024  # each so many received bytes of a value extend its time by one second


class RequestPart(Enum):
    """The part of an incomplete request that is arriving."""

    NONE = 0  # the connection is between two requests
    LINE = 1
    VALUE = 2


@dataclass(frozen=True, slots=True)
class Position:
    """The position in a client's request stream: the incomplete part and the number of command lines before it."""

    part: RequestPart
    line_count: int


BETWEEN_REQUESTS = Position(RequestPart.NONE, 0)


@dataclass(slots=True)
class RequestDeadline:
    """The deadline of the incomplete request of one connection."""

    position: Position = BETWEEN_REQUESTS
    part_started_at: int = 0  # when the first byte of the current part arrived
    last_byte_at: int = 0  # when its latest byte arrived
    part_bytes: int = 0  # its received bytes
    not_before: int = 0  # the request is not overdue before this time

    def record_read(self, arrived_at: int, position: Position, size: int) -> None:
        """Records a read of `size` bytes, the last of which arrived at `arrived_at`, up to `position`."""
        if position != self.position:
            self.position, self.part_started_at, self.part_bytes, self.not_before = position, arrived_at, 0, 0
        self.last_byte_at = max(self.last_byte_at, arrived_at)
        self.part_bytes += size

    def extend(self, span: int) -> None:
        """Extends the limits by `span`, during which the balancer kept the client from writing."""
        self.part_started_at += span
        self.last_byte_at += span

    def defer_until(self, until: int) -> None:
        """Defers the deadline to `until` at the earliest."""
        self.not_before = max(self.not_before, until)

    def due_at(self) -> int | None:
        """Returns the deadline, or None between two requests."""
        if self.position.part is RequestPart.NONE:
            return None
        if self.position.part is RequestPart.LINE:
            return max(self.not_before, self.part_started_at + MAX_LINE_NS)
        by_rate = self.part_started_at + MIN_VALUE_NS + self.part_bytes * SECOND // MIN_VALUE_BYTES_PER_SECOND
        return max(self.not_before, min(by_rate, self.last_byte_at + MAX_VALUE_PAUSE_NS))
