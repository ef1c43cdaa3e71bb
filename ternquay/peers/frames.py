"""Frames between the members of a fleet: their form on the wire, and which of them are rejected.

    text = seal(Frame(...), key)
    frame = open_frame(text, key, fleet, me, fleet_id)     # raises FrameRejected with a short reason

Each frame carries an HMAC (RFC 2104, SHA-256) with a key shared by all members. This keeps outsiders out, and nothing
more: frames are not encrypted, and a replayed frame is accepted, so every body has to tolerate replay.
"""

import hmac
from enum import IntEnum

import msgspec

FRAME_VERSION = 1  # of the wire format; frames of another version are dropped and counted
MAX_FRAME_BYTES = 1 << 20
DIGEST_BYTES = 16  # the HMAC is truncated to so many
MIN_KEY_BYTES = 16


class FrameRejected(ValueError):
    """The frame is dropped. The text is one of a few fixed reasons, by which it is counted."""


class FrameKind(IntEnum):
    """What the body of a frame holds."""

    PING = 0
    CONSENSUS = 1
    CALL = 2  # forwarded to the leader
    REPLY = 3  # to a forwarded call
    DISK_ROLLED_BACK = 4  # tells the recipient that its disk is an old copy


class DurableState(msgspec.Struct, frozen=True, array_like=True, order=True):
    """What a disk holds that the other members may rely on. It never decreases unless the disk is rolled back."""

    term: int = 0
    voted: bool = False
    last_term: int = 0
    last_index: int = 0

    def is_behind(self, other: "DurableState") -> bool:
        return (self.term, self.voted) < (other.term, other.voted) or (self.last_term, self.last_index) < (
            other.last_term,
            other.last_index,
        )


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """A message from one member to another, encoded by position."""

    version: int
    fleet: str  # the configured name
    fleet_id: str  # the id from the bootstrap, "" before that
    sender: str
    disk_id: str
    boot_id: int  # of the sending process: rises with each start, the last 20 bits are random
    recipient: str
    durable: DurableState
    kind: FrameKind
    body: bytes


class _Head(msgspec.Struct, array_like=True):
    """The first field of a frame, which every version of the format has."""

    version: int


_decoder = msgspec.msgpack.Decoder(Frame)
_head = msgspec.msgpack.Decoder(_Head)


def seal(frame: Frame, key: bytes) -> bytes:
    """Encodes the frame behind its HMAC."""
    text = msgspec.msgpack.encode(frame)
    return hmac.digest(key, text, "sha256")[:DIGEST_BYTES] + text


def open_frame(text: bytes, key: bytes, fleet: str, me: str, fleet_id: str) -> Frame:
    """Verifies and decodes a frame for `me`. Raises FrameRejected."""
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
