"""The soak: its days, its judge, and one short seed with real processes."""

from pathlib import Path

import msgspec
import pytest

from ternquay.rig.contender import by_decisions
from ternquay.rig.judge import judge
from ternquay.rig.records import FleetSaw, Life, Pause, Saw, Stop
from ternquay.rig.soak import KINDS, SoakTerms, own_findings, play_seed, soak_day
from ternquay.rig.terms import BALANCER_FAULTS, MS, SECOND, FaultKind, plan_faults, read_day

BASE = read_day("calm")
T0 = 100 * SECOND


def test_a_seed_has_one_day_and_another_seed_another() -> None:
    terms = SoakTerms()
    assert soak_day(BASE, 5, terms) == soak_day(BASE, 5, terms) != soak_day(BASE, 6, terms)


def test_over_some_seeds_each_kind_of_fault_comes_up_and_none_is_left_out() -> None:
    kinds = {fault.kind for seed in range(20) for fault in soak_day(BASE, seed, SoakTerms()).faults}
    assert kinds == KINDS.keys() and kinds >= BALANCER_FAULTS
    assert set(KINDS) <= set(FaultKind.__args__)  # type: ignore[attr-defined]


@pytest.mark.parametrize("seed", range(10))
def test_a_day_can_be_played_and_no_balancer_has_two_of_its_faults_at_once(seed: int) -> None:
    day = soak_day(BASE, seed, SoakTerms(balancers=3, faults=40))
    assert msgspec.convert(msgspec.to_builtins(day), type(day)) == day
    for balancer in range(3):
        ends = 0
        for fault in sorted(plan_faults(day, seed), key=lambda one: one.start):
            if fault.kind in BALANCER_FAULTS and fault.balancer == balancer:
                assert fault.start > ends
                ends = fault.end


def saw(*stops: Stop, pauses: tuple[Pause, ...] = (), lives: tuple[Life, ...] = ()) -> Saw:
    return Saw(
        "soak", 1, 20.0, T0, [], FleetSaw([], [], [], [], [], [], []), list(lives), [], list(pauses), list(stops)
    )


def stop(told: int = 0, closed: int = 0, watched: int = 9000, written: int = 1) -> Stop:
    """Times in milliseconds from T0."""
    at = [T0 + ms * MS if ms else 0 for ms in (written, told, closed, watched)]
    return Stop(0, T0, *at)


@pytest.mark.parametrize(
    ("one", "broken"),
    [
        (stop(), 1),
        (stop(told=2000), 0),
        (stop(closed=2900), 0),
        (stop(closed=3200), 1),
        (stop(told=3200), 1),
        (stop(watched=2000), 0),
        (stop(written=0), 0),
    ],
)
def test_a_client_that_stopped_is_owed_a_word_or_a_close_in_three_seconds(one: Stop, broken: int) -> None:
    assert [breach.rule for breach in judge(BASE, saw(one))] == ["stopped"] * broken


def test_what_falls_due_while_a_process_is_stopped_or_after_it_was_killed_is_not_its_own() -> None:
    late = stop(closed=3900)
    assert judge(BASE, saw(late))
    assert judge(BASE, saw(late, pauses=(Pause(0, T0 + SECOND, T0 + 2 * SECOND),)))  # it had a second left
    assert not judge(BASE, saw(late, pauses=(Pause(0, T0 + SECOND, T0 + 3500 * MS),)))
    assert judge(BASE, saw(late, pauses=(Pause(0, T0 + SECOND, T0 + 3300 * MS),)))
    assert judge(BASE, saw(late, pauses=(Pause(1, T0 + SECOND, T0 + 3500 * MS),)))
    assert not judge(BASE, saw(late, lives=(Life(0, T0, ended=T0 + SECOND, killed=True),)))


def test_what_the_balancers_found_themselves_is_read_from_their_logs(tmp_path: Path) -> None:
    (tmp_path / "balancer-0.log").write_text("x INFO closed clients: idle 3; violations: 0\n")
    (tmp_path / "balancer-1.log").write_text(
        "x ERROR violation: a request was answered a second time, request t1\nx ERROR uncaught: Traceback\n"
        "x INFO closed clients: none; violations: 2\n"
    )
    assert own_findings(tmp_path) == (3, 1)


def test_a_short_seed_of_the_soak_breaks_no_rule(tmp_path: Path) -> None:
    terms = SoakTerms(seconds=10.0, balancers=6, hosts=8, rate=120.0, faults=12)
    result, breaches = play_seed(BASE, 1, terms, by_decisions("pat"), tmp_path)
    assert result.stops > 20 and not result.broken(), (result, breaches[:2])
