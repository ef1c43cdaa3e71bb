"""One client that floods a tenant, in one of several shapes: a process of its own, bounded in count and time.

It writes down what it sent and got, and each answer out of order or for nothing.
"""

import sys
import time
from collections import deque
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from ternquay.rig.child import Plan, install, live
from ternquay.rig.terms import SECOND, FloodTerms

STEP = 0.02
ADDRESS = "127.4.0.9"
BUFFERED = 1 << 20  # unsent bytes on one connection before it writes no more
SENT_MOST, CONNECTIONS_MOST = 400_000, 30_000
VALUE, HUGE = b"y" * (1 << 16), 60_000_000
OPEN = {"pipelined": 20, "connections": 2000, "values": 12, "halves": 400, "garbage": 20, "api": 40}
DIALS = {"connections": 1000.0, "api": 400.0}  # a second; other shapes open what was closed again
BEGINNINGS = (b"VA ", b"HD ", b"SERVER_ERROR", b"CLIENT_ERROR", b"ERROR", b"MN", b"HTTP/1.1")


class FloodPlan(Plan):
    flood: FloodTerms = FloodTerms()
    rate: float = 1000.0
    api: str = ""
    profile: str = ""
    keys: int = 1000
    value_goal_ms: int = 900


class FloodSaw(msgspec.Struct):
    """Counts of one flood."""

    sent: int = 0
    connections: int = 0
    closed: int = 0
    committed: int = 0
    rolled_back: int = 0
    other: int = 0
    wrong: list[str] = []
    unsent: int = 0  # commands held back since the other side reads no more


