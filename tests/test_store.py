"""The store under failures: kill -9 at every step, torn or corrupt logs, full and read-only disks, repeated calls."""

import os
import shutil
import signal
import sqlite3
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import orjson
import pytest
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.task import Clock

from ternquay.hosted.administration import keys
from ternquay.hosted.administration.api import Api, Call, Reply
from ternquay.hosted.administration.changes import ChangeExecutor
from ternquay.hosted.store import AuditRecord, ChangeRecord, Commit, Store, StoreError
from ternquay.hosted.tenants.registry import CreateTenant, Registry
from ternquay.hosted.tenants.tenant import ApiKey, Scope
from tests.hosted_helper import document
from tests.test_hosted_parts import SMALL
from tests.test_registry import tenant

OPERATOR = keys.generate_token("", "main")
OPERATORS = (ApiKey("main", keys.digest_of(OPERATOR), Scope.OPERATOR, 0),)
NOW = 1_800_000_000 * 10**9


class DirectStore:
    """Runs the store's operations at once instead of in the store's thread."""

    def __init__(self, store: Store) -> None:
        self.store = store

    def run(self, operation: Callable[..., Any], *arguments: Any) -> "Deferred[Any]":
        return maybeDeferred(operation, *arguments)


class FakeApplier:
    """Stands in for what runs the tenants, and reports each of its steps."""

    def __init__(self, registry: Registry, on_step: Callable[[str], None]) -> None:
        self.registry, self.on_step = registry, on_step

    def prepare(self, registry: Registry, tenant: str) -> "FakeApplier":
        self.on_step("prepared")
        return self

    def drop(self) -> None:
        pass

    def apply(self, registry: Registry, tenant: str, prepared: Any) -> None:
        self.on_step("applying")
        self.registry = registry
        self.on_step("applied")

    def process(self) -> dict[str, Any]:
        return {}


def executor(path: Path, on_step: Callable[[str], None] = lambda step: None) -> ChangeExecutor:
    store = Store(path, on_step)
    applier: Any = FakeApplier(store.registry(), on_step)
    store_thread: Any = DirectStore(store)
    return ChangeExecutor(Clock(), Api(OPERATORS), applier, store_thread, lambda: NOW)


def answer(one: ChangeExecutor, call: Call) -> Reply:
    found: list[Reply] = []
    one.call(call).addCallback(found.append)
    return found[0]


def call(method: str, path: str, body: Any, key: str = "") -> Call:
    headers = {"authorization": f"Bearer {OPERATOR}", "if-match": "*"} | ({"idempotency-key": key} if key else {})
    return Call(method, path, {}, headers, orjson.dumps(body) if body is not None else b"", "127.0.0.1")


UNLIMITED = {resource: {"least": 0.0, "most": 1.0} for resource in ("cpu", "sockets", "memory")}
CALLS = [
    call("POST", "/v1/tenants", document("sur", "127.0.0.1:7001", ("10.0.0.1:80",)), "a"),
    call("POST", "/v1/tenants", document("norte", "127.0.0.1:7002", ("10.0.0.1:80",)), "b"),
    call("PUT", "/v1/tenants/sur/servers", {"servers": [{"name": "x", "place": "10.0.0.2:80"}]}, "c"),
    call("PUT", "/v1/tenants/sur/state", {"state": "suspended"}, "d"),
    call("POST", "/v1/tenants/norte/keys", {"name": "k", "scope": "reader"}, "e"),
    call("DELETE", "/v1/tenants/norte", None, "f"),
]


def whole(registry: Registry) -> Any:
    """Returns the contents of a registry without the digests of keys, which are random."""
    return registry.version, {
        name: (
            entry.version,
            entry.incarnation,
            replace(entry.tenant, keys=tuple(replace(key, digest=b"") for key in entry.tenant.keys)),
        )
        for name, entry in registry.tenants.items()
    }


