"""Clients that stop in the middle of a request: docs/incidents/stopped-clients.md."""

import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from signal import SIGCONT, SIGHUP, SIGSTOP
from threading import Timer
from typing import Any

import pytest

from ternquay.net.client import OVERDUE_ANSWER
from ternquay.net.limits import MS, SECOND
from ternquay.net.meta import RequestParser
from ternquay.net.request_deadline import (
    MAX_LINE_NS,
    MAX_VALUE_PAUSE_NS,
    MIN_VALUE_BYTES_PER_SECOND,
    MIN_VALUE_NS,
    Position,
    RequestDeadline,
    RequestPart,
)
from ternquay.net.safety import (
    UNCONDITIONAL_CLOSES,
    Attempt,
    AttemptRefusal,
    CloseReason,
    Violation,
    attempt_refusal,
    may_close,
)
from ternquay.rig.terms import CallFault
from tests.helper import FACTS, Net, Wire, member
from tests.test_flow import Store
from tests.test_management import OUT, exchange, http_status
from tests.test_net import mg, ms, va
from tests.test_review_links import balancer_config, free_port, serving
from tests.test_system_calls import running

MAX_END_SECONDS = 3.0  # a client that stopped gets an error and a close within this time after its last byte

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
    """A client that writes one of its pieces every `every` seconds and then stays connected."""

    pieces: list[bytes]
    every: float = 0.0
    connection: socket.socket = field(default_factory=socket.socket)
    written: float = 0.0  # when it wrote its latest piece
    read: bytes = b""
    closed: float = 0.0  # when it saw the end of the connection

    def step(self) -> None:
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

    def got_error(self) -> bool:
        """Whether the last line that it read is an error."""
        return self.read.rpartition(b"\r\n")[0].rpartition(b"\r\n")[2].startswith(b"CLIENT_ERROR")


def run_clients(port: int, clients: list[Stopping], seconds: float) -> None:
    """Connects the clients and runs them until the balancer has closed each."""
    for one in clients:
        one.connection = socket.create_connection(("127.0.0.1", port))
        one.connection.setblocking(False)
    until = time.monotonic() + seconds
    while time.monotonic() < until and not all(one.closed for one in clients):
        for one in clients:
            if not one.closed:
                one.step()
        time.sleep(0.005)
    for one in clients:
        one.connection.close()


@contextmanager
def balancer(folder: Path) -> Iterator[int]:
    """Runs a balancer process with one cache host. Yields the port that it listens on."""
    store, listen = Store(3), free_port()
    known = {"revision": 1, "complete": True, "members": [member(1) | {"host_port": f"127.0.0.1:{store.port}"}]}
    with serving(balancer_config(listen, free_port(), known=known), folder):
        yield listen


def test_on_loopback_a_client_that_stops_in_a_request_gets_an_error_and_a_close_in_time(tmp_path: Path) -> None:
    clients = {name: Stopping([written]) for name, written in STOPS.items()}
    with balancer(tmp_path) as port:
        run_clients(port, list(clients.values()), MAX_END_SECONDS + 4)
    late = {
        name: round(one.closed - one.written, 2)
        for name, one in clients.items()
        if not 0 < one.closed - one.written <= MAX_END_SECONDS
    }
    assert not late, f"seconds from the last byte to the close, or never closed (if negative): {late}"
    assert all(one.got_error() for one in clients.values()), {name: one.read[-80:] for name, one in clients.items()}


def test_on_loopback_a_client_that_sends_a_request_too_slowly_is_closed(tmp_path: Path) -> None:
    """Bytes that do not complete a request must not restart its deadline."""
    line = Stopping([b"mg k v O1 Pc=read,d=900"[at : at + 1] for at in range(23)], every=0.4)
    value = Stopping([b"ms k 1000 O1 Pc=once,d=900\r\n", *[b"x"] * 22], every=0.4)
    with balancer(tmp_path) as port:
        began = time.monotonic()
        run_clients(port, [line, value], 9.0)
    assert 0 < line.closed - began <= MAX_END_SECONDS and 0 < value.closed - began <= 2 * MAX_END_SECONDS, (line, value)


