"""`ternquay admin`: the administration API from the command line, as a table or JSON, with exit codes for scripts.

0 done; 2 bad input; 3 not allowed; 4 not there; 5 changed by somebody else meanwhile; 6 not now, or out of reach;
7 `plan --detect` found differences.
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
from ternquay.hosted.administration.caller import BAD, Caller, CallFailed, Target
from ternquay.hosted.administration.plan import Step, plan_steps
from ternquay.hosted.service import ListedTenantDocument, ServiceConfigError, read_tables, tenant_from_listed
from ternquay.hosted.tenants.documents import TenantDocument, convert_document, to_json_value
from ternquay.hosted.tenants.tenant import InvalidField

DIFFERS = 7
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
Version = Annotated[int, typer.Option("--version", min=0, help="The version that it is meant for; else the present.")]


class Chosen:
    """What was told before the command's name."""

    target = Target("", "")
    as_json = False


@app.callback()
def choose(
    url: Annotated[str, typer.Option(envvar="TERNQUAY_API")] = "http://127.0.0.1:9180",
    token: Annotated[str, typer.Option(envvar="TERNQUAY_TOKEN", show_default=False)] = "",
    token_file: Annotated[Path | None, typer.Option("--token-file")] = None,
    ca: Annotated[str, typer.Option(help="Whom to trust, a PEM file.")] = "",
    certificate: Annotated[str, typer.Option(help="To show to the API, a PEM file.")] = "",
    key: Annotated[str, typer.Option(help="Of that certificate.")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="JSON instead of a table.")] = False,
) -> None:
    with told_in_a_line():
        if token_file is not None:
            token = read_text(token_file).strip()
    Chosen.target, Chosen.as_json = Target(url, token, ca, certificate, key), as_json


def read_text(path: Path) -> str:
    try:
        return sys.stdin.read() if str(path) == "-" else path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as fault:
        raise CallFailed(f"{path}: {fault}", BAD) from fault


@contextmanager
def told_in_a_line() -> Iterator[None]:
    try:
        yield
    except CallFailed as fault:
        typer.echo(f"ternquay admin: {fault}", err=True)
        raise typer.Exit(fault.code) from fault
    except (InvalidField, ServiceConfigError) as fault:
        typer.echo(f"ternquay admin: {fault}", err=True)
        raise typer.Exit(BAD) from fault


def document(path: Path) -> Any:
    text = read_text(path)
    try:
        return tomllib.loads(text) if path.suffix == ".toml" else json.loads(text)
    except (ValueError, tomllib.TOMLDecodeError) as fault:
        raise CallFailed(f"{path}: {fault}", BAD) from fault


