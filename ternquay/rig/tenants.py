"""Plays a day with tenants: one hosted balancer for all, and for each tenant its own cache hosts, clients and judge.

    found = play_tenants(day, seed, out)     # the object of result.json, and each breach

Tenants may share cache hosts. A flood and changes by the administration API are processes of their own.
"""

import json
import os
import shutil
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ternquay.hosted.administration import keys
from ternquay.hosted.administration.caller import Caller, CallFailed, Target
from ternquay.rig import records
from ternquay.rig.balancer_process import Balancer
from ternquay.rig.changer import ChangePlan, ChangesSaw
from ternquay.rig.child import Plan
from ternquay.rig.configuration import tail_ms
from ternquay.rig.contender import by_decisions
from ternquay.rig.flood import FloodPlan, FloodSaw
from ternquay.rig.judge import Breach, judge
from ternquay.rig.measure import (
    committed_at,
    crashes,
    histogram,
    in_goal,
    is_late,
    lateness,
    measure,
    percentile,
    tries_of,
)
from ternquay.rig.play import follow
from ternquay.rig.ports import free_place
from ternquay.rig.processes import PlayError, PortTaken, Running, Stage, staged
from ternquay.rig.terms import MS, Day, TenantTerms

TRIES = 3
ENDS_WITHIN = 6.0


@dataclass(slots=True)
class Party:
    """One tenant of a play, and where it is."""

    terms: TenantTerms
    day: Day
    listen: str
    number: int  # among those that share its cache hosts
    source: str = ""
    servers: list[dict[str, Any]] | None = None


def day_of(day: Day, terms: TenantTerms) -> Day:
    """A tenant's own day: its cache hosts, its clients, its faults."""
    owner = next(one for one in day.tenants if one.name == (terms.fleet or terms.name))
    sharing = sum(1 for one in day.tenants if (one.fleet or one.name) == owner.name)
    return msgspec.structs.replace(
        day,
        name=f"{day.name}/{terms.name}",
        tenants=(),
        hosts=msgspec.structs.replace(day.hosts, count=owner.hosts),
        clients=msgspec.structs.replace(day.clients, rate=terms.rate),
        balancers=msgspec.structs.replace(day.balancers, count=sharing),
        faults=tuple(f for f in day.faults if f.tenant == owner.name),
        flood=type(day.flood)(),
        changes=type(day.changes)(),
    )


def parties(day: Day) -> list[Party]:
    found: list[Party] = []
    for n, terms in enumerate(day.tenants):
        owner = terms.fleet or terms.name
        number = sum(1 for one in found if (one.terms.fleet or one.terms.name) == owner)
        found.append(Party(terms, day_of(day, terms), free_place(f"127.3.1.{n + 1}"), number))
    return found


def document(party: Party) -> dict[str, Any]:
    """The tenant as the administration API takes it."""
    terms, day = party.terms, party.day
    part = {"least": terms.least, "most": terms.most}
    profiles = [
        {
            "name": p.name,
            "kind": p.kind,
            "service_goal_ms": p.service_goal_ms,
            "hard_limit_ms": p.hard_limit_ms,
            "memory_ms": p.memory_ms,
        }
        for p in day.profiles
    ]
    told: dict[str, Any] = {
        "name": terms.name,
        "listeners": [party.listen],
        "profiles": profiles,
        "rules": {
            "drain_grace_ms": day.rules.drain_grace_ms,
            "cold_share": day.hosts.cold_share,
            "warm_within_ms": day.hosts.warm_within_ms,
            "tip_multiple": day.hosts.tip_multiple,
            "tip_window_ms": day.hosts.tip_window_ms,
        },
        "limits": {
            "txs_a_second": terms.txs_a_second,
            "burst": terms.burst,
            "open_txs": terms.open_txs,
            "clients": terms.clients,
            "host_connections": 150,
            "cpu": part,
            "sockets": part,
            "memory": part,
        },
    }
    return told | ({"servers": party.servers} if party.servers is not None else {"source": party.source})


