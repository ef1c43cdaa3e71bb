"""Many days and seeds, with the product's decisions and baselines, several plays side by side on cores of their own.

results = survey(jobs, out, lanes)       # each Job -> the object of its result.json
lines = by_day(results)                  # a table: mean and spread over the seeds
lines = against(results)                 # the product against each baseline, paired by seed, with intervals
"""

import json
import os
import subprocess
import sys
from collections import defaultdict
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from queue import SimpleQueue
from typing import Any

import numpy as np

from ternquay.rig.compare import LATE_AGAIN, figures, verdict
from ternquay.rig.contender import ROOT
from ternquay.rig.processes import PlayError

BROKEN, LATE = 1, 3
AGAINST = ("service", "worst_2s", "hit_share", "origin.peak_rate", "latency_ms.p99")


@dataclass(slots=True, frozen=True)
class Job:
    day: str
    seed: int
    decisions: str


def core_sets(lanes: int) -> list[set[int]]:
    """The machine's cores, dealt out evenly; raises PlayError if there are fewer than lanes."""
    cores = sorted(os.sched_getaffinity(0))
    if lanes > len(cores):
        raise PlayError(f"--lanes: {lanes} want as many cores, and there are {len(cores)}")
    each = len(cores) // lanes
    return [set(cores[n * each : (n + 1) * each]) for n in range(lanes)]


def _play(job: Job, out: Path, extra: list[str], cores: set[int]) -> dict[str, Any]:
    where = out / job.day / job.decisions / str(job.seed)
    command = [
        sys.executable,
        "-m",
        "ternquay",
        "rig",
        "play",
        job.day,
        "--seed",
        str(job.seed),
        "--loads",
        "1",
        "--decisions",
        job.decisions,
        "--no-report",
        "--out",
        str(where.resolve()),
        *extra,
    ]
    for _ in range(LATE_AGAIN + 1):
        done = subprocess.run(
            command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
            preexec_fn=lambda: os.sched_setaffinity(0, cores),
        )
        if done.returncode not in (0, BROKEN, LATE):
            words = done.stderr.strip().splitlines()
            raise PlayError(f"{job.day}, seed {job.seed}: {words[-1] if words else done.returncode}")
        if done.returncode != LATE:
            break
    result: dict[str, Any] = json.loads((where / "result.json").read_text())
    return result


def survey(
    jobs: list[Job], out: Path, lanes: int, extra: list[str], progress: Callable[[str], None] = lambda text: None
) -> dict[Job, dict[str, Any]]:
    free: SimpleQueue[set[int]] = SimpleQueue()
    for cores in core_sets(lanes):
        free.put(cores)
    found: dict[Job, dict[str, Any]] = {}

    def one(job: Job) -> None:
        cores = free.get()
        try:
            found[job] = _play(job, out, extra, cores)
        finally:
            free.put(cores)
        progress(f"{len(found)} of {len(jobs)}")

    with ThreadPoolExecutor(lanes) as pool:
        list(pool.map(one, jobs))
    return {job: found[job] for job in jobs}


def spread(values: list[float], digits: int = 3) -> str:
    return f"{np.mean(values):.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"


def by_day(results: dict[Job, dict[str, Any]]) -> list[str]:
    """A row a day, of the product's decisions."""
    days: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for job, result in results.items():
        if job.decisions == "pat":
            days[job.day].append(result)
    lines = [
        "| day | service | worst 2 s | p99 ms | hits | hops a tx | origin's peak, of its stopping load | "
        "breaches | late |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for day, plays in days.items():
        peak = [p["origin"]["peak_rate"] / p["origin"]["stopping_rate"] for p in plays]
        broken = sum(sum(p["rules"].values()) + p["crashes"] for p in plays)
        lines.append(
            f"| {day} | {spread([p['service'] for p in plays])} | {spread([p['worst_2s'] for p in plays], 2)} "
            f"| {spread([p['latency_ms']['p99'] for p in plays], 0)} "
            f"| {np.mean([p['hit_share'] for p in plays]):.2f} "
            f"| {np.mean([p['hops_per_tx'] for p in plays]):.2f} | {spread(peak, 2)} "
            f"| {broken} | {sum(p['late'] for p in plays)} |"
        )
    return lines


def against(results: dict[Job, dict[str, Any]]) -> list[str]:
    """The product less each baseline, by day."""
    others = sorted({job.decisions for job in results} - {"pat"})
    lines = (
        [
            "| day | baseline | figure | pat | baseline | pat less baseline, 95% | told |",
            "| --- | --- | --- | --- | --- | --- | --- |",
        ]
        if others
        else []
    )
    for day in dict.fromkeys(job.day for job in results):
        for other in others:
            pairs = [
                (figures(results[Job(day, job.seed, other)]), figures(results[job]))
                for job in results
                if job.day == day
                and job.decisions == "pat"
                and Job(day, job.seed, other) in results
                and not results[job]["late"]
                and not results[Job(day, job.seed, other)]["late"]
            ]
            for name in AGAINST if pairs else ():
                told = verdict([b[name] - a[name] for a, b in pairs])
                word = told["told"].replace("b is", "pat").replace("a is", other)
                lines.append(
                    f"| {day} | {other} | {name} | {np.mean([b[name] for _, b in pairs]):.3f} "
                    f"| {np.mean([a[name] for a, _ in pairs]):.3f} "
                    f"| {told['mean']:+.3f} [{told['low']:+.3f}, {told['high']:+.3f}] | {word} |"
                )
    return lines
