"""Client connections of one tenant on the shared loop: read in pieces, in turn, as far as its limits have room."""

from collections.abc import Callable, Iterable
from itertools import islice
from socket import SO_LINGER, SOL_SOCKET
from struct import pack
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from ternquay.hosted.shared.fairness import ClientLimiter, SharedCapacity
from ternquay.hosted.shared.scheduler import PIECE_NS, FairScheduler
from ternquay.net import meta
from ternquay.net.client import ClientConnection, PendingAnswer
from ternquay.net.dispatcher import Dispatcher
from ternquay.net.frontend import Frontend
from ternquay.net.limits import Limits
from ternquay.net.listener import Listener
from ternquay.net.loop_timing import LoopTiming
from ternquay.net.safety import CloseReason, RequestRefusal
from ternquay.net.sockets import Sockets

STEP = 4  # commands, or connections accepted, between two looks at the clock
BACKLOG = 16 << 10  # bytes that wait unread on one connection before no more are read from it
OWED_MOST = 1024  # answers that one connection waits for before no more is read from it
OPEN_LEAST, OPEN_TIMES = 8, 1.5  # a client with more open than this, and than that many parts, crowds others
OWN_LEAST, OWN_TIMES = 16, 4.0  # the same of one connection
CROWDING = "\0"  # the share of who crowds others; no name on the wire is like it
AT_ONCE = pack("ii", 1, 0)  # a close that waits for nothing
LOOKS = 8  # at clients, for one that can be closed: each look is a call of the system
ACCEPTS = "\0"  # the client in whose turns a tenant's new connections are accepted


class TenantSockets(Sockets):
    """Counts one tenant's sockets, and all tenants' together."""

    def __init__(self, limits: Limits, name: str, shared: SharedCapacity, hosts_most: int) -> None:
        super().__init__(limits)
        self.name, self.shared, self.hosts_most = name, shared, hosts_most

    def room(self) -> int:
        return min(self.limits.sockets, self.shared.current_limit(self.name))

    def client_opened(self) -> bool:
        self.shared.adjust(self.name, 1)
        return super().client_opened()

    def client_closed(self) -> None:
        self.shared.adjust(self.name, -1)
        super().client_closed()

    def host_opened(self) -> None:
        self.shared.adjust(self.name, 1)
        super().host_opened()

    def host_closed(self) -> None:
        self.shared.adjust(self.name, -1)
        super().host_closed()

    def may_open_host(self) -> bool:
        return self.hosts < self.hosts_most and super().may_open_host()


