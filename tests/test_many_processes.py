"""Several processes of the program before one cold cache host on loopback, killed, and for a while with no other host.

As large as a small fleet; PROCESSES plays it at another size.
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
MANY = int(os.environ.get("PROCESSES", "24"))
WARM, RATE = 3, 240.0  # cache hosts beside the cold one; txs a second of all together
TIP, WINDOW, COLD_SHARE, WARM_WITHIN = 1.5, 1.0, 0.2, 8.0
KILLED = 0.7
READY_WITHIN = 10.0


class Host:
    """A cache host that answers each read at once, and keeps when it was asked."""

    def __init__(self) -> None:
        self.asked: list[float] = []
        self.open: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def begin(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Refuses, and closes what is open."""
        self.server.close()
        for writer in list(self.open):
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        try:
            while line := await reader.readline():
                self.asked.append(time.time())
                writer.write(b"VA 3 O%b h1\r\nval\r\n" % line.split(b" O")[1].split()[0])
        except (ConnectionError, asyncio.CancelledError):  # the latter as the play ends
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def most(self, began: float) -> list[tuple[float, int]]:
        """For each moment at which it was asked, how often within the window that ends there."""
        times, first, found = sorted(self.asked), 0, []
        for last, at in enumerate(times):
            while times[first] <= at - WINDOW:
                first += 1
            found.append((at - began, last - first + 1))
        return found


class Process:
    """One balancer, its client, and when it was ready."""

    def __init__(self, number: int, config: dict[str, Any], folder: Path) -> None:
        self.number, self.port = number, free_port()
        self.path = folder / f"{number}.json"
        self.log = folder / f"{number}.log"
        self.config = config | {"listen": f"127.0.0.1:{self.port}", "name": f"n{number}", "seed": f"{number + 1:x}"}
        self.config["settings"] = config["settings"] | {"MyNumber": number}
        self.took = 0.0
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
        self.began = time.monotonic()
        self.took = 0.0

    async def ready(self) -> None:
        while time.monotonic() - self.began < 3 * READY_WITHIN:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"mn\r\n")
                said = await reader.readline()
                writer.close()
                if said == b"MN\r\n":
                    self.took = time.monotonic() - self.began
                    return
            except ConnectionError:
                pass
            await asyncio.sleep(0.02)
        self.took = 3 * READY_WITHIN

    async def load(self, until: float, draw: Random) -> None:
        """One tx after the other, as many a second as its part is; a connection that breaks is made anew."""
        number, reader, writer = 0, None, None
        while time.time() < until:
            number += 1
            try:
                if writer is None or reader is None:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"mg k%d v O%d.%d Pc=read,d=800\r\n" % (draw.randrange(2000), self.number, number))
                said = await reader.readline()
                if said.startswith(b"VA"):
                    await reader.readline()
                    self.answered += 1
                elif not said:
                    writer = None
            except ConnectionError:
                writer = None
                await asyncio.sleep(0.05)
            await asyncio.sleep(draw.expovariate(RATE / MANY))


async def play(folder: Path) -> tuple[list[Process], list[Host], float]:
    hosts = [Host() for _ in range(1 + WARM)]
    for host in hosts:
        await host.begin()
    rules = {
        "ColdShare": COLD_SHARE,
        "WarmWithin": int(WARM_WITHIN * 1e6),
        "TipMultiple": TIP,
        "Fall": int(WINDOW * 1e6),
    }
    members = [member(n) | {"host_port": f"127.0.0.1:{host.port}"} for n, host in enumerate(hosts)]
    config: dict[str, Any] = {
        "discovery": f"127.0.0.1:{free_port()}",  # down for all of it
        "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 128},
        "settings": FACTS | {"Balancers": MANY, "Invariants": rules},
        "known": {"revision": 1, "complete": True, "members": members[1:]},
    }
    fleet = [Process(number, config, folder) for number in range(MANY)]
    try:
        for one in fleet:
            one.start()
        await asyncio.gather(*(one.ready() for one in fleet))
        # The cold one starts now; all learn of it in one moment, by a new start of most and a list of their own.
        began = time.time()
        draw = Random(1)
        loads = [asyncio.create_task(one.load(began + 9, Random(one.number))) for one in fleet]
        await asyncio.sleep(2)
        cold = members[0] | {"up_since_ms": int(time.time() * 1000)}
        began = time.time()
        killed = draw.sample(fleet, int(KILLED * MANY))
        for one in fleet:
            one.config["known"] = {"revision": 2, "complete": True, "members": [cold, *members[1:]]}
        for one in killed:
            one.process.send_signal(signal.SIGKILL)
            one.process.wait()
            one.start()
        await asyncio.gather(*(one.ready() for one in killed))
        # For a while there is nobody but the cold one: all that comes to all of them wants it.
        await asyncio.sleep(1)
        for host in hosts[1:]:
            host.stop()
        await asyncio.sleep(2)
        for host in hosts[1:]:
            await host.begin()
        again = killed[::2]  # and half of these once more, in the midst of the ramp
        for one in again:
            one.process.send_signal(signal.SIGKILL)
            one.process.wait()
            one.start()
        await asyncio.gather(*(one.ready() for one in again), *loads)
        return killed, hosts, began
    finally:
        for one in fleet:
            one.process.kill()
            one.process.wait()


def test_a_cold_host_bears_what_all_processes_send_through_its_ramp_and_a_mass_restart(tmp_path: Path) -> None:
    killed, hosts, began = asyncio.run(play(tmp_path))
    slow = [one.took for one in killed if one.took > READY_WITHIN]
    assert len(slow) <= len(killed) // 10, [one.took for one in killed]
    # A warm host is held to be able to do what it is sent, and no more.
    usual = RATE / (1 + WARM)
    for at, sent in hosts[0].most(began):
        warmth = min(1.0, COLD_SHARE + (1 - COLD_SHARE) * at / WARM_WITHIN)
        bound = TIP * warmth * usual * WINDOW
        assert sent <= bound + 2 * sqrt(bound) + 2, (at, sent, bound)
    assert hosts[0].asked, "it is used while it warms up"
    assert all(one.asked for one in hosts[1:]) and all(one.answered for one in killed)
