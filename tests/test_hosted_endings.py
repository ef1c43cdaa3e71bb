"""What is still owed in the instant in which something of a hosted service ends; docs/endings.md has the crossings."""

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
from tests.hosted_helper import Hosted
from tests.test_endings import Ending, begun, drained, ready
from tests.test_hosted import Host as CacheHost
from tests.test_net import Agent, mg
from tests.test_registry import LIMITS, registry_of, tenant

HELLO = b"mn\r\n"


@pytest.fixture(autouse=True)
def nothing_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ternquay.hosted.host.bind_listeners", lambda *_: PreparedListeners())


class HostedNet(Net):
    """One tenant of a hosted service on a clock of the test's own, and no listener but what the test gives it."""

    def __init__(self, **terms: Any) -> None:
        self.reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
        self.trace: list[str] = []
        self.wires: list[Wire] = []
        self.reactor.advance(1000.0)
        self.reactor.running = True
        service: Any = SimpleNamespace(name="h", process=ProcessConfig(256, 96), fellows=None)
        self.host = TenantHost(self.reactor, service, registry_of(tenant("sur", **terms)))
        self.host.start()
        self.runtime = self.host.runtimes["sur"]
        self.limits, self.sockets = self.runtime.limits, self.runtime.sockets
        self.dispatcher, self.pool = self.runtime.dispatcher, self.runtime.pool
        self.frontend: TenantFrontend = self.runtime.frontend

    def turn_begins(self) -> None:
        """What comes from here on is read at once; else it waits for its turn."""
        self.host.loop_timing.begin(int(self.reactor.seconds() * 10**9))

    def client(self, address: str = "127.0.0.1") -> Wire:
        count = sum(w.name.startswith("client") for w in self.wires)
        self.wires.append(Wire(self, f"client {count}", self.frontend.buildProtocol(SimpleNamespace(host=address))))
        return self.wires[-1]

    def rests(self, address: str = "127.0.0.1") -> Wire:
        """A client that has had an answer, and is idle."""
        self.turn_begins()
        one = self.client(address)
        one.feed(HELLO)
        assert "MN" in self.trace[-1]
        return one


def ending() -> tuple[HostedNet, Wire]:
    """The service has been told to end for a second, and a client waits for its last answer."""
    net = HostedNet()
    client = net.client()
    net.host.shut_down()
    net.run(1000)
    net.turn_begins()
    client.feed(mg(1))
    net.accept()
    return net, client


def test_answers_of_the_turn_in_which_the_loop_would_stop_are_written() -> None:
    """A loop that is behind finds the last answers due and the stop together."""
    net, client = ending()
    net.reactor.advance(1.3)  # both are due in one turn, and the system has taken nothing yet
    assert client.pending.startswith(b"SERVER_ERROR"), (client.pending, net.trace)
    assert net.reactor.running
    net.run(5)
    assert not net.reactor.running and any("client 0 < b'SERVER_ERROR" in one for one in net.trace)


def test_a_client_that_takes_nothing_does_not_keep_the_process() -> None:
    net, client = ending()
    for _ in range(1500):
        net.reactor.advance(0.001)
    assert not net.reactor.running and client.pending


def test_a_place_that_is_given_back_is_not_one_on_which_a_request_lies_unread() -> None:
    net = HostedNet()
    writes, silent = net.rests(), net.rests()
    writes.unread = b"m"
    net.frontend.reclaim(1)
    net.run(1)
    assert silent.lost and not writes.lost
    net.frontend.reclaim(1)
    net.run(1)
    assert not writes.lost


@pytest.mark.parametrize("way", ["place for another", "given back", "shed", "leave"])
def test_who_waits_for_a_turn_to_be_read_is_not_closed_for_others(way: str) -> None:
    """Its command has come whole: closed without an answer, a transaction that was taken would be lost."""
    net = HostedNet(limits=replace(LIMITS, clients=3))
    waits, other, third = net.client(), net.rests(), net.rests()
    net.reactor.advance(0.01)
    waits.feed(mg(1))
    assert not begun(net) and not net.reactor.tcpClients, "it waits for its turn"
    if way == "given back":
        net.frontend.reclaim(1)
    elif way == "leave":
        net.frontend.leave()
    elif way == "shed":
        net.frontend.close_longest_idle()
        net.frontend.close_longest_idle()
        net.frontend.close_longest_idle()
    else:
        net.turn_begins()
        net.client("127.0.0.9")
    net.run(2)
    assert not waits.lost and (other.lost or third.lost)
    net.accept()
    assert len(begun(net)) == 1


def test_half_a_command_whose_rest_lies_unread_is_not_closed_for_another() -> None:
    net = HostedNet(limits=replace(LIMITS, clients=2))
    net.turn_begins()
    writes, stuck = net.client(), net.client()
    for one in (writes, stuck):
        one.feed(b"mg k v O")
    writes.unread = b"1"
    newcomer = net.client("127.0.0.9")
    assert stuck.lost and not writes.lost and not newcomer.lost


def test_a_place_for_another_costs_one_client_alone() -> None:
    net = HostedNet(limits=replace(LIMITS, clients=2))
    net.turn_begins()
    half, rests = net.client(), net.rests()
    half.feed(b"mg k v O")
    newcomer = net.client("127.0.0.9")
    net.run(1)
    assert rests.lost and not half.lost and not newcomer.lost


class Door:
    """A listener with clients in the system's queue, who are let in one at a time."""

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

    def stopListening(self) -> None:
        self.closed = True


