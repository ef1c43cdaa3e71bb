"""All tenants of a process as one value: a change is checked whole against all others, then made in one step.

    registry = Registry()
    registry = registry.with_change(CreateTenant(tenant))  # raises InvalidField, NotFound or VersionConflict
    registry.tenants["archivo-sur"].version    # the version of the last change to that tenant

No I/O and no clock. Versions only rise, over all tenants together; a tenant that is made again under an old name
is another incarnation, so that nothing of the old one is taken for its own.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType

from ternquay.hosted.tenants.tenant import Endpoint, InvalidField, Key, Server, State, Tenant, TenantLimits, fit

TENANTS_MOST = 1000
PARTS = ("cpu", "sockets", "memory")


class NotFound(LookupError):
    """No tenant, cache host or key of that name exists."""


class VersionConflict(Exception):
    """The change expects another version than the current one; nothing was changed."""

    def __init__(self, name: str, expected: int, current: int) -> None:
        super().__init__(f"{name}: the change expects version {expected}, but the current version is {current}")
        self.expected, self.current = expected, current


@dataclass(slots=True, frozen=True)
class TenantEntry:
    """A tenant as it stands; `incarnation` is the version that it was first made at."""

    tenant: Tenant
    version: int
    incarnation: int


@dataclass(slots=True, frozen=True)
class CreateTenant:
    """A tenant that is not there yet."""

    tenant: Tenant


@dataclass(slots=True, frozen=True)
class ReplaceTenant:
    """All of a tenant but its state, which goes by its own change. `expected_version`: for that version, 0 for any."""

    tenant: Tenant
    expected_version: int = 0


@dataclass(slots=True, frozen=True)
class SetServers:
    name: str
    servers: tuple[Server, ...]
    expected_version: int = 0


@dataclass(slots=True, frozen=True)
class SetLimits:
    name: str
    limits: TenantLimits
    expected_version: int = 0


@dataclass(slots=True, frozen=True)
class SetKeys:
    name: str
    keys: tuple[Key, ...]
    expected_version: int = 0


@dataclass(slots=True, frozen=True)
class SetState:
    name: str
    state: State
    expected_version: int = 0


@dataclass(slots=True, frozen=True)
class RemoveTenant:
    """A tenant that is ending and has nothing open any more."""

    name: str
    expected_version: int = 0


Change = CreateTenant | ReplaceTenant | SetServers | SetLimits | SetKeys | SetState | RemoveTenant
NO_TENANTS: Mapping[str, TenantEntry] = MappingProxyType({})
# From which state which others may follow; what is ending does not come back.
FOLLOWS = {
    State.ACTIVE: {State.SUSPENDED, State.ENDING},
    State.SUSPENDED: {State.ACTIVE, State.ENDING},
    State.ENDING: set(),
}


@dataclass(slots=True, frozen=True)
class Registry:
    tenants: Mapping[str, TenantEntry] = field(default_factory=lambda: NO_TENANTS)
    version: int = 0  # of the last change of any

    def with_change(self, change: Change) -> "Registry":
        """Returns the registry after the change. Raises InvalidField, NotFound, VersionConflict."""
        if isinstance(change, RemoveTenant):
            return self._removed(change)
        tenant = self._wanted(change)
        fit(tenant)
        self._beside(tenant)
        version = self.version + 1
        incarnation = version if isinstance(change, CreateTenant) else self.tenants[tenant.name].incarnation
        entry = TenantEntry(tenant, version, incarnation)
        return Registry(MappingProxyType({**self.tenants, tenant.name: entry}), version)

    def _wanted(self, change: Change) -> Tenant:
        """The tenant as the change would have it."""
        if isinstance(change, CreateTenant):
            if change.tenant.name in self.tenants:
                raise InvalidField("name", f"{change.tenant.name} is there already")
            if len(self.tenants) >= TENANTS_MOST:
                raise InvalidField("name", f"there are {TENANTS_MOST} tenants, which is the most")
            return change.tenant
        if isinstance(change, ReplaceTenant):
            there = self._there(change.tenant.name, change.expected_version)
            if change.tenant.state is not there.state:
                raise InvalidField("state", "is changed by itself")
            return change.tenant
        assert not isinstance(change, RemoveTenant)
        there = self._there(change.name, change.expected_version)
        if isinstance(change, SetState):
            if change.state is not there.state and change.state not in FOLLOWS[there.state]:
                raise InvalidField("state", f"{change.state.value} does not follow {there.state.value}")
            return replace(there, state=change.state)
        if isinstance(change, SetServers):
            return replace(there, servers=change.servers)
        return (
            replace(there, limits=change.limits) if isinstance(change, SetLimits) else replace(there, keys=change.keys)
        )

    def _there(self, name: str, expected_version: int) -> Tenant:
        entry = self.tenants.get(name)
        if entry is None:
            raise NotFound(name)
        if expected_version and expected_version != entry.version:
            raise VersionConflict(name, expected_version, entry.version)
        return entry.tenant

    def _removed(self, change: RemoveTenant) -> "Registry":
        there = self._there(change.name, change.expected_version)
        if there.state is not State.ENDING:
            raise InvalidField("state", f"{change.name} is {there.state.value}, and only what is ending is removed")
        left = {name: entry for name, entry in self.tenants.items() if name != change.name}
        return Registry(MappingProxyType(left), self.version + 1)

    def _beside(self, tenant: Tenant) -> None:
        """Raises InvalidField where a tenant can't stand beside the others."""
        others = [entry.tenant for name, entry in self.tenants.items() if name != tenant.name]
        taken = {place: other.name for other in others for place in other.listeners}
        own: set[Endpoint] = set()
        for i, place in enumerate(tenant.listeners):
            if place in taken or place in own:
                raise InvalidField(
                    f"listeners[{i}]", f"{place.host}:{place.port} is taken by {taken.get(place, tenant.name)}"
                )
            own.add(place)
        for i, server in enumerate(tenant.servers):
            if server.endpoint in taken or server.endpoint in own:
                # Against a balancer that sends what it takes to itself, round and round.
                raise InvalidField(f"servers[{i}].place", "is a listener of this process")
        hosts = {server.endpoint for other in others for server in other.servers}
        for i, place in enumerate(tenant.listeners):
            if place in hosts:
                raise InvalidField(f"listeners[{i}]", "another tenant has it as a cache host")
        digests = {key.digest for other in others for key in other.keys}
        for i, key in enumerate(tenant.keys):
            if key.digest in digests:
                raise InvalidField(f"keys[{i}]", "is another tenant's too")
        for part in PARTS:
            least = sum(getattr(one.limits, part).least for one in (*others, tenant))
            if least > 1 + 1e-9:
                raise InvalidField(f"limits.{part}.least", f"with it {least:.3f} of the process would be promised")
