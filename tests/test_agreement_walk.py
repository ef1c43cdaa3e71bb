"""Random and exhaustive exploration of the consensus core; deliberately wrong cores must be found."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from ternquay.consensus.core import Core
from ternquay.consensus.messages import AppendRequest
from ternquay.rig.walk import MS, Broken, World, explored, walked


@pytest.mark.parametrize(("members", "go_on"), [(3, False), (3, True), (5, False), (2, False)])
def test_random_walks_violate_no_invariant(members: int, go_on: bool) -> None:
    decided = dropped = crashes = 0
    for seed in range(20):
        counts = walked(seed, 3000, members=members, go_on=go_on)
        decided, dropped = decided + counts["decided"], dropped + counts["dropped"]
        crashes += counts["crashes"]
    assert decided > 50 and dropped > 5 and crashes > 100  # otherwise the walks missed what they are meant to explore


def test_all_orders_of_events_around_a_change_up_to_a_depth() -> None:
    assert explored(4) > 2000  # takes 7 s; greater depths are run by hand, docs/agreement.md


@pytest.mark.parametrize("dead", [0, 1, 2])
def test_with_one_member_dead_a_change_is_decided_within_two_seconds(dead: int) -> None:
    world = World(3)
    world.settle(100)
    world.crash(world.nodes[dead])
    alive = {0, 1, 2} - {dead}
    start = world.time
    world.among(
        alive, lambda: any(core and core.is_established_leader() for core in (world.nodes[n].core for n in alive))
    )
    assert world.propose(b"1")
    world.among(alive, lambda: len(world.outcomes) == 1)
    assert world.time - start < 2000 * MS


class VoteNotStored(Core):
    """Does not persist its vote."""

    def _queue_write(self, *terms: Any, **more: Any) -> int:
        number = super()._queue_write(*terms, **more)
        self.writes[-1] = replace(self.writes[-1], voted_for="")
        return number


class CommitsEarlierTerms(Core):
    """Commits an entry of an earlier term by itself."""

    def _is_current_term(self, index: int) -> bool:
        return True


class GrantsBeforeCommit(Core):
    """Grants leases before an entry of its own term is committed."""

    def is_established_leader(self) -> bool:
        return self.is_leader()


class LeaseFromReply(Core):
    """Counts a lease from the leader's reply instead of its own request."""

    def _lease_end(self, message: AppendRequest, now: int) -> int:
        return now + self.timing.lease


class ServesBeforeCatchingUp(Core):
    """Accepts a lease before it has applied all decisions that were committed when it was granted."""

    def _is_caught_up(self, message: AppendRequest) -> bool:
        return True


class HoldsNothing(Core):
    """Decides a proposal although the members do not hold it."""

    def _has_hold(self, name: str, at: int) -> bool:
        return True

    def _acquire_hold(self, at: int) -> bool:
        return True


class WaitsForNoLease(Core):
    """Treats the lease of a silent member as expired at once."""

    def lease_expired(self, name: str, now: int) -> bool:
        progress = self.progress.get(name)
        return progress is None or now - progress.leader_clock > 2 * self.timing.heartbeat_interval


class IgnoresEarlierLeases(Core):
    """A new leader ignores leases that its predecessor may have granted."""

    def lease_expired(self, name: str, now: int) -> bool:
        return now >= self.lease_sent_at.get(name, 0) + self.timing.lease_expiry


WRONG = [
    GrantsBeforeCommit,
    LeaseFromReply,
    ServesBeforeCatchingUp,
    HoldsNothing,
    WaitsForNoLease,
    IgnoresEarlierLeases,
]


def is_led_by(world: World, number: int) -> Callable[[], bool]:
    core = world.nodes[number].core
    return lambda: core is not None and core.is_leader()


def figure_eight(make: Callable[..., Core]) -> None:
    """An entry of an earlier term is on a majority and still overwritten by a later leader (Raft, figure 8)."""
    world = World(1, core=make)
    zero, one, two = world.nodes
    for node in (one, two):
        node.core.tick = lambda now: None  # type: ignore[union-attr, method-assign]  # neither starts an election
    world.among(
        {0, 1, 2},
        lambda: bool(
            zero.core
            and zero.core.is_established_leader()
            and one.core
            and one.core.commit_index
            and two.core
            and two.core.commit_index
        ),
    )
    world.flight.clear()
    world.propose(b"1")
    world.sync(zero)
    world.flight.clear()
    world.crash(zero)
    world.crash(one)
    world.start(one)
    world.among({1, 2}, is_led_by(world, 1))
    world.sync(one)
    world.crash(one)
    world.start(zero)
    assert zero.core is not None and two.core is not None
    zero.core.max_append_entries = 1
    last = zero.disk.log.last_index
    world.among(
        {0, 2},
        lambda: bool(
            two.disk.log.last_index == last
            and zero.core
            and zero.core.is_leader()
            and zero.core.progress["m2"].durable_index >= last
        ),
    )
    world.crash(zero)
    world.flight.clear()
    world.start(one)
    world.among({1, 2}, lambda: bool(one.core and one.core.is_established_leader()))
    world.settle()


def two_votes(make: Callable[..., Core]) -> None:
    """A voter crashes after its vote, and another candidate asks for its vote in the same term."""
    world = World(1, core=make)
    first, second, voter = world.nodes
    world.time += 600 * MS
    for node in (first, second):
        world.tick(node)
    for voting in (False, True):  # the pre-votes and their replies, then the vote requests
        while any(to == 2 for to, _, _ in world.flight):
            world.deliver(next(n for n, (to, _, _) in enumerate(world.flight) if to == 2))
        world.flight = [one for one in world.flight if one[1] == voter.me]
        while world.flight:
            world.deliver(0)
        for node in world.nodes:
            while node.queue:
                world.sync(node)
        if not voting:
            late = [one for one in world.flight if one[1] == second.me and one[0] == 2]
            world.flight = [one for one in world.flight if one[1] == first.me and one[0] == 2]
    world.deliver(0)
    world.flight.clear()
    assert first.core is not None and first.core.is_leader()
    world.check()
    world.crash(voter)
    world.start(voter)
    world.time += 310 * MS
    world.flight = late
    world.deliver(0)
    while voter.queue:
        world.sync(voter)
    while world.flight:
        world.deliver(0)
    world.check()


@pytest.mark.parametrize(("case", "wrong"), [(figure_eight, CommitsEarlierTerms), (two_votes, VoteNotStored)])
def test_the_core_passes_a_case_that_a_wrong_core_fails(case: Callable[..., None], wrong: Callable[..., Core]) -> None:
    case(Core)
    with pytest.raises(Broken):
        case(wrong)


@pytest.mark.parametrize("wrong", WRONG, ids=lambda wrong: wrong.__name__)
def test_random_walks_find_a_wrong_core(wrong: Callable[..., Core]) -> None:
    with pytest.raises(Broken):
        for seed in range(300):
            walked(seed, 4000, core=wrong)


def test_a_clock_slower_than_the_drift_bound_breaks_the_lease() -> None:
    with pytest.raises(Broken, match="takes by"):
        for seed in range(300):
            walked(seed, 4000, drift=0.4)
