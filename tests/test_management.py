"""The management address: its requests, limits on silent callers, and a drain and its end."""

import socket
import time
from contextlib import closing, suppress
from pathlib import Path
from typing import Any

import pytest

from ternquay.net import meta
from ternquay.net.client import OVERDUE_ANSWER
from ternquay.net.config import ConfigError, read_config
from ternquay.net.management import respond
from tests.helper import Net, member
from tests.test_net import mg, va
from tests.test_review_links import balancer_config, free_port, serving, wait_until

READY, OUT, BACK = "GET /control/ready", "POST /control/out-of-service", "POST /control/in-service"


class FakeService:
    def __init__(self, reason: str = "") -> None:
        self.reason, self.done = reason, [""]

    def not_ready_reason(self) -> str:
        return self.reason

    def out_of_service(self) -> str:
        self.done.append("out")
        return ""

    def in_service(self) -> str:
        self.done.append("in")
        return self.reason

    def metrics(self) -> str:
        return "x 1"

    def events(self) -> str:
        return ""


@pytest.mark.parametrize(
    ("call", "reason", "status", "step"),
    [
        (READY, "", 200, ""),
        (READY, "ending", 503, ""),
        (READY + "?x=1", "", 200, ""),
        (OUT, "", 200, "out"),
        (BACK, "", 200, "in"),
        (BACK, "ending", 409, "in"),
        ("POST /control/ready", "", 405, ""),
        ("GET /control/out-of-service", "", 405, ""),
        ("GET /control/metrics", "", 200, ""),
        ("GET /control/events?x", "", 200, ""),
        ("POST /control/metrics", "", 405, ""),
        ("GET /", "", 404, ""),
        ("GET /control/ready/", "", 404, ""),
        ("GET " + "/" * 600, "", 414, ""),
    ],
)
def test_each_request_has_one_response(call: str, reason: str, status: int, step: str) -> None:
    service = FakeService(reason)
    assert respond(service, *call.split(" "))[0] == status and service.done[-1] == step


def exchange(port: int, text: bytes) -> bytes:
    """Sends bytes and returns all bytes received until the connection ends."""
    with closing(socket.create_connection(("127.0.0.1", port), timeout=10)) as caller:
        caller.sendall(text)
        received = b""
        with suppress(ConnectionResetError):
            while data := caller.recv(4096):
                received += data
        return received


def http_status(port: int, text: str) -> int:
    """Sends one request and returns the status of the response."""
    return int(exchange(port, f"{text} HTTP/1.1\r\nHost: x\r\n\r\n".encode()).split(b" ")[1])


def hello_reply(port: int) -> bytes:
    """Returns the reply to an `mn` command."""
    with closing(socket.create_connection(("127.0.0.1", port), timeout=10)) as client:
        client.sendall(b"mn\r\n")
        return client.recv(100)


