"""The configuration of one tenant: listeners, cache hosts, profiles, rules, limits and API keys, and its state.

A *tenant* is a hosted archive; what the configuration of a single balancer calls tenants are the *shares* of one.
Everything here is an immutable value: a change makes a new one. Times are whole nanoseconds, sizes are bytes.
"""

import re
from dataclasses import dataclass
from enum import Enum
from ipaddress import ip_address

from ternquay import model as m

NAME_PATTERN = re.compile(r"[a-z](?:[a-z0-9-]{0,46}[a-z0-9])?")
KEY_DIGEST_BYTES = 32  # an API key is stored as its digest only
MAX_PROFILES = 64
MAX_SERVERS = 1024
MAX_LISTENERS = 16
MAX_KEYS = 64
MAX_SHARES = 256


class State(Enum):
    """The state of a tenant."""

    ACTIVE = "active"
    SUSPENDED = "suspended"  # new transactions are rolled back at once with a wait, open ones are finished
    ENDING = "ending"  # it drains and is removed after that


class Scope(Enum):
    """What an API key permits. A key of scope OPERATOR belongs to no tenant."""

    OPERATOR = "operator"
    ADMINISTRATOR = "administrator"
    READER = "reader"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An IP address and a port."""

    host: str
    port: int


@dataclass(slots=True, frozen=True)
class Server:
    """One cache host under the tenant's own name for it. Two entries with the same endpoint are the same host.

    `started` is the wall-clock time in nanoseconds at which the host began to fill its cache, 0 for long ago. Until it
    is warm, it gets less load, by rule 4. A host that is `draining` gets no new transactions.
    """

    name: str
    endpoint: Endpoint
    zone: str = ""
    weight: float = 1.0
    started: int = 0
    draining: bool = False


@dataclass(slots=True, frozen=True)
class NamedProfile:
    """A profile under the name that clients use for it."""

    name: str
    profile: m.Profile


@dataclass(slots=True, frozen=True)
class RuleSettings:
    """The settings of rules 3 (drains) and 4 (cold hosts)."""

    drain_grace: int
    cold_share: float
    warm_within: int
    tip_multiple: float
    tip_window: int


@dataclass(slots=True, frozen=True)
class Guarantee:
    """A tenant's part of a resource, as fractions of the process.

    `least` is guaranteed; up to `most` is lent while other tenants leave it unused.
    """

    least: float
    most: float


@dataclass(slots=True, frozen=True)
class TenantLimits:
    """What a tenant may use of the process."""

    txs_a_second: float
    burst: int
    open_txs: int
    held: int  # bytes of incomplete and unanswered requests
    clients: int
    host_connections: int
    cpu: Guarantee
    sockets: Guarantee
    memory: Guarantee


@dataclass(slots=True, frozen=True)
class Share:
    """A named part of a tenant's traffic with its own transaction rate."""

    name: str
    txs_a_second: float


@dataclass(slots=True, frozen=True)
class ApiKey:
    """A bearer token, stored by its digest. With `until` 0 it does not expire. Times are wall-clock nanoseconds."""

    name: str
    digest: bytes
    scope: Scope
    since: int
    until: int = 0


@dataclass(slots=True, frozen=True)
class Tenant:
    """The whole configuration of a tenant."""

    name: str
    listeners: tuple[Endpoint, ...]
    servers: tuple[Server, ...]
    profiles: tuple[NamedProfile, ...]
    rules: RuleSettings
    limits: TenantLimits
    shares: tuple[Share, ...] = ()
    keys: tuple[ApiKey, ...] = ()
    state: State = State.ACTIVE
    source: Endpoint | None = None  # of the discovery service that lists the cache hosts, instead of `servers`


