"""The registry on disk: SQLite in WAL mode. Every change is one transaction, acknowledged once it is synced.

    store = Store(path)          # raises StoreError if the file is not a store or can't be read
    registry = store.registry()
    store.commit(Commit(...))    # raises StoreError, and nothing of the change is stored then

Used by a single thread. SQLite's checksums recognise what was half written at a crash, and the next start ignores it.
`on_step` is called between the steps of a commit; tests end the process there.
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

FORMAT_VERSION = 1
SECOND = 1_000_000_000  # in nanoseconds
MAX_REPLIES = 10_000
REPLY_RETENTION_NS = 24 * 3600 * SECOND
MAX_CHANGES = 100_000
MAX_AUDIT_RECORDS = 100_000
SCHEMA = """
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
    """The store can't be read or written."""


class StoreOutcomeUnknown(StoreError):
    """It is not known at present whether a change is on disk."""


@dataclass(slots=True, frozen=True)
class AuditRecord:
    """One line of the audit log, for `count` equal calls. `at` is wall-clock nanoseconds."""

    at: int
    who: str
    peer: str
    call: str
    status: int
    reason: str
    count: int = 1


@dataclass(slots=True, frozen=True)
class StoredReply:
    """The reply to a call with an idempotency key, sent again when the call is repeated."""

    who: str
    key_digest: bytes
    call_digest: bytes  # of the call; reusing the key for another call is the caller's error
    status: int
    version: int
    body: bytes


@dataclass(slots=True, frozen=True)
class ChangeRecord:
    """One line of the change log. `at` is wall-clock nanoseconds."""

    version: int
    at: int
    who: str
    tenant: str
    kind: str
    body: bytes


@dataclass(slots=True, frozen=True)
class Commit:
    """One change with all that is stored with it. `entry` is None if the tenant was removed."""

    record: ChangeRecord
    entry: TenantEntry | None
    reply: StoredReply | None = None
    audit: AuditRecord | None = None


def encode_tenant(tenant: Tenant) -> bytes:
    """Returns the stored form of the tenant."""
    keys = tuple(StoredKey(key.name, key.digest, key.scope.value, key.since, key.until) for key in tenant.keys)
    return msgspec.json.encode(StoredTenant(tenant_to_document(tenant), tenant.state.value, keys))


def decode_tenant(body: bytes) -> Tenant:
    """Returns the tenant of a stored form. Raises StoreError if it can't be read."""
    try:
        stored = msgspec.json.decode(body, type=StoredTenant)
        keys = tuple(ApiKey(key.name, key.digest, Scope(key.scope), key.since, key.until) for key in stored.keys)
        return replace(tenant_from_document(stored.tenant), keys=keys, state=parse_state(stored.state))
    except (msgspec.DecodeError, InvalidField, ValueError) as fault:
        raise StoreError(f"a tenant that is kept can't be read: {fault}") from fault


