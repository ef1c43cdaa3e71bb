"""Model of the clients: open-loop arrivals, Zipf-like key popularity, bursts, hot keys, one-time keys and retries."""

from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache
from itertools import accumulate
from random import Random

from ternquay.rig.terms import MS, SECOND, Day, PlannedFault

DEFAULT_RETRY_DELAY_NS = 80 * MS  # used if the answer names no delay
MIN_RETRY_TIME_NS = 60 * MS  # a client does not retry with less time left


@dataclass(slots=True, frozen=True)
class Arrival:
    """One transaction of a client. Its retries carry the same number."""

    number: int
    due: int
    profile: int
    key: str
    size: int  # bytes of the value that a write carries
    leaves: int  # nanoseconds without an answer after which the client disconnects; 0 means it stays
    pipelined: bool


def cumulative_popularity(day: Day) -> list[float]:
    """Returns the cumulative share of requests by key, most popular key first."""
    shares = [1 / (rank + 1) ** day.clients.skew for rank in range(day.clients.keys)]
    total = sum(shares)
    return [x / total for x in accumulate(shares)]


def value_size(day: Day, key: str) -> int:
    """Returns the size of a key's value in bytes, which depends only on the key and the day's bounds."""
    return _drawn_size(key, *day.clients.value_bytes)


@lru_cache(1 << 16)
def _drawn_size(key: str, least: int, most: int) -> int:
    return Random(f"size/{key}").randint(least, most)


class Clients:
    """The arrivals and the retry policy of all clients of a play."""

    def __init__(self, day: Day, faults: tuple[PlannedFault, ...], seed: int) -> None:
        self.day, self.seed = day, seed
        self.length_ns = int(day.seconds * SECOND)
        self.faults = faults
        self.bursts = [fault for fault in faults if fault.kind == "burst"]
        self.hot_keys = [fault for fault in faults if fault.kind == "hot-key"]
        self.one_time_keys = [fault for fault in faults if fault.kind == "once-keys"]
        self.popularity = cumulative_popularity(day)
        self.cumulative_shares = list(accumulate(profile.share for profile in day.profiles))

    def _rate(self, at: int) -> float:
        rate = self.day.clients.rate
        for fault in self.bursts:
            if fault.start <= at < fault.end:
                rate *= fault.factor
        return rate

    def arrivals(self) -> Iterator[Arrival]:
        """Yields arrivals in the order of their due times until the end of the play.

        Candidates are drawn at the peak rate and thinned to the current rate.
        """
        random = Random(f"{self.seed}/clients")
        peak = self.day.clients.rate
        for fault in self.bursts:
            peak *= max(1.0, fault.factor)
        at, number = 0.0, 0
        while (at := at + random.expovariate(peak) * SECOND) < self.length_ns:
            if random.random() * peak < self._rate(int(at)):
                yield self._arrival(random, int(at), number)
                number += 1

    def _arrival(self, random: Random, at: int, number: int) -> Arrival:
        terms = self.day.clients
        profile = min(bisect_left(self.cumulative_shares, random.random()), len(self.cumulative_shares) - 1)
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
        for i, fault in enumerate(self.hot_keys):
            if fault.start <= at < fault.end and random.random() < fault.part:
                return f"hot-{i}-{random.randrange(fault.count)}"
        for fault in self.one_time_keys:
            if fault.start <= at < fault.end and random.random() < fault.part:
                return f"once-{number}"
        return f"k{min(bisect_left(self.popularity, random.random()), len(self.popularity) - 1)}"

    def retry(self, arrival: Arrival, tries: int, now: int, answer: str, wait: int) -> int | None:
        """Returns when the next try is sent, or None. `answer` is rolled-back, abandoned, none or closed.

        After a rollback any transaction may be retried, as the protocol guarantees that it had no effect; a journalled
        one only while its mark is remembered. After an abandonment or no answer only idempotent ones are retried.
        """
        profile = self.day.profiles[arrival.profile]
        if tries >= self.day.clients.tries:
            return None
        if answer != "rolled-back" and profile.kind != "idempotent":
            return None
        at = now + int(
            (wait or DEFAULT_RETRY_DELAY_NS) * Random(f"{self.seed}/{arrival.number}/{tries}").uniform(1.0, 1.3)
        )
        return at if self.time_left(arrival, at) >= MIN_RETRY_TIME_NS else None

    def time_left(self, arrival: Arrival, at: int) -> int:
        """Returns how many nanoseconds a try sent at `at` waits for its answer."""
        profile = self.day.profiles[arrival.profile]
        until = arrival.due + profile.hard_limit_ms * MS
        if profile.kind == "journalled" and at > arrival.due:
            # A retry ends before cache hosts may forget the mark of the first try.
            until = min(until, arrival.due + profile.memory_ms * MS)
        return until - at
