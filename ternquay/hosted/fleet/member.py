"""One member of a fleet as it runs: the agreement's core with links, disk and tenants, and what it tells of itself.

    fleet = FleetMember(reactor, service, host, stored, life)
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

from ternquay.consensus.core import Core, Outcome, Timing, Write
from ternquay.consensus.errors import ChangeAborted, OutcomeUnknown, RetryLater
from ternquay.consensus.founding import Founding
from ternquay.consensus.messages import Member, Rejection, decode_message, encode
from ternquay.hosted.administration.api import Call, Reply, problem
from ternquay.hosted.fleet.store import Applied, FleetStore, Forgot, Founded, Job, Life, carried_of
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

SECOND, MS = 1_000_000_000, 1_000_000
PING, SUSPECT = 0.25, 1500 * MS
FENCED, HELD = 250 * MS, 20 * MS  # what comes is told to come again after about so long
PATIENCE, PASSED_MOST = 2.0, 64  # seconds, and three leases
DISK_AGAIN, ADOPT_AGAIN = 1.0, 0.5
UNKNOWN = problem(504, "whether the change was made isn't known yet; ask again, with the key that the call had")


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
    founded: Founded | None
    why_not: str  # it takes nothing
    trouble: str  # with its disk
    leader: str


class Passed(msgspec.Struct, frozen=True, array_like=True):
    """A call that is passed on to who leads, or its reply."""

    id: int
    call: tuple[str, str, dict[str, str], dict[str, str], bytes, str] | None = None
    reply: tuple[int, bytes, dict[str, str]] | None = None


_change = msgspec.msgpack.Decoder(Change)
_ping = msgspec.msgpack.Decoder(Ping)
_passed = msgspec.msgpack.Decoder(Passed)


def change_of(commit: Commit) -> Change:
    one, answered, noted = commit.record, commit.reply, commit.audit
    return Change(
        one.tenant,
        one.version,
        one.at,
        one.who,
        one.kind,
        one.body,
        (encode_tenant(commit.entry.tenant), commit.entry.version, commit.entry.incarnation) if commit.entry else None,
        (answered.who, answered.key_digest, answered.call_digest, answered.status, answered.body) if answered else None,
        (noted.who, noted.peer, noted.call, noted.status, noted.reason) if noted else None,
    )


def commit_of(told: Change) -> Commit:
    """Raises StoreError."""
    entry = TenantEntry(decode_tenant(told.entry[0]), *told.entry[1:]) if told.entry else None
    answered = None
    if told.answered is not None:
        who, key, asked, status, body = told.answered
        answered = StoredReply(who, key, asked, status, told.version, body)
    return Commit(
        ChangeRecord(told.version, told.at, told.who, told.tenant, told.kind, told.detail),
        entry,
        answered,
        AuditRecord(told.at, *told.noted) if told.noted else None,
    )


def clock() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class FleetMember:
    def __init__(
        self,
        reactor: Any,
        fellows: FleetConfig,
        host: Any,
        stored: Any,
        store: FleetStore,
        life: Life,
        clock: Callable[[], int] = clock,
    ) -> None:
        self.reactor, self.fellows, self.host, self.stored, self.store = reactor, fellows, host, stored, store
        self.clock, self.random = clock, Random()
        self.timing = Timing.for_lease(fellows.lease_ns, fellows.serve_without_majority)
        self.patience = PATIENCE + 3 * fellows.lease_ns / SECOND
        others = {name: place for name, place in fellows.endpoints.items() if name != fellows.own_name}
        self.peer_table = PeerTable(tuple(others), SUSPECT)
        self.links = Links(
            reactor,
            (fellows.listen.host, fellows.listen.port),
            {name: (place.host, place.port) for name, place in others.items()},
            self._taken,
            self.random,
        )
        self.jobs: deque[Job] = deque()
        self.writing = self.reading = False
        self.trouble = ""
        self.durable = DurableState()
        self.pings: dict[str, Ping] = {}
        self.held: frozenset[str] = frozenset()
        self.prepared: dict[int, tuple[str, Any]] = {}
        self.agreed_registry: Registry = (
            host.registry
        )  # what is in force; the host may be behind, and takes nothing then
        self.unfit = ""  # why what is in force can't be had here
        self.unread = ""  # what of it can't be read here: for good, and all that follows waits for it
        self.waiters: dict[tuple[int, int], Deferred[None]] = {}
        self.unsaved: dict[tuple[str, bytes], StoredReply] = {}  # answers that are not on disk yet
        self.passed: dict[int, tuple[str, Deferred[Reply]]] = {}  # to whom
        self.led = False  # as of the last look
        self.flushes: list[Deferred[None]] = []
        self.execute_call: Callable[[Call], Deferred[Reply]] = lambda call: succeed(UNKNOWN)
        self.on_change: Callable[[], None] = lambda: None
        self.ended = False
        self.told_why = "not begun"
        self._live(life)

    def _live(self, life: Life) -> None:
        now = self.clock()
        self._unprepare()
        self.life, self.founded = life, life.founded
        self.me = Member(self.fellows.own_name, life.disk)
        self.core = Core(self.me, life.kept, self.timing, self.random, life.boot, now)
        self.durable = DurableState(
            life.kept.term, bool(life.kept.voted_for), life.kept.log.last_term, life.kept.log.last_index
        )
        empty = self.founded is None and not life.was_of_fleet and not self.core.log.last_index
        self.founding = (
            Founding(self.me, tuple(self.fellows.endpoints), self.agreed_registry.version) if empty else None
        )
        self._hold()

    # ---- beginning and end ----

    def start(self) -> None:
        """Raises InvalidField."""
        try:
            self.links.start()
        except CannotListenError as fault:
            raise InvalidField(
                "peers.members", f"{self.fellows.own_name}: can't be bound: {fault.socketError}"
            ) from fault
        many = len(self.fellows.endpoints)
        if many % 2 == 0 or many == 1:
            logger.warning("{} members bear the loss of {}, as {} would", many, (many - 1) // 2, max(1, many - 1))
        self._found()
        self._tick()
        self._ping()

    def step_down(self) -> None:
        """It is told to end: another one leads, while this one finishes what it has taken."""
        self.core.step_down(self.clock())

    def stop(self) -> None:
        self.ended = True
        self.links.stop()
        self._flush()
        for waiting in list(self.waiters.values()):
            waiting.errback(OutcomeUnknown())
        for _, reply in list(self.passed.values()):
            reply.callback(UNKNOWN)

    def _tick(self) -> None:
        if not self.ended:
            self.reactor.callLater(self.timing.heartbeat_interval / 3 / SECOND, self._tick)
            self.core.tick(self.clock())
            self._drive()
            self._tell()

    def _tell(self) -> None:
        """That it takes nothing, and that it does again, each once."""
        why = self.why_not()
        if bool(why) != bool(self.told_why):
            if why:
                logger.bind(cause=why, clock=time.monotonic_ns()).warning("takes nothing")
            else:
                logger.bind(version=self.agreed_registry.version, clock=time.monotonic_ns()).info("takes what comes")
        self.told_why = why

    # ---- whether a tx may be taken ----

    def admission_delay(self, tenant: str) -> int:
        if self.unread or self.unfit or not self.core.may_serve(self.clock()):
            return FENCED
        return HELD if tenant in self.held else 0

    def why_not(self) -> str:
        """Why nothing is taken, "" if it is."""
        if self.founding is not None:
            missing = ", ".join(self.founding.missing())
            return self.founding.conflict or f"the fleet isn't founded: {missing} not heard yet"
        return self.unread or self.unfit or self.core.refusal_reason(self.clock())

    def _hold(self) -> None:
        names = set()
        for at in self.core.held_proposals:
            if self.core.log.base_index < at <= self.core.log.last_index:
                names.add(_change.decode(self.core.log.entry(at).body).tenant)
        self.held = frozenset(names)

    # ---- frames ----

    def _frame(self, to: str, what: FrameKind, body: bytes) -> bytes:
        founded = self.founded.id if self.founded is not None else ""
        return seal(
            Frame(
                FRAME_VERSION,
                self.fellows.fleet,
                founded,
                self.me.name,
                self.me.disk_id,
                self.life.boot,
                to,
                self.durable,
                what,
                body,
            ),
            self.fellows.key,
        )

    def _taken(self, text: bytes) -> bool:
        """Whatever it is, it ends nothing here. Whether it came from a member."""
        founded = self.founded.id if self.founded is not None else ""
        try:
            frame = open_frame(text, self.fellows.key, self.fellows.fleet, self.me.name, founded)
            self.peer_table.record(frame, self.clock())
        except FrameRejected as dropped:
            self.links.drop_counts[str(dropped)] += 1
            if str(dropped) == "set back":
                self.links.send(
                    frame.sender, self._frame(frame.sender, FrameKind.DISK_ROLLED_BACK, encoded_int(frame.boot_id))
                )
            return str(dropped) in ("set back", "start")
        try:
            self._heard(frame)
        except ValueError:  # of the decoders
            self.links.drop_counts["form"] += 1
        return True

    def _heard(self, frame: Frame) -> None:
        now, sender = self.clock(), Member(frame.sender, frame.disk_id)
        self.core.learners[sender.name] = sender.disk_id
        if frame.kind is FrameKind.CONSENSUS:
            if self.founding is None:
                self.core.receive(sender, decode_message(frame.body), now)
                self._drive()
        elif frame.kind is FrameKind.PING:
            self._pinged(sender, _ping.decode(frame.body))
        elif frame.kind is FrameKind.DISK_ROLLED_BACK:
            if msgspec.msgpack.decode(frame.body, type=int) == self.life.boot:
                self._set_back()
        else:
            self._passed_on(frame.sender, _passed.decode(frame.body))

    def _ping(self) -> None:
        if self.ended:
            return
        self.reactor.callLater(PING, self._ping)
        body = msgspec.msgpack.encode(
            Ping(self.agreed_registry.version, self.founded, self.why_not(), self.trouble, self.core.leader)
        )
        for name in self.peer_table.peers:
            self.links.ping(name, self._frame(name, FrameKind.PING, body))

    def _pinged(self, sender: Member, ping: Ping) -> None:
        self.pings[sender.name] = ping
        if self.founding is not None:
            if ping.founded is None:
                self.founding.heard(sender.name, sender.disk_id, ping.version)
                self._found()
            elif self.me in ping.founded.membership.members:
                self._begin_as(ping.founded)
            elif self.agreed_registry.version:
                self.founding.conflict = "has a registry of its own, and the fleet is there: begin with an empty store"
            else:
                self.founding = None  # a fleet that is there takes it in
        elif self.founded is None and ping.founded is not None and self.core.is_voter():
            self.founded = ping.founded
            self._carry(ping.founded)

    # ---- founding, and a disk that was set back ----

    def _found(self) -> None:
        found = self.founding.found() if self.founding is not None else None
        if found is not None:
            self._begin_as(Founded(*found))

    def _begin_as(self, founded: Founded) -> None:
        self.founded, self.founding = founded, None
        self.jobs.append(founded)  # goes to disk with what the core writes for it, or neither does
        self.core.bootstrap(founded.membership, int(bool(founded.brings)), founded.brings == self.me.name, self.clock())
        logger.bind(fleet=founded.id).info("the fleet is founded, of {}", ", ".join(founded.membership.names()))
        self._drive()

    def _set_back(self) -> None:
        """Others know more of this disk than it holds: it is an old copy, and counts for nothing as it is."""
        if self.writing:
            self.reactor.callLater(0.05, self._set_back)
            return
        logger.error("the disk holds less than the fleet has from it: an old copy. It is taken in as a new one")
        self.jobs.clear()
        self.writing = True
        boot = self.life.boot

        def over(life: Life) -> None:
            self.writing = False
            self._live(life)

        def fault(failure: Any) -> None:
            self.writing = False
            self._troubled(failure)
            self.reactor.callLater(DISK_AGAIN, lambda: self._set_back() if self.life.boot == boot else None)

        self.stored.do(self.store.give_up_disk).addCallbacks(over, fault)

    # ---- what the core wants done ----

    def _drive(self) -> None:
        core = self.core
        if core.installed_snapshot is not None:
            one, core.installed_snapshot = core.installed_snapshot, None
            if one.data:
                self._installed(one.data)
        writes, core.writes = core.writes, []
        for write in writes:
            self._carry(write)
        outcomes, core.outcomes = core.outcomes, []
        for outcome in outcomes:
            self._outcome(outcome)
        judge, core.to_validate = core.to_validate, []
        for at, body in judge:
            core.validated(at, self._judge(at, body), self.clock())
        self._hold()
        out, core.outbox = core.outbox, []
        for name, message in out:
            self.links.send(name, self._frame(name, FrameKind.CONSENSUS, encode(message)))
        if core.snapshot_needed and not self.reading:
            self.reading = True
            self.stored.do(self.store.snapshot).addCallbacks(self._snapshot, self._no_snapshot)
        if judge or core.writes or core.outcomes or core.to_validate:
            self._drive()
        self._overtaken()

    def _snapshot(self, found: tuple[int, bytes]) -> None:
        self.reading = False
        self.core.provide_snapshot(*found)

    def _no_snapshot(self, failure: Any) -> None:
        self.reading = self.core.snapshot_needed = False
        self._troubled(failure)

    def _judge(self, at: int, body: bytes) -> Rejection | None:
        """Whether this machine can have it: its listeners are bound, and accept nothing yet."""
        try:
            commit = commit_of(_change.decode(body))
            name = commit.record.tenant
            if commit.entry is None and name in self.host.runtimes and not self.host.runtimes[name].has_ended():
                raise InvalidField("state", "transactions of it are still open")
            self._unprepare()
            self.prepared[at] = name, self.host.prepare(self._after(commit), name)
        except InvalidField as fault:
            return Rejection("", fault.field, fault.reason)
        except (StoreError, msgspec.DecodeError) as fault:
            return Rejection("", "change", f"can't be read here: {fault}")
        return None

    def _unprepare(self) -> None:
        for _, prepared in self.prepared.values():
            prepared.drop()
        self.prepared.clear()

    def _after(self, commit: Commit) -> Registry:
        tenants = {name: entry for name, entry in self.agreed_registry.tenants.items() if name != commit.record.tenant}
        if commit.entry is not None:
            tenants[commit.record.tenant] = commit.entry
        return Registry(MappingProxyType(tenants), commit.record.version)

    def _outcome(self, one: Outcome) -> None:
        if self.unread:
            return
        waiting = self.waiters.pop((one.term, one.proposal_index), None)
        name, prepared = self.prepared.pop(one.proposal_index, ("", None))
        if not one.decided:
            if prepared is not None:
                prepared.drop()
            self._carry(Applied(one.index))
            if waiting is not None:
                waiting.errback(ChangeAborted(one.rejection.member, one.rejection.field, one.rejection.reason))
            return
        try:
            commit = commit_of(_change.decode(one.body))
        except (StoreError, msgspec.DecodeError) as fault:
            # Written by a later version of the program: without it this one has nothing to take by.
            self.unread = f"a change can't be read here: {fault}"
            logger.error("a change that is in force can't be read here; nothing is taken until the next start")
            return
        self._in_force(commit, prepared)
        if commit.reply is not None:
            self.unsaved[(commit.reply.who, commit.reply.key_digest)] = commit.reply
        self._carry(Applied(one.index, commit))
        if waiting is not None:
            waiting.callback(None)

    def _in_force(self, commit: Commit, prepared: Any) -> None:
        logged = commit.record
        self.agreed_registry = after = self._after(commit)
        try:
            if self.unfit:
                raise InvalidField("", self.unfit)
            if prepared is None:
                prepared = self.host.prepare(after, logged.tenant)
            self.host.apply(after, logged.tenant, prepared)
        except InvalidField as fault:
            if prepared is not None:
                prepared.drop()
            self._cannot(logged.tenant, fault)
        except Exception as fault:  # of the program: this member is without the change, so it takes nothing
            logger.bind(tenant=logged.tenant, version=logged.version).exception("a change could not be applied")
            self._cannot(logged.tenant, InvalidField("", f"a fault of the program: {fault}"))
        logger.bind(
            tenant=logged.tenant, version=logged.version, who=logged.who, kind=logged.kind, clock=time.monotonic_ns()
        ).info("changed")
        self.on_change()

    def _cannot(self, name: str, fault: InvalidField) -> None:
        if not self.unfit:
            self.reactor.callLater(ADOPT_AGAIN, self._adopt)
            logger.bind(tenant=name, cause=str(fault)).error("what is in force can't be had here; nothing is taken")
        self.unfit = f"tenants.{name}.{fault.field}: {fault.reason}" if fault.field else fault.reason

    def _installed(self, data: bytes) -> None:
        """FrameKind is in force came whole, as the log goes back no further."""
        try:
            self.agreed_registry = carried_of(data).registry()
        except StoreError as fault:
            logger.bind(cause=str(fault)).error("what is in force can't be read here")
            self.unread = "what is in force can't be read here"
            return
        self._unprepare()
        self._adopt()
        self.on_change()

    def _adopt(self) -> None:
        """Makes the host what is in force, tenant by tenant; tried again until it is."""
        if self.ended:
            return
        self.unfit, there = "", self.agreed_registry
        for name in sorted({*there.tenants, *self.host.runtimes}):
            tenancy = self.host.runtimes.get(name)
            if there.tenants.get(name) == (tenancy.entry if tenancy is not None else None):
                continue
            try:
                self.host.apply(there, name, self.host.prepare(there, name))
            except InvalidField as fault:
                self._cannot(name, fault)
            except Exception as fault:
                logger.bind(tenant=name).exception("a tenant that is in force could not be applied")
                self._cannot(name, InvalidField("", f"a fault of the program: {fault}"))
        self.host.registry = there

    # ---- disk ----

    def _carry(self, job: Job) -> None:
        self.jobs.append(job)
        if not self.writing:
            self._write()

    def _write(self) -> None:
        if self.ended or not self.jobs:
            return
        self.writing = True
        jobs = list(self.jobs)
        self.stored.do(self.store.carry, jobs).addCallbacks(self._written, self._unwritten, callbackArgs=(jobs,))

    def _written(self, done: None, jobs: list[Job]) -> None:
        self.writing = False
        if self.trouble:
            logger.info("the store takes changes again")
        self.trouble = ""
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
            elif isinstance(job, Applied):
                if job.change is not None and job.change.reply is not None:
                    self.unsaved.pop((job.change.reply.who, job.change.reply.key_digest), None)
                if job.index - self.core.log.base_index >= self.fellows.retained_log_entries * 5 // 4:
                    self._forget(job.index - self.fellows.retained_log_entries)
        if number:
            self.core.write_completed(number, self.clock())
            self._drive()
        if not self.writing:
            self._write()
        self._flush()

    def when_flushed(self) -> "Deferred[None]":
        """Once all that is in force here is on disk, or can't be."""
        if not self.jobs or self.trouble or len(self.flushes) >= PASSED_MOST:
            return succeed(None)
        waiting: Deferred[None] = Deferred()
        self.flushes.append(waiting)
        return waiting

    def _flush(self) -> None:
        if not self.jobs or self.trouble or self.ended:
            flushes, self.flushes = self.flushes, []
            for waiting in flushes:
                waiting.callback(None)

    def _forget(self, index: int) -> None:
        log = self.core.log
        before = log.base_index
        self.core.compact(index)
        if log.base_index != before:
            self._carry(Forgot(log.base_index, log.base_term, log.base_membership))

    def _unwritten(self, failure: Any) -> None:
        """It says so, tries again, and meanwhile says nothing that would have to be on disk."""
        self.writing = False
        self._troubled(failure)
        self._flush()
        self.reactor.callLater(DISK_AGAIN, lambda: None if self.writing else self._write())

    def _troubled(self, failure: Any) -> None:
        if not self.trouble:
            logger.bind(cause=str(failure.value)).error("the store takes no changes; this member votes for none")
        self.trouble = str(failure.value)
        if not failure.check(StoreError):
            logger.error("uncaught: {}", failure.getTraceback())

    # ---- changes ----

    def is_leader(self) -> bool:
        return self.core.is_leader()

    def propose(self, commit: Commit) -> "Deferred[None]":
        try:
            at = self.core.propose(msgspec.msgpack.encode(change_of(commit)), self.clock())
        except RetryLater as fault:
            return fail(fault)
        waiting: Deferred[None] = Deferred()
        key = self.core.term, at
        self.waiters[key] = waiting
        timer = self.reactor.callLater(self.patience, self._unknown, key)

        def over(result: Any) -> Any:
            self.waiters.pop(key, None)
            if timer.active():
                timer.cancel()
            return result

        waiting.addBoth(over)
        self._drive()
        return waiting

    def _unknown(self, key: tuple[int, int]) -> None:
        if key in self.waiters:
            self.waiters[key].errback(OutcomeUnknown())

    def _overtaken(self) -> None:
        """A proposal in whose place another entry is committed is nowhere, and never will be in force."""
        for (term, at), waiting in list(self.waiters.items()):
            if at <= self.core.commit_index and self.core.log.term_at(at) not in (term, -1):
                waiting.errback(RetryLater("another one leads by now", self.core.leader))
        if self.led and not self.core.is_leader():
            # Whether the next leader carries it on is mostly known by then; else whoever asked asks again.
            for key in self.waiters:
                self.reactor.callLater(self.fellows.lease_ns / SECOND, self._unknown, key)
        self.led = self.core.is_leader()
        for leader, reply in list(self.passed.values()):
            if self.core.leader not in ("", leader):
                reply.callback(UNKNOWN)  # to that one nobody listens any more

    def forward_to_leader(self, call: Call) -> "Deferred[Reply]":
        """A change that was asked for here goes to who leads; its reply comes back the same way."""
        leader = self.core.leader
        if not leader or leader == self.me.name or len(self.passed) >= PASSED_MOST:
            return succeed(
                problem(
                    503,
                    "nobody leads: no majority of the fleet is in reach" if not leader else "too many changes wait",
                    headers={"retry-after": "1"},
                )
            )
        id = self.random.getrandbits(53)
        reply: Deferred[Reply] = Deferred()
        self.passed[id] = leader, reply
        # A lost word is not waited for: whoever asked asks again, with its key, and is told what became of it.
        timer = self.reactor.callLater(1 + self.fellows.lease_ns / SECOND, reply.callback, UNKNOWN)

        def over(told: Reply) -> Reply:
            self.passed.pop(id, None)
            if timer.active():
                timer.cancel()
            return told

        reply.addCallback(over)
        text = Passed(id, (call.method, call.path, dict(call.query), dict(call.headers), call.body, call.peer))
        self.links.send(leader, self._frame(leader, FrameKind.CALL, msgspec.msgpack.encode(text)))
        return reply

    def _passed_on(self, sender: str, told: Passed) -> None:
        if told.call is not None:
            call = Call(*told.call)
            done = (
                self.execute_call(call)
                if self.is_leader()
                else succeed(problem(503, f"{self.me.name} leads no more", headers={"retry-after": "1"}))
            )
            done.addCallback(self._reply, sender, told.id)
        elif told.reply is not None and told.id in self.passed:
            status, body, headers = told.reply
            self.passed[told.id][1].callback(Reply(status, orjson.loads(body) if body else None, headers))

    def _reply(self, reply: Reply, to: str, id: int) -> None:
        body = orjson.dumps(reply.body) if reply.body is not None else b""
        text = msgspec.msgpack.encode(Passed(id, None, (reply.status, body, dict(reply.headers))))
        self.links.send(to, self._frame(to, FrameKind.REPLY, text))

    def pending_answer(self, who: str, key: bytes) -> StoredReply | None:
        return self.unsaved.get((who, key))

    def remove_member(self, name: str) -> Reply:
        """Takes a member out, for good; here, where the fleet is led."""
        return self._members(self.core.remove_member, name, "leaving")

    def readmit_member(self, name: str) -> Reply:
        """Lets one that was taken out come in again."""
        return self._members(self.core.readmit_member, name, "welcome")

    def _members(self, change: Callable[[str, int], None], name: str, word: str) -> Reply:
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
        for name in sorted({*self.fellows.endpoints, *disks}):
            mine, ping = name == self.me.name, self.pings.get(name)
            why = self.why_not() if mine else ping.why_not if ping else ""
            rows.append(
                {
                    "name": name,
                    "member": name in disks,
                    "leads": name == self.core.leader,
                    "reach": "here" if mine else believed.get(name, "not in the file"),
                    "version": self.agreed_registry.version if mine else ping.version if ping else None,
                    "fenced": bool(why),
                    "why": why,
                    "disk": self.trouble if mine else ping.trouble if ping else "",
                    "heard_ms": 0 if mine else self._age(name, now),
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
            "alone": "go-on" if self.fellows.serve_without_majority else "stop",
            "lease_ms": self.fellows.lease_ns // MS,
            "members": rows,
            "out": list(membership.removed),
            "dropped": dict(sorted(self.links.drop_counts.items())),
        }

    def _age(self, name: str, now: int) -> int | None:
        known = self.peer_table.peers.get(name)
        return (now - known.heard_at) // MS if known is not None and known.heard_at else None


def encoded_int(number: int) -> bytes:
    return msgspec.msgpack.encode(number)
