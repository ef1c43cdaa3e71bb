"""Connections that are half open, idle for long, closed on the way or left over; what they hold and carry."""

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


def answers(net: Net, number: int = 0) -> list[str]:
    return [one.partition(" < ")[2] for one in net.trace if f"client {number} <" in one]


# ---- an address that another host took over ----


def moved(host: int, to: int, phase: str = "up") -> dict[str, Any]:
    return member(host, phase) | {"host_port": f"127.0.0.{to}:11211"}


def test_what_was_dialled_to_the_old_address_gets_nothing_new_once_the_host_has_another() -> None:
    net = Net()
    client = net.client()
    client.feed(mg(1) + mg(2))
    up, dialling = net.accept(), net.reactor.tcpClients[0]
    net.list(moved(1, 9))
    up.feed(va(1))
    assert up.lost  # it was idle then, and to the old address
    client.feed(mg(3))
    assert [host for host, *_ in net.reactor.tcpClients[-1:]] == ["127.0.0.9"]
    # What had not been written whole yet never ran, and goes where the host is now.
    assert dialling[2] is not net.reactor.tcpClients[-1][2]
    while net.reactor.tcpClients:
        host, _, factory, *_ = net.reactor.tcpClients.pop(0)
        wire = Wire(net, f"host at {host}", factory.buildProtocol(None))
        net.wires.append(wire)
        net.take()
    assert not any("host at 127.0.0.1 <" in one for one in net.trace), net.trace


def test_shared_connections_to_the_old_address_get_nothing_new() -> None:
    net = Net(limits={"sockets": 3})
    first, second = net.client(), net.client()
    first.feed(mg(1))
    host = net.accept()
    net.list(moved(1, 9))
    second.feed(mg(2))  # no socket is left: it would go behind the first
    assert "O2" not in "".join(one for one in net.trace if one.startswith("     0 ms  host"))
    host.feed(va(1))
    assert host.lost


# ---- a drain while a command waits to be written ----


def test_what_waits_behind_a_half_written_command_does_not_go_out_after_a_drain() -> None:
    net = Net(hosts=1, limits={"sockets": 3, "per_host_connection": 4})
    first, second = net.client(), net.client()
    first.feed(mg(1))
    host, _, factory, *_ = net.reactor.tcpClients.pop(0)
    half = Wire(net, "host 1", factory.buildProtocol(None))  # the system takes nothing for now
    second.feed(ms(2))
    net.list(member(1, "draining"))
    net.run(100)  # its own time to wait, 500 ms and more with other profiles, may be past the grace
    half.take()
    assert "O1" in "".join(net.trace) and not any("host 1 <" in one and "O2" in one for one in net.trace)
    assert len(answers(net, 1)) == 1 and "SERVER_ERROR busy" in answers(net, 1)[0]  # it never ran


def test_a_dial_that_comes_up_after_a_drain_carries_nothing() -> None:
    net = Net(hosts=2)
    client = net.client()
    client.feed(ms(1))
    dialled = net.reactor.tcpClients[0][0]
    net.list(member(int(dialled[-1]), "draining"))
    wire = net.accept()
    assert wire.lost and not any(f"{wire.name} <" in one for one in net.trace)
    other = net.accept()
    other.feed(b"HD O1 cabc\r\n")
    assert other.name != wire.name and answers(net) == ["b'HD O1 cabc\\r\\n'"]


def test_decisions_that_failed_on_a_list_send_nothing_to_a_host_that_drains(monkeypatch: pytest.MonkeyPatch) -> None:
    net = Net(hosts=1)
    with monkeypatch.context() as broken:
        broken.setattr(net.dispatcher.balancer, "_list_changed", lambda event: 1 / 0)
        net.list(member(1, "draining"))
    net.client().feed(mg(1))
    assert not net.reactor.tcpClients and "busy" in answers(net)[0]


# ---- an event that raises takes no others with it ----


def test_a_fault_in_one_action_leaves_the_others_and_the_timer(monkeypatch: pytest.MonkeyPatch) -> None:
    net = Net(hosts=2)
    first, second = net.client(), net.client()

    def both(now: int, event: Any) -> list[Any]:
        if isinstance(event, m.TxArrived) and event.tx == 1:
            return [m.RollBack(0, 5 * MS), m.RollBack(1, 5 * MS), m.SetTimer(now + 50 * MS)]
        return [m.WatchList()] if isinstance(event, m.TimerFired) else []

    monkeypatch.setattr(net.dispatcher.balancer, "decide", both)
    first.feed(mg(1))
    asker = net.dispatcher.open_txs[0].requester
    monkeypatch.setattr(
        type(asker), "roll_back", lambda self, wait: 1 / 0 if self is asker else self.set_answer(b"x\r\n")
    )
    second.feed(mg(2))
    assert answers(net, 1) == ["b'x\\r\\n'"]
    net.run(60)
    assert "the list is asked for" in net.trace[-1]


def test_a_hop_that_was_decided_before_a_fault_is_not_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
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
    assert len(answers(net)) == 1


# ---- one timer of the decisions, none left behind ----


