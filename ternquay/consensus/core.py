"""The consensus state machine of one member, without I/O: elections, log replication, decisions and leases.

    core = Core(me, state, timing, Random(seed), boot_id, now)
    core.tick(now); core.receive(sender, message, now); core.write_completed(write.number, now)
    core.propose(body, now)                 # -> the index of the proposal; raises RetryLater
    core.validated(index, rejection, now)   # this machine's answer to a proposal in core.to_validate
    core.may_serve(now)                     # whether this member may accept a new transaction
    core.held_proposals                     # the proposals whose tenants accept no transactions meanwhile

After each call the driver carries out `writes` (calling write_completed() once one is on disk), `outcomes`,
`to_validate` and `outbox`, in this order.

The protocol is Raft (Ongaro and Ousterhout 2014) with pre-votes and voters that refuse to elect another leader while
they hear from the current one. Above it each change is a two-phase commit over all members: the leader proposes it,
every member validates it and holds the tenant concerned, and only then is it decided. A member that does not answer
is waited for until its lease has expired, since it serves nothing from then on; see docs/agreement.md.

Times are whole nanoseconds of the member's own clock; only durations are compared between members. No message of
another member makes a method raise.
"""

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from ternquay.consensus.errors import RetryLater
from ternquay.consensus.log import Log
from ternquay.consensus.messages import (
    MAX_REASON_CHARS,
    AppendReply,
    AppendRequest,
    EntryKind,
    LogEntry,
    Member,
    Membership,
    Message,
    Rejection,
    SnapshotChunk,
    VoteReply,
    VoteRequest,
    encode,
    rejection_of,
)

MAX_APPEND_ENTRIES = 64
MAX_APPEND_BYTES = 256 << 10
SNAPSHOT_CHUNK_BYTES = 256 << 10
MAX_SNAPSHOT_BYTES = 256 << 20  # far more than a registry with its stored answers needs
MAX_LEARNER_LAG_ENTRIES = 16  # committed entries that a learner may lack when it becomes a voter


class Role(Enum):
    """The roles of Raft."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True, frozen=True)
class Timing:
    """Durations in nanoseconds, and what a member without a lease may do."""

    lease: int
    heartbeat_interval: int
    election_timeout_min: int
    election_timeout_max: int
    max_clock_drift: float = 0.05  # relative difference between the rates of two members' clocks
    serve_without_quorum: bool = False  # a member cut off from the majority keeps serving the version in force

    @staticmethod
    def for_lease(lease: int, serve_without_quorum: bool = False) -> "Timing":
        """Derives the other durations from the lease."""
        return Timing(lease, lease // 15, lease * 3 // 10, lease // 2, serve_without_quorum=serve_without_quorum)

    @property
    def lease_expiry(self) -> int:
        """How long after sending a grant the leader can be sure that the lease has ended at its holder."""
        return int(self.lease * (1 + self.max_clock_drift))

    @property
    def proposal_timeout(self) -> int:
        """How long a proposal waits for a member that neither answers nor loses its lease."""
        return 2 * self.lease

    @property
    def leader_lease(self) -> int:
        """How long after sending a round that a majority answered no other member can have been elected."""
        return int(self.election_timeout_min / (1 + self.max_clock_drift))


@dataclass(slots=True)
class PersistentState:
    """What a member finds on disk when it starts."""

    term: int = 0
    voted_for: str = ""
    log: Log = field(default_factory=Log)
    applied_index: int = 0
    min_leader_index: int = 0  # 1 if the fleet started from a registry: only members with it can lead


@dataclass(slots=True, frozen=True)
class Write:
    """A write to disk, atomic and in the order of the numbers.

    Unless `truncate_after` is -1, the entries after it are removed before `entries` are appended.
    """

    number: int
    term: int
    voted_for: str
    truncate_after: int
    entries: tuple[LogEntry, ...] = ()  # from truncate_after + 1 on
    install: "Snapshot | None" = None


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The state after all entries up to `index`."""

    index: int
    term: int
    membership: Membership
    data: bytes


@dataclass(slots=True, frozen=True)
class Outcome:
    """The proposal at `proposal_index` is in force, or was aborted with `rejection`."""

    index: int
    proposal_index: int
    term: int  # of the proposal's entry
    body: bytes
    decided: bool
    rejection: Rejection


