"""Draws what came of a play: one self-contained `report.html`."""

import json
from base64 import b64encode
from collections import Counter, defaultdict
from html import escape
from io import BytesIO
from pathlib import Path
from typing import Any

import matplotlib
from matplotlib import pyplot

from ternquay.rig.judge import Breach
from ternquay.rig.measure import committed_at, histogram, in_goal, tries_of
from ternquay.rig.records import Saw
from ternquay.rig.results import EVIDENCE_MOST
from ternquay.rig.terms import SECOND, Day, PlannedFault, plan_faults

matplotlib.use("Agg")
STYLE = (
    "body{font:14px sans-serif;margin:2em;max-width:70em}img{max-width:100%}td,th{padding:.2em .8em;text-align:left}"
)


class Plots:
    """Figures drawn one after the other, each kept as a PNG in the page itself."""

    def __init__(self, day: Day, saw: Saw) -> None:
        self.day, self.saw = day, saw
        self.faults = plan_faults(day, saw.seed)
        self.found = tries_of(saw)
        self.done: list[tuple[str, str]] = []

    def seconds(self, at: int) -> float:
        return (at - self.saw.begin) / SECOND

    def axes(self, what: str) -> Any:
        figure, axes = pyplot.subplots(figsize=(10, 3))
        for fault in self.faults:
            axes.axvspan(fault.start / SECOND, fault.end / SECOND, color="tab:red", alpha=0.07)
        axes.set_ylabel(what)
        axes.set_xlabel("seconds")
        axes.set_xlim(0, self.saw.seconds)
        return axes

    def keep(self, title: str, axes: Any) -> None:
        if axes.get_legend_handles_labels()[0]:
            axes.legend(fontsize="small", loc="lower right", ncols=3)
        data = BytesIO()
        axes.figure.savefig(data, format="png", dpi=90, bbox_inches="tight")
        pyplot.close(axes.figure)
        self.done.append((title, b64encode(data.getvalue()).decode()))

    def service(self) -> None:
        asked: dict[int, Counter[int]] = defaultdict(Counter)
        earned: dict[int, Counter[int]] = defaultdict(Counter)
        for tries in self.found.values():
            first = tries[0]
            span = int(self.seconds(first.due))
            asked[first.profile][span] += 1
            earned[first.profile][span] += in_goal(self.day, tries)
        axes = self.axes("within the goal")
        for profile, counts in sorted(asked.items()):
            spans = sorted(counts)
            axes.plot(
                [s + 0.5 for s in spans],
                [earned[profile][s] / counts[s] for s in spans],
                label=self.day.profiles[profile].name,
            )
        axes.set_ylim(-0.02, 1.02)
        self.keep("Service by profile", axes)

    def latency(self) -> None:
        by: dict[int, list[int]] = defaultdict(list)
        for tries in self.found.values():
            if at := committed_at(tries):
                by[int(self.seconds(tries[0].due))].append(at - tries[0].due)
        axes = self.axes("ms")
        for part in (50.0, 99.0, 99.9):
            spans = sorted(by)
            axes.plot(
                [s + 0.5 for s in spans],
                [histogram(by[s]).get_value_at_percentile(part) / 1000 for s in spans],
                label=f"p{part:g}",
            )
        self.keep("Latency of committed transactions", axes)

    def hops(self) -> None:
        asked = Counter(int(self.seconds(tries[0].due)) for tries in self.found.values())
        sent = Counter(int(self.seconds(hop.whole)) for hop in self.saw.fleet.hops)
        axes = self.axes("hops per tx")
        spans = sorted(asked)
        axes.plot([s + 0.5 for s in spans], [sent[s] / asked[s] for s in spans])
        self.keep("Hops per transaction", axes)

    def origin(self) -> None:
        tenths = self.saw.fleet.origin
        axes = self.axes("a second")
        axes.plot(
            [n / 10 for n in range(len(tenths))],
            [sum(tenths[max(0, n - 9) : n + 1]) for n in range(len(tenths))],
            label="fetches and writes",
        )
        axes.axhline(self.day.origin.stopping_rate, color="black", linestyle="--", label="stopping load")
        self.keep("The origin's load", axes)

    def hosts(self) -> None:
        states = defaultdict(list)
        for sample in self.saw.fleet.samples:
            states[sample.host].append(sample)
        load, warmth = self.axes("cores busy"), self.axes("warmth")
        for host, samples in sorted(states.items()):
            pairs = list(zip(samples, samples[1:], strict=False))
            load.plot(
                [self.seconds(b.at) for _, b in pairs],
                [max(0, b.work - a.work) / (b.at - a.at) for a, b in pairs],
                linewidth=0.8,
                label=str(host),
            )
            warmth.plot(
                [self.seconds(s.at) for s in samples], [s.warmth for s in samples], linewidth=0.8, label=str(host)
            )
        self.keep("Each cache host's work", load)
        self.keep("Each cache host's warmth", warmth)

    def balancers(self) -> None:
        by = defaultdict(list)
        for sample in self.saw.samples:
            by[sample.balancer].append(sample)
        cpu, memory, descriptors = self.axes("of a core"), self.axes("MB"), self.axes("descriptors")
        for number, samples in sorted(by.items()):
            pairs = list(zip(samples, samples[1:], strict=False))
            times, name = [self.seconds(s.at) for s in samples], f"balancer {number}"
            cpu.plot(times[1:], [max(0.0, b.cpu - a.cpu) / ((b.at - a.at) / SECOND) for a, b in pairs], label=name)
            memory.plot(times, [s.memory / (1 << 20) for s in samples], label=name)
            descriptors.plot(times, [s.descriptors for s in samples], label=name)
        self.keep("CPU of balancers", cpu)
        self.keep("Memory of balancers", memory)
        self.keep("Descriptors of balancers", descriptors)

    def draw(self) -> list[tuple[str, str]]:
        for part in (self.service, self.latency, self.hops, self.origin, self.hosts, self.balancers):
            part()
        return self.done


