"""Steps through the page's clocks: whenever a watch falls silent, what it missed is known before it counts as told."""

from dataclasses import replace
from random import Random

import pytest

from ternquay import model as m
from ternquay.balance import Balancer
from ternquay.net.limits import MS, SECOND, Limits, derive_limits
from ternquay.net.watch_schedule import CallFailure, WatchSchedule
from tests.helper import CONFIG, T0

PROFILE = {"Name": "read", "Semantics": "repeatable", "ServiceGoal": 150_000, "HardLimit": 500_000}
SILENCE = 6 * SECOND
ROOM = SECOND // 2  # before it counts as told


def limits(must_ask: int | None = None, grace: int = 500) -> Limits:
    rules = {"DrainGrace": grace * 1000} | ({"MustAskIn": must_ask * 1000} if must_ask else {})
    return derive_limits({"Limits": {}, "Profiles": [PROFILE], "Invariants": rules}, 512, 96)


def known(
    schedule: WatchSchedule, start: int, silent: int, late: int, down: tuple[int, int] = (0, 0)
) -> tuple[int, int]:
    """When the watch that fell silent was begun, and when something answered after that; all answers come so late."""
    now, begun, struck = start, 0, False
    while True:
        times = schedule.next_call()
        silent = silent if struck else max(silent, now)  # between two calls there is no watch to fall silent
        if not struck and silent < now + times.wait + late:
            struck, begun = True, now
            now += times.timeout
            failed = CallFailure.SILENT
        elif down[0] <= now < down[1]:
            failed = CallFailure.NO_ANSWER
        else:
            now += times.wait + late
            if struck:
                return begun, now
            now += schedule.answered(times.wait + late, False)
            continue
        now += schedule.failed(now, failed)


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("must_ask", [None, 200, 1000, 4000, 10_000, 120_000])
@pytest.mark.parametrize("late", [0, 30 * MS, 400 * MS])
def test_what_a_silent_watch_misses_is_known_before_it_counts_as_told(
    pushed: bool, must_ask: int | None, late: int
) -> None:
    for seed in range(200):
        draw = Random(seed)
        schedule = WatchSchedule(limits(must_ask), draw, pushed)
        silent = int(draw.random() * 12 * SECOND) + 1
        begun, at = known(schedule, 0, silent, late)
        told = max(silent + SILENCE, begun + schedule.limits.watch_wait + 2 * SECOND)
        assert at <= told - ROOM, (seed, silent / SECOND, begun / SECOND, at / SECOND)


def test_a_discovery_that_turns_calls_away_for_a_second_meanwhile_is_asked_until_it_answers() -> None:
    for seed in range(200):
        draw = Random(seed)
        silent = 4 * SECOND + int(draw.random() * 2 * SECOND)
        begun, at = known(WatchSchedule(limits(10_000), draw, False), 0, silent, 20 * MS, (silent, silent + 4 * SECOND))
        assert at <= silent + SILENCE - ROOM, (seed, begun, at)


def test_a_watch_of_a_quick_discovery_is_found_silent_sooner_and_one_with_a_queue_is_not_given_up() -> None:
    schedule = WatchSchedule(limits(10_000), Random(1), False)
    for late, least, most in ((5, 250, 260), (400, 600, 1000)):
        for _ in range(100):
            times = schedule.next_call()
            schedule.answered(times.wait + late * MS + int(schedule.draw.random() * late / 2) * MS, False)
        assert least * MS <= schedule.answer_slack() <= most * MS, schedule.answer_slack()


REFUSED, TURNED_AWAY, UNREACHED, SILENT = 0, 1, 2, 3  # how a call ends while discovery can't be reached
CONNECTING = SECOND  # given to a connection that does not come up


