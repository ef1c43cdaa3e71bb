"""The operators' file of a hosted service, decoded and checked before anything starts."""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from ipaddress import ip_address
from pathlib import Path
from random import Random
from typing import Annotated, Any, Literal

import msgspec

from ternquay.hosted.tenants.documents import (
    Document,
    EndpointText,
    Milliseconds,
    Name,
    TenantDocument,
    WallClockMilliseconds,
    convert_document,
    parse_endpoint,
    parse_state,
    tenant_from_document,
    to_json_value,
)
from ternquay.hosted.tenants.registry import CreateTenant, Registry
from ternquay.hosted.tenants.runtime import ProcessConfig
from ternquay.hosted.tenants.tenant import ApiKey, Endpoint, InvalidField, Scope, Tenant, check_endpoint
from ternquay.net.config import descriptor_limit
from ternquay.peers.frames import MIN_KEY_BYTES

MS = 1_000_000
FELLOWS_MOST = 15
Bounded = Annotated[int, msgspec.Meta(ge=1, le=10**6)]


class ServiceConfigError(ValueError):
    """The file can't be used; the text names it and the field."""


class ProcessDocument(Document, frozen=True):
    sockets: Annotated[int, msgspec.Meta(ge=64, le=100_000)] = 1024
    memory_mb: Annotated[int, msgspec.Meta(ge=64)] = 256  # for what tenants have open, not the program's own
    balancers: Bounded = 1
    number: Annotated[int, msgspec.Meta(ge=0)] = 0
    seed: Annotated[int, msgspec.Meta(ge=0)] | None = None


class StoreDocument(Document, frozen=True):
    path: Annotated[str, msgspec.Meta(min_length=1)]


class TlsDocument(Document, frozen=True):
    certificate: str
    key: str
    clients_ca: str = ""  # where clients have to show a certificate by one of these


class OperatorDocument(Document, frozen=True):
    name: Name
    digest: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
    since_ms: WallClockMilliseconds = 0
    until_ms: WallClockMilliseconds = 0


class ApiDocument(Document, frozen=True):
    listen: str
    operators: tuple[OperatorDocument, ...] = ()
    tls: TlsDocument | None = None
    calls_a_second: Annotated[float, msgspec.Meta(gt=0, le=10_000)] = 50.0
    burst: Bounded = 100
    connections: Bounded = 32
    body_bytes: Bounded = 1 << 19
    idle_ms: Milliseconds = 10_000


class LogDocument(Document, frozen=True):
    json: bool = True
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class ListedTenantDocument(TenantDocument, frozen=True):
    """A tenant in the file, where there is no store."""

    state: Literal["active", "suspended"] = "active"


class MemberDocument(Document, frozen=True):
    name: Name
    place: EndpointText


class PeersDocument(Document, frozen=True):
    """The fleet that this process is a member of (docs/fleet-use.md)."""

    fleet: Name
    me: Name
    key_file: Annotated[str, msgspec.Meta(min_length=1)]
    members: tuple[MemberDocument, ...]
    listen: EndpointText | None = None  # where the others' words come in, if not at its own place in `members`
    address: str = ""  # of this machine; what tenants' listeners on 0.0.0.0 are bound to
    lease_ms: Annotated[int, msgspec.Meta(ge=300, le=60_000)] = 1000
    alone: Literal["stop", "go-on"] = "stop"
    log_kept: Annotated[int, msgspec.Meta(ge=16, le=100_000)] = 1024  # entries, for who comes back soon


class ServiceDocument(Document, frozen=True):
    name: str = "ternquay"
    process: ProcessDocument = ProcessDocument()
    store: StoreDocument | None = None
    api: ApiDocument | None = None
    log: LogDocument = LogDocument()
    tenants: tuple[ListedTenantDocument, ...] = ()
    peers: PeersDocument | None = None


@dataclass(slots=True, frozen=True)
class FleetConfig:
    """The fleet as the file has it; `lease` in nanoseconds."""

    fleet: str
    own_name: str
    endpoints: Mapping[str, Endpoint]
    listen: Endpoint
    key: bytes
    lease_ns: int
    serve_without_majority: bool
    address: str
    retained_log_entries: int


class ServiceConfig(msgspec.Struct, frozen=True):
    """The file as it is used."""

    path: str
    name: str
    process: ProcessConfig
    store: str
    api: ApiDocument | None
    listen: Endpoint | None
    operators: tuple[ApiKey, ...]
    log: LogDocument
    registry: Registry  # of the file, where there is no store
    fellows: FleetConfig | None = None


def read_tables(path: Path) -> dict[str, Any]:
    """Raises ServiceConfigError."""
    try:
        text = path.read_text(encoding="utf-8")
        told = tomllib.loads(text)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as fault:
        raise ServiceConfigError(f"{path}: {fault}") from fault
    # Against a file that is half written: cut off between two tables it is TOML, and all that it lacks would be ended.
    lines = [line for line in (line.partition("#")[0].strip() for line in text.splitlines()) if line]
    if not lines or lines[-1] != "[end]":
        raise ServiceConfigError(f"{path}: end: the last line is not [end], so the file may be cut off")
    del told["end"]
    return told


def read_service(path: Path) -> ServiceConfig:
    """Raises ServiceConfigError."""
    try:
        return _service(path, convert_document(ServiceDocument, read_tables(path)))
    except InvalidField as fault:
        raise ServiceConfigError(f"{path}: {fault.field}: {fault.reason}") from fault


