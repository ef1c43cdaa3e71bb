"""The note that one process leaves for the other, and how the two split what one balancer may have. Pure.

    ternquay handover 1 <bytes of the body> <BLAKE2b of the body, 32 hexadecimal digits>
    {"at": ..., "ceiling": ..., ...}

Whole or not at all: what is torn, longer than it says, of another version or no note is told by InvalidNoteError.
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
    """A note that can't be used; the text says why."""


@dataclass(slots=True, frozen=True)
class Note:
    """Times are nanoseconds on the machine's monotonic clock, which both processes read."""

    at: int
    ceiling: int  # of descriptors: its own, which it will not pass
    serves: bool  # it takes clients
    discovery: str
    revision: int
    members: tuple[HostEntry, ...]
    learned: dict[str, Any]  # by a host's id and of all, as the decisions tell it


def encode_note(note: Note) -> bytes:
    """Raises InvalidNoteError where it would be longer than anybody reads."""
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
    return blake2b(body, digest_size=16).hexdigest().encode()


def decode_note(data: bytes) -> Note:
    """Raises InvalidNoteError."""
    head, end, body = data[:MAX_HEADER_BYTES].partition(b"\n")
    words = head.split(b" ")
    if not end or words[:2] != [b"ternquay", b"handover"] or len(words) != 5:
        raise InvalidNoteError("it is no note")
    if words[2] != b"%d" % VERSION:
        raise InvalidNoteError(f"it is of version {words[2][:20]!r}")
    body = data[len(head) + 1 :]
    if words[3] != b"%d" % len(body) or words[4] != digest(body):
        raise InvalidNoteError("it is torn")
    try:
        told = orjson.loads(body)
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
            for x in told["members"]
        )
        return Note(
            at=told["at"],
            ceiling=told["ceiling"],
            serves=told["serves"],
            discovery=told["discovery"],
            revision=told["revision"],
            members=members,
            learned=told["learned"],
        )
    except (ValueError, KeyError, TypeError, IndexError) as fault:
        raise InvalidNoteError(f"it lacks something: {fault!r}") from fault


def encode_learned(learned: m.Learned, names: dict[int, str]) -> dict[str, Any]:
    """With the hosts' ids in place of indices, which are this process's own."""
    told = asdict(learned)
    told["hosts"] = {names[host["host"]]: host for host in told["hosts"] if host["host"] in names}
    return told


def decode_learned(told: dict[str, Any], indices: dict[str, int]) -> m.Learned | None:
    """What is not known here is left out; None where it can't be read."""
    try:
        hosts = tuple(
            m.LearnedHost(**(host | {"host": indices[name]})) for name, host in told["hosts"].items() if name in indices
        )
        return m.Learned(**(told | {"hosts": hosts}))
    except (KeyError, TypeError, AttributeError):
        return None


@dataclass(slots=True)
class SocketCeilings:
    """How many descriptors each of two may have; the two add up to no more than `whole` at any time."""

    total: int
    successor_share: int  # of the second, before the first has told its own

    def alone(self) -> int:
        """With the place that a second one starts in."""
        return self.total - self.successor_share

    def predecessor(self, current: int, used: int, ending: bool) -> int:
        """The first one's: down to a half, or to what it has in use; at its end down with that. Never up."""
        return min(current, max(used, 1 if ending else self.total // 2))

    def successor(self, predecessor_ceiling: int | None) -> int:
        """The second one's, by what the first has told of its own."""
        return (
            self.successor_share
            if predecessor_ceiling is None
            else max(self.successor_share, self.total - predecessor_ceiling)
        )
