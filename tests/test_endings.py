"""Races between the end of something (client, hop, discovery call, process) and other events; see docs/endings.md.

The tests force each order of events with simulated I/O and a simulated clock instead of waiting for it.
"""

import os
import socket
import subprocess
import sys
import time
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import Any

import orjson
import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone, ResponseFailed
from twisted.web.http import PotentialDataLoss

from ternquay.net.config import read_config
from ternquay.net.discovery import Discovery
from ternquay.net.limits import MS
from ternquay.net.listing import Address
from ternquay.net.serve import Service
from ternquay.net.start_times import StartTimes
from tests.helper import FACTS, Net, ThreadedServer, member
from tests.hosted_helper import ROOT
from tests.test_flow import Store
from tests.test_net import BASE_CONFIG, FakeAgent, mg, ms
from tests.test_review_links import balancer_config, free_port, serving, wait_until

Failed: Any = Failure  # Twisted's classes have no types
Broken: Any = ResponseFailed

PROFILES = FACTS["Profiles"]
SHORT = {"Profiles": [*PROFILES[:2], PROFILES[2] | {"Window": 300_000}]}  # a repeat is recognised for 0.3 s


def sent_commands(net: Net) -> list[str]:
    """Returns the trace lines of commands that were sent to cache hosts."""
    return [one for one in net.trace if "host" in one and ("< b'mg" in one or "< b'ms" in one)]


# ---- checks before the first byte of a hop ----


@pytest.mark.parametrize("cancel", [True, False])
def test_a_hop_that_waits_for_a_connection_does_not_start_when_its_client_has_disconnected(cancel: bool) -> None:
    net = Net(Cancel=cancel)
    client = net.client()
    client.feed(mg(1))
    client.end()
    net.run(20)
    if net.reactor.tcpClients and not cancel:
        net.accept()
    net.run(5)
    assert not sent_commands(net), net.trace
    assert not net.dispatcher.open_txs


@pytest.mark.parametrize("waits", [60, 200])
def test_an_unread_disconnect_is_checked_for_before_a_late_hop(waits: int) -> None:
    """With a late loop or paused reading, the client may have disconnected without the balancer having read it."""
    net = Net()
    client = net.client()
    client.feed(mg(1))
    client.unread = b""
    net.run(waits)
    net.accept()
    assert not sent_commands(net), net.trace
    assert not net.dispatcher.open_txs


def test_a_client_that_is_still_connected_gets_its_late_hop() -> None:
    net = Net()
    client = net.client()
    client.feed(mg(1))
    net.run(200)
    net.accept()
    assert len(sent_commands(net)) == 1


def test_no_repeat_starts_after_the_time_for_which_it_is_recognised() -> None:
    net = Net(hosts=2, facts=SHORT)
    client = net.client()
    client.feed(ms(1, "mark"))
    net.accept().end()  # it may have run
    net.run(200)
    assert len(sent_commands(net)) == 1 and net.reactor.tcpClients, "a connection for a repeat is being made"
    net.run(110)
    net.accept()
    net.run(5)
    assert len(sent_commands(net)) == 1, net.trace


@pytest.mark.parametrize("window", [0, 100_000])
def test_a_first_hop_may_start_after_the_deduplication_window(window: int) -> None:
    """The window starts at the first run, and there was none yet. A profile may also have no window."""
    net = Net(facts={"Profiles": [*PROFILES[:2], PROFILES[2] | {"Window": window}]})
    net.client().feed(ms(1, "mark"))
    net.run(150)
    net.accept()
    assert len(sent_commands(net)) == 1, net.trace


def test_a_repeat_starts_while_it_is_recognised() -> None:
    net = Net(hosts=2, facts=SHORT)
    net.client().feed(ms(1, "mark"))
    net.accept().end()
    net.run(200)
    net.accept()
    assert len(sent_commands(net)) == 2


def test_a_hop_that_does_not_start_leaves_the_connection_for_the_next_one() -> None:
    net = Net()
    client = net.client()
    client.feed(mg(1))
    client.unread = b""
    net.run(100)
    host = net.accept()
    assert not host.lost and not sent_commands(net)
    net.client().feed(mg(2))
    assert len(sent_commands(net)) == 1 and not net.reactor.tcpClients


