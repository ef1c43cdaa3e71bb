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

from ternquay.net.listing import HostEntry

STEP_NS = 500_000_000  # ns: a difference that has changed by more is that of another clock, and not a drift
MAX_DIFFERENCES = 8  # that are remembered at most: the first one, and the latest
MAX_LIST_DELAY_NS = 5_000_000_000  # ns: a host that a list lacks has not started so long before that list
INITIAL_LISTS = 2  # the one that a process starts with, which may be old, and the first that it is told
MAX_ABSENT_HOSTS = 4096  # hosts that are remembered though no list names them any more


class StartTimes:
    """`clock_difference` tells the wall clock less the monotonic one, both in nanoseconds."""

    def __init__(self, clock_difference: Callable[[], int]) -> None:
        self.clock_difference = clock_difference
        self.differences = [clock_difference()]
        self.known: dict[str, tuple[int, int]] = {}  # by host: its start as told, and as it was taken
        self.absent: dict[str, tuple[int, int]] = {}  # the same of hosts that the list has lost, the latest last
        self.list_count = 0  # that were dated
        self.latest_list_at = 0  # when the latest of them was

    def to_monotonic(self, whole: bool, members: tuple[HostEntry, ...], now: int) -> tuple[HostEntry, ...]:
        """The members of a list, their starts told in Unix time, with starts on the monotonic clock."""
        self._sample_difference()
        earliest = self.latest_list_at - MAX_LIST_DELAY_NS if self.list_count >= INITIAL_LISTS else None
        dated = tuple(replace(member, started_at=self._monotonic_start(member, now, earliest)) for member in members)
        if whole:
            self._move_absent({member.id for member in members})
        self.list_count, self.latest_list_at = self.list_count + 1, now
        return dated

    def _move_absent(self, named: set[str]) -> None:
        """Puts aside the hosts that a whole list lacks: a list may lose one that runs, and have it again."""
        lost = {name: taken for name, taken in self.known.items() if name not in named}
        self.known = {name: taken for name, taken in self.known.items() if name in named}
        self.absent.update(lost)
        for name in list(self.absent)[: max(0, len(self.absent) - MAX_ABSENT_HOSTS)]:
            del self.absent[name]

    def _sample_difference(self) -> None:
        difference = self.clock_difference()
        if all(abs(difference - one) > STEP_NS for one in self.differences):
            self.differences = [self.differences[0], *self.differences[1:][-(MAX_DIFFERENCES - 2) :], difference]

    def _monotonic_start(self, member: HostEntry, now: int, earliest: int | None) -> int:
        """The start of one host, 0 for long ago; `earliest` bounds that of one that has started since the last list."""
        if not member.started_at:
            self.known.pop(member.id, None)
            return 0
        told, since = self.known.get(member.id) or self.absent.pop(member.id, (0, 0))
        if told != member.started_at:
            meant = [member.started_at - difference for difference in self.differences]
            # Half a second for clocks that are not quite alike: nothing that is listed starts later than now.
            since = max((one for one in meant if one <= now + STEP_NS), default=now)
            if earliest is not None:
                since = max(since, earliest)
            since = since or 1  # 0 stands for long ago
        self.known[member.id] = member.started_at, since
        return since
