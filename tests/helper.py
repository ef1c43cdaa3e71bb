"""Plays events into one balancer and compares what was decided with a trace that people have read.

UPDATE_TRACES=1 writes the traces anew; read the difference before you commit it.
"""

import os
import socket
import threading
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.internet.testing import MemoryReactorClock

from ternquay import model as m
from ternquay.balance import MS, SECOND, Balancer
from ternquay.facts import NameTable, parse_deployment
from ternquay.net.dispatcher import Dispatcher
from ternquay.net.driver import TCP_INFO_LAST_DATA
from ternquay.net.frontend import Frontend
from ternquay.net.limits import derive_limits
from ternquay.net.listing import parse_list
from ternquay.net.loop_timing import LoopTiming
from ternquay.net.pool import Pool
from ternquay.net.sockets import Sockets

READ = m.Profile(m.Semantics.IDEMPOTENT, m.DedupScope.ALL, 0, 600 * MS, 1500 * MS, 0.0)
MARKED = replace(READ, semantics=m.Semantics.JOURNALLED, dedup_window=300 * MS)
ONCE = replace(READ, semantics=m.Semantics.NON_IDEMPOTENT)
START = m.Config(
    seed=7,
    balancer_count=2,
    balancer_index=0,
    profiles=(READ, MARKED, ONCE, replace(MARKED, dedup_scope=m.DedupScope.ZONE)),
    quotas=(4.0, 1000.0),
    cache_aside=False,
    origin_kind=-1,
    watch_list=False,
    can_cancel=True,
    parallel_hops=True,
    max_hops=4,
    weight_mode=m.WeightMode.NONE,
    max_backoff=SECOND,
    clock_quantum=5 * MS,
    cold_share=0.2,
    warm_up_time=20 * SECOND,
    overload_multiple=3.0,
    overload_window=SECOND,
)
T0 = 1000 * SECOND
TRACES = Path(__file__).parent / "traces"


def line(host: int, standing: m.HostStatus = m.HostStatus.READY, since: int = 0, kind: int = 0) -> m.ListedHost:
    return m.ListedHost(host, f"10.0.0.{host}:80", host % 2, kind, host % 2, standing, 1.0, since)


def same(name: str, trace: list[str]) -> None:
    path, text = TRACES / f"{name}.txt", "\n".join(trace) + "\n"
    if os.environ.get("UPDATE_TRACES"):
        path.write_text(text)
    assert text == path.read_text()


class Play:
    """One balancer, a clock, and the trace of both."""

    def __init__(self, hosts: int = 4, *, origin: bool = False, **terms: Any) -> None:
        if origin:
            terms |= {"cache_aside": True, "origin_kind": 1}
        self.balancer = Balancer(replace(START, **terms))
        self.now, self.due, self.tx = T0, 0, 0
        self.trace: list[str] = []
        self.hops: dict[int, list[int]] = {}
        lines = [line(h) for h in range(hosts)] + ([line(9, kind=1)] if origin else [])
        self.list(*lines, whole=True)

    def feed(self, said: str, event: m.Event) -> list[str]:
        done = []
        for a in self.balancer.decide(self.now, event):
            if isinstance(a, m.SetTimer):
                self.due = a.at
                continue
            if isinstance(a, m.SendHop):
                self.hops.setdefault(a.tx, []).append(a.host)
                done.append(f"hop {a.tx} to {a.host}")
            elif isinstance(a, m.RollBack):
                done.append(f"roll back {a.tx}, back in {a.backoff // MS} ms")
            elif isinstance(a, m.Abandon):
                done.append(f"abandon {a.tx}")
            elif isinstance(a, m.CancelHop):
                done.append(f"cancel {a.tx}.{a.hop}")
            else:
                done.append(type(a).__name__)
        if done or not said.startswith("timer"):
            self.trace.append(f"{(self.now - T0) // MS:6} ms  {said}: {', '.join(done) or 'nothing'}")
        return done

    def list(self, *lines: m.ListedHost, whole: bool = False) -> None:
        said = " ".join(f"{x.host}={x.status.name.lower()}" for x in lines)
        self.feed(f"list {said}", m.ListChanged(whole, lines))

    def arrive(
        self, key: str | None = "a", profile: int = 0, share: int = -1, ttl: int = 900, again: bool = False
    ) -> int:
        self.tx += 1
        event = m.TxArrived(self.tx, profile, share, key, ttl * MS, again, profile > 0)
        self.feed(f"tx {self.tx} profile {profile} key {key}", event)
        return self.tx

    def end(self, tx: int, end: m.HopOutcome, hop: int = 0, took: int = 10, note: int = 1) -> None:
        closed = end is m.HopOutcome.DONE
        self.feed(f"hop {tx}.{hop} ends {end.name}", m.HopEnded(tx, hop, end, took * MS, closed, note))

    def run(self, ms: int) -> None:
        """Lets time pass and the timer fire."""
        until = self.now + ms * MS
        while self.due and self.due <= until:
            self.now, self.due = self.due, 0
            self.feed("timer", m.TimerFired())
        self.now = until

    def matches(self, name: str) -> None:
        same(name, self.trace)


