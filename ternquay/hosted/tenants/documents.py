"""Tenants as documents: the form that the administration API, the store and the operators' files use.

    document = convert_document(TenantDocument, value)  # from decoded JSON or TOML; raises InvalidField with the path
    tenant = tenant_from_document(document)             # validated by itself; raises InvalidField
    tenant_to_document(tenant)                          # a document again

Times are whole milliseconds in documents and whole nanoseconds in a Tenant. API keys are not part of a tenant's
document. The class names and the fields of documents stand in the API description, and so would docstrings.
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
    RuleSettings,
    Server,
    Share,
    State,
    Tenant,
    TenantLimits,
    validate,
)

MS = 1_000_000  # in nanoseconds
SEMANTICS_BY_NAME = {
    "idempotent": m.Semantics.IDEMPOTENT,
    "journalled": m.Semantics.JOURNALLED,
    "non-idempotent": m.Semantics.NON_IDEMPOTENT,
}
DEDUP_SCOPES_BY_NAME = {"all": m.DedupScope.ALL, "zone": m.DedupScope.ZONE, "cell": m.DedupScope.CELL}
SEMANTICS_NAMES = {semantics: name for name, semantics in SEMANTICS_BY_NAME.items()}
DEDUP_SCOPE_NAMES = {scope: name for name, scope in DEDUP_SCOPES_BY_NAME.items()}
ENDPOINT_PATTERN = re.compile(r"(?:\[([0-9a-fA-F:.]{2,45})\]|([0-9.]{7,15})):([0-9]{1,5})")

Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
WallClockMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=10**13)]
Fraction = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
PositiveNumber = Annotated[float, msgspec.Meta(gt=0.0, le=1e9)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10**9)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=48, pattern="^[a-z](?:[a-z0-9-]{0,46}[a-z0-9])?$")]
EndpointText = Annotated[str, msgspec.Meta(min_length=3, max_length=60, description="An address and a port.")]


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of all documents; an unknown field is an error."""


class ServerDocument(Document, frozen=True):
    name: Name
    place: EndpointText
    zone: Annotated[str, msgspec.Meta(max_length=64)] = ""
    weight: PositiveNumber = 1.0
    started_ms: WallClockMilliseconds = 0  # on the wall clock; 0: long ago, so the host is warm
    draining: bool = False


class ProfileDocument(Document, frozen=True):
    name: Name
    kind: Literal["idempotent", "journalled", "non-idempotent"]
    service_goal_ms: Count
    hard_limit_ms: Count
    scope: Literal["all", "zone", "cell"] = "all"
    memory_ms: Milliseconds = 0
    overdue_revenue: Annotated[float, msgspec.Meta(ge=0.0, le=1e9)] = 0.0


class RulesDocument(Document, frozen=True):
    drain_grace_ms: Count = 500
    cold_share: Fraction = 0.2
    warm_within_ms: Count = 60_000
    tip_multiple: PositiveNumber = 4.0
    tip_window_ms: Count = 1000


class PartDocument(Document, frozen=True):
    least: Fraction = 0.0
    most: Fraction = 1.0


class LimitsDocument(Document, frozen=True):
    txs_a_second: PositiveNumber = 500.0
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
    txs_a_second: PositiveNumber


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
    expires_in_s: Annotated[int, msgspec.Meta(ge=0, le=10**9)] = 0  # 0: it does not expire


class RotationDocument(Document, frozen=True):
    name: Name  # of the new key
    overlap_s: Annotated[int, msgspec.Meta(ge=0, le=10**7)] = 3600


DocumentT = TypeVar("DocumentT")


def convert_document(kind: type[DocumentT], value: Any, within: str = "") -> DocumentT:
    """Converts a decoded JSON or TOML value to a document of that kind.

    Raises InvalidField with the path to the invalid field; `within` is the path to the value itself.
    """
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as fault:
        text, _, path = str(fault).partition(" - at `$")
        field = ".".join(part for part in (within, path.strip(".`")) if part)
        raise InvalidField(field or "the document", text) from fault


def decode_document(kind: type[DocumentT], body: bytes) -> DocumentT:
    """Decodes a JSON text to a document of that kind. Raises InvalidField."""
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.ValidationError as fault:
        text, _, path = str(fault).partition(" - at `$")
        raise InvalidField(path.strip(".`") or "the document", text) from fault
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
        raise InvalidField("the document", f"is no JSON that can be read: {str(fault) or 'nested too deep'}") from fault


