"""Clients send many reads at once on one connection; the values are long, and each client reads at full speed."""

import asyncio
import sys
from pathlib import Path
from random import Random

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from harness import TROUBLE, Balancer, main  # noqa: E402
from standins import CacheHost, Connection, Discovery, Record, now  # noqa: E402

CLIENTS = 16
COMMANDS = 64  # of one client; with the disruption, at once
VALUE_BYTES = 60_000  # the protocol page allows 64 KiB
WAIT_MS = 800  # of `clip`: 50 to 60 % of its hard limit of 1.5 s
LATE_S = 0.5  # an answer up to so long after its time only earns nothing


async def play(record: Record) -> list[str]:
    draw = Random(7)
    times: dict[str, float] = {}

    def service_time(request) -> float:
        return times.setdefault(request.id, draw.uniform(0.02, 0.08))

    hosts = [
        CacheHost(f"s-{i}", record, service_time, lambda key: key.encode().ljust(VALUE_BYTES, b".")) for i in range(10)
    ]
    discovery = Discovery(record)
    for i, host in enumerate(hosts):
        await host.start(f"127.0.0.{20 + i}")
        discovery.members[host.name] = host.entry()
    await discovery.start("127.0.0.1")
    balancer = Balancer(record, discovery, discovery.whole(), memory_mb=192, sockets=1024)
    broken: list[str] = []
    try:
        await balancer.start()
        await asyncio.sleep(1)
        results = await asyncio.gather(*(client(record, balancer.address, n) for n in range(CLIENTS)))
        begun = {name for host in hosts for name in host.begun}
        for result in results:
            broken += [f"request {name}: {why}" for name, why in result if name in begun]
    finally:
        balancer.end()
    return broken


async def client(record: Record, address: tuple[str, int], number: int) -> list[tuple[str, str]]:
    """Sends its reads and reads the answers. Returns the requests that were lost, and how."""
    await asyncio.sleep(0.4 * number)
    ids = [f"{number:02x}{i:04x}a1b2c3d4e5" for i in range(COMMANDS)]
    keys = [f"key-{number}-{i}" for i in range(COMMANDS)]
    lines = [f"mg {key} v O{name} Pc=clip,d={WAIT_MS}\r\n".encode() for key, name in zip(keys, ids, strict=True)]
    connection = await Connection().open(address)
    lost: list[tuple[str, str]] = []
    if TROUBLE:
        connection.writer.write(b"".join(lines))
        record.say(f"client {number} sends {COMMANDS} reads at once")
    answered, previous = 0, now()
    try:
        for i, name in enumerate(ids):
            if not TROUBLE:
                connection.writer.write(lines[i])
                record.say(f"client {number} sends id {name}")
                previous = now()
            # The time for which an answer waits for those before it does not count.
            line, value = await asyncio.wait_for(connection.answer(), WAIT_MS / 1000 + LATE_S)
            record.say(f"client {number} gets {line[:60]} for id {name}, {len(value)} bytes, {now() - previous:.3f} s")
            previous = now()
            if value and not value.startswith(keys[i].encode() + b"."):
                lost.append((name, f"the value of another key: {value[:20]!r}"))
            answered += 1
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError) as fault:
        record.say(f"client {number}: {type(fault).__name__} after {answered} of {COMMANDS} answers")
        sent = ids[answered:] if TROUBLE else ids[answered : answered + 1]
        lost += [(name, f"no answer, {type(fault).__name__} after {answered} answers") for name in sent]
    connection.close()
    return lost


if __name__ == "__main__":
    main(str(HERE), play)
