"""The request handling of the administration API, without I/O.

    outcome = api.handle(call, registry, now)    # -> Reply, Proposal or Query

A Proposal is executed by the owner of the store, one at a time. The owner calls handle() again immediately before it
executes the change, with the registry of that moment. Errors are problem details (RFC 9457), versions are entity tags
(RFC 9110).
"""

import re
from base64 import b64decode, urlsafe_b64encode
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from ternquay.hosted.administration import keys
from ternquay.hosted.administration.keys import AccessDenied, Principal
from ternquay.hosted.administration.openapi import description
from ternquay.hosted.administration.routes import ROUTES, Route
from ternquay.hosted.tenants import documents as d
from ternquay.hosted.tenants.registry import (
    Change,
    CreateTenant,
    NotFound,
    Registry,
    ReplaceTenant,
    SetKeys,
    SetLimits,
    SetServers,
    SetState,
    TenantEntry,
    VersionConflict,
)
from ternquay.hosted.tenants.tenant import ApiKey, InvalidField, Scope, Server, State, Tenant

SECOND = 1_000_000_000  # in nanoseconds
DEFAULT_PAGE_SIZE = 50
MAX_PAGE_SIZE = 200
MAX_WAIT_SECONDS = 60
PATH_SEGMENT = re.compile(r"[a-z0-9][a-z0-9.-]{0,63}")
ENTITY_TAG = re.compile(r'(?:W/)?"([0-9]{1,15})"')
SCOPE_RANKS = {Scope.READER: 0, Scope.ADMINISTRATOR: 1, Scope.OPERATOR: 2}


@dataclass(slots=True, frozen=True)
class Call:
    """A request to the API."""

    method: str
    path: str  # as received, without the query
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)  # lowercase names
    body: bytes = b""
    peer: str = ""


@dataclass(slots=True, frozen=True)
class Reply:
    """The response to a call. `body` is encoded as JSON."""

    status: int
    body: Any = None
    headers: Mapping[str, str] = field(default_factory=dict)
    reason: str = ""  # of a rejected call, for the audit log


@dataclass(slots=True, frozen=True)
class Proposal:
    """The change that a call requests. `reply` makes the response from the registry after the change."""

    principal: Principal
    change: Change
    kind: str
    tenant: str
    detail: Any
    reply: Callable[[Registry], Reply]


@dataclass(slots=True, frozen=True)
class Query:
    """A request that the store, the process or the fleet answers."""

    kind: str  # changes, audit, process, fleet, leave, join
    after: int = 0
    limit: int = DEFAULT_PAGE_SIZE
    wait_ns: int = 0  # maximum wait for new changes
    name: str = ""  # of the tenant; of the member for leave and join


Outcome = Reply | Proposal | Query


class CallRejected(Exception):
    """Ends the handling of a call with `reply`, a problem."""

    def __init__(self, reply: Reply) -> None:
        super().__init__(reply.reason)
        self.reply = reply


PROBLEM_TITLES = {
    400: "Bad call",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not found",
    405: "Method not allowed",
    409: "Conflict",
    411: "Length required",
    412: "Precondition failed",
    413: "Too large",
    415: "No JSON",
    431: "Line too long",
    422: "Unfit",
    428: "Precondition required",
    429: "Too many calls",
    500: "Fault",
    503: "Not now",
    504: "Outcome unknown",
    507: "Trouble with the disk",
}


def problem(status: int, detail: str, field_name: str = "", headers: Mapping[str, str] | None = None) -> Reply:
    """Returns problem details (RFC 9457), with the name of the faulty field if there is one."""
    body = {
        "type": f"urn:ternquay:problem:{status}",
        "title": PROBLEM_TITLES[status],
        "status": status,
        "detail": detail,
    }
    if field_name:
        body["field"] = field_name
    return Reply(status, body, {"content-type": "application/problem+json", **(headers or {})}, detail)


def etag_header(version: int) -> dict[str, str]:
    """Returns the header that carries the version as an entity tag."""
    return {"etag": f'"{version}"'}


