"""Tests of the four rules, which hold whatever the rest of the decisions is."""

import pytest

from ternquay import model as m
from ternquay.balance import SECOND

from .helper import T0, Scenario, listed_host


@pytest.mark.parametrize("profile", range(4))
def test_every_profile_with_every_hop_outcome(profile: int) -> None:
    scenario = Scenario()
    for outcome in m.HopOutcome:
        if outcome is not m.HopOutcome.DONE:
            scenario.end_hop(scenario.arrive(f"k{outcome}", profile), outcome)
            scenario.run(1000)
    scenario.matches(f"ends_profile_{profile}")


def test_one_response_before_the_goal_and_nothing_after_it() -> None:
    scenario = Scenario(parallel_hops=False)
    tx = scenario.arrive(profile=2)
    scenario.run(2000)
    scenario.end_hop(tx, m.HopOutcome.CANCELLED)
    scenario.end_hop(tx, m.HopOutcome.CANCELLED)
    tx = scenario.arrive()
    scenario.end_hop(tx, m.HopOutcome.TIMED_OUT, duration_ms=600)
    scenario.feed("gone", m.ClientGone(tx))
    scenario.matches("one_answer")


def test_a_timeout_at_the_hard_limit_still_gets_a_response() -> None:
    scenario = Scenario()
    tx = scenario.arrive(profile=2, ttl=100)
    scenario.now += 100_000_000
    scenario.end_hop(tx, m.HopOutcome.TIMED_OUT, duration_ms=100)
    scenario.matches("hard_limit")


def test_a_journalled_transaction_is_not_repeated_after_the_dedup_window() -> None:
    scenario = Scenario()
    tx = scenario.arrive(profile=1)
    scenario.now += 299_000_000
    scenario.end_hop(tx, m.HopOutcome.RESET, duration_ms=299)
    scenario.matches("memory")


def test_nothing_new_goes_to_a_host_that_drains_or_is_not_listed() -> None:
    scenario = Scenario(2)
    first = scenario.hops[scenario.arrive()][0]
    scenario.list(listed_host(first, m.HostStatus.DRAINING))
    scenario.arrive()
    scenario.list(listed_host(first), complete=True)
    scenario.arrive()
    scenario.list(listed_host(first, m.HostStatus.GONE))
    scenario.arrive()
    scenario.matches("drain")


def test_a_restarted_host_gets_its_ranges_back_within_its_budget() -> None:
    scenario = Scenario(3)
    for n in range(400):
        scenario.end_hop(scenario.arrive(f"k{n}"), m.HopOutcome.DONE)
        scenario.run(10)
    before = sum(hops == [1] for hops in scenario.hops.values())
    scenario.trace.clear()
    scenario.list(listed_host(1, started_at=scenario.now))
    taken = []
    for second in range(20):
        last_tx, rate = scenario.last_tx, scenario.balancer.rate_per_weight
        for n in range(100):
            scenario.end_hop(scenario.arrive(f"k{n}"), m.HopOutcome.DONE)
            scenario.run(10)
        taken.append(sum(1 in scenario.hops.get(tx, []) for tx in range(last_tx + 1, scenario.last_tx + 1)))
        budget = (
            1.5 * max(rate, scenario.balancer.rate_per_weight) * (0.2 + 0.8 * (second + 1) / 20)
        )  # 1.5 is half of the overload multiple of 3
        assert taken[-1] <= budget + 1
    scenario.trace = [f"warm: {before // 4} of 100 a second; from its start: {' '.join(map(str, taken))}"]
    scenario.matches("cold_budget")


def test_a_cold_host_with_unknown_rate_gets_one_hop_per_window() -> None:
    scenario = Scenario(1)
    scenario.list(listed_host(0, started_at=T0 - SECOND))
    for n in range(200):
        scenario.arrive(f"k{n}")
    assert sum(len(h) for h in scenario.hops.values()) == 1


def test_many_balancers_together_keep_the_budget_of_a_cold_host() -> None:
    """One hop per window from each of 380 balancers would be nine times what the host can do."""
    sent = [0] * 10
    for index in range(100):
        scenario = Scenario(1, balancer_count=100, balancer_index=index)
        scenario.list(listed_host(0, started_at=T0 - SECOND))
        for window in range(10):
            before = len(scenario.hops)
            scenario.arrive(f"a{window}")
            scenario.run(500)
            scenario.arrive(f"b{window}")
            scenario.run(500)
            sent[window] += len(scenario.hops) - before
    assert max(sent) <= 6 and sum(sent) >= 5
