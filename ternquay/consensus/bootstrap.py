"""How empty members agree on their fleet: every configured member has reported its disk to every other one once.

    bootstrap = Bootstrap(me, ("a", "b", "c"), version)
    bootstrap.record("b", disk_id, version)
    bootstrap.result()        # -> the fleet's id, its membership and the seed member, or None

Until then a member votes for nobody: if some of the names could start a fleet without the others, the others could
start a second fleet of the same name (docs/agreement.md).
"""

from hashlib import sha256

from ternquay.consensus.messages import Member, Membership, encode


class Bootstrap:
    """What an empty member has heard of the others; `conflict` says why no fleet can start, "" if one can.

    `version` is that of a registry that this member has from running without a fleet, 0 for none.
    """

    def __init__(self, me: Member, names: tuple[str, ...], version: int) -> None:
        self.me, self.names = me, names
        self.reported: dict[str, tuple[str, int]] = {me.name: (me.disk_id, version)}
        self.conflict = ""

    def record(self, name: str, disk_id: str, version: int) -> tuple[str, Membership, str] | None:
        """Records an empty member's disk and registry version, and returns the result."""
        if name in self.names:
            self.reported[name] = disk_id, version
        return self.result()

    def result(self) -> tuple[str, Membership, str] | None:
        """The fleet's id, its membership and the member whose registry it starts with ("" for an empty one).

        None while a member is missing or more than one has a registry.
        """
        if set(self.reported) != set(self.names):
            return None
        with_registry = [name for name, (_, version) in sorted(self.reported.items()) if version]
        self.conflict = (
            f"{' and '.join(with_registry)} each have a registry: one of them at most" if len(with_registry) > 1 else ""
        )
        if self.conflict:
            return None
        membership = Membership(tuple(Member(name, self.reported[name][0]) for name in sorted(self.names)))
        seed_member = with_registry[0] if with_registry else ""
        return sha256(encode(membership) + seed_member.encode()).hexdigest()[:16], membership, seed_member

    def missing(self) -> list[str]:
        """The names that have not reported yet."""
        return sorted(set(self.names) - set(self.reported))
