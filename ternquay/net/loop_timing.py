"""The loop's turns: how long the present one has lasted, and how long what is read in it may have lain unread.

A turn begins as the poll returns. What is readable now was not at the poll before, so it has waited no longer
than since that, and not at all if the loop stood idle; and what is left to be read in a long turn waits for all
that is done before it.
"""

from collections.abc import Callable
from typing import Any

BLOCKED_NS = 100_000  # a poll that took so long had nothing to tell when it was asked
STALL_NS = 100_000_000  # a poll that comes back so late, or a turn that lasts so long: the process stood still


class LoopTiming:
    """Times are whole nanoseconds on the clock of whoever calls. Without a poller it stands still."""

    def __init__(self, most: int) -> None:
        self.max_duration = most  # a turn that lasts longer takes no further transactions
        self.started_at = self.earliest_arrival = self.iteration = 0
        self.accept_backlog_since = 0  # since when clients may wait to be accepted, 0: at the last look there were none
        self.stalled_before = False  # the process stood still before this turn
        self.arrivals_unreported = (
            False  # it did, and the poll told of nothing: what came meanwhile is told by the next one
        )

    def begin(self, now: int, asked: int = 0, most: int = -1, found: bool = True) -> None:
        """The poll that was asked at `asked` returns; one that had to wait returns with the first thing that comes.

        Unless the process stood still in it: then it comes back later than the `most` that it was to wait, -1 for
        ever, and what it tells of may have come at any time since it was asked.
        """
        asked = asked or now
        stood, waited = 0 <= most < now - asked - STALL_NS, now - asked > BLOCKED_NS
        owed = self.arrivals_unreported and not waited
        self.stalled_before = stood or owed or (self.started_at > 0 and asked - self.started_at > STALL_NS)
        # A poll that a stop has interrupted comes back with nothing once its time is over, whatever has come.
        self.arrivals_unreported = (stood or owed) and not found
        self.iteration += 1
        if waited:
            self.earliest_arrival = asked if stood else now
        elif not owed:
            self.earliest_arrival = self.started_at or now
        self.started_at = now

    def accept_ended(self, all_that_fit: bool) -> None:
        """Clients were accepted, and there may be more, or there were no more."""
        self.accept_backlog_since = (self.accept_backlog_since or self.earliest_arrival) if all_that_fit else 0

    def waiting_since(self) -> int:
        """Since when a client that is accepted now may have waited for it."""
        return self.accept_backlog_since or self.earliest_arrival

    def max_unread_time(self, now: int, since: int) -> int:
        """The longest that what is read now may have waited; on a new connection it may be older than the turn."""
        earliest = min(self.earliest_arrival, since) if since else self.earliest_arrival
        return now - earliest if earliest else 0

    def process_stalled(self, now: int) -> bool:
        """Whether the process has stood still, or been busy, for so long that something may lie unread meanwhile."""
        return self.stalled_before or (self.started_at > 0 and now - self.started_at > STALL_NS)

    def is_overrun(self, now: int) -> bool:
        """Whether this turn has lasted so long that what it still brings is best answered at once."""
        return self.started_at > 0 and now - self.started_at > self.max_duration


class TimedPoller:
    """An epoll object that tells when it was asked, and for how long at most, as it returns."""

    def __init__(self, poller: Any, now: Callable[[], int], told: Callable[[int, int, int, bool], None]) -> None:
        self.now, self.on_poll = now, told
        self.register, self.modify, self.unregister = poller.register, poller.modify, poller.unregister
        self.inner_poll, self.close = poller.poll, poller.close

    def poll(self, timeout: float, *args: Any) -> Any:
        asked = self.now()
        found = self.inner_poll(timeout, *args)
        self.on_poll(self.now(), asked, int(timeout * 1_000_000_000) if timeout >= 0 else -1, bool(found))
        return found
