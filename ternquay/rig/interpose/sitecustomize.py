"""Makes system calls of the process that loads it fail, and steps its wall clock, by a plan.

Put this folder first in its PYTHONPATH: the interpreter imports a module of this name before the program, so the
program is started as it always is. The plan is a file of lines that `ternquay.rig.system_calls` writes, named in
TERNQUAY_CALL_PLAN; each failure that was made, and each step that was seen, is told by a line in the file that
TERNQUAY_CALL_LOG names. It imports nothing of the program.
"""

import os
import socket
import time
from errno import errorcode
from random import Random

PLAN, LOG = "TERNQUAY_CALL_PLAN", "TERNQUAY_CALL_LOG"
BEGAN = time.monotonic()
DRAW = Random(os.environ.get("TERNQUAY_CALL_SEED", "0"))
SECOND = 1_000_000_000


class CallFault:
    """One call fails with one error for some time, from the start of the process on."""

    def __init__(self, call: str, error: str, start: str, end: str, rate: str) -> None:
        self.call, self.error = call, int(error)
        self.start, self.end, self.rate = float(start), float(end), float(rate)

    def strikes(self) -> bool:
        return self.start <= time.monotonic() - BEGAN < self.end and DRAW.random() < self.rate


class SteppedClock:
    """The wall clock, set forward or back at some times after the start of the process."""

    def __init__(self, log: int) -> None:
        self.log = log
        self.steps: list[tuple[float, float]] = []  # seconds: those to come, each when and by how much
        self.offset = 0  # nanoseconds
        self.real_ns = time.time_ns

    def time_ns(self) -> int:
        now = time.monotonic() - BEGAN
        while self.steps and self.steps[0][0] <= now:
            self.offset += int(self.steps.pop(0)[1] * SECOND)
            os.write(self.log, b"clock STEP\n")
        return self.real_ns() + self.offset

    def time(self) -> float:
        return self.time_ns() / SECOND


def interpose(call: str, faults: "list[CallFault]", log: int) -> None:
    """Puts a function before that call of a socket which fails when one of the faults strikes."""
    real = getattr(socket.socket, call)

    def failing(self: socket.socket, *terms: object) -> object:
        for fault in faults:
            if fault.strikes():
                os.write(log, b"%s %s\n" % (call.encode(), errorcode[fault.error].encode()))
                if call == "connect_ex":
                    return fault.error
                raise OSError(fault.error, os.strerror(fault.error))
        return real(self, *terms)

    setattr(socket.socket, call, failing)


def begin() -> None:
    log = os.open(os.environ[LOG], os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
    faults: list[CallFault] = []
    clock = SteppedClock(log)
    with open(os.environ[PLAN], encoding="ascii") as plan:
        for line in plan:
            what, *terms = line.split()
            if what == "clock":
                clock.steps.append((float(terms[0]), float(terms[1])))
            else:
                faults.append(CallFault(what, *terms))
    clock.steps.sort()
    if clock.steps:
        time.time_ns, time.time = clock.time_ns, clock.time
    for call in sorted({fault.call for fault in faults}):
        interpose(call, [fault for fault in faults if fault.call == call], log)


if PLAN in os.environ:
    begin()
