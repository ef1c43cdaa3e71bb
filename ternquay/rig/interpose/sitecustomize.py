"""Injects system call failures and wall clock steps into the process that loads it, according to a plan.

With this folder first in PYTHONPATH the interpreter imports a module of this name before the program, so the program
is started with its usual command line. TERNQUAY_CALL_PLAN names the plan, a file of lines that
`ternquay.rig.system_calls` writes. Each injected failure and each observed clock step adds a line to the file that
TERNQUAY_CALL_LOG names. The module imports nothing of the program.
"""

import os
import select
import socket
import time
from collections.abc import Callable
from errno import errorcode
from random import Random
from typing import Any

PLAN_VARIABLE = "TERNQUAY_CALL_PLAN"
LOG_VARIABLE = "TERNQUAY_CALL_LOG"
STARTED_AT = time.monotonic()
RANDOM = Random(os.environ.get("TERNQUAY_CALL_SEED", "0"))
NS_PER_SECOND = 1_000_000_000
SHORT = -1  # instead of an errno: a partial read or write
MAX_SHORT_BYTES = 7  # upper limit of a partial read or write


class CallFault:
    """One call fails with one error during an interval, in seconds since the process started."""

    def __init__(self, call: str, error: str, start: str, end: str, rate: str) -> None:
        self.call, self.error = call, int(error)
        self.start, self.end, self.rate = float(start), float(end), float(rate)

    def applies(self) -> bool:
        """Draws whether the current call fails."""
        return self.start <= time.monotonic() - STARTED_AT < self.end and RANDOM.random() < self.rate


class SteppedClock:
    """The wall clock, set forward or back at given times after the process started."""

    def __init__(self, log: int) -> None:
        self.log = log
        self.steps: list[tuple[float, float]] = []  # remaining steps: (time, offset) in seconds
        self.offset = 0  # nanoseconds
        self.real_ns = time.time_ns

    def time_ns(self) -> int:
        now = time.monotonic() - STARTED_AT
        while self.steps and self.steps[0][0] <= now:
            self.offset += int(self.steps.pop(0)[1] * NS_PER_SECOND)
            os.write(self.log, b"clock STEP\n")
        return self.real_ns() + self.offset

    def time(self) -> float:
        return self.time_ns() / NS_PER_SECOND


def error_drawer(call: str, faults: "list[CallFault]", log: int) -> "Callable[[], int]":
    """Returns a function that draws the errno of the current call, 0 for none, and logs an injected failure."""

    def draw_error() -> int:
        for fault in faults:
            if fault.applies():
                name = errorcode.get(fault.error, "SHORT")
                os.write(log, b"%s %s\n" % (call.encode(), name.encode()))
                return fault.error
        return 0

    return draw_error


def wrap_socket_method(call: str, draw_error: "Callable[[], int]") -> None:
    """Wraps that method of sockets, so that it fails with what `draw_error` returns."""
    real = getattr(socket.socket, call)

    def wrapped(self: socket.socket, *arguments: Any) -> Any:
        error = draw_error()
        if not error:
            return real(self, *arguments)
        if error == SHORT:
            return call_partially(real, self, *arguments)
        if call == "connect_ex":
            return error
        raise OSError(error, os.strerror(error))

    setattr(socket.socket, call, wrapped)


def call_partially(real: "Callable[..., Any]", self: socket.socket, data_or_size: Any, *arguments: Any) -> Any:
    """Reads or writes only a few of the requested bytes."""
    limit = RANDOM.randint(1, MAX_SHORT_BYTES)
    return real(self, min(data_or_size, limit) if isinstance(data_or_size, int) else data_or_size[:limit], *arguments)


def wrap_socket_creation(draw_error: "Callable[[], int]") -> None:
    """Wraps the creation of sockets; wrapping an existing descriptor, as accept() does, makes no system call."""
    real = socket.socket.__init__

    def create(self: socket.socket, *arguments: Any, **keywords: Any) -> None:
        error = draw_error() if keywords.get("fileno") is None and len(arguments) < 4 else 0
        if error:
            raise OSError(error, os.strerror(error))
        real(self, *arguments, **keywords)

    setattr(socket.socket, "__init__", create)  # noqa: B010, as the checker forbids the assignment


class FailingEpoll:
    """An epoll object whose registrations can fail."""

    def __init__(self, real: Any, draw_error: "Callable[[], int]") -> None:
        self.real, self.draw_error = real, draw_error
        self.unregister, self.poll, self.close, self.fileno = real.unregister, real.poll, real.close, real.fileno

    def register(self, *arguments: int) -> None:
        self._raise_if_drawn()
        self.real.register(*arguments)

    def modify(self, *arguments: int) -> None:
        self._raise_if_drawn()
        self.real.modify(*arguments)

    def _raise_if_drawn(self) -> None:
        error = self.draw_error()
        if error:
            raise OSError(error, os.strerror(error))


def wrap_epoll(draw_error: "Callable[[], int]") -> None:
    """Replaces epoll objects by ones whose registrations can fail."""
    real = select.epoll
    setattr(select, "epoll", lambda *arguments: FailingEpoll(real(*arguments), draw_error))  # noqa: B010


def install() -> None:
    """Reads the plan and wraps the calls that it names."""
    log = os.open(os.environ[LOG_VARIABLE], os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
    faults: list[CallFault] = []
    clock = SteppedClock(log)
    with open(os.environ[PLAN_VARIABLE], encoding="ascii") as plan:
        for line in plan:
            kind, *arguments = line.split()
            if kind == "clock":
                clock.steps.append((float(arguments[0]), float(arguments[1])))
            else:
                faults.append(CallFault(kind, *arguments))
    clock.steps.sort()
    if clock.steps:
        time.time_ns, time.time = clock.time_ns, clock.time
    for call in sorted({fault.call for fault in faults}):
        draw_error = error_drawer(call, [fault for fault in faults if fault.call == call], log)
        if call == "socket":
            wrap_socket_creation(draw_error)
        elif call == "epoll_ctl":
            wrap_epoll(draw_error)
        else:
            wrap_socket_method(call, draw_error)


if PLAN_VARIABLE in os.environ:
    install()
