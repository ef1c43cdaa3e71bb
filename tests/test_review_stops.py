"""Stopped at every point and started again: what was promised is still true, and no more is owed than the rules say."""

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
from tests.test_store import CALLS, UNLIMITED, answer, call, keeper, whole

# ---- COMMIT that raises ----


class Spoilt:
    """The store's connection, whose COMMIT raises once, with the change on disk or not."""

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
def test_after_a_commit_that_raised_the_answer_says_what_is_on_disk(tmp_path: Path, on_disk: bool) -> None:
    one = keeper(tmp_path / "x.db")
    assert answer(one, CALLS[0]).status == 201
    one.stored.store.db = Spoilt(one.stored.store.db, on_disk)  # type: ignore[assignment]
    found = answer(one, CALLS[1])
    assert found.status == (201 if on_disk else 507)
    assert whole(one.applier.registry) == whole(one.stored.store.registry())
    # And it goes on: the versions of both are the same.
    assert answer(one, CALLS[1]).status == 201 and answer(one, CALLS[2]).status == 200
    one.stored.store.close()
    again = Store(tmp_path / "x.db")
    assert whole(again.registry()) == whole(one.applier.registry) and again.registry().version == 3
    again.close()


def test_a_commit_of_which_nothing_can_be_learnt_is_not_called_not_made(tmp_path: Path) -> None:
    one = keeper(tmp_path / "x.db")
    store = one.stored.store
    store.db = Spoilt(store.db, True)  # type: ignore[assignment]
    real = store._initialize  # the disk is away for as long as it takes to look

    def away(db: sqlite3.Connection) -> None:
        raise sqlite3.OperationalError("unable to open")

    store._initialize = away  # type: ignore[method-assign]
    found = answer(one, CALLS[0])
    assert found.status == 507 and "not made" not in found.body["detail"]
    assert answer(one, CALLS[1]).status == 507
    store._initialize = real  # type: ignore[method-assign]
    # As soon as it can be had again both agree on what there is.
    assert answer(one, CALLS[1]).status == 201
    assert answer(one, CALLS[0]).status == 201
    assert whole(one.applier.registry) == whole(store.registry())
    store.close()


def test_a_file_that_may_not_grow_turns_changes_away_and_a_kill_shows_none_of_them(tmp_path: Path) -> None:
    path = tmp_path / "x.db"
    Store(path).close()
    reader, writer = os.pipe()
    child = os.fork()
    if child == 0:
        try:
            one = keeper(path)
            statuses = [answer(one, CALLS[0]).status]
            wal = os.path.getsize(f"{path}-wal")
            resource.setrlimit(resource.RLIMIT_FSIZE, (wal + 5000, wal + 5000))
            statuses += [answer(one, told).status for told in CALLS[1:]]
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


# ---- stored, and applying it raises ----


def test_a_stored_change_that_can_not_be_applied_is_told_as_stored_and_holds_up_no_other(tmp_path: Path) -> None:
    one = keeper(tmp_path / "x.db")
    real = one.applier.apply

    def broken(registry: Registry, name: str, prepared: Any) -> None:
        if name == "sur":
            one.applier.registry = registry
            raise RuntimeError("broken on purpose")
        real(registry, name, prepared)

    one.applier.apply = broken  # type: ignore[assignment]
    found = answer(one, CALLS[0])
    assert found.status == 500 and "stored" in found.body["detail"]
    assert answer(one, CALLS[1]).status == 201
    assert answer(one, CALLS[0]).headers["idempotency-replayed"] == "true"
    assert whole(one.applier.registry) == whole(one.stored.store.registry())
    assert [entry.version for entry in one.stored.store.changes(0, 9)] == [1, 2]


def hosts(registry: Registry, tmp_path: Path) -> TenantHost:
    file = tmp_path / "service.toml"
    file.write_text("[process]\nsockets = 256\n[end]\n")
    reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
    reactor.advance(1000.0)
    return TenantHost(reactor, read_service(file), registry)


