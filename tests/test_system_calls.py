"""Failing system calls in a running process, injected by rig/system_calls.py."""

import errno
import os
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson
import pytest
from loguru import logger
from twisted.python.failure import Failure

from ternquay.net.library_log import TwistedLogObserver
from ternquay.net.poller import RetryingPoller
from ternquay.rig.system_calls import CallPlan, failure_counts, fault_environment, read_plan
from ternquay.rig.terms import CallFault, DayError
from tests.helper import member
from tests.test_flow import Store
from tests.test_net import mg
from tests.test_review_links import balancer_config, free_port, wait_until

FAILURE_SECONDS = 1.0  # how long calls fail, from the first attempt on
# For calls that always fail: with a pause after each there are some 20 per second, without one many thousands.
MAX_FAILURES = 200
RESOURCE_ERRORS = ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM")
CONNECTION_ERRORS = (
    "ECONNABORTED",
    "EPROTO",
    "EHOSTUNREACH",
    "ENETDOWN",
    "ENETUNREACH",
    "ETIMEDOUT",
    "EPERM",
    "EHOSTDOWN",
    "ENONET",
    "ENOPROTOOPT",
    "ENOTSUP",
    "EINTR",
)


@dataclass
class Running:
    """A balancer's process under a plan of failing calls."""

    process: "subprocess.Popen[bytes]"
    port: int
    folder: Path

    def log(self) -> str:
        return (self.folder / "log").read_text()

    def cpu(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@contextmanager
def running(folder: Path, *faults: CallFault) -> Iterator[Running]:
    """Runs a process as deploy/balancer.toml does, with one cache host."""
    store, listen, path = Store(3), free_port(), folder / "config.json"
    known = {"revision": 1, "complete": True, "members": [member(1) | {"host_port": f"127.0.0.1:{store.port}"}]}
    path.write_bytes(orjson.dumps(balancer_config(listen, free_port(), known=known)))
    environment = fault_environment(CallPlan(faults), folder) | {"EDGE_CONFIG": str(path)}
    with open(folder / "log", "wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "ternquay.net"], stderr=log, env=environment, cwd=Path(__file__).parents[1]
        )
    try:
        wait_until(lambda: b"serves on" in (folder / "log").read_bytes() or process.poll() is not None)
        yield Running(process, listen, folder)
    finally:
        process.kill()
        process.wait()


def request(port: int, number: int = 1) -> bytes:
    """Sends one read on a new connection and returns the response, b"" if the connection ends without one."""
    with socket.create_connection(("127.0.0.1", port), timeout=10) as client:
        try:
            client.sendall(mg(number, key="k9"))
            return client.recv(200)
        except ConnectionResetError:
            return b""


@pytest.mark.parametrize("error", RESOURCE_ERRORS)
def test_accepting_pauses_for_want_of_resources_and_then_serves_waiting_clients(tmp_path: Path, error: str) -> None:
    with running(tmp_path, CallFault("accept", error, end=FAILURE_SECONDS + 1.5)) as one:
        time.sleep(1.5)
        before = one.cpu()
        assert request(one.port).startswith((b"VA 9 O1", b"SERVER_ERROR busy"))  # the client waited and was not closed
        assert 0 < failure_counts(tmp_path)[f"accept {error}"] < MAX_FAILURES and one.cpu() - before < 0.5
        assert one.log().count(f"accept failed: {error}") == 1 and "Traceback" not in one.log()
        assert one.process.poll() is None


def test_occasional_resource_errors_do_not_delay_clients(tmp_path: Path) -> None:
    """The pause is short at first and grows only while no connection is accepted."""
    with running(tmp_path, CallFault("accept", "ENFILE", rate=0.2)) as one:
        began = time.monotonic()
        with ExitStack() as waiting:
            clients = [
                waiting.enter_context(socket.create_connection(("127.0.0.1", one.port), timeout=5)) for _ in range(100)
            ]
            for number, client in enumerate(clients):
                client.sendall(mg(number, key="k9"))
            assert all(client.recv(200) for client in clients)
        assert time.monotonic() - began < 0.8 and failure_counts(tmp_path)["accept ENFILE"] > 10


def test_consecutive_failed_connections_do_not_spin_the_loop(tmp_path: Path) -> None:
    with running(tmp_path, CallFault("accept", "EPROTO", end=2.5)) as one:
        began = time.monotonic()
        assert request(one.port).startswith((b"VA 9", b"SERVER_ERROR busy"))
        assert time.monotonic() - began > 0.2  # it failed until then
        assert failure_counts(tmp_path)["accept EPROTO"] < MAX_FAILURES and one.cpu() < 2.0


def test_refused_writes_do_not_spin_the_loop(tmp_path: Path) -> None:
    with running(tmp_path, CallFault("send", "ENOBUFS", start=1.0, end=2.5)) as one:
        time.sleep(1.0)
        before = one.cpu()
        request(one.port)
        time.sleep(1.0)
        assert 0 < failure_counts(tmp_path)["send ENOBUFS"] < 3 * MAX_FAILURES and one.cpu() - before < 0.5
        assert request(one.port, 2).startswith((b"VA 9 O2", b"SERVER_ERROR busy"))


@pytest.mark.parametrize(
    ("call", "error"),
    [
        ("setsockopt", "EINVAL"),
        ("setsockopt", "ENOBUFS"),
        ("bind", "ENOMEM"),
        ("listen", "ENOBUFS"),
        ("socket", "EMFILE"),
    ],
)
def test_a_listening_socket_that_can_not_be_created_is_retried(tmp_path: Path, call: str, error: str) -> None:
    with running(tmp_path, CallFault(call, error, end=1.5)) as one:  # type: ignore[arg-type]
        assert request(one.port).startswith((b"VA 9", b"SERVER_ERROR busy"))
        assert "can't listen yet" in one.log() and "Traceback" not in one.log()


class FullEpoll:
    """An epoll object that refuses registrations while it is full."""

    def __init__(self) -> None:
        self.full, self.registered, self.timeout = True, dict[int, int](), 0.0

    def register(self, descriptor: int, events: int) -> None:
        if self.full:
            raise OSError(errno.ENOSPC, "full")
        self.registered[descriptor] = events

    modify = register

    def unregister(self, descriptor: int) -> None:
        del self.registered[descriptor]

    def poll(self, timeout: float, most: int = -1) -> list[tuple[int, int]]:
        self.timeout = timeout
        return []

    def close(self) -> None:
        pass


def test_refused_registrations_are_retried() -> None:
    real = FullEpoll()
    poller = RetryingPoller(real)
    poller.register(3, 1)
    poller.modify(3, 5)
    poller.register(4, 1)
    poller.unregister(4)  # closed before it was registered
    poller.poll(-1.0)
    assert real.registered == {} and 0 < real.timeout < 0.1
    real.full = False
    poller.poll(-1.0)
    assert real.registered == {3: 5}
    real.full = True
    poller.modify(3, 7)
    poller.poll(0.001)
    assert real.registered == {3: 5} and real.timeout == 0.001
    real.full = False
    poller.poll(2.0)
    poller.poll(2.0)
    assert real.registered == {3: 7} and real.timeout == 2.0
    poller.unregister(3)
    assert real.registered == {}


def test_an_error_that_twisted_has_handled_is_logged_once_as_a_warning(capsys: pytest.CaptureFixture[str]) -> None:
    logger.remove()
    logger.add(sys.stderr, format="{level} {message}")
    observer = TwistedLogObserver()
    failed: Any = Failure
    handled = {"log_failure": failed(OSError(22, "Invalid argument")), "why": "got error when setting TCP_NODELAY"}
    for _ in range(3):
        observer(handled)
    observer({"log_format": "Starting factory"})
    observer({"log_failure": failed(ValueError("x")), "why": "Unhandled"})
    lines = capsys.readouterr().err.splitlines()
    assert lines[0].startswith("WARNING got error when setting TCP_NODELAY: [Errno 22]")
    assert lines[1].startswith("ERROR uncaught: ") and sum("TCP_NODELAY" in line for line in lines) == 1


@pytest.mark.parametrize("error", CONNECTION_ERRORS)
def test_an_accept_error_of_one_connection_affects_no_other(tmp_path: Path, error: str) -> None:
    with running(tmp_path, CallFault("accept", error, rate=0.5)) as one:
        answers = [request(one.port, number) for number in range(12)]
        assert all(text.startswith((b"VA 9", b"SERVER_ERROR busy")) for text in answers), answers
        assert failure_counts(tmp_path)[f"accept {error}"] > 0
        assert one.log().count(f"accept failed: {error}") == 1 and "Traceback" not in one.log()
        assert one.process.poll() is None


@pytest.mark.parametrize(
    ("call", "error"),
    [
        ("setsockopt", "ENOBUFS"),
        ("connect_ex", "ENETUNREACH"),
        ("connect_ex", "ENOBUFS"),
        ("connect_ex", "ETIMEDOUT"),
        ("recv", "ETIMEDOUT"),
        ("recv", "EHOSTUNREACH"),
        ("send", "ENOBUFS"),
        ("send", "EHOSTUNREACH"),
        ("send", "SHORT"),
        ("recv", "SHORT"),
        ("socket", "EMFILE"),
        ("socket", "ENOBUFS"),
        ("close", "EIO"),
        ("shutdown", "ENOTCONN"),
        ("epoll_ctl", "ENOMEM"),
        ("epoll_ctl", "ENOSPC"),
    ],
)
def test_failing_calls_on_connections_affect_nothing_else(tmp_path: Path, call: str, error: str) -> None:
    with running(tmp_path, CallFault(call, error, end=2.0, rate=0.3)) as one:  # type: ignore[arg-type]
        failures_end = time.monotonic() + 2.0
        for number in range(40):
            request(one.port, number)
        assert failure_counts(tmp_path)[f"{call} {error}"] > 0
        time.sleep(max(0.0, failures_end - time.monotonic()))  # from here on no call fails
        assert request(one.port, 100).startswith((b"VA 9 O100", b"SERVER_ERROR busy"))
        assert "Traceback" not in one.log() and "k9" not in one.log() and one.process.poll() is None, one.log()


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("[[faults]]\ncall='fork'\nerror='EIO'", "faults[0].call"),
        ("[[faults]]\ncall='send'\nerror='EX'", "faults[0].error"),
        ("[[faults]]\ncall='send'\nerror='EIO'\nrate=2", "faults[0].rate"),
        ("faults=3", "faults"),
        ("[[faults]]\ncall='send'\nerror='EIO'\nstart=3\nend=2", "faults[0].end"),
        ("x=", "plan.toml"),
    ],
)
def test_an_invalid_plan_is_rejected_with_the_field(tmp_path: Path, text: str, named: str) -> None:
    path = tmp_path / "plan.toml"
    path.write_text(text + "\n")
    with pytest.raises(DayError) as error:
        read_plan(path)
    assert named in str(error.value) and "\n" not in str(error.value)[:200]
