"""All decisions of ternquay, for one balancer.

    balancer = Balancer(started)             # a model.Started: the seed and what is told of the deployment
    actions = balancer.decide(now, event)    # whole nanoseconds, a model.Event -> a list of model.Action

The types of both sides stand in ternquay/model.py, the records kept between events in ternquay/state.py. The
design (PAT, docs/design.md) decides the ordinary path; `_send` and `_finish` guard the four rules.
"""

from array import array
from collections.abc import Callable, Iterator
from math import log
from random import Random

from ternquay import model as m
from ternquay.figures import MASK, median, mix, text_hash
from ternquay.state import BalancerState, CacheHost, Hop, Range, Tx

MS, SECOND = 1_000_000, 1_000_000_000

RANGE_COUNT, GROUP_COUNT = 8192, 2048
AFFINITY_WEIGHT, LOAD_EXPONENT = 0.9, 1.5
WINDOW_ACCESSES, REASSIGN_EVERY_ACCESSES = 4096, 512
HOT_KEY_FRACTION, HOT_KEY_MIN_ACCESSES = 0.05, 8
HOT_KEY_SPREAD = 1.5  # a hot key's places, as a multiple of the cache hosts its share would fill
MIN_SAMPLES = 128  # accesses before a share is believed
OVERLOAD_MULTIPLE, OVERLOAD_FLOOR_HOPS = 2.0, 2.0
OWN_ZONE_MIN_PRICE, OWN_ZONE_STEP_UP, OWN_ZONE_STEP_DOWN = 0.05, 0.01, 0.05
(
    LOAD_CAP_FLOOR_TXS,
    MAX_REPORTED_LOAD,
    RANGE_FRACTION_UP_PER_SECOND,
    RANGE_FRACTION_DOWN_PER_SECOND,
    MIN_RANGE_FRACTION,
    MAX_CAPACITY_MULTIPLE,
) = 2.0, 1000.0, 0.05, 0.15, 0.2, 16.0
SPILL_GROUPS = 4  # drawn among the next-best groups for a spill

# Health and further hops.
FAILING_KEY_TTL_NS, MAX_FAILING_KEYS = 10 * SECOND, 512  # keys that fail anywhere
MIN_FAILURES_TO_EJECT, MAX_FAILURES_TO_EJECT, FIRST_EJECTION_NS, MAX_EJECTION_NS, MAX_EJECTED_FRACTION = (
    2,
    8,
    SECOND,
    8 * SECOND,
    0.4,
)
FALSE_EJECTION_INTERVAL_NS, FAILURE_RATIO_STEP, MIN_FAILURE_RATIO, MIN_SMOOTHING_PACE = 60 * SECOND, 0.01, 0.02, 0.2
# A host that drains turns everything away long before the list says so.
FAILURE_OUTCOMES = (
    m.HopOutcome.ERROR,
    m.HopOutcome.TIMED_OUT,
    m.HopOutcome.RESET,
    m.HopOutcome.UNREACHABLE,
    m.HopOutcome.FULL,
)
EXTRA_HOPS_PER_TX, MAX_EXTRA_HOP_TOKENS, BACKOFF_GOAL_FRACTION = 0.15, 10.0, 0.1
LATE_HOP_GOAL_FRACTION, LOST_RESPONSE_MULTIPLE, QUICK_FAILURE_FRACTION, QUICK_WRITE_FRACTION = 0.6, 2.0, 0.25, 0.25

# Admission, the origin, cold cache hosts, the list.
BUSY_HOST_TIME_FRACTION, IDLE_HOST_TIME_FRACTION, OVER_SHARE_TIME_FRACTION, ESTIMATE_LIFETIME_NS = 0.8, 1.2, 0.3, SECOND
INITIAL_ORIGIN_LIMIT, SLOW_FETCH_GOAL_FRACTION, MIN_ORIGIN_LIMIT = 32.0, 0.5, 2.0  # places of all balancers together
SLOW_HOST_FETCH_GOAL_FRACTION = 0.8  # a fetch by a cache host has the cache host's own work in it
MOSTLY_HITS_RATIO, HIT_RATIO_STEP = 0.75, 0.05
ORIGIN_PAUSE_FAILURES, FIRST_ORIGIN_PAUSE_NS, MAX_ORIGIN_PAUSE_NS = 3, 100 * MS, 2 * SECOND
COLD_BUDGET_MULTIPLE, MIN_COLD_HOPS_PER_WINDOW = 1.5, 2.0  # the least hops a window, of all balancers together
COLD_TURN_MARGIN, COLD_BURST_MULTIPLE, GOLDEN_RATIO_64 = (
    0.9,
    8.0,
    0x9E3779B97F4A7C15,
)  # multiples of GOLDEN_RATIO_64 lie evenly apart
MIN_SHARE_BURST_TXS, SHARE_BURST_SECONDS = 8.0, 4.0  # a bucket's depth, in transactions and in seconds
FORGET_HOST_AFTER_NS = 30 * SECOND  # no host is remembered for longer after the list has last named it
FIRST_LIST_RETRY_NS, MAX_LIST_RETRY_NS, MIN_TICK_NS, MAX_TICK_NS = SECOND // 2, 4 * SECOND, SECOND // 4, 2 * SECOND


