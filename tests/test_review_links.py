"""Connections that are half open, idle for long, closed early or left over, and the hops on them."""

import json
import os
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from resource import RLIMIT_NOFILE, setrlimit
from typing import Any

import pytest
from twisted.internet.protocol import connectionDone

from ternquay import model as m
from ternquay.balance import MS, Balancer
from ternquay.net.listing import Address, parse_address
from ternquay.rig.ports import free_place
from tests.helper import FACTS, Net, Wire, member
from tests.test_net import mg, ms, va

ROOT = Path(__file__).parents[1]


def replies(net: Net, number: int = 0) -> list[str]:
    """Returns what was written to one client."""
    return [one.partition(" < ")[2] for one in net.trace if f"client {number} <" in one]


# ---- a host whose address changes ----


def moved(host: int, to: int, phase: str = "up") -> dict[str, Any]:
    return member(host, phase) | {"host_port": f"127.0.0.{to}:11211"}


def test_connections_to_the_old_address_of_a_host_get_no_new_hops() -> None:
    net = Net()
    client = net.client()
    client.feed(mg(1) + mg(2))
    up, dialling = net.accept(), net.reactor.tcpClients[0]
    net.list(moved(1, 9))
    up.feed(va(1))
    assert up.lost  # it was idle by then, and is connected to the old address
    client.feed(mg(3))
    assert [host for host, *_ in net.reactor.tcpClients[-1:]] == ["127.0.0.9"]
    # The hop that was not completely written never ran, so it is sent to the new address.
    assert dialling[2] is not net.reactor.tcpClients[-1][2]
    while net.reactor.tcpClients:
        host, _, factory, *_ = net.reactor.tcpClients.pop(0)
        wire = Wire(net, f"host at {host}", factory.buildProtocol(None))
        net.wires.append(wire)
        net.take()
    assert not any("host at 127.0.0.1 <" in one for one in net.trace), net.trace


def test_shared_connections_to_the_old_address_get_no_new_hops() -> None:
    net = Net(limits={"sockets": 3})
    first, second = net.client(), net.client()
    first.feed(mg(1))
    host = net.accept()
    net.list(moved(1, 9))
    second.feed(mg(2))  # no socket is left, so the hop would share the first connection
    assert "O2" not in "".join(one for one in net.trace if one.startswith("     0 ms  host"))
    host.feed(va(1))
    assert host.lost


# ---- a drain while a command waits to be written ----


def test_a_command_queued_behind_a_partly_written_one_is_not_sent_after_a_drain() -> None:
    net = Net(hosts=1, limits={"sockets": 3, "per_host_connection": 4})
    first, second = net.client(), net.client()
    first.feed(mg(1))
    host, _, factory, *_ = net.reactor.tcpClients.pop(0)
    half = Wire(net, "host 1", factory.buildProtocol(None))  # the operating system takes no bytes for now
    second.feed(ms(2))
    net.list(member(1, "draining"))
    net.run(100)  # a command may wait for 500 ms and more, which can exceed the drain grace
    half.take()
    assert "O1" in "".join(net.trace) and not any("host 1 <" in one and "O2" in one for one in net.trace)
    assert len(replies(net, 1)) == 1 and "SERVER_ERROR busy" in replies(net, 1)[0]  # it never ran


def test_a_connection_established_after_a_drain_carries_no_hop() -> None:
    net = Net(hosts=2)
    client = net.client()
    client.feed(ms(1))
    dialled = net.reactor.tcpClients[0][0]
    net.list(member(int(dialled[-1]), "draining"))
    wire = net.accept()
    assert wire.lost and not any(f"{wire.name} <" in one for one in net.trace)
    other = net.accept()
    other.feed(b"HD O1 cabc\r\n")
    assert other.name != wire.name and replies(net) == ["b'HD O1 cabc\\r\\n'"]


def test_no_hop_reaches_a_draining_host_if_the_balancer_failed_on_the_list(monkeypatch: pytest.MonkeyPatch) -> None:
    net = Net(hosts=1)
    with monkeypatch.context() as broken:
        broken.setattr(net.dispatcher.balancer, "_list_changed", lambda event: 1 / 0)
        net.list(member(1, "draining"))
    net.client().feed(mg(1))
    assert not net.reactor.tcpClients and "busy" in replies(net)[0]


# ---- an exception in one event or action does not affect others ----


def test_an_exception_in_one_action_leaves_the_others_and_the_timer(monkeypatch: pytest.MonkeyPatch) -> None:
    net = Net(hosts=2)
    first, second = net.client(), net.client()

    def both(now: int, event: Any) -> list[Any]:
        if isinstance(event, m.TxArrived) and event.tx == 1:
            return [m.RollBack(0, 5 * MS), m.RollBack(1, 5 * MS), m.SetTimer(now + 50 * MS)]
        return [m.WatchList()] if isinstance(event, m.TimerFired) else []

    monkeypatch.setattr(net.dispatcher.balancer, "decide", both)
    first.feed(mg(1))
    requester = net.dispatcher.open_txs[0].requester
    monkeypatch.setattr(
        type(requester), "roll_back", lambda self, wait: 1 / 0 if self is requester else self.set_answer(b"x\r\n")
    )
    second.feed(mg(2))
    assert replies(net, 1) == ["b'x\\r\\n'"]
    net.run(60)
    assert "the list is asked for" in net.trace[-1]


