"""The wall clock is stepped, and no young cache host looks old for it, nor do all seem to have started anew."""

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
    """A wall clock that can be stepped, and the monotonic one."""

    def __init__(self) -> None:
        self.now, self.wall = 1000 * SECOND, WALL
        self.times = StartTimes(lambda: self.wall)

    def dated(self, *starts: int, whole: bool = False, names: Sequence[str] = "abcdef") -> list[int]:
        """How old, in seconds, hosts are taken for whose starts are told in Unix time."""
        line = parse_list({"revision": 1, "complete": True, "members": [member(1)]}, 0)[2][0]
        members: tuple[HostEntry, ...] = tuple(
            replace(line, id=name, started_at=start) for name, start in zip(names, starts, strict=False)
        )
        return [
            round((self.now - one.started_at) / SECOND) if one.started_at else -1
            for one in self.times.to_monotonic(whole, members, self.now)
        ]

    def told(self, age: float) -> int:
        """A start so many seconds ago, as the stepped wall clock has it."""
        return self.wall + self.now - int(age * SECOND)


@pytest.mark.parametrize("step", [0, 2 * SECOND, -2 * SECOND, HOUR, -HOUR])
def test_a_host_that_starts_after_a_step_is_as_young_as_it_is(step: int) -> None:
    clocks = Clocks()
    assert clocks.dated(clocks.told(500), 0) == [500, -1]
    clocks.now += 60 * SECOND
    clocks.wall += step
    assert clocks.dated(clocks.told(1), names="x")[0] <= 1
    clocks.now += 3 * SECOND
    assert clocks.dated(clocks.told(4), names="x")[0] <= 4


@pytest.mark.parametrize(("ours", "theirs"), [(HOUR, 0), (-HOUR, 0), (0, HOUR)])
def test_a_step_of_one_clock_alone_makes_no_host_look_older_than_it_is(ours: int, theirs: int) -> None:
    """But for one where the list is made, back: nothing here tells its starts from true ones."""
    clocks = Clocks()
    clocks.dated(0)
    told = clocks.told(2) + theirs
    clocks.wall += ours
    assert clocks.dated(told)[0] <= 2


@pytest.mark.parametrize("wrong", [-HOUR, HOUR, -30 * SECOND])
def test_a_host_is_no_older_than_the_list_that_lacks_it(wrong: int) -> None:
    """Also where only the clock of whoever makes the list was set back, or was wrong from the start."""
    clocks = Clocks()
    clocks.dated(0)  # the list that the process starts with
    clocks.now += 3 * SECOND
    clocks.dated(0)  # the first that it is told
    clocks.now += 4 * SECOND
    told = clocks.told(2) + wrong
    assert 0 <= clocks.dated(told, names="x")[0] <= 4 + MAX_LIST_DELAY_NS // SECOND
    clocks.now += 60 * SECOND
    clocks.dated(told, names="x")
    clocks.now += 1 * SECOND
    again = clocks.told(1) + wrong  # the same host, started anew
    assert 0 <= clocks.dated(again, names="x")[0] <= 1 + MAX_LIST_DELAY_NS // SECOND


def test_a_host_that_a_list_lost_for_a_while_is_as_old_as_before() -> None:
    clocks = Clocks()
    starts = [clocks.told(100), clocks.told(90)]
    for _ in range(3):
        clocks.dated(*starts, whole=True)
    clocks.dated(starts[0], whole=True)
    clocks.now += 7 * SECOND
    assert clocks.dated(*starts, whole=True) == [107, 97]


def test_hosts_that_are_lost_for_good_are_forgotten_in_the_end() -> None:
    clocks = Clocks()
    for number in range(3 * MAX_ABSENT_HOSTS):
        clocks.dated(clocks.told(9), whole=True, names=[f"h{number}"])
    assert len(clocks.times.absent) == MAX_ABSENT_HOSTS and len(clocks.times.known) == 1


def test_a_step_is_no_restart_of_the_hosts_that_are_known() -> None:
    clocks = Clocks()
    starts = [clocks.told(100), clocks.told(5)]
    before = clocks.dated(*starts)
    clocks.wall += HOUR
    clocks.now += 7 * SECOND
    assert clocks.dated(*starts, whole=True) == [age + 7 for age in before]


def test_what_is_gone_is_forgotten_and_differences_have_a_bound() -> None:
    clocks = Clocks()
    clocks.dated(clocks.told(9), clocks.told(9))
    for _ in range(50):
        clocks.wall += 2 * SECOND
        clocks.dated(clocks.told(9), whole=True)
    assert list(clocks.times.known) == ["a"] and len(clocks.times.differences) <= MAX_DIFFERENCES
    assert clocks.times.differences[0] == WALL


def test_a_start_before_the_machine_booted_is_long_ago() -> None:
    clocks = Clocks()
    clocks.now = 5 * SECOND
    assert clocks.dated(clocks.told(4000)) == [4000]


def test_a_young_host_stays_young_for_the_decisions_whatever_the_clock_does() -> None:
    net, clocks = Net(hosts=1), Clocks()
    clocks.now = net.dispatcher.now()
    clocks.dated(0)
    clocks.wall -= HOUR
    told = {"revision": 2, "complete": False, "members": [member(2, since=clocks.told(1) // MS)]}
    members = clocks.times.to_monotonic(False, parse_list(told, 0)[2], net.dispatcher.now())
    net.dispatcher.update_hosts(False, members)
    host = net.dispatcher.balancer.hosts[net.dispatcher.host_indices["h2"]]
    assert 0 <= net.dispatcher.now() - host.started_at <= 2 * SECOND