def _service(path: Path, told: ServiceDocument) -> ServiceConfig:
    if told.store is not None and told.tenants:
        raise InvalidField("tenants", "stand in the store where there is one; `ternquay admin apply` brings them there")
    if told.api is not None and told.store is None:
        raise InvalidField("api", "a store is wanted, as what is acknowledged has to last")
    fellows = _fellows(path, told)
    return ServiceConfig(
        path=str(path),
        name=told.name,
        process=_process(told.process, fellows),
        fellows=fellows,
        store=_beside(path, told.store),
        api=told.api,
        listen=_listen(path, told.api),
        operators=_operators(told.api),
        log=told.log,
        registry=registry_of(told.tenants),
    )


def _fellows(path: Path, told: ServiceDocument) -> FleetConfig | None:
    peers = told.peers
    if peers is None:
        return None
    if told.store is None:
        raise InvalidField("peers", "a store is wanted, as what is agreed on has to last")
    if (told.process.balancers, told.process.number) != (1, 0):
        raise InvalidField("process.balancers", "is how many members there are, where there are peers")
    places: dict[str, Endpoint] = {}
    for i, one in enumerate(peers.members):
        place = parse_endpoint(one.place, f"peers.members[{i}].place")
        check_endpoint(place, f"peers.members[{i}].place")
        if one.name in places:
            raise InvalidField(f"peers.members[{i}].name", f"{one.name} stands there twice")
        if place in places.values():
            raise InvalidField(f"peers.members[{i}].place", "another member has it")
        places[one.name] = place
    if peers.me not in places:
        raise InvalidField("peers.me", f"{peers.me} is none of the members")
    if len(places) > FELLOWS_MOST:
        raise InvalidField(
            "peers.members", f"{FELLOWS_MOST} members are the most, as each is in every round of the leader's"
        )
    listen = parse_endpoint(peers.listen, "peers.listen") if peers.listen is not None else places[peers.me]
    check_endpoint(listen, "peers.listen")
    try:
        address = str(ip_address(peers.address)) if peers.address else ""
    except ValueError as fault:
        raise InvalidField("peers.address", "an address is wanted") from fault
    return FleetConfig(
        peers.fleet,
        peers.me,
        places,
        listen,
        _key(path, peers),
        peers.lease_ms * MS,
        peers.alone == "go-on",
        address,
        peers.log_kept,
    )


def _key(path: Path, told: PeersDocument) -> bytes:
    try:
        key = (path.parent / told.key_file).read_bytes().strip()
    except OSError as fault:
        raise InvalidField("peers.key_file", f"{told.key_file}: {fault.strerror}") from fault
    if len(key) < MIN_KEY_BYTES:
        raise InvalidField("peers.key_file", f"{MIN_KEY_BYTES} bytes at least are wanted")
    return key


def _process(told: ProcessDocument, fellows: FleetConfig | None) -> ProcessConfig:
    if fellows is not None:
        told = msgspec.structs.replace(
            told, balancers=len(fellows.endpoints), number=sorted(fellows.endpoints).index(fellows.own_name)
        )
    if told.number >= told.balancers:
        raise InvalidField("process.number", f"there are {told.balancers} balancers, from 0")
    seed = told.seed if told.seed is not None else Random().getrandbits(64)
    return ProcessConfig(min(told.sockets, descriptor_limit()), told.memory_mb, told.balancers, told.number, seed)


def _beside(path: Path, told: StoreDocument | None) -> str:
    """A path that is not absolute is meant from where the file lies."""
    return str(path.parent / told.path) if told is not None else ""


def _listen(path: Path, told: ApiDocument | None) -> Endpoint | None:
    if told is None:
        return None
    place = parse_endpoint(told.listen, "api.listen")
    check_endpoint(place, "api.listen")
    if told.tls is None and not (place.host.startswith("127.") or place.host == "::1"):
        raise InvalidField("api.tls", "is wanted, as plain HTTP is for loopback alone")
    if told.tls is not None:
        for name in ("certificate", "key", "clients_ca"):
            where = getattr(told.tls, name)
            if where and not (path.parent / where).is_file():
                raise InvalidField(f"api.tls.{name}", f"{where} is no file")
    return place


def _operators(told: ApiDocument | None) -> tuple[ApiKey, ...]:
    found = []
    for i, one in enumerate(told.operators if told is not None else ()):
        if one.until_ms and one.until_ms <= one.since_ms:
            raise InvalidField(f"api.operators[{i}].until_ms", "is not after it begins")
        found.append(ApiKey(one.name, bytes.fromhex(one.digest), Scope.OPERATOR, one.since_ms * MS, one.until_ms * MS))
    names = [key.name for key in found]
    if len(set(names)) != len(names):
        raise InvalidField("api.operators", "a name stands there twice")
    return tuple(found)


def tenant_from_listed(told: ListedTenantDocument) -> Tenant:
    document = convert_document(
        TenantDocument, {name: value for name, value in to_json_value(told).items() if name != "state"}
    )
    return replace(tenant_from_document(document), state=parse_state(told.state))


def registry_of(tenants: tuple[ListedTenantDocument, ...]) -> Registry:
    """Raises InvalidField with the path from the file's root."""
    registry = Registry()
    for i, one in enumerate(tenants):
        try:
            registry = registry.with_change(CreateTenant(tenant_from_listed(one)))
        except InvalidField as fault:
            raise InvalidField(f"tenants[{i}].{fault.field}", fault.reason) from fault
    return registry
