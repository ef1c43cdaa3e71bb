"""Listeners that close while clients wait in their accept queues: each of them has to be accepted and answered.

Regression tests of docs/incidents/closing-listeners.md.
"""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import Any

import pytest
from twisted.internet.testing import MemoryReactorClock

from ternquay.hosted.tenants.runtime import bind_listeners
from ternquay.hosted.tenants.tenant import Endpoint, InvalidField
from ternquay.net.closing import ACCEPT_INTERVAL_SECONDS, ClosingListeners
from ternquay.net.connection_filter import block_connection_requests
from ternquay.net.listener import Listener
from ternquay.net.sockets import Sockets
from ternquay.rig.ports import free_place
from tests.helper import Net
from tests.hosted_helper import HostedService, document
from tests.test_hosted import FakeCacheHost

FEW_SOCKETS = {"sockets": {"least": 0.05, "most": 0.1}}
PLACES = 25  # of a tenant with these sockets
CONNECT_TIMEOUT_S = 0.3


def connects(address: tuple[str, int]) -> bool:
    """Whether a connection comes up within a moment."""
    try:
        socket.create_connection(address, timeout=CONNECT_TIMEOUT_S).close()
    except OSError:
        return False
    return True


# ---- the parts ----


class QueueListener:
    """A listener with clients in its accept queue, each of which takes a socket."""

    def __init__(self, sockets: Sockets, waiting: int) -> None:
        self.sockets, self.waiting, self.sessionno = sockets, waiting, 0
        self.fails = self.blocked = self.closed = False

    def accept(self) -> None:
        assert self.blocked and not self.closed
        if self.waiting and not self.fails:
            self.waiting -= 1
            self.sessionno += 1
            self.sockets.client_opened()

    def has_waiting(self) -> bool:
        return self.waiting > 0

    def stop_connecting(self) -> None:
        self.blocked = True

    def close(self) -> None:
        self.closed = True


def closing(net: Net, waiting: int) -> tuple[QueueListener, ClosingListeners, list[str]]:
    listener, calls = QueueListener(net.sockets, waiting), list[str]()
    listeners = ClosingListeners(net.reactor, net.sockets, lambda: calls.append("make room"))
    listeners.on_closed = lambda: calls.append("closed")
    return listener, listeners, calls


def test_a_listener_closes_at_once_when_all_that_wait_are_accepted() -> None:
    net = Net()
    listener, listeners, calls = closing(net, 5)
    listeners.add(listener)
    assert listener.closed and not listener.waiting and calls == ["closed"] and not listeners.ports


# Guards against: connections that wait in the accept queue are reset where there is no socket for them.
def test_a_listener_without_room_for_those_that_wait_stays_until_there_is() -> None:
    net = Net()
    capacity = net.sockets.remaining()
    listener, listeners, calls = closing(net, capacity + 3)
    listeners.add(listener)
    assert not listener.closed and listener.waiting == 3
    net.reactor.advance(ACCEPT_INTERVAL_SECONDS)
    assert calls == ["make room"] and not listener.closed
    net.sockets.clients -= 2
    listeners.accept_waiting()
    assert not listener.closed and listener.waiting == 1
    net.sockets.clients -= 1
    net.reactor.advance(ACCEPT_INTERVAL_SECONDS)
    assert listener.closed and not listener.waiting and calls[-1] == "closed"


# Guards against: a listener whose accept() fails for want of descriptors is taken for one in which nobody waits.
def test_a_listener_whose_accept_fails_is_not_closed_on_those_that_wait() -> None:
    net = Net()
    listener, listeners, _ = closing(net, 2)
    listener.fails = True
    listeners.add(listener)
    net.reactor.advance(1.0)
    assert not listener.closed
    listener.fails = False
    net.reactor.advance(ACCEPT_INTERVAL_SECONDS)
    assert listener.closed and not listener.waiting


def test_a_listener_may_be_closed_whoever_waits_when_the_process_ends() -> None:
    net = Net()
    listener, listeners, _ = closing(net, net.sockets.remaining() + 3)
    listeners.add(listener)
    listeners.close_all()
    net.reactor.advance(1.0)
    assert listener.closed and listener.waiting == 3


