"""The client connections of one tenant on the shared event loop: read in pieces, in turns and within its limits."""

from collections.abc import Callable, Iterable
from itertools import islice
from socket import SO_LINGER, SOL_SOCKET
from struct import pack
from typing import Any

from ternquay.hosted.shared.fairness import ClientLimiter, SharedCapacity
from ternquay.hosted.shared.scheduler import PIECE_NS, FairScheduler
from ternquay.net import meta
from ternquay.net.client import MAX_PENDING_ANSWERS, ClientConnection
from ternquay.net.dispatcher import Dispatcher
from ternquay.net.frontend import Frontend
from ternquay.net.limits import Limits
from ternquay.net.listener import Listener
from ternquay.net.loop_timing import LoopTiming
from ternquay.net.pending_answer import PendingAnswer
from ternquay.net.safety import CloseReason, RequestRefusal
from ternquay.net.sockets import Sockets

ITEMS_PER_CLOCK_CHECK = 4  # commands read, or connections accepted, before the clock is checked
MAX_UNREAD_BYTES = 16 << 10  # buffered on one connection before reading from it is paused
# A client with more open transactions than both of these crowds others: a count, and a multiple of its equal part.
CROWDING_MIN_OPEN = 8
CROWDING_FACTOR = 1.5
# The same for a single connection, against the average of the connections that have any open.
CONNECTION_CROWDING_MIN_OPEN = 16
CONNECTION_CROWDING_FACTOR = 4.0
CROWDING_SHARE = "\0"  # the share of clients that crowd others; it can't be a name on the wire
RESET_ON_CLOSE = pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: close() resets the connection
CANDIDATES_PER_CLOSE = 8  # clients checked for one that may be closed; each check is a system call
ACCEPTING = "\0"  # the name under which new connections take turns with the tenant's clients


class TenantSockets(Sockets):
    """Counts the sockets of one tenant, for itself and in the capacity that all tenants share."""

    def __init__(self, limits: Limits, name: str, shared: SharedCapacity, max_hosts: int) -> None:
        super().__init__(limits)
        self.name, self.shared, self.max_hosts = name, shared, max_hosts

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
        return self.hosts < self.max_hosts and super().may_open_host()


