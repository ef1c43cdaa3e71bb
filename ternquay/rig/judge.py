"""Finds each breach of the four rules, and each wrong answer, in what both ends of a play saw.

    breaches = judge(day, saw)     # records.Saw -> each breach with its rule, time, what it is, and evidence

The rules, in result's words: `lost` (rule 1: one answer, in time, and nothing after it), `twice` (rule 2), `drains`
(rule 3), `cold` (rule 4), `stopped` (a client that stopped in the middle of a request was left waiting), and `wrong`:
an answer out of order, for the wrong id, or made by no cache host, and a command that no client wrote.
"""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator
from typing import Any

import msgspec

from ternquay.rig.records import Hop, Life, Saw, Told, Try
from ternquay.rig.terms import MS, Day, ProfileTerms

RULES = ("lost", "twice", "drains", "cold", "wrong", "stopped")
AFTER_PAUSE = 500 * MS  # in which a process that was stopped does what fell due meanwhile
STOPPED = 3000 * MS  # in which a client that stops in the middle of a request has its error or its close
CROSSED = 100 * MS  # a close that crosses a command comes back this soon at the latest
ANSWERS = ("value", "receipt", "rolled-back", "abandoned", "error")


class Breach(msgspec.Struct, frozen=True):
    rule: str
    at: int
    what: str
    evidence: dict[str, Any]


class _Case:
    """What was seen, in the order in which it is looked at."""

    def __init__(self, day: Day, saw: Saw) -> None:
        self.day, self.saw, self.slack = day, saw, day.rules.slack_ms * MS
        self.tries = [t for load in saw.loads for t in load.tries]
        self.hops: dict[str, list[Hop]] = defaultdict(list)
        for hop in sorted(saw.fleet.hops, key=lambda h: h.whole):
            self.hops[hop.id].append(hop)
        self.closed: dict[int, list[Try]] = defaultdict(list)  # by connection
        self.lives: dict[int, list[Life]] = defaultdict(list)
        for life in saw.lives:
            self.lives[life.balancer].append(life)

    def crossed(self, one: Try) -> bool:
        """Whether a close between transactions crossed this one, and with it all that was written behind it.

        Then the first of them was alone on its connection, and none was sent on.
        """
        if not self.closed:
            for other in self.tries:
                if other.answer == "closed":
                    self.closed[other.connection].append(other)
        group = self.closed[one.connection]
        first = min(group, key=lambda t: t.place)
        return first.alone and all(t.id not in self.hops and t.ended - t.sent <= CROSSED for t in group)

    def profile(self, index: int) -> ProfileTerms:
        return self.day.profiles[index]

    def ran(self, id: str) -> list[Hop]:
        """The hops that may have run: all that came whole and were not turned away."""
        return [hop for hop in self.hops.get(id, []) if hop.fate != "busy"]

    def died(self, balancer: int, since: int, until: int) -> bool:
        """Whether that balancer was killed, or crashed, in between: then what it held is the client's."""
        return self.paused(balancer, since, until) or self.ended(balancer, since, until)

    def ended(self, balancer: int, since: int, until: int) -> bool:
        """Whether it was killed, or crashed, in between."""
        return any(
            (life.killed or life.code) and life.ended and since <= life.ended <= until for life in self.lives[balancer]
        )

    def paused(self, balancer: int, since: int, until: int) -> bool:
        """Whether it was stopped in between: a process that does not run answers nobody, nor in time."""
        return any(
            one.balancer == balancer and one.began <= until and since <= one.ended + self.slack
            for one in self.saw.pauses
        )

    def known(self, told: Told) -> int:
        """When that line was told, or if the process was stopped then, when it went on: it reads nothing before."""
        return max(
            [told.at]
            + [
                one.ended
                for one in self.saw.pauses
                if one.balancer == told.balancer and one.began <= told.at <= one.ended
            ]
        )

    def life_at(self, balancer: int, at: int) -> Life | None:
        for life in self.lives[balancer]:
            if life.started <= at and (not life.ended or at <= life.ended + self.slack):
                return life
        return None


