"""Clients that take all places and do not go on, and those that come behind them with a request."""

import socket
import threading
import time
from contextlib import ExitStack
from pathlib import Path

import pytest

from tests.test_net import mg
from tests.test_stopped_clients import balancer

CROWD = 150  # more than there are places with 128 descriptors
HONEST = 20
LIMIT = 0.95  # seconds: what the requests of this file wait for, and the slack of the rules on sockets


class Honest(threading.Thread):
    """One client with one request; what it had, and when."""

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
    "said",
    [b"", b"mg k v O1 Pc=re", b"ms k 1000 O1 Pc=once,d=900\r\nxx"],
    ids=["silent", "half a line", "half a value"],
)
def test_on_loopback_who_comes_behind_a_crowd_that_stands_still_has_an_answer_in_time(
    tmp_path: Path, said: bytes
) -> None:
    """Its request was taken by the system the moment it came, so it is owed an answer before its hard limit."""
    with balancer(tmp_path) as port, ExitStack() as crowd:
        for _ in range(CROWD):
            one = crowd.enter_context(socket.create_connection(("127.0.0.1", port), timeout=5))
            one.sendall(said)
        honest = [Honest(port, number) for number in range(HONEST)]
        for client in honest:
            client.start()
        for client in honest:
            client.join(10)
    late = [
        (client.line[:20], round(client.took, 2))
        for client in honest
        if not client.line.startswith((b"VA", b"SERVER_ERROR")) or client.took > LIMIT
    ]
    assert not late
