"""The registry on disk: SQLite in WAL mode, every change one transaction, acknowledged when it is synced.

    store = Store(path)                        # raises StoreError if it is no store or can't be read
    registry = store.registry()
    store.commit(Commit(...))                  # raises StoreError, and nothing of it is there then

Used by one thread alone. What is half written at a crash is recognised by SQLite's checksums and is not there after
the next start. `step` is called between the steps of a commit, for tests that end the process there.
"""

import sqlite3
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from pathlib import Path
from types import MappingProxyType
from typing import Any

import msgspec

from ternquay.hosted.tenants.documents import (
    StoredKey,
    StoredTenant,
    parse_state,
    tenant_from_document,
    tenant_to_document,
)
from ternquay.hosted.tenants.registry import Registry, TenantEntry
from ternquay.hosted.tenants.tenant import ApiKey, InvalidField, Scope, Tenant

FORMAT = 1
SECOND = 1_000_000_000
MAX_REPLIES, ANSWERS_KEPT = 10_000, 24 * 3600 * SECOND
CHANGES_MOST, AUDIT_MOST = 100_000, 100_000
TABLES = """
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS tenants (name TEXT PRIMARY KEY, version INTEGER NOT NULL, incarnation INTEGER NOT NULL,
                                    body BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS changes (version INTEGER PRIMARY KEY, at INTEGER NOT NULL, who TEXT NOT NULL,
                                    tenant TEXT NOT NULL, kind TEXT NOT NULL, body BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS answers (who TEXT NOT NULL, key BLOB NOT NULL, asked BLOB NOT NULL, at INTEGER NOT NULL,
                                    status INTEGER NOT NULL, version INTEGER NOT NULL, body BLOB NOT NULL,
                                    PRIMARY KEY (who, key));
CREATE INDEX IF NOT EXISTS answers_at ON answers (at);
CREATE TABLE IF NOT EXISTS audit (id INTEGER PRIMARY KEY, at INTEGER NOT NULL, who TEXT NOT NULL, peer TEXT NOT NULL,
                                  call TEXT NOT NULL, status INTEGER NOT NULL, why TEXT NOT NULL,
                                  many INTEGER NOT NULL);
"""


class StoreError(Exception):
    """The store can't be read or written; the text says why."""


class StoreOutcomeUnknown(StoreError):
    """Whether a change is on disk can't be told for now."""


@dataclass(slots=True, frozen=True)
class AuditRecord:
    """One line of the audit log; `many`: calls that were alike."""

    at: int
    who: str
    peer: str
    call: str
    status: int
    reason: str
    count: int = 1


@dataclass(slots=True, frozen=True)
class StoredReply:
    """The answer to a call that had a key of its own, for when it is repeated."""

    who: str
    key_digest: bytes
    call_digest: bytes  # a digest of the call: the same key with another call is a fault of the caller's
    status: int
    version: int
    body: bytes


@dataclass(slots=True, frozen=True)
class ChangeRecord:
    """One line of the change log."""

    version: int
    at: int
    who: str
    tenant: str
    kind: str
    body: bytes


@dataclass(slots=True, frozen=True)
class Commit:
    """One change with all that is stored with it. `entry` is None where the tenant is no more."""

    record: ChangeRecord
    entry: TenantEntry | None
    reply: StoredReply | None = None
    audit: AuditRecord | None = None


def encode_tenant(tenant: Tenant) -> bytes:
    keys = tuple(StoredKey(key.name, key.digest, key.scope.value, key.since, key.until) for key in tenant.keys)
    return msgspec.json.encode(StoredTenant(tenant_to_document(tenant), tenant.state.value, keys))


def decode_tenant(body: bytes) -> Tenant:
    """Raises StoreError: what is stored and can't be read is not passed over."""
    try:
        told = msgspec.json.decode(body, type=StoredTenant)
        keys = tuple(ApiKey(k.name, k.digest, Scope(k.scope), k.since, k.until) for k in told.keys)
        return replace(tenant_from_document(told.tenant), keys=keys, state=parse_state(told.state))
    except (msgspec.DecodeError, InvalidField, ValueError) as fault:
        raise StoreError(f"a tenant that is kept can't be read: {fault}") from fault