def late_ends(clients: list[Stopping]) -> list[float]:
    """Seconds from the last byte to the close of each client that was closed too late; negative: never closed."""
    return [
        round(one.closed - one.written, 2) for one in clients if not 0 < one.closed - one.written <= MAX_END_SECONDS
    ]


@pytest.mark.parametrize("filled", [0, 90])
def test_on_loopback_a_client_that_stops_before_it_is_accepted_is_closed_in_time(tmp_path: Path, filled: int) -> None:
    """More clients stop at once than there are sockets. In the second case silent clients use most of them."""
    clients = [Stopping([b"mg k v O1 Pc=re"]) for _ in range(300 if not filled else 60)]
    with balancer(tmp_path) as port, ExitStack() as silent:
        for _ in range(filled):
            silent.enter_context(socket.create_connection(("127.0.0.1", port)))
        run_clients(port, clients, MAX_END_SECONDS + 9)
    assert not late_ends(clients)


def test_on_loopback_a_client_that_stops_before_it_is_accepted_is_closed_in_time_where_accepting_fails(
    tmp_path: Path,
) -> None:
    """A failed accept() does not mean that no other client waits."""
    clients = [Stopping([b"mg k v O1 Pc=re"]) for _ in range(200)]
    with running(tmp_path, CallFault("accept", "EMFILE", rate=0.1)) as one:
        run_clients(one.port, clients, MAX_END_SECONDS + 4)
    assert not late_ends(clients) and max(client.closed - client.written for client in clients) < 2.8


def test_on_loopback_a_client_that_stops_while_the_process_is_stopped_is_closed_in_time(tmp_path: Path) -> None:
    """Bytes that arrive while the process is stopped are read later, but their age counts from their arrival."""
    store, listen = Store(3), free_port()
    known = {"revision": 1, "complete": True, "members": [member(1) | {"host_port": f"127.0.0.1:{store.port}"}]}
    clients = [Stopping([written]) for written in STOPS.values()]
    with serving(balancer_config(listen, free_port(), known=known), tmp_path) as process:
        process.send_signal(SIGSTOP)
        Timer(2.0, process.send_signal, [SIGCONT]).start()
        run_clients(listen, clients, MAX_END_SECONDS + 4)
    assert not late_ends(clients)


def test_pending_answers_are_written_before_an_incomplete_request_is_closed() -> None:
    """A complete request is answered, whatever its client sends after it."""
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


