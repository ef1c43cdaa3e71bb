"""Disk fault injection: failing calls on the files of one folder, in a process that a test or the rig starts.

    environment = fault_environment(faults, folder, scratch)  # for subprocess.Popen, with the usual command line
    counts = failure_counts(scratch)                          # how often each call failed with each error, as proof

rig/interpose/disk.c executes the plan inside the process, below SQLite. It is built with the system's C compiler, once
for each scratch folder. Nothing else on the machine is affected.
"""

import errno
import os
import subprocess
from collections import Counter
from pathlib import Path
from typing import Literal

from ternquay.rig.terms import SHORT, DayError, Share, Terms

SOURCE = Path(__file__).parent / "interpose" / "disk.c"


class DiskFault(Terms, frozen=True):
    """`call` fails with `error` and probability `rate` from `start` to `end`, in seconds since the process started."""

    call: Literal["open", "write", "fsync"]
    error: str
    start: float = 0.0
    end: float = 1e9
    rate: Share = 1.0


def _error_number(fault: DiskFault, where: str) -> int:
    """Returns the errno of a fault, -1 for a short write."""
    if fault.error == SHORT and fault.call == "write":
        return -1
    if fault.error not in errno.errorcode.values():
        raise DayError(f"{where}.error: unknown error for {fault.call}: {fault.error:.40}")
    return int(getattr(errno, fault.error))


def fault_environment(faults: tuple[DiskFault, ...], folder: Path, scratch: Path) -> dict[str, str]:
    """Writes the plan and returns the environment of a process for which calls on that folder fail.

    Raises DayError, which names the field, if the plan is invalid.
    """
    lines = []
    for i, fault in enumerate(faults):
        if not 0 <= fault.start < fault.end:
            raise DayError(f"faults[{i}].end: {fault.end} is not after the start")
        lines.append(f"{fault.call} {_error_number(fault, f'faults[{i}]')} {fault.start} {fault.end} {fault.rate}\n")
    (scratch / "disk-plan").write_text("".join(lines))
    return os.environ | {
        "LD_PRELOAD": str(build_library(scratch)),
        "TERNQUAY_DISK_PLAN": str(scratch / "disk-plan"),
        "TERNQUAY_DISK_LOG": str(scratch / "disk-log"),
        "TERNQUAY_DISK_FOLDER": str(folder.resolve()),
    }


def build_library(scratch: Path) -> Path:
    """Builds the library in the scratch folder unless it exists, and returns its path."""
    library = scratch / "disk.so"
    if not library.exists():
        subprocess.run(
            ["cc", "-shared", "-fPIC", "-O1", "-o", str(library), str(SOURCE), "-ldl"], check=True, capture_output=True
        )
    return library


def failure_counts(scratch: Path) -> Counter[str]:
    """Counts the injected failures by `CALL ERROR`."""
    counts: Counter[str] = Counter()
    for line in (scratch / "disk-log").read_text().splitlines():
        call, number = line.split()
        counts[f"{call} {errno.errorcode.get(int(number), SHORT)}"] += 1
    return counts
