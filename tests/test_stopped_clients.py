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
    store, listen = Store(3), free_port()
    known = {"revision": 1, "complete": True, "members": [member(1) | {"host_port": f"127.0.0.1:{store.port}"}]}
    with serving(balancer_config(listen, free_port(), known=known), folder):
        yield listen


def test_on_loopback_whoever_stops_in_a_request_is_told_and_closed_in_time(tmp_path: Path) -> None:
    clients = {name: Stopping([written]) for name, written in STOPS.items()}
    with balancer(tmp_path) as port:
        watched(port, list(clients.values()), OWED + 4)
    late = {
        name: round(one.closed - one.written, 2)
        for name, one in clients.items()
        if not 0 < one.closed - one.written <= OWED
    }
    assert not late, f"closed so long after the last byte, or (if under 0) never: {late}"
    assert all(one.told() for one in clients.values()), {name: one.read[-80:] for name, one in clients.items()}


def test_on_loopback_whoever_drips_a_request_is_ended_too(tmp_path: Path) -> None:
    """Bytes that never make a whole request begin no new time."""
    line = Stopping([b"mg k v O1 Pc=read,d=900"[at : at + 1] for at in range(23)], every=0.4)
    value = Stopping([b"ms k 1000 O1 Pc=once,d=900\r\n", *[b"x"] * 22], every=0.4)
    with balancer(tmp_path) as port:
        began = time.monotonic()
        watched(port, [line, value], 9.0)
    assert 0 < line.closed - began <= OWED and 0 < value.closed - began <= 2 * OWED, (line, value)


def late_ends(clients: list[Stopping]) -> list[float]:
    """How long after their last byte those were closed that were closed too late; under 0: never."""
    return [round(one.closed - one.written, 2) for one in clients if not 0 < one.closed - one.written <= OWED]


@pytest.mark.parametrize("filled", [0, 90])
def test_on_loopback_whoever_stops_before_it_is_accepted_is_ended_in_time(tmp_path: Path, filled: int) -> None:
    """More clients stop at once than there are places; in the second case others that say nothing have most of them."""
    clients = [Stopping([b"mg k v O1 Pc=re"]) for _ in range(300 if not filled else 60)]
    with balancer(tmp_path) as port, ExitStack() as silent:
        for _ in range(filled):
            silent.enter_context(socket.create_connection(("127.0.0.1", port)))
        watched(port, clients, OWED + 9)
    assert not late_ends(clients)


def test_on_loopback_whoever_stops_before_it_is_accepted_is_ended_in_time_where_accepting_fails(tmp_path: Path) -> None:
    """A failed accept() tells nothing of who else waits."""
    clients = [Stopping([b"mg k v O1 Pc=re"]) for _ in range(200)]
    with running(tmp_path, CallFault("accept", "EMFILE", rate=0.1)) as one:
        watched(one.port, clients, OWED + 4)
    assert not late_ends(clients) and max(client.closed - client.written for client in clients) < 2.8


