"""Memory that many connections share: docs/incidents/half-written-values.md."""

import socket
import threading
import time
from contextlib import suppress
from dataclasses import replace
from pathlib import Path

import pytest

from ternquay.net.meta import InvalidCommand, OverLimit, RequestParser
from ternquay.net.safety import CloseReason, RequestRefusal, Violation
from ternquay.net.shared_budget import SharedBudget
from tests.helper import FACTS, Net, ThreadedServer, Wire, member
from tests.test_endings import sent_commands
from tests.test_hosted_endings import HostedNet, bind_no_sockets  # noqa: F401
from tests.test_net import mg, ms, va
from tests.test_review_links import balancer_config, free_port, replies, serving

BUSY = b"SERVER_ERROR busy"
VALUE_BYTES = 64_000


def half_written(number: int, size: int = 1000, sent: int = 400) -> bytes:
    """Returns a write that stops in the middle of its value."""
    return b"ms k %d O%d Pc=once,d=800\r\n" % (size, number) + b"x" * sent


def written(net: Net, client: int) -> str:
    return "".join(replies(net, client))


def test_a_budget_counts_each_holder_once_and_knows_which_one_is_behind() -> None:
    budget: SharedBudget[str] = SharedBudget()
    for holder, size in (("a", 10), ("b", 30), ("c", 30), ("a", 5)):
        budget.record_progress(holder, size)
    assert budget.total == 65 and list(budget) == ["b", "c", "a"] and budget.largest() == "b"
    budget.set_size("b", 20)
    assert list(budget) == ["b", "c", "a"] and budget.largest() == "c"
    budget.record_progress("c", 0)
    budget.release("b")
    budget.release("b")
    assert budget.total == 5 and list(budget) == ["a"]
    budget.set_size("a", 0)
    assert budget.total == 0 and budget.largest() is None and not list(budget)


# ---- incomplete requests ----


# Guards against: a client that keeps nothing is cut off, with the request that it waits for, once others keep too much.
def test_half_written_values_over_the_limit_cost_no_other_client_its_answer() -> None:
    net = Net(hosts=1, limits={"tx_bytes": 0, "buffered_bytes": 1000})
    usual = net.client()
    usual.feed(mg(1))
    host = net.accept()
    for number in range(10, 15):
        net.client().feed(half_written(number))
        usual.feed(b"mn\r\n")  # it is read in the same turn of the loop as those that stop
    host.feed(va(1))
    assert not usual.lost and written(net, 0).count("VA 3 O1") == 1 and written(net, 0).count("MN") == 5
    assert not any(wire.lost for wire in net.wires if wire.name.startswith("client"))
    assert [BUSY.decode() in written(net, number) for number in range(1, 6)] == [True, True, True, False, False]
    assert net.frontend.incomplete_requests.total == 800 and not net.dispatcher.safety.violations
    assert net.dispatcher.safety.request_refusals == {RequestRefusal.MEMORY: 3}


# Guards against: what an aborted client kept counts until the transport reports its end, a turn later.
def test_the_memory_of_an_aborted_client_counts_no_more() -> None:
    net = Net(limits={"tx_bytes": 0, "buffered_bytes": 1000})
    gone, other = net.client(), net.client()
    gone.feed(half_written(1, sent=900))
    gone.protocol.abort(CloseReason.REMOVED)
    other.feed(half_written(2, sent=900))
    assert gone.lost and not other.lost and not replies(net, 1)


def test_a_refused_writer_has_one_answer_and_its_connection_goes_on_behind_the_value() -> None:
    net = Net(hosts=1, limits={"tx_bytes": 0, "buffered_bytes": 1000})
    writer = net.client()
    writer.feed(half_written(1, size=2000, sent=1500))
    assert written(net, 0).count("busy") == 1 and not net.frontend.incomplete_requests.total
    net.run(2000)
    writer.feed(b"x" * 500 + b"\r")
    writer.feed(b"\n" + mg(2))
    net.accept().feed(va(2))
    net.run(3000)
    assert len(replies(net)) == 2 and "VA 3 O2" in replies(net)[1] and not writer.lost
    assert not any("O1" in one for one in sent_commands(net)), "a refused request never runs"


def test_a_refused_writer_that_stops_is_closed_in_time_without_a_second_answer() -> None:
    net = Net(limits={"tx_bytes": 0, "buffered_bytes": 1000})
    writer = net.client()
    writer.feed(half_written(1, size=2000, sent=1500))
    net.run(2450)
    assert not writer.lost
    net.run(100)
    assert writer.lost and len(replies(net)) == 1 and not net.frontend.refused_values


