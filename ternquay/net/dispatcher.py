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
from ternquay.balance import FORGET, Balancer
from ternquay.facts import Names
from ternquay.net.flow import Flow
from ternquay.net.limits import SECOND, Limits
from ternquay.net.listing import Address, Member
from ternquay.net.log_limiter import LogRateLimiter
from ternquay.net.safety import Attempt, RequestRefusal, SafetyMonitor


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

    def left(self) -> bool:
        """Whether it has gone, as far as the system knows: it may not have been read yet."""
        ...


@dataclass(slots=True, frozen=True)
class IncomingTx:
    profile: str
    share: str
    key: str
    ttl: int
    again: bool
    write: bool
    message: Any
    flow: Flow | None = None  # of a value that is still coming
    unread: int = 0  # for how long it may have lain there


@dataclass(slots=True, eq=False)
class OutgoingHop:
    """One hop that is out: what the pool has in hand."""

    tx: "OpenTx"
    number: int
    host: int
    sent: int
    not_past: int
    begin_by: int = 0  # 0: no matter when
    call: DelayedCall | None = None
    ended: bool = False
    written: bool = False  # its last byte may have left
    waited: bool = False  # for a poll, as the process had stood still when it was decided
    connection: Any = None  # the pool's own


@dataclass(slots=True, eq=False)
class OpenTx:
    id: int
    requester: Requester
    message: Any
    hops: list[OutgoingHop] = field(default_factory=list)
    out: int = 0
    answered: bool = False
    flow: Flow | None = None  # of a value that goes through as it comes
    came: int = 0
    seen: int = 0  # when who asked was last known to be there
    ttl: int = 0
    whole: bool = True
    call: DelayedCall | None = None


class HopTransport(Protocol):
    """Takes hops to cache hosts, and tells hop_ended() of each that the dispatcher did not give up."""

    def send(self, hop: OutgoingHop) -> None: ...

    def give_up(self, hop: OutgoingHop) -> None: ...

    def listed(self, index: int, address: Address, ready: bool) -> None: ...

    def recall(self, index: int) -> None: ...

    def unlisted(self, index: int) -> None: ...


