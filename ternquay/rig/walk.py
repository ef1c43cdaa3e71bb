"""Walks the agreement's core through orders of messages, losses, crashes, stops and time-outs, and checks it.

    walked(seed, steps, members=3)          # a random walk; raises Broken with what was done last
    explored(depth, members=3)              # all orders from an elected leader with a change, to that depth

One clock for the world; each member's own runs at a rate within the bound and from an offset of its own. A disk
takes writes in their order, one step each; a crash loses those that it hasn't. What must hold is looked at after
every step.
"""

import copy
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from ternquay.consensus.core import Core, Outcome, PersistentState, Timing, Write
from ternquay.consensus.errors import RetryLater
from ternquay.consensus.log import Log
from ternquay.consensus.messages import Member, Membership, Message, Rejection

MS = 1_000_000
FLIGHT_MOST = 40  # messages under way; the oldest are lost

# How often what is done, by walk: most of a time in which little happens, and times of one kind of trouble.
MOODS = [
    {"deliver": 50, "sync": 18, "time": 22, "propose": 4} | more
    for more in (
        {"crash": 1, "start": 2, "stop": 1, "link": 1, "heal": 1},
        {"crash": 3, "start": 6, "heal": 1},
        {"alone": 1, "start": 1, "heal": 1},
        {"alone": 1, "crash": 1, "start": 2},
        {"link": 2, "crash": 1, "start": 2},
        {"stop": 3, "alone": 1, "heal": 1},
    )
]


class Broken(AssertionError):
    """One of the things that must hold doesn't."""


@dataclass
class Node:
    me: Member
    offset: int
    rate: float
    disk: PersistentState
    core: Core | None = None
    boot: int = 0
    stopped: bool = False
    queue: list[Write] = field(default_factory=list)  # not on disk yet
    applied: dict[int, tuple[int, int, bytes, bool]] = field(default_factory=dict)
    checked: int = 0  # up to there what it has committed was compared

    def now(self, time: int) -> int:
        return self.offset + int(time * self.rate)


