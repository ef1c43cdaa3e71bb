"""The dispatcher: connects a frontend, the routing decisions and the connections to cache hosts.

It assigns indices, turns arrivals and results into events for the decisions, and carries out the actions and the timer
that they return. A frontend submits transactions and receives one answer for each through its Requester; the pool sends
hops and reports how each ended. The module knows no protocol, so that different frontends can use it.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, NamedTuple, Protocol

from loguru import logger

from ternquay import model as m
from ternquay.balance import FORGET_HOST_AFTER_NS, Balancer
from ternquay.facts import NameTable
from ternquay.net.limits import SECOND, Limits
from ternquay.net.listing import Address, HostEntry
from ternquay.net.log_limiter import LogRateLimiter
from ternquay.net.request_ids import RequestIds
from ternquay.net.safety import Attempt, AttemptRefusal, RequestRefusal, SafetyMonitor
from ternquay.net.value_stream import StreamBudget, ValueStream

# Returned in place of the id of a transaction that is not accepted.
UNKNOWN_PROFILE = -1
KNOWN_REQUEST_ID = -2


class DelayedCall(Protocol):
    """A call that the reactor will make."""

    def active(self) -> bool: ...

    def cancel(self) -> None: ...


class Clock(Protocol):
    """The part of the reactor that keeps time."""

    def seconds(self) -> float: ...

    def callLater(self, delay: float, callable: Callable[..., object], *args: Any) -> DelayedCall: ...


def cancel_call(call: DelayedCall | None) -> None:
    """Cancels a delayed call that is still pending; does nothing otherwise."""
    if call is not None and call.active():
        call.cancel()


class Requester(Protocol):
    """The client side of a transaction: receives exactly one of commit, roll_back and abandon."""

    def commit(self, answer: Any) -> None: ...

    def roll_back(self, wait: int) -> None: ...

    def abandon(self) -> None: ...

    def id(self) -> str:
        """Returns the request id that the client assigned."""
        ...

    def has_left(self) -> bool:
        """Whether the client has disconnected, according to the operating system. The loop may not know yet."""
        ...

    def client_seen_at(self) -> int:
        """Returns the latest time at which the client had surely not disconnected, unless has_left()."""
        ...


class TimeLimits(NamedTuple):
    """The time limits of a profile, in nanoseconds."""

    service_goal: int
    hard_limit: int


@dataclass(slots=True, frozen=True)
class IncomingTx:
    """A transaction as a frontend submits it. Times are integer nanoseconds."""

    profile: str
    share: str
    key: str
    ttl: int
    is_retry: bool
    is_write: bool
    message: Any
    stream: ValueStream | None = None  # a value that is still arriving
    client_seen_at: int = 0  # when its client was last known to be connected


@dataclass(slots=True, eq=False)
class OutgoingHop:
    """A hop that was handed to the pool. Times are integer nanoseconds."""

    tx: "OpenTx"
    number: int
    host: int
    sent_at: int
    deadline: int
    begin_by: int = 0  # 0: no bound
    timeout: DelayedCall | None = None
    ended: bool = False
    written: bool = False  # its last byte may have been sent
    deferred: bool = False  # waited for the next poll, because the process had stalled when it was decided on
    connection: Any = None  # owned by the pool


@dataclass(slots=True, eq=False)
class OpenTx:
    """A transaction that is unanswered or has hops in flight."""

    id: int
    requester: Requester
    message: Any
    hops: list[OutgoingHop] = field(default_factory=list)
    hops_in_flight: int = 0
    answered: bool = False
    stream: ValueStream | None = None  # a value that is forwarded as it arrives
    arrived_at: int = 0
    client_seen_at: int = 0  # when the client was last known to be connected
    ttl: int = 0
    fully_received: bool = True
    hard_limit_call: DelayedCall | None = None


class HopTransport(Protocol):
    """Sends hops to cache hosts. Calls hop_ended() for each hop that the dispatcher did not give up."""

    def send(self, hop: OutgoingHop) -> None: ...

    def give_up(self, hop: OutgoingHop) -> None: ...

    def update_host(self, index: int, address: Address, ready: bool) -> None:
        """Adds a host or updates its address. `ready`: new hops may be sent to it."""
        ...

    def return_unsent_hops(self, index: int) -> None:
        """Ends hops that were not started as SKIPPED, where their host drains or has another address."""
        ...

    def remove_host(self, index: int) -> None:
        """Removes a host that is gone."""
        ...


class Dispatcher:
    """Routes the transactions of one balancer or tenant: feeds the decisions events and carries out their actions."""

    def __init__(
        self, clock: Clock, config: m.Config, names: NameTable, limits: Limits, decisions: type[Balancer] = Balancer
    ) -> None:
        self.clock, self.names, self.limits = clock, names, limits
        self.config = config
        self.log = LogRateLimiter(clock.seconds, limits.warning_interval).log
        self.safety = SafetyMonitor(self.now, self.log)
        self.request_ids = RequestIds()
        self.streams = StreamBudget(limits.buffered_bytes, limits.chunk_bytes)
        self.balancer = decisions(config)
        self.decision_timer: DelayedCall | None = None  # the decisions have a single timer
        self.random = Random(f"{config.seed}.{config.balancer_index}")
        self.pool: HopTransport
        self.process_stalled: Callable[[int], bool] = lambda now: False
        self.request_list: Callable[[], None] = lambda: None
        self.host_indices: dict[str, int] = {}
        self.host_entries: dict[str, HostEntry] = {}  # the current host list, by host id
        self.missing_since: dict[str, int] = {}  # when hosts left the list, if the list is only advisory about that
        self.cold_fraction = 1.0  # the part of this balancer's cold budget that this process may use
        self.short_of_sockets = False  # there are more cache hosts than sockets for them
        self.open_txs: dict[int, OpenTx] = {}
        self.next_tx_id = self.next_host_index = self.buffered_bytes = 0
        self.answer_deadline = 0  # at a planned shutdown, the time by which every transaction is answered; 0: none
        self.pending_events: deque[m.Event] = deque()
        self.deciding = False

    def now(self) -> int:
        """Returns the time in nanoseconds on the reactor's monotonic clock."""
        return int(self.clock.seconds() * SECOND)

    def call_at(self, at: int, callback: Callable[..., None], *args: Any) -> DelayedCall:
        """Schedules a call for the time `at`, in nanoseconds."""
        return self.clock.callLater(max(0, at - self.now()) / SECOND, callback, *args)

    def jittered(self, span: int) -> int:
        """Returns a random duration between 0.5 and 1.5 times `span`, so that clients or processes do not retry at
        the same time."""
        return span // 2 + int(self.random.random() * span)

    # ---- events and actions ----

    def handle_event(self, event: m.Event) -> None:
        """Passes an event to the decisions and carries out the actions that they return."""
        # An action may cause another event immediately. It is queued, because decide() is not reentrant.
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
        # Exceptions are caught here: Twisted would close the client connection whose data caused the event.
        before, failed = self.balancer.actions, False
        try:
            actions = self.balancer.decide(self.now(), event)
        except Exception:
            self.log("ERROR", "the routing decisions failed on event {}", type(event).__name__, trace=True)
            # The decisions expect the actions made before the failure to run; a hop that is not sent would never end.
            actions, failed = self.balancer.actions if self.balancer.actions is not before else [], True
        for action in actions:
            try:
                self._apply(action)
            except Exception:
                # A failed action must not prevent the others, such as another client's answer or the timer.
                self.log("ERROR", "action {} failed", type(action).__name__, trace=True)
                if isinstance(action, m.SendHop):
                    self._hop_send_failed(action)
        if failed and isinstance(event, m.TxArrived):
            self._abandon(event.tx)
            self.pending_events.append(m.ClientGone(event.tx))

    def _hop_send_failed(self, action: m.SendHop) -> None:
        """Ends a hop whose sending failed: RESET if it was written, else SKIPPED."""
        tx = self.open_txs.get(action.tx)
        if tx is not None and tx.hops and not tx.hops[-1].ended:
            self.hop_ended(tx.hops[-1], m.HopOutcome.RESET if tx.hops[-1].written else m.HopOutcome.SKIPPED)

    def _apply(self, action: m.Action) -> None:
        if isinstance(action, m.SendHop):
            self._send_hop(action)
        elif isinstance(action, m.SetTimer):
            # 2 us late: rounding must not make it early, and hops that time out at the same moment end first.
            cancel_call(self.decision_timer)
            self.decision_timer = self.call_at(action.at + 2000, self.handle_event, m.TimerFired())
        elif isinstance(action, m.RollBack):
            tx = self.open_txs.get(action.tx)
            if tx is not None and not tx.answered:
                self._finish_tx(tx)
                self.safety.record_request_refusal(RequestRefusal.DECISIONS, tx.requester.id)
                tx.requester.roll_back(action.backoff)
        elif isinstance(action, m.Abandon):
            self._abandon(action.tx)
        elif isinstance(action, m.CancelHop):
            tx = self.open_txs.get(action.tx)
            if tx is not None and not tx.hops[action.hop].ended:
                self._give_up_hop(tx.hops[action.hop], m.HopOutcome.CANCELLED)
        else:
            self.request_list()

    # ---- transactions ----

    def needs_idempotency_key(self, profile: str) -> bool:
        """Whether a write of this profile is known by its key, without which a repeat could run twice."""
        settings = self._profile_settings(profile)
        return settings is not None and settings.semantics is m.Semantics.JOURNALLED

    def is_idempotent(self, profile: str) -> bool:
        """Whether a transaction of this profile may run again."""
        settings = self._profile_settings(profile)
        return settings is not None and settings.semantics is m.Semantics.IDEMPOTENT

    def time_limits(self, profile: str) -> TimeLimits:
        """Returns the time limits of a transaction of this profile, 0 if there is no such profile."""
        settings = self._profile_settings(profile)
        return TimeLimits(settings.service_goal, settings.hard_limit) if settings is not None else TimeLimits(0, 0)

    def _profile_settings(self, profile: str) -> m.Profile | None:
        index = self.names.profiles.get(profile)
        return self.config.profiles[index] if index is not None else None

    def tx_arrived(self, arrival: IncomingTx, requester: Requester) -> int:
        """Accepts a transaction and returns its id, or UNKNOWN_PROFILE or KNOWN_REQUEST_ID.

        The requester of an accepted one receives one answer, possibly before this method returns.
        """
        profile = self.names.profiles.get(arrival.profile)
        if profile is None:
            return UNKNOWN_PROFILE
        tx = OpenTx(
            self.next_tx_id,
            requester,
            arrival.message,
            stream=arrival.stream,
            arrived_at=self.now(),
            fully_received=arrival.stream is None,
        )
        self.next_tx_id += 1
        if len(self.open_txs) >= self.limits.open_txs or self.buffered_bytes > self.limits.buffered_bytes:
            self.safety.record_request_refusal(RequestRefusal.REQUESTS, requester.id)
            requester.roll_back(self.jittered(self.limits.retry_after))
            return tx.id
        if not self.request_ids.claim(requester.id(), tx.arrived_at, arrival.ttl):
            self.safety.record_known_request_id(requester.id)
            return KNOWN_REQUEST_ID
        tx.client_seen_at = arrival.client_seen_at
        self.open_txs[tx.id] = tx
        self.buffered_bytes += arrival.message.size() + self.limits.tx_bytes
        ttl, is_retry = arrival.ttl, arrival.is_retry
        if self.answer_deadline and self.now() + ttl > self.answer_deadline:
            # This process shortens the time, not the client, so it says nothing about how long a retry has waited.
            ttl, is_retry = max(0, self.answer_deadline - self.now()), False
        tx.ttl = ttl
        if tx.fully_received:
            # The decisions answer in time; this call handles a transaction that they lose track of.
            tx.hard_limit_call = self.call_at(self.now() + ttl, self._hard_limit_passed, tx)
        self.handle_event(
            m.TxArrived(
                tx.id,
                profile,
                self.names.shares.get(arrival.share, -1),
                arrival.key,
                ttl,
                is_retry,
                arrival.is_write,
                tx.fully_received,
            )
        )
        return tx.id

    def tx_fully_received(self, tx_id: int, unread: int) -> None:
        """The last byte of a streamed transaction was read. Its time limits start `unread` nanoseconds earlier."""
        tx = self.open_txs.get(tx_id)
        if tx is None or tx.answered or tx.fully_received:
            return
        tx.fully_received, now = True, self.now()
        due = now + tx.ttl - unread
        if self.answer_deadline:
            due = min(due, self.answer_deadline)
        tx.hard_limit_call = self.call_at(due, self._hard_limit_passed, tx)
        for hop in tx.hops:
            if not hop.ended:
                hop.sent_at, hop.deadline = now, hop.deadline + now - tx.arrived_at - unread
                self._start_timeout(hop)
        self.handle_event(m.TxFullyReceived(tx.id, unread))

    def value_overdue(self, tx_id: int) -> None:
        """Refuses a streamed transaction whose value was held back for as long as its client waits. It has not run."""
        tx = self.open_txs.get(tx_id)
        if tx is None or tx.answered or tx.fully_received:
            return
        self._finish_tx(tx)
        self._cut_off_hops(tx)
        self.safety.record_request_refusal(RequestRefusal.VALUE_HELD, tx.requester.id)
        tx.requester.roll_back(self.jittered(self.limits.retry_after))
        self.handle_event(m.ClientGone(tx_id))

    def _cut_off_hops(self, tx: OpenTx) -> None:
        """Ends partly written hops, whose value will not go on, even where none may be cancelled."""
        for hop in [hop for hop in tx.hops if not hop.ended]:
            self._give_up_hop(hop, m.HopOutcome.CANCELLED)

    def answer_all_by(self, deadline: int, values_by: int) -> None:
        """At a planned shutdown: no transaction is open after the deadline, whatever time its client has left.

        One whose value has not arrived by `values_by` is refused then, which leaves time for what is unread behind it.
        """
        self.answer_deadline = deadline
        self.call_at(values_by, self._refuse_arriving_values)
        self.call_at(deadline, self._answer_open_txs)

    def _refuse_arriving_values(self) -> None:
        for tx in [tx for tx in self.open_txs.values() if not tx.fully_received]:
            self.value_overdue(tx.id)

    def _answer_open_txs(self) -> None:
        """Answers all open transactions: a retry is promised to be harmless only if no hop may have run."""
        for tx in [tx for tx in self.open_txs.values() if not tx.answered]:
            if not tx.fully_received:
                self.value_overdue(tx.id)
            elif any(hop.written for hop in tx.hops):
                self._abandon(tx.id)
                self.handle_event(m.ClientGone(tx.id))
            else:
                self._finish_tx(tx)
                tx.requester.roll_back(self.jittered(self.limits.retry_after))
                self.handle_event(m.ClientGone(tx.id))

    def client_gone(self, tx_id: int) -> None:
        """The client disconnected: the transaction needs no answer any more."""
        tx = self.open_txs.get(tx_id)
        if tx is not None and not tx.answered:
            self._finish_tx(tx)
            if not tx.fully_received:
                self._cut_off_hops(tx)
            self.handle_event(m.ClientGone(tx_id))

    def _hard_limit_passed(self, tx: OpenTx) -> None:
        if not tx.answered:
            self.log("ERROR", "a transaction was not answered by its hard limit")
            self._abandon(tx.id)
            self.handle_event(m.ClientGone(tx.id))

    def _abandon(self, tx_id: int) -> None:
        tx = self.open_txs.get(tx_id)
        if tx is not None and not tx.answered:
            self._finish_tx(tx)
            tx.requester.abandon()

    def _finish_tx(self, tx: OpenTx) -> None:
        tx.answered = True
        cancel_call(tx.hard_limit_call)
        self.buffered_bytes -= tx.message.size() + self.limits.tx_bytes
        if not any(hop.written for hop in tx.hops):
            self.request_ids.forget(tx.requester.id())
        if not tx.hops_in_flight:
            del self.open_txs[tx.id]

    # ---- hops ----

    def _send_hop(self, action: m.SendHop) -> None:
        tx, now = self.open_txs.get(action.tx), self.now()
        if tx is None:
            return
        hop = OutgoingHop(tx, len(tx.hops), action.host, now, action.deadline, action.begin_by)
        tx.hops.append(hop)
        tx.hops_in_flight += 1
        if tx.answered or hop.number >= self.config.max_hops or action.deadline <= now:
            self.hop_ended(hop, m.HopOutcome.SKIPPED)
            return
        if tx.fully_received:
            self._start_timeout(hop)
        if self.process_stalled(now):
            hop.deferred = True
            # A host list that discovery sent during the stall counts as delivered. It may be read later in this
            # iteration or after the next poll (a poll that was interrupted reports only the earliest input). The loop
            # polls between two delayed calls, so the hop waits for two.
            self.clock.callLater(0, self.clock.callLater, 0, self._send_deferred, hop)
        else:
            self.pool.send(hop)

    def _send_deferred(self, hop: OutgoingHop) -> None:
        if not hop.ended:
            self.pool.send(hop)

    def may_begin(self, hop: OutgoingHop) -> bool:
        """Whether the first byte of a hop may be written. Asked last, as the hop may have waited for a connection.

        Refuses hops of a transaction that is answered (even where hops may not be cancelled), repeats that cache hosts
        may no longer recognise, and hops for a client that has disconnected. The loop may not have noticed the
        disconnect yet, if it is late or reads no more from that client for now.
        """
        attempt = Attempt(
            hop.tx.answered,
            hop.tx.fully_received,
            hop.deadline,
            hop.begin_by,
            stale=not hop.deferred and self.process_stalled(self.now()),
        )
        return self.safety.may_begin(attempt, lambda: self._presence_refusal(hop.tx), hop.tx.requester.id) is None

    def _presence_refusal(self, tx: OpenTx) -> AttemptRefusal | None:
        """Returns why nothing may begin for this client: it has disconnected, or it may have."""
        now = self.now()
        if now - tx.client_seen_at <= self.limits.presence_check_after:
            return None
        if tx.requester.has_left():
            self.client_gone(tx.id)
            return AttemptRefusal.DEPARTED
        tx.client_seen_at = max(tx.client_seen_at, tx.requester.client_seen_at())
        if tx.fully_received and now - tx.client_seen_at > self.limits.presence_check_after:
            return AttemptRefusal.UNSEEN
        return None

    def _start_timeout(self, hop: OutgoingHop) -> None:
        hop.timeout = self.call_at(hop.deadline + 1000, self._give_up_hop, hop, m.HopOutcome.TIMED_OUT)

    def _give_up_hop(self, hop: OutgoingHop, outcome: m.HopOutcome) -> None:
        hop.ended = True
        self.pool.give_up(hop)
        if not hop.written:
            # It has provably not run. A client that disconnected says nothing about the cache host, hence SKIPPED.
            outcome = m.HopOutcome.SKIPPED if outcome is m.HopOutcome.CANCELLED else m.HopOutcome.UNREACHABLE
        self._finish_hop(hop, outcome)

    def hop_ended(self, hop: OutgoingHop, outcome: m.HopOutcome, answer: Any = None, cache_result: int = 0) -> None:
        """Called by the pool when a hop ends. Ignores a hop that has already ended, such as a late answer."""
        if not hop.ended:
            hop.ended = True
            self._finish_hop(hop, outcome, answer, cache_result)

    def _finish_hop(self, hop: OutgoingHop, outcome: m.HopOutcome, answer: Any = None, cache_result: int = 0) -> None:
        cancel_call(hop.timeout)
        tx = hop.tx
        tx.hops_in_flight -= 1
        if outcome is m.HopOutcome.DONE and not tx.answered:
            self._finish_tx(tx)
            tx.requester.commit(answer)
        else:
            if isinstance(answer, ValueStream):
                answer.discard()  # another hop answered first, or the client no longer waits
            if tx.answered and not tx.hops_in_flight:
                self.open_txs.pop(tx.id, None)
        self.handle_event(m.HopEnded(tx.id, hop.number, outcome, self.now() - hop.sent_at, tx.answered, cache_result))

    # ---- configuration and host list ----

    def reconfigure(self, config: m.Config, names: NameTable, limits: Limits) -> None:
        """Replaces profiles, rules and limits. Open transactions keep the time limits that they started with."""
        self.config, self.names, self.limits = config, names, limits
        self.streams.total_bytes, self.streams.max_piece_bytes = limits.buffered_bytes, limits.chunk_bytes
        self.handle_event(config)

    def update_hosts(self, complete: bool, members: tuple[HostEntry, ...]) -> None:
        """Applies a host list. `complete`: hosts that it does not name are gone; else it holds only changes."""
        missing: tuple[m.ListedHost, ...] = ()
        members = self._retire_superseded(complete, members)
        if self.config.gone_is_advisory:
            members, missing = self._split_advisory(complete, members)
            complete = False
        gone = {member.id for member in members if member.status is m.HostStatus.GONE} & self.host_indices.keys()
        if complete:
            gone |= self.host_indices.keys() - {member.id for member in members}
        # Ignore entries for hosts that are gone and were never known: ids are not reused and would accumulate.
        members = tuple(x for x in members if x.status is not m.HostStatus.GONE or x.id in gone)
        entries = tuple(self._listed_host(member) for member in members)
        for entry, member in zip(entries, members, strict=True):
            self.pool.update_host(entry.host, member.address, entry.status is m.HostStatus.READY)
        if complete:
            self.host_entries = {}
        self.host_entries.update((member.id, member) for member in members)
        for name in gone:
            self.host_entries.pop(name, None)
        self._check_host_sockets()
        self.handle_event(m.ListChanged(complete, entries + missing))
        # After the event: the decisions route returned hops anew, so they have to know the new list first.
        for entry in entries:
            self.pool.return_unsent_hops(entry.host)
        for name in sorted(gone):
            self.pool.remove_host(self.host_indices.pop(name))

    def _retire_superseded(self, complete: bool, members: tuple[HostEntry, ...]) -> tuple[HostEntry, ...]:
        """Returns the entries with those as draining whose address belongs to a host that started later.

        The process at the address is the new one, even if the list still names the old host: work for the old one would
        reach a cold cache host, or one that does not recognise repeats.
        """
        current = {} if complete else dict(self.host_entries)
        current.update((member.id, member) for member in members)
        newest: dict[Address, tuple[bool, int, bool]] = {}
        for entry in current.values():
            if entry.status is not m.HostStatus.GONE:
                order = self._start_order(entry)
                newest[entry.address] = max(newest.get(entry.address, order), order)
        retired = {
            entry.id: replace(entry, status=m.HostStatus.DRAINING)
            for entry in current.values()
            if entry.status is m.HostStatus.READY and self._start_order(entry) < newest[entry.address]
        }
        if not retired:
            return members
        return tuple(member for member in members if member.id not in retired) + tuple(retired.values())

    def _start_order(self, entry: HostEntry) -> tuple[bool, int, bool]:
        """Orders hosts at one address by their start, long ago first, and by whether they are new where it is equal."""
        # A start time on this clock may be negative: the host has run for longer than this machine.
        return entry.started_at != 0, entry.started_at, entry.id not in self.host_indices

    def _check_host_sockets(self) -> None:
        """Warns once each time that the hosts outnumber their sockets. Idle connections are then closed for others."""
        room = self.limits.sockets - self.limits.clients
        if (len(self.host_indices) > room) != self.short_of_sockets:
            self.short_of_sockets = not self.short_of_sockets
            if self.short_of_sockets:
                logger.warning("more cache hosts than sockets for them: {} and {}", len(self.host_indices), room)

    def _split_advisory(
        self, complete: bool, members: tuple[HostEntry, ...]
    ) -> tuple[tuple[HostEntry, ...], tuple[m.ListedHost, ...]]:
        """Splits a list whose removals are advisory: the entries that it names, and entries for hosts that it lacks.

        The latter, reported as gone, go to the decisions only. The dispatcher keeps those hosts reachable until the
        decisions have forgotten them.
        """
        named = {x.id for x in members if x.status is not m.HostStatus.GONE}
        lacking = ({x.id for x in members} - named) & self.host_indices.keys() | (
            self.host_indices.keys() - named if complete else set()
        )
        for name in named:
            self.missing_since.pop(name, None)
        if lacking and not self.missing_since:
            self.call_at(self.now() + FORGET_HOST_AFTER_NS + SECOND, self._remove_missing)
        for name in lacking:
            self.missing_since.setdefault(name, self.now())
        entries = tuple(
            replace(self._listed_host(self.host_entries[name]), status=m.HostStatus.GONE) for name in sorted(lacking)
        )
        return tuple(x for x in members if x.id in named), entries

    def _remove_missing(self) -> None:
        """Removes hosts that have been missing from the list for so long that the decisions have forgotten them."""
        before = self.now() - FORGET_HOST_AFTER_NS - SECOND
        for name in [name for name, since in self.missing_since.items() if since <= before]:
            del self.missing_since[name], self.host_entries[name]
            self.pool.remove_host(self.host_indices.pop(name))
        if self.missing_since:
            self.call_at(min(self.missing_since.values()) + FORGET_HOST_AFTER_NS + SECOND, self._remove_missing)

    def set_cold_fraction(self, fraction: float) -> None:
        """Called when another process of this balancer starts or stops sending to the same cache hosts."""
        if fraction != self.cold_fraction:
            self.cold_fraction = fraction
            self.update_hosts(True, tuple(self.host_entries.values()))

    def _listed_host(self, member: HostEntry) -> m.ListedHost:
        # The id serves as the address: it is the same at every balancer, while addresses may differ.
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
