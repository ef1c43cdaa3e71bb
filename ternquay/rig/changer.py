"""Changes by the administration API during a play: a process of its own, one change after the other, each written down.

For the judge it tells what a drain or a removal of a cache host said, and when that was acknowledged.
"""

import sys
import time
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from ternquay.hosted.administration.caller import Caller, CallFailed, Target
from ternquay.rig import records
from ternquay.rig.child import Plan
from ternquay.rig.terms import SECOND, ChangeTerms

ACTIONS = ("limits", "drain", "undrain", "remove", "add", "profiles", "suspend-others", "resume-others", "key")
OUT_MOST = 2  # cache hosts of one tenant that are drained or removed at a time


class ChangePlan(Plan):
    changes: ChangeTerms = ChangeTerms()
    api: str = ""
    token: str = ""
    suspended: str = ""  # the tenant that is suspended and resumed, whose service nobody looks at


class Change(msgspec.Struct, array_like=True):
    """One call: what it was, when it began and was acknowledged, and with which status."""

    kind: str
    tenant: str
    began: int
    ended: int
    status: int


class ChangesSaw(msgspec.Struct):
    changes: list[Change] = []
    told: dict[str, list[records.Told]] = {}


class Changer:
    def __init__(self, plan: ChangePlan) -> None:
        self.plan = plan
        self.caller = Caller(Target(f"http://{plan.api}", plan.token))
        self.random = Random(f"{plan.seed}/changes")
        self.saw = ChangesSaw()
        self.servers: dict[str, list[dict[str, Any]]] = {}
        self.away: dict[str, list[dict[str, Any]]] = {name: [] for name in plan.changes.tenants}
        self.drained: dict[str, list[str]] = {name: [] for name in plan.changes.tenants}

    def run(self, begin: int) -> None:
        end = begin + int((self.plan.day.seconds - 1.0) * SECOND)
        due, every = begin + SECOND // 2, SECOND / self.plan.changes.a_second
        while due < end:
            time.sleep(max(0, due - time.monotonic_ns()) / SECOND)
            self.one(self.random.choice(self.plan.changes.tenants))
            due += int(self.random.expovariate(1 / every))

    def one(self, tenant: str) -> None:
        kind = self.random.choice(ACTIONS)
        path = f"/v1/tenants/{tenant}"
        if kind == "limits":
            body = self.caller.call("GET", f"{path}/limits").body
            self.change(kind, tenant, "PUT", f"{path}/limits", {**body, "burst": self.random.randint(140, 160)})
        elif kind == "profiles":
            body = self.caller.call("GET", f"{path}/profiles").body
            self.random.shuffle(body["profiles"])
            self.change(kind, tenant, "PUT", f"{path}/profiles", body)
        elif kind == "key":
            name = f"k-{self.random.randrange(1 << 40):x}"
            self.change(kind, tenant, "POST", f"{path}/keys", {"name": name, "scope": "reader"})
            self.change(kind, tenant, "DELETE", f"{path}/keys/{name}", None)
        elif kind.endswith("others"):
            if self.plan.suspended:
                state = {"state": "suspended" if kind.startswith("suspend") else "active"}
                at = f"/v1/tenants/{self.plan.suspended}/state"
                self.change(kind, self.plan.suspended, "PUT", at, state)
        else:
            self.server(kind, tenant, path)

    def server(self, kind: str, tenant: str, path: str) -> None:
        out = len(self.away[tenant]) + len(self.drained[tenant])
        servers = self.caller.call("GET", f"{path}/servers").body["servers"]
        if kind in ("drain", "remove"):
            up = [one for one in servers if not one["draining"]]
            if out >= OUT_MOST or len(up) < 3:
                return
            one = self.random.choice(up)
            at = f"{path}/servers/{one['name']}"
            if kind == "drain":
                self.drained[tenant].append(one["name"])
                self.change(kind, tenant, "PUT", at, {**one, "draining": True}, (one["name"], "draining"))
            else:
                self.away[tenant].append(one)
                self.change(kind, tenant, "DELETE", at, None, (one["name"], "removed"))
        elif kind == "undrain" and self.drained[tenant]:
            name = self.drained[tenant].pop(0)
            one = next(server for server in servers if server["name"] == name)
            self.change(kind, tenant, "PUT", f"{path}/servers/{name}", {**one, "draining": False}, (name, "up"))
        elif kind == "add" and self.away[tenant]:
            one = self.away[tenant].pop(0)
            self.change(kind, tenant, "PUT", f"{path}/servers/{one['name']}", one, (one["name"], "up"))

    def change(
        self, kind: str, tenant: str, method: str, path: str, body: Any, host: tuple[str, str] | None = None
    ) -> None:
        began = time.monotonic_ns()
        try:
            status = self.caller.call(method, path, body, -1).status
        except CallFailed as fault:
            status = int(str(fault).partition(":")[0]) if str(fault)[:3].isdigit() else 0
        ended = time.monotonic_ns()
        self.saw.changes.append(Change(kind, tenant, began, ended, status))
        if host is not None and status < 300:
            # A cache host may have its hops from when a change was asked for, and none from when it was told.
            at = began if host[1] == "up" else ended
            self.saw.told.setdefault(tenant, []).append(records.Told(0, at, *host))


def main() -> None:
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ChangePlan)
    sys.stdout.write('{"ready":true}\n')
    sys.stdout.flush()
    word, _, number = sys.stdin.readline().partition(" ")
    if word == "begin":
        changer = Changer(plan)
        changer.run(int(number))
        Path(plan.out).write_bytes(msgspec.json.encode(changer.saw))


if __name__ == "__main__":
    main()
