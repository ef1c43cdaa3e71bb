"""A cache host turns requests away, and a second copy of that answer comes some milliseconds late."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stage"))

import stage  # noqa: E402

SECONDS = 20.0
HOSTS = 4
WAY = 0.002  # seconds to a cache host, one way
LATE = 0.003  # seconds from an answer to its second copy
FULL_SHARE = 0.1  # of the commands that find the queue of their cache host full
SECOND_COPY_SHARE = 0.5  # of these answers that come twice
CLIENTS = 12


async def case(record: stage.Record, scratch: Path) -> list[str]:
    draw = random.Random(6)
    hosts = [stage.CacheHost(f"h{n}", f"127.0.6.{n + 1}", record) for n in range(HOSTS)]
    ways = [stage.SlowWay(f"127.0.6.{n + 101}", host.place, WAY) for n, host in enumerate(hosts)]
    second_copies = 0

    async def copy_later(link: stage.HostLink) -> None:
        nonlocal second_copies
        await asyncio.sleep(LATE)
        # Only when nothing else waits on the connection, as the cache host sees it.
        if link.idle and not link.closed:
            second_copies += 1
            record(f"{link.host.name} sends the answer busy a second time")
            await link.write(b"SERVER_ERROR busy\r\n")

    async def handle(link: stage.HostLink, command: stage.Command) -> None:
        host = link.host
        if draw.random() < FULL_SHARE:
            await host.turn_away(link, command)
            if stage.TROUBLE and draw.random() < SECOND_COPY_SHARE:
                asyncio.get_running_loop().create_task(copy_later(link))
            return
        await host.run(command)
        await host.answer(link, command)

    for host, way in zip(hosts, ways, strict=True):
        host.handler = handle
        await host.start()
        await way.start()
    discovery = stage.Discovery("127.0.6.200", record)
    discovery.begin_with([discovery.entry(h, place=w.place) for h, w in zip(hosts, ways, strict=True)])
    await discovery.start()
    listen = f"127.0.6.201:{stage.free_port('127.0.6.201')}"
    balancer = stage.Balancer(scratch, listen, discovery.place, discovery.whole(), stage.settings())
    balancer.start()
    answers: dict[str, str] = {}
    end = stage.now() + SECONDS

    async def client(number: int) -> None:
        connection = await stage.Client.connect(listen)
        count = 0
        while stage.now() < end:
            count += 1
            id = f"c{number}n{count}"
            kind = draw.choice(["read", "read", "put"])
            verb = "mg" if kind == "read" else "ms"
            record(f"client {number} sends {kind} O{id}")
            connection.send(stage.request(verb, f"key{draw.randrange(200)}", id, kind, 1400))
            line, _ = await connection.answer()
            answers[id] = line
            record(f"client {number} gets {line!r} for O{id}")
            if not line:
                connection = await stage.Client.connect(listen)
            await asyncio.sleep(draw.random() * 0.05)
        connection.close()

    try:
        if not await balancer.ready():
            raise stage.CannotRun("the balancer was not ready")
        await asyncio.gather(*(client(n) for n in range(CLIENTS)))
    finally:
        balancer.end()
    runs = Counter(id for host in hosts for _, id, _, kind in host.runs if kind == "put")
    record.say(f"{len(answers)} requests, {len(runs)} writes that ran, {second_copies} second copies")
    breaks = [f"put O{id} ran {n} times, its client got {answers.get(id)!r}" for id, n in runs.items() if n > 1]
    breaks += [
        f"put O{id} ran, and its client was told {answers[id]!r}: trying again is harmless"
        for id in runs
        if answers.get(id, "").startswith("SERVER_ERROR busy")
    ]
    return breaks


stage.play(FOLDER, case)
