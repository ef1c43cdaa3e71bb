"""Answers that are owed at the moment when something of a hosted service ends; docs/endings.md lists the cases."""

import socket
import time
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import orjson
import pytest
from twisted.internet.testing import MemoryReactorClock
from twisted.web.client import ResponseDone

from ternquay.hosted.host import TenantHost
from ternquay.hosted.shared.frontend import TenantFrontend
from ternquay.hosted.tenants.registry import ReplaceTenant, SetState
from ternquay.hosted.tenants.runtime import PreparedListeners, ProcessConfig
from ternquay.hosted.tenants.tenant import Endpoint, Guarantee, State
from tests.helper import Net, Wire, member
from tests.hosted_helper import HostedService
from tests.test_endings import EndingResponse, draining_list, first_host_ready, sent_commands
from tests.test_hosted import FakeCacheHost
from tests.test_net import FakeAgent, mg
from tests.test_registry import LIMITS, registry_of, tenant

HELLO = b"mn\r\n"


@pytest.fixture(autouse=True)
def bind_no_sockets(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ternquay.hosted.host.bind_listeners", lambda *_: PreparedListeners())


class HostedNet(Net):
    """One tenant of a hosted service on a simulated clock, with no listeners but those that the test adds."""

    def __init__(self, **fields: Any) -> None:
        self.reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
        self.trace: list[str] = []
        self.wires: list[Wire] = []
        self.reactor.advance(1000.0)
        self.reactor.running = True
        service: Any = SimpleNamespace(name="h", process=ProcessConfig(256, 96), fellows=None)
        self.host = TenantHost(self.reactor, service, registry_of(tenant("sur", **fields)))
        self.host.start()
        self.runtime = self.host.runtimes["sur"]
        self.limits, self.sockets = self.runtime.limits, self.runtime.sockets
        self.dispatcher, self.pool = self.runtime.dispatcher, self.runtime.pool
        self.frontend: TenantFrontend = self.runtime.frontend

    def start_turn(self) -> None:
        """Starts a turn of the loop, in which data is read at once; later it would wait for its turn."""
        self.host.loop_timing.begin(int(self.reactor.seconds() * 10**9))

    def client(self, address: str = "127.0.0.1") -> Wire:
        count = sum(w.name.startswith("client") for w in self.wires)
        self.wires.append(Wire(self, f"client {count}", self.frontend.buildProtocol(SimpleNamespace(host=address))))
        return self.wires[-1]

    def idle_client(self, address: str = "127.0.0.1") -> Wire:
        """Returns a client that has had an answer and is idle."""
        self.start_turn()
        one = self.client(address)
        one.feed(HELLO)
        assert "MN" in self.trace[-1]
        return one


def shutting_down() -> tuple[HostedNet, Wire]:
    """Returns a service that has been shutting down for a second, and a client that waits for its last answer."""
    net = HostedNet()
    client = net.client()
    net.host.shut_down()
    net.run(1000)
    net.start_turn()
    client.feed(mg(1))
    net.accept()
    return net, client


def test_answers_of_the_turn_in_which_the_loop_would_stop_are_written() -> None:
    """A loop that is late may find the last answers and the stop due in the same turn."""
    net, client = shutting_down()
    net.reactor.advance(1.3)  # both are due in this turn, and the system has taken nothing yet
    assert client.pending.startswith(b"SERVER_ERROR"), (client.pending, net.trace)
    assert net.reactor.running
    net.run(5)
    assert not net.reactor.running and any("client 0 < b'SERVER_ERROR" in one for one in net.trace)


def test_a_client_that_reads_nothing_keeps_the_process_only_until_it_counts_as_stopped() -> None:
    net, client = shutting_down()
    for _ in range(1500):
        net.reactor.advance(0.001)
    assert net.reactor.running and client.pending  # it may only be slow
    for _ in range(6_000):
        net.reactor.advance(0.001)
        net.start_turn()
    assert not net.reactor.running and client.lost


def test_reclaiming_sockets_does_not_close_a_client_with_unread_data() -> None:
    net = HostedNet()
    writes, silent = net.idle_client(), net.idle_client()
    writes.unread = b"m"
    net.frontend.reclaim(1)
    net.run(1)
    assert silent.lost and not writes.lost
    net.frontend.reclaim(1)
    net.run(1)
    assert not writes.lost


@pytest.mark.parametrize("way", ["displaced", "reclaimed", "shed", "leave"])
def test_a_client_that_waits_for_its_turn_is_not_closed_for_others(way: str) -> None:
    """Its whole command has arrived. Closing it without an answer would lose a transaction."""
    net = HostedNet(limits=replace(LIMITS, clients=3))
    waits, other, third = net.client(), net.idle_client(), net.idle_client()
    net.reactor.advance(0.01)
    waits.feed(mg(1))
    assert not sent_commands(net) and not net.reactor.tcpClients, "it waits for its turn"
    if way == "reclaimed":
        net.frontend.reclaim(1)
    elif way == "leave":
        net.frontend.leave()
    elif way == "shed":
        net.frontend.close_longest_idle()
        net.frontend.close_longest_idle()
        net.frontend.close_longest_idle()
    else:
        net.start_turn()
        net.client("127.0.0.9")
    net.run(2)
    assert not waits.lost and (other.lost or third.lost)
    net.accept()
    assert len(sent_commands(net)) == 1


def test_a_client_whose_command_continues_in_unread_data_is_not_closed_for_another() -> None:
    net = HostedNet(limits=replace(LIMITS, clients=2))
    net.start_turn()
    writes, stuck = net.client(), net.client()
    for one in (writes, stuck):
        one.feed(b"mg k v O")
    writes.unread = b"1"
    newcomer = net.client("127.0.0.9")
    assert stuck.lost and not writes.lost and not newcomer.lost


def test_admitting_a_client_closes_only_one_other() -> None:
    net = HostedNet(limits=replace(LIMITS, clients=2))
    net.start_turn()
    half, idle = net.client(), net.idle_client()
    half.feed(b"mg k v O")
    newcomer = net.client("127.0.0.9")
    net.run(1)
    assert idle.lost and not half.lost and not newcomer.lost


class FakeListener:
    """A listener with clients in its backlog, which are accepted one at a time."""

    awaiting_open, sessionno = False, 0

    def __init__(self, net: HostedNet, waiting: int) -> None:
        self.net, self.waiting, self.closed = net, waiting, False

    def accept(self) -> None:
        if self.waiting:
            self.waiting -= 1
            self.sessionno += 1
            self.net.client()

    def set_accepting(self, accept: bool) -> None:
        pass

    def has_waiting(self) -> bool:
        return self.waiting > 0

    def stop_connecting(self) -> None:
        pass

    def close(self) -> None:
        self.closed = True


ENDPOINT = Endpoint("127.0.0.1", 7001)


@pytest.mark.parametrize("way", ["process", "tenant", "listener"])
def test_clients_in_the_backlog_are_accepted_before_a_listener_closes(way: str) -> None:
    net = HostedNet()
    listener = FakeListener(net, 5)
    net.runtime.ports[ENDPOINT] = listener
    if way == "process":
        net.host.shut_down()
        net.run(510)
    elif way == "tenant":
        net.host.change(SetState("sur", State.ENDING))
    else:
        net.runtime._close_listener(ENDPOINT)
    assert listener.closed and listener.waiting == 0 and len(net.wires) == 5


def test_at_shutdown_a_listener_stays_open_while_its_backlog_does_not_fit() -> None:
    net = HostedNet(limits=replace(LIMITS, sockets=Guarantee(0.05, 0.1)))
    listener = FakeListener(net, 5)
    net.runtime.ports[ENDPOINT] = listener
    capacity = net.limits.sockets + net.limits.spare
    clients = [net.client(f"127.0.1.{n}") for n in range(capacity)]
    assert net.sockets.full()
    net.host.shut_down()
    net.run(510)
    assert not listener.closed and listener.waiting == 5
    net.run(800)  # clients that have sent nothing for a second are closed
    assert listener.closed and listener.waiting == 0 and any(one.lost for one in clients)


def test_a_listener_is_closed_in_the_end_whatever_its_backlog() -> None:
    net = HostedNet()
    listener = FakeListener(net, 10_000)
    net.runtime.ports[ENDPOINT] = listener
    net.host.shut_down()
    net.run(3000)
    assert listener.closed and not net.reactor.running


@pytest.mark.parametrize(("after", "taken"), [(0, True), (50, True), (150, False)])
def test_a_list_that_the_old_source_sent_before_the_change_still_counts(
    monkeypatch: pytest.MonkeyPatch, after: int, taken: bool
) -> None:
    agent: Any = None
    monkeypatch.setattr("ternquay.net.discovery.Agent", lambda *_: agent)
    net = HostedNet(servers=())
    agent = FakeAgent(net)
    monkeypatch.setattr("ternquay.net.discovery.Agent", agent)
    there = net.host.registry.tenants["sur"].tenant
    net.host.change(ReplaceTenant(replace(there, source=Endpoint("127.0.0.1", 8500))))
    agent.calls[0].callback(
        EndingResponse(orjson.dumps({"revision": 1, "complete": True, "members": [member(1)]}), ResponseDone())
    )
    assert first_host_ready(net)
    net.host.change(ReplaceTenant(replace(there, source=Endpoint("127.0.0.1", 8600))))
    assert len(agent.calls) == 3, "the first list, the watch, and the first list of the new source"
    net.run(after)
    agent.calls[1].callback(EndingResponse(draining_list(5), ResponseDone()))
    assert first_host_ready(net) is not taken
    net.run(1000)
    assert len(agent.calls) == 3, "the old source is not called any more"


def test_a_list_of_the_old_source_is_ignored_once_servers_are_configured(monkeypatch: pytest.MonkeyPatch) -> None:
    net = HostedNet(servers=())
    agent = FakeAgent(net)
    monkeypatch.setattr("ternquay.net.discovery.Agent", agent)
    there = net.host.registry.tenants["sur"].tenant
    net.host.change(ReplaceTenant(replace(there, source=Endpoint("127.0.0.1", 8500))))
    net.host.change(ReplaceTenant(tenant("sur")))
    agent.calls[0].callback(EndingResponse(draining_list(5), ResponseDone()))
    assert list(net.runtime.host_list) == ["127.0.1.1:11211"] and first_host_ready(net)


def test_on_loopback_clients_in_the_backlog_at_a_shutdown_are_accepted_and_answered(tmp_path: Path) -> None:
    """SIGTERM while all sockets of a tenant are in use: the clients in the backlog must still get an answer."""
    cache = FakeCacheHost()
    service = HostedService(tmp_path).start()
    try:
        listen = service.parse_address(
            service.create_tenant("sur", (cache.address,), limits={"sockets": {"least": 0.05, "most": 0.1}})
        )
        with ExitStack() as ended:
            for _ in range(25):  # as many as it may have; they are new, so none of them is closed for another yet
                ended.enter_context(socket.create_connection(listen, timeout=5))
            time.sleep(0.1)
            waits = [ended.enter_context(socket.create_connection(listen, timeout=5)) for _ in range(4)]
            for number, client in enumerate(waits):
                client.sendall(b"mg k v O%d Pc=read,d=900\r\n" % number)
            assert service.process is not None
            service.process.terminate()
            answers = [client.recv(200) for client in waits]
        assert all(text.startswith((b"VA 2", b"SERVER_ERROR busy")) for text in answers), answers
        assert service.process.wait(10) == 0
    finally:
        service.kill()


def test_a_client_that_waits_long_for_its_turn_is_not_closed_as_stalled() -> None:
    """Its command is complete and the balancer does not read it; a client with half a command is closed as stalled."""
    net = HostedNet()
    net.start_turn()
    half = net.client()
    half.feed(b"mg k v O")
    net.reactor.advance(0.01)
    waits = net.client()
    waits.feed(mg(1))
    assert waits.protocol.waiting and not sent_commands(net)
    net.runtime.resources.scheduler.scheduled_run.cancel()  # its turn does not come for 6 s
    for _ in range(6):
        net.reactor.advance(1.0)
        net.frontend.close_stale()
        net.take()
    assert half.lost and not waits.lost, net.trace
    assert not waits.protocol.run_piece()
    net.run(5)
    assert not waits.lost and "client 1 < b'SERVER_ERROR busy" in net.trace[-1], net.trace  # late, and answered


# Guards against: the requests of a client that closed behind unread ones count as open for good.
def test_a_hosted_client_that_closed_behind_unread_requests_has_none_open() -> None:
    net = HostedNet()
    client = net.client()
    net.start_turn()
    client.feed(mg(1) + mg(2))
    net.accept()
    assert client.protocol.open == 2 and net.frontend.clients_with_txs == 1
    client.unread = b""  # its close has arrived
    net.start_turn()
    client.feed(mg(3))
    net.run(10)
    assert client.lost and client.protocol.open == 0 and net.frontend.clients_with_txs == 0
