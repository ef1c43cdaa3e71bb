"""Runs a hosted service with a store and an API as a process of its own, and calls it as any client would."""

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


def document(name: str, listen: str, servers: tuple[str, ...] = (), **fields: Any) -> dict[str, Any]:
    """Returns the document of a tenant, as the API takes it."""
    guarantee = {"least": 0.1, "most": 0.8}
    limits = {"cpu": guarantee, "sockets": guarantee, "memory": guarantee} | fields.pop("limits", {})
    return {
        "name": name,
        "listeners": [listen],
        "profiles": PROFILES,
        "limits": limits,
        "servers": [{"name": f"host-{n}", "place": place} for n, place in enumerate(servers)],
    } | fields


class HttpReply:
    """A reply of the API with its decoded body."""

    def __init__(self, status: int, body: Any, headers: dict[str, str]) -> None:
        self.status, self.body, self.headers = status, body, headers


class HostedService:
    """A process of the hosted service. It may be started again on the same store; the log is kept."""

    def __init__(self, folder: Path, more: str = "", tls: str = "") -> None:
        self.folder, self.api = folder, free_place("127.0.0.1")
        self.operator_token = keys.generate_token("", "main")
        self.config_file, self.log = folder / "service.toml", folder / "log"
        self.config_text = (
            f'[process]\nsockets = 256\n[store]\npath = "registry.db"\n[api]\nlisten = "{self.api}"\n'
            f'calls_a_second = 500.0\nburst = 500\n{more}\n{tls}\n[[api.operators]]\nname = "main"\n'
            f'digest = "{keys.digest_of(self.operator_token).hex()}"\n'
        )
        self.config_text += "[end]\n"
        self.config_file.write_text(self.config_text)
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> "HostedService":
        """Starts the process and waits until it is ready."""
        self.launch()
        return self.wait_until_ready()

    def command(self) -> list[str]:
        """Returns how the program is started, without its arguments."""
        return ["-m", "ternquay"]

    def launch(self) -> None:
        """Starts the process."""
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.command(), "host", "--config", str(self.config_file)], cwd=ROOT, stderr=log
            )

    def wait_until_ready(self) -> "HostedService":
        """Waits until the API accepts connections."""
        assert self.process is not None
        until = time.monotonic() + 20
        while time.monotonic() < until:
            try:
                socket.create_connection(self.parse_address(self.api), timeout=1).close()
                return self
            except OSError:
                if self.process.poll() is not None:
                    break
                time.sleep(0.05)
        raise AssertionError(self.log.read_text()[-2000:])

    @staticmethod
    def parse_address(text: str) -> tuple[str, int]:
        host, _, port = text.rpartition(":")
        return host, int(port)

    def kill(self) -> None:
        assert self.process is not None
        self.process.kill()
        self.process.wait()

    def terminate(self) -> int:
        """Sends SIGTERM; returns the exit code."""
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(10)

    def call(self, method: str, path: str, body: Any = None, token: str | None = None, **headers: str) -> HttpReply:
        """Calls the API, by default as the operator."""
        connection = http.client.HTTPConnection(*self.parse_address(self.api), timeout=10)
        request_headers = {"authorization": f"Bearer {self.operator_token if token is None else token}"}
        request_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        text = body if isinstance(body, str | bytes | None) else json.dumps(body)
        try:
            connection.request(method, path, text, request_headers)
            response = connection.getresponse()
            content = response.read()
            return HttpReply(
                response.status,
                json.loads(content) if content else None,
                {name.lower(): value for name, value in response.getheaders()},
            )
        finally:
            connection.close()

    def create_tenant(self, name: str, servers: tuple[str, ...] = (), **fields: Any) -> str:
        """Creates a tenant; returns the address at which it listens."""
        listen = free_place("127.0.0.1")
        reply = self.call("POST", "/v1/tenants", document(name, listen, servers, **fields))
        assert reply.status == 201, reply.body
        return listen

    def create_key(self, tenant: str, name: str, scope: str, **fields: Any) -> str:
        """Creates an API key of the tenant; returns its token."""
        reply = self.call("POST", f"/v1/tenants/{tenant}/keys", {"name": name, "scope": scope, **fields})
        assert reply.status == 201, reply.body
        return str(reply.body["token"])

    def exchange(self, listen: str, text: bytes, wait: float = 0.5) -> bytes:
        """Sends the text as a client of the tenant; returns what comes back until nothing does for `wait` seconds."""
        with socket.create_connection(self.parse_address(listen), timeout=5) as client:
            client.sendall(text)
            client.settimeout(wait)
            received = b""
            try:
                while more := client.recv(1 << 16):
                    received += more
            except TimeoutError:
                pass
            return received


def descriptors(process: "subprocess.Popen[bytes]") -> int:
    """Returns the number of open file descriptors of the process."""
    return len(os.listdir(f"/proc/{process.pid}/fd"))
