"""Plays of faults on a balancer's process over loopback. Each returns what it found broken, one line for each.

    python -m tests.fault_plays slow-writers --seed 3 --memory 64 --inherited

The plays and what they found: docs/incidents/pre-production-faults.md.
"""

import argparse
import asyncio
import signal
import socket
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path
from random import Random
from subprocess import TimeoutExpired
from typing import Any

from tests.fault_harness import (
    HOSTED_PROGRAM_MB,
    MEMORY_SAMPLE_S,
    Answer,
    BalancerProcess,
    CacheHost,
    Client,
    Command,
    HostedProcess,
    HostsProcess,
    StartError,
    UsualClients,
    free_address,
    profile,
    read,
    settings,
    value_answer,
    watch_memory,
    whole_answer,
    write,
)

DEPARTED_S = 0.1  # an attempt may begin so long after its client left
LATE_S = 0.55  # an answer up to so long after its time only earns nothing
SLACK_S = 0.05  # each time limit is so much longer on sockets


@dataclass
class Shape:
    """What a play is played under."""

    random: Random
    memory_mb: float = 96
    sockets: int = 1024
    inherited: bool = False
    hosted: bool = False
    size: int = 0  # how many clients make the trouble; 0: as many as the play wants
    seconds: float = 4.0


Play = Callable[[Shape], Coroutine[Any, Any, list[str]]]


@asynccontextmanager
async def balancer(
    shape: Shape, hosts: list[CacheHost], found: list[str], facts: dict[str, Any] | None = None
) -> AsyncIterator[BalancerProcess]:
    """Runs one process, and finds it broken if it ends or takes more memory than it may."""
    held = socket.create_server(free_address(), backlog=1024) if shape.inherited else None
    if held is not None:
        held.set_inheritable(True)
    for host in hosts:
        if not host.address[1]:
            await host.start()
    process_class = HostedProcess if shape.hosted else BalancerProcess
    process = process_class(hosts, shape.memory_mb, shape.sockets, held, facts=facts or settings())
    allowed_mb = shape.memory_mb + (HOSTED_PROGRAM_MB if shape.hosted else 0)
    peak = [0.0]
    try:
        await process.start()
        watcher = asyncio.ensure_future(watch_memory([process], peak))
        await asyncio.sleep(2 * MEMORY_SAMPLE_S)
        yield process
        watcher.cancel()
        if not process.stopped and not process.alive():
            found.append(f"the process ended by itself: {process.log()[-500:]}")
        if peak[0] > allowed_mb:
            found.append(f"memory: {peak[0]:.1f} MB resident, {allowed_mb} allowed")
        log = process.log()
        if "violation:" in log or "Traceback" in log:
            found.append(f"log: {log[-400:]}")
        print(f"  peak {peak[0]:.1f} MB")
    finally:
        process.end()
        if held is not None:
            held.close()
        for host in hosts:
            await host.stop()


async def gather_quietly(*work: Awaitable[object]) -> None:
    """Waits for all; a connection that fails ends only its own part."""
    await asyncio.gather(*work, return_exceptions=True)


async def cancel_all(tasks: "list[asyncio.Task[None]]") -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def beside_usual_clients(
    shape: Shape, process: BalancerProcess, found: list[str], trouble: Callable[[float], Awaitable[object]]
) -> UsualClients:
    """Runs usual clients for the time of the shape, with trouble(until) beside them."""
    until = time.monotonic() + shape.seconds
    usual = UsualClients(process.listen)
    other = asyncio.ensure_future(trouble(until))
    await usual.run(until)
    other.cancel()
    with suppress(asyncio.CancelledError, OSError):
        await other
    found += usual.broken[:5]
    print(f"  usual clients: {len(usual.replies)} answers, {usual.served():.3f} served, {len(usual.broken)} lost")
    return usual


# ---- memory ----


