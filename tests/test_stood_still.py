"""After a pause of the process (SIGSTOP or a long turn), input that arrived meanwhile is handled before new hops."""

import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

import orjson

from ternquay.net.loop_timing import STALL_NS, LoopTiming
from tests.helper import FACTS, Net, ThreadedServer, member
from tests.hosted_helper import ROOT
from tests.test_endings import BusyHost, sent_commands
from tests.test_net import mg
from tests.test_review_links import balancer_config, free_port, wait_until

MS, SECOND = 1_000_000, 1_000_000_000
DRAIN_GRACE_SECONDS = 0.5
SLOW_PROFILES = [one | {"ServiceGoal": 4_000_000, "HardLimit": 5_000_000} for one in FACTS["Profiles"]]


def test_a_poll_that_returns_late_with_events_reports_a_pause_of_the_process() -> None:
    timing, now = LoopTiming(60 * MS), SECOND
    timing.begin(now, now - 50 * MS, 250 * MS)
    assert not timing.process_stalled(now)
    timing.begin(now + 2 * SECOND, now + MS, 250 * MS)
    assert timing.process_stalled(now + 2 * SECOND)
    assert timing.max_unread_time(now + 2 * SECOND, 0) == 2 * SECOND - MS, (
        "bytes may have arrived as soon as the poll began"
    )
    timing.begin(now + 2 * SECOND + 3 * MS, now + 2 * SECOND + 2 * MS, 250 * MS)
    assert not timing.process_stalled(now + 2 * SECOND + 3 * MS)


def test_a_poll_that_returns_late_without_events_defers_the_report_to_the_next_one() -> None:
    """A stopped process causes this if the timeout of its poll passes meanwhile."""
    timing, now = LoopTiming(60 * MS), SECOND
    timing.begin(now, now, 250 * MS)
    timing.begin(now + 2 * SECOND, now + MS, 250 * MS, False)
    timing.begin(now + 2 * SECOND + 2 * MS, now + 2 * SECOND + 2 * MS, 250 * MS)
    assert timing.process_stalled(now + 2 * SECOND + 2 * MS)
    assert timing.max_unread_time(now + 2 * SECOND + 2 * MS, 0) == 2 * SECOND + MS
    timing.begin(now + 3 * SECOND, now + 2 * SECOND + 3 * MS, 2 * SECOND)
    assert not timing.process_stalled(now + 3 * SECOND)


def test_the_report_is_dropped_if_the_next_poll_has_to_wait() -> None:
    timing, now = LoopTiming(60 * MS), SECOND
    timing.begin(now, now, 250 * MS)
    timing.begin(now + 2 * SECOND, now + MS, 250 * MS, False)
    timing.begin(now + 2 * SECOND + 50 * MS, now + 2 * SECOND + MS, 250 * MS)
    assert (
        not timing.process_stalled(now + 2 * SECOND + 50 * MS)
        and timing.max_unread_time(now + 2 * SECOND + 50 * MS, 0) == 0
    )


def test_a_long_turn_and_the_turn_after_it_count_as_a_pause() -> None:
    timing, now = LoopTiming(60 * MS), SECOND
    timing.begin(now, now, 250 * MS)
    assert not timing.process_stalled(now + STALL_NS) and timing.process_stalled(now + STALL_NS + 1)
    timing.begin(now + STALL_NS + 2 * MS, now + STALL_NS + MS, 250 * MS)
    assert timing.process_stalled(now + STALL_NS + 2 * MS)


def test_a_poll_without_a_timeout_is_never_late() -> None:
    timing = LoopTiming(60 * MS)
    timing.begin(100 * SECOND, SECOND, -1)
    assert not timing.process_stalled(100 * SECOND) and timing.max_unread_time(100 * SECOND, 0) == 0


def test_after_a_pause_a_hop_waits_for_the_next_poll() -> None:
    net = Net(hosts=2)
    net.dispatcher.process_stalled = lambda now: True
    client = net.client()
    client.feed(mg(1))
    assert not net.reactor.tcpClients
    net.list(member(1, "draining"))
    net.dispatcher.process_stalled = lambda now: False
    net.run(2)
    while net.reactor.tcpClients:
        net.accept()
    assert len(sent_commands(net)) == 1 and "host 2" in sent_commands(net)[0], net.trace


