"""Tests of the decisions of one balancer: the ordinary path, and failures with their traces."""

from ternquay import model as m
from ternquay.balance import INITIAL_ORIGIN_LIMIT, MS, RANGE_COUNT
from ternquay.numeric import text_hash

from .helper import Scenario, listed_host


def warm_up(scenario: Scenario, keys: int = 40, rounds: int = 10, pause: int = 5) -> None:
    for n in range(keys * rounds):
        scenario.end_hop(scenario.arrive(f"k{n % keys}"), m.HopOutcome.DONE)
        scenario.run(pause)
    scenario.trace.clear()


def test_removing_a_host_moves_only_the_keys_of_that_host() -> None:
    scenario = Scenario(5)
    warm_up(scenario)
    before = {f"k{n}": scenario.hops[scenario.last_tx - 39 + n][0] for n in range(40)}
    scenario.list(listed_host(2, m.HostStatus.GONE))
    warm_up(scenario, rounds=1)
    after = {f"k{n}": scenario.hops[scenario.last_tx - 39 + n][0] for n in range(40)}
    moved = [k for k in before if before[k] != after[k]]
    assert moved and all(before[k] == 2 for k in moved)


def test_two_balancers_choose_the_same_hosts_with_different_seeds() -> None:
    one, two = Scenario(6, seed=1), Scenario(6, seed=2)
    for scenario in (one, two):
        warm_up(scenario, rounds=1)
    assert one.hops == two.hops


def test_a_range_moves_only_if_the_gain_outweighs_its_affinity() -> None:
    scenario = Scenario()
    balancer = scenario.balancer
    small, large = balancer._range_of(1), balancer._range_of(1 << 63)
    small.group, small.accesses, large.group, large.accesses = 0, 1, 1, 300
    for group in range(len(balancer.group_loads)):
        balancer.group_loads.add(group, 10 if group == 7 else 1000)
    balancer._assign_group(small)
    balancer._assign_group(large)
    assert (small.group, large.group) == (7, 1)


def test_hot_keys_get_ranges_of_their_own_and_lose_them_again() -> None:
    scenario = Scenario()
    for n in range(600):
        scenario.end_hop(scenario.arrive("hot" if n % 2 else f"k{n}"), m.HopOutcome.DONE)
    hot = text_hash("hot")
    assert list(scenario.balancer.hot_keys) == [hot]
    for n in range(5000):
        scenario.end_hop(scenario.arrive(f"k{n}"), m.HopOutcome.DONE)
    assert hot not in scenario.balancer.hot_keys and sum(scenario.balancer.group_loads) == len(scenario.balancer.window)
    assert all(0 <= number < RANGE_COUNT for number in scenario.balancer.ranges)
    # The minimum is maintained, as searching for it at each of 512 reassignments took 20 ms in all.
    assert scenario.balancer.group_loads.min_load == min(scenario.balancer.group_loads)


def test_an_overloaded_host_spills_to_a_stable_host() -> None:
    scenario = Scenario(3)
    warm_up(scenario)
    for _ in range(8):
        scenario.arrive("k1")
    scenario.matches("spill")


def test_consecutive_failures_eject_a_host_and_probation_restores_it() -> None:
    scenario = Scenario(4)
    warm_up(scenario)
    for _ in range(3):
        scenario.end_hop(scenario.arrive("k1"), m.HopOutcome.RESET)
    scenario.arrive("k1")
    scenario.run(1100)
    scenario.end_hop(scenario.arrive("k1"), m.HopOutcome.DONE)
    scenario.end_hop(scenario.arrive("k1"), m.HopOutcome.DONE)
    scenario.matches("out_and_back")


def test_a_fleet_wide_failure_ejects_at_most_one_host() -> None:
    scenario = Scenario(4)
    warm_up(scenario)
    for n in range(40):
        scenario.end_hop(scenario.arrive(f"k{n}"), m.HopOutcome.RESET)
    ejected = sum(h.ejected_until > scenario.now for h in scenario.balancer.ready)
    assert ejected <= 1


