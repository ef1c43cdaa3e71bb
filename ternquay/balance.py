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
from ternquay.state import CacheHost, Hop, Kept, Range, Tx

MS, SECOND = 1_000_000, 1_000_000_000

RANGES, GROUPS = 8192, 2048
BETA, GAMMA = 0.9, 1.5
WINDOW, REPLACE_EVERY = 4096, 512
HOT_SHARE, HOT_LEAST = 0.05, 8
SPREAD = 1.5  # a hot key's places, as a multiple of the cache hosts its share would fill
SAMPLE = 128  # accesses before a share is believed
OVER_MULTIPLE, OVER_FLOOR = 2.0, 2.0
CROSS_DEAR, NEAR_UP, NEAR_DOWN = 0.05, 0.01, 0.05
HELD_FLOOR, HELD_MOST, ROOM_UP, ROOM_DOWN, ROOM_LEAST, SIZE_SPAN = 2.0, 1000.0, 0.05, 0.15, 0.2, 16.0
PLACES = 4  # drawn among the next-best groups for a spill

# Health and further hops.
BAD_FOR, BAD_MOST = 10 * SECOND, 512  # keys that fail anywhere
FAILS, FAILS_MOST, OUT_FIRST, OUT_MOST, OUT_PART = 2, 8, SECOND, 8 * SECOND, 0.4
CHANCE, FAILING_STEP, FAILING_LEAST, PACE_LEAST = 60 * SECOND, 0.01, 0.02, 0.2
# A host that drains turns everything away long before the list says so.
FAILURES = (m.HopOutcome.ERROR, m.HopOutcome.TIMED_OUT, m.HopOutcome.RESET, m.HopOutcome.UNREACHABLE, m.HopOutcome.FULL)
EXTRA_RATE, EXTRA_MOST, BACKOFF = 0.15, 10.0, 0.1
PATIENCE, LOST, QUICK, WRITE_SOON = 0.6, 2.0, 0.25, 0.25

# Admission, the origin, cold cache hosts, the list.
IN_TIME, IN_TIME_IDLE, OVER_PART, FADE = 0.8, 1.2, 0.3, SECOND
ORIGIN_START, ORIGIN_LATE, ORIGIN_LEAST = 32.0, 0.5, 2.0  # places of all balancers together
THROUGH_LATE = 0.8  # a fetch by a cache host has the cache host's own work in it
HIT_ENOUGH, HIT_STEP = 0.75, 0.05
ORIGIN_FAILS, REST_FIRST, REST_MOST = 3, 100 * MS, 2 * SECOND
COLD_MARGIN, COLD_LEAST = 1.5, 2.0  # the least hops a window, of all balancers together
COLD_DEALT, COLD_CROWD, SPACED = 0.9, 8.0, 0x9E3779B97F4A7C15  # multiples of SPACED lie evenly apart
SHARE_LEAST, SHARE_SPAN = 8.0, 4.0  # a bucket's depth, in transactions and in seconds
FORGET = 30 * SECOND  # no host is remembered for longer after the list has last named it
ASK_FIRST, ASK_MOST, TICK, TICK_MOST = SECOND // 2, 4 * SECOND, SECOND // 4, 2 * SECOND


