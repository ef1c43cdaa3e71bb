"""Between a front, the decisions and the connections to cache hosts: indices, events, actions, timers.

A front hands in arrivals and gets one answer for each through its Asker; the pool carries hops out and says
how each ended. No protocol is known here, so a second front can go through the same dispatcher.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, Protocol

from loguru import logger

from ternquay import model as m
from ternquay.balance import FORGET_HOST_AFTER_NS, Balancer
from ternquay.facts import NameTable
from ternquay.net.limits import SECOND, Limits
from ternquay.net.listing import Address, HostEntry
from ternquay.net.log_limiter import LogRateLimiter
from ternquay.net.safety import Attempt, RequestRefusal, SafetyMonitor
from ternquay.net.value_stream import ValueStream


class DelayedCall(Protocol):
    def active(self) -> bool: ...

    def cancel(self) -> None: ...


class Clock(Protocol):
    """The reactor's part that keeps time."""

    def seconds(self) -> float: ...

    def callLater(self, delay: float, callable: Callable[..., object], *args: Any) -> DelayedCall: ...


def cancel_call(call: DelayedCall | None) -> None:
    if call is not None and call.active():
        call.cancel()


class Requester(Protocol):
    """Whoever is owed the answer."""

    def commit(self, answer: Any) -> None: ...

    def roll_back(self, wait: int) -> None: ...

    def abandon(self) -> None: ...

    def id(self) -> str:
        """The id of the request, as its client gave it."""
        ...

    def has_left(self) -> bool:
        """Whether it has gone, as far as the system knows: it may not have been read yet."""
        ...


@dataclass(slots=True, frozen=True)
class IncomingTx:
    profile: str
    share: str
    key: str
    ttl: int
    is_retry: bool
    is_write: bool
    message: Any
    stream: ValueStream | None = None  # of a value that is still coming
    unread_for: int = 0  # for how long it may have lain there


@dataclass(slots=True, eq=False)
class OutgoingHop:
    """One hop that is out: what the pool has in hand."""

    tx: "OpenTx"
    number: int
    host: int
    sent_at: int
    deadline: int
    begin_by: int = 0  # 0: no matter when
    timeout: DelayedCall | None = None
    ended: bool = False
    written: bool = False  # its last byte may have left
    deferred: bool = False  # for a poll, as the process had stood still when it was decided
    connection: Any = None  # the pool's own


@dataclass(slots=True, eq=False)
class OpenTx:
    id: int
    requester: Requester
    message: Any
    hops: list[OutgoingHop] = field(default_factory=list)
    hops_in_flight: int = 0
    answered: bool = False
    stream: ValueStream | None = None  # of a value that goes through as it comes
    arrived_at: int = 0
    client_seen_at: int = 0  # when who asked was last known to be there
    ttl: int = 0
    fully_received: bool = True
    hard_limit_call: DelayedCall | None = None


class HopTransport(Protocol):
    """Takes hops to cache hosts, and tells hop_ended() of each that the dispatcher did not give up."""

    def send(self, hop: OutgoingHop) -> None: ...

    def give_up(self, hop: OutgoingHop) -> None: ...

    def listed(self, index: int, address: Address, ready: bool) -> None: ...

    def recall(self, index: int) -> None: ...

    def unlisted(self, index: int) -> None: ...