class Store:
    """An open store. Its methods raise StoreError if the file can't be read or written."""

    def __init__(self, path: Path | str, on_step: Callable[[str], None] = lambda step: None) -> None:
        self.path, self.on_step = str(path), on_step
        self.needs_reopen = False  # before any other use
        try:
            self.db = self._connect()
            self._initialize(self.db)
        except sqlite3.Error as fault:
            raise StoreError(f"{path}: {fault}") from fault

    def _connect(self) -> sqlite3.Connection:
        return sqlite3.connect(self.path, isolation_level=None, timeout=2.0, check_same_thread=False)

    def _connection(self) -> sqlite3.Connection:
        """Returns the connection, opened again if necessary. Raises StoreError."""
        try:
            if self.needs_reopen:
                self.close()
                self.db = self._connect()
                self._initialize(self.db)
                self._checkpoint(self.db)
                self.needs_reopen = False
            return self.db
        except sqlite3.Error as fault:
            raise StoreError(f"{self.path}: {fault}") from fault

    def _initialize(self, db: sqlite3.Connection) -> None:
        """Locks and checks the file, and creates the tables that are missing."""
        # One process owns the store: a second one would acknowledge changes that the first does not know.
        db.execute("PRAGMA locking_mode = EXCLUSIVE")
        mode = db.execute("PRAGMA journal_mode = WAL").fetchone()[0]
        if mode != "wal":
            raise StoreError(f"{self.path}: no write-ahead log can be kept there, only {mode}")
        db.execute("PRAGMA synchronous = FULL")
        db.execute("PRAGMA wal_autocheckpoint = 200")
        if db.execute("PRAGMA quick_check").fetchone()[0] != "ok":
            raise StoreError(f"{self.path}: is damaged")
        db.execute("BEGIN IMMEDIATE")
        for statement in SCHEMA.split(";"):
            db.execute(statement)
        db.execute("INSERT OR IGNORE INTO meta VALUES ('format', ?), ('version', 0)", (FORMAT_VERSION,))
        db.execute("COMMIT")
        found = self._read_meta(db, "format")
        if found != FORMAT_VERSION:
            raise StoreError(f"{self.path}: is of format {found}, this program reads {FORMAT_VERSION}")

    def _checkpoint(self, db: sqlite3.Connection) -> None:
        """Writes the log into the database and syncs it. Raises StoreError.

        After a failed sync nothing of the log counts as on disk, even though it can be read.
        """
        busy, _, _ = db.execute("PRAGMA wal_checkpoint(TRUNCATE)").fetchone()
        if busy:
            raise StoreError(f"{self.path}: the log could not be written into the database")

    def _read_meta(self, db: sqlite3.Connection, name: str) -> int:
        row = db.execute("SELECT value FROM meta WHERE name = ?", (name,)).fetchone()
        return int(row[0])

    def belongs_to_fleet(self) -> bool:
        """Whether a member of a fleet has used the store."""
        return bool(self._query("SELECT 1 FROM sqlite_master WHERE name = 'fleet_meta'", ()))

    def close(self) -> None:
        """Closes the file."""
        self.db.close()

    # ---- reading ----

    def registry(self) -> Registry:
        """Returns the stored registry."""
        db = self._connection()
        try:
            rows = db.execute("SELECT name, version, incarnation, body FROM tenants ORDER BY name").fetchall()
            version = self._read_meta(db, "version")
        except sqlite3.Error as fault:
            raise StoreError(f"{self.path}: {fault}") from fault
        tenants = {
            name: TenantEntry(decode_tenant(body), tenant_version, incarnation)
            for name, tenant_version, incarnation, body in rows
        }
        if any(entry.version > version for entry in tenants.values()):
            raise StoreError(f"{self.path}: a tenant has a later version than the registry")
        return Registry(MappingProxyType(tenants), version)

    def find_reply(self, who: str, key_digest: bytes) -> StoredReply | None:
        """Returns the stored reply to the caller's call with that key."""
        rows = self._query(
            "SELECT who, key, asked, status, version, body FROM answers WHERE who = ? AND key = ?", (who, key_digest)
        )
        return StoredReply(*rows[0]) if rows else None

    def changes(self, after: int, limit: int, tenant: str = "") -> list[ChangeRecord]:
        """Returns at most `limit` lines of the change log after that version, of one tenant or of all."""
        return [
            ChangeRecord(*row)
            for row in self._query(
                "SELECT version, at, who, tenant, kind, body FROM changes WHERE version > ? AND (? = '' OR tenant = ?) "
                "ORDER BY version LIMIT ?",
                (after, tenant, tenant, limit),
            )
        ]

    def audit(self, after: int, limit: int) -> list[tuple[int, AuditRecord]]:
        """Returns at most `limit` lines of the audit log after that id, with their ids."""
        rows = self._query(
            "SELECT id, at, who, peer, call, status, why, many FROM audit WHERE id > ? ORDER BY id LIMIT ?",
            (after, limit),
        )
        return [(row[0], AuditRecord(*row[1:])) for row in rows]

    def _query(self, statement: str, parameters: tuple[Any, ...]) -> list[Any]:
        db = self._connection()
        try:
            return db.execute(statement, parameters).fetchall()
        except sqlite3.Error as fault:
            raise StoreError(f"{self.path}: {fault}") from fault

    # ---- writing ----

    def commit(self, change: Commit) -> None:
        """Stores the change as a whole: it is on disk when this returns, and not stored when this raises.

        StoreOutcomeUnknown is the exception: the change may be stored or not.
        """
        self._in_transaction(lambda db: self._write_change(db, change), change.record.version)

    def append_audit(self, records: Iterable[AuditRecord]) -> None:
        """Adds lines to the audit log that belong to no change."""
        self._in_transaction(lambda db: self._append_audit(db, records))

    def _in_transaction(self, action: Callable[[sqlite3.Connection], None], version: int = 0) -> None:
        """Runs the action in a transaction; `version` is the registry version that it stores, 0 if it stores none."""
        db = self._connection()
        committing = False
        try:
            self.on_step("begin")
            db.execute("BEGIN IMMEDIATE")
            try:
                action(db)
                self.on_step("written")
                committing = True
                db.execute("COMMIT")
            except BaseException:
                if db.in_transaction:
                    db.execute("ROLLBACK")
                raise
            self.on_step("committed")
        except sqlite3.Error as fault:
            if not committing or not self._was_committed(version, fault):
                raise StoreError(f"{self.path}: {fault}") from fault

    def _was_committed(self, version: int, fault: sqlite3.Error) -> bool:
        """Whether the version is stored, after a COMMIT that raised.

        The last page may be in the log all the same. What a later start would find is decisive, so the file is opened
        again as a start would do.
        """
        self.needs_reopen = True
        try:
            db = self._connection()
            return version > 0 and self._read_meta(db, "version") == version
        except (StoreError, sqlite3.Error) as unreadable:
            raise StoreOutcomeUnknown(f"{self.path}: {fault}; {unreadable}") from fault

    def _write_change(self, db: sqlite3.Connection, change: Commit) -> None:
        record = change.record
        if record.version <= self._read_meta(db, "version"):
            raise StoreError(f"{self.path}: version {record.version} is stored already")
        if change.entry is None:
            db.execute("DELETE FROM tenants WHERE name = ?", (record.tenant,))
        else:
            db.execute(
                "INSERT OR REPLACE INTO tenants VALUES (?, ?, ?, ?)",
                (record.tenant, change.entry.version, change.entry.incarnation, encode_tenant(change.entry.tenant)),
            )
        self.on_step("tenant")
        db.execute("UPDATE meta SET value = ? WHERE name = 'version'", (record.version,))
        self.on_step("version")
        db.execute(
            "INSERT INTO changes VALUES (?, ?, ?, ?, ?, ?)",
            (record.version, record.at, record.who, record.tenant, record.kind, record.body),
        )
        db.execute("DELETE FROM changes WHERE version <= ?", (record.version - MAX_CHANGES,))
        self.on_step("logged")
        if change.reply is not None:
            self._save_reply(db, record.at, change.reply)
        self.on_step("answered")
        if change.audit is not None:
            self._append_audit(db, [change.audit])
        self.on_step("noted")

    def _save_reply(self, db: sqlite3.Connection, at: int, reply: StoredReply) -> None:
        db.execute(
            "INSERT INTO answers VALUES (?, ?, ?, ?, ?, ?, ?)",
            (reply.who, reply.key_digest, reply.call_digest, at, reply.status, reply.version, reply.body),
        )
        db.execute("DELETE FROM answers WHERE at < ?", (at - REPLY_RETENTION_NS,))
        if reply.version % 64 == 0:  # not each time, as the statement reads the whole table
            db.execute(
                "DELETE FROM answers WHERE rowid IN (SELECT rowid FROM answers ORDER BY at DESC LIMIT -1 OFFSET ?)",
                (MAX_REPLIES,),
            )

    def _append_audit(self, db: sqlite3.Connection, records: Iterable[AuditRecord]) -> None:
        rows = [(one.at, one.who, one.peer, one.call, one.status, one.reason, one.count) for one in records]
        db.executemany("INSERT INTO audit (at, who, peer, call, status, why, many) VALUES (?, ?, ?, ?, ?, ?, ?)", rows)
        db.execute("DELETE FROM audit WHERE id <= (SELECT max(id) FROM audit) - ?", (MAX_AUDIT_RECORDS,))