@dataclass(slots=True)
class Progress:
    """What the leader knows about another member, from its replies."""

    disk_id: str = ""
    next_index: int = 0
    match_index: int = 0
    durable_index: int = 0
    leader_clock: int = 0  # when the leader sent the latest request that the member answered
    boot_id: int = 0
    lease_requested_at: int = 0
    lease_granted_for: int = 0  # the lease request that was granted last
    validated_index: int = 0
    rejection: Rejection | None = None
    held_proposal: int = 0
    snapshot_offset: int = 0


class Core:
    """One member. The driver reads and clears the lists that it has to carry out."""

    max_append_entries = MAX_APPEND_ENTRIES

    def __init__(
        self, me: Member, state: PersistentState, timing: Timing, random: Random, boot_id: int, now: int
    ) -> None:
        self.me, self.timing, self.random, self.boot_id = me, timing, random, boot_id
        self.term, self.voted_for, self.log, self.min_leader_index = (
            state.term,
            state.voted_for,
            state.log,
            state.min_leader_index,
        )
        self.commit_index = self.applied_index = state.applied_index
        self.durable_index = self.log.last_index  # the last entry on disk
        self.last_write_number = 0
        self.durable_write_number = 0
        self.role = Role.FOLLOWER
        self.leader = ""
        # Before a restart this voter may have heard from a leader, so it refuses votes for one election timeout.
        self.leader_heard_at = now
        self.election_due = now + self._election_timeout()
        self.lease_until = 0
        self.held_proposals = set(self.log.open_proposals(self.applied_index))
        self.validation: tuple[int, Rejection | None] = (0, None)  # this machine's answer to the last proposal
        self.validating_index = 0  # the proposal that the driver is validating
        self.votes: set[str] = set()
        self.own_vote_write = 0  # the number of the write that persists it
        self.match_index = 0  # up to where the log is known to match the current leader's
        self.pre_vote = False
        self.progress: dict[str, Progress] = {}
        self.lease_sent_at: dict[str, int] = {}  # when the leader last granted each member a lease
        self.elected_at = self.quorum_contact_at = self.round_sent_at = 0
        self.first_own_index = 0  # of the leader's first entry in its term
        self.hold_index = 0  # the proposal that the leader asks all members to hold
        self.deciding_index = self.deciding_since = 0  # the proposal that waits for other members, and since when
        self.leaving: set[str] = set()  # are granted no lease, and removed once theirs has expired
        self.learners: dict[str, str] = {}  # the disk id that each member reported last, by name
        self.snapshot: Snapshot | None = None
        self.snapshot_needed = False
        self.incoming_data = bytearray()  # of the snapshot that is being received
        self.incoming_index = 0
        # For the driver, except `awaiting_write` and `pending_writes`.
        self.outbox: list[tuple[str, Message]] = []
        self.awaiting_write: list[tuple[int, str, Message]] = []  # sent once that write is on disk
        self.writes: list[Write] = []
        self.pending_writes: list[tuple[int, int, int]] = []  # number, last index, last term
        self.outcomes: list[Outcome] = []
        self.to_validate: list[tuple[int, bytes]] = []
        self.installed_snapshot: Snapshot | None = None

    # ---- state ----

    def membership(self) -> Membership:
        """The latest membership in the log, which counts before it is committed."""
        return self.log.membership()[0]

    def is_voter(self) -> bool:
        """Whether this member, with this disk, belongs to the membership."""
        return self.me in self.membership().members

    def is_leader(self) -> bool:
        return self.role is Role.LEADER

    def is_established_leader(self) -> bool:
        """Whether this leader has committed an entry of its term, and so knows all earlier decisions."""
        return self.is_leader() and self.commit_index >= self.first_own_index

    def may_serve(self, now: int) -> bool:
        """Whether this member may accept a new tx under the version it has applied."""
        if not self.is_voter():
            return False
        return self.timing.serve_without_quorum or now < self.lease_until

    def refusal_reason(self, now: int) -> str:
        """Why may_serve() is false, "" if it is true."""
        if self.may_serve(now):
            return ""
        if not self.is_voter():
            return "is not of the fleet, or not yet"
        return "has no lease: it reaches no leader that reaches a majority"

    def lease_expired(self, name: str, now: int) -> bool:
        """Whether the leader can be sure that a silent member serves nothing.

        The predecessor may have granted a lease until this leader was elected.
        """
        if self.timing.serve_without_quorum:
            return False
        return now >= max(self.lease_sent_at.get(name, 0), self.elected_at) + self.timing.lease_expiry

    def _election_timeout(self) -> int:
        return self.random.randint(self.timing.election_timeout_min, self.timing.election_timeout_max)

    def _is_quorum(self, names: set[str]) -> bool:
        members = self.membership().names()
        return 2 * sum(name in names for name in members) > len(members)

    # ---- time ----

    def tick(self, now: int) -> None:
        """Carries out what is due by time; called a few times in each heartbeat interval."""
        if self.is_leader():
            self._update_quorum_contact(now)
            if now - self.quorum_contact_at > 2 * self.timing.election_timeout_max:
                self._become_follower(self.term, now)  # it has lost contact with the majority
                return
            if now - self.round_sent_at >= self.timing.heartbeat_interval:
                self._send_round(now)
            self._advance_proposal(now)
            self._advance_membership(now)
        elif now >= self.election_due and self.is_voter() and self.log.last_index >= self.min_leader_index:
            self._start_pre_vote(now)

    def step_down(self, now: int) -> None:
        """Gives up leadership and starts no election for ten leases; it still follows and votes."""
        if self.is_leader():
            self._become_follower(self.term, now)
        self.election_due = now + 10 * self.timing.lease

    # ---- elections ----

    def _start_pre_vote(self, now: int) -> None:
        """Asks whether an election could be won, before the term rises.

        So a member that returns after a network partition does not depose a working leader.
        """
        self.role, self.leader, self.pre_vote, self.votes = Role.CANDIDATE, "", True, {self.me.name}
        self.election_due = now + self._election_timeout()
        if self._is_quorum(self.votes):
            self._start_election(now)
            return
        for name in self._other_members():
            self.outbox.append((name, VoteRequest(self.term + 1, self.log.last_index, self.log.last_term, True)))

    def _start_election(self, now: int) -> None:
        self.term, self.voted_for, self.pre_vote, self.votes = self.term + 1, self.me.name, False, set()
        number = self.own_vote_write = self._queue_write()
        for name in self._other_members():
            self.awaiting_write.append(
                (number, name, VoteRequest(self.term, self.log.last_index, self.log.last_term, False))
            )

    def _other_members(self) -> list[str]:
        return [name for name in self.membership().names() if name != self.me.name]

    def _on_vote_request(self, sender: Member, request: VoteRequest, now: int) -> None:
        if not self.is_voter() or sender not in self.membership().members:
            return
        leader_alive = now - self.leader_heard_at < self.timing.election_timeout_min
        if self.is_leader():
            self._update_quorum_contact(now)
            leader_alive = now - self.quorum_contact_at < self.timing.election_timeout_min
        up_to_date = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        ) and request.last_index >= self.min_leader_index
        if request.pre_vote:
            granted = up_to_date and not leader_alive and request.term > self.term
            self.outbox.append((sender.name, VoteReply(request.term if granted else self.term, granted, True)))
            return
        if leader_alive:
            return
        if request.term > self.term:
            self._become_follower(request.term, now)
        granted = (
            request.term == self.term and up_to_date and self.voted_for in ("", sender.name) and not self.is_leader()
        )
        if granted and not self.voted_for:
            self.voted_for = sender.name
            self._queue_write()
        if granted:
            self.election_due = now + self._election_timeout()
        self.awaiting_write.append((self.last_write_number, sender.name, VoteReply(self.term, granted, False)))
        self._send_unblocked()

    def _on_vote_reply(self, sender: Member, reply: VoteReply, now: int) -> None:
        if self.role is not Role.CANDIDATE or reply.pre_vote is not self.pre_vote or not reply.granted:
            return
        if reply.term != self.term + reply.pre_vote or sender not in self.membership().members:
            return
        self.votes.add(sender.name)
        self._count_votes(now)

    def _count_votes(self, now: int) -> None:
        if self.role is not Role.CANDIDATE or not self._is_quorum(self.votes):
            return
        if self.pre_vote:
            self._start_election(now)
        else:
            self._become_leader(now)

    def _become_leader(self, now: int) -> None:
        self.role, self.leader = Role.LEADER, self.me.name
        self.elected_at = self.quorum_contact_at = now
        self.progress, self.lease_sent_at, self.hold_index, self.leaving = {}, {}, 0, set()
        self.first_own_index = self.log.last_index + 1
        self._append_entry(LogEntry(self.term, EntryKind.NO_OP))
        self._send_round(now)

    def _become_follower(self, term: int, now: int) -> None:
        if self.is_leader():
            self.leader_heard_at = self.quorum_contact_at
        if term > self.term:
            self.term, self.voted_for = term, ""
            self._queue_write()
        self.role, self.leader, self.hold_index, self.match_index = Role.FOLLOWER, "", 0, 0
        self.election_due = now + self._election_timeout()

    # ---- disk ----

    def _queue_write(
        self, truncate_after: int = -1, entries: tuple[LogEntry, ...] = (), install: Snapshot | None = None
    ) -> int:
        self.last_write_number += 1
        self.writes.append(Write(self.last_write_number, self.term, self.voted_for, truncate_after, entries, install))
        self.pending_writes.append((self.last_write_number, self.log.last_index, self.log.last_term))
        return self.last_write_number

    def write_completed(self, number: int, now: int) -> None:
        """Takes note that all writes up to `number` are on disk."""
        self.durable_write_number = max(self.durable_write_number, number)
        while self.pending_writes and self.pending_writes[0][0] <= number:
            _, last, term = self.pending_writes.pop(0)
            if last <= self.log.last_index and self.log.term_at(last) == term:
                self.durable_index = max(self.durable_index, last)
        self._send_unblocked()
        if self.role is Role.CANDIDATE and not self.pre_vote and self.durable_write_number >= self.own_vote_write:
            self.votes.add(self.me.name)  # its own vote counts once it is on disk
            self._count_votes(now)
        elif self.is_leader():
            self._advance_commit(now)
        elif self.leader:
            self._send_reply(now, True, min(self.log.last_index, self.match_index), 0)

    def _send_unblocked(self) -> None:
        """Sends the messages whose write is on disk."""
        self.outbox += [
            (name, message) for number, name, message in self.awaiting_write if number <= self.durable_write_number
        ]
        self.awaiting_write = [one for one in self.awaiting_write if one[0] > self.durable_write_number]

    # ---- leader ----

    def propose(self, body: bytes, now: int) -> int:
        """Appends a proposal and returns its index. Raises RetryLater, also while another proposal is open."""
        if not self.is_leader():
            raise RetryLater("another one leads" if self.leader else "nobody leads", self.leader)
        if not self.is_established_leader() or self.log.open_proposal():
            raise RetryLater("another change is under way", self.me.name)
        return self._replicate(LogEntry(self.term, EntryKind.PROPOSE, body), now)

    def remove_member(self, name: str, now: int) -> None:
        """Removes a member for good once its lease has expired. Raises RetryLater, or ValueError for a non-member."""
        if not self.is_established_leader():
            raise RetryLater("another one leads" if self.leader else "nobody leads", self.leader)
        if name not in self.membership().names():
            raise ValueError(f"{name} is no member")
        if len(self.membership().members) == 1:
            raise ValueError("the last member can't leave")
        self.leaving.add(name)
        self._advance_membership(now)

    def readmit_member(self, name: str, now: int) -> None:
        """Lets a removed member rejoin by itself. Raises RetryLater, or ValueError for a name that was not removed."""
        membership, at = self.log.membership()
        if not self.is_established_leader() or at > self.commit_index:
            raise RetryLater("the members are being changed" if self.is_leader() else "another one leads", self.leader)
        if name not in membership.removed:
            raise ValueError(f"{name} was not taken out")
        self._propose_membership(
            Membership(membership.members, tuple(one for one in membership.removed if one != name)), now
        )

    def _advance_membership(self, now: int) -> None:
        """Adds or removes one member, once the previous membership is committed."""
        membership, at = self.log.membership()
        if not self.is_established_leader() or at > self.commit_index:
            return
        current = {one.name: one.disk_id for one in membership.members}
        self.leaving &= {*current}
        for name in sorted(self.leaving):
            # Nothing waits for a removed member, so its lease must have expired first.
            if name == self.me.name or self.timing.serve_without_quorum or self.lease_expired(name, now):
                remaining = tuple(one for one in membership.members if one.name != name)
                disk_lost = self.learners.get(name, current[name]) != current[name]
                self._propose_membership(
                    Membership(remaining, membership.removed if disk_lost else (*membership.removed, name)), now
                )
                return
        for name, disk_id in sorted(self.learners.items()):
            progress = self.progress.get(name)
            if (
                name in membership.removed
                or progress is None
                or progress.disk_id != disk_id
                or current.get(name) == disk_id
            ):
                continue
            if name in current:
                self.leaving.add(name)  # it may have voted with the lost disk, and no longer knows
            elif progress.match_index >= self.commit_index - MAX_LEARNER_LAG_ENTRIES:
                self._propose_membership(
                    Membership((*membership.members, Member(name, disk_id)), membership.removed), now
                )
                return

    def _propose_membership(self, membership: Membership, now: int) -> None:
        self._replicate(LogEntry(self.term, EntryKind.MEMBERSHIP, encode(membership)), now)

    def _replicate(self, entry: LogEntry, now: int) -> int:
        self._append_entry(entry)
        self._send_round(now)
        return self.log.last_index

    def _append_entry(self, entry: LogEntry) -> None:
        last = self.log.last_index
        self.log.append((entry,))
        self._queue_write(last, (entry,))

    def _replication_targets(self) -> set[str]:
        return ({*self.membership().names(), *self.learners}) - {self.me.name}

    def _send_round(self, now: int) -> None:
        self.round_sent_at = now
        # Sorted, so that a test run with the same seed sends the same messages in the same order.
        for name in sorted(self._replication_targets()):
            self._send_entries(name, now)

    def _send_entries(self, name: str, now: int) -> None:
        progress = self.progress.setdefault(name, Progress(next_index=self.log.last_index + 1))
        if progress.next_index <= self.log.base_index:
            self._send_snapshot_chunk(name, progress, now)
            return
        prev = progress.next_index - 1
        entries = self.log.entries_after(prev, self.max_append_entries, MAX_APPEND_BYTES)
        progress.next_index = prev + len(entries) + 1
        boot_id = requested_at = 0
        if self._may_grant_lease(name, progress, now):
            boot_id, requested_at = progress.boot_id, progress.lease_requested_at
            progress.lease_granted_for, self.lease_sent_at[name] = requested_at, now
        self.outbox.append(
            (
                name,
                AppendRequest(
                    self.term,
                    prev,
                    self.log.term_at(prev),
                    entries,
                    self.commit_index,
                    self.hold_index,
                    now,
                    boot_id,
                    requested_at,
                ),
            )
        )

    def _may_grant_lease(self, name: str, progress: Progress, now: int) -> bool:
        # One grant for each request: otherwise the lease of a member that has gone silent would never expire.
        if (
            progress.lease_requested_at <= progress.lease_granted_for
            or not self.is_established_leader()
            or now - self.quorum_contact_at >= self.timing.leader_lease
        ):
            return False
        return name not in self.leaving and Member(name, progress.disk_id) in self.membership().members

    def _send_snapshot_chunk(self, name: str, progress: Progress, now: int) -> None:
        snapshot = self.snapshot
        if snapshot is None or snapshot.index < self.log.base_index:
            self.snapshot_needed = True
            return
        data = snapshot.data[progress.snapshot_offset : progress.snapshot_offset + SNAPSHOT_CHUNK_BYTES]
        self.outbox.append(
            (
                name,
                SnapshotChunk(
                    self.term,
                    snapshot.index,
                    snapshot.term,
                    snapshot.membership,
                    progress.snapshot_offset,
                    len(snapshot.data),
                    data,
                    now,
                ),
            )
        )

    def provide_snapshot(self, index: int, data: bytes) -> None:
        """Takes the state at `index`, which is applied here, as the snapshot to send."""
        # Nothing took effect from an open proposal on, so the state before it is the same, and its body is kept.
        index = min([index, *(at - 1 for at in self.log.open_proposals(index))])
        if self.log.base_index <= index <= self.applied_index:
            self.snapshot = Snapshot(index, self.log.term_at(index), self.log.membership_at(index)[0], data)
        self.snapshot_needed = False

    def _on_append_reply(self, sender: Member, reply: AppendReply, now: int) -> None:
        progress = self.progress.get(sender.name)
        if not self.is_leader() or reply.term != self.term or progress is None:
            return
        if (progress.boot_id, progress.disk_id) != (reply.boot_id, sender.disk_id):
            # A new process or disk is not bound by what the earlier one reported.
            progress.durable_index = progress.match_index = progress.validated_index = progress.held_proposal = (
                progress.snapshot_offset
            ) = 0
            progress.boot_id, progress.disk_id, progress.rejection = reply.boot_id, sender.disk_id, None
            progress.lease_requested_at = progress.lease_granted_for = 0
        before = progress.match_index, progress.snapshot_offset, progress.next_index
        progress.lease_requested_at, progress.leader_clock = (
            max(progress.lease_requested_at, reply.lease_requested_at),
            max(progress.leader_clock, reply.leader_clock),
        )
        if reply.success:
            progress.match_index, progress.durable_index = (
                max(progress.match_index, reply.match_index),
                max(progress.durable_index, min(reply.durable_index, reply.match_index)),
            )
            progress.next_index = max(progress.next_index, progress.match_index + 1)
        else:
            progress.next_index = max(progress.match_index + 1, min(progress.next_index, reply.match_index + 1))
        progress.snapshot_offset = reply.snapshot_offset
        if self.snapshot is not None and progress.match_index >= self.snapshot.index:
            progress.snapshot_offset = 0
        progress.validated_index, progress.rejection, progress.held_proposal = (
            reply.validated_index,
            reply.rejection,
            reply.held_proposal,
        )
        self._update_quorum_contact(now)
        self._advance_commit(now)
        self._advance_proposal(now)
        if self.snapshot is not None and all(one.next_index > self.log.base_index for one in self.progress.values()):
            self.snapshot = None  # no member needs it any more
        # Without this check a duplicated reply would be answered twice.
        moved = before != (progress.match_index, progress.snapshot_offset, progress.next_index)
        if moved and (not reply.success or progress.next_index <= self.log.last_index):
            self._send_entries(sender.name, now)
        self._advance_membership(now)

    def _voter_progress(self) -> list[tuple[str, Progress | None]]:
        """Each member with its progress, None unless that was reported with the member's disk."""
        found: list[tuple[str, Progress | None]] = []
        for member in self.membership().members:
            progress = self.progress.get(member.name)
            found.append(
                (member.name, progress if progress is not None and progress.disk_id == member.disk_id else None)
            )
        return found

    def _update_quorum_contact(self, now: int) -> None:
        """Updates when the latest round was sent that a majority answered, and renews the leader's own lease."""
        contacts = sorted(
            (now if name == self.me.name else progress.leader_clock if progress else 0)
            for name, progress in self._voter_progress()
        )
        if contacts:
            self.quorum_contact_at = max(self.quorum_contact_at, contacts[(len(contacts) - 1) // 2])
            if self.is_established_leader() and self.is_voter():
                self.lease_until = max(self.lease_until, self.quorum_contact_at + self.timing.lease)

    def _advance_commit(self, now: int) -> None:
        durable = sorted(
            (self.durable_index if name == self.me.name else progress.durable_index if progress else 0)
            for name, progress in self._voter_progress()
        )
        index = durable[(len(durable) - 1) // 2] if durable else 0
        # An entry of an earlier term is committed only together with one of this term (Raft, figure 8).
        if index > self.commit_index and self._is_current_term(index):
            self.commit_index = index
            self._apply_committed()
            self._send_round(now)
            if self.commit_index >= self.log.membership()[1] and not self.is_voter():
                self._become_follower(self.term, now)  # it has committed its own removal

    def _is_current_term(self, index: int) -> bool:
        return self.log.term_at(index) == self.term

    def _advance_proposal(self, now: int) -> None:
        """Moves the open proposal to its next phase if it can: validated, held, then decided or aborted."""
        at = self.log.open_proposal()
        if not at or at > self.commit_index or not self.is_established_leader():
            return
        required = {*self.membership().names()} - {self.me.name}
        # With serve_without_quorum no lease expires; the operator vouches that a removed member serves nothing.
        if not self.timing.serve_without_quorum:
            required |= {name for name in self.lease_sent_at if not self.lease_expired(name, now)}
        own_rejection = self.validation[1] if self.validation[0] == at else None
        rejections = [
            with_member(progress.rejection, name)
            for name in sorted(required)
            if (progress := self.progress.get(name))
            and progress.validated_index == at
            and progress.rejection is not None
        ]
        if own_rejection is not None:
            rejections.append(with_member(own_rejection, self.me.name))
        if rejections:
            self._replicate(LogEntry(self.term, EntryKind.ABORT, encode(rejections[0]), at), now)
            return
        if self.validation[0] != at:
            return
        if self.deciding_index != at:
            self.deciding_index, self.deciding_since = at, now
        not_validated = [
            name for name in sorted(required) if not self._has_validated(name, at) and not self.lease_expired(name, now)
        ]
        not_held = [
            name for name in sorted(required) if not self._has_hold(name, at) and not self.lease_expired(name, now)
        ]
        if now - self.deciding_since > self.timing.proposal_timeout and not_held:
            # It cannot be decided without these members, and the changes after it should not wait for them.
            rejection = Rejection((not_validated or not_held)[0], "", "is out of reach")
            self._replicate(LogEntry(self.term, EntryKind.ABORT, encode(rejection), at), now)
            return
        if not_validated:
            return
        if self.hold_index != at:
            self.hold_index = at
            self.held_proposals.add(at)
            self._send_round(now)
        if all(self._has_hold(name, at) or self.lease_expired(name, now) for name in required):
            self._replicate(LogEntry(self.term, EntryKind.DECIDE, b"", at), now)

    def _has_validated(self, name: str, at: int) -> bool:
        progress = self.progress.get(name)
        if progress is None or progress.validated_index != at:
            return False
        return progress.durable_index >= at or not self.timing.serve_without_quorum

    def _has_hold(self, name: str, at: int) -> bool:
        progress = self.progress.get(name)
        return progress is not None and progress.held_proposal == at

    def waiting_for(self, now: int) -> list[str]:
        """The names of the members that the open proposal waits for."""
        at = self.log.open_proposal()
        return (
            [
                name
                for name in self._other_members()
                if not self.lease_expired(name, now)
                and not (self._has_hold(name, at) if self.hold_index == at else self._has_validated(name, at))
            ]
            if at
            else []
        )

    # ---- follower ----

    def receive(self, sender: Member, message: Message, now: int) -> None:
        """Handles a message of another member."""
        if sender.name == self.me.name:
            return
        if isinstance(message, VoteRequest):
            return self._on_vote_request(sender, message, now)
        if message.term > self.term and not (isinstance(message, VoteReply) and message.pre_vote and message.granted):
            self._become_follower(message.term, now)
        if isinstance(message, VoteReply):
            self._on_vote_reply(sender, message, now)
        elif isinstance(message, AppendReply):
            self._on_append_reply(sender, message, now)
        elif message.term < self.term:
            self.outbox.append((sender.name, self._append_reply(now, False, 0, message.leader_clock)))
        elif not self.is_leader():
            self.role, self.leader_heard_at, self.election_due = Role.FOLLOWER, now, now + self._election_timeout()
            if self.leader != sender.name:
                self.leader, self.match_index = sender.name, 0
            if isinstance(message, SnapshotChunk):
                self._on_snapshot_chunk(message, now)
            else:
                self._on_append_request(message, now)

    def _on_append_request(self, message: AppendRequest, now: int) -> None:
        prev, entries = message.prev_index, message.entries
        if prev < self.log.base_index:  # compacted entries are committed, and so identical
            entries = entries[self.log.base_index - prev :]
            prev = self.log.base_index if prev + len(message.entries) >= self.log.base_index else prev
        prev_term = self.log.term_at(prev)
        if prev_term == -1 or (prev == message.prev_index and prev_term != message.prev_term):
            self._send_reply(
                now, False, max(self.commit_index, min(self.log.last_index, prev - 1)), message.leader_clock
            )
            return
        self._store_entries(prev, entries)
        self.match_index = max(self.match_index, prev + len(entries))
        if min(message.commit_index, self.match_index) > self.commit_index:
            self.commit_index = min(message.commit_index, self.match_index)
            self._apply_committed()
        self._request_validation()
        held = self._acquire_hold(message.held_proposal)
        if held and message.boot_id == self.boot_id and self._is_caught_up(message) and self.is_voter():
            self.lease_until = max(self.lease_until, self._lease_end(message, now))
        self._send_reply(now, True, self.match_index, message.leader_clock)

    def _is_caught_up(self, message: AppendRequest) -> bool:
        """Whether this member has applied every decision that was committed when the grant was sent."""
        return self.applied_index >= message.commit_index

    def _lease_end(self, message: AppendRequest, now: int) -> int:
        # Counted from the request: counted from the reply it would outlast the leader's estimate of it.
        return message.lease_requested_at + self.timing.lease

    def _store_entries(self, prev: int, entries: tuple[LogEntry, ...]) -> None:
        for n, entry in enumerate(entries):
            at = prev + 1 + n
            if self.log.term_at(at) == entry.term:
                continue
            if at <= self.log.last_index:
                self.log.truncate_after(at - 1)
                self.durable_index = min(self.durable_index, at - 1)
                # The truncated proposals were never decided and never will be.
                self.held_proposals = {one for one in self.held_proposals if one < at}
            self.log.append(entries[n:])
            self._queue_write(at - 1, entries[n:])
            return

    def _acquire_hold(self, at: int) -> bool:
        """Holds the proposal that the leader asks to hold, if it is open here.

        False where it is not in the log yet: a lease granted with this message must not count.
        """
        if at > self.log.last_index or at > self.log.base_index and self.log.entry(at).kind is not EntryKind.PROPOSE:
            return False
        if at in self.log.open_proposals(self.applied_index):
            self.held_proposals.add(at)
        return True

    def _send_reply(
        self, now: int, success: bool, match_index: int, leader_clock: int, snapshot_offset: int = 0
    ) -> None:
        self.outbox.append((self.leader, self._append_reply(now, success, match_index, leader_clock, snapshot_offset)))

    def _append_reply(
        self, now: int, success: bool, match_index: int, leader_clock: int, snapshot_offset: int = 0
    ) -> AppendReply:
        validated_index, rejection = self.validation
        return AppendReply(
            self.term,
            success,
            match_index,
            self.durable_index,
            leader_clock,
            self.boot_id,
            now,
            validated_index,
            rejection,
            max(self.held_proposals, default=0),
            snapshot_offset,
        )

    def _on_snapshot_chunk(self, message: SnapshotChunk, now: int) -> None:
        if message.snapshot_index <= self.commit_index:
            self._send_reply(now, True, self.commit_index, message.leader_clock)
            return
        if message.offset == 0 or message.snapshot_index != self.incoming_index:
            self.incoming_data, self.incoming_index = bytearray(), message.snapshot_index
        if message.offset == len(self.incoming_data) and message.total_bytes <= MAX_SNAPSHOT_BYTES:
            self.incoming_data += message.data
        if len(self.incoming_data) < message.total_bytes:
            self._send_reply(now, False, self.commit_index, message.leader_clock, len(self.incoming_data))
            return
        snapshot = Snapshot(
            message.snapshot_index, message.snapshot_term, message.membership, bytes(self.incoming_data)
        )
        self.incoming_data = bytearray()
        self.log = Log(snapshot.index, snapshot.term, snapshot.membership)
        self.commit_index = self.applied_index = self.match_index = snapshot.index
        self.held_proposals, self.validation, self.validating_index, self.durable_index, self.installed_snapshot = (
            set(),
            (0, None),
            0,
            0,
            snapshot,
        )
        self._queue_write(snapshot.index, (), snapshot)
        self._send_reply(now, True, snapshot.index, message.leader_clock)

    # ---- decisions ----

    def _apply_committed(self) -> None:
        """Reports the outcomes among the newly committed entries."""
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            entry = self.log.entry(self.applied_index)
            if entry.kind in (EntryKind.DECIDE, EntryKind.ABORT):
                proposal = self.log.entry(entry.proposal_index)
                rejection = rejection_of(entry) if entry.kind is EntryKind.ABORT else Rejection()
                self.outcomes.append(
                    Outcome(
                        self.applied_index,
                        entry.proposal_index,
                        proposal.term,
                        proposal.body,
                        entry.kind is EntryKind.DECIDE,
                        rejection,
                    )
                )
                self.held_proposals.discard(entry.proposal_index)
                if self.hold_index == entry.proposal_index:
                    self.hold_index = 0
        self._request_validation()

    def _request_validation(self) -> None:
        """Has the driver validate the open proposal, once, when it is committed."""
        at = self.log.open_proposal()
        if at and at <= self.commit_index and at not in (self.validation[0], self.validating_index):
            self.validating_index = at
            self.to_validate.append((at, self.log.entry(at).body))

    def validated(self, index: int, rejection: Rejection | None, now: int) -> None:
        """Takes this machine's answer to the proposal at `index`: a rejection, or None if it can apply it."""
        if index != self.validating_index:
            return
        if rejection is not None:
            rejection = Rejection(
                rejection.member, rejection.field[:MAX_REASON_CHARS], rejection.reason[:MAX_REASON_CHARS]
            )
        self.validation, self.validating_index = (index, rejection), 0
        if self.is_leader():
            self._advance_proposal(now)
        elif self.leader:
            self._send_reply(now, True, min(self.match_index, self.log.last_index), 0)

    def compact(self, index: int) -> None:
        """Discards the log up to `index`, which the disk holds as applied."""
        self.log.compact(min(index, self.applied_index))

    def bootstrap(self, membership: Membership, min_leader_index: int, is_seed: bool, now: int) -> None:
        """Gives an empty member its fleet's first membership. `is_seed`: the fleet starts with this one's registry."""
        self.min_leader_index = min_leader_index
        base = Snapshot(min_leader_index if is_seed else 0, 0, membership, b"")
        self.log = Log(base.index, 0, membership)
        self.commit_index = self.applied_index = self.durable_index = self.log.base_index
        self._queue_write(base.index, (), base)
        self.leader_heard_at, self.election_due = now, now + self._election_timeout()


def with_member(rejection: Rejection | None, name: str) -> Rejection:
    """The rejection with the name of the member that it came from."""
    return Rejection(name, rejection.field, rejection.reason) if rejection is not None else Rejection(name)