class TenantClient(ClientConnection):
    """A client connection that is read at once while no other waits for a turn, and in its turn otherwise.

    Reading from the socket is paused while too much is unread or too many answers are pending.
    """

    frontend: "TenantFrontend"

    def __init__(self, frontend: "TenantFrontend") -> None:
        super().__init__(frontend)
        self.address = ""
        self.open = 0  # open transactions
        self.waiting = self.reading_paused = self.answers_full = False
        self.unread_since = 0  # when the oldest data that is not parsed may have arrived; 0: there is none
        self.paused_at = 0  # when reading from the socket was paused
        self.waiting_since = 0  # for a turn
        self.turn_wait = 0  # how long it waited for the present one

    def end_pending(self) -> None:
        for pending_answer in self.pending:
            if isinstance(pending_answer, PendingAnswer) and pending_answer.answer is None:
                self.answer_ready(pending_answer)
        super().end_pending()

    def rawDataReceived(self, data: bytes) -> None:
        if self.ended or self.closing:
            return
        frontend = self.frontend
        if not self.unread_since:
            self.unread_since = self.first_byte_since() or frontend.loop_timing.earliest_arrival
        self.unreported_bytes += len(data)
        self.record_read(len(data))
        self.parser.buffer_data(data)
        if self.waiting or self.answers_full:
            self.count_buffered()
            self.pause_if_full()
        elif frontend.scheduler.may_run_now(frontend.name):
            if frontend.scheduler.run_charged(frontend.name, self.run_piece):
                self.wait_for_turn()
        else:
            self.wait_for_turn()

    def wait_for_turn(self) -> None:
        """Queues the connection until its turn comes."""
        self._start_waiting()
        self.frontend.mark_busy(self)  # an idle connection may be closed, and this one may hold a whole command
        self.count_buffered()
        self.pause_if_full()
        self.frontend.scheduler.enqueue(self.frontend.name, self.address, self)

    def _start_waiting(self) -> None:
        self.waiting, self.waiting_since = True, self.frontend.dispatcher.now()

    def reading_held(self) -> bool:
        return self.waiting or self.answers_full or super().reading_held()

    def must_hold_reading(self) -> bool:
        # Everything else that holds reading is a matter of turns: see pause_if_full().
        return self.stream_held

    def is_stalled(self) -> bool:
        # A client that waits for its turn makes no progress through no fault of its own.
        held = (self.waiting or self.answers_full) and not self.queued_bytes and not self.ended
        return not held and super().is_stalled()

    def pause_if_full(self) -> None:
        """Pauses reading from the socket if too much is unread or too many answers are pending."""
        if (
            not self.reading_paused
            and not self.ended
            and (len(self.parser.buffer) > MAX_UNREAD_BYTES or self.answers_full)
        ):
            self.reading_paused, self.paused_at = True, self.frontend.dispatcher.now()
            self.transport.pauseProducing()

    def unread_time(self, same_part: bool) -> int:
        # The wait for the turn does not count against the client.
        return max(0, super().unread_time(same_part) - self.turn_wait)

    def run_piece(self) -> bool:
        """Reads commands for up to PIECE_NS; returns whether there are more."""
        self.turn_wait = 0
        if self.waiting:
            self.waiting = False
            self.turn_wait = self.frontend.dispatcher.now() - self.waiting_since
            self.deadline.extend(self.turn_wait)
        if self.ended or self.closing:
            return False
        clock = self.frontend.scheduler.clock
        end = clock() + PIECE_NS
        while True:
            self.readable_since, self.accepted_iteration = self.unread_since, self.frontend.loop_timing.iteration
            self.frontend.mark_busy(self)
            items = self.parser.parse(ITEMS_PER_CLOCK_CHECK, self.admission_delay)
            self.handle_items(items)
            if self.ended or self.closing:
                return False
            if len(self.pending) > MAX_PENDING_ANSWERS:
                self.answers_full = True
                self.pause_if_full()
                return False
            if len(items) < ITEMS_PER_CLOCK_CHECK:
                self.finish_reading()
                return False
            if clock() >= end:
                self._start_waiting()
                return True

    def finish_reading(self) -> None:
        """Resumes reading once all whole commands were read. Data in the system's buffer may be as old as the pause."""
        self.unread_since = 0
        if self.reading_paused:
            self.reading_paused = False
            self.unread_since = self.paused_at
            self.transport.resumeProducing()

    def admission_delay(self) -> int:
        """Returns 0, or how long the next command is told to wait without being read."""
        return self.frontend.admission_delay(self)

    def flush(self) -> None:
        super().flush()
        if self.answers_full and len(self.pending) < MAX_PENDING_ANSWERS // 2 and not self.ended:
            self.answers_full = False
            self._start_waiting()
            self.frontend.scheduler.enqueue(self.frontend.name, self.address, self)

    def refuse_incomplete_request(self) -> None:
        # Whole commands that wait for their turn are refused first; what is left then is an incomplete one.
        self.handle_items(self.parser.parse(limit_wait=self._memory_wait))
        if self.parser.buffer and not self.ended and not self.closing:
            super().refuse_incomplete_request()

    def _memory_wait(self) -> int:
        """Returns how long a command is told to wait that there is no memory for; never 0, which would admit it."""
        self.frontend.safety.record_request_refusal(RequestRefusal.MEMORY, lambda: "")
        return max(1, self.frontend.dispatcher.jittered(self.frontend.limits.retry_after))

    # ---- transactions ----

    def begin_transaction(self, command: meta.Command, pending_answer: PendingAnswer, unread: int) -> None:
        if self.frontend.at_limit(self):
            self.frontend.safety.record_request_refusal(RequestRefusal.SHARE, pending_answer.id)
            pending_answer.roll_back(self.frontend.dispatcher.jittered(self.frontend.limits.retry_after))
            return
        pending_answer.counted_open = True
        self.open += 1
        self.frontend.tx_opened(self)
        super().begin_transaction(command, pending_answer, unread)

    def share_name(self, command: meta.Command) -> str:
        return CROWDING_SHARE if self.frontend.crowds(self) else command.share

    def answer_ready(self, pending_answer: PendingAnswer) -> None:
        if pending_answer.counted_open:
            pending_answer.counted_open = False
            self.open -= 1
            self.frontend.tx_closed(self)


