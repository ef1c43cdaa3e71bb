"""Messages between the members of a fleet about their logs, and the entries of the log.

    text = encode(AppendRequest(...))
    message = decode_message(text)     # raises ValueError for anything that is not a message

All structures are encoded by position: the order and the types of the fields and the tags are the wire format, and
logs on disk hold encoded memberships and rejections.
"""

from enum import IntEnum
from typing import Any

import msgspec

MAX_REASON_CHARS = 500  # of a field name or a reason that a member gives


class EntryKind(IntEnum):
    """What a log entry does. A change is proposed by one entry and decided or aborted by a later one."""

    NO_OP = 0  # a new leader's first entry; committing it commits all entries of earlier terms before it
    PROPOSE = 1
    DECIDE = 2  # the proposal at `proposal_index` is in force
    ABORT = 3  # the proposal at `proposal_index` never comes into force
    MEMBERSHIP = 4


class Member(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A member's name and the id of its disk: the same name with another disk is another member."""

    name: str
    disk_id: str


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """The members of the fleet, each with a vote."""

    members: tuple[Member, ...] = ()
    removed: tuple[str, ...] = ()  # names that an operator removed; these do not rejoin by themselves

    def names(self) -> tuple[str, ...]:
        return tuple(one.name for one in self.members)


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the log; `proposal_index` is 0 unless the entry decides or aborts a proposal."""

    term: int
    kind: EntryKind
    body: bytes = b""
    proposal_index: int = 0


class Rejection(msgspec.Struct, frozen=True, array_like=True):
    """Why a change was aborted: the member that cannot apply it, the field at fault and the reason."""

    member: str = ""
    field: str = ""
    reason: str = ""


class VoteRequest(msgspec.Struct, frozen=True, tag="ask", array_like=True):
    """Asks for a vote. A pre-vote only asks whether a vote would be granted and binds nobody."""

    term: int
    last_index: int
    last_term: int
    pre_vote: bool


class VoteReply(msgspec.Struct, frozen=True, tag="vote", array_like=True):
    """Answers a vote request."""

    term: int
    granted: bool
    pre_vote: bool


class AppendRequest(msgspec.Struct, frozen=True, tag="append", array_like=True):
    """Replicates entries, confirms the leader and may grant a lease.

    `boot_id` and `lease_requested_at` echo the reply whose lease request is granted; both are 0 without a grant.
    `held_proposal` is the proposal that every member must hold, 0 for none. `leader_clock` is the leader's clock
    when it sent the request.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    held_proposal: int
    leader_clock: int
    boot_id: int = 0
    lease_requested_at: int = 0


class AppendReply(msgspec.Struct, frozen=True, tag="ack", array_like=True):
    """Answers an append request or a snapshot chunk, and requests a lease.

    On success the log matches the leader's up to `match_index`; otherwise `match_index` is where it may match.
    `durable_index` is the last entry on disk, `lease_requested_at` the sender's own clock.
    """

    term: int
    success: bool
    match_index: int
    durable_index: int
    leader_clock: int
    boot_id: int
    lease_requested_at: int
    validated_index: int = 0
    rejection: Rejection | None = None
    held_proposal: int = 0
    snapshot_offset: int = 0  # bytes of the snapshot received so far


class SnapshotChunk(msgspec.Struct, frozen=True, tag="part", array_like=True):
    """A chunk of a snapshot of the state at `snapshot_index`; `total_bytes` is the size of the whole snapshot."""

    term: int
    snapshot_index: int
    snapshot_term: int
    membership: Membership
    offset: int
    total_bytes: int
    data: bytes
    leader_clock: int


Message = VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotChunk
_decoder: Any = msgspec.msgpack.Decoder(Message)
_membership = msgspec.msgpack.Decoder(Membership)
_rejection = msgspec.msgpack.Decoder(Rejection)


def encode(what: Message | Membership | Rejection) -> bytes:
    return msgspec.msgpack.encode(what)


def decode_message(text: bytes) -> Message:
    """Raises ValueError."""
    try:
        found: Message = _decoder.decode(text)
    except msgspec.DecodeError as fault:
        raise ValueError(str(fault)) from fault
    return found


def membership_of(entry: LogEntry) -> Membership:
    return _membership.decode(entry.body)


def rejection_of(entry: LogEntry) -> Rejection:
    return _rejection.decode(entry.body)
