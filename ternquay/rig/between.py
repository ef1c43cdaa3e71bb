"""A layer between the members of a fleet: each way from one to another can be cut, slowed, lossy, doubling or dripping.

    between = Between(places)                     # the members' own places, by name
    between.place("a", "b")                       # where a is told that b is
    between.ways["a", "b"].cut = True             # what a says to b is lost; b still reaches a
    between.cut({"a"}, {"b", "c"}); between.heal()

Frames on TCP (a length and so many bytes) are lost, doubled or held back whole, so that a connection goes on after
them; datagrams likewise. Loopback only; a thread of its own, ended by end().
"""

import asyncio
import threading
from collections.abc import Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

Where = tuple[str, int]
WAITING_MOST = 4096  # frames that a way holds back; more are lost


@dataclass(slots=True)
class Way:
    """From one member to another. `delay` in seconds, drawn up to so much for each frame, so frames overtake each
    other; `loss` and `double` are parts of one; `drip`: bytes at a time, a millisecond apart."""

    cut: bool = False
    delay: float = 0.0
    loss: float = 0.0
    double: float = 0.0
    drip: int = 0
    waiting: int = 0
    passed: int = 0
    lost: int = 0


class Between:
    def __init__(self, places: Mapping[str, Where], seed: int = 1) -> None:
        self.places, self.random = dict(places), Random(seed)
        pairs = [(a, b) for a in places for b in places if a != b]
        self.ways = {pair: Way() for pair in pairs}
        self.told: dict[tuple[str, str], Where] = {}
        self.loop = asyncio.new_event_loop()
        self.open: set[Any] = set()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        asyncio.run_coroutine_threadsafe(self._begin(pairs), self.loop).result(10)

    def place(self, of: str, to: str) -> str:
        host, port = self.told[of, to]
        return f"{host}:{port}"

    def cut(self, some: Iterable[str], others: Iterable[str], back: bool = True) -> None:
        """What `some` say to `others` is lost; with `back` also what these say to them."""
        others = set(others)
        for a in some:
            for b in others - {a}:
                self.ways[a, b].cut = True
                if back:
                    self.ways[b, a].cut = True

    def heal(self) -> None:
        for way in self.ways.values():
            way.cut, way.delay, way.loss, way.double, way.drip = False, 0.0, 0.0, 0.0, 0

    def end(self) -> None:
        asyncio.run_coroutine_threadsafe(self._end(), self.loop).result(10)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)
        self.loop.close()

    # ---- on the loop ----

    async def _begin(self, pairs: list[tuple[str, str]]) -> None:
        for pair in pairs:
            self.told[pair] = await self._opened(pair)

    async def _opened(self, pair: tuple[str, str]) -> Where:
        for _ in range(20):  # the port that TCP got may be taken on UDP
            server = await asyncio.start_server(partial(self._carry, pair), "127.0.0.1", 0)
            where: Where = server.sockets[0].getsockname()
            datagrams = Datagrams(self, pair)
            try:
                transport, _ = await self.loop.create_datagram_endpoint(partial(same, datagrams), local_addr=where)
            except OSError:
                server.close()
                continue
            self.open |= {server, transport}
            return where
        raise OSError("no port is free on both TCP and UDP")

    async def _end(self) -> None:
        for one in self.open:
            one.close()
        tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _carry(self, pair: tuple[str, str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        out: asyncio.StreamWriter | None = None
        try:
            _, out = await asyncio.open_connection(*self.places[pair[1]])
            whole = Whole(out)
            while True:
                head = await reader.readexactly(4)
                frame = head + await reader.readexactly(int.from_bytes(head, "big"))
                drip = self.ways[pair].drip
                if drip:
                    await whole.drip(frame, drip)
                else:
                    self.pass_on(pair, whole.write, frame)
                    await out.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # either side is gone, or all of this ends
        finally:
            for one in (writer, out):
                if one is not None:
                    with suppress(OSError):
                        one.transport.abort()

    def pass_on(self, pair: tuple[str, str], write: Any, frame: bytes) -> None:
        way = self.ways[pair]
        if way.cut or self.random.random() < way.loss or way.waiting >= WAITING_MOST:
            way.lost += 1
            return
        for _ in range(1 + (self.random.random() < way.double)):
            way.waiting += 1
            self.loop.call_later(way.delay * self.random.random(), self._write, way, write, frame)

    def _write(self, way: Way, write: Any, frame: bytes) -> None:
        way.waiting -= 1
        way.passed += 1
        with suppress(OSError, RuntimeError):
            write(frame)


class Whole:
    """Frames out on one connection, each whole: one that was held back may be due while another drips."""

    def __init__(self, out: asyncio.StreamWriter) -> None:
        self.out = out
        self.dripping = False
        self.due: list[bytes] = []

    def write(self, frame: bytes) -> None:
        if self.dripping:
            self.due.append(frame)
        else:
            self.out.write(frame)

    async def drip(self, frame: bytes, most: int) -> None:
        self.dripping = True
        for at in range(0, len(frame), most):
            self.out.write(frame[at : at + most])
            await asyncio.sleep(0.001)
        self.dripping = False
        due, self.due = self.due, []
        self.out.writelines(due)


def same(one: "Datagrams") -> "Datagrams":
    return one


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, between: Between, pair: tuple[str, str]) -> None:
        self.between, self.pair = between, pair
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        to = self.between.places[self.pair[1]]
        self.between.pass_on(self.pair, lambda text: self.transport.sendto(text, to), data)