class World:
    def __init__(
        self, seed: int, members: int = 3, core: Callable[..., Core] = Core, go_on: bool = False, drift: float = 0.02
    ) -> None:
        self.random = Random(seed)
        self.make, self.figures = core, Timing.for_lease(1000 * MS, go_on)
        self.time = 1000 * MS
        membership = Membership(tuple(Member(f"m{n}", f"d{n}") for n in range(members)))
        self.nodes = [
            Node(
                one,
                self.random.randrange(10**12),
                1 + drift * (n % 3 - 1),
                PersistentState(log=Log(base_membership=membership)),
            )
            for n, one in enumerate(membership.members)
        ]
        self.flight: list[tuple[int, Member, Message]] = []
        self.late: list[tuple[int, tuple[int, Member, Message]]] = []  # by when they come
        self.committed: dict[int, int] = {}  # which term's entry
        self.cuts: set[tuple[int, int]] = set()
        self.slow: set[tuple[int, int]] = set()
        self.mood = self.random.choice(MOODS)
        self.leaders: dict[int, str] = {}
        self.outcomes: dict[int, tuple[int, int, bytes, bool]] = {}
        self.bodies: dict[bytes, bool] = {}
        self.proposed = 0
        self.counts = {"decided": 0, "dropped": 0, "crashes": 0, "taken": 0}
        self.trace: list[str] = []
        for node in self.nodes:
            self.start(node)

    # ---- one member ----

    def start(self, node: Node) -> None:
        node.boot, node.stopped, node.queue, node.checked = node.boot + 1, False, [], 0
        kept = copy.deepcopy(node.disk)
        node.applied = {index: one for index, one in self.outcomes.items() if index <= kept.applied_index}
        core = node.core = self.make(
            node.me, kept, self.figures, Random(self.random.random()), node.boot, node.now(self.time)
        )
        core.max_append_entries = 1 + node.boot % 2  # so that what goes in one message elsewhere goes in several here

    def crash(self, node: Node) -> None:
        node.core, node.queue = None, []
        self.counts["crashes"] += 1

    def carry(self, node: Node) -> None:
        """What a driver does after each call."""
        core = node.core
        assert core is not None
        node.queue += core.writes
        core.writes = []
        if core.installed_snapshot is not None:
            node.applied = {
                index: one for index, one in self.outcomes.items() if index <= core.installed_snapshot.index
            }
            core.installed_snapshot = None
        outcomes, core.outcomes = core.outcomes, []
        for one in outcomes:
            self.apply(node, one)
        judge, core.to_validate = core.to_validate, []
        out, core.outbox = core.outbox, []
        numbers = {other.me.name: n for n, other in enumerate(self.nodes)}
        mine = numbers[node.me.name]
        for sent in [(numbers[name], node.me, message) for name, message in out if name in numbers]:
            if (mine, sent[0]) not in self.slow:
                self.flight.append(sent)
            elif len(self.late) < FLIGHT_MOST:
                self.late.append((self.time + self.random.randrange(100, 2500) * MS, sent))
        del self.flight[:-FLIGHT_MOST]
        for index, body in judge:
            core.validated(index, Rejection(reason="no") if body.endswith(b"!") else None, node.now(self.time))
            self.carry(node)
        if core.snapshot_needed:
            core.provide_snapshot(core.applied_index, b"x" * 10)

    def apply(self, node: Node, one: Outcome) -> None:
        told = (one.proposal_index, one.term, one.body, one.decided)
        if self.outcomes.setdefault(one.index, told) != told:
            raise Broken(f"{node.me.name} has {told} at {one.index}, another {self.outcomes[one.index]}")
        if self.bodies.setdefault(one.body, one.decided) != one.decided:
            raise Broken(f"{one.body!r} is in force and nowhere")
        if one.index not in node.applied:
            node.applied[one.index] = told
            self.counts["decided" if one.decided else "dropped"] += 1

    def sync(self, node: Node) -> None:
        write = node.queue.pop(0)
        disk = node.disk
        disk.term, disk.voted_for = write.term, write.voted_for
        if write.install is not None:
            one = write.install
            disk.log, disk.applied_index = Log(one.index, one.term, one.membership), one.index
        elif write.truncate_after >= 0:
            disk.log.truncate_after(write.truncate_after)
            disk.log.append(write.entries)
        if node.core is not None:
            if self.random.random() < 0.5:
                disk.applied_index = max(disk.applied_index, min(node.core.applied_index, disk.log.last_index))
                if self.random.random() < 0.2:
                    disk.log.compact(disk.applied_index - 2)
                    node.core.compact(disk.applied_index - 2)
            node.core.write_completed(write.number, node.now(self.time))
            self.carry(node)

    def deliver(self, at: int, keep: bool = False) -> None:
        to, sender, message = self.flight[at] if keep else self.flight.pop(at)
        node = self.nodes[to]
        origin = next(n for n, one in enumerate(self.nodes) if one.me == sender)
        if node.core is None or node.stopped or (origin, to) in self.cuts:
            return
        node.core.receive(sender, message, node.now(self.time))
        self.carry(node)

    def among(self, numbers: set[int], until: Callable[[], bool]) -> None:
        """Time passes for these alone, and only they hear each other, until that is so. Raises Broken."""
        for _ in range(300):
            self.time += 20 * MS
            for number in numbers:
                self.tick(self.nodes[number])
            while self.flight or any(self.nodes[number].queue for number in numbers):
                for number in numbers:
                    while self.nodes[number].queue and not until():
                        self.sync(self.nodes[number])
                if until():
                    return self.check()
                if not self.flight:
                    continue
                to, sender, _ = self.flight[0]
                if to in numbers and any(self.nodes[number].me == sender for number in numbers):
                    self.deliver(0)
                else:
                    del self.flight[0]
            self.check()
        raise Broken("it doesn't come to that")

    def tick(self, node: Node) -> None:
        if node.core is not None and not node.stopped:
            node.core.tick(node.now(self.time))
            self.carry(node)

    def propose(self, body: bytes) -> bool:
        for node in self.nodes:
            if node.core is not None and not node.stopped:
                try:
                    node.core.propose(body, node.now(self.time))
                except RetryLater:
                    continue
                self.carry(node)
                return True
        return False

    # ---- what must hold ----

    def check(self) -> None:
        newest = max((index for index, one in self.outcomes.items() if one[3]), default=0)
        for node in self.nodes:
            core = node.core
            if core is None:
                continue
            for at in range(max(node.checked, core.log.base_index) + 1, core.commit_index + 1):
                if self.committed.setdefault(at, core.log.term_at(at)) != core.log.term_at(at):
                    raise Broken(f"{node.me.name} has another entry committed at {at}")
            node.checked = core.commit_index
            if core.is_leader() and self.leaders.setdefault(core.term, node.me.name) != node.me.name:
                raise Broken(f"term {core.term} has two leaders")
            # A stopped one acts only after it has looked at its clock again, which is when it goes on.
            if node.stopped or not core.may_serve(node.now(self.time)) or core.held_proposals:
                continue
            self.counts["taken"] += 1
            mine = max((index for index, one in node.applied.items() if one[3]), default=0)
            if mine < newest:
                raise Broken(f"{node.me.name} takes by {mine}, {newest} is in force")

    # ---- a walk ----

    def step(self) -> None:
        draw, node = self.random.choices(list(self.mood), list(self.mood.values()))[0], self.random.choice(self.nodes)
        getattr(self, f"_{draw}")(node)
        self.check()

    def _deliver(self, node: Node) -> None:
        if self.flight:
            at = self.random.randrange(min(len(self.flight), 6))
            kind = self.random.random()
            if kind < 0.03:
                del self.flight[at]
            else:
                self.deliver(at, keep=kind < 0.06)

    def _sync(self, node: Node) -> None:
        if node.queue:
            self.sync(node)

    def _time(self, node: Node) -> None:
        self.time += self.random.choice((1, 5, 20, 70)) * MS
        self.flight += [one for due, one in self.late if due <= self.time]
        self.late = [(due, one) for due, one in self.late if due > self.time]
        self.tick(node)

    def _propose(self, node: Node) -> None:
        self.proposed += 1
        self.propose(b"%d%s" % (self.proposed, b"!" if self.random.random() < 0.2 else b""))

    def _crash(self, node: Node) -> None:
        if node.core is not None:
            self.crash(node)
        if self.random.random() < 0.6:
            self._start(node)

    def _start(self, node: Node) -> None:
        if node.core is None:
            self.start(node)
            self.carry(node)

    def _stop(self, node: Node) -> None:
        node.stopped = not node.stopped and self.random.random() < 0.4

    def _link(self, node: Node) -> None:
        pair = self.random.sample(range(len(self.nodes)), 2)
        (self.cuts if self.random.random() < 0.5 else self.slow).symmetric_difference_update({(pair[0], pair[1])})

    def _alone(self, node: Node) -> None:
        """Cut off from all, or hearing and heard late."""
        mine = self.nodes.index(node)
        pairs = {pair for n in range(len(self.nodes)) if n != mine for pair in ((n, mine), (mine, n))}
        which = self.cuts if self.random.random() < 0.5 else self.slow
        which.difference_update(pairs) if pairs & which else which.update(pairs)

    def _heal(self, node: Node) -> None:
        self.heal()

    def heal(self) -> None:
        self.cuts.clear()
        self.slow.clear()
        for node in self.nodes:
            node.stopped = False
            if node.core is None:
                self.start(node)
                self.carry(node)

    def settle(self, rounds: int = 400) -> None:
        """All is well for a while: whatever was open ends, and all have the same."""
        self.heal()
        for _ in range(rounds):
            self.time += 20 * MS
            for node in self.nodes:
                self.tick(node)
                while node.queue:
                    self.sync(node)
            while self.flight:
                self.deliver(0)
            self.check()
        cores = [node.core for node in self.nodes if node.core is not None]
        if len({core.applied_index for core in cores}) != 1 or any(core.log.open_proposal() for core in cores):
            raise Broken(
                f"it doesn't settle: {[(c.term, c.role.value, c.applied_index, c.log.last_index) for c in cores]}"
            )


