"""Stops and restarts at every point: committed changes persist, and restarted processes repeat nothing."""

import json
import os
import resource
import signal
import socket
import sqlite3
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from ternquay.hosted.administration.api import Call, Reply
from ternquay.hosted.host import ServiceProcess, TenantHost
from ternquay.hosted.service import ServiceConfigError, read_service
from ternquay.hosted.store import Store
from ternquay.hosted.tenants.registry import CreateTenant, Registry, RemoveTenant, ReplaceTenant, SetState
from ternquay.hosted.tenants.tenant import Endpoint, Server, State, TenantLimits
from ternquay.rig.ports import free_place
from tests.hosted_helper import ROOT, HostedService, document
from tests.test_hosted_parts import SMALL
from tests.test_registry import tenant
from tests.test_review_links import balancer_config, free_port, serving, wait_until
from tests.test_store import CALLS, UNLIMITED, answer, call, executor, whole

# ---- a COMMIT that raises ----


class FailingCommit:
    """Wraps the store's connection. COMMIT raises once, with the change on disk or not."""

    def __init__(self, db: Any, first: bool) -> None:
        self.db, self.first, self.left = db, first, 1

    def execute(self, text: str, *terms: Any) -> Any:
        if text == "COMMIT" and self.left:
            self.left -= 1
            if self.first:
                self.db.execute(text)
            raise sqlite3.OperationalError("disk I/O error")
        return self.db.execute(text, *terms)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.db, name)


@pytest.mark.parametrize("on_disk", [True, False])
def test_after_a_commit_that_raised_the_response_says_what_is_on_disk(tmp_path: Path, on_disk: bool) -> None:
    one = executor(tmp_path / "x.db")
    assert answer(one, CALLS[0]).status == 201
    one.store_thread.store.db = FailingCommit(one.store_thread.store.db, on_disk)  # type: ignore[assignment]
    reply = answer(one, CALLS[1])
    assert reply.status == (201 if on_disk else 507)
    assert whole(one.applier.registry) == whole(one.store_thread.store.registry())
    # Further changes are accepted, as the versions of the store and of memory agree.
    assert answer(one, CALLS[1]).status == 201 and answer(one, CALLS[2]).status == 200
    one.store_thread.store.close()
    again = Store(tmp_path / "x.db")
    assert whole(again.registry()) == whole(one.applier.registry) and again.registry().version == 3
    again.close()


def test_a_commit_with_an_unknown_outcome_is_not_reported_as_not_made(tmp_path: Path) -> None:
    one = executor(tmp_path / "x.db")
    store = one.store_thread.store
    store.db = FailingCommit(store.db, True)  # type: ignore[assignment]
    real = store._initialize  # the disk is unavailable while the outcome is checked

    def unavailable(db: sqlite3.Connection) -> None:
        raise sqlite3.OperationalError("unable to open")

    store._initialize = unavailable  # type: ignore[method-assign]
    reply = answer(one, CALLS[0])
    assert reply.status == 507 and "not made" not in reply.body["detail"]
    assert answer(one, CALLS[1]).status == 507
    store._initialize = real  # type: ignore[method-assign]
    # As soon as the disk is available again, the store and memory agree.
    assert answer(one, CALLS[1]).status == 201
    assert answer(one, CALLS[0]).status == 201
    assert whole(one.applier.registry) == whole(store.registry())
    store.close()


def test_a_file_that_can_not_grow_rejects_changes_and_keeps_none_of_them_after_a_kill(tmp_path: Path) -> None:
    path = tmp_path / "x.db"
    Store(path).close()
    reader, writer = os.pipe()
    child = os.fork()
    if child == 0:
        try:
            one = executor(path)
            statuses = [answer(one, CALLS[0]).status]
            wal = os.path.getsize(f"{path}-wal")
            resource.setrlimit(resource.RLIMIT_FSIZE, (wal + 5000, wal + 5000))
            statuses += [answer(one, change).status for change in CALLS[1:]]
            os.write(writer, json.dumps(statuses).encode())
            os.kill(os.getpid(), signal.SIGKILL)
        finally:
            os._exit(7)
    os.close(writer)
    os.waitpid(child, 0)
    with os.fdopen(reader, "rb") as told_by:
        statuses = json.loads(told_by.read())
    made = sum(status < 300 for status in statuses)
    assert statuses[0] == 201 and 507 in statuses and {s for s in statuses} <= {200, 201, 202, 404, 507}
    again = Store(path)
    assert again.registry().version == made == len(again.changes(0, 100))
    again.close()