def parse_endpoint(text: str, field: str) -> Endpoint:
    """Parses ADDRESS:PORT or [ADDRESS]:PORT. Raises InvalidField with `field`."""
    found = ENDPOINT_PATTERN.fullmatch(text)
    if found is None:
        raise InvalidField(field, f"an address and a port are wanted, not {text!r:.80}")
    return Endpoint(found[1] or found[2], int(found[3]))


def format_endpoint(endpoint: Endpoint) -> str:
    """Returns the text that parse_endpoint() reads."""
    return f"[{endpoint.host}]:{endpoint.port}" if ":" in endpoint.host else f"{endpoint.host}:{endpoint.port}"


def server_from_document(document: ServerDocument, field: str) -> Server:
    return Server(
        document.name,
        parse_endpoint(document.place, f"{field}.place"),
        document.zone,
        document.weight,
        document.started_ms * MS,
        document.draining,
    )


def servers_from_documents(documents: tuple[ServerDocument, ...]) -> tuple[Server, ...]:
    return tuple(server_from_document(one, f"servers[{i}]") for i, one in enumerate(documents))


def server_to_document(server: Server) -> ServerDocument:
    return ServerDocument(
        server.name, format_endpoint(server.endpoint), server.zone, server.weight, server.started // MS, server.draining
    )


def profile_from_document(document: ProfileDocument) -> NamedProfile:
    return NamedProfile(
        document.name,
        m.Profile(
            SEMANTICS_BY_NAME[document.kind],
            DEDUP_SCOPES_BY_NAME[document.scope],
            document.memory_ms * MS,
            document.service_goal_ms * MS,
            document.hard_limit_ms * MS,
            document.overdue_revenue,
        ),
    )


def profile_to_document(named: NamedProfile) -> ProfileDocument:
    profile = named.profile
    return ProfileDocument(
        named.name,
        SEMANTICS_NAMES[profile.semantics],  # type: ignore[arg-type]
        profile.service_goal // MS,
        profile.hard_limit // MS,
        DEDUP_SCOPE_NAMES[profile.dedup_scope],  # type: ignore[arg-type]
        profile.dedup_window // MS,
        profile.overdue_revenue,
    )


def limits_from_document(document: LimitsDocument) -> TenantLimits:
    cpu, sockets, memory = (
        Guarantee(part.least, part.most) for part in (document.cpu, document.sockets, document.memory)
    )
    return TenantLimits(
        document.txs_a_second,
        document.burst,
        document.open_txs,
        document.held_bytes,
        document.clients,
        document.host_connections,
        cpu,
        sockets,
        memory,
    )


def limits_to_document(limits: TenantLimits) -> LimitsDocument:
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


def rules_from_document(document: RulesDocument) -> RuleSettings:
    return RuleSettings(
        document.drain_grace_ms * MS,
        document.cold_share,
        document.warm_within_ms * MS,
        document.tip_multiple,
        document.tip_window_ms * MS,
    )


def rules_to_document(rules: RuleSettings) -> RulesDocument:
    return RulesDocument(
        rules.drain_grace // MS, rules.cold_share, rules.warm_within // MS, rules.tip_multiple, rules.tip_window // MS
    )


def tenant_from_document(document: TenantDocument) -> Tenant:
    """Returns the tenant, validated by itself. Raises InvalidField for the first invalid field."""
    tenant = Tenant(
        document.name,
        tuple(parse_endpoint(one, f"listeners[{i}]") for i, one in enumerate(document.listeners)),
        servers_from_documents(document.servers),
        tuple(map(profile_from_document, document.profiles)),
        rules_from_document(document.rules),
        limits_from_document(document.limits),
        tuple(Share(one.name, one.txs_a_second) for one in document.shares),
        source=parse_endpoint(document.source, "source") if document.source is not None else None,
    )
    validate(tenant)
    return tenant


def tenant_to_document(tenant: Tenant) -> TenantDocument:
    return TenantDocument(
        tenant.name,
        tuple(map(format_endpoint, tenant.listeners)),
        tuple(map(profile_to_document, tenant.profiles)),
        tuple(map(server_to_document, tenant.servers)),
        format_endpoint(tenant.source) if tenant.source else None,
        rules_to_document(tenant.rules),
        limits_to_document(tenant.limits),
        tuple(ShareDocument(one.name, one.txs_a_second) for one in tenant.shares),
    )


# ---- stored form: with the API keys (by their digests) and the state ----


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


def to_json_value(value: Any) -> Any:
    """Returns the value as JSON decoding would give it: dicts and lists, no tuples or documents."""
    return msgspec.json.decode(msgspec.json.encode(value))


def parse_state(name: str) -> State:
    """Returns the state of that name. Raises ValueError."""
    return State(name)
