"""The records that a balancer keeps between events: ranges, cache hosts, hops, transactions and its overall state.

ternquay/balance.py takes all decisions on them. Times and durations are in nanoseconds.
"""

from array import array
from collections import deque
from collections.abc import Container
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from ternquay import model as m
from ternquay.numeric import mix64


@dataclass(slots=True, eq=False)
class Range:
    """A slice of the hashed keys, or one hot key."""

    group: int
    hash: int
    accesses: int = 0  # within the window


@dataclass(slots=True, eq=False)
class CacheHost:
    """The state of one cache host, or of the origin, since its latest start."""

    index: int
    hash: int
    is_origin: bool
    started_at: int
    status: m.HostStatus
    zone: int = -1
    cell: int = 0
    weight: float = 1.0
    kind: int = -1
    listed_weight: float = 0.0  # in the latest host list; varies with load where weights are live
    capacity: float = 0.0  # the highest weight that it was listed with
    service_time: float = 1.0  # per transaction, as reported; equal for all hosts where none reports
    range_fraction: float = 1.0  # fraction of its ranges that it keeps
    in_flight: int = 0  # hops
    failures: int = 0  # consecutive
    ejected_until: int = 0
    ejection_time: int = 0  # length of the latest ejection
    on_probation: bool = False
    mean_duration: float = 0.0
    mean_in_flight: float = 0.0  # hops in flight when the hops behind `mean_duration` were sent
    measured_at: int = 0  # 0: never
    connection_broke_at: int = 0  # when a connection to it last broke or was not made
    answered_at: int = 0  # time of its latest response
    newest_answered: int = 0  # send time of the most recently sent hop that it has answered
    cold_hop_times: deque[int] = field(default_factory=deque)  # within the overload window
    cold_fraction: float = 1.0  # this balancer's part of the host's cold budget
    unlisted_since: int = 0  # since when the list omits it or calls it gone, where that is advisory; 0: listed
    last_cold_hop: int = -1 << 62  # long ago at first, even on a clock that starts at 0

    def learned(self, now: int) -> m.LearnedHost:
        """The measurements to hand over to another process."""
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

    def restore(self, learned: m.LearnedHost, now: int) -> None:
        """Take over the measurements of another process."""
        self.mean_duration, self.mean_in_flight = learned.took, learned.crowd
        self.failures, self.measured_at = learned.fails, now
        self.ejection_time, self.on_probation = learned.out_for, learned.trial
        self.ejected_until = now + learned.out_left if learned.out_left else 0
        self.capacity, self.range_fraction = max(self.capacity, learned.size), learned.room


@dataclass(slots=True, eq=False)
class Hop:
    """One attempt to run a transaction at a host."""

    host: CacheHost
    sent_at: int
    host_in_flight: int  # other hops in flight to the host when this one was sent
    expects_fetch: bool = False  # it is expected to cause a fetch from the origin
    in_flight: bool = True
    may_have_run: bool = True
    late: bool = False
    unattributed_error: bool = False  # it ended in an error that has not been counted against the host or the key
    started: bool = False  # the value was complete, so the host may have all of it; only then it counts as load


@dataclass(slots=True, eq=False)
class Tx:
    """An open transaction."""

    id: int
    profile: m.Profile
    is_write: bool
    key: int = 0
    range: Range | None = None
    over_share: bool = False  # it exceeds the quota of its share
    goal_at: int = 0  # when the service goal passes
    deadline: int = 0  # when it is refused
    hops: list[Hop] = field(default_factory=list)
    hops_in_flight: int = 0
    ended: bool = False
    fully_received: bool = True
    arrived_at: int = 0
    share: int = -1
    miss_host: CacheHost | None = None  # the cache host that missed, or is expected to