class Flooder(Protocol):
    """One connection of the flood."""

    transport: Any

    def __init__(self, flood: "Flood") -> None:
        self.flood = flood
        self.owed: deque[bytes] = deque()
        self.buffer = bytearray()
        self.queued = 0
        self.over = False

    def connectionMade(self) -> None:
        self.flood.all.append(self)
        self.flood.opened(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.over = True
        if self in self.flood.all:
            self.flood.all.remove(self)
        self.flood.saw.closed += 1
        self.flood.lost()

    def put(self, id: bytes, text: bytes) -> None:
        # The library tells nothing of what it has not written yet but by its own buffers.
        unsent = len(self.transport.dataBuffer) + self.transport._tempDataLen
        if unsent > BUFFERED:
            self.flood.saw.unsent += 1
            return
        self.flood.saw.sent += 1
        self.owed.append(id)
        self.transport.write(text)

    def dataReceived(self, data: bytes) -> None:
        self.buffer += data
        while taken := self._answer():
            del self.buffer[:taken]

    def _answer(self) -> int:
        end = self.buffer.find(b"\r\n")
        if end < 0:
            return 0
        line = bytes(self.buffer[:end])
        words, size = line.split(b" "), end + 2
        if words[0] == b"VA":
            size += int(words[1]) + 2
            if len(self.buffer) < size:
                return 0
        if self.flood.shape == "api":
            return size  # statuses and headers, for a whole body nobody asks here
        self.flood.answered(self, words, line)
        return size


class Dialer(ClientFactory):
    noisy = False

    def __init__(self, flood: "Flood") -> None:
        self.flood = flood

    def buildProtocol(self, addr: Any) -> Flooder:
        return Flooder(self.flood)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.flood.lost()


class Flood:
    def __init__(self, reactor: Any, plan: FloodPlan) -> None:
        self.reactor, self.plan, self.shape = reactor, plan, plan.flood.shape
        self.saw = FloodSaw()
        self.all: list[Flooder] = []
        self.dialled = self.begin = self.end = 0
        self.number = self.turn = 0
        self.due = self.dials = 0.0
        where = plan.api if self.shape == "api" else plan.balancers[0]
        self.host, _, port = where.rpartition(":")
        self.port = int(port)

    def start(self, begin: int) -> None:
        length = self.plan.day.seconds
        self.begin = begin + int(self.plan.flood.start * length * SECOND)
        self.end = begin + int(self.plan.flood.end * length * SECOND)
        if self.shape != "none":
            self.reactor.callLater(max(0, self.begin - time.monotonic_ns()) / SECOND, self.step)

    def step(self) -> None:
        now = time.monotonic_ns()
        if now >= self.end or self.saw.sent >= SENT_MOST:
            for one in list(self.all):
                one.transport.abortConnection()
            return
        self.reactor.callLater(STEP, self.step)
        self.dials = min(200.0, self.dials + DIALS.get(self.shape, 500.0) * STEP)
        while self.dialled < OPEN[self.shape] and self.dials >= 1 and self.saw.connections < CONNECTIONS_MOST:
            self.dials -= 1
            self.dial()
        if self.shape in ("pipelined", "garbage"):
            self.due += self.plan.rate * STEP
            while self.due >= 1 and self.all:
                self.due -= 1
                self.turn += 1
                self.command(self.all[self.turn % len(self.all)])
        elif self.shape == "halves":
            for one in self.all[::50]:
                one.transport.write(b"x")

    def dial(self) -> None:
        self.dialled += 1
        self.saw.connections += 1
        bind = None if self.shape == "api" else (ADDRESS, 0)
        self.reactor.connectTCP(self.host, self.port, Dialer(self), timeout=2.0, bindAddress=bind)

    def lost(self) -> None:
        self.dialled -= 1

    def opened(self, one: Flooder) -> None:
        """What a connection writes as it comes up."""
        one.transport.setTcpNoDelay(True)
        if self.shape == "connections":
            self.command(one)
        elif self.shape == "values":
            one.transport.write(b"ms big %d Of0 Pc=%b,d=900\r\n" % (HUGE, self.plan.profile.encode()))
            self.pour(one, HUGE)
        elif self.shape == "halves":
            one.transport.write(b"ms half 60000 Of0 Pc=%b,d=900\r\n" % self.plan.profile.encode() + VALUE[:30_000])
        elif self.shape == "api":
            for _ in range(20):
                one.transport.write(
                    b"GET /v1/tenants HTTP/1.1\r\nhost: x\r\nauthorization: Bearer tq1.-.main."
                    b"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA\r\n\r\n"
                )
            self.saw.sent += 20

    def pour(self, one: Flooder, left: int) -> None:
        if one.over or left <= 0 or time.monotonic_ns() >= self.end:
            return
        one.transport.write(VALUE)
        self.reactor.callLater(0.001, self.pour, one, left - len(VALUE))

    def command(self, one: Flooder) -> None:
        self.number += 1
        if self.shape == "garbage":
            return one.put(b"", b"give me all of it, and at once: %d\r\n" % self.number)
        id = b"f%d" % self.number
        key = b"k%d" % (self.number * 7919 % self.plan.keys)
        one.put(id, b"mg %b v O%b Pc=%b,d=%d\r\n" % (key, id, self.plan.profile.encode(), self.plan.value_goal_ms))

    def answered(self, one: Flooder, words: list[bytes], line: bytes) -> None:
        saw = self.saw
        if self.shape in ("values", "halves"):
            saw.other += 1
        elif not one.owed:
            self.wrong(f"an answer that nothing was owed: {line[:60]!r}")
        else:
            id = one.owed.popleft()
            if words[0] == b"VA":
                saw.committed += 1
                if b"O" + id not in words:
                    self.wrong(f"out of order: {line[:60]!r} for {id!r}")
            elif words[:2] == [b"SERVER_ERROR", b"busy"]:
                saw.rolled_back += 1
            elif line.startswith(BEGINNINGS):
                saw.other += 1
            else:
                self.wrong(f"no answer of the protocol: {line[:60]!r}")

    def wrong(self, text: str) -> None:
        if len(self.saw.wrong) < 20:
            self.saw.wrong = [*self.saw.wrong, text]


def finish(plan: FloodPlan, saw: FloodSaw) -> None:
    Path(plan.out).write_bytes(msgspec.json.encode(saw))


def run(plan: FloodPlan) -> None:
    reactor = install()
    flood = Flood(reactor, plan)
    live(reactor, plan, {"ready": True}, flood.start, lambda: finish(plan, flood.saw))


if __name__ == "__main__":
    run(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=FloodPlan))