def asked_again(schedule: WatchSchedule, draw: Random, back: int, how: int, answers: int) -> int:
    """When the first call is answered that could be, all before `back` having ended so."""
    now = 0
    while True:
        times = schedule.next_call()
        if now >= back:
            return now + answers
        now += {REFUSED: 0, TURNED_AWAY: int(draw.random() * SECOND), UNREACHED: CONNECTING, SILENT: times.timeout}[how]
        now += schedule.failed(now, CallFailure.SILENT if how == SILENT else CallFailure.NO_ANSWER)


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("must_ask", [None, 200, 10_000, 120_000])
@pytest.mark.parametrize("how", [REFUSED, TURNED_AWAY, UNREACHED, SILENT])
def test_whatever_failed_before_the_list_is_known_six_seconds_after_discovery_can_be_reached(
    pushed: bool, must_ask: int | None, how: int
) -> None:
    for seed in range(300):
        draw = Random(seed)
        back = int(draw.random() * 40 * SECOND)
        schedule = WatchSchedule(limits(must_ask), draw, pushed)
        if seed % 2:
            schedule.answered(0, True)  # the first to fail is a watch that went on
        at = asked_again(schedule, draw, back, how, answers=SECOND)
        assert at <= back + SILENCE - ROOM, (seed, back / SECOND, at / SECOND)


def test_calls_that_fail_grow_rare_and_where_lists_are_pushed_stay_within_the_grace() -> None:
    asked, pushed = WatchSchedule(limits(10_000), Random(2), False), WatchSchedule(limits(10_000, 400), Random(2), True)
    pauses = [pushed.failed(SECOND, CallFailure.NO_ANSWER) for _ in range(20)]
    assert all(pause <= 300 * MS for pause in pauses), pauses
    assert all(pause >= 100 * MS for pause in pauses[3:]), pauses
    pauses = [asked.failed(SECOND, CallFailure.NO_ANSWER) for _ in range(200)]
    assert 250 * MS <= pauses[0] <= 750 * MS and all(500 * MS <= pause <= 1500 * MS for pause in pauses[2:]), pauses
    assert 0.9 * SECOND < sum(pauses[2:]) / 198 < 1.1 * SECOND  # no more than so many calls a second of many balancers
    # One that never answers is not hurried after for ever.
    asked = WatchSchedule(limits(10_000), Random(2), False)
    assert asked.failed(SECOND, CallFailure.SILENT) == 0
    assert asked.failed(2 * SECOND, CallFailure.SILENT) <= 375 * MS
    assert [asked.failed(at * SECOND, CallFailure.SILENT) >= 250 * MS for at in (14, 20, 26)] == [True] * 3


def test_where_lists_are_asked_for_no_wait_is_longer_than_the_list_that_is_held_counts() -> None:
    for must_ask in (SECOND // 2, 2 * SECOND, 60 * SECOND):
        balancer = Balancer(replace(CONFIG, watch_list=True, list_max_age=must_ask))
        waits = []
        for _ in range(12):
            balancer.decide(T0, m.ListUnavailable())
            waits.append(max(at for at, _, what in balancer.timers.heap if what == -2) - T0)
        assert waits[0] <= SECOND and max(waits) <= min(must_ask * 4 // 5, 8 * SECOND), waits


def test_a_queue_that_is_longer_than_one_call_waits_is_waited_for_while_others_are_made() -> None:
    schedule = WatchSchedule(limits(10_000), Random(3), False)
    for n in range(6):
        times = schedule.next_call()
        assert times.timeout < 3 * SECOND and times.kept_for > 10 * SECOND
        schedule.failed(n * 3 * SECOND, CallFailure.SILENT)
    schedule.answered(50 * MS, False)
    # A watch that has fallen silent is broken, so an answer to it is not kept.
    assert schedule.next_call().kept_for == schedule.current.timeout < 4 * SECOND


def test_watches_that_end_together_do_not_stay_together() -> None:
    waits = {WatchSchedule(limits(10_000), Random(n), False) for n in range(200)}
    for schedule in waits:
        schedule.answered(0, True)
    at = sorted(schedule.next_call().wait for schedule in waits)
    assert at[-1] - at[0] > 400 * MS and at[-1] <= 2 * SECOND
