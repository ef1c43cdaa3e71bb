"""Other clients stop in the middle of their requests by hundreds, while usual clients send whole ones."""

import asyncio
import sys
from contextlib import suppress
from pathlib import Path
from random import Random

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from harness import TROUBLE, Balancer, main  # noqa: E402
from standins import CacheHost, Connection, Discovery, Record, now  # noqa: E402

MEMORY_MB, SOCKETS = 96, 512  # on the days of the crowd memory and descriptors are halved
LATE_S = 0.5  # an answer up to so long after its time only earns nothing
WAIT_MS = 800  # of `clip`: 50 to 60 % of its hard limit of 1.5 s
CLIENTS = 40  # usual ones, each with one request at a time
LENGTH_S = 12.0
CROWD = 1600  # clients that stop in the middle of a value
CROWD_S = 9.0  # within which they come
VALUE_BYTES = 64_000


async def play(record: Record) -> list[str]:
    draw = Random(5)
    hosts = [
        CacheHost(f"s-{i}", record, lambda request: draw.uniform(0.02, 0.08), lambda key: key.encode() * 20)
        for i in range(5)
    ]
    discovery = Discovery(record)
    for i, host in enumerate(hosts):
        await host.start(f"127.0.0.{20 + i}")
        discovery.members[host.name] = host.entry()
    await discovery.start("127.0.0.1")
    balancer = Balancer(record, discovery, discovery.whole(), memory_mb=MEMORY_MB, sockets=SOCKETS)
    broken: list[str] = []
    counts: dict[str, int] = {}
    try:
        await balancer.start()
        await asyncio.sleep(1)
        until = now() + LENGTH_S
        usual = [client(record, balancer.address, n, until, broken, counts) for n in range(CLIENTS)]
        crowd = [stopper(balancer.address, n, 1.5 + draw.uniform(0, CROWD_S)) for n in range(CROWD * TROUBLE)]
        record.say(f"{len(crowd)} clients come within {CROWD_S} s and stop in the middle of a value")
        await asyncio.gather(*usual, *crowd)
    finally:
        balancer.end()
    begun = {name for host in hosts for name in host.begun}
    record.say(f"answers: {counts}; without an answer: {len(broken)}")
    return [f"request {name}: whole and forwarded, {why}" for name, why in broken if name in begun]


async def client(
    record: Record, address: tuple[str, int], number: int, until: float, broken: list, counts: dict[str, int]
) -> None:
    """Sends reads one after another on a connection that it keeps."""
    connection: Connection | None = None
    serial = 0
    await asyncio.sleep(number * 0.01)
    while now() < until:
        serial += 1
        name, sent_at = f"{number:04x}{serial:08x}beef", now()
        try:
            if connection is None:
                connection = await asyncio.wait_for(Connection().open(address), 3)
            connection.writer.write(f"mg key-{serial % 97} v O{name} Pc=clip,d={WAIT_MS}\r\n".encode())
            sent_at = now()
            record.say(f"client {number} sends id {name}")
            line, _ = await asyncio.wait_for(connection.answer(), WAIT_MS / 1000 + LATE_S)
            record.say(f"client {number} gets {line} for id {name}")
            counts[line.split()[0]] = counts.get(line.split()[0], 0) + 1
            await asyncio.sleep(0.03)
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as fault:
            record.say(f"client {number}: {type(fault).__name__} after {now() - sent_at:.3f} s for id {name}")
            broken.append((name, f"no answer, {type(fault).__name__} after {now() - sent_at:.3f} s"))
            if connection is not None:
                connection.close()
            connection = None
    if connection is not None:
        connection.close()


async def stopper(address: tuple[str, int], number: int, at: float) -> None:
    """Sends all of a write but its last bytes, and reads on until it gets an error or a close."""
    await asyncio.sleep(at)
    with suppress(TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        connection = await Connection().open(address)
        head = f"ms bad-{number} {VALUE_BYTES} Obad{number:012x} Pc=clip,d={WAIT_MS}\r\n".encode()
        connection.writer.write(head + b"x" * (VALUE_BYTES - 500))
        await asyncio.wait_for(connection.reader.read(), 6)
        connection.close()


if __name__ == "__main__":
    main(str(HERE), play)
