"""One member of a fleet as it runs: the agreement's core with links, disk and tenants, and what it tells of itself.

    fleet = FleetMember(reactor, service, host, stored, boot)
    fleet.start()                          # raises InvalidField where the members' port can't be bound
    fleet.propose(commit)                  # -> a Deferred: fires once the change is in force, or fails with
                                           #    ChangeAborted, OutcomeUnknown or RetryLater
    fleet.admission_delay(tenant)          # nought, or how long a new tx of that tenant is told to wait

docs/agreement.md says why each may do what when. All times here are of CLOCK_BOOTTIME: no setting of the date moves it,
and it goes on while the machine sleeps, so that who wakes up knows that its lease is over.
"""

import time
from collections import deque
from collections.abc import Callable
from random import Random
from types import MappingProxyType
from typing import Any

import msgspec
import orjson
from loguru import logger
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.error import CannotListenError

from ternquay.consensus.bootstrap import Bootstrap
from ternquay.consensus.core import Core, Outcome, Timing, Write
from ternquay.consensus.errors import ChangeAborted, OutcomeUnknown, RetryLater
from ternquay.consensus.messages import Member, Rejection, decode_message, encode
from ternquay.hosted.administration.api import Call, Reply, problem
from ternquay.hosted.fleet.store import (
    BootState,
    CompactLog,
    FleetIdentity,
    FleetStore,
    Job,
    MarkApplied,
    decode_snapshot,
)
from ternquay.hosted.service import Fellows
from ternquay.hosted.store import Answered, Commit, Logged, Noted, StoreError, kept, unkept
from ternquay.hosted.tenants.registry import Registry, TenantEntry
from ternquay.hosted.tenants.tenant import InvalidField
from ternquay.peers.frames import FRAME_VERSION, DurableState, Frame, FrameKind, FrameRejected, open_frame, seal
from ternquay.peers.links import Links
from ternquay.peers.peer_table import PeerTable

