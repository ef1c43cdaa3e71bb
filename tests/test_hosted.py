"""The hosted service as a process: tenants on sockets, valid and invalid API calls, the client, and shutdown."""

import http.client
import json
import signal
import socket
import ssl
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from itertools import count
from pathlib import Path
from typing import Any

import psutil
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from ternquay.hosted.administration import keys
from ternquay.hosted.tenants.registry import Registry
from ternquay.rig.ports import free_place
from tests.hosted_helper import ROOT, HostedService, descriptors, document

READ = b"mg k%d v Oi%d Pc=read,d=800\r\n"
read_ids = count(10_000)


class FakeCacheHost(threading.Thread):
    """A cache host that answers each command at once and counts the commands."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.commands = 0
        self.start()

    def run(self) -> None:
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(client,), daemon=True).start()

    def serve(self, client: socket.socket) -> None:
        with suppress(OSError), client:
            self.answer_commands(client)

    def answer_commands(self, client: socket.socket) -> None:
        reader = client.makefile("rb")
        for line in reader:
            words = line.split()
            id = next(word for word in words if word[:1] == b"O")
            self.commands += 1
            if words[0] == b"ms":
                reader.read(int(words[2]) + 2)
                client.sendall(b"HD %b cdone\r\n" % id)
            else:
                client.sendall(b"VA 2 %b\r\nhi\r\n" % id)


@pytest.fixture(scope="module")
def host() -> FakeCacheHost:
    return FakeCacheHost()


@pytest.fixture(scope="module")
def hosted(tmp_path_factory: pytest.TempPathFactory) -> Iterator[HostedService]:
    service = HostedService(tmp_path_factory.mktemp("hosted")).start()
    yield service
    if service.process is not None and service.process.poll() is None:
        service.kill()


def remove_tenant(hosted: HostedService, name: str) -> None:
    """Ends the tenant and waits until it is removed."""
    assert hosted.call("DELETE", f"/v1/tenants/{name}", if_match="*").status == 202
    until = time.monotonic() + 10
    while hosted.call("GET", f"/v1/tenants/{name}").status != 404:
        assert time.monotonic() < until
        time.sleep(0.05)


def test_a_recreated_tenant_keeps_nothing_of_the_removed_one(hosted: HostedService, host: FakeCacheHost) -> None:
    listen = hosted.create_tenant("sur", (host.address,))
    token = hosted.create_key("sur", "admin", "administrator")
    assert hosted.exchange(listen, b"mn\r\n" + READ % (1, 1)) == b"MN\r\nVA 2 Oi1\r\nhi\r\n"
    assert hosted.call("GET", "/v1/tenants/sur", token=token).status == 200
    before = hosted.call("GET", "/v1/tenants/sur").body["version"]
    remove_tenant(hosted, "sur")
    with pytest.raises(OSError):
        hosted.exchange(listen, b"mn\r\n")
    reply = hosted.call("POST", "/v1/tenants", document("sur", listen, (host.address,)))
    assert reply.status == 201 and reply.body["version"] > before
    assert hosted.call("GET", "/v1/tenants/sur", token=token).status == 401
    usage = hosted.call("GET", "/v1/process").body["tenants"]["sur"]
    assert (usage["clients"], usage["host_connections"], usage["open"], usage["cpu_s"]) == (0, 0, 0, 0.0)
    assert hosted.exchange(listen, READ % (1, 1)) == b"VA 2 Oi1\r\nhi\r\n"
    remove_tenant(hosted, "sur")


def test_states_limits_and_servers_change_under_open_connections(hosted: HostedService, host: FakeCacheHost) -> None:
    listen = hosted.create_tenant("norte", (host.address,), limits={"txs_a_second": 20, "burst": 20})
    with socket.create_connection(hosted.parse_address(listen)) as client:
        client.settimeout(2)
        reader = client.makefile("rb")

        def ask(n: int) -> bytes:
            client.sendall(READ % (n, n))
            line = reader.readline()
            return line + (reader.readline() if line.startswith(b"VA") else b"")

        assert ask(1) == b"VA 2 Oi1\r\nhi\r\n"
        answers = [ask(n) for n in range(2, 60)]
        busy = [line for line in answers if line.startswith(b"SERVER_ERROR busy ")]
        assert 20 <= len(busy) < 58 and all(0 < int(line.split()[2]) <= 1000 for line in busy)
        assert hosted.call("PUT", "/v1/tenants/norte/state", {"state": "suspended"}, if_match="*").status == 200
        assert ask(100).startswith(b"SERVER_ERROR busy ")
        commands = host.commands
        assert hosted.call("PUT", "/v1/tenants/norte/state", {"state": "active"}, if_match="*").status == 200
        time.sleep(0.2)
        assert ask(101).startswith(b"VA") and host.commands == commands + 1
        assert hosted.call("PUT", "/v1/tenants/norte/servers", {"servers": []}, if_match="*").status == 200
        time.sleep(0.1)
        assert ask(102).startswith(b"SERVER_ERROR busy") and host.commands == commands + 1
    remove_tenant(hosted, "norte")


def test_a_listener_that_can_not_be_bound_changes_nothing(hosted: HostedService) -> None:
    version = hosted.call("GET", "/v1/tenants").body["version"]
    with socket.create_server(("127.0.0.1", 0)) as taken:
        lleno = document("lleno", "{}:{}".format(*taken.getsockname()))
        other = free_place("127.0.0.1")
        reply = hosted.call("POST", "/v1/tenants", lleno | {"listeners": [other, *lleno["listeners"]]})
    assert reply.status == 422 and reply.body["field"] == "listeners[1]" and "bound" in reply.body["detail"]
    assert reply.headers["content-type"] == "application/problem+json"
    assert hosted.call("GET", "/v1/tenants").body["version"] == version
    socket.create_server(hosted.parse_address(other)).close()  # the first listener has been released


def test_of_concurrent_changes_to_one_tenant_only_one_succeeds(hosted: HostedService) -> None:
    hosted.create_tenant("doble")
    reply = hosted.call("GET", "/v1/tenants/doble/limits")
    headers = {"if_match": reply.headers["etag"]}
    statuses: list[int] = []
    threads = [
        threading.Thread(
            target=lambda burst=burst: statuses.append(
                hosted.call("PUT", "/v1/tenants/doble/limits", reply.body | {"burst": burst}, **headers).status
            )
        )
        for burst in (7, 8, 9)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(statuses) == [200, 412, 412]
    remove_tenant(hosted, "doble")


def test_a_watch_of_the_change_log_returns_the_next_change(hosted: HostedService) -> None:
    version = hosted.call("GET", "/v1/tenants").body["version"]
    replies: list[Any] = []
    watch = threading.Thread(target=lambda: replies.append(hosted.call("GET", f"/v1/changes?after={version}&wait_s=8")))
    began = time.monotonic()
    watch.start()
    time.sleep(0.5)
    hosted.create_tenant("visto")
    watch.join(5)
    assert time.monotonic() - began < 5
    assert [(one["tenant"], one["kind"]) for one in replies[0].body["changes"]] == [("visto", "make")]
    remove_tenant(hosted, "visto")


def raw(hosted: HostedService, text: bytes, wait: float = 3.0) -> bytes:
    """Sends the text to the API; returns what comes back."""
    with socket.create_connection(hosted.parse_address(hosted.api), timeout=wait) as client:
        received = b""
        try:
            client.sendall(text)
            while more := client.recv(1 << 16):
                received += more
        except OSError:
            pass
        return received


def test_bodies_headers_and_incomplete_requests_are_bounded(hosted: HostedService) -> None:
    auth = f"authorization: Bearer {hosted.operator_token}\r\nhost: x\r\n".encode()
    head = b"POST /v1/tenants HTTP/1.1\r\n" + auth
    began = time.monotonic()
    assert raw(hosted, head + b"content-length: 1073741824\r\n\r\n" + b"x" * 1000).startswith(b"HTTP/1.1 413")
    chunk = b"10000\r\n" + b"y" * 65536 + b"\r\n"
    assert raw(hosted, head + b"transfer-encoding: chunked\r\n\r\n" + chunk * 40).startswith(b"HTTP/1.1 413")
    assert time.monotonic() - began < 3  # rejected at once, not after the whole body has arrived
    assert b" 200 " not in raw(hosted, b"GET /v1/tenants HTTP/1.1\r\n" + auth + b"x: " + b"z" * 20_000 + b"\r\n\r\n")
    assert b" 200 " not in raw(hosted, b"GET /v1/tenants HTTP/1.1\r\n" + auth + b"x: y\r\n" * 300 + b"\r\n")
    assert raw(hosted, b"nonsense\r\n\r\n").startswith(b"HTTP/1.1 400")
    deep = b'{"name":' + b"[" * 1000 + b"]" * 1000 + b"}"
    assert hosted.call("POST", "/v1/tenants", deep).status == 422
    assert hosted.call("POST", "/v1/tenants", b"[" * 100_000).status == 422
    for path in ("/v1/tenants/%2e%2e", "/v1/tenants/%00", "/%76%31/tenants", "//", "/" + "a" * 3000):
        assert hosted.call("GET", path).status in (400, 404)
    assert hosted.call("GET", "/v1/tenants").status == 200


def test_calls_over_the_rate_are_told_to_retry(tmp_path: Path) -> None:
    service = HostedService(tmp_path)
    service.config_file.write_text(
        service.config_text.replace("calls_a_second = 500.0\nburst = 500", "calls_a_second = 10.0\nburst = 5")
    )
    service.start()
    try:
        statuses, waits = [], []
        connection = http.client.HTTPConnection(*service.parse_address(service.api), timeout=10)
        began = time.monotonic()
        for _ in range(20):
            connection.request("GET", "/v1/tenants", headers={"authorization": f"Bearer {service.operator_token}"})
            reply = connection.getresponse()
            reply.read()
            statuses.append(reply.status)
            waits += [reply.getheader("retry-after")] if reply.status == 429 else []
        # Such calls get 429 and the connection is closed. New connections are accepted at the same rate, which slows
        # down a client that goes on at once.
        assert statuses[:5] == [200] * 5 and statuses.count(429) >= 3 and set(waits) == {"1"}
        assert time.monotonic() - began > 0.3
        connection.close()
    finally:
        service.kill()


def test_connections_beyond_the_limit_get_503(tmp_path: Path) -> None:
    service = HostedService(tmp_path, "connections = 3").start()
    try:
        open_connections = [socket.create_connection(service.parse_address(service.api)) for _ in range(3)]
        time.sleep(0.3)
        assert raw(service, b"GET / HTTP/1.1\r\n\r\n").startswith(b"HTTP/1.1 503")
        for client in open_connections:
            client.close()
        time.sleep(0.3)
        assert service.call("GET", "/v1/tenants").status == 200
    finally:
        service.kill()


def test_after_a_kill_and_a_restart_acknowledged_changes_hold(tmp_path: Path, host: FakeCacheHost) -> None:
    service = HostedService(tmp_path).start()
    try:
        listen = service.create_tenant("sur", (host.address,))
        token = service.create_key("sur", "admin", "administrator")
        body = service.call("GET", "/v1/tenants/sur/limits").body | {"burst": 77}
        first = service.call("PUT", "/v1/tenants/sur/limits", body, if_match='"2"', idempotency_key="mine")
        assert first.status == 200
        service.kill()
        service.start()
        again = service.call("PUT", "/v1/tenants/sur/limits", body, if_match='"2"', idempotency_key="mine")
        assert (again.status, again.body, again.headers["idempotency-replayed"]) == (200, first.body, "true")
        assert service.call("GET", "/v1/tenants/sur", token=token).body["version"] == 3
        assert service.exchange(listen, READ % (1, 1)) == b"VA 2 Oi1\r\nhi\r\n"
        assert token not in service.log.read_text() and service.operator_token not in service.log.read_text()
        for line in service.log.read_text().splitlines():
            assert {"at", "level", "message"} <= json.loads(line).keys()
        changes = [json.loads(line) for line in service.log.read_text().splitlines() if '"changed"' in line]
        assert [(x["tenant"], x["version"], x["who"], x["kind"]) for x in changes] == [
            ("sur", 1, "operator/main", "make"),
            ("sur", 2, "operator/main", "key-made"),
            ("sur", 3, "operator/main", "limits"),
        ]
        assert token.encode() not in b"".join(path.read_bytes() for path in tmp_path.glob("registry.db*"))
        assert service.terminate() == 0
    finally:
        service.kill()


def test_a_shutdown_answers_open_transactions(tmp_path: Path) -> None:
    slow = socket.create_server(("127.0.0.1", 0))  # accepts connections and never answers
    service = HostedService(tmp_path).start()
    try:
        listen = service.create_tenant("sur", ("{}:{}".format(*slow.getsockname()),))
        with socket.create_connection(service.parse_address(listen)) as client:
            client.sendall(READ % (1, 1) + b"mg k v Oonce Pc=once,d=800\r\n")
            time.sleep(0.2)
            assert service.process is not None
            service.process.send_signal(signal.SIGTERM)
            client.settimeout(5)
            received = b""
            while more := client.recv(4096):
                received += more
        assert received.count(b"SERVER_ERROR") == 2
        assert service.process.wait(10) == 0
    finally:
        service.kill()
        slow.close()


def certificate(folder: Path, name: str) -> None:
    """Writes a self-signed certificate and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.now(UTC)
    signed = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=1))
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .add_extension(x509.SubjectAlternativeName([x509.IPAddress(ip_address("127.0.0.1"))]), critical=False)
        .sign(key, hashes.SHA256())
    )
    (folder / f"{name}.pem").write_bytes(signed.public_bytes(serialization.Encoding.PEM))
    (folder / f"{name}.key").write_bytes(
        key.private_bytes(serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption())
    )