def shown(one: Try, hops: list[Hop]) -> dict[str, Any]:
    """A try and its hops as evidence: ids and times."""
    return {"try": msgspec.structs.asdict(one), "hops": [msgspec.structs.asdict(hop) for hop in hops[:6]]}


def judge(day: Day, saw: Saw) -> list[Breach]:
    case = _Case(day, saw)
    found = [
        *_lost(case),
        *_extras(case),
        *_after(case),
        *_twice(case),
        *_effects(case),
        *_drains(case),
        *_cold(case),
        *_wrong(case),
        *_strange(case),
        *_stopped(case),
    ]
    return sorted(found, key=lambda b: b.at)


# ---- rule 1 ----


def _lost(case: _Case) -> Iterator[Breach]:
    for one in case.tries:
        if not one.sent or one.answer == "left":
            continue
        until = one.planned + one.limit + case.slack
        hops = case.hops.get(one.id, [])
        if one.answer in ANSWERS:
            # The time for which one has to wait for those before it does not count.
            if one.ended > until and one.waited <= until and not case.paused(one.balancer, one.sent, one.ended):
                yield Breach("lost", one.ended, "an answer after the hard limit", shown(one, hops))
            continue
        end = one.ended or until
        if case.died(one.balancer, one.sent - case.slack, end + case.slack):
            continue
        if one.answer == "none":
            yield Breach("lost", end, "no answer", shown(one, hops))
        elif not case.crossed(one):
            yield Breach("lost", end, "the connection was closed without an answer", shown(one, hops))


def _extras(case: _Case) -> Iterator[Breach]:
    for load in case.saw.loads:
        for extra in load.extras:
            if not extra.text.startswith("a part of an answer"):
                yield Breach("lost", extra.at, "an answer that nothing was owed", msgspec.structs.asdict(extra))


def _after(case: _Case) -> Iterator[Breach]:
    for one in case.tries:
        if one.answer not in ANSWERS:
            continue
        for hop in case.hops.get(one.id, []):
            if hop.came > one.ended + case.slack:
                yield Breach("lost", hop.came, "a hop after the final answer", shown(one, [hop]))


def _stopped(case: _Case) -> Iterator[Breach]:
    for one in case.saw.stops:
        until = one.written + STOPPED + case.slack
        # While its process is stopped it can do nothing; what is overdue by then ends soon after.
        for pause in sorted(case.saw.pauses, key=lambda other: other.began):
            if pause.balancer == one.balancer and pause.began <= until <= pause.ended + AFTER_PAUSE:
                until = pause.ended + AFTER_PAUSE
        ends = [at for at in (one.told, one.closed) if at]
        late = min(ends, default=one.watched) > until
        if one.written and late and not case.ended(one.balancer, one.written, until):
            yield Breach("stopped", until, "left without an error and a close", msgspec.structs.asdict(one))


# ---- rule 2 ----


def _twice(case: _Case) -> Iterator[Breach]:
    for one in case.tries:
        profile, ran = case.profile(one.profile), case.ran(one.id)
        if not ran or profile.kind == "idempotent":
            continue
        memory = profile.memory_ms * MS + case.slack
        if profile.kind == "non-idempotent":
            if len(ran) > 1:
                yield Breach("twice", ran[1].whole, "sent again though an earlier hop may have run", shown(one, ran))
            if one.answer == "rolled-back":
                yield Breach("twice", one.ended, "rolled back though a hop may have run", shown(one, ran))
            continue
        if ran[-1].came - ran[0].whole > memory:
            yield Breach("twice", ran[-1].came, "a repeat sent when its mark was forgotten", shown(one, ran))
        if one.answer == "rolled-back" and one.ended - ran[0].whole > memory:
            yield Breach("twice", one.ended, "rolled back when a repeat's mark was forgotten", shown(one, ran))


