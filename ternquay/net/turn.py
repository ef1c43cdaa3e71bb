"""The loop's turns: how long the present one has lasted, and how long what is read in it may have lain unread.

A turn begins as the poll returns. What is readable now was not at the poll before, so it has waited no longer
than since that, and not at all if the loop stood idle; and what is left to be read in a long turn waits for all
that is done before it.
"""

from collections.abc import Callable
from typing import Any

BLOCKED = 100_000  # a poll that took so long had nothing to tell when it was asked


class Turn:
    """Times are whole nanoseconds on the clock of whoever calls. Without a poller it stands still."""

    def __init__(self, most: int) -> None:
        self.most = most  # a turn that lasts longer takes no further transactions
        self.began = self.before = self.count = 0
        self.behind = 0  # since when clients may wait to be accepted, 0: at the last look there were none

    def begins(self, now: int, asked: int = 0) -> None:
        """The poll that was asked at `asked` returns; one that had to wait returns with the first thing that comes."""
        asked = asked or now
        self.count += 1
        self.before = now if now - asked > BLOCKED else self.began or now
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

    def over(self, now: int) -> bool:
        """Whether this turn has lasted so long that what it still brings is best answered at once."""
        return self.began > 0 and now - self.began > self.most


class MarkedPoll:
    """An epoll object that tells when it was asked, as it returns."""

    def __init__(self, poller: Any, now: Callable[[], int], told: Callable[[int, int], None]) -> None:
        self.now, self.told = now, told
        self.register, self.modify, self.unregister = poller.register, poller.modify, poller.unregister
        self.ask, self.close = poller.poll, poller.close

    def poll(self, *args: Any) -> Any:
        asked = self.now()
        found = self.ask(*args)
        self.told(self.now(), asked)
        return found
