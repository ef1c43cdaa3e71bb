"""Plans of failing calls on the files of one folder, for a process that a test or the rig starts.

    environment = prepared(plan, folder, scratch)    # for subprocess.Popen of the program, started as it always is
    counts = struck(scratch)                         # how often each call failed with each error, as proof

rig/interpose/disk.c carries a plan out inside the process, below SQLite; it is built with the system's C compiler, once
for each scratch folder. Nothing else on the machine is touched.
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
    """`call` fails with `error` from `start` to `end`, in seconds from the start of the process, so often of all."""

    call: Literal["open", "write", "fsync"]
    error: str
    start: float = 0.0
    end: float = 1e9
    rate: Share = 1.0


def _number(fault: DiskFault, where: str) -> int:
    if fault.error == SHORT and fault.call == "write":
        return -1
    if fault.error not in errno.errorcode.values():
        raise DayError(f"{where}.error: no error of {fault.call} is called {fault.error:.40}")
    return int(getattr(errno, fault.error))


def prepared(faults: tuple[DiskFault, ...], folder: Path, scratch: Path) -> dict[str, str]:
    """The environment of a process for which calls on that folder fail. Raises DayError, which names the field."""
    lines = []
    for i, one in enumerate(faults):
        if not 0 <= one.start < one.end:
            raise DayError(f"faults[{i}].end: {one.end} is not after the start")
        lines.append(f"{one.call} {_number(one, f'faults[{i}]')} {one.start} {one.end} {one.rate}\n")
    (scratch / "disk-plan").write_text("".join(lines))
    return os.environ | {
        "LD_PRELOAD": str(built(scratch)),
        "TERNQUAY_DISK_PLAN": str(scratch / "disk-plan"),
        "TERNQUAY_DISK_LOG": str(scratch / "disk-log"),
        "TERNQUAY_DISK_FOLDER": str(folder.resolve()),
    }


def built(scratch: Path) -> Path:
    """The library, built there."""
    library = scratch / "disk.so"
    if not library.exists():
        subprocess.run(
            ["cc", "-shared", "-fPIC", "-O1", "-o", str(library), str(SOURCE), "-ldl"], check=True, capture_output=True
        )
    return library


def struck(scratch: Path) -> Counter[str]:
    """How often each call failed with each error, by `CALL ERROR`."""
    found: Counter[str] = Counter()
    for line in (scratch / "disk-log").read_text().splitlines():
        call, number = line.split()
        found[f"{call} {errno.errorcode.get(int(number), SHORT)}"] += 1
    return found
