"""What a file of tenants would change, as calls of the administration API, with the lines that differ.

steps = planned(file, there, remove=False)   # pure
"""

from dataclasses import dataclass
from typing import Any

from ternquay.hosted.tenants.documents import TenantDocument, to_json_value


@dataclass(slots=True, frozen=True)
class Step:
    """One call, and what it is for. `version` goes as If-Match, 0 where there is nothing to match."""

    kind: str  # make, replace, state, end
    tenant: str
    method: str
    path: str
    body: Any
    version: int
    lines: tuple[str, ...]


def differing(old: Any, new: Any, at: str = "") -> list[str]:
    """Each field that differs, with what it was and what it would be."""
    if isinstance(old, dict) and isinstance(new, dict):
        return [
            line
            for name in sorted({*old, *new})
            for line in differing(old.get(name), new.get(name), f"{at}.{name}" if at else name)
        ]
    if isinstance(old, list) and isinstance(new, list) and _named(old) and _named(new):
        was, will = ({one["name"]: one for one in those} for those in (old, new))
        return [
            line for name in sorted({*was, *will}) for line in differing(was.get(name), will.get(name), f"{at}[{name}]")
        ]
    return [] if old == new else [f"{at}: {_short(old)} -> {_short(new)}"]


def _named(those: list[Any]) -> bool:
    return all(isinstance(one, dict) and "name" in one for one in those)


def _short(value: Any) -> str:
    if value is None:
        return "nothing"
    text = str(value)
    return text if len(text) <= 80 else text[:77] + "..."


def kept_starts(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    """The file as it is meant: a cache host whose start it does not tell keeps the one that it has."""
    starts = {one["place"]: one["started_ms"] for one in old["servers"]}
    servers = [{**one, "started_ms": one["started_ms"] or starts.get(one["place"], 0)} for one in new["servers"]]
    return {**new, "servers": servers}


def plan_steps(file: list[tuple[TenantDocument, str]], there: list[dict[str, Any]], remove: bool = False) -> list[Step]:
    """`file`: tenants with their wanted states; `there`: tenants as the API shows them. With `remove`, those that the
    file does not name are ended, first of all, as they may hold what others want."""
    now, steps = {one["tenant"]["name"]: one for one in there}, []
    if remove:
        wanted = {document.name for document, _ in file}
        for name, one in sorted(now.items()):
            if name not in wanted and one["state"] != "ending":
                steps.append(Step("end", name, "DELETE", f"/v1/tenants/{name}", None, one["version"], ()))
    for document, state in file:
        steps += _of(document, state, now.get(document.name))
    return steps


def _of(document: TenantDocument, state: str, there: dict[str, Any] | None) -> list[Step]:
    name, body = document.name, to_json_value(document)
    path = f"/v1/tenants/{name}"
    if there is None:
        steps = [Step("make", name, "POST", "/v1/tenants", body, 0, tuple(differing({}, body)))]
        if state != "active":
            steps.append(Step("state", name, "PUT", f"{path}/state", {"state": state}, -1, (f"state: {state}",)))
        return steps
    steps = []
    lines = tuple(differing(there["tenant"], kept_starts(there["tenant"], body)))
    if lines:
        steps.append(Step("replace", name, "PUT", path, body, there["version"], lines))
    if state != there["state"]:
        # After a change before it the version is another one, which only that call tells.
        steps.append(
            Step(
                "state",
                name,
                "PUT",
                f"{path}/state",
                {"state": state},
                -1 if lines else there["version"],
                (f"state: {there['state']} -> {state}",),
            )
        )
    return steps
