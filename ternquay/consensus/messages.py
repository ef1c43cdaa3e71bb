"""What members of a fleet tell each other about their log, and what stands in it.

text = encoded(Append(...))
message = decoded(text)        # raises ValueError on anything that is none
"""

from enum import IntEnum
from typing import Any

import msgspec

TEXT_MOST = 500  # characters of a field or a reason that a member gives


class Kind(IntEnum):
    BLANK = 0  # a leader's first word: what was there before it counts with it
    PROPOSE = 1
    DECIDE = 2  # of the proposal `about`: in force
    DROP = 3  # of the proposal `about`: nowhere
    MEMBERS = 4


class Member(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A name with the disk that it came with: with another disk it is another member."""

    name: str
    disk: str


class Roster(msgspec.Struct, frozen=True, array_like=True):
    members: tuple[Member, ...] = ()
    out: tuple[str, ...] = ()  # names that an operator took out: they don't come in by themselves

    def names(self) -> tuple[str, ...]:
        return tuple(one.name for one in self.members)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    term: int
    kind: Kind
    body: bytes = b""
    about: int = 0


class Unfitness(msgspec.Struct, frozen=True, array_like=True):
    """Why a change is nowhere: who can't have it, the field, the reason."""

    member: str = ""
    field: str = ""
    why: str = ""


class Ask(msgspec.Struct, frozen=True, tag="ask", array_like=True):
    """A call for votes; `early`: only whether there would be any, which binds nobody."""

    term: int
    last: int
    last_term: int
    early: bool


class Vote(msgspec.Struct, frozen=True, tag="vote", array_like=True):
    term: int
    granted: bool
    early: bool


class Append(msgspec.Struct, frozen=True, tag="append", array_like=True):
    """`boot`, `asked`: the call that this grants a lease for, 0 where it grants none; `round`: the leader's clock."""

    term: int
    prev: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    hold: int
    round: int
    boot: int = 0
    asked: int = 0


class Ack(msgspec.Struct, frozen=True, tag="ack", array_like=True):
    """`last`: up to where the log is the leader's, or where it may be; `saved`: as far on disk; `asked`: own clock."""

    term: int
    agreed: bool
    last: int
    saved: int
    round: int
    boot: int
    asked: int
    judged: int = 0
    unfit: Unfitness | None = None
    holds: int = 0
    part: int = 0  # bytes of the snapshot that are here


class Part(msgspec.Struct, frozen=True, tag="part", array_like=True):
    """A piece of a snapshot: all that was in force at `base`."""

    term: int
    base: int
    base_term: int
    roster: Roster
    at: int
    whole: int
    data: bytes
    round: int


Message = Ask | Vote | Append | Ack | Part
_decoder: Any = msgspec.msgpack.Decoder(Message)
_roster = msgspec.msgpack.Decoder(Roster)
_unfitness = msgspec.msgpack.Decoder(Unfitness)


def encoded(what: Message | Roster | Unfitness) -> bytes:
    return msgspec.msgpack.encode(what)


def decoded(text: bytes) -> Message:
    """Raises ValueError."""
    try:
        found: Message = _decoder.decode(text)
    except msgspec.DecodeError as fault:
        raise ValueError(str(fault)) from fault
    return found


def roster_of(entry: Entry) -> Roster:
    return _roster.decode(entry.body)


def unfitness_of(entry: Entry) -> Unfitness:
    return _unfitness.decode(entry.body)
