"""Large values, which are streamed in both directions: split at arbitrary points, and read and written slowly."""

import socket
import threading
import time
from contextlib import closing, suppress
from pathlib import Path
from random import Random

import pytest

from ternquay.net import meta
from ternquay.net.value_stream import StreamBudget, ValueStream
from tests.helper import FACTS, Net, Wire, member
from tests.test_management import hello_reply
from tests.test_net import mg, va
from tests.test_review_links import balancer_config, free_port, serving, wait_until

MIB = 1 << 20
SMALL = {"stream_above_bytes": 8, "chunk_bytes": 4, "value_bytes": 100, "answer_bytes": 100}


LATE_MS = 300  # past half of the service goal: a value that begins to arrive then is passed on at once


def put(number: int, value: bytes, profile: str = "once") -> bytes:
    return b"ms k %d O%d Pc=%s,d=800,k=77\r\n%b\r\n" % (len(value), number, profile.encode(), value)


def hosts(net: Net) -> list[Wire]:
    return [wire for wire in net.wires if wire.name.startswith("host") and not wire.lost]


def written(net: Net, name: str) -> bytes:
    """Returns all bytes that were sent to one side."""
    lines = [line.split("  ", 1)[1] for line in net.trace if f"{name} < " in line]
    return b"".join(eval(line.split(" < ", 1)[1]) for line in lines)


@pytest.mark.parametrize("cut", [1, 2, 3, 7, 50, 4000])
def test_a_large_value_parses_the_same_however_the_data_is_split(cut: int) -> None:
    value = bytes(range(256)) * 5
    sent = put(1, value) + b"mn\r\n" + put(2, b"tiny")
    parser = meta.RequestParser(2048, 4096, stream_above_bytes=100)
    found = [x for at in range(0, len(sent), cut) for x in parser.feed(sent[at : at + cut])]
    command = found[0]
    assert isinstance(command, meta.Command) and command.stream_length == len(value) and command.value is None
    assert b"".join(x.data for x in found if isinstance(x, meta.ValueChunk)) == value
    kinds = [type(x) for x in found if not isinstance(x, meta.ValueChunk)]
    assert kinds == [meta.Command, meta.ValueEnd, meta.NoOp, meta.Command] and parser.is_idle()
    assert command.forward(5) + value + b"\r\n" == put(1, value).replace(b"d=800", b"d=5")

    responses = meta.ResponseParser(2048, 4096, stream_above_bytes=100)
    for line in (mg(3), mg(4)):
        asked = meta.RequestParser(2048, 4096).feed(line)[0]
        assert isinstance(asked, meta.Command)
        responses.expect(asked)
    answers = va(3, value) + va(4, b"v")
    got = [x for at in range(0, len(answers), cut) for x in responses.feed(answers[at : at + cut])]
    assert (
        b"".join(x.data for x in got if isinstance(x, meta.ValueChunk)) == value
        and not responses.fault
        and not responses.buffer
    )
    assert got[0] == meta.ValueHeader(len(value), 1) and isinstance(got[-1], meta.Answer)


def test_a_large_value_without_its_final_newline_is_an_error_on_both_sides() -> None:
    parser = meta.RequestParser(2048, 4096, stream_above_bytes=10)
    found = parser.feed(put(1, b"x" * 20)[:-2] + b"xx")
    assert found[-1] == meta.InvalidCommand(b"CLIENT_ERROR bad data chunk", True)
    responses = meta.ResponseParser(2048, 4096, stream_above_bytes=10)
    asked = meta.RequestParser(2048, 4096).feed(mg(1))[0]
    assert isinstance(asked, meta.Command)
    responses.expect(asked)
    assert isinstance(responses.feed(va(1, b"x" * 20)[:-2] + b"xx")[-1], meta.ValueChunk) and responses.fault


def test_nothing_of_an_invalid_command_is_passed_on() -> None:
    parser = meta.RequestParser(2048, 4096, stream_above_bytes=10)
    bad = b"ms k 20 Pc=once,d=8\r\n" + b"mg k v" * 3 + b"mn\r\n"[:2] + b"\r\n"
    assert [x for at in range(len(bad)) for x in parser.feed(bad[at : at + 1])] == [
        meta.InvalidCommand(b"CLIENT_ERROR bad id")
    ]
    assert parser.is_idle()


def test_the_source_is_paused_while_the_receiver_takes_nothing() -> None:
    pauses: list[bool] = []
    stream = ValueStream(20, StreamBudget(4096, 4), pauses.append)
    stream.feed(b"abc")
    assert not pauses
    stream.feed(b"def")
    stream.feed(b"g")
    assert pauses == [True] and stream.take() == b"abcdefg" and pauses == [True]
    stream.mark_written()
    assert pauses == [True, False] and stream.partly_taken
    stream.feed(b"hijkl")
    stream.finish()
    assert pauses == [True, False, True, False]  # this stream no longer pauses what follows on the connection
    stream.abort()
    assert not stream.all_taken() and stream.take() == b"hijkl" and stream.all_taken() and not stream.aborted