class Dispatcher:
    def __init__(
        self, clock: Clock, start: m.Config, names: Names, limits: Limits, decisions: type[Balancer] = Balancer
    ) -> None:
        self.clock, self.names, self.limits = clock, names, limits
        self.start = start
        self.log = LogRateLimiter(clock.seconds, limits.warning_interval).log
        self.safety = SafetyMonitor(self.now, self.log)
        self.balancer = decisions(start)
        self.timer: DelayedCall | None = None  # the decisions' one
        self.draw = Random(f"{start.seed}.{start.balancer_index}")
        self.pool: HopTransport
        self.stood_still: Callable[[int], bool] = lambda now: False
        self.watch: Callable[[], None] = lambda: None
        self.hosts: dict[str, int] = {}
        self.members: dict[str, Member] = {}  # the list as it stands
        self.doubted: dict[str, int] = {}  # since when the list lacks them, where gone is advice
        self.part = 1.0  # of what a cold cache host takes of this balancer
        self.crowded = False  # more cache hosts than sockets for them
        self.txs: dict[int, OpenTx] = {}
        self.next_tx = self.next_host = self.held = 0
        self.ends_at = 0  # at a planned end: nothing is owed an answer past this
        self.events: deque[m.Event] = deque()
        self.busy = False

    def now(self) -> int:
        return int(self.clock.seconds() * SECOND)

    def later(self, at: int, what: Callable[..., None], *args: Any) -> DelayedCall:
        return self.clock.callLater(max(0, at - self.now()) / SECOND, what, *args)

    def about(self, span: int) -> int:
        """From half to one and a half times so long: against clients, or instances, that wait equally long and meet."""
        return span // 2 + int(self.draw.random() * span)

    # ---- events in, actions out ----

    def happened(self, event: m.Event) -> None:
        # An action may end in an event at once; it waits its turn, as decide() is not entered twice.
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                self._decide(self.events.popleft())
        finally:
            self.busy = False

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
                self._act(action)
            except Exception:
                # One that fails takes no others with it: another's answer, or the timer of all.
                self.log("ERROR", "{} failed", type(action).__name__, trace=True)
                if isinstance(action, m.SendHop):
                    self._failed(action)
        if failed and isinstance(event, m.TxArrived):
            self._abandon(event.tx)
            self.events.append(m.ClientGone(event.tx))

    def _failed(self, a: m.SendHop) -> None:
        """A hop that could not be sent has ended, as far as anything of it is out."""
        tx = self.txs.get(a.tx)
        if tx is not None and tx.hops and not tx.hops[-1].ended:
            self.hop_ended(tx.hops[-1], m.HopOutcome.RESET if tx.hops[-1].written else m.HopOutcome.SKIPPED)

    def _act(self, a: m.Action) -> None:
        if isinstance(a, m.SendHop):
            self._send(a)
        elif isinstance(a, m.SetTimer):
            # A little late, as rounding may not make it early, and after the hops that end at that time.
            cancel_call(self.timer)
            self.timer = self.later(a.at + 2000, self.happened, m.TimerFired())
        elif isinstance(a, m.RollBack):
            tx = self.txs.get(a.tx)
            if tx is not None and not tx.answered:
                self._answered(tx)
                self.safety.record_request_refusal(RequestRefusal.DECISIONS, tx.requester.id)
                tx.requester.roll_back(a.backoff)
        elif isinstance(a, m.Abandon):
            self._abandon(a.tx)
        elif isinstance(a, m.CancelHop):
            tx = self.txs.get(a.tx)
            if tx is not None and not tx.hops[a.hop].ended:
                self._give_up(tx.hops[a.hop], m.HopOutcome.CANCELLED)
        else:
            self.watch()

    # ---- a transaction ----

    def arrived(self, arrival: IncomingTx, asker: Requester) -> int:
        """Takes a transaction; the asker is answered once, maybe before this returns. -1: no such profile."""
        profile = self.names.profiles.get(arrival.profile)
        if profile is None:
            return -1
        tx = OpenTx(
            self.next_tx, asker, arrival.message, flow=arrival.flow, came=self.now(), whole=arrival.flow is None
        )
        self.next_tx += 1
        if len(self.txs) >= self.limits.open_txs or self.held > self.limits.buffered_bytes:
            self.safety.record_request_refusal(RequestRefusal.REQUESTS, asker.id)
            asker.roll_back(self.about(self.limits.retry_after))
            return tx.id
        tx.seen = tx.came - arrival.unread
        self.txs[tx.id] = tx
        self.held += arrival.message.size()
        ttl, again = arrival.ttl, arrival.again
        if self.ends_at and self.now() + ttl > self.ends_at:
            # Cut by us and not by the client, so it tells nothing of how long a repeat has waited.
            ttl, again = max(0, self.ends_at - self.now()), False
        tx.ttl = ttl
        if tx.whole:
            # The decisions answer in time; this is against one that they forget.
            tx.call = self.later(self.now() + ttl, self._overdue, tx)
        self.happened(
            m.TxArrived(
                tx.id,
                profile,
                self.names.shares.get(arrival.share, -1),
                arrival.key,
                ttl,
                again,
                arrival.write,
                tx.whole,
            )
        )
        return tx.id

    def whole(self, number: int) -> None:
        """The last byte of one that is going through has come: from here on its times run."""
        tx = self.txs.get(number)
        if tx is None or tx.answered or tx.whole:
            return
        tx.whole, now = True, self.now()
        tx.call = self.later(now + tx.ttl, self._overdue, tx)
        for hop in tx.hops:
            if not hop.ended:
                hop.sent, hop.not_past = now, hop.not_past + now - tx.came
                self._time(hop)
        self.happened(m.TxFullyReceived(tx.id))

    def gone(self, number: int) -> None:
        """The client has gone away: no answer is owed any more."""
        tx = self.txs.get(number)
        if tx is not None and not tx.answered:
            self._answered(tx)
            if not tx.whole:
                # The rest of it never comes, whatever may be cancelled: what is half written is cut off.
                for hop in [hop for hop in tx.hops if not hop.ended]:
                    self._give_up(hop, m.HopOutcome.CANCELLED)
            self.happened(m.ClientGone(number))

    def _overdue(self, tx: OpenTx) -> None:
        if not tx.answered:
            self.log("ERROR", "a transaction was not answered by its hard limit")
            self._abandon(tx.id)
            self.happened(m.ClientGone(tx.id))

    def _abandon(self, number: int) -> None:
        tx = self.txs.get(number)
        if tx is not None and not tx.answered:
            self._answered(tx)
            tx.requester.abandon()

    def _answered(self, tx: OpenTx) -> None:
        tx.answered = True
        cancel_call(tx.call)
        self.held -= tx.message.size()
        if not tx.out:
            del self.txs[tx.id]

    # ---- a hop ----

    def _send(self, a: m.SendHop) -> None:
        tx, now = self.txs.get(a.tx), self.now()
        if tx is None:
            return
        hop = OutgoingHop(tx, len(tx.hops), a.host, now, a.deadline, a.begin_by)
        tx.hops.append(hop)
        tx.out += 1
        if tx.answered or hop.number >= self.start.max_hops or a.deadline <= now:
            self.hop_ended(hop, m.HopOutcome.SKIPPED)
            return
        if tx.whole:
            self._time(hop)
        if self.stood_still(now):
            hop.waited = True
            # What discovery told meanwhile counts as told, and may come after this, in this turn or with the next poll
            # (one that was stopped as it came back tells of what came first alone): the loop polls between two calls.
            self.clock.callLater(0, self.clock.callLater, 0, self._go, hop)
        else:
            self.pool.send(hop)

    def _go(self, hop: OutgoingHop) -> None:
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
            hop.tx.whole,
            hop.not_past,
            hop.begin_by,
            stale=not hop.waited and self.stood_still(self.now()),
        )
        return self.safety.may_begin(attempt, lambda: self._departed(hop.tx), hop.tx.requester.id) is None

    def _departed(self, tx: OpenTx) -> bool:
        """Whether the client has gone, as far as the system knows."""
        now = self.now()
        if now - tx.seen <= self.limits.presence_check_after:
            return False
        if tx.requester.left():
            self.gone(tx.id)
            return True
        tx.seen = now
        return False

    def _time(self, hop: OutgoingHop) -> None:
        hop.call = self.later(hop.not_past + 1000, self._give_up, hop, m.HopOutcome.TIMED_OUT)

    def _give_up(self, hop: OutgoingHop, end: m.HopOutcome) -> None:
        hop.ended = True
        self.pool.give_up(hop)
        if not hop.written:
            # It has provably not run, whatever kept it; that its client went tells nothing of the cache host.
            end = m.HopOutcome.SKIPPED if end is m.HopOutcome.CANCELLED else m.HopOutcome.UNREACHABLE
        self._ended(hop, end)

    def hop_ended(self, hop: OutgoingHop, end: m.HopOutcome, answer: Any = None, note: int = 0) -> None:
        """From the pool; what comes after the end, as a late answer, is dropped."""
        if not hop.ended:
            hop.ended = True
            self._ended(hop, end, answer, note)

    def _ended(self, hop: OutgoingHop, end: m.HopOutcome, answer: Any = None, note: int = 0) -> None:
        cancel_call(hop.call)
        tx = hop.tx
        tx.out -= 1
        if end is m.HopOutcome.DONE and not tx.answered:
            self._answered(tx)
            tx.requester.commit(answer)
        else:
            if isinstance(answer, Flow):
                answer.leave()  # another hop was first, or nobody waits any more
            if tx.answered and not tx.out:
                self.txs.pop(tx.id, None)
        self.happened(m.HopEnded(tx.id, hop.number, end, self.now() - hop.sent, tx.answered, note))

    # ---- figures and the list ----

    def refigured(self, start: m.Config, names: Names, limits: Limits) -> None:
        """Other profiles, rules or limits from now on; what is open ends by those that it was taken with."""
        self.start, self.names, self.limits = start, names, limits
        self.happened(start)

    def list_told(self, whole: bool, members: tuple[Member, ...]) -> None:
        doubted: tuple[m.ListedHost, ...] = ()
        if self.start.gone_is_advisory:
            members, doubted = self._advised(whole, members)
            whole = False
        gone = {member.id for member in members if member.standing is m.HostStatus.GONE} & self.hosts.keys()
        if whole:
            gone |= self.hosts.keys() - {member.id for member in members}
        # One that is gone and never was known here is nobody's: ids are ever new, and would be kept for ever.
        members = tuple(x for x in members if x.standing is not m.HostStatus.GONE or x.id in gone)
        lines = tuple(self._line(member) for member in members)
        for line, member in zip(lines, members, strict=True):
            self.pool.listed(line.host, member.where, line.status is m.HostStatus.READY)
        if whole:
            self.members = {}
        self.members.update((member.id, member) for member in members)
        for name in gone:
            self.members.pop(name, None)
        self._say_crowded()
        self.happened(m.ListChanged(whole, lines + doubted))
        # Only now, as what comes back is sent elsewhere by what the decisions know.
        for line in lines:
            self.pool.recall(line.host)
        for name in sorted(gone):
            self.pool.unlisted(self.hosts.pop(name))

    def _say_crowded(self) -> None:
        """Once for each time that it comes about: it goes on with fewer, each closed for the next as need be."""
        room = self.limits.sockets - self.limits.clients
        if (len(self.hosts) > room) != self.crowded:
            self.crowded = not self.crowded
            if self.crowded:
                logger.warning("more cache hosts than sockets for them: {} and {}", len(self.hosts), room)

    def _advised(self, whole: bool, members: tuple[Member, ...]) -> tuple[tuple[Member, ...], tuple[m.ListedHost, ...]]:
        """Where gone is advice: what the list names, and lines for what it lacks or calls gone.

        The decisions are told of those; here they stay as they are, and can be reached, until they are forgotten.
        """
        named = {x.id for x in members if x.standing is not m.HostStatus.GONE}
        lacks = ({x.id for x in members} - named) & self.hosts.keys() | (self.hosts.keys() - named if whole else set())
        for name in named:
            self.doubted.pop(name, None)
        if lacks and not self.doubted:
            self.later(self.now() + FORGET + SECOND, self._forget)
        for name in lacks:
            self.doubted.setdefault(name, self.now())
        lines = tuple(replace(self._line(self.members[name]), status=m.HostStatus.GONE) for name in sorted(lacks))
        return tuple(x for x in members if x.id in named), lines

    def _forget(self) -> None:
        """Hosts that the list has lacked for so long that the decisions have forgotten them."""
        before = self.now() - FORGET - SECOND
        for name in [name for name, since in self.doubted.items() if since <= before]:
            del self.doubted[name], self.members[name]
            self.pool.unlisted(self.hosts.pop(name))
        if self.doubted:
            self.later(min(self.doubted.values()) + FORGET + SECOND, self._forget)

    def beside(self, part: float) -> None:
        """Another process of this balancer sends to the same cache hosts, or does no more."""
        if part != self.part:
            self.part = part
            self.list_told(True, tuple(self.members.values()))

    def _line(self, member: Member) -> m.ListedHost:
        # The id stands for the host: it is the same at every balancer, where the address may differ.
        if member.id not in self.hosts:
            self.hosts[member.id] = self.next_host
            self.next_host += 1
        return m.ListedHost(
            host=self.hosts[member.id],
            address=member.id,
            zone=self.names.zones.get(member.zone, -1),
            kind=self.names.kinds.get(member.kind, -1),
            cell=member.cell,
            status=member.standing,
            weight=member.hint,
            started_at=member.since,
            cold_fraction=member.part * self.part,
        )
