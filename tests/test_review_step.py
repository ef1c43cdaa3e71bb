"""Many balancers do not act in step: limits on their peaks at a cache host, the origin and discovery in 100 ms."""

from collections import Counter
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from ternquay import model as m
from ternquay.balance import MS, SECOND, Balancer
from ternquay.net.discovery import Discovery
from ternquay.net.listing import Address
from ternquay.net.start_times import StartTimes
from tests.helper import CONFIG, T0, Net
from tests.test_net import FakeAgent, mg

BALANCER_COUNT = 24
HOST_COUNT = 12
BIN_NS = 100 * MS


class Fleet:
    """A simulation of balancers that share only the cache hosts. `answer` returns outcome and duration of a hop."""

    def __init__(self, seeds: Any = range, **terms: Any) -> None:
        self.now, self.order, self.number = T0, 0, 0
        self.events: list[tuple[int, int, int, m.Event]] = []
        self.balancers = [
            Balancer(replace(CONFIG, seed=seed, balancer_count=BALANCER_COUNT, balancer_index=n, **terms))
            for n, seed in enumerate(seeds(BALANCER_COUNT))
        ]
        self.sent: list[tuple[int, int, int]] = []  # time, balancer and host of each hop
        self.retries: list[int] = []  # when clients that were rolled back retry
        lines = tuple(m.ListedHost(h, f"h{h}", 0, 0, 0, m.HostStatus.READY, 1.0, 0) for h in range(HOST_COUNT))
        for who in range(BALANCER_COUNT):
            self.feed(who, m.ListChanged(True, lines))

    cache_result = 1  # every read is a hit

    def answer(self, who: int, host: int) -> tuple[m.HopOutcome, int]:
        return m.HopOutcome.DONE, 10 * MS

    def at(self, when: int, who: int, event: m.Event) -> None:
        from heapq import heappush

        self.order += 1
        heappush(self.events, (when, self.order, who, event))

    def feed(self, who: int, event: m.Event) -> None:
        for a in self.balancers[who].decide(self.now, event):
            if isinstance(a, m.SendHop):
                hop = sum(1 for one in self.balancers[who].txs[a.tx].hops) - 1
                end, duration = self.answer(who, a.host)
                self.sent.append((self.now, who, a.host))
                self.at(
                    self.now + duration,
                    who,
                    m.HopEnded(a.tx, hop, end, duration, end is m.HopOutcome.DONE, self.cache_result),
                )
            elif isinstance(a, m.SetTimer):
                self.at(max(self.now, a.at), who, m.TimerFired())
            elif isinstance(a, m.RollBack):
                self.retries.append(self.now + a.backoff)

    def arrive(self, when: int, who: int, key: str) -> None:
        self.number += 1
        self.at(when, who, m.TxArrived(self.number, 0, -1, key, 900 * MS, False, False))

    def load(self, seconds: float, rate: int, keys: int, skew: float, seed: int = 5) -> None:
        """Adds `rate` transactions per second at each balancer. A higher skew makes a few keys hot."""
        draw = Random(seed)
        for who in range(BALANCER_COUNT):
            for _ in range(int(seconds * rate)):
                self.arrive(T0 + int(draw.random() * seconds * SECOND), who, f"k{int(keys * draw.random() ** skew)}")

    def run(self, seconds: float) -> None:
        from heapq import heappop

        until = T0 + int(seconds * SECOND)
        while self.events and self.events[0][0] <= until:
            self.now, _, who, event = heappop(self.events)
            self.feed(who, event)