async def slow_writers(shape: Shape) -> list[str]:
    """Hundreds of clients write large values slowly or stop half way, and the servers read slowly."""
    found: list[str] = []
    random, count = shape.random, shape.size or 300
    hosts = [CacheHost(f"h{n}", value_answer(), read_bytes_per_s=random.choice((0, 20_000, 200_000))) for n in range(4)]
    async with balancer(shape, hosts, found) as process:

        async def writer(number: int, until: float) -> None:
            client = await Client.open(process.listen)
            size = random.choice((60_000, 100_000, 400_000, 2_000_000))
            client.writer.write(write(f"w{number}", size, f"w{number}"))
            left = int(size * random.choice((0.5, 0.99, 1.0)))
            piece = random.choice((2_000, 30_000, 500_000))
            while left > 0 and time.monotonic() < until:
                client.writer.write(b"x" * min(piece, left))
                left -= piece
                await client.writer.drain()
                await asyncio.sleep(random.uniform(0, 0.2))
            await asyncio.sleep(max(0, until - time.monotonic()))
            client.leave()

        await beside_usual_clients(
            shape, process, found, lambda until: gather_quietly(*(writer(n, until) for n in range(count)))
        )
    return found


async def many_fields(shape: Shape) -> list[str]:
    """Hundreds of clients send requests with heads of very many short fields, which stay open for a while."""
    found: list[str] = []
    random, count = shape.random, shape.size or 300
    hosts = [CacheHost(f"h{n}", value_answer(delay_s=0.5)) for n in range(4)]
    fields = "".join(f",{n:x}=" for n in range(420))
    async with balancer(shape, hosts, found) as process:

        async def asker(number: int, until: float) -> None:
            client = await Client.open(process.listen)
            serial = 0
            while time.monotonic() < until:
                serial += 1
                batch = b"".join(
                    read(f"f{number}-{serial}-{n}", f"k{random.randrange(999)}", more=fields) for n in range(60)
                )
                client.writer.write(batch + b"ms v 9000 Ov Pc=copy,d=900" + fields.encode() + b"\r\n" + b"x" * 100)
                await client.writer.drain()
                with suppress(TimeoutError):
                    await asyncio.wait_for(client.reader.read(1 << 16), 1)
            client.leave()

        await beside_usual_clients(
            shape, process, found, lambda until: gather_quietly(*(asker(n, until) for n in range(count)))
        )
    return found


async def slow_readers(shape: Shape) -> list[str]:
    """Hundreds of clients read long answers slowly, also many that wait behind one that is slow."""
    found: list[str] = []
    random, count = shape.random, shape.size or 300

    async def answer(command: Command, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.4 if command.key.startswith("slow") else 0.01)
        writer.write(whole_answer(command, int(command.key.partition("-")[2] or 20)))

    hosts = [CacheHost(f"h{n}", answer) for n in range(4)]
    async with balancer(shape, hosts, found) as process:

        async def reader(number: int, until: float) -> None:
            client = await Client.open(process.listen, limit=4096)
            size, pipelined = random.choice(((60_000, 30), (1_000_000, 1), (200_000, 4), (4_000_000, 1)))
            keys = [f"slow-{size}"] + [f"fast{n}-{size}" for n in range(pipelined - 1)]
            client.writer.write(b"".join(read(f"r{number}-{n}", key) for n, key in enumerate(keys)))
            while time.monotonic() < until:
                await asyncio.sleep(random.choice((0.02, 0.3)))
                if not await client.reader.read(3_000):
                    return
            client.leave()

        await beside_usual_clients(
            shape, process, found, lambda until: gather_quietly(*(reader(n, until) for n in range(count)))
        )
    return found


async def all_memory(shape: Shape) -> list[str]:
    """The three crowds above at once, a third of each."""
    found: list[str] = []
    random, count = shape.random, shape.size or 450

    async def answer(command: Command, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.3)
        writer.write(whole_answer(command, int(command.key.partition("-")[2] or 20)))

    hosts = [CacheHost(f"h{n}", answer, read_bytes_per_s=random.choice((0, 50_000))) for n in range(4)]
    fields = "".join(f",{n:x}=" for n in range(420))
    async with balancer(shape, hosts, found) as process:

        async def one(number: int, until: float) -> None:
            client = await Client.open(process.listen, limit=4096)
            kind = number % 3
            if kind == 0:
                size = random.choice((63_000, 500_000))
                client.writer.write(write(f"a{number}", size, f"w{number}") + b"x" * int(size * random.uniform(0.5, 1)))
            elif kind == 1:
                client.writer.write(b"".join(read(f"a{number}-{n}", f"s-{60_000}") for n in range(20)))
            else:
                client.writer.write(
                    b"".join(read(f"a{number}-{n}", f"k{n}", more=fields) for n in range(100)) + b"mg k v Oz Pc=clip,"
                )
            while time.monotonic() < until:
                await asyncio.sleep(0.2)
                if kind and not await asyncio.wait_for(client.reader.read(2_000), 3):
                    return
            client.leave()

        await beside_usual_clients(
            shape, process, found, lambda until: gather_quietly(*(one(n, until) for n in range(count)))
        )
    return found