# Guards against: who connects between the last accept and the close is reset.
def test_a_listener_that_stops_connecting_still_hands_out_those_that_wait() -> None:
    reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
    listener = Listener(0, None, 16, "127.0.0.1", reactor)
    with socket.create_server(("127.0.0.1", 0)) as probe:
        listener.port = probe.getsockname()[1]
    listener.factory = Net().frontend
    listener.startListening()
    address = "127.0.0.1", listener.port
    with socket.create_connection(address, timeout=1) as early:
        early.sendall(b"a request")
        listener.stop_connecting()
        assert not connects(address) and listener.has_waiting() and listener.queue_length() == 1
        accepted, _ = listener.socket.accept()
        with accepted:
            assert not listener.has_waiting() and accepted.recv(99) == b"a request"
            listener.close()
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(address, timeout=1)
            accepted.sendall(b"an answer")
            assert early.recv(99) == b"an answer"


# Guards against: a change that fails after its listeners were bound resets those that have connected to them.
def test_a_listener_of_a_change_that_may_fail_takes_no_connections() -> None:
    reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
    endpoint = Endpoint(*HostedService.parse_address(free_place("127.0.0.1")))
    prepared = bind_listeners(reactor, (endpoint,))
    address = endpoint.host, endpoint.port
    assert not connects(address)
    with pytest.raises(InvalidField, match="can't be bound"):
        bind_listeners(reactor, (endpoint,))
    port = prepared.ports[endpoint]
    port.open(Net().frontend, lambda more: None)
    assert connects(address) and port.has_waiting()
    port.close()
    bind_listeners(reactor, (endpoint,)).drop()


def test_a_listener_beside_one_that_is_about_to_close_gets_all_new_connections() -> None:
    reactor: Any = MemoryReactorClock()  # type: ignore[no-untyped-call]
    endpoint = Endpoint(*HostedService.parse_address(free_place("127.0.0.1")))
    address = endpoint.host, endpoint.port
    old = bind_listeners(reactor, (endpoint,)).ports[endpoint]
    old.open(Net().frontend, lambda more: None)
    with socket.create_connection(address, timeout=1):
        old.stop_connecting()
        new = bind_listeners(reactor, (endpoint,), "", [old]).ports[endpoint]
        new.open(Net().frontend, lambda more: None)
        assert all(connects(address) for _ in range(20))
        assert old.queue_length() == 1 and new.queue_length() == 20
        old.close()
    assert all(connects(address) for _ in range(20)) and new.queue_length() == 40
    new.close()


def test_a_socket_that_takes_no_filter_is_left_as_it_is() -> None:
    with socket.socket() as closed:
        pass
    assert not block_connection_requests(closed)


# ---- on loopback ----


@pytest.fixture
def service(tmp_path: Path) -> Iterator[HostedService]:
    running = HostedService(tmp_path).start()
    yield running
    running.kill()


class Waiting:
    """Clients of which some take all places of a tenant and send nothing, and others wait with a request each."""

    def __init__(self, listen: str, idle: int, waiting: int, ended: ExitStack) -> None:
        address = HostedService.parse_address(listen)
        self.idle = [ended.enter_context(socket.create_connection(address, timeout=6)) for _ in range(idle)]
        time.sleep(0.1)
        self.clients = [ended.enter_context(socket.create_connection(address, timeout=6)) for _ in range(waiting)]
        for number, client in enumerate(self.clients):
            client.sendall(b"mg k v O%s%d Pc=read,d=900\r\n" % (listen.encode().replace(b":", b"x"), number))

    def answers(self) -> list[bytes]:
        answers = []
        for client in self.clients:
            try:
                answers.append(client.recv(200))
            except OSError as fault:
                answers.append(repr(fault).encode())
        return answers


def sound(answers: list[bytes]) -> bool:
    return all(text.startswith((b"VA 2", b"SERVER_ERROR busy")) for text in answers)


Change = Callable[[HostedService, dict[str, Any], str], int]


