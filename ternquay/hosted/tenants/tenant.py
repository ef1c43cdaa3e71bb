"""What one tenant is: where it listens, its cache hosts, profiles, rules, limits and keys, and in which state.

A *tenant* is a hosted archive; what one deployment's own settings call tenants are its *shares*. All of it is
values: a change makes another one. Times are whole nanoseconds, sizes bytes.
"""

import re
from dataclasses import dataclass
from enum import Enum
from ipaddress import ip_address

from ternquay import model as m

NAME = re.compile(r"[a-z](?:[a-z0-9-]{0,46}[a-z0-9])?")
DIGEST = 32  # of a key: the key itself is never kept
PROFILES_MOST, HOSTS_MOST, LISTENERS_MOST, KEYS_MOST, SHARES_MOST = 64, 1024, 16, 64, 256


class State(Enum):
    ACTIVE = "active"
    SUSPENDED = "suspended"  # new transactions are rolled back at once with a wait, open ones finished
    ENDING = "ending"  # drained, and gone after that


class Scope(Enum):
    """What a key allows; an operator's belongs to no tenant."""

    OPERATOR = "operator"
    ADMINISTRATOR = "administrator"
    READER = "reader"


@dataclass(slots=True, frozen=True)
class Endpoint:
    host: str
    port: int


@dataclass(slots=True, frozen=True)
class Server:
    """One cache host by the tenant's own name for it. Two that have one place are one machine.

    `started` is when its copies began to be filled, in wall-clock nanoseconds, 0 for long ago: till it is warm
    it is spared as rule 4 has it. What is `draining` gets nothing new.
    """

    name: str
    endpoint: Endpoint
    zone: str = ""
    weight: float = 1.0
    started: int = 0
    draining: bool = False


@dataclass(slots=True, frozen=True)
class NamedProfile:
    name: str
    profile: m.Profile


@dataclass(slots=True, frozen=True)
class RuleFigures:
    """The figures of rules 3 and 4."""

    drain_grace: int
    cold_share: float
    warm_within: int
    tip_multiple: float
    tip_window: int


@dataclass(slots=True, frozen=True)
class Guarantee:
    """Parts of the process: what is always there for a tenant, and the most that it gets when others leave room."""

    least: float
    most: float


@dataclass(slots=True, frozen=True)
class TenantLimits:
    txs_a_second: float
    burst: int
    open_txs: int
    held: int
    clients: int
    host_connections: int
    cpu: Guarantee
    sockets: Guarantee
    memory: Guarantee


@dataclass(slots=True, frozen=True)
class Share:
    name: str
    txs_a_second: float


@dataclass(slots=True, frozen=True)
class Key:
    """A bearer token by its digest; with `until` nought it does not expire."""

    name: str
    digest: bytes
    scope: Scope
    since: int
    until: int = 0


@dataclass(slots=True, frozen=True)
class Tenant:
    name: str
    listeners: tuple[Endpoint, ...]
    servers: tuple[Server, ...]
    profiles: tuple[NamedProfile, ...]
    rules: RuleFigures
    limits: TenantLimits
    shares: tuple[Share, ...] = ()
    keys: tuple[Key, ...] = ()
    state: State = State.ACTIVE
    source: Endpoint | None = None  # where the list of cache hosts is followed, instead of `servers`


