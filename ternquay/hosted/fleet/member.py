"""One running member of a fleet: drives the consensus core with links, disk and tenants, and reports its status.

    fleet = FleetMember(reactor, config, host, store_thread, store, store.begin_boot())
    fleet.start()                          # raises InvalidField where the members' port can't be bound
    fleet.propose(commit)                  # -> a Deferred: fires once the change is in force, or fails with
                                           #    ChangeAborted, OutcomeUnknown or RetryLater
    fleet.admission_delay(tenant)          # 0, or after how many ns a client may retry a new tx of that tenant

docs/agreement.md describes the protocol. All times are of CLOCK_BOOTTIME: setting the date does not move it, and it
advances while the machine is suspended, so that a member that resumes sees that its lease has expired.
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
from ternquay.hosted.service import FleetConfig
from ternquay.hosted.store import (
    AuditRecord,
    ChangeRecord,
    Commit,
    StoredReply,
    StoreError,
    decode_tenant,
    encode_tenant,
)
from ternquay.hosted.tenants.registry import Registry, TenantEntry
from ternquay.hosted.tenants.tenant import InvalidField
from ternquay.peers.frames import FRAME_VERSION, DurableState, Frame, FrameKind, FrameRejected, open_frame, seal
from ternquay.peers.links import Links
from ternquay.peers.peer_table import PeerTable

SECOND = 1_000_000_000
MS = 1_000_000
PING_INTERVAL_SECONDS = 0.25
SUSPECT_AFTER_NS = 1500 * MS
FENCED_RETRY_NS = 250 * MS  # when a client retries at a member that serves nothing
HELD_RETRY_NS = 20 * MS  # when a client retries a tenant that is held for a change
OUTCOME_TIMEOUT_SECONDS = 2.0  # plus three leases
MAX_FORWARDED_CALLS = 64
DISK_RETRY_SECONDS = 1.0
ADOPT_RETRY_SECONDS = 0.5
WRITE_POLL_SECONDS = 0.05  # while a rolled-back disk is still being written
OUTCOME_UNKNOWN = problem(504, "whether the change was made isn't known yet; ask again, with the key that the call had")


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A commit as the body of a log entry, with the reply for a repeated call. Encoded by position."""

    tenant: str
    version: int
    at: int
    who: str
    kind: str
    detail: bytes
    entry: tuple[bytes, int, int] | None  # body, version, incarnation; None where the tenant was removed
    reply: tuple[str, bytes, bytes, int, bytes] | None
    audit: tuple[str, str, str, int, str] | None


class Ping(msgspec.Struct, frozen=True, array_like=True):
    """What a member tells the others of itself."""

    version: int
    identity: FleetIdentity | None
    refusal_reason: str  # why it serves nothing, "" if it serves
    disk_trouble: str  # the last error of its disk, "" if there is none
    leader: str


class Forwarded(msgspec.Struct, frozen=True, array_like=True):
    """A call forwarded to the leader, or its reply."""

    id: int
    call: tuple[str, str, dict[str, str], dict[str, str], bytes, str] | None = None
    reply: tuple[int, bytes, dict[str, str]] | None = None


_change = msgspec.msgpack.Decoder(Change)
_ping = msgspec.msgpack.Decoder(Ping)
_forwarded = msgspec.msgpack.Decoder(Forwarded)


def change_of(commit: Commit) -> Change:
    record, reply, audit = commit.record, commit.reply, commit.audit
    return Change(
        record.tenant,
        record.version,
        record.at,
        record.who,
        record.kind,
        record.body,
        (encode_tenant(commit.entry.tenant), commit.entry.version, commit.entry.incarnation) if commit.entry else None,
        (reply.who, reply.key_digest, reply.call_digest, reply.status, reply.body) if reply else None,
        (audit.who, audit.peer, audit.call, audit.status, audit.reason) if audit else None,
    )