FACTS: dict[str, Any] = {
    "Balancers": 1,
    "Discovery": "on_request",
    "Zones": ["a"],
    "Kinds": ["k"],
    "Profiles": [
        {"Name": "read", "Semantics": "repeatable", "ServiceGoal": 500000, "HardLimit": 900000},
        {"Name": "once", "Semantics": "once", "ServiceGoal": 500000, "HardLimit": 900000},
        {
            "Name": "mark",
            "Semantics": "by_key",
            "ServiceGoal": 500000,
            "HardLimit": 900000,
            "DedupScope": "all",
            "Window": 3000000,
        },
    ],
    "Limits": {
        "ParallelTries": True,
        "MostHops": 3,
        "RetryAfter": True,
        "MaxRetryAfter": 400000,
        "Cancel": True,
        "StreamsPerConn": 2,
        "ConnIdle": 5000000,
        "DialTimeout": 250000,
    },
    "Invariants": {"ColdShare": 0.2, "WarmWithin": 9000000, "TipMultiple": 3.0, "Fall": 1000000},
}


def member(host: int, phase: str = "up", since: int = 0) -> dict[str, Any]:
    return {
        "id": f"h{host}",
        "host_port": f"127.0.0.{host}:11211",
        "locality": "a",
        "flavor": "k",
        "cell": 0,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": since,
    }