class TenantClient(ClientConnection):
    """Reads at once while nobody waits; else it waits for its turn, and stops reading when it has much."""

    frontend: "TenantFrontend"

    def __init__(self, frontend: "TenantFrontend") -> None:
        super().__init__(frontend)
        self.address = ""
        self.open = 0  # transactions
        self.waits = self.reading_paused = self.stuck = False
        self.unread_since = 0  # since when the oldest that is not read may be here
        self.paused_at = 0
        self.waits_since = 0  # for its turn to be read
        self.turn_wait = 0  # how long it has just waited for that

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        for one in self.pending:
            if isinstance(one, PendingAnswer) and one.answer is None:
                self.answer_ready(one)
        super().connectionLost(reason)

    def rawDataReceived(self, data: bytes) -> None:
        if self.ended or self.closing:
            return
        front = self.frontend
        if not self.unread_since:
            self.unread_since = self.first_byte_since() or front.loop_timing.earliest_arrival
        self.unreported_bytes += len(data)
        self.parser.buffer_data(data)
        if self.waits or self.stuck:
            self.count_buffered()
            self.hold_back()
        elif front.scheduler.may_run_now(front.name):
            if front.scheduler.run_charged(front.name, self.run_piece):
                self.wait()
        else:
            self.wait()

    def wait(self) -> None:
        self._await_turn()
        self.frontend.mark_busy(self)  # against closing it as one that rests, with a whole command in hand
        self.count_buffered()
        self.hold_back()
        self.frontend.scheduler.enqueue(self.frontend.name, self.address, self)

    def _await_turn(self) -> None:
        self.waits, self.waits_since = True, self.frontend.dispatcher.now()

    def reading_held(self) -> bool:
        return self.waits or self.stuck or super().reading_held()

    def is_stalled(self) -> bool:
        # Who waits for a turn to be read is not held back by a cache host: it would go on if it could.
        held = (self.waits or self.stuck) and not self.queued_bytes and not self.ended
        return not held and super().is_stalled()

    def hold_back(self) -> None:
        if not self.reading_paused and not self.ended and (len(self.parser.buffer) > BACKLOG or self.stuck):
            self.reading_paused, self.paused_at = True, self.frontend.dispatcher.now()
            self.transport.pauseProducing()

    def unread_time(self, goes_on: bool) -> int:
        # That it waits for its turn is no doing of the client's.
        return max(0, super().unread_time(goes_on) - self.turn_wait)

    def run_piece(self) -> bool:
        self.turn_wait = 0
        if self.waits:
            self.waits = False
            self.turn_wait = self.frontend.dispatcher.now() - self.waits_since
            self.deadline.extend(self.turn_wait)
        if self.ended or self.closing:
            return False
        clock = self.frontend.scheduler.clock
        end = clock() + PIECE_NS
        while True:
            self.readable_since, self.accepted_iteration = self.unread_since, self.frontend.loop_timing.iteration
            self.frontend.mark_busy(self)
            items = self.parser.parse(STEP, self.over)
            self.handle_items(items)
            if self.ended or self.closing:
                return False
            if len(self.pending) > OWED_MOST:
                self.stuck = True
                self.hold_back()
                return False
            if len(items) < STEP:
                self.read_all()
                return False
            if clock() >= end:
                self._await_turn()
                return True

    def read_all(self) -> None:
        """All that is whole was read. What lies in the system's buffer may be as old as this pause."""
        self.unread_since = 0
        if self.reading_paused:
            self.reading_paused = False
            self.unread_since = self.paused_at
            self.transport.resumeProducing()

    def over(self) -> int:
        return self.frontend.over(self)

    def flush(self) -> None:
        super().flush()
        if self.stuck and len(self.pending) < OWED_MOST // 2 and not self.ended:
            self.stuck = False
            self._await_turn()
            self.frontend.scheduler.enqueue(self.frontend.name, self.address, self)

    # ---- transactions ----

    def begin_transaction(self, command: meta.Command, owed: PendingAnswer, unread: int) -> None:
        if self.frontend.full(self):
            self.frontend.safety.record_request_refusal(RequestRefusal.SHARE, owed.id)
            owed.roll_back(self.frontend.dispatcher.jittered(self.frontend.limits.retry_after))
            return
        owed.counted_open = True
        self.open += 1
        self.frontend.opened(self)
        super().begin_transaction(command, owed, unread)

    def share_name(self, command: meta.Command) -> str:
        return CROWDING if self.frontend.crowds(self) else command.params.get("tenant", "")

    def answer_ready(self, owed: PendingAnswer) -> None:
        if owed.counted_open:
            owed.counted_open = False
            self.open -= 1
            self.frontend.closed(self)