def test_a_hop_that_was_decided_before_an_exception_is_completed(monkeypatch: pytest.MonkeyPatch) -> None:
    net = Net(hosts=1)
    balancer, real = net.dispatcher.balancer, Balancer._route

    def routed(self: Balancer, tx: Any) -> None:
        real(self, tx)
        raise ValueError("broken on purpose")

    with monkeypatch.context() as broken:
        broken.setattr(Balancer, "_route", routed)
        net.client().feed(mg(1))
    net.run(1000)
    assert not balancer.txs and not net.dispatcher.open_txs and balancer.in_flight == 0
    assert all(host.in_flight == 0 for host in balancer.hosts.values())
    assert len(replies(net)) == 1


# ---- the single timer of the balancer ----


def test_the_balancer_has_one_timer() -> None:
    net = Net()
    client = net.client()
    for n in range(200):  # each sets the timer a little earlier than the one before, and before the next tick
        client.feed(mg(n, key=f"k{n}", ttl=240 - n))
    assert len(net.dispatcher.open_txs) > 100
    left = [call for call in net.reactor.getDelayedCalls() if call.func == net.dispatcher.handle_event]
    assert len(left) == 1, len(left)


# ---- clients ----


def test_a_client_that_half_closes_after_its_command_counts_as_gone() -> None:
    """By the protocol, a half-close means that the client has gone. Its hops end and nothing more is sent for it."""
    net = Net()
    client = net.client()
    client.feed(ms(1))
    host = net.accept()
    client.end()
    assert host.lost and not net.dispatcher.open_txs and net.sockets.hosts == net.sockets.clients == 0


def test_a_client_that_vanished_keeps_its_socket_until_another_client_needs_it() -> None:
    net = Net(limits={"clients": 3, "spare": 1})
    silent = [net.client() for _ in range(3)]
    for n, one in enumerate(silent):
        one.feed(mg(n))
        net.accept().feed(va(n)) if net.reactor.tcpClients else net.wires[3].feed(va(n))
    net.run(60_000)
    assert not any(one.lost for one in silent)
    last = net.client()
    net.take()
    last.feed(mg(9))
    net.accept().feed(va(9))
    assert [one.lost for one in silent] == [True, False, False] and "VA 3 O9" in "".join(net.trace)


# ---- cache hosts ----


@pytest.mark.parametrize(("cut", "end"), [(0, "failed"), (3, "failed"), (17, "failed")])
def test_a_host_that_closes_within_its_response_may_have_run_the_hop(cut: int, end: str) -> None:
    net = Net()
    net.client().feed(ms(1))
    host = net.accept()
    if cut:
        host.feed(b"HD O1 cabcdefgh12\r\n"[:cut])
    host.end()
    net.take()
    assert replies(net) == [f"b'SERVER_ERROR {end}\\r\\n'"] and net.sockets.hosts == 0


def test_a_connection_that_is_never_established_releases_its_hop_and_its_socket() -> None:
    net = Net(hosts=2)
    client = net.client()
    client.feed(mg(1))
    net.run(600)  # the test's reactor has no connect timeout, so the deadline of the hop applies
    assert not net.dispatcher.open_txs and "busy" in replies(net)[0]
    while net.reactor.tcpClients:
        *_, factory, _, _ = net.reactor.tcpClients.pop(0)
        factory.clientConnectionFailed(None, connectionDone)
    assert net.sockets.hosts == 0 and not any(host.connections for host in net.pool.hosts.values())


def test_a_silent_host_loses_its_connections_and_their_hops() -> None:
    net = Net(hosts=1)
    client = net.client()
    for n in range(4):
        client.feed(ms(n))
        if net.reactor.tcpClients:
            net.accept()
    net.run(1000)
    assert net.sockets.hosts == 0 and not net.dispatcher.open_txs and not net.pool.incomplete_responses.total
    assert "".join(replies(net)).count("SERVER_ERROR failed") + "".join(replies(net)).count("busy") == 4


def test_a_restart_of_all_hosts_does_not_prevent_the_use_of_idle_connections() -> None:
    net = Net(hosts=4)
    client = net.client()
    for n in range(40):
        client.feed(mg(n, key=f"k{n}"))
        while net.reactor.tcpClients:
            net.accept()
        for wire in [w for w in net.wires if w.name.startswith("host") and not w.lost]:
            if wire.protocol.hops:
                wire.feed(va(n))
    net.run(50)
    for wire in [w for w in net.wires if w.name.startswith("host") and not w.lost]:
        wire.end()
    assert net.sockets.hosts == 0
    assert all(net.pool.idle_loss.is_usable(rested * MS, net.dispatcher.now()) for rested in (1, 50, 1000, 2900))