class Hosted(Balancer):
    """The hosted balancer; of its lives there is one."""

    def __init__(self, stage: Stage, day: Day, seed: int, core: int) -> None:
        super().__init__(stage, day, 0, by_decisions("pat"), seed, core)
        self.token = keys.generate_token("", "rig")
        self.api = free_place("127.0.0.1")
        self.file = stage.out / "service.toml"

    def prepare(self, seed: int) -> None:
        for old in self.stage.out.glob("registry.db*"):
            old.unlink()
        self.file.write_text(
            f'name = "rig"\n[process]\nseed = {seed}\nsockets = 1024\n[store]\npath = "registry.db"\n'
            f'[api]\nlisten = "{self.api}"\n[[api.operators]]\nname = "rig"\n'
            f'digest = "{keys.digest_of(self.token).hex()}"\n[end]\n'
        )

    def start(self) -> None:
        command = [sys.executable, "-m", "ternquay", "host", "--config", str(self.file.resolve())]
        self.running = self.stage.start(self.label(), command, self.core, self.contender.tree, False)
        self.lives.append(records.Life(0, time.monotonic_ns()))

    def label(self) -> str:
        """Of its log."""
        return "hosted"

    def answers(self) -> bool:
        host, _, port = self.api.rpartition(":")
        try:
            socket.create_connection((host, int(port)), timeout=0.5).close()
            return True
        except OSError:
            return False

    def finish(self) -> None:
        """Told to end, it does so in order and in time; else that is noted as a crash."""
        assert self.running is not None
        self.ask_to_end()
        until = time.monotonic() + ENDS_WITHIN
        while self.running.process.poll() is None and time.monotonic() < until:
            time.sleep(0.02)
        self.lives[-1].ended = time.monotonic_ns()
        code = self.running.process.poll()
        self.lives[-1].code = 1 if code is None else code

    def take_in(self, told: list[dict[str, Any]]) -> None:
        caller = Caller(Target(f"http://{self.api}", self.token))
        try:
            for one in told:
                caller.call("POST", "/v1/tenants", one)
        except CallFailed as fault:
            raise (PortTaken if "in use" in str(fault) else PlayError)(f"the API: {fault}") from fault


def play_tenants(
    day: Day,
    seed: int,
    out: Path,
    progress: Callable[[float], None] = lambda at: None,
) -> tuple[dict[str, Any], list[Breach]]:
    shutil.rmtree(out / "logs", ignore_errors=True)
    for last in (False,) * (TRIES - 1) + (True,):
        try:
            with staged(out) as stage:
                return _play(stage, day, seed, progress)
        except PortTaken:
            if last:
                raise
    raise AssertionError


def cores_for(many: int) -> list[int]:
    cores = sorted(os.sched_getaffinity(0))
    return [cores[n % len(cores)] for n in range(many)]


def _play(stage: Stage, day: Day, seed: int, progress: Callable[[float], None]) -> tuple[dict[str, Any], list[Breach]]:
    all = parties(day)
    owners = [party for party in all if not party.terms.fleet]
    cores = cores_for(2 + len(owners) + len(all))
    hosted = Hosted(stage, day, seed, cores[0])
    hosted.prepare(seed)
    hosted.start()
    fleets = {party.terms.name: standins(stage, party, seed, n, cores[2 + n]) for n, party in enumerate(owners)}
    known = {name: running.told() for name, running in fleets.items()}
    for party in all:
        told = known[party.terms.fleet or party.terms.name]
        party.source = told["discovery"][party.number][0]
        if party.terms.name in day.changes.tenants:
            party.servers = [
                {"name": "-".join(m["id"].split("-")[:2]), "place": m["host_port"]}
                for m in json.loads(told["known"])["members"]
            ]
    hosted.wait_ready()
    hosted.take_in([document(party) for party in all])
    loads = {party.terms.name: _load(stage, party, seed, n, cores[2 + len(owners) + n]) for n, party in enumerate(all)}
    extra = _extra(stage, day, seed, all, hosted, cores[1])
    for one in (*loads.values(), *extra.values()):
        one.told()
    time.sleep(1.0)  # the sources' lists have come
    begin = time.monotonic_ns() + 300 * MS
    children = [*fleets.values(), *loads.values(), *extra.values()]
    for running in children:
        running.say(f"begin {begin}\n")
    follow(day, begin, [], [hosted], children, progress)
    hosted.finish()
    return _gathered(stage, day, seed, begin, all, hosted, extra)