# ---- a stored change whose application raises ----


def test_a_stored_change_that_can_not_be_applied_is_reported_as_stored_and_blocks_no_other(tmp_path: Path) -> None:
    one = executor(tmp_path / "x.db")
    real = one.applier.apply

    def broken(registry: Registry, name: str, prepared: Any) -> None:
        if name == "sur":
            one.applier.registry = registry
            raise RuntimeError("broken on purpose")
        real(registry, name, prepared)

    one.applier.apply = broken  # type: ignore[assignment]
    reply = answer(one, CALLS[0])
    assert reply.status == 500 and "stored" in reply.body["detail"]
    assert answer(one, CALLS[1]).status == 201
    assert answer(one, CALLS[0]).headers["idempotency-replayed"] == "true"
    assert whole(one.applier.registry) == whole(one.store_thread.store.registry())
    assert [entry.version for entry in one.store_thread.store.changes(0, 9)] == [1, 2]


def hosts(registry: Registry, tmp_path: Path) -> TenantHost:
    file = tmp_path / "service.toml"
    file.write_text("[process]\nsockets = 256\n[end]\n")
    reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
    reactor.advance(1000.0)
    return TenantHost(reactor, read_service(file), registry)


def close_host(host: TenantHost) -> None:
    """Closes the listeners of the test. Twisted does so in a later turn of the loop."""
    host.runtimes_by_id.clear()  # so that no tenant is notified of the removal of another
    for tenancy in host.runtimes.values():
        tenancy.remove()
    host.reactor.advance(0.01)


def endpoint(text: str) -> Endpoint:
    host, _, port = text.rpartition(":")
    return Endpoint(host, int(port))


def listening(name: str, number: int = 1, **terms: Any) -> Any:
    return tenant(name, number, listeners=(endpoint(free_place("127.0.0.1")),), limits=SMALL, **terms)


def connects(listener: Endpoint) -> bool:
    with suppress(OSError), socket.create_connection((listener.host, listener.port), timeout=1):
        return True
    return False


def test_a_change_that_raises_affects_no_other_tenant_and_the_next_change_repairs_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    one = listening("sur")
    host = hosts(Registry().with_change(CreateTenant(one)), tmp_path)
    host.start()
    tenancy, norte, other = host.runtimes["sur"], listening("norte", 2), endpoint(free_place("127.0.0.1"))
    limits: TenantLimits = replace(SMALL, open_txs=7)
    with monkeypatch.context() as broken:
        broken.setattr(tenancy, "_apply_limits", lambda tenant: 1 / 0)
        after = host.registry.with_change(ReplaceTenant(replace(one, limits=limits, listeners=(*one.listeners, other))))
        with pytest.raises(ZeroDivisionError):
            host.apply(after, "sur", host.prepare(after, "sur"))
        host.reactor.advance(0.01)
        assert not connects(other)  # the listener that was bound for the change is closed
        after = host.registry.with_change(CreateTenant(norte))
        host.apply(after, "norte", host.prepare(after, "norte"))
    assert connects(norte.listeners[0]) and connects(one.listeners[0]) and tenancy.frontend.max_open_txs != 7
    after = host.registry.with_change(SetState("sur", State.SUSPENDED))
    host.apply(after, "sur", host.prepare(after, "sur"))
    assert tenancy.frontend.max_open_txs == 7 and tenancy.frontend.suspended_delay and host.registry.version == 4
    close_host(host)


# ---- removal of tenants and shutdown ----