def test_a_request_that_waited_unread_is_accepted_only_from_a_connected_client() -> None:
    """The client sent a request and disconnected before it was accepted or read."""
    net = Net()
    net.loop_timing.begin(net.dispatcher.now())
    net.run(300)
    net.loop_timing.begin(net.dispatcher.now(), net.dispatcher.now())
    client = net.client()
    client.unread = b""
    client.feed(mg(1))
    if net.reactor.tcpClients:
        net.accept()
    assert not sent_commands(net), net.trace
    assert not net.dispatcher.open_txs


# ---- ends of discovery calls ----


class EndingResponse:
    """A discovery response whose body ends in a given way."""

    code = 200

    def __init__(self, body: bytes, how: Exception) -> None:
        self.body, self.how = body, how

    def deliverBody(self, protocol: Any) -> None:
        protocol.dataReceived(self.body)
        protocol.connectionLost(Failed(self.how))


def watching(monkeypatch: pytest.MonkeyPatch) -> tuple[Net, FakeAgent, Discovery]:
    net = Net()
    agent = FakeAgent(net)
    monkeypatch.setattr("ternquay.net.discovery.Agent", agent)
    watch = Discovery(net.reactor, net.dispatcher, net.limits, Address("127.0.0.1", 8500), StartTimes(lambda: 0))
    watch.revision, net.dispatcher.request_list = 0, watch.watch
    watch.watch()
    return net, agent, watch


def draining_list(revision: int) -> bytes:
    return orjson.dumps({"revision": revision, "complete": False, "members": [member(1, "draining")]})


def first_host_ready(net: Net) -> bool:
    return next(iter(net.pool.hosts.values())).ready


def test_the_late_answer_of_an_overdue_call_is_used(monkeypatch: pytest.MonkeyPatch) -> None:
    net, agent, _ = watching(monkeypatch)
    net.run(2600)
    assert len(agent.calls) == 2, "another call is made in time"
    net.run(1000)
    agent.calls[0].callback(EndingResponse(draining_list(5), ResponseDone()))
    assert not first_host_ready(net)
    assert len(agent.calls) == 3 and agent.calls[1].called, "one call goes on, and the other is dropped"
    net.run(1500)
    assert len(agent.calls) == 3


@pytest.mark.parametrize("first", [0, 1])
def test_whichever_of_two_calls_fails_the_other_goes_on(monkeypatch: pytest.MonkeyPatch, first: int) -> None:
    net, agent, _ = watching(monkeypatch)
    net.run(2600)
    agent.calls[first].errback(Failed(ConnectionLost()))
    if first == 0:
        agent.calls[1].callback(EndingResponse(draining_list(5), ResponseDone()))
        assert len(agent.calls) == 3
    else:
        net.run(400)
        assert len(agent.calls) == 3
        agent.calls[0].callback(EndingResponse(draining_list(5), ResponseDone()))
        assert len(agent.calls) == 4 and agent.calls[2].called
    assert not first_host_ready(net)


