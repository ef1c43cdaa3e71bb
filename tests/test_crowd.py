"""Connections that never send a complete command, beside ordinary clients that are slow."""

import json
import socket
import time
from pathlib import Path

from ternquay.net.config import read_config
from ternquay.net.limits import SECOND
from ternquay.net.serve import Service
from tests.helper import FACTS, Net, member
from tests.test_flow import Store
from tests.test_net import mg, ms, va
from tests.test_review_links import balancer_config, free_port, serving


def test_clients_without_a_complete_command_are_closed_by_age_after_the_time_a_slow_client_needs() -> None:
    net = Net(sockets=192, limits={"clients": 6, "first_command_timeout": 2 * SECOND})
    crowd = [net.client() for _ in range(3)]
    for one in crowd[:2]:
        one.feed(b"mg k v")
    slow, large = net.client(), net.client()
    large.feed(ms(9)[:-4])  # its command line is complete: the value may take longer
    for at in range(19):
        net.run(100)
        slow.feed(mg(1)[at : at + 1])
        crowd[0].feed(b" ")  # it sends bytes but makes no progress
    slow.feed(mg(1)[19:])
    assert not any(one.lost for one in crowd)
    net.accept().feed(va(1))
    assert b"VA 3 O1" in net.trace[-1].encode()
    net.run(400)
    assert all(one.lost for one in crowd) and not slow.lost and not large.lost


def test_with_free_sockets_no_client_is_closed_before_its_request_is_overdue() -> None:
    net = Net(sockets=192, limits={"first_command_timeout": SECOND})
    half = net.client()
    half.feed(b"mg k v")
    net.run(2450)
    assert not half.lost
    net.run(100)
    assert half.lost


def test_for_a_new_client_the_oldest_one_without_a_complete_command_is_closed() -> None:
    net = Net(sockets=192, limits={"clients": 2, "first_command_timeout": SECOND, "sweep_interval": 60 * SECOND})
    first, second = net.client(), net.client()
    first.feed(b"mg k")
    net.run(500)
    second.feed(b"mg k")
    third = net.client()
    assert third.protocol.over_limit and not first.lost  # over the limit: the oldest one still has time to finish
    third.end()
    net.run(600)
    fourth = net.client()
    assert first.lost and not second.lost and not fourth.protocol.over_limit
    fourth.feed(mg(4))
    net.accept().feed(va(4))
    assert not fourth.lost
    assert net.sockets.clients == 2 and not net.frontend.incomplete_requests.total - len(b"mg k")


def test_a_client_that_connects_and_writes_later_keeps_its_full_ttl() -> None:
    """Bytes sent before the accept are read at the next poll; bytes read later have not waited since the accept."""
    net = Net()
    net.loop_timing.begin(net.dispatcher.now())
    early = net.client()
    net.run(300)
    net.loop_timing.begin(net.dispatcher.now())
    early.feed(mg(1, ttl=500))  # it may have waited unread for the whole iteration
    assert [tx.ttl // 1_000_000 for tx in net.dispatcher.open_txs.values()] == [200]
    net.loop_timing.begin(net.dispatcher.now())
    slow = net.client()
    for _ in range(5):
        net.run(100)
        net.loop_timing.begin(net.dispatcher.now())
    slow.feed(mg(3, ttl=500))
    assert (
        list(net.dispatcher.open_txs.values())[-1].ttl // 1_000_000 == 400
    )  # one iteration, not the five since it connected


def test_the_service_listens_once_the_loop_runs_and_not_before(tmp_path: Path) -> None:
    """Connections that the operating system accepts during a slow start would wait unread."""
    path, net = tmp_path / "x.json", Net()
    path.write_text(json.dumps(balancer_config(1, 2, settings=FACTS)))
    service = Service(net.reactor, read_config(str(path), {}))
    service.begin()
    assert not net.reactor.tcpServers and service.not_ready_reason()
    net.reactor.advance(0.01)
    assert net.reactor.tcpServers and not service.not_ready_reason()


def test_on_loopback_clients_are_answered_beside_a_crowd_that_never_completes_a_command(tmp_path: Path) -> None:
    listen, store = free_port(), Store(9)
    where = member(1) | {"host_port": f"127.0.0.1:{store.port}"}
    config = balancer_config(listen, free_port(), known={"revision": 1, "complete": True, "members": [where]})
    with serving(config, tmp_path) as process:
        crowd, answered = [], 0
        until = time.monotonic() + 9
        while time.monotonic() < until:
            # Always more connections than sockets; each ordinary client opens a new connection.
            for _ in range(4):
                one = socket.create_connection(("127.0.0.1", listen), timeout=10)
                one.sendall(b"mg k v")
                crowd.append(one)
            with socket.create_connection(("127.0.0.1", listen), timeout=10) as client:
                client.sendall(b"mg k9 v O%d Pc=read,d=900\r\n" % len(crowd))
                answered += client.recv(200).startswith(b"VA 9")
            time.sleep(0.2)
        tries = len(crowd) // 4
        assert process.poll() is None and tries > 20
        assert answered > 0.6 * tries, (answered, tries)
        for one in crowd:
            one.close()
