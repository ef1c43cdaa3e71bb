"""Model of the slow origin: limited concurrency with a queue, and an outage when the request rate passes a threshold.

origin = Origin(terms, seed)
origin.request(now, ticket, cold)  # returns False if the origin is down or its queue is full
origin.advance(now)                # (ticket, succeeded) of requests that ended by now; an outage fails them
origin.due()                       # time of the next event, or None
"""

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from ternquay.rig.terms import MS, SECOND, OriginTerms


@dataclass(slots=True, frozen=True)
class Outage:
    """An outage of the origin, with the request counts of the window that caused it."""

    at: int
    asked: int
    by_cold: int  # of these, misses at cold hosts


@dataclass(slots=True)
class Origin:
    """The origin. Callers pass the current time in nanoseconds, which never decreases."""

    terms: OriginTerms
    seed: int
    random: Random = field(init=False)
    slowdown: float = 1.0  # factor by which requests take longer
    down_until: int = 0
    waiting: deque[int] = field(default_factory=deque)
    in_progress: list[tuple[int, int]] = field(default_factory=list)  # heap of (end, ticket)
    window: deque[tuple[int, bool]] = field(default_factory=deque)
    by_cold: int = 0  # count within the window
    outages: list[Outage] = field(default_factory=list)
    dropped: list[int] = field(default_factory=list)  # failed by an outage, reported by advance()
    requests_by_tenth: list[int] = field(default_factory=list)  # fetches and writes per tenth of a second

    def __post_init__(self) -> None:
        self.random = Random(f"{self.seed}/origin")

    def outage_threshold(self) -> float:
        """Returns the number of requests in one window beyond which the origin stops."""
        return self.terms.stopping_rate * self.terms.stopping_window_ms / 1000

    def request(self, now: int, ticket: int, cold: bool) -> bool:
        """Accepts a fetch or write, or returns False; `cold` marks a miss at a cold host."""
        self._count(now, cold)
        if now < self.down_until or len(self.waiting) >= self.terms.queue:
            return False
        if len(self.window) > self.outage_threshold():
            self._begin_outage(now)
            return False
        self.waiting.append(ticket)
        self._start_waiting(now)
        return True

    def _count(self, now: int, cold: bool) -> None:
        tenth = now * 10 // SECOND
        self.requests_by_tenth.extend([0] * (tenth + 1 - len(self.requests_by_tenth)))
        self.requests_by_tenth[tenth] += 1
        # During an outage requests fail fast and do not count, so they cannot prolong it.
        if now < self.down_until:
            return
        self.window.append((now, cold))
        self.by_cold += cold
        while self.window[0][0] <= now - self.terms.stopping_window_ms * MS:
            self.by_cold -= self.window.popleft()[1]

    def _begin_outage(self, now: int) -> None:
        self.outages.append(Outage(now, len(self.window), self.by_cold))
        self.down_until = now + self.terms.stopped_ms * MS
        self.dropped += [ticket for _, ticket in self.in_progress] + list(self.waiting)
        self.in_progress.clear()
        self.waiting.clear()
        self.window.clear()
        self.by_cold = 0

    def _start_waiting(self, now: int) -> None:
        while self.waiting and len(self.in_progress) < self.terms.places:
            shortest, longest = self.terms.took_ms
            duration = int(self.random.uniform(shortest, longest) * self.slowdown * MS)
            heappush(self.in_progress, (now + duration, self.waiting.popleft()))

    def advance(self, now: int) -> list[tuple[int, bool]]:
        """Returns the requests that ended by now, each with whether it succeeded."""
        ended = [(ticket, False) for ticket in self.dropped]
        self.dropped.clear()
        while self.in_progress and self.in_progress[0][0] <= now:
            at, ticket = heappop(self.in_progress)
            ended.append((ticket, True))
            self._start_waiting(at)
        return ended

    def due(self) -> int | None:
        """Returns the time of the next event, or None."""
        if self.dropped:
            return 0
        return self.in_progress[0][0] if self.in_progress else None
