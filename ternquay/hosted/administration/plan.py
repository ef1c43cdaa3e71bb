"""Compares a file of tenants with the service and plans the calls that make the service match the file.

steps = plan_steps(file, current, remove=False)   # no I/O
"""

from dataclasses import dataclass
from typing import Any

from ternquay.hosted.tenants.documents import TenantDocument, to_json_value


@dataclass(slots=True, frozen=True)
class Step:
    """One call with the differences that it removes.

    `version` goes as If-Match. 0 is none; -1 is the version that the preceding step of the tenant results in.
    """

    kind: str  # make, replace, state, end
    tenant: str
    method: str
    path: str
    body: Any
    version: int
    lines: tuple[str, ...]


def differences(old: Any, new: Any, path: str = "") -> list[str]:
    """Returns a line for each field that differs, with the old and the new value."""
    if isinstance(old, dict) and isinstance(new, dict):
        return [
            line
            for name in sorted({*old, *new})
            for line in differences(old.get(name), new.get(name), f"{path}.{name}" if path else name)
        ]
    if isinstance(old, list) and isinstance(new, list) and _all_named(old) and _all_named(new):
        old_items, new_items = ({item["name"]: item for item in items} for items in (old, new))
        return [
            line
            for name in sorted({*old_items, *new_items})
            for line in differences(old_items.get(name), new_items.get(name), f"{path}[{name}]")
        ]
    return [] if old == new else [f"{path}: {_abbreviate(old)} -> {_abbreviate(new)}"]


def _all_named(items: list[Any]) -> bool:
    return all(isinstance(item, dict) and "name" in item for item in items)


def _abbreviate(value: Any) -> str:
    if value is None:
        return "nothing"
    text = str(value)
    return text if len(text) <= 80 else text[:77] + "..."


def with_known_starts(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    """Returns `new`, in which cache hosts without a start time keep that of the same place in `old`."""
    starts = {server["place"]: server["started_ms"] for server in old["servers"]}
    servers = [
        {**server, "started_ms": server["started_ms"] or starts.get(server["place"], 0)} for server in new["servers"]
    ]
    return {**new, "servers": servers}


def plan_steps(
    file: list[tuple[TenantDocument, str]], current: list[dict[str, Any]], remove: bool = False
) -> list[Step]:
    """Returns the steps from `current`, the tenants as the API shows them, to `file`, tenants with their wanted states.

    With `remove`, tenants that are not in the file are ended. These steps come first, because such tenants may hold
    resources that others need.
    """
    existing, steps = {entry["tenant"]["name"]: entry for entry in current}, []
    if remove:
        wanted = {document.name for document, _ in file}
        for name, entry in sorted(existing.items()):
            if name not in wanted and entry["state"] != "ending":
                steps.append(Step("end", name, "DELETE", f"/v1/tenants/{name}", None, entry["version"], ()))
    for document, state in file:
        steps += _steps_for_tenant(document, state, existing.get(document.name))
    return steps


def _steps_for_tenant(document: TenantDocument, state: str, current: dict[str, Any] | None) -> list[Step]:
    name, body = document.name, to_json_value(document)
    path = f"/v1/tenants/{name}"
    if current is None:
        steps = [Step("make", name, "POST", "/v1/tenants", body, 0, tuple(differences({}, body)))]
        if state != "active":
            steps.append(Step("state", name, "PUT", f"{path}/state", {"state": state}, -1, (f"state: {state}",)))
        return steps
    steps = []
    lines = tuple(differences(current["tenant"], with_known_starts(current["tenant"], body)))
    if lines:
        steps.append(Step("replace", name, "PUT", path, body, current["version"], lines))
    if state != current["state"]:
        # The preceding change results in another version, which only its response tells.
        steps.append(
            Step(
                "state",
                name,
                "PUT",
                f"{path}/state",
                {"state": state},
                -1 if lines else current["version"],
                (f"state: {current['state']} -> {state}",),
            )
        )
    return steps