class TimerQueue:
    """Timers ordered by time. A target is a transaction number, or a negative number for anything else."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, int]] = []
        self.sequence = 0

    def add(self, at: int, target: int) -> None:
        heappush(self.heap, (at, self.sequence, target))
        self.sequence += 1

    def next_time(self, alive: Container[int]) -> int | None:
        """The earliest time; timers of transactions that are not in `alive` are dropped."""
        while self.heap and self.heap[0][2] >= 0 and self.heap[0][2] not in alive:
            heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def pop_due(self, now: int) -> int | None:
        """Remove the earliest timer if it is due, and return its target."""
        return heappop(self.heap)[2] if self.heap and self.heap[0][0] <= now else None


class GroupLoads(list[int]):
    """The accesses of each group within the window, and the lowest of these loads."""

    def __init__(self, groups: int, max_load: int) -> None:
        super().__init__([0] * groups)
        self.groups_by_load, self.min_load = [groups] + [0] * (max_load + 1), 0

    def add(self, group: int, change: int) -> None:
        # Keeps the minimum up to date. Searching all groups for each range that is assigned blocked for 20 ms.
        old_load = self[group]
        new_load = self[group] = old_load + change
        self.groups_by_load[old_load] -= 1
        self.groups_by_load[new_load] += 1
        self.min_load = min(self.min_load, new_load)
        while not self.groups_by_load[self.min_load]:
            self.min_load += 1

    def lightest_group(self, draw: int) -> int:
        # Breaks ties by the hash of the range, so that all balancers choose the same group.
        try:
            return self.index(self.min_load, mix64(draw) % len(self))
        except ValueError:
            return self.index(self.min_load)


class BalancerState:
    """The state of a balancer for as long as it runs."""

    config: m.Config
    prefer_own_zone: bool  # whether hops to other zones cost enough to be avoided
    random: Random
    jitter_seed: int
    list_retry_delay: int
    extra_hop_tokens: float  # the token bucket of retries and hedged hops
    time_margin: int  # subtracted from time limits
    shortest_goal: int
    slow_fetch_duration: float  # from which fetches are slow, and the origin limit falls
    origin_limit: float  # concurrent fetches
    min_origin_limit: float
    unseen_hit_ratio: float  # of reads whose copies this balancer has not seen
    first_try_ttl: list[int]  # by profile, the longest TTL of a first try
    share_rates: list[float]
    share_tokens: list[float]
    share_refilled_at: list[int]

    def __init__(self, groups: int, window: int) -> None:
        self.jitter_draws = 0
        self.actions: list[m.Action] = []
        # Cache hosts, and their order for each group.
        self.hosts: dict[int, CacheHost] = {}
        self.ready: list[CacheHost] = []
        self.origin: CacheHost | None = None
        # Indices into `ordered_hosts`, by group and own zone only. They take half of the memory of references.
        self.host_orders: dict[tuple[int, bool], array[int]] = {}
        self.ordered_hosts: list[CacheHost] = []
        self.list_requested = False
        self.equal_weights = True  # all hosts have the same weight
        self.total_weight = self.own_zone_weight = 1.0  # of the hosts that are ready
        self.capacities_learned_at = 0  # when capacities and range fractions were last updated from a list
        self.own_zone_fraction = 1.0  # of the ranges that are served in the own zone
        self.capacity_short = False  # since the last tick
        # Open transactions and timers.
        self.txs: dict[int, Tx] = {}
        self.timers = TimerQueue()
        self.now = self.timer_at = self.last_tick_at = self.duration_samples = 0
        # The table of ranges, and the accesses in the window.
        self.ranges: dict[int, Range] = {}
        self.hot_keys: dict[int, Range] = {}
        self.window: deque[int] = deque()
        self.key_counts: dict[int, int] = {}
        self.group_loads, self.access_count = GroupLoads(groups, window), 0
        self.changed_keys: dict[int, None] = {}
        # Measurements over all cache hosts. Rates are per second, counters run since the last tick.
        self.in_flight = 0
        self.warm_hops_sent = 0
        self.rate_per_weight = 0.0  # hops to a warm host of weight 1
        self.failure_ratio = 0.0
        self.mean_duration, self.mean_duration_at = 0.0, 0
        self.arrival_rate, self.arrivals = 0.0, 0
        # The origin: queued transactions and fetches in flight.
        self.origin_queue: deque[Tx] = deque()
        self.last_fetch_at = self.newest_answered_fetch = self.fetch_measured_at = self.fetches_in_flight = (
            self.fetch_failures
        ) = 0
        self.origin_limit_cut_at = self.origin_pause = self.origin_paused_until = 0
        self.mean_fetch_duration = 0.0
        self.known_copies: dict[int, set[int]] = {}  # by key, the hosts that returned it
        self.failing_keys: dict[int, int] = {}  # keys that failed at two cache hosts, and until when that counts
        self.hit_ratio = 0.0  # of all reads

    def learned(self) -> m.Learned:
        """The measurements to hand over to another process of this balancer."""
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