def test_the_request_before_a_refused_one_keeps_its_answer() -> None:
    net = Net(hosts=1, limits={"tx_bytes": 0, "buffered_bytes": 1000})
    client = net.client()
    client.feed(mg(1) + half_written(2, size=2000, sent=1500))
    assert not replies(net)
    net.accept().feed(va(1))
    assert 0 < written(net, 0).index("VA 3 O1") < written(net, 0).index("busy") and not client.lost


def test_without_values_the_oldest_incomplete_line_is_refused_behind_the_answers_that_are_owed() -> None:
    net = Net(hosts=1, limits={"tx_bytes": 0, "buffered_bytes": 100})
    first, second = net.client(), net.client()
    first.feed(mg(1) + b"mg key" + b" " * 60)
    host = net.accept()
    second.feed(b"mg key" + b" " * 60)
    assert not first.lost and not first.closing
    host.feed(va(1))
    assert first.lost and not second.lost
    assert 0 < written(net, 0).index("VA 3 O1") < written(net, 0).index("busy")
    assert net.dispatcher.safety.client_closes == {CloseReason.MEMORY: 1} and not net.dispatcher.safety.violations


def test_a_streamed_value_is_never_refused_for_its_last_byte() -> None:
    net = Net(hosts=1, limits={"tx_bytes": 0, "buffered_bytes": 100, "stream_above_bytes": 8, "chunk_bytes": 64})
    writer, other = net.client(), net.client()
    writer.feed(b"ms k 10 O1 Pc=once,d=800\r\n0123456789\r")
    host = net.accept()
    for _ in range(2):
        other.feed(b"x" * 75)
    writer.feed(b"\n")
    host.feed(b"HD O1 cabc\r\n")
    assert "HD O1" in written(net, 0) and not writer.lost


def test_an_invalid_write_that_is_refused_for_memory_is_told_that_it_is_invalid() -> None:
    net = Net(limits={"tx_bytes": 0, "buffered_bytes": 1000})
    client = net.client()
    client.feed(b"ms k 2000 Pc=once\r\n" + b"x" * 1500)
    assert len(replies(net)) == 1 and "CLIENT_ERROR" in replies(net)[0] and not client.lost


@pytest.mark.parametrize("sent", [0, 1, 5, 9, 10, 11])
def test_a_parser_discards_the_rest_of_a_value_wherever_it_is_cut(sent: int) -> None:
    text = b"ms k 10 O1 Pc=once,d=800\r\n0123456789\r\n"
    parser = RequestParser(2048, 1000)
    head = len(text) - 12
    assert parser.feed(text[: head + sent]) == []
    request = parser.discard_value()
    assert request is not None and not isinstance(request, InvalidCommand | OverLimit) and request.id == b"1"
    assert parser.discards_value() and parser.discard_value() is None and len(parser.buffer) <= 1
    assert parser.feed(text[head + sent :]) == [] and parser.is_idle() and not parser.discards_value()
    assert len(parser.feed(text)) == 1


# Guards against: clients that stopped keep their places, and idle usual clients are closed for newcomers instead.
def test_a_client_that_stopped_in_a_refused_request_loses_its_place_before_an_idle_one() -> None:
    net = Net(hosts=1, limits={"tx_bytes": 0, "buffered_bytes": 1000, "clients": 2})
    idle, stopped = net.client(), net.client()
    idle.feed(mg(1))
    net.accept().feed(va(1))
    stopped.feed(half_written(2, size=2000, sent=1500))
    net.run(150)
    newcomer = net.client()
    assert not idle.lost and not newcomer.protocol.over_limit
    net.run(1)
    assert stopped.lost and not net.dispatcher.safety.violations


# ---- answers that clients do not read ----


def unread_answers(net: Net, *clients: Wire) -> None:
    """Writes an answer of 400 bytes to each client, which the operating system does not take from now on."""
    for number, client in enumerate(clients, 100):
        client.stuck = True
        client.feed(mg(number))
        host = net.accept() if net.reactor.tcpClients else net.wires[-1]  # the connection that was used last
        host.feed(va(number, b"x" * 400))


# Guards against: the client that is written to next is cut off, with its answer, for what others do not read.
def test_answers_that_others_do_not_read_cost_no_client_its_own() -> None:
    net = Net(hosts=1, limits={"tx_bytes": 0, "buffered_bytes": 1000})
    usual, *deaf = [net.client() for _ in range(4)]
    usual.feed(mg(1))
    first = net.accept()
    unread_answers(net, *deaf)
    assert net.frontend.answers_exceeded()
    first.feed(va(1))
    usual.feed(mg(2))  # new requests are refused until there is room
    assert not usual.lost and "VA 3 O1" in replies(net)[0] and "busy" in replies(net)[1]
    assert not any("O2" in one for one in sent_commands(net))
    assert net.dispatcher.safety.request_refusals == {RequestRefusal.MEMORY: 1}
    net.run(1300)
    assert [one.lost for one in deaf] == [True, False, False], "no more of them than the limit wants"
    assert net.dispatcher.safety.client_closes == {CloseReason.ANSWERS_UNREAD: 1}
    usual.feed(mg(3))
    first.feed(va(3))  # the connection that was used last
    assert "VA 3 O3" in replies(net)[2] and not net.dispatcher.safety.violations


