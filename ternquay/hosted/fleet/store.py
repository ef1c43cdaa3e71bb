"""The store of a fleet's member: beside the registry's tables the log, its term and vote, and its disk's id.

    store = FleetStore(path); life = store.begin_boot()
    store.carry([write, Applied(...), ...])      # all of them or none, on disk when it returns; raises StoreError

Used by one thread alone, as the store that it is.
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
CHANGES_SENT = 1000  # lines of the change log that go with a snapshot


class Founded(msgspec.Struct, frozen=True, array_like=True):
    """As what the fleet began; `brings`: whose registry, "" for an empty one."""

    id: str
    membership: Membership
    brings: str = ""


class Carried(msgspec.Struct, frozen=True, array_like=True):
    """All that was in force, as one member tells another that is too far behind."""

    version: int
    tenants: tuple[tuple[str, int, int, bytes], ...]
    answers: tuple[tuple[str, bytes, bytes, int, int, int, bytes], ...]
    changes: tuple[tuple[int, int, str, str, str, bytes], ...]

    def registry(self) -> Registry:
        """Raises StoreError."""
        tenants = {name: TenantEntry(decode_tenant(body), at, first) for name, at, first, body in self.tenants}
        return Registry(MappingProxyType(tenants), self.version)


@dataclass(slots=True, frozen=True)
class Applied:
    """The log's entry `index` is in force here; `change` is what it changed, if it did."""

    index: int
    change: Commit | None = None


@dataclass(slots=True, frozen=True)
class Forgot:
    """Nothing of the log up to there is kept."""

    base: int
    term: int
    membership: Membership


Job = Write | Applied | Forgot | Founded


@dataclass(slots=True)
class Life:
    disk: str
    boot: int
    founded: Founded | None
    kept: PersistentState = field(default_factory=PersistentState)
    was_of_fleet: bool = False  # its registry is a fleet's, though its disk counts for nothing any more


_carried = msgspec.msgpack.Decoder(Carried)


def carried_of(data: bytes) -> Carried:
    """Raises StoreError."""
    try:
        return _carried.decode(data)
    except msgspec.DecodeError as fault:
        raise StoreError(f"a snapshot can't be read: {fault}") from fault


