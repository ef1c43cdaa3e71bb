"""Clients on sockets: one process of several, open loop, each try written down for the judge.

What a client does is the law's to say (laws/clients.py); here are connections, what is owed on them, and clocks.
"""

import sys
import time
from collections import deque
from pathlib import Path
from random import Random
from typing import Any

from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from ternquay.rig import records
from ternquay.rig.child import Plan, cpu, install, live, read_plan
from ternquay.rig.laws.clients import Arrival, Clients
from ternquay.rig.terms import MS, SECOND, plan_faults

GRACE = 200 * MS  # past its limit a try is watched for so long, as a late answer is to be seen
DEAD = SECOND  # a balancer that can't be reached is left alone for so long
VALUE = b"x" * (1 << 16)
EXTRAS = 200


class Sent:
    """One try that is out."""

    __slots__ = ("arrival", "seen", "timer")

    def __init__(self, arrival: Arrival, seen: records.Try) -> None:
        self.arrival, self.seen = arrival, seen
        self.timer: Any = None


class Connection(LineReceiver):
    """One client connection: what is owed on it, and a reader of answers that trusts nothing."""

    line_mode = 0
    transport: Any

    def __init__(self, load: "Load", balancer: int, number: int) -> None:
        self.load, self.balancer, self.number = load, balancer, number
        self.owed: deque[Sent] = deque()
        self.waiting: list[Sent] = []  # until it is up
        self.buffer = bytearray()
        self.up = self.over = False
        self.commands = 0
        self.last = 0

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.up = True
        waiting, self.waiting = self.waiting, []
        for sent in waiting:
            self.write(sent)

    def send(self, sent: Sent) -> None:
        if self.up:
            self.write(sent)
        else:
            self.waiting.append(sent)

    def write(self, sent: Sent) -> None:
        seen, now = sent.seen, self.load.clock()
        seen.connection, seen.place, seen.sent, seen.alone = self.number, self.commands, now, not self.owed
        self.commands += 1
        self.owed.append(sent)
        self.transport.write(self.load.command(sent, now))

    def load_of(self) -> int:
        return len(self.owed) + len(self.waiting)

    def rawDataReceived(self, data: bytes) -> None:
        self.buffer += data
        now = self.load.clock()
        while not self.over and (taken := self._answer(now)):
            del self.buffer[:taken]
        if not self.owed and not self.over:
            self.load.idle(self)

    def _answer(self, now: int) -> int:
        """Reads one answer; how many bytes it had, 0 if it is not whole."""
        end = self.buffer.find(b"\r\n")
        if end < 0:
            return 0
        line = bytes(self.buffer[:end])
        words = line.split(b" ")
        body, size = b"", end + 2
        if words[0] == b"VA" and len(words) > 1 and words[1].isdigit():
            size += int(words[1]) + 2
            if len(self.buffer) < size:
                return 0
            body = bytes(self.buffer[end + 2 : size - 2])
            if self.buffer[size - 2 : size] != b"\r\n":
                line = b"a value without its end"
                words = [b""]
        if not self.owed:
            self.load.extra(self, now, line)
            return size
        sent = self.owed.popleft()
        kind, text, id = read_answer(words, line, body)
        seen = sent.seen
        seen.waited, self.last = self.last, now
        seen.answer_id = id
        self.load.ended(sent, kind, text, now, wait_in(words) if kind == "rolled-back" else 0)
        return size

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.lost(self.load.clock())

    def lost(self, now: int) -> None:
        self.over = True
        if self.buffer:
            self.load.extra(self, now, b"a part of an answer: " + bytes(self.buffer[:60]))
            self.buffer.clear()
        owed, self.owed = self.owed, deque()
        waiting, self.waiting = self.waiting, []
        self.load.closed(self)
        for sent in owed:
            self.load.ended(sent, "closed", "", now, 0)
        for sent in waiting:
            self.load.unreached(sent)

    def leave(self, sent: Sent, why: str, now: int) -> None:
        """The client goes away, with all that it had asked for on this connection."""
        if self.over:
            return
        self.over = True
        owed, self.owed = self.owed, deque()
        waiting, self.waiting = self.waiting, []
        self.load.closed(self)
        self.transport.abortConnection()
        for other in owed:
            self.load.ended(other, why if other is sent else "left", "", now, 0)
        for other in waiting:
            self.load.unreached(other)


