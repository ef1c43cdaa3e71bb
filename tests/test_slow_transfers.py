"""Regression tests of docs/incidents/slow-transfers.md: cache hosts that write or read large values slowly.

All are played on real processes over loopback (tests/slow_transfers.py).
"""

import asyncio

import pytest

from tests.slow_transfers import Event, Half, Position, Stage, Transfer, play


# Guards against: the final answer of a large request comes seconds after its time, as a timer of the large request
# before it on the connection stands in place of its own.
def test_a_large_request_behind_another_one_is_answered_in_its_time_however_slowly_its_host_reads() -> None:
    transfers = [
        Transfer(Half.REQUEST, Position.AFTER_LARGE, 4_000_000, wait_ms, 7000, 0.0, 200_000)
        for wait_ms in (150, 600, 600, 1200)
    ]
    assert asyncio.run(play(Stage(), transfers)) == []


# Guards against: a planned end leaves unread what its clients wrote behind large requests that their hosts read slowly.
def test_what_is_behind_a_large_request_is_answered_before_a_planned_end() -> None:
    transfers = [Transfer(Half.REQUEST, Position.BEHIND, 4_000_000, 4500, 4500, 0.0, 200_000)] * 8
    assert asyncio.run(play(Stage(memory_mb=64, event=Event.TERM), transfers)) == []


# Guards against: the process exits as the last value under way ends, and drops the requests that came behind it.
@pytest.mark.parametrize("hosted", [False, True])
def test_what_came_behind_a_value_is_answered_before_the_process_exits(hosted: bool) -> None:
    transfers = [Transfer(Half.ANSWER, Position.LATER, 200_000, 1200, 4500, 0.5, 0)] * 4
    assert asyncio.run(play(Stage(hosted, event=Event.TERM, kill_after_s=12), transfers)) == []


# Guards against: a value is cut off, and what came behind it is lost, as its cache host pauses for over 5 s.
def test_a_value_whose_host_pauses_for_over_5_s_is_passed_on_whole() -> None:
    transfers = [
        Transfer(Half.ANSWER, position, 200_000, 600, pause_ms, pause_at, 200_000)
        for position in (Position.ALONE, Position.LATER)
        for pause_ms, pause_at in ((5600, 0.0), (7000, 0.5))
    ]
    for hosted in (False, True):
        assert asyncio.run(play(Stage(hosted), transfers)) == []


# Guards against: a value that is kept for the requests around it is refused at the end of its client's time, as its
# cache host pauses just then.
def test_a_value_whose_host_pauses_as_its_hold_ends_is_passed_on_whole() -> None:
    pauses = ((600, 700, 0.5), (600, 1400, 0.0), (1200, 2300, 0.9), (4500, 1700, 0.5), (4500, 4500, 0.3))
    transfers = [
        Transfer(Half.ANSWER, position, 200_000, wait_ms, pause_ms, pause_at, 200_000)
        for position in (Position.AFTER_PIPELINE, Position.BEFORE, Position.BEHIND)
        for wait_ms, pause_ms, pause_at in pauses
    ]
    for hosted in (False, True):
        assert asyncio.run(play(Stage(hosted), transfers)) == []
