"""`ternquay admin`: the administration API from the command line. Prints a table or JSON.

Exit codes, for scripts: 0 done; 2 invalid input; 3 denied; 4 not result; 5 conflict with another change;
6 unavailable or unreachable; 7 `plan --detect` found differences.
"""

import atexit
import json
import sys
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, Any

import typer

from ternquay.hosted.administration import keys as tokens
from ternquay.hosted.administration.caller import EXIT_BAD_INPUT, Caller, CallFailed, Target
from ternquay.hosted.administration.plan import Step, plan_steps
from ternquay.hosted.service import ListedTenantDocument, ServiceConfigError, read_tables, tenant_from_listed
from ternquay.hosted.tenants.documents import TenantDocument, convert_document, to_json_value
from ternquay.hosted.tenants.tenant import InvalidField

EXIT_DIFFERENT = 7  # `plan --detect` found differences
app = typer.Typer(add_completion=False, no_args_is_help=True, help="The administration API of a hosted service.")
tenants, servers, limits, profiles, keys = (typer.Typer(no_args_is_help=True) for _ in range(5))
fleet = typer.Typer()
for name, group, text in (
    ("tenants", tenants, "Tenants."),
    ("servers", servers, "A tenant's cache hosts."),
    ("limits", limits, "A tenant's limits."),
    ("profiles", profiles, "A tenant's profiles."),
    ("keys", keys, "A tenant's keys."),
    ("fleet", fleet, "The fleet of a member."),
):
    app.add_typer(group, name=name, help=text)

Tenant = Annotated[str, typer.Argument(help="The tenant's name.")]
File = Annotated[Path, typer.Argument(help="JSON or TOML; - for JSON on standard input.")]
Version = Annotated[
    int, typer.Option("--version", min=0, help="The version that the change applies to; default: the current one.")
]


class Options:
    """The options given before the command's name."""

    target = Target("", "")
    as_json = False


@app.callback()
def set_options(
    url: Annotated[str, typer.Option(envvar="TERNQUAY_API")] = "http://127.0.0.1:9180",
    token: Annotated[str, typer.Option(envvar="TERNQUAY_TOKEN", show_default=False)] = "",
    token_file: Annotated[Path | None, typer.Option("--token-file")] = None,
    ca: Annotated[str, typer.Option(help="Trusted CA certificates, a PEM file.")] = "",
    certificate: Annotated[str, typer.Option(help="The client certificate, a PEM file.")] = "",
    key: Annotated[str, typer.Option(help="The private key of the client certificate, a PEM file.")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="JSON instead of a table.")] = False,
) -> None:
    with exit_on_error():
        if token_file is not None:
            token = read_text(token_file).strip()
    Options.target, Options.as_json = Target(url, token, ca, certificate, key), as_json


def read_text(path: Path) -> str:
    """Returns the content of the file, or of standard input for `-`. Raises CallFailed."""
    try:
        return sys.stdin.read() if str(path) == "-" else path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CallFailed(f"{path}: {error}", EXIT_BAD_INPUT) from error


@contextmanager
def exit_on_error() -> Iterator[None]:
    """Turns the errors of a command into one line on standard error and an exit code."""
    try:
        yield
    except CallFailed as error:
        typer.echo(f"ternquay admin: {error}", err=True)
        raise typer.Exit(error.code) from error
    except (InvalidField, ServiceConfigError) as error:
        typer.echo(f"ternquay admin: {error}", err=True)
        raise typer.Exit(EXIT_BAD_INPUT) from error


def read_document(path: Path) -> Any:
    """Returns the parsed JSON or TOML file. Raises CallFailed."""
    text = read_text(path)
    try:
        return tomllib.loads(text) if path.suffix == ".toml" else json.loads(text)
    except (ValueError, tomllib.TOMLDecodeError) as error:
        raise CallFailed(f"{path}: {error}", EXIT_BAD_INPUT) from error