def test_a_tenant_is_removed_while_a_connection_to_its_cache_host_is_being_established(tmp_path: Path) -> None:
    one = listening("sur", servers=(Server("one", Endpoint("127.0.1.1", 11211)),))
    host = hosts(Registry().with_change(CreateTenant(one)), tmp_path)
    host.start()
    tenancy = host.runtimes["sur"]
    tenancy.pool._connect(next(iter(tenancy.pool.hosts.values())))
    assert host.reactor.tcpClients and host.sockets.total_used == 1
    host.change(SetState("sur", State.ENDING))
    host.change(RemoveTenant("sur"))
    assert not host.runtimes and not host.runtimes_by_id and host.sockets.total_used == 0
    assert tenancy.id not in host.scheduler.queues and tenancy.id not in host.resources.shared_hosts.lists
    connector = host.reactor.connectors[0]
    assert connector.stoppedConnecting
    close_host(host)


def test_the_removal_of_an_ended_tenant_is_retried(tmp_path: Path) -> None:
    one = listening("sur")
    host = hosts(Registry().with_change(CreateTenant(one)).with_change(SetState("sur", State.ENDING)), tmp_path)
    asked: list[Deferred[Reply]] = []

    def remove(name: str) -> "Deferred[Reply]":
        asked.append(Deferred())
        return asked[-1]

    host.remove = remove
    host.start()
    host.reactor.advance(1)
    assert len(asked) == 1
    asked[0].callback(Reply(507))
    for _ in range(8):
        host.reactor.advance(0.25)
    assert len(asked) == 2  # after a delay, as an immediate retry would fail again
    for _ in range(40):
        host.reactor.advance(0.25)
    assert len(asked) == 2
    close_host(host)


def test_a_change_that_completes_after_the_start_of_a_shutdown_opens_no_listener(tmp_path: Path) -> None:
    one = listening("sur")
    host = hosts(Registry(), tmp_path)
    host.start()
    host.reactor.running = True
    after = host.registry.with_change(CreateTenant(one))
    prepared = host.prepare(after, "sur")
    host.shut_down()
    host.apply(after, "sur", prepared)
    host.reactor.advance(0.01)
    assert host.registry.version == 1 and not host.runtimes
    assert not connects(one.listeners[0])


def manual_store(one: Any) -> list["Deferred[Any]"]:
    """Replaces the store's thread: each step waits until the test calls its Deferred."""
    held: list[Deferred[Any]] = []

    def later(what: Callable[..., Any], *terms: Any) -> "Deferred[Any]":
        held.append(Deferred())
        return held[-1].addCallback(lambda _: what(*terms))

    one.store_thread.run = later
    return held


def test_a_shutdown_during_a_disk_write_answers_each_call_once(tmp_path: Path) -> None:
    one = executor(tmp_path / "x.db")
    held, replies = manual_store(one), []
    for n in range(3):
        asked = call("POST", "/v1/tenants", document(f"t{n}", f"127.0.0.1:{7000 + n}", limits=UNLIMITED))
        one.call(asked).addCallback(lambda reply, n: replies.append((n, reply.status)), n)
    assert replies == [] and len(held) == 1
    one.end()
    assert replies == [(1, 503), (2, 503)]
    late = call("POST", "/v1/tenants", document("t9", "127.0.0.1:7009", limits=UNLIMITED))
    one.call(late).addCallback(lambda reply: replies.append((9, reply.status)))
    assert replies[2:] == [(9, 503)]
    held.pop().callback(None)
    assert replies[3:] == [(0, 201)] and one.store_thread.store.registry().version == 1


def test_a_waiting_call_whose_key_is_removed_is_unauthorized(tmp_path: Path) -> None:
    one = executor(tmp_path / "x.db")
    answer(one, CALLS[0])
    token = answer(one, call("POST", "/v1/tenants/sur/keys", {"name": "k", "scope": "administrator"})).body["token"]
    held, replies = manual_store(one), []
    one.call(call("DELETE", "/v1/tenants/sur/keys/k", None)).addCallback(lambda reply: replies.append(reply.status))
    mine = Call(
        "PUT",
        "/v1/tenants/sur/servers",
        {},
        {"authorization": f"Bearer {token}", "if-match": "*", "idempotency-key": "mine"},
        b'{"servers": []}',
        "::1",
    )
    one.call(mine).addCallback(lambda reply: replies.append(reply.status))
    while held:
        held.pop(0).callback(None)
    assert replies == [200, 401]


# ---- the service file of the operators ----