def walked(seed: int, steps: int, **terms: Any) -> dict[str, int]:
    """Raises Broken."""
    world = World(seed, **terms)
    for done in range(steps):
        try:
            world.step()
        except Broken as fault:
            raise Broken(f"seed {seed}, step {done}: {fault}") from fault
    world.settle()
    return world.counts | {"leaders": len(world.leaders)}


def explored(depth: int, core: Callable[..., Core] = Core, most: int = 100_000) -> int:
    """Every order of deliveries, losses, syncs, a crash and passing time, from a leader with a change on its way;
    how many states were seen. Raises Broken."""
    world = World(7, core=core)
    for _ in range(200):
        world.time += 20 * MS
        for node in world.nodes:
            world.tick(node)
            while node.queue:
                world.sync(node)
        while world.flight:
            world.deliver(0)
        if any(node.core is not None and node.core.is_established_leader() for node in world.nodes):
            break
    world.propose(b"1")
    seen = {_print(world)}
    edge = [world]
    for _ in range(depth):
        following = []
        for old in edge:
            for act in _acts(old):
                new = copy.deepcopy(old)
                act(new)
                new.check()
                mark = _print(new)
                if mark not in seen and len(seen) < most:
                    seen.add(mark)
                    following.append(new)
        edge = following
    return len(seen)


def _acts(world: World) -> list[Callable[[World], None]]:
    found: list[Callable[[World], None]] = []
    for at in range(min(4, len(world.flight))):
        found += [lambda w, at=at: w.deliver(at), lambda w, at=at: w.flight.pop(at)]  # type: ignore[misc]
    for n, node in enumerate(world.nodes):
        if node.queue:
            found.append(lambda w, n=n: w.sync(w.nodes[n]))  # type: ignore[misc]
        if node.core is not None:
            found.append(lambda w, n=n: w.crash(w.nodes[n]))  # type: ignore[misc]
            found.append(lambda w, n=n: _later(w, n))  # type: ignore[misc]
        else:
            found.append(lambda w, n=n: w.start(w.nodes[n]))  # type: ignore[misc]
    return found


def _later(world: World, n: int) -> None:
    world.time += 400 * MS
    world.tick(world.nodes[n])


def _print(world: World) -> int:
    """Two worlds that are alike in all that the next step can meet."""
    nodes = tuple(
        (
            node.core is not None,
            node.disk.term,
            node.disk.voted_for,
            node.disk.log.last_index,
            node.disk.applied_index,
            len(node.queue),
        )
        + (
            (
                node.core.term,
                node.core.role,
                node.core.voted_for,
                node.core.log.last_index,
                node.core.commit_index,
                tuple(node.core.held_proposals),
                node.core.lease_until,
                node.core.election_due,
                node.core.validation[0],
                tuple(sorted(node.core.votes)),
            )
            if node.core
            else ()
        )
        for node in world.nodes
    )
    return hash((nodes, world.time, tuple((to, sender.name, message) for to, sender, message in world.flight)))