def test_on_loopback_whoever_stops_while_the_process_stands_still_is_ended_in_time(tmp_path: Path) -> None:
    """The bytes came while the process was stopped: it reads them later, and they are as old as they are."""
    store, listen = Store(3), free_port()
    known = {"revision": 1, "complete": True, "members": [member(1) | {"host_port": f"127.0.0.1:{store.port}"}]}
    clients = [Stopping([written]) for written in STOPS.values()]
    with serving(balancer_config(listen, free_port(), known=known), tmp_path) as process:
        process.send_signal(SIGSTOP)
        Timer(2.0, process.send_signal, [SIGCONT]).start()
        watched(listen, clients, OWED + 4)
    assert not late_ends(clients)


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
        client.feed(whole[at : at + 1])
        net.run(1900 // len(whole))
    net.accept().feed(b"HD O1 cabc\r\n")
    client.feed(mg(2))
    net.wires[-1].feed(va(2))
    assert not client.lost and "VA 3 O2" in "".join(net.trace), net.trace


# ---- the deadline itself ----


def test_a_line_has_one_bound_from_its_first_byte_whatever_comes() -> None:
    deadline = RequestDeadline()
    assert deadline.due_at() is None
    for at in range(10):
        deadline.record_read(at * SECOND // 5, Position(RequestPart.LINE, 0), 1)
    assert deadline.due_at() == MAX_LINE_NS


def test_a_value_has_a_bound_from_its_last_byte_and_one_by_its_size() -> None:
    deadline, value = RequestDeadline(), Position(RequestPart.VALUE, 1)
    deadline.record_read(SECOND, value, 0)
    assert deadline.due_at() == SECOND + MIN_VALUE_NS
    deadline.record_read(2 * SECOND, value, 100 * MIN_VALUE_BYTES_PER_SECOND)
    assert deadline.due_at() == 2 * SECOND + MAX_VALUE_PAUSE_NS
    for at in range(3, 6):
        deadline.record_read(at * SECOND, value, 1)
    assert deadline.due_at() == 5 * SECOND + MAX_VALUE_PAUSE_NS


def test_the_next_request_has_its_own_time_and_none_is_counted_between_two() -> None:
    deadline = RequestDeadline()
    deadline.record_read(SECOND, Position(RequestPart.LINE, 0), 5)
    deadline.record_read(2 * SECOND, Position(RequestPart.LINE, 1), 50)
    assert deadline.due_at() == 2 * SECOND + MAX_LINE_NS
    deadline.record_read(3 * SECOND, Position(RequestPart.NONE, 2), 50)
    assert deadline.due_at() is None
    deadline.record_read(4 * SECOND, Position(RequestPart.LINE, 2), 1)
    assert deadline.due_at() == 4 * SECOND + MAX_LINE_NS


def test_time_in_which_the_client_was_kept_from_writing_does_not_count() -> None:
    deadline = RequestDeadline()
    deadline.record_read(SECOND, Position(RequestPart.VALUE, 1), 5000)
    deadline.extend(4 * SECOND)
    assert deadline.due_at() == 5 * SECOND + MAX_VALUE_PAUSE_NS


def late_reader(waited: int, silent_ms: int) -> tuple[Net, Wire]:
    """A client of a process that polled so long ago; its last byte came as long ago as the system says."""
    net = Net()
    net.loop_timing.begin(net.dispatcher.now(), net.dispatcher.now() - waited, timeout=0)
    client = net.client()
    client.silent_ms = silent_ms
    return net, client


@pytest.mark.parametrize(
    ("waited_ms", "silent_ms", "counted_ms"),
    [
        (3000, 2000, 2000),  # the system tells how long ago the last byte came
        (3000, 0, 0),  # a slow client that goes on: what it wrote last was read as it came
        (1000, 5000, 1000),  # never more than the loop can have left it unread
        (80, 80, 0),
    ],
)
def test_bytes_that_waited_to_be_read_are_as_old_as_the_system_says(
    waited_ms: int, silent_ms: int, counted_ms: int
) -> None:
    net, client = late_reader(waited_ms * MS, silent_ms)
    client.feed(b"mg k v O1")
    net.run((MAX_LINE_NS // MS) - counted_ms - 60)
    assert not client.closing
    net.run(120)
    assert client.closing or client.lost


def test_much_that_waited_is_as_old_in_each_of_the_turns_that_read_it() -> None:
    net, client = late_reader(2 * SECOND, 2000)
    client.feed(b"ms k 100000 O1 Pc=once,d=900\r\n" + b"x" * 20000)
    for _ in range(3):
        net.run(1)
        net.loop_timing.begin(net.dispatcher.now())
        client.silent_ms = 0  # the system had no room for the rest before
        client.feed(b"x" * 20000)
    net.run(MAX_VALUE_PAUSE_NS // MS - 2000 + 60)
    assert client.closing or client.lost


def test_a_late_value_is_as_old_though_its_line_was_read_in_the_turn_before() -> None:
    net, client = late_reader(2 * SECOND, 1500)
    client.feed(b"ms k 1")
    net.run(2)
    net.loop_timing.begin(net.dispatcher.now())
    client.feed(b"000 O1 Pc=once,d=900\r\nxx")
    net.run(MAX_VALUE_PAUSE_NS // MS - 1500 + 60)
    assert client.closing or client.lost


def test_a_request_that_begins_behind_a_late_read_has_its_own_time() -> None:
    net, client = late_reader(3 * SECOND, 2000)
    client.feed(b"mg k")
    net.run(10)
    net.loop_timing.begin(net.dispatcher.now())
    client.silent_ms = 0
    client.feed(mg(1, profile="nobody")[4:] + b"mg k")  # ends that line, and begins another
    net.run(MAX_LINE_NS // MS - 60)
    assert not client.closing and not client.lost


def test_who_was_kept_from_writing_by_a_stop_is_given_a_moment_to_go_on() -> None:
    """A process that stood still for 5 s reads what the system had room for; the rest comes once it has."""
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
def test_where_a_stream_stands_is_told_for_every_part_of_a_request(
    written: bytes, part: RequestPart, lines: int
) -> None:
    for whole in (8, 100):
        side = RequestParser(2048, 4096, whole)
        side.feed(written)
        assert side.position() == Position(part, lines)


# ---- what the deadline meets ----


def test_a_value_that_a_cache_host_holds_up_is_not_its_clients_fault() -> None:
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


def test_a_large_value_that_stops_costs_its_cache_host_the_connection_and_has_not_run() -> None:
    net = Net(limits={"stream_above_bytes": 8, "chunk_bytes": 4})
    client = net.client()
    client.feed(mg(1) + b"ms k 20 O2 Pc=once,d=800\r\n0123456789")
    first, second = net.accept(), net.accept()
    first.feed(va(1)) if "O1" in net.trace[-2] + net.trace[-1] else second.feed(va(1))
    net.run(2600)
    assert client.lost and all(wire.lost for wire in net.wires[2:]) and not net.dispatcher.open_txs, net.trace
    assert OVERDUE_ANSWER.decode() in "".join(net.trace)


def test_bytes_that_lie_unread_keep_a_request_until_they_are_read() -> None:
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
def test_on_loopback_whoever_stops_is_ended_in_time_whatever_the_process_is_told_meanwhile(
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
        watched(listen, clients, OWED + 1)
        timer.join()
    assert all(0 < one.closed - one.written <= OWED for one in clients), clients


# ---- the rules, and their check at run time ----


def test_a_close_waits_for_what_is_owed_and_for_what_lies_unread() -> None:
    for reason in CloseReason:
        free_to_go = reason in UNCONDITIONAL_CLOSES
        assert may_close(reason, owes_answer=False)
        assert may_close(reason, owes_answer=True) == may_close(reason, owes_answer=False, unread=True) == free_to_go


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
def test_an_attempt_begins_by_the_rules_alone(attempt: Attempt, departed: bool, why: AttemptRefusal | None) -> None:
    assert attempt_refusal(attempt, 5, lambda: departed) is why


def test_what_is_done_against_the_rules_is_counted_and_kept() -> None:
    net = Net()
    client = net.client()
    client.feed(mg(1))
    owed = client.protocol.pending[0]
    client.protocol.close(CloseReason.IDLE)
    owed.set_answer(b"SERVER_ERROR busy\r\n")
    owed.set_answer(b"SERVER_ERROR failed\r\n")
    net.dispatcher.safety.record_attempt_start(True, lambda: "1", 1)
    safety = net.dispatcher.safety
    assert safety.violations == {Violation.CLOSED_OWING: 1, Violation.ANSWERED_TWICE: 1, Violation.BEGUN_FORBIDDEN: 1}
    assert 'ternquay_violations_total{reason="closed_owing"} 1' in safety.metrics()
    assert "violation: a request was answered a second time 1" in safety.recent_events()
    assert "violations: 3" in safety.summary()


def test_on_loopback_operators_read_why_clients_were_closed(tmp_path: Path) -> None:
    listen, management = free_port(), free_port()
    with serving(balancer_config(listen, free_port(), management=f"127.0.0.1:{management}"), tmp_path) as process:
        watched(listen, [Stopping([b"mg k v"]), Stopping([b"ms k -1 O1 Pc=once,d=9\r\n"])], OWED + 1)
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


# ---- the other side of a request: a cache host that stops in the middle ----


def test_a_cache_host_that_takes_no_more_of_a_large_value_costs_its_client_no_silence() -> None:
    net = Net(limits={"stream_above_bytes": 8, "chunk_bytes": 4})
    client = net.client()
    client.feed(b"ms k 40 O1 Pc=once,d=800\r\n0123456789")
    *_, factory, _, _ = net.reactor.tcpClients.pop(0)
    stuck = Wire(net, "host 1", factory.buildProtocol(None))  # the system takes nothing of it
    net.run(2000)
    client.feed(b"0123456789")  # and more of it is not read
    net.run(3300)
    assert stuck.lost and "client 0 < b'SERVER_ERROR busy" in "".join(net.trace), net.trace  # it never ran
    client.feed(b"0123456789" * 2 + b"\r\nmn\r\n")
    assert not client.lost and "MN" in net.trace[-1], net.trace


def test_whoever_takes_no_answers_is_ended_however_much_it_asks() -> None:
    """What it sends, and what is written for it, are no sign that it takes anything."""
    net = Net()
    client = net.client()
    client.stuck = True
    client.unread = b"m"  # more of it lies unread at each look
    for number in range(20):
        client.feed(mg(number, profile="nobody"))
        net.run(500)
        if client.lost:
            break
    assert client.lost and 10 <= number <= 12  # some 5 s


def test_a_stop_of_the_process_is_no_time_in_which_a_client_takes_nothing() -> None:
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


def test_whoever_takes_its_answers_slowly_is_not_ended() -> None:
    net = Net()
    client = net.client()
    client.stuck = True
    for number in range(20):
        client.feed(mg(number, profile="nobody"))
        net.run(1000)
        client.bytes_taken += 1
    assert not client.lost and not client.closing


@pytest.mark.parametrize("owner", ["frontend", "pool"])
def test_a_fault_in_one_sweep_does_not_end_the_sweeps(owner: str, monkeypatch: pytest.MonkeyPatch) -> None:
    net = Net()
    part = getattr(net, owner)
    looks = []

    def broken() -> None:
        looks.append(net.dispatcher.now())
        raise ValueError("broken on purpose")

    monkeypatch.setattr(part, "close_stale", broken)
    for _ in range(4):
        with suppress(ValueError):
            net.reactor.advance(net.limits.sweep_interval / SECOND)
    assert len(looks) >= 3


def test_the_end_of_one_request_may_close_another_that_is_overdue_too(monkeypatch: pytest.MonkeyPatch) -> None:
    net = Net()
    first, second = net.client(), net.client()
    for one in (first, second):
        one.feed(b"mg k v")
    real = type(first.protocol).fail_request

    def ends_both(client: Any) -> None:
        real(client)
        net.frontend.drop(second.protocol, CloseReason.MEMORY)

    monkeypatch.setattr(type(first.protocol), "fail_request", ends_both)
    net.run(2700)
    assert first.lost and second.lost and not net.frontend.partial_requests
    assert net.dispatcher.safety.client_closes == {CloseReason.REQUEST_OVERDUE: 1, CloseReason.MEMORY: 1}
