"""When cache hosts last started, on the monotonic clock, whatever the wall clock does meanwhile.

The list tells it in Unix time, and a host is treated with care while it is young. A wall clock that was stepped must
not make a young host look old. So the difference between the two clocks is looked at with each list, every difference
that has been seen counts, and of the starts that a told time may mean the latest is taken that is not to come. What a
told time was taken for stays, so that a step is not a restart of all hosts.

No clock can make a host older than its absence: one that the list before did not have, or had with another start, has
started since then, or a little before, as lists come late. That holds from the second list of discovery on.

Not found out: what is on the first list, where a clock was wrong before this process began and is never stepped
(docs/architecture.md).
"""

from collections.abc import Callable
from dataclasses import replace

from ternquay.net.listing import Member

STEP = 500_000_000  # ns: a difference that has changed by more is that of another clock, and not a drift
DIFFERENCES = 8  # that are remembered at most: the first one, and the latest
LATE = 5_000_000_000  # ns: a host that a list lacks has not started so long before that list
OWN_LISTS = 2  # the one that a process starts with, which may be old, and the first that it is told
ABSENT_MOST = 4096  # hosts that are remembered though no list names them any more


class StartTimes:
    """`difference` tells the wall clock less the monotonic one, both in nanoseconds."""

    def __init__(self, difference: Callable[[], int]) -> None:
        self.difference = difference
        self.seen = [difference()]
        self.known: dict[str, tuple[int, int]] = {}  # by host: its start as told, and as it was taken
        self.absent: dict[str, tuple[int, int]] = {}  # the same of hosts that the list has lost, the latest last
        self.lists = 0  # that were dated
        self.latest = 0  # when the latest of them was

    def dated(self, whole: bool, members: tuple[Member, ...], now: int) -> tuple[Member, ...]:
        """The members of a list, their starts told in Unix time, with starts on the monotonic clock."""
        self._look()
        earliest = self.latest - LATE if self.lists >= OWN_LISTS else None
        dated = tuple(replace(member, since=self._since(member, now, earliest)) for member in members)
        if whole:
            self._forget({member.id for member in members})
        self.lists, self.latest = self.lists + 1, now
        return dated

    def _forget(self, named: set[str]) -> None:
        """Puts aside the hosts that a whole list lacks: a list may lose one that runs, and have it again."""
        lost = {name: taken for name, taken in self.known.items() if name not in named}
        self.known = {name: taken for name, taken in self.known.items() if name in named}
        self.absent.update(lost)
        for name in list(self.absent)[: max(0, len(self.absent) - ABSENT_MOST)]:
            del self.absent[name]

    def _look(self) -> None:
        difference = self.difference()
        if all(abs(difference - one) > STEP for one in self.seen):
            self.seen = [self.seen[0], *self.seen[1:][-(DIFFERENCES - 2) :], difference]

    def _since(self, member: Member, now: int, earliest: int | None) -> int:
        """The start of one host, 0 for long ago; `earliest` bounds that of one that has started since the last list."""
        if not member.since:
            self.known.pop(member.id, None)
            return 0
        told, since = self.known.get(member.id) or self.absent.pop(member.id, (0, 0))
        if told != member.since:
            meant = [member.since - difference for difference in self.seen]
            # Half a second for clocks that are not quite alike: nothing that is listed starts later than now.
            since = max((one for one in meant if one <= now + STEP), default=now)
            if earliest is not None:
                since = max(since, earliest)
            since = since or 1  # 0 stands for long ago
        self.known[member.id] = member.since, since
        return since