def print_result(result: Any, rows: list[dict[str, Any]] | None = None) -> None:
    """Prints JSON, a table of the rows, or without rows a line for each field."""
    if Options.as_json:
        typer.echo(json.dumps(result, indent=1))
        return
    if rows is None:
        rows = [{"field": name, "value": value} for name, value in flatten(result)]
    if not rows:
        return typer.echo("nothing")
    columns = list(rows[0])
    cells = [columns] + [[format_value(row.get(column)) for column in columns] for row in rows]
    widths = [max(len(line[n]) for line in cells) for n in range(len(columns))]
    for line in cells:
        typer.echo("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())


def flatten(result: Any, path: str = "") -> list[tuple[str, Any]]:
    """Returns each leaf of the document with its path."""
    if isinstance(result, dict):
        return [line for name, value in result.items() for line in flatten(value, f"{path}.{name}" if path else name)]
    if isinstance(result, list) and result and isinstance(result[0], dict):
        return [line for n, value in enumerate(result) for line in flatten(value, f"{path}[{value.get('name', n)}]")]
    return [(path, result)]


def format_value(value: Any) -> str:
    if value is None:
        return "-"
    return ", ".join(map(str, value)) if isinstance(value, list) else str(value)


def open_client() -> Caller:
    """Returns a client that is closed when the command exits."""
    client = Caller(Options.target)
    atexit.register(client.close)  # a failed call exits the command at once
    return client


def fetch(path: str) -> Any:
    """Returns the body of a GET, or exits with the error."""
    with exit_on_error():
        return open_client().call("GET", path).body


def change(method: str, path: str, body: Any, version: int, tenant_path: str) -> Any:
    """Makes a change of that version of the tenant. With 0 it reads the current version first."""
    with exit_on_error():
        client = open_client()
        version = version or client.call("GET", tenant_path).version
        return client.call(method, path, body, version).body


def print_tenant(result: Any) -> None:
    """Prints the tenant after a change, and the token if the change made one."""
    if Options.as_json:
        return print_result(result)
    typer.echo(f"{result['tenant']['name']}: {result['state']}, version {result['version']}")
    if "token" in result:
        typer.echo(f"token, shown this once: {result['token']}")


# ---- tenants ----


@tenants.command("list")
def list_tenants() -> None:
    with exit_on_error():
        result = open_client().pages("/v1/tenants", "tenants")
    print_result(
        result,
        [
            {
                "tenant": entry["tenant"]["name"],
                "state": entry["state"],
                "version": entry["version"],
                "servers": len(entry["tenant"]["servers"]) or entry["tenant"]["source"],
                "listeners": entry["tenant"]["listeners"],
            }
            for entry in result
        ],
    )


@tenants.command("show")
def show_tenant(tenant: Tenant) -> None:
    print_result(fetch(f"/v1/tenants/{tenant}"))


@tenants.command("make")
def make_tenant(file: File) -> None:
    with exit_on_error():
        print_tenant(open_client().call("POST", "/v1/tenants", read_document(file)).body)


@tenants.command("replace")
def replace_tenant(tenant: Tenant, file: File, version: Version = 0) -> None:
    with exit_on_error():
        body = read_document(file)
    path = f"/v1/tenants/{tenant}"
    print_tenant(change("PUT", path, body, version, path))


@tenants.command("end")
def end_tenant(tenant: Tenant, version: Version = 0) -> None:
    """Drains the tenant and removes it when its last transaction has ended."""
    path = f"/v1/tenants/{tenant}"
    print_tenant(change("DELETE", path, None, version, path))


@tenants.command("suspend")
def suspend_tenant(tenant: Tenant, version: Version = 0) -> None:
    """Rolls back new transactions with a wait and finishes the open ones."""
    print_tenant(change("PUT", f"/v1/tenants/{tenant}/state", {"state": "suspended"}, version, f"/v1/tenants/{tenant}"))


@tenants.command("resume")
def resume_tenant(tenant: Tenant, version: Version = 0) -> None:
    print_tenant(change("PUT", f"/v1/tenants/{tenant}/state", {"state": "active"}, version, f"/v1/tenants/{tenant}"))


# ---- parts of a tenant ----


@servers.command("list")
def list_servers(tenant: Tenant) -> None:
    result = fetch(f"/v1/tenants/{tenant}/servers")
    print_result(result, result["servers"])


@servers.command("set")
def set_servers(tenant: Tenant, file: File, version: Version = 0) -> None:
    """Replaces all cache hosts, from {"servers": [...]}."""
    with exit_on_error():
        body = read_document(file)
    print_tenant(change("PUT", f"/v1/tenants/{tenant}/servers", body, version, f"/v1/tenants/{tenant}"))


@servers.command("put")
def put_server(
    tenant: Tenant,
    name: str,
    place: str,
    zone: Annotated[str, typer.Option()] = "",
    weight: Annotated[float, typer.Option()] = 1.0,
    warm: Annotated[bool, typer.Option("--warm", help="The cache host holds copies already.")] = False,
    version: Version = 0,
) -> None:
    """Adds or replaces one cache host. A new one counts as cold without --warm."""
    body = {"name": name, "place": place, "zone": zone, "weight": weight, "started_ms": 1 if warm else 0}
    print_tenant(change("PUT", f"/v1/tenants/{tenant}/servers/{name}", body, version, f"/v1/tenants/{tenant}"))


@servers.command("drain")
def drain_server(
    tenant: Tenant, name: str, undo: Annotated[bool, typer.Option("--undo")] = False, version: Version = 0
) -> None:
    """Drains a cache host: no new hops are sent to it."""
    server = next((s for s in fetch(f"/v1/tenants/{tenant}/servers")["servers"] if s["name"] == name), None)
    with exit_on_error():
        if server is None:
            raise CallFailed(f"{tenant}: no cache host {name}", 4)
    body = {**(server or {}), "draining": not undo}
    print_tenant(change("PUT", f"/v1/tenants/{tenant}/servers/{name}", body, version, f"/v1/tenants/{tenant}"))


@servers.command("remove")
def remove_server(tenant: Tenant, name: str, version: Version = 0) -> None:
    print_tenant(change("DELETE", f"/v1/tenants/{tenant}/servers/{name}", None, version, f"/v1/tenants/{tenant}"))


@limits.command("show")
def show_limits(tenant: Tenant) -> None:
    print_result(fetch(f"/v1/tenants/{tenant}/limits"))


@limits.command("set")
def set_limits(
    tenant: Tenant,
    words: Annotated[list[str], typer.Argument(help="FIELD=NUMBER, as cpu.least=0.1")],
    version: Version = 0,
) -> None:
    """Sets the named limits; the others stay."""
    body = fetch(f"/v1/tenants/{tenant}/limits")
    with exit_on_error():
        for word in words:
            field, _, text = word.partition("=")
            set_field(body, field, text)
    print_tenant(change("PUT", f"/v1/tenants/{tenant}/limits", body, version, f"/v1/tenants/{tenant}"))


def set_field(body: Any, field: str, text: str) -> None:
    """Sets one field by its path. Raises CallFailed if there is no such field or the text is no number."""
    *parents, last = field.split(".")
    for parent in parents:
        body = body.get(parent) if isinstance(body, dict) else None
    if not isinstance(body, dict) or last not in body or isinstance(body[last], dict):
        raise CallFailed(f"{field}: there is no such limit", EXIT_BAD_INPUT)
    try:
        body[last] = int(text) if text.isdigit() else float(text)
    except ValueError:
        raise CallFailed(f"{field}: a number is wanted, not {text!r}", EXIT_BAD_INPUT) from None


@profiles.command("show")
def show_profiles(tenant: Tenant) -> None:
    result = fetch(f"/v1/tenants/{tenant}/profiles")
    print_result(result, result["profiles"])


@profiles.command("set")
def set_profiles(tenant: Tenant, file: File, version: Version = 0) -> None:
    """Replaces all profiles, from {"profiles": [...]}."""
    with exit_on_error():
        body = read_document(file)
    print_tenant(change("PUT", f"/v1/tenants/{tenant}/profiles", body, version, f"/v1/tenants/{tenant}"))


@keys.command("list")
def list_keys(tenant: Tenant) -> None:
    result = fetch(f"/v1/tenants/{tenant}/keys")
    print_result(result, result["keys"])


@keys.command("make")
def make_key(
    tenant: Tenant,
    name: str,
    scope: Annotated[str, typer.Option(help="administrator or reader")] = "reader",
    expires_in_s: Annotated[int, typer.Option("--expires-in-s", min=0)] = 0,
) -> None:
    body = {"name": name, "scope": scope, "expires_in_s": expires_in_s}
    with exit_on_error():
        print_tenant(open_client().call("POST", f"/v1/tenants/{tenant}/keys", body).body)


@keys.command("rotate")
def rotate_key(
    tenant: Tenant,
    name: str,
    new: Annotated[str, typer.Argument(help="The new key's name.")],
    overlap_s: Annotated[int, typer.Option("--overlap-s", min=0)] = 3600,
) -> None:
    """Makes a new key; the old one stays valid for the overlap."""
    with exit_on_error():
        print_tenant(
            open_client()
            .call("POST", f"/v1/tenants/{tenant}/keys/{name}/rotate", {"name": new, "overlap_s": overlap_s})
            .body
        )


@keys.command("remove")
def remove_key(tenant: Tenant, name: str, version: Version = 0) -> None:
    print_tenant(change("DELETE", f"/v1/tenants/{tenant}/keys/{name}", None, version, f"/v1/tenants/{tenant}"))


@app.command("new-operator")
def new_operator(name: str) -> None:
    """Prints a new operator's token and the lines for the service's file; nothing is sent or written."""
    token = tokens.generate_token("", name)
    result = {"token": token, "name": name, "digest": tokens.digest_of(token).hex()}
    if Options.as_json:
        return print_result(result)
    typer.echo(
        f"token, shown this once: {token}\nfor the service's file:\n\n[[api.operators]]\n"
        f'name = "{name}"\ndigest = "{result["digest"]}"'
    )


# ---- logs ----


@app.command()
def changes(
    after: Annotated[int, typer.Option(min=0)] = 0,
    follow: Annotated[bool, typer.Option("--follow", help="Wait for further changes until Ctrl-C.")] = False,
) -> None:
    """Prints the change log after a version."""
    while True:
        result = fetch(f"/v1/changes?after={after}&limit=200" + ("&wait_s=30" if follow else ""))
        rows = [
            {name: line[name] for name in ("version", "at_ms", "who", "tenant", "kind")} for line in result["changes"]
        ]
        if rows or not follow:
            print_result(result, rows)
        if not follow and len(rows) < 200:
            return
        after = rows[-1]["version"] if rows else after


@app.command()
def audit(after: Annotated[int, typer.Option(min=0)] = 0) -> None:
    """Prints the audit log: changes and denied calls."""
    result = fetch(f"/v1/audit?after={after}&limit=200")
    print_result(result, result["audit"])


@app.command()
def process() -> None:
    """Prints what the process and each tenant use."""
    result = fetch("/v1/process")
    print_result(result, [{"tenant": name, **use} for name, use in result["tenants"].items()])


# ---- the fleet ----


@fleet.callback(invoke_without_command=True)
def show_fleet(context: typer.Context) -> None:
    """Prints the members, the leader, the version in force at each, and which take no transactions and why."""
    if context.invoked_subcommand is None:
        result = fetch("/v1/fleet")
        print_result(result, result["members"])
        if not Options.as_json:
            typer.echo(
                f"{result['fleet']} as {result['me']} sees it: led by {result['leader'] or 'nobody'}, "
                f"term {result['term']}, version {result['version']}, without a majority: {result['alone']}"
                + (f", a change waits for {', '.join(result['waits_for'])}" if result["waits_for"] else "")
            )


@fleet.command("leave")
def leave_fleet(name: Annotated[str, typer.Argument(help="The member's name.")]) -> None:
    """Removes a member for good: no change waits for it any more, and it takes no transactions."""
    with exit_on_error():
        print_result(open_client().call("DELETE", f"/v1/fleet/{name}").body)


@fleet.command("join")
def join_fleet(name: Annotated[str, typer.Argument(help="The member's name.")]) -> None:
    """Readmits a removed member; it then joins by itself."""
    with exit_on_error():
        print_result(open_client().call("PUT", f"/v1/fleet/{name}").body)


# ---- files ----


def read_tenant_file(path: Path) -> list[tuple[TenantDocument, str]]:
    """Returns the tenants of the file with their states. Raises InvalidField or ServiceConfigError."""
    tables = read_tables(path).get("tenants", [])
    result: list[tuple[TenantDocument, str]] = []
    for i, table in enumerate(tables if isinstance(tables, list) else [tables]):
        entry = convert_document(ListedTenantDocument, table, f"tenants[{i}]")
        try:
            tenant_from_listed(entry)
        except InvalidField as error:
            raise InvalidField(f"tenants[{i}].{error.field}", error.reason) from error
        value = to_json_value(entry)
        result.append((convert_document(TenantDocument, {n: v for n, v in value.items() if n != "state"}), entry.state))
    return result


def steps_for(client: Caller, path: Path, remove: bool) -> list[Step]:
    """Returns the calls that make the service match the file."""
    file = read_tenant_file(path)
    return plan_steps(file, client.pages("/v1/tenants", "tenants"), remove)


TomlFile = Annotated[Path, typer.Argument(help="TOML with [[tenants]], as in deploy/service.toml.")]
RemoveOthers = Annotated[bool, typer.Option("--remove", help="End the tenants that are not in the file.")]


@app.command()
def plan(
    file: TomlFile,
    remove: RemoveOthers = False,
    detect: Annotated[bool, typer.Option("--detect", help="Exit with 7 if anything differs.")] = False,
) -> None:
    """Prints what `apply` would change; changes nothing."""
    with exit_on_error():
        steps = steps_for(open_client(), file, remove)
    print_steps(steps)
    raise typer.Exit(EXIT_DIFFERENT if detect and steps else 0)


def print_steps(steps: list[Step]) -> None:
    if Options.as_json:
        return print_result([{"kind": s.kind, "tenant": s.tenant, "differs": list(s.lines)} for s in steps])
    if not steps:
        typer.echo("nothing differs")
    for step in steps:
        typer.echo(f"{step.kind} {step.tenant}")
        for line in step.lines:
            typer.echo(f"  {line}")


@app.command()
def apply(file: TomlFile, remove: RemoveOthers = False) -> None:
    """Makes the changes that `plan` shows, each for the version it was planned on; stops at the first failure."""
    with exit_on_error():
        client = open_client()
        steps = steps_for(client, file, remove)
        versions: dict[str, int] = {}
        for n, step in enumerate(steps):
            version = versions.get(step.tenant, 0) if step.version < 0 else step.version
            try:
                result = client.call(step.method, step.path, step.body, version).body
            except CallFailed as error:
                raise CallFailed(
                    f"{step.kind} {step.tenant}: {error}; {n} of {len(steps)} changes were made", error.code
                ) from error
            versions[step.tenant] = result["version"]
    print_steps(steps)
