"""The ordinary path, and one trace for each failure found."""

from ternquay import model as m
from ternquay.balance import INITIAL_ORIGIN_LIMIT, MS, RANGE_COUNT
from ternquay.numeric import text_hash

from .helper import Play, line


def settle(p: Play, keys: int = 40, rounds: int = 10, pause: int = 5) -> None:
    for n in range(keys * rounds):
        p.end(p.arrive(f"k{n % keys}"), m.HopOutcome.DONE)
        p.run(pause)
    p.trace.clear()


def test_a_key_keeps_its_host_and_one_host_less_moves_only_its_own() -> None:
    p = Play(5)
    settle(p)
    before = {f"k{n}": p.hops[p.tx - 39 + n][0] for n in range(40)}
    p.list(line(2, m.HostStatus.GONE))
    settle(p, rounds=1)
    after = {f"k{n}": p.hops[p.tx - 39 + n][0] for n in range(40)}
    moved = [k for k in before if before[k] != after[k]]
    assert moved and all(before[k] == 2 for k in moved)


def test_two_balancers_agree_whatever_their_seeds() -> None:
    one, two = Play(6, seed=1), Play(6, seed=2)
    for p in (one, two):
        settle(p, rounds=1)
    assert one.hops == two.hops


def test_the_gain_score_moves_a_range_only_past_its_affinity() -> None:
    p = Play()
    b = p.balancer
    small, large = b._range_of(1), b._range_of(1 << 63)
    small.group, small.accesses, large.group, large.accesses = 0, 1, 1, 300
    for group in range(len(b.group_loads)):
        b.group_loads.add(group, 10 if group == 7 else 1000)
    b._assign_group(small)
    b._assign_group(large)
    assert (small.group, large.group) == (7, 1)


def test_hot_keys_become_ranges_of_their_own_and_fold_back() -> None:
    p = Play()
    for n in range(600):
        p.end(p.arrive("hot" if n % 2 else f"k{n}"), m.HopOutcome.DONE)
    hot = text_hash("hot")
    assert list(p.balancer.hot_keys) == [hot]
    for n in range(5000):
        p.end(p.arrive(f"k{n}"), m.HopOutcome.DONE)
    assert hot not in p.balancer.hot_keys and sum(p.balancer.group_loads) == len(p.balancer.window)
    assert all(0 <= number < RANGE_COUNT for number in p.balancer.ranges)
    # Kept, as a search for it at each of 512 placements held up everything for 20 ms.
    assert p.balancer.group_loads.min_load == min(p.balancer.group_loads)


def test_a_crowded_host_spills_and_the_spill_stays_where_it_went() -> None:
    p = Play(3)
    settle(p)
    for _ in range(8):
        p.arrive("k1")
    p.matches("spill")


def test_failures_in_a_row_take_a_host_out_and_trial_traffic_brings_it_back() -> None:
    p = Play(4)
    settle(p)
    for _ in range(3):
        p.end(p.arrive("k1"), m.HopOutcome.RESET)
    p.arrive("k1")
    p.run(1100)
    p.end(p.arrive("k1"), m.HopOutcome.DONE)
    p.end(p.arrive("k1"), m.HopOutcome.DONE)
    p.matches("out_and_back")


def test_a_fleet_wide_failure_takes_nobody_out() -> None:
    p = Play(4)
    settle(p)
    for n in range(40):
        p.end(p.arrive(f"k{n}"), m.HopOutcome.RESET)
    out = sum(h.ejected_until > p.now for h in p.balancer.ready)
    assert out <= 1


def test_a_late_hop_gets_a_second_copy_once_its_host_is_taken_out() -> None:
    p = Play()
    settle(p)
    tx = p.arrive("k3")
    others = [k for k in range(40) if k != 3 and p.hops[361 + k] == p.hops[tx]]
    for other in others[:2]:
        p.arrive(f"k{other}")
    p.run(400)
    second = max(p.hops, key=lambda t: len(p.hops[t]))
    p.end(second, m.HopOutcome.DONE, hop=1, took=10)
    p.end(second, m.HopOutcome.CANCELLED)
    p.matches("second_copy")


