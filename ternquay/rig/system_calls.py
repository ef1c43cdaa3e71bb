"""Plans of failing system calls for a process that a test or the rig starts: which call, which error, when, how often.

    environment = prepared(plan, folder)        # for subprocess.Popen of the program, started as it always is
    counts = struck(folder)                     # how often each call failed with each error, as proof that it did

rig/interpose/sitecustomize.py carries a plan out inside the process; nothing else on the machine is touched.
"""

import errno
import os
from collections import Counter
from pathlib import Path
from typing import Literal

import msgspec

from ternquay.rig.terms import DayError, Share, Terms, read_toml

INTERPOSE = Path(__file__).parent / "interpose"
Call = Literal["accept", "connect_ex", "send", "recv", "setsockopt", "shutdown"]


class CallFault(Terms, frozen=True):
    """`call` fails with `error` from `start` to `end`, in seconds from the start of the process, so often of all."""

    call: Call
    error: str
    start: float = 0.0
    end: float = 1e9
    rate: Share = 1.0


class CallPlan(Terms, frozen=True):
    faults: tuple[CallFault, ...]
    seed: int = 0


def checked(plan: CallPlan, where: str) -> CallPlan:
    """Raises DayError, which names the field."""
    for i, fault in enumerate(plan.faults):
        if fault.error not in errno.errorcode.values():
            raise DayError(f"{where}: faults[{i}].error: no error is called {fault.error:.40}")
        if not 0 <= fault.start < fault.end:
            raise DayError(f"{where}: faults[{i}].end: {fault.end} is not after the start")
    return plan


def read_plan(path: Path) -> CallPlan:
    """A plan in TOML. Raises DayError, which names the file and the field."""
    try:
        return checked(msgspec.convert(read_toml(path), CallPlan), str(path))
    except msgspec.ValidationError as fault:
        text, _, field = str(fault).partition(" - at `$")
        raise DayError(f"{path}: {field.strip('.`') or 'the plan'}: {text}") from fault


def prepared(plan: CallPlan, folder: Path) -> dict[str, str]:
    """The environment of a process whose calls fail by that plan."""
    lines = [f"{one.call} {getattr(errno, one.error)} {one.start} {one.end} {one.rate}\n"
             for one in checked(plan, "the plan").faults]
    (folder / "call-plan").write_text("".join(lines))
    paths = [str(INTERPOSE), *filter(None, [os.environ.get("PYTHONPATH")])]
    return os.environ | {"PYTHONPATH": os.pathsep.join(paths), "TERNQUAY_CALL_PLAN": str(folder / "call-plan"),
                         "TERNQUAY_CALL_LOG": str(folder / "call-log"), "TERNQUAY_CALL_SEED": str(plan.seed)}


def struck(folder: Path) -> Counter[str]:
    """How often each call failed with each error, by `CALL ERROR`."""
    return Counter((folder / "call-log").read_text().splitlines())
