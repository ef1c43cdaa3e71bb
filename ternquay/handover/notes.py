"""The note that a process leaves for the other one, and how the two share the limit on sockets. Performs no I/O.

    ternquay handover 1 <bytes of the body> <BLAKE2b of the body, 32 hexadecimal digits>
    {"at": ..., "ceiling": ..., ...}

A note is valid as a whole or not at all. Data that is truncated or damaged, of another version or no note at all raises
InvalidNoteError.
"""

from dataclasses import asdict, dataclass
from hashlib import blake2b
from typing import Any

import orjson

from ternquay import model as m
from ternquay.net.listing import HostEntry, parse_address

VERSION = 1
MAX_BODY_BYTES = 1 << 20
MAX_HEADER_BYTES = 100


class InvalidNoteError(ValueError):
    """The note can't be used. The message says why."""


@dataclass(slots=True, frozen=True)
class Note:
    """The state of one process. Times are nanoseconds on the monotonic clock, which both processes share."""

    at: int  # when the note was written
    ceiling: int  # the most sockets that the process will open
    serves: bool  # the process accepts clients
    discovery: str  # the address of discovery
    revision: int  # of the host list
    members: tuple[HostEntry, ...]
    learned: dict[str, Any]  # the balancer's measurements, of hosts by id: see encode_learned()


def encode_note(note: Note) -> bytes:
    """Returns the note as bytes. Raises InvalidNoteError if it is longer than a reader accepts."""
    members = [
        [x.id, str(x.address), x.zone, x.kind, x.cell, x.status.name, x.weight, x.started_at] for x in note.members
    ]
    body = orjson.dumps(
        {
            "at": note.at,
            "ceiling": note.ceiling,
            "serves": note.serves,
            "discovery": note.discovery,
            "revision": note.revision,
            "members": members,
            "learned": note.learned,
        }
    )
    if len(body) > MAX_BODY_BYTES:
        raise InvalidNoteError(f"{len(body)} bytes are more than {MAX_BODY_BYTES}")
    return b"ternquay handover %d %d %b\n%b" % (VERSION, len(body), digest(body), body)


def digest(body: bytes) -> bytes:
    """Returns the checksum of a body in hexadecimal digits."""
    return blake2b(body, digest_size=16).hexdigest().encode()


def decode_note(data: bytes) -> Note:
    """Parses a note. Raises InvalidNoteError."""
    head, end, body = data[:MAX_HEADER_BYTES].partition(b"\n")
    words = head.split(b" ")
    if not end or words[:2] != [b"ternquay", b"handover"] or len(words) != 5:
        raise InvalidNoteError("not a note")
    if words[2] != b"%d" % VERSION:
        raise InvalidNoteError(f"unknown version {words[2][:20]!r}")
    body = data[len(head) + 1 :]
    if words[3] != b"%d" % len(body) or words[4] != digest(body):
        raise InvalidNoteError("length or checksum mismatch")
    try:
        document = orjson.loads(body)
        members = tuple(
            HostEntry(
                id=x[0],
                address=parse_address(x[1], "members"),
                zone=x[2],
                kind=x[3],
                cell=x[4],
                status=m.HostStatus[x[5]],
                weight=x[6],
                started_at=x[7],
            )
            for x in document["members"]
        )
        return Note(
            at=document["at"],
            ceiling=document["ceiling"],
            serves=document["serves"],
            discovery=document["discovery"],
            revision=document["revision"],
            members=members,
            learned=document["learned"],
        )
    except (ValueError, KeyError, TypeError, IndexError) as fault:
        raise InvalidNoteError(f"missing or invalid field: {fault!r}") from fault


def encode_learned(learned: m.Learned, names: dict[int, str]) -> dict[str, Any]:
    """Returns the measurements with hosts by id, as indices differ between processes."""
    encoded = asdict(learned)
    encoded["hosts"] = {names[host["host"]]: host for host in encoded["hosts"] if host["host"] in names}
    return encoded


def decode_learned(encoded: dict[str, Any], indices: dict[str, int]) -> m.Learned | None:
    """Returns the measurements of the hosts in `indices`, or None if they can't be parsed."""
    try:
        hosts = tuple(
            m.LearnedHost(**(host | {"host": indices[name]}))
            for name, host in encoded["hosts"].items()
            if name in indices
        )
        return m.Learned(**(encoded | {"hosts": hosts}))
    except (KeyError, TypeError, AttributeError):
        return None


@dataclass(slots=True)
class SocketCeilings:
    """The most sockets of each of two processes. They add up to no more than `total` at any time."""

    total: int
    successor_share: int  # for the successor until the predecessor has written its own ceiling

    def alone(self) -> int:
        """Returns the ceiling of a single process, which leaves room for a successor to start."""
        return self.total - self.successor_share

    def predecessor(self, current: int, used: int, ending: bool) -> int:
        """Returns the ceiling of the predecessor, which never rises.

        It falls to half of the total, or while ending to one socket, but not below the number in use.
        """
        return min(current, max(used, 1 if ending else self.total // 2))

    def successor(self, predecessor_ceiling: int | None) -> int:
        """Returns the ceiling of the successor, from the one that the predecessor has written."""
        return (
            self.successor_share
            if predecessor_ceiling is None
            else max(self.successor_share, self.total - predecessor_ceiling)
        )
