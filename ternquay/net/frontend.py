"""All client connections: which idle, which have a request under way, and which are closed when room is short."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from ternquay.net import meta
from ternquay.net.client import ClientConnection
from ternquay.net.dispatcher import DelayedCall, Dispatcher, cancel_call
from ternquay.net.eviction import INTERVAL, evict
from ternquay.net.limits import MS, SECOND, Limits
from ternquay.net.loop_timing import LoopTiming
from ternquay.net.safety import CloseReason, may_close
from ternquay.net.sockets import Sockets

LOOK_AGAIN = 50 * MS  # between two looks for requests that are overdue, at least
SETTLE = 20 * MS  # between an answer and the close of a connection that is one too many


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
        self.all: set[ClientConnection] = set()
        self.queued = self.kept = 0  # bytes of all clients
        self.resting: dict[ClientConnection, None] = {}  # idle ones, the longest first
        self.asked: dict[ClientConnection, None] = {}  # those of them that had an answer
        self.unproven: dict[ClientConnection, None] = {}  # no whole command line has come yet; the oldest first
        self.unfinished: dict[ClientConnection, None] = {}  # a request has begun to arrive and is not whole
        self.expiry: DelayedCall | None = None  # the next look at those
        self.expires_at = 0  # when that is
        self.safety = dispatcher.safety
        self.leaving = self.held_up = False
        self.spared = 0  # how long one that has said nothing yet is left while they leave
        self.hello = meta.HELLO  # what an `mn` is answered with
        self.gate: Callable[[bool], None] = lambda accept: None
        self.waiting: Callable[[], int] = lambda: 0  # how many clients wait to be accepted
        self.admission: DelayedCall | None = None  # the next look for places for those
        sockets.close_idle_client, sockets.on_room = self.shed, self.has_room

    def buildProtocol(self, addr: Any) -> ClientConnection:
        return ClientConnection(self)

    def came(self, client: ClientConnection) -> None:
        self.all.add(client)
        client.crowded = not self.sockets.client_opened()
        client.moved, client.since = self.dispatcher.now(), self.loop_timing.waiting_since()
        client.made, client.turn = client.moved, self.loop_timing.iteration
        self.unproven[client] = None
        self.idle(client)
        if self.sockets.full():
            # Against closing one that has just written its transaction: the next ones wait to be accepted.
            self.held_up = True
            self.gate(False)
            if self.admission is None:
                self.admission = self.dispatcher.call_at(client.made + INTERVAL, self._admit)

    def _admit(self) -> None:
        """Places for those that wait to be accepted, as long as all are taken."""
        self.admission = None
        if not self.held_up:
            return
        self.admission = self.dispatcher.call_at(self.dispatcher.now() + INTERVAL, self._admit)
        evict(self, self.waiting())

    def room(self) -> int:
        """How many clients may be accepted at once without passing the limit on sockets."""
        return max(1, min(self.limits.accepts_per_turn, self.sockets.remaining()))

    def left(self, client: ClientConnection) -> None:
        if client not in self.all:
            return
        self.all.discard(client)
        self.unproven.pop(client, None)
        self.unfinished.pop(client, None)
        self.busy(client)
        self.sockets.client_closed()
        if not client.transport_closed:
            self.sockets.closing.add(client)
        self.queued -= client.owing
        self.kept -= client.kept
        self.has_room()

    def waits_for(self, client: ClientConnection) -> None:
        """What was read of that client has moved the deadline of its request, or ended it."""
        due = client.deadline.due()
        if due is None or client.ended:
            self.unfinished.pop(client, None)
            return
        self.unfinished[client] = None
        # Most requests that begin are due after all others that are under way; not one whose bytes waited to be read.
        if self.expiry is None or due < self.expires_at:
            self._look_for_overdue(due)

    def _look_for_overdue(self, at: int) -> None:
        """One timer serves all requests that are not whole."""
        cancel_call(self.expiry)
        self.expires_at = at
        self.expiry = self.dispatcher.call_at(at, self._expire)

    def _expire(self) -> None:
        """Ends the requests that are overdue, and looks again when the next one is."""
        self.expiry = None
        now = self.dispatcher.now()
        try:
            for client in [one for one in self.unfinished if one.overdue(now)]:
                # The end of one may set off that of another, which was to be ended here too.
                if self.unfinished.pop(client, self) is None:
                    client.end_request()
        finally:
            dues = [due for one in self.unfinished if (due := one.deadline.due()) is not None]
            if dues:
                self._look_for_overdue(max(min(dues), now + LOOK_AGAIN))

    def owes(self) -> bool:
        """Whether a client is owed an answer, or bytes of one."""
        return any(client.owed or client.queued for client in self.all)

    def has_room(self) -> None:
        """Clients are accepted again once there is room for them."""
        if self.held_up and not self.sockets.full():
            self.held_up = False
            self.gate(True)

    def busy(self, client: ClientConnection) -> None:
        self.resting.pop(client, None)
        self.asked.pop(client, None)

    def idle(self, client: ClientConnection) -> None:
        if not client.owed and not client.queued and not client.ended and client.machine.quiet():
            self.resting[client] = None
            if client.answered:
                self.asked[client] = None
                if len(self.asked) > self.limits.idle_clients:
                    # Against clients that ask once and keep the connection: the others would get none.
                    self.close_resting(next(iter(self.asked)))
            # At a drain one that has just come is about to write: it is closed after its answer.
            if self.leaving and (client.answered or not self.spared):
                self.close_resting(client)
            elif client.answered and (client.crowded or self.held_up):
                # Not in this step: what a client has written behind its request may be on its way.
                self.dispatcher.call_at(client.moved + SETTLE, self._close_settled, client, client.moved)

    def _close_settled(self, client: ClientConnection, moved: int) -> None:
        """Closes one that was idle then and has been since."""
        if client in self.resting and client.moved == moved:
            self.close_resting(client)

    def shed(self) -> bool:
        """Closes the client connection that has been idle longest."""
        now = self.dispatcher.now()
        for client in self.resting:
            if client.answered or now - client.moved > self.limits.new_client_grace:
                return self.close_resting(client)
        return self._close_unproven(1) > 0

    def _close_unproven(self, most: int) -> int:
        """Closes the oldest that have sent nothing whole for longer than a true one takes; how many."""
        before = self.dispatcher.now() - self.limits.first_command_timeout
        old: list[ClientConnection] = []
        for client in self.unproven:
            if client.made > before or len(old) >= most:
                break
            if may_close(CloseReason.NO_REQUEST, owing=False, unread=client.has_unread_bytes()):
                old.append(client)
        for client in old:
            self.drop(client, CloseReason.NO_REQUEST)
        return len(old)

    def close_resting(self, client: ClientConnection) -> bool:
        if not client.close_if_nothing_unread():
            return False
        idle = CloseReason.IDLE if client.answered else CloseReason.NO_REQUEST
        self.safety.record_client_close(CloseReason.LEAVING if self.leaving else idle, client.owed_ids())
        client.ended = True
        self.left(client)
        return True

    def drop(self, client: ClientConnection, reason: CloseReason) -> None:
        """Closes it now, and counts it no longer."""
        client.abort(reason)
        self.left(client)
        client.queued = client.owing = client.kept = 0

    def shed_kept(self, client: ClientConnection) -> None:
        """More is kept of half-read commands than there is room for."""
        client.abort(CloseReason.MEMORY)

    def sweep(self) -> None:
        # Made first, so that a fault in one look does not end them all.
        self.reactor.callLater(self.limits.sweep_interval / SECOND, self.sweep)
        self.swept()

    def swept(self) -> None:
        """Closes clients that take up room and do not go on."""
        # After a stop of the process, or a long turn, this comes before the reading of what came meanwhile.
        for client in [c for c in self.all if c.stalled() and (c.queued or not c.has_unread_bytes())]:
            client.abort(CloseReason.ANSWERS_UNREAD if client.queued or client.ended else CloseReason.VALUE_BROKEN)
        if self.held_up:
            self.shed()
        if 2 * self.sockets.clients > self.limits.clients:
            self._close_unproven(len(self.unproven))
        if self.leaving:
            self._close_still()

    def leave(self, spared: int = 0) -> None:
        """From now on connections are closed between transactions, new ones too."""
        self.leaving, self.spared = True, spared
        self._close_still()

    def _close_still(self) -> None:
        before = self.dispatcher.now() - self.spared
        for client in [c for c in self.resting if c.answered or c.moved <= before]:
            self.close_resting(client)

    def cut_off(self) -> None:
        """Closes what owes nothing and does not move: half a command, for one."""
        before = self.dispatcher.now() - self.limits.new_client_grace
        for client in [c for c in self.all if not c.owed and not c.queued and c.moved <= before]:
            if may_close(CloseReason.LEAVING, owing=False, unread=client.has_unread_bytes()):
                client.abort(CloseReason.LEAVING)
