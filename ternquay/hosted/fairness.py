"""How tenants share one process: rates with a burst, parts that are lent and taken back, and turns by measured time.

All pure: times are whole nanoseconds that the caller hands in. Nothing here knows what a tenant is but its name.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

SECOND = 1_000_000_000


@dataclass(slots=True)
class Bucket:
    """So many a second, up to a burst at once."""

    rate: float
    burst: float
    left: float = field(init=False)
    at: int = 0

    def __post_init__(self) -> None:
        self.left = self.burst

    def take(self, now: int) -> int:
        """Nought if one more fits, and it is counted; else how long until one does, and it is not."""
        if now > self.at:
            self.left = min(self.burst, self.left + self.rate * (now - self.at) / SECOND)
            self.at = now
        if self.left >= 1.0:
            self.left -= 1.0
            return 0
        return int((1.0 - self.left) / self.rate * SECOND) + 1

    def change(self, now: int, rate: float, burst: float) -> None:
        """Another limit from now on; what was saved up beyond the new burst is gone."""
        self.take(now)
        self.left = min(burst, self.left + 1.0)
        self.rate, self.burst = rate, burst


@dataclass(slots=True, frozen=True)
class Part:
    """Of a whole, in its own unit: always there for its owner, and the most that it gets."""

    least: int
    most: int


@dataclass(slots=True)
class Lent:
    """One thing of which there is a whole (sockets, bytes): what its owners leave is lent to others.

    An owner within its part is never turned away, so the whole may be passed for a moment; owed() then says who
    has to give back how much. Whoever calls sheds that at once, so the parts must add up to the whole at most.
    """

    whole: int
    parts: dict[str, Part] = field(default_factory=dict)
    used: dict[str, int] = field(default_factory=dict)
    total: int = 0

    def settle(self, parts: Mapping[str, Part]) -> None:
        """The parts of all tenants from now on. One without a part keeps what it has and gets no more."""
        self.parts = dict(parts)
        self.used = {name: used for name, used in self.used.items() if used or name in parts}

    def take(self, name: str, amount: int = 1) -> bool:
        part = self.parts.get(name)
        used = self.used.get(name, 0) + amount
        if part is None or used > part.most:
            return False
        if used > part.least and self.total + amount > self.whole:
            return False
        self.used[name] = used
        self.total += amount
        return True

    def give(self, name: str, amount: int = 1) -> None:
        """Gives back; more than was taken is a fault of the caller's and changes nothing beyond nought."""
        amount = min(amount, self.used.get(name, 0))
        self.total -= amount
        self.used[name] = self.used.get(name, 0) - amount
        if not self.used[name] and name not in self.parts:
            del self.used[name]

    def owed(self) -> list[tuple[str, int]]:
        """Who has to give back how much for the whole to hold again, whoever borrowed most first."""
        excess, owed = self.total - self.whole, []
        lent = [(self.used[name] - (self.parts[name].least if name in self.parts else 0), name) for name in self.used]
        for borrowed, name in sorted(lent, key=lambda pair: (-pair[0], pair[1])):
            if excess <= 0 or borrowed <= 0:
                break
            owed.append((name, min(borrowed, excess)))
            excess -= borrowed
        return owed


@dataclass(slots=True)
class Turns:
    """Whose turn it is on the one loop: deficit round robin (Shreedhar and Varghese, 1995) over measured time.

    What a turn costs is known only after it, so it is charged then and a tenant may go into debt; it sits out as many
    rounds as that takes. Who has nothing waiting loses what it saved, but keeps its debt until `forget` is past.
    """

    quantum: int  # of time for a weight of one, in each round
    forget: int = SECOND
    weights: dict[str, float] = field(default_factory=dict)
    waiting: deque[str] = field(default_factory=deque)
    left: dict[str, float] = field(default_factory=dict)
    since: dict[str, int] = field(default_factory=dict)  # who is in debt with nothing waiting, and since when

    def settle(self, weights: Mapping[str, float]) -> None:
        """The weights of all tenants from now on; one that is gone waits for nothing any more."""
        self.weights = dict(weights)
        self.waiting = deque(name for name in self.waiting if name in weights)
        self.left = {name: left for name, left in self.left.items() if name in weights}
        self.since = {name: at for name, at in self.since.items() if name in weights}

    def ready(self, now: int, name: str) -> None:
        """It has something waiting."""
        if name not in self.weights or name in self.waiting:
            return
        if now - self.since.pop(name, now) >= self.forget:
            self.left.pop(name, None)
        self.left.setdefault(name, 0.0)
        self.waiting.append(name)

    def next(self) -> str | None:
        """Whose turn it is; None if nobody waits."""
        if not self.waiting:
            return None
        if all(self.left[name] <= 0 for name in self.waiting):
            self._rounds()
        while self.left[self.waiting[0]] <= 0:
            self.waiting.rotate(-1)
        return self.waiting[0]

    def _rounds(self) -> None:
        """As many rounds at once as bring the first of them out of its debt."""
        due = min(-self.left[name] / (self.quantum * self.weights[name]) for name in self.waiting)
        for name in self.waiting:
            self.left[name] += (int(due) + 1) * self.quantum * self.weights[name]

    def spent(self, now: int, name: str, took: int, more: bool) -> None:
        """Its turn took so long; `more`: it still has something waiting."""
        if name not in self.left:
            return  # gone in its turn
        self.left[name] -= took
        if not more and name in self.waiting:
            self.waiting.remove(name)
            if self.left[name] >= 0:
                del self.left[name]
            else:
                self.since[name] = now
        elif self.left[name] <= 0 and self.waiting and self.waiting[0] == name:
            self.waiting.rotate(-1)

    def sweep(self, now: int) -> None:
        """Debts that are forgotten leave the table."""
        for name in [name for name, at in self.since.items() if now - at >= self.forget]:
            del self.since[name]
            self.left.pop(name, None)