def test_after_a_kill_at_any_step_a_change_is_stored_as_a_whole_or_not_at_all(tmp_path: Path) -> None:
    steps: list[str] = []
    expected, replies = [whole(Registry())], []
    one = executor(tmp_path / "whole.db", steps.append)
    steps.clear()
    for one_call in CALLS:
        replies.append(answer(one, one_call))
        expected.append(whole(one.applier.registry))
    assert [reply.status for reply in replies] == [201, 201, 200, 200, 201, 202] and len(steps) == 6 * 11
    unacknowledged = 0
    for last in range(1, len(steps) + 1):
        path = tmp_path / f"{last}.db"
        Store(path).close()
        acknowledged = run_until_killed(path, last)
        again = executor(path)
        found = whole(again.applier.registry)
        assert found in expected, f"half of a change after step {last}, {steps[last - 1]}"
        done = expected.index(found)
        assert acknowledged <= done <= acknowledged + 1
        unacknowledged += done > acknowledged
        # A caller without a reply repeats its call, and one with a reply may: both get the reply of the first call.
        for n, one_call in enumerate(CALLS):
            reply = answer(again, one_call)
            assert reply.status == replies[n].status
            assert ("idempotency-replayed" in reply.headers) == (n < done)
            expected_body = {name: value for name, value in replies[n].body.items() if name != "token"}
            assert {name: value for name, value in reply.body.items() if name != "token"} == expected_body
        assert whole(again.applier.registry) == whole(again.store_thread.store.registry()) == expected[-1]
        assert [one.version for one in again.store_thread.store.changes(0, 100)] == [1, 2, 3, 4, 5, 6]
        again.store_thread.store.close()
    assert unacknowledged >= len(CALLS)  # stored but not answered yet: the repeated call finds its reply


def run_until_killed(path: Path, last: int) -> int:
    """Makes the changes in a process that is killed at its `last` step. Returns how many it acknowledged."""
    reader, writer = os.pipe()
    child = os.fork()
    if child == 0:
        try:
            remaining = [last]

            def on_step(step: str) -> None:
                remaining[0] -= 1
                if not remaining[0]:
                    os.kill(os.getpid(), signal.SIGKILL)

            one = executor(path, on_step)
            for one_call in CALLS:
                if answer(one, one_call).status < 300:
                    os.write(writer, b"x")
        finally:
            os._exit(7)
    os.close(writer)
    _, status = os.waitpid(child, 0)
    assert os.WIFSIGNALED(status) and os.WTERMSIG(status) == signal.SIGKILL
    with os.fdopen(reader, "rb") as acknowledgements:
        return len(acknowledgements.read())


def create_tenants(store: Store, count: int) -> list[Any]:
    """Creates tenants one by one. Returns the contents of the registry before and after each."""
    registry = store.registry()
    seen = [whole(registry)]
    for n in range(count):
        one = tenant(f"t{n}", n + 1, limits=SMALL)
        registry = registry.with_change(CreateTenant(one))
        store.commit(
            Commit(ChangeRecord(registry.version, NOW, "me", one.name, "make", b"{}"), registry.tenants[one.name])
        )
        seen.append(whole(registry))
    return seen


def test_a_log_that_is_torn_or_corrupt_anywhere_gives_its_complete_changes(tmp_path: Path) -> None:
    base = tmp_path / "base.db"
    store = Store(base)
    seen = create_tenants(store, 4)
    wal = Path(f"{base}-wal").read_bytes()
    data = base.read_bytes()
    store.close()
    found: list[int] = []
    for cut in (*range(0, len(wal), 997), len(wal)):
        for corrupt in (False, True):
            path = tmp_path / "torn.db"
            for old in tmp_path.glob("torn.db*"):
                old.unlink()
            path.write_bytes(data)
            torn = bytearray(wal if corrupt else wal[:cut])
            if corrupt and cut < len(torn):
                torn[cut] ^= 0xFF
            Path(f"{path}-wal").write_bytes(torn)
            again = Store(path)
            state = whole(again.registry())
            assert state in seen
            found.append(seen.index(state))
            # The store works on from there, and versions only rise.
            after = again.registry().with_change(CreateTenant(tenant("after", 99, limits=SMALL)))
            again.commit(Commit(ChangeRecord(after.version, NOW, "me", "after", "make", b"{}"), after.tenants["after"]))
            again.close()
    assert set(found) >= {0, 4} and len(set(found)) > 2


def test_a_full_disk_rejects_a_change_and_a_later_one_succeeds(tmp_path: Path) -> None:
    one = executor(tmp_path / "full.db")
    assert answer(one, CALLS[0]).status == 201
    db = one.store_thread.store.db
    pages = db.execute("PRAGMA page_count").fetchone()[0]
    db.execute(f"PRAGMA max_page_count = {pages}")
    big = document("norte", "127.0.0.1:7002", tuple(f"10.1.{n // 250}.{n % 250}:80" for n in range(900)))
    before = whole(one.applier.registry)
    reply = answer(one, call("POST", "/v1/tenants", big))
    assert reply.status == 507 and whole(one.applier.registry) == before == whole(one.store_thread.store.registry())
    assert answer(one, call("GET", "/v1/tenants/sur", None)).status == 200
    db.execute("PRAGMA max_page_count = 100000")
    assert answer(one, call("POST", "/v1/tenants", big)).status == 201


