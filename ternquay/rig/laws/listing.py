"""The list of cache hosts: revisions, each told some time late; out of reach and garbage for a while."""

from bisect import bisect_right
from dataclasses import dataclass, field
from random import Random
from typing import Any

from ternquay.rig.terms import MS, ListTerms, Planned, active


@dataclass(slots=True, frozen=True)
class Entry:
    """One line: `phase` is up, draining or removed; `since` is a start in this play's time, 0 for long ago."""

    id: str
    where: str
    phase: str
    since: int
    zone: str = "here"
    size: float = 1.0

    def told(self, epoch_ms: int) -> dict[str, Any]:
        """In discovery's form; `epoch_ms` is the wall's time at the begin of the play."""
        return {
            "id": self.id,
            "host_port": self.where,
            "locality": self.zone,
            "flavor": "rig",
            "cell": 0,
            "phase": self.phase,
            "size": self.size,
            "up_since_ms": epoch_ms + self.since // MS if self.since else 0,
        }


@dataclass(slots=True)
class Listing:
    terms: ListTerms
    faults: tuple[Planned, ...]
    seed: int
    random: Random = field(init=False)
    visible: list[int] = field(default_factory=list)  # when each revision can be told, never falling
    entries: list[Entry] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = Random(f"{self.seed}/list")

    def _active(self, now: int, kind: str) -> Planned | None:
        return active(self.faults, now, kind)

    def change(self, now: int, entry: Entry, at_once: bool = False) -> int:
        """A change comes about; when it can be told."""
        late = 0 if at_once else int(self.random.uniform(*self.terms.late_ms) * MS)
        fault = self._active(now, "list-late")
        at = now + late + (fault.pause if fault else 0)
        # In their order, though one behind a late one is late too.
        at = max(at, self.visible[-1] if self.visible else 0)
        self.visible.append(at)
        self.entries.append(entry)
        return at

    def revision(self, now: int) -> int:
        return bisect_right(self.visible, now)

    def next_change(self, after: int) -> int | None:
        """When the first revision past `after` can be told, if there is one."""
        return self.visible[after] if after < len(self.visible) else None

    def down(self, now: int) -> bool:
        return self._active(now, "list-down") is not None

    def queue(self, now: int) -> int:
        """How long discovery works on each call that begins a watch."""
        fault = self._active(now, "list-queue")
        return fault.pause if fault else 0

    def garbage(self, now: int) -> bool:
        return self._active(now, "list-garbage") is not None

    def whole(self, now: int) -> list[Entry]:
        latest = {e.id: e for e in self.entries[: self.revision(now)]}
        return [e for e in latest.values() if e.phase != "removed"]

    def since(self, now: int, index: int) -> list[Entry]:
        """What has changed after that revision, the latest of each host."""
        return list({e.id: e for e in self.entries[index : self.revision(now)]}.values())