def test_tls_requires_client_certificates_and_reloads_its_own(tmp_path: Path) -> None:
    for name in ("one", "two", "caller"):
        certificate(tmp_path, name)
    (tmp_path / "api.pem").write_bytes((tmp_path / "one.pem").read_bytes())
    (tmp_path / "api.key").write_bytes((tmp_path / "one.key").read_bytes())
    tls = '[api.tls]\ncertificate = "api.pem"\nkey = "api.key"\nclients_ca = "caller.pem"\n'
    service = HostedService(tmp_path, tls=tls).start()

    def status(ca: str, caller: bool = True) -> int:
        context = ssl.create_default_context(cafile=str(tmp_path / f"{ca}.pem"))
        if caller:
            context.load_cert_chain(tmp_path / "caller.pem", tmp_path / "caller.key")
        connection = http.client.HTTPSConnection(*service.parse_address(service.api), timeout=5, context=context)
        connection.request("GET", "/v1/tenants", headers={"authorization": f"Bearer {service.operator_token}"})
        return connection.getresponse().status

    try:
        assert status("one") == 200
        with pytest.raises((ssl.SSLError, OSError)):
            status("one", caller=False)
        with pytest.raises(ssl.SSLError):
            status("two")
        assert service.process is not None
        (tmp_path / "api.pem").write_text("nonsense")
        service.process.send_signal(signal.SIGHUP)
        time.sleep(0.5)
        assert status("one") == 200 and "certificate" in service.log.read_text()  # the old certificate stays in use
        (tmp_path / "api.pem").write_bytes((tmp_path / "two.pem").read_bytes())
        (tmp_path / "api.key").write_bytes((tmp_path / "two.key").read_bytes())
        service.process.send_signal(signal.SIGHUP)
        time.sleep(0.5)
        assert status("two") == 200
    finally:
        service.kill()


