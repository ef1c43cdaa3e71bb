"""Stand-ins of cache hosts on sockets: one listener each, all driven by one fleet model on one timer."""

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from ternquay.rig import records
from ternquay.rig.laws import fleet as fleet_model
from ternquay.rig.laws.cachehost import CacheCommand
from ternquay.rig.laws.clients import value_size
from ternquay.rig.laws.link import RESET, Link
from ternquay.rig.standins.reader import Command, CommandError, CommandReader
from ternquay.rig.terms import SECOND, Day, PlannedFault

MAX_INVALID_COMMANDS = 100  # reports kept
PADDING = b"." * (1 << 16)


class PendingAnswer:
    """An answer that a connection owes; answers are sent in the order of the commands."""

    __slots__ = ("hop", "text", "command")

    def __init__(self, hop: records.Hop, command: Command) -> None:
        self.hop, self.command = hop, command
        self.text: bytes | None = None


class HostConnection(LineReceiver):
    """A connection from a balancer, without decisions of its own: the fleet model and the link decide."""

    line_mode = 0
    transport: Any

    def __init__(self, port: "HostPort") -> None:
        self.port, self.driver = port, port.driver
        self.reader = CommandReader()
        self.pending: deque[PendingAnswer] = deque()
        self.tickets: set[int] = set()
        self.closed = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.port.connections.add(self)
        if self.port.link.refuses(self.driver.now()):
            self.reset()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.closed = True
        self.port.connections.discard(self)
        for ticket in list(self.tickets):
            self.driver.cancel(ticket)

    def reset(self) -> None:
        """Aborts the connection with a TCP reset."""
        if not self.closed:
            self.closed = True
            self.transport.abortConnection()

    def rawDataReceived(self, data: bytes) -> None:
        if self.closed:
            return
        now = self.driver.now()
        try:
            commands = self.reader.feed(now, data)
        except CommandError as error:
            self.driver.report_invalid(f"{error}: {data[:80]!r}")
            self.transport.write(b"CLIENT_ERROR bad command\r\n")
            self.transport.loseConnection()
            return
        for command in commands:
            if not self.closed:
                self.command_received(now, command)

    def command_received(self, now: int, command: Command) -> None:
        hop = self.driver.record_hop(self.port, command, now)
        pending_answer = PendingAnswer(hop, command)
        self.pending.append(pending_answer)
        link = self.port.link
        if link.silent(now):
            hop.fate = "swallowed"
            self.port.was_silent = True
        elif link.resets(now) and link.random.random() < 0.5:
            # The command is lost on the way, but its sender cannot rule out that it ran.
            hop.fate = "swallowed"
            self.reset()
        else:
            self.driver.arrive(self, pending_answer)

    def answer_ready(self, pending_answer: PendingAnswer, answer: fleet_model.Answer) -> None:
        now, link = self.driver.now(), self.port.link
        if self.closed or link.silent(now):
            pending_answer.hop.lost = True
        elif link.loses(now):
            pending_answer.hop.lost = True  # later answers on this connection are never sent
        elif link.resets(now):
            pending_answer.hop.lost = True
            self.reset()
        else:
            encoded = encode_answer(pending_answer.command, answer)
            pending_answer.text = link.corrupt(now, encoded)
            pending_answer.hop.lost = pending_answer.text != encoded
            self.flush(now)

    def flush(self, now: int) -> None:
        """Sends the answers that are ready, up to the first one that is not."""
        while self.pending and self.pending[0].text is not None:
            text = self.pending.popleft().text or b""
            for at, fragment in self.port.link.fragments(now, text):
                if at <= now:
                    self.write_fragment(fragment)
                else:
                    self.driver.reactor.callLater((at - now) / SECOND, self.write_fragment, fragment)
        if not self.pending and self.port.link.resets(now):
            # The close may cross the next command that a balancer writes here.
            self.driver.reactor.callLater(draw_close_delay(self.port.link), self.close_if_idle)

    def write_fragment(self, fragment: bytes) -> None:
        if self.closed:
            return
        text, reset, _ = fragment.partition(RESET)
        self.transport.write(text)
        if reset:
            self.closed = True
            self.transport.loseConnection()

    def close_if_idle(self) -> None:
        if not self.closed and not self.pending:
            self.closed = True
            self.transport.loseConnection()


