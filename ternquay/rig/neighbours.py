"""What a flood of one tenant does to the others and to other clients of its own: plays with and without it, paired.

    found = neighbours(day, shapes, seeds, out)   # by shape: differences of service, ratios of p99, with intervals

Of each seed there is one play without a flood and one with each shape; which comes first differs from seed to seed.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np

from ternquay.rig.compare import LATE_AGAIN, interval
from ternquay.rig.results import write_result
from ternquay.rig.tenants import play_tenants
from ternquay.rig.terms import Day, with_flood

NONE = "none"


def played(day: Day, shape: str, seed: int, out: Path) -> dict[str, Any]:
    """The result of a play that was in time, if one of a few is."""
    for _ in range(LATE_AGAIN + 1):
        result, breaches = play_tenants(with_flood(day, shape), seed, out)
        write_result(out, result, breaches)
        if not result["late"]:
            break
    return result


def neighbours(
    day: Day, shapes: list[str], seeds: list[int], out: Path, progress: Callable[[str], None] = lambda text: None
) -> dict[str, Any]:
    plays: dict[tuple[str, int], dict[str, Any]] = {}
    for n, seed in enumerate(seeds):
        turn = [NONE, *shapes]
        for shape in turn[n % len(turn) :] + turn[: n % len(turn)]:
            progress(f"{day.name}, seed {seed}, {shape}")
            plays[shape, seed] = played(day, shape, seed, out / shape / str(seed))
    return {
        "day": day.name,
        "seconds": day.seconds,
        "seeds": seeds,
        "flooded": day.flood.tenant,
        "late": sum(play["late"] for play in plays.values()),
        "breaches": sum(sum(play["rules"].values()) for play in plays.values()),
        "crashes": sum(play["crashes"] for play in plays.values()),
        "origin_stops": sum(t["origin_stops"] for play in plays.values() for t in play["tenants"].values()),
        "shapes": {shape: of_shape(day, shape, seeds, plays) for shape in shapes},
    }


def of_shape(day: Day, shape: str, seeds: list[int], plays: dict[tuple[str, int], dict[str, Any]]) -> dict[str, Any]:
    """Others: each of their plays with the flood against the one without; its own: service against that without."""
    service, ratio, own = [], [], []
    for seed in seeds:
        calm, flooded = plays[NONE, seed]["tenants"], plays[shape, seed]["tenants"]
        others = [name for name in calm if name != day.flood.tenant]
        service.append(float(np.mean([flooded[n]["service"] - calm[n]["service"] for n in others])))
        ratio.append(float(np.mean([flooded[n]["p99_ms"] / calm[n]["p99_ms"] for n in others])))
        own.append(flooded[day.flood.tenant]["service"] / max(1e-9, calm[day.flood.tenant]["service"]))
    sent = [plays[shape, seed].get("flood", {}).get("sent", 0) for seed in seeds]
    dialled = [plays[shape, seed].get("flood", {}).get("connections", 0) for seed in seeds]
    return {
        "others_service": spread(service),
        "others_p99_ratio": spread(ratio),
        "own_service_ratio": spread(own),
        "cpu_share": round(float(np.mean([plays[shape, s]["balancers"][0]["cpu_share"] for s in seeds])), 3),
        "flood_sent": int(np.mean(sent)),
        "flood_connections": int(np.mean(dialled)),
    }


def spread(values: list[float]) -> dict[str, float]:
    mean, low, high = interval(values)
    return {"mean": round(mean, 4), "low": round(low, 4), "high": round(high, 4)}


def lines(found: dict[str, Any]) -> list[str]:
    """For people: a Markdown table."""
    told = [
        f"{found['day']}, {len(found['seeds'])} pairs of {found['seconds']:.0f} s, breaches {found['breaches']}, "
        f"crashes {found['crashes']}, origins stopped {found['origin_stops']}, late {found['late']}",
        "",
        "| flood | others' service, difference | others' p99, ratio | own other clients' service, ratio | CPU | "
        "sent | connections |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for shape, row in found["shapes"].items():
        cells = [
            f"{row[name]['mean']:.3f} [{row[name]['low']:.3f}, {row[name]['high']:.3f}]"
            for name in ("others_service", "others_p99_ratio", "own_service_ratio")
        ]
        told.append(
            f"| {shape} | {' | '.join(cells)} | {row['cpu_share']} | {row['flood_sent']} | {row['flood_connections']} |"
        )
    return told
