"""The schedule of calls to discovery: a change that a silent watch missed is known before it counts as delivered."""

from dataclasses import replace
from random import Random

import pytest

from ternquay import model as m
from ternquay.balance import Balancer
from ternquay.net.limits import MS, SECOND, Limits, derive_limits
from ternquay.net.watch_schedule import CallFailure, WatchSchedule
from tests.helper import CONFIG, T0

PROFILE = {"Name": "read", "Semantics": "repeatable", "ServiceGoal": 150_000, "HardLimit": 500_000}
SILENCE_NS = 6 * SECOND
MARGIN_NS = SECOND // 2  # before the change counts as delivered


def limits(must_ask: int | None = None, grace: int = 500) -> Limits:
    rules = {"DrainGrace": grace * 1000} | ({"MustAskIn": must_ask * 1000} if must_ask else {})
    return derive_limits({"Limits": {}, "Profiles": [PROFILE], "Invariants": rules}, 512, 96)


def follow_silent_watch(
    schedule: WatchSchedule, start: int, silent: int, late: int, down: tuple[int, int] = (0, 0)
) -> tuple[int, int]:
    """Returns when the watch that fell silent began, and when the next response arrived. All responses are `late`."""
    now, begun, silenced = start, 0, False
    while True:
        times = schedule.next_call()
        silent = silent if silenced else max(silent, now)  # there is no watch to fall silent between two calls
        if not silenced and silent < now + times.wait + late:
            silenced, begun = True, now
            now += times.timeout
            failed = CallFailure.SILENT
        elif down[0] <= now < down[1]:
            failed = CallFailure.NO_ANSWER
        else:
            now += times.wait + late
            if silenced:
                return begun, now
            now += schedule.answered(times.wait + late, False)
            continue
        now += schedule.failed(now, failed)


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("must_ask", [None, 200, 1000, 4000, 10_000, 120_000])
@pytest.mark.parametrize("late", [0, 30 * MS, 400 * MS])
def test_a_change_missed_by_a_silent_watch_is_known_before_it_counts_as_delivered(
    pushed: bool, must_ask: int | None, late: int
) -> None:
    for seed in range(200):
        draw = Random(seed)
        schedule = WatchSchedule(limits(must_ask), draw, pushed)
        silent = int(draw.random() * 12 * SECOND) + 1
        begun, at = follow_silent_watch(schedule, 0, silent, late)
        delivered = max(silent + SILENCE_NS, begun + schedule.limits.watch_wait + 2 * SECOND)
        assert at <= delivered - MARGIN_NS, (seed, silent / SECOND, begun / SECOND, at / SECOND)


def test_calls_are_retried_in_time_while_discovery_rejects_them() -> None:
    for seed in range(200):
        draw = Random(seed)
        silent = 4 * SECOND + int(draw.random() * 2 * SECOND)
        begun, at = follow_silent_watch(
            WatchSchedule(limits(10_000), draw, False), 0, silent, 20 * MS, (silent, silent + 4 * SECOND)
        )
        assert at <= silent + SILENCE_NS - MARGIN_NS, (seed, begun, at)


def test_answer_slack_follows_the_lateness_of_responses() -> None:
    schedule = WatchSchedule(limits(10_000), Random(1), False)
    for late, shortest, longest in ((5, 250, 260), (400, 600, 1000)):
        for _ in range(100):
            times = schedule.next_call()
            schedule.answered(times.wait + late * MS + int(schedule.draw.random() * late / 2) * MS, False)
        assert shortest * MS <= schedule.answer_slack() <= longest * MS, schedule.answer_slack()


# How a call ends while discovery is unavailable.
REFUSED = 0
REJECTED = 1
UNREACHABLE = 2
SILENT = 3
CONNECT_TIMEOUT_NS = SECOND