def fault_row(fault: PlannedFault) -> str:
    on = ", ".join(map(str, fault.hosts)) if fault.kind.startswith(("host", "link", "answers", "rolling")) else ""
    return (
        f"<tr><td>{escape(fault.kind)}</td><td>{fault.start / SECOND:.1f} s</td>"
        f"<td>{fault.end / SECOND:.1f} s</td><td>{on}</td></tr>"
    )


def page(result: dict[str, Any], breaches: list[Breach], plots: Plots) -> str:
    faults = "".join(fault_row(fault) for fault in plots.faults)
    rows = "".join(
        f"<tr><td>{b.rule}</td><td>{plots.seconds(b.at):.3f} s</td><td>{escape(b.what)}</td></tr>"
        for b in breaches[:EVIDENCE_MOST]
    )
    images = "".join(
        f'<h2>{title}</h2><img alt="{title}" src="data:image/png;base64,{data}">' for title, data in plots.draw()
    )
    verdict = "No rule was broken." if not breaches else f"{len(breaches)} breaches of rules."
    return (
        f"<!doctype html><meta charset=utf-8><title>{escape(result['day'])}</title><style>{STYLE}</style>"
        f"<h1>{escape(result['day'])}, seed {result['seed']}</h1><p>{escape(plots.day.line)}.</p><p>{verdict}</p>"
        f"<table><tr><th>fault</th><th>from</th><th>to</th><th>hosts</th></tr>{faults}</table>"
        f"<table>{rows}</table>{images}<h2>Figures</h2><pre>{escape(json.dumps(result, indent=1))}</pre>"
    )


def write_report(out: Path, day: Day, saw: Saw, result: dict[str, Any], breaches: list[Breach]) -> None:
    (out / "report.html").write_text(page(result, breaches, Plots(day, saw)), encoding="utf-8")