def child(stage: Stage, name: str, module: str, core: int, plan: Plan) -> Running:
    saw = stage.out / f"{name}.saw"
    saw.unlink(missing_ok=True)
    path = stage.out / f"{name}.json"
    path.write_bytes(msgspec.json.encode(msgspec.structs.replace(plan, out=str(saw.resolve()))))
    return stage.start(name, [sys.executable, "-m", module, str(path.resolve())], core)


def standins(stage: Stage, party: Party, seed: int, fleet: int, core: int) -> Running:
    day = party.day
    places = [free_place(f"127.{10 + fleet}.{n // 250}.{n % 250 + 1}") for n in range(day.hosts.count)]
    plan = Plan(day, seed + 1000 * fleet, "", epoch_ms=time.time_ns() // MS, places=places, tail_ms=tail_ms(day))
    return child(stage, f"standins-{party.terms.name}", "ternquay.rig.standins", core, plan)


def _load(stage: Stage, party: Party, seed: int, number: int, core: int) -> Running:
    name = party.terms.name
    plan = Plan(
        party.day,
        seed + 1000 * number,
        "",
        balancers=[party.listen],
        tail_ms=tail_ms(party.day),
        prefix=f"{name}-",
        addresses=[f"127.5.{number}.{n + 1}" for n in range(party.terms.addresses)],
    )
    return child(stage, f"load-{name}", "ternquay.rig.load", core, plan)


def _extra(stage: Stage, day: Day, seed: int, all: list[Party], hosted: Hosted, core: int) -> dict[str, Running]:
    found = {}
    if day.flood.shape != "none":
        party = next(one for one in all if one.terms.name == day.flood.tenant)
        read = next(p for p in day.profiles if not p.write)
        plan = FloodPlan(
            party.day,
            seed,
            "",
            balancers=[party.listen],
            tail_ms=tail_ms(day),
            flood=day.flood,
            rate=day.flood.factor * party.terms.txs_a_second,
            api=hosted.api,
            profile=read.name,
            keys=day.clients.keys,
            value_goal_ms=read.hard_limit_ms,
        )
        found["flood"] = child(stage, "flood", "ternquay.rig.flood", core, plan)
    if day.changes.a_second:
        # One that nobody changes and nobody looks at, if there is one, is suspended and resumed.
        spare = next((t.name for t in day.tenants if t.name not in day.changes.tenants), "")
        change = ChangePlan(day, seed, "", changes=day.changes, api=hosted.api, token=hosted.token, suspended=spare)
        found["changer"] = child(stage, "changer", "ternquay.rig.changer", core, change)
    return found


def _saw_of(
    party: Party,
    seed: int,
    begin: int,
    fleet: records.FleetSaw,
    load: records.LoadSaw,
    hosted: Hosted,
    told: list[records.Told],
) -> records.Saw:
    mine = [msgspec.structs.replace(one, balancer=0) for one in fleet.told if one.balancer == party.number]
    whole = msgspec.structs.replace(fleet, told=told or mine)
    return records.Saw(
        day=party.day.name,
        seed=seed,
        seconds=party.day.seconds,
        begin=begin,
        loads=[load],
        fleet=whole,
        lives=hosted.lives,
        samples=hosted.samples,
    )


def _gathered(
    stage: Stage, day: Day, seed: int, begin: int, all: list[Party], hosted: Hosted, extra: dict[str, Running]
) -> tuple[dict[str, Any], list[Breach]]:
    out = stage.out
    try:
        changes = (
            msgspec.json.decode((out / "changer.saw").read_bytes(), type=ChangesSaw)
            if "changer" in extra
            else ChangesSaw()
        )
        flood = msgspec.json.decode((out / "flood.saw").read_bytes(), type=FloodSaw) if "flood" in extra else None
        fleets = {
            party.terms.name: records.read_fleet(out / f"standins-{party.terms.name}.saw")
            for party in all
            if not party.terms.fleet
        }
        saws = {
            party.terms.name: _saw_of(
                party,
                seed,
                begin,
                fleets[party.terms.fleet or party.terms.name],
                records.read_load(out / f"load-{party.terms.name}.saw"),
                hosted,
                changes.told.get(party.terms.name, []),
            )
            for party in all
        }
    except (OSError, msgspec.DecodeError) as fault:
        raise PlayError(f"what was seen can't be read: {fault}") from fault
    breaches, tenants = [], {}
    for party in all:
        saw = saws[party.terms.name]
        found = judge(party.day, saw)
        breaches += found
        tenants[party.terms.name] = tenant_figures(measure(party.day, saw, found))
    result = together(day, seed, saws, tenants, hosted)
    if flood is not None:
        result["flood"] = {**msgspec.to_builtins(flood), "shape": day.flood.shape, "tenant": day.flood.tenant}
        breaches += [Breach("wrong", begin, text, {"flood": day.flood.shape}) for text in flood.wrong]
        result["rules"]["wrong"] += len(flood.wrong)
    if changes.changes:
        result["changes"] = change_figures(changes)
    return result, breaches


def tenant_figures(result: dict[str, Any]) -> dict[str, Any]:
    return {
        "service": result["service"],
        "p99_ms": result["latency_ms"]["p99"],
        "p50_ms": result["latency_ms"]["p50"],
        "worst_2s": result["worst_2s"],
        "txs": result["txs"],
        "committed": result["committed"],
        "rolled_back": result["rolled_back"],
        "abandoned": result["abandoned"],
        "rules": result["rules"],
        "origin_stops": result["origin"]["stops"],
        "hops_per_tx": result["hops_per_tx"],
    }


def together(
    day: Day, seed: int, saws: dict[str, records.Saw], tenants: dict[str, dict[str, Any]], hosted: Hosted
) -> dict[str, Any]:
    """The figures of the whole play; each tenant's under `tenants`."""
    names = list(saws)
    asked = sum(t["txs"] for t in tenants.values())
    rules = {rule: sum(t["rules"][rule] for t in tenants.values()) for rule in tenants[names[0]]["rules"]}
    times = [
        at - tries[0].due for name in names for tries in tries_of(saws[name]).values() if (at := committed_at(tries))
    ]
    spread = histogram(times)
    samples = hosted.samples
    cpu = samples[-1].cpu - samples[0].cpu if samples else 0.0
    late = [lateness(saw) for saw in saws.values()]
    first = saws[names[0]]
    return {
        "day": day.name,
        "seed": seed,
        "seconds": day.seconds,
        "late": any(is_late(saw) for saw in saws.values()),
        "lateness": {name: max(one[name] for one in late) for name in late[0]},
        "txs": asked,
        "service": round(sum(t["service"] * t["txs"] for t in tenants.values()) / max(1, asked), 4),
        "rules": rules,
        "crashes": crashes(first),
        "latency_ms": {
            name: round(spread.get_value_at_percentile(p) / 1000, 2)
            for name, p in (("p50", 50.0), ("p99", 99.0), ("p999", 99.9))
        },
        "in_goal": sum(in_goal(day, tries) for saw in saws.values() for tries in tries_of(saw).values()),
        "tenants": tenants,
        "balancers": [
            {
                "cpu_s": round(cpu, 3),
                "cpu_share": round(cpu / day.seconds, 3),
                "memory_mb": round(max((s.memory for s in samples), default=0) / (1 << 20), 1),
                "descriptors": max((s.descriptors for s in samples), default=0),
            }
        ],
    }


def change_figures(saw: ChangesSaw) -> dict[str, Any]:
    took = [one.ended - one.began for one in saw.changes]
    kinds: dict[str, int] = {}
    for one in saw.changes:
        kinds[one.kind] = kinds.get(one.kind, 0) + 1
    return {
        "made": sum(one.status < 300 for one in saw.changes),
        "not_made": sum(one.status >= 300 or not one.status for one in saw.changes),
        "p50_ms": round(percentile(took, 0.5) / MS, 2),
        "p99_ms": round(percentile(took, 0.99) / MS, 2),
        "kinds": dict(sorted(kinds.items())),
    }
