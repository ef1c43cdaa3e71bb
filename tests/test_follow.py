"""Steps through the page's clocks: whenever a watch falls silent, what it missed is known before it counts as told."""

from dataclasses import replace
from random import Random

import pytest

from ternquay import model as m
from ternquay.balance import Balancer
from ternquay.net.follow import Failure, Follow
from ternquay.net.limits import MS, SECOND, Limits, fill
from tests.helper import START, T0

PROFILE = {"Name": "read", "Semantics": "repeatable", "ServiceGoal": 150_000, "HardLimit": 500_000}
SILENCE = 6 * SECOND
ROOM = SECOND // 2  # before it counts as told


def limits(must_ask: int | None = None, grace: int = 500) -> Limits:
    rules = {"DrainGrace": grace * 1000} | ({"MustAskIn": must_ask * 1000} if must_ask else {})
    return fill({"Limits": {}, "Profiles": [PROFILE], "Invariants": rules}, 512, 96)


def known(follow: Follow, start: int, silent: int, late: int, down: tuple[int, int] = (0, 0)) -> tuple[int, int]:
    """When the watch that fell silent was begun, and when something answered after that; all answers come so late."""
    now, begun, struck = start, 0, False
    while True:
        ask = follow.ask()
        silent = silent if struck else max(silent, now)  # between two calls there is no watch to fall silent
        if not struck and silent < now + ask.wait + late:
            struck, begun = True, now
            now += ask.patience
            failed = Failure.SILENT
        elif down[0] <= now < down[1]:
            failed = Failure.ENDED
        else:
            now += ask.wait + late
            if struck:
                return begun, now
            now += follow.answered(ask.wait + late, False)
            continue
        now += follow.failed(now, failed)


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("must_ask", [None, 200, 1000, 4000, 10_000, 120_000])
@pytest.mark.parametrize("late", [0, 30 * MS, 400 * MS])
def test_what_a_silent_watch_misses_is_known_before_it_counts_as_told(
    pushed: bool, must_ask: int | None, late: int
) -> None:
    for seed in range(200):
        draw = Random(seed)
        follow = Follow(limits(must_ask), draw, pushed)
        silent = int(draw.random() * 12 * SECOND) + 1
        begun, at = known(follow, 0, silent, late)
        told = max(silent + SILENCE, begun + follow.limits.watch + 2 * SECOND)
        assert at <= told - ROOM, (seed, silent / SECOND, begun / SECOND, at / SECOND)


def test_a_discovery_that_turns_calls_away_for_a_second_meanwhile_is_asked_until_it_answers() -> None:
    for seed in range(200):
        draw = Random(seed)
        silent = 4 * SECOND + int(draw.random() * 2 * SECOND)
        begun, at = known(Follow(limits(10_000), draw, False), 0, silent, 20 * MS, (silent, silent + 4 * SECOND))
        assert at <= silent + SILENCE - ROOM, (seed, begun, at)


def test_a_watch_of_a_quick_discovery_is_found_silent_sooner_and_one_with_a_queue_is_not_given_up() -> None:
    follow = Follow(limits(10_000), Random(1), False)
    for late, least, most in ((5, 250, 260), (400, 600, 1000)):
        for _ in range(100):
            ask = follow.ask()
            follow.answered(ask.wait + late * MS + int(follow.draw.random() * late / 2) * MS, False)
        assert least * MS <= follow.slack() <= most * MS, follow.slack()


REFUSED, TURNED_AWAY, UNREACHED, SILENT = 0, 1, 2, 3  # how a call ends while discovery can't be reached
CONNECTING = SECOND  # given to a connection that does not come up


def asked_again(follow: Follow, draw: Random, back: int, how: int, answers: int) -> int:
    """When the first call is answered that could be, all before `back` having ended so."""
    now = 0
    while True:
        ask = follow.ask()
        if now >= back:
            return now + answers
        now += {REFUSED: 0, TURNED_AWAY: int(draw.random() * SECOND), UNREACHED: CONNECTING, SILENT: ask.patience}[how]
        now += follow.failed(now, Failure.SILENT if how == SILENT else Failure.ENDED)


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("must_ask", [None, 200, 10_000, 120_000])
@pytest.mark.parametrize("how", [REFUSED, TURNED_AWAY, UNREACHED, SILENT])
def test_whatever_failed_before_the_list_is_known_six_seconds_after_discovery_can_be_reached(
    pushed: bool, must_ask: int | None, how: int
) -> None:
    for seed in range(300):
        draw = Random(seed)
        back = int(draw.random() * 40 * SECOND)
        follow = Follow(limits(must_ask), draw, pushed)
        if seed % 2:
            follow.answered(0, True)  # the first to fail is a watch that went on
        at = asked_again(follow, draw, back, how, answers=SECOND)
        assert at <= back + SILENCE - ROOM, (seed, back / SECOND, at / SECOND)


def test_calls_that_fail_grow_rare_and_where_lists_are_pushed_stay_within_the_grace() -> None:
    asked, pushed = Follow(limits(10_000), Random(2), False), Follow(limits(10_000, 400), Random(2), True)
    pauses = [pushed.failed(SECOND, Failure.ENDED) for _ in range(20)]
    assert all(pause <= 300 * MS for pause in pauses), pauses
    assert all(pause >= 100 * MS for pause in pauses[3:]), pauses
    pauses = [asked.failed(SECOND, Failure.ENDED) for _ in range(200)]
    assert 250 * MS <= pauses[0] <= 750 * MS and all(500 * MS <= pause <= 1500 * MS for pause in pauses[2:]), pauses
    assert 0.9 * SECOND < sum(pauses[2:]) / 198 < 1.1 * SECOND  # no more than so many calls a second of many balancers
    # One that never answers is not hurried after for ever.
    asked = Follow(limits(10_000), Random(2), False)
    assert asked.failed(SECOND, Failure.SILENT) == 0
    assert asked.failed(2 * SECOND, Failure.SILENT) <= 375 * MS
    assert [asked.failed(at * SECOND, Failure.SILENT) >= 250 * MS for at in (14, 20, 26)] == [True] * 3


def test_where_lists_are_asked_for_no_wait_is_longer_than_the_list_that_is_held_counts() -> None:
    for must_ask in (SECOND // 2, 2 * SECOND, 60 * SECOND):
        balancer = Balancer(replace(START, watch_list=True, list_max_age=must_ask))
        waits = []
        for _ in range(12):
            balancer.decide(T0, m.ListUnavailable())
            waits.append(max(at for at, _, what in balancer.wakes.heap if what == -2) - T0)
        assert waits[0] <= SECOND and max(waits) <= min(must_ask * 4 // 5, 8 * SECOND), waits


def test_a_queue_that_is_longer_than_one_call_waits_is_waited_for_while_others_are_made() -> None:
    follow = Follow(limits(10_000), Random(3), False)
    for n in range(6):
        ask = follow.ask()
        assert ask.patience < 3 * SECOND and ask.kept > 10 * SECOND
        follow.failed(n * 3 * SECOND, Failure.SILENT)
    follow.answered(50 * MS, False)
    assert follow.ask().kept == follow.asked.patience < 4 * SECOND  # a watch that has fallen silent is broken


def test_watches_that_end_together_do_not_stay_together() -> None:
    waits = {Follow(limits(10_000), Random(n), False) for n in range(200)}
    for follow in waits:
        follow.answered(0, True)
    at = sorted(follow.ask().wait for follow in waits)
    assert at[-1] - at[0] > 400 * MS and at[-1] <= 2 * SECOND