# ---- departed clients and ids ----


async def leaves_unread(shape: Shape) -> list[str]:
    """A client writes thousands of requests and closes; none may be sent on over 0.1 s after the close."""
    found: list[str] = []
    random = shape.random
    hosts = HostsProcess(3, random.choice((0.02, 0.4)))
    async with balancer(shape, hosts.hosts, found) as process:
        left: dict[str, float] = {}

        async def leaver(number: int) -> None:
            client = await Client.open(process.listen)
            many, size = random.choice(((500, 0), (5_000, 0), (20_000, 0), (100, 60_000), (250, 60_000)))
            for n in range(many):
                name, key = f"l{number}-{n}", f"k{random.randrange(9999)}"
                client.writer.write(write(name, size, key) + b"x" * size + b"\r\n" if size else read(name, key))
            client.writer.close()
            # The close follows the last byte that the system takes.
            await client.writer.wait_closed()
            left[f"l{number}"] = time.monotonic()

        async def trouble(until: float) -> None:
            number = 0
            while time.monotonic() < until - 1:
                await gather_quietly(*(leaver(number + n) for n in range(3)))
                number += 3
                await asyncio.sleep(0.1)

        await beside_usual_clients(shape, process, found, trouble)
        attempts, lag = hosts.attempts()
        print(f"  the hosts saw attempts up to {lag:.3f} s late")
        late = [
            one.began_at - left[name]
            for one in attempts
            if (name := one.id.partition("-")[0]) in left and one.began_at > left[name] + DEPARTED_S + lag
        ]
        if late:
            found.append(f"{len(late)} attempts began up to {max(late):.2f} s after their client left")
    return found


async def id_again(shape: Shape) -> list[str]:
    """The id of an open request, or of one whose client left, comes again: it runs once, and is served once."""
    found: list[str] = []
    hosts = [CacheHost(f"h{n}", value_answer(delay_s=0.4)) for n in range(3)]
    async with balancer(shape, hosts, found) as process:
        await _ids_again(shape, hosts, found, process, process)
    return found


async def id_again_beside(shape: Shape) -> list[str]:
    """The same at two processes of an upgrade."""
    found: list[str] = []
    hosts = [CacheHost(f"h{n}", value_answer(delay_s=0.4)) for n in range(3)]
    async with two_processes(shape, hosts, found) as (old, new):
        await _ids_again(shape, hosts, found, old, new)
    return found


@asynccontextmanager
async def two_processes(
    shape: Shape, hosts: list[CacheHost], found: list[str]
) -> AsyncIterator[tuple[BalancerProcess, BalancerProcess]]:
    """Runs two processes beside each other on one listening socket; their memory counts together."""
    held = socket.create_server(free_address(), backlog=1024)
    held.set_inheritable(True)
    folder = Path(tempfile.mkdtemp(prefix="fault-"))
    for host in hosts:
        await host.start()
    pair = [
        BalancerProcess(hosts, shape.memory_mb, shape.sockets, held, folder / name, folder / "tmp")
        for name in ("old", "new")
    ]
    peak = [0.0]
    watcher = asyncio.ensure_future(watch_memory(pair, peak))
    try:
        for process in pair:
            await process.start()
        yield pair[0], pair[1]
        if peak[0] > shape.memory_mb:
            found.append(f"memory: {peak[0]:.1f} MB resident of both, {shape.memory_mb} allowed")
        print(f"  peak {peak[0]:.1f} MB of both")
    finally:
        watcher.cancel()
        for process in pair:
            process.end()
        held.close()
        for host in hosts:
            await host.stop()