def test_a_hop_whose_connection_was_established_during_a_pause_is_routed_again() -> None:
    net = Net(hosts=2)
    client = net.client()
    client.feed(mg(1))
    first = net.reactor.tcpClients[0][0]
    net.dispatcher.process_stalled = lambda now: True
    net.accept()
    assert not sent_commands(net)
    net.list(member(int(first[-1]), "draining"))
    net.dispatcher.process_stalled = lambda now: False
    net.run(2)
    while net.reactor.tcpClients:
        net.accept()
    assert len(sent_commands(net)) == 1 and f"host {first[-1]}" not in sent_commands(net)[0], net.trace


def test_a_loop_that_is_late_in_every_turn_still_sends_hops() -> None:
    net = Net(hosts=2)
    net.dispatcher.process_stalled = lambda now: True
    client = net.client()
    for number in range(5):
        client.feed(mg(number))
        net.run(3)
        while net.reactor.tcpClients:
            net.accept()
        net.run(3)
        host = next(wire for wire in net.wires if wire.name.startswith("host") and not wire.lost)
        assert len(sent_commands(net)) == number + 1
        host.feed(b"VA 3 O%d h1\r\nval\r\n" % number)


def test_a_hop_that_waits_for_the_next_poll_is_dropped_if_its_client_leaves() -> None:
    net = Net()
    net.dispatcher.process_stalled = lambda now: True
    client = net.client()
    client.feed(mg(1))
    client.end()
    net.run(5)
    assert not net.reactor.tcpClients and not net.dispatcher.open_txs


class Discovery(ThreadedServer):
    """Answers the first call at once and holds each watch until the test responds to it."""

    def __init__(self) -> None:
        super().__init__()
        self.listed = b""
        self.watches: list[socket.socket] = []
        self.start()

    def answer(self, client: socket.socket) -> None:
        with suppress(OSError):
            for line in client.makefile("rb"):
                if line.startswith(b"GET") and b"index=" in line:
                    self.watches.append(client)
                elif line.startswith(b"GET"):
                    respond(client, self.listed)


def respond(client: socket.socket, body: bytes) -> None:
    client.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def test_no_hop_reaches_a_host_whose_drain_was_announced_while_the_process_was_stopped(tmp_path: Path) -> None:
    hosts, discovery, listen = (BusyHost(), BusyHost()), Discovery(), free_port()
    members = [member(n) | {"host_port": f"127.0.0.1:{one.port}"} for n, one in enumerate(hosts, 1)]
    discovery.listed = orjson.dumps({"revision": 1, "complete": True, "members": members})
    settings = FACTS | {
        "Profiles": SLOW_PROFILES,
        "Invariants": FACTS["Invariants"] | {"DrainGrace": int(DRAIN_GRACE_SECONDS * 1e6)},
    }
    path = tmp_path / "config.json"
    known = orjson.loads(discovery.listed)
    path.write_bytes(orjson.dumps(balancer_config(listen, discovery.port, settings=settings, known=known)))
    with open(tmp_path / "log", "wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "ternquay.net"], cwd=ROOT, stderr=log, env=os.environ | {"EDGE_CONFIG": str(path)}
        )
    try:
        wait_until(lambda: b"serves on" in (tmp_path / "log").read_bytes())
        with socket.create_connection(("127.0.0.1", listen), timeout=5) as client:
            key = ""
            for number in range(100):  # finds a key that is served by the first host
                before = len(hosts[0].came)
                client.sendall(mg(number, f"k{number}", ttl=4500))
                assert client.recv(200).startswith(b"VA 1")
                if len(hosts[0].came) > before:
                    key = f"k{number}"
                    if hosts[1].came:
                        break
            wait_until(lambda: bool(discovery.watches))
            time.sleep(0.3)
            process.send_signal(signal.SIGSTOP)
            drain = orjson.dumps({"revision": 2, "complete": False, "members": [members[0] | {"phase": "draining"}]})
            before, watches = len(hosts[0].came), len(discovery.watches)
            client.sendall(mg(1000, key, ttl=4500))
            time.sleep(0.05)
            respond(discovery.watches[-1], drain)
            time.sleep(DRAIN_GRACE_SECONDS + 0.3)
            process.send_signal(signal.SIGCONT)
            assert client.recv(200).startswith((b"VA 1", b"SERVER_ERROR busy"))
            wait_until(lambda: len(discovery.watches) > watches)
            assert len(hosts[0].came) == before, "the drain was announced while the process was stopped"
    finally:
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()