class TenantFrontend(Frontend):
    """The clients of one tenant.

    `suspended_delay` is 0, or how long new transactions are told to wait while the tenant takes none.
    """

    def __init__(
        self,
        reactor: Any,
        dispatcher: Dispatcher,
        limits: Limits,
        sockets: Sockets,
        loop_timing: LoopTiming,
        scheduler: FairScheduler,
        name: str,
        client_limiter: ClientLimiter,
    ) -> None:
        super().__init__(reactor, dispatcher, limits, sockets, loop_timing)
        self.scheduler, self.name, self.client_limiter = scheduler, name, client_limiter
        self.clients_by_address: dict[str, dict[TenantClient, None]] = {}
        self.suspended_delay = self.max_open_txs = self.clients_with_txs = 0
        self.memory_short = False  # all tenants together hold too much, and this one more than its guarantee
        self.fence_delay: Callable[[], int] | None = None  # the same, of a member of a fleet

    def buildProtocol(self, addr: Any) -> TenantClient:
        client = TenantClient(self)
        client.address = addr.host
        return client

    # ---- connections ----

    def client_connected(self, client: ClientConnection) -> None:
        assert isinstance(client, TenantClient)
        same_address = self.clients_by_address.get(client.address, {})
        if self.sockets.clients >= self.limits.clients and not self._make_room(len(same_address)):
            client.abort(CloseReason.NO_REQUEST)
            return
        self.clients_by_address.setdefault(client.address, same_address)[client] = None
        super().client_connected(client)

    def is_full(self) -> bool:
        """Whether the tenant has as many clients as it may."""
        return self.sockets.clients >= self.limits.clients

    def may_displace(self, address: str) -> bool:
        """Whether a new connection from the address may take the place of another one when all are taken."""
        own_count = len(self.clients_by_address.get(address, ()))
        return own_count + 1 < max((len(clients) for clients in self.clients_by_address.values()), default=0)

    def _make_room(self, own_count: int) -> bool:
        """Closes a connection of the address that has most, unless the new one is its own. Returns whether it did."""
        address = max(self.clients_by_address, key=lambda a: len(self.clients_by_address[a]), default="")
        clients = self.clients_by_address.get(address, {})
        if own_count + 1 >= len(clients):
            return False
        idle = (client for client in clients if client in self.idle_clients)
        return self._close_some(idle, 1) > 0 or self._close_some(self._mid_command(clients), 1) > 0

    def _mid_command(self, clients: "Iterable[TenantClient]") -> "Iterable[TenantClient]":
        """Returns clients that sent part of a command and have no pending answer, except those that wait for a turn."""
        return (
            client
            for client in clients
            if client not in self.idle_clients
            and not client.pending
            and not client.queued_bytes
            and not client.ended
            and not client.waiting
        )

    def _close_some(self, clients: "Iterable[TenantClient]", max_count: int) -> int:
        """Closes up to `max_count` clients; returns how many it closed.

        A client with unread data is never closed: it may be the rest of a request.
        """
        closed = 0
        for client in list(islice(clients, CANDIDATES_PER_CLOSE * max_count)):
            if closed < max_count:
                if client in self.idle_clients:
                    closed += self.close_idle(client)
                elif client.nothing_unread():
                    self.drop(client, CloseReason.NO_REQUEST)
                    closed += 1
        return closed

    def client_disconnected(self, client: ClientConnection) -> None:
        if client in self.clients and isinstance(client, TenantClient):
            same_address = self.clients_by_address.get(client.address, {})
            same_address.pop(client, None)
            if not same_address:
                self.clients_by_address.pop(client.address, None)
            self.scheduler.remove(self.name, client.address, client)
        super().client_disconnected(client)

    def reclaim(self, count: int) -> None:
        """Closes up to `count` clients, as other tenants need their sockets: idle ones first, then unfinished ones."""
        idle = [client for client in self.idle_clients if isinstance(client, TenantClient)]
        mid_command = self._mid_command([client for client in self.clients if isinstance(client, TenantClient)])
        for candidates in ([c for c in idle if c.answered], list(mid_command), [c for c in idle if not c.answered]):
            count -= self._close_some(candidates, count)

    def next_to_refuse(self) -> ClientConnection | None:
        # A client that waits for its turn has whole commands buffered too, and the time since it added any is not its
        # own doing, so the client with the most bytes is chosen.
        client = self.incomplete_requests.largest()
        return None if client is None or client.parser.discards_value() else client

    def answers_exceeded(self) -> bool:
        return self.memory_short or super().answers_exceeded()

    def free_memory(self) -> bool:
        """Frees memory of an incomplete request, or of answers that a client does not take. Returns whether it did."""
        return self.refuse_incomplete_request() or self.close_one_unread()

    # ---- transactions ----

    def admission_delay(self, client: TenantClient) -> int:
        """Returns 0, or how long the client's next command is told to wait without being read."""
        delay = self.suspended_delay or (self.fence_delay() if self.fence_delay is not None else 0)
        return self.dispatcher.jittered(delay) or self.client_limiter.take(self.dispatcher.now(), client.address)

    def at_limit(self, client: TenantClient) -> bool:
        """Whether the tenant has as many transactions open as it may, and the client its equal part of them."""
        state = self.client_limiter.clients.get(client.address)
        return self.client_limiter.open >= self.max_open_txs and (
            state is None or state.open >= self.client_limiter.equal_part(self.max_open_txs)
        )

    def crowds(self, client: TenantClient) -> bool:
        """Whether the client has so many transactions open that further ones must not delay other clients."""
        if client.open > max(
            CONNECTION_CROWDING_MIN_OPEN,
            CONNECTION_CROWDING_FACTOR * self.client_limiter.open / max(1, self.clients_with_txs),
        ):
            return self.clients_with_txs > 1
        return self.client_limiter.crowds(client.address, CROWDING_MIN_OPEN, CROWDING_FACTOR)

    def tx_opened(self, client: TenantClient) -> None:
        """Counts a transaction that the client has opened."""
        self.client_limiter.opened(client.address)
        self.clients_with_txs += client.open == 1

    def tx_closed(self, client: TenantClient) -> None:
        """Counts a transaction of the client that has ended."""
        self.client_limiter.closed(client.address)
        self.clients_with_txs -= client.open == 0


