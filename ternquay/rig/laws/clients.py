"""Clients: open-loop arrivals, skewed keys, bursts, hot keys, keys wanted once, and their retries."""

from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache
from itertools import accumulate
from random import Random

from ternquay.rig.terms import MS, SECOND, Day, Planned

FIRST_WAIT = 80 * MS  # before a retry, where the answer names no wait
LEAST_LEFT = 60 * MS


@dataclass(slots=True, frozen=True)
class Arrival:
    """One transaction of a client; its retries carry the same number."""

    number: int
    due: int
    profile: int
    key: str
    size: int  # of the value that a write brings
    leaves: int  # after so long without an answer it goes away, 0: it stays
    pipelined: bool


def popular(day: Day) -> list[float]:
    """The share of all keys up to and with each one, the most popular first."""
    shares = [1 / (rank + 1) ** day.clients.skew for rank in range(day.clients.keys)]
    total = sum(shares)
    return [x / total for x in accumulate(shares)]


def value_size(day: Day, key: str) -> int:
    """Of a key's value, the same wherever it is asked."""
    return _drawn_size(key, *day.clients.value_bytes)


@lru_cache(1 << 16)
def _drawn_size(key: str, least: int, most: int) -> int:
    return Random(f"size/{key}").randint(least, most)


class Clients:
    def __init__(self, day: Day, faults: tuple[Planned, ...], seed: int) -> None:
        self.day, self.seed = day, seed
        self.length = int(day.seconds * SECOND)
        self.faults = faults
        self.bursts = [f for f in faults if f.kind == "burst"]
        self.hot = [f for f in faults if f.kind == "hot-key"]
        self.once = [f for f in faults if f.kind == "once-keys"]
        self.popular = popular(day)
        self.shares = list(accumulate(p.share for p in day.profiles))

    def _rate(self, at: int) -> float:
        rate = self.day.clients.rate
        for f in self.bursts:
            if f.start <= at < f.end:
                rate *= f.factor
        return rate

    def arrivals(self) -> Iterator[Arrival]:
        """In the order of their due times, until the play's end."""
        random = Random(f"{self.seed}/clients")
        most = self.day.clients.rate
        for f in self.bursts:
            most *= max(1.0, f.factor)
        at, number = 0.0, 0
        while (at := at + random.expovariate(most) * SECOND) < self.length:
            if random.random() * most < self._rate(int(at)):
                yield self._arrival(random, int(at), number)
                number += 1

    def _arrival(self, random: Random, at: int, number: int) -> Arrival:
        terms = self.day.clients
        profile = min(bisect_left(self.shares, random.random()), len(self.shares) - 1)
        leaves = 0
        if random.random() < terms.leaves_early:
            leaves = int(random.random() * self.day.profiles[profile].service_goal_ms * MS) + 1
        return Arrival(
            number,
            at,
            profile,
            self._key(random, at, number),
            random.randint(*terms.value_bytes),
            leaves,
            random.random() < terms.pipelined,
        )

    def _key(self, random: Random, at: int, number: int) -> str:
        for i, f in enumerate(self.hot):
            if f.start <= at < f.end and random.random() < f.part:
                return f"hot-{i}-{random.randrange(f.count)}"
        for f in self.once:
            if f.start <= at < f.end and random.random() < f.part:
                return f"once-{number}"
        return f"k{min(bisect_left(self.popular, random.random()), len(self.popular) - 1)}"

    def retry(self, arrival: Arrival, tries: int, now: int, answer: str, wait: int) -> int | None:
        """When the next try is sent, or None. `answer`: rolled-back, abandoned, none, or closed.

        A client repeats what its profile allows: after a rollback all, as it is harmless by the protocol, but a
        journalled one only while its mark is known; after an abandonment or silence what is idempotent.
        """
        profile = self.day.profiles[arrival.profile]
        if tries >= self.day.clients.tries:
            return None
        if answer != "rolled-back" and profile.kind != "idempotent":
            return None
        at = now + int((wait or FIRST_WAIT) * Random(f"{self.seed}/{arrival.number}/{tries}").uniform(1.0, 1.3))
        return at if self.left(arrival, at) >= LEAST_LEFT else None

    def left(self, arrival: Arrival, at: int) -> int:
        """How long a try sent at `at` waits for its answer."""
        profile = self.day.profiles[arrival.profile]
        until = arrival.due + profile.hard_limit_ms * MS
        if profile.kind == "journalled" and at > arrival.due:
            # A retry is over before the mark of the first try may be forgotten.
            until = min(until, arrival.due + profile.memory_ms * MS)
        return until - at
