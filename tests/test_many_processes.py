"""Many balancer processes share one cold cache host on loopback while they restart and the warm hosts go away.

The environment variable PROCESSES sets the number of processes.
"""

import asyncio
import os
import signal
import subprocess
import sys
import time
from math import sqrt
from pathlib import Path
from random import Random
from typing import Any

import orjson

from tests.helper import FACTS, member
from tests.test_review_links import free_port

ROOT = Path(__file__).parents[1]
PROCESSES = int(os.environ.get("PROCESSES", "24"))
WARM_HOSTS = 3  # besides the cold one
TXS_PER_SECOND = 240.0  # of all processes together
TIP_MULTIPLE = 1.5
WINDOW_SECONDS = 1.0
COLD_SHARE = 0.2
WARM_WITHIN_SECONDS = 8.0
KILLED_SHARE = 0.7  # of the processes
READY_WITHIN_SECONDS = 10.0


class Host:
    """A cache host that answers each read at once and records when it was read."""

    def __init__(self) -> None:
        self.read_times: list[float] = []
        self.open: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stops listening and closes the open connections."""
        self.server.close()
        for writer in list(self.open):
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        try:
            while line := await reader.readline():
                self.read_times.append(time.time())
                writer.write(b"VA 3 O%b h1\r\nval\r\n" % line.split(b" O")[1].split()[0])
        except (ConnectionError, asyncio.CancelledError):  # cancelled when the run ends
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def window_counts(self, start: float) -> list[tuple[float, int]]:
        """For each read its time after `start`, and the number of reads in the window that ends with it."""
        times, first, found = sorted(self.read_times), 0, []
        for last, at in enumerate(times):
            while times[first] <= at - WINDOW_SECONDS:
                first += 1
            found.append((at - start, last - first + 1))
        return found


class Process:
    """One balancer process, its client, and how long it took to get ready."""

    def __init__(self, number: int, config: dict[str, Any], folder: Path) -> None:
        self.number, self.port = number, free_port()
        self.path = folder / f"{number}.json"
        self.log = folder / f"{number}.log"
        self.config = config | {"listen": f"127.0.0.1:{self.port}", "name": f"n{number}", "seed": f"{number + 1:x}"}
        self.config["settings"] = config["settings"] | {"MyNumber": number}
        self.ready_seconds = 0.0
        self.answered = 0

    def start(self) -> None:
        self.path.write_bytes(orjson.dumps(self.config))
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "ternquay.net"],
                cwd=ROOT,
                stderr=log,
                env={"EDGE_CONFIG": str(self.path), "PATH": "/usr/bin"},
            )
        self.started = time.monotonic()
        self.ready_seconds = 0.0

    async def ready(self) -> None:
        while time.monotonic() - self.started < 3 * READY_WITHIN_SECONDS:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"mn\r\n")
                answer = await reader.readline()
                writer.close()
                if answer == b"MN\r\n":
                    self.ready_seconds = time.monotonic() - self.started
                    return
            except ConnectionError:
                pass
            await asyncio.sleep(0.02)
        self.ready_seconds = 3 * READY_WITHIN_SECONDS

    async def load(self, until: float, random: Random) -> None:
        """Sends this process's share of the txs, one after the other; reconnects when the connection breaks."""
        number, reader, writer = 0, None, None
        while time.time() < until:
            number += 1
            try:
                if writer is None or reader is None:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"mg k%d v O%d.%d Pc=read,d=800\r\n" % (random.randrange(2000), self.number, number))
                answer = await reader.readline()
                if answer.startswith(b"VA"):
                    await reader.readline()
                    self.answered += 1
                elif not answer:
                    writer = None
            except ConnectionError:
                writer = None
                await asyncio.sleep(0.05)
            await asyncio.sleep(random.expovariate(TXS_PER_SECOND / PROCESSES))


async def run(folder: Path) -> tuple[list[Process], list[Host], float]:
    hosts = [Host() for _ in range(1 + WARM_HOSTS)]
    for host in hosts:
        await host.start()
    rules = {
        "ColdShare": COLD_SHARE,
        "WarmWithin": int(WARM_WITHIN_SECONDS * 1e6),
        "TipMultiple": TIP_MULTIPLE,
        "Fall": int(WINDOW_SECONDS * 1e6),
    }
    members = [member(n) | {"host_port": f"127.0.0.1:{host.port}"} for n, host in enumerate(hosts)]
    config: dict[str, Any] = {
        "discovery": f"127.0.0.1:{free_port()}",  # never reachable
        "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 128},
        "settings": FACTS | {"Balancers": PROCESSES, "Invariants": rules},
        "known": {"revision": 1, "complete": True, "members": members[1:]},
    }
    processes = [Process(number, config, folder) for number in range(PROCESSES)]
    try:
        for process in processes:
            process.start()
        await asyncio.gather(*(process.ready() for process in processes))
        # The cold host starts now. Most processes learn of it at the same moment, when they restart with a new list.
        start = time.time()
        random = Random(1)
        loads = [asyncio.create_task(process.load(start + 9, Random(process.number))) for process in processes]
        await asyncio.sleep(2)
        cold = members[0] | {"up_since_ms": int(time.time() * 1000)}
        start = time.time()
        killed = random.sample(processes, int(KILLED_SHARE * PROCESSES))
        for process in processes:
            process.config["known"] = {"revision": 2, "complete": True, "members": [cold, *members[1:]]}
        for process in killed:
            process.process.send_signal(signal.SIGKILL)
            process.process.wait()
            process.start()
        await asyncio.gather(*(process.ready() for process in killed))
        # For a while the cold host is the only one, and all processes want to send everything to it.
        await asyncio.sleep(1)
        for host in hosts[1:]:
            host.stop()
        await asyncio.sleep(2)
        for host in hosts[1:]:
            await host.start()
        killed_again = killed[::2]  # in the middle of the warm-up
        for process in killed_again:
            process.process.send_signal(signal.SIGKILL)
            process.process.wait()
            process.start()
        await asyncio.gather(*(process.ready() for process in killed_again), *loads)
        return killed, hosts, start
    finally:
        for process in processes:
            process.process.kill()
            process.process.wait()


def test_a_cold_host_is_not_overloaded_by_many_processes_during_a_mass_restart(tmp_path: Path) -> None:
    killed, hosts, start = asyncio.run(run(tmp_path))
    slow = [process.ready_seconds for process in killed if process.ready_seconds > READY_WITHIN_SECONDS]
    assert len(slow) <= len(killed) // 10, [process.ready_seconds for process in killed]
    # A warm host is assumed to have the capacity for its share of the load, and no more.
    usual = TXS_PER_SECOND / (1 + WARM_HOSTS)
    for at, sent in hosts[0].window_counts(start):
        warmth = min(1.0, COLD_SHARE + (1 - COLD_SHARE) * at / WARM_WITHIN_SECONDS)
        bound = TIP_MULTIPLE * warmth * usual * WINDOW_SECONDS
        assert sent <= bound + 2 * sqrt(bound) + 2, (at, sent, bound)
    assert hosts[0].read_times, "the cold host is used while it warms up"
    assert all(host.read_times for host in hosts[1:]) and all(process.answered for process in killed)
