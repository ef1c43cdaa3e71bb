"""All tenants of a process as one value: a change is checked whole against all others, then made in one step.

    registry = Registry()
    registry = registry.changed(Make(tenant))                # -> another registry, or InvalidField, NotThere, Stale
    registry.tenants["archivo-sur"].version                  # of the change that made it what it is

No I/O and no clock. Versions only rise, over all tenants together; a tenant that is made again under an old name
is another incarnation, so that nothing of the old one is taken for its own.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType

from ternquay.hosted.tenants.tenant import Endpoint, InvalidField, Key, Server, State, Tenant, TenantLimits, fit

TENANTS_MOST = 1000
PARTS = ("cpu", "sockets", "memory")


class NotThere(LookupError):
    """No tenant of that name, or no longer."""


class Stale(Exception):
    """The change was meant for another version than there is; nothing was changed."""

    def __init__(self, name: str, meant: int, there: int) -> None:
        super().__init__(f"{name}: the change was meant for version {meant}, there is {there}")
        self.meant, self.there = meant, there


@dataclass(slots=True, frozen=True)
class Entry:
    """A tenant as it stands; `incarnation` is the version that it was first made at."""

    tenant: Tenant
    version: int
    incarnation: int


@dataclass(slots=True, frozen=True)
class Make:
    """A tenant that is not there yet."""

    tenant: Tenant


@dataclass(slots=True, frozen=True)
class Replace:
    """All of a tenant but its state, which goes by its own change. `meant`: for that version, 0 for any."""

    tenant: Tenant
    meant: int = 0


@dataclass(slots=True, frozen=True)
class SetServers:
    name: str
    servers: tuple[Server, ...]
    meant: int = 0


@dataclass(slots=True, frozen=True)
class SetLimits:
    name: str
    limits: TenantLimits
    meant: int = 0


@dataclass(slots=True, frozen=True)
class SetKeys:
    name: str
    keys: tuple[Key, ...]
    meant: int = 0


@dataclass(slots=True, frozen=True)
class SetState:
    name: str
    state: State
    meant: int = 0


@dataclass(slots=True, frozen=True)
class Remove:
    """A tenant that is ending and has nothing open any more."""

    name: str
    meant: int = 0


Change = Make | Replace | SetServers | SetLimits | SetKeys | SetState | Remove
NO_TENANTS: Mapping[str, Entry] = MappingProxyType({})
# From which state which others may follow; what is ending does not come back.
FOLLOWS = {
    State.ACTIVE: {State.SUSPENDED, State.ENDING},
    State.SUSPENDED: {State.ACTIVE, State.ENDING},
    State.ENDING: set(),
}


@dataclass(slots=True, frozen=True)
class Registry:
    tenants: Mapping[str, Entry] = field(default_factory=lambda: NO_TENANTS)
    version: int = 0  # of the last change of any

    def changed(self, change: Change) -> "Registry":
        """The registry after that change. Raises InvalidField, NotThere or Stale, and is itself what it was."""
        if isinstance(change, Remove):
            return self._removed(change)
        tenant = self._wanted(change)
        fit(tenant)
        self._beside(tenant)
        version = self.version + 1
        incarnation = version if isinstance(change, Make) else self.tenants[tenant.name].incarnation
        entry = Entry(tenant, version, incarnation)
        return Registry(MappingProxyType({**self.tenants, tenant.name: entry}), version)

    def _wanted(self, change: Change) -> Tenant:
        """The tenant as the change would have it."""
        if isinstance(change, Make):
            if change.tenant.name in self.tenants:
                raise InvalidField("name", f"{change.tenant.name} is there already")
            if len(self.tenants) >= TENANTS_MOST:
                raise InvalidField("name", f"there are {TENANTS_MOST} tenants, which is the most")
            return change.tenant
        if isinstance(change, Replace):
            there = self._there(change.tenant.name, change.meant)
            if change.tenant.state is not there.state:
                raise InvalidField("state", "is changed by itself")
            return change.tenant
        assert not isinstance(change, Remove)
        there = self._there(change.name, change.meant)
        if isinstance(change, SetState):
            if change.state is not there.state and change.state not in FOLLOWS[there.state]:
                raise InvalidField("state", f"{change.state.value} does not follow {there.state.value}")
            return replace(there, state=change.state)
        if isinstance(change, SetServers):
            return replace(there, servers=change.servers)
        return (
            replace(there, limits=change.limits) if isinstance(change, SetLimits) else replace(there, keys=change.keys)
        )

    def _there(self, name: str, meant: int) -> Tenant:
        entry = self.tenants.get(name)
        if entry is None:
            raise NotThere(name)
        if meant and meant != entry.version:
            raise Stale(name, meant, entry.version)
        return entry.tenant

    def _removed(self, change: Remove) -> "Registry":
        there = self._there(change.name, change.meant)
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