def test_of_the_decisions_timers_there_is_one() -> None:
    net = Net()
    client = net.client()
    for n in range(200):  # each is to be looked at again a little sooner than the one before, and than the next tick
        client.feed(mg(n, key=f"k{n}", ttl=240 - n))
    assert len(net.dispatcher.open_txs) > 100
    left = [call for call in net.reactor.getDelayedCalls() if call.func == net.dispatcher.handle_event]
    assert len(left) == 1, len(left)


# ---- clients ----


def test_a_client_that_half_closes_after_its_command_is_gone_and_its_hops_end() -> None:
    """By the protocol it has gone away; nothing of it is left, and nothing is sent for it after that."""
    net = Net()
    client = net.client()
    client.feed(ms(1))
    host = net.accept()
    client.end()
    assert host.lost and not net.dispatcher.open_txs and net.sockets.hosts == net.sockets.clients == 0


def test_a_client_that_is_gone_silently_holds_one_socket_until_that_is_wanted() -> None:
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
def test_a_host_that_closes_within_its_answer_may_have_run_it(cut: int, end: str) -> None:
    net = Net()
    net.client().feed(ms(1))
    host = net.accept()
    if cut:
        host.feed(b"HD O1 cabcdefgh12\r\n"[:cut])
    host.end()
    net.take()
    assert answers(net) == [f"b'SERVER_ERROR {end}\\r\\n'"] and net.sockets.hosts == 0


def test_a_dial_that_never_comes_up_ends_with_its_hop_and_leaves_no_socket_counted() -> None:
    net = Net(hosts=2)
    client = net.client()
    client.feed(mg(1))
    net.run(600)  # the reactor of this test never gives up a dial: the hop's own time does
    assert not net.dispatcher.open_txs and "busy" in answers(net)[0]
    while net.reactor.tcpClients:
        *_, factory, _, _ = net.reactor.tcpClients.pop(0)
        factory.clientConnectionFailed(None, connectionDone)
    assert net.sockets.hosts == 0 and not any(place.connections for place in net.pool.hosts.values())


def test_a_host_that_goes_silent_loses_its_connections_with_their_hops_and_no_write_is_kept_for_it() -> None:
    net = Net(hosts=1)
    client = net.client()
    for n in range(4):
        client.feed(ms(n))
        if net.reactor.tcpClients:
            net.accept()
    net.run(1000)
    assert net.sockets.hosts == 0 and not net.dispatcher.open_txs and not net.pool.buffered_bytes
    assert "".join(answers(net)).count("SERVER_ERROR failed") + "".join(answers(net)).count("busy") == 4


def test_when_all_hosts_restart_at_once_idle_connections_cost_no_transaction_and_rest_again_soon() -> None:
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


# ---- the real process: discovery that does not end its answers, a limit on descriptors ----


def balancer_config(listen: int, discovery: int, **more: Any) -> dict[str, Any]:
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "ff",
        "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 128},
        "settings": FACTS | {"Discovery": "pushed"},
        "known": {"revision": 1, "complete": True, "members": [member(1)]},
    } | more


class Endless(threading.Thread):
    """A discovery that answers 503, or a list far too long, and goes on for ever; open: connections that it has."""

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
        self.listener.shutdown(socket.SHUT_RDWR)  # wakes who waits in accept()
        self.join()
        self.listener.close()


@contextmanager
def serving(config: dict[str, Any], folder: Path, files: int = 0) -> Iterator["subprocess.Popen[bytes]"]:
    path = folder / "told.json"
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
    end = time.monotonic() + seconds
    while not holds():
        assert time.monotonic() < end
        time.sleep(0.02)


def free_port() -> int:
    return int(free_place("127.0.0.1").rpartition(":")[2])


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 503 no\r\nContent-Length: 1000000\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 90000000\r\n\r\n" + b" " * (9 << 20),
    ],
)
def test_a_discovery_that_never_ends_its_answer_costs_no_socket_a_call(tmp_path: Path, head: bytes) -> None:
    discovery = Endless(head)
    with serving(balancer_config(free_port(), discovery.port), tmp_path) as process:
        wait_until(lambda: discovery.calls >= 4)
        assert discovery.open <= 1, f"{discovery.open} connections are left of {discovery.calls} calls"
        # One thread: to look an address up the library would start one, for a name that is none.
        assert len(os.listdir(f"/proc/{process.pid}/task")) == 1
    discovery.end()


def test_a_limit_on_descriptors_below_what_was_told_is_kept_to(tmp_path: Path) -> None:
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


def test_an_address_is_one_and_not_a_name() -> None:
    with pytest.raises(ValueError, match="listen"):
        parse_address("localhost:80", "listen")
    assert str(Address("127.0.0.1", 80)) == "127.0.0.1:80"


def test_a_host_that_is_gone_with_idle_connections_alone_leaves_no_place() -> None:
    net = Net(hosts=2)
    client = net.client()
    for n in range(8):
        client.feed(mg(n, key=f"k{n}"))
        while net.reactor.tcpClients:
            net.accept()
        for wire in net.wires[1:]:
            if not wire.lost and wire.protocol.hops:
                wire.feed(va(n))
    assert all(place.idle for place in net.pool.hosts.values())
    net.list(member(1), complete=True)
    net.take()
    assert list(net.pool.hosts) == [0] and net.sockets.hosts == sum(len(p.connections) for p in net.pool.hosts.values())
