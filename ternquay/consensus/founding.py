"""How an empty member learns who the fleet is: all names of the file have told each other their disks, once.

    founding = Founding(me, ("a", "b", "c"), version)
    founding.heard("b", disk, version, founded)       # -> the roster and whose registry it begins with, or None

Until then it votes for nobody: a fleet that a part of the names could found would be a second one of that name when
the rest founds another (docs/agreement.md).
"""

from hashlib import sha256

from ternquay.consensus.messages import Member, Membership, encode


class Founding:
    def __init__(self, me: Member, names: tuple[str, ...], version: int) -> None:
        """`version`: of the registry that this one has, from a life without a fleet; 0 for none."""
        self.me, self.names = me, names
        self.seen: dict[str, tuple[str, int]] = {me.name: (me.disk_id, version)}
        self.conflict = ""

    def heard(self, name: str, disk: str, version: int) -> tuple[str, Membership, str] | None:
        """An empty member's disk; the fleet's id, its members, and who brings a registry, once that is known."""
        if name in self.names:
            self.seen[name] = disk, version
        return self.found()

    def found(self) -> tuple[str, Membership, str] | None:
        if set(self.seen) != set(self.names):
            return None
        brings = [name for name, (_, version) in sorted(self.seen.items()) if version]
        self.conflict = f"{' and '.join(brings)} each have a registry: one of them at most" if len(brings) > 1 else ""
        if self.conflict:
            return None
        roster = Membership(tuple(Member(name, self.seen[name][0]) for name in sorted(self.names)))
        begins = brings[0] if brings else ""
        return sha256(encode(roster) + begins.encode()).hexdigest()[:16], roster, begins

    def missing(self) -> list[str]:
        return sorted(set(self.names) - set(self.seen))
