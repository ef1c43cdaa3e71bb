"""The highest rate at which the 99th percentile stays within the service goal, and what twice that rate does.

All keys lie at all hosts and nothing is written, as the balancers are the subject and not the origin; the rate is
doubled until it is too much, then the gap is halved.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from ternquay.rig.contender import Contender
from ternquay.rig.judge import judge
from ternquay.rig.measure import after, measure
from ternquay.rig.play import play
from ternquay.rig.terms import Day, read_day

FIRST, LEAST, MOST, STEPS = 1000.0, 100.0, 20_000.0, 3
SECONDS, WARM_UP = 7.0, 2.0  # what the balancers learn at first is not counted
KEPT = 0.98  # of the transactions committed, for a rate to count as carried
PROFILE = {
    "name": "clip",
    "kind": "idempotent",
    "share": 1.0,
    "revenue": 1.0,
    "work_ms": [0.4, 0.8],
    "service_goal_ms": 100,
    "hard_limit_ms": 500,
}


def day_at(rate: float, balancers: int, seconds: float = SECONDS) -> Day:
    """A calm day of reads alone at hosts that are no limit."""
    return read_day(
        "calm",
        {
            "name": "saturate",
            "seconds": seconds,
            "profiles": [PROFILE],
            "balancers": {"count": balancers, "sockets": 1024, "memory_mb": 192},
            "hosts": {"count": 10, "cores": 8, "queue": 2000, "keep_bytes": 1 << 24, "kept_at_start": 1.0},
            "clients": {
                "rate": rate,
                "keys": 2000,
                "value_bytes": [200, 600],
                "leaves_early": 0.0,
                "pipelined": 0.0,
                "connections": 100,
            },
        },
    )


def point(rate: float, balancers: int, one: Contender, out: Path, loads: int, shards: int) -> dict[str, Any]:
    day = day_at(rate, balancers)
    whole = play(day, 1, one, out, loads, shards=shards)
    saw = after(whole, WARM_UP)
    result = measure(day, saw, judge(day, saw))
    txs, used = max(1, result["txs"]), result["balancers"]
    return {
        "rate": rate,
        "late": result["late"],
        "lateness": result["lateness"],
        "p99_ms": result["latency_ms"]["p99"],
        "p50_ms": result["latency_ms"]["p50"],
        "committed": round(result["committed"] / txs, 4),
        "rolled_back": round(result["rolled_back"] / txs, 4),
        "abandoned": round(result["abandoned"] / txs, 4),
        "service": result["service"],
        "rules": result["rules"],
        "cpu_us_per_tx": round(sum(b["cpu_us_per_tx"] for b in used) / len(used), 1),
        "cpu_share": round(sum(b["cpu_share"] for b in used) / len(used), 3),
        "memory_mb": max(b["memory_mb"] for b in used),
    }


def carried(found: dict[str, Any]) -> bool:
    goal = PROFILE["service_goal_ms"]
    assert isinstance(goal, int)
    return bool(found["p99_ms"] <= goal and found["committed"] >= KEPT)


def saturate(
    balancers: int,
    one: Contender,
    out: Path,
    loads: int = 2,
    shards: int = 2,
    progress: Callable[[str], None] = lambda text: None,
) -> dict[str, Any]:
    points: list[dict[str, Any]] = []

    def at(rate: float) -> dict[str, Any]:
        progress(f"{rate:.0f} tx/s")
        points.append(point(rate, balancers, one, out, loads, shards))
        return points[-1]

    low, high, rate = 0.0, 0.0, FIRST * balancers
    while not high and rate <= MOST:
        found = at(rate)
        if found["late"]:
            break  # the rig's own limit
        if carried(found):
            low = rate
        else:
            high = rate
        rate *= 2
    for _ in range(STEPS if high else 0):
        rate = (low + high) / 2
        found = at(rate)
        if found["late"] or not carried(found):
            high = rate
        else:
            low = rate
    while not low and high > LEAST:
        high /= 2  # not even the first was carried
        if carried(at(high)):
            low = high
    best = next((p for p in points if p["rate"] == low), None)
    twice = next((p for p in points if p["rate"] == 2 * low), None)
    return {
        "balancers": balancers,
        "highest_rate": low,
        "at": best,
        "bound_by_rig": not high,
        "twice": twice or (at(2 * low) if low else None),
        "points": points,
    }