def test_not_in_time_is_rolled_back_at_once_but_for_one_on_trial() -> None:
    p = Play(1)
    settle(p, pause=400)
    p.end(p.arrive("k1"), m.HopOutcome.DONE, took=5000)
    trial = p.arrive("k1")
    p.arrive("k1")
    p.end(trial, m.HopOutcome.DONE)
    p.run(5000)
    p.arrive("k1")
    p.arrive("k1")
    p.matches("not_in_time")


def test_a_try_whose_goal_has_passed_is_not_sent() -> None:
    p = Play()
    p.end(p.arrive(), m.HopOutcome.DONE)
    p.arrive(ttl=700, again=True)
    p.matches("goal_passed")


def test_what_is_beyond_its_share_needs_more_room() -> None:
    p = Play(1)
    settle(p, pause=400)
    p.end(p.arrive("k1"), m.HopOutcome.DONE, took=900)
    for _ in range(10):
        tx = p.arrive("k1", share=0)
        if tx in p.hops:
            p.end(tx, m.HopOutcome.DONE, took=188)
    p.arrive("k1", share=1)
    p.matches("share")


def test_aside_what_is_not_there_comes_from_the_origin() -> None:
    p = Play(3, origin=True)
    first, second = p.arrive(), p.arrive()
    p.end(first, m.HopOutcome.MISS)
    p.end(second, m.HopOutcome.MISS)
    p.end(first, m.HopOutcome.DONE, hop=1)
    p.end(second, m.HopOutcome.ERROR, hop=1)
    p.matches("aside_miss")


def test_aside_writes_go_to_the_origin_and_not_without_it() -> None:
    p = Play(3, origin=True)
    p.end(p.arrive(profile=1), m.HopOutcome.DONE)
    p.list(line(9, m.HostStatus.GONE, kind=1))
    p.arrive(profile=1)
    p.matches("aside_writes")


def test_through_unknown_copies_pass_the_gate_and_not_while_the_origin_rests() -> None:
    """Against an origin that answers each of many fetches at once, with an error."""
    p = Play(3)
    for n in range(3):
        p.end(p.arrive(f"k{n}"), m.HopOutcome.ERROR, note=2)
    p.arrive("k4")
    p.arrive("k5", profile=2)
    p.run(2500)
    p.end(p.arrive("k4"), m.HopOutcome.DONE, note=2)
    p.arrive("k4")
    p.matches("through_rest")


def test_one_heavy_answer_does_not_close_the_origin() -> None:
    p = Play(3, origin=True)
    for n in range(30):
        p.end(p.arrive(f"w{n}", profile=1), m.HopOutcome.DONE, took=2000 if n == 20 else 50)
    assert p.balancer.origin_limit >= INITIAL_ORIGIN_LIMIT / 2


def test_an_origin_late_in_the_mean_is_asked_less() -> None:
    p = Play(3, origin=True)
    for n in range(30):
        p.end(p.arrive(f"w{n}", profile=1), m.HopOutcome.DONE, took=900)
        p.run(50)
    assert p.balancer.origin_limit < 8


def test_nowhere_to_go_is_answered_at_once() -> None:
    p = Play(0)
    for profile in range(4):
        p.arrive(profile=profile)
    p.arrive(key=None)
    p.list(whole=True)
    p.arrive()
    p.matches("nowhere")


def test_a_silent_or_lost_list_is_asked_for_again_and_again_later() -> None:
    p = Play(2, watch_list=True)
    for _ in range(4):
        p.feed("list lost", m.ListUnavailable())
        p.run(9000)
    p.arrive()
    p.matches("list_lost")


def test_no_key_goes_to_the_less_busy_of_two() -> None:
    p = Play(3)
    for _ in range(6):
        p.arrive(key=None)
    p.matches("no_key")


def test_events_of_ended_or_unknown_transactions_are_passed_over() -> None:
    p = Play()
    tx = p.arrive()
    p.end(tx, m.HopOutcome.DONE)
    p.end(tx, m.HopOutcome.DONE)
    p.end(99, m.HopOutcome.ERROR)
    p.feed("gone 99", m.ClientGone(99))
    p.run(1000)
    p.matches("passed_over")


