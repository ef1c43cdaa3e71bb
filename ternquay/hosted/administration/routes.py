"""The table of the administration API's routes, used for dispatch and for the OpenAPI description."""

from dataclasses import dataclass

from ternquay.hosted.tenants import documents as d
from ternquay.hosted.tenants.tenant import Scope

READERS, ADMINISTRATORS, OPERATORS = Scope.READER, Scope.ADMINISTRATOR, Scope.OPERATOR


@dataclass(slots=True, frozen=True)
class Route:
    """One operation. `name` is its operation id, and Api handles it in the method of that name with `_` before it."""

    method: str
    path: str
    name: str
    scope: Scope  # the least scope that a key needs
    summary: str
    status: int = 200  # of the response on success
    body_type: type | None = None
    query: tuple[str, ...] = ()  # names of the query parameters
    is_change: bool = False


ROUTES = (
    Route(
        "GET",
        "/v1/tenants",
        "list_tenants",
        READERS,
        "Tenants, by name; one's own alone for a tenant's key",
        query=("cursor", "limit"),
    ),
    Route("POST", "/v1/tenants", "make_tenant", OPERATORS, "Takes a tenant in", 201, d.TenantDocument, is_change=True),
    Route("GET", "/v1/tenants/{tenant}", "get_tenant", READERS, "One tenant"),
    Route(
        "PUT",
        "/v1/tenants/{tenant}",
        "replace_tenant",
        OPERATORS,
        "All of a tenant but its keys and state",
        body_type=d.TenantDocument,
        is_change=True,
    ),
    Route(
        "DELETE",
        "/v1/tenants/{tenant}",
        "end_tenant",
        OPERATORS,
        "Drains a tenant; then it is gone",
        202,
        is_change=True,
    ),
    Route("GET", "/v1/tenants/{tenant}/servers", "get_servers", READERS, "Its cache hosts"),
    Route(
        "PUT",
        "/v1/tenants/{tenant}/servers",
        "set_servers",
        ADMINISTRATORS,
        "All of its cache hosts",
        body_type=d.ServersDocument,
        is_change=True,
    ),
    Route(
        "PUT",
        "/v1/tenants/{tenant}/servers/{server}",
        "set_server",
        ADMINISTRATORS,
        "One cache host, new or not",
        body_type=d.ServerDocument,
        is_change=True,
    ),
    Route(
        "DELETE",
        "/v1/tenants/{tenant}/servers/{server}",
        "remove_server",
        ADMINISTRATORS,
        "One cache host less",
        is_change=True,
    ),
    Route("GET", "/v1/tenants/{tenant}/limits", "get_limits", READERS, "Its limits"),
    Route(
        "PUT",
        "/v1/tenants/{tenant}/limits",
        "set_limits",
        OPERATORS,
        "Its limits",
        body_type=d.LimitsDocument,
        is_change=True,
    ),
    Route("GET", "/v1/tenants/{tenant}/profiles", "get_profiles", READERS, "Its profiles"),
    Route(
        "PUT",
        "/v1/tenants/{tenant}/profiles",
        "set_profiles",
        ADMINISTRATORS,
        "Its profiles",
        body_type=d.ProfilesDocument,
        is_change=True,
    ),
    Route("GET", "/v1/tenants/{tenant}/state", "get_state", READERS, "Its state"),
    Route(
        "PUT",
        "/v1/tenants/{tenant}/state",
        "set_state",
        OPERATORS,
        "Suspends, resumes or ends it",
        body_type=d.StateDocument,
        is_change=True,
    ),
    Route("GET", "/v1/tenants/{tenant}/keys", "list_keys", ADMINISTRATORS, "Its keys, without their tokens"),
    Route(
        "POST",
        "/v1/tenants/{tenant}/keys",
        "make_key",
        ADMINISTRATORS,
        "A new key; its token is shown this once",
        201,
        d.KeyDocument,
        is_change=True,
    ),
    Route(
        "POST",
        "/v1/tenants/{tenant}/keys/{key}/rotate",
        "rotate_key",
        ADMINISTRATORS,
        "A new key of the same scope; the old one goes on for the overlap",
        201,
        d.RotationDocument,
        is_change=True,
    ),
    Route("DELETE", "/v1/tenants/{tenant}/keys/{key}", "remove_key", ADMINISTRATORS, "A key less", is_change=True),
    Route(
        "GET",
        "/v1/changes",
        "list_changes",
        READERS,
        "The change log after a version; waits for news if told to",
        query=("after", "limit", "wait_s"),
    ),
    Route("GET", "/v1/audit", "list_audit", OPERATORS, "Changes and denied calls", query=("after", "limit")),
    Route("GET", "/v1/process", "get_process", OPERATORS, "What the process and each tenant use"),
    Route("GET", "/v1/fleet", "get_fleet", OPERATORS, "The fleet that the process is a member of, as it sees it"),
    Route("DELETE", "/v1/fleet/{member}", "leave_fleet", OPERATORS, "Takes a member out of the fleet, for good", 202),
    Route("PUT", "/v1/fleet/{member}", "join_fleet", OPERATORS, "Lets a member in again that was taken out", 202),
    Route("GET", "/v1/openapi.json", "get_openapi", READERS, "This API's description"),
)
