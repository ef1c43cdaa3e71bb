"""A member's log: the entries after a compacted prefix, and what can be derived from the entries alone."""

from dataclasses import dataclass, field

from ternquay.consensus.messages import EntryKind, LogEntry, Membership, membership_of


@dataclass(slots=True)
class Log:
    """Entries `base_index + 1` to `last_index`; indexes start at 1."""

    base_index: int = 0  # the last compacted index
    base_term: int = 0
    base_membership: Membership = Membership()
    entries: list[LogEntry] = field(default_factory=list)  # only the methods below change it
    _membership: tuple[Membership, int] | None = None  # cached until the entries change
    _open_proposal: int = -1

    @property
    def last_index(self) -> int:
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int:
        """The term of the entry at `index`, -1 where it is unknown."""
        if index == self.base_index:
            return self.base_term
        return self.entries[index - self.base_index - 1].term if self.base_index < index <= self.last_index else -1

    def entry(self, index: int) -> LogEntry:
        """Raises IndexError for an index that is compacted or past the end."""
        if not self.base_index < index <= self.last_index:
            raise IndexError(index)
        return self.entries[index - self.base_index - 1]

    def entries_after(self, index: int, max_entries: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """The entries after `index` within both limits, but at least one if there is any."""
        found: list[LogEntry] = []
        for entry in self.entries[index - self.base_index : index - self.base_index + max_entries]:
            max_bytes -= len(entry.body)
            if found and max_bytes < 0:
                break
            found.append(entry)
        return tuple(found)

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        self.entries += entries
        self._membership, self._open_proposal = None, -1

    def truncate_after(self, index: int) -> None:
        """Removes all entries after `index`."""
        self._membership, self._open_proposal = None, -1
        del self.entries[index - self.base_index :]

    def membership(self) -> tuple[Membership, int]:
        """The latest membership in the log, committed or not, and its index."""
        if self._membership is None:
            self._membership = self.membership_at(self.last_index)
        return self._membership

    def membership_at(self, index: int) -> tuple[Membership, int]:
        """The latest membership at or before `index`, and its index."""
        for at in range(index, self.base_index, -1):
            entry = self.entries[at - self.base_index - 1]
            if entry.kind is EntryKind.MEMBERSHIP:
                return membership_of(entry), at
        return self.base_membership, self.base_index

    def open_proposal(self) -> int:
        """The index of the only proposal without an outcome in this log, or 0."""
        if self._open_proposal < 0:
            self._open_proposal = next(iter(self.open_proposals(self.last_index)), 0)
        return self._open_proposal

    def open_proposals(self, index: int) -> list[int]:
        """The indexes, latest first, of the proposals without an outcome up to `index`."""
        found: list[int] = []
        for at in range(self.last_index, self.base_index, -1):
            entry = self.entries[at - self.base_index - 1]
            if entry.kind is EntryKind.PROPOSE:
                found.append(at)
            elif entry.proposal_index and at <= index:
                break
        return found

    def compact(self, index: int) -> None:
        """Discards the entries up to `index`, but no proposal without an outcome: its body is still needed."""
        index = min([index, *(at - 1 for at in self.open_proposals(index))])
        if index <= self.base_index:
            return
        membership, term = self.membership_at(index)[0], self.term_at(index)
        del self.entries[: index - self.base_index]
        self.base_index, self.base_term, self.base_membership, self._membership = index, term, membership, None
