"""One member of the agreement: who leads, what is in the log, what is decided, and until when it may act.

    core = Core(me, kept, figures, Random(seed), boot, now)
    core.tick(now); core.receive(sender, message, now); core.saved(write.number, now)
    core.propose(body, now)          # -> the index of the proposal; raises RetryLater
    core.judged(index, unfit, now)   # what this machine says of a proposal in core.to_judge
    core.may(now)                    # whether a new transaction may be taken, by what is in force here
    core.held                        # the proposals whose tenants take nothing

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
    TEXT_MOST,
    Ack,
    Append,
    Ask,
    Entry,
    Kind,
    Member,
    Message,
    Part,
    Roster,
    Unfitness,
    Vote,
    encoded,
    unfitness_of,
)

ENTRIES_MOST, BYTES_MOST, PART = 64, 256 << 10, 256 << 10
SNAPSHOT_MOST = 256 << 20  # bytes: far more than a registry and its answers come to
NEAR = 16  # entries that a disk may lack which is to be taken in


class Role(Enum):
    FOLLOWS = "follows"
    CALLS = "calls"  # for votes
    LEADS = "leads"


@dataclass(slots=True, frozen=True)
class Figures:
    """`bound`: by how much the rates of two members' clocks may differ, as a part of one."""

    lease: int
    every: int  # between two rounds of a leader
    call_least: int  # without a leader's word until an election is called for
    call_most: int
    bound: float = 0.05
    go_on: bool = False  # without a majority, by what is in force

    @staticmethod
    def of(lease: int, go_on: bool = False) -> "Figures":
        return Figures(lease, lease // 15, lease * 3 // 10, lease // 2, go_on=go_on)

    @property
    def lapse(self) -> int:
        """After a grant was sent: its holder acts by it no more."""
        return int(self.lease * (1 + self.bound))

    @property
    def patience(self) -> int:
        """How long a proposal may wait for a member that neither answers nor lapses."""
        return 2 * self.lease

    @property
    def stays(self) -> int:
        """After a round was sent that a majority answered: nobody else leads yet."""
        return int(self.call_least / (1 + self.bound))


@dataclass(slots=True)
class Kept:
    """What is on disk as a member starts."""

    term: int = 0
    voted: str = ""
    log: Log = field(default_factory=Log)
    applied: int = 0
    least: int = 0  # who has less than this can't lead: the fleet was founded upon a registry


@dataclass(slots=True, frozen=True)
class Write:
    """To be on disk, in the order of their numbers and each whole. `cut`: entries behind it go first."""

    number: int
    term: int
    voted: str
    cut: int
    entries: tuple[Entry, ...] = ()  # from cut + 1 on
    install: "Snapshot | None" = None


@dataclass(slots=True, frozen=True)
class Snapshot:
    index: int
    term: int
    roster: Roster
    data: bytes


@dataclass(slots=True, frozen=True)
class Outcome:
    """The proposal `about` is in force, or nowhere for what `unfit` says."""

    index: int
    about: int
    term: int  # of the proposal
    body: bytes
    decided: bool
    unfit: Unfitness


@dataclass(slots=True)
class Progress:
    """What a leader knows of a member."""

    disk: str = ""
    next: int = 0
    have: int = 0
    saved: int = 0
    round: int = 0
    boot: int = 0
    asked: int = 0
    granted: int = 0  # the call that was last answered by a lease
    judged: int = 0
    unfit: Unfitness | None = None
    holds: int = 0
    part: int = 0


class Core:
    entries_most = ENTRIES_MOST

    def __init__(self, me: Member, kept: Kept, figures: Figures, random: Random, boot: int, now: int) -> None:
        self.me, self.figures, self.random, self.boot = me, figures, random, boot
        self.term, self.voted, self.log, self.least = kept.term, kept.voted, kept.log, kept.least
        self.commit = self.applied = kept.applied
        self.disk_last = self.log.last  # as far the log is on disk
        self.numbers = 0
        self.on_disk = 0  # of the writes
        self.role = Role.FOLLOWS
        self.leader = ""
        # A voter that has just started may have promised a leader to stay by it: it keeps to that unseen.
        self.heard = now
        self.due = now + self._span()
        self.lease_until = 0
        self.held = set(self.log.opens(self.applied))
        self.verdict: tuple[int, Unfitness | None] = (0, None)
        self.judging = 0
        self.votes: set[str] = set()
        self.own_vote = 0  # the write that it stands in
        self.matched = 0  # as far the log is known to be the present leader's
        self.early = False
        self.progress: dict[str, Progress] = {}
        self.granted: dict[str, int] = {}
        self.won_at = self.round_at = self.sent_at = 0
        self.first_own = 0  # the index of a leader's first entry
        self.hold = 0
        self.open = self.open_since = 0
        self.leaving: set[str] = set()  # get no lease any more, and go out when they have lapsed
        self.learners: dict[str, str] = {}  # names with the disk that they have now, as they told it
        self.snapshot: Snapshot | None = None
        self.wants_snapshot = False
        self.incoming = bytearray()
        self.incoming_base = 0
        # to be carried out
        self.out: list[tuple[str, Message]] = []
        self.bound: list[tuple[int, str, Message]] = []  # wait for a write
        self.writes: list[Write] = []
        self.pending: list[tuple[int, int, int]] = []  # writes with the last entry of each and its term
        self.outcomes: list[Outcome] = []
        self.to_judge: list[tuple[int, bytes]] = []
        self.installed: Snapshot | None = None

    # ---- what is known ----

    def roster(self) -> Roster:
        return self.log.roster()[0]

    def voter(self) -> bool:
        return self.me in self.roster().members

    def leads(self) -> bool:
        return self.role is Role.LEADS

    def settled(self) -> bool:
        """Whether a leader knows all that was decided before it led."""
        return self.leads() and self.commit >= self.first_own

    def may(self, now: int) -> bool:
        """Whether a new tx may be taken by what is in force here."""
        if not self.voter():
            return False
        return self.figures.go_on or now < self.lease_until

    def why_not(self, now: int) -> str:
        if self.may(now):
            return ""
        if not self.voter():
            return "is not of the fleet, or not yet"
        return "has no lease: it reaches no leader that reaches a majority"

    def lapsed(self, name: str, now: int) -> bool:
        """Whether a member that says nothing can be taken to act by nothing."""
        if self.figures.go_on:
            return False
        return now >= max(self.granted.get(name, 0), self.won_at) + self.figures.lapse

    def _span(self) -> int:
        return self.random.randint(self.figures.call_least, self.figures.call_most)

    def _majority(self, names: set[str]) -> bool:
        members = self.roster().names()
        return 2 * sum(name in names for name in members) > len(members)

    # ---- time ----

    def tick(self, now: int) -> None:
        if self.leads():
            self._counted(now)
            if now - self.round_at > 2 * self.figures.call_most:
                self._follow(self.term, now)  # nobody is led
                return
            if now - self.sent_at >= self.figures.every:
                self._round(now)
            self._decide(now)
            self._change_members(now)
        elif now >= self.due and self.voter() and self.log.last >= self.least:
            self._call_early(now)

    def resign(self, now: int) -> None:
        """Leads no more, and calls for no election for a while; it follows, and votes, as before."""
        if self.leads():
            self._follow(self.term, now)
        self.due = now + 10 * self.figures.lease

    # ---- elections ----

    def _call_early(self, now: int) -> None:
        """Nobody's term moves before a majority would vote: who comes back from a cut doesn't unseat a leader."""
        self.role, self.leader, self.early, self.votes = Role.CALLS, "", True, {self.me.name}
        self.due = now + self._span()
        if self._majority(self.votes):
            self._call(now)
            return
        for name in self._others():
            self.out.append((name, Ask(self.term + 1, self.log.last, self.log.last_term, True)))

    def _call(self, now: int) -> None:
        self.term, self.voted, self.early, self.votes = self.term + 1, self.me.name, False, set()
        number = self.own_vote = self._write()
        for name in self._others():
            self.bound.append((number, name, Ask(self.term, self.log.last, self.log.last_term, False)))

    def _others(self) -> list[str]:
        return [name for name in self.roster().names() if name != self.me.name]

    def _asked(self, sender: Member, ask: Ask, now: int) -> None:
        if not self.voter() or sender not in self.roster().members:
            return
        stays = now - self.heard < self.figures.call_least
        if self.leads():
            self._counted(now)
            stays = now - self.round_at < self.figures.call_least
        fresh = (ask.last_term, ask.last) >= (self.log.last_term, self.log.last) and ask.last >= self.least
        if ask.early:
            granted = fresh and not stays and ask.term > self.term
            self.out.append((sender.name, Vote(ask.term if granted else self.term, granted, True)))
            return
        if stays:
            return
        if ask.term > self.term:
            self._follow(ask.term, now)
        granted = ask.term == self.term and fresh and self.voted in ("", sender.name) and not self.leads()
        if granted and not self.voted:
            self.voted = sender.name
            self._write()
        if granted:
            self.due = now + self._span()
        self.bound.append((self.numbers, sender.name, Vote(self.term, granted, False)))
        self._release()

    def _voted(self, sender: Member, vote: Vote, now: int) -> None:
        if self.role is not Role.CALLS or vote.early is not self.early or not vote.granted:
            return
        if vote.term != self.term + vote.early or sender not in self.roster().members:
            return
        self.votes.add(sender.name)
        self._elected(now)

    def _elected(self, now: int) -> None:
        if self.role is not Role.CALLS or not self._majority(self.votes):
            return
        if self.early:
            self._call(now)
        else:
            self._lead(now)

    def _lead(self, now: int) -> None:
        self.role, self.leader = Role.LEADS, self.me.name
        self.won_at = self.round_at = now
        self.progress, self.granted, self.hold, self.leaving = {}, {}, 0, set()
        self.first_own = self.log.last + 1
        self._add(Entry(self.term, Kind.BLANK))
        self._round(now)

    def _follow(self, term: int, now: int) -> None:
        if self.leads():
            self.heard = self.round_at
        if term > self.term:
            self.term, self.voted = term, ""
            self._write()
        self.role, self.leader, self.hold, self.matched = Role.FOLLOWS, "", 0, 0
        self.due = now + self._span()

    # ---- disk ----

    def _write(self, cut: int = -1, entries: tuple[Entry, ...] = (), install: Snapshot | None = None) -> int:
        self.numbers += 1
        self.writes.append(Write(self.numbers, self.term, self.voted, cut, entries, install))
        self.pending.append((self.numbers, self.log.last, self.log.last_term))
        return self.numbers

    def saved(self, number: int, now: int) -> None:
        """All writes up to that one are on disk."""
        self.on_disk = max(self.on_disk, number)
        while self.pending and self.pending[0][0] <= number:
            _, last, term = self.pending.pop(0)
            if last <= self.log.last and self.log.term(last) == term:
                self.disk_last = max(self.disk_last, last)
        self._release()
        if self.role is Role.CALLS and not self.early and self.on_disk >= self.own_vote:
            self.votes.add(self.me.name)  # the own vote counts from here on
            self._elected(now)
        elif self.leads():
            self._commit(now)
        elif self.leader:
            self._ack(now, True, min(self.log.last, self.matched), 0)

    def _release(self) -> None:
        self.out += [(name, message) for number, name, message in self.bound if number <= self.on_disk]
        self.bound = [one for one in self.bound if one[0] > self.on_disk]

    # ---- a leader's side ----

    def propose(self, body: bytes, now: int) -> int:
        """Raises RetryLater."""
        if not self.leads():
            raise RetryLater("another one leads" if self.leader else "nobody leads", self.leader)
        if not self.settled() or self.log.undecided():
            raise RetryLater("another change is under way", self.me.name)
        return self._append(Entry(self.term, Kind.PROPOSE, body), now)

    def leave(self, name: str, now: int) -> None:
        """Removes a member for good once its lease has expired. Raises RetryLater, or ValueError for a non-member."""
        if not self.settled():
            raise RetryLater("another one leads" if self.leader else "nobody leads", self.leader)
        if name not in self.roster().names():
            raise ValueError(f"{name} is no member")
        if len(self.roster().members) == 1:
            raise ValueError("the last member can't leave")
        self.leaving.add(name)
        self._change_members(now)

    def welcome(self, name: str, now: int) -> None:
        """Lets one that was taken out come in again by itself. Raises RetryLater; ValueError for who isn't out."""
        roster, at = self.log.roster()
        if not self.settled() or at > self.commit:
            raise RetryLater("the members are being changed" if self.leads() else "another one leads", self.leader)
        if name not in roster.out:
            raise ValueError(f"{name} was not taken out")
        self._to(Roster(roster.members, tuple(one for one in roster.out if one != name)), now)

    def _change_members(self, now: int) -> None:
        """One member more or one less, once the change before that is committed."""
        roster, at = self.log.roster()
        if not self.settled() or at > self.commit:
            return
        there = {one.name: one.disk for one in roster.members}
        self.leaving &= {*there}
        for name in sorted(self.leaving):
            # Who is out is waited for by nobody: so it must have lapsed before it is.
            if name == self.me.name or self.figures.go_on or self.lapsed(name, now):
                left = tuple(one for one in roster.members if one.name != name)
                lost = self.learners.get(name, there[name]) != there[name]
                self._to(Roster(left, roster.out if lost else (*roster.out, name)), now)
                return
        for name, disk in sorted(self.learners.items()):
            known = self.progress.get(name)
            if name in roster.out or known is None or known.disk != disk or there.get(name) == disk:
                continue
            if name in there:
                self.leaving.add(name)  # it may have voted by the disk that is lost, and doesn't know
            elif known.have >= self.commit - NEAR:
                self._to(Roster((*roster.members, Member(name, disk)), roster.out), now)
                return

    def _to(self, roster: Roster, now: int) -> None:
        self._append(Entry(self.term, Kind.MEMBERS, encoded(roster)), now)

    def _append(self, entry: Entry, now: int) -> int:
        self._add(entry)
        self._round(now)
        return self.log.last

    def _add(self, entry: Entry) -> None:
        cut = self.log.last
        self.log.add((entry,))
        self._write(cut, (entry,))

    def _targets(self) -> set[str]:
        return ({*self.roster().names(), *self.learners}) - {self.me.name}

    def _round(self, now: int) -> None:
        self.sent_at = now
        for name in sorted(self._targets()):  # in one order: a walk that finds something can be walked again
            self._send(name, now)

    def _send(self, name: str, now: int) -> None:
        known = self.progress.setdefault(name, Progress(next=self.log.last + 1))
        if known.next <= self.log.base:
            self._send_part(name, known, now)
            return
        prev = known.next - 1
        entries = self.log.after(prev, self.entries_most, BYTES_MOST)
        known.next = prev + len(entries) + 1
        boot = asked = 0
        if self._grants(name, known, now):
            boot, asked = known.boot, known.asked
            known.granted, self.granted[name] = asked, now
        self.out.append(
            (name, Append(self.term, prev, self.log.term(prev), entries, self.commit, self.hold, now, boot, asked))
        )

    def _grants(self, name: str, known: Progress, now: int) -> bool:
        # One call, one grant: else a member that calls no more would never be taken to have lapsed.
        if known.asked <= known.granted or not self.settled() or now - self.round_at >= self.figures.stays:
            return False
        return name not in self.leaving and Member(name, known.disk) in self.roster().members

    def _send_part(self, name: str, known: Progress, now: int) -> None:
        one = self.snapshot
        if one is None or one.index < self.log.base:
            self.wants_snapshot = True
            return
        data = one.data[known.part : known.part + PART]
        self.out.append((name, Part(self.term, one.index, one.term, one.roster, known.part, len(one.data), data, now)))

    def provide(self, index: int, data: bytes) -> None:
        """All that was in force at `index`, which was applied here."""
        # From an open proposal on there was no outcome, so all is as it was before it; its body is wanted later.
        index = min([index, *(at - 1 for at in self.log.opens(index))])
        if self.log.base <= index <= self.applied:
            self.snapshot = Snapshot(index, self.log.term(index), self.log.roster_at(index)[0], data)
        self.wants_snapshot = False

    def _acked(self, sender: Member, ack: Ack, now: int) -> None:
        known = self.progress.get(sender.name)
        if not self.leads() or ack.term != self.term or known is None:
            return
        if (known.boot, known.disk) != (ack.boot, sender.disk):
            # Another process, or another disk: nothing that the one before said binds it.
            known.saved = known.have = known.judged = known.holds = known.part = 0
            known.boot, known.disk, known.unfit = ack.boot, sender.disk, None
            known.asked = known.granted = 0
        before = known.have, known.part, known.next
        known.asked, known.round = max(known.asked, ack.asked), max(known.round, ack.round)
        if ack.agreed:
            known.have, known.saved = max(known.have, ack.last), max(known.saved, min(ack.saved, ack.last))
            known.next = max(known.next, known.have + 1)
        else:
            known.next = max(known.have + 1, min(known.next, ack.last + 1))
        known.part = ack.part
        if self.snapshot is not None and known.have >= self.snapshot.index:
            known.part = 0
        known.judged, known.unfit, known.holds = ack.judged, ack.unfit, ack.holds
        self._counted(now)
        self._commit(now)
        self._decide(now)
        if self.snapshot is not None and all(one.next > self.log.base for one in self.progress.values()):
            self.snapshot = None  # nobody is so far behind any more
        moved = before != (known.have, known.part, known.next)  # else each that comes twice would be answered twice
        if moved and (not ack.agreed or known.next <= self.log.last):
            self._send(sender.name, now)
        self._change_members(now)

    def _voting(self) -> list[tuple[str, Progress | None]]:
        """The members with what is known of them, if it is of the disk that counts."""
        found: list[tuple[str, Progress | None]] = []
        for member in self.roster().members:
            known = self.progress.get(member.name)
            found.append((member.name, known if known is not None and known.disk == member.disk else None))
        return found

    def _counted(self, now: int) -> None:
        """When the latest round was sent that a majority has answered; it renews the leader's own lease."""
        rounds = sorted(
            (now if name == self.me.name else known.round if known else 0) for name, known in self._voting()
        )
        if rounds:
            self.round_at = max(self.round_at, rounds[(len(rounds) - 1) // 2])
            if self.settled() and self.voter():
                self.lease_until = max(self.lease_until, self.round_at + self.figures.lease)

    def _commit(self, now: int) -> None:
        ends = sorted(
            (self.disk_last if name == self.me.name else known.saved if known else 0) for name, known in self._voting()
        )
        end = ends[(len(ends) - 1) // 2] if ends else 0
        # An entry of an older term counts with one of this term alone (Raft, figure 8).
        if end > self.commit and self._counts(end):
            self.commit = end
            self._advance()
            self._round(now)
            if self.commit >= self.log.roster()[1] and not self.voter():
                self._follow(self.term, now)  # it was taken out, and has seen to that itself

    def _counts(self, end: int) -> bool:
        return self.log.term(end) == self.term

    def _decide(self, now: int) -> None:
        """Carries the one open proposal a step further, if it can be."""
        at = self.log.undecided()
        if not at or at > self.commit or not self.settled():
            return
        waits = {*self.roster().names()} - {self.me.name}
        if not self.figures.go_on:  # there who was taken out is out by the operators' word
            waits |= {name for name in self.granted if not self.lapsed(name, now)}
        mine = self.verdict[1] if self.verdict[0] == at else None
        found = [
            replace_name(known.unfit, name)
            for name in sorted(waits)
            if (known := self.progress.get(name)) and known.judged == at and known.unfit is not None
        ]
        if mine is not None:
            found.append(replace_name(mine, self.me.name))
        if found:
            self._append(Entry(self.term, Kind.DROP, encoded(found[0]), at), now)
            return
        if self.verdict[0] != at:
            return
        if self.open != at:
            self.open, self.open_since = at, now
        missing = [name for name in sorted(waits) if not self._said(name, at) and not self.lapsed(name, now)]
        late = [name for name in sorted(waits) if not self._holds(name, at) and not self.lapsed(name, now)]
        if now - self.open_since > self.figures.patience and late:
            # It can't be decided without them; the changes behind it need not wait for that.
            why = Unfitness((missing or late)[0], "", "is out of reach")
            self._append(Entry(self.term, Kind.DROP, encoded(why), at), now)
            return
        if missing:
            return
        if self.hold != at:
            self.hold = at
            self.held.add(at)
            self._round(now)
        if all(self._holds(name, at) or self.lapsed(name, now) for name in waits):
            self._append(Entry(self.term, Kind.DECIDE, b"", at), now)

    def _said(self, name: str, at: int) -> bool:
        known = self.progress.get(name)
        if known is None or known.judged != at:
            return False
        return known.saved >= at or not self.figures.go_on

    def _holds(self, name: str, at: int) -> bool:
        known = self.progress.get(name)
        return known is not None and known.holds == at

    def missing(self, now: int) -> list[str]:
        """Members that the open proposal waits for."""
        at = self.log.undecided()
        return (
            [
                name
                for name in self._others()
                if not self.lapsed(name, now)
                and not (self._holds(name, at) if self.hold == at else self._said(name, at))
            ]
            if at
            else []
        )

    # ---- a follower's side ----

    def receive(self, sender: Member, message: Message, now: int) -> None:
        if sender.name == self.me.name:
            return
        if isinstance(message, Ask):
            return self._asked(sender, message, now)
        if message.term > self.term and not (isinstance(message, Vote) and message.early and message.granted):
            self._follow(message.term, now)
        if isinstance(message, Vote):
            self._voted(sender, message, now)
        elif isinstance(message, Ack):
            self._acked(sender, message, now)
        elif message.term < self.term:
            self.out.append((sender.name, self._answer(now, False, 0, message.round)))
        elif not self.leads():
            self.role, self.heard, self.due = Role.FOLLOWS, now, now + self._span()
            if self.leader != sender.name:
                self.leader, self.matched = sender.name, 0
            if isinstance(message, Part):
                self._part(message, now)
            else:
                self._appended(message, now)

    def _appended(self, message: Append, now: int) -> None:
        prev, entries = message.prev, message.entries
        if prev < self.log.base:  # what lies behind the base is decided, and the same
            entries = entries[self.log.base - prev :]
            prev = self.log.base if prev + len(message.entries) >= self.log.base else prev
        known = self.log.term(prev)
        if known == -1 or (prev == message.prev and known != message.prev_term):
            self._ack(now, False, max(self.commit, min(self.log.last, prev - 1)), message.round)
            return
        self._take(prev, entries)
        self.matched = max(self.matched, prev + len(entries))
        if min(message.commit, self.matched) > self.commit:
            self.commit = min(message.commit, self.matched)
            self._advance()
        self._judge()
        held = self._held(message.hold)
        if held and message.boot == self.boot and self._adopted(message) and self.voter():
            self.lease_until = max(self.lease_until, self._leased(message, now))
        self._ack(now, True, self.matched, message.round)

    def _adopted(self, message: Append) -> bool:
        """Whether all is in force here that was anywhere as the grant was sent."""
        return self.applied >= message.commit

    def _leased(self, message: Append, now: int) -> int:
        # Counted from the call: from the answer on it would outlast what the leader takes it to be.
        return message.asked + self.figures.lease

    def _take(self, prev: int, entries: tuple[Entry, ...]) -> None:
        for n, entry in enumerate(entries):
            at = prev + 1 + n
            if self.log.term(at) == entry.term:
                continue
            if at <= self.log.last:
                self.log.cut(at - 1)
                self.disk_last = min(self.disk_last, at - 1)
                self.held = {one for one in self.held if one < at}  # the others were never decided, nor will be
            self.log.add(entries[n:])
            self._write(at - 1, entries[n:])
            return

    def _held(self, at: int) -> bool:
        """Holds what the leader has held, if that is open here. Whether its grant may count."""
        if at > self.log.last or at > self.log.base and self.log.entry(at).kind is not Kind.PROPOSE:
            return False
        if at in self.log.opens(self.applied):
            self.held.add(at)
        return True

    def _ack(self, now: int, agreed: bool, last: int, round: int, part: int = 0) -> None:
        self.out.append((self.leader, self._answer(now, agreed, last, round, part)))

    def _answer(self, now: int, agreed: bool, last: int, round: int, part: int = 0) -> Ack:
        judged, unfit = self.verdict
        return Ack(
            self.term,
            agreed,
            last,
            self.disk_last,
            round,
            self.boot,
            now,
            judged,
            unfit,
            max(self.held, default=0),
            part,
        )

    def _part(self, message: Part, now: int) -> None:
        if message.base <= self.commit:
            self._ack(now, True, self.commit, message.round)
            return
        if message.at == 0 or message.base != self.incoming_base:
            self.incoming, self.incoming_base = bytearray(), message.base
        if message.at == len(self.incoming) and message.whole <= SNAPSHOT_MOST:
            self.incoming += message.data
        if len(self.incoming) < message.whole:
            self._ack(now, False, self.commit, message.round, len(self.incoming))
            return
        one = Snapshot(message.base, message.base_term, message.roster, bytes(self.incoming))
        self.incoming = bytearray()
        self.log = Log(one.index, one.term, one.roster)
        self.commit = self.applied = self.matched = one.index
        self.held, self.verdict, self.judging, self.disk_last, self.installed = set(), (0, None), 0, 0, one
        self._write(one.index, (), one)
        self._ack(now, True, one.index, message.round)

    # ---- what is decided ----

    def _advance(self) -> None:
        while self.applied < self.commit:
            self.applied += 1
            entry = self.log.entry(self.applied)
            if entry.kind in (Kind.DECIDE, Kind.DROP):
                proposal = self.log.entry(entry.about)
                unfit = unfitness_of(entry) if entry.kind is Kind.DROP else Unfitness()
                self.outcomes.append(
                    Outcome(self.applied, entry.about, proposal.term, proposal.body, entry.kind is Kind.DECIDE, unfit)
                )
                self.held.discard(entry.about)
                if self.hold == entry.about:
                    self.hold = 0
        self._judge()

    def _judge(self) -> None:
        at = self.log.undecided()
        if at and at <= self.commit and at not in (self.verdict[0], self.judging):
            self.judging = at
            self.to_judge.append((at, self.log.entry(at).body))

    def judged(self, index: int, unfit: Unfitness | None, now: int) -> None:
        if index != self.judging:
            return
        if unfit is not None:
            unfit = Unfitness(unfit.member, unfit.field[:TEXT_MOST], unfit.why[:TEXT_MOST])
        self.verdict, self.judging = (index, unfit), 0
        if self.leads():
            self._decide(now)
        elif self.leader:
            self._ack(now, True, min(self.matched, self.log.last), 0)

    def forget(self, index: int) -> None:
        """What stands at `index` and before is on disk as applied."""
        self.log.forget(min(index, self.applied))

    def found(self, roster: Roster, least: int, brings: bool, now: int) -> None:
        """An empty member learns who the fleet is; `brings`: its registry is what the others begin with."""
        self.least = least
        base = Snapshot(least if brings else 0, 0, roster, b"")
        self.log = Log(base.index, 0, roster)
        self.commit = self.applied = self.disk_last = self.log.base
        self._write(base.index, (), base)
        self.heard, self.due = now, now + self._span()


def replace_name(unfit: Unfitness | None, name: str) -> Unfitness:
    return Unfitness(name, unfit.field, unfit.why) if unfit is not None else Unfitness(name)