class Balancer(Kept):
    def __init__(self, started: m.Config) -> None:
        super().__init__(GROUPS, WINDOW)
        self._figures(started)
        self.random, self.apart = Random(started.seed), mix(started.seed ^ mix(started.balancer_index + 1))
        self.margin, self.ask_wait, self.extra = started.clock_quantum + 2 * MS, ASK_FIRST, EXTRA_MOST
        part = 1 / started.balancer_count
        self.origin_limit, self.origin_least = ORIGIN_START * part, ORIGIN_LEAST * part
        # How often a copy that we did not see is there all the same: the others of N brought it.
        self.hit_part = 1 - part

    def _figures(self, started: m.Config) -> None:
        # What is open keeps the profile that it was taken with; what was measured of machines stays.
        self.start = started
        self.shortest_goal = min((p.service_goal for p in started.profiles), default=SECOND)
        self.origin_late = self.shortest_goal * (ORIGIN_LATE if started.cache_aside else THROUGH_LATE)
        self.near_counts = started.cross_zone_price >= CROSS_DEAR
        self.usual_ttl = [0] * len(started.profiles)
        self.shares = [q / started.balancer_count for q in started.quotas]
        self.share_left, self.share_at = [0.0] * len(self.shares), [0] * len(self.shares)

    def decide(self, now: int, event: m.Event) -> list[m.Action]:
        self.now, self.actions = now, []
        HANDLERS[type(event)](self, event)
        self._set_timer()
        return self.actions

    # ---- another process of this balancer ----

    def _take(self, e: m.Learned) -> None:
        # The one that is replaced sends on for a moment, so each takes half of the rate and the origin.
        self.usual, self.usual_at, self.estimates = e.usual, self.now, SAMPLE
        self.rate, self.unit_rate, self.origin_took = e.rate, e.unit_rate / 2, e.origin_took
        self.origin_limit = max(self.origin_least, e.origin_limit / 2)
        # What it brought to the cache hosts lies there, though we have seen none of it.
        self.hit_part, self.hits = max(self.hit_part, e.hits), e.hits
        for told in e.hosts:
            if (host := self.hosts.get(told.host)) is not None and not host.seen:
                host.take(told, self.now)

    # ---- the list ----

    def _list_changed(self, event: m.ListChanged) -> None:
        named = {line.host: line for line in event.entries}
        lacks = [
            h
            for h in self.hosts.values()
            if not h.unlisted
            and (event.complete if h.index not in named else named[h.index].status is m.HostStatus.GONE)
        ]
        # Against a list that is wrong of hosts that serve, empty, shrunk or old: where gone is advice, one
        # that drops more of them at once than fail by themselves is not believed, and their answers decide.
        # A draining that was seen holds on. Harm: so many that went indeed cost hops that fail, until FORGET.
        wrong = len(lacks) > OUT_PART * sum(1 for h in self.hosts.values() if not h.unlisted)
        for host in lacks:
            if self.start.gone_is_advisory and (wrong or host.standing is m.HostStatus.DRAINING):
                host.unlisted = self.now
            else:
                host.standing = m.HostStatus.GONE
        for line in event.entries:
            if line.status is not m.HostStatus.GONE:
                self._listed(line)
        self._settle(told=True)
        self.ask_wait = ASK_FIRST
        if self.start.watch_list and not self.asked:
            self.asked = True
            self.actions.append(m.WatchList())
        if not self.tick_at:
            self.tick_at = self.now
            self.wakes.add(self.now + TICK, -1)

    def _settle(self, told: bool = False) -> None:
        """What follows from the hosts as they stand."""
        for host in self.hosts.values():
            if host.unlisted and self.now - host.unlisted > FORGET:
                host.standing = m.HostStatus.GONE
        gone = {i for i, host in self.hosts.items() if host.standing is m.HostStatus.GONE}
        if gone:
            self.hosts = {i: host for i, host in self.hosts.items() if i not in gone}
            for holders in self.held.values():
                holders -= gone
        up = [h for h in self.hosts.values() if h.standing is m.HostStatus.READY]
        self.ready = [h for h in up if not h.is_origin]
        if told and self.ready and self.start.weight_mode is m.WeightMode.LIVE:
            self._learn()
        # A host less is passed over where it stands; only a new one, or a new weight, needs new orders.
        # By the record and not its index: under that one may come back that is another.
        if not set(self.ready) <= set(self.ranked):
            self.orders, self.ranked = {}, list(self.ready)
            self.even = len({h.weight for h in self.ranked}) < 2
        self.weights = sum(h.weight for h in self.ready) or 1.0
        self.near_weights = sum(h.weight for h in self.ready if h.zone == self.start.zone) or 1.0
        self.origin = next((h for h in up if h.is_origin), None)

    def _listed(self, line: m.ListedHost) -> None:
        host = self.hosts.get(line.host)
        standing = line.status
        if host is None:
            is_origin = self.start.cache_aside and line.kind == self.start.origin_kind
            host = CacheHost(line.host, text_hash(line.address), is_origin, line.started_at, line.status)
            self.hosts[line.host] = host
        elif self.start.gone_is_advisory and host.standing is m.HostStatus.DRAINING and line.started_at <= host.since:
            standing = m.HostStatus.DRAINING  # an `up` from before that draining, of an old list: it binds on
        elif line.started_at != host.since and line.status is m.HostStatus.READY:
            host.since, host.fails, host.seen, host.took, host.crowd = line.started_at, 0, 0, 0.0, 0.0
            host.out_until, host.out_for, host.trial, host.room = 0, 0, False, 1.0
        host.zone, host.cell, host.standing, host.part = line.zone, line.cell, standing, line.cold_fraction
        host.unlisted = 0
        host.kind, host.hint, host.size = line.kind, line.weight, max(host.size, line.weight)
        if self.start.weight_mode is m.WeightMode.STATIC:
            self._weigh(host, line.weight)

    def _weigh(self, host: CacheHost, weight: float) -> None:
        if weight != host.weight and weight > 0:
            host.weight, self.ranked = weight, []

    def _learn(self) -> None:
        # Weights that fall with load stand at the size of a host that holds nothing: a kind's size is the
        # second highest that a host of it was listed with. Against keys that move with lists; absurd weights.
        kinds = {h.kind for h in self.ready}
        sizes = {kind: sorted(h.size for h in self.ready if h.kind == kind)[-2:][0] for kind in kinds}
        most = SIZE_SPAN * median(h.size for h in self.ready)
        for host in self.ready:
            self._weigh(host, min(most, sizes[host.kind]))
        # A host that holds too much, by the time that takes, keeps less of its ranges, else more, in steps.
        # Against crowds that no one balancer sees, and all balancers running to the host that looked empty.
        passed, self.learned_at = min(1.0, (self.now - self.learned_at) / SECOND), self.now
        told = [h for h in self.ready if h.hint * HELD_MOST > h.weight]
        load = {h.index: (h.weight / h.hint - 1) * h.service for h in told}
        cap = HELD_FLOOR * median(h.service for h in self.ready)
        cap += OVER_MULTIPLE * median(load.values()) if load else 0.0
        for host in self.ready:
            step = -ROOM_DOWN if load.get(host.index, 0.0) > cap else ROOM_UP
            host.room = max(ROOM_LEAST, min(1.0, host.room + step * passed))

    def _list_lost(self, _: m.ListUnavailable) -> None:
        # Against a flood of calls on a discovery that is down: each failure waits longer, with a random part.
        if self.start.watch_list:
            # A call at least as often as the list that is held counts: each waits one to two such spans.
            wait = min(self.ask_wait, self.start.list_max_age * 2 // 5)
            self.wakes.add(self.now + wait // 2 + self._about(wait), -2)
            self.ask_wait = min(ASK_MOST, self.ask_wait * 2)

    # ---- timers ----

    def _about(self, span: int) -> int:
        # From half to one and a half times so long, another each time: against instances, and clients of one,
        # that wait equally long and meet again. Not from `random`, as what is chosen must not hang on it.
        self.drawn += 1
        return span // 2 + mix(self.apart + self.drawn) * span // MASK

    def _set_timer(self) -> None:
        at = self.wakes.next(self.txs)
        if at is not None and (not self.timer_at or at < self.timer_at):
            self.timer_at = max(at, self.now + 1)
            self.actions.append(m.SetTimer(self.timer_at))

    def _timer_fired(self, _: m.TimerFired) -> None:
        if self.now >= self.timer_at:
            self.timer_at = 0
        while (what := self.wakes.due(self.now)) is not None:
            if what == -1:
                self._tick()
            elif what == -2:
                self.actions.append(m.WatchList())
            elif what == -3:
                self._drain_origin()
            elif (tx := self.txs.get(what)) is not None and not tx.ended:
                # With nothing out it would wait most of its time and be turned away then.
                if not tx.out or (tx.whole and self.now >= tx.give_up):
                    self._finish(tx)
                elif tx.whole:
                    self._hop_late(tx)

    def _tick(self) -> None:
        passed = self.now - self.tick_at
        self.tick_at = self.now
        warm = sum(h.weight for h in self.ready if self._warmth(h) >= 1.0)
        # Measured on warm hosts alone: a mostly cold fleet must neither raise it nor keep it at nothing.
        step = min(0.5, 0.1 * passed / TICK)
        if warm > 0:
            rate = self.warm_sent * SECOND / passed / warm
            self.unit_rate += (rate - self.unit_rate) * (step if self.unit_rate else 1.0)
        self.rate += (self.arrived * SECOND / passed - self.rate) * (step if self.rate else 1.0)
        self.warm_sent = self.arrived = 0
        # What a list that has fallen silent told last holds no longer than a host is remembered.
        for host in self.ready if self.now - self.learned_at > FORGET else ():
            host.room = min(1.0, host.room + ROOM_UP * passed / SECOND)
        step = -NEAR_DOWN if self.strained else NEAR_UP
        self.near_part, self.strained = max(0.0, min(1.0, self.near_part + step * passed / TICK)), False
        if self.start.gone_is_advisory and any(h.unlisted for h in self.hosts.values()):
            self._settle()
        # Often enough for some ten transactions: more often costs CPU.
        self.wakes.add(self.now + max(TICK, min(TICK_MOST, int(10 * SECOND / max(1.0, self.rate)))), -1)

    # ---- the table of ranges ----

    def _range_of(self, key: int) -> Range:
        number = key * RANGES >> 64
        found = self.singles.get(key) or self.ranges.get(number)
        if found is None:
            drawn = mix(number + 1)
            found = self.ranges[number] = Range(drawn % GROUPS, drawn)
        return found

    def _count(self, key: int) -> Range:
        rng = self._range_of(key)
        rng.count += 1
        self.loads.change(rng.group, 1)
        self.key_counts[key] = self.key_counts.get(key, 0) + 1
        self.changed[key] = None
        self.window.append(key)
        if len(self.window) > WINDOW:
            self._forget(self.window.popleft())
        self.counted += 1
        if self.counted % REPLACE_EVERY == 0:
            self._replace()
        return rng

    def _forget(self, key: int) -> None:
        rng = self._range_of(key)
        rng.count -= 1
        self.loads.change(rng.group, -1)
        self.key_counts[key] -= 1
        if not self.key_counts[key]:
            del self.key_counts[key]

    def _replace(self) -> None:
        self._split_hot()
        seen = {id(rng): rng for rng in map(self._range_of, self.changed)}
        self.changed = {}
        # Copies that nothing has asked for over the window are not counted on, and not kept in mind.
        self.held = {k: hosts for k, hosts in self.held.items() if k in self.key_counts}
        for rng in seen.values():
            self._place(rng)

    def _split_hot(self) -> None:
        counts = self.key_counts
        ranked = sorted(((n, k) for k, n in counts.items() if n >= HOT_LEAST), reverse=True)
        hot = {k for _, k in ranked[: int(len(counts) * HOT_SHARE) + 1]}
        for key in [k for k in self.singles if k not in hot]:
            self._shift(key, self.singles.pop(key), self._range_of(key))
        for key in [k for _, k in ranked if k in hot and k not in self.singles]:
            parent = self._range_of(key)
            self.singles[key] = Range(parent.group, key)
            self._shift(key, parent, self.singles[key])

    def _shift(self, key: int, old: Range, new: Range) -> None:
        count = self.key_counts.get(key, 0)
        old.count, new.count = old.count - count, new.count + count
        self.loads.change(old.group, -count)
        self.loads.change(new.group, count)

    def _gain(self, affinity: int, load: int) -> float:
        return BETA * affinity - (1 - BETA) * GAMMA * float(load ** (GAMMA - 1))

    def _place(self, rng: Range) -> None:
        self.loads.change(rng.group, -rng.count)
        if self._gain(0, self.loads.least) > self._gain(rng.count, self.loads[rng.group]):
            rng.group = self.loads.lightest(rng.hash)
        self.loads.change(rng.group, rng.count)

    # ---- from group to cache host ----

    def _order(self, group: int, near: bool = False) -> Iterator[CacheHost]:
        order = self.orders.get((group, near))
        if order is None and near:
            self._order(group)
            own = (i for i in self.orders[group, False] if self.ranked[i].zone == self.start.zone)
            order = self.orders[group, near] = array("I", own)
        elif order is None:
            # One product for each host and no call: with few transactions a second nearly each pays for one.
            salt = mix(group + 1) | 1
            drawn: list[float] = [h.hash * salt & MASK for h in self.ranked]
            if not self.even:
                each = zip(self.ranked, drawn, strict=True)
                drawn = [h.weight / -log((d + 1) / (MASK + 2)) for h, d in each]
            ranked = sorted(range(len(drawn)), key=drawn.__getitem__, reverse=True)
            order = self.orders[group, near] = array("I", ranked)
        return map(self.ranked.__getitem__, order)

    def _warmth(self, host: CacheHost) -> float:
        age = self.now - host.since
        if not host.since or age >= self.start.warm_up_time:
            return 1.0
        return self.start.cold_share + (1 - self.start.cold_share) * max(0, age) / self.start.warm_up_time

    def _usable(self, host: CacheHost) -> bool:
        up = host.standing is m.HostStatus.READY and host.out_until <= self.now
        return up and not (host.trial and host.inflight)

    def _servers(self, group: int, most: int, skip: list[Hop], near: bool = False) -> list[CacheHost]:
        found: list[CacheHost] = []
        for host in self._order(group, near):
            if any(hop.host is host for hop in skip) or not self._usable(host):
                continue
            # Against a cold cache host that gets its full part at once, or one that does less than its size:
            # of the groups it ranks highest for it takes those whose draw lies under its warmth and room, so
            # that they go and come back one by one, and all balancers have the rest at the next host.
            # A key with several places, and all that its budget has no room for, goes to who stood in for it.
            warmth = self._warmth(host)
            part = min(warmth, host.room)
            drawn = part >= 1.0 or mix(host.hash + mix(group + 7)) <= part * MASK
            if drawn and (warmth >= 1.0 or (most == 1 and self._cold_room(host))):
                found.append(host)
                if len(found) >= most:
                    break
        return found

    def _crowded(self, host: CacheHost) -> bool:
        part = self.inflight * host.weight / self.weights
        if self.near_counts and host.zone == self.start.zone:
            part = max(part, self.near_part * self.inflight * host.weight / self.near_weights)
        if host.inflight > OVER_MULTIPLE * part + OVER_FLOOR:
            return True
        # Of many balancers each has next to nothing in flight, so a crowd shows in the times alone.
        rare = self._spacing() > FADE
        return rare and host.seen > 0 and self._predicted(host) > OVER_MULTIPLE * self.usual

    def _choose(self, tx: Tx) -> CacheHost | None:
        rng = tx.range
        if rng is None:
            pool = [h for h in self.ready if self._usable(h) and not any(hop.host is h for hop in tx.hops)]
            draw = self.random.choice
            return min(draw(pool), draw(pool), key=lambda h: h.inflight) if pool else None
        # Against a hot key that always spills to one and the same place: it has a prefix of its ranking.
        share = (rng.count - 1) / max(SAMPLE, len(self.window))
        places = 1 << int(share * len(self.ready) * SPREAD).bit_length()
        if self.near_counts and rng.hash <= self.near_part * MASK:
            for host in self._servers(rng.group, places, tx.hops, near=True):
                if not self._crowded(host) and self._in_time(tx, host):
                    return host
            self.strained = True
        near = self._servers(rng.group, places, tx.hops)
        # Of many balancers none sees a crowd, so each begins at its own; half keep it when places double.
        first = (self.start.balancer_index + rng.group) % len(near) if near else 0
        near = near[first:] + near[:first]
        if tx.write and near and self._expected(near[0]) > WRITE_SOON * (tx.goal - self.now):
            # A write may go to any cache host, and many may run but once: not where it would come back late.
            near = sorted(self._servers(rng.group, len(self.ready), tx.hops), key=self._expected)[:1]
        for host in near:
            if not self._crowded(host):
                return host if self._in_time(tx, host) else None
        for i in range(PLACES):
            for host in self._servers(self.loads.lightest(rng.hash + i), 1, tx.hops):
                if not self._crowded(host) and self._in_time(tx, host):
                    return host
        return next((h for h in near if self._in_time(tx, h)), None)

    def _in_time(self, tx: Tx, host: CacheHost) -> bool:
        # With nothing of ours there the estimate is an old guess, and one more transaction is cheap.
        most = (tx.goal - self.now) * (IN_TIME if host.inflight or tx.over else IN_TIME_IDLE)
        return self._expected(host) <= most * (OVER_PART if tx.over else 1.0)

    def _expected(self, host: CacheHost) -> float:
        return self._predicted(host) * (1 + host.inflight) / (1 + host.crowd)

    def _predicted(self, host: CacheHost) -> float:
        # Against an estimate that keeps everything away and so never mends: a host's fades with its age to
        # what hosts usually take, and that to nothing. Where hops to a host are rare, it lasts longer.
        usual = self.usual * min(1.0, FADE / max(1, self.now - self.usual_at))
        lasts = max(FADE, self._spacing())
        return usual + (host.took - usual) * min(1.0, lasts / max(1, self.now - host.seen))

    def _spacing(self) -> int:
        """The usual time between two of our hops to one host."""
        return int(len(self.ready) * SECOND / max(0.1, self.rate)) if self.rate else 0

    # ---- a transaction ----

    def _arrived(self, e: m.TxArrived) -> None:
        profile = self.start.profiles[e.profile]
        tx = self.txs[e.tx] = Tx(e.tx, profile, e.is_write, whole=e.fully_received, since=self.now)
        end = self.now + e.ttl - self.margin
        tx.goal = self.now + profile.service_goal - self._spent(e, profile) - self.margin
        if profile.overdue_revenue > 0:
            tx.goal = max(tx.goal, min(end, self.now + profile.service_goal // 2))
            tx.give_up = end
        else:
            tx.give_up = min(tx.goal, end)
        self.arrived += 1
        self.extra = min(EXTRA_MOST, self.extra + EXTRA_RATE)
        if e.key is not None:
            tx.key = text_hash(e.key)
            tx.range = self._count(tx.key)
        if 0 <= e.share < len(self.shares):
            # What fails anywhere takes no other's place: it comes as beyond the share, and out of none of it.
            tx.over, tx.share = self._bad(tx) or self._over_share(e.share), e.share
        if tx.give_up <= self.now:
            return self._finish(tx)
        self.wakes.add(tx.give_up, tx.id)
        self._route(tx)

    def _gone(self, e: m.ClientGone) -> None:
        tx = self.txs.get(e.tx)
        if tx is not None and not tx.ended:
            self._close(tx)

    def _whole(self, e: m.TxFullyReceived) -> None:
        # Against a slow writer, or a large value, that makes its cache host look slow and holds a place at
        # the origin: what is still coming is chosen for, and nothing else of it counts before its last byte.
        tx = self.txs.get(e.tx)
        if tx is None or tx.ended or tx.whole:
            return
        tx.whole, waited = True, self.now - tx.since
        tx.goal, tx.give_up = tx.goal + waited, tx.give_up + waited
        self.wakes.add(tx.give_up, tx.id)
        for hop in tx.hops:
            if hop.out:
                self._begin(tx, hop)

    def _spent(self, e: m.TxArrived, profile: m.Profile) -> int:
        # A try shorter than the profile's usual one is cut by the hard limit: it tells how long it waits.
        usual = self.usual_ttl[e.profile]
        if not e.is_retry:
            self.usual_ttl[e.profile] = max(usual, e.ttl)
            return 0
        return profile.hard_limit - e.ttl if e.ttl < usual - MS else 0

    def _over_share(self, share: int) -> bool:
        rate = self.shares[share]
        depth = max(SHARE_LEAST, SHARE_SPAN * rate)  # never under one whole transaction
        left = min(depth, self.share_left[share] + rate * (self.now - self.share_at[share]) / SECOND)
        self.share_at[share], self.share_left[share] = self.now, left if left < 1.0 else left - 1.0
        return left < 1.0

    def _route(self, tx: Tx) -> None:
        if self.start.cache_aside and tx.write:
            return self._ask_origin(tx)
        host = self._choose(tx)
        if host is not None and self._expects_fetch(tx, host):
            tx.missed = host
            return self._ask_origin(tx)
        # What no cache host can answer in time the origin may, while it has room for more than the misses.
        if host is None and self._origin_spare(tx):
            return self._ask_origin(tx)
        resting = tx.write and self.now < self.rest_until
        if host is None or resting or not self._send(tx, host):
            self._finish(tx)

    def _expects_fetch(self, tx: Tx, host: CacheHost) -> bool:
        # Where cache hosts fetch by themselves, a key not known to lie there passes the origin's gate first,
        # but not while most such are found: of many balancers each sees few of the copies that all brought.
        return self.hit_part < HIT_ENOUGH and self._unknown(tx, host)

    def _unknown(self, tx: Tx, host: CacheHost) -> bool:
        known = self.start.cache_aside or tx.write or tx.range is None
        return not known and host.index not in self.held.get(tx.key, ())

    def _overtaken(self, hop: Hop) -> bool:
        """Later ones came back, and it is out for a multiple of what they usually take: it is lost."""
        if hop.fetches:
            return self.fetch_newest > hop.sent and self.now - hop.sent > LOST * self.origin_took
        return hop.host.newest > hop.sent and self.now - hop.sent > LOST * self._predicted(hop.host)

    def _hop_late(self, tx: Tx) -> None:
        for hop in tx.hops:
            if hop.out and not hop.judged and not hop.host.is_origin:
                hop.judged = True
                # A hop sent into a crowd is late by our doing; one that had room, or silence, tells of it.
                if hop.crowd <= OVER_FLOOR or hop.host.heard < hop.sent:
                    self._failed_once(hop)
        # A late hop alone is mostly a queue or a fetch, which a copy makes longer; not so if its host is out,
        # or if its answer is lost: then the copy goes where the key now lies. Where cache hosts do not fetch,
        # a read goes to the origin while half of its places are free: another host would answer 'miss'.
        last, host = tx.hops[-1], None
        out, lost = last.host.out_until > self.now, self._overtaken(last)
        full = last.fetches and not self._origin_room()
        if not self.start.parallel_hops or tx.out > 1 or self.extra < 1 or full:
            return
        if self._origin_spare(tx) and not last.host.is_origin:
            host = self.origin
        elif out or lost:
            host = last.host if lost and self._usable(last.host) else self._choose(tx)
        if host is not None and self._send(tx, host):
            self.extra -= 1

    def _hop_ended(self, e: m.HopEnded) -> None:
        tx = self.txs.get(e.tx)
        if tx is None or e.hop >= len(tx.hops) or not tx.hops[e.hop].out:
            return
        hop = tx.hops[e.hop]
        hop.out, hop.may_have_run = False, e.outcome > m.HopOutcome.MISS
        tx.out -= 1
        if hop.begun:
            hop.host.inflight -= 1
            self.inflight -= not hop.host.is_origin
        self._judge(tx, hop, e)
        if e.report is not None and e.report.service_time > 0:
            hop.host.service = e.report.service_time
        if e.tx_ended and not tx.ended:
            self._close(tx)
        elif not tx.ended:
            self._go_on(tx, hop, e.outcome)
        elif not tx.out:
            self.txs.pop(tx.id, None)
        if hop.fetches:
            self.fetch_out -= 1
            self._drain_origin()

    def _go_on(self, tx: Tx, hop: Hop, end: m.HopOutcome) -> None:
        if tx.out:
            return
        if self.now >= tx.give_up or (end is m.HopOutcome.ERROR and self._bad(tx)):
            self._finish(tx)
        elif end is m.HopOutcome.MISS and not hop.host.is_origin:
            tx.missed = tx.missed or hop.host
            self._ask_origin(tx)
        elif hop.host.is_origin or self.extra < (cost := self._cost(hop, end)):
            self._finish(tx)
        else:
            self.extra -= cost
            self._route(tx)

    def _cost(self, hop: Hop, end: m.HopOutcome) -> int:
        # Turned away, or broken off at once: that cost no work and hardly any time; other further hops count.
        quick = self.now - hop.sent < QUICK * self.usual and end in (m.HopOutcome.UNREACHABLE, m.HopOutcome.RESET)
        return 0 if quick or end is m.HopOutcome.FULL else 1

    # ---- the origin ----

    def _ask_origin(self, tx: Tx) -> None:
        if self.now < self.rest_until:
            self._finish(tx)
        elif self._origin_room() and not self.origin_queue:
            self._send_fetch(tx)
        else:
            # A slow origin shows in a fetch that stays out long before it ends.
            took = max(self.origin_took, self.now - self.fetch_at if self.fetch_out else 0)
            wait = (len(self.origin_queue) / self.origin_limit + 1) * took
            self.strained = True
            if self.now + wait > tx.goal or (tx.over and not tx.write):
                self._finish(tx)
            else:
                (self.origin_queue.appendleft if tx.write else self.origin_queue.append)(tx)
                self.wakes.add((self.now + tx.goal) // 2, tx.id)
                self._drain_origin()

    def _send_fetch(self, tx: Tx) -> None:
        host = self.origin if self.start.cache_aside else tx.missed
        # What can't come in time is not fetched, but for one at a time, to find out if the origin is back.
        late = self.now + self.origin_took > tx.goal and self.fetch_out > 0
        if host is None or late or not self._send(tx, host):
            self._finish(tx)

    def _origin_room(self) -> bool:
        # Under one place, as where many balancers share a small origin, a place has a pause after each fetch.
        if self.origin_limit < 1.0:
            return not self.fetch_out and self.now >= self._fetch_next()
        return self.fetch_out < self.origin_limit

    def _origin_spare(self, tx: Tx) -> bool:
        # Half of the places are for misses.
        free = not self.origin_queue and self.fetch_out < self.origin_limit / 2
        return self.start.cache_aside and not (tx.write or tx.over) and free

    def _fetch_next(self) -> int:
        return self.fetch_at + int(self.origin_took / self.origin_limit)

    def _drain_origin(self) -> None:
        while self.origin_queue and self._origin_room():
            tx = self.origin_queue.popleft()
            if not tx.ended:
                self._send_fetch(tx)
        if self.origin_queue and not self.fetch_out:
            self.wakes.add(max(self.now + MS, self._fetch_next()), -3)

    def _judge_origin(self, hop: Hop, e: m.HopEnded) -> None:
        if e.outcome is m.HopOutcome.SKIPPED or (
            e.outcome is m.HopOutcome.CANCELLED and e.duration < self.shortest_goal // 2
        ):
            return
        # One long answer is a heavy transaction, not a tired origin: only the mean cuts the limit.
        # Few fetches of ours tell of a change late, so each counts by the time since the one before it.
        step = min(0.5, max(0.1, (self.now - self.fetch_judged) / SECOND)) if self.fetch_judged else 1.0
        self.fetch_judged = self.now
        self.origin_took += (e.duration - self.origin_took) * step
        self.fetch_fails = 0 if e.outcome is m.HopOutcome.DONE else self.fetch_fails + 1
        if not self.fetch_fails:
            self.rest = 0
        elif self.fetch_fails >= ORIGIN_FAILS:
            # An origin that turns fetches away answers fast, so a limit on those in flight does not spare it.
            self.rest = min(REST_MOST, max(REST_FIRST, self.rest * 2))
            self.rest_until = self.now + self.rest
        if (
            e.outcome in (m.HopOutcome.DONE, m.HopOutcome.TIMED_OUT, m.HopOutcome.CANCELLED)
            and self.origin_took < self.origin_late
        ):
            if self.fetch_out > self.origin_limit / 2:
                self.origin_limit += min(self.origin_limit, 1 / self.origin_limit)
        elif hop.sent >= self.origin_cut:
            self.origin_limit, self.origin_cut = max(self.origin_least, self.origin_limit * 0.8), self.now

    # ---- health ----

    def _judge(self, tx: Tx, hop: Hop, e: m.HopEnded) -> None:
        host = hop.host
        through = not self.start.cache_aside
        # An answer lost on its way to us tells of its cache host, not of the origin behind it.
        overtaken = e.outcome is m.HopOutcome.TIMED_OUT and self._overtaken(hop)
        lost = e.outcome is m.HopOutcome.UNREACHABLE or (through and (e.outcome is m.HopOutcome.RESET or overtaken))
        erred = e.outcome is m.HopOutcome.ERROR and not host.is_origin
        anywhere = erred and self._fails_anywhere(tx, hop)
        if not anywhere and ((hop.fetches and not lost) or (through and (e.cache_result > 1 or erred))):
            self._judge_origin(hop, e)
        if through:
            if e.cache_result:
                self.hits += ((e.cache_result == 1) - self.hits) * HIT_STEP
            if e.cache_result and self._unknown(tx, host):
                self.hit_part += ((e.cache_result == 1) - self.hit_part) * HIT_STEP
            self._remember(tx, host, e.outcome)
        if host.is_origin:
            return
        late = e.outcome is m.HopOutcome.TIMED_OUT and not overtaken
        if (late or e.outcome is m.HopOutcome.DONE) and not hop.fetches and (e.cache_result < 2 or not through):
            self._estimate(hop, e.duration)
        if e.outcome not in (m.HopOutcome.SKIPPED, m.HopOutcome.CANCELLED):
            self.failing += ((hop.judged or e.outcome in FAILURES) - self.failing) * FAILING_STEP
        if e.outcome is m.HopOutcome.DONE:
            host.heard, host.newest = self.now, max(host.newest, hop.sent)
            self.fetch_newest = max(self.fetch_newest, hop.sent * hop.fetches)
            host.out_for = host.out_for if hop.judged else 0
            self.bad.pop(tx.key, None)
            for other in tx.hops:
                if other.erred:  # it was not the tx: another cache host has answered it
                    other.erred = False
                    self._failed_once(other, self._spacing() > FADE)
        if e.outcome is m.HopOutcome.MISS or (e.outcome is m.HopOutcome.DONE and not hop.judged):
            host.fails, host.trial = 0, False
        elif erred:
            hop.erred = not anywhere
        elif e.outcome in FAILURES and not hop.judged:
            self._failed_once(hop, self._spacing() > FADE)

    def _bad(self, tx: Tx) -> bool:
        return self.bad.get(tx.key, 0) > self.now

    def _fails_anywhere(self, tx: Tx, hop: Hop) -> bool:
        # Against a cache host, or the origin, blamed for what would have failed anywhere: an error counts
        # when another cache host has answered that tx, and not at all once its key has failed at two. Such a
        # key costs one hop a tx for BAD_FOR. Also covers values that no cache host can give. Harm: a cache
        # host that answers errors alone is out a hop later; one key of an origin that is down counts once.
        if not tx.range:
            return False
        others = [h for h in tx.hops if h.erred and h.host is not hop.host]
        if others or self._bad(tx):
            for other in others:
                other.erred = False
            if len(self.bad) >= BAD_MOST:
                self.bad = {k: until for k, until in self.bad.items() if until > self.now}
            if len(self.bad) < BAD_MOST:
                self.bad[tx.key] = self.now + BAD_FOR
            if tx.share >= 0 and not tx.over:
                self.share_left[tx.share] += 1.0
                tx.over = True
            return True
        return False

    def _estimate(self, hop: Hop, took: int) -> None:
        # Time-outs count too, or a fleet too crowded to answer would be judged by its quickest answers.
        host = hop.host
        if not host.seen:
            host.took = self.usual or float(took)
        # Against a crowd seen in ten answers by chance: where hops are many, as many more make up a mean.
        pace = min(1.0, max(PACE_LEAST, 3 * self._spacing() / SECOND)) if self.rate else 1.0
        step = 0.2 * pace if self.now - host.seen < FADE else 0.5
        self.usual_at, self.estimates = self.now, self.estimates + 1
        self.usual += (took - self.usual) * max(0.1 * pace, 1 / self.estimates)
        host.took, host.seen = host.took + (took - host.took) * step, self.now
        host.crowd += (hop.crowd - host.crowd) * step

    def _remember(self, tx: Tx, host: CacheHost, end: m.HopOutcome) -> None:
        if tx.write:
            self.held.pop(tx.key, None)
        elif end is m.HopOutcome.DONE:
            self.held.setdefault(tx.key, set()).add(host.index)
        elif end in (m.HopOutcome.ERROR, m.HopOutcome.TIMED_OUT):
            self.held.get(tx.key, set()).discard(host.index)

    def _fails_due(self, trial: bool) -> int:
        # Against healthy hosts left out, as where hops are many two in a row fail by chance: as many are due
        # as come together at one host once in CHANCE, at the share of all hops that fail; half on trial.
        run = log((self._spacing() or CHANCE) / CHANCE) / log(min(0.5, max(FAILING_LEAST, self.failing)))
        due = max(FAILS, min(FAILS_MOST, int(run) + 1))
        return due // 2 if trial else due

    def _failed_once(self, hop: Hop, sure: bool = False) -> None:
        # A fetch that fails tells of its host only while fetches through others succeed.
        if hop.fetches and self.fetch_fails >= ORIGIN_FAILS:
            return
        host = hop.host
        host.fails += 1
        if host.fails < (1 if sure else self._fails_due(host.trial)) or host.out_until > self.now:
            return
        out = sum(1 for h in self.ready if h.out_until > self.now or h.trial)  # many: not they
        if not host.trial and out + 1 > OUT_PART * len(self.ready):
            return
        # Out for less than the time between two of our hops there would be no different from in.
        host.out_for = min(OUT_MOST, max(OUT_FIRST, self._spacing(), host.out_for * 2))
        host.out_until, host.trial, host.fails = self.now + host.out_for, True, 0

    # ---- the guard ----

    def _cold_room(self, host: CacheHost) -> bool:
        warmth, sent, span = self._warmth(host), host.cold_sent, self.start.overload_window
        if warmth >= 1.0:
            return True
        while sent and sent[0] <= self.now - span:
            sent.popleft()
        # Rule 4: as many as a warm cache host takes of us, times its warmth; the others do so with theirs.
        each, tip = host.weight * self.unit_rate * span / SECOND, self.start.overload_multiple
        room = host.part * max(COLD_LEAST / self.start.balancer_count, min(COLD_MARGIN, tip / 2) * warmth * each)
        if room >= 1.0:
            return len(sent) < room
        # A part under one hop a window is one in several. Not from all that had none for long and want it in
        # one moment, as when others fail: each window of its age, the same for all, is dealt to evenly many,
        # so that a crowd of COLD_CROWD times the usual is borne. Harm: who is not dealt to sends elsewhere.
        dealt = COLD_DEALT * tip * warmth * each / min(1.0, COLD_CROWD * each) if each else room
        turn = mix(host.hash + (self.now - host.since) // span) + self.start.balancer_index * SPACED & MASK
        return turn < max(room, host.part * dealt) * MASK and self.now >= host.cold_from + int(span / room)

    def _first_run(self, tx: Tx) -> Hop | None:
        return next((hop for hop in tx.hops if hop.may_have_run), None)

    def _may_repeat(self, tx: Tx, host: CacheHost) -> bool:
        first = self._first_run(tx)
        if first is None or tx.profile.semantics is m.Semantics.IDEMPOTENT:
            return True
        memory, scope = tx.profile.dedup_window - self.margin, tx.profile.dedup_scope
        if tx.profile.semantics is m.Semantics.NON_IDEMPOTENT or self.now - first.sent >= memory:
            return False
        near = host.zone == first.host.zone if scope is m.DedupScope.ZONE else host.cell == first.host.cell
        return scope is m.DedupScope.ALL or near

    def _send(self, tx: Tx, host: CacheHost) -> bool:
        """Every hop passes here: rule 1 (nothing after the answer), 2, 3 and 4."""
        if tx.ended or len(tx.hops) >= self.start.max_hops or self.now >= tx.give_up:
            return False
        if host.standing is not m.HostStatus.READY or (tx.out and not self.start.parallel_hops):
            return False
        cold = not host.is_origin and self._warmth(host) < 1.0
        if not self._may_repeat(tx, host) or (cold and not self._cold_room(host)):
            return False
        if cold:
            host.cold_sent.append(self.now)
            host.cold_from = self.now
        self.warm_sent += not cold and not host.is_origin
        # A repeat that waits on its way out, for a connection say, is asked about again before it is begun.
        first = self._first_run(tx) if tx.profile.semantics is m.Semantics.JOURNALLED else None
        by = first.sent + tx.profile.dedup_window - self.margin if first is not None else 0
        hop = Hop(host, self.now, host.inflight)
        tx.hops.append(hop)
        tx.out += 1
        if tx.whole:
            self._begin(tx, hop)
        self.actions.append(m.SendHop(tx.id, host.index, tx.give_up, by))
        return True

    def _begin(self, tx: Tx, hop: Hop) -> None:
        host = hop.host
        hop.begun, hop.sent, hop.crowd = True, self.now, host.inflight
        if not host.is_origin:
            self.inflight += 1
            if self.start.parallel_hops:
                self.wakes.add(self.now + int(PATIENCE * tx.profile.service_goal), tx.id)
        if host.is_origin or (tx.write and not self.start.cache_aside) or self._expects_fetch(tx, host):
            hop.fetches = True
            self.fetch_out += 1
            self.fetch_at = self.now
        host.inflight += 1

    def _finish(self, tx: Tx) -> None:
        """Every answer that is not a commit passes here: rule 1 (one, in time) and the promise in rule 2."""
        if tx.ended:
            return
        profile, first = tx.profile, self._first_run(tx)
        wait = min(self._about(int(BACKOFF * profile.service_goal)), self.start.max_backoff)
        # A repeat of a journalled tx is harmless while it is known, so for no longer is it called so.
        known = profile.semantics is m.Semantics.JOURNALLED and profile.dedup_scope is m.DedupScope.ALL
        if first is not None and self.now + wait - first.sent >= profile.dedup_window - self.margin:
            known = False
        if known or first is None or profile.semantics is m.Semantics.IDEMPOTENT:
            self.actions.append(m.RollBack(tx.id, wait))
        else:
            self.actions.append(m.Abandon(tx.id))
        self._close(tx)

    def _close(self, tx: Tx) -> None:
        tx.ended = True
        if self.start.can_cancel:
            self.actions += [m.CancelHop(tx.id, n) for n, hop in enumerate(tx.hops) if hop.out]
        if not tx.out:
            self.txs.pop(tx.id, None)


HANDLERS: dict[type, Callable[..., None]] = {
    m.TxArrived: Balancer._arrived,
    m.HopEnded: Balancer._hop_ended,
    m.TimerFired: Balancer._timer_fired,
    m.TxFullyReceived: Balancer._whole,
    m.ClientGone: Balancer._gone,
    m.ListChanged: Balancer._list_changed,
    m.ListUnavailable: Balancer._list_lost,
    m.Config: Balancer._figures,
    m.Learned: Balancer._take,
}
