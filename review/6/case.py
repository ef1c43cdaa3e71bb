"""A cache host's connection is reset within a large value; the client has sent a write behind the read."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stage"))

import stage  # noqa: E402

SECONDS = 15.0
CLIENTS = 8
VALUE_BYTES = 200_000
RESET_SHARE = 0.1  # of the large values, after the first half
NET = "127.0.18"


async def case(record: stage.Record, scratch: Path) -> list[str]:
    draw = random.Random(6)
    hosts = [stage.CacheHost(f"h{n}", f"{NET}.{n + 1}", record, work=0.01) for n in range(4)]
    resets = 0

    async def handle(link: stage.HostLink, command: stage.Command) -> None:
        nonlocal resets
        host = link.host
        await host.run(command)
        if command.verb == "ms" or not stage.TROUBLE or draw.random() >= RESET_SHARE:
            await host.answer(link, command)
            return
        text = host.text_of(command)
        await link.write(text[: len(text) // 2])
        await asyncio.sleep(0.05)
        resets += 1
        record(f"{host.name} resets the connection within the value for O{command.id}")
        link.reset()

    for host in hosts:
        host.value_size = VALUE_BYTES
        host.handler = handle
        await host.start()
    discovery = stage.Discovery(f"{NET}.200", record)
    discovery.begin_with([discovery.entry(host) for host in hosts])
    await discovery.start()
    listen = f"{NET}.201:{stage.free_port(f'{NET}.201')}"
    balancer = stage.Balancer(scratch, listen, discovery.place, discovery.whole(), stage.settings())
    balancer.start()
    unanswered: dict[str, float] = {}  # writes that were sent, and when the connection ended without an answer
    answered = cut = 0
    end = stage.now() + SECONDS

    async def client(number: int) -> None:
        nonlocal answered, cut
        connection: stage.Client | None = None
        count = 0
        while stage.now() < end:
            if connection is None:
                connection = await stage.Client.connect(listen)
            count += 1
            read, write = f"c{number}r{count}", f"c{number}w{count}"
            record(f"client {number} sends read O{read} and put O{write} at once")
            connection.send(
                stage.request("mg", f"big{draw.randrange(50)}", read, "read", 1400)
                + stage.request("ms", f"key{draw.randrange(50)}", write, "put", 1400)
            )
            try:
                line, _ = await asyncio.wait_for(connection.answer(), 6.0)
                record(f"client {number} gets {line!r} for O{read}")
                line = (await asyncio.wait_for(connection.answer(), 6.0))[0] if line else ""
            except (ConnectionError, asyncio.IncompleteReadError, TimeoutError) as fault:
                record(f"client {number}: the value for O{read} is cut, {fault!r:.60}")
                line, cut = "", cut + 1
            record(f"client {number} gets {line!r} for O{write}")
            if line:
                answered += 1
            else:
                unanswered[write] = stage.now()
                connection.close()
                connection = None
            await asyncio.sleep(draw.random() * 0.05)

    try:
        if not await balancer.ready():
            raise stage.CannotRun("the balancer was not ready")
        await asyncio.gather(*(client(n) for n in range(CLIENTS)))
        await asyncio.sleep(0.5)
    finally:
        balancer.end()
    arrived = {command.id: host.name for host in hosts for command in host.commands}
    ran = {id for host in hosts for _, id, _, _ in host.runs}
    record.say(f"{answered} writes answered, {resets} resets, {cut} values cut, {len(unanswered)} writes unanswered")
    # A request that the balancer has not read may cross the end of the connection; one that it has passed on was read.
    return [
        f"put O{id} was passed on to {arrived[id]}{', ran' if id in ran else ''}, and its client's connection was ended"
        f" at {at - record.begin:.3f} with no answer to it"
        for id, at in unanswered.items()
        if id in arrived
    ]


stage.play(FOLDER, case)
