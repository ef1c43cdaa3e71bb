"""All tenants of a process as one immutable value.

    registry = Registry()
    registry = registry.with_change(CreateTenant(tenant))  # raises InvalidField, NotFound or VersionConflict
    registry.tenants["archivo-sur"].version                # of the last change to that tenant

A change is checked as a whole against all other tenants and then applied in one step. No I/O and no clock. Versions
only rise, over all tenants together. A tenant that is created again under an old name has another incarnation, so that
nothing of the old one is taken for its own.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType

from ternquay.hosted.tenants.tenant import (
    ApiKey,
    Endpoint,
    InvalidField,
    Server,
    State,
    Tenant,
    TenantLimits,
    validate,
)

MAX_TENANTS = 1000
RESOURCES = ("cpu", "sockets", "memory")


class NotFound(LookupError):
    """No tenant, cache host or key of that name exists."""


class VersionConflict(Exception):
    """The change expects another version than the current one; nothing was changed."""

    def __init__(self, name: str, expected: int, current: int) -> None:
        super().__init__(f"{name}: the change expects version {expected}, but the current version is {current}")
        self.expected, self.current = expected, current


@dataclass(slots=True, frozen=True)
class TenantEntry:
    """A tenant with its current version; `incarnation` is the version at which it was created."""

    tenant: Tenant
    version: int
    incarnation: int


@dataclass(slots=True, frozen=True)
class CreateTenant:
    """Creates a tenant; its name must be free."""

    tenant: Tenant


@dataclass(slots=True, frozen=True)
class ReplaceTenant:
    """Replaces all of a tenant except its state, which SetState changes.

    With `expected_version`, here and below, the change applies to that version only; 0 means any version.
    """

    tenant: Tenant
    expected_version: int = 0


@dataclass(slots=True, frozen=True)
class SetServers:
    """Replaces the cache hosts of a tenant."""

    name: str
    servers: tuple[Server, ...]
    expected_version: int = 0


@dataclass(slots=True, frozen=True)
class SetLimits:
    """Replaces the limits of a tenant."""

    name: str
    limits: TenantLimits
    expected_version: int = 0


@dataclass(slots=True, frozen=True)
class SetKeys:
    """Replaces the API keys of a tenant."""

    name: str
    keys: tuple[ApiKey, ...]
    expected_version: int = 0


@dataclass(slots=True, frozen=True)
class SetState:
    """Changes the state of a tenant."""

    name: str
    state: State
    expected_version: int = 0


@dataclass(slots=True, frozen=True)
class RemoveTenant:
    """Removes a tenant that is ending and has nothing open any more."""

    name: str
    expected_version: int = 0


Change = CreateTenant | ReplaceTenant | SetServers | SetLimits | SetKeys | SetState | RemoveTenant
NO_TENANTS: Mapping[str, TenantEntry] = MappingProxyType({})
# The states that may follow each state. A tenant that is ending does not come back.
ALLOWED_TRANSITIONS = {
    State.ACTIVE: {State.SUSPENDED, State.ENDING},
    State.SUSPENDED: {State.ACTIVE, State.ENDING},
    State.ENDING: set(),
}


@dataclass(slots=True, frozen=True)
class Registry:
    """The tenants by name."""

    tenants: Mapping[str, TenantEntry] = field(default_factory=lambda: NO_TENANTS)
    version: int = 0  # of the last change to any tenant

    def with_change(self, change: Change) -> "Registry":
        """Returns the registry after the change. Raises InvalidField, NotFound, VersionConflict."""
        if isinstance(change, RemoveTenant):
            return self._without(change)
        tenant = self._changed_tenant(change)
        validate(tenant)
        self._check_conflicts(tenant)
        version = self.version + 1
        incarnation = version if isinstance(change, CreateTenant) else self.tenants[tenant.name].incarnation
        entry = TenantEntry(tenant, version, incarnation)
        return Registry(MappingProxyType({**self.tenants, tenant.name: entry}), version)

    def _changed_tenant(self, change: Change) -> Tenant:
        """Returns the tenant after the change."""
        if isinstance(change, CreateTenant):
            if change.tenant.name in self.tenants:
                raise InvalidField("name", f"{change.tenant.name} is there already")
            if len(self.tenants) >= MAX_TENANTS:
                raise InvalidField("name", f"there are {MAX_TENANTS} tenants, which is the most")
            return change.tenant
        if isinstance(change, ReplaceTenant):
            current = self._current(change.tenant.name, change.expected_version)
            if change.tenant.state is not current.state:
                raise InvalidField("state", "is changed by itself")
            return change.tenant
        assert not isinstance(change, RemoveTenant)
        current = self._current(change.name, change.expected_version)
        if isinstance(change, SetState):
            if change.state is not current.state and change.state not in ALLOWED_TRANSITIONS[current.state]:
                raise InvalidField("state", f"{change.state.value} does not follow {current.state.value}")
            return replace(current, state=change.state)
        if isinstance(change, SetServers):
            return replace(current, servers=change.servers)
        return (
            replace(current, limits=change.limits)
            if isinstance(change, SetLimits)
            else replace(current, keys=change.keys)
        )

    def _current(self, name: str, expected_version: int) -> Tenant:
        entry = self.tenants.get(name)
        if entry is None:
            raise NotFound(name)
        if expected_version and expected_version != entry.version:
            raise VersionConflict(name, expected_version, entry.version)
        return entry.tenant

    def _without(self, change: RemoveTenant) -> "Registry":
        current = self._current(change.name, change.expected_version)
        if current.state is not State.ENDING:
            raise InvalidField("state", f"{change.name} is {current.state.value}, and only what is ending is removed")
        remaining = {name: entry for name, entry in self.tenants.items() if name != change.name}
        return Registry(MappingProxyType(remaining), self.version + 1)

    def _check_conflicts(self, tenant: Tenant) -> None:
        """Checks the tenant against all others. Raises InvalidField."""
        others = [entry.tenant for name, entry in self.tenants.items() if name != tenant.name]
        taken = {endpoint: other.name for other in others for endpoint in other.listeners}
        own: set[Endpoint] = set()
        for i, endpoint in enumerate(tenant.listeners):
            if endpoint in taken or endpoint in own:
                raise InvalidField(
                    f"listeners[{i}]", f"{endpoint.host}:{endpoint.port} is taken by {taken.get(endpoint, tenant.name)}"
                )
            own.add(endpoint)
        for i, server in enumerate(tenant.servers):
            if server.endpoint in taken or server.endpoint in own:
                # Otherwise the balancer would send its own traffic to itself in a loop.
                raise InvalidField(f"servers[{i}].place", "is a listener of this process")
        hosts = {server.endpoint for other in others for server in other.servers}
        for i, endpoint in enumerate(tenant.listeners):
            if endpoint in hosts:
                raise InvalidField(f"listeners[{i}]", "another tenant has it as a cache host")
        digests = {key.digest for other in others for key in other.keys}
        for i, key in enumerate(tenant.keys):
            if key.digest in digests:
                raise InvalidField(f"keys[{i}]", "is another tenant's too")
        for resource in RESOURCES:
            least = sum(getattr(one.limits, resource).least for one in (*others, tenant))
            if least > 1 + 1e-9:
                raise InvalidField(f"limits.{resource}.least", f"with it {least:.3f} of the process would be promised")