def test_a_client_that_takes_some_bytes_is_not_closed_for_the_memory_of_answers() -> None:
    net = Net(hosts=1, limits={"tx_bytes": 0, "buffered_bytes": 1000})
    slow, *deaf = [net.client() for _ in range(3)]
    unread_answers(net, slow, *deaf)
    for _ in range(16):
        net.run(100)
        slow.bytes_taken += 1
    assert [one.lost for one in (slow, *deaf)] == [False, True, False]


# Guards against: answers that become known in one turn close the connections that they are written to.
def test_many_answers_of_one_turn_are_all_written() -> None:
    net = Net(sockets=192, limits={"tx_bytes": 0, "buffered_bytes": 100})
    clients = [net.client() for _ in range(30)]
    for client in clients:
        client.protocol.dataReceived(b"mn\r\n")  # the system takes nothing before the turn ends
    net.take()
    assert all("MN" in written(net, number) for number in range(30))
    assert not any(client.lost for client in clients) and not net.frontend.unsent_answers.total


# Guards against: a close for memory that takes an answer with it is counted as in order (net/safety.py).
@pytest.mark.parametrize("known", [False, True])
def test_a_close_for_memory_that_owes_an_answer_is_a_violation(known: bool) -> None:
    net = Net(hosts=1)
    client = net.client()
    client.feed(mg(1) + mg(2))
    if known:  # but behind one that is not
        net.accept()
        net.accept().feed(va(2))
        client.protocol.pending.popleft()
    client.protocol.abort(CloseReason.MEMORY)
    assert net.dispatcher.safety.violations == {Violation.CLOSED_OWING: 1}


# ---- incomplete responses of cache hosts ----


# Guards against: a cache host that answers loses its connection and its hops for what others have not finished.
def test_responses_that_stand_still_cost_no_other_connection_its_hops() -> None:
    net = Net(hosts=1, limits={"tx_bytes": 0, "buffered_bytes": 2000})
    clients = [net.client() for _ in range(3)]
    for number, client in enumerate(clients):
        client.feed(ms(number) if number == 2 else mg(number))
    stopped, slow, healthy = net.accept(), net.accept(), net.accept()
    for number, host in enumerate((stopped, slow)):
        host.feed(va(number, b"x" * 1200)[:980])
    slow.feed(b"x")
    healthy.protocol.dataReceived(b"HD O2 c" + b"r" * 120)
    assert stopped.lost and not slow.lost and not healthy.lost
    healthy.feed(b"\r\n")
    slow.feed(va(1, b"x" * 1200)[981:])
    assert "HD O2" in written(net, 2) and "VA 1200 O1" in written(net, 1)
    assert not net.pool.incomplete_responses.total


# ---- the same in the hosted service ----


def hosted(held: int) -> HostedNet:
    """Returns a service with a tenant that may hold so many bytes of each kind."""
    net = HostedNet()
    net.frontend.limits = replace(net.frontend.limits, buffered_bytes=held)
    return net


# Guards against: the client that holds most is dropped with whole commands that were read and wait for their turn.
def test_hosted_commands_that_wait_for_their_turn_are_refused_and_not_dropped() -> None:
    net = hosted(1000)
    other, waits = net.client(), net.client()
    net.start_turn()
    other.feed(half_written(9, sent=300))
    net.reactor.advance(0.01)
    waits.feed(b"".join(mg(number) for number in range(20)) + half_written(20, sent=400))
    assert not waits.lost and not other.lost and not written(net, 0)
    assert net.dispatcher.safety.request_refusals == {RequestRefusal.MEMORY: 21}
    assert net.frontend.incomplete_requests.total < 500 and not net.dispatcher.safety.violations
    net.run(10)
    waits.feed(b"x" * 600 + b"\r\nmn\r\n")
    net.run(10)
    assert written(net, 1).count("MN") == 1 and not sent_commands(net)


def test_a_hosted_client_keeps_the_answers_that_it_waits_for_when_its_next_request_is_refused() -> None:
    net = hosted(1000)
    client = net.client()
    net.start_turn()
    client.feed(mg(1))
    host = net.accept()
    net.start_turn()
    client.feed(half_written(2, size=2000, sent=1500))
    assert not client.lost and not written(net, 0)
    host.feed(va(1))
    assert 0 < written(net, 0).index("VA 3 O1") < written(net, 0).index("busy") and not client.lost
    assert not net.dispatcher.safety.violations


