"""Makes system calls of the process that loads it fail, and steps its wall clock, by a plan.

Put this folder first in its PYTHONPATH: the interpreter imports a module of this name before the program, so the
program is started as it always is. The plan is a file of lines that `ternquay.rig.system_calls` writes, named in
TERNQUAY_CALL_PLAN; each failure that was made, and each step that was seen, is told by a line in the file that
TERNQUAY_CALL_LOG names. It imports nothing of the program.
"""

import os
import select
import socket
import time
from collections.abc import Callable
from errno import errorcode
from random import Random
from typing import Any

PLAN, LOG = "TERNQUAY_CALL_PLAN", "TERNQUAY_CALL_LOG"
BEGAN = time.monotonic()
DRAW = Random(os.environ.get("TERNQUAY_CALL_SEED", "0"))
SECOND = 1_000_000_000
SHORT = -1  # in the place of an error: fewer bytes are read or written than could be
FEW = 7  # bytes of those, at most


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


def failing(call: str, faults: "list[CallFault]", log: int) -> "Callable[[], int]":
    """Tells the error with which the call fails this time, 0 for none, and writes down that it did."""

    def error() -> int:
        for fault in faults:
            if fault.strikes():
                name = errorcode.get(fault.error, "SHORT")
                os.write(log, b"%s %s\n" % (call.encode(), name.encode()))
                return fault.error
        return 0

    return error


def interpose(call: str, error: "Callable[[], int]") -> None:
    """Puts a function before that call of a socket which fails as `error` tells."""
    real = getattr(socket.socket, call)

    def put_before(self: socket.socket, *terms: Any) -> Any:
        found = error()
        if not found:
            return real(self, *terms)
        if found == SHORT:
            return shortened(real, self, *terms)
        if call == "connect_ex":
            return found
        raise OSError(found, os.strerror(found))

    setattr(socket.socket, call, put_before)


def shortened(real: "Callable[..., Any]", self: socket.socket, what: Any, *terms: Any) -> Any:
    """Reads, or writes, a few of the bytes that it could."""
    most = DRAW.randint(1, FEW)
    return real(self, min(what, most) if isinstance(what, int) else what[:most], *terms)


def interpose_socket(error: "Callable[[], int]") -> None:
    """The making of a socket; one that is made of a descriptor, as by accept(), is no such call."""
    real = socket.socket.__init__

    def made(self: socket.socket, *terms: Any, **named: Any) -> None:
        found = error() if named.get("fileno") is None and len(terms) < 4 else 0
        if found:
            raise OSError(found, os.strerror(found))
        real(self, *terms, **named)

    setattr(socket.socket, "__init__", made)  # noqa: B010, as the checker forbids the assignment


class FailingEpoll:
    """An epoll object whose registrations may fail."""

    def __init__(self, real: Any, error: "Callable[[], int]") -> None:
        self.real, self.error = real, error
        self.unregister, self.poll, self.close, self.fileno = real.unregister, real.poll, real.close, real.fileno

    def register(self, *terms: int) -> None:
        self._may_fail()
        self.real.register(*terms)

    def modify(self, *terms: int) -> None:
        self._may_fail()
        self.real.modify(*terms)

    def _may_fail(self) -> None:
        found = self.error()
        if found:
            raise OSError(found, os.strerror(found))


def interpose_epoll(error: "Callable[[], int]") -> None:
    real = select.epoll
    setattr(select, "epoll", lambda *terms: FailingEpoll(real(*terms), error))  # noqa: B010


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
        error = failing(call, [fault for fault in faults if fault.call == call], log)
        if call == "socket":
            interpose_socket(error)
        elif call == "epoll_ctl":
            interpose_epoll(error)
        else:
            interpose(call, error)


if PLAN in os.environ:
    begin()
