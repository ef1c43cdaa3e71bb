"""Since when bytes of one connection may lie unread, in this system's buffer or in that of the client.

A client that writes faster than it is read may have closed long ago: the close comes behind its bytes, and nothing
tells of it before they are read. So requests that are read from an old backlog are begun only once it is empty, and
the time of a value that was held back is counted from its beginning.

The module does no I/O; times are integer nanoseconds on the caller's monotonic clock.
"""

from dataclasses import dataclass

MS = 1_000_000
QUIET_NS = 5 * MS  # the sender's system fills an emptied buffer well within this time
OLD_NS = 50 * MS  # half of the time that an attempt may begin after its client has closed


@dataclass(slots=True)
class ReceiveBacklog:
    """The backlog of one connection."""

    since: int = 0  # the earliest time at which unread bytes may have been written; 0: there are none
    emptied_at: int = 0  # when the latest read left nothing unread; 0: there may be more

    def record_read(self, now: int, arrived_after: int, more: bool) -> None:
        """Records a read. `arrived_after`: its bytes were not there before. `more`: it left some unread."""
        if self.since and self.emptied_at and arrived_after > self.emptied_at + QUIET_NS:
            self.since = 0
        if more and not self.since:
            self.since = arrived_after
        self.emptied_at = 0 if more else now

    def record_pause(self, now: int) -> None:
        """Records that reading is paused."""
        self.since, self.emptied_at = self.since or now, 0

    def record_resume(self, now: int, empty: bool) -> None:
        """Records that reading goes on. `empty`: nothing has come meanwhile."""
        self.emptied_at = now if empty else 0

    def is_old(self, now: int) -> bool:
        """Whether bytes that are read now may have been written more than OLD_NS ago."""
        return self.since > 0 and now - self.since > OLD_NS
