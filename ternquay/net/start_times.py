"""When cache hosts last started, on the monotonic clock, whatever the wall clock does meanwhile.

The list tells it in Unix time, and a host is treated with care while it is young. A wall clock that was stepped must
not make a young host look old. So the difference between the two clocks is looked at with each list, every difference
that has been seen counts, and of the starts that a told time may mean the latest is taken that is not to come. What a
told time was taken for stays, so that a step is not a restart of all hosts.

Not found out: a clock that was wrong before this process began and is never stepped, and one that is set back where the
list is made and not here (docs/architecture.md).
"""

from collections.abc import Callable
from dataclasses import replace

from ternquay.net.listing import Member

STEP = 500_000_000  # ns: a difference that has changed by more is that of another clock, and not a drift
DIFFERENCES = 8  # that are remembered at most: the first one, and the latest


class StartTimes:
    """`difference` tells the wall clock less the monotonic one, both in nanoseconds."""

    def __init__(self, difference: Callable[[], int]) -> None:
        self.difference = difference
        self.seen = [difference()]
        self.known: dict[str, tuple[int, int]] = {}  # by host: its start as told, and as it was taken

    def dated(self, whole: bool, members: tuple[Member, ...], now: int) -> tuple[Member, ...]:
        """The members of a list, their starts told in Unix time, with starts on the monotonic clock."""
        self._look()
        dated = tuple(replace(member, since=self._since(member, now)) for member in members)
        if whole:
            named = {member.id for member in members}
            self.known = {name: taken for name, taken in self.known.items() if name in named}
        return dated

    def _look(self) -> None:
        difference = self.difference()
        if all(abs(difference - one) > STEP for one in self.seen):
            self.seen = [self.seen[0], *self.seen[1:][-(DIFFERENCES - 2):], difference]

    def _since(self, member: Member, now: int) -> int:
        if not member.since:
            self.known.pop(member.id, None)
            return 0  # long ago
        told, since = self.known.get(member.id, (0, 0))
        if told != member.since:
            meant = [member.since - difference for difference in self.seen]
            # Half a second for clocks that are not quite alike: nothing that is listed starts later than now.
            since = max((one for one in meant if one <= now + STEP), default=now) or 1  # 0 stands for long ago
            self.known[member.id] = member.since, since
        return since
