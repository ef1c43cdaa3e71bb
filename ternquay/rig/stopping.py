"""Clients that stop in the middle of a request and stay: one process, at random places and moments of the day.

Each connects to one balancer, writes a part of a request (behind a whole one, now and then), and waits. What it saw is
written down for the judge.
"""

import sys
import time
from pathlib import Path
from random import Random
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from ternquay.rig import records
from ternquay.rig.child import Plan, install, live, read_plan
from ternquay.rig.terms import SECOND

DIAL = 1.0  # seconds
ERRORS = (b"CLIENT_ERROR", b"SERVER_ERROR", b"ERROR")


def half_request(random: Random, profile: str, number: int) -> bytes:
    """A request that ends before its last byte."""
    command = b"%s s%d %%s Os%d Pc=%s,d=900%%s\r\n" % (b"%s", number, number, profile.encode())
    read = command % (b"mg", b"v", b"")
    small = command % (b"ms", b"500", b",k=s%d" % number) + b"x" * 500 + b"\r\n"
    large = command % (b"ms", b"100000", b",k=s%d" % number) + b"x" * 70_000
    whole = random.choice((read, small, large))
    if whole is large:
        return whole[: random.choice((len(command), 2_000, len(whole)))]
    return whole[: random.randrange(1, len(whole))]


class Stopping(Protocol):
    transport: Any

    def __init__(self, clients: "Clients", seen: records.Stop, text: bytes) -> None:
        self.clients, self.seen, self.text = clients, seen, text
        self.buffer = b""

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.write(self.text)
        self.seen.written = self.clients.clock()

    def dataReceived(self, data: bytes) -> None:
        self.buffer += data
        *lines, self.buffer = self.buffer.split(b"\r\n")
        for line in lines:
            if line.startswith(ERRORS) and not self.seen.told:
                self.seen.told = self.clients.clock()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.seen.closed = self.clients.clock()


class Dialer(ClientFactory):
    noisy = False

    def __init__(self, client: Stopping) -> None:
        self.client = client

    def buildProtocol(self, addr: Any) -> Stopping:
        return self.client


class Clients:
    """All of them, a new one at each of the day's moments for one."""

    def __init__(self, reactor: Any, plan: Plan) -> None:
        self.reactor, self.plan, self.clock = reactor, plan, time.monotonic_ns
        self.random = Random(f"{plan.seed}/stopping")
        self.seen: list[records.Stop] = []
        self.begin = 0

    def start(self, begin: int) -> None:
        self.begin = begin
        self._wait()

    def _wait(self) -> None:
        self.reactor.callLater(self.random.expovariate(self.plan.day.clients.stops), self._next)

    def _next(self) -> None:
        if self.clock() > self.begin + int(self.plan.day.seconds * SECOND):
            return
        balancer = self.random.randrange(len(self.plan.balancers))
        profile = self.random.choice(self.plan.day.profiles).name
        seen = records.Stop(balancer, self.clock())
        self.seen.append(seen)
        text = half_request(self.random, profile, len(self.seen))
        host, _, port = self.plan.balancers[balancer].rpartition(":")
        self.reactor.connectTCP(host, int(port), Dialer(Stopping(self, seen, text)), timeout=DIAL)
        self._wait()

    def saw(self) -> list[records.Stop]:
        now = self.clock()
        for one in self.seen:
            one.watched = one.closed or now
        return self.seen


def run(plan: Plan) -> None:
    reactor = install()
    clients = Clients(reactor, plan)
    live(reactor, plan, {"ready": True}, clients.start, lambda: records.write(Path(plan.out), clients.saw()))


if __name__ == "__main__":
    run(read_plan(sys.argv[1]))
