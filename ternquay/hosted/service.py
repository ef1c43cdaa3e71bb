"""The configuration file of a hosted service, decoded and validated before anything starts."""

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

MS = 1_000_000  # in nanoseconds
MAX_MEMBERS = 15
PositiveInt = Annotated[int, msgspec.Meta(ge=1, le=10**6)]


class ServiceConfigError(ValueError):
    """The configuration can't be used; the text names the file and the field."""


class ProcessDocument(Document, frozen=True):
    """What the process may use, and its index among the balancers of the service."""

    sockets: Annotated[int, msgspec.Meta(ge=64, le=100_000)] = 1024
    memory_mb: Annotated[int, msgspec.Meta(ge=64)] = 256  # for what tenants have open, without the program itself
    balancers: PositiveInt = 1
    number: Annotated[int, msgspec.Meta(ge=0)] = 0
    seed: Annotated[int, msgspec.Meta(ge=0)] | None = None


class StoreDocument(Document, frozen=True):
    """Where the registry is stored."""

    path: Annotated[str, msgspec.Meta(min_length=1)]


class TlsDocument(Document, frozen=True):
    """TLS of the administration API: PEM files."""

    certificate: str
    key: str
    clients_ca: str = ""  # if given, clients need a certificate issued by one of these


class OperatorDocument(Document, frozen=True):
    """An operator's key of the administration API."""

    name: Name
    digest: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
    since_ms: WallClockMilliseconds = 0
    until_ms: WallClockMilliseconds = 0


class ApiDocument(Document, frozen=True):
    """The administration API."""

    listen: str
    operators: tuple[OperatorDocument, ...] = ()
    tls: TlsDocument | None = None
    calls_a_second: Annotated[float, msgspec.Meta(gt=0, le=10_000)] = 50.0
    burst: PositiveInt = 100
    connections: PositiveInt = 32
    body_bytes: PositiveInt = 1 << 19
    idle_ms: Milliseconds = 10_000


class LogDocument(Document, frozen=True):
    """Format and level of the log."""

    json: bool = True
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class ListedTenantDocument(TenantDocument, frozen=True):
    """A tenant in the file of a service without a store."""

    state: Literal["active", "suspended"] = "active"


class MemberDocument(Document, frozen=True):
    """A member of the fleet."""

    name: Name
    place: EndpointText


class PeersDocument(Document, frozen=True):
    """The fleet that this process is a member of; see docs/fleet-use.md."""

    fleet: Name
    me: Name
    key_file: Annotated[str, msgspec.Meta(min_length=1)]
    members: tuple[MemberDocument, ...]
    listen: EndpointText | None = None  # for the other members; default: its own place in `members`
    address: str = ""  # of this machine; replaces 0.0.0.0 in tenants' listeners
    lease_ms: Annotated[int, msgspec.Meta(ge=300, le=60_000)] = 1000
    alone: Literal["stop", "go-on"] = "stop"
    # Log entries that are kept for members that were away for a short time.
    log_kept: Annotated[int, msgspec.Meta(ge=16, le=100_000)] = 1024


class ServiceDocument(Document, frozen=True):
    """The whole file."""

    name: str = "ternquay"
    process: ProcessDocument = ProcessDocument()
    store: StoreDocument | None = None
    api: ApiDocument | None = None
    log: LogDocument = LogDocument()
    tenants: tuple[ListedTenantDocument, ...] = ()
    peers: PeersDocument | None = None


@dataclass(slots=True, frozen=True)
class FleetConfig:
    """The fleet as configured in the file."""

    fleet: str
    own_name: str
    endpoints: Mapping[str, Endpoint]
    listen: Endpoint
    key: bytes
    lease_ns: int
    serve_without_majority: bool
    address: str  # replaces 0.0.0.0 in tenants' listeners
    retained_log_entries: int


class ServiceConfig(msgspec.Struct, frozen=True):
    """The validated configuration of a service."""

    path: str  # of the file
    name: str
    process: ProcessConfig
    store: str  # path of the store, "" without one
    api: ApiDocument | None
    listen: Endpoint | None  # of the administration API
    operators: tuple[ApiKey, ...]
    log: LogDocument
    registry: Registry  # of the file, if there is no store
    fellows: FleetConfig | None = None  # the fleet; the name of the field appears in a log line of a reload


def read_tables(path: Path) -> dict[str, Any]:
    """Reads a TOML file that ends with the table [end], and removes that table. Raises ServiceConfigError."""
    try:
        text = path.read_text(encoding="utf-8")
        document = tomllib.loads(text)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as fault:
        raise ServiceConfigError(f"{path}: {fault}") from fault
    # A file that is cut off between two tables is valid TOML, and the tenants that it lacks would be ended.
    lines = [line for line in (line.partition("#")[0].strip() for line in text.splitlines()) if line]
    if not lines or lines[-1] != "[end]":
        raise ServiceConfigError(f"{path}: end: the last line is not [end], so the file may be cut off")
    del document["end"]
    return document


def read_service(path: Path) -> ServiceConfig:
    """Reads and validates the file of a service. Raises ServiceConfigError."""
    try:
        return _config_from_document(path, convert_document(ServiceDocument, read_tables(path)))
    except InvalidField as fault:
        raise ServiceConfigError(f"{path}: {fault.field}: {fault.reason}") from fault