def test_a_cold_host_out_of_budget_spills_and_rolls_nothing_back() -> None:
    p = Play(4)
    settle(p)
    p.list(line(1, since=p.now - 12_000_000_000))
    p.trace.clear()
    for n in range(40):
        p.end(p.arrive(f"k{n}"), m.HopOutcome.DONE)
    assert not any("roll back" in said for said in p.trace)


def test_a_balancer_started_in_a_release_learns_what_warm_hosts_take() -> None:
    """Against cold hosts that get one hop a window for as long as most of the fleet is cold."""
    p = Play(4)
    p.list(*(line(h, since=p.now - 15_000_000_000) for h in (1, 2, 3)))
    settle(p, rounds=20)
    assert p.balancer.rate_per_weight > 10


def test_time_outs_feed_the_estimate() -> None:
    """Against a fleet so crowded that only its quickest answers would be counted."""
    p = Play(1, parallel_hops=False)
    settle(p)
    for _ in range(8):
        p.arrive("k1")
    for tx in range(p.tx - 7, p.tx + 1):
        p.end(tx, m.HopOutcome.TIMED_OUT, took=5000)
    p.arrive("k1")
    p.arrive("k2")
    p.matches("crowded_fleet")


def test_a_host_that_turns_everything_away_is_left_and_costs_no_further_hop() -> None:
    """Against a draining host of which the list is silent for seconds."""
    p = Play(3)
    settle(p)
    p.balancer.extra_hop_tokens = 0.0
    for _ in range(3):
        tx = p.arrive("k1")
        if p.hops[tx] == p.hops[tx - 1] or not p.trace[1:]:
            p.end(tx, m.HopOutcome.FULL)
    p.matches("turned_away")


def test_aside_what_no_host_answers_in_time_the_origin_may() -> None:
    p = Play(1, origin=True)
    settle(p)
    p.end(p.arrive("k1"), m.HopOutcome.DONE, took=20000)
    p.arrive("k1")
    p.end(p.arrive("k1"), m.HopOutcome.DONE)
    p.matches("overflow")


def test_balancers_spread_a_hot_key_over_its_places_and_each_keeps_to_one() -> None:
    places: set[int] = set()
    kept = 0
    for number in range(0, 200, 20):
        p = Play(60, balancer_count=200, balancer_index=number)
        for n in range(60):
            p.end(p.arrive("hot" if n % 4 == 0 else f"k{n}"), m.HopOutcome.DONE)
        p.trace.clear()
        hosts = {p.hops[p.arrive("hot")][0] for _ in range(2)}
        kept += len(hosts) == 1
        places |= hosts
    assert kept >= 8 and len(places) >= 4


def test_one_of_many_balancers_paces_its_fetches() -> None:
    """Against 200 balancers with a place each at an origin that can do ten fetches at a time."""
    p = Play(3, origin=True, balancer_count=200)
    for n in range(20):
        p.arrive(f"w{n}", profile=1)
        p.run(50)
        for tx in list(p.hops):
            if tx in p.balancer.txs:
                p.end(tx, m.HopOutcome.DONE, took=50)
    p.matches("paced")


def test_a_part_of_a_share_under_one_tx_still_holds_whole_ones() -> None:
    p = Play(2, quotas=(40.0,), balancer_count=200)
    over = []
    for _ in range(12):
        tx = p.arrive("k1", share=0)
        over.append(p.balancer.txs[tx].over_share)
        p.end(tx, m.HopOutcome.DONE)
        p.run(4000)
    assert over.count(True) <= 2


def test_connections_that_break_under_fetches_tell_nothing_of_the_origin() -> None:
    """Against a gate that closes on hosts that lose answers, while every fetch that comes back is in time."""
    p = Play(6)
    settle(p)
    for n in range(6):
        p.end(p.arrive(f"w{n}", profile=2), m.HopOutcome.RESET)
    p.end(p.arrive("w6", profile=2), m.HopOutcome.DONE)
    assert p.balancer.origin_limit >= INITIAL_ORIGIN_LIMIT / 2 and not p.balancer.origin_paused_until
    p.matches("origin_kept")