def draw_close_delay(link: Link) -> float:
    """Returns the seconds after which an idle connection is closed."""
    return link.random.uniform(0.0, 0.04)


def encode_answer(command: Command, answer: fleet_model.Answer) -> bytes:
    """Encodes an answer in the protocol. A value begins with its stamp, which nothing else can produce."""
    id, stamp = command.id.encode(), answer.stamp.encode()
    if answer.kind == "value":
        body = stamp + b" " + PADDING[: int(stamp.rpartition(b"/")[2]) - len(stamp) - 1]
        note = (b"", b" h1", b" h0", b" h0 Z")[answer.note]
        return b"VA %d O%b%b\r\n%b\r\n" % (len(body), id, note, body)
    if answer.kind == "receipt":
        return b"HD O%b c%b\r\n" % (id, stamp)
    return b"SERVER_ERROR busy\r\n" if answer.kind == "busy" else b"SERVER_ERROR failed\r\n"


class HostPort(Factory):
    """The listener of one cache host, closed while the host is down."""

    noisy = False

    def __init__(
        self, driver: "FleetDriver", index: int, address: str, faults: tuple[PlannedFault, ...], seed: int
    ) -> None:
        self.driver, self.index = driver, index
        self.address, _, number = address.rpartition(":")
        self.port_number = int(number)
        self.link = Link(faults, index, seed)
        self.connections: set[HostConnection] = set()
        self.port: Any = None
        self.was_silent = False

    def buildProtocol(self, addr: Any) -> HostConnection:
        return HostConnection(self)

    def open(self) -> None:
        """Starts to listen; retries while the address is still in use."""
        try:
            self.port = self.driver.reactor.listenTCP(self.port_number, self, 1024, self.address)
        except CannotListenError:
            if not self.driver.begin:
                raise
            # The previous listener has not released the address yet.
            self.driver.reactor.callLater(0.02, self.open)

    def close(self) -> None:
        """Stops to listen and resets all connections."""
        if self.port is not None:
            self.port.stopListening()
            self.port = None
        for connection in list(self.connections):
            connection.reset()