def test_a_read_only_disk_rejects_changes(tmp_path: Path) -> None:
    one = executor(tmp_path / "ro.db")
    assert answer(one, CALLS[0]).status == 201
    one.store_thread.store.db.execute("PRAGMA query_only = ON")
    assert answer(one, CALLS[2]).status == 507 and answer(one, call("GET", "/v1/tenants/sur", None)).status == 200
    one.store_thread.store.db.execute("PRAGMA query_only = OFF")
    assert answer(one, CALLS[2]).status == 200


def test_a_file_that_is_no_store_or_is_in_use_is_refused(tmp_path: Path) -> None:
    (tmp_path / "text.db").write_text("this is no database, though it is long enough to be one" * 99)
    with pytest.raises(StoreError, match=r"text\.db"):
        Store(tmp_path / "text.db")
    with pytest.raises(StoreError):
        Store(tmp_path / "nowhere" / "x.db")
    first = Store(tmp_path / "mine.db")
    first.append_audit([AuditRecord(1, "", "", "", 401, "")])
    with pytest.raises(StoreError, match="locked"):
        Store(tmp_path / "mine.db")
    first.close()
    db = sqlite3.connect(tmp_path / "mine.db")
    db.execute("UPDATE meta SET value = 9 WHERE name = 'format'")
    db.commit()
    db.close()
    with pytest.raises(StoreError, match="format 9"):
        Store(tmp_path / "mine.db")


def test_a_tenant_that_can_not_be_read_is_an_error(tmp_path: Path) -> None:
    store = Store(tmp_path / "x.db")
    create_tenants(store, 2)
    store.db.execute("UPDATE tenants SET body = '{}' WHERE name = 't1'")
    with pytest.raises(StoreError, match="can't be read"):
        store.registry()
    store.close()
    shutil.rmtree(tmp_path)


def test_a_version_is_never_used_twice(tmp_path: Path) -> None:
    store = Store(tmp_path / "x.db")
    create_tenants(store, 2)
    with pytest.raises(StoreError, match="version 2 is stored already"):
        store.commit(Commit(ChangeRecord(2, NOW, "me", "t9", "make", b"{}"), None))
    assert store.registry().version == 2


def test_an_idempotency_key_is_bound_to_its_call(tmp_path: Path) -> None:
    one = executor(tmp_path / "x.db")
    first = answer(one, CALLS[0])
    again = answer(one, CALLS[0])
    assert again.body == first.body and again.headers["idempotency-replayed"] == "true"
    other = call("POST", "/v1/tenants", document("otro", "127.0.0.1:7009"), "a")
    assert answer(one, other).status == 422
    assert one.applier.registry.version == 1
    assert answer(one, call("POST", "/v1/tenants", document("otro", "127.0.0.1:7009"), "\n")).status == 400


def test_denied_calls_are_audited_and_equal_ones_share_a_line(tmp_path: Path) -> None:
    one = executor(tmp_path / "x.db")
    for n in range(5000):
        wrong = Call(
            "GET", f"/v1/tenants/t{n % 3000}", {}, {"authorization": "Bearer tq1.-.main." + "A" * 43}, b"", "127.0.0.9"
        )
        assert answer(one, wrong).status == 401
    assert len(one.pending_denials) <= 1001
    one.reactor.advance(1.0)
    rows = [record for _, record in one.store_thread.store.audit(0, 5000)]
    assert sum(record.count for record in rows) == 5000 and {record.status for record in rows} == {401}
    assert {record.who for record in rows} <= {"-.main", ""} and "AAAA" not in repr(rows)


def test_changes_beyond_the_queue_are_told_to_retry(tmp_path: Path) -> None:
    one = executor(tmp_path / "x.db")
    delayed: list[Deferred[Any]] = []

    def delay(operation: Callable[..., Any], *arguments: Any) -> "Deferred[Any]":
        delayed.append(Deferred())
        return delayed[-1].addCallback(lambda _: operation(*arguments))

    one.store_thread.run = delay  # type: ignore[method-assign]
    replies: list[Reply] = []
    for n in range(100):
        creation = call("POST", "/v1/tenants", document(f"t{n}", f"127.0.0.1:{7000 + n}", limits=UNLIMITED))
        one.call(creation).addCallback(replies.append)
    assert [reply.status for reply in replies] == [503] * 35
    while delayed:
        delayed.pop(0).callback(None)
    assert sorted(reply.status for reply in replies) == [201] * 65 + [503] * 35
    assert one.applier.registry.version == 65