PLACE = Endpoint("127.0.0.1", 7001)


@pytest.mark.parametrize("way", ["process", "tenant", "listener"])
def test_who_waits_at_the_door_is_let_in_before_it_closes(way: str) -> None:
    net = HostedNet()
    door = Door(net, 5)
    net.runtime.ports[PLACE] = door
    if way == "process":
        net.host.shut_down()
        net.run(510)
    elif way == "tenant":
        net.host.change(SetState("sur", State.ENDING))
    else:
        net.runtime._close_listener(PLACE)
    assert door.closed and door.waiting == 0 and len(net.wires) == 5


def test_a_door_stays_open_at_the_end_while_not_all_fit_who_wait_there() -> None:
    net = HostedNet(limits=replace(LIMITS, sockets=Guarantee(0.05, 0.1)))
    door = Door(net, 5)
    net.runtime.ports[PLACE] = door
    most = net.limits.sockets + net.limits.spare
    rows = [net.client(f"127.0.1.{n}") for n in range(most)]
    assert net.sockets.full()
    net.host.shut_down()
    net.run(510)
    assert not door.closed and door.waiting == 5
    net.run(800)  # those who say nothing for a second lose their places
    assert door.closed and door.waiting == 0 and any(one.lost for one in rows)


def test_a_door_is_closed_in_the_end_whoever_waits_there() -> None:
    net = HostedNet()
    door = Door(net, 10_000)
    net.runtime.ports[PLACE] = door
    net.host.shut_down()
    net.run(3000)
    assert door.closed and not net.reactor.running


@pytest.mark.parametrize(("after", "taken"), [(0, True), (50, True), (150, False)])
def test_what_the_old_source_had_written_by_the_move_still_counts(
    monkeypatch: pytest.MonkeyPatch, after: int, taken: bool
) -> None:
    agent: Any = None
    monkeypatch.setattr("ternquay.net.discovery.Agent", lambda *_: agent)
    net = HostedNet(servers=())
    agent = Agent(net)
    monkeypatch.setattr("ternquay.net.discovery.Agent", agent)
    there = net.host.registry.tenants["sur"].tenant
    net.host.change(ReplaceTenant(replace(there, source=Endpoint("127.0.0.1", 8500))))
    agent.calls[0].callback(
        Ending(orjson.dumps({"revision": 1, "complete": True, "members": [member(1)]}), ResponseDone())
    )
    assert ready(net)
    net.host.change(ReplaceTenant(replace(there, source=Endpoint("127.0.0.1", 8600))))
    assert len(agent.calls) == 3, "the first list, the watch, and the new one's"
    net.run(after)
    agent.calls[1].callback(Ending(drained(5), ResponseDone()))
    assert ready(net) is not taken
    net.run(1000)
    assert len(agent.calls) == 3, "the old one is called no more"


def test_what_the_old_source_tells_goes_for_nothing_once_servers_are_named(monkeypatch: pytest.MonkeyPatch) -> None:
    net = HostedNet(servers=())
    agent = Agent(net)
    monkeypatch.setattr("ternquay.net.discovery.Agent", agent)
    there = net.host.registry.tenants["sur"].tenant
    net.host.change(ReplaceTenant(replace(there, source=Endpoint("127.0.0.1", 8500))))
    net.host.change(ReplaceTenant(tenant("sur")))
    agent.calls[0].callback(Ending(drained(5), ResponseDone()))
    assert list(net.runtime.host_list) == ["127.0.1.1:11211"] and ready(net)


def test_on_loopback_who_waits_at_the_door_as_the_service_ends_is_let_in_and_answered(tmp_path: Path) -> None:
    """SIGTERM while all of a tenant's places are taken: those in the system's queue are in nobody's hands."""
    cache = CacheHost()
    one = Hosted(tmp_path).start()
    try:
        listen = one.place(one.make("sur", (cache.place,), limits={"sockets": {"least": 0.05, "most": 0.1}}))
        with ExitStack() as ended:
            for _ in range(25):  # as many as it has; they are new, so none of them is closed for another yet
                ended.enter_context(socket.create_connection(listen, timeout=5))
            time.sleep(0.1)
            waits = [ended.enter_context(socket.create_connection(listen, timeout=5)) for _ in range(4)]
            for number, client in enumerate(waits):
                client.sendall(b"mg k v O%d Pc=read,d=900\r\n" % number)
            assert one.process is not None
            one.process.terminate()
            answers = [client.recv(200) for client in waits]
        assert all(text.startswith((b"VA 2", b"SERVER_ERROR busy")) for text in answers), answers
        assert one.process.wait(10) == 0
    finally:
        one.kill()


def test_who_waits_long_for_a_turn_to_be_read_is_not_closed_as_one_that_stands_still() -> None:
    """Its command is whole, and it is we who do not read it; half a command of another is ended all the same."""
    net = HostedNet()
    net.turn_begins()
    half = net.client()
    half.feed(b"mg k v O")
    net.reactor.advance(0.01)
    waits = net.client()
    waits.feed(mg(1))
    assert waits.protocol.waiting and not begun(net)
    net.runtime.resources.scheduler.scheduled_run.cancel()  # its turn does not come for 6 s
    for _ in range(6):
        net.reactor.advance(1.0)
        net.frontend.close_stale()
        net.take()
    assert half.lost and not waits.lost, net.trace
    assert not waits.protocol.run_piece()
    net.run(5)
    assert not waits.lost and "client 1 < b'SERVER_ERROR busy" in net.trace[-1], net.trace  # late, and answered
