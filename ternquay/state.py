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
    accesses: int = 0


@dataclass(slots=True, eq=False)
class CacheHost:
    """What this balancer holds of one cache host, or of the origin, since its latest start."""

    index: int
    hash: int
    is_origin: bool
    started_at: int
    status: m.HostStatus
    zone: int = -1
    cell: int = 0
    weight: float = 1.0
    kind: int = -1
    listed_weight: float = 0.0  # the weight last listed, where it moves with load
    capacity: float = 0.0  # the highest such
    service_time: float = 1.0  # its time for one, as it tells, in nanoseconds; all alike where none tells
    range_fraction: float = 1.0  # the part of its ranges that it keeps
    in_flight: int = 0
    failures: int = 0  # in a row
    ejected_until: int = 0
    ejection_time: int = 0
    on_probation: bool = False
    mean_duration: float = 0.0
    mean_in_flight: float = 0.0  # hops in flight when those that gave `took` were sent
    measured_at: int = 0
    answered_at: int = 0  # when it last answered a hop
    newest_answered: int = 0  # when the latest hop that it has answered was sent
    cold_hop_times: deque[int] = field(default_factory=deque)
    cold_fraction: float = 1.0  # of what it takes while cold that is ours
    unlisted_since: int = 0  # since when the list lacks it or calls it gone, where that is advice
    last_cold_hop: int = -1 << 62  # the latest hop while cold; long ago, also on a clock that has just begun

    def learned(self, now: int) -> m.LearnedHost:
        return m.LearnedHost(
            self.index,
            self.mean_duration,
            self.mean_in_flight,
            self.failures,
            self.ejection_time,
            max(0, self.ejected_until - now),
            self.on_probation,
            self.capacity,
            self.range_fraction,
        )

    def restore(self, told: m.LearnedHost, now: int) -> None:
        self.mean_duration, self.mean_in_flight, self.failures, self.measured_at = (
            told.took,
            told.crowd,
            told.fails,
            now,
        )
        self.ejection_time, self.on_probation = told.out_for, told.trial
        self.ejected_until = now + told.out_left if told.out_left else 0
        self.capacity, self.range_fraction = max(self.capacity, told.size), told.room


@dataclass(slots=True, eq=False)
class Hop:
    host: CacheHost
    sent_at: int
    host_in_flight: int
    expects_fetch: bool = False  # it is expected to need the origin
    in_flight: bool = True
    may_have_run: bool = True
    late: bool = False
    unattributed_error: bool = False  # it ended in an error that nobody has been blamed for
    started: bool = False  # the cache host may have all of it: only then it is in flight


@dataclass(slots=True, eq=False)
class Tx:
    id: int
    profile: m.Profile
    is_write: bool
    key: int = 0
    range: Range | None = None
    over_share: bool = False  # beyond its share
    goal_at: int = 0
    deadline: int = 0
    hops: list[Hop] = field(default_factory=list)
    hops_in_flight: int = 0
    ended: bool = False
    fully_received: bool = True
    arrived_at: int = 0
    share: int = -1
    miss_host: CacheHost | None = None