def _effects(case: _Case) -> Iterator[Breach]:
    """Over all tries of one transaction: what a client repeated, it had been told that it may."""
    of: dict[int, list[Hop]] = defaultdict(list)
    for one in case.tries:
        if case.profile(one.profile).write:
            of[one.number] += [hop for hop in case.hops.get(one.id, []) if hop.effect]
    for number, hops in of.items():
        if len(hops) > 1:
            yield Breach(
                "twice",
                hops[1].effect,
                "an effect twice",
                {"number": number, "hops": [msgspec.structs.asdict(hop) for hop in hops[:6]]},
            )


# ---- rule 3 ----


def place_of(name: str) -> int:
    """A host's place by its name, which successors at one address share."""
    return int(name.split("-")[1])


def _drains(case: _Case) -> Iterator[Breach]:
    told: dict[tuple[int, int], list[tuple[Told, int]]] = defaultdict(list)
    for line in sorted(case.saw.fleet.told, key=lambda t: t.at):
        told[line.balancer, place_of(line.host)].append((line, case.known(line)))
    grace = case.day.rules.drain_grace_ms * MS + case.slack
    balancers = {one.id: one.balancer for one in case.tries}
    for hops in case.hops.values():
        for hop in hops:
            balancer = balancers.get(hop.id, -1)
            life = case.life_at(balancer, hop.came)
            if life is None:
                continue
            lines = [(line, at) for line, at in told[balancer, hop.host] if life.started <= at]
            until = bisect_right([at for _, at in lines], hop.came)
            if not _stood(lines[:until], hop.came - grace):
                evidence = {
                    "hop": msgspec.structs.asdict(hop),
                    "balancer": balancer,
                    "told": [msgspec.structs.asdict(t) for t, _ in lines[:until][-4:]],
                }
                yield Breach("drains", hop.came, "a hop past the grace after a notice", evidence)


def _stood(lines: list[tuple[Told, int]], before: int) -> bool:
    """Whether some host at that address was ready for all that a balancer knew, or was till just now."""
    if not lines:
        return True  # as in the list that it started with
    ends: dict[str, int] = {}
    for line, at in lines:
        if line.phase == "up":
            ends.pop(line.host, None)
        else:
            ends.setdefault(line.host, at)
    return len(ends) < len({line.host for line, _ in lines}) or max(ends.values()) > before


# ---- rule 4 ----


def _cold(case: _Case) -> Iterator[Breach]:
    for tip in case.saw.fleet.tipped:
        yield Breach("cold", tip.at, "a cold host was pushed over", msgspec.structs.asdict(tip))
    for stop in case.saw.fleet.stopped:
        if stop.by_cold >= case.day.rules.cold_part * stop.asked:
            yield Breach("cold", stop.at, "cold misses stopped the origin", msgspec.structs.asdict(stop))


# ---- answers ----


def _wrong(case: _Case) -> Iterator[Breach]:
    on: dict[int, list[Try]] = defaultdict(list)
    for one in case.tries:
        if one.sent:
            on[one.connection].append(one)
    for one in case.tries:
        if one.answer == "error":
            yield Breach("wrong", one.ended, f"an answer that the protocol has not: {one.text}", shown(one, []))
        if one.answer not in ("value", "receipt"):
            continue
        hops = case.hops.get(one.id, [])
        if one.answer_id != one.id:
            other = next((t for t in on[one.connection] if t.id == one.answer_id), None)
            what = "an answer out of order" if other is not None else "an answer for the wrong id"
            yield Breach("wrong", one.ended, what, shown(one, hops))
        elif (one.answer == "receipt") != case.profile(one.profile).write:
            yield Breach("wrong", one.ended, "an answer of the other kind", shown(one, hops))
        elif one.text not in {hop.stamp for hop in hops if hop.stamp}:
            yield Breach("wrong", one.ended, "an answer that no cache host made for it", shown(one, hops))


def _strange(case: _Case) -> Iterator[Breach]:
    for text in case.saw.fleet.strange:
        yield Breach("wrong", case.saw.begin, "a cache host was sent what is no command", {"text": text})