async def connect_to(process: BalancerProcess, others: "list[Client]") -> Client:
    """Opens a connection that this process accepts: which one did shows in its descriptors."""
    for _ in range(50):
        client = await Client.open(process.listen)
        client.writer.write(b"mn\r\n")
        await client.reader.readline()
        port = client.writer.get_extra_info("sockname")[1]
        assert process.process is not None
        inodes = {
            link.rpartition("[")[2].rstrip("]")
            for entry in Path(f"/proc/{process.process.pid}/fd").iterdir()
            if (link := _readlink(entry)).startswith("socket:")
        }
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            words = line.split()
            if words[2].endswith(f":{port:04X}") and words[9] in inodes:
                return client
        others.append(client)
    raise RuntimeError("the other process accepts all")


def _readlink(path: Path) -> str:
    try:
        return str(path.readlink())
    except OSError:
        return ""


async def _ids_again(
    shape: Shape, hosts: list[CacheHost], found: list[str], first: BalancerProcess, second: BalancerProcess
) -> None:
    others: list[Client] = []
    for number in range(shape.size or 12):
        name, unsafe, leaves = f"i{number:03d}", number % 2 == 0, number % 3 == 0
        command = read(name, f"q{number}", profile_name="copy" if unsafe else "clip")
        if unsafe:
            command = write(name, 3, f"q{number}") + b"val\r\n"
        a, b = await connect_to(first, others), await connect_to(second, others)
        a.writer.write(command)
        sent_at = time.monotonic()
        await asyncio.sleep(shape.random.uniform(0.03, 0.2))
        if leaves:
            a.writer.close()
            await asyncio.sleep(shape.random.choice((0.0, 0.15, 0.6)))
        again = await b.ask(command, name, 3)
        if again.served:
            found.append(f"{name}: the second request of an id was answered as served ({'left' if leaves else 'open'})")
        if again.line.startswith(b"SERVER_ERROR busy") and unsafe:
            found.append(f"{name}: a refusal promises that a retry is harmless, and the id may have run")
        if not leaves and not (reply := await a.read_reply(name, sent_at, 3)).served:
            found.append(f"{name}: the sound request got {reply.line!r}")
        if unsafe and sum(host.runs(name) for host in hosts) > 1:
            found.append(f"{name}: ran {sum(host.runs(name) for host in hosts)} times")
        a.leave()
        b.leave()
    for client in others:
        client.leave()


UNSOUND = (
    b"mg\tkey\tv\tO{id}\tPc=clip,d=900\r\n",
    b"mg key v\nO{id} Pc=clip,d=900\r\n",
    b"mg key v\rO{id} Pc=clip,d=900\r\n",
    b"mg key\x0bv O{id} Pc=clip,d=900\r\n",
    b"\x0cmg key v O{id} Pc=clip,d=900\r\n",
    b"mg key v O{id} Pc=clip,d=900\n\r\n",
    b"mg key v O{id} Pc=clip,d=-900\r\n",
    b"mg key v O{id} Pc=clip,d=9e2\r\n",
    b"mg key v O{id} Pc=clip,d=0900 \tx\r\n",
    b"mg key v O{id} O{id} Pc=clip,d=900\r\n",
    b"mg key v v O{id} Pc=clip,d=900\r\n",
    b"mg key v O{id} Pc=clip,d=900 Pc=clip,d=900\r\n",
    b"mg key v O{id} Pc=clip,c=clip,d=900\r\n",
    b"mg key v O Pc=clip,d=900\r\n",
    b"mg key v Pc=clip,d=900\r\n",
    b"mg key O{id} Pc=clip,d=900\r\n",
    b"mg key v O{id} Pd=900\r\n",
    b"mg key v O{id} Pc=clip\r\n",
    b"mg key v O{id} Pc=clip,d=\r\n",
    b"mg key v O{id} Pc=nobody,d=900\r\n",
    b"mg key v O{id} Pc=clip,d=900,\r\n",
    b"mg key v O{id} Pc=clip,d=900,=\r\n",
    b"mg key v O{id} Pc=clip,d=900,=x\r\n",
    b"mg key 5 v O{id} Pc=clip,d=900\r\n",
    b"mg v O{id} Pc=clip,d=900\r\n",
    b"mg " + b"k" * 251 + b" v O{id} Pc=clip,d=900\r\n",
    b"MG key v O{id} Pc=clip,d=900\r\n",
    b"ms key 3 O{id} Pc=note,d=900\r\nval\r\n",
    b"ms key 3 v O{id} Pc=clip,d=900\r\nval\r\n",
    b"ms key 03x O{id} Pc=clip,d=900\r\nval\r\n",
    b"ms key +3 O{id} Pc=clip,d=900\r\nval\r\n",
    b"ms key 3 O{id} Pc=clip,d=900\r\nvalue\r\n",
    b"ms key 3 O{id} Pc=clip,d=900\r\nval\n\n",
)


