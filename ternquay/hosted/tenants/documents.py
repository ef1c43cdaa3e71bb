"""Tenants as documents: what the administration API, the store and the operators' files hold, and how they are read.

    tenant = read(TenantDocument, told)  # a decoded JSON or TOML object -> a document; raises InvalidField with a path
    fit_for = tenant_of(document)  # -> a Tenant, checked by itself; raises InvalidField
    document_of(tenant)  # -> a document again

Times are whole milliseconds here and whole nanoseconds in a Tenant. Keys are no part of a tenant's document.
"""

import re
from typing import Annotated, Any, Literal, TypeVar

import msgspec

from ternquay import model as m
from ternquay.hosted.tenants.tenant import (
    Endpoint,
    Guarantee,
    InvalidField,
    NamedProfile,
    RuleFigures,
    Server,
    Share,
    State,
    Tenant,
    TenantLimits,
    fit,
)

MS = 1_000_000
KINDS = {
    "idempotent": m.Semantics.IDEMPOTENT,
    "journalled": m.Semantics.JOURNALLED,
    "non-idempotent": m.Semantics.NON_IDEMPOTENT,
}
SCOPES = {"all": m.DedupScope.ALL, "zone": m.DedupScope.ZONE, "cell": m.DedupScope.CELL}
KIND_WORDS = {kind: word for word, kind in KINDS.items()}
SCOPE_WORDS = {scope: word for word, scope in SCOPES.items()}
WHERE = re.compile(r"(?:\[([0-9a-fA-F:.]{2,45})\]|([0-9.]{7,15})):([0-9]{1,5})")