class Balancer(BalancerState):
    def __init__(self, started: m.Config) -> None:
        super().__init__(GROUP_COUNT, WINDOW_ACCESSES)
        self._configure(started)
        self.random, self.jitter_seed = Random(started.seed), mix(started.seed ^ mix(started.balancer_index + 1))
        self.time_margin, self.list_retry_delay, self.extra_hop_tokens = (
            started.clock_quantum + 2 * MS,
            FIRST_LIST_RETRY_NS,
            MAX_EXTRA_HOP_TOKENS,
        )
        part = 1 / started.balancer_count
        self.origin_limit, self.min_origin_limit = INITIAL_ORIGIN_LIMIT * part, MIN_ORIGIN_LIMIT * part
        # How often a copy that we did not see is there all the same: the others of N brought it.
        self.unseen_hit_ratio = 1 - part

    def _configure(self, started: m.Config) -> None:
        # What is open keeps the profile that it was taken with; what was measured of machines stays.
        self.config = started
        self.shortest_goal = min((p.service_goal for p in started.profiles), default=SECOND)
        self.slow_fetch_duration = self.shortest_goal * (
            SLOW_FETCH_GOAL_FRACTION if started.cache_aside else SLOW_HOST_FETCH_GOAL_FRACTION
        )
        self.prefer_own_zone = started.cross_zone_price >= OWN_ZONE_MIN_PRICE
        self.usual_ttl = [0] * len(started.profiles)
        self.share_rates = [q / started.balancer_count for q in started.quotas]
        self.share_tokens, self.share_refilled_at = [0.0] * len(self.share_rates), [0] * len(self.share_rates)

    def decide(self, now: int, event: m.Event) -> list[m.Action]:
        self.now, self.actions = now, []
        HANDLERS[type(event)](self, event)
        self._set_timer()
        return self.actions

    # ---- another process of this balancer ----

    def _restore(self, e: m.Learned) -> None:
        # The one that is replaced sends on for a moment, so each takes half of the rate and the origin.
        self.mean_duration, self.mean_duration_at, self.duration_samples = e.usual, self.now, MIN_SAMPLES
        self.arrival_rate, self.rate_per_weight, self.mean_fetch_duration = e.rate, e.unit_rate / 2, e.origin_took
        self.origin_limit = max(self.min_origin_limit, e.origin_limit / 2)
        # What it brought to the cache hosts lies there, though we have seen none of it.
        self.unseen_hit_ratio, self.hit_ratio = max(self.unseen_hit_ratio, e.hits), e.hits
        for told in e.hosts:
            if (host := self.hosts.get(told.host)) is not None and not host.measured_at:
                host.restore(told, self.now)

    # ---- the list ----

    def _list_changed(self, event: m.ListChanged) -> None:
        named = {line.host: line for line in event.entries}
        lacks = [
            h
            for h in self.hosts.values()
            if not h.unlisted_since
            and (event.complete if h.index not in named else named[h.index].status is m.HostStatus.GONE)
        ]
        # Against a list that is wrong of hosts that serve, empty, shrunk or old: where gone is advice, one
        # that drops more of them at once than fail by themselves is not believed, and their answers decide.
        # A draining that was seen holds on. Harm: so many that went indeed cost hops that fail, until FORGET_HOST_AFTER_NS.
        wrong = len(lacks) > MAX_EJECTED_FRACTION * sum(1 for h in self.hosts.values() if not h.unlisted_since)
        for host in lacks:
            if self.config.gone_is_advisory and (wrong or host.status is m.HostStatus.DRAINING):
                host.unlisted_since = self.now
            else:
                host.status = m.HostStatus.GONE
        for line in event.entries:
            if line.status is not m.HostStatus.GONE:
                self._update_host(line)
        self._update_ready_hosts(told=True)
        self.list_retry_delay = FIRST_LIST_RETRY_NS
        if self.config.watch_list and not self.list_requested:
            self.list_requested = True
            self.actions.append(m.WatchList())
        if not self.last_tick_at:
            self.last_tick_at = self.now
            self.timers.add(self.now + MIN_TICK_NS, -1)

    def _update_ready_hosts(self, told: bool = False) -> None:
        """What follows from the hosts as they stand."""
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
        if told and self.ready and self.config.weight_mode is m.WeightMode.LIVE:
            self._learn_capacities()
        # A host less is passed over where it stands; only a new one, or a new weight, needs new orders.
        # By the record and not its index: under that one may come back that is another.
        if not set(self.ready) <= set(self.ordered_hosts):
            self.host_orders, self.ordered_hosts = {}, list(self.ready)
            self.equal_weights = len({h.weight for h in self.ordered_hosts}) < 2
        self.total_weight = sum(h.weight for h in self.ready) or 1.0
        self.own_zone_weight = sum(h.weight for h in self.ready if h.zone == self.config.zone) or 1.0
        self.origin = next((h for h in up if h.is_origin), None)

    def _update_host(self, line: m.ListedHost) -> None:
        host = self.hosts.get(line.host)
        standing = line.status
        if host is None:
            is_origin = self.config.cache_aside and line.kind == self.config.origin_kind
            host = CacheHost(line.host, text_hash(line.address), is_origin, line.started_at, line.status)
            self.hosts[line.host] = host
        elif (
            self.config.gone_is_advisory and host.status is m.HostStatus.DRAINING and line.started_at <= host.started_at
        ):
            standing = m.HostStatus.DRAINING  # an `up` from before that draining, of an old list: it binds on
        elif line.started_at != host.started_at and line.status is m.HostStatus.READY:
            host.started_at, host.failures, host.measured_at, host.mean_duration, host.mean_in_flight = (
                line.started_at,
                0,
                0,
                0.0,
                0.0,
            )
            host.ejected_until, host.ejection_time, host.on_probation, host.range_fraction = 0, 0, False, 1.0
        host.zone, host.cell, host.status, host.cold_fraction = line.zone, line.cell, standing, line.cold_fraction
        host.unlisted_since = 0
        host.kind, host.listed_weight, host.capacity = line.kind, line.weight, max(host.capacity, line.weight)
        if self.config.weight_mode is m.WeightMode.STATIC:
            self._set_weight(host, line.weight)

    def _set_weight(self, host: CacheHost, weight: float) -> None:
        if weight != host.weight and weight > 0:
            host.weight, self.ordered_hosts = weight, []

    def _learn_capacities(self) -> None:
        # Weights that fall with load stand at the size of a host that holds nothing: a kind's size is the
        # second highest that a host of it was listed with. Against keys that move with lists; absurd weights.
        kinds = {h.kind for h in self.ready}
        sizes = {kind: sorted(h.capacity for h in self.ready if h.kind == kind)[-2:][0] for kind in kinds}
        most = MAX_CAPACITY_MULTIPLE * median(h.capacity for h in self.ready)
        for host in self.ready:
            self._set_weight(host, min(most, sizes[host.kind]))
        # A host that holds too much, by the time that takes, keeps less of its ranges, else more, in steps.
        # Against crowds that no one balancer sees, and all balancers running to the host that looked empty.
        passed, self.capacities_learned_at = min(1.0, (self.now - self.capacities_learned_at) / SECOND), self.now
        told = [h for h in self.ready if h.listed_weight * MAX_REPORTED_LOAD > h.weight]
        load = {h.index: (h.weight / h.listed_weight - 1) * h.service_time for h in told}
        cap = LOAD_CAP_FLOOR_TXS * median(h.service_time for h in self.ready)
        cap += OVERLOAD_MULTIPLE * median(load.values()) if load else 0.0
        for host in self.ready:
            step = -RANGE_FRACTION_DOWN_PER_SECOND if load.get(host.index, 0.0) > cap else RANGE_FRACTION_UP_PER_SECOND
            host.range_fraction = max(MIN_RANGE_FRACTION, min(1.0, host.range_fraction + step * passed))

    def _list_unavailable(self, _: m.ListUnavailable) -> None:
        # Against a flood of calls on a discovery that is down: each failure waits longer, with a random part.
        if self.config.watch_list:
            # A call at least as often as the list that is held counts: each waits one to two such spans.
            wait = min(self.list_retry_delay, self.config.list_max_age * 2 // 5)
            self.timers.add(self.now + wait // 2 + self._with_jitter(wait), -2)
            self.list_retry_delay = min(MAX_LIST_RETRY_NS, self.list_retry_delay * 2)

    # ---- timers ----

    def _with_jitter(self, span: int) -> int:
        # From half to one and a half times so long, another each time: against instances, and clients of one,
        # that wait equally long and meet again. Not from `random`, as what is chosen must not hang on it.
        self.jitter_draws += 1
        return span // 2 + mix(self.jitter_seed + self.jitter_draws) * span // MASK

    def _set_timer(self) -> None:
        at = self.timers.next_time(self.txs)
        if at is not None and (not self.timer_at or at < self.timer_at):
            self.timer_at = max(at, self.now + 1)
            self.actions.append(m.SetTimer(self.timer_at))

    def _timer_fired(self, _: m.TimerFired) -> None:
        if self.now >= self.timer_at:
            self.timer_at = 0
        while (what := self.timers.pop_due(self.now)) is not None:
            if what == -1:
                self._tick()
            elif what == -2:
                self.actions.append(m.WatchList())
            elif what == -3:
                self._drain_origin_queue()
            elif (tx := self.txs.get(what)) is not None and not tx.ended:
                # With nothing out it would wait most of its time and be turned away then.
                if not tx.hops_in_flight or (tx.fully_received and self.now >= tx.deadline):
                    self._refuse(tx)
                elif tx.fully_received:
                    self._late_hop(tx)

    def _tick(self) -> None:
        passed = self.now - self.last_tick_at
        self.last_tick_at = self.now
        warm = sum(h.weight for h in self.ready if self._warmth(h) >= 1.0)
        # Measured on warm hosts alone: a mostly cold fleet must neither raise it nor keep it at nothing.
        step = min(0.5, 0.1 * passed / MIN_TICK_NS)
        if warm > 0:
            rate = self.warm_hops_sent * SECOND / passed / warm
            self.rate_per_weight += (rate - self.rate_per_weight) * (step if self.rate_per_weight else 1.0)
        self.arrival_rate += (self.arrivals * SECOND / passed - self.arrival_rate) * (
            step if self.arrival_rate else 1.0
        )
        self.warm_hops_sent = self.arrivals = 0
        # What a list that has fallen silent told last holds no longer than a host is remembered.
        for host in self.ready if self.now - self.capacities_learned_at > FORGET_HOST_AFTER_NS else ():
            host.range_fraction = min(1.0, host.range_fraction + RANGE_FRACTION_UP_PER_SECOND * passed / SECOND)
        step = -OWN_ZONE_STEP_DOWN if self.capacity_short else OWN_ZONE_STEP_UP
        self.own_zone_fraction, self.capacity_short = (
            max(0.0, min(1.0, self.own_zone_fraction + step * passed / MIN_TICK_NS)),
            False,
        )
        if self.config.gone_is_advisory and any(h.unlisted_since for h in self.hosts.values()):
            self._update_ready_hosts()
        # Often enough for some ten transactions: more often costs CPU.
        self.timers.add(
            self.now + max(MIN_TICK_NS, min(MAX_TICK_NS, int(10 * SECOND / max(1.0, self.arrival_rate)))), -1
        )

    # ---- the table of ranges ----

    def _range_of(self, key: int) -> Range:
        number = key * RANGE_COUNT >> 64
        found = self.hot_keys.get(key) or self.ranges.get(number)
        if found is None:
            drawn = mix(number + 1)
            found = self.ranges[number] = Range(drawn % GROUP_COUNT, drawn)
        return found

    def _count_access(self, key: int) -> Range:
        rng = self._range_of(key)
        rng.accesses += 1
        self.group_loads.add(rng.group, 1)
        self.key_counts[key] = self.key_counts.get(key, 0) + 1
        self.changed_keys[key] = None
        self.window.append(key)
        if len(self.window) > WINDOW_ACCESSES:
            self._expire_access(self.window.popleft())
        self.access_count += 1
        if self.access_count % REASSIGN_EVERY_ACCESSES == 0:
            self._reassign_ranges()
        return rng

    def _expire_access(self, key: int) -> None:
        rng = self._range_of(key)
        rng.accesses -= 1
        self.group_loads.add(rng.group, -1)
        self.key_counts[key] -= 1
        if not self.key_counts[key]:
            del self.key_counts[key]

    def _reassign_ranges(self) -> None:
        self._split_hot_keys()
        seen = {id(rng): rng for rng in map(self._range_of, self.changed_keys)}
        self.changed_keys = {}
        # Copies that nothing has asked for over the window are not counted on, and not kept in mind.
        self.known_copies = {k: hosts for k, hosts in self.known_copies.items() if k in self.key_counts}
        for rng in seen.values():
            self._assign_group(rng)

    def _split_hot_keys(self) -> None:
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
        return AFFINITY_WEIGHT * affinity - (1 - AFFINITY_WEIGHT) * LOAD_EXPONENT * float(load ** (LOAD_EXPONENT - 1))

    def _assign_group(self, rng: Range) -> None:
        self.group_loads.add(rng.group, -rng.accesses)
        if self._gain(0, self.group_loads.min_load) > self._gain(rng.accesses, self.group_loads[rng.group]):
            rng.group = self.group_loads.lightest_group(rng.hash)
        self.group_loads.add(rng.group, rng.accesses)

    # ---- from group to cache host ----

    def _host_order(self, group: int, near: bool = False) -> Iterator[CacheHost]:
        order = self.host_orders.get((group, near))
        if order is None and near:
            self._host_order(group)
            own = (i for i in self.host_orders[group, False] if self.ordered_hosts[i].zone == self.config.zone)
            order = self.host_orders[group, near] = array("I", own)
        elif order is None:
            # One product for each host and no call: with few transactions a second nearly each pays for one.
            salt = mix(group + 1) | 1
            drawn: list[float] = [h.hash * salt & MASK for h in self.ordered_hosts]
            if not self.equal_weights:
                each = zip(self.ordered_hosts, drawn, strict=True)
                drawn = [h.weight / -log((d + 1) / (MASK + 2)) for h, d in each]
            ranked = sorted(range(len(drawn)), key=drawn.__getitem__, reverse=True)
            order = self.host_orders[group, near] = array("I", ranked)
        return map(self.ordered_hosts.__getitem__, order)

    def _warmth(self, host: CacheHost) -> float:
        age = self.now - host.started_at
        if not host.started_at or age >= self.config.warm_up_time:
            return 1.0
        return self.config.cold_share + (1 - self.config.cold_share) * max(0, age) / self.config.warm_up_time

    def _usable(self, host: CacheHost) -> bool:
        up = host.status is m.HostStatus.READY and host.ejected_until <= self.now
        return up and not (host.on_probation and host.in_flight)

    def _candidates(self, group: int, most: int, skip: list[Hop], near: bool = False) -> list[CacheHost]:
        found: list[CacheHost] = []
        for host in self._host_order(group, near):
            if any(hop.host is host for hop in skip) or not self._usable(host):
                continue
            # Against a cold cache host that gets its full part at once, or one that does less than its size:
            # of the groups it ranks highest for it takes those whose draw lies under its warmth and room, so
            # that they go and come back one by one, and all balancers have the rest at the next host.
            # A key with several places, and all that its budget has no room for, goes to who stood in for it.
            warmth = self._warmth(host)
            part = min(warmth, host.range_fraction)
            drawn = part >= 1.0 or mix(host.hash + mix(group + 7)) <= part * MASK
            if drawn and (warmth >= 1.0 or (most == 1 and self._has_cold_budget(host))):
                found.append(host)
                if len(found) >= most:
                    break
        return found

    def _is_overloaded(self, host: CacheHost) -> bool:
        part = self.in_flight * host.weight / self.total_weight
        if self.prefer_own_zone and host.zone == self.config.zone:
            part = max(part, self.own_zone_fraction * self.in_flight * host.weight / self.own_zone_weight)
        if host.in_flight > OVERLOAD_MULTIPLE * part + OVERLOAD_FLOOR_HOPS:
            return True
        # Of many balancers each has next to nothing in flight, so a crowd shows in the times alone.
        rare = self._hop_interval() > ESTIMATE_LIFETIME_NS
        return rare and host.measured_at > 0 and self._predicted_duration(host) > OVERLOAD_MULTIPLE * self.mean_duration

    def _choose_host(self, tx: Tx) -> CacheHost | None:
        rng = tx.range
        if rng is None:
            pool = [h for h in self.ready if self._usable(h) and not any(hop.host is h for hop in tx.hops)]
            draw = self.random.choice
            return min(draw(pool), draw(pool), key=lambda h: h.in_flight) if pool else None
        # Against a hot key that always spills to one and the same place: it has a prefix of its ranking.
        share = (rng.accesses - 1) / max(MIN_SAMPLES, len(self.window))
        places = 1 << int(share * len(self.ready) * HOT_KEY_SPREAD).bit_length()
        if self.prefer_own_zone and rng.hash <= self.own_zone_fraction * MASK:
            for host in self._candidates(rng.group, places, tx.hops, near=True):
                if not self._is_overloaded(host) and self._meets_goal(tx, host):
                    return host
            self.capacity_short = True
        near = self._candidates(rng.group, places, tx.hops)
        # Of many balancers none sees a crowd, so each begins at its own; half keep it when places double.
        first = (self.config.balancer_index + rng.group) % len(near) if near else 0
        near = near[first:] + near[:first]
        if tx.is_write and near and self._expected_duration(near[0]) > QUICK_WRITE_FRACTION * (tx.goal_at - self.now):
            # A write may go to any cache host, and many may run but once: not where it would come back late.
            near = sorted(self._candidates(rng.group, len(self.ready), tx.hops), key=self._expected_duration)[:1]
        for host in near:
            if not self._is_overloaded(host):
                return host if self._meets_goal(tx, host) else None
        for i in range(SPILL_GROUPS):
            for host in self._candidates(self.group_loads.lightest_group(rng.hash + i), 1, tx.hops):
                if not self._is_overloaded(host) and self._meets_goal(tx, host):
                    return host
        return next((h for h in near if self._meets_goal(tx, h)), None)

    def _meets_goal(self, tx: Tx, host: CacheHost) -> bool:
        # With nothing of ours there the estimate is an old guess, and one more transaction is cheap.
        most = (tx.goal_at - self.now) * (
            BUSY_HOST_TIME_FRACTION if host.in_flight or tx.over_share else IDLE_HOST_TIME_FRACTION
        )
        return self._expected_duration(host) <= most * (OVER_SHARE_TIME_FRACTION if tx.over_share else 1.0)

    def _expected_duration(self, host: CacheHost) -> float:
        return self._predicted_duration(host) * (1 + host.in_flight) / (1 + host.mean_in_flight)

    def _predicted_duration(self, host: CacheHost) -> float:
        # Against an estimate that keeps everything away and so never mends: a host's fades with its age to
        # what hosts usually take, and that to nothing. Where hops to a host are rare, it lasts longer.
        usual = self.mean_duration * min(1.0, ESTIMATE_LIFETIME_NS / max(1, self.now - self.mean_duration_at))
        lasts = max(ESTIMATE_LIFETIME_NS, self._hop_interval())
        return usual + (host.mean_duration - usual) * min(1.0, lasts / max(1, self.now - host.measured_at))

    def _hop_interval(self) -> int:
        """The usual time between two of our hops to one host."""
        return int(len(self.ready) * SECOND / max(0.1, self.arrival_rate)) if self.arrival_rate else 0

    # ---- a transaction ----

    def _tx_arrived(self, e: m.TxArrived) -> None:
        profile = self.config.profiles[e.profile]
        tx = self.txs[e.tx] = Tx(e.tx, profile, e.is_write, fully_received=e.fully_received, arrived_at=self.now)
        end = self.now + e.ttl - self.time_margin
        tx.goal_at = self.now + profile.service_goal - self._time_spent(e, profile) - self.time_margin
        if profile.overdue_revenue > 0:
            tx.goal_at = max(tx.goal_at, min(end, self.now + profile.service_goal // 2))
            tx.deadline = end
        else:
            tx.deadline = min(tx.goal_at, end)
        self.arrivals += 1
        self.extra_hop_tokens = min(MAX_EXTRA_HOP_TOKENS, self.extra_hop_tokens + EXTRA_HOPS_PER_TX)
        if e.key is not None:
            tx.key = text_hash(e.key)
            tx.range = self._count_access(tx.key)
        if 0 <= e.share < len(self.share_rates):
            # What fails anywhere takes no other's place: it comes as beyond the share, and out of none of it.
            tx.over_share, tx.share = self._key_is_failing(tx) or self._exceeds_share(e.share), e.share
        if tx.deadline <= self.now:
            return self._refuse(tx)
        self.timers.add(tx.deadline, tx.id)
        self._route(tx)

    def _client_gone(self, e: m.ClientGone) -> None:
        tx = self.txs.get(e.tx)
        if tx is not None and not tx.ended:
            self._close(tx)

    def _tx_fully_received(self, e: m.TxFullyReceived) -> None:
        # Against a slow writer, or a large value, that makes its cache host look slow and holds a place at
        # the origin: what is still coming is chosen for, and nothing else of it counts before its last byte.
        tx = self.txs.get(e.tx)
        if tx is None or tx.ended or tx.fully_received:
            return
        tx.fully_received, waited = True, self.now - tx.arrived_at
        tx.goal_at, tx.deadline = tx.goal_at + waited, tx.deadline + waited
        self.timers.add(tx.deadline, tx.id)
        for hop in tx.hops:
            if hop.in_flight:
                self._start_hop(tx, hop)

    def _time_spent(self, e: m.TxArrived, profile: m.Profile) -> int:
        # A try shorter than the profile's usual one is cut by the hard limit: it tells how long it waits.
        usual = self.usual_ttl[e.profile]
        if not e.is_retry:
            self.usual_ttl[e.profile] = max(usual, e.ttl)
            return 0
        return profile.hard_limit - e.ttl if e.ttl < usual - MS else 0

    def _exceeds_share(self, share: int) -> bool:
        rate = self.share_rates[share]
        depth = max(MIN_SHARE_BURST_TXS, SHARE_BURST_SECONDS * rate)  # never under one whole transaction
        left = min(depth, self.share_tokens[share] + rate * (self.now - self.share_refilled_at[share]) / SECOND)
        self.share_refilled_at[share], self.share_tokens[share] = self.now, left if left < 1.0 else left - 1.0
        return left < 1.0

    def _route(self, tx: Tx) -> None:
        if self.config.cache_aside and tx.is_write:
            return self._request_fetch(tx)
        host = self._choose_host(tx)
        if host is not None and self._expects_fetch(tx, host):
            tx.miss_host = host
            return self._request_fetch(tx)
        # What no cache host can answer in time the origin may, while it has room for more than the misses.
        if host is None and self._origin_has_spare_room(tx):
            return self._request_fetch(tx)
        resting = tx.is_write and self.now < self.origin_paused_until
        if host is None or resting or not self._send(tx, host):
            self._refuse(tx)

    def _expects_fetch(self, tx: Tx, host: CacheHost) -> bool:
        # Where cache hosts fetch by themselves, a key not known to lie there passes the origin's gate first,
        # but not while most such are found: of many balancers each sees few of the copies that all brought.
        return self.unseen_hit_ratio < MOSTLY_HITS_RATIO and self._has_no_known_copy(tx, host)

    def _has_no_known_copy(self, tx: Tx, host: CacheHost) -> bool:
        known = self.config.cache_aside or tx.is_write or tx.range is None
        return not known and host.index not in self.known_copies.get(tx.key, ())

    def _response_lost(self, hop: Hop) -> bool:
        """Later ones came back, and it is out for a multiple of what they usually take: it is lost."""
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
        for hop in tx.hops:
            if hop.in_flight and not hop.late and not hop.host.is_origin:
                hop.late = True
                # A hop sent into a crowd is late by our doing; one that had room, or silence, tells of it.
                if hop.host_in_flight <= OVERLOAD_FLOOR_HOPS or hop.host.answered_at < hop.sent_at:
                    self._count_failure(hop)
        # A late hop alone is mostly a queue or a fetch, which a copy makes longer; not so if its host is out,
        # or if its answer is lost: then the copy goes where the key now lies. Where cache hosts do not fetch,
        # a read goes to the origin while half of its places are free: another host would answer 'miss'.
        last, host = tx.hops[-1], None
        out, lost = last.host.ejected_until > self.now, self._response_lost(last)
        full = last.expects_fetch and not self._origin_has_room()
        if not self.config.parallel_hops or tx.hops_in_flight > 1 or self.extra_hop_tokens < 1 or full:
            return
        if self._origin_has_spare_room(tx) and not last.host.is_origin:
            host = self.origin
        elif out or lost:
            host = last.host if lost and self._usable(last.host) else self._choose_host(tx)
        if host is not None and self._send(tx, host):
            self.extra_hop_tokens -= 1

    def _hop_ended(self, e: m.HopEnded) -> None:
        tx = self.txs.get(e.tx)
        if tx is None or e.hop >= len(tx.hops) or not tx.hops[e.hop].in_flight:
            return
        hop = tx.hops[e.hop]
        hop.in_flight, hop.may_have_run = False, e.outcome > m.HopOutcome.MISS
        tx.hops_in_flight -= 1
        if hop.started:
            hop.host.in_flight -= 1
            self.in_flight -= not hop.host.is_origin
        self._update_health(tx, hop, e)
        if e.report is not None and e.report.service_time > 0:
            hop.host.service_time = e.report.service_time
        if e.tx_ended and not tx.ended:
            self._close(tx)
        elif not tx.ended:
            self._continue(tx, hop, e.outcome)
        elif not tx.hops_in_flight:
            self.txs.pop(tx.id, None)
        if hop.expects_fetch:
            self.fetches_in_flight -= 1
            self._drain_origin_queue()

    def _continue(self, tx: Tx, hop: Hop, end: m.HopOutcome) -> None:
        if tx.hops_in_flight:
            return
        if self.now >= tx.deadline or (end is m.HopOutcome.ERROR and self._key_is_failing(tx)):
            self._refuse(tx)
        elif end is m.HopOutcome.MISS and not hop.host.is_origin:
            tx.miss_host = tx.miss_host or hop.host
            self._request_fetch(tx)
        elif hop.host.is_origin or self.extra_hop_tokens < (cost := self._extra_hop_cost(hop, end)):
            self._refuse(tx)
        else:
            self.extra_hop_tokens -= cost
            self._route(tx)

    def _extra_hop_cost(self, hop: Hop, end: m.HopOutcome) -> int:
        # Turned away, or broken off at once: that cost no work and hardly any time; other further hops count.
        quick = self.now - hop.sent_at < QUICK_FAILURE_FRACTION * self.mean_duration and end in (
            m.HopOutcome.UNREACHABLE,
            m.HopOutcome.RESET,
        )
        return 0 if quick or end is m.HopOutcome.FULL else 1

    # ---- the origin ----

    def _request_fetch(self, tx: Tx) -> None:
        if self.now < self.origin_paused_until:
            self._refuse(tx)
        elif self._origin_has_room() and not self.origin_queue:
            self._send_fetch(tx)
        else:
            # A slow origin shows in a fetch that stays out long before it ends.
            took = max(self.mean_fetch_duration, self.now - self.last_fetch_at if self.fetches_in_flight else 0)
            wait = (len(self.origin_queue) / self.origin_limit + 1) * took
            self.capacity_short = True
            if self.now + wait > tx.goal_at or (tx.over_share and not tx.is_write):
                self._refuse(tx)
            else:
                (self.origin_queue.appendleft if tx.is_write else self.origin_queue.append)(tx)
                self.timers.add((self.now + tx.goal_at) // 2, tx.id)
                self._drain_origin_queue()

    def _send_fetch(self, tx: Tx) -> None:
        host = self.origin if self.config.cache_aside else tx.miss_host
        # What can't come in time is not fetched, but for one at a time, to find out if the origin is back.
        late = self.now + self.mean_fetch_duration > tx.goal_at and self.fetches_in_flight > 0
        if host is None or late or not self._send(tx, host):
            self._refuse(tx)

    def _origin_has_room(self) -> bool:
        # Under one place, as where many balancers share a small origin, a place has a pause after each fetch.
        if self.origin_limit < 1.0:
            return not self.fetches_in_flight and self.now >= self._next_fetch_at()
        return self.fetches_in_flight < self.origin_limit

    def _origin_has_spare_room(self, tx: Tx) -> bool:
        # Half of the places are for misses.
        free = not self.origin_queue and self.fetches_in_flight < self.origin_limit / 2
        return self.config.cache_aside and not (tx.is_write or tx.over_share) and free

    def _next_fetch_at(self) -> int:
        return self.last_fetch_at + int(self.mean_fetch_duration / self.origin_limit)

    def _drain_origin_queue(self) -> None:
        while self.origin_queue and self._origin_has_room():
            tx = self.origin_queue.popleft()
            if not tx.ended:
                self._send_fetch(tx)
        if self.origin_queue and not self.fetches_in_flight:
            self.timers.add(max(self.now + MS, self._next_fetch_at()), -3)

    def _measure_fetch(self, hop: Hop, e: m.HopEnded) -> None:
        if e.outcome is m.HopOutcome.SKIPPED or (
            e.outcome is m.HopOutcome.CANCELLED and e.duration < self.shortest_goal // 2
        ):
            return
        # One long answer is a heavy transaction, not a tired origin: only the mean cuts the limit.
        # Few fetches of ours tell of a change late, so each counts by the time since the one before it.
        step = min(0.5, max(0.1, (self.now - self.fetch_measured_at) / SECOND)) if self.fetch_measured_at else 1.0
        self.fetch_measured_at = self.now
        self.mean_fetch_duration += (e.duration - self.mean_fetch_duration) * step
        self.fetch_failures = 0 if e.outcome is m.HopOutcome.DONE else self.fetch_failures + 1
        if not self.fetch_failures:
            self.origin_pause = 0
        elif self.fetch_failures >= ORIGIN_PAUSE_FAILURES:
            # An origin that turns fetches away answers fast, so a limit on those in flight does not spare it.
            self.origin_pause = min(MAX_ORIGIN_PAUSE_NS, max(FIRST_ORIGIN_PAUSE_NS, self.origin_pause * 2))
            self.origin_paused_until = self.now + self.origin_pause
        if (
            e.outcome in (m.HopOutcome.DONE, m.HopOutcome.TIMED_OUT, m.HopOutcome.CANCELLED)
            and self.mean_fetch_duration < self.slow_fetch_duration
        ):
            if self.fetches_in_flight > self.origin_limit / 2:
                self.origin_limit += min(self.origin_limit, 1 / self.origin_limit)
        elif hop.sent_at >= self.origin_limit_cut_at:
            self.origin_limit, self.origin_limit_cut_at = max(self.min_origin_limit, self.origin_limit * 0.8), self.now

    # ---- health ----

    def _update_health(self, tx: Tx, hop: Hop, e: m.HopEnded) -> None:
        host = hop.host
        through = not self.config.cache_aside
        # An answer lost on its way to us tells of its cache host, not of the origin behind it.
        overtaken = e.outcome is m.HopOutcome.TIMED_OUT and self._response_lost(hop)
        lost = e.outcome is m.HopOutcome.UNREACHABLE or (through and (e.outcome is m.HopOutcome.RESET or overtaken))
        erred = e.outcome is m.HopOutcome.ERROR and not host.is_origin
        anywhere = erred and self._error_follows_key(tx, hop)
        if not anywhere and ((hop.expects_fetch and not lost) or (through and (e.cache_result > 1 or erred))):
            self._measure_fetch(hop, e)
        if through:
            if e.cache_result:
                self.hit_ratio += ((e.cache_result == 1) - self.hit_ratio) * HIT_RATIO_STEP
            if e.cache_result and self._has_no_known_copy(tx, host):
                self.unseen_hit_ratio += ((e.cache_result == 1) - self.unseen_hit_ratio) * HIT_RATIO_STEP
            self._update_copies(tx, host, e.outcome)
        if host.is_origin:
            return
        late = e.outcome is m.HopOutcome.TIMED_OUT and not overtaken
        if (late or e.outcome is m.HopOutcome.DONE) and not hop.expects_fetch and (e.cache_result < 2 or not through):
            self._measure_duration(hop, e.duration)
        if e.outcome not in (m.HopOutcome.SKIPPED, m.HopOutcome.CANCELLED):
            self.failure_ratio += (
                (hop.late or e.outcome in FAILURE_OUTCOMES) - self.failure_ratio
            ) * FAILURE_RATIO_STEP
        if e.outcome is m.HopOutcome.DONE:
            host.answered_at, host.newest_answered = self.now, max(host.newest_answered, hop.sent_at)
            self.newest_answered_fetch = max(self.newest_answered_fetch, hop.sent_at * hop.expects_fetch)
            host.ejection_time = host.ejection_time if hop.late else 0
            self.failing_keys.pop(tx.key, None)
            for other in tx.hops:
                if other.unattributed_error:  # it was not the tx: another cache host has answered it
                    other.unattributed_error = False
                    self._count_failure(other, self._hop_interval() > ESTIMATE_LIFETIME_NS)
        if e.outcome is m.HopOutcome.MISS or (e.outcome is m.HopOutcome.DONE and not hop.late):
            host.failures, host.on_probation = 0, False
        elif erred:
            hop.unattributed_error = not anywhere
        elif e.outcome in FAILURE_OUTCOMES and not hop.late:
            self._count_failure(hop, self._hop_interval() > ESTIMATE_LIFETIME_NS)

    def _key_is_failing(self, tx: Tx) -> bool:
        return self.failing_keys.get(tx.key, 0) > self.now

    def _error_follows_key(self, tx: Tx, hop: Hop) -> bool:
        # Against a cache host, or the origin, blamed for what would have failed anywhere: an error counts
        # when another cache host has answered that tx, and not at all once its key has failed at two. Such a
        # key costs one hop a tx for FAILING_KEY_TTL_NS. Also covers values that no cache host can give. Harm: a cache
        # host that answers errors alone is out a hop later; one key of an origin that is down counts once.
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

    def _measure_duration(self, hop: Hop, took: int) -> None:
        # Time-outs count too, or a fleet too crowded to answer would be judged by its quickest answers.
        host = hop.host
        if not host.measured_at:
            host.mean_duration = self.mean_duration or float(took)
        # Against a crowd seen in ten answers by chance: where hops are many, as many more make up a mean.
        pace = min(1.0, max(MIN_SMOOTHING_PACE, 3 * self._hop_interval() / SECOND)) if self.arrival_rate else 1.0
        step = 0.2 * pace if self.now - host.measured_at < ESTIMATE_LIFETIME_NS else 0.5
        self.mean_duration_at, self.duration_samples = self.now, self.duration_samples + 1
        self.mean_duration += (took - self.mean_duration) * max(0.1 * pace, 1 / self.duration_samples)
        host.mean_duration, host.measured_at = host.mean_duration + (took - host.mean_duration) * step, self.now
        host.mean_in_flight += (hop.host_in_flight - host.mean_in_flight) * step

    def _update_copies(self, tx: Tx, host: CacheHost, end: m.HopOutcome) -> None:
        if tx.is_write:
            self.known_copies.pop(tx.key, None)
        elif end is m.HopOutcome.DONE:
            self.known_copies.setdefault(tx.key, set()).add(host.index)
        elif end in (m.HopOutcome.ERROR, m.HopOutcome.TIMED_OUT):
            self.known_copies.get(tx.key, set()).discard(host.index)

    def _failures_to_eject(self, trial: bool) -> int:
        # Against healthy hosts left out, as where hops are many two in a row fail by chance: as many are due
        # as come together at one host once in FALSE_EJECTION_INTERVAL_NS, at the share of all hops that fail; half on trial.
        run = log((self._hop_interval() or FALSE_EJECTION_INTERVAL_NS) / FALSE_EJECTION_INTERVAL_NS) / log(
            min(0.5, max(MIN_FAILURE_RATIO, self.failure_ratio))
        )
        due = max(MIN_FAILURES_TO_EJECT, min(MAX_FAILURES_TO_EJECT, int(run) + 1))
        return due // 2 if trial else due

    def _count_failure(self, hop: Hop, sure: bool = False) -> None:
        # A fetch that fails tells of its host only while fetches through others succeed.
        if hop.expects_fetch and self.fetch_failures >= ORIGIN_PAUSE_FAILURES:
            return
        host = hop.host
        host.failures += 1
        if host.failures < (1 if sure else self._failures_to_eject(host.on_probation)) or host.ejected_until > self.now:
            return
        out = sum(1 for h in self.ready if h.ejected_until > self.now or h.on_probation)  # many: not they
        if not host.on_probation and out + 1 > MAX_EJECTED_FRACTION * len(self.ready):
            return
        # Out for less than the time between two of our hops there would be no different from in.
        host.ejection_time = min(MAX_EJECTION_NS, max(FIRST_EJECTION_NS, self._hop_interval(), host.ejection_time * 2))
        host.ejected_until, host.on_probation, host.failures = self.now + host.ejection_time, True, 0

    # ---- the guard ----

    def _has_cold_budget(self, host: CacheHost) -> bool:
        warmth, sent, span = self._warmth(host), host.cold_hop_times, self.config.overload_window
        if warmth >= 1.0:
            return True
        while sent and sent[0] <= self.now - span:
            sent.popleft()
        # Rule 4: as many as a warm cache host takes of us, times its warmth; the others do so with theirs.
        each, tip = host.weight * self.rate_per_weight * span / SECOND, self.config.overload_multiple
        room = host.cold_fraction * max(
            MIN_COLD_HOPS_PER_WINDOW / self.config.balancer_count, min(COLD_BUDGET_MULTIPLE, tip / 2) * warmth * each
        )
        if room >= 1.0:
            return len(sent) < room
        # A part under one hop a window is one in several. Not from all that had none for long and want it in
        # one moment, as when others fail: each window of its age, the same for all, is dealt to evenly many,
        # so that a crowd of COLD_BURST_MULTIPLE times the usual is borne. Harm: who is not dealt to sends elsewhere.
        dealt = COLD_TURN_MARGIN * tip * warmth * each / min(1.0, COLD_BURST_MULTIPLE * each) if each else room
        turn = (
            mix(host.hash + (self.now - host.started_at) // span) + self.config.balancer_index * GOLDEN_RATIO_64 & MASK
        )
        return turn < max(room, host.cold_fraction * dealt) * MASK and self.now >= host.last_cold_hop + int(span / room)

    def _first_possible_run(self, tx: Tx) -> Hop | None:
        return next((hop for hop in tx.hops if hop.may_have_run), None)

    def _may_repeat(self, tx: Tx, host: CacheHost) -> bool:
        first = self._first_possible_run(tx)
        if first is None or tx.profile.semantics is m.Semantics.IDEMPOTENT:
            return True
        memory, scope = tx.profile.dedup_window - self.time_margin, tx.profile.dedup_scope
        if tx.profile.semantics is m.Semantics.NON_IDEMPOTENT or self.now - first.sent_at >= memory:
            return False
        near = host.zone == first.host.zone if scope is m.DedupScope.ZONE else host.cell == first.host.cell
        return scope is m.DedupScope.ALL or near

    def _send(self, tx: Tx, host: CacheHost) -> bool:
        """Every hop passes here: rule 1 (nothing after the answer), 2, 3 and 4."""
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
        # A repeat that waits on its way out, for a connection say, is asked about again before it is begun.
        first = self._first_possible_run(tx) if tx.profile.semantics is m.Semantics.JOURNALLED else None
        by = first.sent_at + tx.profile.dedup_window - self.time_margin if first is not None else 0
        hop = Hop(host, self.now, host.in_flight)
        tx.hops.append(hop)
        tx.hops_in_flight += 1
        if tx.fully_received:
            self._start_hop(tx, hop)
        self.actions.append(m.SendHop(tx.id, host.index, tx.deadline, by))
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
        """Every answer that is not a commit passes here: rule 1 (one, in time) and the promise in rule 2."""
        if tx.ended:
            return
        profile, first = tx.profile, self._first_possible_run(tx)
        wait = min(self._with_jitter(int(BACKOFF_GOAL_FRACTION * profile.service_goal)), self.config.max_backoff)
        # A repeat of a journalled tx is harmless while it is known, so for no longer is it called so.
        known = profile.semantics is m.Semantics.JOURNALLED and profile.dedup_scope is m.DedupScope.ALL
        if first is not None and self.now + wait - first.sent_at >= profile.dedup_window - self.time_margin:
            known = False
        if known or first is None or profile.semantics is m.Semantics.IDEMPOTENT:
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
