"""Clients and cache hosts that read slowly and steadily, and such that stop: the first are not cut off, the others are.

Regression tests of docs/incidents/slow-readers.md.
"""

import asyncio
import socket
import time
from pathlib import Path

import pytest

from ternquay.net.limits import SECOND
from ternquay.net.safety import CloseReason
from ternquay.net.send_progress import PATIENT, SHORT, SendProgress, SendState
from tests.fault_harness import BalancerProcess, CacheHost, HostedProcess, read, value_answer
from tests.helper import Net, Wire
from tests.test_flow import LATE_MS, SMALL, written
from tests.test_net import mg, va

KIB = 1 << 10


def slow_reader(net: Net, value_bytes: int = 80) -> tuple[Wire, Wire]:
    """Returns a client whose system accepts no more bytes, and the cache host that gives it a large value."""
    client = net.client()
    client.sent = SendState(0, 0, 64 * KIB, 1448)
    client.feed(mg(1))
    host = net.accept()
    net.run(LATE_MS)
    client.stuck = True
    host.feed(b"VA %d O1\r\n" % value_bytes + b"0123456789")
    return client, host


def let_read(client: Wire, size: int) -> None:
    """Has the client's system acknowledge more bytes."""
    assert client.sent is not None
    client.sent = client.sent._replace(acknowledged=client.sent.acknowledged + size)


# ---- clients ----


# Guards against: a client that reads slowly and steadily is cut off, as this system reports no room for 5 s.
def test_a_client_that_reads_slowly_is_not_cut_off_while_its_system_acknowledges() -> None:
    net = Net(limits=SMALL)
    client, _ = slow_reader(net)
    for _ in range(8):
        net.run(4000)
        let_read(client, 1000)
    assert not client.lost


# Guards against: the same, where the client's system shows nothing before all of its buffer is read.
def test_a_client_is_not_cut_off_in_the_time_in_which_a_slow_one_reads_its_buffer() -> None:
    net = Net(limits=SMALL)
    client, _ = slow_reader(net)
    net.run(50_000)
    let_read(client, 128 * KIB)
    net.run(50_000)
    assert not client.lost