Millis = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
Wall = Annotated[int, msgspec.Meta(ge=0, le=10**13)]
Part = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Amount = Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10**9)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=48, pattern="^[a-z](?:[a-z0-9-]{0,46}[a-z0-9])?$")]
EndpointText = Annotated[str, msgspec.Meta(min_length=3, max_length=60, description="An address and a port.")]


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The base of all: what is not known is not passed over in silence."""


class ServerDocument(Document, frozen=True):
    name: Name
    place: EndpointText
    zone: Annotated[str, msgspec.Meta(max_length=64)] = ""
    weight: Amount = 1.0
    started_ms: Wall = 0  # wall-clock; 0 for long ago, that is warm
    draining: bool = False


class ProfileDocument(Document, frozen=True):
    name: Name
    kind: Literal["idempotent", "journalled", "non-idempotent"]
    service_goal_ms: Count
    hard_limit_ms: Count
    scope: Literal["all", "zone", "cell"] = "all"
    memory_ms: Millis = 0
    overdue_revenue: Annotated[float, msgspec.Meta(ge=0.0, le=1e9)] = 0.0


class RulesDocument(Document, frozen=True):
    drain_grace_ms: Count = 500
    cold_share: Part = 0.2
    warm_within_ms: Count = 60_000
    tip_multiple: Amount = 4.0
    tip_window_ms: Count = 1000


class PartDocument(Document, frozen=True):
    least: Part = 0.0
    most: Part = 1.0


class LimitsDocument(Document, frozen=True):
    txs_a_second: Amount = 500.0
    burst: Count = 500
    open_txs: Count = 2000
    held_bytes: Count = 8 << 20
    clients: Count = 200
    host_connections: Count = 200
    cpu: PartDocument = PartDocument()
    sockets: PartDocument = PartDocument()
    memory: PartDocument = PartDocument()


class ShareDocument(Document, frozen=True):
    name: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    txs_a_second: Amount


class TenantDocument(Document, frozen=True):
    name: Name
    listeners: tuple[EndpointText, ...]
    profiles: tuple[ProfileDocument, ...]
    servers: tuple[ServerDocument, ...] = ()
    source: EndpointText | None = None
    rules: RulesDocument = RulesDocument()
    limits: LimitsDocument = LimitsDocument()
    shares: tuple[ShareDocument, ...] = ()


class ServersDocument(Document, frozen=True):
    servers: tuple[ServerDocument, ...]


class ProfilesDocument(Document, frozen=True):
    profiles: tuple[ProfileDocument, ...]


class StateDocument(Document, frozen=True):
    state: Literal["active", "suspended", "ending"]


class KeyDocument(Document, frozen=True):
    name: Name
    scope: Literal["administrator", "reader"]
    expires_in_s: Annotated[int, msgspec.Meta(ge=0, le=10**9)] = 0  # 0: it does not


class RotationDocument(Document, frozen=True):
    name: Name  # of the new key
    overlap_s: Annotated[int, msgspec.Meta(ge=0, le=10**7)] = 3600


Read = TypeVar("Read")


def read(kind: type[Read], told: Any, within: str = "") -> Read:
    """An object as that kind of document. Raises InvalidField with the path to the field at fault."""
    try:
        return msgspec.convert(told, kind)
    except msgspec.ValidationError as fault:
        text, _, path = str(fault).partition(" - at `$")
        field = ".".join(part for part in (within, path.strip(".`")) if part)
        raise InvalidField(field or "the document", text) from fault


def decoded(kind: type[Read], body: bytes) -> Read:
    """The same, from the bytes of a JSON text. Raises InvalidField."""
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.ValidationError as fault:
        text, _, path = str(fault).partition(" - at `$")
        raise InvalidField(path.strip(".`") or "the document", text) from fault
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        raise InvalidField("the document", f"is no JSON that can be read: {str(fault) or 'nested too deep'}") from fault


def parse_endpoint(text: str, field: str) -> Endpoint:
    found = WHERE.fullmatch(text)
    if found is None:
        raise InvalidField(field, f"an address and a port are wanted, not {text!r:.80}")
    return Endpoint(found[1] or found[2], int(found[3]))


def format_endpoint(place: Endpoint) -> str:
    return f"[{place.host}]:{place.port}" if ":" in place.host else f"{place.host}:{place.port}"


def server_of(told: ServerDocument, field: str) -> Server:
    return Server(
        told.name,
        parse_endpoint(told.place, f"{field}.place"),
        told.zone,
        told.weight,
        told.started_ms * MS,
        told.draining,
    )


def servers_of(told: tuple[ServerDocument, ...]) -> tuple[Server, ...]:
    return tuple(server_of(one, f"servers[{i}]") for i, one in enumerate(told))


def server_document(server: Server) -> ServerDocument:
    return ServerDocument(
        server.name, format_endpoint(server.endpoint), server.zone, server.weight, server.started // MS, server.draining
    )


def profile_of(told: ProfileDocument) -> NamedProfile:
    return NamedProfile(
        told.name,
        m.Profile(
            KINDS[told.kind],
            SCOPES[told.scope],
            told.memory_ms * MS,
            told.service_goal_ms * MS,
            told.hard_limit_ms * MS,
            told.overdue_revenue,
        ),
    )


def profile_document(one: NamedProfile) -> ProfileDocument:
    p = one.profile
    return ProfileDocument(
        one.name,
        KIND_WORDS[p.semantics],  # type: ignore[arg-type]
        p.service_goal // MS,
        p.hard_limit // MS,
        SCOPE_WORDS[p.dedup_scope],  # type: ignore[arg-type]
        p.dedup_window // MS,
        p.overdue_revenue,
    )


def limits_of(told: LimitsDocument) -> TenantLimits:
    cpu, sockets, memory = (Guarantee(part.least, part.most) for part in (told.cpu, told.sockets, told.memory))
    return TenantLimits(
        told.txs_a_second,
        told.burst,
        told.open_txs,
        told.held_bytes,
        told.clients,
        told.host_connections,
        cpu,
        sockets,
        memory,
    )


def limits_document(limits: TenantLimits) -> LimitsDocument:
    cpu, sockets, memory = (PartDocument(part.least, part.most) for part in (limits.cpu, limits.sockets, limits.memory))
    return LimitsDocument(
        limits.txs_a_second,
        limits.burst,
        limits.open_txs,
        limits.held,
        limits.clients,
        limits.host_connections,
        cpu,
        sockets,
        memory,
    )


def rules_of(told: RulesDocument) -> RuleFigures:
    return RuleFigures(
        told.drain_grace_ms * MS, told.cold_share, told.warm_within_ms * MS, told.tip_multiple, told.tip_window_ms * MS
    )


def rules_document(rules: RuleFigures) -> RulesDocument:
    return RulesDocument(
        rules.drain_grace // MS, rules.cold_share, rules.warm_within // MS, rules.tip_multiple, rules.tip_window // MS
    )


def tenant_of(told: TenantDocument) -> Tenant:
    """Raises InvalidField at the first thing that is wrong with it by itself."""
    tenant = Tenant(
        told.name,
        tuple(parse_endpoint(one, f"listeners[{i}]") for i, one in enumerate(told.listeners)),
        servers_of(told.servers),
        tuple(map(profile_of, told.profiles)),
        rules_of(told.rules),
        limits_of(told.limits),
        tuple(Share(one.name, one.txs_a_second) for one in told.shares),
        source=parse_endpoint(told.source, "source") if told.source is not None else None,
    )
    fit(tenant)
    return tenant


def document_of(tenant: Tenant) -> TenantDocument:
    return TenantDocument(
        tenant.name,
        tuple(map(format_endpoint, tenant.listeners)),
        tuple(map(profile_document, tenant.profiles)),
        tuple(map(server_document, tenant.servers)),
        format_endpoint(tenant.source) if tenant.source else None,
        rules_document(tenant.rules),
        limits_document(tenant.limits),
        tuple(ShareDocument(one.name, one.txs_a_second) for one in tenant.shares),
    )


# ---- as the store keeps it: with keys (by their digests) and state ----


class StoredKey(Document, frozen=True):
    name: str
    digest: bytes
    scope: str
    since: int
    until: int


class StoredTenant(Document, frozen=True):
    tenant: TenantDocument
    state: str
    keys: tuple[StoredKey, ...]


def plain(what: Any) -> Any:
    """As it comes back from JSON: objects and lists, no tuples."""
    return msgspec.json.decode(msgspec.json.encode(what))


def state_of(word: str) -> State:
    return State(word)
