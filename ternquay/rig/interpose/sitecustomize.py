"""Makes system calls of the process that loads it fail by a plan: put this folder first in its PYTHONPATH.

The interpreter imports a module of this name before the program, so the program is started as it always is. The plan
is a file of lines that `ternquay.rig.system_calls` writes, named in TERNQUAY_CALL_PLAN; each failure that was made is
told by a line `CALL ERROR` in the file that TERNQUAY_CALL_LOG names. It imports nothing of the program.
"""

import os
import socket
import time
from errno import errorcode
from random import Random

PLAN, LOG = "TERNQUAY_CALL_PLAN", "TERNQUAY_CALL_LOG"
BEGAN = time.monotonic()
DRAW = Random(os.environ.get("TERNQUAY_CALL_SEED", "0"))


class CallFault:
    """One call fails with one error for some time, from the start of the process on."""

    def __init__(self, line: str) -> None:
        call, error, start, end, rate = line.split()
        self.call, self.error = call, int(error)
        self.start, self.end, self.rate = float(start), float(end), float(rate)

    def strikes(self) -> bool:
        return self.start <= time.monotonic() - BEGAN < self.end and DRAW.random() < self.rate


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
    with open(os.environ[PLAN], encoding="ascii") as plan:
        faults = [CallFault(line) for line in plan]
    log = os.open(os.environ[LOG], os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
    for call in sorted({fault.call for fault in faults}):
        interpose(call, [fault for fault in faults if fault.call == call], log)


if PLAN in os.environ:
    begin()