def test_a_client_that_stops_is_cut_off() -> None:
    net = Net(limits=SMALL)
    client, host = slow_reader(net)
    net.run(PATIENT.max_quiet // 1_000_000 + 600)
    assert client.lost and host.lost
    assert net.dispatcher.safety.client_closes == {CloseReason.ANSWERS_UNREAD: 1}


@pytest.mark.parametrize("shortage", ["places", "memory", "leaving"])
def test_a_client_that_stops_is_cut_off_sooner_where_others_need_the_room(shortage: str) -> None:
    net = Net(limits=SMALL)
    client, _ = slow_reader(net)
    net.run(500)
    if shortage == "places":
        net.frontend.accepting_paused = True
    elif shortage == "memory":
        net.frontend.unsent_answers.set_size(net.client().protocol, net.limits.buffered_bytes + 1)
    else:
        net.frontend.leaving = True
    net.run(int(64 * KIB * 2 * 1000 / SHORT.bytes_per_second) - 1500)
    assert not client.lost
    net.run(2000)
    assert client.lost


def test_a_client_whose_system_tells_nothing_is_cut_off_as_before() -> None:
    net = Net(limits=SMALL)
    client, _ = slow_reader(net)
    client.sent = None
    net.run(int(net.limits.stall_timeout // 1_000_000) - 100)
    assert not client.lost
    net.run(700)
    assert client.lost


# Guards against: a slow reader pays for the memory that a client which has stopped takes.
def test_of_two_clients_that_leave_answers_unread_the_one_that_has_stopped_is_closed() -> None:
    net = Net(limits={"tx_bytes": 0, "buffered_bytes": 500})
    clients = [net.client() for _ in range(2)]
    for number, client in enumerate(clients, 1):
        client.sent, client.stuck = SendState(0, 0, 4 * KIB, 1448), True
        client.feed(mg(number))
        (net.accept() if net.reactor.tcpClients else net.wires[-1]).feed(va(number, b"x" * 400))
    slow, stopped = clients
    for _ in range(6):
        net.run(400)
        let_read(slow, 100)
    assert stopped.lost and not slow.lost


# Guards against: a connection without a request is reset while its client is still being sent an answer.
@pytest.mark.parametrize(("segments_out", "reset"), [(0, True), (3, False)])
def test_a_close_does_not_take_back_what_the_system_still_sends(segments_out: int, reset: bool) -> None:
    net = Net()
    client = net.client()
    client.sent = SendState(0, 0, 64 * KIB, 1448)
    client.feed(mg(1))
    net.accept().feed(va(1))
    client.feed(b"mg half")
    client.segments_out = segments_out
    net.frontend.drop(client.protocol, CloseReason.NO_REQUEST)
    assert client.lost is reset and client.closing is not reset
    net.run(1)
    assert client.lost and net.sockets.clients == 0


# Guards against: the process exits while the end of a value waits for room in its system's buffer.
def test_a_value_is_under_way_until_the_system_has_accepted_its_end() -> None:
    net = Net(limits=SMALL)
    client = net.client()
    client.feed(mg(1))
    host = net.accept()
    net.run(LATE_MS)
    host.feed(b"VA 10 O1\r\n")
    client.stuck = True
    host.feed(b"01234")
    host.feed(b"56789\r\n")
    client.pending = b""  # the system accepts the first half
    client.protocol.resumeProducing()
    assert client.pending == b"56789\r\n" and not client.protocol.pending and net.frontend.writes_answers()
    client.stuck = False
    client.take()
    assert not net.frontend.writes_answers()


# ---- cache hosts ----


# Guards against: a cache host that reads a large value slowly and steadily is taken for one that has stopped.
@pytest.mark.parametrize("reads", [True, False])
def test_a_cache_host_that_reads_a_value_slowly_is_given_the_time(reads: bool) -> None:
    net = Net(limits=SMALL)
    client = net.client()
    client.feed(b"ms k 20 O1 Pc=mark,d=30000,k=5\r\n0123")
    host = net.accept()
    host.sent, host.stuck = SendState(0, 0, 1000, 1000), True
    client.feed(b"4567")
    client.feed(b"89ab")
    assert client.paused
    for _ in range(5):
        net.run(2000)
        if reads:
            let_read(host, 2)
    assert client.lost is host.lost is False if reads else host.lost
    assert (b"SERVER_ERROR" in written(net, "client 0")) is not reads


# ---- the parts ----


def test_progress_is_what_either_system_took() -> None:
    progress = SendProgress()
    assert progress.idle_time(5, SendState(10)) == 0 and progress.idle_time(9, SendState(10)) == 4
    assert progress.idle_time(10, SendState(11)) == 0 and progress.idle_time(12, SendState(11)) == 2
    assert progress.idle_time(13, SendState(11, 1)) == 0 and progress.idle_time(14, SendState(11, 1, 1)) == 0
    assert progress.idle_time(20, SendState(11, 1, 1)) == 6
    assert progress.idle_time(21, SendState(11, 1, 1), excused=True) == 0
    progress.restart()
    assert progress.idle_time(99, SendState(11, 1, 1)) == 0


def test_a_peer_may_be_quiet_for_as_long_as_a_slow_one_reads_its_buffer() -> None:
    progress = SendProgress()
    assert progress.quiet_time(PATIENT) == 0
    progress.idle_time(1, SendState(0, 0, 2 * KIB))
    assert progress.quiet_time(PATIENT) == 4 * SECOND and progress.quiet_time(SHORT) == SECOND // 4
    progress.idle_time(2, SendState(0, 8 * KIB, 0))
    assert progress.quiet_time(PATIENT) == 8 * SECOND
    progress.idle_time(3, SendState(0, 9 * KIB, 1 << 20))
    assert progress.quiet_time(PATIENT) == PATIENT.max_quiet and progress.quiet_time(SHORT) == SHORT.max_quiet


# ---- on loopback ----


# Guards against: review/8, on real sockets, also hosted; and a client that stops is kept for ever.
@pytest.mark.parametrize("process_class", [BalancerProcess, HostedProcess])
def test_on_loopback_a_slow_reader_gets_its_value_and_one_that_stops_is_cut_off(
    process_class: type[BalancerProcess], tmp_path: Path
) -> None:
    value_bytes, slow_seconds, bytes_per_second = 1_000_000, 9.0, 20_000

    def connect(address: tuple[str, int], buffer: int = 0) -> socket.socket:
        client = socket.socket()
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        if buffer:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        client.settimeout(5)
        client.connect(address)
        client.sendall(read(f"r{buffer}"))
        return client

    def read_slowly(client: socket.socket) -> int:
        received, until = 0, time.monotonic() + slow_seconds
        while time.monotonic() < until:
            received += len(client.recv(bytes_per_second // 10))
            time.sleep(0.1)
        while received < value_bytes and (data := client.recv(1 << 16)):
            received += len(data)
        return received

    async def play() -> None:
        host = CacheHost("h0", value_answer(value_bytes))
        await host.start()
        balancer = await process_class([host], folder=tmp_path).start()
        try:
            stopped, slow = connect(balancer.listen, 4096), connect(balancer.listen)
            assert await asyncio.to_thread(read_slowly, slow) >= value_bytes, balancer.log()
            until = time.monotonic() + 10.0
            while "it takes no answers" not in balancer.log():
                assert time.monotonic() < until
                await asyncio.sleep(0.1)
            for client in (stopped, slow):
                client.close()
        finally:
            balancer.end()
            await host.stop()

    asyncio.run(play())
