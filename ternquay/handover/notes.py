"""The note that one process leaves for the other, and how the two split what one balancer may have. Pure.

    ternquay handover 1 <bytes of the body> <BLAKE2b of the body, 32 hexadecimal digits>
    {"at": ..., "ceiling": ..., ...}

Whole or not at all: what is torn, longer than it says, of another version or no note is told by NoteUnfit.
"""

from dataclasses import asdict, dataclass
from hashlib import blake2b
from typing import Any

import orjson

from ternquay import model as m
from ternquay.net.listing import HostEntry, parse_address

VERSION, MOST = 1, 1 << 20
HEAD_MOST = 100


class NoteUnfit(ValueError):
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


def written(note: Note) -> bytes:
    """Raises NoteUnfit where it would be longer than anybody reads."""
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
    if len(body) > MOST:
        raise NoteUnfit(f"{len(body)} bytes are more than {MOST}")
    return b"ternquay handover %d %d %b\n%b" % (VERSION, len(body), digest(body), body)


def digest(body: bytes) -> bytes:
    return blake2b(body, digest_size=16).hexdigest().encode()


def read(data: bytes) -> Note:
    """Raises NoteUnfit."""
    head, end, body = data[:HEAD_MOST].partition(b"\n")
    words = head.split(b" ")
    if not end or words[:2] != [b"ternquay", b"handover"] or len(words) != 5:
        raise NoteUnfit("it is no note")
    if words[2] != b"%d" % VERSION:
        raise NoteUnfit(f"it is of version {words[2][:20]!r}")
    body = data[len(head) + 1 :]
    if words[3] != b"%d" % len(body) or words[4] != digest(body):
        raise NoteUnfit("it is torn")
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
        raise NoteUnfit(f"it lacks something: {fault!r}") from fault


def learned_text(learned: m.Learned, names: dict[int, str]) -> dict[str, Any]:
    """With the hosts' ids in place of indices, which are this process's own."""
    told = asdict(learned)
    told["hosts"] = {names[host["host"]]: host for host in told["hosts"] if host["host"] in names}
    return told


def learned_read(told: dict[str, Any], indices: dict[str, int]) -> m.Learned | None:
    """What is not known here is left out; None where it can't be read."""
    try:
        hosts = tuple(
            m.LearnedHost(**(host | {"host": indices[name]})) for name, host in told["hosts"].items() if name in indices
        )
        return m.Learned(**(told | {"hosts": hosts}))
    except (KeyError, TypeError, AttributeError):
        return None


@dataclass(slots=True)
class Ceilings:
    """How many descriptors each of two may have; the two add up to no more than `whole` at any time."""

    whole: int
    start: int  # of the second, before the first has told its own

    def alone(self) -> int:
        """With the place that a second one starts in."""
        return self.whole - self.start

    def first(self, before: int, used: int, ending: bool) -> int:
        """The first one's: down to a half, or to what it has in use; at its end down with that. Never up."""
        return min(before, max(used, 1 if ending else self.whole // 2))

    def second(self, told: int | None) -> int:
        """The second one's, by what the first has told of its own."""
        return self.start if told is None else max(self.start, self.whole - told)
