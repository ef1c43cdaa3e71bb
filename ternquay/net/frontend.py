"""All client connections: which idle, which have a request under way, and which are closed when room is short."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from ternquay.net import meta
from ternquay.net.client import ClientConnection
from ternquay.net.dispatcher import DelayedCall, Dispatcher, cancel_call
from ternquay.net.eviction import EVICTION_INTERVAL_NS, evict_clients
from ternquay.net.limits import MS, SECOND, Limits
from ternquay.net.loop_timing import LoopTiming
from ternquay.net.safety import CloseReason, may_close
from ternquay.net.sockets import Sockets

MIN_DEADLINE_CHECK_NS = 50 * MS  # between two looks for requests that are overdue, at least
CLOSE_DELAY_NS = 20 * MS  # between an answer and the close of a connection that is one too many


class Frontend(Factory):
    noisy = False

    def __init__(
        self, reactor: Any, dispatcher: Dispatcher, limits: Limits, sockets: Sockets, loop_timing: LoopTiming
    ) -> None:
        self.reactor, self.dispatcher, self.limits, self.sockets, self.loop_timing = (
            reactor,
            dispatcher,
            limits,
            sockets,
            loop_timing,
        )
        self.clients: set[ClientConnection] = set()
        self.queued_bytes = self.buffered_bytes = 0  # bytes of all clients
        self.idle_clients: dict[ClientConnection, None] = {}  # idle ones, the longest first
        self.answered_idle: dict[ClientConnection, None] = {}  # those of them that had an answer
        self.awaiting_first_command: dict[
            ClientConnection, None
        ] = {}  # no whole command line has come yet; the oldest first
        self.partial_requests: dict[ClientConnection, None] = {}  # a request has begun to arrive and is not whole
        self.deadline_call: DelayedCall | None = None  # the next look at those
        self.next_deadline_check = 0  # when that is
        self.safety = dispatcher.safety
        self.leaving = self.accepting_paused = False
        self.new_client_grace = 0  # how long one that has said nothing yet is left while they leave
        self.noop_answer = meta.NOOP_ANSWER  # what an `mn` is answered with
        self.set_accepting: Callable[[bool], None] = lambda accept: None
        self.accept_queue_length: Callable[[], int] = lambda: 0  # how many clients wait to be accepted
        self.eviction_call: DelayedCall | None = None  # the next look for places for those
        sockets.close_idle_client, sockets.on_room = self.close_longest_idle, self.resume_accepting

    def buildProtocol(self, addr: Any) -> ClientConnection:
        return ClientConnection(self)

    def client_connected(self, client: ClientConnection) -> None:
        self.clients.add(client)
        client.over_limit = not self.sockets.client_opened()
        client.last_activity, client.readable_since = self.dispatcher.now(), self.loop_timing.waiting_since()
        client.accepted_at, client.accepted_iteration = client.last_activity, self.loop_timing.iteration
        self.awaiting_first_command[client] = None
        self.mark_idle(client)
        if self.sockets.full():
            # Against closing one that has just written its transaction: the next ones wait to be accepted.
            self.accepting_paused = True
            self.set_accepting(False)
            if self.eviction_call is None:
                self.eviction_call = self.dispatcher.call_at(
                    client.accepted_at + EVICTION_INTERVAL_NS, self._evict_for_waiting
                )

    def _evict_for_waiting(self) -> None:
        """Places for those that wait to be accepted, as long as all are taken."""
        self.eviction_call = None
        if not self.accepting_paused:
            return
        self.eviction_call = self.dispatcher.call_at(
            self.dispatcher.now() + EVICTION_INTERVAL_NS, self._evict_for_waiting
        )
        evict_clients(self, self.accept_queue_length())

    def accept_room(self) -> int:
        """How many clients may be accepted at once without passing the limit on sockets."""
        return max(1, min(self.limits.accepts_per_turn, self.sockets.remaining()))

    def client_disconnected(self, client: ClientConnection) -> None:
        if client not in self.clients:
            return
        self.clients.discard(client)
        self.awaiting_first_command.pop(client, None)
        self.partial_requests.pop(client, None)
        self.mark_busy(client)
        self.sockets.client_closed()
        if not client.transport_closed:
            self.sockets.closing.add(client)
        self.queued_bytes -= client.counted_bytes
        self.buffered_bytes -= client.buffered_bytes
        self.resume_accepting()

    def deadline_changed(self, client: ClientConnection) -> None:
        """What was read of that client has moved the deadline of its request, or ended it."""
        due = client.deadline.due_at()
        if due is None or client.ended:
            self.partial_requests.pop(client, None)
            return
        self.partial_requests[client] = None
        # Most requests that begin are due after all others that are under way; not one whose bytes waited to be read.
        if self.deadline_call is None or due < self.next_deadline_check:
            self._schedule_deadline_check(due)

    def _schedule_deadline_check(self, at: int) -> None:
        """One timer serves all requests that are not whole."""
        cancel_call(self.deadline_call)
        self.next_deadline_check = at
        self.deadline_call = self.dispatcher.call_at(at, self._fail_overdue_requests)

    def _fail_overdue_requests(self) -> None:
        """Ends the requests that are overdue, and looks again when the next one is."""
        self.deadline_call = None
        now = self.dispatcher.now()
        try:
            for client in [one for one in self.partial_requests if one.is_overdue(now)]:
                # The end of one may set off that of another, which was to be ended here too.
                if self.partial_requests.pop(client, self) is None:
                    client.fail_request()
        finally:
            dues = [due for one in self.partial_requests if (due := one.deadline.due_at()) is not None]
            if dues:
                self._schedule_deadline_check(max(min(dues), now + MIN_DEADLINE_CHECK_NS))

    def has_unsent_answers(self) -> bool:
        """Whether a client is owed an answer, or bytes of one."""
        return any(client.pending or client.queued_bytes for client in self.clients)

    def resume_accepting(self) -> None:
        """Clients are accepted again once there is room for them."""
        if self.accepting_paused and not self.sockets.full():
            self.accepting_paused = False
            self.set_accepting(True)

    def mark_busy(self, client: ClientConnection) -> None:
        self.idle_clients.pop(client, None)
        self.answered_idle.pop(client, None)

    def mark_idle(self, client: ClientConnection) -> None:
        if not client.pending and not client.queued_bytes and not client.ended and client.parser.is_idle():
            self.idle_clients[client] = None
            if client.answered:
                self.answered_idle[client] = None
                if len(self.answered_idle) > self.limits.idle_clients:
                    # Against clients that ask once and keep the connection: the others would get none.
                    self.close_idle(next(iter(self.answered_idle)))
            # At a drain one that has just come is about to write: it is closed after its answer.
            if self.leaving and (client.answered or not self.new_client_grace):
                self.close_idle(client)
            elif client.answered and (client.over_limit or self.accepting_paused):
                # Not in this step: what a client has written behind its request may be on its way.
                self.dispatcher.call_at(
                    client.last_activity + CLOSE_DELAY_NS, self._close_if_still_idle, client, client.last_activity
                )

    def _close_if_still_idle(self, client: ClientConnection, moved: int) -> None:
        """Closes one that was idle then and has been since."""
        if client in self.idle_clients and client.last_activity == moved:
            self.close_idle(client)

    def close_longest_idle(self) -> bool:
        """Closes the client connection that has been idle longest."""
        now = self.dispatcher.now()
        for client in self.idle_clients:
            if client.answered or now - client.last_activity > self.limits.new_client_grace:
                return self.close_idle(client)
        return self._close_without_command(1) > 0

    def _close_without_command(self, most: int) -> int:
        """Closes the oldest that have sent nothing whole for longer than a true one takes; how many."""
        before = self.dispatcher.now() - self.limits.first_command_timeout
        old: list[ClientConnection] = []
        for client in self.awaiting_first_command:
            if client.accepted_at > before or len(old) >= most:
                break
            if may_close(CloseReason.NO_REQUEST, owes_answer=False, unread=client.has_unread_bytes()):
                old.append(client)
        for client in old:
            self.drop(client, CloseReason.NO_REQUEST)
        return len(old)

    def close_idle(self, client: ClientConnection) -> bool:
        if not client.close_if_nothing_unread():
            return False
        idle = CloseReason.IDLE if client.answered else CloseReason.NO_REQUEST
        self.safety.record_client_close(CloseReason.LEAVING if self.leaving else idle, client.pending_ids())
        client.ended = True
        self.client_disconnected(client)
        return True

    def drop(self, client: ClientConnection, reason: CloseReason) -> None:
        """Closes it now, and counts it no longer."""
        client.abort(reason)
        self.client_disconnected(client)
        client.queued_bytes = client.counted_bytes = client.buffered_bytes = 0

    def relieve_buffers(self, client: ClientConnection) -> None:
        """More is kept of half-read commands than there is room for."""
        client.abort(CloseReason.MEMORY)

    def sweep(self) -> None:
        # Made first, so that a fault in one look does not end them all.
        self.reactor.callLater(self.limits.sweep_interval / SECOND, self.sweep)
        self.swept()

    def swept(self) -> None:
        """Closes clients that take up room and do not go on."""
        # After a stop of the process, or a long turn, this comes before the reading of what came meanwhile.
        for client in [c for c in self.clients if c.is_stalled() and (c.queued_bytes or not c.has_unread_bytes())]:
            client.abort(
                CloseReason.ANSWERS_UNREAD if client.queued_bytes or client.ended else CloseReason.VALUE_BROKEN
            )
        if self.accepting_paused:
            self.close_longest_idle()
        if 2 * self.sockets.clients > self.limits.clients:
            self._close_without_command(len(self.awaiting_first_command))
        if self.leaving:
            self._close_idle_clients()

    def leave(self, spared: int = 0) -> None:
        """From now on connections are closed between transactions, new ones too."""
        self.leaving, self.new_client_grace = True, spared
        self._close_idle_clients()

    def _close_idle_clients(self) -> None:
        before = self.dispatcher.now() - self.new_client_grace
        for client in [c for c in self.idle_clients if c.answered or c.last_activity <= before]:
            self.close_idle(client)

    def close_inactive(self) -> None:
        """Closes what owes nothing and does not move: half a command, for one."""
        before = self.dispatcher.now() - self.limits.new_client_grace
        for client in [c for c in self.clients if not c.pending and not c.queued_bytes and c.last_activity <= before]:
            if may_close(CloseReason.LEAVING, owes_answer=False, unread=client.has_unread_bytes()):
                client.abort(CloseReason.LEAVING)
