"""Whether the peer of a connection still takes what is written to it.

A connection's own system accepts bytes long before the peer does, and reports room for more only when a good part of
its buffer is free. A peer that reads shows in what its system acknowledges and in the window that it offers. That
system reports space in steps: Linux frees the memory of data that arrived together only when all of it is read, so that
a peer that reads steadily may have to read its whole buffer before anything shows. So a peer is taken for one that has
stopped only after the time in which a slow one would have read its buffer.

The module does no I/O; times are integer nanoseconds on the caller's monotonic clock.
"""

from dataclasses import dataclass
from typing import NamedTuple

SECOND = 1_000_000_000
BUFFER_PER_WINDOW = 2  # a system offers about half of its buffer as its largest window
RECENT_NS = 100_000_000  # an observation is used for so long where many connections are compared


class SendState(NamedTuple):
    """What has been sent on a connection, in bytes. A system that does not tell leaves all but the first at 0."""

    accepted: int  # by this system
    acknowledged: int = 0  # by the peer's system
    window: int = 0  # that the peer's system offers
    segment: int = 0  # the largest one


class ReadSpeed(NamedTuple):
    """The speed from which on a peer is known to read, and the longest time without a sign of it."""

    bytes_per_second: int
    max_quiet: int  # nanoseconds


PATIENT = ReadSpeed(1 << 10, 60 * SECOND)  # as slow as a request may be written
SHORT = ReadSpeed(16 << 10, 10 * SECOND)  # while connections or memory are short, and to cache hosts


@dataclass(slots=True)
class SendProgress:
    """Since when the peer of one connection has taken nothing."""

    since: int = 0  # 0: not observed yet
    observed_at: int = 0
    state: SendState = SendState(0)
    max_window: int = 0
    max_acknowledged: int = 0  # from one observation to the next

    def restart(self) -> None:
        """Counts from the next observation."""
        self.since = 0

    def is_recent(self, now: int) -> bool:
        """Whether it was observed just now, so that another observation would tell nothing new."""
        return self.since > 0 and now - self.observed_at < RECENT_NS

    def idle_time(self, now: int, state: SendState, excused: bool = False) -> int:
        """Returns for how long nothing was taken, in nanoseconds. `excused`: this process stood still meanwhile."""
        self.observed_at = now
        self.max_window = max(self.max_window, state.window)
        self.max_acknowledged = max(self.max_acknowledged, state.acknowledged - self.state.acknowledged)
        if not self.since or excused or state != self.state:
            self.since, self.state = now, state
        return now - self.since

    def quiet_time(self, speed: ReadSpeed) -> int:
        """Returns for how long nothing may show of a peer that reads at this speed, in nanoseconds."""
        buffer = max(self.state.segment, BUFFER_PER_WINDOW * self.max_window, self.max_acknowledged)
        return min(speed.max_quiet, buffer * SECOND // speed.bytes_per_second)
