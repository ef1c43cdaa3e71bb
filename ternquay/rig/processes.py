"""The processes of a play: started on cores of their own, spoken to by a line, and ended with it whatever happens."""

import ctypes
import json
import os
import signal
import subprocess
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

import psutil

from ternquay.rig.contender import ROOT

READY_WITHIN = 20.0  # seconds
TURN = 0.01  # seconds between two looks
TRACE = "Traceback"
PDEATHSIG = 1


class PlayError(Exception):
    """The play could not be played; the text says which part ended and why."""


class PortTaken(PlayError):
    """Another process has a port that was free just now."""


@dataclass(slots=True)
class Cores:
    """Which core each part has; `shared` where there are too few to set apart."""

    balancers: list[int]
    standins: list[int]
    loads: list[int]
    shared: bool


def share_cores(balancers: int, loads: int, shards: int = 1) -> Cores:
    cores = sorted(os.sched_getaffinity(0))
    wanted = balancers + shards + loads
    ring = [cores[n % len(cores)] for n in range(wanted)]
    hosts = balancers + shards
    return Cores(ring[:balancers], ring[balancers:hosts], ring[hosts:], wanted > len(cores))


def bound_to(core: int) -> Callable[[], None]:
    """For a child before it begins: its core, and an end when this process dies."""
    libc = ctypes.CDLL(None)

    def prepare() -> None:
        os.sched_setaffinity(0, {core})
        libc.prctl(PDEATHSIG, signal.SIGKILL)

    return prepare


@dataclass(slots=True)
class Running:
    """One process of the play; `log` is what it wrote on standard error."""

    name: str
    process: "subprocess.Popen[bytes]"
    log: Path
    meter: psutil.Process

    def told(self) -> dict[str, Any]:
        """The one line that says it is ready."""
        os.set_blocking(self.out().fileno(), False)
        line, until = b"", time.monotonic() + READY_WITHIN
        while not line.endswith(b"\n"):
            if self.process.poll() is not None or time.monotonic() > until:
                kind = PortTaken if "in use" in self.last_words() else PlayError
                raise kind(f"{self.name} did not get ready: {self.last_words()}")
            line += self.out().readline() or b""
            time.sleep(TURN)
        found: dict[str, Any] = json.loads(line)
        return found

    def out(self) -> IO[bytes]:
        assert self.process.stdout is not None
        return self.process.stdout

    def say(self, line: str) -> None:
        assert self.process.stdin is not None
        try:
            self.process.stdin.write(line.encode())
            self.process.stdin.flush()
        except OSError as fault:
            raise PlayError(f"{self.name} ended: {self.last_words()}") from fault

    def check_log(self) -> None:
        """Raises PlayError for an exception of the rig itself: what it did not do, the day did not have."""
        text = self.log.read_text(errors="replace")
        if TRACE in text:
            raise PlayError(f"{self.name}: an exception in its log: {text.strip().splitlines()[-1][:200]}")

    def last_words(self) -> str:
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return lines[-1][:300] if lines else f"exit {self.process.poll()}"


@dataclass(slots=True)
class Stage:
    """All processes of a play, ended with it whatever happens."""

    out: Path
    all: list[Running] = field(default_factory=list)

    def start(
        self,
        name: str,
        command: list[str],
        core: int,
        tree: Path = ROOT,
        piped: bool = True,
        environment: dict[str, str] | None = None,
    ) -> Running:
        log = self.out / "logs" / f"{name}.log"
        pipe = subprocess.PIPE if piped else subprocess.DEVNULL
        with open(log, "ab") as errors:
            process = subprocess.Popen(
                command,
                cwd=tree,
                stdin=pipe,
                stdout=pipe,
                stderr=errors,
                preexec_fn=bound_to(core),
                env=os.environ | {"PYTHONPATH": str(tree), "PYTHONDONTWRITEBYTECODE": "1"} | (environment or {}),
            )
        running = Running(name, process, log, psutil.Process(process.pid))
        self.all.append(running)
        return running

    def end(self) -> None:
        for one in self.all:
            if one.process.poll() is None:
                one.process.kill()
        for one in self.all:
            one.process.wait()
            for stream in (one.process.stdin, one.process.stdout):
                if stream is not None:
                    with suppress(OSError):  # what it was to be told and is not there to hear
                        stream.close()


@contextmanager
def staged(out: Path) -> Iterator[Stage]:
    (out / "logs").mkdir(parents=True, exist_ok=True)
    stage = Stage(out)
    try:
        yield stage
    finally:
        stage.end()
