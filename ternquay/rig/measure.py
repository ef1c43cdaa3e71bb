"""Figures of a play out of what was seen: service, latency, hops, the origin, and each balancer's use of its machine.

    result = measure(day, saw, breaches)     # the object of result.json

`service` is the revenue answered within the service goal over the revenue asked for, a client's retries counted with
its first try. Latencies are of committed transactions, from when the first try was due.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from ternquay.rig.judge import RULES, Breach
from ternquay.rig.records import Saw, Try
from ternquay.rig.terms import MS, SECOND, Day

LATE_MOST = 30 * MS  # the 99th percentile of the rig's own lateness; a play beyond that is void
US = 1000
LONGEST = 120_000_000  # of a histogram, in microseconds


def tries_of(saw: Saw) -> dict[int, list[Try]]:
    """The tries of each transaction, in their order."""
    found: dict[int, list[Try]] = defaultdict(list)
    for load in saw.loads:
        for one in load.tries:
            found[one.number].append(one)
    for tries in found.values():
        tries.sort(key=lambda t: t.tries)
    return found


def committed_at(tries: list[Try]) -> int:
    """When the client had its value or receipt; 0: it had none."""
    return next((t.ended for t in tries if t.answer in ("value", "receipt")), 0)


def in_goal(day: Day, tries: list[Try]) -> bool:
    """Whether the client had it within the service goal, from when its first try was due."""
    at, goal = committed_at(tries), day.profiles[tries[0].profile].service_goal_ms * MS
    return bool(at) and at - tries[0].due <= goal


def outcome(tries: list[Try]) -> str:
    """A transaction's end by its last try; one that nobody answered counts as abandoned."""
    if committed_at(tries):
        return "committed"
    return "rolled_back" if tries[-1].answer == "rolled-back" else "abandoned"


def histogram(times: Iterable[int]) -> HdrHistogram:
    found = HdrHistogram(1, LONGEST, 3)
    for time in times:
        found.record_value(min(LONGEST, max(1, time // US)))
    return found


def percentile(times: list[int], part: float) -> int:
    ranked = sorted(times)
    return ranked[min(len(ranked) - 1, int(len(ranked) * part))] if ranked else 0


def lateness(saw: Saw) -> dict[str, float]:
    """Of the rig itself, in milliseconds: how late tries were sent, and how late answers of cache hosts."""
    return {
        "load_ms": round(percentile([x for load in saw.loads for x in load.late], 0.99) / MS, 2),
        "standins_ms": round(percentile(saw.fleet.late, 0.99) / MS, 2),
    }


def is_late(saw: Saw) -> bool:
    return any(value > LATE_MOST / MS for value in lateness(saw).values())


def service(day: Day, found: dict[int, list[Try]]) -> tuple[float, dict[str, float]]:
    """Of all, and of each profile."""
    asked: dict[int, float] = defaultdict(float)
    earned: dict[int, float] = defaultdict(float)
    for tries in found.values():
        first = tries[0]
        if any(t.answer == "left" for t in tries):
            continue  # who goes away asks for nothing any more
        profile = day.profiles[first.profile]
        asked[first.profile] += profile.revenue
        if in_goal(day, tries):
            earned[first.profile] += profile.revenue
    by = {day.profiles[p].name: round(earned[p] / asked[p], 4) for p in sorted(asked)}
    return sum(earned.values()) / max(1e-9, sum(asked.values())), by


def worst_span(day: Day, found: dict[int, list[Try]]) -> float:
    """The service of the worst two seconds."""
    asked: Counter[int] = Counter()
    earned: Counter[int] = Counter()
    begin = min((tries[0].due for tries in found.values()), default=0)
    for tries in found.values():
        span = (tries[0].due - begin) // (2 * SECOND)
        asked[span] += 1
        earned[span] += in_goal(day, tries)
    return min((earned[s] / asked[s] for s in asked if asked[s] >= 20), default=1.0)


def balancer_figures(saw: Saw) -> list[dict[str, Any]]:
    figures = []
    taken = Counter(one.balancer for load in saw.loads for one in load.tries if one.sent)
    for number in sorted({life.balancer for life in saw.lives}):
        samples = [s for s in saw.samples if s.balancer == number]
        cpu = samples[-1].cpu - samples[0].cpu if samples else 0.0
        figures.append(
            {
                "cpu_us_per_tx": round(1e6 * cpu / max(1, taken[number]), 1),
                "txs": taken[number],
                "cpu_share": round(cpu / saw.seconds, 3),
                "memory_mb": round(max((s.memory for s in samples), default=0) / (1 << 20), 1),
                "descriptors": max((s.descriptors for s in samples), default=0),
            }
        )
    return figures


def crashes(saw: Saw) -> int:
    """Balancers that ended by themselves, or badly."""
    return sum(bool(life.code) or bool(life.ended and not life.killed and not life.told_to_end) for life in saw.lives)


def after(saw: Saw, seconds: float) -> Saw:
    """A play without its first seconds: what was due in them is left out."""
    at = saw.begin + int(seconds * SECOND)
    loads = [msgspec.structs.replace(load, tries=[t for t in load.tries if t.due >= at]) for load in saw.loads]
    ids = {t.id for load in loads for t in load.tries}
    fleet = msgspec.structs.replace(saw.fleet, hops=[h for h in saw.fleet.hops if h.id in ids])
    samples = [s for s in saw.samples if s.at >= at]
    return msgspec.structs.replace(saw, loads=loads, fleet=fleet, samples=samples, seconds=saw.seconds - seconds)


def measure(day: Day, saw: Saw, breaches: list[Breach]) -> dict[str, Any]:
    found = tries_of(saw)
    ends = Counter(outcome(tries) for tries in found.values())
    done = [(tries, at) for tries in found.values() if (at := committed_at(tries))]
    latency = histogram(at - tries[0].due for tries, at in done)
    reads = [hop for hop in saw.fleet.hops if hop.answer == "value"]
    whole, by = service(day, found)
    rules = Counter(breach.rule for breach in breaches)
    tenths = saw.fleet.origin
    return {
        "day": day.name,
        "seed": saw.seed,
        "seconds": saw.seconds,
        "late": is_late(saw),
        "lateness": lateness(saw),
        "txs": len(found),
        "committed": ends["committed"],
        "rolled_back": ends["rolled_back"],
        "abandoned": ends["abandoned"],
        "tries": sum(len(tries) for tries in found.values()),
        "service": round(whole, 4),
        "service_by_profile": by,
        "worst_2s": round(worst_span(day, found), 4),
        "rules": {rule: rules[rule] for rule in RULES},
        "crashes": crashes(saw),
        "latency_ms": {
            name: round(latency.get_value_at_percentile(p) / 1000, 2)
            for name, p in (("p50", 50.0), ("p99", 99.0), ("p999", 99.9))
        },
        "hops_per_tx": round(len(saw.fleet.hops) / max(1, len(found)), 4),
        "hit_share": round(sum(hop.note == 1 for hop in reads) / max(1, len(reads)), 4),
        "origin": {
            "peak_rate": float(max((sum(tenths[n : n + 10]) for n in range(len(tenths))), default=0)),
            "stopping_rate": day.origin.stopping_rate,
            "stops": len(saw.fleet.stopped),
        },
        "balancers": balancer_figures(saw),
    }