def read_answer(words: list[bytes], line: bytes, body: bytes) -> tuple[str, str, str]:
    """The kind of an answer, the stamp or the text in it, and the id that it names."""
    id = next((w[1:] for w in words[1:] if w[:1] == b"O"), b"").decode("latin-1")
    if words[0] == b"VA":
        stamp = body.partition(b" ")[0]
        whole = stamp.rpartition(b"/")[2] == b"%d" % len(body)
        return "value", stamp.decode("latin-1") + ("" if whole else " cut"), id
    if words[0] == b"HD":
        receipt = next((w[1:] for w in words[1:] if w[:1] == b"c"), b"")
        return "receipt", receipt.decode("latin-1"), id
    if words[:2] == [b"SERVER_ERROR", b"busy"]:
        return "rolled-back", b" ".join(words[2:]).decode("latin-1"), ""
    if line == b"SERVER_ERROR failed":
        return "abandoned", "", ""
    return "error", line[:80].decode("latin-1"), ""


def wait_in(words: list[bytes]) -> int:
    return int(words[2]) * MS if len(words) > 2 and words[2].isdigit() else 0


class Dialer(ClientFactory):
    noisy = False

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: Any) -> Connection:
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.connection.load.dead[self.connection.balancer] = self.connection.load.clock() + DEAD
        self.connection.lost(self.connection.load.clock())


