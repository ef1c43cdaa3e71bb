"""Executes the API's calls. Changes are executed one at a time: stored, applied, then answered.

    executor.call(call)      # -> a Deferred of the Reply; it never fails

An acknowledged change is on disk. The event loop does not block on disk writes; meanwhile a bounded number of changes
waits in a queue, in order of arrival.
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

SECOND = 1_000_000_000  # in nanoseconds
MAX_QUEUED_CHANGES = 64
MAX_WATCHERS = 64  # calls that wait for new changes
MAX_PENDING_DENIALS = 1000  # distinct audit records that are not written yet
AUDIT_FLUSH_SECONDS = 0.25  # denied calls of this period are written at once
MAX_IDEMPOTENCY_KEY_LENGTH = 255
SHUTTING_DOWN = problem(503, "the service ends", headers={"retry-after": "1"})
STATE_DEPENDENT_STATUSES = (404, 409, 412, 422)  # errors that the state of the registry may cause
SERVICE_PRINCIPAL = "service"  # in the change log, for changes that no call requested


class NotApplied(Exception):
    """A change is stored, but applying it raised an exception."""


class Applier(Protocol):
    """Runs the tenants and puts changes into force."""

    registry: Registry

    def prepare(self, registry: Registry, tenant: str) -> Any: ...

    def apply(self, registry: Registry, tenant: str, prepared: Any) -> None: ...

    def process(self) -> dict[str, Any]: ...


class StoreThread:
    """Runs the store's operations in a thread of their own, because each disk sync would block the event loop."""

    def __init__(self, reactor: Any, store: Store) -> None:
        self.reactor, self.store = reactor, store
        self.pool = ThreadPool(1, 1, "store")
        self.pool.start()

    def run(self, operation: Callable[..., Any], *arguments: Any) -> "Deferred[Any]":
        """Runs the operation in the thread and fires with its result."""
        return deferToThreadPool(self.reactor, self.pool, operation, *arguments)

    def end(self) -> None:
        """Waits for pending writes and closes the store."""
        self.pool.stop()
        self.store.close()