def over(host: TenantHost) -> None:
    """Closes what the test has bound; the library does so in a turn of its own."""
    host.runtimes_by_id.clear()  # as none of them is told what becomes of the others
    for tenancy in host.runtimes.values():
        tenancy.remove()
    host.reactor.advance(0.01)


def place(text: str) -> Endpoint:
    host, _, port = text.rpartition(":")
    return Endpoint(host, int(port))


def listening(name: str, number: int = 1, **terms: Any) -> Any:
    return tenant(name, number, listeners=(place(free_place("127.0.0.1")),), limits=SMALL, **terms)


def connects(listener: Endpoint) -> bool:
    with suppress(OSError), socket.create_connection((listener.host, listener.port), timeout=1):
        return True
    return False


def test_a_change_that_raises_leaves_the_others_and_is_made_up_for_by_the_next(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    one = listening("sur")
    host = hosts(Registry().with_change(CreateTenant(one)), tmp_path)
    host.start()
    tenancy, norte, other = host.runtimes["sur"], listening("norte", 2), place(free_place("127.0.0.1"))
    limits: TenantLimits = replace(SMALL, open_txs=7)
    with monkeypatch.context() as broken:
        broken.setattr(tenancy, "_apply_limits", lambda tenant: 1 / 0)
        after = host.registry.with_change(ReplaceTenant(replace(one, limits=limits, listeners=(*one.listeners, other))))
        with pytest.raises(ZeroDivisionError):
            host.apply(after, "sur", host.prepare(after, "sur"))
        host.reactor.advance(0.01)
        assert not connects(other)  # bound for it, and not left behind
        after = host.registry.with_change(CreateTenant(norte))
        host.apply(after, "norte", host.prepare(after, "norte"))
    assert connects(norte.listeners[0]) and connects(one.listeners[0]) and tenancy.frontend.max_open_txs != 7
    after = host.registry.with_change(SetState("sur", State.SUSPENDED))
    host.apply(after, "sur", host.prepare(after, "sur"))
    assert tenancy.frontend.max_open_txs == 7 and tenancy.frontend.suspended_delay and host.registry.version == 4
    over(host)


# ---- ends of tenants ----


def test_a_tenant_ends_while_a_connection_to_its_cache_host_is_being_made(tmp_path: Path) -> None:
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
    over(host)


def test_an_ended_tenant_that_could_not_be_removed_is_tried_again(tmp_path: Path) -> None:
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
    assert len(asked) == 2  # not at once, as nothing may have changed
    for _ in range(40):
        host.reactor.advance(0.25)
    assert len(asked) == 2
    over(host)


def test_a_change_that_ends_after_the_service_was_told_to_end_opens_no_listener(tmp_path: Path) -> None:
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


def held_store(one: Any) -> list["Deferred[Any]"]:
    """The store's thread by hand: what is done waits here until its Deferred is called."""
    held: list[Deferred[Any]] = []

    def later(what: Callable[..., Any], *terms: Any) -> "Deferred[Any]":
        held.append(Deferred())
        return held[-1].addCallback(lambda _: what(*terms))

    one.stored.do = later
    return held


def test_told_to_end_with_a_change_at_the_disk_each_call_is_answered_once(tmp_path: Path) -> None:
    one = keeper(tmp_path / "x.db")
    held, replies = held_store(one), []
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
    assert replies[3:] == [(0, 201)] and one.stored.store.registry().version == 1


def test_a_call_whose_key_was_taken_away_while_it_waited_is_told_so(tmp_path: Path) -> None:
    one = keeper(tmp_path / "x.db")
    answer(one, CALLS[0])
    token = answer(one, call("POST", "/v1/tenants/sur/keys", {"name": "k", "scope": "administrator"})).body["token"]
    held, replies = held_store(one), []
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


# ---- the operators' file ----

TENANT = (
    '[[tenants]]\nname = "{}"\nlisteners = ["{}"]\n[[tenants.servers]]\nname = "h"\nplace = "10.0.0.1:80"\n'
    '[[tenants.profiles]]\nname = "read"\nkind = "idempotent"\nservice_goal_ms = 300\nhard_limit_ms = 900\n'
)


def test_an_operators_file_cut_off_anywhere_is_not_used(tmp_path: Path) -> None:
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
    assert running.host.registry.tenants["dos"].tenant.state is State.ENDING  # a whole file may end one
    over(running.host)


def test_a_file_without_the_api_does_not_lock_the_operators_out(tmp_path: Path) -> None:
    one = HostedService(tmp_path).start()
    try:
        whole_file = one.config_file.read_text()
        one.config_file.write_text('[process]\nsockets = 256\n[store]\npath = "registry.db"\n[end]\n')
        process = one.process
        assert process is not None
        # Told again and again, as until the loop runs it is not heeded.
        wait_until(lambda: again(process) and b"takes effect at the next start" in one.log.read_bytes())
        assert one.call("GET", "/v1/tenants").status == 200
        one.config_file.write_text(whole_file)
    finally:
        one.kill()


def again(process: "subprocess.Popen[bytes]") -> bool:
    process.send_signal(signal.SIGHUP)
    return True


def test_a_plan_is_not_made_of_a_file_that_is_cut_off(tmp_path: Path) -> None:
    from ternquay.hosted.administration.admin import wanted

    file = tmp_path / "tenants.toml"
    file.write_text(TENANT.format("uno", "127.0.0.1:7001"))
    with pytest.raises(ServiceConfigError, match="end"):
        wanted(file)
    file.write_text(TENANT.format("uno", "127.0.0.1:7001") + "[end]\n# nothing after it\n")
    assert len(wanted(file)) == 1


# ---- a balancer that is killed, and started again at once ----


class Slow(threading.Thread):
    """A cache host that says of each command when it has come, and answers as far as it is told to."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.ids: list[bytes] = []
        self.part: float = 1.0
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
                balancer.sendall(text[: int(len(text) * self.part)])

    def end(self) -> None:
        self.listener.shutdown(socket.SHUT_RDWR)  # wakes who waits in accept()
        self.join()
        self.listener.close()


WRITE = b"ms k 2 Ow%d Pc=once,d=800,k=77\r\nhi\r\n"
POINTS = (
    "taken, and no hop written",
    "a hop is written",
    "half an answer has come",
    "the answer is being written",
    "told to end, with one open",
    "told to read its file again, with one open",
)


@pytest.mark.parametrize("point", POINTS)
def test_killed_at_any_point_it_comes_up_again_at_once_and_sends_nothing_of_its_last_life(
    tmp_path: Path, point: str
) -> None:
    host, listen = Slow(), free_port()
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
        config["known"]["members"][0]["host_port"] = "127.0.0.1:1"  # refused: the hop never ran
    host.part = 0.0 if point in POINTS[1:2] + POINTS[4:] else 0.5 if point == POINTS[2] else 1.0
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
        with suppress(ConnectionResetError):  # what it was owed is the client's to ask for again
            while client.recv(1 << 16):
                pass
    host.part = 1.0
    config["known"]["members"][0]["host_port"] = f"127.0.0.1:{host.port}"
    with serving(config, tmp_path), socket.create_connection(("127.0.0.1", listen)) as again:
        again.settimeout(5)
        time.sleep(0.3)
        assert host.ids == before  # nothing of the last life
        again.sendall(WRITE % 1)
        assert again.recv(99) == b"HD Ow1 cdone\r\n" and host.ids == [*before, b"Ow1"]
    host.end()


def test_told_to_end_twice_and_to_read_its_file_meanwhile_it_answers_what_it_took_and_ends_once(tmp_path: Path) -> None:
    host, listen = Slow(), free_port()
    host.part = 0.0
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


def test_a_second_service_does_not_start_on_a_store_that_is_in_use(tmp_path: Path) -> None:
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
