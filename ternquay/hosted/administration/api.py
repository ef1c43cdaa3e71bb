"""The administration API without its sockets: what a call is answered with, or what it would change.

    outcome = api.handle(call, registry, now)    # -> Reply, Proposal, or Look

Pure. A Proposal is carried out by whoever owns the store, in its turn: handle() is called again then, with the
registry as it stands by that time. Errors are problem details (RFC 9457); versions go as entity tags (RFC 9110).
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

SECOND = 1_000_000_000
PAGE, PAGE_MOST, WAIT_MOST = 50, 200, 60
SEGMENT = re.compile(r"[a-z0-9][a-z0-9.-]{0,63}")
TAG = re.compile(r'(?:W/)?"([0-9]{1,15})"')
RANKS = {Scope.READER: 0, Scope.ADMINISTRATOR: 1, Scope.OPERATOR: 2}


@dataclass(slots=True, frozen=True)
class Call:
    method: str
    path: str  # as it came, without the query
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)  # names in small letters
    body: bytes = b""
    peer: str = ""


@dataclass(slots=True, frozen=True)
class Reply:
    status: int
    body: Any = None
    headers: Mapping[str, str] = field(default_factory=dict)
    reason: str = ""  # for the audit log, of what was turned away


@dataclass(slots=True, frozen=True)
class Proposal:
    """A change that the call asks for; `reply` is made of the registry after it."""

    who: Principal
    change: Change
    kind: str
    tenant: str
    detail: Any
    reply: Callable[[Registry], Reply]


@dataclass(slots=True, frozen=True)
class Query:
    """Something that the store or the process has to be asked for: changes, audit, process."""

    what: str
    after: int = 0
    most: int = PAGE
    wait: int = 0  # how long for something new, in nanoseconds
    tenant: str = ""


Outcome = Reply | Proposal | Query


class CallRejected(Exception):
    """The call is answered with a problem."""

    def __init__(self, reply: Reply) -> None:
        super().__init__(reply.reason)
        self.reply = reply


TITLES = {
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


def problem(status: int, detail: str, at: str = "", headers: Mapping[str, str] | None = None) -> Reply:
    """Problem details (RFC 9457), naming the field where there is one."""
    body = {"type": f"urn:ternquay:problem:{status}", "title": TITLES[status], "status": status, "detail": detail}
    if at:
        body["field"] = at
    return Reply(status, body, {"content-type": "application/problem+json", **(headers or {})}, detail)


def tag(version: int) -> dict[str, str]:
    return {"etag": f'"{version}"'}


def found_route(method: str, path: str) -> tuple[Route, dict[str, str]]:
    """The route of a path as it came: nothing is decoded, as no name needs it. Raises Turned."""
    parts = path.split("/")[1:]
    if not path.startswith("/") or not all(SEGMENT.fullmatch(part) for part in parts):
        raise CallRejected(problem(404, "there is nothing of that name"))
    allowed = []
    for route in ROUTES:
        wanted = route.path.split("/")[1:]
        if len(wanted) != len(parts) or any(w != p for w, p in zip(wanted, parts, strict=True) if w[0] != "{"):
            continue
        if route.method == method:
            return route, {w[1:-1]: p for w, p in zip(wanted, parts, strict=True) if w[0] == "{"}
        allowed.append(route.method)
    if allowed:
        raise CallRejected(problem(405, f"it takes {', '.join(allowed)}", headers={"allow": ", ".join(allowed)}))
    raise CallRejected(problem(404, "there is nothing of that name"))


def number_in(call: Call, name: str, usual: int, most: int) -> int:
    text = call.query.get(name, "")
    if not text:
        return usual
    if not text.isascii() or not text.isdigit() or len(text) > 15:
        raise CallRejected(problem(400, "a whole number is wanted", name))
    return min(int(text), most)


def meant(call: Call, entry: TenantEntry) -> None:
    """If-Match: against changes made upon what has changed since. Raises Turned."""
    told = call.headers.get("if-match", "")
    if not told:
        raise CallRejected(problem(428, "If-Match with the version that the change is meant for is wanted", "If-Match"))
    if told.strip() == "*":
        return
    tags = [TAG.fullmatch(part.strip()) for part in told.split(",")]
    if not all(tags):
        raise CallRejected(problem(400, "an entity tag is wanted", "If-Match"))
    if str(entry.version) not in {found[1] for found in tags if found}:
        raise CallRejected(problem(412, f"it is at version {entry.version} by now", "If-Match", tag(entry.version)))


def shown(entry: TenantEntry) -> dict[str, Any]:
    return {
        "version": entry.version,
        "state": entry.tenant.state.value,
        "tenant": d.to_json_value(d.tenant_to_document(entry.tenant)),
    }


def shown_key(key: ApiKey) -> dict[str, Any]:
    return {
        "name": key.name,
        "scope": key.scope.value,
        "since_ms": key.since // d.MS,
        "until_ms": key.until // d.MS if key.until else None,
    }


class Api:
    """`operators` are the keys that belong to no tenant; `make` makes tokens."""

    def __init__(self, operators: tuple[ApiKey, ...], make: Callable[[str, str], str] = keys.generate_token) -> None:
        self.operators, self.make = operators, make

    def handle(self, call: Call, registry: Registry, now: int) -> Outcome:
        """`now` is the wall clock's, in nanoseconds. Whatever the call is, this raises nothing."""
        try:
            return self._handled(call, registry, now)
        except CallRejected as turned:
            return turned.reply
        except AccessDenied as denied:
            headers = {"www-authenticate": "Bearer"} if denied.status == 401 else None
            return problem(denied.status, denied.reason, headers=headers)
        except InvalidField as fault:
            return problem(422, fault.reason, fault.field)
        except NotFound:
            return problem(404, "there is nothing of that name")
        except VersionConflict as stale:
            return problem(412, f"it is at version {stale.current} by now", "If-Match", tag(stale.current))

    def identified(self, call: Call, registry: Registry, now: int) -> Principal:
        kind, _, token = call.headers.get("authorization", "").partition(" ")
        if kind.lower() != "bearer":
            raise AccessDenied("a bearer token is wanted", 401)
        return keys.authenticate(token.strip(), registry, self.operators, now)

    def _handled(self, call: Call, registry: Registry, now: int) -> Outcome:
        who = self.identified(call, registry, now)
        route, names = found_route(call.method, call.path)
        if RANKS[who.scope] < RANKS[route.scope]:
            raise AccessDenied(f"a key of scope {who.scope.value} does not allow that", 403)
        if who.tenant and names.get("tenant", who.tenant) != who.tenant:
            # Whether there is such a tenant is not this one's to know.
            raise AccessDenied("the key is another tenant's", 403)
        if route.changes and route.takes is not None:
            kind = call.headers.get("content-type", "application/json").partition(";")[0].strip().lower()
            if kind != "application/json":
                raise CallRejected(problem(415, "application/json is wanted", "Content-Type"))
        told = d.decode_document(route.takes, call.body) if route.takes is not None else None
        do: Callable[..., Outcome] = getattr(self, f"_{route.name}")
        if "tenant" not in names:
            return do(call, registry, who, now, told)
        entry = registry.tenants.get(names["tenant"])
        if entry is None:
            raise NotFound(names["tenant"])
        if route.changes and call.method != "POST":
            meant(call, entry)
        return do(call, registry, who, now, told, entry, *list(names.values())[1:])

    # ---- reading ----

    def _list_tenants(self, call: Call, registry: Registry, who: Principal, now: int, told: None) -> Outcome:
        most = max(1, number_in(call, "limit", PAGE, PAGE_MOST))
        try:
            after = b64decode(call.query.get("cursor", "").encode(), altchars=b"-_", validate=True).decode()
        except ValueError:
            raise CallRejected(problem(400, "is none that was given out", "cursor")) from None
        names = [who.tenant] if who.tenant else sorted(registry.tenants)
        names = [name for name in names if name > after]
        page = names[:most]
        body: dict[str, Any] = {
            "tenants": [shown(registry.tenants[name]) for name in page],
            "version": registry.version,
        }
        if len(names) > most:
            body["next"] = urlsafe_b64encode(page[-1].encode()).decode()
        return Reply(200, body)

    def _get_tenant(
        self, call: Call, registry: Registry, who: Principal, now: int, told: None, entry: TenantEntry
    ) -> Outcome:
        return Reply(200, shown(entry), tag(entry.version))

    def _part(self, entry: TenantEntry, name: str) -> Reply:
        document = d.to_json_value(d.tenant_to_document(entry.tenant))
        body = {name: document[name]} if name in ("servers", "profiles") else document[name]
        return Reply(200, body, tag(entry.version))

    def _get_servers(
        self, call: Call, registry: Registry, who: Principal, now: int, told: None, entry: TenantEntry
    ) -> Outcome:
        return self._part(entry, "servers")

    def _get_limits(
        self, call: Call, registry: Registry, who: Principal, now: int, told: None, entry: TenantEntry
    ) -> Outcome:
        return self._part(entry, "limits")

    def _get_profiles(
        self, call: Call, registry: Registry, who: Principal, now: int, told: None, entry: TenantEntry
    ) -> Outcome:
        return self._part(entry, "profiles")

    def _get_state(
        self, call: Call, registry: Registry, who: Principal, now: int, told: None, entry: TenantEntry
    ) -> Outcome:
        return Reply(200, {"state": entry.tenant.state.value}, tag(entry.version))

    def _list_keys(
        self, call: Call, registry: Registry, who: Principal, now: int, told: None, entry: TenantEntry
    ) -> Outcome:
        return Reply(200, {"keys": [shown_key(key) for key in entry.tenant.keys]}, tag(entry.version))

    def _list_changes(self, call: Call, registry: Registry, who: Principal, now: int, told: None) -> Outcome:
        return Query(
            "changes",
            number_in(call, "after", 0, 10**15),
            max(1, number_in(call, "limit", PAGE, PAGE_MOST)),
            number_in(call, "wait_s", 0, WAIT_MOST) * SECOND,
            who.tenant,
        )

    def _list_audit(self, call: Call, registry: Registry, who: Principal, now: int, told: None) -> Outcome:
        return Query("audit", number_in(call, "after", 0, 10**15), max(1, number_in(call, "limit", PAGE, PAGE_MOST)))

    def _get_process(self, call: Call, registry: Registry, who: Principal, now: int, told: None) -> Outcome:
        return Query("process")

    def _get_fleet(self, call: Call, registry: Registry, who: Principal, now: int, told: None) -> Outcome:
        return Query("fleet")

    def _leave_fleet(self, call: Call, registry: Registry, who: Principal, now: int, told: None) -> Outcome:
        return Query("leave", tenant=call.path.rpartition("/")[2])

    def _join_fleet(self, call: Call, registry: Registry, who: Principal, now: int, told: None) -> Outcome:
        return Query("join", tenant=call.path.rpartition("/")[2])

    def _get_openapi(self, call: Call, registry: Registry, who: Principal, now: int, told: None) -> Outcome:
        return Reply(200, description())

    # ---- changing ----

    def _proposal(
        self,
        who: Principal,
        change: Change,
        kind: str,
        tenant: str,
        detail: Any,
        status: int = 200,
        more: Mapping[str, Any] | None = None,
    ) -> Proposal:
        def reply(registry: Registry) -> Reply:
            entry = registry.tenants[tenant]
            headers = tag(entry.version)
            if status == 201:
                headers["location"] = f"/v1/tenants/{tenant}"
            return Reply(status, {**shown(entry), **(more or {})}, headers)

        return Proposal(who, change, kind, tenant, detail, reply)

    def _make_tenant(self, call: Call, registry: Registry, who: Principal, now: int, told: d.TenantDocument) -> Outcome:
        if told.name in registry.tenants:
            raise CallRejected(problem(409, f"{told.name} is there already", "name"))
        return self._proposal(
            who, CreateTenant(d.tenant_from_document(told)), "make", told.name, d.to_json_value(told), 201
        )

    def _replaced(
        self, who: Principal, entry: TenantEntry, tenant: Tenant, kind: str, detail: Any, now: int
    ) -> Proposal:
        old = entry.tenant
        tenant = replace(tenant, keys=old.keys, state=old.state, servers=started(old.servers, tenant.servers, now))
        return self._proposal(who, ReplaceTenant(tenant, entry.version), kind, old.name, detail)

    def _replace_tenant(
        self, call: Call, registry: Registry, who: Principal, now: int, told: d.TenantDocument, entry: TenantEntry
    ) -> Outcome:
        if told.name != entry.tenant.name:
            raise InvalidField("name", "a tenant keeps its name")
        return self._replaced(who, entry, d.tenant_from_document(told), "replace", d.to_json_value(told), now)

    def _end_tenant(
        self, call: Call, registry: Registry, who: Principal, now: int, told: None, entry: TenantEntry
    ) -> Outcome:
        name = entry.tenant.name
        return self._proposal(who, SetState(name, State.ENDING, entry.version), "end", name, {}, 202)

    def _servers(
        self, who: Principal, entry: TenantEntry, servers: tuple[Server, ...], now: int, detail: Any
    ) -> Proposal:
        servers = started(entry.tenant.servers, servers, now)
        return self._proposal(
            who, SetServers(entry.tenant.name, servers, entry.version), "servers", entry.tenant.name, detail
        )

    def _set_servers(
        self, call: Call, registry: Registry, who: Principal, now: int, told: d.ServersDocument, entry: TenantEntry
    ) -> Outcome:
        return self._servers(who, entry, d.servers_from_documents(told.servers), now, d.to_json_value(told))

    def _set_server(
        self,
        call: Call,
        registry: Registry,
        who: Principal,
        now: int,
        told: d.ServerDocument,
        entry: TenantEntry,
        name: str,
    ) -> Outcome:
        if told.name != name:
            raise InvalidField("name", "is another than the path's")
        one = d.server_from_document(told, "server")
        there = entry.tenant.servers
        if any(server.name == name for server in there):
            return self._servers(
                who, entry, tuple(one if s.name == name else s for s in there), now, d.to_json_value(told)
            )
        return self._servers(who, entry, (*there, one), now, d.to_json_value(told))

    def _remove_server(
        self, call: Call, registry: Registry, who: Principal, now: int, told: None, entry: TenantEntry, name: str
    ) -> Outcome:
        left = tuple(server for server in entry.tenant.servers if server.name != name)
        if len(left) == len(entry.tenant.servers):
            raise NotFound(name)
        return self._servers(who, entry, left, now, {"removed": name})

    def _set_limits(
        self, call: Call, registry: Registry, who: Principal, now: int, told: d.LimitsDocument, entry: TenantEntry
    ) -> Outcome:
        change = SetLimits(entry.tenant.name, d.limits_from_document(told), entry.version)
        return self._proposal(who, change, "limits", entry.tenant.name, d.to_json_value(told))

    def _set_profiles(
        self, call: Call, registry: Registry, who: Principal, now: int, told: d.ProfilesDocument, entry: TenantEntry
    ) -> Outcome:
        tenant = replace(entry.tenant, profiles=tuple(map(d.profile_from_document, told.profiles)))
        return self._replaced(who, entry, tenant, "profiles", d.to_json_value(told), now)

    def _set_state(
        self, call: Call, registry: Registry, who: Principal, now: int, told: d.StateDocument, entry: TenantEntry
    ) -> Outcome:
        change = SetState(entry.tenant.name, d.parse_state(told.state), entry.version)
        return self._proposal(who, change, "state", entry.tenant.name, d.to_json_value(told))

    # ---- keys ----

    def _with_key(
        self,
        who: Principal,
        entry: TenantEntry,
        left: tuple[ApiKey, ...],
        name: str,
        scope: Scope,
        now: int,
        until: int,
        kind: str,
    ) -> Proposal:
        tenant = entry.tenant.name
        token = self.make(tenant, name)
        key = ApiKey(name, keys.digest_of(token), scope, now, until)
        return self._proposal(
            who,
            SetKeys(tenant, (*left, key), entry.version),
            kind,
            tenant,
            {"key": name},
            201,
            {"key": shown_key(key), "token": token},
        )

    def _make_key(
        self, call: Call, registry: Registry, who: Principal, now: int, told: d.KeyDocument, entry: TenantEntry
    ) -> Outcome:
        until = now + told.expires_in_s * SECOND if told.expires_in_s else 0
        return self._with_key(who, entry, entry.tenant.keys, told.name, Scope(told.scope), now, until, "key-made")

    def _rotate_key(
        self,
        call: Call,
        registry: Registry,
        who: Principal,
        now: int,
        told: d.RotationDocument,
        entry: TenantEntry,
        name: str,
    ) -> Outcome:
        old = next((key for key in entry.tenant.keys if key.name == name), None)
        if old is None:
            raise NotFound(name)
        until = now + max(1, told.overlap_s * SECOND)
        ends = until if not old.until else min(until, old.until)
        left = tuple(replace(key, until=ends) if key is old else key for key in entry.tenant.keys)
        left = tuple(key for key in left if not key.until or key.until > now)  # what has expired makes room
        return self._with_key(who, entry, left, told.name, old.scope, now, 0, "key-rotated")

    def _remove_key(
        self, call: Call, registry: Registry, who: Principal, now: int, told: None, entry: TenantEntry, name: str
    ) -> Outcome:
        left = tuple(key for key in entry.tenant.keys if key.name != name)
        if len(left) == len(entry.tenant.keys):
            raise NotFound(name)
        change = SetKeys(entry.tenant.name, left, entry.version)
        return self._proposal(who, change, "key-removed", entry.tenant.name, {"key": name})


def started(old: tuple[Server, ...], new: tuple[Server, ...], now: int) -> tuple[Server, ...]:
    """A cache host that a change adds is cold from then on, unless it is said since when it holds copies."""
    known = {server.endpoint: server.started for server in old}
    return tuple(
        server if server.started else replace(server, started=known.get(server.endpoint, now)) for server in new
    )
