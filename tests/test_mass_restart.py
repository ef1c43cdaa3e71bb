"""A small fleet is killed and restarted at once while discovery is down, silent, slow or rejects most calls."""

import asyncio
import signal
from pathlib import Path
from typing import Any

import orjson
import pytest

from tests.helper import FACTS, member
from tests.test_many_processes import READY_WITHIN_SECONDS, Process
from tests.test_review_links import free_port

BALANCER_COUNT = 12
SLOW_CALL_SECONDS = 0.4  # an overloaded discovery handles one call at a time


class Discovery:
    """Never answers, answers one call at a time, or answers one in four and rejects the rest, as `way` says."""

    def __init__(self, way: str, listed: dict[str, Any]) -> None:
        self.way, self.body, self.calls = way, orjson.dumps(listed), 0
        self.lock = asyncio.Lock()
        self.port = 0

    async def begin(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.calls += 1
                if self.way == "silent":
                    await asyncio.sleep(60)
                if self.way == "slow":
                    async with self.lock:
                        await asyncio.sleep(SLOW_CALL_SECONDS)
                if self.way == "rejects" and self.calls % 4:
                    writer.write(b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n")
                else:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(self.body), self.body))
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def play(way: str, mode: str, folder: Path) -> list[Process]:
    listed = {"revision": 1, "complete": True, "members": [member(1)]}
    discovery = Discovery(way, listed)
    await discovery.begin()
    config = {
        "discovery": f"127.0.0.1:{discovery.port if way != 'down' else free_port()}",
        "known": listed,
        "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 64},
        "settings": FACTS | {"Balancers": BALANCER_COUNT, "Discovery": mode},
    }
    fleet = [Process(number, config, folder) for number in range(BALANCER_COUNT)]
    try:
        for one in fleet:
            one.start()
        await asyncio.gather(*(one.ready() for one in fleet))
        for one in fleet:
            one.process.send_signal(signal.SIGKILL)
            one.process.wait()
        for one in fleet:
            one.start()
        await asyncio.gather(*(one.ready() for one in fleet))
        return fleet
    finally:
        for one in fleet:
            one.process.kill()
            one.process.wait()
        discovery.server.close()


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@pytest.mark.parametrize("way", ["down", "silent", "slow", "rejects"])
def test_nine_in_ten_processes_are_ready_in_time_whatever_discovery_does(way: str, mode: str, tmp_path: Path) -> None:
    ready_times = [one.ready_seconds for one in asyncio.run(play(way, mode, tmp_path))]
    assert sum(one > READY_WITHIN_SECONDS for one in ready_times) <= BALANCER_COUNT // 10, ready_times
