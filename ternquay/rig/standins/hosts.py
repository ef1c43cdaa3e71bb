"""Cache hosts on sockets: one listener each, all driven by one law of the fleet on one timer."""

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from ternquay.rig import records
from ternquay.rig.laws import fleet as f
from ternquay.rig.laws.cachehost import CacheCommand
from ternquay.rig.laws.clients import value_size
from ternquay.rig.laws.link import RESET, Link
from ternquay.rig.standins.reader import Command, CommandReader, Strange
from ternquay.rig.terms import SECOND, Day, Planned

STRANGE_MOST = 100
PAD = b"." * (1 << 16)


class Slot:
    """One answer that a connection owes, in its place among the others."""

    __slots__ = ("hop", "text", "command")

    def __init__(self, hop: records.Hop, command: Command) -> None:
        self.hop, self.command = hop, command
        self.text: bytes | None = None


class HostConnection(LineReceiver):
    """Thin driver of one connection from a balancer."""

    line_mode = 0
    transport: Any

    def __init__(self, port: "HostPort") -> None:
        self.port, self.driver = port, port.driver
        self.reader = CommandReader()
        self.slots: deque[Slot] = deque()
        self.tickets: set[int] = set()
        self.over = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.port.all.add(self)
        if self.port.link.refuses(self.driver.now()):
            self.reset()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.over = True
        self.port.all.discard(self)
        for ticket in list(self.tickets):
            self.driver.cancel(ticket)

    def reset(self) -> None:
        if not self.over:
            self.over = True
            self.transport.abortConnection()

    def rawDataReceived(self, data: bytes) -> None:
        if self.over:
            return
        now = self.driver.now()
        try:
            commands = self.reader.feed(now, data)
        except Strange as fault:
            self.driver.strange(f"{fault}: {data[:80]!r}")
            self.transport.write(b"CLIENT_ERROR bad command\r\n")
            self.transport.loseConnection()
            return
        for command in commands:
            if not self.over:
                self.taken(now, command)

    def taken(self, now: int, command: Command) -> None:
        hop = self.driver.note(self.port, command, now)
        slot = Slot(hop, command)
        self.slots.append(slot)
        link = self.port.link
        if link.silent(now):
            hop.fate = "swallowed"
            self.port.vanished = True
        elif link.resets(now) and link.random.random() < 0.5:
            # Somewhere between: for all that its sender knows it may have run.
            hop.fate = "swallowed"
            self.reset()
        else:
            self.driver.arrive(self, slot)

    def answered(self, slot: Slot, answer: f.Answer) -> None:
        now, link = self.driver.now(), self.port.link
        if self.over or link.silent(now):
            slot.hop.lost = True
        elif link.loses(now):
            slot.hop.lost = True  # and all behind it on this connection waits for ever
        elif link.resets(now):
            slot.hop.lost = True
            self.reset()
        else:
            whole = shaped(slot.command, answer)
            slot.text = link.corrupt(now, whole)
            slot.hop.lost = slot.text != whole
            self.flush(now)

    def flush(self, now: int) -> None:
        while self.slots and self.slots[0].text is not None:
            text = self.slots.popleft().text or b""
            for at, piece in self.port.link.fragments(now, text):
                if at <= now:
                    self.put(piece)
                else:
                    self.driver.reactor.callLater((at - now) / SECOND, self.put, piece)
        if not self.slots and self.port.link.resets(now):
            # The next command to be written here may cross the close.
            self.driver.reactor.callLater(link_pause(self.port.link), self.close)

    def put(self, piece: bytes) -> None:
        if self.over:
            return
        text, reset, _ = piece.partition(RESET)
        self.transport.write(text)
        if reset:
            self.over = True
            self.transport.loseConnection()

    def close(self) -> None:
        if not self.over and not self.slots:
            self.over = True
            self.transport.loseConnection()


def link_pause(link: Link) -> float:
    return link.random.uniform(0.0, 0.04)


def shaped(command: Command, answer: f.Answer) -> bytes:
    """In the protocol's form; a value begins with its stamp, which no one else can make."""
    id, stamp = command.id.encode(), answer.stamp.encode()
    if answer.kind == "value":
        body = stamp + b" " + PAD[: int(stamp.rpartition(b"/")[2]) - len(stamp) - 1]
        note = (b"", b" h1", b" h0", b" h0 Z")[answer.note]
        return b"VA %d O%b%b\r\n%b\r\n" % (len(body), id, note, body)
    if answer.kind == "receipt":
        return b"HD O%b c%b\r\n" % (id, stamp)
    return b"SERVER_ERROR busy\r\n" if answer.kind == "busy" else b"SERVER_ERROR failed\r\n"


class HostPort(Factory):
    """The listener of one cache host, closed while that is down."""

    noisy = False

    def __init__(self, driver: "FleetDriver", index: int, place: str, faults: tuple[Planned, ...], seed: int) -> None:
        self.driver, self.index = driver, index
        self.address, _, number = place.rpartition(":")
        self.number = int(number)
        self.link = Link(faults, index, seed)
        self.all: set[HostConnection] = set()
        self.port: Any = None
        self.vanished = False

    def buildProtocol(self, addr: Any) -> HostConnection:
        return HostConnection(self)

    def open(self) -> None:
        try:
            self.port = self.driver.reactor.listenTCP(self.number, self, 1024, self.address)
        except CannotListenError:
            if not self.driver.begin:
                raise
            # The one before is not gone yet.
            self.driver.reactor.callLater(0.02, self.open)

    def close(self) -> None:
        if self.port is not None:
            self.port.stopListening()
            self.port = None
        for connection in list(self.all):
            connection.reset()