def move(service: HostedService, tenant: dict[str, Any], there: str) -> int:
    return service.call("PUT", "/v1/tenants/sur", tenant | {"listeners": [there]}, if_match="*").status


def add_and_take_away(service: HostedService, tenant: dict[str, Any], there: str) -> int:
    both = tenant | {"listeners": [*tenant["listeners"], there]}
    assert service.call("PUT", "/v1/tenants/sur", both, if_match="*").status == 200
    return move(service, tenant, there)


def hand_on(service: HostedService, tenant: dict[str, Any], there: str) -> int:
    """Gives the address to another tenant."""
    assert move(service, tenant, there) == 200
    other = tenant | {"name": "norte"}
    return 200 if service.call("POST", "/v1/tenants", other).status == 201 else 0


def move_back(service: HostedService, tenant: dict[str, Any], there: str) -> int:
    assert move(service, tenant, there) == 200
    return service.call("PUT", "/v1/tenants/sur", tenant, if_match="*").status


def end(service: HostedService, tenant: dict[str, Any], there: str) -> int:
    return 200 if service.call("DELETE", "/v1/tenants/sur", if_match="*").status < 300 else 0


def shut_down(service: HostedService, tenant: dict[str, Any], there: str) -> int:
    assert service.process is not None
    service.process.terminate()
    return 200


# Guards against: review/7, a listener that closes resets the requests in its accept queue; on real sockets.
@pytest.mark.parametrize("room", [True, False])
@pytest.mark.parametrize("change", [move, add_and_take_away, hand_on, move_back, end, shut_down])
def test_on_loopback_clients_that_wait_in_a_listener_that_closes_are_answered(
    service: HostedService, change: Change, room: bool
) -> None:
    listen, there, cache = free_place("127.0.0.1"), free_place("127.0.0.1"), FakeCacheHost()
    tenant = document("sur", listen, (cache.address,), limits=FEW_SOCKETS)
    assert service.call("POST", "/v1/tenants", tenant).status == 201
    with ExitStack() as ended:
        waiting = Waiting(listen, 0 if room else PLACES, 8, ended)
        assert change(service, tenant, there) == 200
        answers = waiting.answers()
        assert sound(answers), (answers, service.log.read_text()[-2000:])
        if change in (move, hand_on, move_back):
            at = there if change is move else listen
            assert sound([service.exchange(at, b"mg k v Ox Pc=read,d=900\r\n")])


# Guards against: the few that connect between the last accept and the close are reset, also where there is room.
def test_on_loopback_no_request_is_lost_as_a_listener_moves_under_a_flood_of_connections(
    service: HostedService,
) -> None:
    listen, there, cache = free_place("127.0.0.1"), free_place("127.0.0.1"), FakeCacheHost()
    tenant = document("sur", listen, (cache.address,))
    assert service.call("POST", "/v1/tenants", tenant).status == 201
    lost, over = list[str](), threading.Event()

    def ask_again_and_again(name: int) -> None:
        count = 0
        while not over.is_set():
            count += 1
            address = HostedService.parse_address((listen, there)[count % 2])
            try:
                client = socket.create_connection(address, timeout=CONNECT_TIMEOUT_S)
            except OSError:
                continue
            with client, suppress(TimeoutError):
                client.settimeout(5)
                try:
                    client.sendall(b"mg k v Oc%dn%d Pc=read,d=900\r\n" % (name, count))
                    text = client.recv(200)
                except ConnectionError as fault:
                    text = repr(fault).encode()
                if not sound([text]):
                    lost.append(f"c{name}n{count}: {text!r}")

    threads = [threading.Thread(target=ask_again_and_again, args=(name,)) for name in range(12)]
    for thread in threads:
        thread.start()
    try:
        for number in range(30):
            place = (there, listen)[number % 2]
            assert service.call("PUT", "/v1/tenants/sur", tenant | {"listeners": [place]}, if_match="*").status == 200
            time.sleep(0.1)
    finally:
        over.set()
        for thread in threads:
            thread.join()
    assert not lost