def first_answered_call(schedule: WatchSchedule, draw: Random, back: int, how: int, answers: int) -> int:
    """Returns when the first call after `back` is answered. All earlier ones end as `how` says."""
    now = 0
    while True:
        times = schedule.next_call()
        if now >= back:
            return now + answers
        now += {
            REFUSED: 0,
            REJECTED: int(draw.random() * SECOND),
            UNREACHABLE: CONNECT_TIMEOUT_NS,
            SILENT: times.timeout,
        }[how]
        now += schedule.failed(now, CallFailure.SILENT if how == SILENT else CallFailure.NO_ANSWER)


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("must_ask", [None, 200, 10_000, 120_000])
@pytest.mark.parametrize("how", [REFUSED, REJECTED, UNREACHABLE, SILENT])
def test_the_list_is_known_six_seconds_after_discovery_is_reachable_whatever_failed_before(
    pushed: bool, must_ask: int | None, how: int
) -> None:
    for seed in range(300):
        draw = Random(seed)
        back = int(draw.random() * 40 * SECOND)
        schedule = WatchSchedule(limits(must_ask), draw, pushed)
        if seed % 2:
            schedule.answered(0, True)  # the first call that fails continues a watch
        at = first_answered_call(schedule, draw, back, how, answers=SECOND)
        assert at <= back + SILENCE_NS - MARGIN_NS, (seed, back / SECOND, at / SECOND)


def test_retries_back_off_and_stay_within_the_drain_grace_where_lists_are_pushed() -> None:
    requested, pushed = (
        WatchSchedule(limits(10_000), Random(2), False),
        WatchSchedule(limits(10_000, 400), Random(2), True),
    )
    pauses = [pushed.failed(SECOND, CallFailure.NO_ANSWER) for _ in range(20)]
    assert all(pause <= 300 * MS for pause in pauses), pauses
    assert all(pause >= 100 * MS for pause in pauses[3:]), pauses
    pauses = [requested.failed(SECOND, CallFailure.NO_ANSWER) for _ in range(200)]
    assert 250 * MS <= pauses[0] <= 750 * MS and all(500 * MS <= pause <= 1500 * MS for pause in pauses[2:]), pauses
    assert 0.9 * SECOND < sum(pauses[2:]) / 198 < 1.1 * SECOND  # bounds the call rate of many balancers
    # A discovery that never answers is not retried fast for ever.
    requested = WatchSchedule(limits(10_000), Random(2), False)
    assert requested.failed(SECOND, CallFailure.SILENT) == 0
    assert requested.failed(2 * SECOND, CallFailure.SILENT) <= 375 * MS
    assert [requested.failed(at * SECOND, CallFailure.SILENT) >= 250 * MS for at in (14, 20, 26)] == [True] * 3


def test_where_lists_are_requested_no_delay_exceeds_the_validity_of_the_list() -> None:
    for must_ask in (SECOND // 2, 2 * SECOND, 60 * SECOND):
        balancer = Balancer(replace(CONFIG, watch_list=True, list_max_age=must_ask))
        waits = []
        for _ in range(12):
            balancer.decide(T0, m.ListUnavailable())
            waits.append(max(at for at, _, what in balancer.timers.heap if what == -2) - T0)
        assert waits[0] <= SECOND and max(waits) <= min(must_ask * 4 // 5, 8 * SECOND), waits


def test_a_call_keeps_its_place_in_a_queue_that_is_longer_than_its_timeout() -> None:
    schedule = WatchSchedule(limits(10_000), Random(3), False)
    for n in range(6):
        times = schedule.next_call()
        assert times.timeout < 3 * SECOND and times.kept_for > 10 * SECOND
        schedule.failed(n * 3 * SECOND, CallFailure.SILENT)
    schedule.answered(50 * MS, False)
    # A watch that has fallen silent is broken, so an answer to it is not kept.
    assert schedule.next_call().kept_for == schedule.current.timeout < 4 * SECOND


def test_the_waits_of_watches_that_end_together_differ() -> None:
    schedules = {WatchSchedule(limits(10_000), Random(n), False) for n in range(200)}
    for schedule in schedules:
        schedule.answered(0, True)
    at = sorted(schedule.next_call().wait for schedule in schedules)
    assert at[-1] - at[0] > 400 * MS and at[-1] <= 2 * SECOND