def test_a_slow_client_that_makes_progress_is_served() -> None:
    net = Net()
    client = net.client()
    whole = ms(1)
    for at in range(len(whole)):  # about 2 s in total
        client.feed(whole[at : at + 1])
        net.run(1900 // len(whole))
    net.accept().feed(b"HD O1 cabc\r\n")
    client.feed(mg(2))
    net.wires[-1].feed(va(2))
    assert not client.lost and "VA 3 O2" in "".join(net.trace), net.trace


# ---- request deadlines ----


def test_a_command_line_has_one_deadline_from_its_first_byte() -> None:
    deadline = RequestDeadline()
    assert deadline.due_at() is None
    for at in range(10):
        deadline.record_read(at * SECOND // 5, Position(RequestPart.LINE, 0), 1)
    assert deadline.due_at() == MAX_LINE_NS


def test_a_value_has_a_deadline_from_its_last_byte_and_one_by_its_size() -> None:
    deadline, value = RequestDeadline(), Position(RequestPart.VALUE, 1)
    deadline.record_read(SECOND, value, 0)
    assert deadline.due_at() == SECOND + MIN_VALUE_NS
    deadline.record_read(2 * SECOND, value, 100 * MIN_VALUE_BYTES_PER_SECOND)
    assert deadline.due_at() == 2 * SECOND + MAX_VALUE_PAUSE_NS
    for at in range(3, 6):
        deadline.record_read(at * SECOND, value, 1)
    assert deadline.due_at() == 5 * SECOND + MAX_VALUE_PAUSE_NS


def test_the_next_request_has_its_own_deadline_and_there_is_none_between_requests() -> None:
    deadline = RequestDeadline()
    deadline.record_read(SECOND, Position(RequestPart.LINE, 0), 5)
    deadline.record_read(2 * SECOND, Position(RequestPart.LINE, 1), 50)
    assert deadline.due_at() == 2 * SECOND + MAX_LINE_NS
    deadline.record_read(3 * SECOND, Position(RequestPart.NONE, 2), 50)
    assert deadline.due_at() is None
    deadline.record_read(4 * SECOND, Position(RequestPart.LINE, 2), 1)
    assert deadline.due_at() == 4 * SECOND + MAX_LINE_NS


def test_time_during_which_the_client_could_not_write_does_not_count() -> None:
    deadline = RequestDeadline()
    deadline.record_read(SECOND, Position(RequestPart.VALUE, 1), 5000)
    deadline.extend(4 * SECOND)
    assert deadline.due_at() == 5 * SECOND + MAX_VALUE_PAUSE_NS


def late_reader(waited: int, silent_ms: int) -> tuple[Net, Wire]:
    """A client of a process whose last poll was `waited` ns ago. The system reports `silent_ms` since its last byte."""
    net = Net()
    net.loop_timing.begin(net.dispatcher.now(), net.dispatcher.now() - waited, timeout=0)
    client = net.client()
    client.silent_ms = silent_ms
    return net, client


@pytest.mark.parametrize(
    ("waited_ms", "silent_ms", "counted_ms"),
    [
        (3000, 2000, 2000),  # the system reports when the last byte arrived
        (3000, 0, 0),  # a slow client that makes progress: its last bytes were read on arrival
        (1000, 5000, 1000),  # at most the time that the loop may have left it unread
        (80, 80, 0),
    ],
)
def test_the_age_of_bytes_that_waited_to_be_read_comes_from_the_system(
    waited_ms: int, silent_ms: int, counted_ms: int
) -> None:
    net, client = late_reader(waited_ms * MS, silent_ms)
    client.feed(b"mg k v O1")
    net.run((MAX_LINE_NS // MS) - counted_ms - 60)
    assert not client.closing
    net.run(120)
    assert client.closing or client.lost


def test_a_large_backlog_has_the_same_age_in_each_iteration_that_reads_it() -> None:
    net, client = late_reader(2 * SECOND, 2000)
    client.feed(b"ms k 100000 O1 Pc=once,d=900\r\n" + b"x" * 20000)
    for _ in range(3):
        net.run(1)
        net.loop_timing.begin(net.dispatcher.now())
        client.silent_ms = 0  # the socket buffer had no room for the rest before
        client.feed(b"x" * 20000)
    net.run(MAX_VALUE_PAUSE_NS // MS - 2000 + 60)
    assert client.closing or client.lost


def test_a_late_value_keeps_its_age_when_its_line_was_read_in_the_previous_iteration() -> None:
    net, client = late_reader(2 * SECOND, 1500)
    client.feed(b"ms k 1")
    net.run(2)
    net.loop_timing.begin(net.dispatcher.now())
    client.feed(b"000 O1 Pc=once,d=900\r\nxx")
    net.run(MAX_VALUE_PAUSE_NS // MS - 1500 + 60)
    assert client.closing or client.lost


def test_a_request_that_starts_after_a_late_read_has_its_own_deadline() -> None:
    net, client = late_reader(3 * SECOND, 2000)
    client.feed(b"mg k")
    net.run(10)
    net.loop_timing.begin(net.dispatcher.now())
    client.silent_ms = 0
    client.feed(mg(1, profile="nobody")[4:] + b"mg k")  # completes that line and starts another
    net.run(MAX_LINE_NS // MS - 60)
    assert not client.closing and not client.lost


def test_a_client_that_could_not_write_during_a_stop_gets_time_to_continue() -> None:
    """A process that was stopped for 5 s reads a full socket buffer first; the client writes the rest only then."""
    net, client = late_reader(5 * SECOND, 4900)
    client.feed(b"ms k 200000 O1 Pc=once,d=900\r\n" + b"x" * 60000)
    client.silent_ms = 0
    for _ in range(4):
        net.run(300)
        net.loop_timing.begin(net.dispatcher.now())
        assert not client.closing and not client.lost
        client.feed(b"x" * 20000)
    net.run(MAX_VALUE_PAUSE_NS // MS - 100)
    assert not client.closing and not client.lost


@pytest.mark.parametrize(
    ("written", "part", "lines"),
    [
        (b"", RequestPart.NONE, 0),
        (b"mg", RequestPart.LINE, 0),
        (mg(1), RequestPart.NONE, 1),
        (mg(1) + b"m", RequestPart.LINE, 1),
        (ms(1)[:-3], RequestPart.VALUE, 1),
        (ms(1), RequestPart.NONE, 1),
        (ms(1) + mg(2), RequestPart.NONE, 2),
        (b"ms k 99 O1 Pc=once,d=9\r\n", RequestPart.VALUE, 1),
        (b"ms k 99 O1 Pc=once,d=9\r\n" + b"x" * 99, RequestPart.VALUE, 1),
        (b"ms k -1 O1 Pc=once,d=9\r\nxx", RequestPart.NONE, 1),
    ],
)
def test_the_position_is_reported_for_every_part_of_a_request(written: bytes, part: RequestPart, lines: int) -> None:
    for stream_above in (8, 100):
        parser = RequestParser(2048, 4096, stream_above)
        parser.feed(written)
        assert parser.position() == Position(part, lines)


# ---- deadlines and other limits ----


def test_a_value_that_a_cache_host_delays_does_not_count_against_its_client() -> None:
    net = Net(limits={"stream_above_bytes": 8, "chunk_bytes": 4, "stall_timeout": 9 * SECOND})
    client = net.client()
    client.feed(b"ms k 20 O1 Pc=once,d=800\r\n")
    client.protocol.hold_stream(True)
    net.run(4000)
    assert not client.lost
    client.protocol.hold_stream(False)
    net.run(int(MAX_VALUE_PAUSE_NS // MS) - 100)
    assert not client.lost
    net.run(300)
    assert client.lost, net.trace


def test_a_large_value_that_stops_closes_its_cache_host_connection_and_has_not_run() -> None:
    net = Net(limits={"stream_above_bytes": 8, "chunk_bytes": 4})
    client = net.client()
    client.feed(mg(1) + b"ms k 20 O2 Pc=once,d=800\r\n0123456789")
    first, second = net.accept(), net.accept()
    first.feed(va(1)) if "O1" in net.trace[-2] + net.trace[-1] else second.feed(va(1))
    net.run(2600)
    assert client.lost and all(wire.lost for wire in net.wires[2:]) and not net.dispatcher.open_txs, net.trace
    assert OVERDUE_ANSWER.decode() in "".join(net.trace)


def test_unread_bytes_keep_a_request_open_until_they_are_read() -> None:
    net = Net()
    client = net.client()
    client.feed(mg(1)[:9])
    client.unread = b"x"
    net.run(4000)
    assert not client.lost
    client.unread = None
    net.run(100)
    assert client.lost


@pytest.mark.parametrize("step", ["drain", "end", "reload"])
def test_on_loopback_a_client_that_stops_is_closed_in_time_during_a_drain_a_shutdown_or_a_reload(
    tmp_path: Path, step: str
) -> None:
    clients = [Stopping([b"mg k v"]), Stopping([b"ms k 9 O1 Pc=once,d=900\r\nx"])]
    store, listen, management = Store(3), free_port(), free_port()
    known = {"revision": 1, "complete": True, "members": [member(1) | {"host_port": f"127.0.0.1:{store.port}"}]}
    config = balancer_config(listen, free_port(), known=known, management=f"127.0.0.1:{management}")
    with serving(config, tmp_path) as process:
        acts = {
            "drain": lambda: http_status(management, OUT),
            "end": process.terminate,
            "reload": lambda: process.send_signal(SIGHUP),
        }
        timer = Timer(1.0, acts[step])
        timer.start()
        run_clients(listen, clients, MAX_END_SECONDS + 1)
        timer.join()
    assert all(0 < one.closed - one.written <= MAX_END_SECONDS for one in clients), clients


# ---- safety rules and their check at run time ----


def test_a_close_waits_for_pending_answers_and_unread_bytes() -> None:
    for reason in CloseReason:
        unconditional = reason in UNCONDITIONAL_CLOSES
        assert may_close(reason, owes_answer=False)
        assert may_close(reason, owes_answer=True) == may_close(reason, owes_answer=False, unread=True) == unconditional


@pytest.mark.parametrize(
    ("attempt", "departed", "why"),
    [
        (Attempt(False, True, 10, 0, False), False, None),
        (Attempt(True, True, 10, 0, False), False, AttemptRefusal.ANSWERED),
        (Attempt(False, True, 5, 0, False), False, AttemptRefusal.OVERDUE),
        (Attempt(False, False, 5, 0, False), False, None),
        (Attempt(False, True, 10, 5, False), False, AttemptRefusal.FORGOTTEN),
        (Attempt(False, True, 10, 6, True), False, AttemptRefusal.STALE),
        (Attempt(False, True, 10, 6, False), True, AttemptRefusal.DEPARTED),
    ],
)
def test_an_attempt_starts_only_if_the_rules_allow_it(
    attempt: Attempt, departed: bool, why: AttemptRefusal | None
) -> None:
    assert attempt_refusal(attempt, 5, lambda: AttemptRefusal.DEPARTED if departed else None) is why


def test_violations_of_the_rules_are_counted_and_recorded() -> None:
    net = Net()
    client = net.client()
    client.feed(mg(1))
    pending_answer = client.protocol.pending[0]
    client.protocol.close(CloseReason.IDLE)
    pending_answer.set_answer(b"SERVER_ERROR busy\r\n")
    pending_answer.set_answer(b"SERVER_ERROR failed\r\n")
    net.dispatcher.safety.record_attempt_start(True, lambda: "1", 1)
    safety = net.dispatcher.safety
    assert safety.violations == {Violation.CLOSED_OWING: 1, Violation.ANSWERED_TWICE: 1, Violation.BEGUN_FORBIDDEN: 1}
    assert 'ternquay_violations_total{reason="closed_owing"} 1' in safety.metrics()
    assert "violation: a request was answered a second time 1" in safety.recent_events()
    assert "violations: 3" in safety.summary()


def test_on_loopback_operators_can_read_why_clients_were_closed(tmp_path: Path) -> None:
    listen, management = free_port(), free_port()
    with serving(balancer_config(listen, free_port(), management=f"127.0.0.1:{management}"), tmp_path) as process:
        run_clients(listen, [Stopping([b"mg k v"]), Stopping([b"ms k -1 O1 Pc=once,d=9\r\n"])], MAX_END_SECONDS + 1)
        metrics, events = (
            exchange(management, b"GET /control/%b HTTP/1.1\r\nHost: x\r\n\r\n" % name)
            for name in (b"metrics", b"events")
        )
        process.terminate()
        assert process.wait(10) == 0
    assert b'client_closes_total{reason="request_overdue"} 1' in metrics and b'reason="malformed"} 1' in metrics
    assert b'violations_total{reason="closed_owing"} 0' in metrics
    assert b"client closed: its request was not whole in time" in events
    log = (tmp_path / "log").read_text()
    assert "closed clients: malformed 1, request_overdue 1; violations: 0" in log


# ---- cache hosts that stop in the middle of a request, and clients that read no answers ----


def test_a_client_is_answered_if_the_cache_host_stops_reading_its_large_value() -> None:
    net = Net(limits={"stream_above_bytes": 8, "chunk_bytes": 4})
    client = net.client()
    client.feed(b"ms k 40 O1 Pc=once,d=800\r\n0123456789")
    *_, factory, _, _ = net.reactor.tcpClients.pop(0)
    stuck = Wire(net, "host 1", factory.buildProtocol(None))  # its socket accepts no data
    net.run(790)
    assert not stuck.lost and not any("client 0 <" in line for line in net.trace)
    net.run(20)  # the client may have written all of it long ago, and waits 800 ms
    assert stuck.lost and "client 0 < b'SERVER_ERROR busy" in "".join(net.trace), net.trace  # it never ran
    net.run(1200)
    client.feed(b"0123456789" * 3 + b"\r\nmn\r\n")
    assert not client.lost and "MN" in net.trace[-1], net.trace


def test_a_client_that_reads_no_answers_is_closed_however_much_it_sends() -> None:
    """Its requests and the answers written for it are no sign that it reads anything."""
    net = Net()
    client = net.client()
    client.stuck = True
    client.unread = b"m"  # there are unread bytes at each check
    for number in range(20):
        client.feed(mg(number, profile="nobody"))
        net.run(500)
        if client.lost:
            break
    assert client.lost and 10 <= number <= 12  # about 5 s


def test_the_time_of_a_process_stop_does_not_count_as_a_client_that_reads_nothing() -> None:
    net = Net()
    client = net.client()
    client.stuck = True
    client.feed(mg(1, profile="nobody"))
    net.run(1000)
    net.loop_timing.stalled_before = True  # the process was stopped for long
    net.reactor.advance(20.0)
    net.loop_timing.stalled_before = False
    assert not client.lost
    net.run(5300)
    assert client.lost


def test_a_client_that_reads_its_answers_slowly_is_not_closed() -> None:
    net = Net()
    client = net.client()
    client.stuck = True
    for number in range(20):
        client.feed(mg(number, profile="nobody"))
        net.run(1000)
        client.bytes_taken += 1
    assert not client.lost and not client.closing


@pytest.mark.parametrize("owner", ["frontend", "pool"])
def test_an_exception_in_one_sweep_does_not_end_the_sweeps(owner: str, monkeypatch: pytest.MonkeyPatch) -> None:
    net = Net()
    part = getattr(net, owner)
    sweeps = []

    def broken() -> None:
        sweeps.append(net.dispatcher.now())
        raise ValueError("broken on purpose")

    monkeypatch.setattr(part, "close_stale", broken)
    for _ in range(4):
        with suppress(ValueError):
            net.reactor.advance(net.limits.sweep_interval / SECOND)
    assert len(sweeps) >= 3


def test_failing_one_overdue_request_may_close_another_overdue_client(monkeypatch: pytest.MonkeyPatch) -> None:
    net = Net()
    first, second = net.client(), net.client()
    for one in (first, second):
        one.feed(b"mg k v")
    real = type(first.protocol).fail_request

    def fail_both(client: Any) -> None:
        real(client)
        net.frontend.drop(second.protocol, CloseReason.MEMORY)

    monkeypatch.setattr(type(first.protocol), "fail_request", fail_both)
    net.run(2700)
    assert first.lost and second.lost and not net.frontend.partial_requests
    assert net.dispatcher.safety.client_closes == {CloseReason.REQUEST_OVERDUE: 1, CloseReason.MEMORY: 1}
