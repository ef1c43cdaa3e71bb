"""The store of a fleet's member: the registry's tables, and beside them the log, term, vote and disk id.

    store = FleetStore(path); boot = store.begin_boot()
    store.execute([write, MarkApplied(...), ...])    # in one transaction, on disk on return; raises StoreError

Only one thread may use it, as with Store.
"""

import sqlite3
from dataclasses import dataclass, field
from secrets import randbits, token_hex
from types import MappingProxyType

import msgspec

from ternquay.consensus.core import PersistentState, Write
from ternquay.consensus.log import Log
from ternquay.consensus.messages import EntryKind, LogEntry, Membership
from ternquay.hosted.store import MAX_REPLIES, Commit, Store, StoreError, decode_tenant
from ternquay.hosted.tenants.registry import Registry, TenantEntry
from ternquay.peers.peer_table import BOOT_RANDOM_BITS

TABLES = """
CREATE TABLE IF NOT EXISTS fleet_meta (name TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS fleet_log (at INTEGER PRIMARY KEY, term INTEGER NOT NULL, kind INTEGER NOT NULL,
                                      about INTEGER NOT NULL, body BLOB NOT NULL);
"""
MAX_SNAPSHOT_CHANGES = 1000  # entries of the change log in a snapshot


class FleetIdentity(msgspec.Struct, frozen=True, array_like=True):
    """How the fleet was bootstrapped. `seed_member`: whose registry it started with, "" for an empty one."""

    fleet_id: str
    membership: Membership
    seed_member: str = ""


class RegistrySnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The whole state in force, sent to a member that is too far behind the log. Each tuple is a table row."""

    version: int
    tenants: tuple[tuple[str, int, int, bytes], ...]
    replies: tuple[tuple[str, bytes, bytes, int, int, int, bytes], ...]
    changes: tuple[tuple[int, int, str, str, str, bytes], ...]

    def registry(self) -> Registry:
        """Raises StoreError."""
        tenants = {
            name: TenantEntry(decode_tenant(body), version, incarnation)
            for name, version, incarnation, body in self.tenants
        }
        return Registry(MappingProxyType(tenants), self.version)


@dataclass(slots=True, frozen=True)
class MarkApplied:
    """Records the log entry at `index` as applied, with the change that it made to the registry, if any."""

    index: int
    change: Commit | None = None


@dataclass(slots=True, frozen=True)
class CompactLog:
    """Removes the log up to `base_index`, and records the term and the membership there."""

    base_index: int
    base_term: int
    base_membership: Membership


Job = Write | MarkApplied | CompactLog | FleetIdentity


@dataclass(slots=True)
class BootState:
    """What a process start finds in the store."""

    disk_id: str
    boot_id: int
    identity: FleetIdentity | None
    state: PersistentState = field(default_factory=PersistentState)
    registry_from_fleet: bool = False  # the registry is a fleet's, but the fleet state was discarded


_snapshot_decoder = msgspec.msgpack.Decoder(RegistrySnapshot)


def decode_snapshot(data: bytes) -> RegistrySnapshot:
    """Raises StoreError."""
    try:
        return _snapshot_decoder.decode(data)
    except msgspec.DecodeError as fault:
        raise StoreError(f"a snapshot can't be read: {fault}") from fault


class FleetStore(Store):
    """The store of one member. Names in `fleet_meta` and in the tables are part of the stored format."""

    def _initialize(self, db: sqlite3.Connection) -> None:
        super()._initialize(db)
        db.execute("BEGIN IMMEDIATE")
        for statement in TABLES.split(";"):
            db.execute(statement)
        db.execute("COMMIT")

    def _get(self, db: sqlite3.Connection, name: str) -> bytes | None:
        """The value of that name in fleet_meta, or None."""
        row = db.execute("SELECT value FROM fleet_meta WHERE name = ?", (name,)).fetchone()
        return bytes(row[0]) if row else None

    def _put(self, db: sqlite3.Connection, **values: bytes | int | str) -> None:
        """Writes the values to fleet_meta under the names of the arguments, which are part of the stored format."""
        rows = [(name, value if isinstance(value, bytes) else str(value).encode()) for name, value in values.items()]
        db.executemany("INSERT OR REPLACE INTO fleet_meta VALUES (?, ?)", rows)

    # ---- start ----

    def begin_boot(self) -> BootState:
        """Counts a start of this disk, and returns what the disk holds. Raises StoreError."""
        self._in_transaction(self._start_boot)
        try:
            return self._boot_state()
        except (sqlite3.Error, msgspec.DecodeError, ValueError) as fault:
            raise StoreError(f"{self.path}: the fleet's log: {fault}") from fault

    def _start_boot(self, db: sqlite3.Connection) -> None:
        if self._get(db, "disk") is None:
            self._put(db, disk=token_hex(8), boots=0)
        boots = int(self._get(db, "boots") or b"0") + 1
        self._put(db, boots=boots, boot=boots << BOOT_RANDOM_BITS | randbits(BOOT_RANDOM_BITS))

    def _boot_state(self) -> BootState:
        db = self._connection()
        values = {name: bytes(value) for name, value in db.execute("SELECT name, value FROM fleet_meta")}
        number = {
            name: int(values.get(name, b"0")) for name in ("boot", "term", "applied", "least", "base", "base_term")
        }
        rows = db.execute("SELECT at, term, kind, about, body FROM fleet_log ORDER BY at").fetchall()
        if [row[0] for row in rows] != list(range(number["base"] + 1, number["base"] + 1 + len(rows))):
            raise ValueError("entries are missing")
        membership = msgspec.msgpack.decode(values["roster"], type=Membership) if "roster" in values else Membership()
        log = Log(number["base"], number["base_term"], membership)
        log.append(tuple(LogEntry(term, EntryKind(kind), bytes(body), about) for _, term, kind, about, body in rows))
        identity = msgspec.msgpack.decode(values["founded"], type=FleetIdentity) if "founded" in values else None
        state = PersistentState(
            number["term"], values.get("voted", b"").decode(), log, number["applied"], number["least"]
        )
        return BootState(values["disk"].decode(), number["boot"], identity, state, "was" in values)

    def discard_disk_state(self) -> BootState:
        """Empties the fleet state of a disk that is a rolled-back copy, and gives it a new disk id.

        The other members rely on nothing that a new disk holds.
        """

        def empty(db: sqlite3.Connection) -> None:
            db.execute("DELETE FROM fleet_log")
            db.execute("DELETE FROM fleet_meta")
            self._put(db, was=1)
            self._start_boot(db)

        self._in_transaction(empty)
        return self._boot_state()

    # ---- writing ----

    def execute(self, jobs: list[Job]) -> None:
        """Executes all jobs or none; after an error of unknown outcome the same jobs may be executed again."""
        self._in_transaction(lambda db: self._execute(db, jobs))

    def _execute(self, db: sqlite3.Connection, jobs: list[Job]) -> None:
        for job in jobs:
            if isinstance(job, Write):
                self._write_log(db, job)
            elif isinstance(job, MarkApplied):
                if int(self._get(db, "applied") or b"0") < job.index:
                    if job.change is not None and job.change.record.version > self._read_meta(db, "version"):
                        self._write_change(db, job.change)
                    self._put(db, applied=job.index)
            elif isinstance(job, CompactLog):
                db.execute("DELETE FROM fleet_log WHERE at <= ?", (job.base_index,))
                self._put(
                    db,
                    base=job.base_index,
                    base_term=job.base_term,
                    roster=msgspec.msgpack.encode(job.base_membership),
                )
            else:
                self._put(db, founded=msgspec.msgpack.encode(job), least=int(bool(job.seed_member)))

    def _write_log(self, db: sqlite3.Connection, job: Write) -> None:
        self._put(db, term=job.term, voted=job.voted_for)
        if job.install is not None:
            snapshot = job.install
            db.execute("DELETE FROM fleet_log")
            self._put(
                db,
                base=snapshot.index,
                base_term=snapshot.term,
                roster=msgspec.msgpack.encode(snapshot.membership),
                applied=snapshot.index,
            )
            if snapshot.data:
                self._install_registry(db, decode_snapshot(snapshot.data))
        elif job.truncate_after >= 0:
            db.execute("DELETE FROM fleet_log WHERE at > ?", (job.truncate_after,))
            db.executemany(
                "INSERT INTO fleet_log VALUES (?, ?, ?, ?, ?)",
                [
                    (job.truncate_after + 1 + n, entry.term, int(entry.kind), entry.proposal_index, entry.body)
                    for n, entry in enumerate(job.entries)
                ],
            )

    def _install_registry(self, db: sqlite3.Connection, snapshot: RegistrySnapshot) -> None:
        for table in ("tenants", "answers", "changes"):
            db.execute(f"DELETE FROM {table}")
        db.executemany("INSERT INTO tenants VALUES (?, ?, ?, ?)", snapshot.tenants)
        db.executemany("INSERT INTO answers VALUES (?, ?, ?, ?, ?, ?, ?)", snapshot.replies)
        db.executemany("INSERT INTO changes VALUES (?, ?, ?, ?, ?, ?)", snapshot.changes)
        db.execute("UPDATE meta SET value = ? WHERE name = 'version'", (snapshot.version,))

    # ---- snapshots ----

    def snapshot(self) -> tuple[int, bytes]:
        """The last applied index and the encoded state there. Raises StoreError."""
        db = self._connection()
        try:
            db.execute("BEGIN")
            try:
                tenants = db.execute("SELECT name, version, incarnation, body FROM tenants ORDER BY name").fetchall()
                answers = db.execute(
                    "SELECT who, key, asked, at, status, version, body FROM answers ORDER BY at DESC LIMIT ?",
                    (MAX_REPLIES,),
                ).fetchall()
                changes = db.execute(
                    "SELECT version, at, who, tenant, kind, body FROM changes ORDER BY version DESC LIMIT ?",
                    (MAX_SNAPSHOT_CHANGES,),
                ).fetchall()
                found = RegistrySnapshot(self._read_meta(db, "version"), tuple(tenants), tuple(answers), tuple(changes))
                return int(self._get(db, "applied") or b"0"), msgspec.msgpack.encode(found)
            finally:
                db.execute("COMMIT")
        except sqlite3.Error as fault:
            raise StoreError(f"{self.path}: {fault}") from fault