class InvalidField(ValueError):
    """The configuration is invalid, by itself or beside other tenants; `field` is the path to the offending field."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field, self.reason = field, reason


def named(name: str, field: str) -> None:
    if not NAME.fullmatch(name):
        raise InvalidField(field, f"a name of up to 48 small letters, digits and dashes is wanted, not {name!r:.60}")


def counted(many: int, field: str, least: int, most: int) -> None:
    if not least <= many <= most:
        raise InvalidField(field, f"from {least} to {most} are wanted, not {many}")


def once(names: list[str], field: str) -> None:
    """Each name stands once."""
    seen: set[str] = set()
    for i, name in enumerate(names):
        if name in seen:
            raise InvalidField(f"{field}[{i}]", f"{name} stands there already")
        seen.add(name)


def check_endpoint(place: Endpoint, field: str) -> None:
    try:
        ip_address(place.host)
    except ValueError as fault:
        raise InvalidField(f"{field}.host", f"an address is wanted, not {place.host!r:.60}") from fault
    if not 0 < place.port < 65536:
        raise InvalidField(f"{field}.port", f"a port is wanted, not {place.port}")


def positive(value: float, field: str) -> None:
    # Written so that what is no number at all is not positive either.
    if not 0 < value < float("inf"):
        raise InvalidField(field, f"more than nought is wanted, not {value}")


def fit(tenant: Tenant) -> None:
    """Raises InvalidField at the first thing that is wrong with a tenant by itself."""
    named(tenant.name, "name")
    counted(len(tenant.listeners), "listeners", 1, LISTENERS_MOST)
    for i, listener in enumerate(tenant.listeners):
        check_endpoint(listener, f"listeners[{i}]")
    counted(len(tenant.servers), "servers", 0, HOSTS_MOST)
    for i, server in enumerate(tenant.servers):
        named(server.name, f"servers[{i}].name")
        check_endpoint(server.endpoint, f"servers[{i}].place")
        positive(server.weight, f"servers[{i}].weight")
        if server.started < 0:
            raise InvalidField(f"servers[{i}].started", f"a time is wanted, not {server.started}")
    once([server.name for server in tenant.servers], "servers")
    once([f"{server.endpoint.host}:{server.endpoint.port}" for server in tenant.servers], "servers")
    if tenant.source is not None:
        check_endpoint(tenant.source, "source")
        if tenant.servers:
            raise InvalidField("servers", "are listed by the source")
    _fit_profiles(tenant)
    _fit_rules(tenant.rules)
    _fit_limits(tenant.limits)
    counted(len(tenant.shares), "shares", 0, SHARES_MOST)
    for i, share in enumerate(tenant.shares):
        positive(share.txs_a_second, f"shares[{i}].txs_a_second")
    once([share.name for share in tenant.shares], "shares")
    _fit_keys(tenant.keys)


def _fit_profiles(tenant: Tenant) -> None:
    counted(len(tenant.profiles), "profiles", 1, PROFILES_MOST)
    for i, named_one in enumerate(tenant.profiles):
        profile, field = named_one.profile, f"profiles[{i}]"
        named(named_one.name, f"{field}.name")
        positive(profile.service_goal, f"{field}.service_goal")
        if profile.hard_limit < profile.service_goal:
            raise InvalidField(f"{field}.hard_limit", "is before the service goal")
        if profile.semantics is m.Semantics.JOURNALLED and profile.dedup_window <= 0:
            raise InvalidField(f"{field}.memory", "a journalled profile needs the time for which its mark is known")
    once([one.name for one in tenant.profiles], "profiles")


def _fit_rules(rules: RuleFigures) -> None:
    for name in ("drain_grace", "warm_within", "tip_multiple", "tip_window"):
        positive(getattr(rules, name), f"rules.{name}")
    if not 0 < rules.cold_share <= 1:
        raise InvalidField("rules.cold_share", f"a part of one is wanted, not {rules.cold_share}")


def _fit_limits(limits: TenantLimits) -> None:
    for name in ("txs_a_second", "burst", "open_txs", "held", "clients", "host_connections"):
        positive(getattr(limits, name), f"limits.{name}")
    for name in ("cpu", "sockets", "memory"):
        part: Guarantee = getattr(limits, name)
        if not 0 <= part.least <= part.most <= 1 or part.most <= 0:
            raise InvalidField(f"limits.{name}", f"0 <= least <= most <= 1 is wanted, not {part.least} and {part.most}")


def _fit_keys(keys: tuple[Key, ...]) -> None:
    counted(len(keys), "keys", 0, KEYS_MOST)
    once([key.name for key in keys], "keys")
    for i, key in enumerate(keys):
        named(key.name, f"keys[{i}].name")
        if len(key.digest) != DIGEST:
            raise InvalidField(f"keys[{i}].digest", f"{DIGEST} bytes are wanted")
        if key.scope is Scope.OPERATOR:
            raise InvalidField(f"keys[{i}].scope", "a tenant has no operator's key")
        if key.until and key.until <= key.since:
            raise InvalidField(f"keys[{i}].until", "is not after it begins")