def find_route(method: str, path: str) -> tuple[Route, dict[str, str]]:
    """Returns the route and its path parameters. Raises CallRejected.

    Percent-encoding is not decoded, because no valid name needs it.
    """
    segments = path.split("/")[1:]
    if not path.startswith("/") or not all(PATH_SEGMENT.fullmatch(segment) for segment in segments):
        raise CallRejected(problem(404, "there is nothing of that name"))
    allowed = []
    for route in ROUTES:
        pattern = route.path.split("/")[1:]
        if len(pattern) != len(segments) or any(p != s for p, s in zip(pattern, segments, strict=True) if p[0] != "{"):
            continue
        if route.method == method:
            return route, {p[1:-1]: s for p, s in zip(pattern, segments, strict=True) if p[0] == "{"}
        allowed.append(route.method)
    if allowed:
        raise CallRejected(problem(405, f"it takes {', '.join(allowed)}", headers={"allow": ", ".join(allowed)}))
    raise CallRejected(problem(404, "there is nothing of that name"))


def integer_parameter(call: Call, name: str, default: int, maximum: int) -> int:
    """Returns the query parameter, at most `maximum`. Raises CallRejected."""
    text = call.query.get(name, "")
    if not text:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > 15:
        raise CallRejected(problem(400, "a whole number is wanted", name))
    return min(int(text), maximum)


def check_if_match(call: Call, entry: TenantEntry) -> None:
    """Checks If-Match, so that no change overwrites one that its caller has not seen. Raises CallRejected."""
    header = call.headers.get("if-match", "")
    if not header:
        raise CallRejected(problem(428, "If-Match with the version that the change is meant for is wanted", "If-Match"))
    if header.strip() == "*":
        return
    entity_tags = [ENTITY_TAG.fullmatch(item.strip()) for item in header.split(",")]
    if not all(entity_tags):
        raise CallRejected(problem(400, "an entity tag is wanted", "If-Match"))
    if str(entry.version) not in {match[1] for match in entity_tags if match}:
        raise CallRejected(
            problem(412, f"it is at version {entry.version} by now", "If-Match", etag_header(entry.version))
        )


def entry_to_json(entry: TenantEntry) -> dict[str, Any]:
    """Returns the tenant as the API shows it, without its keys."""
    return {
        "version": entry.version,
        "state": entry.tenant.state.value,
        "tenant": d.to_json_value(d.tenant_to_document(entry.tenant)),
    }


def key_to_json(key: ApiKey) -> dict[str, Any]:
    """Returns the key as the API shows it, without its digest."""
    return {
        "name": key.name,
        "scope": key.scope.value,
        "since_ms": key.since // d.MS,
        "until_ms": key.until // d.MS if key.until else None,
    }


