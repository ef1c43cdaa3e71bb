"""Test fixtures: a balancer, or a whole proxy without sockets, whose actions are compared with a reviewed trace.

UPDATE_TRACES=1 rewrites the traces in tests/traces; review the difference before committing it.
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
from ternquay.net.driver import TCP_INFO_ACKNOWLEDGED, TCP_INFO_LAST_DATA, TCP_INFO_SEGMENTS, TCP_INFO_WINDOW
from ternquay.net.frontend import Frontend
from ternquay.net.limits import derive_limits
from ternquay.net.listing import parse_list
from ternquay.net.loop_timing import LoopTiming
from ternquay.net.pool import Pool
from ternquay.net.send_progress import SendState
from ternquay.net.sockets import Sockets

IDEMPOTENT = m.Profile(m.Semantics.IDEMPOTENT, m.DedupScope.ALL, 0, 600 * MS, 1500 * MS, 0.0)
JOURNALLED = replace(IDEMPOTENT, semantics=m.Semantics.JOURNALLED, dedup_window=300 * MS)
NON_IDEMPOTENT = replace(IDEMPOTENT, semantics=m.Semantics.NON_IDEMPOTENT)
CONFIG = m.Config(
    seed=7,
    balancer_count=2,
    balancer_index=0,
    profiles=(IDEMPOTENT, JOURNALLED, NON_IDEMPOTENT, replace(JOURNALLED, dedup_scope=m.DedupScope.ZONE)),
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
T0 = 1000 * SECOND  # time at the start of a scenario
TRACES = Path(__file__).parent / "traces"


def listed_host(
    host: int, status: m.HostStatus = m.HostStatus.READY, started_at: int = 0, kind: int = 0
) -> m.ListedHost:
    return m.ListedHost(host, f"10.0.0.{host}:80", host % 2, kind, host % 2, status, 1.0, started_at)


def check_trace(name: str, trace: list[str]) -> None:
    """Compare a trace with the reviewed one of that name."""
    path, actual = TRACES / f"{name}.txt", "\n".join(trace) + "\n"
    if os.environ.get("UPDATE_TRACES"):
        path.write_text(actual)
    assert actual == path.read_text()


class Scenario:
    """One balancer with a simulated clock, and a trace of its events and actions."""

    def __init__(self, hosts: int = 4, *, origin: bool = False, **overrides: Any) -> None:
        if origin:
            overrides |= {"cache_aside": True, "origin_kind": 1}
        self.balancer = Balancer(replace(CONFIG, **overrides))
        self.now, self.timer_at, self.last_tx = T0, 0, 0
        self.trace: list[str] = []
        self.hops: dict[int, list[int]] = {}
        entries = [listed_host(h) for h in range(hosts)] + ([listed_host(9, kind=1)] if origin else [])
        self.list(*entries, complete=True)

    def feed(self, label: str, event: m.Event) -> list[str]:
        """Handle one event, and return and trace the actions as text."""
        taken = []
        for action in self.balancer.decide(self.now, event):
            if isinstance(action, m.SetTimer):
                self.timer_at = action.at
                continue
            if isinstance(action, m.SendHop):
                self.hops.setdefault(action.tx, []).append(action.host)
                taken.append(f"hop {action.tx} to {action.host}")
            elif isinstance(action, m.RollBack):
                taken.append(f"roll back {action.tx}, back in {action.backoff // MS} ms")
            elif isinstance(action, m.Abandon):
                taken.append(f"abandon {action.tx}")
            elif isinstance(action, m.CancelHop):
                taken.append(f"cancel {action.tx}.{action.hop}")
            else:
                taken.append(type(action).__name__)
        if taken or not label.startswith("timer"):
            self.trace.append(f"{(self.now - T0) // MS:6} ms  {label}: {', '.join(taken) or 'nothing'}")
        return taken

    def list(self, *entries: m.ListedHost, complete: bool = False) -> None:
        label = " ".join(f"{x.host}={x.status.name.lower()}" for x in entries)
        self.feed(f"list {label}", m.ListChanged(complete, entries))

    def arrive(
        self, key: str | None = "a", profile: int = 0, share: int = -1, ttl: int = 900, is_retry: bool = False
    ) -> int:
        self.last_tx += 1
        event = m.TxArrived(self.last_tx, profile, share, key, ttl * MS, is_retry, profile > 0)
        self.feed(f"tx {self.last_tx} profile {profile} key {key}", event)
        return self.last_tx

    def end_hop(
        self, tx: int, outcome: m.HopOutcome, hop: int = 0, duration_ms: int = 10, cache_result: int = 1
    ) -> None:
        tx_ended = outcome is m.HopOutcome.DONE
        self.feed(
            f"hop {tx}.{hop} ends {outcome.name}",
            m.HopEnded(tx, hop, outcome, duration_ms * MS, tx_ended, cache_result),
        )

    def run(self, ms: int) -> None:
        """Advance the clock by `ms`, firing the timer on the way."""
        until = self.now + ms * MS
        while self.timer_at and self.timer_at <= until:
            self.now, self.timer_at = self.timer_at, 0
            self.feed("timer", m.TimerFired())
        self.now = until

    def matches(self, name: str) -> None:
        check_trace(name, self.trace)


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


class ThreadedServer(threading.Thread):
    """A server on loopback that handles each connection in a thread of its own."""

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


def shortened(data: bytes) -> bytes:
    return data if len(data) < 90 else data[:60] + b"... %d bytes" % len(data)


OPEN_PIPE = os.pipe()


class Wire:
    """A transport without a socket. Written data stays in `pending` until take() accepts it, as the kernel would."""

    def __init__(self, net: "Net", name: str, protocol: Any) -> None:
        self.net, self.name, self.protocol, self.producer = net, name, protocol, None
        self.bufferSize = 1 << 16
        self.pending, self.closing, self.lost, self.paused = b"", False, False, False
        self.unread: bytes | None = None  # b"": the peer closed its side
        self.silent_ms = 0  # since data last arrived, as the kernel reports it
        self.bytes_taken = 0  # accepted by the kernel
        self.sent: SendState | None = None  # what the kernel reports of bytes that it has sent; None: nothing
        self.segments_out = 0  # sent and not acknowledged
        self.stuck = False  # the kernel accepts nothing
        protocol.makeConnection(self)

    def setsockopt(self, level: int, name: int, value: int) -> None:
        pass

    def getsockopt(self, level: int, name: int, size: int) -> bytes:
        if self.sent is None:
            return TCP_INFO_LAST_DATA.pack(self.silent_ms)
        info = bytearray(TCP_INFO_WINDOW.pack(self.sent.window))
        # Each of them clears what is before it.
        TCP_INFO_ACKNOWLEDGED.pack_into(info, 0, self.sent.acknowledged)
        TCP_INFO_LAST_DATA.pack_into(info, 0, self.silent_ms)
        TCP_INFO_SEGMENTS.pack_into(info, 0, self.sent.segment, self.segments_out)
        return bytes(info)

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        self.producer = producer
        producer.resumeProducing()

    def unregisterProducer(self) -> None:
        self.producer = None

    def write(self, data: bytes) -> None:
        self.pending += data

    def doWrite(self) -> None:
        """The kernel accepts nothing before take()."""

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        self.paused = False

    def getHandle(self) -> Any:
        return self

    def fileno(self) -> int:
        """A descriptor whose peer has not closed."""
        return OPEN_PIPE[0]

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
            self.lost, self.pending = True, b""
            self.net.reactor.callLater(0, self.protocol.connectionLost, connectionDone)

    def end(self) -> None:
        """Close the connection, whichever side caused it."""
        if not self.lost:
            self.lost = True
            self.protocol.connectionLost(connectionDone)

    def take(self) -> None:
        """Accept written data, as the kernel would, until nothing is left."""
        while self.pending and not self.lost and not self.stuck:
            data, self.pending = self.pending, b""
            self.bytes_taken += len(data)
            self.net.say(f"{self.name} < {shortened(data)!r}")
            if self.producer is not None:
                self.producer.resumeProducing()
        if self.closing and not self.lost and not self.pending:
            self.net.say(f"{self.name} is closed by us")
            self.end()

    def feed(self, data: bytes, cut: int = 0) -> None:
        """Receive bytes from the peer, in pieces of `cut` bytes."""
        self.net.say(f"{self.name} > {shortened(data)!r}")
        for at in range(0, len(data), cut or len(data)):
            if not self.lost:
                self.protocol.dataReceived(data[at : at + (cut or len(data))])
        self.net.take()


class Net:
    """Frontend, dispatcher and pool on a simulated clock, and a trace of all data written and received."""

    def __init__(
        self,
        hosts: int = 1,
        sockets: int = 64,
        limits: dict[str, Any] | None = None,
        facts: dict[str, Any] | None = None,
        **limit_settings: Any,
    ) -> None:
        facts = FACTS | {"Limits": FACTS["Limits"] | limit_settings} | (facts or {})
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
        self.list(*(member(h) for h in range(1, hosts + 1)), complete=True)

    def say(self, text: str) -> None:
        self.trace.append(f"{round((self.reactor.seconds() - 1000) * 1000):6} ms  {text}")

    def list(self, *members: dict[str, Any], complete: bool = False) -> None:
        document = {"revision": 1, "complete": complete, "members": list(members)}
        self.dispatcher.update_hosts(*parse_list(document, 0)[1:])

    def client(self) -> Wire:
        count = sum(w.name.startswith("client") for w in self.wires)
        self.wires.append(Wire(self, f"client {count}", self.frontend.buildProtocol(None)))
        return self.wires[-1]

    def accept(self) -> Wire:
        """Establish the oldest pending connection to a host."""
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
        check_trace(name, self.trace)