def test_a_late_hop_is_hedged_once_its_host_is_ejected() -> None:
    scenario = Scenario()
    warm_up(scenario)
    tx = scenario.arrive("k3")
    others = [k for k in range(40) if k != 3 and scenario.hops[361 + k] == scenario.hops[tx]]
    for other in others[:2]:
        scenario.arrive(f"k{other}")
    scenario.run(400)
    second = max(scenario.hops, key=lambda t: len(scenario.hops[t]))
    scenario.end_hop(second, m.HopOutcome.DONE, hop=1, duration_ms=10)
    scenario.end_hop(second, m.HopOutcome.CANCELLED)
    scenario.matches("second_copy")


def test_what_would_be_late_is_rolled_back_at_once_except_for_one_probe() -> None:
    scenario = Scenario(1)
    warm_up(scenario, pause=400)
    scenario.end_hop(scenario.arrive("k1"), m.HopOutcome.DONE, duration_ms=5000)
    probe = scenario.arrive("k1")
    scenario.arrive("k1")
    scenario.end_hop(probe, m.HopOutcome.DONE)
    scenario.run(5000)
    scenario.arrive("k1")
    scenario.arrive("k1")
    scenario.matches("not_in_time")


def test_a_retry_whose_goal_has_passed_is_not_sent() -> None:
    scenario = Scenario()
    scenario.end_hop(scenario.arrive(), m.HopOutcome.DONE)
    scenario.arrive(ttl=700, is_retry=True)
    scenario.matches("goal_passed")


def test_a_transaction_over_its_share_needs_a_faster_host() -> None:
    scenario = Scenario(1)
    warm_up(scenario, pause=400)
    scenario.end_hop(scenario.arrive("k1"), m.HopOutcome.DONE, duration_ms=900)
    for _ in range(10):
        tx = scenario.arrive("k1", share=0)
        if tx in scenario.hops:
            scenario.end_hop(tx, m.HopOutcome.DONE, duration_ms=188)
    scenario.arrive("k1", share=1)
    scenario.matches("share")


def test_cache_aside_misses_are_fetched_from_the_origin() -> None:
    scenario = Scenario(3, origin=True)
    first, second = scenario.arrive(), scenario.arrive()
    scenario.end_hop(first, m.HopOutcome.MISS)
    scenario.end_hop(second, m.HopOutcome.MISS)
    scenario.end_hop(first, m.HopOutcome.DONE, hop=1)
    scenario.end_hop(second, m.HopOutcome.ERROR, hop=1)
    scenario.matches("aside_miss")


def test_cache_aside_writes_go_to_the_origin_and_nowhere_without_one() -> None:
    scenario = Scenario(3, origin=True)
    scenario.end_hop(scenario.arrive(profile=1), m.HopOutcome.DONE)
    scenario.list(listed_host(9, m.HostStatus.GONE, kind=1))
    scenario.arrive(profile=1)
    scenario.matches("aside_writes")


def test_reads_without_a_known_copy_are_refused_while_the_origin_is_paused() -> None:
    """An origin that fails each fetch immediately must not get more fetches all the time."""
    scenario = Scenario(3)
    for n in range(3):
        scenario.end_hop(scenario.arrive(f"k{n}"), m.HopOutcome.ERROR, cache_result=2)
    scenario.arrive("k4")
    scenario.arrive("k5", profile=2)
    scenario.run(2500)
    scenario.end_hop(scenario.arrive("k4"), m.HopOutcome.DONE, cache_result=2)
    scenario.arrive("k4")
    scenario.matches("through_rest")


