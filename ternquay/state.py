"""What one balancer keeps, by how long it lives: a hop, a tx, a cache host since its start, a range of keys, all of it.

Records only; all that is decided on them stands in ternquay/balance.py.
"""

from array import array
from collections import deque
from collections.abc import Container
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from ternquay import model as m
from ternquay.figures import mix


@dataclass(slots=True, eq=False)
class Range:
    """A slice of the hashed keys, or one hot key."""

    group: int
    hash: int
    count: int = 0


@dataclass(slots=True, eq=False)
class CacheHost:
    """What this balancer holds of one cache host, or of the origin, since its latest start."""

    index: int
    hash: int
    is_origin: bool
    since: int
    standing: m.HostStatus
    zone: int = -1
    cell: int = 0
    weight: float = 1.0
    kind: int = -1
    hint: float = 0.0  # the weight last listed, where it moves with load
    size: float = 0.0  # the highest such
    service: float = 1.0  # its time for one, as it tells, in nanoseconds; all alike where none tells
    room: float = 1.0  # the part of its ranges that it keeps
    inflight: int = 0
    fails: int = 0  # in a row
    out_until: int = 0
    out_for: int = 0
    trial: bool = False
    took: float = 0.0
    crowd: float = 0.0  # hops in flight when those that gave `took` were sent
    seen: int = 0
    heard: int = 0  # when it last answered a hop
    newest: int = 0  # when the latest hop that it has answered was sent
    cold_sent: deque[int] = field(default_factory=deque)
    part: float = 1.0  # of what it takes while cold that is ours
    unlisted: int = 0  # since when the list lacks it or calls it gone, where that is advice
    cold_from: int = -1 << 62  # the latest hop while cold; long ago, also on a clock that has just begun

    def learned(self, now: int) -> m.LearnedHost:
        return m.LearnedHost(
            self.index,
            self.took,
            self.crowd,
            self.fails,
            self.out_for,
            max(0, self.out_until - now),
            self.trial,
            self.size,
            self.room,
        )

    def take(self, told: m.LearnedHost, now: int) -> None:
        self.took, self.crowd, self.fails, self.seen = told.took, told.crowd, told.fails, now
        self.out_for, self.trial = told.out_for, told.trial
        self.out_until = now + told.out_left if told.out_left else 0
        self.size, self.room = max(self.size, told.size), told.room


@dataclass(slots=True, eq=False)
class Hop:
    host: CacheHost
    sent: int
    crowd: int
    fetches: bool = False  # it is expected to need the origin
    out: bool = True
    may_have_run: bool = True
    judged: bool = False
    erred: bool = False  # it ended in an error that nobody has been blamed for
    begun: bool = False  # the cache host may have all of it: only then it is in flight


@dataclass(slots=True, eq=False)
class Tx:
    id: int
    profile: m.Profile
    write: bool
    key: int = 0
    range: Range | None = None
    over: bool = False  # beyond its share
    goal: int = 0
    give_up: int = 0
    hops: list[Hop] = field(default_factory=list)
    out: int = 0
    ended: bool = False
    whole: bool = True
    since: int = 0
    share: int = -1
    missed: CacheHost | None = None


class Wakes:
    """When to look at what again: a tx by its number, all else under numbers below nought."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, int]] = []
        self.added = 0

    def add(self, at: int, what: int) -> None:
        heappush(self.heap, (at, self.added, what))
        self.added += 1

    def next(self, alive: Container[int]) -> int | None:
        """The earliest time, passing over what has ended."""
        while self.heap and self.heap[0][2] >= 0 and self.heap[0][2] not in alive:
            heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def due(self, now: int) -> int | None:
        return heappop(self.heap)[2] if self.heap and self.heap[0][0] <= now else None


class Loads(list[int]):
    """How often the ranges of each group were asked for within the window, and the lowest of these loads."""

    def __init__(self, groups: int, most: int) -> None:
        super().__init__([0] * groups)
        self.groups_at, self.least = [groups] + [0] * (most + 1), 0

    def change(self, group: int, by: int) -> None:
        # Against a search through all groups for each range placed, 20 ms in which nothing is answered.
        old = self[group]
        new = self[group] = old + by
        self.groups_at[old] -= 1
        self.groups_at[new] += 1
        self.least = min(self.least, new)
        while not self.groups_at[self.least]:
            self.least += 1

    def lightest(self, draw: int) -> int:
        # A random one of the ties; the draw is the range's, or each balancer spills to a place of its own.
        try:
            return self.index(self.least, mix(draw) % len(self))
        except ValueError:
            return self.index(self.least)


class Kept:
    """What one balancer keeps for as long as it runs."""

    start: m.Config
    near_counts: bool  # whether a crossing between zones costs enough to keep from it
    random: Random
    apart: int
    ask_wait: int
    extra: float
    margin: int
    shortest_goal: int
    origin_late: float
    origin_limit: float
    origin_least: float
    hit_part: float
    usual_ttl: list[int]
    shares: list[float]
    share_left: list[float]
    share_at: list[int]

    def __init__(self, groups: int, window: int) -> None:
        self.drawn = 0
        self.actions: list[m.Action] = []
        # Cache hosts, and for each group the order in which they stand for it.
        self.hosts: dict[int, CacheHost] = {}
        self.ready: list[CacheHost] = []
        self.origin: CacheHost | None = None
        self.orders: dict[tuple[int, bool], array[int]] = {}  # by place in `ranked`: half of the room of references
        self.ranked: list[CacheHost] = []
        self.asked, self.even = False, True  # even: all of one weight
        self.weights = self.near_weights = 1.0  # of all that are ready; of those in the own zone
        self.learned_at = 0  # when sizes and rooms were last learned from a list
        self.near_part, self.strained = 1.0, False  # of the ranges that stay in it; since the last tick
        # Transactions, and when to look at them again.
        self.txs: dict[int, Tx] = {}
        self.wakes = Wakes()
        self.now = self.timer_at = self.tick_at = self.estimates = 0
        # The table of ranges over its window.
        self.ranges: dict[int, Range] = {}
        self.singles: dict[int, Range] = {}
        self.window: deque[int] = deque()
        self.key_counts: dict[int, int] = {}
        self.loads, self.counted = Loads(groups, window), 0
        self.changed: dict[int, None] = {}
        # What was measured of all.
        self.inflight, self.warm_sent, self.unit_rate, self.failing = 0, 0, 0.0, 0.0
        self.usual, self.usual_at, self.rate, self.arrived = 0.0, 0, 0.0, 0
        # The origin: who waits for a place, what is out, where keys were last held.
        self.origin_queue: deque[Tx] = deque()
        self.fetch_at = self.fetch_newest = self.fetch_judged = self.fetch_out = self.fetch_fails = 0
        self.origin_cut = self.rest = self.rest_until = 0
        self.origin_took = 0.0
        self.held: dict[int, set[int]] = {}
        self.bad: dict[int, int] = {}  # keys that failed at two cache hosts, until when that counts
        self.hits = 0.0  # of all reads

    def learned(self) -> m.Learned:
        """What another process of this balancer takes over from this one."""
        hosts = tuple(h.learned(self.now) for h in self.hosts.values() if h.seen)
        return m.Learned(self.usual, self.rate, self.unit_rate, self.hits, self.origin_limit, self.origin_took, hosts)