class FleetStore(Store):
    def _initialize(self, db: sqlite3.Connection) -> None:
        super()._initialize(db)
        db.execute("BEGIN IMMEDIATE")
        for statement in TABLES.split(";"):
            db.execute(statement)
        db.execute("COMMIT")

    def _told(self, db: sqlite3.Connection, name: str) -> bytes | None:
        row = db.execute("SELECT value FROM fleet_meta WHERE name = ?", (name,)).fetchone()
        return bytes(row[0]) if row else None

    def _tell(self, db: sqlite3.Connection, **values: bytes | int | str) -> None:
        rows = [(name, value if isinstance(value, bytes) else str(value).encode()) for name, value in values.items()]
        db.executemany("INSERT OR REPLACE INTO fleet_meta VALUES (?, ?)", rows)

    # ---- a start ----

    def begin_boot(self) -> Life:
        """One start more of this disk. Raises StoreError."""
        self._in_transaction(self._one_more)
        try:
            return self._life()
        except (sqlite3.Error, msgspec.DecodeError, ValueError) as fault:
            raise StoreError(f"{self.path}: the fleet's log: {fault}") from fault

    def _one_more(self, db: sqlite3.Connection) -> None:
        if self._told(db, "disk") is None:
            self._tell(db, disk=token_hex(8), boots=0)
        boots = int(self._told(db, "boots") or b"0") + 1
        self._tell(db, boots=boots, boot=boots << BOOT_RANDOM_BITS | randbits(BOOT_RANDOM_BITS))

    def _life(self) -> Life:
        db = self._connection()
        told = {name: bytes(value) for name, value in db.execute("SELECT name, value FROM fleet_meta")}
        number = {name: int(told.get(name, b"0")) for name in ("boot", "term", "applied", "least", "base", "base_term")}
        rows = db.execute("SELECT at, term, kind, about, body FROM fleet_log ORDER BY at").fetchall()
        if [row[0] for row in rows] != list(range(number["base"] + 1, number["base"] + 1 + len(rows))):
            raise ValueError("entries are missing")
        roster = msgspec.msgpack.decode(told["roster"], type=Membership) if "roster" in told else Membership()
        log = Log(number["base"], number["base_term"], roster)
        log.append(tuple(LogEntry(term, EntryKind(kind), bytes(body), about) for _, term, kind, about, body in rows))
        founded = msgspec.msgpack.decode(told["founded"], type=Founded) if "founded" in told else None
        kept = PersistentState(number["term"], told.get("voted", b"").decode(), log, number["applied"], number["least"])
        return Life(told["disk"].decode(), number["boot"], founded, kept, "was" in told)

    def give_up_disk(self) -> Life:
        """An old copy, found out: it counts as another disk from now on, with nothing on it that others count on."""

        def empty(db: sqlite3.Connection) -> None:
            db.execute("DELETE FROM fleet_log")
            db.execute("DELETE FROM fleet_meta")
            self._tell(db, was=1)
            self._one_more(db)

        self._in_transaction(empty)
        return self._life()

    # ---- writing ----

    def carry(self, jobs: list[Job]) -> None:
        """Each job may be carried out again, if it can't be told whether it was."""
        self._in_transaction(lambda db: self._carry(db, jobs))

    def _carry(self, db: sqlite3.Connection, jobs: list[Job]) -> None:
        for job in jobs:
            if isinstance(job, Write):
                self._log(db, job)
            elif isinstance(job, Applied):
                if int(self._told(db, "applied") or b"0") < job.index:
                    if job.change is not None and job.change.record.version > self._read_meta(db, "version"):
                        self._write_change(db, job.change)
                    self._tell(db, applied=job.index)
            elif isinstance(job, Forgot):
                db.execute("DELETE FROM fleet_log WHERE at <= ?", (job.base,))
                self._tell(db, base=job.base, base_term=job.term, roster=msgspec.msgpack.encode(job.membership))
            else:
                self._tell(db, founded=msgspec.msgpack.encode(job), least=int(bool(job.brings)))

    def _log(self, db: sqlite3.Connection, job: Write) -> None:
        self._tell(db, term=job.term, voted=job.voted_for)
        if job.install is not None:
            one = job.install
            db.execute("DELETE FROM fleet_log")
            self._tell(
                db, base=one.index, base_term=one.term, roster=msgspec.msgpack.encode(one.membership), applied=one.index
            )
            if one.data:
                self._install(db, carried_of(one.data))
        elif job.truncate_after >= 0:
            db.execute("DELETE FROM fleet_log WHERE at > ?", (job.truncate_after,))
            db.executemany(
                "INSERT INTO fleet_log VALUES (?, ?, ?, ?, ?)",
                [
                    (job.truncate_after + 1 + n, e.term, int(e.kind), e.proposal_index, e.body)
                    for n, e in enumerate(job.entries)
                ],
            )

    def _install(self, db: sqlite3.Connection, one: Carried) -> None:
        for table in ("tenants", "answers", "changes"):
            db.execute(f"DELETE FROM {table}")
        db.executemany("INSERT INTO tenants VALUES (?, ?, ?, ?)", one.tenants)
        db.executemany("INSERT INTO answers VALUES (?, ?, ?, ?, ?, ?, ?)", one.answers)
        db.executemany("INSERT INTO changes VALUES (?, ?, ?, ?, ?, ?)", one.changes)
        db.execute("UPDATE meta SET value = ? WHERE name = 'version'", (one.version,))

    # ---- for others ----

    def snapshot(self) -> tuple[int, bytes]:
        """Up to which entry all is applied here, and what that came to. Raises StoreError."""
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
                    (CHANGES_SENT,),
                ).fetchall()
                one = Carried(self._read_meta(db, "version"), tuple(tenants), tuple(answers), tuple(changes))
                return int(self._told(db, "applied") or b"0"), msgspec.msgpack.encode(one)
            finally:
                db.execute("COMMIT")
        except sqlite3.Error as fault:
            raise StoreError(f"{self.path}: {fault}") from fault