SECOND = 1_000_000_000
MS = 1_000_000
PING_INTERVAL_SECONDS = 0.25
SUSPECT_AFTER_NS = 1500 * MS
FENCED_RETRY_NS = 250 * MS  # KEEP
HELD_RETRY_NS = 20 * MS  # what comes is told to come again after about so long
OUTCOME_TIMEOUT_SECONDS = 2.0  # KEEP
MAX_FORWARDED_CALLS = 64  # seconds, and three leases
DISK_RETRY_SECONDS = 1.0
ADOPT_RETRY_SECONDS = 0.5
OUTCOME_UNKNOWN = problem(504, "whether the change was made isn't known yet; ask again, with the key that the call had")


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A commit as it goes through the log; of what is asked for again the answer goes with it."""

    tenant: str
    version: int
    at: int
    who: str
    kind: str
    detail: bytes
    entry: tuple[bytes, int, int] | None  # None where the tenant is no more
    answered: tuple[str, bytes, bytes, int, bytes] | None
    noted: tuple[str, str, str, int, str] | None


class Ping(msgspec.Struct, frozen=True, array_like=True):
    version: int
    identity: FleetIdentity | None
    refusal_reason: str  # it takes nothing
    disk_trouble: str  # with its disk
    leader: str


class Forwarded(msgspec.Struct, frozen=True, array_like=True):
    """A call that is passed on to who leads, or its reply."""

    id: int
    call: tuple[str, str, dict[str, str], dict[str, str], bytes, str] | None = None
    reply: tuple[int, bytes, dict[str, str]] | None = None


_change = msgspec.msgpack.Decoder(Change)
_ping = msgspec.msgpack.Decoder(Ping)
_forwarded = msgspec.msgpack.Decoder(Forwarded)


def encode_change(commit: Commit) -> Change:
    one, answered, noted = commit.logged, commit.answered, commit.noted
    return Change(
        one.tenant,
        one.version,
        one.at,
        one.who,
        one.kind,
        one.body,
        (kept(commit.entry.tenant), commit.entry.version, commit.entry.incarnation) if commit.entry else None,
        (answered.who, answered.key, answered.asked, answered.status, answered.body) if answered else None,
        (noted.who, noted.peer, noted.call, noted.status, noted.why) if noted else None,
    )


def decode_commit(told: Change) -> Commit:
    """Raises StoreError."""
    entry = TenantEntry(unkept(told.entry[0]), *told.entry[1:]) if told.entry else None
    answered = None
    if told.answered is not None:
        who, key, asked, status, body = told.answered
        answered = Answered(who, key, asked, status, told.version, body)
    return Commit(
        Logged(told.version, told.at, told.who, told.tenant, told.kind, told.detail),
        entry,
        answered,
        Noted(told.at, *told.noted) if told.noted else None,
    )


def clock() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class FleetMember:
    def __init__(
        self,
        reactor: Any,
        fellows: Fellows,
        host: Any,
        stored: Any,
        store: FleetStore,
        boot: BootState,
        clock: Callable[[], int] = clock,
    ) -> None:
        self.reactor, self.fellows, self.host, self.stored, self.store = reactor, fellows, host, stored, store
        self.clock, self.random = clock, Random()
        self.timing = Timing.for_lease(fellows.lease, fellows.go_on)
        self.outcome_timeout_seconds = OUTCOME_TIMEOUT_SECONDS + 3 * fellows.lease / SECOND
        others = {name: place for name, place in fellows.places.items() if name != fellows.me}
        self.peer_table = PeerTable(tuple(others), SUSPECT_AFTER_NS)
        self.links = Links(
            reactor,
            (fellows.listen.host, fellows.listen.port),
            {name: (place.host, place.port) for name, place in others.items()},
            self._on_frame,
            self.random,
        )
        self.jobs: deque[Job] = deque()
        self.is_writing = self.is_reading_snapshot = False
        self.disk_trouble = ""
        self.durable = DurableState()
        self.pings: dict[str, Ping] = {}
        self.held_tenants: frozenset[str] = frozenset()
        self.prepared: dict[int, tuple[str, Any]] = {}
        self.agreed_registry: Registry = (
            host.registry
        )  # what is in force; the host may be behind, and takes nothing then
        self.unappliable = ""  # why what is in force can't be had here
        self.unreadable = ""  # what of it can't be read here: for good, and all that follows waits for it
        self.waiters: dict[tuple[int, int], Deferred[None]] = {}
        self.pending_answers: dict[tuple[str, bytes], Answered] = {}  # answers that are not on disk yet
        self.forwarded: dict[int, tuple[str, Deferred[Reply]]] = {}  # to whom
        self.was_leader = False  # as of the last look
        self.flush_waiters: list[Deferred[None]] = []
        self.execute_call: Callable[[Call], Deferred[Reply]] = lambda call: succeed(OUTCOME_UNKNOWN)
        self.on_change: Callable[[], None] = lambda: None
        self.stopped = False
        self.logged_refusal = "not begun"
        self._load_boot_state(boot)

    def _load_boot_state(self, boot: BootState) -> None:
        now = self.clock()
        self._drop_prepared()
        self.boot, self.identity = boot, boot.identity
        self.me = Member(self.fellows.me, boot.disk_id)
        self.core = Core(self.me, boot.state, self.timing, self.random, boot.boot_id, now)
        self.durable = DurableState(
            boot.state.term, bool(boot.state.voted_for), boot.state.log.last_term, boot.state.log.last_index
        )
        empty = self.identity is None and not boot.registry_from_fleet and not self.core.log.last_index
        self.bootstrap = Bootstrap(self.me, tuple(self.fellows.places), self.agreed_registry.version) if empty else None
        self._update_held_tenants()

    # ---- beginning and end ----

    def start(self) -> None:
        """Raises InvalidField."""
        try:
            self.links.start()
        except CannotListenError as fault:
            raise InvalidField("peers.members", f"{self.fellows.me}: can't be bound: {fault.socketError}") from fault
        many = len(self.fellows.places)
        if many % 2 == 0 or many == 1:
            logger.warning("{} members bear the loss of {}, as {} would", many, (many - 1) // 2, max(1, many - 1))
        self._try_bootstrap()
        self._tick()
        self._send_pings()

    def step_down(self) -> None:
        """It is told to end: another one leads, while this one finishes what it has taken."""
        self.core.step_down(self.clock())

    def stop(self) -> None:
        self.stopped = True
        self.links.stop()
        self._flush()
        for waiting in list(self.waiters.values()):
            waiting.errback(OutcomeUnknown())
        for _, reply in list(self.forwarded.values()):
            reply.callback(OUTCOME_UNKNOWN)

    def _tick(self) -> None:
        if not self.stopped:
            self.reactor.callLater(self.timing.heartbeat_interval / 3 / SECOND, self._tick)
            self.core.tick(self.clock())
            self._drive()
            self._log_admission()

    def _log_admission(self) -> None:
        """That it takes nothing, and that it does again, each once."""
        why = self.refusal_reason()
        if bool(why) != bool(self.logged_refusal):
            if why:
                logger.bind(cause=why, clock=time.monotonic_ns()).warning("takes nothing")
            else:
                logger.bind(version=self.agreed_registry.version, clock=time.monotonic_ns()).info("takes what comes")
        self.logged_refusal = why

    # ---- whether a tx may be taken ----

    def admission_delay(self, tenant: str) -> int:
        if self.unreadable or self.unappliable or not self.core.may_serve(self.clock()):
            return FENCED_RETRY_NS
        return HELD_RETRY_NS if tenant in self.held_tenants else 0

    def refusal_reason(self) -> str:
        """Why nothing is taken, "" if it is."""
        if self.bootstrap is not None:
            missing = ", ".join(self.bootstrap.missing())
            return self.bootstrap.conflict or f"the fleet isn't founded: {missing} not heard yet"
        return self.unreadable or self.unappliable or self.core.refusal_reason(self.clock())

    def _update_held_tenants(self) -> None:
        names = set()
        for at in self.core.held_proposals:
            if self.core.log.base_index < at <= self.core.log.last_index:
                names.add(_change.decode(self.core.log.entry(at).body).tenant)
        self.held_tenants = frozenset(names)

    # ---- frames ----

    def _frame(self, to: str, what: FrameKind, body: bytes) -> bytes:
        founded = self.identity.fleet_id if self.identity is not None else ""
        return seal(
            Frame(
                FRAME_VERSION,
                self.fellows.fleet,
                founded,
                self.me.name,
                self.me.disk_id,
                self.boot.boot_id,
                to,
                self.durable,
                what,
                body,
            ),
            self.fellows.key,
        )

    def _on_frame(self, text: bytes) -> bool:
        """Whatever it is, it ends nothing here. Whether it came from a member."""
        founded = self.identity.fleet_id if self.identity is not None else ""
        try:
            frame = open_frame(text, self.fellows.key, self.fellows.fleet, self.me.name, founded)
            self.peer_table.record(frame, self.clock())
        except FrameRejected as dropped:
            self.links.drop_counts[str(dropped)] += 1
            if str(dropped) == "set back":
                self.links.send(
                    frame.sender, self._frame(frame.sender, FrameKind.DISK_ROLLED_BACK, encode_int(frame.boot_id))
                )
            return str(dropped) in ("set back", "start")
        try:
            self._dispatch(frame)
        except ValueError:  # of the decoders
            self.links.drop_counts["form"] += 1
        return True

    def _dispatch(self, frame: Frame) -> None:
        now, sender = self.clock(), Member(frame.sender, frame.disk_id)
        self.core.learners[sender.name] = sender.disk_id
        if frame.kind is FrameKind.CONSENSUS:
            if self.bootstrap is None:
                self.core.receive(sender, decode_message(frame.body), now)
                self._drive()
        elif frame.kind is FrameKind.PING:
            self._on_ping(sender, _ping.decode(frame.body))
        elif frame.kind is FrameKind.DISK_ROLLED_BACK:
            if msgspec.msgpack.decode(frame.body, type=int) == self.boot.boot_id:
                self._on_disk_rolled_back()
        else:
            self._on_forwarded(frame.sender, _forwarded.decode(frame.body))

    def _send_pings(self) -> None:
        if self.stopped:
            return
        self.reactor.callLater(PING_INTERVAL_SECONDS, self._send_pings)
        body = msgspec.msgpack.encode(
            Ping(
                self.agreed_registry.version, self.identity, self.refusal_reason(), self.disk_trouble, self.core.leader
            )
        )
        for name in self.peer_table.peers:
            self.links.ping(name, self._frame(name, FrameKind.PING, body))

    def _on_ping(self, sender: Member, ping: Ping) -> None:
        self.pings[sender.name] = ping
        if self.bootstrap is not None:
            if ping.identity is None:
                self.bootstrap.record(sender.name, sender.disk_id, ping.version)
                self._try_bootstrap()
            elif self.me in ping.identity.membership.members:
                self._join_fleet(ping.identity)
            elif self.agreed_registry.version:
                self.bootstrap.conflict = "has a registry of its own, and the fleet is there: begin with an empty store"
            else:
                self.bootstrap = None  # a fleet that is there takes it in
        elif self.identity is None and ping.identity is not None and self.core.is_voter():
            self.identity = ping.identity
            self._queue_job(ping.identity)

    # ---- founding, and a disk that was set back ----

    def _try_bootstrap(self) -> None:
        found = self.bootstrap.result() if self.bootstrap is not None else None
        if found is not None:
            self._join_fleet(FleetIdentity(*found))

    def _join_fleet(self, identity: FleetIdentity) -> None:
        self.identity, self.bootstrap = identity, None
        self.jobs.append(identity)  # goes to disk with what the core writes for it, or neither does
        self.core.bootstrap(
            identity.membership, int(bool(identity.seed_member)), identity.seed_member == self.me.name, self.clock()
        )
        logger.bind(fleet=identity.fleet_id).info("the fleet is founded, of {}", ", ".join(identity.membership.names()))
        self._drive()

    def _on_disk_rolled_back(self) -> None:
        """Others know more of this disk than it holds: it is an old copy, and counts for nothing as it is."""
        if self.is_writing:
            self.reactor.callLater(0.05, self._on_disk_rolled_back)
            return
        logger.error("the disk holds less than the fleet has from it: an old copy. It is taken in as a new one")
        self.jobs.clear()
        self.is_writing = True
        boot = self.boot.boot_id

        def over(boot: BootState) -> None:
            self.is_writing = False
            self._load_boot_state(boot)

        def fault(failure: Any) -> None:
            self.is_writing = False
            self._report_disk_trouble(failure)
            self.reactor.callLater(
                DISK_RETRY_SECONDS, lambda: self._on_disk_rolled_back() if self.boot.boot_id == boot else None
            )

        self.stored.do(self.store.discard_disk_state).addCallbacks(over, fault)

    # ---- what the core wants done ----

    def _drive(self) -> None:
        core = self.core
        if core.installed_snapshot is not None:
            one, core.installed_snapshot = core.installed_snapshot, None
            if one.data:
                self._on_registry_installed(one.data)
        writes, core.writes = core.writes, []
        for write in writes:
            self._queue_job(write)
        outcomes, core.outcomes = core.outcomes, []
        for outcome in outcomes:
            self._on_outcome(outcome)
        judge, core.to_validate = core.to_validate, []
        for at, body in judge:
            core.validated(at, self._validate(at, body), self.clock())
        self._update_held_tenants()
        out, core.outbox = core.outbox, []
        for name, message in out:
            self.links.send(name, self._frame(name, FrameKind.CONSENSUS, encode(message)))
        if core.snapshot_needed and not self.is_reading_snapshot:
            self.is_reading_snapshot = True
            self.stored.do(self.store.snapshot).addCallbacks(self._on_snapshot_read, self._on_snapshot_failed)
        if judge or core.writes or core.outcomes or core.to_validate:
            self._drive()
        self._fail_superseded()

    def _on_snapshot_read(self, found: tuple[int, bytes]) -> None:
        self.is_reading_snapshot = False
        self.core.provide_snapshot(*found)

    def _on_snapshot_failed(self, failure: Any) -> None:
        self.is_reading_snapshot = self.core.snapshot_needed = False
        self._report_disk_trouble(failure)

    def _validate(self, at: int, body: bytes) -> Rejection | None:
        """Whether this machine can have it: its listeners are bound, and accept nothing yet."""
        try:
            commit = decode_commit(_change.decode(body))
            name = commit.logged.tenant
            if commit.entry is None and name in self.host.tenancies and not self.host.tenancies[name].over():
                raise InvalidField("state", "transactions of it are still open")
            self._drop_prepared()
            self.prepared[at] = name, self.host.prepare(self._registry_after(commit), name)
        except InvalidField as fault:
            return Rejection("", fault.field, fault.reason)
        except (StoreError, msgspec.DecodeError) as fault:
            return Rejection("", "change", f"can't be read here: {fault}")
        return None

    def _drop_prepared(self) -> None:
        for _, prepared in self.prepared.values():
            prepared.drop()
        self.prepared.clear()

    def _registry_after(self, commit: Commit) -> Registry:
        tenants = {name: entry for name, entry in self.agreed_registry.tenants.items() if name != commit.logged.tenant}
        if commit.entry is not None:
            tenants[commit.logged.tenant] = commit.entry
        return Registry(MappingProxyType(tenants), commit.logged.version)

    def _on_outcome(self, one: Outcome) -> None:
        if self.unreadable:
            return
        waiting = self.waiters.pop((one.term, one.proposal_index), None)
        name, prepared = self.prepared.pop(one.proposal_index, ("", None))
        if not one.decided:
            if prepared is not None:
                prepared.drop()
            self._queue_job(MarkApplied(one.index))
            if waiting is not None:
                waiting.errback(ChangeAborted(one.rejection.member, one.rejection.field, one.rejection.reason))
            return
        try:
            commit = decode_commit(_change.decode(one.body))
        except (StoreError, msgspec.DecodeError) as fault:
            # Written by a later version of the program: without it this one has nothing to take by.
            self.unreadable = f"a change can't be read here: {fault}"
            logger.error("a change that is in force can't be read here; nothing is taken until the next start")
            return
        self._apply_change(commit, prepared)
        if commit.answered is not None:
            self.pending_answers[(commit.answered.who, commit.answered.key)] = commit.answered
        self._queue_job(MarkApplied(one.index, commit))
        if waiting is not None:
            waiting.callback(None)

    def _apply_change(self, commit: Commit, prepared: Any) -> None:
        logged = commit.logged
        self.agreed_registry = after = self._registry_after(commit)
        try:
            if self.unappliable:
                raise InvalidField("", self.unappliable)
            if prepared is None:
                prepared = self.host.prepare(after, logged.tenant)
            self.host.apply(after, logged.tenant, prepared)
        except InvalidField as fault:
            if prepared is not None:
                prepared.drop()
            self._cannot_apply(logged.tenant, fault)
        except Exception as fault:  # of the program: this member is without the change, so it takes nothing
            logger.bind(tenant=logged.tenant, version=logged.version).exception("a change could not be applied")
            self._cannot_apply(logged.tenant, InvalidField("", f"a fault of the program: {fault}"))
        logger.bind(
            tenant=logged.tenant, version=logged.version, who=logged.who, kind=logged.kind, clock=time.monotonic_ns()
        ).info("changed")
        self.on_change()

    def _cannot_apply(self, name: str, fault: InvalidField) -> None:
        if not self.unappliable:
            self.reactor.callLater(ADOPT_RETRY_SECONDS, self._adopt_registry)
            logger.bind(tenant=name, cause=str(fault)).error("what is in force can't be had here; nothing is taken")
        self.unappliable = f"tenants.{name}.{fault.field}: {fault.reason}" if fault.field else fault.reason

    def _on_registry_installed(self, data: bytes) -> None:
        """FrameKind is in force came whole, as the log goes back no further."""
        try:
            self.agreed_registry = decode_snapshot(data).registry()
        except StoreError as fault:
            logger.bind(cause=str(fault)).error("what is in force can't be read here")
            self.unreadable = "what is in force can't be read here"
            return
        self._drop_prepared()
        self._adopt_registry()
        self.on_change()

    def _adopt_registry(self) -> None:
        """Makes the host what is in force, tenant by tenant; tried again until it is."""
        if self.stopped:
            return
        self.unappliable, there = "", self.agreed_registry
        for name in sorted({*there.tenants, *self.host.tenancies}):
            tenancy = self.host.tenancies.get(name)
            if there.tenants.get(name) == (tenancy.entry if tenancy is not None else None):
                continue
            try:
                self.host.apply(there, name, self.host.prepare(there, name))
            except InvalidField as fault:
                self._cannot_apply(name, fault)
            except Exception as fault:
                logger.bind(tenant=name).exception("a tenant that is in force could not be applied")
                self._cannot_apply(name, InvalidField("", f"a fault of the program: {fault}"))
        self.host.registry = there

    # ---- disk ----

    def _queue_job(self, job: Job) -> None:
        self.jobs.append(job)
        if not self.is_writing:
            self._write_jobs()

    def _write_jobs(self) -> None:
        if self.stopped or not self.jobs:
            return
        self.is_writing = True
        jobs = list(self.jobs)
        self.stored.do(self.store.execute, jobs).addCallbacks(
            self._on_written, self._on_write_failed, callbackArgs=(jobs,)
        )

    def _on_written(self, done: None, jobs: list[Job]) -> None:
        self.is_writing = False
        if self.disk_trouble:
            logger.info("the store takes changes again")
        self.disk_trouble = ""
        number = 0
        for _ in jobs:
            self.jobs.popleft()
        for job in jobs:
            if isinstance(job, Write):
                number = job.number
                if job.install is not None:
                    self.durable = DurableState(job.term, bool(job.voted_for), job.install.term, job.install.index)
                elif job.entries:
                    self.durable = DurableState(
                        job.term, bool(job.voted_for), job.entries[-1].term, job.truncate_after + len(job.entries)
                    )
                else:
                    self.durable = DurableState(
                        job.term, bool(job.voted_for), self.durable.last_term, self.durable.last
                    )
            elif isinstance(job, MarkApplied):
                if job.change is not None and job.change.answered is not None:
                    self.pending_answers.pop((job.change.answered.who, job.change.answered.key), None)
                if job.index - self.core.log.base_index >= self.fellows.log_kept * 5 // 4:
                    self._compact(job.index - self.fellows.log_kept)
        if number:
            self.core.write_completed(number, self.clock())
            self._drive()
        if not self.is_writing:
            self._write_jobs()
        self._flush()

    def when_flushed(self) -> "Deferred[None]":
        """Once all that is in force here is on disk, or can't be."""
        if not self.jobs or self.disk_trouble or len(self.flush_waiters) >= MAX_FORWARDED_CALLS:
            return succeed(None)
        waiting: Deferred[None] = Deferred()
        self.flush_waiters.append(waiting)
        return waiting

    def _flush(self) -> None:
        if not self.jobs or self.disk_trouble or self.stopped:
            flushes, self.flush_waiters = self.flush_waiters, []
            for waiting in flushes:
                waiting.callback(None)

    def _compact(self, index: int) -> None:
        log = self.core.log
        before = log.base_index
        self.core.compact(index)
        if log.base_index != before:
            self._queue_job(CompactLog(log.base_index, log.base_term, log.base_membership))

    def _on_write_failed(self, failure: Any) -> None:
        """It says so, tries again, and meanwhile says nothing that would have to be on disk."""
        self.is_writing = False
        self._report_disk_trouble(failure)
        self._flush()
        self.reactor.callLater(DISK_RETRY_SECONDS, lambda: None if self.is_writing else self._write_jobs())

    def _report_disk_trouble(self, failure: Any) -> None:
        if not self.disk_trouble:
            logger.bind(cause=str(failure.value)).error("the store takes no changes; this member votes for none")
        self.disk_trouble = str(failure.value)
        if not failure.check(StoreError):
            logger.error("uncaught: {}", failure.getTraceback())

    # ---- changes ----

    def is_leader(self) -> bool:
        return self.core.is_leader()

    def propose(self, commit: Commit) -> "Deferred[None]":
        try:
            at = self.core.propose(msgspec.msgpack.encode(encode_change(commit)), self.clock())
        except RetryLater as fault:
            return fail(fault)
        waiting: Deferred[None] = Deferred()
        key = self.core.term, at
        self.waiters[key] = waiting
        timer = self.reactor.callLater(self.outcome_timeout_seconds, self._give_up, key)

        def over(result: Any) -> Any:
            self.waiters.pop(key, None)
            if timer.active():
                timer.cancel()
            return result

        waiting.addBoth(over)
        self._drive()
        return waiting

    def _give_up(self, key: tuple[int, int]) -> None:
        if key in self.waiters:
            self.waiters[key].errback(OutcomeUnknown())

    def _fail_superseded(self) -> None:
        """A proposal in whose place another entry is committed is nowhere, and never will be in force."""
        for (term, at), waiting in list(self.waiters.items()):
            if at <= self.core.commit_index and self.core.log.term_at(at) not in (term, -1):
                waiting.errback(RetryLater("another one leads by now", self.core.leader))
        if self.was_leader and not self.core.is_leader():
            # Whether the next leader carries it on is mostly known by then; else whoever asked asks again.
            for key in self.waiters:
                self.reactor.callLater(self.fellows.lease / SECOND, self._give_up, key)
        self.was_leader = self.core.is_leader()
        for leader, reply in list(self.forwarded.values()):
            if self.core.leader not in ("", leader):
                reply.callback(OUTCOME_UNKNOWN)  # to that one nobody listens any more

    def forward_to_leader(self, call: Call) -> "Deferred[Reply]":
        """A change that was asked for here goes to who leads; its reply comes back the same way."""
        leader = self.core.leader
        if not leader or leader == self.me.name or len(self.forwarded) >= MAX_FORWARDED_CALLS:
            return succeed(
                problem(
                    503,
                    "nobody leads: no majority of the fleet is in reach" if not leader else "too many changes wait",
                    headers={"retry-after": "1"},
                )
            )
        id = self.random.getrandbits(53)
        reply: Deferred[Reply] = Deferred()
        self.forwarded[id] = leader, reply
        # A lost word is not waited for: whoever asked asks again, with its key, and is told what became of it.
        timer = self.reactor.callLater(1 + self.fellows.lease / SECOND, reply.callback, OUTCOME_UNKNOWN)

        def over(told: Reply) -> Reply:
            self.forwarded.pop(id, None)
            if timer.active():
                timer.cancel()
            return told

        reply.addCallback(over)
        text = Forwarded(id, (call.method, call.path, dict(call.query), dict(call.headers), call.body, call.peer))
        self.links.send(leader, self._frame(leader, FrameKind.CALL, msgspec.msgpack.encode(text)))
        return reply

    def _on_forwarded(self, sender: str, told: Forwarded) -> None:
        if told.call is not None:
            call = Call(*told.call)
            done = (
                self.execute_call(call)
                if self.is_leader()
                else succeed(problem(503, f"{self.me.name} leads no more", headers={"retry-after": "1"}))
            )
            done.addCallback(self._send_reply, sender, told.id)
        elif told.reply is not None and told.id in self.forwarded:
            status, body, headers = told.reply
            self.forwarded[told.id][1].callback(Reply(status, orjson.loads(body) if body else None, headers))

    def _send_reply(self, reply: Reply, to: str, id: int) -> None:
        body = orjson.dumps(reply.body) if reply.body is not None else b""
        text = msgspec.msgpack.encode(Forwarded(id, None, (reply.status, body, dict(reply.headers))))
        self.links.send(to, self._frame(to, FrameKind.REPLY, text))

    def pending_answer(self, who: str, key: bytes) -> Answered | None:
        return self.pending_answers.get((who, key))

    def remove_member(self, name: str) -> Reply:
        """Takes a member out, for good; here, where the fleet is led."""
        return self._change_membership(self.core.remove_member, name, "leaving")

    def readmit_member(self, name: str) -> Reply:
        """Lets one that was taken out come in again."""
        return self._change_membership(self.core.readmit_member, name, "welcome")

    def _change_membership(self, change: Callable[[str, int], None], name: str, word: str) -> Reply:
        try:
            change(name, self.clock())
        except RetryLater as fault:
            return problem(503, fault.reason, headers={"retry-after": "1"})
        except ValueError as fault:
            return problem(422, str(fault), "member")
        self._drive()
        return Reply(202, {word: name})

    # ---- what is told ----

    def status(self) -> dict[str, Any]:
        now, believed = self.clock(), self.peer_table.reachability(self.clock())
        membership = self.core.membership()
        disks = {one.name: one.disk_id for one in membership.members}
        rows = []
        for name in sorted({*self.fellows.places, *disks}):
            mine, ping = name == self.me.name, self.pings.get(name)
            why = self.refusal_reason() if mine else ping.refusal_reason if ping else ""
            rows.append(
                {
                    "name": name,
                    "member": name in disks,
                    "leads": name == self.core.leader,
                    "reach": "here" if mine else believed.get(name, "not in the file"),
                    "version": self.agreed_registry.version if mine else ping.version if ping else None,
                    "fenced": bool(why),
                    "why": why,
                    "disk": self.disk_trouble if mine else ping.disk_trouble if ping else "",
                    "heard_ms": 0 if mine else self._silence_ms(name, now),
                }
            )
        open_at = self.core.log.open_proposal()
        return {
            "fleet": self.fellows.fleet,
            "me": self.me.name,
            "leader": self.core.leader,
            "term": self.core.term,
            "version": self.agreed_registry.version,
            "log": self.core.log.last_index,
            "committed": self.core.commit_index,
            "under_way": bool(open_at),
            "waits_for": self.core.waiting_for(now) if self.is_leader() else [],
            "alone": "go-on" if self.fellows.go_on else "stop",
            "lease_ms": self.fellows.lease // MS,
            "members": rows,
            "out": list(membership.removed),
            "dropped": dict(sorted(self.links.drop_counts.items())),
        }

    def _silence_ms(self, name: str, now: int) -> int | None:
        known = self.peer_table.peers.get(name)
        return (now - known.heard_at) // MS if known is not None and known.heard_at else None


def encode_int(number: int) -> bytes:
    return msgspec.msgpack.encode(number)
