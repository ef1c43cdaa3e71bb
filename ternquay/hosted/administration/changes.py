"""Carries out the API's calls: one change at a time, stored, applied, then answered.

    executor.call(call)      # -> a Deferred of the Reply; it never fails

What is acknowledged is on disk. While the disk is at work the loop goes on; changes wait in their order, a bounded
number of them.
"""

from collections import deque
from collections.abc import Callable
from hashlib import sha256
from typing import Any, Protocol

import orjson
from loguru import logger
from twisted.internet.defer import Deferred, inlineCallbacks, maybeDeferred, succeed
from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

from ternquay.consensus.errors import ChangeAborted, OutcomeUnknown, RetryLater
from ternquay.hosted.administration.api import Api, Call, Proposal, Query, Reply, etag_header, problem
from ternquay.hosted.store import AuditRecord, ChangeRecord, Commit, Store, StoredReply, StoreError, StoreOutcomeUnknown
from ternquay.hosted.tenants.registry import Registry, RemoveTenant
from ternquay.hosted.tenants.tenant import InvalidField

SECOND = 1_000_000_000
WAITING_MOST, WATCHES_MOST, NOTES_MOST = 64, 64, 1000
NOTE_EVERY = 0.25
KEY_MOST = 255
ENDS = problem(503, "the service ends", headers={"retry-after": "1"})
REPEATED = (404, 409, 412, 422)
SERVICE = "service"  # who makes the changes that nobody asked for


class Unapplied(Exception):
    """A change is stored, and a fault of the program keeps it from being in force."""


class Applier(Protocol):
    """Whoever runs the tenants."""

    registry: Registry

    def prepare(self, registry: Registry, tenant: str) -> Any: ...

    def apply(self, registry: Registry, tenant: str, prepared: Any) -> None: ...

    def process(self) -> dict[str, Any]: ...


class StoreThread:
    """The store in its own thread, as each sync of the disk would stop the loop."""

    def __init__(self, reactor: Any, store: Store) -> None:
        self.reactor, self.store = reactor, store
        self.threads = ThreadPool(1, 1, "store")
        self.threads.start()

    def run(self, what: Callable[..., Any], *terms: Any) -> "Deferred[Any]":
        return deferToThreadPool(self.reactor, self.threads, what, *terms)

    def end(self) -> None:
        """Waits for what is being written."""
        self.threads.stop()
        self.store.close()