def test_a_call_that_is_answered_in_the_pause_before_a_retry_makes_the_retry_unnecessary(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    net, agent, _ = watching(monkeypatch)
    net.run(2600)
    agent.calls[1].errback(Failed(ConnectionLost()))
    agent.calls[0].callback(EndingResponse(draining_list(5), ResponseDone()))
    assert len(agent.calls) == 3 and not first_host_ready(net)
    net.run(1000)
    assert len(agent.calls) == 3


def test_a_call_that_is_never_answered_is_given_up_eventually(monkeypatch: pytest.MonkeyPatch) -> None:
    net, agent, _ = watching(monkeypatch)
    net.run(60_000)
    assert sum(not call.called for call in agent.calls) <= 2
    assert 15 <= len(agent.calls) <= 25


@pytest.mark.parametrize(
    ("cut", "how"),
    [
        (-1, Broken([Failed(ConnectionLost())])),
        (-1, PotentialDataLoss()),
        (-5, PotentialDataLoss()),
        (-1, Broken([Failed(ConnectionDone())])),
        (0, Broken([Failed(ConnectionLost())])),
    ],
)
def test_after_a_truncated_answer_the_complete_list_is_requested_immediately(
    monkeypatch: pytest.MonkeyPatch, cut: int, how: Exception
) -> None:
    net, agent, _ = watching(monkeypatch)
    agent.calls[0].callback(EndingResponse(draining_list(5)[:cut], how))
    assert first_host_ready(net) and len(agent.calls) == 2
    assert net.trace[-1].endswith("GET 8500/api/targets")


def test_a_complete_list_without_a_content_length_is_applied(monkeypatch: pytest.MonkeyPatch) -> None:
    net, agent, _ = watching(monkeypatch)
    agent.calls[0].callback(EndingResponse(draining_list(5), PotentialDataLoss()))
    assert not first_host_ready(net) and "index=5" in net.trace[-1]


def moved(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> tuple[Net, FakeAgent, Service]:
    """SIGHUP has just moved discovery. The first call goes to the old address, the second to the new one."""
    path = tmp_path / "told.json"
    path.write_bytes(orjson.dumps(BASE_CONFIG))
    net = Net()
    agent = FakeAgent(net)
    monkeypatch.setattr("ternquay.net.discovery.Agent", agent)
    service = Service(net.reactor, read_config(str(path), {}))
    service.begin()
    path.write_bytes(orjson.dumps(BASE_CONFIG | {"discovery": "127.0.0.1:8600"}))
    service.reload()
    return net, agent, service


@pytest.mark.parametrize(("after", "taken"), [(0, True), (50, True), (150, False)])
def test_a_list_that_the_old_discovery_sent_before_the_move_is_applied(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, after: int, taken: bool
) -> None:
    """The drain is unread or on its way when SIGHUP moves discovery to an address that does not answer yet."""
    net, agent, service = moved(tmp_path, monkeypatch)
    net.run(after)
    agent.calls[0].callback(EndingResponse(draining_list(5), ResponseDone()))
    assert next(iter(service.pool.hosts.values())).ready is not taken
    net.run(1000)
    assert len(agent.calls) == 2, "the old address is not called again"
    agent.calls[1].callback(
        EndingResponse(orjson.dumps({"revision": 1, "complete": True, "members": [member(1)]}), ResponseDone())
    )
    assert next(iter(service.pool.hosts.values())).ready


def test_a_list_of_the_new_discovery_overrides_one_of_the_old(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    net, agent, service = moved(tmp_path, monkeypatch)
    agent.calls[1].callback(EndingResponse(draining_list(1), ResponseDone()))
    agent.calls[0].callback(
        EndingResponse(orjson.dumps({"revision": 7, "complete": True, "members": [member(1)]}), ResponseDone())
    )
    assert not next(iter(service.pool.hosts.values())).ready


# ---- file descriptors of closed connections ----


def test_a_closed_connection_counts_until_its_descriptor_is_freed() -> None:
    """Within one loop iteration connections are closed for others, but Twisted frees none before the next one."""
    net = Net(sockets=64, hosts=40)
    most = net.limits.sockets + net.limits.spare
    for _ in range(net.limits.clients):
        client = net.client()
        client.feed(b"mn\r\n")
    opened = 0
    while net.sockets.may_open_host() and opened < 200:
        net.sockets.host_opened()
        opened += 1
    held = sum(not wire.lost for wire in net.wires) + opened
    assert held <= most, (held, most, opened)
    net.take()
    assert not net.sockets.closing and net.sockets.may_open_host(), "there is room again once they are closed"


def test_on_loopback_idle_clients_may_use_all_descriptors_while_discovery_is_down(tmp_path: Path) -> None:
    most, store, listen, discovery = 64, Store(9), free_port(), free_port()
    where = member(1) | {"host_port": f"127.0.0.1:{store.port}"}
    config = balancer_config(
        listen,
        discovery,
        known={"revision": 1, "complete": True, "members": [where]},
        limits={"cores": 1.0, "memory_mb": 96, "sockets": most},
        settings=FACTS,
    )
    crowd: list[socket.socket] = []
    answers: list[bytes] = []
    held: list[int] = []
    with serving(config, tmp_path, files=most) as process, ExitStack() as ended:
        for number in range(40):
            for _ in range(12):
                one = ended.enter_context(socket.create_connection(("127.0.0.1", listen), timeout=5))
                if len(crowd) % 2:
                    one.sendall(b"mg k v O%d Pc=read,d=900\r\n" % len(crowd))
                crowd.append(one)
            with socket.create_connection(("127.0.0.1", listen), timeout=5) as client:
                client.sendall(b"mg k v O%d Pc=read,d=900\r\n" % (number + 10_000))
                with suppress(ConnectionError):
                    answers.append(client.recv(200))
            held.append(len(os.listdir(f"/proc/{process.pid}/fd")))
        late = [text for text in answers if not text.startswith((b"VA 9", b"SERVER_ERROR busy"))]
        assert not late and len(answers) == 40, "each later client was served or refused"
        assert max(held) < most, held
        with socket.create_server(("127.0.0.1", discovery)) as back:
            back.settimeout(4)
            back.accept()[0].close()  # discovery is called again although clients use all other descriptors
        assert process.poll() is None
    assert b"Too many open files" not in (tmp_path / "log").read_bytes()


# ---- start of a process ----


@pytest.mark.parametrize("word", ["told", "refused", "silent"])
def test_with_pushed_lists_no_client_is_accepted_before_the_first_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, word: str
) -> None:
    """A pushed list counts as delivered from the start of a process, and its configured list may be outdated."""
    path = tmp_path / "told.json"
    path.write_bytes(orjson.dumps(BASE_CONFIG | {"settings": FACTS | {"Discovery": "pushed"}}))
    net = Net()
    agent = FakeAgent(net)
    monkeypatch.setattr("ternquay.net.discovery.Agent", agent)
    service = Service(net.reactor, read_config(str(path), {}))
    service.begin()
    net.reactor.advance(0.3)
    assert not net.reactor.tcpServers and service.not_ready_reason()
    if word == "told":
        agent.calls[0].callback(EndingResponse(draining_list(5), ResponseDone()))
        assert not next(iter(service.pool.hosts.values())).ready
    elif word == "refused":
        agent.calls[0].errback(Failed(ConnectionLost()))
    else:
        net.reactor.advance(0.71)
    assert len(net.reactor.tcpServers) == 1 and not service.not_ready_reason()
    net.reactor.advance(2.0)
    assert len(net.reactor.tcpServers) == 1


# ---- closes for lack of progress while bytes arrive ----


def stall(net: Net, seconds: float) -> None:
    """Stalls the process: all due timers run before the bytes that arrived meanwhile are read."""
    net.reactor.advance(seconds)


def test_a_command_whose_rest_arrived_during_a_stall_is_read() -> None:
    net = Net()
    client, silent = net.client(), net.client()
    for one in (client, silent):
        one.feed(b"mg k v O1 Pc=re")
    client.unread = b"a"
    stall(net, 6.0)
    net.take()  # the silent client gets an error and a close instead of a reset
    assert silent.lost and not client.lost
    client.unread = None
    client.feed(b"ad,d=800\r\n")
    net.accept()
    assert len(sent_commands(net)) == 1


def test_a_client_whose_reading_is_paused_without_progress_is_closed_despite_unread_bytes() -> None:
    net = Net()
    client = net.client()
    client.feed(b"mg k v O1 Pc=re")
    client.protocol.hold_stream(True)
    client.unread = b"a"
    stall(net, 6.0)
    assert client.lost


def test_an_unread_first_command_protects_its_client_when_sockets_are_short() -> None:
    net = Net(sockets=64)
    clients = [net.client() for _ in range(net.limits.clients)]
    clients[0].unread = b"m"
    stall(net, 3.0)
    assert not clients[0].lost and all(one.lost for one in clients[1:])


def test_a_drain_cuts_off_an_incomplete_command_unless_its_rest_is_unread() -> None:
    net = Net()
    client, silent = net.client(), net.client()
    for one in (client, silent):
        one.feed(b"mg k v O1 Pc=re")
    client.unread = b"a"
    stall(net, 1.5)
    net.frontend.close_inactive()
    assert silent.lost and not client.lost


def test_a_large_value_whose_rest_arrived_during_a_stall_is_passed_on() -> None:
    net = Net(limits={"stream_above_bytes": 8, "chunk_bytes": 4})
    client = net.client()
    client.feed(mg(1))
    host = net.accept()
    host.feed(b"VA 20 O1 h1\r\n0123456789")
    host.unread = b"0"
    stall(net, 61.0)
    net.take()
    assert not host.lost
    host.unread = None
    host.feed(b"0123456789\r\n")
    net.run(5)
    assert not client.lost and not host.lost


# Guards against: an exception for each connection that ends while its requests wait to be begun.
def test_requests_of_an_old_backlog_end_with_their_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    net = Net()
    client = net.client()
    client.protocol.backlog.record_pause(net.dispatcher.now() - 100 * MS)
    client.feed(mg(1))
    assert client.protocol.unverified
    client.end()

    def closed_handle() -> None:
        raise AttributeError("a closed transport has no socket")

    monkeypatch.setattr(client, "getHandle", closed_handle)
    net.run(10)
    assert not client.protocol.unverified and not sent_commands(net)


# ---- end of the process ----


def test_on_loopback_clients_in_the_accept_queue_at_shutdown_are_accepted_and_answered(tmp_path: Path) -> None:
    """SIGTERM while all sockets are in use: closing the listening socket would reset the connections in its queue."""
    store, listen = Store(9), free_port()
    where = member(1) | {"host_port": f"127.0.0.1:{store.port}"}
    config = balancer_config(
        listen,
        free_port(),
        known={"revision": 1, "complete": True, "members": [where]},
        limits={"cores": 1.0, "memory_mb": 96, "sockets": 64},
    )
    with serving(config, tmp_path) as process, ExitStack() as ended:
        for _ in range(56):  # too new to be closed for others
            ended.enter_context(socket.create_connection(("127.0.0.1", listen), timeout=5))
        waits = [ended.enter_context(socket.create_connection(("127.0.0.1", listen), timeout=5)) for _ in range(5)]
        for number, one in enumerate(waits):
            one.sendall(b"mg k v O%d Pc=read,d=900\r\n" % number)
        process.terminate()
        answers = [one.recv(200) for one in waits]
        assert all(text.startswith((b"VA 9", b"SERVER_ERROR busy")) for text in answers), answers
        assert process.wait(10) == 0


def start_service(tmp_path: Path) -> tuple[Net, Service]:
    path = tmp_path / "told.json"
    path.write_bytes(orjson.dumps(BASE_CONFIG))
    net = Net()
    service = Service(net.reactor, read_config(str(path), {}))
    net.frontend, net.dispatcher, net.pool = service.frontend, service.dispatcher, service.pool
    service.begin()
    net.reactor.running = True
    net.reactor.tcpClients.clear()
    return net, service


def test_answers_given_in_the_last_loop_iteration_are_written(tmp_path: Path) -> None:
    """A late loop finds the last answers and the stop due in the same iteration."""
    net, service = start_service(tmp_path)
    client = net.client()
    service.end()
    net.run(1000)
    client.feed(mg(1))
    net.accept()
    net.reactor.advance(0.9)  # both are due in one iteration, and the answer is still unsent
    assert client.pending.startswith(b"SERVER_ERROR"), client.pending
    assert net.reactor.running
    net.run(5)
    assert not net.reactor.running and any("client 0 < b'SERVER_ERROR" in one for one in net.trace)


def test_a_client_that_reads_nothing_keeps_the_process_only_until_it_counts_as_stopped(tmp_path: Path) -> None:
    net, service = start_service(tmp_path)
    client = net.client()
    service.end()
    net.run(1000)
    client.feed(mg(1))
    net.accept()
    for _ in range(600):
        net.reactor.advance(0.001)
    assert net.reactor.running and client.pending  # it may only be slow
    for _ in range(6_000):
        net.reactor.advance(0.001)
    assert not net.reactor.running and client.lost


# ---- both orders of the ends of a hop, a transaction and a client ----


@pytest.mark.parametrize("client_first", [True, False])
def test_no_further_hop_starts_for_a_client_that_disconnected_when_its_hop_ended(client_first: bool) -> None:
    net = Net(hosts=3)
    client = net.client()
    client.feed(mg(1))
    host = net.accept()
    for one in (client, host) if client_first else (host, client):
        one.end()
    net.run(5)
    while net.reactor.tcpClients:
        net.accept()
    net.run(1000)
    assert len(sent_commands(net)) == 1 and not net.dispatcher.open_txs, net.trace


def test_requests_read_together_with_a_disconnect_start_immediately_or_never() -> None:
    """Only the first hop may start, in the same iteration, and only if it does not wait for a new connection."""
    net = Net(hosts=2)
    client = net.client()
    client.feed(mg(1) + mg(2) + mg(3))
    client.end()
    while net.reactor.tcpClients:
        net.accept()
    net.run(1000)
    assert not sent_commands(net) and not net.dispatcher.open_txs and not net.pool.incomplete_responses.total


@pytest.mark.parametrize("back", [True, False])
def test_a_connection_made_after_its_hop_was_given_up_carries_the_next_hop_or_none(back: bool) -> None:
    net = Net(hosts=1)
    client = net.client()
    client.feed(mg(1, ttl=300))
    net.run(400)
    assert "SERVER_ERROR" in net.trace[-1]
    if not back:
        net.list(member(1, "draining"))
    if net.reactor.tcpClients:
        net.accept()
    client.feed(mg(2))
    assert len(sent_commands(net)) == back, net.trace
    assert not any("O1" in one for one in sent_commands(net))


@pytest.mark.parametrize("drain_first", [True, False])
def test_the_answer_of_a_host_that_starts_to_drain_counts_and_it_gets_no_more_hops(drain_first: bool) -> None:
    net = Net(hosts=1)
    client = net.client()
    client.feed(mg(1))
    host = net.accept()
    if drain_first:
        net.list(member(1, "draining"))
        host.feed(b"VA 3 O1 h1\r\nval\r\n")
    else:
        host.feed(b"VA 3 O1 h1\r\nval\r\n")
        net.list(member(1, "draining"))
    net.run(1)
    assert any("client 0 < b'VA 3 O1" in one for one in net.trace)
    client.feed(mg(2))
    assert len(sent_commands(net)) == 1 and not net.reactor.tcpClients and host.lost


def test_a_host_that_returns_under_its_id_gets_new_hops_and_not_the_waiting_ones() -> None:
    net = Net(hosts=1)
    client = net.client()
    client.feed(ms(1))
    net.list(member(1, "removed"))
    net.list(member(1, "up"))
    net.run(5)
    client.feed(ms(2))
    while net.reactor.tcpClients:
        net.accept()
    assert [b"O1" in one.encode() for one in sent_commands(net)] == [False], net.trace


@pytest.mark.parametrize("half", [b"HD", b"HD O1 cab", b"HD O1 cabc\r"])
def test_after_an_incomplete_answer_and_a_disconnect_the_transaction_may_have_run(half: bytes) -> None:
    net = Net(hosts=1)
    client = net.client()
    client.feed(ms(1))
    host = net.accept()
    host.feed(half)
    host.end()
    net.run(5)
    assert "SERVER_ERROR failed" in net.trace[-1], "no retry: it may have run"


def test_a_duplicate_answer_goes_to_no_client_and_closes_only_its_connection() -> None:
    net = Net(hosts=1)
    client = net.client()
    client.feed(mg(1))
    host = net.accept()
    host.feed(b"VA 3 O1 h1\r\nval\r\n")
    host.feed(b"VA 3 O1 h1\r\nval\r\n")  # some milliseconds later, on an idle connection
    assert host.lost
    client.feed(mg(2))
    net.accept().feed(b"VA 3 O2 h1\r\nval\r\n")
    assert sum("client 0 < b'VA 3" in one for one in net.trace) == 2 and not client.lost


def test_a_request_that_is_unread_when_its_connection_would_be_closed_is_served(tmp_path: Path) -> None:
    net, service = start_service(tmp_path)
    client, silent = net.client(), net.client()
    client.feed(b"mn\r\n")
    silent.feed(b"mn\r\n")
    client.unread = b"m"  # it arrived just before the last chance to close the connection
    service.end()
    net.run(1200)
    assert silent.lost and not client.lost
    client.unread = None
    client.feed(mg(1))
    net.accept().feed(b"VA 3 O1 h1\r\nval\r\n")
    net.run(1)
    assert client.lost and any("client 0 < b'VA 3 O1" in one for one in net.trace)


# ---- loop iterations in which no disconnect is seen ----


def test_a_hop_starts_in_the_same_step_as_the_check_for_its_client() -> None:
    """In the next loop iteration it would start after an arbitrary delay, when its client may have disconnected."""
    net = Net()
    client = net.client()
    client.feed(mg(1))
    host = net.accept()
    host.feed(b"VA 3 O1 h1\r\nval\r\n")
    host.doWrite = host.take  # type: ignore[method-assign]
    client.protocol.dataReceived(mg(2))
    assert len(sent_commands(net)) == 2


SLOW_HANDLER = """
import sys, time
from ternquay import model as m
from ternquay.net import serve
from ternquay.net.dispatcher import Dispatcher
from ternquay.net.config import read_config

handle_event = Dispatcher.handle_event

def slow(dispatcher, event):
    handle_event(dispatcher, event)
    if isinstance(event, m.HopEnded) and event.outcome is m.HopOutcome.FULL:
        time.sleep(0.3)

Dispatcher.handle_event = slow
serve.run(read_config(sys.argv[1]))
"""


class BusyHost(ThreadedServer):
    """A cache host that records when commands arrive, and answers the next one with busy if told to."""

    away: list[bool] = []

    def __init__(self) -> None:
        super().__init__()
        self.came: list[float] = []
        self.start()

    def answer(self, client: socket.socket) -> None:
        with suppress(OSError), client:
            for line in client.makefile("rb"):
                self.came.append(time.monotonic())
                id = next(word for word in line.split() if word[:1] == b"O")
                away = self.away and self.away.pop()
                client.sendall(b"SERVER_ERROR busy\r\n" if away else b"VA 1 %b\r\nx\r\n" % id)


def test_on_loopback_no_further_hop_starts_after_its_client_closed_during_a_long_iteration(tmp_path: Path) -> None:
    """The loop blocks for 0.3 s after a hop was refused; the client closes after 0.05 s of that, unnoticed."""
    path, listen, hosts = tmp_path / "told.json", free_port(), (BusyHost(), BusyHost())
    where = [member(n) | {"host_port": f"127.0.0.1:{one.port}"} for n, one in enumerate(hosts, 1)]
    path.write_bytes(
        orjson.dumps(
            balancer_config(
                listen, free_port(), settings=FACTS, known={"revision": 1, "complete": True, "members": where}
            )
        )
    )
    with open(tmp_path / "log", "wb") as log:
        process = subprocess.Popen([sys.executable, "-c", SLOW_HANDLER, str(path)], cwd=ROOT, stderr=log)
    try:
        wait_until(lambda: b"serves on" in (tmp_path / "log").read_bytes())
        with socket.create_connection(("127.0.0.1", listen), timeout=5) as client:
            for number in range(200):  # until both have an idle connection
                client.sendall(mg(number, f"k{number}"))
                assert client.recv(200).startswith(b"VA 1")
                if all(one.came for one in hosts):
                    break
            before = [len(one.came) for one in hosts]
            BusyHost.away.append(True)
            client.sendall(mg(1000, "k"))
            wait_until(lambda: sum(len(one.came) for one in hosts) > sum(before))
            time.sleep(0.05)
        closed = time.monotonic()
        time.sleep(0.5)
        late = [at - closed for one, many in zip(hosts, before, strict=True) for at in one.came[many:] if at > closed]
        assert all(after < 0.1 for after in late), late
    finally:
        process.kill()
        process.wait()


GC_REPORT = """
import gc, os, signal, sys
from ternquay.net import serve
from ternquay.net.config import read_config

began = serve.Service.begin

def begin(service):
    began(service)
    service.reactor.callLater(0.2, look)

def look():
    print(len(gc.get_objects()), gc.get_freeze_count(), flush=True)
    os.kill(os.getpid(), signal.SIGTERM)

serve.Service.begin = begin
serve.run(read_config(sys.argv[1]))
"""


def test_garbage_collection_skips_the_objects_that_exist_at_the_start(tmp_path: Path) -> None:
    """A full collection of the 50,000 objects of a start took 30 ms and delayed everything due meanwhile."""
    path = tmp_path / "told.json"
    path.write_bytes(orjson.dumps(balancer_config(free_port(), free_port(), settings=FACTS)))
    done = subprocess.run(
        [sys.executable, "-c", GC_REPORT, str(path)], cwd=ROOT, capture_output=True, text=True, timeout=30
    )
    assert done.returncode == 0, done.stderr
    there, kept = map(int, done.stdout.split())
    assert there < 2000 < 20_000 < kept, (there, kept)