class InvalidField(ValueError):
    """The configuration is invalid, by itself or beside other tenants; `field` is the path to the offending field."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field, self.reason = field, reason


def check_name(name: str, field: str) -> None:
    if not NAME_PATTERN.fullmatch(name):
        raise InvalidField(field, f"a name of up to 48 small letters, digits and dashes is wanted, not {name!r:.60}")


def check_count(count: int, field: str, least: int, most: int) -> None:
    if not least <= count <= most:
        raise InvalidField(field, f"from {least} to {most} are wanted, not {count}")


def check_unique(names: list[str], field: str) -> None:
    """Checks that no name occurs twice."""
    seen: set[str] = set()
    for i, name in enumerate(names):
        if name in seen:
            raise InvalidField(f"{field}[{i}]", f"{name} stands there already")
        seen.add(name)


def check_endpoint(endpoint: Endpoint, field: str) -> None:
    try:
        ip_address(endpoint.host)
    except ValueError as fault:
        raise InvalidField(f"{field}.host", f"an address is wanted, not {endpoint.host!r:.60}") from fault
    if not 0 < endpoint.port < 65536:
        raise InvalidField(f"{field}.port", f"a port is wanted, not {endpoint.port}")


def check_positive(value: float, field: str) -> None:
    # Written this way round so that NaN is refused too.
    if not 0 < value < float("inf"):
        raise InvalidField(field, f"more than nought is wanted, not {value}")


def validate(tenant: Tenant) -> None:
    """Checks a tenant by itself. Raises InvalidField for the first invalid field."""
    check_name(tenant.name, "name")
    check_count(len(tenant.listeners), "listeners", 1, MAX_LISTENERS)
    for i, listener in enumerate(tenant.listeners):
        check_endpoint(listener, f"listeners[{i}]")
    check_count(len(tenant.servers), "servers", 0, MAX_SERVERS)
    for i, server in enumerate(tenant.servers):
        check_name(server.name, f"servers[{i}].name")
        check_endpoint(server.endpoint, f"servers[{i}].place")
        check_positive(server.weight, f"servers[{i}].weight")
        if server.started < 0:
            raise InvalidField(f"servers[{i}].started", f"a time is wanted, not {server.started}")
    check_unique([server.name for server in tenant.servers], "servers")
    check_unique([f"{server.endpoint.host}:{server.endpoint.port}" for server in tenant.servers], "servers")
    if tenant.source is not None:
        check_endpoint(tenant.source, "source")
        if tenant.servers:
            raise InvalidField("servers", "are listed by the source")
    _validate_profiles(tenant)
    _validate_rules(tenant.rules)
    _validate_limits(tenant.limits)
    check_count(len(tenant.shares), "shares", 0, MAX_SHARES)
    for i, share in enumerate(tenant.shares):
        check_positive(share.txs_a_second, f"shares[{i}].txs_a_second")
    check_unique([share.name for share in tenant.shares], "shares")
    _validate_keys(tenant.keys)


def _validate_profiles(tenant: Tenant) -> None:
    check_count(len(tenant.profiles), "profiles", 1, MAX_PROFILES)
    for i, named in enumerate(tenant.profiles):
        profile, field = named.profile, f"profiles[{i}]"
        check_name(named.name, f"{field}.name")
        check_positive(profile.service_goal, f"{field}.service_goal")
        if profile.hard_limit < profile.service_goal:
            raise InvalidField(f"{field}.hard_limit", "is before the service goal")
        if profile.semantics is m.Semantics.JOURNALLED and profile.dedup_window <= 0:
            raise InvalidField(f"{field}.memory", "a journalled profile needs the time for which its mark is known")
    check_unique([one.name for one in tenant.profiles], "profiles")


def _validate_rules(rules: RuleSettings) -> None:
    for name in ("drain_grace", "warm_within", "tip_multiple", "tip_window"):
        check_positive(getattr(rules, name), f"rules.{name}")
    if not 0 < rules.cold_share <= 1:
        raise InvalidField("rules.cold_share", f"a part of one is wanted, not {rules.cold_share}")


def _validate_limits(limits: TenantLimits) -> None:
    for name in ("txs_a_second", "burst", "open_txs", "held", "clients", "host_connections"):
        check_positive(getattr(limits, name), f"limits.{name}")
    for name in ("cpu", "sockets", "memory"):
        guarantee: Guarantee = getattr(limits, name)
        if not 0 <= guarantee.least <= guarantee.most <= 1 or guarantee.most <= 0:
            raise InvalidField(
                f"limits.{name}", f"0 <= least <= most <= 1 is wanted, not {guarantee.least} and {guarantee.most}"
            )


def _validate_keys(keys: tuple[ApiKey, ...]) -> None:
    check_count(len(keys), "keys", 0, MAX_KEYS)
    check_unique([key.name for key in keys], "keys")
    for i, key in enumerate(keys):
        check_name(key.name, f"keys[{i}].name")
        if len(key.digest) != KEY_DIGEST_BYTES:
            raise InvalidField(f"keys[{i}].digest", f"{KEY_DIGEST_BYTES} bytes are wanted")
        if key.scope is Scope.OPERATOR:
            raise InvalidField(f"keys[{i}].scope", "a tenant has no operator's key")
        if key.until and key.until <= key.since:
            raise InvalidField(f"keys[{i}].until", "is not after it begins")
