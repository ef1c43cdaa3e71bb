"""Fault injection into a process that a test or the rig starts: failing system calls and wall clock steps.

    environment = fault_environment(plan, folder)  # for subprocess.Popen of the program, with its usual command line
    counts = failure_counts(folder)                # how often each call failed with each error, as proof of injection

rig/interpose/sitecustomize.py executes the plan inside the process; nothing else on the machine is affected.
"""

import errno
import os
from collections import Counter
from pathlib import Path

import msgspec

from ternquay.rig.terms import SHORT, CallFault, ClockStep, DayError, Terms, invalid_calls, read_toml

INTERPOSE = Path(__file__).parent / "interpose"
CLOCK = "clock STEP"  # log line of a clock step that the process observed


class CallPlan(Terms, frozen=True):
    """The faults of one process; the seed determines which calls fail."""

    faults: tuple[CallFault, ...] = ()
    steps: tuple[ClockStep, ...] = ()
    seed: int = 0


def checked(plan: CallPlan, where: str) -> CallPlan:
    """Returns the plan if it is valid. Raises DayError, which names the field."""
    if wrong := invalid_calls(plan.faults, "faults"):
        raise DayError(f"{where}: {wrong}")
    return plan


def read_plan(path: Path) -> CallPlan:
    """Reads a plan from a TOML file. Raises DayError, which names the file and the field."""
    try:
        return checked(msgspec.convert(read_toml(path), CallPlan), str(path))
    except msgspec.ValidationError as error:
        text, _, field = str(error).partition(" - at `$")
        raise DayError(f"{path}: {field.strip('.`') or 'the plan'}: {text}") from error


def fault_environment(plan: CallPlan, folder: Path, name: str = "call", path: str = "") -> dict[str, str]:
    """Writes the plan to the folder and returns the environment of a process that it applies to.

    `path` replaces PYTHONPATH if given. Raises DayError, which names the field, if the plan is invalid.
    """
    lines = [
        f"{f.call} {-1 if f.error == SHORT else getattr(errno, f.error)} {f.start} {f.end} {f.rate}\n"
        for f in checked(plan, "the plan").faults
    ]
    lines += [f"clock {step.at} {step.by}\n" for step in plan.steps]
    plan_file, log = folder / f"{name}-plan", folder / f"{name}-log"
    plan_file.write_text("".join(lines))
    paths = [str(INTERPOSE), *filter(None, [path or os.environ.get("PYTHONPATH")])]
    return os.environ | {
        "PYTHONPATH": os.pathsep.join(paths),
        "TERNQUAY_CALL_PLAN": str(plan_file.resolve()),
        "TERNQUAY_CALL_LOG": str(log.resolve()),
        "TERNQUAY_CALL_SEED": str(plan.seed),
    }


def failure_counts(folder: Path) -> Counter[str]:
    """Counts the injected failures by `CALL ERROR` over all processes whose logs are in the folder."""
    return Counter(line for log in folder.glob("*-log") for line in log.read_text().splitlines())
