"""What many tenants cost a hosted balancer: changes and starts timed, memory of idle ones, CPU a transaction.

    found = size(out, tenants, active, seconds, rounds)

All tenants name the cache hosts of one fleet; the load goes to one of them, then to several, in turn.
"""

import json
import time
from collections.abc import Callable
from pathlib import Path
from statistics import mean
from typing import Any

import psutil

from ternquay.hosted.administration.caller import Caller, CallFailed, Target
from ternquay.rig import records
from ternquay.rig.child import Plan
from ternquay.rig.configuration import tail_ms
from ternquay.rig.measure import percentile
from ternquay.rig.ports import free_place
from ternquay.rig.processes import PlayError, Stage, staged
from ternquay.rig.tenants import ENDS_WITHIN, Hosted, Party, child, cores_for, document, standins
from ternquay.rig.terms import MS, SECOND, Day, TenantTerms, read_day

RATE, HOSTS = 250.0, 5
IDLE_FIRST = 20  # tenants made before memory is counted: what the first ones bring is the program's


def size(
    out: Path,
    tenants: int = 200,
    active: int = 20,
    seconds: float = 10.0,
    rounds: int = 2,
    progress: Callable[[str], None] = lambda text: None,
) -> dict[str, Any]:
    day = read_day(
        "calm",
        {
            "seconds": seconds,
            "hosts": {"count": HOSTS},
            "clients": {"rate": RATE, "keys": 1500},
            "balancers": {"count": 1},
        },
    )
    with staged(out) as stage:
        hosted = Hosted(stage, day, 1, cores_for(1)[0])
        hosted.prepare(1)
        parties = [
            Party(
                TenantTerms(f"t{n}", least=0.0, most=1.0, txs_a_second=100_000.0, burst=100_000, open_txs=20_000),
                day,
                free_place(f"127.3.2.{n + 1}"),
                0,
            )
            for n in range(tenants)
        ]
        found = _made(hosted, parties, progress)
        found |= _started_again(hosted, progress)
        plays: dict[str, list[float]] = {"one": [], "several": []}
        for n in range(rounds):
            for name, many in (("one", 1), ("several", active)):
                progress(f"{name}, round {n + 1}")
                plays[name].append(_cpu(stage, day, hosted, parties[:many], n))
        found["cpu_us_per_tx"] = {name: round(mean(values), 1) for name, values in plays.items()}
        found["cpu_us_per_tx_plays"] = {name: [round(value, 1) for value in values] for name, values in plays.items()}
        found["active"] = active
    return found


def _made(hosted: Hosted, parties: list[Party], progress: Callable[[str], None]) -> dict[str, Any]:
    """All of them by the API, each change timed, with memory before and after."""
    hosted.start()
    hosted.wait_ready()
    assert hosted.running is not None
    meter = psutil.Process(hosted.running.process.pid)
    caller, took, before = Caller(Target(f"http://{hosted.api}", hosted.token)), [], 0
    for n, party in enumerate(parties):
        if n == IDLE_FIRST:
            before = meter.memory_info().rss
        if n % 50 == 0:
            progress(f"{n} tenants")
        # Addresses of nobody: none of them has anything to do.
        party.servers = [{"name": f"host-{k}", "place": f"127.8.{n}.{k + 1}:9"} for k in range(HOSTS)]
        began = time.monotonic_ns()
        try:
            caller.call("POST", "/v1/tenants", document(party))
        except CallFailed as fault:
            raise PlayError(f"the API: {fault}") from fault
        took.append(time.monotonic_ns() - began)
        time.sleep(0.02)  # as an operator's script, and not as a flood
    each = (meter.memory_info().rss - before) / max(1, len(parties) - IDLE_FIRST)
    return {
        "tenants": len(parties),
        "servers_each": HOSTS,
        "memory_kb_per_idle_tenant": round(each / 1024, 1),
        "memory_mb": round(meter.memory_info().rss / (1 << 20), 1),
        "change_ms": {
            "p50": round(percentile(took, 0.5) / MS, 2),
            "p99": round(percentile(took, 0.99) / MS, 2),
            "max": round(max(took) / MS, 2),
        },
    }


def _started_again(hosted: Hosted, progress: Callable[[str], None]) -> dict[str, Any]:
    """Killed and started: from the command until the API and the last tenant answer."""
    progress("started again")
    assert hosted.running is not None
    hosted.running.process.kill()
    hosted.running.process.wait()
    began = time.monotonic_ns()
    hosted.start()
    hosted.wait_ready()
    took = time.monotonic_ns() - began
    meter = psutil.Process(hosted.running.process.pid)
    cpu = meter.cpu_times()
    time.sleep(5.0)
    after = meter.cpu_times()
    idle = (after.user + after.system - cpu.user - cpu.system) / 5.0
    return {"start_s": round(took / SECOND, 3), "idle_cpu_share": round(idle, 4)}


def _cpu(stage: Stage, day: Day, hosted: Hosted, parties: list[Party], number: int) -> float:
    """Microseconds of CPU for a transaction, with the load spread over these tenants."""
    cores = cores_for(4)
    fleet = standins(stage, parties[0], number, number, cores[2])
    known = fleet.told()
    caller = Caller(Target(f"http://{hosted.api}", hosted.token))
    for party in parties:
        servers = [
            {"name": f"host-{n}", "place": member["host_port"], "started_ms": 1}
            for n, member in enumerate(_members(known))
        ]
        caller.call("PUT", f"/v1/tenants/{party.terms.name}/servers", {"servers": servers}, -1)
    plan = Plan(day, number, "", balancers=[party.listen for party in parties], tail_ms=tail_ms(day), prefix="s-")
    load = child(stage, "load-size", "ternquay.rig.load", cores[3], plan)
    load.told()
    assert hosted.running is not None
    meter = psutil.Process(hosted.running.process.pid)
    begin = time.monotonic_ns() + 300 * MS
    before = meter.cpu_times()
    for one in (fleet, load):
        one.say(f"begin {begin}\n")
    until = time.monotonic() + day.seconds + tail_ms(day) / 1000 + ENDS_WITHIN
    while load.process.poll() is None or fleet.process.poll() is None:
        if time.monotonic() > until:
            raise PlayError("the load did not end in its time")
        time.sleep(0.05)
    after = meter.cpu_times()
    saw = records.read_load(stage.out / "load-size.saw")
    done = sum(one.answer in ("value", "receipt") for one in saw.tries)
    if done < 0.98 * len(saw.tries):
        raise PlayError(f"only {done} of {len(saw.tries)} were committed: the figure would not be one of calm")
    cpu: float = after.user + after.system - before.user - before.system
    return 1e6 * cpu / len(saw.tries)


def _members(known: dict[str, Any]) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = json.loads(known["known"])["members"]
    return found