def test_invalid_requests_get_an_error_response_and_are_closed(tmp_path: Path) -> None:
    at = free_port()
    with serving(balancer_config(free_port(), free_port(), management=f"127.0.0.1:{at}"), tmp_path) as process:
        for text, status in (
            (b"nonsense\r\n\r\n", b"400"),
            (b"GET /" + b"x" * 9000, b"431"),
            (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 80 + b"\r\n", b"400"),
            (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", b"400"),
            (b"POST /control/in-service HTTP/1.1\r\ncontent-length: 99999\r\n\r\n", b"413"),
            (
                b"POST /control/in-service HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
                + b"400\r\n"
                + b"x" * 1024
                + b"\r\n"
                + b"400\r\nxxx",
                b"413",
            ),
        ):
            assert exchange(at, text).startswith(b"HTTP/1.1 " + status), text[:60]
        # A pipelined second request is not read.
        assert exchange(at, b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n" * 2).count(b"HTTP/1.1") == 1
        assert http_status(at, READY) == 200 and process.poll() is None
        assert "Traceback" not in (tmp_path / "log").read_text()


def test_silent_callers_and_a_flood_of_clients_do_not_delay_requests(tmp_path: Path) -> None:
    at, listen = free_port(), free_port()
    with serving(balancer_config(listen, free_port(), management=f"127.0.0.1:{at}"), tmp_path) as process:
        silent = [socket.create_connection(("127.0.0.1", at), timeout=10) for _ in range(30)]
        for one in silent[::2]:
            with suppress(ConnectionResetError):  # the oldest connections were closed for the latest ones
                one.sendall(b"GET /control/re")
        crowd = [socket.create_connection(("127.0.0.1", listen), timeout=10) for _ in range(150)]
        for _ in range(5):
            assert http_status(at, READY) == 200
        # Incomplete requests are closed, and the number of descriptors stays below the limit.
        for one in silent:
            one.settimeout(10)
            with suppress(ConnectionResetError):
                while one.recv(100):
                    pass
            one.close()
        assert len(list(Path(f"/proc/{process.pid}/fd").iterdir())) <= 128
        for one in crowd:
            one.close()
        assert http_status(at, READY) == 200


def test_a_drain_refuses_at_once_closes_idle_clients_and_can_be_ended(tmp_path: Path) -> None:
    at, listen = free_port(), free_port()
    with serving(balancer_config(listen, free_port(), management=f"127.0.0.1:{at}"), tmp_path) as process:
        resting = socket.create_connection(("127.0.0.1", listen), timeout=10)
        resting.sendall(b"mn\r\n")
        assert resting.recv(100) == meta.NOOP_ANSWER
        half = socket.create_connection(("127.0.0.1", listen), timeout=10)
        half.sendall(b"mg k")
        assert http_status(at, OUT) == http_status(at, OUT) == 200 and http_status(at, READY) == 503
        assert hello_reply(listen) == meta.OUT_OF_SERVICE
        assert resting.recv(100) == b""
        time.sleep(0.1)
        assert hello_reply(listen) == meta.OUT_OF_SERVICE  # it still refuses
        assert (
            half.recv(100) == OVERDUE_ANSWER + b"\r\n" and half.recv(100) == b""
        )  # its request was not complete in time
        assert process.poll() is None
        assert (
            http_status(at, BACK) == http_status(at, BACK) == 200
            and http_status(at, READY) == 200
            and hello_reply(listen) == meta.NOOP_ANSWER
        )
        # Out, in, out and in again: the timers of the first drain do not act on a later state.
        for text in (OUT, BACK, OUT, BACK):
            assert http_status(at, text) == 200
        stays = socket.create_connection(("127.0.0.1", listen), timeout=10)
        stays.sendall(b"mn\r\n")
        assert stays.recv(100) == meta.NOOP_ANSWER
        time.sleep(3.5)
        stays.sendall(b"mn\r\n")
        assert stays.recv(100) == meta.NOOP_ANSWER
        # A shutdown during a drain.
        assert http_status(at, OUT) == 200
        process.terminate()
        wait_until(lambda: b"shutdown requested" in (tmp_path / "log").read_bytes())
        assert http_status(at, READY) == 503 and http_status(at, BACK) == 409
        assert process.wait(10) == 0


def test_a_drain_finishes_open_requests_and_closes_late_clients_after_their_response() -> None:
    net = Net()
    busy, idle, written = net.client(), net.client(), net.client()
    busy.feed(mg(1) + mg(2))
    idle.feed(b"mn\r\n")
    written.feed(b"mn\r\n")
    first, second = net.accept(), net.accept()
    written.unread = b"m"  # bytes have arrived but were not read yet
    net.frontend.noop_answer = meta.OUT_OF_SERVICE
    net.frontend.leave(net.limits.new_client_grace)
    net.take()
    assert idle.lost and not busy.lost and not written.lost
    written.unread = None
    written.feed(b"mn\r\n")
    assert written.lost
    first.feed(va(1))
    assert not busy.lost
    second.feed(va(2))
    assert busy.lost
    late, silent = net.client(), net.client()
    net.run(300)
    assert not late.lost  # it has just connected and may be about to send
    late.feed(mg(3))
    [w for w in net.wires if w.name.startswith("host") and not w.lost][-1].feed(va(3))
    assert late.lost
    net.run(1000)
    assert silent.lost and not net.frontend.clients
    net.matches("net_out_of_service")


def test_the_end_of_a_drain_closes_incomplete_commands_but_not_open_transactions() -> None:
    net = Net(limits={"new_client_grace": 100_000_000})
    half, busy = net.client(), net.client()
    half.feed(b"mg k v")
    busy.feed(mg(1))
    net.accept()
    net.run(150)
    moving = net.client()
    net.frontend.leave(net.limits.new_client_grace)
    net.run(80)
    moving.feed(b"mg k")
    net.frontend.close_inactive()
    assert half.lost and not busy.lost and not moving.lost


def test_the_management_address_comes_from_the_file_or_else_the_environment(tmp_path: Path) -> None:
    import json

    path = tmp_path / "x.json"

    def read(env: dict[str, str], **more: Any) -> Any:
        path.write_text(json.dumps(balancer_config(1, 2) | more))
        return read_config(str(path), env)

    assert read({}).management is None
    assert str(read({"EDGE_MANAGEMENT": "127.0.0.1:9"}).management) == "127.0.0.1:9"
    both = read({"EDGE_MANAGEMENT": "127.0.0.1:9"}, management="127.0.0.1:8")
    assert str(both.management) == "127.0.0.1:8"
    # Sockets reserved for management are not available to clients or cache hosts.
    assert both.limits.sockets + both.limits.spare + both.limits.management_connections + 3 + 16 == 128
    with pytest.raises(ConfigError, match="^management: an address and a port are wanted"):
        read({}, management="here:80")


def test_a_process_without_cache_hosts_is_not_ready(tmp_path: Path) -> None:
    at = free_port()
    empty = {"revision": 1, "complete": True, "members": []}
    with serving(balancer_config(free_port(), free_port(), management=f"127.0.0.1:{at}", known=empty), tmp_path):
        assert http_status(at, READY) == 503
    with serving(
        balancer_config(free_port(), free_port(), management=f"127.0.0.1:{at}", known=empty | {"members": [member(1)]}),
        tmp_path,
    ):
        assert http_status(at, READY) == 200