class Dispatcher:
    def __init__(
        self, clock: Clock, start: m.Config, names: NameTable, limits: Limits, decisions: type[Balancer] = Balancer
    ) -> None:
        self.clock, self.names, self.limits = clock, names, limits
        self.config = start
        self.log = LogRateLimiter(clock.seconds, limits.warning_interval).log
        self.safety = SafetyMonitor(self.now, self.log)
        self.balancer = decisions(start)
        self.decision_timer: DelayedCall | None = None  # the decisions' one
        self.random = Random(f"{start.seed}.{start.balancer_index}")
        self.pool: HopTransport
        self.process_stalled: Callable[[int], bool] = lambda now: False
        self.request_list: Callable[[], None] = lambda: None
        self.host_indices: dict[str, int] = {}
        self.members: dict[str, HostEntry] = {}  # the list as it stands
        self.missing_since: dict[str, int] = {}  # since when the list lacks them, where gone is advice
        self.cold_fraction = 1.0  # of what a cold cache host takes of this balancer
        self.short_of_sockets = False  # more cache hosts than sockets for them
        self.open_txs: dict[int, OpenTx] = {}
        self.next_tx_id = self.next_host_index = self.buffered_bytes = 0
        self.answer_deadline = 0  # at a planned end: nothing is owed an answer past this
        self.pending_events: deque[m.Event] = deque()
        self.deciding = False

    def now(self) -> int:
        return int(self.clock.seconds() * SECOND)

    def call_at(self, at: int, what: Callable[..., None], *args: Any) -> DelayedCall:
        return self.clock.callLater(max(0, at - self.now()) / SECOND, what, *args)

    def jittered(self, span: int) -> int:
        """From half to one and a half times so long: against clients, or instances, that wait equally long and meet."""
        return span // 2 + int(self.random.random() * span)

    # ---- events in, actions out ----

    def handle_event(self, event: m.Event) -> None:
        # An action may end in an event at once; it waits its turn, as decide() is not entered twice.
        self.pending_events.append(event)
        if self.deciding:
            return
        self.deciding = True
        try:
            while self.pending_events:
                self._decide(self.pending_events.popleft())
        finally:
            self.deciding = False

    def _decide(self, event: m.Event) -> None:
        # Whatever is wrong with one event, the library would close the client whose bytes brought it here.
        before, failed = self.balancer.actions, False
        try:
            actions = self.balancer.decide(self.now(), event)
        except Exception:
            self.log("ERROR", "the decisions failed on {}", type(event).__name__, trace=True)
            # What they had decided by then they count on: a hop that is not heard of again would be out for ever.
            actions, failed = self.balancer.actions if self.balancer.actions is not before else [], True
        for action in actions:
            try:
                self._apply(action)
            except Exception:
                # One that fails takes no others with it: another's answer, or the timer of all.
                self.log("ERROR", "{} failed", type(action).__name__, trace=True)
                if isinstance(action, m.SendHop):
                    self._hop_send_failed(action)
        if failed and isinstance(event, m.TxArrived):
            self._abandon(event.tx)
            self.pending_events.append(m.ClientGone(event.tx))

    def _hop_send_failed(self, a: m.SendHop) -> None:
        """A hop that could not be sent has ended, as far as anything of it is out."""
        tx = self.open_txs.get(a.tx)
        if tx is not None and tx.hops and not tx.hops[-1].ended:
            self.hop_ended(tx.hops[-1], m.HopOutcome.RESET if tx.hops[-1].written else m.HopOutcome.SKIPPED)

    def _apply(self, a: m.Action) -> None:
        if isinstance(a, m.SendHop):
            self._send_hop(a)
        elif isinstance(a, m.SetTimer):
            # A little late, as rounding may not make it early, and after the hops that end at that time.
            cancel_call(self.decision_timer)
            self.decision_timer = self.call_at(a.at + 2000, self.handle_event, m.TimerFired())
        elif isinstance(a, m.RollBack):
            tx = self.open_txs.get(a.tx)
            if tx is not None and not tx.answered:
                self._finish_tx(tx)
                self.safety.record_request_refusal(RequestRefusal.DECISIONS, tx.requester.id)
                tx.requester.roll_back(a.backoff)
        elif isinstance(a, m.Abandon):
            self._abandon(a.tx)
        elif isinstance(a, m.CancelHop):
            tx = self.open_txs.get(a.tx)
            if tx is not None and not tx.hops[a.hop].ended:
                self._give_up_hop(tx.hops[a.hop], m.HopOutcome.CANCELLED)
        else:
            self.request_list()

    # ---- a transaction ----

    def tx_arrived(self, arrival: IncomingTx, asker: Requester) -> int:
        """Takes a transaction; the asker is answered once, maybe before this returns. -1: no such profile."""
        profile = self.names.profiles.get(arrival.profile)
        if profile is None:
            return -1
        tx = OpenTx(
            self.next_tx_id,
            asker,
            arrival.message,
            stream=arrival.stream,
            arrived_at=self.now(),
            fully_received=arrival.stream is None,
        )
        self.next_tx_id += 1
        if len(self.open_txs) >= self.limits.open_txs or self.buffered_bytes > self.limits.buffered_bytes:
            self.safety.record_request_refusal(RequestRefusal.REQUESTS, asker.id)
            asker.roll_back(self.jittered(self.limits.retry_after))
            return tx.id
        tx.client_seen_at = tx.arrived_at - arrival.unread_for
        self.open_txs[tx.id] = tx
        self.buffered_bytes += arrival.message.size()
        ttl, again = arrival.ttl, arrival.is_retry
        if self.answer_deadline and self.now() + ttl > self.answer_deadline:
            # Cut by us and not by the client, so it tells nothing of how long a repeat has waited.
            ttl, again = max(0, self.answer_deadline - self.now()), False
        tx.ttl = ttl
        if tx.fully_received:
            # The decisions answer in time; this is against one that they forget.
            tx.hard_limit_call = self.call_at(self.now() + ttl, self._hard_limit_passed, tx)
        self.handle_event(
            m.TxArrived(
                tx.id,
                profile,
                self.names.shares.get(arrival.share, -1),
                arrival.key,
                ttl,
                again,
                arrival.is_write,
                tx.fully_received,
            )
        )
        return tx.id

    def tx_fully_received(self, number: int) -> None:
        """The last byte of one that is going through has come: from here on its times run."""
        tx = self.open_txs.get(number)
        if tx is None or tx.answered or tx.fully_received:
            return
        tx.fully_received, now = True, self.now()
        tx.hard_limit_call = self.call_at(now + tx.ttl, self._hard_limit_passed, tx)
        for hop in tx.hops:
            if not hop.ended:
                hop.sent_at, hop.deadline = now, hop.deadline + now - tx.arrived_at
                self._start_timeout(hop)
        self.handle_event(m.TxFullyReceived(tx.id))

    def client_gone(self, number: int) -> None:
        """The client has gone away: no answer is owed any more."""
        tx = self.open_txs.get(number)
        if tx is not None and not tx.answered:
            self._finish_tx(tx)
            if not tx.fully_received:
                # The rest of it never comes, whatever may be cancelled: what is half written is cut off.
                for hop in [hop for hop in tx.hops if not hop.ended]:
                    self._give_up_hop(hop, m.HopOutcome.CANCELLED)
            self.handle_event(m.ClientGone(number))

    def _hard_limit_passed(self, tx: OpenTx) -> None:
        if not tx.answered:
            self.log("ERROR", "a transaction was not answered by its hard limit")
            self._abandon(tx.id)
            self.handle_event(m.ClientGone(tx.id))

    def _abandon(self, number: int) -> None:
        tx = self.open_txs.get(number)
        if tx is not None and not tx.answered:
            self._finish_tx(tx)
            tx.requester.abandon()

    def _finish_tx(self, tx: OpenTx) -> None:
        tx.answered = True
        cancel_call(tx.hard_limit_call)
        self.buffered_bytes -= tx.message.size()
        if not tx.hops_in_flight:
            del self.open_txs[tx.id]

    # ---- a hop ----

    def _send_hop(self, a: m.SendHop) -> None:
        tx, now = self.open_txs.get(a.tx), self.now()
        if tx is None:
            return
        hop = OutgoingHop(tx, len(tx.hops), a.host, now, a.deadline, a.begin_by)
        tx.hops.append(hop)
        tx.hops_in_flight += 1
        if tx.answered or hop.number >= self.config.max_hops or a.deadline <= now:
            self.hop_ended(hop, m.HopOutcome.SKIPPED)
            return
        if tx.fully_received:
            self._start_timeout(hop)
        if self.process_stalled(now):
            hop.deferred = True
            # What discovery told meanwhile counts as told, and may come after this, in this turn or with the next poll
            # (one that was stopped as it came back tells of what came first alone): the loop polls between two calls.
            self.clock.callLater(0, self.clock.callLater, 0, self._send_deferred, hop)
        else:
            self.pool.send(hop)

    def _send_deferred(self, hop: OutgoingHop) -> None:
        if not hop.ended:
            self.pool.send(hop)

    def may_begin(self, hop: OutgoingHop) -> bool:
        """The last question before the first byte of a hop, as what was decided may have waited for a dial or a place.

        Nothing more of a tx that has its answer, also where hops may not be cancelled; no repeat past the time for
        which it is known as one; and nothing for a client that has gone, of which a loop that is behind, or that reads
        no more of it for now, has not been told.
        """
        attempt = Attempt(
            hop.tx.answered,
            hop.tx.fully_received,
            hop.deadline,
            hop.begin_by,
            stale=not hop.deferred and self.process_stalled(self.now()),
        )
        return self.safety.may_begin(attempt, lambda: self._client_left(hop.tx), hop.tx.requester.id) is None

    def _client_left(self, tx: OpenTx) -> bool:
        """Whether the client has gone, as far as the system knows."""
        now = self.now()
        if now - tx.client_seen_at <= self.limits.presence_check_after:
            return False
        if tx.requester.has_left():
            self.client_gone(tx.id)
            return True
        tx.client_seen_at = now
        return False

    def _start_timeout(self, hop: OutgoingHop) -> None:
        hop.timeout = self.call_at(hop.deadline + 1000, self._give_up_hop, hop, m.HopOutcome.TIMED_OUT)

    def _give_up_hop(self, hop: OutgoingHop, end: m.HopOutcome) -> None:
        hop.ended = True
        self.pool.give_up(hop)
        if not hop.written:
            # It has provably not run, whatever kept it; that its client went tells nothing of the cache host.
            end = m.HopOutcome.SKIPPED if end is m.HopOutcome.CANCELLED else m.HopOutcome.UNREACHABLE
        self._finish_hop(hop, end)

    def hop_ended(self, hop: OutgoingHop, end: m.HopOutcome, answer: Any = None, note: int = 0) -> None:
        """From the pool; what comes after the end, as a late answer, is dropped."""
        if not hop.ended:
            hop.ended = True
            self._finish_hop(hop, end, answer, note)

    def _finish_hop(self, hop: OutgoingHop, end: m.HopOutcome, answer: Any = None, note: int = 0) -> None:
        cancel_call(hop.timeout)
        tx = hop.tx
        tx.hops_in_flight -= 1
        if end is m.HopOutcome.DONE and not tx.answered:
            self._finish_tx(tx)
            tx.requester.commit(answer)
        else:
            if isinstance(answer, ValueStream):
                answer.discard()  # another hop was first, or nobody waits any more
            if tx.answered and not tx.hops_in_flight:
                self.open_txs.pop(tx.id, None)
        self.handle_event(m.HopEnded(tx.id, hop.number, end, self.now() - hop.sent_at, tx.answered, note))

    # ---- figures and the list ----

    def reconfigure(self, start: m.Config, names: NameTable, limits: Limits) -> None:
        """Other profiles, rules or limits from now on; what is open ends by those that it was taken with."""
        self.config, self.names, self.limits = start, names, limits
        self.handle_event(start)

    def update_hosts(self, whole: bool, members: tuple[HostEntry, ...]) -> None:
        doubted: tuple[m.ListedHost, ...] = ()
        if self.config.gone_is_advisory:
            members, doubted = self._split_advisory(whole, members)
            whole = False
        gone = {member.id for member in members if member.status is m.HostStatus.GONE} & self.host_indices.keys()
        if whole:
            gone |= self.host_indices.keys() - {member.id for member in members}
        # One that is gone and never was known here is nobody's: ids are ever new, and would be kept for ever.
        members = tuple(x for x in members if x.status is not m.HostStatus.GONE or x.id in gone)
        lines = tuple(self._listed_host(member) for member in members)
        for line, member in zip(lines, members, strict=True):
            self.pool.listed(line.host, member.address, line.status is m.HostStatus.READY)
        if whole:
            self.members = {}
        self.members.update((member.id, member) for member in members)
        for name in gone:
            self.members.pop(name, None)
        self._check_host_sockets()
        self.handle_event(m.ListChanged(whole, lines + doubted))
        # Only now, as what comes back is sent elsewhere by what the decisions know.
        for line in lines:
            self.pool.recall(line.host)
        for name in sorted(gone):
            self.pool.unlisted(self.host_indices.pop(name))

    def _check_host_sockets(self) -> None:
        """Once for each time that it comes about: it goes on with fewer, each closed for the next as need be."""
        room = self.limits.sockets - self.limits.clients
        if (len(self.host_indices) > room) != self.short_of_sockets:
            self.short_of_sockets = not self.short_of_sockets
            if self.short_of_sockets:
                logger.warning("more cache hosts than sockets for them: {} and {}", len(self.host_indices), room)

    def _split_advisory(
        self, whole: bool, members: tuple[HostEntry, ...]
    ) -> tuple[tuple[HostEntry, ...], tuple[m.ListedHost, ...]]:
        """Where gone is advice: what the list names, and lines for what it lacks or calls gone.

        The decisions are told of those; here they stay as they are, and can be reached, until they are forgotten.
        """
        named = {x.id for x in members if x.status is not m.HostStatus.GONE}
        lacks = ({x.id for x in members} - named) & self.host_indices.keys() | (
            self.host_indices.keys() - named if whole else set()
        )
        for name in named:
            self.missing_since.pop(name, None)
        if lacks and not self.missing_since:
            self.call_at(self.now() + FORGET_HOST_AFTER_NS + SECOND, self._remove_missing)
        for name in lacks:
            self.missing_since.setdefault(name, self.now())
        lines = tuple(
            replace(self._listed_host(self.members[name]), status=m.HostStatus.GONE) for name in sorted(lacks)
        )
        return tuple(x for x in members if x.id in named), lines

    def _remove_missing(self) -> None:
        """Hosts that the list has lacked for so long that the decisions have forgotten them."""
        before = self.now() - FORGET_HOST_AFTER_NS - SECOND
        for name in [name for name, since in self.missing_since.items() if since <= before]:
            del self.missing_since[name], self.members[name]
            self.pool.unlisted(self.host_indices.pop(name))
        if self.missing_since:
            self.call_at(min(self.missing_since.values()) + FORGET_HOST_AFTER_NS + SECOND, self._remove_missing)

    def set_cold_fraction(self, part: float) -> None:
        """Another process of this balancer sends to the same cache hosts, or does no more."""
        if part != self.cold_fraction:
            self.cold_fraction = part
            self.update_hosts(True, tuple(self.members.values()))

    def _listed_host(self, member: HostEntry) -> m.ListedHost:
        # The id stands for the host: it is the same at every balancer, where the address may differ.
        if member.id not in self.host_indices:
            self.host_indices[member.id] = self.next_host_index
            self.next_host_index += 1
        return m.ListedHost(
            host=self.host_indices[member.id],
            address=member.id,
            zone=self.names.zones.get(member.zone, -1),
            kind=self.names.kinds.get(member.kind, -1),
            cell=member.cell,
            status=member.status,
            weight=member.weight,
            started_at=member.started_at,
            cold_fraction=member.cold_fraction * self.cold_fraction,
        )
