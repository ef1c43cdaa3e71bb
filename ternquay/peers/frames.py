"""Frames between members of a fleet: what goes over a link, and what is dropped.

    text = seal(Frame(...), key)
    frame = open_frame(text, key, fleet, me, founded)      # raises FrameRejected with a short reason

A digest with a key that all members have (RFC 2104, SHA-256) keeps out who isn't of the fleet, no more than that:
nothing is hidden from who can read the wire, and a frame that is sent again is taken again, so what a body says has
to bear that.
"""

import hmac
from enum import IntEnum

import msgspec

FRAME_VERSION = 1  # of the form; others are dropped and counted, as between two versions of the program
MAX_FRAME_BYTES = 1 << 20
DIGEST_BYTES = 16  # bytes of it that a frame carries
MIN_KEY_BYTES = 16


class FrameRejected(ValueError):
    """A frame that isn't taken; the text is one of a few words."""


class FrameKind(IntEnum):
    PING = 0
    CONSENSUS = 1
    CALL = 2
    REPLY = 3
    DISK_ROLLED_BACK = 4  # the receiver's disk is an old copy


class DurableState(msgspec.Struct, frozen=True, array_like=True, order=True):
    """FrameKind a disk holds that others may count on; it never gets less while it is the same disk."""

    term: int = 0
    voted: bool = False
    last_term: int = 0
    last: int = 0

    def is_behind(self, other: "DurableState") -> bool:
        return (self.term, self.voted) < (other.term, other.voted) or (self.last_term, self.last) < (
            other.last_term,
            other.last,
        )


class Frame(msgspec.Struct, frozen=True, array_like=True):
    version: int
    fleet: str
    fleet_id: str  # the id of the fleet that it was founded as, "" before that
    sender: str
    disk_id: str
    boot_id: int  # of this process: rises with each start, its last 20 bits are drawn
    recipient: str
    durable: DurableState
    kind: FrameKind
    body: bytes


class _Head(msgspec.Struct, array_like=True):
    version: int


_decoder = msgspec.msgpack.Decoder(Frame)
_head = msgspec.msgpack.Decoder(_Head)


def seal(frame: Frame, key: bytes) -> bytes:
    text = msgspec.msgpack.encode(frame)
    return hmac.digest(key, text, "sha256")[:DIGEST_BYTES] + text


def open_frame(text: bytes, key: bytes, fleet: str, me: str, fleet_id: str) -> Frame:
    """Raises FrameRejected."""
    if len(text) > MAX_FRAME_BYTES or len(text) <= DIGEST_BYTES:
        raise FrameRejected("size")
    if not hmac.compare_digest(text[:DIGEST_BYTES], hmac.digest(key, text[DIGEST_BYTES:], "sha256")[:DIGEST_BYTES]):
        raise FrameRejected("digest")
    try:
        if _head.decode(text[DIGEST_BYTES:]).version != FRAME_VERSION:
            raise FrameRejected("version")
        frame = _decoder.decode(text[DIGEST_BYTES:])
    except msgspec.DecodeError as fault:
        raise FrameRejected("form") from fault
    if frame.fleet != fleet or (fleet_id and frame.fleet_id and frame.fleet_id != fleet_id):
        raise FrameRejected("fleet")
    if frame.recipient != me or frame.sender == me:
        raise FrameRejected("address")
    return frame