def test_one_slow_fetch_does_not_cut_the_origin_limit() -> None:
    scenario = Scenario(3, origin=True)
    for n in range(30):
        scenario.end_hop(scenario.arrive(f"w{n}", profile=1), m.HopOutcome.DONE, duration_ms=2000 if n == 20 else 50)
    assert scenario.balancer.origin_limit >= INITIAL_ORIGIN_LIMIT / 2


def test_a_slow_mean_fetch_duration_cuts_the_origin_limit() -> None:
    scenario = Scenario(3, origin=True)
    for n in range(30):
        scenario.end_hop(scenario.arrive(f"w{n}", profile=1), m.HopOutcome.DONE, duration_ms=900)
        scenario.run(50)
    assert scenario.balancer.origin_limit < 8


def test_without_hosts_every_transaction_is_refused_at_once() -> None:
    scenario = Scenario(0)
    for profile in range(4):
        scenario.arrive(profile=profile)
    scenario.arrive(key=None)
    scenario.list(complete=True)
    scenario.arrive()
    scenario.matches("nowhere")


def test_an_unavailable_list_is_requested_again_with_growing_delay() -> None:
    scenario = Scenario(2, watch_list=True)
    for _ in range(4):
        scenario.feed("list lost", m.ListUnavailable())
        scenario.run(9000)
    scenario.arrive()
    scenario.matches("list_lost")


def test_a_transaction_without_a_key_goes_to_the_less_loaded_of_two_hosts() -> None:
    scenario = Scenario(3)
    for _ in range(6):
        scenario.arrive(key=None)
    scenario.matches("no_key")


def test_events_of_ended_or_unknown_transactions_are_ignored() -> None:
    scenario = Scenario()
    tx = scenario.arrive()
    scenario.end_hop(tx, m.HopOutcome.DONE)
    scenario.end_hop(tx, m.HopOutcome.DONE)
    scenario.end_hop(99, m.HopOutcome.ERROR)
    scenario.feed("gone 99", m.ClientGone(99))
    scenario.run(1000)
    scenario.matches("passed_over")


def test_an_exhausted_cold_budget_spills_and_rolls_nothing_back() -> None:
    scenario = Scenario(4)
    warm_up(scenario)
    scenario.list(listed_host(1, started_at=scenario.now - 12_000_000_000))
    scenario.trace.clear()
    for n in range(40):
        scenario.end_hop(scenario.arrive(f"k{n}"), m.HopOutcome.DONE)
    assert not any("roll back" in entry for entry in scenario.trace)


def test_a_balancer_started_during_a_release_learns_the_rate_of_warm_hosts() -> None:
    """Otherwise cold hosts would get one hop per window for as long as most of the fleet is cold."""
    scenario = Scenario(4)
    scenario.list(*(listed_host(h, started_at=scenario.now - 15_000_000_000) for h in (1, 2, 3)))
    warm_up(scenario, rounds=20)
    assert scenario.balancer.rate_per_weight > 10


def test_timeouts_count_in_the_duration_estimate() -> None:
    """Otherwise only the fastest responses of an overloaded fleet would count."""
    scenario = Scenario(1, parallel_hops=False)
    warm_up(scenario)
    for _ in range(8):
        scenario.arrive("k1")
    for tx in range(scenario.last_tx - 7, scenario.last_tx + 1):
        scenario.end_hop(tx, m.HopOutcome.TIMED_OUT, duration_ms=5000)
    scenario.arrive("k1")
    scenario.arrive("k2")
    scenario.matches("crowded_fleet")


def test_a_host_that_refuses_everything_is_ejected_without_extra_hop_tokens() -> None:
    """A host may drain for seconds before the list says so."""
    scenario = Scenario(3)
    warm_up(scenario)
    scenario.balancer.extra_hop_tokens = 0.0
    for _ in range(3):
        tx = scenario.arrive("k1")
        if scenario.hops[tx] == scenario.hops[tx - 1] or not scenario.trace[1:]:
            scenario.end_hop(tx, m.HopOutcome.FULL)
    scenario.matches("turned_away")


