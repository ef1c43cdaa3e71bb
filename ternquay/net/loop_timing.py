"""The loop's turns: how long the present one has lasted, and how long what is read in it may have lain unread.

A turn begins as the poll returns. What is readable now was not at the poll before, so it has waited no longer
than since that, and not at all if the loop stood idle; and what is left to be read in a long turn waits for all
that is done before it.
"""

from collections.abc import Callable
from typing import Any

BLOCKED = 100_000  # a poll that took so long had nothing to tell when it was asked
STOOD = 100_000_000  # a poll that comes back so late, or a turn that lasts so long: the process stood still


class LoopTiming:
    """Times are whole nanoseconds on the clock of whoever calls. Without a poller it stands still."""

    def __init__(self, most: int) -> None:
        self.most = most  # a turn that lasts longer takes no further transactions
        self.began = self.before = self.count = 0
        self.behind = 0  # since when clients may wait to be accepted, 0: at the last look there were none
        self.late = False  # the process stood still before this turn
        self.owing = False  # it did, and the poll told of nothing: what came meanwhile is told by the next one

    def begins(self, now: int, asked: int = 0, most: int = -1, found: bool = True) -> None:
        """The poll that was asked at `asked` returns; one that had to wait returns with the first thing that comes.

        Unless the process stood still in it: then it comes back later than the `most` that it was to wait, -1 for
        ever, and what it tells of may have come at any time since it was asked.
        """
        asked = asked or now
        stood, waited = 0 <= most < now - asked - STOOD, now - asked > BLOCKED
        owed = self.owing and not waited
        self.late = stood or owed or (self.began > 0 and asked - self.began > STOOD)
        # A poll that a stop has interrupted comes back with nothing once its time is over, whatever has come.
        self.owing = (stood or owed) and not found
        self.count += 1
        if waited:
            self.before = asked if stood else now
        elif not owed:
            self.before = self.began or now
        self.began = now

    def accepted(self, all_that_fit: bool) -> None:
        """Clients were accepted, and there may be more, or there were no more."""
        self.behind = (self.behind or self.before) if all_that_fit else 0

    def waits_since(self) -> int:
        """Since when a client that is accepted now may have waited for it."""
        return self.behind or self.before

    def unread(self, now: int, since: int) -> int:
        """The longest that what is read now may have waited; on a new connection it may be older than the turn."""
        earliest = min(self.before, since) if since else self.before
        return now - earliest if earliest else 0

    def stood_still(self, now: int) -> bool:
        """Whether the process has stood still, or been busy, for so long that something may lie unread meanwhile."""
        return self.late or (self.began > 0 and now - self.began > STOOD)

    def over(self, now: int) -> bool:
        """Whether this turn has lasted so long that what it still brings is best answered at once."""
        return self.began > 0 and now - self.began > self.most


class TimedPoller:
    """An epoll object that tells when it was asked, and for how long at most, as it returns."""

    def __init__(self, poller: Any, now: Callable[[], int], told: Callable[[int, int, int, bool], None]) -> None:
        self.now, self.told = now, told
        self.register, self.modify, self.unregister = poller.register, poller.modify, poller.unregister
        self.ask, self.close = poller.poll, poller.close

    def poll(self, timeout: float, *args: Any) -> Any:
        asked = self.now()
        found = self.ask(timeout, *args)
        self.told(self.now(), asked, int(timeout * 1_000_000_000) if timeout >= 0 else -1, bool(found))
        return found
