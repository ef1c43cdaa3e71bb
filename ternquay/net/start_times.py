"""Converts the start times of cache hosts to the monotonic clock, whatever happens to the wall clock.

The host list gives start times in Unix time, and a young host gets less load. A step of the wall clock must not make a
young host look old. So the difference between the two clocks is sampled with each list, and all differences that were
seen remain candidates. A start time is converted with the difference that gives the latest start that is not in the
future. The result is kept as long as the listed start time stays the same, so that a step does not look like a restart
of all hosts.

No clock can make a host older than its absence. A host that the previous list lacked, or listed with another start
time, has started since that list, or a little earlier, as lists arrive late. This applies from the second list of
discovery on.

One error is not detected: start times on the first list, if a clock was wrong before this process started and is never
stepped (docs/architecture.md).
"""

from collections.abc import Callable
from dataclasses import replace

from ternquay.net.listing import HostEntry

STEP_NS = 500_000_000  # a larger change of the difference is a step, a smaller one is drift
MAX_DIFFERENCES = 8  # the first one and the latest ones are kept
MAX_LIST_DELAY_NS = 5_000_000_000  # a host that a list lacks started at most this long before the list arrived
INITIAL_LISTS = 2  # the configured list, which may be outdated, and the first one of discovery
MAX_ABSENT_HOSTS = 4096  # remembered hosts that the list no longer names


class StartTimes:
    """Start times by host. `clock_difference` returns the wall clock minus the monotonic clock, in nanoseconds."""

    def __init__(self, clock_difference: Callable[[], int]) -> None:
        self.clock_difference = clock_difference
        self.differences = [clock_difference()]
        self.known: dict[str, tuple[int, int]] = {}  # by host: the listed start time, and the converted one
        self.absent: dict[str, tuple[int, int]] = {}  # the same of hosts that left the list, the latest last
        self.list_count = 0  # of converted lists
        self.latest_list_at = 0

    def to_monotonic(self, complete: bool, entries: tuple[HostEntry, ...], now: int) -> tuple[HostEntry, ...]:
        """Returns the entries of a list with start times on the monotonic clock instead of Unix time."""
        self._sample_difference()
        earliest = self.latest_list_at - MAX_LIST_DELAY_NS if self.list_count >= INITIAL_LISTS else None
        converted = tuple(replace(entry, started_at=self._monotonic_start(entry, now, earliest)) for entry in entries)
        if complete:
            self._move_absent({entry.id for entry in entries})
        self.list_count, self.latest_list_at = self.list_count + 1, now
        return converted

    def _move_absent(self, listed: set[str]) -> None:
        """Sets aside the hosts that a complete list lacks. A list may lose a running host and name it again later."""
        lost = {name: starts for name, starts in self.known.items() if name not in listed}
        self.known = {name: starts for name, starts in self.known.items() if name in listed}
        self.absent.update(lost)
        for name in list(self.absent)[: max(0, len(self.absent) - MAX_ABSENT_HOSTS)]:
            del self.absent[name]

    def _sample_difference(self) -> None:
        difference = self.clock_difference()
        if all(abs(difference - known) > STEP_NS for known in self.differences):
            self.differences = [self.differences[0], *self.differences[1:][-(MAX_DIFFERENCES - 2) :], difference]

    def _monotonic_start(self, entry: HostEntry, now: int, earliest: int | None) -> int:
        """Returns the start time of one host, 0 for long ago.

        A host that is new or restarted has not started before `earliest`.
        """
        if not entry.started_at:
            self.known.pop(entry.id, None)
            return 0
        listed, start = self.known.get(entry.id) or self.absent.pop(entry.id, (0, 0))
        if listed != entry.started_at:
            candidates = [entry.started_at - difference for difference in self.differences]
            # The tolerance covers clock drift: no listed host starts in the future.
            start = max((one for one in candidates if one <= now + STEP_NS), default=now)
            if earliest is not None:
                start = max(start, earliest)
            start = start or 1  # 0 means long ago
        self.known[entry.id] = entry.started_at, start
        return start
