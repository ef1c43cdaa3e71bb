"""The decisions of one balancer: where each transaction goes, what is retried, and what is refused.

    balancer = Balancer(config)              # a model.Config: the random seed and the deployment
    actions = balancer.decide(now, event)    # time in ns and a model.Event -> a list of model.Action

ternquay/model.py defines the events and actions, ternquay/state.py the records that are kept between events. The
design (PAT, docs/design.md) covers the ordinary path. `_send` and `_refuse` enforce the four rules.
"""

from array import array
from collections.abc import Callable, Iterator
from math import log
from random import Random

from ternquay import model as m
from ternquay.numeric import MASK64, median, mix64, text_hash
from ternquay.state import BalancerState, CacheHost, Hop, Range, Tx

# Nanoseconds.
MS = 1_000_000
SECOND = 1_000_000_000

# Ranges, groups and hot keys.
RANGE_COUNT = 8192
GROUP_COUNT = 2048
AFFINITY_WEIGHT = 0.9  # of the affinity in the gain; the load of the group has the rest
LOAD_EXPONENT = 1.5
WINDOW_ACCESSES = 4096
REASSIGN_EVERY_ACCESSES = 512
HOT_KEY_FRACTION = 0.05  # of the distinct keys in the window
HOT_KEY_MIN_ACCESSES = 8
HOT_KEY_SPREAD = 1.5  # hosts of a hot key, as a multiple of the hosts that its share of the accesses would fill
MIN_SAMPLES = 128  # below this number of accesses a key's share of them is not reliable
SPILL_GROUPS = 4  # lightly loaded groups that a spill tries

# Overload of a cache host, the preference for the balancer's own zone, and live weights.
OVERLOAD_MULTIPLE = 2.0  # of the host's fair share
OVERLOAD_FLOOR_HOPS = 2.0
OWN_ZONE_MIN_PRICE = 0.05  # of a hop to another zone, from which the own zone is preferred
OWN_ZONE_STEP_UP = 0.01  # per shortest tick
OWN_ZONE_STEP_DOWN = 0.05  # per shortest tick
LOAD_CAP_FLOOR_TXS = 2.0
MAX_REPORTED_LOAD = 1000.0  # a weight reduced by more than this factor is not a load
RANGE_FRACTION_UP_PER_SECOND = 0.05
RANGE_FRACTION_DOWN_PER_SECOND = 0.15
MIN_RANGE_FRACTION = 0.2
MAX_CAPACITY_MULTIPLE = 16.0  # of the median capacity

# Failing keys.
FAILING_KEY_TTL_NS = 10 * SECOND
MAX_FAILING_KEYS = 512

# Outlier ejection.
MIN_FAILURES_TO_EJECT = 2
MAX_FAILURES_TO_EJECT = 8
FIRST_EJECTION_NS = SECOND
MAX_EJECTION_NS = 8 * SECOND
MAX_EJECTED_FRACTION = 0.4
FALSE_EJECTION_INTERVAL_NS = 60 * SECOND  # between two ejections of a healthy host by chance
FAILURE_RATIO_STEP = 0.01  # of the moving average, per hop
MIN_FAILURE_RATIO = 0.02
MIN_SMOOTHING_PACE = 0.2  # of the usual step of a moving average, where hops are frequent
# Refusals count too: a draining host refuses everything long before the host list says that it drains.
FAILURE_OUTCOMES = (
    m.HopOutcome.ERROR,
    m.HopOutcome.TIMED_OUT,
    m.HopOutcome.RESET,
    m.HopOutcome.UNREACHABLE,
    m.HopOutcome.FULL,
)

# Retries and hedged hops.
EXTRA_HOPS_PER_TX = 0.15  # tokens that a transaction adds to the bucket
MAX_EXTRA_HOP_TOKENS = 10.0
BACKOFF_GOAL_FRACTION = 0.1  # of the service goal
LATE_HOP_GOAL_FRACTION = 0.6  # of the service goal, after which a hop is late
LOST_RESPONSE_MULTIPLE = 2.0  # of the usual duration
QUICK_FAILURE_FRACTION = 0.25  # of the usual duration
QUICK_WRITE_FRACTION = 0.25  # of the time that is left until the service goal

# Admission. The fractions are of the time that is left until the service goal.
BUSY_HOST_TIME_FRACTION = 0.8
IDLE_HOST_TIME_FRACTION = 1.2
OVER_SHARE_TIME_FRACTION = 0.3
ESTIMATE_LIFETIME_NS = SECOND
MIN_SHARE_BURST_TXS = 8.0
SHARE_BURST_SECONDS = 4.0

# The origin. The limits count concurrent fetches of all balancers together.
INITIAL_ORIGIN_LIMIT = 32.0
MIN_ORIGIN_LIMIT = 2.0
SLOW_FETCH_GOAL_FRACTION = 0.5  # of the shortest service goal
SLOW_HOST_FETCH_GOAL_FRACTION = 0.8  # of the shortest service goal; includes the work of the cache host that fetches
MOSTLY_HITS_RATIO = 0.75  # from which reads without a known copy are not expected to fetch
HIT_RATIO_STEP = 0.05  # of the moving average, per read
ORIGIN_PAUSE_FAILURES = 3  # consecutive
FIRST_ORIGIN_PAUSE_NS = 100 * MS
MAX_ORIGIN_PAUSE_NS = 2 * SECOND

# Cold cache hosts.
COLD_BUDGET_MULTIPLE = 1.5  # of the load of a warm host; at most half of the overload multiple
MIN_COLD_HOPS_PER_WINDOW = 2.0  # of all balancers together
COLD_TURN_MARGIN = 0.9  # of the turns per window that would overload the host
COLD_BURST_MULTIPLE = 8.0  # of the usual rate
GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15  # its multiples modulo 2^64 are evenly spaced

# The host list and timers.
FORGET_HOST_AFTER_NS = 30 * SECOND  # after the last list that named the host
FIRST_LIST_RETRY_NS = SECOND // 2
MAX_LIST_RETRY_NS = 4 * SECOND
MIN_TICK_NS = SECOND // 4
MAX_TICK_NS = 2 * SECOND

# Timer targets other than transactions, whose numbers are not negative.
TICK_TIMER = -1
LIST_RETRY_TIMER = -2
ORIGIN_QUEUE_TIMER = -3


