"""What belongs to a cache host and not to a tenant, where several tenants list the same endpoint.

That is the host's start, its drain, its health, and the part of its cold budget (rule 4) that each tenant may use.

    table.update_list(now, "sur", {"one": ListEntry(endpoint, ...)})  # returns the tenants whose views changed
    table.views(now, "sur")                                           # the tenant's hosts, by the tenant's names
    table.hop_ended(now, endpoint, outcome)                           # a hop of any tenant ended there

Pure. The decisions receive all of it as entries of a host list, so the table is not consulted for a transaction.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ternquay import model as m
from ternquay.hosted.tenants.tenant import Endpoint

MS = 1_000_000  # in nanoseconds
SECOND = 1_000_000_000
FAILURES_TO_EJECT = 4  # consecutive failures
MIN_EJECTION_NS = SECOND
MAX_EJECTION_NS = 8 * SECOND
GONE_RETENTION_NS = 60 * SECOND
FAILURE_OUTCOMES = (m.HopOutcome.UNREACHABLE, m.HopOutcome.TIMED_OUT, m.HopOutcome.RESET)


@dataclass(slots=True, frozen=True)
class ListEntry:
    """A cache host as one tenant's list has it."""

    endpoint: Endpoint
    status: m.HostStatus
    started_at: int  # time of the latest start on our clock; 0: long ago


@dataclass(slots=True, frozen=True)
class HostView:
    """A cache host as the tenant's decisions see it."""

    endpoint: Endpoint
    status: m.HostStatus
    started_at: int
    cold_fraction: float  # the tenant's part of the cold budget
    shared: bool  # whether several tenants list it


@dataclass(slots=True)
class SharedHost:
    """The state of one endpoint over all tenants that list it."""

    entries: dict[str, ListEntry] = field(default_factory=dict)  # by tenant
    gone_at: dict[str, int] = field(default_factory=dict)  # by the tenant whose source reported it as gone
    failures: int = 0  # consecutive, of all tenants together
    ejected_until: int = 0
    ejection_ns: int = 0


@dataclass(slots=True)
class SharedHostTable:
    """All cache hosts of a process by endpoint, and the lists of the tenants."""

    weights: dict[str, float] = field(default_factory=dict)  # of tenants, for their parts of a cold budget
    hosts: dict[Endpoint, SharedHost] = field(default_factory=dict)
    lists: dict[str, dict[str, ListEntry]] = field(default_factory=dict)

    def set_weights(self, weights: Mapping[str, float]) -> set[str]:
        """Sets the weights of all tenants. Returns the tenants whose part of a cold budget may have changed."""
        changed = {name for name in {*weights, *self.weights} if weights.get(name) != self.weights.get(name)}
        self.weights = dict(weights)
        return {other for name in changed for other in self._sharing_with(name)}

    def _sharing_with(self, tenant: str) -> set[str]:
        """Returns the tenants that share a host with this one, itself included."""
        return {
            other
            for entry in self.lists.get(tenant, {}).values()
            for other in self.hosts[entry.endpoint].entries
            if len(self.hosts[entry.endpoint].entries) > 1
        }

    def update_list(
        self, now: int, tenant: str, entries: Mapping[str, ListEntry], gone: Iterable[Endpoint] = ()
    ) -> set[str]:
        """Replaces the tenant's list and returns the tenants whose views changed.

        `gone` holds the endpoints that the tenant's source reports as gone.
        """
        before = self.lists.get(tenant, {})
        self.lists[tenant] = dict(entries)
        listed = {entry.endpoint: entry for entry in entries.values()}
        changed = {tenant}
        for endpoint in {entry.endpoint for entry in before.values()} - listed.keys():
            host = self.hosts[endpoint]
            host.entries.pop(tenant, None)
            changed |= host.entries.keys()
            if not host.entries:
                del self.hosts[endpoint]
        for endpoint in gone:
            if endpoint in self.hosts:
                self.hosts[endpoint].gone_at[tenant] = now
                changed |= self.hosts[endpoint].entries.keys()
        for endpoint, entry in listed.items():
            host = self.hosts.setdefault(endpoint, SharedHost())
            if host.entries.get(tenant) == entry:
                continue
            if entry.started_at and entry.started_at > max(
                (other.started_at for other in host.entries.values()), default=0
            ):
                # The host restarted: what was known about it before does not apply any more.
                host.failures = host.ejected_until = host.ejection_ns = 0
                host.gone_at = {}
            host.entries[tenant] = entry
            host.gone_at.pop(tenant, None)
            changed |= host.entries.keys()
        return changed

    def remove_tenant(self, now: int, tenant: str) -> set[str]:
        """Forgets the tenant. Returns the other tenants whose views changed."""
        changed = self.update_list(now, tenant, {}) - {tenant}
        self.lists.pop(tenant, None)
        self.weights.pop(tenant, None)
        for host in self.hosts.values():
            host.gone_at.pop(tenant, None)
        return changed

    def views(self, now: int, tenant: str) -> dict[str, HostView]:
        """Returns the tenant's hosts as its decisions are to see them, by the tenant's names for them."""
        return {name: self._view(now, tenant, entry) for name, entry in self.lists.get(tenant, {}).items()}

    def _view(self, now: int, tenant: str, entry: ListEntry) -> HostView:
        host = self.hosts[entry.endpoint]
        if len(host.entries) < 2 and not host.gone_at:
            return HostView(entry.endpoint, entry.status, entry.started_at, 1.0, False)
        draining = any(other.status is m.HostStatus.DRAINING for other in host.entries.values())
        gone = any(now - since < GONE_RETENTION_NS for since in host.gone_at.values())
        status = m.HostStatus.DRAINING if draining or gone or host.ejected_until > now else entry.status
        started_at = max(other.started_at for other in host.entries.values())
        total = sum(self.weights.get(name, 1.0) for name in host.entries)
        return HostView(entry.endpoint, status, started_at, self.weights.get(tenant, 1.0) / total, True)

    def hop_ended(self, now: int, endpoint: Endpoint, outcome: m.HopOutcome) -> set[str]:
        """Counts the outcome of a hop of any tenant. Returns the tenants to update if the host was ejected.

        A host that only one tenant lists is not ejected here: that tenant's decisions judge its health.
        """
        host = self.hosts.get(endpoint)
        if host is None or len(host.entries) < 2 or outcome in (m.HopOutcome.SKIPPED, m.HopOutcome.CANCELLED):
            return set()
        if outcome not in FAILURE_OUTCOMES:
            host.failures = host.ejection_ns = 0
            return set()
        host.failures += 1
        if host.failures < FAILURES_TO_EJECT or host.ejected_until > now:
            return set()
        host.ejection_ns = min(MAX_EJECTION_NS, max(MIN_EJECTION_NS, host.ejection_ns * 2))
        # After an ejection fewer failures suffice for the next one.
        host.ejected_until, host.failures = now + host.ejection_ns, FAILURES_TO_EJECT // 2
        return set(host.entries)

    def expire(self, now: int) -> set[str]:
        """Ends ejections and reports of gone hosts that are over. Returns the tenants to update."""
        changed: set[str] = set()
        for host in self.hosts.values():
            if host.ejected_until and host.ejected_until <= now:
                host.ejected_until = 0
                changed |= host.entries.keys()
            expired = [tenant for tenant, since in host.gone_at.items() if now - since >= GONE_RETENTION_NS]
            for tenant in expired:
                del host.gone_at[tenant]
                changed |= host.entries.keys()
        return changed
