"""Behaviour that no other test covered, found by mutation testing (docs/readiness-review.md, tests of the tests)."""

import subprocess
import sys
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from threading import Thread
from types import SimpleNamespace
from typing import Any

from ternquay import model as m
from ternquay.balance import MS
from ternquay.hosted.store import Store
from ternquay.rig import records
from ternquay.rig.judge import _drains
from ternquay.rig.terms import read_day
from ternquay.wirehost.serve import Instance
from tests.helper import FACTS, Net
from tests.test_net import mg, va


def test_requests_beyond_the_pipeline_limit_of_a_connection_are_refused_as_busy() -> None:
    net = Net(limits={"pipelined": 3, "sockets": 9})
    client = net.client()
    client.feed(b"".join(mg(n, key=f"k{n}") for n in range(5)))
    assert len(net.dispatcher.open_txs) == 3
    while net.reactor.tcpClients:
        net.accept()
    for wire in net.wires[1:]:
        wire.feed(va(int(wire.protocol.hops[0].tx.message.id)))
    replies = "".join(one for one in net.trace if "client 0 <" in one)
    assert replies.count("VA 3") == 3 and replies.count("SERVER_ERROR busy") == 2


def test_queued_bytes_are_released_when_the_system_has_taken_them() -> None:
    net = Net()
    client = net.client()
    for n in range(3):
        client.feed(mg(n))
        (net.accept() if net.reactor.tcpClients else net.wires[1]).feed(va(n))
    assert net.frontend.unsent_answers.total == 0 and client.protocol.queued_bytes == 0


def test_the_backoff_of_a_rollback_is_in_microseconds_on_the_wire() -> None:
    one = Instance(7, FACTS)
    one.correlations[0] = "c"
    assert one.encode_action(3, m.RollBack(0, 50 * MS)) == {"msg": "Busy", "Who": 3, "Corr": "c", "Backoff": 50_000}
    assert one.encode_action(3, m.SendHop(0, one.host_index("h"), 7 * MS))["NotPast"] == 7_000


def test_a_commit_is_synced_to_disk(tmp_path: Path) -> None:
    """Killing a process can't show this: unsynced data survives the kill, but not a power failure."""
    store = Store(tmp_path / "x.db")
    assert store.db.execute("PRAGMA synchronous").fetchone()[0] == 2
    assert store.db.execute("PRAGMA journal_mode").fetchone()[0] == "wal"
    store.needs_reopen = True
    assert store.changes(0, 1) == [] and store.db.execute("PRAGMA synchronous").fetchone()[0] == 2
    store.close()


def test_the_judge_applies_the_grace_of_a_drain_exactly() -> None:
    day = read_day("calm")
    grace, delivered = (day.rules.drain_grace_ms + day.rules.slack_ms) * MS, 10_000 * MS

    def convicted(came: int) -> bool:
        hop = records.Hop("t1", "", 0, False, 3, "h-3-1", came, came + MS)
        case: Any = SimpleNamespace(
            day=day,
            slack=day.rules.slack_ms * MS,
            tries=[SimpleNamespace(id="t1", balancer=0)],
            hops={"t1": [hop]},
            saw=SimpleNamespace(fleet=SimpleNamespace(told=[records.Told(0, delivered, "h-3-1", "draining")])),
            known=lambda told: told.at,
            life_at=lambda balancer, at: SimpleNamespace(started=0),
        )
        return bool(list(_drains(case)))

    assert [convicted(delivered + grace + ms * MS) for ms in (-200, -1, 1, 200)] == [False, False, True, True]


class NotFoundHandler(BaseHTTPRequestHandler):
    """An API that answers 404 and keeps connections open."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        body = b'{"detail": "there is nothing of that name"}'
        self.send_response(404)
        self.send_header("content-length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        pass


def test_the_api_client_closes_its_connection_after_a_failed_call() -> None:
    """With -X dev, an unclosed socket adds six lines of warnings to the one line of output for scripts."""
    with ThreadingHTTPServer(("127.0.0.1", 0), NotFoundHandler) as api:
        api.daemon_threads = True
        Thread(target=api.serve_forever, daemon=True).start()
        done = subprocess.run(
            [
                sys.executable,
                "-X",
                "dev",
                "-m",
                "ternquay",
                "admin",
                "--url",
                f"http://127.0.0.1:{api.server_port}",
                "--token",
                "x",
                "tenants",
                "show",
                "nobody",
            ],
            cwd=Path(__file__).parents[1],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        api.shutdown()
    assert (done.returncode, done.stderr.count("\n")) == (4, 1), done.stderr