class Api:
    """Handles calls. `operators` are the keys that belong to no tenant; `make_token` generates bearer tokens."""

    def __init__(
        self, operators: tuple[ApiKey, ...], make_token: Callable[[str, str], str] = keys.generate_token
    ) -> None:
        self.operators, self.make_token = operators, make_token

    def handle(self, call: Call, registry: Registry, now: int) -> Outcome:
        """Returns the outcome of a call. `now` is in wall-clock nanoseconds. No content of a call makes this raise."""
        try:
            return self._dispatch(call, registry, now)
        except CallRejected as rejection:
            return rejection.reply
        except AccessDenied as denied:
            headers = {"www-authenticate": "Bearer"} if denied.status == 401 else None
            return problem(denied.status, denied.reason, headers=headers)
        except InvalidField as invalid:
            return problem(422, invalid.reason, invalid.field)
        except NotFound:
            return problem(404, "there is nothing of that name")
        except VersionConflict as stale:
            return problem(412, f"it is at version {stale.current} by now", "If-Match", etag_header(stale.current))

    def authenticate(self, call: Call, registry: Registry, now: int) -> Principal:
        """Returns the owner of the call's bearer token. Raises AccessDenied."""
        scheme, _, token = call.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer":
            raise AccessDenied("a bearer token is wanted", 401)
        return keys.authenticate(token.strip(), registry, self.operators, now)

    def _dispatch(self, call: Call, registry: Registry, now: int) -> Outcome:
        principal = self.authenticate(call, registry, now)
        route, parameters = find_route(call.method, call.path)
        if SCOPE_RANKS[principal.scope] < SCOPE_RANKS[route.scope]:
            raise AccessDenied(f"a key of scope {principal.scope.value} does not allow that", 403)
        if principal.tenant and parameters.get("tenant", principal.tenant) != principal.tenant:
            # The answer doesn't depend on whether the tenant exists: a tenant's key must not find that out.
            raise AccessDenied("the key is another tenant's", 403)
        if route.is_change and route.body_type is not None:
            media_type = call.headers.get("content-type", "application/json").partition(";")[0].strip().lower()
            if media_type != "application/json":
                raise CallRejected(problem(415, "application/json is wanted", "Content-Type"))
        document = d.decode_document(route.body_type, call.body) if route.body_type is not None else None
        handler: Callable[..., Outcome] = getattr(self, f"_{route.name}")
        if "tenant" not in parameters:
            return handler(call, registry, principal, now, document)
        entry = registry.tenants.get(parameters["tenant"])
        if entry is None:
            raise NotFound(parameters["tenant"])
        if route.is_change and call.method != "POST":
            check_if_match(call, entry)
        return handler(call, registry, principal, now, document, entry, *list(parameters.values())[1:])

    # ---- reads ----

    def _list_tenants(self, call: Call, registry: Registry, principal: Principal, now: int, document: None) -> Outcome:
        limit = max(1, integer_parameter(call, "limit", DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE))
        try:
            after = b64decode(call.query.get("cursor", "").encode(), altchars=b"-_", validate=True).decode()
        except ValueError:
            raise CallRejected(problem(400, "is none that was given out", "cursor")) from None
        names = [principal.tenant] if principal.tenant else sorted(registry.tenants)
        names = [name for name in names if name > after]
        page = names[:limit]
        body: dict[str, Any] = {
            "tenants": [entry_to_json(registry.tenants[name]) for name in page],
            "version": registry.version,
        }
        if len(names) > limit:
            body["next"] = urlsafe_b64encode(page[-1].encode()).decode()
        return Reply(200, body)

    def _get_tenant(
        self, call: Call, registry: Registry, principal: Principal, now: int, document: None, entry: TenantEntry
    ) -> Outcome:
        return Reply(200, entry_to_json(entry), etag_header(entry.version))

    def _part_reply(self, entry: TenantEntry, name: str) -> Reply:
        value = d.to_json_value(d.tenant_to_document(entry.tenant))
        body = {name: value[name]} if name in ("servers", "profiles") else value[name]
        return Reply(200, body, etag_header(entry.version))

    def _get_servers(
        self, call: Call, registry: Registry, principal: Principal, now: int, document: None, entry: TenantEntry
    ) -> Outcome:
        return self._part_reply(entry, "servers")

    def _get_limits(
        self, call: Call, registry: Registry, principal: Principal, now: int, document: None, entry: TenantEntry
    ) -> Outcome:
        return self._part_reply(entry, "limits")

    def _get_profiles(
        self, call: Call, registry: Registry, principal: Principal, now: int, document: None, entry: TenantEntry
    ) -> Outcome:
        return self._part_reply(entry, "profiles")

    def _get_state(
        self, call: Call, registry: Registry, principal: Principal, now: int, document: None, entry: TenantEntry
    ) -> Outcome:
        return Reply(200, {"state": entry.tenant.state.value}, etag_header(entry.version))

    def _list_keys(
        self, call: Call, registry: Registry, principal: Principal, now: int, document: None, entry: TenantEntry
    ) -> Outcome:
        return Reply(200, {"keys": [key_to_json(key) for key in entry.tenant.keys]}, etag_header(entry.version))

    def _list_changes(self, call: Call, registry: Registry, principal: Principal, now: int, document: None) -> Outcome:
        return Query(
            "changes",
            integer_parameter(call, "after", 0, 10**15),
            max(1, integer_parameter(call, "limit", DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)),
            integer_parameter(call, "wait_s", 0, MAX_WAIT_SECONDS) * SECOND,
            principal.tenant,
        )

    def _list_audit(self, call: Call, registry: Registry, principal: Principal, now: int, document: None) -> Outcome:
        return Query(
            "audit",
            integer_parameter(call, "after", 0, 10**15),
            max(1, integer_parameter(call, "limit", DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)),
        )

    def _get_process(self, call: Call, registry: Registry, principal: Principal, now: int, document: None) -> Outcome:
        return Query("process")

    def _get_fleet(self, call: Call, registry: Registry, principal: Principal, now: int, document: None) -> Outcome:
        return Query("fleet")

    def _leave_fleet(self, call: Call, registry: Registry, principal: Principal, now: int, document: None) -> Outcome:
        return Query("leave", name=call.path.rpartition("/")[2])

    def _join_fleet(self, call: Call, registry: Registry, principal: Principal, now: int, document: None) -> Outcome:
        return Query("join", name=call.path.rpartition("/")[2])

    def _get_openapi(self, call: Call, registry: Registry, principal: Principal, now: int, document: None) -> Outcome:
        return Reply(200, description())

    # ---- changes ----

    def _proposal(
        self,
        principal: Principal,
        change: Change,
        kind: str,
        tenant: str,
        detail: Any,
        status: int = 200,
        extra_body: Mapping[str, Any] | None = None,
    ) -> Proposal:
        def reply(registry: Registry) -> Reply:
            entry = registry.tenants[tenant]
            headers = etag_header(entry.version)
            if status == 201:
                headers["location"] = f"/v1/tenants/{tenant}"
            return Reply(status, {**entry_to_json(entry), **(extra_body or {})}, headers)

        return Proposal(principal, change, kind, tenant, detail, reply)

    def _make_tenant(
        self, call: Call, registry: Registry, principal: Principal, now: int, document: d.TenantDocument
    ) -> Outcome:
        if document.name in registry.tenants:
            raise CallRejected(problem(409, f"{document.name} is there already", "name"))
        return self._proposal(
            principal,
            CreateTenant(d.tenant_from_document(document)),
            "make",
            document.name,
            d.to_json_value(document),
            201,
        )

    def _replacement(
        self, principal: Principal, entry: TenantEntry, tenant: Tenant, kind: str, detail: Any, now: int
    ) -> Proposal:
        old = entry.tenant
        tenant = replace(
            tenant, keys=old.keys, state=old.state, servers=with_start_times(old.servers, tenant.servers, now)
        )
        return self._proposal(principal, ReplaceTenant(tenant, entry.version), kind, old.name, detail)

    def _replace_tenant(
        self,
        call: Call,
        registry: Registry,
        principal: Principal,
        now: int,
        document: d.TenantDocument,
        entry: TenantEntry,
    ) -> Outcome:
        if document.name != entry.tenant.name:
            raise InvalidField("name", "a tenant keeps its name")
        return self._replacement(
            principal, entry, d.tenant_from_document(document), "replace", d.to_json_value(document), now
        )

    def _end_tenant(
        self, call: Call, registry: Registry, principal: Principal, now: int, document: None, entry: TenantEntry
    ) -> Outcome:
        name = entry.tenant.name
        return self._proposal(principal, SetState(name, State.ENDING, entry.version), "end", name, {}, 202)

    def _servers_proposal(
        self, principal: Principal, entry: TenantEntry, servers: tuple[Server, ...], now: int, detail: Any
    ) -> Proposal:
        servers = with_start_times(entry.tenant.servers, servers, now)
        return self._proposal(
            principal, SetServers(entry.tenant.name, servers, entry.version), "servers", entry.tenant.name, detail
        )

    def _set_servers(
        self,
        call: Call,
        registry: Registry,
        principal: Principal,
        now: int,
        document: d.ServersDocument,
        entry: TenantEntry,
    ) -> Outcome:
        return self._servers_proposal(
            principal, entry, d.servers_from_documents(document.servers), now, d.to_json_value(document)
        )

    def _set_server(
        self,
        call: Call,
        registry: Registry,
        principal: Principal,
        now: int,
        document: d.ServerDocument,
        entry: TenantEntry,
        name: str,
    ) -> Outcome:
        if document.name != name:
            raise InvalidField("name", "is another than the path's")
        new = d.server_from_document(document, "server")
        servers = entry.tenant.servers
        if any(server.name == name for server in servers):
            return self._servers_proposal(
                principal, entry, tuple(new if s.name == name else s for s in servers), now, d.to_json_value(document)
            )
        return self._servers_proposal(principal, entry, (*servers, new), now, d.to_json_value(document))

    def _remove_server(
        self,
        call: Call,
        registry: Registry,
        principal: Principal,
        now: int,
        document: None,
        entry: TenantEntry,
        name: str,
    ) -> Outcome:
        remaining = tuple(server for server in entry.tenant.servers if server.name != name)
        if len(remaining) == len(entry.tenant.servers):
            raise NotFound(name)
        return self._servers_proposal(principal, entry, remaining, now, {"removed": name})

    def _set_limits(
        self,
        call: Call,
        registry: Registry,
        principal: Principal,
        now: int,
        document: d.LimitsDocument,
        entry: TenantEntry,
    ) -> Outcome:
        change = SetLimits(entry.tenant.name, d.limits_from_document(document), entry.version)
        return self._proposal(principal, change, "limits", entry.tenant.name, d.to_json_value(document))

    def _set_profiles(
        self,
        call: Call,
        registry: Registry,
        principal: Principal,
        now: int,
        document: d.ProfilesDocument,
        entry: TenantEntry,
    ) -> Outcome:
        tenant = replace(entry.tenant, profiles=tuple(map(d.profile_from_document, document.profiles)))
        return self._replacement(principal, entry, tenant, "profiles", d.to_json_value(document), now)

    def _set_state(
        self,
        call: Call,
        registry: Registry,
        principal: Principal,
        now: int,
        document: d.StateDocument,
        entry: TenantEntry,
    ) -> Outcome:
        change = SetState(entry.tenant.name, d.parse_state(document.state), entry.version)
        return self._proposal(principal, change, "state", entry.tenant.name, d.to_json_value(document))

    # ---- keys ----

    def _new_key_proposal(
        self,
        principal: Principal,
        entry: TenantEntry,
        remaining: tuple[ApiKey, ...],
        name: str,
        scope: Scope,
        now: int,
        until: int,
        kind: str,
    ) -> Proposal:
        tenant = entry.tenant.name
        token = self.make_token(tenant, name)
        key = ApiKey(name, keys.digest_of(token), scope, now, until)
        return self._proposal(
            principal,
            SetKeys(tenant, (*remaining, key), entry.version),
            kind,
            tenant,
            {"key": name},
            201,
            {"key": key_to_json(key), "token": token},
        )

    def _make_key(
        self,
        call: Call,
        registry: Registry,
        principal: Principal,
        now: int,
        document: d.KeyDocument,
        entry: TenantEntry,
    ) -> Outcome:
        until = now + document.expires_in_s * SECOND if document.expires_in_s else 0
        return self._new_key_proposal(
            principal, entry, entry.tenant.keys, document.name, Scope(document.scope), now, until, "key-made"
        )

    def _rotate_key(
        self,
        call: Call,
        registry: Registry,
        principal: Principal,
        now: int,
        document: d.RotationDocument,
        entry: TenantEntry,
        name: str,
    ) -> Outcome:
        old = next((key for key in entry.tenant.keys if key.name == name), None)
        if old is None:
            raise NotFound(name)
        overlap_end = now + max(1, document.overlap_s * SECOND)
        old_until = overlap_end if not old.until else min(overlap_end, old.until)
        remaining = tuple(replace(key, until=old_until) if key is old else key for key in entry.tenant.keys)
        # Expired keys are dropped, so that they do not count against the number of keys.
        remaining = tuple(key for key in remaining if not key.until or key.until > now)
        return self._new_key_proposal(principal, entry, remaining, document.name, old.scope, now, 0, "key-rotated")

    def _remove_key(
        self,
        call: Call,
        registry: Registry,
        principal: Principal,
        now: int,
        document: None,
        entry: TenantEntry,
        name: str,
    ) -> Outcome:
        remaining = tuple(key for key in entry.tenant.keys if key.name != name)
        if len(remaining) == len(entry.tenant.keys):
            raise NotFound(name)
        change = SetKeys(entry.tenant.name, remaining, entry.version)
        return self._proposal(principal, change, "key-removed", entry.tenant.name, {"key": name})


def with_start_times(old: tuple[Server, ...], new: tuple[Server, ...], now: int) -> tuple[Server, ...]:
    """Returns the new cache hosts with their start times in wall-clock nanoseconds.

    A cache host without a start time keeps that of the same endpoint in `old`. If there is none, the cache host starts
    `now` and so counts as cold.
    """
    known = {server.endpoint: server.started for server in old}
    return tuple(
        server if server.started else replace(server, started=known.get(server.endpoint, now)) for server in new
    )
