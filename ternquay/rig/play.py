"""Plays one day: starts stand-ins, balancers and load on loopback, carries out the day's faults on balancers, and
gathers what all of them saw.

    saw = play(day, seed, contender, out)    # raises PlayError if it could not be played

Cores are set apart: one for each balancer, one for the stand-ins, the rest for load. No process is left behind.
"""

import json
import shutil
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from ternquay.rig import records
from ternquay.rig.balancer_process import Balancer, balancer_events
from ternquay.rig.child import Plan
from ternquay.rig.configuration import host_places, tail_ms
from ternquay.rig.contender import Contender
from ternquay.rig.processes import TURN, PlayError, PortTaken, Running, Stage, share_cores, staged
from ternquay.rig.terms import MS, SECOND, Day, has_stopped_clients, plan_faults

SAMPLE_EVERY = SECOND // 4
TRIES = 3  # ports may be taken between the moment we find them free and the moment a balancer listens


def follow(
    day: Day,
    begin: int,
    events: list[tuple[int, Callable[[], bool | None]]],
    balancers: list[Balancer],
    children: list[Running],
    progress: Callable[[float], None],
) -> None:
    """Until stand-ins and load have ended by themselves; raises PlayError if one ended otherwise."""
    last = begin + int((day.seconds + tail_ms(day) / 1000 + 15) * SECOND)
    sampled = 0
    while any(child.process.poll() is None for child in children):
        now = time.monotonic_ns()
        while events and begin + events[0][0] <= now:
            _, what = events.pop(0)
            if what() is False:
                events.insert(0, (now + 50 * MS - begin, what))
                break
        if now - sampled >= SAMPLE_EVERY:
            sampled = now
            for balancer in balancers:
                balancer.look(now)
            progress((now - begin) / SECOND)
        for child in children:
            if child.process.poll() not in (None, 0):
                raise PlayError(f"{child.name} ended: {child.last_words()}")
        if now > last:
            raise PlayError("the play did not end in its time")
        time.sleep(TURN)


def may_shard(day: Day) -> bool:
    """Whether cache hosts may be dealt out over processes: what one does must not matter to another."""
    return not day.faults and all(not p.write for p in day.profiles)


def play(
    day: Day,
    seed: int,
    contender: Contender,
    out: Path,
    loads: int = 2,
    progress: Callable[[float], None] = lambda at: None,
    shards: int = 1,
) -> records.Saw:
    """Plays the day once. Other ports are used where one was taken.

    `shards` processes have the cache hosts, on days without writes and faults alone.
    """
    if day.tenants:
        raise PlayError(f"{day.name}: has tenants; rig play and rig neighbours play such a day")
    if shards > 1 and not may_shard(day):
        raise PlayError(f"{day.name}: with writes or faults its cache hosts can't be in several processes")
    for last in (False,) * (TRIES - 1) + (True,):
        shutil.rmtree(out / "logs", ignore_errors=True)
        try:
            with staged(out) as stage:
                return _play(stage, day, seed, contender, (shards, loads), progress)
        except PortTaken:
            if last:
                raise
    raise AssertionError


def _play(
    stage: Stage,
    day: Day,
    seed: int,
    contender: Contender,
    processes: tuple[int, int],
    progress: Callable[[float], None],
) -> records.Saw:
    shards, loads = processes
    cores = share_cores(day.balancers.count, loads, shards)
    balancers = [Balancer(stage, day, n, contender, seed, cores.balancers[n]) for n in range(day.balancers.count)]
    plan = Plan(
        day,
        seed,
        "",
        epoch_ms=time.time_ns() // MS,
        balancers=[b.listen for b in balancers],
        loads=loads,
        tail_ms=tail_ms(day),
        places=host_places(day),
        shards=shards,
    )

    def child(name: str, module: str, core: int, **terms: Any) -> Running:
        saw = stage.out / f"{name}.saw"
        saw.unlink(missing_ok=True)
        path = stage.out / f"{name}.json"
        path.write_bytes(msgspec.json.encode(msgspec.structs.replace(plan, out=str(saw.resolve()), **terms)))
        return stage.start(name, [sys.executable, "-m", module, str(path.resolve())], core)

    standins = [
        child("standins" if not n else f"standins-{n}", "ternquay.rig.standins", core, shard=n)
        for n, core in enumerate(cores.standins)
    ]
    clients = [child(f"load-{n}", "ternquay.rig.load", core, index=n) for n, core in enumerate(cores.loads)]
    if has_stopped_clients(day):
        clients.append(child("stopping", "ternquay.rig.stopping", cores.loads[-1]))
    told = [one.told() for one in standins][0]
    for balancer in balancers:
        balancer.configure(told["discovery"][balancer.number][0], json.loads(told["known"]))
        balancer.start()
    for one in clients:
        one.told()
    for balancer in balancers:
        balancer.wait_ready()
    begin = time.monotonic_ns() + 300 * MS
    children = [*standins, *clients]
    for running in children:
        running.say(f"begin {begin}\n")
    events = balancer_events(plan_faults(day, seed), balancers, [second for _, second in told["discovery"]])
    follow(day, begin, events, balancers, children, progress)
    for running in children:
        running.check_log()
    return gathered(stage, day, seed, begin, balancers, [one.name for one in standins], loads)


def gathered(
    stage: Stage, day: Day, seed: int, begin: int, balancers: list[Balancer], standins: list[str], loads: int
) -> records.Saw:
    try:
        fleet = records.together([records.read_fleet(stage.out / f"{name}.saw") for name in standins])
        clients = [records.read_load(stage.out / f"load-{n}.saw") for n in range(loads)]
        stops = records.read_stops(stage.out / "stopping.saw") if has_stopped_clients(day) else []
    except (OSError, msgspec.DecodeError) as fault:
        raise PlayError(f"what was seen can't be read: {fault}") from fault
    for name in (*standins, *(f"load-{n}" for n in range(loads)), *(["stopping"] if has_stopped_clients(day) else [])):
        (stage.out / f"{name}.saw").unlink()
        (stage.out / f"{name}.json").unlink()
    return records.Saw(
        day=day.name,
        seed=seed,
        seconds=day.seconds,
        begin=begin,
        loads=clients,
        fleet=fleet,
        lives=[life for b in balancers for life in b.lives],
        samples=[s for b in balancers for s in b.samples],
        pauses=[pause for b in balancers for pause in b.pauses],
        stops=stops,
    )
