"""What a machine does to a process that a test or the rig starts: calls that fail, a wall clock that is stepped.

    environment = prepared(plan, folder)        # for subprocess.Popen of the program, started as it always is
    counts = struck(folder)                     # how often each call failed with each error, as proof that it did

rig/interpose/sitecustomize.py carries a plan out inside the process; nothing else on the machine is touched.
"""

import errno
import os
from collections import Counter
from pathlib import Path

import msgspec

from ternquay.rig.terms import SHORT, CallFault, ClockStep, DayError, Terms, call_fault, read_toml

INTERPOSE = Path(__file__).parent / "interpose"
CLOCK = "clock STEP"  # how a step that was seen is counted


class CallPlan(Terms, frozen=True):
    """All that happens to one process; the seed draws which calls fail."""

    faults: tuple[CallFault, ...] = ()
    steps: tuple[ClockStep, ...] = ()
    seed: int = 0


def checked(plan: CallPlan, where: str) -> CallPlan:
    """Raises DayError, which names the field."""
    if wrong := call_fault(plan.faults, "faults"):
        raise DayError(f"{where}: {wrong}")
    return plan


def read_plan(path: Path) -> CallPlan:
    """A plan in TOML. Raises DayError, which names the file and the field."""
    try:
        return checked(msgspec.convert(read_toml(path), CallPlan), str(path))
    except msgspec.ValidationError as fault:
        text, _, field = str(fault).partition(" - at `$")
        raise DayError(f"{path}: {field.strip('.`') or 'the plan'}: {text}") from fault


def prepared(plan: CallPlan, folder: Path, name: str = "call", path: str = "") -> dict[str, str]:
    """The environment of a process that fares by that plan; `path` is where its program is found, if not by ours."""
    lines = [
        f"{one.call} {-1 if one.error == SHORT else getattr(errno, one.error)} {one.start} {one.end} {one.rate}\n"
        for one in checked(plan, "the plan").faults
    ]
    lines += [f"clock {one.at} {one.by}\n" for one in plan.steps]
    plan_file, log = folder / f"{name}-plan", folder / f"{name}-log"
    plan_file.write_text("".join(lines))
    paths = [str(INTERPOSE), *filter(None, [path or os.environ.get("PYTHONPATH")])]
    return os.environ | {
        "PYTHONPATH": os.pathsep.join(paths),
        "TERNQUAY_CALL_PLAN": str(plan_file.resolve()),
        "TERNQUAY_CALL_LOG": str(log.resolve()),
        "TERNQUAY_CALL_SEED": str(plan.seed),
    }


def struck(folder: Path) -> Counter[str]:
    """How often each call failed with each error, by `CALL ERROR`, in all processes whose logs lie there."""
    return Counter(line for log in folder.glob("*-log") for line in log.read_text().splitlines())