TENANT = (
    '[[tenants]]\nname = "{}"\nlisteners = ["{}"]\n[[tenants.servers]]\nname = "h"\nplace = "10.0.0.1:80"\n'
    '[[tenants.profiles]]\nname = "read"\nkind = "idempotent"\nservice_goal_ms = 300\nhard_limit_ms = 900\n'
)


def test_a_truncated_service_file_is_rejected(tmp_path: Path) -> None:
    file, listens = tmp_path / "service.toml", [free_place("127.0.0.1") for _ in range(2)]
    both = TENANT.format("uno", listens[0]) + TENANT.format("dos", listens[1])
    text = f"[process]\nsockets = 256\n{both}[end]\n"
    file.write_text(text)
    assert len(read_service(file).registry.tenants) == 2
    reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
    running = ServiceProcess(reactor, read_service(file))
    running.start()
    before, lines = whole(running.host.registry), []
    handler = logger.add(lambda line: lines.append(line.record["extra"].get("cause")), level="ERROR")
    cuts = range(len(text) - 1)
    for cut in cuts:
        file.write_text(text[:cut])
        with pytest.raises(ServiceConfigError) as fault:
            read_service(file)
        assert "service.toml: " in str(fault.value) and "\n" not in str(fault.value)
        running.reload()
    logger.remove(handler)
    assert whole(running.host.registry) == before and len(lines) == len(cuts)
    file.write_text(text.replace('name = "dos"', 'name = "tres"').replace(listens[1], free_place("127.0.0.1")))
    running.reload()
    assert set(running.host.runtimes) >= {"uno", "tres"}
    assert running.host.registry.tenants["dos"].tenant.state is State.ENDING  # a complete file may end a tenant
    close_host(running.host)


def test_a_reload_without_the_api_section_keeps_the_api(tmp_path: Path) -> None:
    one = HostedService(tmp_path).start()
    try:
        whole_file = one.config_file.read_text()
        one.config_file.write_text('[process]\nsockets = 256\n[store]\npath = "registry.db"\n[end]\n')
        process = one.process
        assert process is not None
        # The signal is repeated, as it is ignored until the loop runs.
        wait_until(lambda: signal_reload(process) and b"takes effect at the next start" in one.log.read_bytes())
        assert one.call("GET", "/v1/tenants").status == 200
        one.config_file.write_text(whole_file)
    finally:
        one.kill()


def signal_reload(process: "subprocess.Popen[bytes]") -> bool:
    process.send_signal(signal.SIGHUP)
    return True


def test_no_plan_is_made_from_a_truncated_file(tmp_path: Path) -> None:
    from ternquay.hosted.administration.admin import read_tenant_file

    file = tmp_path / "tenants.toml"
    file.write_text(TENANT.format("uno", "127.0.0.1:7001"))
    with pytest.raises(ServiceConfigError, match="end"):
        read_tenant_file(file)
    file.write_text(TENANT.format("uno", "127.0.0.1:7001") + "[end]\n# nothing after it\n")
    assert len(read_tenant_file(file)) == 1


# ---- a balancer that is killed and restarted at once ----