def show(found: Any, rows: list[dict[str, Any]] | None = None) -> None:
    """JSON whole; else rows in columns, or a line for each field."""
    if Chosen.as_json:
        typer.echo(json.dumps(found, indent=1))
        return
    if rows is None:
        rows = [{"field": name, "value": value} for name, value in flat(found)]
    if not rows:
        return typer.echo("nothing")
    columns = list(rows[0])
    cells = [columns] + [[text_of(row.get(column)) for column in columns] for row in rows]
    widths = [max(len(line[n]) for line in cells) for n in range(len(columns))]
    for line in cells:
        typer.echo("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())


def flat(found: Any, at: str = "") -> list[tuple[str, Any]]:
    if isinstance(found, dict):
        return [line for name, value in found.items() for line in flat(value, f"{at}.{name}" if at else name)]
    if isinstance(found, list) and found and isinstance(found[0], dict):
        return [line for n, value in enumerate(found) for line in flat(value, f"{at}[{value.get('name', n)}]")]
    return [(at, found)]


def text_of(value: Any) -> str:
    if value is None:
        return "-"
    return ", ".join(map(str, value)) if isinstance(value, list) else str(value)


def caller() -> Caller:
    one = Caller(Chosen.target)
    atexit.register(one.close)  # a call that fails ends the command where it stands
    return one


def get(path: str) -> Any:
    with told_in_a_line():
        return caller().call("GET", path).body


def change(method: str, path: str, body: Any, version: int, at: str) -> Any:
    """A change meant for a version; without one for the present, which is asked for first."""
    with told_in_a_line():
        one = caller()
        version = version or one.call("GET", at).version
        return one.call(method, path, body, version).body


def done(found: Any) -> None:
    if Chosen.as_json:
        return show(found)
    typer.echo(f"{found['tenant']['name']}: {found['state']}, version {found['version']}")
    if "token" in found:
        typer.echo(f"token, shown this once: {found['token']}")


# ---- tenants ----


@tenants.command("list")
def list_tenants() -> None:
    with told_in_a_line():
        found = caller().pages("/v1/tenants", "tenants")
    show(
        found,
        [
            {
                "tenant": one["tenant"]["name"],
                "state": one["state"],
                "version": one["version"],
                "servers": len(one["tenant"]["servers"]) or one["tenant"]["source"],
                "listeners": one["tenant"]["listeners"],
            }
            for one in found
        ],
    )


@tenants.command("show")
def show_tenant(tenant: Tenant) -> None:
    show(get(f"/v1/tenants/{tenant}"))


@tenants.command("make")
def make_tenant(file: File) -> None:
    with told_in_a_line():
        done(caller().call("POST", "/v1/tenants", document(file)).body)


@tenants.command("replace")
def replace_tenant(tenant: Tenant, file: File, version: Version = 0) -> None:
    with told_in_a_line():
        body = document(file)
    at = f"/v1/tenants/{tenant}"
    done(change("PUT", at, body, version, at))


@tenants.command("end")
def end_tenant(tenant: Tenant, version: Version = 0) -> None:
    """Drains it; then it is gone."""
    at = f"/v1/tenants/{tenant}"
    done(change("DELETE", at, None, version, at))


@tenants.command("suspend")
def suspend_tenant(tenant: Tenant, version: Version = 0) -> None:
    """New transactions are rolled back with a wait, open ones finished."""
    done(change("PUT", f"/v1/tenants/{tenant}/state", {"state": "suspended"}, version, f"/v1/tenants/{tenant}"))


@tenants.command("resume")
def resume_tenant(tenant: Tenant, version: Version = 0) -> None:
    done(change("PUT", f"/v1/tenants/{tenant}/state", {"state": "active"}, version, f"/v1/tenants/{tenant}"))


# ---- its parts ----


@servers.command("list")
def list_servers(tenant: Tenant) -> None:
    found = get(f"/v1/tenants/{tenant}/servers")
    show(found, found["servers"])


@servers.command("set")
def set_servers(tenant: Tenant, file: File, version: Version = 0) -> None:
    """All of them, from {"servers": [...]}."""
    with told_in_a_line():
        body = document(file)
    done(change("PUT", f"/v1/tenants/{tenant}/servers", body, version, f"/v1/tenants/{tenant}"))


@servers.command("put")
def put_server(
    tenant: Tenant,
    name: str,
    place: str,
    zone: Annotated[str, typer.Option()] = "",
    weight: Annotated[float, typer.Option()] = 1.0,
    warm: Annotated[bool, typer.Option("--warm", help="It holds copies already.")] = False,
    version: Version = 0,
) -> None:
    """One cache host, new or not. A new one counts as cold unless it is said to be warm."""
    body = {"name": name, "place": place, "zone": zone, "weight": weight, "started_ms": 1 if warm else 0}
    done(change("PUT", f"/v1/tenants/{tenant}/servers/{name}", body, version, f"/v1/tenants/{tenant}"))


@servers.command("drain")
def drain_server(
    tenant: Tenant, name: str, undo: Annotated[bool, typer.Option("--undo")] = False, version: Version = 0
) -> None:
    """Nothing new goes there any more."""
    one = next((s for s in get(f"/v1/tenants/{tenant}/servers")["servers"] if s["name"] == name), None)
    with told_in_a_line():
        if one is None:
            raise CallFailed(f"{tenant}: no cache host {name}", 4)
    body = {**(one or {}), "draining": not undo}
    done(change("PUT", f"/v1/tenants/{tenant}/servers/{name}", body, version, f"/v1/tenants/{tenant}"))


@servers.command("remove")
def remove_server(tenant: Tenant, name: str, version: Version = 0) -> None:
    done(change("DELETE", f"/v1/tenants/{tenant}/servers/{name}", None, version, f"/v1/tenants/{tenant}"))


@limits.command("show")
def show_limits(tenant: Tenant) -> None:
    show(get(f"/v1/tenants/{tenant}/limits"))


@limits.command("set")
def set_limits(
    tenant: Tenant,
    words: Annotated[list[str], typer.Argument(help="FIELD=NUMBER, as cpu.least=0.1")],
    version: Version = 0,
) -> None:
    """Those named; the others stay."""
    body = get(f"/v1/tenants/{tenant}/limits")
    with told_in_a_line():
        for word in words:
            field, _, text = word.partition("=")
            put(body, field, text)
    done(change("PUT", f"/v1/tenants/{tenant}/limits", body, version, f"/v1/tenants/{tenant}"))


def put(body: Any, field: str, text: str) -> None:
    """Sets one field by its path; raises CallFailed if there is none, or what it is told is no number."""
    *way, last = field.split(".")
    for part in way:
        body = body.get(part) if isinstance(body, dict) else None
    if not isinstance(body, dict) or last not in body or isinstance(body[last], dict):
        raise CallFailed(f"{field}: there is no such limit", BAD)
    try:
        body[last] = int(text) if text.isdigit() else float(text)
    except ValueError:
        raise CallFailed(f"{field}: a number is wanted, not {text!r}", BAD) from None


@profiles.command("show")
def show_profiles(tenant: Tenant) -> None:
    found = get(f"/v1/tenants/{tenant}/profiles")
    show(found, found["profiles"])


@profiles.command("set")
def set_profiles(tenant: Tenant, file: File, version: Version = 0) -> None:
    """All of them, from {"profiles": [...]}."""
    with told_in_a_line():
        body = document(file)
    done(change("PUT", f"/v1/tenants/{tenant}/profiles", body, version, f"/v1/tenants/{tenant}"))


@keys.command("list")
def list_keys(tenant: Tenant) -> None:
    found = get(f"/v1/tenants/{tenant}/keys")
    show(found, found["keys"])


@keys.command("make")
def make_key(
    tenant: Tenant,
    name: str,
    scope: Annotated[str, typer.Option(help="administrator or reader")] = "reader",
    expires_in_s: Annotated[int, typer.Option("--expires-in-s", min=0)] = 0,
) -> None:
    body = {"name": name, "scope": scope, "expires_in_s": expires_in_s}
    with told_in_a_line():
        done(caller().call("POST", f"/v1/tenants/{tenant}/keys", body).body)


@keys.command("rotate")
def rotate_key(
    tenant: Tenant,
    name: str,
    new: Annotated[str, typer.Argument(help="The new key's name.")],
    overlap_s: Annotated[int, typer.Option("--overlap-s", min=0)] = 3600,
) -> None:
    """A new token; the old one goes on for the overlap."""
    with told_in_a_line():
        done(
            caller()
            .call("POST", f"/v1/tenants/{tenant}/keys/{name}/rotate", {"name": new, "overlap_s": overlap_s})
            .body
        )


@keys.command("remove")
def remove_key(tenant: Tenant, name: str, version: Version = 0) -> None:
    done(change("DELETE", f"/v1/tenants/{tenant}/keys/{name}", None, version, f"/v1/tenants/{tenant}"))


@app.command("new-operator")
def new_operator(name: str) -> None:
    """A new operator's token, and the lines that let it in; neither goes anywhere by itself."""
    token = tokens.generate_token("", name)
    found = {"token": token, "name": name, "digest": tokens.digest_of(token).hex()}
    if Chosen.as_json:
        return show(found)
    typer.echo(
        f"token, shown this once: {token}\nfor the service's file:\n\n[[api.operators]]\n"
        f'name = "{name}"\ndigest = "{found["digest"]}"'
    )


# ---- logs ----


@app.command()
def changes(
    after: Annotated[int, typer.Option(min=0)] = 0,
    follow: Annotated[bool, typer.Option("--follow", help="Wait for more, until Ctrl-C.")] = False,
) -> None:
    """The change log after a version."""
    while True:
        found = get(f"/v1/changes?after={after}&limit=200" + ("&wait_s=30" if follow else ""))
        rows = [{name: one[name] for name in ("version", "at_ms", "who", "tenant", "kind")} for one in found["changes"]]
        if rows or not follow:
            show(found, rows)
        if not follow and len(rows) < 200:
            return
        after = rows[-1]["version"] if rows else after


@app.command()
def audit(after: Annotated[int, typer.Option(min=0)] = 0) -> None:
    """Changes and denied calls."""
    found = get(f"/v1/audit?after={after}&limit=200")
    show(found, found["audit"])


@app.command()
def process() -> None:
    """What the process and each tenant use."""
    found = get("/v1/process")
    show(found, [{"tenant": name, **use} for name, use in found["tenants"].items()])


# ---- the fleet ----


@fleet.callback(invoke_without_command=True)
def show_fleet(context: typer.Context) -> None:
    """Members, who leads, the version in force at each, who takes nothing and why."""
    if context.invoked_subcommand is None:
        found = get("/v1/fleet")
        show(found, found["members"])
        if not Chosen.as_json:
            typer.echo(
                f"{found['fleet']} as {found['me']} sees it: led by {found['leader'] or 'nobody'}, "
                f"term {found['term']}, version {found['version']}, without a majority: {found['alone']}"
                + (f", a change waits for {', '.join(found['waits_for'])}" if found["waits_for"] else "")
            )


@fleet.command("leave")
def leave_fleet(name: Annotated[str, typer.Argument(help="The member's name.")]) -> None:
    """Takes a member out, for good: nobody waits for it any more, and it takes nothing."""
    with told_in_a_line():
        show(caller().call("DELETE", f"/v1/fleet/{name}").body)


@fleet.command("join")
def join_fleet(name: Annotated[str, typer.Argument(help="The member's name.")]) -> None:
    """Lets one that was taken out come in again by itself."""
    with told_in_a_line():
        show(caller().call("PUT", f"/v1/fleet/{name}").body)


# ---- files ----


def read_tenant_file(path: Path) -> list[tuple[TenantDocument, str]]:
    told = read_tables(path).get("tenants", [])
    found: list[tuple[TenantDocument, str]] = []
    for i, one in enumerate(told if isinstance(told, list) else [told]):
        entry = convert_document(ListedTenantDocument, one, f"tenants[{i}]")
        try:
            tenant_from_listed(entry)
        except InvalidField as fault:
            raise InvalidField(f"tenants[{i}].{fault.field}", fault.reason) from fault
        whole = to_json_value(entry)
        found.append((convert_document(TenantDocument, {n: v for n, v in whole.items() if n != "state"}), entry.state))
    return found


def steps_of(one: Caller, path: Path, remove: bool) -> list[Step]:
    file = read_tenant_file(path)
    return plan_steps(file, one.pages("/v1/tenants", "tenants"), remove)


TomlFile = Annotated[Path, typer.Argument(help="TOML with [[tenants]], as in deploy/service.toml.")]
RemoveOthers = Annotated[bool, typer.Option("--remove", help="End tenants that the file does not name.")]


@app.command()
def plan(
    file: TomlFile,
    remove: RemoveOthers = False,
    detect: Annotated[bool, typer.Option("--detect", help="Exit with 7 if anything differs.")] = False,
) -> None:
    """What the file would change; changes nothing."""
    with told_in_a_line():
        steps = steps_of(caller(), file, remove)
    told(steps)
    raise typer.Exit(DIFFERS if detect and steps else 0)


def told(steps: list[Step]) -> None:
    if Chosen.as_json:
        return show([{"kind": s.kind, "tenant": s.tenant, "differs": list(s.lines)} for s in steps])
    if not steps:
        typer.echo("nothing differs")
    for step in steps:
        typer.echo(f"{step.kind} {step.tenant}")
        for line in step.lines:
            typer.echo(f"  {line}")


@app.command()
def apply(file: TomlFile, remove: RemoveOthers = False) -> None:
    """Makes the changes that `plan` shows, each for the version that it was planned on, up to the first that fails."""
    with told_in_a_line():
        one = caller()
        steps = steps_of(one, file, remove)
        versions: dict[str, int] = {}
        for n, step in enumerate(steps):
            version = versions.get(step.tenant, 0) if step.version < 0 else step.version
            try:
                found = one.call(step.method, step.path, step.body, version).body
            except CallFailed as fault:
                raise CallFailed(
                    f"{step.kind} {step.tenant}: {fault}; {n} of {len(steps)} changes were made", fault.code
                ) from fault
            versions[step.tenant] = found["version"]
    told(steps)
