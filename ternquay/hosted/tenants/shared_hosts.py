"""What is a machine's and not a tenant's, where several tenants name one place: its start, its drains, its health, and
which part of rule 4's budget each of them has.

    ledger.told("sur", {"one": Named(place, ...)})      # -> the tenants whose lists are others now
    ledger.lines("sur")                                 # -> how its cache hosts stand, by its own names
    ledger.ended(now, place, end)                       # a hop of any tenant ended there

Pure. All of it reaches the decisions as lines of a list, so no transaction asks the ledger anything.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ternquay import model as m
from ternquay.hosted.tenants.tenant import Endpoint

MS, SECOND = 1_000_000, 1_000_000_000
FAILS, OUT_FIRST, OUT_MOST = 4, SECOND, 8 * SECOND
GONE_KEPT = 60 * SECOND
LOST = (m.HopOutcome.UNREACHABLE, m.HopOutcome.TIMED_OUT, m.HopOutcome.RESET)


@dataclass(slots=True, frozen=True)
class Named:
    """What one tenant's list says of a cache host."""

    place: Endpoint
    standing: m.HostStatus
    since: int  # its latest start on our clock, 0 for long ago


@dataclass(slots=True, frozen=True)
class Line:
    """What the tenant's decisions are told of it."""

    place: Endpoint
    standing: m.HostStatus
    since: int
    part: float  # of the budget of a cold host
    shared: bool


@dataclass(slots=True)
class Machine:
    named: dict[str, Named] = field(default_factory=dict)  # by tenant
    gone: dict[str, int] = field(default_factory=dict)  # by tenant whose source said so: when
    fails: int = 0  # in a row, of all tenants together
    out_until: int = 0
    out_for: int = 0


@dataclass(slots=True)
class Ledger:
    weights: dict[str, float] = field(default_factory=dict)  # of tenants, for their parts of a budget
    machines: dict[Endpoint, Machine] = field(default_factory=dict)
    lists: dict[str, dict[str, Named]] = field(default_factory=dict)

    def settle(self, weights: Mapping[str, float]) -> set[str]:
        """The weights of all tenants; those with another part of some budget are to be told."""
        changed = {name for name in {*weights, *self.weights} if weights.get(name) != self.weights.get(name)}
        self.weights = dict(weights)
        return {other for name in changed for other in self._beside(name)}

    def _beside(self, tenant: str) -> set[str]:
        """Whoever names a machine that this one names too."""
        return {
            other
            for named in self.lists.get(tenant, {}).values()
            for other in self.machines[named.place].named
            if len(self.machines[named.place].named) > 1
        }

    def told(self, now: int, tenant: str, hosts: Mapping[str, Named], gone: Iterable[Endpoint] = ()) -> set[str]:
        """Its list is this one; `gone`: machines of which its source says that they are no more."""
        before = self.lists.get(tenant, {})
        self.lists[tenant] = dict(hosts)
        there = {named.place: named for named in hosts.values()}
        changed = {tenant}
        for place in {named.place for named in before.values()} - there.keys():
            machine = self.machines[place]
            machine.named.pop(tenant, None)
            changed |= machine.named.keys()
            if not machine.named:
                del self.machines[place]
        for place in gone:
            if place in self.machines:
                self.machines[place].gone[tenant] = now
                changed |= self.machines[place].named.keys()
        for place, named in there.items():
            machine = self.machines.setdefault(place, Machine())
            if machine.named.get(tenant) == named:
                continue
            if named.since and named.since > max((other.since for other in machine.named.values()), default=0):
                # Another start of the machine: what was known of the one before is of no use.
                machine.fails = machine.out_until = machine.out_for = 0
                machine.gone = {}
            machine.named[tenant] = named
            machine.gone.pop(tenant, None)
            changed |= machine.named.keys()
        return changed

    def left(self, now: int, tenant: str) -> set[str]:
        """The tenant is no more, and nothing of it stays."""
        changed = self.told(now, tenant, {}) - {tenant}
        self.lists.pop(tenant, None)
        self.weights.pop(tenant, None)
        for machine in self.machines.values():
            machine.gone.pop(tenant, None)
        return changed

    def lines(self, now: int, tenant: str) -> dict[str, Line]:
        return {name: self._line(now, tenant, named) for name, named in self.lists.get(tenant, {}).items()}

    def _line(self, now: int, tenant: str, named: Named) -> Line:
        machine = self.machines[named.place]
        if len(machine.named) < 2 and not machine.gone:
            return Line(named.place, named.standing, named.since, 1.0, False)
        draining = any(one.standing is m.HostStatus.DRAINING for one in machine.named.values())
        gone = any(now - at < GONE_KEPT for at in machine.gone.values())
        standing = m.HostStatus.DRAINING if draining or gone or machine.out_until > now else named.standing
        since = max(one.since for one in machine.named.values())
        whole = sum(self.weights.get(other, 1.0) for other in machine.named)
        return Line(named.place, standing, since, self.weights.get(tenant, 1.0) / whole, True)

    def ended(self, now: int, place: Endpoint, end: m.HopOutcome) -> set[str]:
        """A hop of some tenant ended there; the tenants to be told, where the machine's health is another now."""
        machine = self.machines.get(place)
        if machine is None or len(machine.named) < 2 or end in (m.HopOutcome.SKIPPED, m.HopOutcome.CANCELLED):
            return set()
        if end not in LOST:
            machine.fails = machine.out_for = 0
            return set()
        machine.fails += 1
        if machine.fails < FAILS or machine.out_until > now:
            return set()
        machine.out_for = min(OUT_MOST, max(OUT_FIRST, machine.out_for * 2))
        machine.out_until, machine.fails = now + machine.out_for, FAILS // 2  # sooner again after a rest
        return set(machine.named)

    def due(self, now: int) -> set[str]:
        """Who is to be told that a machine's rest, or what was kept of one that is gone, is over."""
        found: set[str] = set()
        for machine in self.machines.values():
            if machine.out_until and machine.out_until <= now:
                machine.out_until = 0
                found |= machine.named.keys()
            over = [tenant for tenant, at in machine.gone.items() if now - at >= GONE_KEPT]
            for tenant in over:
                del machine.gone[tenant]
                found |= machine.named.keys()
        return found
