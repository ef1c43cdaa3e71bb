"""The frontend: keeps track of all client connections and closes some when sockets or memory run short."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from ternquay.net import meta
from ternquay.net.client import ClientConnection
from ternquay.net.dispatcher import DelayedCall, Dispatcher, cancel_call
from ternquay.net.eviction import EVICTION_INTERVAL_NS, close_refused, evict_clients
from ternquay.net.limits import MS, SECOND, Limits
from ternquay.net.loop_timing import LoopTiming
from ternquay.net.safety import CloseReason, may_close
from ternquay.net.shared_budget import SharedBudget
from ternquay.net.sockets import Sockets

MIN_DEADLINE_CHECK_NS = 50 * MS  # the shortest interval between two checks for overdue requests
CLOSE_DELAY_NS = 20 * MS  # between an answer and the close of a connection over the limit
MIN_UNSENT_NS = SECOND  # a client that takes no answers for this long is closed if memory is short


class Frontend(Factory):
    """Creates the client connections and tracks which are idle and which have an incomplete request."""

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
        self.incomplete_requests: SharedBudget[ClientConnection] = SharedBudget()
        self.relieving = False  # within relieve_buffers()
        self.refused_values: dict[ClientConnection, None] = {}  # clients that are still to send the rest of one
        # Answers that the operating system has not accepted yet, without large values.
        self.unsent_answers: SharedBudget[ClientConnection] = SharedBudget()
        self.idle_clients: dict[ClientConnection, None] = {}  # longest idle first
        self.answered_idle: dict[ClientConnection, None] = {}  # idle clients that have received an answer
        # Clients that have not sent a complete command line yet, oldest first.
        self.awaiting_first_command: dict[ClientConnection, None] = {}
        self.partial_requests: dict[ClientConnection, None] = {}  # clients with an incomplete request
        self.deadline_call: DelayedCall | None = None  # the next check of `partial_requests`
        self.next_deadline_check = 0
        self.safety = dispatcher.safety
        self.leaving = self.accepting_paused = False
        self.new_client_grace = 0  # while leaving, a client that has sent nothing is kept for this long
        self.noop_answer = meta.NOOP_ANSWER  # the answer to `mn`
        self.set_accepting: Callable[[bool], None] = lambda accept: None
        self.accept_queue_length: Callable[[], int] = lambda: 0
        self.eviction_call: DelayedCall | None = None  # the next eviction for clients that wait to be accepted
        sockets.close_idle_client, sockets.on_room = self.close_longest_idle, self.resume_accepting

    def buildProtocol(self, addr: Any) -> ClientConnection:
        return ClientConnection(self)

    def client_connected(self, client: ClientConnection) -> None:
        """Registers an accepted client, and pauses accepting when all sockets are in use."""
        self.clients.add(client)
        client.over_limit = not self.sockets.client_opened()
        client.last_activity, client.readable_since = self.dispatcher.now(), self.loop_timing.waiting_since()
        client.accepted_at, client.accepted_iteration = client.last_activity, self.loop_timing.iteration
        self.awaiting_first_command[client] = None
        self.mark_idle(client)
        if self.sockets.full():
            # Further clients wait in the accept queue. Closing a client for them could cut off a transaction that it
            # has just written.
            self.accepting_paused = True
            self.set_accepting(False)
            if self.eviction_call is None:
                self.eviction_call = self.dispatcher.call_at(
                    client.accepted_at + EVICTION_INTERVAL_NS, self._evict_for_waiting
                )

    def _evict_for_waiting(self) -> None:
        """Closes inactive clients for those that wait to be accepted, while accepting is paused."""
        self.eviction_call = None
        if not self.accepting_paused:
            return
        self.eviction_call = self.dispatcher.call_at(
            self.dispatcher.now() + EVICTION_INTERVAL_NS, self._evict_for_waiting
        )
        evict_clients(self, self.accept_queue_length())

    def accept_room(self) -> int:
        """Returns how many clients may be accepted now without exceeding the socket limit, at least 1."""
        return max(1, min(self.limits.accepts_per_turn, self.sockets.remaining()))

    def client_disconnected(self, client: ClientConnection) -> None:
        """Stops tracking a client whose connection has ended."""
        if client not in self.clients:
            return
        self.clients.discard(client)
        self.awaiting_first_command.pop(client, None)
        self.partial_requests.pop(client, None)
        self.refused_values.pop(client, None)
        self.mark_busy(client)
        self.sockets.client_closed()
        if not client.transport_closed:
            self.sockets.closing.add(client)
        self.release_memory(client)
        self.resume_accepting()

    def release_memory(self, client: ClientConnection) -> None:
        """Stops counting the bytes of a client whose connection has ended or is aborted."""
        self.incomplete_requests.release(client)
        self.unsent_answers.release(client)

    def deadline_changed(self, client: ClientConnection) -> None:
        """Called after a read from the client, which may have moved or ended the deadline of its request."""
        due = client.deadline.due_at()
        if due is None or client.ended:
            self.partial_requests.pop(client, None)
            return
        self.partial_requests[client] = None
        # Most new requests are due after all others; a request whose bytes waited to be read may be due earlier.
        if self.deadline_call is None or due < self.next_deadline_check:
            self._schedule_deadline_check(due)

    def _schedule_deadline_check(self, at: int) -> None:
        """Sets the single timer that serves all incomplete requests."""
        cancel_call(self.deadline_call)
        self.next_deadline_check = at
        self.deadline_call = self.dispatcher.call_at(at, self._fail_overdue_requests)

    def _fail_overdue_requests(self) -> None:
        """Fails overdue requests and schedules the check for the next one."""
        self.deadline_call = None
        now = self.dispatcher.now()
        try:
            for client in [candidate for candidate in self.partial_requests if candidate.is_overdue(now)]:
                # Failing one request may already have ended another client of this loop.
                if self.partial_requests.pop(client, self) is None:
                    client.fail_request()
        finally:
            dues = [due for candidate in self.partial_requests if (due := candidate.deadline.due_at()) is not None]
            if dues:
                self._schedule_deadline_check(max(min(dues), now + MIN_DEADLINE_CHECK_NS))

    def owes_answers(self) -> bool:
        """Whether a client waits for an answer, for queued bytes of one, or for what it wrote to be read."""
        return any(client.pending or client.queued_bytes or client.has_unread_bytes() for client in self.clients)

    def is_short(self) -> bool:
        """Whether what stands still costs others something: a place, memory, or the end of this process."""
        return self.accepting_paused or self.leaving or self.answers_exceeded() or self.dispatcher.streams.is_short()

    def writes_answers(self) -> bool:
        """Whether a large value is being written to a client, or the system has not accepted all of an answer."""
        return any(client.writes_value() or client.queued_bytes for client in self.clients)

    def resume_accepting(self) -> None:
        """Resumes accepting once sockets are available."""
        if self.accepting_paused and not self.sockets.full():
            self.accepting_paused = False
            self.set_accepting(True)

    def mark_busy(self, client: ClientConnection) -> None:
        """Records that the client is not idle."""
        self.idle_clients.pop(client, None)
        self.answered_idle.pop(client, None)

    def mark_idle(self, client: ClientConnection) -> None:
        """Records that the client is idle if it is, and closes idle clients over the limits."""
        if not client.pending and not client.queued_bytes and not client.ended and client.parser.is_idle():
            self.idle_clients[client] = None
            if client.answered:
                self.answered_idle[client] = None
                if len(self.answered_idle) > self.limits.idle_clients:
                    # Clients that send one request and keep the connection would otherwise use up all sockets.
                    self.close_idle(next(iter(self.answered_idle)))
            # During a drain, a new client is about to send a request: it is closed after the answer.
            if self.leaving and (client.answered or not self.new_client_grace):
                self.close_idle(client)
            elif client.answered and (client.over_limit or self.accepting_paused):
                # Delayed, because another request that the client has already sent may be on its way.
                self.dispatcher.call_at(
                    client.last_activity + CLOSE_DELAY_NS, self._close_if_still_idle, client, client.last_activity
                )

    def _close_if_still_idle(self, client: ClientConnection, last_activity: int) -> None:
        """Closes a client that has been idle since `last_activity`."""
        if client in self.idle_clients and client.last_activity == last_activity:
            self.close_idle(client)

    def close_longest_idle(self) -> bool:
        """Closes a client that waits for no answer. Returns whether there was one.

        It is one that has stopped in a refused request, else the one that has been idle longest, else one without a
        complete command.
        """
        if close_refused(self):
            return True
        now = self.dispatcher.now()
        for client in self.idle_clients:
            if client.answered or now - client.last_activity > self.limits.new_client_grace:
                return self.close_idle(client)
        return self._close_without_command(1) > 0

    def _close_without_command(self, most: int) -> int:
        """Closes up to `most` clients, oldest first, that sent no complete command in time. Returns how many."""
        before = self.dispatcher.now() - self.limits.first_command_timeout
        overdue: list[ClientConnection] = []
        for client in self.awaiting_first_command:
            if client.accepted_at > before or len(overdue) >= most:
                break
            if may_close(CloseReason.NO_REQUEST, owes_answer=False, unread=client.has_unread_bytes()):
                overdue.append(client)
        for client in overdue:
            self.drop(client, CloseReason.NO_REQUEST)
        return len(overdue)

    def close_idle(self, client: ClientConnection) -> bool:
        """Closes an idle client, unless it has unread bytes. Returns whether it was closed."""
        if not client.close_if_nothing_unread():
            return False
        reason = CloseReason.IDLE if client.answered else CloseReason.NO_REQUEST
        self.safety.record_client_close(CloseReason.LEAVING if self.leaving else reason, client.pending_ids())
        client.ended = True
        self.client_disconnected(client)
        return True

    def drop(self, client: ClientConnection, reason: CloseReason) -> None:
        """Closes the connection immediately and stops counting it."""
        client.abort(reason)
        self.client_disconnected(client)
        client.queued_bytes = 0

    # ---- memory ----

    def buffers_exceeded(self) -> bool:
        """Whether incomplete requests exceed the memory limit that they share."""
        return self.incomplete_requests.total > self.limits.buffered_bytes

    def answers_exceeded(self) -> bool:
        """Whether unsent answers exceed the memory limit that they share."""
        return self.unsent_answers.total > self.limits.buffered_bytes

    def relieve_buffers(self) -> None:
        """Refuses incomplete requests while they exceed their memory limit. No answer of another request is lost."""
        if self.relieving:
            return  # a refusal counts the bytes of its client anew
        self.relieving = True
        try:
            while self.buffers_exceeded() and self.refuse_incomplete_request():
                pass
        finally:
            self.relieving = False

    def refuse_incomplete_request(self) -> bool:
        """Refuses an incomplete request, so that its memory is freed. Returns whether there was one."""
        client = self.next_to_refuse()
        if client is None:
            return False
        self.dispatcher.log("WARNING", "incomplete requests exceed the memory limit: some are refused")
        client.refuse_incomplete_request()
        return True

    def next_to_refuse(self) -> ClientConnection | None:
        """Returns the client that has added nothing to its value for longest; without values, to its line."""
        candidates = [client for client in self.incomplete_requests if not client.unparsed]
        value_writers = (client for client in candidates if client.parser.buffers_value())
        line_writers = (client for client in candidates if client.parser.awaits_no_value())
        return next(value_writers, None) or next(line_writers, None)

    def close_unread(self) -> None:
        """Closes clients that take no answers while unsent answers exceed their memory limit."""
        while self.answers_exceeded() and self.close_one_unread():
            pass

    def close_one_unread(self) -> bool:
        """Closes the client with unsent answers for longest that takes none. Returns whether there was one."""
        unread = (client for client in self.unsent_answers if client.queued_bytes)
        client = next((client for client in unread if client.has_taken_nothing_for(MIN_UNSENT_NS)), None)
        if client is not None:
            client.abort(CloseReason.ANSWERS_UNREAD)
        return client is not None

    def sweep(self) -> None:
        """Calls close_stale() at a fixed interval, starting now."""
        # Scheduled first, so that an exception in one sweep does not end the sweeps.
        self.reactor.callLater(self.limits.sweep_interval / SECOND, self.sweep)
        self.close_stale()

    def close_stale(self) -> None:
        """Closes clients that hold resources and make no progress."""
        # After a stall of the process this runs before the bytes that arrived meanwhile are read.
        for client in [c for c in self.clients if c.is_stalled() and (c.queued_bytes or not c.has_unread_bytes())]:
            if client.queued_bytes or client.ended:
                client.abort(CloseReason.ANSWERS_UNREAD)
            else:
                client.refuse_held_value()
        self.close_unread()
        if self.accepting_paused:
            self.close_longest_idle()
        if 2 * self.sockets.clients > self.limits.clients:
            self._close_without_command(len(self.awaiting_first_command))
        if self.leaving:
            self._close_idle_clients()

    def leave(self, new_client_grace: int = 0) -> None:
        """Closes connections between transactions from now on, including new ones.

        A client that has sent nothing is kept for `new_client_grace` nanoseconds after its last activity.
        """
        self.leaving, self.new_client_grace = True, new_client_grace
        self._close_idle_clients()

    def _close_idle_clients(self) -> None:
        before = self.dispatcher.now() - self.new_client_grace
        for client in [c for c in self.idle_clients if c.answered or c.last_activity <= before]:
            self.close_idle(client)

    def close_inactive(self) -> None:
        """Closes clients that wait for no answer and are inactive, for example in an incomplete command."""
        before = self.dispatcher.now() - self.limits.new_client_grace
        for client in [c for c in self.clients if not c.pending and not c.queued_bytes and c.last_activity <= before]:
            if may_close(CloseReason.LEAVING, owes_answer=False, unread=client.has_unread_bytes()):
                client.abort(CloseReason.LEAVING)