class ChangeExecutor:
    """Executes calls and owns the queue of changes. `clock` returns wall-clock nanoseconds."""

    def __init__(
        self, reactor: Any, api: Api, applier: Applier, store_thread: StoreThread, clock: Callable[[], int]
    ) -> None:
        self.reactor, self.api, self.applier, self.store_thread, self.clock = reactor, api, applier, store_thread, clock
        self.queue: deque[tuple[Call | RemoveTenant, Deferred[Reply]]] = deque()
        self.executing = False
        self.watchers: list[Deferred[None]] = []
        self.pending_denials: dict[tuple[str, str, str, int, str], AuditRecord] = {}
        self.flush_scheduled = self.shutting_down = False
        self.store_may_be_ahead = False  # if so, it holds a change that is not in force
        self.fleet: Any = None

    def join(self, fleet: Any) -> None:
        """Makes this process a member of the fleet, whose leader executes all changes."""
        self.fleet, fleet.execute_call, fleet.on_change = fleet, self.call, self._notify_watchers

    # ---- calls ----

    def call(self, call: Call) -> "Deferred[Reply]":
        """Fires with the reply to the call. Denied calls are recorded in the audit log."""
        outcome = self.api.handle(call, self.registry, self.clock())
        if isinstance(outcome, Query):
            if outcome.kind in ("leave", "join") and self.fleet is not None and not self.fleet.is_leader():
                return self._forward(call)
            return self._with_error_replies(self._execute_query, outcome)
        if isinstance(outcome, Reply):
            if outcome.status in (401, 403):
                self.audit_denial(call, outcome)
            if (
                self.fleet is not None
                and outcome.status in STATE_DEPENDENT_STATUSES
                and call.method != "GET"
                and not self.fleet.is_leader()
            ):
                return self._forward(call)  # this member's registry may be out of date
            # A repeated call meets the state that it caused itself the first time, and gets the reply of that time.
            if outcome.status not in STATE_DEPENDENT_STATUSES or "idempotency-key" not in call.headers:
                return succeed(outcome)
        if self.fleet is not None and not self.fleet.is_leader():
            return self._forward(call)
        if len(self.queue) >= MAX_QUEUED_CHANGES:
            return succeed(problem(503, "too many changes wait", headers={"retry-after": "1"}))
        return self._enqueue(call)

    @property
    def registry(self) -> Registry:
        """The registry in force. A fleet member may not have applied all of it yet; it takes no transactions then."""
        found: Registry = self.fleet.agreed_registry if self.fleet is not None else self.applier.registry
        return found

    def _forward(self, call: Call) -> "Deferred[Reply]":
        reply: Deferred[Reply] = self.fleet.forward_to_leader(call)
        return reply

    def remove(self, name: str) -> "Deferred[Reply]":
        """Removes an ending tenant that has no open transactions any more. In a fleet the leader does this."""
        if self.fleet is not None and not self.fleet.is_leader():
            return succeed(problem(503, "another member leads"))
        return self._enqueue(RemoveTenant(name))

    def _enqueue(self, operation: Call | RemoveTenant) -> "Deferred[Reply]":
        if self.shutting_down:
            return succeed(SHUTTING_DOWN)
        done: Deferred[Reply] = Deferred()
        self.queue.append((operation, done))
        self._execute_next()
        return done

    def _execute_next(self) -> None:
        if self.executing or not self.queue or self.shutting_down:
            return
        self.executing = True
        operation, done = self.queue.popleft()

        def finished(reply: Reply) -> None:
            self.executing = False
            done.callback(reply)
            self._execute_next()

        execute = self._remove_tenant if isinstance(operation, RemoveTenant) else self._execute_call
        self._with_error_replies(execute, operation).addCallback(finished)

    def _with_error_replies(self, operation: Callable[..., Any], *arguments: Any) -> "Deferred[Reply]":
        """Runs the operation and turns every failure into a reply, so that it affects one call only."""

        def error(failure: Any) -> Reply:
            if failure.check(StoreOutcomeUnknown):
                self.store_may_be_ahead = True
                logger.bind(cause=str(failure.value)).error("unknown whether the change was stored")
                return problem(507, "whether the change was stored can't be told; call again, with the key it had")
            if failure.check(NotApplied):
                return problem(500, "the change is stored, and will be in force after the next change or start")
            if failure.check(StoreError):
                logger.bind(cause=str(failure.value)).error("store operation failed")
                return problem(507, "the change could not be stored, and was not made")
            if failure.check(RetryLater):
                return problem(503, failure.value.reason, headers={"retry-after": "1"})
            if failure.check(OutcomeUnknown):
                return problem(504, "whether the change was made isn't known yet; ask again, with the key it had")
            if failure.check(ChangeAborted):
                abort = failure.value
                return problem(422, f"{abort.member}: {abort.reason}; the change is nowhere", abort.field)
            if failure.check(InvalidField):
                return problem(422, failure.value.reason, failure.value.field)
            logger.error("unexpected error while executing a call: {}", failure.getTraceback())
            return problem(500, "a fault of the program; it is in its log")

        return maybeDeferred(operation, *arguments).addErrback(error)

    # ---- changes ----

    @inlineCallbacks
    def _execute_call(self, call: Call) -> Any:
        now = self.clock()
        if self.shutting_down:
            return SHUTTING_DOWN
        yield from self._apply_stored_changes()
        registry = self.registry
        outcome = self.api.handle(call, registry, now)  # the registry may have changed while the call was queued
        key = call.headers.get("idempotency-key", "")
        if isinstance(outcome, Reply) and outcome.status in (401, 403):
            self.audit_denial(call, outcome)  # its key was removed while the call was queued
        elif key and isinstance(outcome, Proposal | Reply):
            earlier = yield self._earlier_reply(call, key)
            if earlier is not None:
                return earlier
        if not isinstance(outcome, Proposal):
            return outcome
        if self.registry is not registry:
            raise RetryLater("another change came first")
        who, before = str(outcome.principal), self.registry
        after = before.with_change(outcome.change)
        reply = outcome.reply(after)
        stored_reply = None
        if key:
            body = {name: value for name, value in reply.body.items() if name != "token"}
            stored_reply = StoredReply(
                who, _digest(key), _call_digest(call), reply.status, after.version, orjson.dumps(body)
            )
        audit_record = AuditRecord(now, who, call.peer, f"{call.method} {call.path}", reply.status, outcome.kind)
        record = ChangeRecord(after.version, now, who, outcome.tenant, outcome.kind, orjson.dumps(outcome.detail))
        commit = Commit(record, after.tenants.get(outcome.tenant), stored_reply, audit_record)
        yield from self._commit_change(after, outcome.tenant, commit)
        return reply

    def _commit_change(self, after: Registry, tenant: str, commit: Commit) -> Any:
        """Prepares the change, which finds the reasons against it, stores it and then applies it."""
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
        record = commit.record
        logger.bind(tenant=tenant, version=record.version, who=record.who, kind=record.kind).info("changed")
        self._notify_watchers()

    def _apply(self, after: Registry, tenant: str, prepared: Any) -> None:
        try:
            self.applier.apply(after, tenant, prepared)
        except Exception as error:
            logger.bind(tenant=tenant, version=after.version).exception("a stored change could not be applied")
            self._notify_watchers()
            raise NotApplied from error

    def _apply_stored_changes(self) -> Any:
        """Applies a change that was stored although its commit reported an unknown outcome."""
        if not self.store_may_be_ahead:
            return
        registry, in_force = (yield self.store_thread.run(self.store_thread.store.registry)), self.registry
        for name in sorted({*registry.tenants, *in_force.tenants}):
            if registry.tenants.get(name) != in_force.tenants.get(name):
                self._apply(registry, name, self.applier.prepare(registry, name))
        self.store_may_be_ahead = False

    @inlineCallbacks
    def _remove_tenant(self, change: RemoveTenant) -> Any:
        yield from self._apply_stored_changes()
        if change.name not in self.registry.tenants:
            return Reply(200, {})
        after = self.registry.with_change(change)
        record = ChangeRecord(after.version, self.clock(), SERVICE_PRINCIPAL, change.name, "gone", b"{}")
        yield from self._commit_change(after, change.name, Commit(record, None))
        return Reply(200, {})

    @inlineCallbacks
    def _earlier_reply(self, call: Call, key: str) -> Any:
        """Returns the reply to an earlier call with the same idempotency key, or None."""
        if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH or not key.isascii() or not key.isprintable():
            return problem(
                400, f"up to {MAX_IDEMPOTENCY_KEY_LENGTH} printable characters are wanted", "Idempotency-Key"
            )
        who = str(self.api.authenticate(call, self.registry, self.clock()))
        found: StoredReply | None = self.fleet.pending_reply(who, _digest(key)) if self.fleet is not None else None
        if found is None:
            found = yield self.store_thread.run(self.store_thread.store.find_reply, who, _digest(key))
        if found is None:
            return None
        if found.call_digest != _call_digest(call):
            return problem(422, "was used for another call", "Idempotency-Key")
        headers = {**etag_header(found.version), "idempotency-replayed": "true"}
        return Reply(found.status, orjson.loads(found.body), headers)

    # ---- logs ----

    @inlineCallbacks
    def _execute_query(self, query: Query) -> Any:
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
            records = yield self.store_thread.run(self.store_thread.store.audit, query.after, query.limit)
            rows = [
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
                for id, one in records
            ]
            return Reply(200, {"audit": rows})
        until = self.clock() + query.wait_ns
        while True:
            if self.fleet is not None:
                # Otherwise the version below could be ahead of the stored changes, and a watcher would miss some.
                yield self.fleet.when_flushed()
            changes = yield self.store_thread.run(self.store_thread.store.changes, query.after, query.limit, query.name)
            remaining_ns = until - self.clock()
            if changes or remaining_ns <= 0 or len(self.watchers) >= MAX_WATCHERS or self.shutting_down:
                break
            yield self._next_change(remaining_ns)
        rows = [
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
        return Reply(200, {"changes": rows, "version": self.registry.version})

    def _next_change(self, timeout_ns: int) -> "Deferred[None]":
        """Fires at the next change, or after the timeout."""
        changed: Deferred[None] = Deferred()
        self.watchers.append(changed)
        timer = self.reactor.callLater(timeout_ns / SECOND, changed.callback, None)

        def finished(_: None) -> None:
            if timer.active():
                timer.cancel()
            if changed in self.watchers:
                self.watchers.remove(changed)

        return changed.addCallback(finished)

    def _notify_watchers(self) -> None:
        for changed in list(self.watchers):
            changed.callback(None)

    def audit_denial(self, call: Call, reply: Reply) -> None:
        """Records a denied call in the audit log. Equal calls within a short period share one record with a count."""
        who = call.headers.get("authorization", "").partition(".")[2].rpartition(".")[0][:100]
        key = (who, call.peer, f"{call.method[:10]} {call.path[:200]}", reply.status, reply.reason)
        if key not in self.pending_denials and len(self.pending_denials) >= MAX_PENDING_DENIALS:
            key = ("", "", "many calls", reply.status, "more kinds of denied calls than are kept apart")
        previous = self.pending_denials.get(key)
        self.pending_denials[key] = AuditRecord(self.clock(), *key, (previous.count if previous else 0) + 1)
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.reactor.callLater(AUDIT_FLUSH_SECONDS, self._flush_denials)

    def _flush_denials(self) -> None:
        self.flush_scheduled = False
        denials, self.pending_denials = list(self.pending_denials.values()), {}
        if denials and not self.shutting_down:
            self.store_thread.run(self.store_thread.store.append_audit, denials).addErrback(
                lambda failure: logger.error("could not write denied calls to the audit log: {}", failure.value)
            )

    def end(self) -> None:
        """Starts no further change, and answers the queued ones with 503."""
        self.shutting_down = True
        if self.pending_denials:
            self.store_thread.run(self.store_thread.store.append_audit, list(self.pending_denials.values())).addErrback(
                lambda failure: None
            )
        queue, self.queue = self.queue, deque()
        for _, done in queue:
            done.callback(SHUTTING_DOWN)
        self._notify_watchers()


def _digest(text: str) -> bytes:
    return sha256(text.encode()).digest()


def _call_digest(call: Call) -> bytes:
    return sha256(b"\0".join((call.method.encode(), call.path.encode(), call.body))).digest()
