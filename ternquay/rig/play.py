"""Plays one day: starts stand-ins, balancers and load on loopback, carries out the day's faults on balancers, and
gathers what all of them saw.

    saw = play(day, seed, contender, out)    # raises PlayError if it could not be played

Cores are set apart: one for each balancer, one for the stand-ins, the rest for load. No process is left behind.
"""

import ctypes
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random, SystemRandom
from typing import IO, Any

import msgspec
import psutil

from ternquay.rig import records
from ternquay.rig.child import Plan
from ternquay.rig.contender import ROOT, Contender
from ternquay.rig.system_calls import CallPlan, prepared
from ternquay.rig.terms import (
    BALANCER_FAULTS,
    MS,
    SECOND,
    Day,
    Planned,
    has_stopping_clients,
    laid_over,
    planned,
)

READY_WITHIN = 20.0
TRACE = "Traceback"
SAMPLE_EVERY = SECOND // 4
TURN = 0.01
TRIES = 3  # ports may be taken between the moment we find them free and the moment a balancer listens
DRAW, TOLD = SystemRandom(), set[tuple[str, int]]()  # of free_place, and what it has told
PDEATHSIG = 1
KINDS = {"idempotent": "repeatable", "journalled": "by_key", "non-idempotent": "once"}


class PlayError(Exception):
    """The play could not be played; the text says which part ended and why."""


class PortTaken(PlayError):
    """Another process has a port that was free just now."""


def tail_ms(day: Day) -> int:
    return max(p.hard_limit_ms for p in day.profiles) + 700


def drawn_from() -> int:
    """The first of the ports that the system gives by itself, to who connects and who binds none."""
    try:
        return int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    except (OSError, ValueError, IndexError):
        return 32768


def free_place(address: str) -> str:
    """A port that is free on TCP and UDP, and stays so until it is bound: it was told once, and the system gives it to
    nobody. Against one of the system's own, which whoever connects or binds next may get meanwhile."""
    above = drawn_from()
    ports = range(1024, above) if above > 2048 else range(1024, 65536)
    while True:
        port = DRAW.choice(ports)
        if (address, port) in TOLD:
            continue
        try:
            with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
                stream.bind((address, port))
                datagrams.bind((address, port))
        except OSError:
            continue
        TOLD.add((address, port))
        return f"{address}:{port}"


def host_places(day: Day) -> list[str]:
    """An address of its own for each cache host, with a port that is free now."""
    return [free_place(f"127.1.{n // 250}.{n % 250 + 1}") for n in range(day.hosts.count)]


def settings_of(day: Day, number: int) -> dict[str, Any]:
    """What the platform's first message would tell a balancer, out of the day."""
    hosts, rules = day.hosts, day.rules
    profiles = []
    for p in day.profiles:
        told: dict[str, Any] = {"Name": p.name, "Semantics": KINDS[p.kind], "ServiceGoal": p.service_goal_ms * 1000,
                                "HardLimit": p.hard_limit_ms * 1000}
        if p.kind == "journalled":
            told |= {"DedupScope": "all", "Window": p.memory_ms * 1000}
        profiles.append(told)
    reshaped: dict[str, Any] = {}
    if number < day.balancers.reshaped:
        zones = [f"zone-{n}" for n in range(hosts.zones)] if hosts.zones > 1 else ["here"]
        reshaped = {
            "Weights": "live" if day.list.weights_ms else "none", "Zones": zones, "Zone": zones[number % len(zones)],
            "Prices": {"CrossZone": 0.1}, "Goal": {"KeptPromises": 0.4, "TailSlack": 0.01},
            "LoadReport": {"Source": "answers", "Names": ["err_ps", "tps", "concurrent", "x1"]},
        }
    return {
        "Balancers": day.balancers.count, "MyNumber": number, "Discovery": "on_request", "Quantum": 5000,
        "Weights": "none", "Zones": ["here"], "Kinds": ["rig"], "Tenants": [],
        "FamilyInfo": {"Mode": "through", "OriginKind": -1}, "Profiles": profiles,
        "Limits": {"Cancel": True, "ParallelTries": day.balancers.second_copies,
                   "MostHops": day.balancers.most_hops, "RetryAfter": True, "MaxRetryAfter": 1_000_000,
                   "StreamsPerConn": 16, "ConnIdle": 5_000_000, "DialTimeout": 250_000, "MostHeld": 20_000},
        "Invariants": {"ColdShare": hosts.cold_share, "WarmWithin": hosts.warm_within_ms * 1000,
                       "TipMultiple": hosts.tip_multiple, "Fall": hosts.tip_window_ms * 1000,
                       "DrainGrace": rules.drain_grace_ms * 1000, "MustAskIn": day.list.must_ask_ms * 1000},
    } | reshaped


