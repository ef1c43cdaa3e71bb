"""What small faults put in by hand showed to be tested by nothing (docs/readiness-review.md, tests of the tests)."""

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


def test_one_connection_has_so_many_waiting_and_what_is_beyond_is_told_to_come_back() -> None:
    net = Net(limits={"pipelined": 3, "sockets": 9})
    client = net.client()
    client.feed(b"".join(mg(n, key=f"k{n}") for n in range(5)))
    assert len(net.dispatcher.open_txs) == 3
    while net.reactor.tcpClients:
        net.accept()
    for wire in net.wires[1:]:
        wire.feed(va(int(wire.protocol.hops[0].tx.message.id)))
    told = "".join(one for one in net.trace if "client 0 <" in one)
    assert told.count("VA 3") == 3 and told.count("SERVER_ERROR busy") == 2


def test_bytes_that_the_system_has_taken_are_counted_back() -> None:
    net = Net()
    client = net.client()
    for n in range(3):
        client.feed(mg(n))
        (net.accept() if net.reactor.tcpClients else net.wires[1]).feed(va(n))
    assert net.frontend.queued_bytes == 0 and client.protocol.queued_bytes == 0


def test_the_wait_of_a_rollback_is_in_microseconds_on_the_wire() -> None:
    one = Instance(7, FACTS)
    one.correlations[0] = "c"
    assert one.encode_action(3, m.RollBack(0, 50 * MS)) == {"msg": "Busy", "Who": 3, "Corr": "c", "Backoff": 50_000}
    assert one.encode_action(3, m.SendHop(0, one.host_index("h"), 7 * MS))["NotPast"] == 7_000


def test_a_commit_is_synced_before_it_counts_as_made(tmp_path: Path) -> None:
    """No kill of a process shows it: what is not synced survives that, and is lost with the machine's power."""
    store = Store(tmp_path / "x.db")
    assert store.db.execute("PRAGMA synchronous").fetchone()[0] == 2
    assert store.db.execute("PRAGMA journal_mode").fetchone()[0] == "wal"
    store.needs_reopen = True
    assert store.changes(0, 1) == [] and store.db.execute("PRAGMA synchronous").fetchone()[0] == 2
    store.close()


def test_the_judge_ends_the_grace_of_a_drain_where_the_rule_does() -> None:
    day = read_day("calm")
    grace, told = (day.rules.drain_grace_ms + day.rules.slack_ms) * MS, 10_000 * MS

    def convicted(came: int) -> bool:
        hop = records.Hop("t1", "", 0, False, 3, "h-3-1", came, came + MS)
        case: Any = SimpleNamespace(
            day=day,
            slack=day.rules.slack_ms * MS,
            tries=[SimpleNamespace(id="t1", balancer=0)],
            hops={"t1": [hop]},
            saw=SimpleNamespace(fleet=SimpleNamespace(told=[records.Told(0, told, "h-3-1", "draining")])),
            known=lambda told: told.at,
            life_at=lambda balancer, at: SimpleNamespace(started=0),
        )
        return bool(list(_drains(case)))

    assert [convicted(told + grace + ms * MS) for ms in (-200, -1, 1, 200)] == [False, False, True, True]


class NotThere(BaseHTTPRequestHandler):
    """An API that has nothing, and keeps its connections."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        body = b'{"detail": "there is nothing of that name"}'
        self.send_response(404)
        self.send_header("content-length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        pass


def test_the_client_of_the_api_leaves_no_connection_open_when_a_call_failed() -> None:
    """Under -X dev the one line for scripts was followed by six of an unclosed socket."""
    with ThreadingHTTPServer(("127.0.0.1", 0), NotThere) as api:
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
