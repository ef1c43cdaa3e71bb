"""Clients that do not go on: one process, at random places and moments of the day, and in crowds.

One that stops in the middle of a request connects to one balancer, writes a part of a request, stays and waits; what it
saw is written down for the judge. A crowd comes at once, to take all places that its balancer has: of clients that stop
like this, or within a value that the balancer buffers, that say nothing, or that ask and take no answers. The last two
go when their fault ends.
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
from ternquay.rig.terms import CROWDS, SECOND, PlannedFault, plan_faults

DIAL = 1.0  # seconds
CROWD_WITHIN = 0.2  # seconds in which a crowd comes
UNREAD_REQUESTS = 64  # that one client of a crowd writes at once
VALUE_BYTES, VALUE_SENT = 64_000, 63_500  # of a value that a client of `crowd-values` writes, and how many it sends
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


def half_value(profile: str, number: int) -> bytes:
    """A write that ends shortly before the last byte of a value, which a balancer buffers whole."""
    return b"ms s%d %d Os%d Pc=%s,d=900\r\n" % (number, VALUE_BYTES, number, profile.encode()) + b"x" * VALUE_SENT


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


class Idling(Protocol):
    """Writes what it has, reads nothing, and goes when it is told."""

    transport: Any

    def __init__(self, text: bytes) -> None:
        self.text = text
        self.gone = False

    def connectionMade(self) -> None:
        self.transport.pauseProducing()
        self.transport.write(self.text)
        if self.gone:
            self.transport.abortConnection()

    def go(self) -> None:
        self.gone = True
        if self.transport is not None:
            self.transport.abortConnection()


class Dialer(ClientFactory):
    noisy = False

    def __init__(self, client: Protocol) -> None:
        self.client = client

    def buildProtocol(self, addr: Any) -> Protocol:
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
        for fault in plan_faults(self.plan.day, self.plan.seed):
            if fault.kind in CROWDS:
                self.reactor.callLater((begin + fault.start - self.clock()) / SECOND, self._crowd, fault)
        self._wait()

    def _wait(self) -> None:
        if self.plan.day.clients.stops:
            self.reactor.callLater(self.random.expovariate(self.plan.day.clients.stops), self._next)

    def _crowd(self, fault: PlannedFault) -> None:
        """All clients of a crowd, a few in each turn."""
        idling: list[Idling] = []
        for number in range(fault.count):
            pause = CROWD_WITHIN * number / fault.count
            if fault.kind in ("crowd-stops", "crowd-values"):
                self.reactor.callLater(pause, self._stop_at, fault.balancer, fault.kind == "crowd-values")
                continue
            text = self._whole_requests() if fault.kind == "crowd-unread" else b""
            idling.append(Idling(text))
            self.reactor.callLater(pause, self._dial, fault.balancer, idling[-1])
        for one in idling:
            self.reactor.callLater((fault.end - fault.start) / SECOND, one.go)

    def _whole_requests(self) -> bytes:
        """Reads of one client that takes no answers; with small values the system may have room for all of those."""
        profile = next(one.name for one in self.plan.day.profiles if not one.write)
        number = self.random.getrandbits(48)
        return b"".join(
            b"mg k%d v Ou%x.%d Pc=%s,d=900\r\n" % (one, number, one, profile.encode()) for one in range(UNREAD_REQUESTS)
        )

    def _dial(self, balancer: int, client: Protocol) -> None:
        host, _, port = self.plan.balancers[balancer].rpartition(":")
        self.reactor.connectTCP(host, int(port), Dialer(client), timeout=DIAL)

    def _next(self) -> None:
        if self.clock() > self.begin + int(self.plan.day.seconds * SECOND):
            return
        self._stop_at(self.random.randrange(len(self.plan.balancers)))
        self._wait()

    def _stop_at(self, balancer: int, in_value: bool = False) -> None:
        profile = self.random.choice(self.plan.day.profiles).name
        seen = records.Stop(balancer, self.clock())
        self.seen.append(seen)
        number = len(self.seen)
        text = half_value(profile, number) if in_value else half_request(self.random, profile, number)
        self._dial(balancer, Stopping(self, seen, text))

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