class FleetDriver:
    """The law of the fleet on the reactor: what arrives goes in, what is due comes out."""

    def __init__(
        self,
        reactor: Any,
        day: Day,
        faults: tuple[Planned, ...],
        seed: int,
        clock: Callable[[], int],
        places: list[str],
        shard: int = 0,
        shards: int = 1,
    ) -> None:
        self.reactor, self.day, self.clock = reactor, day, clock
        self.begin = 0
        self.ports = [HostPort(self, i, place, faults, seed) for i, place in enumerate(places)]
        self.mine = self.ports[shard::shards]
        for port in self.mine:
            port.open()
        self.law = f.Fleet(day, faults, seed, places)
        self.profiles = {p.name: i for i, p in enumerate(day.profiles)}
        self.hops: list[records.Hop] = []
        self.open: dict[int, tuple[HostConnection, Slot]] = {}
        self.noted: dict[int, records.Hop] = {}
        self.strangers: list[str] = []
        self.late: list[int] = []
        self.on_list: Callable[[int], None] = lambda at: None
        self.timer: Any = None
        self.timer_at = 0

    def now(self) -> int:
        """Time of the play."""
        return self.clock() - self.begin if self.begin else 0

    def start(self, begin: int) -> None:
        self.begin = begin
        for port in self.mine:
            for fault in port.link.faults:
                if fault.kind == "link-silent":
                    self.reactor.callLater((begin + fault.end - self.clock()) / SECOND, self.back, port)
        self.pump()

    def back(self, port: HostPort) -> None:
        """A machine that had vanished is back, and knows nothing of the connections that it had."""
        for connection in list(port.all):
            if port.vanished:
                connection.reset()

    def strange(self, text: str) -> None:
        if len(self.strangers) < STRANGE_MOST:
            self.strangers.append(text)

    def note(self, port: HostPort, command: Command, now: int) -> records.Hop:
        hop = records.Hop(
            command.id,
            command.mark,
            self.profiles.get(command.profile, -1),
            command.write,
            port.index,
            self.law.hosts[port.index].name,
            command.came + self.begin,
            now + self.begin,
        )
        self.hops.append(hop)
        return hop

    # ---- in ----

    def arrive(self, connection: HostConnection, slot: Slot) -> None:
        command, now = slot.command, self.now()
        if slot.hop.profile < 0:
            self.strange(f"no such profile: {command.profile[:40]}")
            return connection.reset()
        self.law.advance(now)
        size = value_size(self.day, command.key)
        ask = CacheCommand(command.id, slot.hop.profile, command.write, command.key, command.mark, size)
        ticket = self.law.arrive(now, connection.port.index, ask)
        self.open[ticket] = connection, slot
        self.noted[ticket] = slot.hop
        connection.tickets.add(ticket)
        self.pump()

    def cancel(self, ticket: int) -> None:
        self.open.pop(ticket, None)
        self.law.advance(self.now())
        self.law.cancel(self.now(), ticket)
        self.pump()

    # ---- out ----

    def pump(self) -> None:
        now = self.now()
        self.law.advance(now)
        for outcome in self.law.take_outcomes():
            if isinstance(outcome, f.Answer):
                self._answer(outcome)
            elif isinstance(outcome, f.HostDown):
                self.ports[outcome.host].close()
            elif isinstance(outcome, f.HostUp):
                self.ports[outcome.host].open()
            else:
                self.on_list(outcome.at)
        self._wake()

    def _wake(self) -> None:
        due = self.law.due()
        if due is None or (self.timer is not None and self.timer.active() and self.timer_at <= due):
            return
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer_at = due
        self.timer = self.reactor.callLater(max(0, due - self.now()) / SECOND, self._fire)

    def _fire(self) -> None:
        self.late.append(self.now() - self.timer_at)
        self.pump()

    def _answer(self, answer: f.Answer) -> None:
        connection, slot = self.open.pop(answer.ticket, (None, None))
        if connection is not None and slot is not None:
            connection.tickets.discard(answer.ticket)
            connection.answered(slot, answer)

    # ---- what was seen ----

    def saw(self, told: list[records.Told], cpu: float) -> records.FleetSaw:
        for ticket, hop in self.noted.items():
            seen = self.law.records[ticket]
            if hop.fate == "taken":
                hop.fate = seen.fate
            hop.begun, hop.effect, hop.ended = (t and t + self.begin for t in (seen.begun, seen.effect, seen.ended))
            hop.repeat, hop.note, hop.cold = seen.repeat, seen.note, seen.cold
            hop.answer, hop.stamp = seen.answer, seen.stamp
        b, law, mine = self.begin, self.law, {port.index for port in self.mine}
        return records.FleetSaw(
            hops=self.hops,
            told=told,
            late=self.late,
            cpu=cpu,
            strange=self.strangers,
            origin=law.origin.asked,
            tipped=[records.Tipped(t.at + b, t.host, t.name, t.warmth, t.pushed) for t in law.collapses],
            stopped=[records.Stopped(s.at + b, s.asked, s.by_cold) for s in law.origin.stops],
            samples=[
                records.HostSample(s.at + b, s.host, s.up, s.warmth, s.open, s.work)
                for s in law.samples
                if s.host in mine
            ],
        )
