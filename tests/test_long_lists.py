"""Lists of a thousand cache hosts; and no hop to a draining host, even if handling the list failed."""

import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import orjson
import psutil
import pytest
from loguru import logger

from ternquay.net.limits import MIB, derive_limits
from ternquay.rig.ports import free_place
from tests.helper import FACTS, Net, member
from tests.test_net import BASE_CONFIG, mg, va

HOST_COUNT = 1024
ROOT = Path(__file__).parents[1]


def test_a_hop_that_waits_for_its_connection_is_not_written_after_a_drain_whose_list_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    net = Net(hosts=1)
    client = net.client()
    client.feed(mg(1))
    listed = net.pool.update_host

    def fails(index: int, *args: Any) -> None:
        if index:
            raise RuntimeError("broken on purpose")
        listed(index, *args)

    monkeypatch.setattr(net.pool, "update_host", fails)
    with pytest.raises(RuntimeError):
        net.list(member(1, "draining"), member(2))
    net.accept()
    net.run(5)
    assert not [one for one in net.trace if "host 1 < b'mg" in one], net.trace


def test_fewer_sockets_than_hosts_are_logged_once_and_requests_are_served() -> None:
    lines: list[str] = []
    handler = logger.add(lambda text: lines.append(str(text)), format="{level} {message}")
    net = Net(hosts=1, sockets=48)
    for _ in range(3):
        net.list(*(member(n) for n in range(1, 101)), complete=True)
    logger.remove(handler)
    assert sum("more cache hosts than sockets" in text for text in lines) == 1
    client = net.client()
    for n in range(60):
        client.feed(mg(n))
        host = net.accept() if net.reactor.tcpClients else net.wires[-1]
        host.feed(va(n))
    assert sum("VA 3 O" in one for one in net.trace if "client 0 <" in one) >= 55


def test_the_socket_limit_follows_the_settings_and_the_memory_but_is_at_least_1024() -> None:
    def total(sockets: int, memory: int) -> int:
        limits = derive_limits(FACTS, sockets, memory)
        return limits.sockets + limits.spare + 16

    assert [total(n, 40) for n in (48, 512, 1024)] == [48, 512, 1024]
    assert total(8192, 40) == 1024 and total(8192, 2048) == 8192
    assert 1024 < total(1 << 20, 192) * (16 << 10) < 192 * MIB // 4 + (16 << 10)


def test_a_process_with_a_thousand_hosts_starts_within_its_memory_limit(tmp_path: Path) -> None:
    members = [
        member(n % 250 + 1) | {"id": f"h{n}", "host_port": f"127.8.{n // 250}.{n % 250 + 1}:9"}
        for n in range(HOST_COUNT)
    ]
    path = tmp_path / "config.json"
    limits = {"cores": 1.0, "memory_mb": 64, "sockets": 256}
    known = {"revision": 1, "complete": True, "members": members}
    path.write_bytes(
        orjson.dumps(
            BASE_CONFIG
            | {"listen": free_place("127.0.0.1"), "discovery": "127.0.0.1:9", "limits": limits, "known": known}
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "ternquay.net"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        env={"EDGE_CONFIG": str(path), "PATH": "/usr/bin"},
    )
    try:
        assert process.stderr is not None
        until = time.monotonic() + 20
        while "serves on" not in (line := process.stderr.readline()):
            assert line and time.monotonic() < until, line
        assert psutil.Process(process.pid).memory_info().rss < 64 * MIB
    finally:
        process.kill()
        process.wait()
        if process.stderr is not None:
            process.stderr.close()
