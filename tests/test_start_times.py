"""Steps of the wall clock make no young cache host look old, and do not look like a restart of all hosts."""

from collections.abc import Sequence
from dataclasses import replace

import pytest

from ternquay.net.limits import MS, SECOND
from ternquay.net.listing import HostEntry, parse_list
from ternquay.net.start_times import MAX_ABSENT_HOSTS, MAX_DIFFERENCES, MAX_LIST_DELAY_NS, StartTimes
from tests.helper import Net, member

HOUR = 3600 * SECOND
WALL = 1_700_000_000 * SECOND


class Clocks:
    """A wall clock that can be stepped, and a monotonic clock."""

    def __init__(self) -> None:
        self.now, self.wall = 1000 * SECOND, WALL
        self.times = StartTimes(lambda: self.wall)

    def ages(self, *starts: int, whole: bool = False, names: Sequence[str] = "abcdef") -> list[int]:
        """Returns the ages in seconds that hosts with these Unix start times are given; -1: long ago."""
        line = parse_list({"revision": 1, "complete": True, "members": [member(1)]}, 0)[2][0]
        members: tuple[HostEntry, ...] = tuple(
            replace(line, id=name, started_at=start) for name, start in zip(names, starts, strict=False)
        )
        return [
            round((self.now - one.started_at) / SECOND) if one.started_at else -1
            for one in self.times.to_monotonic(whole, members, self.now)
        ]

    def unix_start(self, age: float) -> int:
        """Returns a start `age` seconds ago by the stepped wall clock."""
        return self.wall + self.now - int(age * SECOND)


@pytest.mark.parametrize("step", [0, 2 * SECOND, -2 * SECOND, HOUR, -HOUR])
def test_the_age_of_a_host_that_starts_after_a_step_is_right(step: int) -> None:
    clocks = Clocks()
    assert clocks.ages(clocks.unix_start(500), 0) == [500, -1]
    clocks.now += 60 * SECOND
    clocks.wall += step
    assert clocks.ages(clocks.unix_start(1), names="x")[0] <= 1
    clocks.now += 3 * SECOND
    assert clocks.ages(clocks.unix_start(4), names="x")[0] <= 4


@pytest.mark.parametrize(("ours", "theirs"), [(HOUR, 0), (-HOUR, 0), (0, HOUR)])
def test_a_step_of_one_clock_makes_no_host_look_older(ours: int, theirs: int) -> None:
    """The exception is a step backwards where the list is made, which can't be detected here."""
    clocks = Clocks()
    clocks.ages(0)
    start = clocks.unix_start(2) + theirs
    clocks.wall += ours
    assert clocks.ages(start)[0] <= 2


@pytest.mark.parametrize("wrong", [-HOUR, HOUR, -30 * SECOND])
def test_a_host_is_no_older_than_the_last_list_without_it(wrong: int) -> None:
    """This holds too if only the clock of the list's maker was set back, or was wrong from the start."""
    clocks = Clocks()
    clocks.ages(0)  # the configured list
    clocks.now += 3 * SECOND
    clocks.ages(0)  # the first list of discovery
    clocks.now += 4 * SECOND
    start = clocks.unix_start(2) + wrong
    assert 0 <= clocks.ages(start, names="x")[0] <= 4 + MAX_LIST_DELAY_NS // SECOND
    clocks.now += 60 * SECOND
    clocks.ages(start, names="x")
    clocks.now += 1 * SECOND
    again = clocks.unix_start(1) + wrong  # a restart of the same host
    assert 0 <= clocks.ages(again, names="x")[0] <= 1 + MAX_LIST_DELAY_NS // SECOND


def test_a_host_that_was_missing_from_one_list_keeps_its_age() -> None:
    clocks = Clocks()
    starts = [clocks.unix_start(100), clocks.unix_start(90)]
    for _ in range(3):
        clocks.ages(*starts, whole=True)
    clocks.ages(starts[0], whole=True)
    clocks.now += 7 * SECOND
    assert clocks.ages(*starts, whole=True) == [107, 97]


def test_the_number_of_remembered_absent_hosts_is_limited() -> None:
    clocks = Clocks()
    for number in range(3 * MAX_ABSENT_HOSTS):
        clocks.ages(clocks.unix_start(9), whole=True, names=[f"h{number}"])
    assert len(clocks.times.absent) == MAX_ABSENT_HOSTS and len(clocks.times.known) == 1


def test_a_step_does_not_look_like_a_restart_of_known_hosts() -> None:
    clocks = Clocks()
    starts = [clocks.unix_start(100), clocks.unix_start(5)]
    before = clocks.ages(*starts)
    clocks.wall += HOUR
    clocks.now += 7 * SECOND
    assert clocks.ages(*starts, whole=True) == [age + 7 for age in before]


def test_hosts_that_are_gone_are_forgotten_and_the_number_of_differences_is_limited() -> None:
    clocks = Clocks()
    clocks.ages(clocks.unix_start(9), clocks.unix_start(9))
    for _ in range(50):
        clocks.wall += 2 * SECOND
        clocks.ages(clocks.unix_start(9), whole=True)
    assert list(clocks.times.known) == ["a"] and len(clocks.times.differences) <= MAX_DIFFERENCES
    assert clocks.times.differences[0] == WALL


def test_a_start_before_the_machine_booted_keeps_its_age() -> None:
    clocks = Clocks()
    clocks.now = 5 * SECOND
    assert clocks.ages(clocks.unix_start(4000)) == [4000]


def test_a_young_host_is_young_for_the_balancer_after_a_step() -> None:
    net, clocks = Net(hosts=1), Clocks()
    clocks.now = net.dispatcher.now()
    clocks.ages(0)
    clocks.wall -= HOUR
    document = {"revision": 2, "complete": False, "members": [member(2, since=clocks.unix_start(1) // MS)]}
    members = clocks.times.to_monotonic(False, parse_list(document, 0)[2], net.dispatcher.now())
    net.dispatcher.update_hosts(False, members)
    host = net.dispatcher.balancer.hosts[net.dispatcher.host_indices["h2"]]
    assert 0 <= net.dispatcher.now() - host.started_at <= 2 * SECOND