class PartialCacheHost(threading.Thread):
    """A cache host that records the ids of commands and sends only a fraction of each response."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.ids: list[bytes] = []
        self.sent_fraction: float = 1.0
        self.start()

    def run(self) -> None:
        with suppress(OSError):
            while True:
                threading.Thread(target=self.answers, args=(self.listener.accept()[0],), daemon=True).start()

    def answers(self, balancer: socket.socket) -> None:
        with suppress(OSError), balancer, balancer.makefile("rb") as reader:
            for line in reader:
                words = line.split()
                id = next(word for word in words if word[:1] == b"O")
                text = b"HD %b cdone\r\n" % id if words[0] == b"ms" else b"VA 60000 %b\r\n%b\r\n" % (id, b"x" * 60000)
                if words[0] == b"ms":
                    reader.read(int(words[2]) + 2)
                self.ids.append(id)
                balancer.sendall(text[: int(len(text) * self.sent_fraction)])

    def end(self) -> None:
        self.listener.shutdown(socket.SHUT_RDWR)  # wakes the thread in accept()
        self.join()
        self.listener.close()


WRITE = b"ms k 2 Ow%d Pc=once,d=800,k=77\r\nhi\r\n"
POINTS = (
    "accepted, and no hop written",
    "a hop is written",
    "half a response has arrived",
    "the response is being written",
    "shutdown with an open transaction",
    "reload with an open transaction",
)


@pytest.mark.parametrize("point", POINTS)
def test_a_process_killed_at_any_point_restarts_at_once_and_repeats_no_hop(tmp_path: Path, point: str) -> None:
    host, listen = PartialCacheHost(), free_port()
    config = balancer_config(
        listen,
        free_port(),
        known={
            "revision": 1,
            "complete": True,
            "members": [
                {
                    "id": "h1",
                    "host_port": f"127.0.0.1:{host.port}",
                    "locality": "a",
                    "flavor": "k",
                    "cell": 0,
                    "phase": "up",
                    "size": 1.0,
                    "up_since_ms": 0,
                }
            ],
        },
    )
    if point == POINTS[0]:
        config["known"]["members"][0]["host_port"] = "127.0.0.1:1"  # the connection is refused, so the hop never ran
    host.sent_fraction = 0.0 if point in POINTS[1:2] + POINTS[4:] else 0.5 if point == POINTS[2] else 1.0
    with serving(config, tmp_path) as process, socket.create_connection(("127.0.0.1", listen)) as client:
        client.settimeout(5)
        client.sendall(b"mg k v Ow0 Pc=read,d=800\r\n" if point == POINTS[3] else WRITE % 0)
        if point == POINTS[0]:
            assert client.recv(99).startswith(b"SERVER_ERROR busy")
        else:
            wait_until(lambda: host.ids)
        if point == POINTS[3]:
            client.recv(1000)
        if point == POINTS[4]:
            process.send_signal(signal.SIGTERM)
            wait_until(lambda: b"shutdown requested" in (tmp_path / "log").read_bytes())
        if point == POINTS[5]:
            process.send_signal(signal.SIGHUP)
            wait_until(lambda: b"configuration reloaded" in (tmp_path / "log").read_bytes())
        process.kill()
        process.wait()
        before = list(host.ids)
        with suppress(ConnectionResetError):  # the client has to repeat requests without a response
            while client.recv(1 << 16):
                pass
    host.sent_fraction = 1.0
    config["known"]["members"][0]["host_port"] = f"127.0.0.1:{host.port}"
    with serving(config, tmp_path), socket.create_connection(("127.0.0.1", listen)) as again:
        again.settimeout(5)
        time.sleep(0.3)
        assert host.ids == before  # no hop of the killed process is repeated
        again.sendall(WRITE % 1)
        assert again.recv(99) == b"HD Ow1 cdone\r\n" and host.ids == [*before, b"Ow1"]
    host.end()


def test_repeated_shutdown_and_reload_signals_answer_open_requests_and_end_once(tmp_path: Path) -> None:
    host, listen = PartialCacheHost(), free_port()
    host.sent_fraction = 0.0
    config = balancer_config(
        listen,
        free_port(),
        known={
            "revision": 1,
            "complete": True,
            "members": [
                {
                    "id": "h1",
                    "host_port": f"127.0.0.1:{host.port}",
                    "locality": "a",
                    "flavor": "k",
                    "cell": 0,
                    "phase": "up",
                    "size": 1.0,
                    "up_since_ms": 0,
                }
            ],
        },
    )
    with serving(config, tmp_path) as process, socket.create_connection(("127.0.0.1", listen)) as client:
        client.settimeout(5)
        client.sendall(WRITE % 0)
        wait_until(lambda: host.ids)
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            process.send_signal(number)
        assert client.recv(99) == b"SERVER_ERROR failed\r\n"
        assert process.wait(10) == 0
        assert (tmp_path / "log").read_text().count("shutdown requested") == 1
    host.end()


def test_a_second_service_does_not_start_on_a_locked_store(tmp_path: Path) -> None:
    one = HostedService(tmp_path).start()
    try:
        done = subprocess.run(
            [sys.executable, "-m", "ternquay", "host", "--config", str(one.config_file)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
        assert done.returncode == 2 and "locked" in done.stderr and done.stderr.strip().count("\n") == 0
        assert one.call("GET", "/v1/tenants").status == 200
    finally:
        one.kill()