def test_failures_by_chance_leave_no_healthy_host_out_but_silence_does() -> None:
    """Against two in a row out of fifty hops a second, when one in ten is lost wherever it goes."""
    p = Play(5)

    def lose(key: str) -> None:
        tx = p.arrive(key)
        p.end(tx, m.HopOutcome.RESET)
        p.end(tx, m.HopOutcome.DONE, hop=1)

    settle(p)
    for n in range(300):
        p.end(p.arrive(f"k{n % 40}"), m.HopOutcome.DONE) if n % 10 else lose(f"k{n % 40}")
        p.run(5)
    home = p.hops[p.arrive("k1")][0]
    p.end(p.tx, m.HopOutcome.DONE)
    for _ in range(3):
        lose("k1")
    assert not any(h.ejected_until for h in p.balancer.ready)
    p.end(p.arrive("k1"), m.HopOutcome.DONE)
    p.run(1)
    for tx in [p.arrive(f"k{n}") for n in range(40)]:
        if p.hops[tx] != [home]:
            p.end(tx, m.HopOutcome.DONE)
    p.run(400)
    assert [h.index for h in p.balancer.ready if h.ejected_until] == [home]


def test_where_hops_are_many_ten_slow_answers_are_no_crowd() -> None:
    """Against a crowd and slow hosts seen by chance, at two hundred hops a second."""
    rare, many = Play(4), Play(4)
    for p, pause in ((rare, 1000), (many, 5)):
        settle(p, pause=pause)
        for n in range(10):
            p.end(p.arrive(f"k{n}"), m.HopOutcome.DONE, took=60)
    assert many.balancer.mean_duration < 30 * MS < rare.balancer.mean_duration


def test_an_answer_that_later_ones_overtook_is_lost_and_asked_for_again_where_the_key_lies() -> None:
    """Against cache hosts that lose one answer in four: the others of theirs come back as fast as ever."""
    p = Play(4)
    settle(p)
    p.balancer.unseen_hit_ratio = 0.5  # unknown keys are fetched
    took, limit = p.balancer.mean_duration, p.balancer.origin_limit
    late, fetch = p.arrive("k1"), p.arrive("x1")
    for n in range(100):
        p.run(4)
        p.end(p.arrive(f"k{n % 40}"), m.HopOutcome.DONE)
        if n == 10:
            p.end(p.arrive("x2"), m.HopOutcome.DONE, note=2)
    assert [p.hops[tx] for tx in (late, fetch)] == [[p.hops[tx][0]] * 2 for tx in (late, fetch)]
    p.run(1000)
    p.end(late, m.HopOutcome.TIMED_OUT, took=600)
    p.end(fetch, m.HopOutcome.TIMED_OUT, took=600)
    assert p.balancer.mean_duration == took and p.balancer.origin_limit >= limit
    assert not any(h.ejected_until for h in p.balancer.ready)


def test_a_connection_that_breaks_at_once_costs_nothing_of_the_budget_for_further_hops() -> None:
    """Against cache hosts that reset one kept connection in six, on a day with room for every further hop."""
    p = Play(5)
    settle(p)
    p.balancer.extra_hop_tokens, p.balancer.mean_duration = 0.0, 100.0 * MS
    for end, after in (
        (m.HopOutcome.RESET, 3),
        (m.HopOutcome.UNREACHABLE, 3),
        (m.HopOutcome.RESET, 60),
        (m.HopOutcome.ERROR, 3),
    ):
        tx = p.arrive("k1")
        p.run(after)
        p.end(tx, end, took=after)
        p.balancer.extra_hop_tokens = 0.0
    p.matches("broken_at_once")


def test_a_write_whose_home_would_be_late_goes_where_it_is_soonest_and_a_read_stays() -> None:
    p = Play(4)
    settle(p)
    home = p.hops[p.arrive("k1")][0]
    p.end(p.tx, m.HopOutcome.DONE)
    others = [f"k{k}" for k in range(40) if p.hops[361 + k][0] != home]
    for key in ["k1", *others[:20]] * 20:
        p.end(p.arrive(key), m.HopOutcome.DONE, took=300 if key == "k1" else 10)
    read = p.hops[p.arrive("k1")]
    p.end(p.tx, m.HopOutcome.DONE, took=300)
    write = p.hops[p.arrive("k1", profile=2)]
    assert read == [home] and write != [home]
