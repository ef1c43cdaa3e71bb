"""The slow origin: so many fetches at a time, all others wait; past its stopping load it stops for a while.

law = Origin(terms, seed)
law.ask(now, ticket, cold)     # -> False: it stands still, nothing was taken
law.advance(now)               # -> tickets that ended by now, each with True, or False where it stopped
law.due()                      # when advance() is wanted next, or None
"""

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from ternquay.rig.terms import MS, SECOND, OriginTerms


@dataclass(slots=True, frozen=True)
class Stop:
    """One time that the origin stopped, with what its last window held."""

    at: int
    asked: int
    by_cold: int  # of those, misses at cold hosts


@dataclass(slots=True)
class Origin:
    terms: OriginTerms
    seed: int
    random: Random = field(init=False)
    factor: float = 1.0  # how many times as long as usual it takes
    stopped_until: int = 0
    waiting: deque[int] = field(default_factory=deque)
    out: list[tuple[int, int]] = field(default_factory=list)  # a heap of end and ticket
    window: deque[tuple[int, bool]] = field(default_factory=deque)
    by_cold: int = 0  # of the window
    stops: list[Stop] = field(default_factory=list)
    dropped: list[int] = field(default_factory=list)  # ended by a stop, to be told by advance()
    asked: list[int] = field(default_factory=list)  # fetches and writes by tenth of a second

    def __post_init__(self) -> None:
        self.random = Random(f"{self.seed}/origin")

    def stopping_count(self) -> float:
        return self.terms.stopping_rate * self.terms.stopping_window_ms / 1000

    def ask(self, now: int, ticket: int, cold: bool) -> bool:
        self._count(now, cold)
        if now < self.stopped_until or len(self.waiting) >= self.terms.queue:
            return False
        if len(self.window) > self.stopping_count():
            self._stop(now)
            return False
        self.waiting.append(ticket)
        self._start(now)
        return True

    def _count(self, now: int, cold: bool) -> None:
        tenth = now * 10 // SECOND
        self.asked.extend([0] * (tenth + 1 - len(self.asked)))
        self.asked[tenth] += 1
        # While it stands still it fails fast, and what asks then does not keep it down.
        if now < self.stopped_until:
            return
        self.window.append((now, cold))
        self.by_cold += cold
        while self.window[0][0] <= now - self.terms.stopping_window_ms * MS:
            self.by_cold -= self.window.popleft()[1]

    def _stop(self, now: int) -> None:
        self.stops.append(Stop(now, len(self.window), self.by_cold))
        self.stopped_until = now + self.terms.stopped_ms * MS
        self.dropped += [ticket for _, ticket in self.out] + list(self.waiting)
        self.out.clear()
        self.waiting.clear()
        self.window.clear()
        self.by_cold = 0

    def _start(self, now: int) -> None:
        while self.waiting and len(self.out) < self.terms.places:
            least, most = self.terms.took_ms
            took = int(self.random.uniform(least, most) * self.factor * MS)
            heappush(self.out, (now + took, self.waiting.popleft()))

    def advance(self, now: int) -> list[tuple[int, bool]]:
        ended = [(ticket, False) for ticket in self.dropped]
        self.dropped.clear()
        while self.out and self.out[0][0] <= now:
            at, ticket = heappop(self.out)
            ended.append((ticket, True))
            self._start(at)
        return ended

    def due(self) -> int | None:
        if self.dropped:
            return 0
        return self.out[0][0] if self.out else None