class Balancer(BalancerState):
    """One balancer. It does no I/O and reads no clock, so equal events give equal decisions."""

    def __init__(self, config: m.Config) -> None:
        super().__init__(GROUP_COUNT, WINDOW_ACCESSES)
        self._configure(config)
        self.random, self.jitter_seed = Random(config.seed), mix64(config.seed ^ mix64(config.balancer_index + 1))
        self.time_margin = config.clock_quantum + 2 * MS
        self.list_retry_delay = FIRST_LIST_RETRY_NS
        self.extra_hop_tokens = MAX_EXTRA_HOP_TOKENS
        fraction = 1 / config.balancer_count
        self.origin_limit, self.min_origin_limit = INITIAL_ORIGIN_LIMIT * fraction, MIN_ORIGIN_LIMIT * fraction
        # How often a cache host has a copy that this balancer has not seen, because another balancer fetched it.
        self.unseen_hit_ratio = 1 - fraction

    def _configure(self, config: m.Config) -> None:
        # Open transactions keep the profile that they arrived with, and all measurements are kept.
        self.config = config
        self.shortest_goal = min((p.service_goal for p in config.profiles), default=SECOND)
        self.slow_fetch_duration = self.shortest_goal * (
            SLOW_FETCH_GOAL_FRACTION if config.cache_aside else SLOW_HOST_FETCH_GOAL_FRACTION
        )
        self.prefer_own_zone = config.cross_zone_price >= OWN_ZONE_MIN_PRICE
        self.first_try_ttl = [0] * len(config.profiles)
        self.share_rates = [q / config.balancer_count for q in config.quotas]
        self.share_tokens, self.share_refilled_at = [0.0] * len(self.share_rates), [0] * len(self.share_rates)

    def decide(self, now: int, event: m.Event) -> list[m.Action]:
        """Handle one event at time `now` (ns) and return the actions to carry out, in order."""
        self.now, self.actions = now, []
        HANDLERS[type(event)](self, event)
        self._set_timer()
        return self.actions

    # ---- hand-over from another process of this balancer ----

    def _restore(self, event: m.Learned) -> None:
        """Take over the measurements of the process that this one replaces."""
        # The process that is replaced keeps sending for a moment, so each has half of the rate and of the origin limit.
        self.mean_duration, self.mean_duration_at, self.duration_samples = event.usual, self.now, MIN_SAMPLES
        self.arrival_rate, self.rate_per_weight = event.rate, event.unit_rate / 2
        self.mean_fetch_duration = event.origin_took
        self.origin_limit = max(self.min_origin_limit, event.origin_limit / 2)
        # The values that it fetched are still at the cache hosts, though this process has seen none of them.
        self.unseen_hit_ratio, self.hit_ratio = max(self.unseen_hit_ratio, event.hits), event.hits
        for learned_host in event.hosts:
            if (host := self.hosts.get(learned_host.host)) is not None and not host.measured_at:
                host.restore(learned_host, self.now)

    # ---- the host list ----

    def _list_changed(self, event: m.ListChanged) -> None:
        listed = {entry.host: entry for entry in event.entries}
        missing = [
            h
            for h in self.hosts.values()
            if not h.unlisted_since
            and (event.complete if h.index not in listed else listed[h.index].status is m.HostStatus.GONE)
        ]
        # A list may be empty, truncated or outdated while the hosts still serve. Where removals are advisory, a list
        # that drops more hosts at once than fail by themselves is not believed: the hosts stay in use as long as
        # they answer. An observed drain stays in force. The cost: if that many hosts are really gone, hops to them
        # fail until FORGET_HOST_AFTER_NS has passed.
        implausible = len(missing) > MAX_EJECTED_FRACTION * sum(1 for h in self.hosts.values() if not h.unlisted_since)
        for host in missing:
            if self.config.gone_is_advisory and (implausible or host.status is m.HostStatus.DRAINING):
                host.unlisted_since = self.now
            else:
                host.status = m.HostStatus.GONE
        for entry in event.entries:
            if entry.status is not m.HostStatus.GONE:
                self._update_host(entry)
        self._update_ready_hosts(list_arrived=True)
        self.list_retry_delay = FIRST_LIST_RETRY_NS
        if self.config.watch_list and not self.list_requested:
            self.list_requested = True
            self.actions.append(m.WatchList())
        if not self.last_tick_at:
            self.last_tick_at = self.now
            self.timers.add(self.now + MIN_TICK_NS, TICK_TIMER)

    def _update_ready_hosts(self, list_arrived: bool = False) -> None:
        """Drop hosts that are gone, and recompute what depends on the set of hosts."""
        for host in self.hosts.values():
            if host.unlisted_since and self.now - host.unlisted_since > FORGET_HOST_AFTER_NS:
                host.status = m.HostStatus.GONE
        gone = {i for i, host in self.hosts.items() if host.status is m.HostStatus.GONE}
        if gone:
            self.hosts = {i: host for i, host in self.hosts.items() if i not in gone}
            for holders in self.known_copies.values():
                holders -= gone
        up = [h for h in self.hosts.values() if h.status is m.HostStatus.READY]
        self.ready = [h for h in up if not h.is_origin]
        if list_arrived and self.ready and self.config.weight_mode is m.WeightMode.LIVE:
            self._learn_capacities()
        # The cached orders skip a host that is no longer ready. Only a new host or weight invalidates them. The
        # comparison uses the records, as an index may return with another host.
        if not set(self.ready) <= set(self.ordered_hosts):
            self.host_orders, self.ordered_hosts = {}, list(self.ready)
            self.equal_weights = len({h.weight for h in self.ordered_hosts}) < 2
        self.total_weight = sum(h.weight for h in self.ready) or 1.0
        self.own_zone_weight = sum(h.weight for h in self.ready if h.zone == self.config.zone) or 1.0
        self.origin = next((h for h in up if h.is_origin), None)

    def _update_host(self, entry: m.ListedHost) -> None:
        host = self.hosts.get(entry.host)
        status = entry.status
        if host is None:
            is_origin = self.config.cache_aside and entry.kind == self.config.origin_kind
            host = CacheHost(entry.host, text_hash(entry.address), is_origin, entry.started_at, entry.status)
            self.hosts[entry.host] = host
        elif (
            self.config.gone_is_advisory
            and host.status is m.HostStatus.DRAINING
            and entry.started_at <= host.started_at
        ):
            status = m.HostStatus.DRAINING  # an outdated list from before the drain, which stays in force
        elif entry.started_at != host.started_at and entry.status is m.HostStatus.READY:
            host.started_at, host.failures, host.measured_at = entry.started_at, 0, 0
            host.mean_duration, host.mean_in_flight = 0.0, 0.0
            host.ejected_until, host.ejection_time, host.on_probation, host.range_fraction = 0, 0, False, 1.0
        host.zone, host.cell, host.status, host.cold_fraction = entry.zone, entry.cell, status, entry.cold_fraction
        host.unlisted_since = 0
        host.kind, host.listed_weight, host.capacity = entry.kind, entry.weight, max(host.capacity, entry.weight)
        if self.config.weight_mode is m.WeightMode.STATIC:
            self._set_weight(host, entry.weight)

    def _set_weight(self, host: CacheHost, weight: float) -> None:
        if weight != host.weight and weight > 0:
            host.weight, self.ordered_hosts = weight, []

    def _learn_capacities(self) -> None:
        # Live weights fall with the load, so keys would move with every list. Instead, a host has the weight of an
        # idle host of its kind: the second highest weight that any host of the kind was listed with, which also
        # leaves out a single absurd weight.
        kinds = {h.kind for h in self.ready}
        kind_capacity = {kind: sorted(h.capacity for h in self.ready if h.kind == kind)[-2:][0] for kind in kinds}
        max_capacity = MAX_CAPACITY_MULTIPLE * median(h.capacity for h in self.ready)
        for host in self.ready:
            self._set_weight(host, min(max_capacity, kind_capacity[host.kind]))
        # A host whose load, as time to work it off, is too high gives up some of its ranges, any other takes some
        # back. This relieves an overload that no balancer sees alone. Small steps keep all balancers from moving to
        # the host that looked idle.
        elapsed, self.capacities_learned_at = min(1.0, (self.now - self.capacities_learned_at) / SECOND), self.now
        reporting = [h for h in self.ready if h.listed_weight * MAX_REPORTED_LOAD > h.weight]
        load = {h.index: (h.weight / h.listed_weight - 1) * h.service_time for h in reporting}
        load_cap = LOAD_CAP_FLOOR_TXS * median(h.service_time for h in self.ready)
        load_cap += OVERLOAD_MULTIPLE * median(load.values()) if load else 0.0
        for host in self.ready:
            step = (
                -RANGE_FRACTION_DOWN_PER_SECOND
                if load.get(host.index, 0.0) > load_cap
                else RANGE_FRACTION_UP_PER_SECOND
            )
            host.range_fraction = max(MIN_RANGE_FRACTION, min(1.0, host.range_fraction + step * elapsed))

    def _list_unavailable(self, _: m.ListUnavailable) -> None:
        # Exponential backoff with jitter keeps a discovery service that is down from being flooded.
        if self.config.watch_list:
            # The delay is between one and two times `wait`, so a retry comes before the current list expires.
            wait = min(self.list_retry_delay, self.config.list_max_age * 2 // 5)
            self.timers.add(self.now + wait // 2 + self._with_jitter(wait), LIST_RETRY_TIMER)
            self.list_retry_delay = min(MAX_LIST_RETRY_NS, self.list_retry_delay * 2)

    # ---- timers ----

    def _with_jitter(self, duration: int) -> int:
        # Between half and one and a half times `duration`, so that balancers, or clients of one balancer, do not
        # retry in step. It does not draw from `random`, so that the choice of hosts does not depend on it.
        self.jitter_draws += 1
        return duration // 2 + mix64(self.jitter_seed + self.jitter_draws) * duration // MASK64

    def _set_timer(self) -> None:
        at = self.timers.next_time(self.txs)
        if at is not None and (not self.timer_at or at < self.timer_at):
            self.timer_at = max(at, self.now + 1)
            self.actions.append(m.SetTimer(self.timer_at))

    def _timer_fired(self, _: m.TimerFired) -> None:
        if self.now >= self.timer_at:
            self.timer_at = 0
        while (target := self.timers.pop_due(self.now)) is not None:
            if target == TICK_TIMER:
                self._tick()
            elif target == LIST_RETRY_TIMER:
                self.actions.append(m.WatchList())
            elif target == ORIGIN_QUEUE_TIMER:
                self._drain_origin_queue()
            elif (tx := self.txs.get(target)) is not None and not tx.ended:
                # Without a hop in flight, a transaction would wait for most of its time and be refused in the end.
                if not tx.hops_in_flight or (tx.fully_received and self.now >= tx.deadline):
                    self._refuse(tx)
                elif tx.fully_received:
                    self._late_hop(tx)

    def _tick(self) -> None:
        """Update rates, and whatever changes with time alone."""
        elapsed = self.now - self.last_tick_at
        self.last_tick_at = self.now
        warm = sum(h.weight for h in self.ready if self._warmth(h) >= 1.0)
        # Only warm hosts count: a mostly cold fleet must neither raise the rate nor keep it at zero.
        step = min(0.5, 0.1 * elapsed / MIN_TICK_NS)
        if warm > 0:
            rate = self.warm_hops_sent * SECOND / elapsed / warm
            self.rate_per_weight += (rate - self.rate_per_weight) * (step if self.rate_per_weight else 1.0)
        self.arrival_rate += (self.arrivals * SECOND / elapsed - self.arrival_rate) * (
            step if self.arrival_rate else 1.0
        )
        self.warm_hops_sent = self.arrivals = 0
        # If no list has come for FORGET_HOST_AFTER_NS, the load that the last one reported no longer counts.
        for host in self.ready if self.now - self.capacities_learned_at > FORGET_HOST_AFTER_NS else ():
            host.range_fraction = min(1.0, host.range_fraction + RANGE_FRACTION_UP_PER_SECOND * elapsed / SECOND)
        step = -OWN_ZONE_STEP_DOWN if self.capacity_short else OWN_ZONE_STEP_UP
        self.own_zone_fraction = max(0.0, min(1.0, self.own_zone_fraction + step * elapsed / MIN_TICK_NS))
        self.capacity_short = False
        if self.config.gone_is_advisory and any(h.unlisted_since for h in self.hosts.values()):
            self._update_ready_hosts()
        # About one tick per ten transactions; more ticks would waste CPU time.
        self.timers.add(
            self.now + max(MIN_TICK_NS, min(MAX_TICK_NS, int(10 * SECOND / max(1.0, self.arrival_rate)))), TICK_TIMER
        )

    # ---- the table of ranges ----

    def _range_of(self, key: int) -> Range:
        """The range of a hashed key; a hot key is a range of its own."""
        index = key * RANGE_COUNT >> 64
        key_range = self.hot_keys.get(key) or self.ranges.get(index)
        if key_range is None:
            range_hash = mix64(index + 1)
            key_range = self.ranges[index] = Range(range_hash % GROUP_COUNT, range_hash)
        return key_range

    def _count_access(self, key: int) -> Range:
        key_range = self._range_of(key)
        key_range.accesses += 1
        self.group_loads.add(key_range.group, 1)
        self.key_counts[key] = self.key_counts.get(key, 0) + 1
        self.changed_keys[key] = None
        self.window.append(key)
        if len(self.window) > WINDOW_ACCESSES:
            self._expire_access(self.window.popleft())
        self.access_count += 1
        if self.access_count % REASSIGN_EVERY_ACCESSES == 0:
            self._reassign_ranges()
        return key_range

    def _expire_access(self, key: int) -> None:
        key_range = self._range_of(key)
        key_range.accesses -= 1
        self.group_loads.add(key_range.group, -1)
        self.key_counts[key] -= 1
        if not self.key_counts[key]:
            del self.key_counts[key]

    def _reassign_ranges(self) -> None:
        self._split_hot_keys()
        changed = {id(key_range): key_range for key_range in map(self._range_of, self.changed_keys)}
        self.changed_keys = {}
        # Copies of keys without an access in the window are no longer counted on, and not kept in memory.
        self.known_copies = {k: hosts for k, hosts in self.known_copies.items() if k in self.key_counts}
        for key_range in changed.values():
            self._assign_group(key_range)

    def _split_hot_keys(self) -> None:
        """Give each hot key a range of its own, and merge keys that are no longer hot."""
        counts = self.key_counts
        ranked = sorted(((n, k) for k, n in counts.items() if n >= HOT_KEY_MIN_ACCESSES), reverse=True)
        hot = {k for _, k in ranked[: int(len(counts) * HOT_KEY_FRACTION) + 1]}
        for key in [k for k in self.hot_keys if k not in hot]:
            self._move_accesses(key, self.hot_keys.pop(key), self._range_of(key))
        for key in [k for _, k in ranked if k in hot and k not in self.hot_keys]:
            parent = self._range_of(key)
            self.hot_keys[key] = Range(parent.group, key)
            self._move_accesses(key, parent, self.hot_keys[key])

    def _move_accesses(self, key: int, old: Range, new: Range) -> None:
        count = self.key_counts.get(key, 0)
        old.accesses, new.accesses = old.accesses - count, new.accesses + count
        self.group_loads.add(old.group, -count)
        self.group_loads.add(new.group, count)

    def _gain(self, affinity: int, load: int) -> float:
        """The gain of serving a range from a group with this load, as the design defines it."""
        return AFFINITY_WEIGHT * affinity - (1 - AFFINITY_WEIGHT) * LOAD_EXPONENT * float(load ** (LOAD_EXPONENT - 1))

    def _assign_group(self, key_range: Range) -> None:
        """Move a range to the least loaded group if the gain is higher there."""
        self.group_loads.add(key_range.group, -key_range.accesses)
        if self._gain(0, self.group_loads.min_load) > self._gain(key_range.accesses, self.group_loads[key_range.group]):
            key_range.group = self.group_loads.lightest_group(key_range.hash)
        self.group_loads.add(key_range.group, key_range.accesses)

    # ---- from group to cache host ----

    def _host_order(self, group: int, own_zone: bool = False) -> Iterator[CacheHost]:
        """Cache hosts by weighted rendezvous hashing with the group; all balancers compute the same order."""
        order = self.host_orders.get((group, own_zone))
        if order is None and own_zone:
            self._host_order(group)
            own_hosts = (i for i in self.host_orders[group, False] if self.ordered_hosts[i].zone == self.config.zone)
            order = self.host_orders[group, own_zone] = array("I", own_hosts)
        elif order is None:
            # One multiplication per host and no call: at low rates, almost every transaction computes an order.
            salt = mix64(group + 1) | 1
            scores: list[float] = [h.hash * salt & MASK64 for h in self.ordered_hosts]
            if not self.equal_weights:
                scored = zip(self.ordered_hosts, scores, strict=True)
                scores = [h.weight / -log((d + 1) / (MASK64 + 2)) for h, d in scored]
            ranked = sorted(range(len(scores)), key=scores.__getitem__, reverse=True)
            order = self.host_orders[group, own_zone] = array("I", ranked)
        return map(self.ordered_hosts.__getitem__, order)

    def _warmth(self, host: CacheHost) -> float:
        """The fraction of its normal load that a host may take: from `cold_share` at its start to 1 when warm."""
        age = self.now - host.started_at
        if not host.started_at or age >= self.config.warm_up_time:
            return 1.0
        return self.config.cold_share + (1 - self.config.cold_share) * max(0, age) / self.config.warm_up_time

    def _usable(self, host: CacheHost) -> bool:
        available = host.status is m.HostStatus.READY and host.ejected_until <= self.now
        return available and not (host.on_probation and host.in_flight)

    def _candidates(self, group: int, limit: int, skip: list[Hop], own_zone: bool = False) -> list[CacheHost]:
        """Up to `limit` usable hosts of a group, in its order, without the hosts of the hops in `skip`."""
        found: list[CacheHost] = []
        for host in self._host_order(group, own_zone):
            if any(hop.host is host for hop in skip) or not self._usable(host):
                continue
            # A cold host must not get its full load at once, nor a host that performs below its capacity. Of the
            # groups that rank it highest, it gets those whose hash is below its warmth and range fraction. So groups
            # leave and return one by one, and all balancers send the others to the same next host. A key with
            # several hosts skips a cold one, and so does a transaction that exceeds the cold budget.
            warmth = self._warmth(host)
            fraction = min(warmth, host.range_fraction)
            admitted = fraction >= 1.0 or mix64(host.hash + mix64(group + 7)) <= fraction * MASK64
            if admitted and (warmth >= 1.0 or (limit == 1 and self._has_cold_budget(host))):
                found.append(host)
                if len(found) >= limit:
                    break
        return found

    def _is_overloaded(self, host: CacheHost) -> bool:
        fair_share = self.in_flight * host.weight / self.total_weight
        if self.prefer_own_zone and host.zone == self.config.zone:
            fair_share = max(fair_share, self.own_zone_fraction * self.in_flight * host.weight / self.own_zone_weight)
        if host.in_flight > OVERLOAD_MULTIPLE * fair_share + OVERLOAD_FLOOR_HOPS:
            return True
        # With many balancers, each has almost nothing in flight, so only the durations show an overload.
        hops_are_rare = self._hop_interval() > ESTIMATE_LIFETIME_NS
        return (
            hops_are_rare
            and host.measured_at > 0
            and self._predicted_duration(host) > OVERLOAD_MULTIPLE * self.mean_duration
        )

    def _choose_host(self, tx: Tx) -> CacheHost | None:
        """The cache host for the next hop, or None if none can respond in time."""
        key_range = tx.range
        if key_range is None:
            pool = [h for h in self.ready if self._usable(h) and not any(hop.host is h for hop in tx.hops)]
            draw = self.random.choice
            return min(draw(pool), draw(pool), key=lambda h: h.in_flight) if pool else None
        # A hot key has the first few hosts in the order of its group, so that it does not always spill to the same one.
        share = (key_range.accesses - 1) / max(MIN_SAMPLES, len(self.window))
        copies = 1 << int(share * len(self.ready) * HOT_KEY_SPREAD).bit_length()
        if self.prefer_own_zone and key_range.hash <= self.own_zone_fraction * MASK64:
            for host in self._candidates(key_range.group, copies, tx.hops, own_zone=True):
                if not self._is_overloaded(host) and self._meets_goal(tx, host):
                    return host
            self.capacity_short = True
        candidates = self._candidates(key_range.group, copies, tx.hops)
        # With many balancers, none sees an overload by itself, so each starts at an offset of its own. Half of them
        # keep their first host when the number of hosts doubles.
        offset = (self.config.balancer_index + key_range.group) % len(candidates) if candidates else 0
        candidates = candidates[offset:] + candidates[:offset]
        if (
            tx.is_write
            and candidates
            and self._expected_duration(candidates[0]) > QUICK_WRITE_FRACTION * (tx.goal_at - self.now)
        ):
            # A write may go to any cache host, and many writes must not be repeated: use the fastest host.
            candidates = sorted(
                self._candidates(key_range.group, len(self.ready), tx.hops), key=self._expected_duration
            )[:1]
        for host in candidates:
            if not self._is_overloaded(host):
                return host if self._meets_goal(tx, host) else None
        for i in range(SPILL_GROUPS):
            for host in self._candidates(self.group_loads.lightest_group(key_range.hash + i), 1, tx.hops):
                if not self._is_overloaded(host) and self._meets_goal(tx, host):
                    return host
        return next((h for h in candidates if self._meets_goal(tx, h)), None)

    def _meets_goal(self, tx: Tx, host: CacheHost) -> bool:
        # For a host with no hop in flight the estimate is old, and trying one transaction is cheap.
        available = (tx.goal_at - self.now) * (
            BUSY_HOST_TIME_FRACTION if host.in_flight or tx.over_share else IDLE_HOST_TIME_FRACTION
        )
        return self._expected_duration(host) <= available * (OVER_SHARE_TIME_FRACTION if tx.over_share else 1.0)

    def _expected_duration(self, host: CacheHost) -> float:
        """The predicted duration, adjusted to the number of hops that are now in flight to the host."""
        return self._predicted_duration(host) * (1 + host.in_flight) / (1 + host.mean_in_flight)

    def _predicted_duration(self, host: CacheHost) -> float:
        # A bad estimate would keep all hops away and never be corrected. Therefore the estimate of a host decays with
        # age to the mean of the fleet, and that mean to zero. Where hops to a host are rare, it decays more slowly.
        fleet_mean = self.mean_duration * min(1.0, ESTIMATE_LIFETIME_NS / max(1, self.now - self.mean_duration_at))
        lifetime = max(ESTIMATE_LIFETIME_NS, self._hop_interval())
        return fleet_mean + (host.mean_duration - fleet_mean) * min(1.0, lifetime / max(1, self.now - host.measured_at))

    def _hop_interval(self) -> int:
        """The mean time between two hops of this balancer to one host, in ns; 0 if unknown."""
        return int(len(self.ready) * SECOND / max(0.1, self.arrival_rate)) if self.arrival_rate else 0

    # ---- transactions ----

    def _tx_arrived(self, event: m.TxArrived) -> None:
        profile = self.config.profiles[event.profile]
        tx = self.txs[event.tx] = Tx(
            event.tx, profile, event.is_write, fully_received=event.fully_received, arrived_at=self.now
        )
        client_deadline = self.now + event.ttl - self.time_margin
        tx.goal_at = self.now + profile.service_goal - self._time_spent(event, profile) - self.time_margin
        if profile.overdue_revenue > 0:
            tx.goal_at = max(tx.goal_at, min(client_deadline, self.now + profile.service_goal // 2))
            tx.deadline = client_deadline
        else:
            tx.deadline = min(tx.goal_at, client_deadline)
        self.arrivals += 1
        self.extra_hop_tokens = min(MAX_EXTRA_HOP_TOKENS, self.extra_hop_tokens + EXTRA_HOPS_PER_TX)
        if event.key is not None:
            tx.key = text_hash(event.key)
            tx.range = self._count_access(tx.key)
        if 0 <= event.share < len(self.share_rates):
            # A failing key counts as over the share and uses none of it, so it takes no capacity from other keys.
            tx.over_share, tx.share = self._key_is_failing(tx) or self._exceeds_share(event.share), event.share
        if tx.deadline <= self.now:
            return self._refuse(tx)
        self.timers.add(tx.deadline, tx.id)
        self._route(tx)

    def _client_gone(self, event: m.ClientGone) -> None:
        tx = self.txs.get(event.tx)
        if tx is not None and not tx.ended:
            self._close(tx)

    def _tx_fully_received(self, event: m.TxFullyReceived) -> None:
        # A slow client or a large value must not make the cache host look slow or occupy a fetch from the origin. So
        # a host is chosen while the value is still arriving, but time limits and measurements start at its last byte.
        tx = self.txs.get(event.tx)
        if tx is None or tx.ended or tx.fully_received:
            return
        tx.fully_received, waited = True, self.now - tx.arrived_at - event.unread
        tx.goal_at, tx.deadline = tx.goal_at + waited, tx.deadline + waited
        self.timers.add(tx.deadline, tx.id)
        for hop in tx.hops:
            if hop.in_flight:
                self._start_hop(tx, hop)

    def _time_spent(self, event: m.TxArrived, profile: m.Profile) -> int:
        """How long the client of a retry has already waited, in ns."""
        # The hard limit shortens the time that a retry has left, which tells how long the client has already waited.
        full_ttl = self.first_try_ttl[event.profile]
        if not event.is_retry:
            self.first_try_ttl[event.profile] = max(full_ttl, event.ttl)
            return 0
        return profile.hard_limit - event.ttl if event.ttl < full_ttl - MS else 0

    def _exceeds_share(self, share: int) -> bool:
        """Take a token from the bucket of a share, and return whether it was empty."""
        rate = self.share_rates[share]
        burst = max(MIN_SHARE_BURST_TXS, SHARE_BURST_SECONDS * rate)  # a small share still allows whole transactions
        tokens = min(burst, self.share_tokens[share] + rate * (self.now - self.share_refilled_at[share]) / SECOND)
        self.share_refilled_at[share], self.share_tokens[share] = self.now, tokens if tokens < 1.0 else tokens - 1.0
        return tokens < 1.0

    def _route(self, tx: Tx) -> None:
        if self.config.cache_aside and tx.is_write:
            return self._request_fetch(tx)
        host = self._choose_host(tx)
        if host is not None and self._expects_fetch(tx, host):
            tx.miss_host = host
            return self._request_fetch(tx)
        # If no cache host can respond in time, the origin may, as long as it has capacity left beside the misses.
        if host is None and self._origin_has_spare_capacity(tx):
            return self._request_fetch(tx)
        origin_paused = tx.is_write and self.now < self.origin_paused_until
        if host is None or origin_paused or not self._send(tx, host):
            self._refuse(tx)

    def _expects_fetch(self, tx: Tx, host: CacheHost) -> bool:
        # Where cache hosts fetch misses themselves, a key without a known copy at the host first needs a place within
        # the origin limit. This does not apply while most such reads hit: with many balancers, each sees only few of
        # the copies that all of them fetched.
        return self.unseen_hit_ratio < MOSTLY_HITS_RATIO and self._has_no_known_copy(tx, host)

    def _has_no_known_copy(self, tx: Tx, host: CacheHost) -> bool:
        known = self.config.cache_aside or tx.is_write or tx.range is None
        return not known and host.index not in self.known_copies.get(tx.key, ())

    def _response_lost(self, hop: Hop) -> bool:
        """Whether the response is probably lost: later hops were answered, and this one takes much longer."""
        if hop.expects_fetch:
            return (
                self.newest_answered_fetch > hop.sent_at
                and self.now - hop.sent_at > LOST_RESPONSE_MULTIPLE * self.mean_fetch_duration
            )
        return (
            hop.host.newest_answered > hop.sent_at
            and self.now - hop.sent_at > LOST_RESPONSE_MULTIPLE * self._predicted_duration(hop.host)
        )

    def _late_hop(self, tx: Tx) -> None:
        """A hop is late: record it, and send another one where that helps."""
        for hop in tx.hops:
            if hop.in_flight and not hop.late and not hop.host.is_origin:
                hop.late = True
                # A hop to a busy host is late because of our own load. It counts as a failure only if the host was
                # not busy, or has not answered anything since.
                if hop.host_in_flight <= OVERLOAD_FLOOR_HOPS or hop.host.answered_at < hop.sent_at:
                    self._count_failure(hop)
        # A late hop mostly waits in a queue or for a fetch, and a second hop would only add load. It is sent if the
        # host is ejected or the response is lost, and goes to the current host of the key. With cache-aside, a read
        # goes to the origin while half of the origin limit is free, as another cache host would miss.
        last, host = tx.hops[-1], None
        ejected, lost = last.host.ejected_until > self.now, self._response_lost(last)
        origin_full = last.expects_fetch and not self._origin_has_capacity()
        if not self.config.parallel_hops or tx.hops_in_flight > 1 or self.extra_hop_tokens < 1 or origin_full:
            return
        if self._origin_has_spare_capacity(tx) and not last.host.is_origin:
            host = self.origin
        elif ejected or lost:
            host = last.host if lost and self._usable(last.host) else self._choose_host(tx)
        if host is not None and self._send(tx, host):
            self.extra_hop_tokens -= 1

    def _hop_ended(self, event: m.HopEnded) -> None:
        tx = self.txs.get(event.tx)
        if tx is None or event.hop >= len(tx.hops) or not tx.hops[event.hop].in_flight:
            return
        hop = tx.hops[event.hop]
        hop.in_flight, hop.may_have_run = False, event.outcome > m.HopOutcome.MISS
        if event.outcome in (m.HopOutcome.RESET, m.HopOutcome.UNREACHABLE):
            hop.host.connection_broke_at = self.now
        tx.hops_in_flight -= 1
        if hop.started:
            hop.host.in_flight -= 1
            self.in_flight -= not hop.host.is_origin
        self._update_health(tx, hop, event)
        if event.report is not None and event.report.service_time > 0:
            hop.host.service_time = event.report.service_time
        if event.tx_ended and not tx.ended:
            self._close(tx)
        elif not tx.ended:
            self._continue(tx, hop, event.outcome)
        elif not tx.hops_in_flight:
            self.txs.pop(tx.id, None)
        if hop.expects_fetch:
            self.fetches_in_flight -= 1
            self._drain_origin_queue()

    def _continue(self, tx: Tx, hop: Hop, outcome: m.HopOutcome) -> None:
        """Retry, fetch from the origin, or refuse, after a hop that did not end the transaction."""
        if tx.hops_in_flight:
            return
        if self.now >= tx.deadline or (outcome is m.HopOutcome.ERROR and self._key_is_failing(tx)):
            self._refuse(tx)
        elif outcome is m.HopOutcome.MISS and not hop.host.is_origin:
            tx.miss_host = tx.miss_host or hop.host
            self._request_fetch(tx)
        elif hop.host.is_origin or self.extra_hop_tokens < (cost := self._extra_hop_cost(hop, outcome)):
            self._refuse(tx)
        else:
            self.extra_hop_tokens -= cost
            self._route(tx)

    def _extra_hop_cost(self, hop: Hop, outcome: m.HopOutcome) -> int:
        # A refusal or an immediate connection failure cost no work and little time. Any other extra hop has a cost.
        quick = self.now - hop.sent_at < QUICK_FAILURE_FRACTION * self.mean_duration and outcome in (
            m.HopOutcome.UNREACHABLE,
            m.HopOutcome.RESET,
        )
        return 0 if quick or outcome is m.HopOutcome.FULL else 1

    # ---- the origin ----

    def _request_fetch(self, tx: Tx) -> None:
        """Send a fetch from the origin, queue it, or refuse the transaction."""
        if self.now < self.origin_paused_until:
            self._refuse(tx)
        elif self._origin_has_capacity() and not self.origin_queue:
            self._send_fetch(tx)
        else:
            # The age of a fetch in flight shows a slow origin before the fetch ends.
            duration = max(self.mean_fetch_duration, self.now - self.last_fetch_at if self.fetches_in_flight else 0)
            wait = (len(self.origin_queue) / self.origin_limit + 1) * duration
            self.capacity_short = True
            if self.now + wait > tx.goal_at or (tx.over_share and not tx.is_write):
                self._refuse(tx)
            else:
                (self.origin_queue.appendleft if tx.is_write else self.origin_queue.append)(tx)
                self.timers.add((self.now + tx.goal_at) // 2, tx.id)
                self._drain_origin_queue()

    def _send_fetch(self, tx: Tx) -> None:
        host = self.origin if self.config.cache_aside else tx.miss_host
        # A fetch that would end late is not sent, except for one at a time that probes whether the origin recovered.
        late = self.now + self.mean_fetch_duration > tx.goal_at and self.fetches_in_flight > 0
        if host is None or late or not self._send(tx, host):
            self._refuse(tx)

    def _origin_has_capacity(self) -> bool:
        # A limit below 1, as with many balancers and a small origin, is kept with a pause after each fetch.
        if self.origin_limit < 1.0:
            return not self.fetches_in_flight and self.now >= self._next_fetch_at()
        return self.fetches_in_flight < self.origin_limit

    def _origin_has_spare_capacity(self, tx: Tx) -> bool:
        # Half of the limit is reserved for misses.
        free = not self.origin_queue and self.fetches_in_flight < self.origin_limit / 2
        return self.config.cache_aside and not (tx.is_write or tx.over_share) and free

    def _next_fetch_at(self) -> int:
        return self.last_fetch_at + int(self.mean_fetch_duration / self.origin_limit)

    def _drain_origin_queue(self) -> None:
        while self.origin_queue and self._origin_has_capacity():
            tx = self.origin_queue.popleft()
            if not tx.ended:
                self._send_fetch(tx)
        if self.origin_queue and not self.fetches_in_flight:
            self.timers.add(max(self.now + MS, self._next_fetch_at()), ORIGIN_QUEUE_TIMER)

    def _measure_fetch(self, hop: Hop, event: m.HopEnded) -> None:
        """Adapt the origin limit: additive increase while fetches are fast, multiplicative decrease when slow."""
        if event.outcome is m.HopOutcome.SKIPPED or (
            event.outcome is m.HopOutcome.CANCELLED and event.duration < self.shortest_goal // 2
        ):
            return
        # One slow fetch may be an expensive transaction and does not mean a slow origin, so only the mean cuts the
        # limit. Where fetches are rare the mean would follow changes late, so the weight of a fetch grows with the
        # time since the previous one.
        step = min(0.5, max(0.1, (self.now - self.fetch_measured_at) / SECOND)) if self.fetch_measured_at else 1.0
        self.fetch_measured_at = self.now
        self.mean_fetch_duration += (event.duration - self.mean_fetch_duration) * step
        self.fetch_failures = 0 if event.outcome is m.HopOutcome.DONE else self.fetch_failures + 1
        if not self.fetch_failures:
            self.origin_pause = 0
        elif self.fetch_failures >= ORIGIN_PAUSE_FAILURES:
            # An origin that refuses fetches responds fast, so a limit on fetches in flight does not relieve it.
            self.origin_pause = min(MAX_ORIGIN_PAUSE_NS, max(FIRST_ORIGIN_PAUSE_NS, self.origin_pause * 2))
            self.origin_paused_until = self.now + self.origin_pause
        if (
            event.outcome in (m.HopOutcome.DONE, m.HopOutcome.TIMED_OUT, m.HopOutcome.CANCELLED)
            and self.mean_fetch_duration < self.slow_fetch_duration
        ):
            if self.fetches_in_flight > self.origin_limit / 2:
                self.origin_limit += min(self.origin_limit, 1 / self.origin_limit)
        elif hop.sent_at >= self.origin_limit_cut_at:
            self.origin_limit, self.origin_limit_cut_at = max(self.min_origin_limit, self.origin_limit * 0.8), self.now

    # ---- health ----

    def _update_health(self, tx: Tx, hop: Hop, event: m.HopEnded) -> None:
        host = hop.host
        host_fetches = not self.config.cache_aside
        # A response that was lost on the way is evidence about the cache host, not about the origin behind it.
        response_lost = event.outcome is m.HopOutcome.TIMED_OUT and self._response_lost(hop)
        lost = event.outcome is m.HopOutcome.UNREACHABLE or (
            host_fetches and (event.outcome is m.HopOutcome.RESET or response_lost)
        )
        is_error = event.outcome is m.HopOutcome.ERROR and not host.is_origin
        follows_key = is_error and self._error_follows_key(tx, hop)
        if not follows_key and (
            (hop.expects_fetch and not lost) or (host_fetches and (event.cache_result > 1 or is_error))
        ):
            self._measure_fetch(hop, event)
        if host_fetches:
            if event.cache_result:
                self.hit_ratio += ((event.cache_result == 1) - self.hit_ratio) * HIT_RATIO_STEP
            if event.cache_result and self._has_no_known_copy(tx, host):
                self.unseen_hit_ratio += ((event.cache_result == 1) - self.unseen_hit_ratio) * HIT_RATIO_STEP
            self._update_copies(tx, host, event.outcome)
        if host.is_origin:
            return
        late = event.outcome is m.HopOutcome.TIMED_OUT and not response_lost
        if (
            (late or event.outcome is m.HopOutcome.DONE)
            and not hop.expects_fetch
            and (event.cache_result < 2 or not host_fetches)
        ):
            self._measure_duration(hop, event.duration)
        if event.outcome not in (m.HopOutcome.SKIPPED, m.HopOutcome.CANCELLED):
            self.failure_ratio += (
                (hop.late or event.outcome in FAILURE_OUTCOMES) - self.failure_ratio
            ) * FAILURE_RATIO_STEP
        if event.outcome is m.HopOutcome.DONE:
            host.answered_at, host.newest_answered = self.now, max(host.newest_answered, hop.sent_at)
            self.newest_answered_fetch = max(self.newest_answered_fetch, hop.sent_at * hop.expects_fetch)
            host.ejection_time = host.ejection_time if hop.late else 0
            self.failing_keys.pop(tx.key, None)
            for other in tx.hops:
                if other.unattributed_error:  # another cache host answered the transaction, so its key is not the cause
                    other.unattributed_error = False
                    self._count_failure(other, self._hop_interval() > ESTIMATE_LIFETIME_NS)
        if event.outcome is m.HopOutcome.MISS or (event.outcome is m.HopOutcome.DONE and not hop.late):
            host.failures, host.on_probation = 0, False
        elif is_error:
            hop.unattributed_error = not follows_key
        elif event.outcome in FAILURE_OUTCOMES and not hop.late:
            self._count_failure(hop, self._hop_interval() > ESTIMATE_LIFETIME_NS)

    def _key_is_failing(self, tx: Tx) -> bool:
        return self.failing_keys.get(tx.key, 0) > self.now

    def _error_follows_key(self, tx: Tx, hop: Hop) -> bool:
        # A host must not be held responsible for a transaction that fails everywhere, such as one for a value that no
        # cache host can return; nor must the origin. An error counts against its host once another host has answered
        # the transaction, and against none once the key has failed at two hosts. For FAILING_KEY_TTL_NS, a transaction
        # with such a key then gets one hop only. The cost: a host that returns only errors is ejected one hop later,
        # and with an origin that is down each key counts once.
        if not tx.range:
            return False
        others = [h for h in tx.hops if h.unattributed_error and h.host is not hop.host]
        if others or self._key_is_failing(tx):
            for other in others:
                other.unattributed_error = False
            if len(self.failing_keys) >= MAX_FAILING_KEYS:
                self.failing_keys = {k: until for k, until in self.failing_keys.items() if until > self.now}
            if len(self.failing_keys) < MAX_FAILING_KEYS:
                self.failing_keys[tx.key] = self.now + FAILING_KEY_TTL_NS
            if tx.share >= 0 and not tx.over_share:
                self.share_tokens[tx.share] += 1.0
                tx.over_share = True
            return True
        return False

    def _measure_duration(self, hop: Hop, duration: int) -> None:
        # Timeouts count too. Otherwise only its fastest responses would count for an overloaded fleet.
        host = hop.host
        if not host.measured_at:
            host.mean_duration = self.mean_duration or float(duration)
        # Ten slow responses may be chance. Where hops are frequent, proportionally more of them make up the mean.
        pace = min(1.0, max(MIN_SMOOTHING_PACE, 3 * self._hop_interval() / SECOND)) if self.arrival_rate else 1.0
        step = 0.2 * pace if self.now - host.measured_at < ESTIMATE_LIFETIME_NS else 0.5
        self.mean_duration_at, self.duration_samples = self.now, self.duration_samples + 1
        self.mean_duration += (duration - self.mean_duration) * max(0.1 * pace, 1 / self.duration_samples)
        host.mean_duration, host.measured_at = host.mean_duration + (duration - host.mean_duration) * step, self.now
        host.mean_in_flight += (hop.host_in_flight - host.mean_in_flight) * step

    def _update_copies(self, tx: Tx, host: CacheHost, outcome: m.HopOutcome) -> None:
        if tx.is_write:
            self.known_copies.pop(tx.key, None)
        elif outcome is m.HopOutcome.DONE:
            self.known_copies.setdefault(tx.key, set()).add(host.index)
        elif outcome in (m.HopOutcome.ERROR, m.HopOutcome.TIMED_OUT):
            self.known_copies.get(tx.key, set()).discard(host.index)

    def _failures_to_eject(self, on_probation: bool) -> int:
        # Where hops are frequent, two failures in a row happen by chance and must not eject a healthy host. At the
        # overall failure ratio, a run of this length happens by chance at one host once per
        # FALSE_EJECTION_INTERVAL_NS. A host on probation is ejected after half as many.
        run = log((self._hop_interval() or FALSE_EJECTION_INTERVAL_NS) / FALSE_EJECTION_INTERVAL_NS) / log(
            min(0.5, max(MIN_FAILURE_RATIO, self.failure_ratio))
        )
        failures = max(MIN_FAILURES_TO_EJECT, min(MAX_FAILURES_TO_EJECT, int(run) + 1))
        return failures // 2 if on_probation else failures

    def _count_failure(self, hop: Hop, eject_at_once: bool = False) -> None:
        """Count a failure of a host, and eject the host after enough of them in a row."""
        # A failed fetch counts against its host only while fetches through other hosts succeed.
        if hop.expects_fetch and self.fetch_failures >= ORIGIN_PAUSE_FAILURES:
            return
        host = hop.host
        host.failures += 1
        if (
            host.failures < (1 if eject_at_once else self._failures_to_eject(host.on_probation))
            or host.ejected_until > self.now
        ):
            return
        ejected = sum(1 for h in self.ready if h.ejected_until > self.now or h.on_probation)
        # If many hosts fail at once, the cause is probably not the hosts.
        if not host.on_probation and ejected + 1 > MAX_EJECTED_FRACTION * len(self.ready):
            return
        # An ejection shorter than the time between two hops to the host would have no effect.
        host.ejection_time = min(MAX_EJECTION_NS, max(FIRST_EJECTION_NS, self._hop_interval(), host.ejection_time * 2))
        host.ejected_until, host.on_probation, host.failures = self.now + host.ejection_time, True, 0

    # ---- the four rules ----

    def _has_cold_budget(self, host: CacheHost) -> bool:
        """Whether a cold host may take one more hop from this balancer now."""
        warmth, hop_times, window = self._warmth(host), host.cold_hop_times, self.config.overload_window
        if warmth >= 1.0:
            return True
        while hop_times and hop_times[0] <= self.now - window:
            hop_times.popleft()
        # Rule 4: the budget is the load that a warm host has from this balancer, times the warmth. Each balancer
        # keeps a budget of its own.
        warm_hops, multiple = host.weight * self.rate_per_weight * window / SECOND, self.config.overload_multiple
        budget = host.cold_fraction * max(
            MIN_COLD_HOPS_PER_WINDOW / self.config.balancer_count,
            min(COLD_BUDGET_MULTIPLE, multiple / 2) * warmth * warm_hops,
        )
        if budget >= 1.0:
            return len(hop_times) < budget
        # A budget below one hop per window means one hop every few windows. When other hosts fail, all balancers
        # may want to spend that hop at the same moment. So in each window, counted from the start of the host, only
        # an evenly spread part of the balancers has a turn, and a burst of COLD_BURST_MULTIPLE times the usual rate
        # causes no overload. The cost: a balancer that has no turn uses another host.
        turn_fraction = (
            COLD_TURN_MARGIN * multiple * warmth * warm_hops / min(1.0, COLD_BURST_MULTIPLE * warm_hops)
            if warm_hops
            else budget
        )
        draw = (
            mix64(host.hash + (self.now - host.started_at) // window) + self.config.balancer_index * GOLDEN_RATIO_64
            & MASK64
        )
        return draw < max(budget, host.cold_fraction * turn_fraction) * MASK64 and self.now >= host.last_cold_hop + int(
            window / budget
        )

    def _first_possible_run(self, tx: Tx) -> Hop | None:
        """The first hop on which the transaction ran or may have run."""
        return next((hop for hop in tx.hops if hop.may_have_run), None)

    def _may_repeat(self, tx: Tx, host: CacheHost) -> bool:
        """Whether a hop to this host cannot make the transaction take effect twice."""
        first = self._first_possible_run(tx)
        if first is None or tx.profile.semantics is m.Semantics.IDEMPOTENT:
            return True
        window, scope = tx.profile.dedup_window - self.time_margin, tx.profile.dedup_scope
        if tx.profile.semantics is m.Semantics.NON_IDEMPOTENT or self.now - first.sent_at >= window:
            return False
        if scope is m.DedupScope.ALL:
            return True
        same_place = host.zone == first.host.zone if scope is m.DedupScope.ZONE else host.cell == first.host.cell
        # A connection that broke may mean that another process has the address now, of another zone or cell, and the
        # list tells late. A process that started since knows of no earlier work.
        return same_place and max(host.connection_broke_at, host.started_at) < first.sent_at

    def _send(self, tx: Tx, host: CacheHost) -> bool:
        """Send a hop unless a rule forbids it, and return whether it was sent.

        Every hop passes here. Rule 1: nothing after the response. Rule 2: no unsafe repeat. Rule 3: nothing new to a
        draining host. Rule 4: no overload of a cold host.
        """
        if tx.ended or len(tx.hops) >= self.config.max_hops or self.now >= tx.deadline:
            return False
        if host.status is not m.HostStatus.READY or (tx.hops_in_flight and not self.config.parallel_hops):
            return False
        cold = not host.is_origin and self._warmth(host) < 1.0
        if not self._may_repeat(tx, host) or (cold and not self._has_cold_budget(host)):
            return False
        if cold:
            host.cold_hop_times.append(self.now)
            host.last_cold_hop = self.now
        self.warm_hops_sent += not cold and not host.is_origin
        # A repeat may wait before it starts, for a connection for example. `begin_by` is then checked again.
        first = self._first_possible_run(tx) if tx.profile.semantics is m.Semantics.JOURNALLED else None
        begin_by = first.sent_at + tx.profile.dedup_window - self.time_margin if first is not None else 0
        hop = Hop(host, self.now, host.in_flight)
        tx.hops.append(hop)
        tx.hops_in_flight += 1
        if tx.fully_received:
            self._start_hop(tx, hop)
        self.actions.append(m.SendHop(tx.id, host.index, tx.deadline, begin_by))
        return True

    def _start_hop(self, tx: Tx, hop: Hop) -> None:
        host = hop.host
        hop.started, hop.sent_at, hop.host_in_flight = True, self.now, host.in_flight
        if not host.is_origin:
            self.in_flight += 1
            if self.config.parallel_hops:
                self.timers.add(self.now + int(LATE_HOP_GOAL_FRACTION * tx.profile.service_goal), tx.id)
        if host.is_origin or (tx.is_write and not self.config.cache_aside) or self._expects_fetch(tx, host):
            hop.expects_fetch = True
            self.fetches_in_flight += 1
            self.last_fetch_at = self.now
        host.in_flight += 1

    def _refuse(self, tx: Tx) -> None:
        """End a transaction without a commit: rolled back where a retry is safe, else abandoned.

        Every response that is not a commit passes here. Rule 1: one response, in time. Rule 2: rolled back promises
        that a retry does no harm.
        """
        if tx.ended:
            return
        profile, first = tx.profile, self._first_possible_run(tx)
        wait = min(self._with_jitter(int(BACKOFF_GOAL_FRACTION * profile.service_goal)), self.config.max_backoff)
        # Cache hosts recognise a repeat of a journalled transaction only within the window of its profile. A client
        # that retries after the backoff must still be within it.
        recognised = profile.semantics is m.Semantics.JOURNALLED and profile.dedup_scope is m.DedupScope.ALL
        if first is not None and self.now + wait - first.sent_at >= profile.dedup_window - self.time_margin:
            recognised = False
        if recognised or first is None or profile.semantics is m.Semantics.IDEMPOTENT:
            self.actions.append(m.RollBack(tx.id, wait))
        else:
            self.actions.append(m.Abandon(tx.id))
        self._close(tx)

    def _close(self, tx: Tx) -> None:
        tx.ended = True
        if self.config.can_cancel:
            self.actions += [m.CancelHop(tx.id, n) for n, hop in enumerate(tx.hops) if hop.in_flight]
        if not tx.hops_in_flight:
            self.txs.pop(tx.id, None)


HANDLERS: dict[type, Callable[..., None]] = {
    m.TxArrived: Balancer._tx_arrived,
    m.HopEnded: Balancer._hop_ended,
    m.TimerFired: Balancer._timer_fired,
    m.TxFullyReceived: Balancer._tx_fully_received,
    m.ClientGone: Balancer._client_gone,
    m.ListChanged: Balancer._list_changed,
    m.ListUnavailable: Balancer._list_unavailable,
    m.Config: Balancer._configure,
    m.Learned: Balancer._restore,
}