def test_without_a_store_the_file_is_the_registry_and_is_reloaded(tmp_path: Path, host: FakeCacheHost) -> None:
    listens = [free_place("127.0.0.1") for _ in range(3)]

    def text(*tenants: tuple[str, str, str]) -> str:
        return (
            "[process]\nsockets = 256\n"
            + "".join(
                f'[[tenants]]\nname = "{name}"\nlisteners = ["{listen}"]\nstate = "{state}"\n'
                f'servers = [{{ name = "h", place = "{host.address}" }}]\n'
                'profiles = [{ name = "read", kind = "idempotent", service_goal_ms = 300, hard_limit_ms = 900 }]\n'
                for name, listen, state in tenants
            )
            + "[end]\n"
        )

    file = tmp_path / "service.toml"
    file.write_text(text(("uno", listens[0], "active"), ("dos", listens[1], "active")))
    with open(tmp_path / "log", "ab") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "ternquay", "host", "--config", str(file)], cwd=ROOT, stderr=log
        )
    service = HostedService.__new__(HostedService)

    def answers(listen: str) -> bytes:
        try:
            return service.exchange(listen, READ % (1, next(read_ids)), 0.3)
        except OSError:
            return b""

    try:
        until = time.monotonic() + 15
        while not answers(listens[0]).startswith(b"VA") and time.monotonic() < until:
            time.sleep(0.1)
        assert answers(listens[1]).startswith(b"VA")
        loaded = Path(f"/proc/{process.pid}/maps").read_text()
        assert "_sqlite3" not in loaded
        file.write_text("name = 3")
        process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        assert answers(listens[0]).startswith(b"VA")
        file.write_text(text(("uno", listens[0], "suspended"), ("tres", listens[2], "active")))
        process.send_signal(signal.SIGHUP)
        time.sleep(1.5)
        assert answers(listens[0]).startswith(b"SERVER_ERROR busy") and answers(listens[1]) == b""
        assert answers(listens[2]).startswith(b"VA")
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
    finally:
        process.kill()


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("name = 3", "name"),
        ("[api]\nlisten = '127.0.0.1:1'", "api"),
        ("[nonsense]", "nonsense"),
        ("[store]\npath='x'\n[api]\nlisten='10.0.0.1:80'", "api.tls"),
        ("[process]\nsockets = 3", "process.sockets"),
        ("[store]\npath='x'\n[api]\nlisten='nowhere'", "api.listen"),
        ("[process]\nnumber = 5", "process.number"),
        (
            "[store]\npath='x'\n[api]\nlisten='127.0.0.1:1'\n[api.tls]\ncertificate='no'\nkey='no'",
            "api.tls.certificate",
        ),
        ("[[tenants]]\nname='a'\nlisteners=['x']\nprofiles=[]", "tenants[0].listeners[0]"),
        ("x = [", "TOML"),
        ("[store]\npath='x'\n[[tenants]]\nname='a'\nlisteners=['127.0.0.1:1']\nprofiles=[]", "tenants"),
    ],
)
def test_an_invalid_file_gives_one_line_of_error(text: str, expected: str, tmp_path: Path) -> None:
    file = tmp_path / "s.toml"
    file.write_text(f"{text}\n[end]\n")
    for command in ("check", "host"):
        result = subprocess.run(
            [sys.executable, "-m", "ternquay", command, "--config", str(file)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
        assert result.returncode == 2 and result.stderr.count("\n") == 1, result.stderr
        assert expected in result.stderr or expected == "TOML"


def test_the_file_under_deploy_is_valid() -> None:
    result = subprocess.run(
        [sys.executable, "-m", "ternquay", "check", "--config", "deploy/service.toml"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert (result.returncode, result.stdout) == (0, "ternquay: 1 tenants, no store, no API, 1024 sockets\n")


def test_serve_loads_nothing_of_the_hosted_service_or_the_rig() -> None:
    code = (
        "import sys; from ternquay.net.serve import run; from ternquay.cli import app; "
        "wrong = tuple('ternquay.' + n for n in ('hosted', 'rig', 'peers', 'consensus')) + ('msgspec', 'sqlite3'); "
        "print([n for n in sys.modules if n.startswith(wrong)])"
    )
    result = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert result.stdout == "[]\n"


# ---- the command-line client ----


def admin(hosted: HostedService, *words: str, token: str | None = None) -> tuple[int, str, str]:
    """Runs `ternquay admin`; returns its exit code, output and errors."""
    result = subprocess.run(
        [
            sys.executable,
            "-m",
            "ternquay",
            "admin",
            "--url",
            f"http://{hosted.api}",
            "--token",
            hosted.operator_token if token is None else token,
            *words,
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return result.returncode, result.stdout, result.stderr


def test_the_client_plans_and_applies_and_sets_exit_codes(hosted: HostedService, tmp_path: Path) -> None:
    listen, file = free_place("127.0.0.1"), tmp_path / "tenants.toml"
    file.write_text(
        f'[[tenants]]\nname = "plan"\nlisteners = ["{listen}"]\n'
        'profiles = [{ name = "read", kind = "idempotent", service_goal_ms = 300, hard_limit_ms = 900 }]\n'
        "[end]\n"
    )
    code, out, _ = admin(hosted, "plan", str(file), "--detect")
    assert code == 7 and out.startswith("make plan\n") and "profiles: nothing ->" in out
    assert admin(hosted, "apply", str(file))[0] == 0
    assert admin(hosted, "plan", str(file), "--detect")[:2] == (0, "nothing differs\n")
    code, out, _ = admin(hosted, "--json", "tenants", "show", "plan")
    assert code == 0 and json.loads(out)["tenant"]["name"] == "plan"
    assert admin(hosted, "servers", "put", "plan", "x", "10.0.0.9:80", "--warm")[0] == 0
    assert "draining" in admin(hosted, "servers", "list", "plan")[1]
    assert admin(hosted, "servers", "drain", "plan", "x")[0] == 0
    assert hosted.call("GET", "/v1/tenants/plan/servers").body["servers"][0]["draining"] is True
    assert admin(hosted, "limits", "set", "plan", "burst=9", "cpu.least=0.05")[0] == 0
    code, _, errors = admin(hosted, "limits", "set", "plan", "cpu=9")
    assert (code, errors.count("\n")) == (2, 1) and "cpu" in errors
    assert admin(hosted, "limits", "set", "plan", "burst=10", "--version", "1")[0] == 5
    assert admin(hosted, "tenants", "show", "nobody")[0] == 4
    assert admin(hosted, "tenants", "list", token="nonsense")[0] == 3
    code, out, _ = admin(hosted, "keys", "make", "plan", "k", "--scope", "reader")
    assert code == 0 and "tq1.plan.k." in out
    assert admin(hosted, "tenants", "suspend", "plan")[0] == 0
    code, out, _ = admin(hosted, "changes")
    assert code == 0 and "key-made" in out
    assert "nonsense" not in admin(hosted, "audit")[1]
    code, _, errors = admin(hosted, "apply", str(tmp_path / "nowhere.toml"))
    assert (code, errors.count("\n")) == (2, 1)
    file.write_text("tenants = []\n[end]\n")
    assert admin(hosted, "apply", str(file), "--remove")[0] == 0
    unreached = subprocess.run(
        [sys.executable, "-m", "ternquay", "admin", "--url", "http://127.0.0.1:1", "--token", "x", "tenants", "list"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert unreached.returncode == 6 and unreached.stderr.count("\n") == 1


# ---- floods ----


def test_clients_that_pipeline_hundreds_do_not_starve_others(hosted: HostedService, host: FakeCacheHost) -> None:
    listen = hosted.create_tenant(
        "coro", (host.address,), limits={"txs_a_second": 100_000, "burst": 100_000, "open_txs": 400}
    )
    stop = threading.Event()

    def flood() -> None:
        client = socket.create_connection(hosted.parse_address(listen), source_address=("127.0.0.7", 0))
        client.settimeout(0.2)
        while not stop.is_set():
            try:
                client.sendall(b"".join(READ % (n, next(read_ids)) for n in range(200)))
                while client.recv(1 << 16):
                    pass
            except TimeoutError:
                continue
            except OSError:
                return

    floods = [threading.Thread(target=flood, daemon=True) for _ in range(10)]
    for thread in floods:
        thread.start()
    time.sleep(0.5)
    durations, committed = [], 0
    with socket.create_connection(hosted.parse_address(listen)) as client:
        client.settimeout(5)
        reader = client.makefile("rb")
        for n in range(100):
            began = time.monotonic()
            client.sendall(READ % (n, next(read_ids)))
            line = reader.readline()
            if line.startswith(b"VA"):
                committed += 1
                reader.readline()
            durations.append(time.monotonic() - began)
            time.sleep(0.01)
    stop.set()
    assert committed >= 90 and sorted(durations)[90] < 0.3
    assert descriptors(hosted.process) < 256  # type: ignore[arg-type]
    remove_tenant(hosted, "coro")


def test_idle_tenants_cost_little_memory(tmp_path: Path) -> None:
    service = HostedService(tmp_path).start()
    try:
        assert service.process is not None
        meter = psutil.Process(service.process.pid)
        unlimited = {resource: {"least": 0.0, "most": 1.0} for resource in ("cpu", "sockets", "memory")}
        for n in range(10):
            service.create_tenant(f"warm-{n}", tuple(f"10.0.{n}.{k}:80" for k in range(5)), limits=unlimited)
        before = meter.memory_info().rss
        for n in range(40):
            service.create_tenant(f"t-{n}", tuple(f"10.1.{n}.{k}:80" for k in range(5)), limits=unlimited)
        each = (meter.memory_info().rss - before) / 40
        assert each < 200_000, each
    finally:
        service.kill()


def test_an_empty_registry_has_version_0_and_tokens_match_their_pattern(tmp_path: Path) -> None:
    assert Registry().version == 0 and keys.TOKEN_PATTERN.fullmatch(keys.generate_token("", "x"))
