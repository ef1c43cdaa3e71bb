"""Regression tests of docs/incidents/slow-transfers.md: cache hosts that write or read large values slowly.

All are played on real processes over loopback (tests/slow_transfers.py).
"""

import asyncio
import signal
import socket
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import pytest

from tests.fault_harness import read
from tests.slow_transfers import Event, Half, Position, SlowHost, Stage, Transfer, play, running

Result = TypeVar("Result")
SLOWLY_READ_ANSWERS = 130  # more than the system's buffers hold
SLOWLY_READ_BYTES = SLOWLY_READ_ANSWERS * len(b"VA 60000 Oz000\r\n" + b"v" * 60_000 + b"\r\n")


def run_on_both(one_play: Callable[[Stage], Coroutine[Any, Any, Result]]) -> list[Result]:
    """Plays on a balancer's process and on one of the hosted service, at the same time."""

    async def both() -> list[Result]:
        return list(await asyncio.gather(one_play(Stage()), one_play(Stage(hosted=True))))

    return asyncio.run(both())


def play_on_both(transfers: list[Transfer]) -> list[str]:
    """Returns what was broken on either process."""
    single, hosted = run_on_both(lambda stage: play(stage, transfers))
    return single + hosted


# Guards against: the final answer of a large request comes seconds after its time, as a timer of the large request
# before it on the connection stands in place of its own.
def test_a_large_request_behind_another_one_is_answered_in_its_time_however_slowly_its_host_reads() -> None:
    transfers = [
        Transfer(Half.REQUEST, Position.AFTER_LARGE, 4_000_000, wait_ms, 7000, 0.0, 200_000)
        for wait_ms in (150, 600, 600, 1200)
    ]
    assert asyncio.run(play(Stage(), transfers)) == []


# Guards against: a planned end leaves unread what its clients wrote behind large requests that their hosts read slowly.
def test_what_is_behind_a_large_request_is_answered_before_a_planned_end() -> None:
    transfers = [Transfer(Half.REQUEST, Position.BEHIND, 4_000_000, 4500, 4500, 0.0, 200_000)] * 8
    assert asyncio.run(play(Stage(memory_mb=64, event=Event.TERM), transfers)) == []


# Guards against: the process exits as the last value under way ends, and drops the requests that came behind it.
@pytest.mark.parametrize("hosted", [False, True])
def test_what_came_behind_a_value_is_answered_before_the_process_exits(hosted: bool) -> None:
    transfers = [Transfer(Half.ANSWER, Position.LATER, 200_000, 1200, 4500, 0.5, 0)] * 4
    assert asyncio.run(play(Stage(hosted, event=Event.TERM, kill_after_s=12), transfers)) == []


# Guards against: a value is cut off, and what came behind it is lost, as its cache host pauses for over 5 s.
def test_a_value_whose_host_pauses_for_over_5_s_is_passed_on_whole() -> None:
    transfers = [
        Transfer(Half.ANSWER, position, 200_000, 600, pause_ms, pause_at, 200_000)
        for position in (Position.ALONE, Position.LATER)
        for pause_ms, pause_at in ((5600, 0.0), (7000, 0.5))
    ]
    assert play_on_both(transfers) == []


# Guards against: a value that is kept for the requests around it is refused at the end of its client's time, as its
# cache host pauses just then.
def test_a_value_whose_host_pauses_as_its_hold_ends_is_passed_on_whole() -> None:
    pauses = ((600, 700, 0.5), (600, 1400, 0.0), (1200, 2300, 0.9), (4500, 1700, 0.5), (4500, 4500, 0.3))
    transfers = [
        Transfer(Half.ANSWER, position, 200_000, wait_ms, pause_ms, pause_at, 200_000)
        for position in (Position.AFTER_PIPELINE, Position.BEFORE, Position.BEHIND)
        for wait_ms, pause_ms, pause_at in pauses
    ]
    assert play_on_both(transfers) == []


# Guards against: a planned end drops the answers that a client reads slowly and steadily, 60 ms after the last of them.
def test_a_planned_end_finishes_the_answers_that_a_client_reads_slowly() -> None:
    received = run_on_both(read_slowly_through_a_planned_end)
    assert received == [SLOWLY_READ_BYTES, SLOWLY_READ_BYTES]


async def read_slowly_through_a_planned_end(stage: Stage) -> int:
    """Sends pipelined reads and reads their answers at 500 KB/s. Returns how many bytes have come by their end."""
    hosts = [SlowHost("h0"), SlowHost("h1")]
    async with running(stage, hosts) as processes:
        client, loop = socket.socket(), asyncio.get_running_loop()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        client.setblocking(False)
        await loop.sock_connect(client, processes[0].listen)
        key = Transfer(Half.ANSWER, Position.ALONE, 60_000, 1200, 0, 0.0, 0).key(0)
        await loop.sock_sendall(client, b"".join(read(f"z{n:03d}", key) for n in range(SLOWLY_READ_ANSWERS)))
        await asyncio.sleep(0.5)
        processes[0].send(signal.SIGTERM)
        received = 0
        while received < SLOWLY_READ_BYTES:
            data = await asyncio.wait_for(loop.sock_recv(client, 100_000), 5)
            if not data:
                break
            received += len(data)
            await asyncio.sleep(0.2)
        client.close()
    return received
