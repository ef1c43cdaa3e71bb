"""Stand-ins of the platform on loopback: cache hosts, discovery and the connections of clients (asyncio).

They follow the operators' protocol page: a cache host begins a command when its last byte has come, answers in order
on each connection, reads through to the origin, drops a repeat of a keyed write within its window, and stops work
whose connection has ended. Discovery answers a whole list or a watch.
"""

import asyncio
import json
import time
from collections.abc import Callable
from contextlib import suppress
from typing import ClassVar

LIMIT = 1 << 23


def now() -> float:
    return time.monotonic()


def socket_address(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


class Record:
    """What was sent, answered and run, as lines with the time in seconds since the start."""

    def __init__(self, path: str) -> None:
        self.started, self.lines, self.path = now(), [], path

    def say(self, text: str) -> None:
        self.lines.append(f"{now() - self.started:9.4f}  {text}")

    def write(self) -> None:
        with open(self.path, "w") as target:
            target.write("\n".join(self.lines) + "\n")


class Request:
    """A command as a cache host received it."""

    def __init__(self, words: list[bytes], value: bytes | None) -> None:
        self.verb, self.key = words[0].decode(), words[1].decode()
        flags = words[2:] if value is None else words[3:]
        self.id = next(w[1:] for w in flags if w[:1] == b"O").decode()
        names = next(w[1:] for w in flags if w[:1] == b"P").decode()
        self.names = dict(pair.split("=", 1) for pair in names.split(","))
        self.value = value


async def read_command(reader: asyncio.StreamReader, idle_s: float | None) -> Request | None:
    """Reads one command with its value. Returns None at the end of the connection, or if no byte comes within `idle_s`.

    Once a command has begun it may take any time.
    """
    try:
        first = await asyncio.wait_for(reader.readexactly(1), idle_s)
        line = first + await reader.readuntil(b"\r\n")
        words = line.split()
        if not words or words[0] == b"mn":
            return None
        value = None
        if words[0] == b"ms":
            value = (await reader.readexactly(int(words[2]) + 2))[:-2]
        return Request(words, value)
    except (asyncio.IncompleteReadError, OSError):  # TimeoutError and ConnectionError are kinds of OSError
        return None


class CacheHost:
    """One cache host. `service_time` returns the seconds that a command takes."""

    applied: ClassVar[dict[str, float]] = {}  # of all cache hosts: idempotency keys, and when they were first run

    def __init__(
        self,
        name: str,
        record: Record,
        service_time: Callable[[Request], float],
        value_of: Callable[[str], bytes],
        idle_s: float = 5.0,
        window_s: float = 3.0,
    ) -> None:
        self.name, self.record, self.service_time, self.value_of = name, record, service_time, value_of
        self.idle_s, self.window_s = idle_s, window_s
        self.begun: dict[str, int] = {}  # by request id, how often its last byte came
        self.done: dict[str, int] = {}
        self.up_since_ms = 0
        self.phase = "up"

    async def start(self, address: str) -> None:
        self.server = await asyncio.start_server(self.serve, address, 0, limit=LIMIT, backlog=1024)
        self.host_port = socket_address(self.server)

    def entry(self) -> dict:
        return {
            "id": self.name,
            "host_port": self.host_port,
            "locality": "sala-norte",
            "flavor": "nodo-base",
            "cell": 0,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": self.up_since_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answers: asyncio.Queue = asyncio.Queue()
        sender = asyncio.ensure_future(self.send(answers, writer))
        work: list[asyncio.Task] = []
        try:
            while True:
                timeout = None if any(not task.done() for task in work) else self.idle_s
                request = await read_command(reader, timeout)
                if request is None:
                    break
                self.begun[request.id] = self.begun.get(request.id, 0) + 1
                self.record.say(f"{self.name} begins {request.verb} {request.key} id {request.id}")
                task = asyncio.ensure_future(self.run(request))
                work = [one for one in work if not one.done()] + [task]
                answers.put_nowait(task)
        except asyncio.CancelledError:
            pass  # the case has ended
        finally:
            for task in work:
                task.cancel()
            sender.cancel()
            with suppress(Exception):
                writer.close()

    async def run(self, request: Request) -> bytes:
        await asyncio.sleep(self.service_time(request))
        key = request.names.get("k")
        if key is not None and now() - self.applied.get(key, -self.window_s) < self.window_s:
            self.record.say(f"{self.name} drops a repeat: {request.key} id {request.id}")
            return self.answer(request)
        if key is not None:
            self.applied[key] = now()
        self.done[request.id] = self.done.get(request.id, 0) + 1
        self.record.say(f"{self.name} has run {request.verb} {request.key} id {request.id}")
        return self.answer(request)

    def answer(self, request: Request) -> bytes:
        """Returns the value of a read, or the receipt of a write."""
        if request.value is None:
            value = self.value_of(request.key)
            return b"VA %d O%s h1\r\n%s\r\n" % (len(value), request.id.encode(), value)
        return b"HD O%s cr-%s\r\n" % (request.id.encode(), request.id.encode())

    async def send(self, answers: asyncio.Queue, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, OSError):
            while True:
                writer.write(await (await answers.get()))
                await writer.drain()


class Discovery:
    """Discovery: whole lists, and watches that wait for a change."""

    def __init__(self, record: Record) -> None:
        self.record, self.revision, self.members, self.changed = record, 41, {}, asyncio.Event()
        self.changes: list[tuple[int, dict]] = []

    async def start(self, address: str) -> None:
        self.server = await asyncio.start_server(self.serve, address, 0)
        self.host_port = socket_address(self.server)

    def tell(self, *entries: dict) -> None:
        """Changes the list."""
        self.revision += 1
        for entry in entries:
            self.members[entry["id"]] = entry
            self.changes.append((self.revision, entry))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def whole(self) -> dict:
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(Exception, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                path = head.split(" ")[1]
                query = dict(pair.split("=") for pair in path.partition("?")[2].split("&") if pair)
                answer = self.whole()
                if "index" in query:
                    index = int(query["index"])
                    if index >= self.revision:
                        with suppress(asyncio.TimeoutError):
                            await asyncio.wait_for(self.changed.wait(), int(query.get("wait", 0)) / 1000)
                    news = {e["id"]: e for r, e in self.changes if r > index}
                    answer = {"revision": self.revision, "complete": False, "members": list(news.values())}
                body = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                    % (len(body), body)
                )
                await writer.drain()
        with suppress(Exception):
            writer.close()


class Connection:
    """A connection of a client, with the answers it has read: (time, first line, length of the value or -1, value)."""

    async def open(self, address: tuple[str, int], limit: int = LIMIT) -> "Connection":
        self.reader, self.writer = await asyncio.open_connection(*address, limit=limit)
        return self

    async def answer(self) -> tuple[str, bytes]:
        """Reads one whole answer. Raises IncompleteReadError or ConnectionError where the connection ends before."""
        line = (await self.reader.readuntil(b"\r\n"))[:-2]
        value = b""
        if line.startswith(b"VA "):
            value = (await self.reader.readexactly(int(line.split()[1]) + 2))[:-2]
        return line.decode("latin-1"), value

    def close(self) -> None:
        with suppress(Exception):
            self.writer.close()