class TimerQueue:
    """When to look at what again: a tx by its number, all else under numbers below nought."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, int]] = []
        self.sequence = 0

    def add(self, at: int, what: int) -> None:
        heappush(self.heap, (at, self.sequence, what))
        self.sequence += 1

    def next_time(self, alive: Container[int]) -> int | None:
        """The earliest time, passing over what has ended."""
        while self.heap and self.heap[0][2] >= 0 and self.heap[0][2] not in alive:
            heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def pop_due(self, now: int) -> int | None:
        return heappop(self.heap)[2] if self.heap and self.heap[0][0] <= now else None


class GroupLoads(list[int]):
    """How often the ranges of each group were asked for within the window, and the lowest of these loads."""

    def __init__(self, groups: int, most: int) -> None:
        super().__init__([0] * groups)
        self.groups_by_load, self.min_load = [groups] + [0] * (most + 1), 0

    def add(self, group: int, by: int) -> None:
        # Against a search through all groups for each range placed, 20 ms in which nothing is answered.
        old = self[group]
        new = self[group] = old + by
        self.groups_by_load[old] -= 1
        self.groups_by_load[new] += 1
        self.min_load = min(self.min_load, new)
        while not self.groups_by_load[self.min_load]:
            self.min_load += 1

    def lightest_group(self, draw: int) -> int:
        # A random one of the ties; the draw is the range's, or each balancer spills to a place of its own.
        try:
            return self.index(self.min_load, mix(draw) % len(self))
        except ValueError:
            return self.index(self.min_load)


class BalancerState:
    """What one balancer keeps for as long as it runs."""

    config: m.Config
    prefer_own_zone: bool  # whether a crossing between zones costs enough to keep from it
    random: Random
    jitter_seed: int
    list_retry_delay: int
    extra_hop_tokens: float
    time_margin: int
    shortest_goal: int
    slow_fetch_duration: float
    origin_limit: float
    min_origin_limit: float
    unseen_hit_ratio: float
    usual_ttl: list[int]
    share_rates: list[float]
    share_tokens: list[float]
    share_refilled_at: list[int]

    def __init__(self, groups: int, window: int) -> None:
        self.jitter_draws = 0
        self.actions: list[m.Action] = []
        # Cache hosts, and for each group the order in which they stand for it.
        self.hosts: dict[int, CacheHost] = {}
        self.ready: list[CacheHost] = []
        self.origin: CacheHost | None = None
        self.host_orders: dict[
            tuple[int, bool], array[int]
        ] = {}  # by place in `ranked`: half of the room of references
        self.ordered_hosts: list[CacheHost] = []
        self.list_requested, self.equal_weights = False, True  # even: all of one weight
        self.total_weight = self.own_zone_weight = 1.0  # of all that are ready; of those in the own zone
        self.capacities_learned_at = 0  # when sizes and rooms were last learned from a list
        self.own_zone_fraction, self.capacity_short = 1.0, False  # of the ranges that stay in it; since the last tick
        # Transactions, and when to look at them again.
        self.txs: dict[int, Tx] = {}
        self.timers = TimerQueue()
        self.now = self.timer_at = self.last_tick_at = self.duration_samples = 0
        # The table of ranges over its window.
        self.ranges: dict[int, Range] = {}
        self.hot_keys: dict[int, Range] = {}
        self.window: deque[int] = deque()
        self.key_counts: dict[int, int] = {}
        self.group_loads, self.access_count = GroupLoads(groups, window), 0
        self.changed_keys: dict[int, None] = {}
        # What was measured of all.
        self.in_flight, self.warm_hops_sent, self.rate_per_weight, self.failure_ratio = 0, 0, 0.0, 0.0
        self.mean_duration, self.mean_duration_at, self.arrival_rate, self.arrivals = 0.0, 0, 0.0, 0
        # The origin: who waits for a place, what is out, where keys were last held.
        self.origin_queue: deque[Tx] = deque()
        self.last_fetch_at = self.newest_answered_fetch = self.fetch_measured_at = self.fetches_in_flight = (
            self.fetch_failures
        ) = 0
        self.origin_limit_cut_at = self.origin_pause = self.origin_paused_until = 0
        self.mean_fetch_duration = 0.0
        self.known_copies: dict[int, set[int]] = {}
        self.failing_keys: dict[int, int] = {}  # keys that failed at two cache hosts, until when that counts
        self.hit_ratio = 0.0  # of all reads

    def learned(self) -> m.Learned:
        """What another process of this balancer takes over from this one."""
        hosts = tuple(h.learned(self.now) for h in self.hosts.values() if h.measured_at)
        return m.Learned(
            self.mean_duration,
            self.arrival_rate,
            self.rate_per_weight,
            self.hit_ratio,
            self.origin_limit,
            self.mean_fetch_duration,
            hosts,
        )