class Load:
    def __init__(self, reactor: Any, plan: Plan) -> None:
        self.reactor, self.plan, self.day = reactor, plan, plan.day
        self.clock = time.monotonic_ns
        self.law = Clients(plan.day, plan_faults(plan.day, plan.seed), plan.seed)
        self.coming = (a for a in self.law.arrivals() if a.number % plan.loads == plan.index)
        self.next = next(self.coming, None)
        self.random = Random(f"{plan.seed}/load/{plan.index}")
        self.begin = 0
        self.places = [where.rsplit(":", 1) for where in plan.balancers]
        self.dead = [0] * len(self.places)
        self.all: list[list[Connection]] = [[] for _ in self.places]
        self.resting: list[list[Connection]] = [[] for _ in self.places]
        self.tries: list[records.Try] = []
        self.extras: list[records.Extra] = []
        self.late: list[int] = []
        self.connections = 0

    def start(self, begin: int) -> None:
        self.begin = begin
        self._wake()

    # ---- what is due ----

    def _wake(self) -> None:
        if self.next is not None:
            left = self.begin + self.next.due - self.clock()
            self.reactor.callLater(max(0, left) / SECOND, self._due)

    def _due(self) -> None:
        now = self.clock() - self.begin
        while self.next is not None and self.next.due <= now:
            arrival, self.next = self.next, next(self.coming, None)
            self._try(arrival, 1, self.begin + arrival.due)
        self._wake()

    def _try(self, arrival: Arrival, tries: int, at: int) -> None:
        limit = self.law.time_left(arrival, at - self.begin)
        # Ours alone: that a connection comes up late is the balancer's doing.
        self.late.append(self.clock() - at)
        id = f"{self.plan.prefix}t{arrival.number}.{tries}"
        seen = records.Try(
            arrival.number, tries, id, arrival.profile, -1, -1, -1, self.begin + arrival.due, at, 0, limit
        )
        self.tries.append(seen)
        sent = Sent(arrival, seen)
        sent.timer = self.reactor.callLater(max(0, at + limit + GRACE - self.clock()) / SECOND, self._over, sent)
        if arrival.leaves and tries == 1:
            self.reactor.callLater(max(0, at + arrival.leaves - self.clock()) / SECOND, self._leaves, sent)
        self._route(sent)

    def _route(self, sent: Sent) -> None:
        now = self.clock()
        live = [b for b, dead in enumerate(self.dead) if dead <= now]
        if not live:
            # Nobody can be reached; in a while, if there is time.
            self.reactor.callLater(0.05, self._again, sent)
            return
        balancer = sent.seen.balancer = self.random.choice(live)
        self._connection(balancer, sent.arrival.pipelined).send(sent)

    def _again(self, sent: Sent) -> None:
        if sent.seen.answer == "none" and not sent.seen.ended and self.clock() < sent.seen.planned + sent.seen.limit:
            self._route(sent)

    def _connection(self, balancer: int, pipelined: bool) -> Connection:
        everyone, resting = self.all[balancer], self.resting[balancer]
        if pipelined and everyone:
            return self.random.choice(everyone)
        while resting:
            connection = resting.pop()
            if not connection.over:
                return connection
        if len(everyone) >= self.day.clients.connections:
            return min(everyone, key=Connection.load_of)
        self.connections += 1
        connection = Connection(self, balancer, self.connections * self.plan.loads + self.plan.index)
        everyone.append(connection)
        host, port = self.places[balancer]
        addresses = self.plan.addresses
        bind = (addresses[self.connections % len(addresses)], 0) if addresses else None
        self.reactor.connectTCP(host, int(port), Dialer(connection), timeout=1.0, bindAddress=bind)
        return connection

    def command(self, sent: Sent, now: int) -> bytes:
        seen, arrival = sent.seen, sent.arrival
        profile = self.day.profiles[arrival.profile]
        left = max(1, (seen.planned + seen.limit - now) // MS)
        names = f"c={profile.name},d={left}"
        if profile.kind == "journalled":
            names += f",k={self.plan.prefix}m{arrival.number}"
        if seen.tries > 1:
            names += ",r=1"
        if profile.write:
            head = f"ms {arrival.key} {arrival.size} O{seen.id} P{names}\r\n".encode()
            return head + VALUE[: arrival.size] + b"\r\n"
        return f"mg {arrival.key} v O{seen.id} P{names}\r\n".encode()

    # ---- what comes of it ----

    def idle(self, connection: Connection) -> None:
        resting = self.resting[connection.balancer]
        if connection not in resting:
            resting.append(connection)

    def closed(self, connection: Connection) -> None:
        if connection in self.all[connection.balancer]:
            self.all[connection.balancer].remove(connection)
        if connection in self.resting[connection.balancer]:
            self.resting[connection.balancer].remove(connection)

    def extra(self, connection: Connection, now: int, line: bytes) -> None:
        if len(self.extras) < EXTRAS:
            text = line[:80].decode("latin-1")
            self.extras.append(records.Extra(connection.balancer, connection.number, now, text))

    def ended(self, sent: Sent, kind: str, text: str, now: int, wait: int) -> None:
        seen = sent.seen
        if seen.ended:
            return
        seen.answer, seen.text, seen.ended = kind, text, now
        if sent.timer is not None and sent.timer.active():
            sent.timer.cancel()
        if kind in ("value", "receipt", "left"):
            return
        word = kind if kind in ("rolled-back", "closed") else "abandoned"
        at = self.law.retry(sent.arrival, seen.tries, now - self.begin, word, wait)
        if at is not None:
            due = self.begin + at
            self.reactor.callLater(max(0, due - self.clock()) / SECOND, self._try, sent.arrival, seen.tries + 1, due)

    def unreached(self, sent: Sent) -> None:
        """Its connection never came up: nothing was sent."""
        sent.seen.balancer = -1
        if not sent.seen.ended:
            self._again(sent)

    def _over(self, sent: Sent) -> None:
        """Its limit and some more are past; but the time for which it waits for those before it does not count."""
        later = self._held_up(sent) - self.clock()
        if later > 0 and not sent.seen.ended:
            sent.timer = self.reactor.callLater(later / SECOND, self._over, sent)
        else:
            self._go(sent, "none")

    def _held_up(self, sent: Sent) -> int:
        """Until when those before it on its connection may hold up its answer."""
        for connection in self.all[sent.seen.balancer] if sent.seen.balancer >= 0 else []:
            if sent in connection.owed:
                before = list(connection.owed)[: connection.owed.index(sent)]
                ends = [one.seen.planned + one.seen.limit + GRACE for one in before]
                return max(ends, default=connection.last) + GRACE
        return 0

    def _leaves(self, sent: Sent) -> None:
        self._go(sent, "left")

    def _go(self, sent: Sent, why: str) -> None:
        seen, now = sent.seen, self.clock()
        if seen.ended:
            return
        for connection in self.all[seen.balancer] if seen.balancer >= 0 else []:
            if sent in connection.owed:
                connection.leave(sent, why, now)
                return
        self.ended(sent, why, "", now, 0)

    def saw(self) -> records.LoadSaw:
        return records.LoadSaw(self.tries, self.extras, self.late, cpu())


def run(plan: Plan) -> None:
    reactor = install()
    load = Load(reactor, plan)
    live(reactor, plan, {"ready": True}, load.start, lambda: records.write(Path(plan.out), load.saw()))


if __name__ == "__main__":
    run(read_plan(sys.argv[1]))