def test_cache_aside_reads_go_to_the_origin_if_no_host_is_in_time() -> None:
    scenario = Scenario(1, origin=True)
    warm_up(scenario)
    scenario.end_hop(scenario.arrive("k1"), m.HopOutcome.DONE, duration_ms=20000)
    scenario.arrive("k1")
    scenario.end_hop(scenario.arrive("k1"), m.HopOutcome.DONE)
    scenario.matches("overflow")


def test_balancers_spread_a_hot_key_over_hosts_and_each_uses_one() -> None:
    all_hosts: set[int] = set()
    using_one = 0
    for index in range(0, 200, 20):
        scenario = Scenario(60, balancer_count=200, balancer_index=index)
        for n in range(60):
            scenario.end_hop(scenario.arrive("hot" if n % 4 == 0 else f"k{n}"), m.HopOutcome.DONE)
        scenario.trace.clear()
        hosts = {scenario.hops[scenario.arrive("hot")][0] for _ in range(2)}
        using_one += len(hosts) == 1
        all_hosts |= hosts
    assert using_one >= 8 and len(all_hosts) >= 4


def test_one_of_many_balancers_paces_its_fetches() -> None:
    """200 balancers with one concurrent fetch each would overload an origin that can do ten at a time."""
    scenario = Scenario(3, origin=True, balancer_count=200)
    for n in range(20):
        scenario.arrive(f"w{n}", profile=1)
        scenario.run(50)
        for tx in list(scenario.hops):
            if tx in scenario.balancer.txs:
                scenario.end_hop(tx, m.HopOutcome.DONE, duration_ms=50)
    scenario.matches("paced")


def test_a_small_part_of_a_share_still_allows_whole_transactions() -> None:
    scenario = Scenario(2, quotas=(40.0,), balancer_count=200)
    over_share = []
    for _ in range(12):
        tx = scenario.arrive("k1", share=0)
        over_share.append(scenario.balancer.txs[tx].over_share)
        scenario.end_hop(tx, m.HopOutcome.DONE)
        scenario.run(4000)
    assert over_share.count(True) <= 2


def test_broken_connections_do_not_cut_the_origin_limit() -> None:
    """The limit must not fall because hosts lose responses while every fetch that is answered is in time."""
    scenario = Scenario(6)
    warm_up(scenario)
    for n in range(6):
        scenario.end_hop(scenario.arrive(f"w{n}", profile=2), m.HopOutcome.RESET)
    scenario.end_hop(scenario.arrive("w6", profile=2), m.HopOutcome.DONE)
    assert scenario.balancer.origin_limit >= INITIAL_ORIGIN_LIMIT / 2 and not scenario.balancer.origin_paused_until
    scenario.matches("origin_kept")


def test_random_failures_eject_no_healthy_host_but_silence_does() -> None:
    """At 50 hops per second with one in ten lost, two consecutive failures of a host happen by chance."""
    scenario = Scenario(5)

    def lose(key: str) -> None:
        tx = scenario.arrive(key)
        scenario.end_hop(tx, m.HopOutcome.RESET)
        scenario.end_hop(tx, m.HopOutcome.DONE, hop=1)

    warm_up(scenario)
    for n in range(300):
        scenario.end_hop(scenario.arrive(f"k{n % 40}"), m.HopOutcome.DONE) if n % 10 else lose(f"k{n % 40}")
        scenario.run(5)
    home = scenario.hops[scenario.arrive("k1")][0]
    scenario.end_hop(scenario.last_tx, m.HopOutcome.DONE)
    for _ in range(3):
        lose("k1")
    assert not any(h.ejected_until for h in scenario.balancer.ready)
    scenario.end_hop(scenario.arrive("k1"), m.HopOutcome.DONE)
    scenario.run(1)
    for tx in [scenario.arrive(f"k{n}") for n in range(40)]:
        if scenario.hops[tx] != [home]:
            scenario.end_hop(tx, m.HopOutcome.DONE)
    scenario.run(400)
    assert [h.index for h in scenario.balancer.ready if h.ejected_until] == [home]


