"""The judge reports exactly the violation of each deliberately wrong balancer, on virtual time."""

from collections import Counter
from typing import Any

import msgspec
import pytest

from ternquay.rig import records
from ternquay.rig.judge import judge
from ternquay.rig.laws.clients import Arrival
from ternquay.rig.laws.listing import Entry
from ternquay.rig.terms import MS, SECOND, read_day
from ternquay.rig.virtual import World

QUIET = {"seconds": 8.0, "clients": {"rate": 120.0, "leaves_early": 0.0}}
SHORT_MEMORY = QUIET | {
    "profiles": [
        msgspec.structs.asdict(p) | ({"memory_ms": 500} if p.memory_ms else {}) for p in read_day("calm").profiles
    ]
}
DRAINING = QUIET | {"faults": [{"kind": "host-replaced", "start": 0.3, "end": 0.4, "share": 0.5, "ms": 2000}]}
CRASHED = QUIET | {"faults": [{"kind": "host-crash", "start": 0.3, "end": 0.4, "share": 0.4}]}
STOPPING = QUIET | {"faults": [{"kind": "origin-slow", "start": 0.2, "end": 0.9, "factor": 30.0}]}


class Right:
    """Sends each key to a listed host by its hash, counts hops and keeps all four rules."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.names = {host.index: host.name for host in world.fleet.hosts}
        self.started_at: dict[int, int] = {}
        self.open: dict[str, records.Try] = {}
        self.hops: Counter[str] = Counter()
        self.seen = 0

    def kind(self, one: records.Try) -> str:
        return self.world.day.profiles[one.profile].kind

    def told(self, entries: list[Entry]) -> None:
        for entry in entries:
            place = int(entry.id.split("-")[1])
            if entry.phase == "up":
                self.names[place], self.started_at[place] = entry.id, entry.since
            elif self.names.get(place) == entry.id:
                del self.names[place]

    def usable(self) -> list[int]:
        age = self.world.now - self.world.day.hosts.warm_within_ms * MS
        return [h for h in sorted(self.names) if not self.started_at.get(h) or self.started_at[h] < age]

    def host(self, one: records.Try, arrival: Arrival) -> int:
        usable = self.usable()
        return usable[sum(arrival.key.encode()) % len(usable)]

    def arrived(self, one: records.Try, arrival: Arrival) -> None:
        self.seen += 1
        self.open[one.id] = one
        self.hops[one.id] += 1
        self.world.later(one.planned - 1000 * SECOND + one.limit - 40 * MS, self.give_up, one.id)
        self.world.hop(one.id, self.host(one, arrival))

    def give_up(self, id: str) -> None:
        if one := self.open.pop(id, None):
            self.world.answer(id, "rolled-back" if self.kind(one) == "idempotent" else "abandoned")

    def hop_ended(self, id: str, hop: records.Hop, what: str, stamp: str) -> None:
        if id not in self.open:
            return
        one = self.open.pop(id)
        if what in ("value", "receipt"):
            self.world.answer(id, what, stamp)
        else:
            had_no_effect = what in ("busy", "none") or self.kind(one) == "idempotent"
            self.world.answer(id, "rolled-back" if had_no_effect else "abandoned")


class LosesAnswers(Right):
    """Drops some answers."""

    def hop_ended(self, id: str, hop: records.Hop, what: str, stamp: str) -> None:
        if self.seen % 50:
            super().hop_ended(id, hop, what, stamp)
        else:
            self.open.pop(id, None)


class AnswersLate(Right):
    """Gives up after the hard limit instead of before it."""

    def give_up(self, id: str) -> None:
        if one := self.open.get(id):
            self.world.later(one.planned - 1000 * SECOND + one.limit + 120 * MS, super().give_up, id)


class AnswersTwice(Right):
    """Sends some answers twice."""

    def hop_ended(self, id: str, hop: records.Hop, what: str, stamp: str) -> None:
        super().hop_ended(id, hop, what, stamp)
        if what == "value" and not self.seen % 20:
            self.world.answer(id, what, stamp)


class HopsAfterTheAnswer(Right):
    """Sends another hop after the final answer."""

    def hop_ended(self, id: str, hop: records.Hop, what: str, stamp: str) -> None:
        super().hop_ended(id, hop, what, stamp)
        if what == "value" and self.hops[id] == 1 and not self.seen % 20:
            self.hops[id] += 1
            self.world.later(self.world.now + 200 * MS, self.world.hop, id, hop.host)


class SendsAgain(Right):
    """Sends a second hop of a non-idempotent transaction while the first is in progress."""

    def arrived(self, one: records.Try, arrival: Arrival) -> None:
        super().arrived(one, arrival)
        if self.kind(one) == "non-idempotent":
            self.world.hop(one.id, (self.host(one, arrival) + 1) % 10)


class ClaimsRollback(Right):
    """Reports a rollback whenever it gives up, even if a hop may have run."""

    def kind(self, one: records.Try) -> str:
        return "idempotent"

    def give_up(self, id: str) -> None:
        super().give_up(id)


class ForgetsTheMark(Right):
    """Repeats a journalled transaction after the cache host has forgotten its mark."""

    def arrived(self, one: records.Try, arrival: Arrival) -> None:
        super().arrived(one, arrival)
        if self.kind(one) == "journalled":
            self.world.later(self.world.now + 900 * MS, self.world.hop, one.id, self.host(one, arrival))

    def hop_ended(self, id: str, hop: records.Hop, what: str, stamp: str) -> None:
        if id in self.open and self.kind(self.open[id]) == "journalled" and self.hops[id] == 1:
            self.hops[id] += 1  # the first answer counts as lost
        else:
            super().hop_ended(id, hop, what, stamp)


class IgnoresTheList(Right):
    """Keeps hosts that drain or are removed."""

    def told(self, entries: list[Entry]) -> None:
        self.names |= {int(e.id.split("-")[1]): e.id for e in entries}
        self.started_at.clear()


class WrongId(Right):
    """Answers some commands with the id of another one."""

    def hop_ended(self, id: str, hop: records.Hop, what: str, stamp: str) -> None:
        if what == "value" and not self.seen % 20:
            self.open.pop(id, None)
            self.world.answer(id, what, stamp, "t999999.1")
        else:
            super().hop_ended(id, hop, what, stamp)


class OutOfOrder(Right):
    """Sends the second answer on a connection first."""

    def arrived(self, one: records.Try, arrival: Arrival) -> None:
        one.connection, one.place = self.seen // 2, self.seen % 2
        super().arrived(one, arrival)

    def hop_ended(self, id: str, hop: records.Hop, what: str, stamp: str) -> None:
        one = self.open.get(id)
        other = next((o for o in self.open.values() if one and o is not one and o.connection == one.connection), None)
        if one and other and what == "value":
            self.open.pop(id)
            self.world.answer(id, what, stamp, other.id)
        else:
            super().hop_ended(id, hop, what, stamp)


class InventsValues(Right):
    """Answers with a value that no cache host sent."""

    def arrived(self, one: records.Try, arrival: Arrival) -> None:
        super().arrived(one, arrival)
        if one.profile < 2 and not self.seen % 20:
            self.open.pop(one.id)
            self.world.later(self.world.now + 20 * MS, self.world.answer, one.id, "value", "made-up/200")


class CachesValues(Right):
    """Answers with a value that a cache host sent for another transaction."""

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self.values: dict[str, str] = {}

    def arrived(self, one: records.Try, arrival: Arrival) -> None:
        if arrival.key in self.values and one.profile < 2:
            self.world.answer(one.id, "value", self.values[arrival.key])
        else:
            super().arrived(one, arrival)

    def hop_ended(self, id: str, hop: records.Hop, what: str, stamp: str) -> None:
        if what == "value":
            self.values[self.world.open[id].arrival.key] = stamp
        super().hop_ended(id, hop, what, stamp)


class OverloadsColdHost(Right):
    """Sends everything to a host that has just started."""

    def usable(self) -> list[int]:
        started_hosts = [h for h in sorted(self.names) if self.started_at.get(h)]
        return started_hosts[:1] or super().usable()


class FetchesThroughColdHosts(Right):
    """Sends everything to the hosts that have started during the play."""

    def usable(self) -> list[int]:
        started_hosts = [h for h in sorted(self.names) if self.started_at.get(h)]
        return started_hosts or super().usable()


CASES: list[tuple[type[Right], dict[str, Any], str, str]] = [
    (LosesAnswers, QUIET, "lost", "no answer"),
    (AnswersLate, STOPPING, "lost", "an answer after the hard limit"),
    (AnswersTwice, QUIET, "lost", "an answer that nothing was owed"),
    (HopsAfterTheAnswer, QUIET, "lost", "a hop after the final answer"),
    (SendsAgain, QUIET, "twice", "sent again though an earlier hop may have run"),
    (SendsAgain, QUIET, "twice", "an effect twice"),
    (ClaimsRollback, STOPPING, "twice", "rolled back though a hop may have run"),
    (ForgetsTheMark, SHORT_MEMORY, "twice", "a repeat sent when its mark was forgotten"),
    (IgnoresTheList, DRAINING, "drains", "a hop past the grace after a notice"),
    (OverloadsColdHost, CRASHED, "cold", "a cold host was pushed over"),
    (
        FetchesThroughColdHosts,
        CRASHED
        | {
            "clients": {"rate": 400.0, "leaves_early": 0.0, "skew": 0.1},
            "origin": {"stopping_rate": 150.0},
            "hosts": {"tip_multiple": 1000.0},
        },
        "cold",
        "cold misses stopped the origin",
    ),
    (WrongId, QUIET, "wrong", "an answer for the wrong id"),
    (OutOfOrder, QUIET, "wrong", "an answer out of order"),
    (InventsValues, QUIET, "wrong", "an answer that no cache host made for it"),
    (CachesValues, QUIET, "wrong", "an answer that no cache host made for it"),
]


def violations(kind: type[Right], over: dict[str, Any]) -> Counter[tuple[str, str]]:
    day = read_day("calm", over)
    return Counter((b.rule, b.what) for b in judge(day, World(day, 3, kind).run()))


@pytest.mark.parametrize("over", [QUIET, DRAINING, CRASHED, STOPPING])
def test_a_right_balancer_breaks_no_rule(over: dict[str, Any]) -> None:
    assert violations(Right, over) == Counter()


@pytest.mark.parametrize(("kind", "over", "rule", "what"), CASES, ids=lambda x: getattr(x, "__name__", None))
def test_the_judge_reports_what_a_wrong_balancer_does(
    kind: type[Right], over: dict[str, Any], rule: str, what: str
) -> None:
    reported = violations(kind, over)
    assert reported[rule, what] > 0
    assert {broken for broken, _ in reported} == {rule}


def closed_early(**changes: Any) -> Counter[str]:
    """Judges a right play in which one connection ended during its transaction; `changes` are applied to that try."""
    day = read_day("calm", QUIET)
    saw = World(day, 3, Right).run()
    one = next(t for t in saw.loads[0].tries if t.profile == 0 and t.number > 50)
    one.answer, one.ended, one.answer_id = "closed", one.sent + 30 * MS, ""
    for field, value in changes.items():
        if field == "killed":
            saw.lives[0] = records.Life(0, saw.lives[0].started, ended=one.ended, killed=True)
        elif field == "crashed":
            saw.lives[0] = records.Life(0, saw.lives[0].started, ended=one.ended, code=1)
        elif field == "unsent":
            saw.fleet.hops = [hop for hop in saw.fleet.hops if hop.id != one.id]
        else:
            setattr(one, field, value)
    return Counter(b.what for b in judge(day, saw) if b.rule == "lost")


def test_a_closed_connection_loses_its_transaction_unless_the_balancer_died_or_it_crossed_the_close() -> None:
    lost = {"the connection was closed without an answer": 1}
    assert closed_early() == lost
    assert closed_early(unsent=True, alone=False) == lost
    assert closed_early(unsent=True) == closed_early(killed=True) == closed_early(crashed=True) == {}
    assert closed_early(answer="none", ended=0) == {"no answer": 1}
    assert closed_early(answer="left") == {}


def test_an_answer_that_waited_behind_another_one_is_not_late() -> None:
    day = read_day("calm", QUIET)
    saw = World(day, 3, Right).run()
    one = saw.loads[0].tries[50]
    one.ended = one.planned + one.limit + 80 * MS
    assert [b.what for b in judge(day, saw)] == ["an answer after the hard limit"]
    one.waited = one.ended - MS
    assert judge(day, saw) == []
