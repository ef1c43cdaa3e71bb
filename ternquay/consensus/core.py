"""One member of the agreement: who leads, what is in the log, what is decided, and until when it may act.

    core = Core(me, state, timing, Random(seed), boot, now)
    core.tick(now); core.receive(sender, message, now); core.write_completed(write.number, now)
    core.propose(body, now)          # -> the index of the proposal; raises RetryLater
    core.validated(index, rejection, now)   # what this machine says of a proposal in core.to_validate
    core.may_serve(now)                    # whether a new transaction may be taken, by what is in force here
    core.held_proposals                        # the proposals whose tenants take nothing

After each call whoever drives it carries out, in this order: `writes` (and tells saved() when one is on disk),
`outcomes`, `to_judge`, `out`. Raft (Ongaro and Ousterhout 2014) with early votes and voters that stay by their
leader; above it leases and holds, as docs/agreement.md has them. Times are whole nanoseconds of the member's own
clock, and only spans are ever compared with another's. Nothing here raises for what another member says.
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
MAX_SNAPSHOT_BYTES = 256 << 20  # bytes: far more than a registry and its answers come to
MAX_LEARNER_LAG_ENTRIES = 16  # entries that a disk may lack which is to be taken in


class Role(Enum):
    FOLLOWER = "follows"
    CANDIDATE = "calls"  # for votes
    LEADER = "leads"


@dataclass(slots=True, frozen=True)
class Timing:
    """`bound`: by how much the rates of two members' clocks may differ, as a part of one."""

    lease: int
    heartbeat_interval: int  # between two rounds of a leader
    election_timeout_min: int  # without a leader's word until an election is called for
    election_timeout_max: int
    max_clock_drift: float = 0.05
    serve_without_quorum: bool = False  # without a majority, by what is in force

    @staticmethod
    def for_lease(lease: int, serve_without_quorum: bool = False) -> "Timing":
        return Timing(lease, lease // 15, lease * 3 // 10, lease // 2, serve_without_quorum=serve_without_quorum)

    @property
    def lease_expiry(self) -> int:
        """After a grant was sent: its holder acts by it no more."""
        return int(self.lease * (1 + self.max_clock_drift))

    @property
    def proposal_timeout(self) -> int:
        """How long a proposal may wait for a member that neither answers nor lapses."""
        return 2 * self.lease

    @property
    def leader_lease(self) -> int:
        """After a round was sent that a majority answered: nobody else leads yet."""
        return int(self.election_timeout_min / (1 + self.max_clock_drift))


@dataclass(slots=True)
class PersistentState:
    """What is on disk as a member starts."""

    term: int = 0
    voted_for: str = ""
    log: Log = field(default_factory=Log)
    applied_index: int = 0
    min_leader_index: int = 0  # who has less than this can't lead: the fleet was founded upon a registry


@dataclass(slots=True, frozen=True)
class Write:
    """To be on disk, in the order of their numbers and each whole. `cut`: entries behind it go first."""

    number: int
    term: int
    voted_for: str
    truncate_after: int
    entries: tuple[LogEntry, ...] = ()  # from cut + 1 on
    install: "Snapshot | None" = None


@dataclass(slots=True, frozen=True)
class Snapshot:
    index: int
    term: int
    membership: Membership
    data: bytes


@dataclass(slots=True, frozen=True)
class Outcome:
    """The proposal `about` is in force, or nowhere for what `rejection` says."""

    index: int
    proposal_index: int
    term: int  # of the proposal
    body: bytes
    decided: bool
    rejection: Rejection


@dataclass(slots=True)
class Progress:
    """What a leader knows of a member."""

    disk_id: str = ""
    next_index: int = 0
    match_index: int = 0
    durable_index: int = 0
    leader_clock: int = 0
    boot_id: int = 0
    lease_requested_at: int = 0
    lease_granted_for: int = 0  # the call that was last answered by a lease
    validated_index: int = 0
    rejection: Rejection | None = None
    held_proposal: int = 0
    snapshot_offset: int = 0


class Core:
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
        self.durable_index = self.log.last_index  # as far the log is on disk
        self.last_write_number = 0
        self.durable_write_number = 0  # of the writes
        self.role = Role.FOLLOWER
        self.leader = ""
        # A voter that has just started may have promised a leader to stay by it: it keeps to that unseen.
        self.leader_heard_at = now
        self.election_due = now + self._election_timeout()
        self.lease_until = 0
        self.held_proposals = set(self.log.open_proposals(self.applied_index))
        self.validation: tuple[int, Rejection | None] = (0, None)
        self.validating_index = 0
        self.votes: set[str] = set()
        self.own_vote_write = 0  # the write that it stands in
        self.match_index = 0  # as far the log is known to be the present leader's
        self.pre_vote = False
        self.progress: dict[str, Progress] = {}
        self.lease_sent_at: dict[str, int] = {}
        self.elected_at = self.quorum_contact_at = self.round_sent_at = 0
        self.first_own_index = 0  # the index of a leader's first entry
        self.hold_index = 0
        self.deciding_index = self.deciding_since = 0
        self.leaving: set[str] = set()  # get no lease any more, and go out when they have lapsed
        self.learners: dict[str, str] = {}  # names with the disk that they have now, as they told it
        self.snapshot: Snapshot | None = None
        self.snapshot_needed = False
        self.incoming_data = bytearray()
        self.incoming_index = 0
        # to be carried out
        self.outbox: list[tuple[str, Message]] = []
        self.awaiting_write: list[tuple[int, str, Message]] = []  # wait for a write
        self.writes: list[Write] = []
        self.pending_writes: list[tuple[int, int, int]] = []  # writes with the last entry of each and its term
        self.outcomes: list[Outcome] = []
        self.to_validate: list[tuple[int, bytes]] = []
        self.installed_snapshot: Snapshot | None = None

    # ---- what is progress ----

    def membership(self) -> Membership:
        return self.log.membership()[0]

    def is_voter(self) -> bool:
        return self.me in self.membership().members

    def is_leader(self) -> bool:
        return self.role is Role.LEADER

    def is_established_leader(self) -> bool:
        """Whether a leader knows all that was decided before it led."""
        return self.is_leader() and self.commit_index >= self.first_own_index

    def may_serve(self, now: int) -> bool:
        """Whether a new tx may be taken by what is in force here."""
        if not self.is_voter():
            return False
        return self.timing.serve_without_quorum or now < self.lease_until

    def refusal_reason(self, now: int) -> str:
        if self.may_serve(now):
            return ""
        if not self.is_voter():
            return "is not of the fleet, or not yet"
        return "has no lease: it reaches no leader that reaches a majority"

    def lease_expired(self, name: str, now: int) -> bool:
        """Whether a member that says nothing can be taken to act by nothing."""
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
        if self.is_leader():
            self._update_quorum_contact(now)
            if now - self.quorum_contact_at > 2 * self.timing.election_timeout_max:
                self._become_follower(self.term, now)  # nobody is led
                return
            if now - self.round_sent_at >= self.timing.heartbeat_interval:
                self._send_round(now)
            self._advance_proposal(now)
            self._advance_membership(now)
        elif now >= self.election_due and self.is_voter() and self.log.last_index >= self.min_leader_index:
            self._start_pre_vote(now)

    def step_down(self, now: int) -> None:
        """Leads no more, and calls for no election for a while; it follows, and votes, as before."""
        if self.is_leader():
            self._become_follower(self.term, now)
        self.election_due = now + 10 * self.timing.lease

    # ---- elections ----

    def _start_pre_vote(self, now: int) -> None:
        """Nobody's term moves before a majority would vote: who comes back from a cut doesn't unseat a leader."""
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
        stays = now - self.leader_heard_at < self.timing.election_timeout_min
        if self.is_leader():
            self._update_quorum_contact(now)
            stays = now - self.quorum_contact_at < self.timing.election_timeout_min
        fresh = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        ) and request.last_index >= self.min_leader_index
        if request.pre_vote:
            granted = fresh and not stays and request.term > self.term
            self.outbox.append((sender.name, VoteReply(request.term if granted else self.term, granted, True)))
            return
        if stays:
            return
        if request.term > self.term:
            self._become_follower(request.term, now)
        granted = request.term == self.term and fresh and self.voted_for in ("", sender.name) and not self.is_leader()
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

    def _queue_write(self, cut: int = -1, entries: tuple[LogEntry, ...] = (), install: Snapshot | None = None) -> int:
        self.last_write_number += 1
        self.writes.append(Write(self.last_write_number, self.term, self.voted_for, cut, entries, install))
        self.pending_writes.append((self.last_write_number, self.log.last_index, self.log.last_term))
        return self.last_write_number

    def write_completed(self, number: int, now: int) -> None:
        """All writes up to that one are on disk."""
        self.durable_write_number = max(self.durable_write_number, number)
        while self.pending_writes and self.pending_writes[0][0] <= number:
            _, last, term = self.pending_writes.pop(0)
            if last <= self.log.last_index and self.log.term_at(last) == term:
                self.durable_index = max(self.durable_index, last)
        self._send_unblocked()
        if self.role is Role.CANDIDATE and not self.pre_vote and self.durable_write_number >= self.own_vote_write:
            self.votes.add(self.me.name)  # the own vote counts from here on
            self._count_votes(now)
        elif self.is_leader():
            self._advance_commit(now)
        elif self.leader:
            self._send_reply(now, True, min(self.log.last_index, self.match_index), 0)

    def _send_unblocked(self) -> None:
        self.outbox += [
            (name, message) for number, name, message in self.awaiting_write if number <= self.durable_write_number
        ]
        self.awaiting_write = [one for one in self.awaiting_write if one[0] > self.durable_write_number]

    # ---- a leader's side ----

    def propose(self, body: bytes, now: int) -> int:
        """Raises RetryLater."""
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
        """Lets one that was taken out come in again by itself. Raises RetryLater; ValueError for who isn't out."""
        membership, at = self.log.membership()
        if not self.is_established_leader() or at > self.commit_index:
            raise RetryLater("the members are being changed" if self.is_leader() else "another one leads", self.leader)
        if name not in membership.removed:
            raise ValueError(f"{name} was not taken out")
        self._propose_membership(
            Membership(membership.members, tuple(one for one in membership.removed if one != name)), now
        )

    def _advance_membership(self, now: int) -> None:
        """One member more or one less, once the change before that is committed."""
        membership, at = self.log.membership()
        if not self.is_established_leader() or at > self.commit_index:
            return
        there = {one.name: one.disk_id for one in membership.members}
        self.leaving &= {*there}
        for name in sorted(self.leaving):
            # Who is out is waited for by nobody: so it must have lapsed before it is.
            if name == self.me.name or self.timing.serve_without_quorum or self.lease_expired(name, now):
                left = tuple(one for one in membership.members if one.name != name)
                lost = self.learners.get(name, there[name]) != there[name]
                self._propose_membership(
                    Membership(left, membership.removed if lost else (*membership.removed, name)), now
                )
                return
        for name, disk in sorted(self.learners.items()):
            progress = self.progress.get(name)
            if name in membership.removed or progress is None or progress.disk_id != disk or there.get(name) == disk:
                continue
            if name in there:
                self.leaving.add(name)  # it may have voted by the disk that is lost, and doesn't know
            elif progress.match_index >= self.commit_index - MAX_LEARNER_LAG_ENTRIES:
                self._propose_membership(Membership((*membership.members, Member(name, disk)), membership.removed), now)
                return

    def _propose_membership(self, membership: Membership, now: int) -> None:
        self._replicate(LogEntry(self.term, EntryKind.MEMBERSHIP, encode(membership)), now)

    def _replicate(self, entry: LogEntry, now: int) -> int:
        self._append_entry(entry)
        self._send_round(now)
        return self.log.last_index

    def _append_entry(self, entry: LogEntry) -> None:
        cut = self.log.last_index
        self.log.append((entry,))
        self._queue_write(cut, (entry,))

    def _replication_targets(self) -> set[str]:
        return ({*self.membership().names(), *self.learners}) - {self.me.name}

    def _send_round(self, now: int) -> None:
        self.round_sent_at = now
        for name in sorted(
            self._replication_targets()
        ):  # in one order: a walk that finds something can be walked again
            self._send_entries(name, now)

    def _send_entries(self, name: str, now: int) -> None:
        progress = self.progress.setdefault(name, Progress(next_index=self.log.last_index + 1))
        if progress.next_index <= self.log.base_index:
            self._send_snapshot_chunk(name, progress, now)
            return
        prev = progress.next_index - 1
        entries = self.log.entries_after(prev, self.max_append_entries, MAX_APPEND_BYTES)
        progress.next_index = prev + len(entries) + 1
        boot = asked = 0
        if self._may_grant_lease(name, progress, now):
            boot, asked = progress.boot_id, progress.lease_requested_at
            progress.lease_granted_for, self.lease_sent_at[name] = asked, now
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
                    boot,
                    asked,
                ),
            )
        )

    def _may_grant_lease(self, name: str, progress: Progress, now: int) -> bool:
        # One call, one grant: else a member that calls no more would never be taken to have lapsed.
        if (
            progress.lease_requested_at <= progress.lease_granted_for
            or not self.is_established_leader()
            or now - self.quorum_contact_at >= self.timing.leader_lease
        ):
            return False
        return name not in self.leaving and Member(name, progress.disk_id) in self.membership().members

    def _send_snapshot_chunk(self, name: str, progress: Progress, now: int) -> None:
        one = self.snapshot
        if one is None or one.index < self.log.base_index:
            self.snapshot_needed = True
            return
        data = one.data[progress.snapshot_offset : progress.snapshot_offset + SNAPSHOT_CHUNK_BYTES]
        self.outbox.append(
            (
                name,
                SnapshotChunk(
                    self.term, one.index, one.term, one.membership, progress.snapshot_offset, len(one.data), data, now
                ),
            )
        )

    def provide_snapshot(self, index: int, data: bytes) -> None:
        """All that was in force at `index`, which was applied here."""
        # From an open proposal on there was no outcome, so all is as it was before it; its body is wanted later.
        index = min([index, *(at - 1 for at in self.log.open_proposals(index))])
        if self.log.base_index <= index <= self.applied_index:
            self.snapshot = Snapshot(index, self.log.term_at(index), self.log.membership_at(index)[0], data)
        self.snapshot_needed = False

    def _on_append_reply(self, sender: Member, reply: AppendReply, now: int) -> None:
        progress = self.progress.get(sender.name)
        if not self.is_leader() or reply.term != self.term or progress is None:
            return
        if (progress.boot_id, progress.disk_id) != (reply.boot_id, sender.disk_id):
            # Another process, or another disk: nothing that the one before said binds it.
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
            self.snapshot = None  # nobody is so far behind any more
        moved = before != (
            progress.match_index,
            progress.snapshot_offset,
            progress.next_index,
        )  # else each that comes twice would be answered twice
        if moved and (not reply.success or progress.next_index <= self.log.last_index):
            self._send_entries(sender.name, now)
        self._advance_membership(now)

    def _voter_progress(self) -> list[tuple[str, Progress | None]]:
        """The members with what is known of them, if it is of the disk that counts."""
        found: list[tuple[str, Progress | None]] = []
        for member in self.membership().members:
            progress = self.progress.get(member.name)
            found.append(
                (member.name, progress if progress is not None and progress.disk_id == member.disk_id else None)
            )
        return found

    def _update_quorum_contact(self, now: int) -> None:
        """When the latest round was sent that a majority has answered; it renews the leader's own lease."""
        rounds = sorted(
            (now if name == self.me.name else progress.leader_clock if progress else 0)
            for name, progress in self._voter_progress()
        )
        if rounds:
            self.quorum_contact_at = max(self.quorum_contact_at, rounds[(len(rounds) - 1) // 2])
            if self.is_established_leader() and self.is_voter():
                self.lease_until = max(self.lease_until, self.quorum_contact_at + self.timing.lease)

    def _advance_commit(self, now: int) -> None:
        ends = sorted(
            (self.durable_index if name == self.me.name else progress.durable_index if progress else 0)
            for name, progress in self._voter_progress()
        )
        end = ends[(len(ends) - 1) // 2] if ends else 0
        # An entry of an older term counts with one of this term alone (Raft, figure 8).
        if end > self.commit_index and self._is_current_term(end):
            self.commit_index = end
            self._apply_committed()
            self._send_round(now)
            if self.commit_index >= self.log.membership()[1] and not self.is_voter():
                self._become_follower(self.term, now)  # it was taken out, and has seen to that itself

    def _is_current_term(self, end: int) -> bool:
        return self.log.term_at(end) == self.term

    def _advance_proposal(self, now: int) -> None:
        """Carries the one open proposal a step further, if it can be."""
        at = self.log.open_proposal()
        if not at or at > self.commit_index or not self.is_established_leader():
            return
        waits = {*self.membership().names()} - {self.me.name}
        if not self.timing.serve_without_quorum:  # there who was taken out is out by the operators' word
            waits |= {name for name in self.lease_sent_at if not self.lease_expired(name, now)}
        mine = self.validation[1] if self.validation[0] == at else None
        found = [
            with_member(progress.rejection, name)
            for name in sorted(waits)
            if (progress := self.progress.get(name))
            and progress.validated_index == at
            and progress.rejection is not None
        ]
        if mine is not None:
            found.append(with_member(mine, self.me.name))
        if found:
            self._replicate(LogEntry(self.term, EntryKind.ABORT, encode(found[0]), at), now)
            return
        if self.validation[0] != at:
            return
        if self.deciding_index != at:
            self.deciding_index, self.deciding_since = at, now
        missing = [
            name for name in sorted(waits) if not self._has_validated(name, at) and not self.lease_expired(name, now)
        ]
        late = [name for name in sorted(waits) if not self._has_hold(name, at) and not self.lease_expired(name, now)]
        if now - self.deciding_since > self.timing.proposal_timeout and late:
            # It can't be decided without them; the changes behind it need not wait for that.
            why = Rejection((missing or late)[0], "", "is out of reach")
            self._replicate(LogEntry(self.term, EntryKind.ABORT, encode(why), at), now)
            return
        if missing:
            return
        if self.hold_index != at:
            self.hold_index = at
            self.held_proposals.add(at)
            self._send_round(now)
        if all(self._has_hold(name, at) or self.lease_expired(name, now) for name in waits):
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
        """Members that the open proposal waits for."""
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

    # ---- a follower's side ----

    def receive(self, sender: Member, message: Message, now: int) -> None:
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
                self._appended(message, now)

    def _appended(self, message: AppendRequest, now: int) -> None:
        prev, entries = message.prev_index, message.entries
        if prev < self.log.base_index:  # what lies behind the base is decided, and the same
            entries = entries[self.log.base_index - prev :]
            prev = self.log.base_index if prev + len(message.entries) >= self.log.base_index else prev
        progress = self.log.term_at(prev)
        if progress == -1 or (prev == message.prev_index and progress != message.prev_term):
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
        """Whether all is in force here that was anywhere as the grant was sent."""
        return self.applied_index >= message.commit_index

    def _lease_end(self, message: AppendRequest, now: int) -> int:
        # Counted from the call: from the answer on it would outlast what the leader takes it to be.
        return message.lease_requested_at + self.timing.lease

    def _store_entries(self, prev: int, entries: tuple[LogEntry, ...]) -> None:
        for n, entry in enumerate(entries):
            at = prev + 1 + n
            if self.log.term_at(at) == entry.term:
                continue
            if at <= self.log.last_index:
                self.log.truncate_after(at - 1)
                self.durable_index = min(self.durable_index, at - 1)
                self.held_proposals = {
                    one for one in self.held_proposals if one < at
                }  # the others were never decided, nor will be
            self.log.append(entries[n:])
            self._queue_write(at - 1, entries[n:])
            return

    def _acquire_hold(self, at: int) -> bool:
        """Holds what the leader has held, if that is open here. Whether its grant may count."""
        if at > self.log.last_index or at > self.log.base_index and self.log.entry(at).kind is not EntryKind.PROPOSE:
            return False
        if at in self.log.open_proposals(self.applied_index):
            self.held_proposals.add(at)
        return True

    def _send_reply(self, now: int, agreed: bool, last: int, round: int, part: int = 0) -> None:
        self.outbox.append((self.leader, self._append_reply(now, agreed, last, round, part)))

    def _append_reply(self, now: int, agreed: bool, last: int, round: int, part: int = 0) -> AppendReply:
        judged, rejection = self.validation
        return AppendReply(
            self.term,
            agreed,
            last,
            self.durable_index,
            round,
            self.boot_id,
            now,
            judged,
            rejection,
            max(self.held_proposals, default=0),
            part,
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
        one = Snapshot(message.snapshot_index, message.snapshot_term, message.membership, bytes(self.incoming_data))
        self.incoming_data = bytearray()
        self.log = Log(one.index, one.term, one.membership)
        self.commit_index = self.applied_index = self.match_index = one.index
        self.held_proposals, self.validation, self.validating_index, self.durable_index, self.installed_snapshot = (
            set(),
            (0, None),
            0,
            0,
            one,
        )
        self._queue_write(one.index, (), one)
        self._send_reply(now, True, one.index, message.leader_clock)

    # ---- what is decided ----

    def _apply_committed(self) -> None:
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
        at = self.log.open_proposal()
        if at and at <= self.commit_index and at not in (self.validation[0], self.validating_index):
            self.validating_index = at
            self.to_validate.append((at, self.log.entry(at).body))

    def validated(self, index: int, rejection: Rejection | None, now: int) -> None:
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
        """What stands at `index` and before is on disk as applied."""
        self.log.compact(min(index, self.applied_index))

    def bootstrap(self, roster: Membership, least: int, brings: bool, now: int) -> None:
        """An empty member learns who the fleet is; `brings`: its registry is what the others begin with."""
        self.min_leader_index = least
        base = Snapshot(least if brings else 0, 0, roster, b"")
        self.log = Log(base.index, 0, roster)
        self.commit_index = self.applied_index = self.durable_index = self.log.base_index
        self._queue_write(base.index, (), base)
        self.leader_heard_at, self.election_due = now, now + self._election_timeout()


def with_member(rejection: Rejection | None, name: str) -> Rejection:
    return Rejection(name, rejection.field, rejection.reason) if rejection is not None else Rejection(name)
