"""Regression tests of docs/incidents/pre-production-faults.md: faults played on real processes over loopback."""

from random import Random

from tests.fault_plays import Shape, run_play


def shape(seed: int = 1, **more: object) -> Shape:
    return Shape(Random(seed), **more)  # type: ignore[arg-type]


# Guards against: a start that refuses a memory limit which the platform may set, and so ends at once again and again.
def test_a_process_starts_whatever_memory_it_is_given() -> None:
    for inherited in (False, True):
        assert run_play("start-small", shape(inherited=inherited)) == []


# Guards against: two processes of an upgrade that take more than the memory that they share.
def test_two_processes_beside_each_other_keep_within_the_least_memory() -> None:
    assert run_play("two-small", shape(memory_mb=64)) == []


# Guards against: a long answer that is refused at the service goal, as its head came in time and its body later.
def test_a_long_answer_whose_body_comes_late_is_passed_on_whole() -> None:
    assert run_play("late-body", shape()) == []


# Guards against: a request that is not in the form of the protocol is forwarded, and answered as served.
def test_a_request_that_is_not_sound_is_not_served() -> None:
    assert run_play("unsound", shape()) == []


# Guards against: the id of an open request, or of one whose client left, is taken as new: it runs twice.
def test_an_id_that_is_known_runs_once_and_is_served_once() -> None:
    assert run_play("id-again", shape()) == []


# Guards against: the same at the other process of an upgrade.
def test_an_id_that_is_known_to_the_other_process_runs_once() -> None:
    assert run_play("id-again-beside", shape(size=6)) == []


# Guards against: requests that lay unread behind others are sent on after their client has closed.
def test_nothing_is_sent_on_for_a_client_that_closed_behind_unread_requests() -> None:
    assert run_play("leaves-unread", shape(3)) + run_play("leaves-unread", shape(4)) == []


# Guards against: the final answer of a large request comes seconds after its time, as its server reads it slowly.
def test_the_answer_of_a_large_request_comes_in_its_time_however_slowly_its_server_reads() -> None:
    assert run_play("slow-server-reads", shape(size=6)) == []


# Guards against: crowds that write or read large values slowly, or send many fields, take more memory than there is.
def test_crowds_with_large_values_keep_the_process_within_its_memory() -> None:
    for name in ("slow-readers", "slow-writers", "all-memory"):
        assert run_play(name, shape(memory_mb=64, seconds=3.0)) == []


# Guards against: one client that sends small or unsound requests at full speed makes memory grow without end.
def test_a_client_at_full_speed_takes_no_memory_without_end_and_delays_nobody() -> None:
    for name in ("flood-unsound-deaf", "flood-keys-deaf", "flood-tenants-deaf", "flood-unsound"):
        assert run_play(name, shape(memory_mb=64, seconds=6.0)) == []


# Guards against: at a planned end a request that may wait longer is lost, and a long answer is cut off.
def test_a_planned_end_answers_what_may_wait_longer_and_finishes_long_answers() -> None:
    assert run_play("stop-long", shape()) == []


# Guards against: the hosted service refuses a long answer that its server writes slowly, as it waits for all of it.
def test_the_hosted_service_passes_on_a_long_answer_as_it_comes() -> None:
    assert run_play("late-body", shape(hosted=True)) == []