class TenantFrontend(Frontend):
    """`shut`: nought, or how long what comes is told to wait, as the tenant takes nothing now."""

    def __init__(
        self,
        reactor: Any,
        dispatcher: Dispatcher,
        limits: Limits,
        sockets: Sockets,
        loop_timing: LoopTiming,
        scheduler: FairScheduler,
        name: str,
        dues: ClientLimiter,
    ) -> None:
        super().__init__(reactor, dispatcher, limits, sockets, loop_timing)
        self.scheduler, self.name, self.dues = scheduler, name, dues
        self.by_address: dict[str, dict[TenantClient, None]] = {}
        self.shut = self.open_most = self.busy_clients = 0
        self.fenced: Callable[[], int] | None = None  # nought, or how long: as `shut`, of a member of a fleet

    def buildProtocol(self, addr: Any) -> TenantClient:
        client = TenantClient(self)
        client.address = addr.host
        return client

    # ---- connections ----

    def client_connected(self, client: ClientConnection) -> None:
        assert isinstance(client, TenantClient)
        mine = self.by_address.get(client.address, {})
        if self.sockets.clients >= self.limits.clients and not self._make_room(len(mine)):
            client.abort(CloseReason.NO_REQUEST)
            return
        self.by_address.setdefault(client.address, mine)[client] = None
        super().client_connected(client)

    def crowded(self) -> bool:
        """Whether all places are taken."""
        return self.sockets.clients >= self.limits.clients

    def takes(self, address: str) -> bool:
        """Whether one more from there would get a place though all are taken."""
        mine = len(self.by_address.get(address, ()))
        return mine + 1 < max((len(those) for those in self.by_address.values()), default=0)

    def _make_room(self, mine: int) -> bool:
        """All places are taken: whoever has most of them loses one, unless that is who comes."""
        address = max(self.by_address, key=lambda a: len(self.by_address[a]), default="")
        many = self.by_address.get(address, {})
        if mine + 1 >= len(many):
            return False
        resting = (client for client in many if client in self.idle_clients)
        return self._close_some(resting, 1) > 0 or self._close_some(self._half(many), 1) > 0

    def _half(self, clients: "Iterable[TenantClient]") -> "Iterable[TenantClient]":
        """Those that are owed nothing and have written a part of a command; not who waits for a turn to be read."""
        return (
            client
            for client in clients
            if client not in self.idle_clients
            and not client.pending
            and not client.queued_bytes
            and not client.ended
            and not client.waits
        )

    def _close_some(self, clients: "Iterable[TenantClient]", most: int) -> int:
        """Closes so many at most, none on which bytes have come that were not read: they may be a request's last."""
        closed = 0
        for client in list(islice(clients, LOOKS * most)):
            if closed < most:
                if client in self.idle_clients:
                    closed += self.close_idle(client)
                elif client.nothing_unread():
                    self.drop(client, CloseReason.NO_REQUEST)
                    closed += 1
        return closed

    def client_disconnected(self, client: ClientConnection) -> None:
        if client in self.clients and isinstance(client, TenantClient):
            mine = self.by_address.get(client.address, {})
            mine.pop(client, None)
            if not mine:
                self.by_address.pop(client.address, None)
            self.scheduler.remove(self.name, client.address, client)
        super().client_disconnected(client)

    def give_back(self, many: int) -> None:
        """Places that were lent are wanted back: what rests goes first, then what only takes up room."""
        own = [client for client in self.idle_clients if isinstance(client, TenantClient)]
        half = self._half([client for client in self.clients if isinstance(client, TenantClient)])
        for some in ([c for c in own if c.answered], list(half), [c for c in own if not c.answered]):
            many -= self._close_some(some, many)

    def relieve_buffers(self, client: ClientConnection) -> None:
        # Not whoever comes last, but whoever has most.
        self.drop(max(self.clients, key=lambda one: one.buffered_bytes), CloseReason.MEMORY)

    # ---- transactions ----

    def over(self, client: TenantClient) -> int:
        """Nought, or how long its next command is told to wait, without being read."""
        shut = self.shut or (self.fenced() if self.fenced is not None else 0)
        return self.dispatcher.jittered(shut) or self.dues.take(self.dispatcher.now(), client.address)

    def full(self, client: TenantClient) -> bool:
        """Whether the tenant has as many open as it may, and this client its part of them."""
        mine = self.dues.clients.get(client.address)
        return self.dues.open >= self.open_most and (mine is None or mine.open >= self.dues.equal_part(self.open_most))

    def crowds(self, client: TenantClient) -> bool:
        """Whether it has so much open that what it adds may not make others wait."""
        if client.open > max(OWN_LEAST, OWN_TIMES * self.dues.open / max(1, self.busy_clients)):
            return self.busy_clients > 1
        return self.dues.crowds(client.address, OPEN_LEAST, OPEN_TIMES)

    def opened(self, client: TenantClient) -> None:
        self.dues.opened(client.address)
        self.busy_clients += client.open == 1

    def closed(self, client: TenantClient) -> None:
        self.dues.closed(client.address)
        self.busy_clients -= client.open == 0


class TenantListener(Listener):
    """Accepts in its tenant's turns when others wait; up to as many as fit."""

    frontend: TenantFrontend
    paused = False

    def accept_limit(self) -> int:
        return min(STEP, self.frontend.accept_room())

    def doRead(self) -> None:
        if self.frontend.scheduler.may_run_now(self.frontend.name):
            self.frontend.scheduler.run_charged(self.frontend.name, self.accept)
        else:
            self.stopReading()
            if not self.paused:
                self.paused = True
                self.frontend.scheduler.enqueue(self.frontend.name, ACCEPTS, self)

    def run_piece(self) -> bool:
        self.paused = False
        if self.connected and not self.disconnecting:
            self.accept()
            if not self.frontend.accepting_paused and self.pause_call is None:
                self.startReading()
        return False

    def turn_away(self) -> None:
        """Closes those that come from an address with no room left, at a tenth of what it costs to take one in.

        The library can't look at who comes before it has made all that a connection has.
        """
        while self.frontend.crowded() and not self.frontend.scheduler.is_late(PIECE_NS):
            try:
                client, address = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as fault:
                if not self.handle_failure(fault):
                    return
                continue
            if self.frontend.takes(address[0]):
                self.make_connection(client, address)
            else:
                client.setsockopt(SOL_SOCKET, SO_LINGER, AT_ONCE)
                client.close()

    def accept(self) -> None:
        self.turn_away()
        super().accept()
