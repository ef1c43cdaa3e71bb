"""Clients that stop in the middle of a request: docs/incidents/stopped-clients.md."""

import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from tests.helper import FACTS, Net, member
from tests.test_flow import Store
from tests.test_net import mg, ms, va
from tests.test_review_links import free, serving, told

OWED = 3.0  # seconds from its last byte in which a client that stopped has its error and its close

STOPS = {
    "one byte": b"m",
    "a part of the line": b"mg k v O1 Pc=re",
    "a line without its last byte": b"mg k v O1 Pc=read,d=900\r",
    "no byte of the value": b"ms k 1000 O1 Pc=once,d=900\r\n",
    "a part of the value": b"ms k 1000 O1 Pc=once,d=900\r\n" + b"x" * 10,
    "a value without its end": b"ms k 10 O1 Pc=once,d=900\r\n" + b"x" * 10,
    "a part of a large value": b"ms k 100000 O1 Pc=once,d=900\r\n" + b"x" * 10,
    "most of a large value": b"ms k 100000 O1 Pc=once,d=900\r\n" + b"x" * 70000,
    "a refused request's value": b"ms k 100000 Pc=once,d=900\r\n" + b"x" * 10,
    "behind a whole request": mg(1) + b"mg k v O2",
    "behind many whole requests": b"".join(mg(number) for number in range(20)) + b"ms k 9 O20 Pc=once,d=900\r\nx",
}


@dataclass
class Stopping:
    """A client that writes its pieces, one each `every` seconds, and stays."""

    pieces: list[bytes]
    every: float = 0.0
    connection: socket.socket = field(default_factory=socket.socket)
    written: float = 0.0  # when its last piece was
    read: bytes = b""
    closed: float = 0.0  # when it saw the end

    def look(self) -> None:
        now = time.monotonic()
        try:
            if self.pieces and now >= self.written + self.every:
                self.written = now
                self.connection.sendall(self.pieces.pop(0))
            while data := self.connection.recv(65536):
                self.read += data
            self.closed = now
        except BlockingIOError:
            pass
        except OSError:
            self.closed = now

    def told(self) -> bool:
        """Whether the end was an error that it could read, and nothing after it."""
        return self.read.rpartition(b"\r\n")[0].rpartition(b"\r\n")[2].startswith(b"CLIENT_ERROR")


def watched(port: int, clients: list[Stopping], seconds: float) -> None:
    """Plays the clients until each has seen its end."""
    for one in clients:
        one.connection = socket.create_connection(("127.0.0.1", port))
        one.connection.setblocking(False)
    until = time.monotonic() + seconds
    while time.monotonic() < until and not all(one.closed for one in clients):
        for one in clients:
            if not one.closed:
                one.look()
        time.sleep(0.005)
    for one in clients:
        one.connection.close()


@contextmanager
def balancer(folder: Path) -> Iterator[int]:
    """The real process with one cache host; the port that it listens on."""
    store, listen = Store(3), free()
    known = {"revision": 1, "complete": True, "members": [member(1) | {"host_port": f"127.0.0.1:{store.port}"}]}
    with serving(told(listen, free(), known=known), folder):
        yield listen


def test_on_loopback_whoever_stops_in_a_request_is_told_and_closed_in_time(tmp_path: Path) -> None:
    clients = {name: Stopping([written]) for name, written in STOPS.items()}
    with balancer(tmp_path) as port:
        watched(port, list(clients.values()), OWED + 4)
    late = {name: round(one.closed - one.written, 2) for name, one in clients.items()
            if not 0 < one.closed - one.written <= OWED}
    assert not late, f"closed so long after the last byte, or (if under 0) never: {late}"
    assert all(one.told() for one in clients.values()), {name: one.read[-80:] for name, one in clients.items()}


def test_on_loopback_whoever_drips_a_request_is_ended_too(tmp_path: Path) -> None:
    """Bytes that never make a whole request begin no new time."""
    line = Stopping([b"mg k v O1 Pc=read,d=900"[at:at + 1] for at in range(23)], every=0.4)
    value = Stopping([b"ms k 1000 O1 Pc=once,d=900\r\n", *[b"x"] * 22], every=0.4)
    with balancer(tmp_path) as port:
        began = time.monotonic()
        watched(port, [line, value], 9.0)
    assert 0 < line.closed - began <= OWED and 0 < value.closed - began <= 2 * OWED, (line, value)


def test_the_answers_that_are_owed_go_out_before_half_a_request_is_ended() -> None:
    """A request that was read whole has its answer, whatever its client does behind it."""
    longest = {"Profiles": [one | {"HardLimit": 9_000_000, "ServiceGoal": 8_000_000} for one in FACTS["Profiles"]]}
    net = Net(facts=longest)
    client = net.client()
    client.feed(ms(1, ttl=8000) + mg(2)[:7])
    host = net.accept()
    net.run(7000)
    assert not client.lost, net.trace
    host.feed(b"HD O1 cabc\r\n")
    net.run(10)
    assert "HD O1 cabc" in "".join(net.trace) and client.lost, net.trace


def test_a_slow_client_that_goes_on_is_served() -> None:
    net = Net()
    client = net.client()
    whole = ms(1)
    for at in range(len(whole)):  # some 2 s in all
        client.feed(whole[at:at + 1])
        net.run(1900 // len(whole))
    net.accept().feed(b"HD O1 cabc\r\n")
    client.feed(mg(2))
    net.wires[-1].feed(va(2))
    assert not client.lost and "VA 3 O2" in "".join(net.trace), net.trace
