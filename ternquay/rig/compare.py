"""Two contenders on the same days: plays paired by seed, in turn on the same cores; differences with intervals.

The interval is the bootstrap's, percentile form, over the paired differences (Efron and Tibshirani, 1993). With few
pairs it is narrow for what it knows: under `PAIRS_LEAST` pairs no difference is told.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np

from ternquay.rig.contender import Contender
from ternquay.rig.judge import judge
from ternquay.rig.measure import measure
from ternquay.rig.play import play
from ternquay.rig.terms import Day

RESAMPLES, CONFIDENCE, PAIRS_LEAST = 10_000, 0.95, 4
LATE_AGAIN = 2  # a late play is played again so often


def interval(differences: list[float]) -> tuple[float, float, float]:
    """The mean of paired differences and the bounds of its 95% interval."""
    values = np.asarray(differences, dtype=float)
    drawn = np.random.default_rng(1).choice(values, size=(RESAMPLES, len(values)), replace=True).mean(axis=1)
    tail = (1 - CONFIDENCE) / 2 * 100
    low, high = np.percentile(drawn, [tail, 100 - tail])
    return float(values.mean()), float(low), float(high)


def verdict(differences: list[float]) -> dict[str, Any]:
    """`told` says which is higher, or that there is no difference to be told."""
    mean, low, high = interval(differences)
    if len(differences) < PAIRS_LEAST or low <= 0.0 <= high:
        told = "no difference to be told"
    else:
        told = "b is higher" if low > 0 else "a is higher"
    return {"mean": round(mean, 4), "low": round(low, 4), "high": round(high, 4), "told": told}


def figures(result: dict[str, Any]) -> dict[str, float]:
    """The figures of one play that are compared."""
    found = {
        "service": result["service"],
        "worst_2s": result["worst_2s"],
        "hit_share": result["hit_share"],
        "hops_per_tx": result["hops_per_tx"],
        "origin.peak_rate": result["origin"]["peak_rate"],
        "origin.stops": float(result["origin"]["stops"]),
        "breaches": float(sum(result["rules"].values())),
    }
    found |= {f"latency_ms.{name}": value for name, value in result["latency_ms"].items()}
    found |= {f"service.{name}": value for name, value in result["service_by_profile"].items()}
    balancers = result["balancers"]
    found["cpu_us_per_tx"] = sum(b["cpu_us_per_tx"] for b in balancers) / max(1, len(balancers))
    return found


def played(day: Day, seed: int, one: Contender, out: Path, loads: int) -> dict[str, Any]:
    """The result of a play that was in time, if one of a few is."""
    for _ in range(LATE_AGAIN + 1):
        saw = play(day, seed, one, out, loads)
        result = measure(day, saw, judge(day, saw))
        if not result["late"]:
            break
    return result


def compare(
    day: Day,
    a: Contender,
    b: Contender,
    seeds: list[int],
    out: Path,
    loads: int = 2,
    progress: Callable[[str], None] = lambda text: None,
) -> dict[str, Any]:
    pairs: list[tuple[dict[str, float], dict[str, float]]] = []
    late = 0
    for n, seed in enumerate(seeds):
        found: dict[str, dict[str, Any]] = {}
        # Each goes first as often as second, against a machine whose speed drifts.
        for which in ("a", "b") if n % 2 == 0 else ("b", "a"):
            progress(f"{day.name}, seed {seed}, {which}")
            found[which] = played(day, seed, a if which == "a" else b, out / f"{day.name}-{which}", loads)
        if found["a"]["late"] or found["b"]["late"]:
            late += 1
            continue
        pairs.append((figures(found["a"]), figures(found["b"])))
    names = [name for name in pairs[0][0] if all(name in x and name in y for x, y in pairs)] if pairs else []
    return {
        "day": day.name,
        "a": a.name,
        "b": b.name,
        "seeds": seeds,
        "pairs": len(pairs),
        "late": late,
        "figures": {
            name: {
                "a": round(float(np.mean([x[name] for x, _ in pairs])), 4),
                "b": round(float(np.mean([y[name] for _, y in pairs])), 4),
                "b_less_a": verdict([y[name] - x[name] for x, y in pairs]),
            }
            for name in names
        },
    }


def table(found: dict[str, Any]) -> list[str]:
    """For people: one line a figure."""
    lines = [
        f"{found['day']}: a is {found['a']}, b is {found['b']}, {found['pairs']} pairs"
        + (f", {found['late']} void for lateness" if found["late"] else "")
    ]
    for name, row in found["figures"].items():
        d = row["b_less_a"]
        lines.append(
            f"  {name:24} a {row['a']:10.4f}  b {row['b']:10.4f}  b-a {d['mean']:+.4f} "
            f"[{d['low']:+.4f}, {d['high']:+.4f}]  {d['told']}"
        )
    return lines
