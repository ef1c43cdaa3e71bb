"""Connections that never send a whole command, beside true ones that take their time."""

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


def test_who_never_sends_a_whole_command_goes_by_age_and_not_before_a_true_one_could_have_ended() -> None:
    net = Net(sockets=192, limits={"clients": 6, "first_command_timeout": 2 * SECOND})
    crowd = [net.client() for _ in range(3)]
    for one in crowd[:2]:
        one.feed(b"mg k v")
    slow, large = net.client(), net.client()
    large.feed(ms(9)[:-4])  # its command line has come: the value may take its time
    for at in range(19):
        net.run(100)
        slow.feed(mg(1)[at : at + 1])
        crowd[0].feed(b" ")  # it moves, and gets nowhere
    slow.feed(mg(1)[19:])
    assert not any(one.lost for one in crowd)
    net.accept().feed(va(1))
    assert b"VA 3 O1" in net.trace[-1].encode()
    net.run(400)
    assert all(one.lost for one in crowd) and not slow.lost and not large.lost


def test_while_there_is_room_nobody_is_closed_before_its_request_is_overdue() -> None:
    net = Net(sockets=192, limits={"first_command_timeout": SECOND})
    half = net.client()
    half.feed(b"mg k v")
    net.run(2450)
    assert not half.lost
    net.run(100)
    assert half.lost


def test_a_place_that_is_wanted_comes_from_the_oldest_that_got_nowhere() -> None:
    net = Net(sockets=192, limits={"clients": 2, "first_command_timeout": SECOND, "sweep_interval": 60 * SECOND})
    first, second = net.client(), net.client()
    first.feed(b"mg k")
    net.run(500)
    second.feed(b"mg k")
    third = net.client()
    assert third.protocol.over_limit and not first.lost  # no place: the oldest could still end
    third.end()
    net.run(600)
    fourth = net.client()
    assert first.lost and not second.lost and not fourth.protocol.over_limit
    fourth.feed(mg(4))
    net.accept().feed(va(4))
    assert not fourth.lost
    assert net.sockets.clients == 2 and not net.frontend.buffered_bytes - len(b"mg k")


def test_a_client_that_connects_and_writes_later_has_its_whole_time() -> None:
    """What came before it was accepted is read at the next poll; what is read after that has not waited as long."""
    net = Net()
    net.loop_timing.begin(net.dispatcher.now())
    early = net.client()
    net.run(300)
    net.loop_timing.begin(net.dispatcher.now())
    early.feed(mg(1, ttl=500))  # it may have lain there for all of that turn
    assert [tx.ttl // 1_000_000 for tx in net.dispatcher.open_txs.values()] == [200]
    net.loop_timing.begin(net.dispatcher.now())
    slow = net.client()
    for _ in range(5):
        net.run(100)
        net.loop_timing.begin(net.dispatcher.now())
    slow.feed(mg(3, ttl=500))
    assert list(net.dispatcher.open_txs.values())[-1].ttl // 1_000_000 == 400  # one turn, not the five since it came


def test_it_listens_when_the_loop_runs_and_not_before(tmp_path: Path) -> None:
    """Against what the system accepts while the start still takes its time, and which lies there unread."""
    path, net = tmp_path / "x.json", Net()
    path.write_text(json.dumps(balancer_config(1, 2, settings=FACTS)))
    service = Service(net.reactor, read_config(str(path), {}))
    service.begin()
    assert not net.reactor.tcpServers and service.not_ready_reason()
    net.reactor.advance(0.01)
    assert net.reactor.tcpServers and not service.not_ready_reason()


def test_on_loopback_true_clients_are_answered_beside_a_crowd_that_never_finishes(tmp_path: Path) -> None:
    listen, store = free_port(), Store(9)
    where = member(1) | {"host_port": f"127.0.0.1:{store.port}"}
    config = balancer_config(listen, free_port(), known={"revision": 1, "complete": True, "members": [where]})
    with serving(config, tmp_path) as process:
        crowd, answered = [], 0
        until = time.monotonic() + 9
        while time.monotonic() < until:
            # More than there is room for, all the time; each true client comes with a connection of its own.
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