def configuration(day: Day, number: int, listen: str, discovery: str, known: dict[str, Any],
                  seed: int) -> dict[str, Any]:
    """What one balancer's file holds; `known` is the list in discovery's form."""
    return {
        "name": f"balancer-{number}", "listen": listen, "discovery": discovery,
        "seed": f"{Random(f'{seed}/balancer/{number}').randrange(1 << 64):016x}",
        "limits": {"cores": 1.0, "memory_mb": day.balancers.memory_mb, "sockets": day.balancers.sockets},
        "known": known, "settings": settings_of(day, number),
    }


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

    def start(self, name: str, command: list[str], core: int, tree: Path = ROOT, piped: bool = True,
              environment: dict[str, str] | None = None) -> Running:
        log = self.out / "logs" / f"{name}.log"
        pipe = subprocess.PIPE if piped else subprocess.DEVNULL
        with open(log, "ab") as errors:
            process = subprocess.Popen(
                command, cwd=tree, stdin=pipe, stdout=pipe, stderr=errors, preexec_fn=bound_to(core),
                env=os.environ | {"PYTHONPATH": str(tree), "PYTHONDONTWRITEBYTECODE": "1"} | (environment or {}))
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
        self.told = laid_over(told, self.contender.over)
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
        self.running = self.stage.start(f"balancer-{self.number}", command, self.core, self.contender.tree, False,
                                        self.machine_faults())
        self.lives.append(records.Life(self.number, time.monotonic_ns()))

    def machine_faults(self) -> dict[str, str]:
        """What has the system calls and the clock of this life fail as the day has it."""
        if not self.day.calls and not self.day.clock:
            return {}
        plan = CallPlan(self.day.calls, self.day.clock, Random(f"{self.seed}/calls/{self.number}").getrandbits(32))
        return prepared(plan, self.stage.out / "logs", f"balancer-{self.number}", str(self.contender.tree))

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
                self.samples.append(records.Sample(
                    now, self.number, self.spent + times.user + times.system,
                    self.running.meter.memory_info().rss, self.running.meter.num_fds()))
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


def balancer_events(faults: tuple[Planned, ...], balancers: list[Balancer],
                    second: list[str]) -> list[tuple[int, Callable[[], bool | None]]]:
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


def follow(day: Day, begin: int, events: list[tuple[int, Callable[[], bool | None]]], balancers: list[Balancer],
           children: list[Running], progress: Callable[[float], None]) -> None:
    """Until stand-ins and load have ended by themselves; raises PlayError if one ended otherwise."""
    last = begin + int((day.seconds + tail_ms(day) / 1000 + 15) * SECOND)
    sampled = 0
    while any(child.process.poll() is None for child in children):
        now = time.monotonic_ns()
        while events and begin + events[0][0] <= now:
            _, what = events.pop(0)
            if what() is False:
                events.insert(0, (now + 50 * MS - begin, what))
                break
        if now - sampled >= SAMPLE_EVERY:
            sampled = now
            for balancer in balancers:
                balancer.look(now)
            progress((now - begin) / SECOND)
        for child in children:
            if child.process.poll() not in (None, 0):
                raise PlayError(f"{child.name} ended: {child.last_words()}")
        if now > last:
            raise PlayError("the play did not end in its time")
        time.sleep(TURN)


def may_shard(day: Day) -> bool:
    """Whether cache hosts may be dealt out over processes: what one does must not matter to another."""
    return not day.faults and all(not p.write for p in day.profiles)


