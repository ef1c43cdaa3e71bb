"""Request ids that are open or that may have run, so that no id runs twice.

An id is new with every request. One that comes again while it is known, from another client or after its own client
left, is not a new request: running it could take effect twice. An id is known from its arrival until REMEMBER_NS after
the time of its request; one that provably never ran is forgotten with its answer.

The ids stand in a table of fixed size, as 64-bit fingerprints with the time until which they are known. Where two
processes of a balancer may run beside each other, each writes its table to a file of its own and looks into the file of
the other one. A process writes its entry before it looks, so of two that take the same id at once one sees the other.
A process that is stopped or killed at any point holds up nobody, as there is no lock.

Times are integer nanoseconds on the monotonic clock, which both processes share.
"""

import os
from contextlib import suppress
from hashlib import blake2b
from pathlib import Path
from struct import Struct

from loguru import logger

SECOND = 1_000_000_000
REMEMBER_NS = 30 * SECOND  # several times the longest time that a client waits
BUCKET_COUNT = 2048
BUCKET_SLOTS = 8
BUCKET = Struct(f"<{2 * BUCKET_SLOTS}Q")  # fingerprints, then the times until which they are known
SLOT_VALUE = Struct("<Q")
FINGERPRINT_BYTES = 8
FILE_NAMES = ("ternquay.0.ids", "ternquay.1.ids")  # by slot, see handover/slots.py


def fingerprint(scope: str, request_id: str) -> int:
    """Returns a number for an id, never 0. Ids of different scopes, such as tenants, have different numbers."""
    data = f"{scope}\0{request_id}".encode("utf-8", "surrogateescape")
    return int.from_bytes(blake2b(data, digest_size=FINGERPRINT_BYTES).digest(), "little") | 1


class IdTable:
    """The table of one process. Where a bucket is full, the entry that would be forgotten first makes room."""

    def __init__(self) -> None:
        self.data = bytearray(BUCKET_COUNT * BUCKET.size)

    def known_until(self, number: int) -> int:
        """Returns until when a fingerprint is known, 0 if it is not."""
        return _known_until(BUCKET.unpack_from(self.data, _offset(number)), number)

    def known_to_other_until(self, number: int) -> int:
        """Returns the same of the other process."""
        return 0

    def put(self, number: int, until: int) -> None:
        """Records a fingerprint."""
        values = BUCKET.unpack_from(self.data, _offset(number))
        times = values[BUCKET_SLOTS:]
        slot = values.index(number) if number in values[:BUCKET_SLOTS] else times.index(min(times))
        self._store(number, slot, number, until)

    def remove(self, number: int) -> None:
        """Forgets a fingerprint."""
        values = BUCKET.unpack_from(self.data, _offset(number))
        if number in values[:BUCKET_SLOTS]:
            self._store(number, values.index(number), 0, 0)

    def _store(self, bucket_of: int, slot: int, number: int, until: int) -> None:
        at = _offset(bucket_of) + slot * SLOT_VALUE.size
        SLOT_VALUE.pack_into(self.data, at, number)
        SLOT_VALUE.pack_into(self.data, at + BUCKET_SLOTS * SLOT_VALUE.size, until)


class SharedIdTable(IdTable):
    """The table of one of two processes, in a file that the other one reads.

    Failing calls leave its own table whole.
    """

    def __init__(self, folder: Path, index: int) -> None:
        """Continues the table of the former process of this slot. Raises OSError if the folder can't be used."""
        super().__init__()
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        self.own, self.other = (os.open(folder / FILE_NAMES[n], flags, 0o600) for n in (index, 1 - index))
        before = os.pread(self.own, len(self.data), 0)
        self.data[: len(before)] = before
        self.warned = False

    def known_to_other_until(self, number: int) -> int:
        try:
            data = os.pread(self.other, BUCKET.size, _offset(number))
        except OSError as fault:
            self._warn(fault)
            return 0
        return _known_until(BUCKET.unpack(data), number) if len(data) == BUCKET.size else 0

    def _store(self, bucket_of: int, slot: int, number: int, until: int) -> None:
        super()._store(bucket_of, slot, number, until)
        at = _offset(bucket_of)
        try:
            os.pwrite(self.own, self.data[at : at + BUCKET.size], at)
        except OSError as fault:
            self._warn(fault)

    def _warn(self, fault: OSError) -> None:
        if not self.warned:
            self.warned = True
            logger.warning("request ids are not shared with the other process: {}", fault.strerror)

    def close(self) -> None:
        """Closes the files. What this process ran stays known to the other one."""
        for descriptor in (self.own, self.other):
            with suppress(OSError):
                os.close(descriptor)
        self.own = self.other = -1


class RequestIds:
    """The known ids of one frontend. `scope` separates them from those of others in the same table."""

    def __init__(self, table: IdTable | None = None, scope: str = "") -> None:
        self.table, self.scope = table if table is not None else IdTable(), scope

    def claim(self, request_id: str, now: int, ttl: int) -> bool:
        """Records the id of a request that arrives with `ttl` left. Returns whether it was unknown."""
        number = fingerprint(self.scope, request_id)
        if self.table.known_until(number) > now:
            return False
        self.table.put(number, now + ttl + REMEMBER_NS)
        return self.table.known_to_other_until(number) <= now

    def forget(self, request_id: str) -> None:
        """Forgets the id of a request that never ran."""
        self.table.remove(fingerprint(self.scope, request_id))


def _offset(number: int) -> int:
    return number // 2 % BUCKET_COUNT * BUCKET.size


def _known_until(values: tuple[int, ...], number: int) -> int:
    return values[BUCKET_SLOTS + values.index(number)] if number in values[:BUCKET_SLOTS] else 0