def bins(times: list[int]) -> Counter[int]:
    return Counter((at - T0) // BIN_NS for at in times)


@pytest.mark.parametrize(("skew", "part", "times"), [(1.0, 0.35, 1.5), (3.0, 0.8, 2.0)])
def test_the_load_of_a_failing_host_is_spread_over_the_others(skew: float, part: float, times: float) -> None:
    """All balancers rank hosts alike for a group, but differently for each group, so the next hops use many hosts.

    A hot key is an exception by design: all balancers try the same next host. The test limits the extra load there,
    which is below the load that causes a spill.
    """
    fleet = Fleet()
    failing, began = 3, 4 * SECOND

    def answer(who: int, host: int) -> tuple[m.HopOutcome, int]:
        return (
            (m.HopOutcome.RESET, 5 * MS) if host == failing and fleet.now > T0 + began else (m.HopOutcome.DONE, 10 * MS)
        )

    fleet.answer = answer  # type: ignore[method-assign]
    fleet.load(8.0, 40, 3000, skew)
    fleet.run(8.0)
    before = [[at for at, _, host in fleet.sent if host == h and at < T0 + began] for h in range(HOST_COUNT)]
    after = [
        [at for at, _, host in fleet.sent if host == h and T0 + began <= at < T0 + began + SECOND]
        for h in range(HOST_COUNT)
    ]
    rise = {h: len(after[h]) - len(before[h]) * SECOND / began for h in range(HOST_COUNT) if h != failing}
    lost = len(before[failing]) * SECOND / began
    assert max(rise.values()) < part * lost, (rise, lost)
    worst = max(max(bins(those).values()) for h, those in enumerate(after) if h != failing)
    usual = max(max(bins(those).values()) for h, those in enumerate(before) if h != failing)
    assert worst < times * usual, (worst, usual)


def test_trials_of_a_host_that_all_balancers_ejected_at_once_are_spread() -> None:
    fleet = Fleet()
    fleet.load(10.0, 60, 600, 3.0)
    silent, began, ended = 3, 3 * SECOND, 9 * SECOND

    def answer(who: int, host: int) -> tuple[m.HopOutcome, int]:
        out = host == silent and T0 + began < fleet.now < T0 + ended
        return (m.HopOutcome.RESET, MS) if out else (m.HopOutcome.DONE, 10 * MS)

    fleet.answer = answer  # type: ignore[method-assign]
    fleet.run(10.0)
    tried = [at for at, _, host in fleet.sent if host == silent and T0 + began + SECOND < at < T0 + ended]
    usual = [at for at, _, host in fleet.sent if host == silent and at < T0 + began]
    # Within 100 ms the host gets no more hops than when it was healthy: at most one trial of each balancer at a time.
    assert tried and max(bins(tried).values()) <= max(bins(usual).values()), (bins(tried), max(bins(usual).values()))


def test_an_origin_that_recovers_is_not_flooded() -> None:
    fleet = Fleet()
    fleet.cache_result = 2
    down = (3 * SECOND, 6 * SECOND)
    draw = Random(9)

    def answer(who: int, host: int) -> tuple[m.HopOutcome, int]:
        return (
            (m.HopOutcome.ERROR, 20 * MS) if T0 + down[0] < fleet.now < T0 + down[1] else (m.HopOutcome.DONE, 40 * MS)
        )

    fleet.answer = answer  # type: ignore[method-assign]
    for who in range(BALANCER_COUNT):
        for n in range(20 * 10):  # all keys differ, so no read is a hit and all fetches go to the origin
            fleet.arrive(T0 + int(draw.random() * 10 * SECOND), who, f"{who}-{n}")
    fleet.run(10.0)
    usual = max(bins([at for at, _, _ in fleet.sent if T0 + SECOND < at < T0 + down[0]]).values())
    down_then = max(bins([at for at, _, _ in fleet.sent if T0 + down[0] + SECOND < at < T0 + down[1]]).values())
    back = max(bins([at for at, _, _ in fleet.sent if T0 + down[1] < at < T0 + down[1] + 2 * SECOND]).values())
    assert down_then <= usual / 2 and back <= 1.5 * usual, (usual, down_then, back)


@pytest.mark.parametrize("seeds", [range, lambda many: [7] * many])
def test_clients_that_are_rolled_back_together_retry_at_different_times(seeds: Any) -> None:
    fleet = Fleet(seeds)
    for who in range(BALANCER_COUNT):
        fleet.feed(who, m.ListChanged(True, ()))
        for n in range(20):
            fleet.arrive(T0 + MS, who, f"k{n}")
    fleet.run(1.0)
    assert len(fleet.retries) == 20 * BALANCER_COUNT
    tens = Counter(at // (10 * MS) for at in fleet.retries)
    assert max(tens.values()) < len(fleet.retries) / 3, tens
    mean = sum(at - T0 - MS for at in fleet.retries) / len(fleet.retries)
    assert 0.9 < mean / (0.1 * CONFIG.profiles[0].service_goal) < 1.1  # the jitter does not change the mean


def test_requests_refused_for_want_of_room_are_retried_at_different_times() -> None:
    net = Net(limits={"open_txs": 0})
    for n in range(200):
        net.client().feed(mg(n))
    waits = Counter(int(one.split("busy ")[1].split("\\r")[0]) for one in net.trace if "busy " in one)
    assert sum(waits.values()) == 200 and max(waits.values()) < 40 and len(waits) > 20
    assert min(waits) >= 1 and abs(sum(w * n for w, n in waits.items()) / 200 - 100) < 10


def test_balancers_whose_discovery_fails_do_not_retry_in_step(monkeypatch: pytest.MonkeyPatch) -> None:
    asked: Counter[int] = Counter()
    for number in range(BALANCER_COUNT):
        net = Net(facts={"Discovery": "pushed", "MyNumber": number, "Balancers": BALANCER_COUNT})
        agent = FakeAgent(net)
        monkeypatch.setattr("ternquay.net.discovery.Agent", agent)
        watch = Discovery(net.reactor, net.dispatcher, net.limits, Address("127.0.0.1", 8500), StartTimes(lambda: 0))
        watch.watch()
        for _ in range(60):
            if agent.calls and not agent.calls[-1].called:
                agent.calls[-1].errback(ValueError("down"))
                asked[round(net.reactor.seconds() * 1000) // 100] += 1
            net.run(100)
        assert 3 <= len(agent.calls) <= 13
    later = [count for at, count in sorted(asked.items()) if at > 10_005]
    assert max(later) <= BALANCER_COUNT // 2, asked


def test_balancers_with_the_same_seed_do_not_request_the_list_in_step() -> None:
    wakes = []
    for number in range(BALANCER_COUNT):
        balancer = Balancer(replace(CONFIG, balancer_index=number, balancer_count=BALANCER_COUNT, watch_list=True))
        balancer.decide(T0, m.ListUnavailable())
        wakes.append(min(at for at, _, what in balancer.timers.heap if what == -2))
    assert max(Counter(at // BIN_NS for at in wakes).values()) <= BALANCER_COUNT // 2, wakes
