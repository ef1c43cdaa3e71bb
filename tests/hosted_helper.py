"""A hosted service as a process of its own, with a store and an API, and calls to it as any client would make them."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from ternquay.hosted.administration import keys
from ternquay.rig.ports import free_place

ROOT = Path(__file__).parents[1]
PROFILES = [
    {"name": "read", "kind": "idempotent", "service_goal_ms": 300, "hard_limit_ms": 900},
    {"name": "mark", "kind": "journalled", "memory_ms": 3000, "service_goal_ms": 300, "hard_limit_ms": 900},
    {"name": "once", "kind": "non-idempotent", "service_goal_ms": 300, "hard_limit_ms": 900},
]


def document(name: str, listen: str, servers: tuple[str, ...] = (), **terms: Any) -> dict[str, Any]:
    """A tenant as the API takes it."""
    part = {"least": 0.1, "most": 0.8}
    limits = {"cpu": part, "sockets": part, "memory": part} | terms.pop("limits", {})
    return {
        "name": name,
        "listeners": [listen],
        "profiles": PROFILES,
        "limits": limits,
        "servers": [{"name": f"host-{n}", "place": place} for n, place in enumerate(servers)],
    } | terms


class Answer:
    def __init__(self, status: int, body: Any, headers: dict[str, str]) -> None:
        self.status, self.body, self.headers = status, body, headers


class Hosted:
    """Started, stopped and started again on the same store; its log is kept."""

    def __init__(self, folder: Path, more: str = "", tls: str = "") -> None:
        self.folder, self.api = folder, free_place("127.0.0.1")
        self.operator = keys.made("", "main")
        self.file, self.log = folder / "service.toml", folder / "log"
        self.text = (
            f'[process]\nsockets = 256\n[store]\npath = "registry.db"\n[api]\nlisten = "{self.api}"\n'
            f'calls_a_second = 500.0\nburst = 500\n{more}\n{tls}\n[[api.operators]]\nname = "main"\n'
            f'digest = "{keys.digest_of(self.operator).hex()}"\n'
        )
        self.text += "[end]\n"
        self.file.write_text(self.text)
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> "Hosted":
        self.launch()
        return self.ready()

    def command(self) -> list[str]:
        return ["-m", "ternquay"]

    def launch(self) -> None:
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.command(), "host", "--config", str(self.file)], cwd=ROOT, stderr=log
            )

    def ready(self) -> "Hosted":
        """Once its API can be reached."""
        assert self.process is not None
        until = time.monotonic() + 20
        while time.monotonic() < until:
            try:
                socket.create_connection(self.place(self.api), timeout=1).close()
                return self
            except OSError:
                if self.process.poll() is not None:
                    break
                time.sleep(0.05)
        raise AssertionError(self.log.read_text()[-2000:])

    @staticmethod
    def place(text: str) -> tuple[str, int]:
        host, _, port = text.rpartition(":")
        return host, int(port)

    def kill(self) -> None:
        assert self.process is not None
        self.process.kill()
        self.process.wait()

    def end(self) -> int:
        """SIGTERM; its exit code."""
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(10)

    def call(self, method: str, path: str, body: Any = None, token: str | None = None, **headers: str) -> Answer:
        connection = http.client.HTTPConnection(*self.place(self.api), timeout=10)
        told = {"authorization": f"Bearer {self.operator if token is None else token}"}
        told |= {name.replace("_", "-"): value for name, value in headers.items()}
        text = body if isinstance(body, str | bytes | None) else json.dumps(body)
        try:
            connection.request(method, path, text, told)
            found = connection.getresponse()
            answer = found.read()
            return Answer(
                found.status,
                json.loads(answer) if answer else None,
                {name.lower(): value for name, value in found.getheaders()},
            )
        finally:
            connection.close()

    def make(self, name: str, servers: tuple[str, ...] = (), **terms: Any) -> str:
        """Takes a tenant in; where it listens."""
        listen = free_place("127.0.0.1")
        found = self.call("POST", "/v1/tenants", document(name, listen, servers, **terms))
        assert found.status == 201, found.body
        return listen

    def key(self, tenant: str, name: str, scope: str, **terms: Any) -> str:
        found = self.call("POST", f"/v1/tenants/{tenant}/keys", {"name": name, "scope": scope, **terms})
        assert found.status == 201, found.body
        return str(found.body["token"])

    def ask(self, listen: str, text: bytes, wait: float = 0.5) -> bytes:
        """What a balancer's client gets for what it writes, within a while."""
        with socket.create_connection(self.place(listen), timeout=5) as client:
            client.sendall(text)
            client.settimeout(wait)
            found = b""
            try:
                while more := client.recv(1 << 16):
                    found += more
            except TimeoutError:
                pass
            return found


def descriptors(process: "subprocess.Popen[bytes]") -> int:
    return len(os.listdir(f"/proc/{process.pid}/fd"))