def test_a_large_read_is_answered_with_its_header_and_may_take_longer_than_its_limits() -> None:
    net = Net(limits=SMALL)
    client = net.client()
    client.feed(mg(1))
    first = net.accept()
    net.run(LATE_MS)
    first.feed(b"VA 30 O1 h1\r\n")
    assert written(net, "client 0") == b"VA 30 O1\r\n"
    first.feed(b"0123456789")
    assert written(net, "client 0") == b"VA 30 O1\r\n0123456789" and not net.dispatcher.open_txs
    net.run(2000)  # past its hard limit
    first.feed(b"0123456789" * 2)
    client.feed(mg(2))
    assert not net.dispatcher.open_txs  # it is begun once the value can't break off any more
    first.feed(b"\r\n")
    net.run(1)
    first.feed(va(2))
    assert written(net, "client 0") == b"VA 30 O1\r\n" + b"0123456789" * 3 + b"\r\n" + va(2).replace(b" h1", b"")
    assert not net.dispatcher.open_txs and not first.lost and net.pool.hosts[0].idle
    client.feed(mg(3))
    net.matches("net_large_read")


def test_a_slow_reader_pauses_its_cache_host_and_little_is_buffered() -> None:
    net = Net(limits=SMALL)
    client = net.client()
    client.feed(mg(1))
    host, take = net.accept(), client.take
    net.run(LATE_MS)
    client.take = lambda: None  # type: ignore[method-assign]
    host.feed(b"VA 80 O1\r\n")
    sent = 0
    while not host.paused:
        host.feed(b"abcd")
        sent += 4
    assert sent <= 8 and len(client.pending) < 60
    client.take = take  # type: ignore[method-assign]
    client.take()
    assert not host.paused
    host.feed(b"abcd" * ((80 - sent) // 4) + b"\r\n")
    assert (
        written(net, "client 0") == b"VA 80 O1\r\n" + b"abcd" * 20 + b"\r\n" and not net.frontend.unsent_answers.total
    )


@pytest.mark.parametrize("how", ["breaks", "wrong end", "silent"])
def test_an_interrupted_large_read_is_not_taken_for_complete(how: str) -> None:
    net = Net(limits=SMALL)
    client = net.client()
    client.feed(mg(1))
    host = net.accept()
    net.run(LATE_MS)
    host.feed(b"VA 30 O1\r\n0123456789")
    if how == "breaks":
        host.end()
    elif how == "silent":
        net.run(59_000)
        assert not client.lost and not host.lost
        net.run(1600)
    else:
        host.feed(b"0123456789" * 2 + b"xx")
    net.take()
    assert client.lost and host.lost and not written(net, "client 0").endswith(b"\r\n")
    assert not net.dispatcher.open_txs and net.sockets.clients == net.sockets.hosts == 0


def test_small_requests_do_not_wait_behind_a_large_value() -> None:
    net = Net(limits=SMALL | {"sockets": 4})
    first, second = net.client(), net.client()
    first.feed(mg(1) + mg(2))
    host, other = net.accept(), net.accept()
    host.feed(b"VA 30 O1\r\n0123456789")
    second.feed(mg(4))  # no socket is left: it shares the connection without a large value
    assert other.protocol.load() == 2 and host.protocol.load() == 1


def test_a_client_that_leaves_a_large_read_ends_it_at_the_cache_host() -> None:
    net = Net(limits=SMALL)
    client = net.client()
    client.feed(mg(1))
    host = net.accept()
    host.feed(b"VA 30 O1\r\n0123456789")
    client.end()
    assert host.lost and not net.sockets.hosts


# ---- writes ----


@pytest.mark.parametrize("cut", [1, 3, 1000])
def test_a_large_write_is_streamed_and_its_time_limits_start_at_its_last_byte(cut: int) -> None:
    net = Net(limits=SMALL)
    client, value = net.client(), b"0123456789" * 4
    text = put(1, value)
    client.feed(text[:-20], cut=cut)
    host = net.accept()
    net.run(1200)  # a slow writer that makes progress, far past its hard limit
    client.feed(text[-20:-10], cut=cut)
    net.run(1200)
    assert not host.lost and not net.dispatcher.balancer.in_flight
    client.feed(text[-10:], cut=cut)
    assert written(net, "host 1") == text
    assert net.dispatcher.balancer.in_flight > 0
    net.run(300)
    host.feed(b"HD O1 cabc\r\n")
    assert written(net, "client 0") == b"HD O1 cabc\r\n" and not net.dispatcher.open_txs
    assert (
        net.dispatcher.balancer.mean_duration < 400_000_000
    )  # the time of the slow writer does not count as its cache host's


def test_an_unanswered_large_write_times_out_by_limits_from_its_last_byte() -> None:
    net = Net(limits=SMALL)
    client, value = net.client(), b"0123456789" * 4
    client.feed(put(1, value)[:-1])
    net.accept()
    net.run(2000)
    client.feed(b"\n")
    net.run(300)
    assert not written(net, "client 0")
    net.run(600)
    assert written(net, "client 0") == b"SERVER_ERROR failed\r\n"


def test_a_large_write_may_be_rerouted_only_before_its_first_byte_was_sent() -> None:
    net = Net(hosts=3, limits=SMALL)
    client, value = net.client(), b"0123456789" * 4
    text = put(1, value)
    client.feed(text[:-20])
    net.refuse()
    host = net.accept()
    assert written(net, host.name).startswith(b"ms k 40 O1")
    host.end()
    net.take()
    # Its last byte was never sent, so it has not run and is rolled back, although it is non-idempotent.
    answer = written(net, "client 0")
    assert answer.startswith(b"SERVER_ERROR busy") and not net.reactor.tcpClients
    client.feed(text[-20:] + b"mn\r\n")  # the rest is read and discarded
    assert written(net, "client 0") == answer + b"MN\r\n" and not client.lost


def test_a_large_write_may_have_run_after_its_last_byte_was_sent() -> None:
    net = Net(hosts=3, limits=SMALL)
    client = net.client()
    client.feed(put(1, b"0123456789" * 4))
    net.accept().end()
    net.take()
    assert written(net, "client 0") == b"SERVER_ERROR failed\r\n" and not net.reactor.tcpClients


def test_a_cache_host_that_answers_before_the_last_byte_is_dropped_and_its_answer_ignored() -> None:
    net = Net(hosts=1, limits=SMALL)
    client = net.client()
    client.feed(put(1, b"0123456789" * 4)[:-20])
    host = net.accept()
    host.feed(b"HD O1 cabc\r\n")
    assert host.lost and written(net, "client 0").startswith(b"SERVER_ERROR busy")


def test_a_writer_that_disconnects_closes_its_cache_host_connection_without_counting_a_failure() -> None:
    net = Net(limits=SMALL)
    for number in range(20):
        client = net.client()
        client.feed(put(number, b"0123456789" * 4)[:-20])
        host = net.accept()
        client.end()
        assert host.lost and not net.dispatcher.open_txs
    [one] = net.dispatcher.balancer.hosts.values()
    assert not one.failures and not one.in_flight and not one.ejected_until and not net.sockets.hosts


def test_a_large_write_without_its_final_newline_is_cut_off_before_it_is_complete() -> None:
    net = Net(limits=SMALL)
    client = net.client()
    client.feed(put(1, b"0123456789" * 4)[:-2])
    host = net.accept()
    client.feed(b"xx")
    assert written(net, "client 0") == b"CLIENT_ERROR bad data chunk\r\n" and client.lost and host.lost
    assert not written(net, "host 1").endswith(b"\r\n0123456789" * 4 + b"\r\n")


def test_a_cache_host_that_reads_slowly_pauses_the_writer() -> None:
    net = Net(limits=SMALL)
    client = net.client()
    client.feed(put(1, b"0123456789" * 4)[:-30])
    paused = [client.paused]  # no receiver has taken any of it yet
    host = net.accept()
    paused.append(client.paused)
    assert paused == [True, False]
    take = host.take
    host.take = lambda: None  # type: ignore[method-assign]
    client.feed(b"01234567")
    client.feed(b"89012345")
    assert client.paused and len(host.pending) <= 8
    host.take = take  # type: ignore[method-assign]
    host.take()
    assert not client.paused


def test_a_draining_host_gets_the_rest_of_a_started_write_and_nothing_new() -> None:
    net = Net(hosts=1, limits=SMALL)
    client = net.client()
    text = put(1, b"0123456789" * 4)
    client.feed(text[:-20])
    host = net.accept()
    net.list(member(1, "draining"))
    net.run(500)
    client.feed(text[-20:])
    host.feed(b"HD O1 cabc\r\n")
    assert written(net, "client 0") == b"HD O1 cabc\r\n" and host.lost


# ---- on loopback ----


class Store(threading.Thread):
    """A cache host that stores and returns any value, and sends it in chunks of odd sizes."""

    def __init__(self, seed: int) -> None:
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.listener.getsockname()[1]
        self.random, self.sums = Random(seed), dict[bytes, int]()
        self.start()

    def run(self) -> None:
        with suppress(OSError):
            while True:
                threading.Thread(target=self.serve, args=(self.listener.accept()[0],), daemon=True).start()

    def serve(self, one: socket.socket) -> None:
        with suppress(OSError, ValueError), one, one.makefile("rb") as reader:
            while line := reader.readline():
                words = line.split()
                number = next(word for word in words if word.startswith(b"O"))
                if words[0] == b"ms":
                    value = reader.read(int(words[2]))
                    assert reader.read(2) == b"\r\n"
                    self.sums[number] = hash(value)
                    one.sendall(b"HD %b cr\r\n" % number)
                    continue
                size = int(words[1][1:])
                text = b"VA %d %b h1\r\n" % (size, number) + value_of(words[1], size) + b"\r\n"
                at = 0
                while at < len(text):
                    step = self.random.choice((1, 7, 1000, 70000, 300000))
                    one.sendall(text[at : at + step])
                    at += step


def value_of(key: bytes, size: int) -> bytes:
    return (key + b".") * (size // (len(key) + 1)) + b"x" * (size % (len(key) + 1))


def resident(pid: int) -> int:
    """Returns the anonymous resident memory of a process in KiB."""
    status = Path(f"/proc/{pid}/status").read_text().split()
    return int(status[status.index("RssAnon:") + 1])


def test_many_slow_readers_and_writers_of_4_mib_values_stay_within_the_memory_limit(tmp_path: Path) -> None:
    listen, store = free_port(), Store(3)
    where = member(1) | {"host_port": f"127.0.0.1:{store.port}"}
    # The cache host and all clients share the process of this test, so the time limits are long.
    profiles = [one | {"ServiceGoal": 8_000_000, "HardLimit": 9_000_000} for one in FACTS["Profiles"]]
    config = balancer_config(
        listen,
        free_port(),
        limits={"cores": 1.0, "memory_mb": 64, "sockets": 256},
        settings=FACTS | {"Discovery": "pushed", "Profiles": profiles},
        known={"revision": 1, "complete": True, "members": [where]},
    )
    size, many, failed = 4 * MIB, 16, []
    value = value_of(b"w", size)

    def read(number: int) -> None:
        with closing(socket.create_connection(("127.0.0.1", listen), timeout=30)) as client:
            reader, head = client.makefile("rb"), b"SERVER_ERROR busy"
            while head.startswith(b"SERVER_ERROR busy"):  # the cache host is slow at first
                client.sendall(b"mg k%d v O%d Pc=read,d=9000\r\n" % (size, number))
                head = reader.readline()
            found = bytearray()
            while len(found) < size + 2 and (data := reader.read1(1 << 18)):
                found += data
                time.sleep(0.02)  # slow, far beyond the hard limit
            if head != b"VA %d O%d\r\n" % (size, number) or found != value_of(b"k%d" % size, size) + b"\r\n":
                failed.append((head, len(found)))

    def write(number: int) -> None:
        with closing(socket.create_connection(("127.0.0.1", listen), timeout=30)) as client:
            text = b"ms w %d O%d Pc=once,d=9000\r\n" % (size, number) + value + b"\r\n"
            answer = b"SERVER_ERROR busy"
            while answer.startswith(b"SERVER_ERROR busy"):
                for at in range(0, len(text), 300_001):
                    client.sendall(text[at : at + 300_001])
                    time.sleep(0.05)
                answer = client.recv(200)
            if answer != b"HD O%d cr\r\n" % number or store.sums.get(b"O%d" % number) != hash(value):
                failed.append((answer, number))

    with serving(config, tmp_path) as process:
        before, most = resident(process.pid), 0
        threads = [threading.Thread(target=read, args=(n,)) for n in range(many)]
        threads += [threading.Thread(target=write, args=(n,)) for n in range(many, 2 * many)]
        for one in threads:
            one.start()
        while any(one.is_alive() for one in threads):
            most = max(most, resident(process.pid))
            assert hello_reply(listen) == b"MN\r\n"
            time.sleep(0.1)
        wait_until(lambda: not any(one.is_alive() for one in threads))
        assert not failed, failed[:3]
        # 128 MiB were in transit. Memory is bounded by two reads in each direction, not by the values.
        assert most - before < 16 << 10, (before, most)


# Guards against: a value whose cache host has vanished keeps a place for long while places are short.
def test_a_silent_large_value_ends_sooner_while_something_is_short() -> None:
    net = Net(limits=SMALL)
    net.pool.is_short = lambda: True
    client = net.client()
    client.feed(mg(1))
    host = net.accept()
    net.run(LATE_MS)
    host.feed(b"VA 30 O1\r\n0123456789")
    net.run(9_500)
    assert not client.lost
    net.run(1_100)
    assert client.lost and host.lost