async def unsound(shape: Shape) -> list[str]:
    """Requests that are not sound, each on a connection of its own, are not answered as served."""
    found: list[str] = []
    hosts = [CacheHost(f"h{n}", value_answer()) for n in range(2)]
    async with balancer(shape, hosts, found) as process:
        for number, text in enumerate(UNSOUND):
            client = await Client.open(process.listen)
            reply = await client.ask(text.replace(b"{id}", b"u%d" % number), f"u{number}", 1.5)
            if reply.served:
                found.append(f"served: {text!r}")
            client.leave()
    return found


# ---- long answers and long requests ----


def paced_answer(
    size: int, head_s: float, first_s: float, body_s: float, pieces: int = 20, pause_s: float = 0
) -> Answer:
    """Returns a host's behaviour: the head, the first byte after `first_s`, the rest within `body_s`."""

    async def answer(command: Command, writer: asyncio.StreamWriter) -> None:
        if command.key[0] == "k":
            writer.write(whole_answer(command))
            return
        await asyncio.sleep(head_s)
        writer.write(b"VA %d O%b\r\n" % (size, command.id.encode()))
        await writer.drain()
        await asyncio.sleep(first_s)
        left = size
        while left:
            piece = min(left, max(1, size // pieces))
            writer.write(b"v" * piece)
            await writer.drain()
            left -= piece
            await asyncio.sleep(body_s / pieces + (pause_s if left < size // 2 <= left + piece else 0))
        writer.write(b"\r\n")

    return answer


async def late_body(shape: Shape) -> list[str]:
    """Long answers whose head comes at once and whose body comes slowly: begun in time, and whole."""
    found: list[str] = []
    random = shape.random
    shapes = [
        (0.03, 0.9, 0.3, 0.0),
        (0.03, 0.0, 1.5, 0.0),
        (0.2, 0.5, 2.0, 0.0),
        (0.03, 1.3, 0.1, 0.0),
        (0.03, 0.1, 0.4, 5.5),
    ]
    for number, (head_s, first_s, body_s, pause_s) in enumerate(shapes[: shape.size or len(shapes)]):
        size = random.choice((70_000, 172_758, 1_000_000))
        hosts = [CacheHost(f"h{n}", paced_answer(size, head_s, first_s, body_s, pause_s=pause_s)) for n in range(3)]
        async with balancer(shape, hosts, found) as process:
            client = await Client.open(process.listen)
            reply = await client.ask(read(f"b{number}", f"long{number}", 1500), f"b{number}", 12)
            if reply.body_bytes != size:
                found.append(f"head {head_s}, first {first_s}, body {body_s}, pause {pause_s} s: got {reply.line!r}")
            elif reply.begun_at - reply.sent_at > head_s + 0.3:
                found.append(f"the head came after {reply.begun_at - reply.sent_at:.2f} s")
            client.leave()
    return found


async def slow_server_reads(shape: Shape) -> list[str]:
    """A large request is written at once and its server reads it slowly: the final answer comes in its time."""
    found: list[str] = []
    random = shape.random
    for number in range(shape.size or 4):
        hosts = [
            CacheHost(f"h{n}", value_answer(), read_bytes_per_s=random.choice((20_000, 80_000, 300_000)))
            for n in range(2)
        ]
        async with balancer(shape, hosts, found) as process:
            size = random.choice((600_000, 2_000_000, 4_000_000))
            profile_name = random.choice(("clip", "copy", "note"))
            client = await Client.open(process.listen)
            # drain() returns when the system has taken the last byte.
            client.writer.transport.set_write_buffer_limits(0)
            client.writer.write(write(f"s{number}", size, "big", 1000, profile_name) + b"x" * size + b"\r\n")
            with suppress(ConnectionError):
                await client.writer.drain()
            reply = await client.read_reply(f"s{number}", time.monotonic(), 8)
            if not reply.line or reply.wait() > 1.0 + SLACK_S:
                found.append(f"{size} bytes, {profile_name}: {reply.line!r} {reply.wait():.2f} s after its last byte")
            if (
                reply.line.startswith(b"SERVER_ERROR busy")
                and profile_name == "copy"
                and any(h.runs(f"s{number}") for h in hosts)
            ):
                found.append("refused, and it ran")
            client.leave()
    return found


async def stop_long(shape: Shape) -> list[str]:
    """SIGTERM with a request open that may wait for 5 s, and a long answer that its server writes for 6 s."""
    found: list[str] = []
    profiles = [
        profile("clip", "repeatable", 600, 1500),
        profile("copy", "once", 750, 5000) | {"OverdueRevenue": 0.5},
        profile("note", "by_key", 1500, 5000) | {"OverdueRevenue": 0.5},
    ]

    async def answer(command: Command, writer: asyncio.StreamWriter) -> None:
        if command.verb == b"ms":
            await asyncio.sleep(6)
        else:
            await paced_answer(400_000, 0.01, 0.0, 6.0)(command, writer)

    hosts = [CacheHost(f"h{n}", answer) for n in range(3)]
    async with balancer(shape, hosts, found, settings(Profiles=profiles)) as process:
        clients = [await Client.open(process.listen) for _ in range(3)]
        commands = [
            write("p0", 3, "w", 5000, "copy") + b"val\r\n",
            write("p1", 3, "w", 5000, "note") + b"val\r\n",
            read("p2", "long", 1500),
        ]
        asked = [
            asyncio.ensure_future(client.ask(command, f"p{number}", 9))
            for number, (client, command) in enumerate(zip(clients, commands, strict=True))
        ]
        await asyncio.sleep(shape.random.uniform(0.1, 0.5))
        terminated_at = time.monotonic()
        process.send(signal.SIGTERM)
        first, second, third = await asyncio.gather(*asked)
        for reply in (first, second):
            # SIGKILL may come 3.7 s after SIGTERM, as the longest wait counts as 3 s at most.
            if not reply.line or reply.ended_at > terminated_at + 3.7:
                found.append(f"{reply.id}: {reply.line!r} {reply.ended_at - terminated_at:.2f} s after SIGTERM")
        if third.body_bytes != 400_000:
            found.append(f"the long answer: {third.line!r}")
        assert process.process is not None
        with suppress(TimeoutExpired):
            await asyncio.to_thread(process.process.wait, 3)
        if process.process.returncode != 0:
            found.append(f"after the last answer: {process.process.returncode}")
        process.stopped = True
    return found


# ---- one client at full speed ----


def flood_text(random: Random, kind: str, number: int) -> bytes:
    """Returns some hundred lines of one kind of flood."""
    if kind == "noop":
        return b"mn\r\n" * 1000
    if kind == "unsound":
        return b"x\r\n" * 2000
    if kind == "classes":
        return b"".join(read(f"c{number}-{n}", "k", profile_name=f"p{number}-{n}") for n in range(400))
    if kind == "keys":
        return b"".join(read(f"d{number}-{n}", f"key-{number}-{n}") for n in range(400))
    if kind == "tenants":
        return b"".join(read(f"t{number}-{n}", "k", more=f",tenant=t{number}-{n}") for n in range(400))
    return b"ms k 1 Oz Pc=clip\r\nx\r\n" * 500


def send_flood(address: tuple[str, int], kind: str, reads_answers: bool, seconds: float, seed: int) -> None:
    """Sends lines of one kind at full speed on one connection, and begins anew where it is closed."""
    until, number, random = time.monotonic() + seconds, 0, Random(seed)
    while time.monotonic() < until:
        with suppress(OSError), socket.create_connection(address, timeout=1) as client:
            if not reads_answers:
                client.sendall(read(f"slow{number}", "slow"))
            while time.monotonic() < until:
                number += 1
                client.sendall(flood_text(random, kind, number))
                if reads_answers:
                    with suppress(BlockingIOError):
                        while len(client.recv(1 << 16, socket.MSG_DONTWAIT)) == 1 << 16:
                            pass
        time.sleep(0.01)


def flood(kind: str, reads_answers: bool) -> Play:
    """Returns a play in which one client sends lines of one kind at full speed on one connection."""

    async def play(shape: Shape) -> list[str]:
        found: list[str] = []
        hosts = [CacheHost(f"h{n}", value_answer()) for n in range(4)]
        async with balancer(shape, hosts, found) as process:
            flooder = get_context("spawn").Process(
                target=send_flood, args=(process.listen, kind, reads_answers, shape.seconds, shape.random.random())
            )
            flooder.start()
            usual = await beside_usual_clients(shape, process, found, lambda until: asyncio.sleep(0))
            flooder.kill()
            slow = [r for r in usual.replies if r.line and r.wait() > usual.wait_ms / 1000 + SLACK_S]
            found += [f"{len(slow)} answers came late, up to {max(r.wait() for r in slow):.2f} s"] if slow else []
            if usual.served() < 0.5:
                found.append(f"only {usual.served():.2f} of the usual clients' requests were served")
        return found

    return play


# ---- start ----


async def start_small(shape: Shape) -> list[str]:
    """A start under the least limits that the pages name."""
    found: list[str] = []
    for memory_mb in (64, 32, 16):
        one = Shape(shape.random, memory_mb, shape.sockets, shape.inherited, shape.hosted)
        starts: list[str] = []
        try:
            async with balancer(one, [CacheHost("h0", value_answer())], starts):
                pass
        except StartError as fault:
            starts.append(str(fault))
        # Memory under that of the interpreter and its libraries can't be kept, but the process starts.
        found += [f"{memory_mb} MB: {text}" for text in starts if memory_mb >= 64 or not text.startswith("memory")]
    return found


async def two_small(shape: Shape) -> list[str]:
    """Two processes beside each other with the least memory, under usual traffic."""
    found: list[str] = []
    hosts = [CacheHost(f"h{n}", value_answer()) for n in range(3)]
    async with two_processes(shape, hosts, found) as (old, _):
        await beside_usual_clients(shape, old, found, lambda until: asyncio.sleep(0))
    return found


PLAYS: dict[str, Play] = {
    "slow-writers": slow_writers,
    "many-fields": many_fields,
    "slow-readers": slow_readers,
    "all-memory": all_memory,
    "leaves-unread": leaves_unread,
    "id-again": id_again,
    "id-again-beside": id_again_beside,
    "unsound": unsound,
    "late-body": late_body,
    "slow-server-reads": slow_server_reads,
    "stop-long": stop_long,
    "start-small": start_small,
    "two-small": two_small,
} | {
    f"flood-{kind}{'' if reads else '-deaf'}": flood(kind, reads)
    for kind in ("noop", "unsound", "classes", "keys", "tenants", "writes")
    for reads in (True, False)
}


def run_play(name: str, shape: Shape) -> list[str]:
    """Plays one and returns what it found broken."""
    try:
        return asyncio.run(PLAYS[name](shape))
    except StartError as fault:
        return [f"start: {fault}"]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("plays", nargs="+", choices=[*PLAYS, "all"])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--memory", type=float, default=96)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--size", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--inherited", action="store_true")
    parser.add_argument("--hosted", action="store_true")
    chosen = parser.parse_args()
    for name in PLAYS if "all" in chosen.plays else chosen.plays:
        for seed in range(chosen.seed, chosen.seed + chosen.seeds):
            shape = Shape(
                random=Random(seed),
                memory_mb=chosen.memory,
                sockets=chosen.sockets,
                inherited=chosen.inherited,
                hosted=chosen.hosted,
                size=chosen.size,
                seconds=chosen.seconds,
            )
            found = run_play(name, shape)
            print(f"{name} seed {seed}: {'; '.join(found) or 'whole'}", flush=True)


if __name__ == "__main__":
    main()