# Guards against: the client that holds most is dropped with the answer that it waits for, where the process is full.
def test_a_hosted_process_over_its_memory_drops_no_client_that_waits_for_an_answer() -> None:
    net = HostedNet()
    client = net.client()
    net.start_turn()
    client.feed(mg(1))
    host = net.accept()
    net.start_turn()
    client.feed(half_written(2, sent=900))
    net.host.memory_bytes = 1000
    net.run(300)
    assert not client.lost and not net.frontend.incomplete_requests.total
    host.feed(va(1))
    assert 0 < written(net, 0).index("VA 3 O1") < written(net, 0).index("busy") and not client.lost
    assert not net.dispatcher.safety.violations


def test_a_hosted_process_over_its_memory_closes_who_reads_nothing_and_refuses_meanwhile() -> None:
    net = HostedNet()
    reading, deaf = net.client(), net.client()
    net.host.memory_bytes = 100
    for client in (deaf, reading):
        net.start_turn()
        client.stuck = client is deaf
        client.feed(mg(1))
        (net.accept() if net.reactor.tcpClients else net.wires[-1]).feed(va(1, b"x" * 300))
    net.run(300)
    assert not deaf.lost and net.frontend.memory_short
    net.start_turn()
    reading.feed(mg(2))
    assert "busy" in written(net, 0) and not reading.lost
    for _ in range(30):
        net.run(50)
        net.start_turn()  # else the process counts as stopped
    assert deaf.lost and not reading.lost and not net.frontend.memory_short
    assert net.dispatcher.safety.client_closes == {CloseReason.ANSWERS_UNREAD: 1}


# ---- as processes ----


class SlowReader(ThreadedServer):
    """A cache host that answers each read after 30 ms."""

    def answer(self, client: socket.socket) -> None:
        with suppress(OSError), client, client.makefile("rb") as reader:
            while line := reader.readline():
                number = next(word for word in line.split() if word.startswith(b"O"))
                time.sleep(0.03)
                client.sendall(b"VA 3 %b h1\r\nval\r\n" % number)


class UsualClient(threading.Thread):
    """Sends one read after another on one connection, and counts the answers."""

    def __init__(self, port: int, number: int, until: float) -> None:
        super().__init__(daemon=True)
        self.port, self.number, self.until = port, number, until
        self.answered, self.lost = 0, ""

    def run(self) -> None:
        with socket.create_connection(("127.0.0.1", self.port), timeout=3) as connection:
            while time.monotonic() < self.until and not self.lost:
                try:
                    connection.sendall(mg(self.number * 10_000 + self.answered))
                    text = connection.recv(200)
                except OSError as fault:
                    text = repr(fault).encode()
                if text.startswith((b"VA 3", BUSY)):
                    self.answered += 1
                else:
                    self.lost = f"{text!r} for request {self.answered}"


def end_of(stopped: socket.socket) -> bytes:
    """Returns the first bytes that a stopped client was sent, if any, and closes its connection."""
    with stopped, suppress(OSError):
        return stopped.recv(200)
    return b""


# Guards against: usual clients are reset with requests that were forwarded, while others stop in large values.
def test_on_loopback_clients_that_stop_in_large_values_cost_usual_clients_no_answer(tmp_path: Path) -> None:
    listen, host = free_port(), SlowReader()
    host.start()
    where = member(1) | {"host_port": f"127.0.0.1:{host.port}"}
    config = balancer_config(
        listen,
        free_port(),
        known={"revision": 1, "complete": True, "members": [where]},
        limits={"cores": 1.0, "memory_mb": 36, "sockets": 256},
        settings=FACTS,
    )
    with serving(config, tmp_path) as process:
        until = time.monotonic() + 3.5
        usual = [UsualClient(listen, number, until) for number in range(8)]
        for client in usual:
            client.start()
        stopped = []
        for number in range(100):
            connection = socket.create_connection(("127.0.0.1", listen), timeout=10)
            connection.sendall(half_written(number, VALUE_BYTES, VALUE_BYTES - 500))
            stopped.append(connection)
            time.sleep(0.02)
        for client in usual:
            client.join(10)
        ends = [end_of(connection) for connection in stopped]
        process.terminate()
        assert process.wait(10) == 0
    assert [client.lost for client in usual] == [""] * len(usual)
    assert min(client.answered for client in usual) > 30
    assert sum(text.startswith(BUSY) for text in ends) > 50, "they are over the limit of a MiB"
    log = (tmp_path / "log").read_text()
    assert "some are refused" in log and "violations: 0" in log and "ERROR" not in log
