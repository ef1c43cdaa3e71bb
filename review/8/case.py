"""Clients read a large value slowly and without a pause, over connections with segments of 1,460 bytes."""

import asyncio
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stage"))

import stage  # noqa: E402

CLIENTS = 4
VALUE_BYTES = 1_000_000
BYTES_PER_SECOND = 20_000
SEGMENT_BYTES = 1460  # as between two machines; loopback's own are 45 times as long
STEP_SECONDS = 0.1
NET = "127.0.19"


async def case(record: stage.Record, scratch: Path) -> list[str]:
    hosts = [stage.CacheHost(f"h{n}", f"{NET}.{n + 1}", record) for n in range(2)]
    for host in hosts:
        host.value_size = VALUE_BYTES
        await host.start()
    discovery = stage.Discovery(f"{NET}.200", record)
    discovery.begin_with([discovery.entry(host) for host in hosts])
    await discovery.start()
    listen_host = f"{NET}.201"
    listen_port = stage.free_port(listen_host)
    balancer = stage.Balancer(
        scratch, f"{listen_host}:{listen_port}", discovery.place, discovery.whole(), stage.settings()
    )
    balancer.start()
    breaks: list[str] = []
    loop = asyncio.get_running_loop()

    async def client(number: int) -> None:
        id = f"c{number}n1"
        with socket.socket() as connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            connection.setblocking(False)
            await loop.sock_connect(connection, (listen_host, listen_port))
            await loop.sock_sendall(connection, stage.request("mg", f"big{number}", id, "read", 1400))
            begin = last = stage.now()
            received = b""
            wanted = -1
            # Each tenth of a second it takes what its speed allows, all the time.
            while wanted < 0 or len(received) < wanted:
                try:
                    piece = await asyncio.wait_for(
                        loop.sock_recv(connection, int(BYTES_PER_SECOND * STEP_SECONDS))
                        if stage.TROUBLE
                        else loop.sock_recv(connection, 1 << 16),
                        30.0,
                    )
                except (ConnectionError, TimeoutError) as fault:
                    record(f"client {number}: {fault!r}")
                    piece = b""
                if not piece:
                    break
                received += piece
                if wanted < 0 and b"\r\n" in received:
                    head = received.partition(b"\r\n")[0]
                    wanted = len(head) + 2 + int(head.split()[1]) + 2
                if stage.now() - last > 1.0:
                    last = stage.now()
                    record(f"client {number} has {len(received)} of {wanted} bytes after {last - begin:.1f} s")
                if stage.TROUBLE:
                    await asyncio.sleep(STEP_SECONDS)
            text = f"client {number} has {len(received)} of {wanted} bytes after {stage.now() - begin:.1f} s"
            record.say(text)
            if len(received) < wanted or wanted < 0:
                breaks.append(f"{text}, and its connection was ended; it read all the time")

    try:
        if not await balancer.ready():
            raise stage.CannotRun("the balancer was not ready")
        await asyncio.gather(*(client(n) for n in range(CLIENTS)))
    finally:
        balancer.end()
    return breaks


stage.play(FOLDER, case)
