"""One balancer of a play through all its lives, and the faults of a day that befall it."""

import json
import signal
import socket
import time
from collections.abc import Callable
from random import Random
from typing import Any

import psutil

from ternquay.rig import records
from ternquay.rig.configuration import configuration, tail_ms
from ternquay.rig.contender import Contender
from ternquay.rig.ports import free_place
from ternquay.rig.processes import READY_WITHIN, TURN, PlayError, PortTaken, Running, Stage
from ternquay.rig.system_calls import CallPlan, fault_environment
from ternquay.rig.terms import BALANCER_FAULTS, MS, Day, PlannedFault, merge_tables


class Balancer:
    """One balancer through all its lives."""

    def __init__(self, stage: Stage, day: Day, number: int, contender: Contender, seed: int, core: int) -> None:
        self.stage, self.day, self.number, self.contender, self.core = stage, day, number, contender, core
        self.seed = seed
        self.listen = free_place(f"127.3.0.{number + 1}")
        self.config = stage.out / f"balancer-{number}.json"
        self.lives: list[records.Life] = []
        self.samples: list[records.Sample] = []
        self.spent = 0.0  # CPU seconds of the lives before this one
        self.pauses: list[records.Pause] = []
        self.running: Running | None = None
        self.told: dict[str, Any] = {}

    def configure(self, discovery: str, known: dict[str, Any]) -> None:
        told = configuration(self.day, self.number, self.listen, discovery, known, self.seed)
        self.told = merge_tables(told, self.contender.over)
        self._write()

    def _write(self) -> None:
        beside = self.config.with_suffix(".new")
        beside.write_text(json.dumps(self.told))
        beside.replace(self.config)

    def move_discovery(self, discovery: str) -> None:
        self.told["discovery"] = discovery
        self._write()
        self.signal(signal.SIGHUP)

    def signal(self, number: signal.Signals) -> None:
        if self.running is not None and self.running.process.poll() is None:
            self.running.process.send_signal(number)

    def start(self) -> None:
        command = self.contender.command(self.config.resolve())
        self.running = self.stage.start(
            f"balancer-{self.number}", command, self.core, self.contender.tree, False, self.machine_faults()
        )
        self.lives.append(records.Life(self.number, time.monotonic_ns()))

    def machine_faults(self) -> dict[str, str]:
        """What has the system calls and the clock of this life fail as the day has it."""
        if not self.day.calls and not self.day.clock:
            return {}
        plan = CallPlan(self.day.calls, self.day.clock, Random(f"{self.seed}/calls/{self.number}").getrandbits(32))
        return fault_environment(plan, self.stage.out / "logs", f"balancer-{self.number}", str(self.contender.tree))

    def answers(self) -> bool:
        """Whether it says that it serves."""
        host, port = self.listen.rsplit(":", 1)
        try:
            with socket.create_connection((host, int(port)), timeout=0.5) as probe:
                probe.sendall(b"mn\r\n")
                return probe.recv(16).startswith(b"MN")
        except OSError:
            return False

    def wait_ready(self) -> None:
        until = time.monotonic() + READY_WITHIN
        while not self.answers():
            assert self.running is not None
            if self.running.process.poll() is not None:
                words = self.running.last_words()
                raise (PortTaken if "in use" in words else PlayError)(f"{self.running.name}: {words}")
            if time.monotonic() > until:
                raise PlayError(f"{self.running.name} did not get ready: {self.running.last_words()}")
            time.sleep(TURN)

    def kill(self) -> None:
        life = self.lives[-1]
        self.signal(signal.SIGKILL)
        if self.running is not None:
            # Its sockets take connections until it is really gone, which on a busy machine is 0.2 s later.
            self.running.process.wait()
        life.killed, life.ended = True, time.monotonic_ns()

    def stop(self) -> None:
        self.pauses.append(records.Pause(self.number, time.monotonic_ns(), 0))
        self.signal(signal.SIGSTOP)

    def go_on(self) -> None:
        self.signal(signal.SIGCONT)
        self.pauses[-1].ended = time.monotonic_ns()

    def ask_to_end(self) -> None:
        self.lives[-1].told_to_end = time.monotonic_ns()
        self.signal(signal.SIGTERM)

    def look(self, now: int) -> None:
        """Notes an end that came by itself, and what the process uses."""
        assert self.running is not None
        code = self.running.process.poll()
        life = self.lives[-1]
        if code is not None:
            if not life.ended:
                life.ended, life.code = now, code
            return
        try:
            with self.running.meter.oneshot():
                times = self.running.meter.cpu_times()
                self.samples.append(
                    records.Sample(
                        now,
                        self.number,
                        self.spent + times.user + times.system,
                        self.running.meter.memory_info().rss,
                        self.running.meter.num_fds(),
                    )
                )
        except psutil.Error:
            pass

    def again(self) -> bool:
        """Starts it anew; False if the one before is not gone and has time left to end in order."""
        assert self.running is not None
        patience = tail_ms(self.day) * MS
        if self.running.process.poll() is None:
            if time.monotonic_ns() < self.lives[-1].told_to_end + patience:
                return False
            self.running.process.kill()
            self.running.process.wait()
        if not self.lives[-1].ended:
            self.lives[-1].ended = time.monotonic_ns()
        self.spent = self.samples[-1].cpu if self.samples else 0.0
        self.start()
        return True


def balancer_events(
    faults: tuple[PlannedFault, ...], balancers: list[Balancer], second: list[str]
) -> list[tuple[int, Callable[[], bool | None]]]:
    """What is done to balancers, and when; `second` are the addresses that discovery moves to."""
    events: list[tuple[int, Callable[[], bool | None]]] = []
    for f in faults:
        if f.kind not in BALANCER_FAULTS:
            continue
        balancer = balancers[f.balancer]
        if f.kind == "reload":
            where = second[f.balancer]
            events.append((f.start, lambda b=balancer, w=where: b.move_discovery(w)))  # type: ignore[misc]
        elif f.kind == "balancer-stop":
            events += [(f.start, balancer.stop), (f.end, balancer.go_on)]
        else:
            events.append((f.start, balancer.kill if f.kind == "balancer-kill" else balancer.ask_to_end))
            events.append((f.end, balancer.again))
    return sorted(events, key=lambda e: e[0])
