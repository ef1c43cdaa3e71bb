"""Clients that use up all sockets and stay inactive, and clients that connect after them with a request."""

import socket
import threading
import time
from contextlib import ExitStack
from pathlib import Path

import pytest

from tests.test_net import mg
from tests.test_stopped_clients import balancer

CROWD = 150  # more clients than sockets with 128 file descriptors
LATE_CLIENTS = 20
MAX_SECONDS = 0.95  # the hard limit of the requests in this file, plus the slack of the rules on sockets


class LateClient(threading.Thread):
    """A client with one request; its answer and how long it took."""

    def __init__(self, port: int, number: int) -> None:
        super().__init__(daemon=True)
        self.port, self.number = port, number
        self.line, self.took = b"", 99.0

    def run(self) -> None:
        began = time.monotonic()
        with socket.create_connection(("127.0.0.1", self.port), timeout=5) as client:
            client.sendall(mg(self.number, key="k9"))
            self.line = client.makefile("rb").readline()
        self.took = time.monotonic() - began


@pytest.mark.parametrize(
    "sent",
    [b"", b"mg k v O1 Pc=re", b"ms k 1000 O1 Pc=once,d=900\r\nxx"],
    ids=["silent", "half a line", "half a value"],
)
def test_on_loopback_a_client_behind_an_inactive_crowd_is_answered_in_time(tmp_path: Path, sent: bytes) -> None:
    """The operating system accepts its request immediately, so it must be answered before its hard limit."""
    with balancer(tmp_path) as port, ExitStack() as crowd:
        for _ in range(CROWD):
            one = crowd.enter_context(socket.create_connection(("127.0.0.1", port), timeout=5))
            one.sendall(sent)
        clients = [LateClient(port, number) for number in range(LATE_CLIENTS)]
        for client in clients:
            client.start()
        for client in clients:
            client.join(10)
    late = [
        (client.line[:20], round(client.took, 2))
        for client in clients
        if not client.line.startswith((b"VA", b"SERVER_ERROR")) or client.took > MAX_SECONDS
    ]
    assert not late