class ChangeExecutor:
    def __init__(
        self, reactor: Any, api: Api, applier: Applier, store_thread: StoreThread, clock: Callable[[], int]
    ) -> None:
        self.reactor, self.api, self.applier, self.store_thread, self.clock = reactor, api, applier, store_thread, clock
        self.waiting: deque[tuple[Call | RemoveTenant, Deferred[Reply]]] = deque()
        self.busy = False
        self.watches: list[Deferred[None]] = []
        self.notes: dict[tuple[str, str, str, int, str], AuditRecord] = {}
        self.noting = self.ended = False
        self.unsure = False  # the store may hold one more change than is in force
        self.fleet: Any = None

    def join(self, fleet: Any) -> None:
        """Changes are the fleet's from now on: whoever leads it carries them out, one after the other."""
        self.fleet, fleet.execute_call, fleet.on_change = fleet, self.call, self._news

    # ---- calls ----

    def call(self, call: Call) -> "Deferred[Reply]":
        """Answers a call; denied ones go to the audit log."""
        outcome = self.api.handle(call, self.registry, self.clock())
        if isinstance(outcome, Query):
            if outcome.kind in ("leave", "join") and self.fleet is not None and not self.fleet.is_leader():
                return self._passed_on(call)
            return self._guarded(self._looked, outcome)
        if isinstance(outcome, Reply):
            if outcome.status in (401, 403):
                self.note(call, outcome)
            if (
                self.fleet is not None
                and outcome.status in REPEATED
                and call.method != "GET"
                and not self.fleet.is_leader()
            ):
                return self._passed_on(call)  # this member may be behind
            # A repeated call finds things as it left them, and is to be answered as it was then.
            if outcome.status not in REPEATED or "idempotency-key" not in call.headers:
                return succeed(outcome)
        if self.fleet is not None and not self.fleet.is_leader():
            return self._passed_on(call)
        if len(self.waiting) >= WAITING_MOST:
            return succeed(problem(503, "too many changes wait", headers={"retry-after": "1"}))
        return self._queued(call)

    @property
    def registry(self) -> Registry:
        """What is in force; a member of a fleet may be without a part of it, and takes nothing then."""
        found: Registry = self.fleet.agreed_registry if self.fleet is not None else self.applier.registry
        return found

    def _passed_on(self, call: Call) -> "Deferred[Reply]":
        reply: Deferred[Reply] = self.fleet.forward_to_leader(call)
        return reply

    def remove(self, name: str) -> "Deferred[Reply]":
        """A tenant that was ending has nothing open any more; in a fleet whoever leads sees to it."""
        if self.fleet is not None and not self.fleet.is_leader():
            return succeed(problem(503, "another member leads"))
        return self._queued(RemoveTenant(name))

    def _queued(self, what: Call | RemoveTenant) -> "Deferred[Reply]":
        if self.ended:
            return succeed(ENDS)
        done: Deferred[Reply] = Deferred()
        self.waiting.append((what, done))
        self._next()
        return done

    def _next(self) -> None:
        if self.busy or not self.waiting or self.ended:
            return
        self.busy = True
        what, done = self.waiting.popleft()

        def over(reply: Reply) -> None:
            self.busy = False
            done.callback(reply)
            self._next()

        carry = self._removed if isinstance(what, RemoveTenant) else self._carried
        self._guarded(carry, what).addCallback(over)

    def _guarded(self, what: Callable[..., Any], *terms: Any) -> "Deferred[Reply]":
        """Whatever goes wrong is one call's fault and answered."""

        def fault(failure: Any) -> Reply:
            if failure.check(StoreOutcomeUnknown):
                self.unsure = True
                logger.bind(cause=str(failure.value)).error("whether a change was stored can't be told")
                return problem(507, "whether the change was stored can't be told; call again, with the key it had")
            if failure.check(Unapplied):
                return problem(500, "the change is stored, and will be in force after the next change or start")
            if failure.check(StoreError):
                logger.bind(cause=str(failure.value)).error("the store takes no changes")
                return problem(507, "the change could not be stored, and was not made")
            if failure.check(RetryLater):
                return problem(503, failure.value.reason, headers={"retry-after": "1"})
            if failure.check(OutcomeUnknown):
                return problem(504, "whether the change was made isn't known yet; ask again, with the key it had")
            if failure.check(ChangeAborted):
                told = failure.value
                return problem(422, f"{told.member}: {told.reason}; the change is nowhere", told.field)
            if failure.check(InvalidField):
                return problem(422, failure.value.reason, failure.value.field)
            logger.error("a call failed: {}", failure.getTraceback())
            return problem(500, "a fault of the program; it is in its log")

        return maybeDeferred(what, *terms).addErrback(fault)

    # ---- changes ----

    @inlineCallbacks
    def _carried(self, call: Call) -> Any:
        now = self.clock()
        if self.ended:
            return ENDS
        yield from self._caught_up()
        there = self.registry
        outcome = self.api.handle(call, there, now)  # as things stand by now
        key = call.headers.get("idempotency-key", "")
        if isinstance(outcome, Reply) and outcome.status in (401, 403):
            self.note(call, outcome)  # its key was taken away while it waited
        elif key and isinstance(outcome, Proposal | Reply):
            again = yield self._repeated(call, key)
            if again is not None:
                return again
        if not isinstance(outcome, Proposal):
            return outcome
        if self.registry is not there:
            raise RetryLater("another change came first")
        who, before = str(outcome.principal), self.registry
        after = before.with_change(outcome.change)
        reply = outcome.reply(after)
        answered = None
        if key:
            body = {name: value for name, value in reply.body.items() if name != "token"}
            answered = StoredReply(who, _digest(key), _asked(call), reply.status, after.version, orjson.dumps(body))
        noted = AuditRecord(now, who, call.peer, f"{call.method} {call.path}", reply.status, outcome.kind)
        logged = ChangeRecord(after.version, now, who, outcome.tenant, outcome.kind, orjson.dumps(outcome.detail))
        commit = Commit(logged, after.tenants.get(outcome.tenant), answered, noted)
        yield from self._made(after, outcome.tenant, commit)
        return reply

    def _made(self, after: Registry, tenant: str, commit: Commit) -> Any:
        """Stored first, then applied; what could stand against it is found out before."""
        if self.fleet is not None:
            yield self.fleet.propose(commit)
            return
        prepared = self.applier.prepare(after, tenant)
        try:
            yield self.store_thread.run(self.store_thread.store.commit, commit)
        except BaseException:
            prepared.drop()
            raise
        self._apply(after, tenant, prepared)
        logged = commit.record
        logger.bind(tenant=tenant, version=logged.version, who=logged.who, kind=logged.kind).info("changed")
        self._news()

    def _apply(self, after: Registry, tenant: str, prepared: Any) -> None:
        try:
            self.applier.apply(after, tenant, prepared)
        except Exception as fault:
            logger.bind(tenant=tenant, version=after.version).exception("a change is stored and could not be applied")
            self._news()
            raise Unapplied from fault

    def _caught_up(self) -> Any:
        """What is stored goes before what is in force: a change of which nothing was known may be there."""
        if not self.unsure:
            return
        there, here = (yield self.store_thread.run(self.store_thread.store.registry)), self.registry
        for name in sorted({*there.tenants, *here.tenants}):
            if there.tenants.get(name) != here.tenants.get(name):
                self._apply(there, name, self.applier.prepare(there, name))
        self.unsure = False

    @inlineCallbacks
    def _removed(self, change: RemoveTenant) -> Any:
        yield from self._caught_up()
        if change.name not in self.registry.tenants:
            return Reply(200, {})
        after = self.registry.with_change(change)
        logged = ChangeRecord(after.version, self.clock(), SERVICE, change.name, "gone", b"{}")
        yield from self._made(after, change.name, Commit(logged, None))
        return Reply(200, {})

    @inlineCallbacks
    def _repeated(self, call: Call, key: str) -> Any:
        """The answer that the call had before, if it had one."""
        if len(key) > KEY_MOST or not key.isascii() or not key.isprintable():
            return problem(400, f"up to {KEY_MOST} printable characters are wanted", "Idempotency-Key")
        who = str(self.api.authenticate(call, self.registry, self.clock()))
        found: StoredReply | None = self.fleet.pending_reply(who, _digest(key)) if self.fleet is not None else None
        if found is None:
            found = yield self.store_thread.run(self.store_thread.store.find_reply, who, _digest(key))
        if found is None:
            return None
        if found.call_digest != _asked(call):
            return problem(422, "was used for another call", "Idempotency-Key")
        headers = {**etag_header(found.version), "idempotency-replayed": "true"}
        return Reply(found.status, orjson.loads(found.body), headers)

    # ---- logs ----

    @inlineCallbacks
    def _looked(self, query: Query) -> Any:
        if query.kind in ("fleet", "leave", "join"):
            if self.fleet is None:
                return problem(404, "this process is a member of no fleet")
            return (
                Reply(200, self.fleet.status())
                if query.kind == "fleet"
                else (
                    self.fleet.remove_member(query.name)
                    if query.kind == "leave"
                    else self.fleet.readmit_member(query.name)
                )
            )
        if query.kind == "process":
            return Reply(200, self.applier.process())
        if query.kind == "audit":
            rows = yield self.store_thread.run(self.store_thread.store.audit, query.after, query.limit)
            lines = [
                {
                    "id": id,
                    "at_ms": one.at // 1_000_000,
                    "who": one.who,
                    "peer": one.peer,
                    "call": one.call,
                    "status": one.status,
                    "why": one.reason,
                    "many": one.count,
                }
                for id, one in rows
            ]
            return Reply(200, {"audit": lines})
        until = self.clock() + query.wait_ns
        while True:
            if self.fleet is not None:
                # Else the version below could be told without the lines up to it, and a watcher would pass them over.
                yield self.fleet.when_flushed()
            changes = yield self.store_thread.run(self.store_thread.store.changes, query.after, query.limit, query.name)
            left = until - self.clock()
            if changes or left <= 0 or len(self.watches) >= WATCHES_MOST or self.ended:
                break
            yield self._new(left)
        lines = [
            {
                "version": one.version,
                "at_ms": one.at // 1_000_000,
                "who": one.who,
                "tenant": one.tenant,
                "kind": one.kind,
                "detail": orjson.loads(one.body),
            }
            for one in changes
        ]
        return Reply(200, {"changes": lines, "version": self.registry.version})

    def _new(self, most: int) -> "Deferred[None]":
        """Until something was changed, or so long."""
        news: Deferred[None] = Deferred()
        self.watches.append(news)
        timer = self.reactor.callLater(most / SECOND, news.callback, None)

        def over(told: None) -> None:
            if timer.active():
                timer.cancel()
            if news in self.watches:
                self.watches.remove(news)

        return news.addCallback(over)

    def _news(self) -> None:
        for news in list(self.watches):
            news.callback(None)

    def note(self, call: Call, reply: Reply) -> None:
        """A denied call goes to the audit log; those that are alike and come at once make one line."""
        who = call.headers.get("authorization", "").partition(".")[2].rpartition(".")[0][:100]
        key = (who, call.peer, f"{call.method[:10]} {call.path[:200]}", reply.status, reply.reason)
        if key not in self.notes and len(self.notes) >= NOTES_MOST:
            key = ("", "", "many calls", reply.status, "more kinds of denied calls than are kept apart")
        old = self.notes.get(key)
        self.notes[key] = AuditRecord(self.clock(), *key, (old.count if old else 0) + 1)
        if not self.noting:
            self.noting = True
            self.reactor.callLater(NOTE_EVERY, self._write_notes)

    def _write_notes(self) -> None:
        self.noting = False
        notes, self.notes = list(self.notes.values()), {}
        if notes and not self.ended:
            self.store_thread.run(self.store_thread.store.append_audit, notes).addErrback(
                lambda failure: logger.error("denied calls could not be noted: {}", failure.value)
            )

    def end(self) -> None:
        """No further change is begun; what waits is told so."""
        self.ended = True
        if self.notes:
            self.store_thread.run(self.store_thread.store.append_audit, list(self.notes.values())).addErrback(
                lambda failure: None
            )
        waiting, self.waiting = self.waiting, deque()
        for _, done in waiting:
            done.callback(ENDS)
        self._news()


def _digest(text: str) -> bytes:
    return sha256(text.encode()).digest()


def _asked(call: Call) -> bytes:
    return sha256(b"\0".join((call.method.encode(), call.path.encode(), call.body))).digest()