class Store:
    def __init__(self, path: Path | str, step: Callable[[str], None] = lambda what: None) -> None:
        self.path, self.step = str(path), step
        self.lost = False  # it has to be opened again before anything else
        try:
            self.db = self._connect()
            self._initialize(self.db)
        except sqlite3.Error as fault:
            raise StoreError(f"{path}: {fault}") from fault

    def _connect(self) -> sqlite3.Connection:
        return sqlite3.connect(self.path, isolation_level=None, timeout=2.0, check_same_thread=False)

    def _connection(self) -> sqlite3.Connection:
        """Raises StoreError."""
        try:
            if self.lost:
                self.close()
                self.db = self._connect()
                self._initialize(self.db)
                self._checkpoint(self.db)
                self.lost = False
            return self.db
        except sqlite3.Error as fault:
            raise StoreError(f"{self.path}: {fault}") from fault

    def _initialize(self, db: sqlite3.Connection) -> None:
        # One process has the store: a second one would acknowledge changes that the first knows nothing of.
        db.execute("PRAGMA locking_mode = EXCLUSIVE")
        mode = db.execute("PRAGMA journal_mode = WAL").fetchone()[0]
        if mode != "wal":
            raise StoreError(f"{self.path}: no write-ahead log can be kept there, only {mode}")
        db.execute("PRAGMA synchronous = FULL")
        db.execute("PRAGMA wal_autocheckpoint = 200")
        if db.execute("PRAGMA quick_check").fetchone()[0] != "ok":
            raise StoreError(f"{self.path}: is damaged")
        db.execute("BEGIN IMMEDIATE")
        for statement in TABLES.split(";"):
            db.execute(statement)
        db.execute("INSERT OR IGNORE INTO meta VALUES ('format', ?), ('version', 0)", (FORMAT,))
        db.execute("COMMIT")
        found = self._read_meta(db, "format")
        if found != FORMAT:
            raise StoreError(f"{self.path}: is of format {found}, this program reads {FORMAT}")

    def _checkpoint(self, db: sqlite3.Connection) -> None:
        """Writes what the log holds into the database, and syncs that: after a sync that failed nothing of the log
        counts as on disk, though it can be read. Raises StoreError."""
        busy, _, _ = db.execute("PRAGMA wal_checkpoint(TRUNCATE)").fetchone()
        if busy:
            raise StoreError(f"{self.path}: the log could not be written into the database")

    def _read_meta(self, db: sqlite3.Connection, name: str) -> int:
        row = db.execute("SELECT value FROM meta WHERE name = ?", (name,)).fetchone()
        return int(row[0])

    def belongs_to_fleet(self) -> bool:
        return bool(self._query("SELECT 1 FROM sqlite_master WHERE name = 'fleet_meta'", ()))

    def close(self) -> None:
        self.db.close()

    # ---- reading ----

    def registry(self) -> Registry:
        db = self._connection()
        try:
            rows = db.execute("SELECT name, version, incarnation, body FROM tenants ORDER BY name").fetchall()
            version = self._read_meta(db, "version")
        except sqlite3.Error as fault:
            raise StoreError(f"{self.path}: {fault}") from fault
        tenants = {name: TenantEntry(decode_tenant(body), at, first) for name, at, first, body in rows}
        if any(entry.version > version for entry in tenants.values()):
            raise StoreError(f"{self.path}: a tenant is of a later version than the whole")
        return Registry(MappingProxyType(tenants), version)

    def find_reply(self, who: str, key: bytes) -> StoredReply | None:
        row = self._query(
            "SELECT who, key, asked, status, version, body FROM answers WHERE who = ? AND key = ?", (who, key)
        )
        return StoredReply(*row[0]) if row else None

    def changes(self, after: int, most: int, tenant: str = "") -> list[ChangeRecord]:
        return [
            ChangeRecord(*row)
            for row in self._query(
                "SELECT version, at, who, tenant, kind, body FROM changes WHERE version > ? AND (? = '' OR tenant = ?) "
                "ORDER BY version LIMIT ?",
                (after, tenant, tenant, most),
            )
        ]

    def audit(self, after: int, most: int) -> list[tuple[int, AuditRecord]]:
        rows = self._query(
            "SELECT id, at, who, peer, call, status, why, many FROM audit WHERE id > ? ORDER BY id LIMIT ?",
            (after, most),
        )
        return [(row[0], AuditRecord(*row[1:])) for row in rows]

    def _query(self, text: str, terms: tuple[Any, ...]) -> list[Any]:
        db = self._connection()
        try:
            return db.execute(text, terms).fetchall()
        except sqlite3.Error as fault:
            raise StoreError(f"{self.path}: {fault}") from fault

    # ---- writing ----

    def commit(self, change: Commit) -> None:
        """All of it or none: on disk when it returns, not there when it raises, but for StoreOutcomeUnknown."""
        self._in_transaction(lambda db: self._write_change(db, change), change.record.version)

    def append_audit(self, lines: Iterable[AuditRecord]) -> None:
        """Lines of the audit log that belong to no change."""
        self._in_transaction(lambda db: self._append_audit(db, lines))

    def _in_transaction(self, what: Callable[[sqlite3.Connection], None], version: int = 0) -> None:
        db = self._connection()
        committing = False
        try:
            self.step("begin")
            db.execute("BEGIN IMMEDIATE")
            try:
                what(db)
                self.step("written")
                committing = True
                db.execute("COMMIT")
            except BaseException:
                if db.in_transaction:
                    db.execute("ROLLBACK")
                raise
            self.step("committed")
        except sqlite3.Error as fault:
            if not committing or not self._was_committed(version, fault):
                raise StoreError(f"{self.path}: {fault}") from fault

    def _was_committed(self, version: int, fault: sqlite3.Error) -> bool:
        """After a COMMIT that raised: its last page may be in the log all the same, and be found by a later start.

        What a later start would find is what counts, so the file is opened anew, as that would.
        """
        self.lost = True
        try:
            db = self._connection()
            return version > 0 and self._read_meta(db, "version") == version
        except (StoreError, sqlite3.Error) as unseen:
            raise StoreOutcomeUnknown(f"{self.path}: {fault}; {unseen}") from fault

    def _write_change(self, db: sqlite3.Connection, change: Commit) -> None:
        logged = change.record
        if logged.version <= self._read_meta(db, "version"):
            raise StoreError(f"{self.path}: version {logged.version} is there already")
        if change.entry is None:
            db.execute("DELETE FROM tenants WHERE name = ?", (logged.tenant,))
        else:
            db.execute(
                "INSERT OR REPLACE INTO tenants VALUES (?, ?, ?, ?)",
                (logged.tenant, change.entry.version, change.entry.incarnation, encode_tenant(change.entry.tenant)),
            )
        self.step("tenant")
        db.execute("UPDATE meta SET value = ? WHERE name = 'version'", (logged.version,))
        self.step("version")
        db.execute(
            "INSERT INTO changes VALUES (?, ?, ?, ?, ?, ?)",
            (logged.version, logged.at, logged.who, logged.tenant, logged.kind, logged.body),
        )
        db.execute("DELETE FROM changes WHERE version <= ?", (logged.version - CHANGES_MOST,))
        self.step("logged")
        if change.reply is not None:
            self._save_reply(db, logged.at, change.reply)
        self.step("answered")
        if change.audit is not None:
            self._append_audit(db, [change.audit])
        self.step("noted")

    def _save_reply(self, db: sqlite3.Connection, at: int, one: StoredReply) -> None:
        db.execute(
            "INSERT INTO answers VALUES (?, ?, ?, ?, ?, ?, ?)",
            (one.who, one.key_digest, one.call_digest, at, one.status, one.version, one.body),
        )
        db.execute("DELETE FROM answers WHERE at < ?", (at - ANSWERS_KEPT,))
        if one.version % 64 == 0:  # it looks through all of them
            db.execute(
                "DELETE FROM answers WHERE rowid IN (SELECT rowid FROM answers ORDER BY at DESC LIMIT -1 OFFSET ?)",
                (MAX_REPLIES,),
            )

    def _append_audit(self, db: sqlite3.Connection, lines: Iterable[AuditRecord]) -> None:
        rows = [(one.at, one.who, one.peer, one.call, one.status, one.reason, one.count) for one in lines]
        db.executemany("INSERT INTO audit (at, who, peer, call, status, why, many) VALUES (?, ?, ?, ?, ?, ?, ?)", rows)
        db.execute("DELETE FROM audit WHERE id <= (SELECT max(id) FROM audit) - ?", (AUDIT_MOST,))
