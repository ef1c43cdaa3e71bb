"""Model of discovery's list of cache hosts: revisions that become visible with a delay, outages and garbage."""

from bisect import bisect_right
from dataclasses import dataclass, field
from random import Random
from typing import Any

from ternquay.rig.terms import MS, ListTerms, PlannedFault, active_fault


@dataclass(slots=True, frozen=True)
class Entry:
    """A host in the list. `phase` is up, draining or removed; `since` is its start time, 0 if before the play."""

    id: str
    address: str
    phase: str
    since: int
    zone: str = "here"
    size: float = 1.0

    def to_json(self, epoch_ms: int) -> dict[str, Any]:
        """Returns the entry in discovery's format; `epoch_ms` is the wall clock time at the start of the play."""
        return {
            "id": self.id,
            "host_port": self.address,
            "locality": self.zone,
            "flavor": "rig",
            "cell": 0,
            "phase": self.phase,
            "size": self.size,
            "up_since_ms": epoch_ms + self.since // MS if self.since else 0,
        }


@dataclass(slots=True)
class Listing:
    """The list and its faults. Revisions count from 1; revision `n` includes the first `n` changes."""

    terms: ListTerms
    faults: tuple[PlannedFault, ...]
    seed: int
    random: Random = field(init=False)
    visible: list[int] = field(default_factory=list)  # time at which each revision becomes visible, ascending
    entries: list[Entry] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = Random(f"{self.seed}/list")

    def _active(self, now: int, kind: str) -> PlannedFault | None:
        return active_fault(self.faults, now, kind)

    def change(self, now: int, entry: Entry, immediate: bool = False) -> int:
        """Records a change and returns the time at which it becomes visible."""
        delay = 0 if immediate else int(self.random.uniform(*self.terms.late_ms) * MS)
        fault = self._active(now, "list-late")
        at = now + delay + (fault.pause if fault else 0)
        # Revisions become visible in order, so a change behind a delayed one is delayed as well.
        at = max(at, self.visible[-1] if self.visible else 0)
        self.visible.append(at)
        self.entries.append(entry)
        return at

    def revision(self, now: int) -> int:
        """Returns the latest visible revision."""
        return bisect_right(self.visible, now)

    def next_change(self, after: int) -> int | None:
        """Returns the time at which the first revision after `after` becomes visible, or None."""
        return self.visible[after] if after < len(self.visible) else None

    def down(self, now: int) -> bool:
        """Whether discovery is unavailable."""
        return self._active(now, "list-down") is not None

    def watch_start_delay(self, now: int) -> int:
        """Returns how many nanoseconds discovery takes for each call that starts a watch."""
        fault = self._active(now, "list-queue")
        return fault.pause if fault else 0

    def garbage(self, now: int) -> bool:
        """Whether discovery sends malformed answers."""
        return self._active(now, "list-garbage") is not None

    def complete(self, now: int) -> list[Entry]:
        """Returns the latest visible entry of each host that is not removed."""
        latest = {entry.id: entry for entry in self.entries[: self.revision(now)]}
        return [entry for entry in latest.values() if entry.phase != "removed"]

    def since(self, now: int, index: int) -> list[Entry]:
        """Returns the latest entry of each host that changed after revision `index`."""
        return list({entry.id: entry for entry in self.entries[index : self.revision(now)]}.values())
