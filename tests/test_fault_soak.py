"""The short soak: clients that use their connections up to a kill, signals in series, crowds (tests/fault_soak.py)."""

import asyncio

import pytest

from tests.fault_soak import CROWDS, draw_plan, play_seed

SEEDS = (*range(1, 16), 101, 1045)  # the last two: a crowd that writes slowly takes all places


def test_the_seeds_draw_each_crowd_and_each_way_to_end() -> None:
    plans = [draw_plan(seed) for seed in SEEDS]
    assert {plan.crowd for plan in plans} == set(CROWDS)
    assert {bool(plan.second_term_after) for plan in plans} == {True, False}
    assert {plan.inherited for plan in plans} == {True, False}


# Guards against: requests on open connections are lost, run twice or answered late around a planned end.
@pytest.mark.parametrize("seed", SEEDS)
def test_a_seed_of_the_soak_breaks_no_rule(seed: int) -> None:
    assert asyncio.run(play_seed(seed)) == []