def play(day: Day, seed: int, contender: Contender, out: Path, loads: int = 2,
         progress: Callable[[float], None] = lambda at: None, shards: int = 1) -> records.Saw:
    """Plays the day once. Other ports are used where one was taken.

    `shards` processes have the cache hosts, on days without writes and faults alone.
    """
    if day.tenants:
        raise PlayError(f"{day.name}: has tenants; rig play and rig neighbours play such a day")
    if shards > 1 and not may_shard(day):
        raise PlayError(f"{day.name}: with writes or faults its cache hosts can't be in several processes")
    for last in (False,) * (TRIES - 1) + (True,):
        shutil.rmtree(out / "logs", ignore_errors=True)
        try:
            with staged(out) as stage:
                return _play(stage, day, seed, contender, (shards, loads), progress)
        except PortTaken:
            if last:
                raise
    raise AssertionError


def _play(stage: Stage, day: Day, seed: int, contender: Contender, processes: tuple[int, int],
          progress: Callable[[float], None]) -> records.Saw:
    shards, loads = processes
    cores = share_cores(day.balancers.count, loads, shards)
    balancers = [Balancer(stage, day, n, contender, seed, cores.balancers[n]) for n in range(day.balancers.count)]
    plan = Plan(day, seed, "", epoch_ms=time.time_ns() // MS, balancers=[b.listen for b in balancers], loads=loads,
                tail_ms=tail_ms(day), places=host_places(day), shards=shards)

    def child(name: str, module: str, core: int, **terms: Any) -> Running:
        saw = stage.out / f"{name}.saw"
        saw.unlink(missing_ok=True)
        path = stage.out / f"{name}.json"
        path.write_bytes(msgspec.json.encode(msgspec.structs.replace(plan, out=str(saw.resolve()), **terms)))
        return stage.start(name, [sys.executable, "-m", module, str(path.resolve())], core)

    standins = [child("standins" if not n else f"standins-{n}", "ternquay.rig.standins", core, shard=n)
                for n, core in enumerate(cores.standins)]
    clients = [child(f"load-{n}", "ternquay.rig.load", core, index=n) for n, core in enumerate(cores.loads)]
    if has_stopping_clients(day):
        clients.append(child("stopping", "ternquay.rig.stopping", cores.loads[-1]))
    told = [one.told() for one in standins][0]
    for balancer in balancers:
        balancer.configure(told["discovery"][balancer.number][0], json.loads(told["known"]))
        balancer.start()
    for one in clients:
        one.told()
    for balancer in balancers:
        balancer.wait_ready()
    begin = time.monotonic_ns() + 300 * MS
    children = [*standins, *clients]
    for running in children:
        running.say(f"begin {begin}\n")
    events = balancer_events(planned(day, seed), balancers, [second for _, second in told["discovery"]])
    follow(day, begin, events, balancers, children, progress)
    for running in children:
        running.check_log()
    return gathered(stage, day, seed, begin, balancers, [one.name for one in standins], loads)


def gathered(stage: Stage, day: Day, seed: int, begin: int, balancers: list[Balancer], standins: list[str],
             loads: int) -> records.Saw:
    try:
        fleet = records.together([records.read_fleet(stage.out / f"{name}.saw") for name in standins])
        clients = [records.read_load(stage.out / f"load-{n}.saw") for n in range(loads)]
        stops = records.read_stops(stage.out / "stopping.saw") if has_stopping_clients(day) else []
    except (OSError, msgspec.DecodeError) as fault:
        raise PlayError(f"what was seen can't be read: {fault}") from fault
    for name in (*standins, *(f"load-{n}" for n in range(loads)), *(["stopping"] if has_stopping_clients(day) else [])):
        (stage.out / f"{name}.saw").unlink()
        (stage.out / f"{name}.json").unlink()
    return records.Saw(
        day=day.name, seed=seed, seconds=day.seconds, begin=begin, loads=clients, fleet=fleet,
        lives=[life for b in balancers for life in b.lives], samples=[s for b in balancers for s in b.samples],
        pauses=[pause for b in balancers for pause in b.pauses], stops=stops,
    )