def _config_from_document(path: Path, document: ServiceDocument) -> ServiceConfig:
    if document.store is not None and document.tenants:
        raise InvalidField("tenants", "stand in the store where there is one; `ternquay admin apply` brings them there")
    if document.api is not None and document.store is None:
        raise InvalidField("api", "a store is wanted, as what is acknowledged has to last")
    fleet = _fleet_config(path, document)
    return ServiceConfig(
        path=str(path),
        name=document.name,
        process=_process_config(document.process, fleet),
        fellows=fleet,
        store=_store_path(path, document.store),
        api=document.api,
        listen=_api_endpoint(path, document.api),
        operators=_operator_keys(document.api),
        log=document.log,
        registry=registry_of(document.tenants),
    )


def _fleet_config(path: Path, document: ServiceDocument) -> FleetConfig | None:
    peers = document.peers
    if peers is None:
        return None
    if document.store is None:
        raise InvalidField("peers", "a store is wanted, as what is agreed on has to last")
    if (document.process.balancers, document.process.number) != (1, 0):
        raise InvalidField("process.balancers", "is how many members there are, where there are peers")
    endpoints: dict[str, Endpoint] = {}
    for i, one in enumerate(peers.members):
        endpoint = parse_endpoint(one.place, f"peers.members[{i}].place")
        check_endpoint(endpoint, f"peers.members[{i}].place")
        if one.name in endpoints:
            raise InvalidField(f"peers.members[{i}].name", f"{one.name} stands there twice")
        if endpoint in endpoints.values():
            raise InvalidField(f"peers.members[{i}].place", "another member has it")
        endpoints[one.name] = endpoint
    if peers.me not in endpoints:
        raise InvalidField("peers.me", f"{peers.me} is none of the members")
    if len(endpoints) > MAX_MEMBERS:
        raise InvalidField(
            "peers.members", f"{MAX_MEMBERS} members are the most, as each is in every round of the leader's"
        )
    listen = parse_endpoint(peers.listen, "peers.listen") if peers.listen is not None else endpoints[peers.me]
    check_endpoint(listen, "peers.listen")
    try:
        address = str(ip_address(peers.address)) if peers.address else ""
    except ValueError as fault:
        raise InvalidField("peers.address", "an address is wanted") from fault
    return FleetConfig(
        peers.fleet,
        peers.me,
        endpoints,
        listen,
        _read_fleet_key(path, peers),
        peers.lease_ms * MS,
        peers.alone == "go-on",
        address,
        peers.log_kept,
    )


def _read_fleet_key(path: Path, document: PeersDocument) -> bytes:
    try:
        key = (path.parent / document.key_file).read_bytes().strip()
    except OSError as fault:
        raise InvalidField("peers.key_file", f"{document.key_file}: {fault.strerror}") from fault
    if len(key) < MIN_KEY_BYTES:
        raise InvalidField("peers.key_file", f"{MIN_KEY_BYTES} bytes at least are wanted")
    return key


def _process_config(document: ProcessDocument, fleet: FleetConfig | None) -> ProcessConfig:
    if fleet is not None:
        document = msgspec.structs.replace(
            document, balancers=len(fleet.endpoints), number=sorted(fleet.endpoints).index(fleet.own_name)
        )
    if document.number >= document.balancers:
        raise InvalidField("process.number", f"there are {document.balancers} balancers, from 0")
    seed = document.seed if document.seed is not None else Random().getrandbits(64)
    return ProcessConfig(
        min(document.sockets, descriptor_limit()), document.memory_mb, document.balancers, document.number, seed
    )


def _store_path(path: Path, document: StoreDocument | None) -> str:
    """Returns the path of the store. A relative path starts at the folder of the configuration file."""
    return str(path.parent / document.path) if document is not None else ""


def _api_endpoint(path: Path, document: ApiDocument | None) -> Endpoint | None:
    if document is None:
        return None
    endpoint = parse_endpoint(document.listen, "api.listen")
    check_endpoint(endpoint, "api.listen")
    if document.tls is None and not (endpoint.host.startswith("127.") or endpoint.host == "::1"):
        raise InvalidField("api.tls", "is wanted, as plain HTTP is for loopback alone")
    if document.tls is not None:
        for name in ("certificate", "key", "clients_ca"):
            file_name = getattr(document.tls, name)
            if file_name and not (path.parent / file_name).is_file():
                raise InvalidField(f"api.tls.{name}", f"{file_name} is no file")
    return endpoint


def _operator_keys(document: ApiDocument | None) -> tuple[ApiKey, ...]:
    keys = []
    for i, one in enumerate(document.operators if document is not None else ()):
        if one.until_ms and one.until_ms <= one.since_ms:
            raise InvalidField(f"api.operators[{i}].until_ms", "is not after it begins")
        keys.append(ApiKey(one.name, bytes.fromhex(one.digest), Scope.OPERATOR, one.since_ms * MS, one.until_ms * MS))
    names = [key.name for key in keys]
    if len(set(names)) != len(names):
        raise InvalidField("api.operators", "a name stands there twice")
    return tuple(keys)


def tenant_from_listed(listed: ListedTenantDocument) -> Tenant:
    """Returns the tenant of an entry of the file. Raises InvalidField."""
    document = convert_document(
        TenantDocument, {name: value for name, value in to_json_value(listed).items() if name != "state"}
    )
    return replace(tenant_from_document(document), state=parse_state(listed.state))


def registry_of(tenants: tuple[ListedTenantDocument, ...]) -> Registry:
    """Returns the registry of the file's tenants. Raises InvalidField with the path from the root of the file."""
    registry = Registry()
    for i, one in enumerate(tenants):
        try:
            registry = registry.with_change(CreateTenant(tenant_from_listed(one)))
        except InvalidField as fault:
            raise InvalidField(f"tenants[{i}].{fault.field}", fault.reason) from fault
    return registry