def commit_of(change: Change) -> Commit:
    """Raises StoreError."""
    entry = TenantEntry(decode_tenant(change.entry[0]), *change.entry[1:]) if change.entry else None
    reply = None
    if change.reply is not None:
        who, key_digest, call_digest, status, body = change.reply
        reply = StoredReply(who, key_digest, call_digest, status, change.version, body)
    return Commit(
        ChangeRecord(change.version, change.at, change.who, change.tenant, change.kind, change.detail),
        entry,
        reply,
        AuditRecord(change.at, *change.audit) if change.audit else None,
    )


def clock() -> int:
    """Nanoseconds since the machine started, including the time that it was suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class FleetMember:
    """Carries out what the core asks for: writes, messages, validation and outcomes.

    The owner sets `execute_call`, which the leader uses for forwarded calls, and `on_change`.
    """

    def __init__(
        self,
        reactor: Any,
        config: FleetConfig,
        host: Any,
        store_thread: Any,
        store: FleetStore,
        boot: BootState,
        clock: Callable[[], int] = clock,
    ) -> None:
        self.reactor, self.config, self.host, self.store_thread, self.store = reactor, config, host, store_thread, store
        self.clock, self.random = clock, Random()
        self.timing = Timing.for_lease(config.lease_ns, config.serve_without_majority)
        self.outcome_timeout_seconds = OUTCOME_TIMEOUT_SECONDS + 3 * config.lease_ns / SECOND
        others = {name: endpoint for name, endpoint in config.endpoints.items() if name != config.own_name}
        self.peer_table = PeerTable(tuple(others), SUSPECT_AFTER_NS)
        self.links = Links(
            reactor,
            (config.listen.host, config.listen.port),
            {name: (endpoint.host, endpoint.port) for name, endpoint in others.items()},
            self._on_frame,
            self.random,
        )
        self.jobs: deque[Job] = deque()
        self.is_writing = self.is_reading_snapshot = False
        self.disk_trouble = ""  # the last error of the store, "" if there is none
        self.durable = DurableState()  # as told to the other members
        self.pings: dict[str, Ping] = {}
        self.held_tenants: frozenset[str] = frozenset()
        self.prepared: dict[int, tuple[str, Any]] = {}  # by proposal: the tenant and its prepared listeners
        # The registry in force. The host may lag behind it, and serves nothing while it does.
        self.agreed_registry: Registry = host.registry
        self.unappliable = ""  # why the registry in force cannot be applied on this machine; retried
        self.unreadable = ""  # why a decided change cannot be decoded; until the next start nothing after it is applied
        self.waiters: dict[tuple[int, int], Deferred[None]] = {}  # by term and index of the proposal
        self.pending_replies: dict[tuple[str, bytes], StoredReply] = {}  # not on disk yet
        self.forwarded: dict[int, tuple[str, Deferred[Reply]]] = {}  # by call id: the leader and the reply
        self.was_leader = False  # after the previous _drive()
        self.flush_waiters: list[Deferred[None]] = []
        self.execute_call: Callable[[Call], Deferred[Reply]] = lambda call: succeed(OUTCOME_UNKNOWN)
        self.on_change: Callable[[], None] = lambda: None
        self.stopped = False
        self.logged_refusal = "not begun"  # so that the first acceptance is logged
        self._load_boot_state(boot)

    def _load_boot_state(self, boot: BootState) -> None:
        """Starts a new core from what the disk holds."""
        now = self.clock()
        self._drop_prepared()
        self.boot, self.identity = boot, boot.identity
        self.me = Member(self.config.own_name, boot.disk_id)
        self.core = Core(self.me, boot.state, self.timing, self.random, boot.boot_id, now)
        self.durable = DurableState(
            boot.state.term, bool(boot.state.voted_for), boot.state.log.last_term, boot.state.log.last_index
        )
        empty = self.identity is None and not boot.registry_from_fleet and not self.core.log.last_index
        self.bootstrap = (
            Bootstrap(self.me, tuple(self.config.endpoints), self.agreed_registry.version) if empty else None
        )
        self._update_held_tenants()

    # ---- start and stop ----

    def start(self) -> None:
        """Raises InvalidField where the port for the other members cannot be bound."""
        try:
            self.links.start()
        except CannotListenError as fault:
            raise InvalidField(
                "peers.members", f"{self.config.own_name}: can't be bound: {fault.socketError}"
            ) from fault
        count = len(self.config.endpoints)
        if count % 2 == 0 or count == 1:
            logger.warning(
                "{} members tolerate the loss of {}, as {} would", count, (count - 1) // 2, max(1, count - 1)
            )
        self._try_bootstrap()
        self._tick()
        self._send_pings()

    def step_down(self) -> None:
        """Hands leadership to another member before a shutdown, while this one finishes the txs it has."""
        self.core.step_down(self.clock())

    def stop(self) -> None:
        """Closes the links; waiting callers are told that the outcome is unknown."""
        self.stopped = True
        self.links.stop()
        self._flush()
        for waiter in list(self.waiters.values()):
            waiter.errback(OutcomeUnknown())
        for _, reply in list(self.forwarded.values()):
            reply.callback(OUTCOME_UNKNOWN)

    def _tick(self) -> None:
        if not self.stopped:
            self.reactor.callLater(self.timing.heartbeat_interval / 3 / SECOND, self._tick)
            self.core.tick(self.clock())
            self._drive()
            self._log_admission()

    def _log_admission(self) -> None:
        """Logs when this member starts and stops refusing transactions, once for each change."""
        reason = self.refusal_reason()
        if bool(reason) != bool(self.logged_refusal):
            if reason:
                logger.bind(cause=reason, clock=time.monotonic_ns()).warning("refusing new transactions")
            else:
                logger.bind(version=self.agreed_registry.version, clock=time.monotonic_ns()).info(
                    "accepting new transactions"
                )
        self.logged_refusal = reason

    # ---- admission ----

    def admission_delay(self, tenant: str) -> int:
        """0 if a new tx of `tenant` may be accepted, else after how many nanoseconds the client may retry."""
        if self.unreadable or self.unappliable or not self.core.may_serve(self.clock()):
            return FENCED_RETRY_NS
        return HELD_RETRY_NS if tenant in self.held_tenants else 0

    def refusal_reason(self) -> str:
        """Why this member serves nothing, "" if it serves."""
        if self.bootstrap is not None:
            missing = ", ".join(self.bootstrap.missing())
            return self.bootstrap.conflict or f"the fleet isn't founded: {missing} not heard yet"
        return self.unreadable or self.unappliable or self.core.refusal_reason(self.clock())

    def _update_held_tenants(self) -> None:
        """Reads from the log which tenants the core holds."""
        names = set()
        for at in self.core.held_proposals:
            if self.core.log.base_index < at <= self.core.log.last_index:
                names.add(_change.decode(self.core.log.entry(at).body).tenant)
        self.held_tenants = frozenset(names)

    # ---- frames ----

    def _frame(self, recipient: str, kind: FrameKind, body: bytes) -> bytes:
        fleet_id = self.identity.fleet_id if self.identity is not None else ""
        return seal(
            Frame(
                FRAME_VERSION,
                self.config.fleet,
                fleet_id,
                self.me.name,
                self.me.disk_id,
                self.boot.boot_id,
                recipient,
                self.durable,
                kind,
                body,
            ),
            self.config.key,
        )

    def _on_frame(self, text: bytes) -> bool:
        """Handles a frame and returns whether it came from a member. Never raises, whatever the bytes are."""
        fleet_id = self.identity.fleet_id if self.identity is not None else ""
        try:
            frame = open_frame(text, self.config.key, self.config.fleet, self.me.name, fleet_id)
            self.peer_table.record(frame, self.clock())
        except FrameRejected as rejected:
            self.links.drop_counts[str(rejected)] += 1
            if str(rejected) == "set back":
                self.links.send(
                    frame.sender, self._frame(frame.sender, FrameKind.DISK_ROLLED_BACK, encode_int(frame.boot_id))
                )
            return str(rejected) in ("set back", "start")
        try:
            self._dispatch(frame)
        except ValueError:  # from the decoders
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
                self.bootstrap = None  # the existing fleet adds this member
        elif self.identity is None and ping.identity is not None and self.core.is_voter():
            self.identity = ping.identity
            self._queue_job(ping.identity)

    # ---- bootstrap, and a rolled-back disk ----

    def _try_bootstrap(self) -> None:
        result = self.bootstrap.result() if self.bootstrap is not None else None
        if result is not None:
            self._join_fleet(FleetIdentity(*result))

    def _join_fleet(self, identity: FleetIdentity) -> None:
        self.identity, self.bootstrap = identity, None
        self.jobs.append(identity)  # written in one transaction with the core's write
        self.core.bootstrap(
            identity.membership, int(bool(identity.seed_member)), identity.seed_member == self.me.name, self.clock()
        )
        logger.bind(fleet=identity.fleet_id).info(
            "the fleet starts with members {}", ", ".join(identity.membership.names())
        )
        self._drive()

    def _on_disk_rolled_back(self) -> None:
        """Rejoins with a new disk id: the others know more of this disk than it holds, so it is an old copy."""
        if self.is_writing:
            self.reactor.callLater(WRITE_POLL_SECONDS, self._on_disk_rolled_back)
            return
        logger.error("the disk holds less than it reported before, so it is an old copy; rejoining with a new disk id")
        self.jobs.clear()
        self.is_writing = True
        boot_id = self.boot.boot_id

        def on_discarded(boot: BootState) -> None:
            self.is_writing = False
            self._load_boot_state(boot)

        def on_failed(failure: Any) -> None:
            self.is_writing = False
            self._report_disk_trouble(failure)
            self.reactor.callLater(
                DISK_RETRY_SECONDS, lambda: self._on_disk_rolled_back() if self.boot.boot_id == boot_id else None
            )

        self.store_thread.run(self.store.discard_disk_state).addCallbacks(on_discarded, on_failed)

    # ---- driving the core ----

    def _drive(self) -> None:
        """Carries out what the core asks for, until it asks for nothing more."""
        core = self.core
        if core.installed_snapshot is not None:
            snapshot, core.installed_snapshot = core.installed_snapshot, None
            if snapshot.data:
                self._on_registry_installed(snapshot.data)
        writes, core.writes = core.writes, []
        for write in writes:
            self._queue_job(write)
        outcomes, core.outcomes = core.outcomes, []
        for outcome in outcomes:
            self._on_outcome(outcome)
        to_validate, core.to_validate = core.to_validate, []
        for at, body in to_validate:
            core.validated(at, self._validate(at, body), self.clock())
        self._update_held_tenants()
        outbox, core.outbox = core.outbox, []
        for name, message in outbox:
            self.links.send(name, self._frame(name, FrameKind.CONSENSUS, encode(message)))
        if core.snapshot_needed and not self.is_reading_snapshot:
            self.is_reading_snapshot = True
            self.store_thread.run(self.store.snapshot).addCallbacks(self._on_snapshot_read, self._on_snapshot_failed)
        if to_validate or core.writes or core.outcomes or core.to_validate:
            self._drive()
        self._fail_superseded()

    def _on_snapshot_read(self, found: tuple[int, bytes]) -> None:
        self.is_reading_snapshot = False
        self.core.provide_snapshot(*found)

    def _on_snapshot_failed(self, failure: Any) -> None:
        self.is_reading_snapshot = self.core.snapshot_needed = False
        self._report_disk_trouble(failure)

    def _validate(self, at: int, body: bytes) -> Rejection | None:
        """Why this machine cannot apply the change, or None. Binds its listeners, which accept nothing yet."""
        try:
            commit = commit_of(_change.decode(body))
            name = commit.record.tenant
            if commit.entry is None and name in self.host.runtimes and not self.host.runtimes[name].has_ended():
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
        """The registry in force with the commit's change."""
        tenants = {name: entry for name, entry in self.agreed_registry.tenants.items() if name != commit.record.tenant}
        if commit.entry is not None:
            tenants[commit.record.tenant] = commit.entry
        return Registry(MappingProxyType(tenants), commit.record.version)

    def _on_outcome(self, outcome: Outcome) -> None:
        if self.unreadable:
            return
        waiter = self.waiters.pop((outcome.term, outcome.proposal_index), None)
        name, prepared = self.prepared.pop(outcome.proposal_index, ("", None))
        if not outcome.decided:
            if prepared is not None:
                prepared.drop()
            self._queue_job(MarkApplied(outcome.index))
            if waiter is not None:
                waiter.errback(
                    ChangeAborted(outcome.rejection.member, outcome.rejection.field, outcome.rejection.reason)
                )
            return
        try:
            commit = commit_of(_change.decode(outcome.body))
        except (StoreError, msgspec.DecodeError) as fault:
            # A later version of the program wrote it. Without it this member does not know what is in force.
            self.unreadable = f"a change can't be read here: {fault}"
            logger.error("cannot decode a change that is in force; refusing new transactions until the next start")
            return
        self._apply_change(commit, prepared)
        if commit.reply is not None:
            self.pending_replies[(commit.reply.who, commit.reply.key_digest)] = commit.reply
        self._queue_job(MarkApplied(outcome.index, commit))
        if waiter is not None:
            waiter.callback(None)

    def _apply_change(self, commit: Commit, prepared: Any) -> None:
        logged = commit.record
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
        except Exception as fault:  # a bug: without the change this member must serve nothing
            logger.bind(tenant=logged.tenant, version=logged.version).exception("a change could not be applied")
            self._cannot_apply(logged.tenant, InvalidField("", f"a fault of the program: {fault}"))
        logger.bind(
            tenant=logged.tenant, version=logged.version, who=logged.who, kind=logged.kind, clock=time.monotonic_ns()
        ).info("changed")
        self.on_change()

    def _cannot_apply(self, name: str, fault: InvalidField) -> None:
        if not self.unappliable:
            self.reactor.callLater(ADOPT_RETRY_SECONDS, self._adopt_registry)
            logger.bind(tenant=name, cause=str(fault)).error(
                "cannot apply the registry in force; refusing new transactions"
            )
        self.unappliable = f"tenants.{name}.{fault.field}: {fault.reason}" if fault.field else fault.reason

    def _on_registry_installed(self, data: bytes) -> None:
        """Adopts a registry that came as a snapshot, as the leader's log no longer reaches back far enough."""
        try:
            self.agreed_registry = decode_snapshot(data).registry()
        except StoreError as fault:
            logger.bind(cause=str(fault)).error("cannot decode the registry in force")
            self.unreadable = "what is in force can't be read here"
            return
        self._drop_prepared()
        self._adopt_registry()
        self.on_change()

    def _adopt_registry(self) -> None:
        """Applies the registry in force to the host, tenant by tenant; retried while a tenant cannot be applied."""
        if self.stopped:
            return
        self.unappliable, registry = "", self.agreed_registry
        for name in sorted({*registry.tenants, *self.host.runtimes}):
            runtime = self.host.runtimes.get(name)
            if registry.tenants.get(name) == (runtime.entry if runtime is not None else None):
                continue
            try:
                self.host.apply(registry, name, self.host.prepare(registry, name))
            except InvalidField as fault:
                self._cannot_apply(name, fault)
            except Exception as fault:
                logger.bind(tenant=name).exception("a tenant that is in force could not be applied")
                self._cannot_apply(name, InvalidField("", f"a fault of the program: {fault}"))
        self.host.registry = registry

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
        self.store_thread.run(self.store.execute, jobs).addCallbacks(
            self._on_written, self._on_write_failed, callbackArgs=(jobs,)
        )

    def _on_written(self, done: None, jobs: list[Job]) -> None:
        self.is_writing = False
        if self.disk_trouble:
            logger.info("the store accepts writes again")
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
                        job.term, bool(job.voted_for), self.durable.last_term, self.durable.last_index
                    )
            elif isinstance(job, MarkApplied):
                if job.change is not None and job.change.reply is not None:
                    self.pending_replies.pop((job.change.reply.who, job.change.reply.key_digest), None)
                if job.index - self.core.log.base_index >= self.config.retained_log_entries * 5 // 4:
                    self._compact(job.index - self.config.retained_log_entries)
        if number:
            self.core.write_completed(number, self.clock())
            self._drive()
        if not self.is_writing:
            self._write_jobs()
        self._flush()

    def when_flushed(self) -> "Deferred[None]":
        """Fires once everything in force here is on disk, or at once if the disk fails or too many wait."""
        if not self.jobs or self.disk_trouble or len(self.flush_waiters) >= MAX_FORWARDED_CALLS:
            return succeed(None)
        waiter: Deferred[None] = Deferred()
        self.flush_waiters.append(waiter)
        return waiter

    def _flush(self) -> None:
        if not self.jobs or self.disk_trouble or self.stopped:
            waiters, self.flush_waiters = self.flush_waiters, []
            for waiter in waiters:
                waiter.callback(None)

    def _compact(self, index: int) -> None:
        log = self.core.log
        before = log.base_index
        self.core.compact(index)
        if log.base_index != before:
            self._queue_job(CompactLog(log.base_index, log.base_term, log.base_membership))

    def _on_write_failed(self, failure: Any) -> None:
        """Reports the error and retries; meanwhile the core sends nothing that relies on the writes."""
        self.is_writing = False
        self._report_disk_trouble(failure)
        self._flush()
        self.reactor.callLater(DISK_RETRY_SECONDS, lambda: None if self.is_writing else self._write_jobs())

    def _report_disk_trouble(self, failure: Any) -> None:
        if not self.disk_trouble:
            logger.bind(cause=str(failure.value)).error(
                "the store rejects writes; this member does not vote until it accepts them"
            )
        self.disk_trouble = str(failure.value)
        if not failure.check(StoreError):
            logger.error("uncaught: {}", failure.getTraceback())

    # ---- changes ----

    def is_leader(self) -> bool:
        return self.core.is_leader()

    def propose(self, commit: Commit) -> "Deferred[None]":
        """Fires once the change is in force; fails with ChangeAborted, OutcomeUnknown or RetryLater."""
        try:
            at = self.core.propose(msgspec.msgpack.encode(change_of(commit)), self.clock())
        except RetryLater as fault:
            return fail(fault)
        waiter: Deferred[None] = Deferred()
        key = self.core.term, at
        self.waiters[key] = waiter
        timer = self.reactor.callLater(self.outcome_timeout_seconds, self._give_up, key)

        def on_outcome(result: Any) -> Any:
            self.waiters.pop(key, None)
            if timer.active():
                timer.cancel()
            return result

        waiter.addBoth(on_outcome)
        self._drive()
        return waiter

    def _give_up(self, key: tuple[int, int]) -> None:
        if key in self.waiters:
            self.waiters[key].errback(OutcomeUnknown())

    def _fail_superseded(self) -> None:
        """Fails the waiters of proposals that can no longer come into force: another entry is committed there."""
        for (term, at), waiter in list(self.waiters.items()):
            if at <= self.core.commit_index and self.core.log.term_at(at) not in (term, -1):
                waiter.errback(RetryLater("another one leads by now", self.core.leader))
        if self.was_leader and not self.core.is_leader():
            # By then it is mostly known whether the next leader continues the proposal; if not, the client retries.
            for key in self.waiters:
                self.reactor.callLater(self.config.lease_ns / SECOND, self._give_up, key)
        self.was_leader = self.core.is_leader()
        for leader, reply in list(self.forwarded.values()):
            if self.core.leader not in ("", leader):
                reply.callback(OUTCOME_UNKNOWN)  # the leader that it went to was replaced

    def forward_to_leader(self, call: Call) -> "Deferred[Reply]":
        """Forwards a call to the leader and fires with the leader's reply, or with a problem."""
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
        # A lost message is not sent again: the client repeats the call with its idempotency key and gets the outcome.
        timer = self.reactor.callLater(1 + self.config.lease_ns / SECOND, reply.callback, OUTCOME_UNKNOWN)

        def on_reply(result: Reply) -> Reply:
            self.forwarded.pop(id, None)
            if timer.active():
                timer.cancel()
            return result

        reply.addCallback(on_reply)
        text = Forwarded(id, (call.method, call.path, dict(call.query), dict(call.headers), call.body, call.peer))
        self.links.send(leader, self._frame(leader, FrameKind.CALL, msgspec.msgpack.encode(text)))
        return reply

    def _on_forwarded(self, sender: str, message: Forwarded) -> None:
        if message.call is not None:
            call = Call(*message.call)
            reply = (
                self.execute_call(call)
                if self.is_leader()
                else succeed(problem(503, f"{self.me.name} leads no more", headers={"retry-after": "1"}))
            )
            reply.addCallback(self._send_reply, sender, message.id)
        elif message.reply is not None and message.id in self.forwarded:
            status, body, headers = message.reply
            self.forwarded[message.id][1].callback(Reply(status, orjson.loads(body) if body else None, headers))

    def _send_reply(self, reply: Reply, recipient: str, id: int) -> None:
        body = orjson.dumps(reply.body) if reply.body is not None else b""
        text = msgspec.msgpack.encode(Forwarded(id, None, (reply.status, body, dict(reply.headers))))
        self.links.send(recipient, self._frame(recipient, FrameKind.REPLY, text))

    def pending_reply(self, who: str, key: bytes) -> StoredReply | None:
        """The answer to an earlier call with this idempotency key, if it is not on disk yet."""
        return self.pending_replies.get((who, key))

    def remove_member(self, name: str) -> Reply:
        """Removes a member for good. Only the leader can do this."""
        return self._change_membership(self.core.remove_member, name, "leaving")

    def readmit_member(self, name: str) -> Reply:
        """Lets a removed member rejoin. Only the leader can do this."""
        return self._change_membership(self.core.readmit_member, name, "welcome")

    def _change_membership(self, change: Callable[[str, int], None], name: str, field: str) -> Reply:
        try:
            change(name, self.clock())
        except RetryLater as fault:
            return problem(503, fault.reason, headers={"retry-after": "1"})
        except ValueError as fault:
            return problem(422, str(fault), "member")
        self._drive()
        return Reply(202, {field: name})

    # ---- status ----

    def status(self) -> dict[str, Any]:
        """The fleet as this member sees it, as the API returns it."""
        now, reachability = self.clock(), self.peer_table.reachability(self.clock())
        membership = self.core.membership()
        disks = {one.name: one.disk_id for one in membership.members}
        rows = []
        for name in sorted({*self.config.endpoints, *disks}):
            is_self, ping = name == self.me.name, self.pings.get(name)
            reason = self.refusal_reason() if is_self else ping.refusal_reason if ping else ""
            rows.append(
                {
                    "name": name,
                    "member": name in disks,
                    "leads": name == self.core.leader,
                    "reach": "here" if is_self else reachability.get(name, "not in the file"),
                    "version": self.agreed_registry.version if is_self else ping.version if ping else None,
                    "fenced": bool(reason),
                    "why": reason,
                    "disk": self.disk_trouble if is_self else ping.disk_trouble if ping else "",
                    "heard_ms": 0 if is_self else self._silence_ms(name, now),
                }
            )
        open_proposal = self.core.log.open_proposal()
        return {
            "fleet": self.config.fleet,
            "me": self.me.name,
            "leader": self.core.leader,
            "term": self.core.term,
            "version": self.agreed_registry.version,
            "log": self.core.log.last_index,
            "committed": self.core.commit_index,
            "under_way": bool(open_proposal),
            "waits_for": self.core.waiting_for(now) if self.is_leader() else [],
            "alone": "go-on" if self.config.serve_without_majority else "stop",
            "lease_ms": self.config.lease_ns // MS,
            "members": rows,
            "out": list(membership.removed),
            "dropped": dict(sorted(self.links.drop_counts.items())),
        }

    def _silence_ms(self, name: str, now: int) -> int | None:
        """How long ago the peer was last heard, None for never."""
        peer = self.peer_table.peers.get(name)
        return (now - peer.heard_at) // MS if peer is not None and peer.heard_at else None


def encode_int(number: int) -> bytes:
    return msgspec.msgpack.encode(number)