def test_ten_slow_responses_are_no_overload_where_hops_are_frequent() -> None:
    """At 200 hops per second, ten slow responses may be chance and must not look like an overload."""
    rare, frequent = Scenario(4), Scenario(4)
    for scenario, pause in ((rare, 1000), (frequent, 5)):
        warm_up(scenario, pause=pause)
        for n in range(10):
            scenario.end_hop(scenario.arrive(f"k{n}"), m.HopOutcome.DONE, duration_ms=60)
    assert frequent.balancer.mean_duration < 30 * MS < rare.balancer.mean_duration


def test_a_lost_response_shows_by_later_ones_and_is_requested_again_at_the_same_host() -> None:
    """Cache hosts may lose one response in four while the others are as fast as ever."""
    scenario = Scenario(4)
    warm_up(scenario)
    scenario.balancer.unseen_hit_ratio = 0.5  # reads without a known copy are expected to fetch
    mean_duration, limit = scenario.balancer.mean_duration, scenario.balancer.origin_limit
    late, fetch = scenario.arrive("k1"), scenario.arrive("x1")
    for n in range(100):
        scenario.run(4)
        scenario.end_hop(scenario.arrive(f"k{n % 40}"), m.HopOutcome.DONE)
        if n == 10:
            scenario.end_hop(scenario.arrive("x2"), m.HopOutcome.DONE, cache_result=2)
    assert [scenario.hops[tx] for tx in (late, fetch)] == [[scenario.hops[tx][0]] * 2 for tx in (late, fetch)]
    scenario.run(1000)
    scenario.end_hop(late, m.HopOutcome.TIMED_OUT, duration_ms=600)
    scenario.end_hop(fetch, m.HopOutcome.TIMED_OUT, duration_ms=600)
    assert scenario.balancer.mean_duration == mean_duration and scenario.balancer.origin_limit >= limit
    assert not any(h.ejected_until for h in scenario.balancer.ready)


def test_an_immediate_connection_failure_costs_no_extra_hop_token() -> None:
    """Cache hosts may reset one idle connection in six; retries after that must not use up the budget."""
    scenario = Scenario(5)
    warm_up(scenario)
    scenario.balancer.extra_hop_tokens, scenario.balancer.mean_duration = 0.0, 100.0 * MS
    for outcome, after_ms in (
        (m.HopOutcome.RESET, 3),
        (m.HopOutcome.UNREACHABLE, 3),
        (m.HopOutcome.RESET, 60),
        (m.HopOutcome.ERROR, 3),
    ):
        tx = scenario.arrive("k1")
        scenario.run(after_ms)
        scenario.end_hop(tx, outcome, duration_ms=after_ms)
        scenario.balancer.extra_hop_tokens = 0.0
    scenario.matches("broken_at_once")


def test_a_write_goes_to_the_fastest_host_if_its_own_would_be_slow_and_a_read_stays() -> None:
    scenario = Scenario(4)
    warm_up(scenario)
    home = scenario.hops[scenario.arrive("k1")][0]
    scenario.end_hop(scenario.last_tx, m.HopOutcome.DONE)
    others = [f"k{k}" for k in range(40) if scenario.hops[361 + k][0] != home]
    for key in ["k1", *others[:20]] * 20:
        scenario.end_hop(scenario.arrive(key), m.HopOutcome.DONE, duration_ms=300 if key == "k1" else 10)
    read = scenario.hops[scenario.arrive("k1")]
    scenario.end_hop(scenario.last_tx, m.HopOutcome.DONE, duration_ms=300)
    write = scenario.hops[scenario.arrive("k1", profile=2)]
    assert read == [home] and write != [home]
