"""The log of a member: entries behind a base that is no longer kept, and what can be read from them alone."""

from dataclasses import dataclass, field

from ternquay.consensus.messages import Entry, Kind, Roster, roster_of


@dataclass(slots=True)
class Log:
    base: int = 0  # the last index that is no longer kept
    base_term: int = 0
    base_roster: Roster = Roster()
    entries: list[Entry] = field(default_factory=list)  # changed by the methods below alone
    _roster: tuple[Roster, int] | None = None  # as last found, until the entries change
    _undecided: int = -1

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base_term

    def term(self, index: int) -> int:
        """-1 where it isn't known."""
        if index == self.base:
            return self.base_term
        return self.entries[index - self.base - 1].term if self.base < index <= self.last else -1

    def entry(self, index: int) -> Entry:
        if not self.base < index <= self.last:
            raise IndexError(index)
        return self.entries[index - self.base - 1]

    def after(self, index: int, most: int, size: int) -> tuple[Entry, ...]:
        """Up to so many entries and bytes behind `index`; one at least, if there is one."""
        found: list[Entry] = []
        for entry in self.entries[index - self.base : index - self.base + most]:
            size -= len(entry.body)
            if found and size < 0:
                break
            found.append(entry)
        return tuple(found)

    def add(self, entries: tuple[Entry, ...]) -> None:
        self.entries += entries
        self._roster, self._undecided = None, -1

    def cut(self, index: int) -> None:
        """Nothing stays behind `index`."""
        self._roster, self._undecided = None, -1
        del self.entries[index - self.base :]

    def roster(self) -> tuple[Roster, int]:
        """Who belongs to the fleet, as the log has it last, and at which index that stands."""
        if self._roster is None:
            self._roster = self.roster_at(self.last)
        return self._roster

    def roster_at(self, index: int) -> tuple[Roster, int]:
        for at in range(index, self.base, -1):
            entry = self.entries[at - self.base - 1]
            if entry.kind is Kind.MEMBERS:
                return roster_of(entry), at
        return self.base_roster, self.base

    def undecided(self) -> int:
        """The one proposal that has no outcome in this log, or 0."""
        if self._undecided < 0:
            self._undecided = next(iter(self.opens(self.last)), 0)
        return self._undecided

    def opens(self, index: int) -> list[int]:
        """The proposals, the last first, that have no outcome up to `index`."""
        found: list[int] = []
        for at in range(self.last, self.base, -1):
            entry = self.entries[at - self.base - 1]
            if entry.kind is Kind.PROPOSE:
                found.append(at)
            elif entry.about and at <= index:
                break
        return found

    def forget(self, index: int) -> None:
        """Entries up to `index` are no longer kept; a proposal without outcome stays, as its body is wanted."""
        index = min([index, *(at - 1 for at in self.opens(index))])
        if index <= self.base:
            return
        roster, term = self.roster_at(index)[0], self.term(index)
        del self.entries[: index - self.base]
        self.base, self.base_term, self.base_roster, self._roster = index, term, roster, None