class FleetDriver:
    """Runs the fleet model on the reactor: passes commands to it and sends the answers that it produces."""

    def __init__(
        self,
        reactor: Any,
        day: Day,
        faults: tuple[PlannedFault, ...],
        seed: int,
        clock: Callable[[], int],
        addresses: list[str],
        shard: int = 0,
        shards: int = 1,
    ) -> None:
        self.reactor, self.day, self.clock = reactor, day, clock
        self.begin = 0
        self.ports = [HostPort(self, i, address, faults, seed) for i, address in enumerate(addresses)]
        self.own_ports = self.ports[shard::shards]
        for port in self.own_ports:
            port.open()
        self.model = fleet_model.Fleet(day, faults, seed, addresses)
        self.profiles = {p.name: i for i, p in enumerate(day.profiles)}
        self.hops: list[records.Hop] = []
        self.open_commands: dict[int, tuple[HostConnection, PendingAnswer]] = {}
        self.hops_by_ticket: dict[int, records.Hop] = {}
        self.invalid_commands: list[str] = []
        self.timer_lateness: list[int] = []
        self.on_list_change: Callable[[int], None] = lambda at: None
        self.timer: Any = None
        self.timer_at = 0

    def now(self) -> int:
        """Returns the nanoseconds since the start of the play."""
        return self.clock() - self.begin if self.begin else 0

    def start(self, begin: int) -> None:
        self.begin = begin
        for port in self.own_ports:
            for fault in port.link.faults:
                if fault.kind == "link-silent":
                    self.reactor.callLater((begin + fault.end - self.clock()) / SECOND, self.end_silence, port)
        self.process_due()

    def end_silence(self, port: HostPort) -> None:
        """Ends the silence of a host: as after a reboot, it resets the connections that it had."""
        for connection in list(port.connections):
            if port.was_silent:
                connection.reset()

    def report_invalid(self, text: str) -> None:
        if len(self.invalid_commands) < MAX_INVALID_COMMANDS:
            self.invalid_commands.append(text)

    def record_hop(self, port: HostPort, command: Command, now: int) -> records.Hop:
        hop = records.Hop(
            command.id,
            command.mark,
            self.profiles.get(command.profile, -1),
            command.write,
            port.index,
            self.model.hosts[port.index].name,
            command.received_at + self.begin,
            now + self.begin,
        )
        self.hops.append(hop)
        return hop

    # ---- commands ----

    def arrive(self, connection: HostConnection, pending_answer: PendingAnswer) -> None:
        command, now = pending_answer.command, self.now()
        if pending_answer.hop.profile < 0:
            self.report_invalid(f"no such profile: {command.profile[:40]}")
            return connection.reset()
        self.model.advance(now)
        size = value_size(self.day, command.key)
        cache_command = CacheCommand(
            command.id, pending_answer.hop.profile, command.write, command.key, command.mark, size
        )
        ticket = self.model.arrive(now, connection.port.index, cache_command)
        self.open_commands[ticket] = connection, pending_answer
        self.hops_by_ticket[ticket] = pending_answer.hop
        connection.tickets.add(ticket)
        self.process_due()

    def cancel(self, ticket: int) -> None:
        self.open_commands.pop(ticket, None)
        self.model.advance(self.now())
        self.model.cancel(self.now(), ticket)
        self.process_due()

    # ---- outcomes ----

    def process_due(self) -> None:
        """Advances the model to now, acts on its outcomes and sets the timer for the next event."""
        now = self.now()
        self.model.advance(now)
        for outcome in self.model.take_outcomes():
            if isinstance(outcome, fleet_model.Answer):
                self._answer(outcome)
            elif isinstance(outcome, fleet_model.HostDown):
                self.ports[outcome.host].close()
            elif isinstance(outcome, fleet_model.HostUp):
                self.ports[outcome.host].open()
            else:
                self.on_list_change(outcome.at)
        self._schedule_timer()

    def _schedule_timer(self) -> None:
        due = self.model.due()
        if due is None or (self.timer is not None and self.timer.active() and self.timer_at <= due):
            return
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer_at = due
        self.timer = self.reactor.callLater(max(0, due - self.now()) / SECOND, self._timer_due)

    def _timer_due(self) -> None:
        self.timer_lateness.append(self.now() - self.timer_at)
        self.process_due()

    def _answer(self, answer: fleet_model.Answer) -> None:
        connection, pending_answer = self.open_commands.pop(answer.ticket, (None, None))
        if connection is not None and pending_answer is not None:
            connection.tickets.discard(answer.ticket)
            connection.answer_ready(pending_answer, answer)

    # ---- records ----

    def record(self, deliveries: list[records.Told], cpu: float) -> records.FleetSaw:
        """Returns the records of the play; `cpu` is the CPU time of the process."""
        for ticket, hop in self.hops_by_ticket.items():
            command_record = self.model.records[ticket]
            if hop.fate == "taken":
                hop.fate = command_record.fate
            hop.begun, hop.effect, hop.ended = (
                t and t + self.begin for t in (command_record.begun, command_record.effect, command_record.ended)
            )
            hop.repeat, hop.note, hop.cold = command_record.repeat, command_record.note, command_record.cold
            hop.answer, hop.stamp = command_record.answer, command_record.stamp
        begin, model, own_indexes = self.begin, self.model, {port.index for port in self.own_ports}
        return records.FleetSaw(
            hops=self.hops,
            told=deliveries,
            late=self.timer_lateness,
            cpu=cpu,
            strange=self.invalid_commands,
            origin=model.origin.requests_by_tenth,
            tipped=[records.Tipped(t.at + begin, t.host, t.name, t.warmth, t.pushed) for t in model.collapses],
            stopped=[records.Stopped(s.at + begin, s.asked, s.by_cold) for s in model.origin.outages],
            samples=[
                records.HostSample(s.at + begin, s.host, s.up, s.warmth, s.open, s.work)
                for s in model.samples
                if s.host in own_indexes
            ],
        )