class TenantListener(Listener):
    """Accepts as many connections as fit; in the tenant's turns, while others wait."""

    frontend: TenantFrontend
    queued = False  # whether it waits for a turn

    def accept_limit(self) -> int:
        return min(ITEMS_PER_CLOCK_CHECK, self.frontend.accept_room())

    def doRead(self) -> None:
        if self.frontend.scheduler.may_run_now(self.frontend.name):
            self.frontend.scheduler.run_charged(self.frontend.name, self.accept)
        else:
            self.stopReading()
            if not self.queued:
                self.queued = True
                self.frontend.scheduler.enqueue(self.frontend.name, ACCEPTING, self)

    def run_piece(self) -> bool:
        self.queued = False
        if self.connected and not self.disconnecting:
            self.accept()
            if self.accepting and self.pause_call is None:
                self.startReading()
        return False

    def reject_excess(self) -> None:
        """While the tenant is full, closes new connections from addresses that have their part already.

        This costs a tenth of what accepting takes. The library can't check the address before it has created everything
        that belongs to a connection.
        """
        while self.frontend.is_full() and not self.frontend.scheduler.is_late(PIECE_NS):
            try:
                client, address = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as fault:
                if not self.handle_failure(fault):
                    return
                continue
            if self.frontend.may_displace(address[0]):
                self.make_connection(client, address)
            else:
                client.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
                client.close()

    def accept(self) -> None:
        self.reject_excess()
        super().accept()
