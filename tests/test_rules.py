"""The four rules: each is kept by the guard alone, whatever the rest decides."""

import pytest

from ternquay import model as m
from ternquay.balance import SECOND

from .helper import T0, Play, line


@pytest.mark.parametrize("profile", range(4))
def test_every_profile_against_every_end(profile: int) -> None:
    p = Play()
    for end in m.HopOutcome:
        if end is not m.HopOutcome.DONE:
            p.end(p.arrive(f"k{end}", profile), end)
            p.run(1000)
    p.matches(f"ends_profile_{profile}")


def test_one_answer_before_the_goal_and_nothing_after_it() -> None:
    p = Play(parallel_hops=False)
    tx = p.arrive(profile=2)
    p.run(2000)
    p.end(tx, m.HopOutcome.CANCELLED)
    p.end(tx, m.HopOutcome.CANCELLED)
    tx = p.arrive()
    p.end(tx, m.HopOutcome.TIMED_OUT, took=600)
    p.feed("gone", m.ClientGone(tx))
    p.matches("one_answer")


def test_time_out_at_the_hard_limit_still_gets_its_answer() -> None:
    p = Play()
    tx = p.arrive(profile=2, ttl=100)
    p.now += 100_000_000
    p.end(tx, m.HopOutcome.TIMED_OUT, took=100)
    p.matches("hard_limit")


def test_journalled_is_not_sent_again_past_the_memory() -> None:
    p = Play()
    tx = p.arrive(profile=1)
    p.now += 299_000_000
    p.end(tx, m.HopOutcome.RESET, took=299)
    p.matches("memory")


def test_nothing_new_after_a_drain_or_a_whole_list_without_it() -> None:
    p = Play(2)
    first = p.hops[p.arrive()][0]
    p.list(line(first, m.HostStatus.DRAINING))
    p.arrive()
    p.list(line(first), whole=True)
    p.arrive()
    p.list(line(first, m.HostStatus.GONE))
    p.arrive()
    p.matches("drain")


def test_a_restarted_host_comes_back_range_by_range_within_its_budget() -> None:
    p = Play(3)
    for n in range(400):
        p.end(p.arrive(f"k{n}"), m.HopOutcome.DONE)
        p.run(10)
    before = sum(hops == [1] for hops in p.hops.values())
    p.trace.clear()
    p.list(line(1, since=p.now))
    taken = []
    for second in range(20):
        seen, rate = p.tx, p.balancer.rate_per_weight
        for n in range(100):
            p.end(p.arrive(f"k{n}"), m.HopOutcome.DONE)
            p.run(10)
        taken.append(sum(1 in p.hops.get(tx, []) for tx in range(seen + 1, p.tx + 1)))
        part = 1.5 * max(rate, p.balancer.rate_per_weight) * (0.2 + 0.8 * (second + 1) / 20)  # of a multiple of 3
        assert taken[-1] <= part + 1
    p.trace = [f"warm: {before // 4} of 100 a second; from its start: {' '.join(map(str, taken))}"]
    p.matches("cold_budget")


def test_a_cold_host_of_unknown_rate_gets_one_hop_a_window() -> None:
    p = Play(1)
    p.list(line(0, since=T0 - SECOND))
    for n in range(200):
        p.arrive(f"k{n}")
    assert sum(len(h) for h in p.hops.values()) == 1


def test_all_of_many_balancers_together_spare_a_cold_host() -> None:
    """Against a floor of one hop a window for each: nine times what the host could do, from 380 balancers."""
    sent = [0] * 10
    for number in range(100):
        p = Play(1, balancer_count=100, balancer_index=number)
        p.list(line(0, since=T0 - SECOND))
        for window in range(10):
            before = len(p.hops)
            p.arrive(f"a{window}")
            p.run(500)
            p.arrive(f"b{window}")
            p.run(500)
            sent[window] += len(p.hops) - before
    assert max(sent) <= 6 and sum(sent) >= 5