# ---- a real process: endless responses of discovery, a limit on descriptors ----


def balancer_config(listen: int, discovery: int, **more: Any) -> dict[str, Any]:
    """Returns the configuration of a process on 127.0.0.1 with these ports."""
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "ff",
        "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 128},
        "settings": FACTS | {"Discovery": "pushed"},
        "known": {"revision": 1, "complete": True, "members": [member(1)]},
    } | more


class EndlessDiscovery(threading.Thread):
    """A discovery whose responses never end: status 503, or a list that is far too long."""

    def __init__(self, head: bytes) -> None:
        super().__init__(daemon=True)
        self.head, self.calls, self.open = head, 0, 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.start()

    def run(self) -> None:
        with suppress(OSError):
            while True:
                threading.Thread(target=self.answer, args=(self.listener.accept()[0],), daemon=True).start()

    def answer(self, caller: socket.socket) -> None:
        self.open += 1
        with suppress(OSError), caller:
            while caller.recv(4096):
                self.calls += 1
                caller.sendall(self.head)
        self.open -= 1

    def end(self) -> None:
        self.listener.shutdown(socket.SHUT_RDWR)  # wakes the thread in accept()
        self.join()
        self.listener.close()


@contextmanager
def serving(config: dict[str, Any], folder: Path, files: int = 0) -> Iterator["subprocess.Popen[bytes]"]:
    """Runs a process with this configuration, and a limit of `files` descriptors unless that is 0."""
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    with open(folder / "log", "wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "ternquay", "serve", "--config", str(path)],
            cwd=ROOT,
            stderr=log,
            preexec_fn=(lambda: setrlimit(RLIMIT_NOFILE, (files, files))) if files else None,
        )
    try:
        wait_until(lambda: b"serves on" in (folder / "log").read_bytes() or process.poll() is not None)
        yield process
    finally:
        process.kill()
        process.wait()


def wait_until(holds: Any, seconds: float = 20.0) -> None:
    """Waits until the condition holds. Fails after the time limit."""
    end = time.monotonic() + seconds
    while not holds():
        assert time.monotonic() < end
        time.sleep(0.02)


def free_port() -> int:
    """Returns a free port of 127.0.0.1."""
    return int(free_place("127.0.0.1").rpartition(":")[2])


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 503 no\r\nContent-Length: 1000000\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 90000000\r\n\r\n" + b" " * (9 << 20),
    ],
)
def test_endless_responses_of_discovery_do_not_accumulate_connections(tmp_path: Path, head: bytes) -> None:
    discovery = EndlessDiscovery(head)
    with serving(balancer_config(free_port(), discovery.port), tmp_path) as process:
        wait_until(lambda: discovery.calls >= 4)
        assert discovery.open <= 1, f"{discovery.open} connections are open after {discovery.calls} calls"
        # One thread: Twisted would start another one to resolve an address as a name.
        assert len(os.listdir(f"/proc/{process.pid}/task")) == 1
    discovery.end()


def test_a_descriptor_limit_below_the_configured_one_is_kept_to(tmp_path: Path) -> None:
    listen = free_port()
    with serving(
        balancer_config(listen, free_port(), limits={"memory_mb": 96, "sockets": 1024}), tmp_path, files=64
    ) as process:
        clients = []
        for _ in range(100):
            with suppress(OSError):
                clients.append(socket.create_connection(("127.0.0.1", listen), timeout=1))
        time.sleep(0.5)
        assert process.poll() is None and len(os.listdir(f"/proc/{process.pid}/fd")) < 64
        log = (tmp_path / "log").read_text()
        assert "EMFILE" not in log and "Too many open files" not in log and "uncaught" not in log, log
        for one in clients:
            one.close()
        time.sleep(0.3)
        with socket.create_connection(("127.0.0.1", listen), timeout=2) as client:
            client.settimeout(5)
            client.sendall(b"mn\r\n")
            assert client.recv(10) == b"MN\r\n"


def test_a_host_name_is_no_valid_address() -> None:
    with pytest.raises(ValueError, match="listen"):
        parse_address("localhost:80", "listen")
    assert str(Address("127.0.0.1", 80)) == "127.0.0.1:80"


def test_a_host_that_is_gone_is_removed_from_the_pool_with_its_idle_connections() -> None:
    net = Net(hosts=2)
    client = net.client()
    for n in range(8):
        client.feed(mg(n, key=f"k{n}"))
        while net.reactor.tcpClients:
            net.accept()
        for wire in net.wires[1:]:
            if not wire.lost and wire.protocol.hops:
                wire.feed(va(n))
    assert all(host.idle for host in net.pool.hosts.values())
    net.list(member(1), complete=True)
    net.take()
    assert list(net.pool.hosts) == [0] and net.sockets.hosts == sum(len(p.connections) for p in net.pool.hosts.values())
