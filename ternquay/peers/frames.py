"""Frames between members of a fleet: what goes over a link, and what is dropped.

    text = sealed(Frame(...), key)
    frame = opened(text, key, fleet, me, founded)      # raises Dropped, with the reason by which it is counted

A digest with a key that all members have (RFC 2104, SHA-256) keeps out who isn't of the fleet, no more than that:
nothing is hidden from who can read the wire, and a frame that is sent again is taken again, so what a body says has
to bear that.
"""

import hmac
from enum import IntEnum

import msgspec

VERSION = 1  # of the form; others are dropped and counted, as between two versions of the program
FRAME_MOST = 1 << 20
DIGEST = 16  # bytes of it that a frame carries
KEY_LEAST = 16


class Dropped(ValueError):
    """A frame that isn't taken; the text is one of a few words."""


class What(IntEnum):
    PING = 0
    AGREEMENT = 1
    CALL = 2
    REPLY = 3
    SET_BACK = 4  # the receiver's disk is an old copy


class Marks(msgspec.Struct, frozen=True, array_like=True, order=True):
    """What a disk holds that others may count on; it never gets less while it is the same disk."""

    term: int = 0
    voted: bool = False
    last_term: int = 0
    last: int = 0

    def less_than(self, other: "Marks") -> bool:
        return (self.term, self.voted) < (other.term, other.voted) or (self.last_term, self.last) < (
            other.last_term,
            other.last,
        )


class Frame(msgspec.Struct, frozen=True, array_like=True):
    version: int
    fleet: str
    founded: str  # the id of the fleet that it was founded as, "" before that
    sender: str
    disk: str
    boot: int  # of this process: rises with each start, its last 20 bits are drawn
    to: str
    marks: Marks
    what: What
    body: bytes


class _Head(msgspec.Struct, array_like=True):
    version: int


_decoder = msgspec.msgpack.Decoder(Frame)
_head = msgspec.msgpack.Decoder(_Head)


def sealed(frame: Frame, key: bytes) -> bytes:
    text = msgspec.msgpack.encode(frame)
    return hmac.digest(key, text, "sha256")[:DIGEST] + text


def opened(text: bytes, key: bytes, fleet: str, me: str, founded: str) -> Frame:
    """Raises Dropped."""
    if len(text) > FRAME_MOST or len(text) <= DIGEST:
        raise Dropped("size")
    if not hmac.compare_digest(text[:DIGEST], hmac.digest(key, text[DIGEST:], "sha256")[:DIGEST]):
        raise Dropped("digest")
    try:
        if _head.decode(text[DIGEST:]).version != VERSION:
            raise Dropped("version")
        frame = _decoder.decode(text[DIGEST:])
    except msgspec.DecodeError as fault:
        raise Dropped("form") from fault
    if frame.fleet != fleet or (founded and frame.founded and frame.founded != founded):
        raise Dropped("fleet")
    if frame.to != me or frame.sender == me:
        raise Dropped("address")
    return frame