class Listening(threading.Thread):
    """A stand-in on loopback: each connection is answered by a thread of its own."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self.listener.getsockname()[1])

    def run(self) -> None:
        with suppress(OSError):
            while True:
                threading.Thread(target=self.answer, args=(self.listener.accept()[0],), daemon=True).start()

    def answer(self, client: socket.socket) -> None:
        raise NotImplementedError


def shown(data: bytes) -> bytes:
    return data if len(data) < 90 else data[:60] + b"... %d bytes" % len(data)


class Wire:
    """A transport without a socket: what is written lies here until take() plays the system."""

    def __init__(self, net: "Net", name: str, protocol: Any) -> None:
        self.net, self.name, self.protocol, self.producer = net, name, protocol, None
        self.pending, self.closing, self.lost, self.paused = b"", False, False, False
        self.unread: bytes | None = None  # b"": the other side's end
        self.silent_ms = 0  # since data last came, as the system knows
        self.bytes_taken = 0  # bytes that the system took
        self.stuck = False  # it takes none
        protocol.makeConnection(self)

    def setsockopt(self, level: int, name: int, value: int) -> None:
        pass

    def getsockopt(self, level: int, name: int, size: int) -> bytes:
        return TCP_INFO_LAST_DATA.pack(self.silent_ms)

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        self.producer = producer
        producer.resumeProducing()

    def unregisterProducer(self) -> None:
        self.producer = None

    def write(self, data: bytes) -> None:
        self.pending += data

    def doWrite(self) -> None:
        """The system takes nothing before take()."""

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        self.paused = False

    def getHandle(self) -> Any:
        return self

    def recv(self, size: int, flags: int) -> bytes:
        if self.unread is None:
            raise BlockingIOError
        return self.unread

    def shutdown(self, how: int) -> None:
        self.closing = True

    def loseConnection(self) -> None:
        self.closing = True

    def abortConnection(self) -> None:
        if not self.lost:
            self.net.say(f"{self.name} is cut off by us, {len(self.pending)} bytes unwritten")
            self.end()

    def end(self) -> None:
        """The connection is over, whoever ended it."""
        if not self.lost:
            self.lost = True
            self.protocol.connectionLost(connectionDone)

    def take(self) -> None:
        """The system takes all that was written, until nothing is left."""
        while self.pending and not self.lost and not self.stuck:
            data, self.pending = self.pending, b""
            self.bytes_taken += len(data)
            self.net.say(f"{self.name} < {shown(data)!r}")
            if self.producer is not None:
                self.producer.resumeProducing()
        if self.closing and not self.lost and not self.pending:
            self.net.say(f"{self.name} is closed by us")
            self.end()

    def feed(self, data: bytes, cut: int = 0) -> None:
        """Bytes from the other side, in pieces of `cut`."""
        self.net.say(f"{self.name} > {shown(data)!r}")
        for at in range(0, len(data), cut or len(data)):
            if not self.lost:
                self.protocol.dataReceived(data[at : at + (cut or len(data))])
        self.net.take()


class Net:
    """Front, door and pool on a clock of the test's own, and the trace of all that is written."""

    def __init__(
        self,
        hosts: int = 1,
        sockets: int = 64,
        limits: dict[str, Any] | None = None,
        facts: dict[str, Any] | None = None,
        **terms: Any,
    ) -> None:
        facts = FACTS | {"Limits": FACTS["Limits"] | terms} | (facts or {})
        self.reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
        self.trace: list[str] = []
        self.wires: list[Wire] = []
        self.reactor.advance(1000.0)
        self.limits = replace(derive_limits(facts, sockets, 96), **limits or {})
        self.sockets = Sockets(self.limits)
        start = parse_deployment(7, facts)
        self.dispatcher = Dispatcher(self.reactor, start, NameTable(facts), self.limits)
        self.pool = self.dispatcher.pool = Pool(
            self.reactor, self.dispatcher, self.limits, self.sockets, start.parallel_hops
        )
        self.loop_timing = LoopTiming(self.limits.turn_duration)
        self.frontend = Frontend(self.reactor, self.dispatcher, self.limits, self.sockets, self.loop_timing)
        self.dispatcher.request_list = lambda: self.say("the list is asked for")
        self.pool.sweep()
        self.frontend.sweep()
        self.list(*(member(h) for h in range(1, hosts + 1)), whole=True)

    def say(self, text: str) -> None:
        self.trace.append(f"{round((self.reactor.seconds() - 1000) * 1000):6} ms  {text}")

    def list(self, *members: dict[str, Any], whole: bool = False) -> None:
        told = {"revision": 1, "complete": whole, "members": list(members)}
        self.dispatcher.update_hosts(*parse_list(told, 0)[1:])

    def client(self) -> Wire:
        count = sum(w.name.startswith("client") for w in self.wires)
        self.wires.append(Wire(self, f"client {count}", self.frontend.buildProtocol(None)))
        return self.wires[-1]

    def accept(self) -> Wire:
        """The connection that was dialled first and is not up yet comes up."""
        host, _, factory, _, _ = self.reactor.tcpClients.pop(0)
        self.say(f"host {host[-1]} accepts")
        self.wires.append(Wire(self, f"host {host[-1]}", factory.buildProtocol(None)))
        self.take()
        return self.wires[-1]

    def refuse(self) -> None:
        host, _, factory, _, _ = self.reactor.tcpClients.pop(0)
        self.say(f"host {host[-1]} can't be reached")
        factory.clientConnectionFailed(factory, connectionDone)
        self.take()

    def take(self) -> None:
        for wire in self.wires:
            wire.take()

    def run(self, ms: int) -> None:
        for _ in range(ms):
            self.reactor.advance(0.001)
            self.take()

    def matches(self, name: str) -> None:
        same(name, self.trace)
