"""What the scripts of this review share: a record, stand-ins of cache hosts and of discovery, clients, and processes.

Only the standard library is used. Every address is a loopback address. The cache hosts and discovery behave soundly;
a case changes one thing by a hook.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
MAX_SECONDS = 110.0


def now() -> float:
    return time.monotonic()


class Record:
    """The file record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.begin = now()
        self.file = open(folder / "record.txt", "w")  # noqa: SIM115  closed when the play ends

    def __call__(self, text: str) -> None:
        self.file.write(f"{now() - self.begin:9.4f}  {text}\n")

    def say(self, text: str) -> None:
        self(text)
        print(text, flush=True)


def free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


# ---- cache hosts ----


class Command:
    """A command as a cache host received it."""

    def __init__(self, verb: str, key: str, length: int, flags: list[str], first_byte: float) -> None:
        self.verb, self.key, self.length, self.first_byte = verb, key, length, first_byte
        self.last_byte, self.value = 0.0, b""
        self.id = next((f[1:] for f in flags if f.startswith("O")), "")
        names = next((f[1:] for f in flags if f.startswith("P")), "")
        self.names = dict(pair.split("=", 1) for pair in names.split(",") if "=" in pair)

    @property
    def mark(self) -> str:
        return self.names.get("k", "")


class HostLink:
    """One connection to a cache host. Answers go out in the order of the commands."""

    def __init__(self, host: "CacheHost", reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.host, self.reader, self.writer = host, reader, writer
        self.waiting: deque[Command] = deque()  # commands without an answer
        self.closed = False
        self.idle = False  # no byte of a further command has come

    async def write(self, data: bytes) -> None:
        if not self.closed:
            with suppress(ConnectionError):
                self.writer.write(data)
                await self.writer.drain()

    def reset(self) -> None:
        """Ends the connection with a TCP reset."""
        if not self.closed:
            self.closed = True
            sock = self.writer.get_extra_info("socket")
            if sock is not None:
                with suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            self.writer.transport.abort()

    async def serve(self) -> None:
        host = self.host
        try:
            while True:
                self.idle = True
                first = await self.reader.readexactly(1)
                self.idle, at = False, now()
                line = first + await self.reader.readuntil(b"\r\n")
                words = line.decode("latin-1").split()
                write = words[0] == "ms"
                command = Command(
                    words[0], words[1], int(words[2]) if write else 0, words[3:] if write else words[2:], at
                )
                if write:
                    command.value = await self.reader.readexactly(command.length + 2)
                command.last_byte = now()
                host.arrived(command)
                self.waiting.append(command)
                await host.handle(self, command)
                if command in self.waiting:
                    self.waiting.remove(command)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.closed = True
            host.links.discard(self)
            self.writer.close()


Handler = Callable[[HostLink, Command], Awaitable[None]]


def value_of(command: Command, host: str, size: int = 40) -> bytes:
    """Returns the value that only this cache host can have made for this request."""
    stamp = f"{command.key}/{command.id}/{host}/".encode()
    return stamp + b"." * max(0, size - len(stamp))


class CacheHost:
    """A cache host that answers each command after `work` seconds. A hook may handle a command instead."""

    def __init__(self, name: str, address: str, record: Record, work: float = 0.01) -> None:
        self.name, self.address, self.record, self.work = name, address, record, work
        self.port = free_port(address)
        self.place = f"{address}:{self.port}"
        self.handler: Handler | None = None
        self.commands: list[Command] = []
        self.runs: list[tuple[float, str, str, str]] = []  # time, id, mark, class of what was run
        self.links: set[HostLink] = set()
        self.server: asyncio.Server | None = None
        self.value_size = 40

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._connected, self.address, self.port, backlog=512, limit=1 << 20)

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        for link in list(self.links):
            link.reset()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = HostLink(self, reader, writer)
        self.links.add(link)
        await link.serve()

    def arrived(self, command: Command) -> None:
        self.commands.append(command)
        self.record(
            f"{self.name} got {command.verb} {command.key} O{command.id} c={command.names.get('c')}"
            f" d={command.names.get('d')} k={command.mark}"
        )

    async def handle(self, link: HostLink, command: Command) -> None:
        if self.handler is not None:
            await self.handler(link, command)
        else:
            await self.run(command)
            await self.answer(link, command)

    async def run(self, command: Command, seconds: float | None = None) -> None:
        """Runs the command: its work first, then its effect."""
        await asyncio.sleep(self.work if seconds is None else seconds)
        self.runs.append((now(), command.id, command.mark, command.names.get("c", "")))
        self.record(f"{self.name} ran O{command.id} c={command.names.get('c')} k={command.mark}")

    def text_of(self, command: Command) -> bytes:
        if command.verb == "ms":
            return f"HD O{command.id} cr.{command.id}.{self.name}\r\n".encode()
        value = value_of(command, self.name, self.value_size)
        return f"VA {len(value)} O{command.id}\r\n".encode() + value + b"\r\n"

    async def answer(self, link: HostLink, command: Command) -> None:
        self.record(f"{self.name} answers O{command.id}")
        await link.write(self.text_of(command))

    async def turn_away(self, link: HostLink, command: Command) -> None:
        self.record(f"{self.name} turns away O{command.id}")
        await link.write(b"SERVER_ERROR busy\r\n")


class SlowWay:
    """A proxy that carries bytes to a place and back, each way `delay` seconds late and in order."""

    def __init__(self, address: str, target: str, delay: float) -> None:
        self.address, self.target, self.delay = address, target, delay
        self.port = free_port(address)
        self.place = f"{address}:{self.port}"

    async def start(self) -> None:
        await asyncio.start_server(self._connected, self.address, self.port, backlog=512)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        for one in (writer, far_writer):
            one.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.gather(self._carry(reader, far_writer), self._carry(far_reader, writer))

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        with suppress(ConnectionError):
            while data := await reader.read(1 << 16):
                loop.call_later(self.delay, writer.write, data)
        loop.call_later(self.delay, writer.close)


# ---- discovery ----


class Discovery:
    """Discovery over HTTP: the whole list, and watches. `silent` withholds every answer."""

    def __init__(self, address: str, record: Record, name: str = "discovery") -> None:
        self.address, self.record, self.name = address, record, name
        self.port = free_port(address)
        self.place = f"{address}:{self.port}"
        self.revision = 1
        self.members: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.told: list[tuple[float, int]] = []  # when which revision was written
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None

    def entry(
        self, host: CacheHost, phase: str = "up", since_ms: int = 0, zone: str = "here", place: str = ""
    ) -> dict[str, Any]:
        return {
            "id": f"id-{host.name}",
            "host_port": place or host.place,
            "locality": zone,
            "flavor": "toy",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": since_ms,
        }

    def begin_with(self, entries: list[dict[str, Any]]) -> None:
        self.members = {entry["id"]: entry for entry in entries}

    def change(self, entry: dict[str, Any]) -> None:
        self.revision += 1
        self.changes.append((self.revision, entry))
        if entry["phase"] == "removed":
            self.members.pop(entry["id"], None)
        else:
            self.members[entry["id"]] = entry
        self.record(f"{self.name} revision {self.revision}: {entry['id']} {entry['phase']}")
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._connected, self.address, self.port, backlog=128)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self._call(head.split(b" ")[1].decode(), writer)
        writer.close()

    async def _call(self, target: str, writer: asyncio.StreamWriter) -> None:
        query = dict(pair.split("=", 1) for pair in target.partition("?")[2].split("&") if "=" in pair)
        index = int(query["index"]) if "index" in query else None
        end = now() + int(query.get("wait", "0")) / 1000
        while index is not None and self.revision <= index and now() < end:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), max(0.001, end - now()))
        if index is None:
            document = self.whole()
        else:
            entries = {entry["id"]: entry for revision, entry in self.changes if revision > index}
            document = {"revision": self.revision, "complete": False, "members": list(entries.values())}
        body = json.dumps(document).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        self.told.append((now(), document["revision"]))
        self.record(f"{self.name} tells revision {document['revision']}")
        await writer.drain()


# ---- balancers ----

PROFILES = [
    {"Name": "read", "Semantics": "repeatable", "ServiceGoal": 600000, "HardLimit": 1500000},
    {"Name": "put", "Semantics": "once", "ServiceGoal": 750000, "HardLimit": 1500000},
    {
        "Name": "mark",
        "Semantics": "by_key",
        "DedupScope": "all",
        "Window": 3000000,
        "ServiceGoal": 1500000,
        "HardLimit": 5000000,
    },
]


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, as in the example of the wire page."""
    facts: dict[str, Any] = {
        "Balancers": 1,
        "MyNumber": 0,
        "Discovery": "on_request",
        "Quantum": 5000,
        "Weights": "none",
        "Zone": "here",
        "Zones": ["here"],
        "Kinds": ["toy"],
        "Tenants": [],
        "FamilyInfo": {"Mode": "through", "Ordered": True, "OriginKind": -1},
        "Profiles": PROFILES,
        "Prices": {"CrossZone": 0.03},
        "Limits": {
            "Cancel": True,
            "ParallelTries": True,
            "MostHops": 5,
            "RetryAfter": True,
            "MaxRetryAfter": 2000000,
            "StreamsPerConn": 32,
            "ConnIdle": 5000000,
            "DialTimeout": 250000,
            "MostHeld": 20000,
        },
        "Invariants": {
            "ColdShare": 0.17,
            "WarmWithin": 23000000,
            "TipMultiple": 4.0,
            "Fall": 1000000,
            "DrainGrace": 500000,
            "MustAskIn": 10000000,
            "GraceToAnswer": 20000,
        },
    }
    for name, value in changes.items():
        facts[name] = facts[name] | value if isinstance(value, dict) else value
    return facts


def deploy_command(name: str) -> str:
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return str(tomllib.load(file)[name])


class Balancer:
    """One process of a balancer, started by `run` of the deploy file."""

    def __init__(
        self,
        folder: Path,
        listen: str,
        discovery: str,
        known: dict[str, Any],
        facts: dict[str, Any],
        management: str = "",
        limits: dict[str, Any] | None = None,
    ) -> None:
        self.folder, self.listen, self.management = folder, listen, management
        self.config = folder / "config.json"
        self.document: dict[str, Any] = {
            "name": "n0",
            "listen": listen,
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | (limits or {}),
            "known": known,
            "settings": facts,
        }
        if management:
            self.document["management"] = management
        self.write_config()
        self.process: subprocess.Popen[bytes] | None = None
        self.log = folder / "balancer.log"

    def write_config(self) -> None:
        new = self.config.with_suffix(".new")
        new.write_text(json.dumps(self.document))
        os.replace(new, self.config)

    def start(self) -> None:
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True)
        environment = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        environment |= {"EDGE_CONFIG": str(self.config), "EDGE_NAME": "n0", "TMPDIR": str(scratch)}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    async def ready(self, seconds: float = 20.0) -> bool:
        """Waits until `mn` is answered with `MN`."""
        until = now() + seconds
        while now() < until:
            if self.process is not None and self.process.poll() is not None:
                return False
            with suppress(OSError, asyncio.TimeoutError):
                client = await Client.connect(self.listen)
                client.send(b"mn\r\n")
                answer = await asyncio.wait_for(client.reader.readline(), 1.0)
                client.close()
                if answer == b"MN\r\n":
                    return True
            await asyncio.sleep(0.05)
        return False


# ---- clients ----


class Client:
    """One connection of a client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, place: str) -> "Client":
        host, _, port = place.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 23)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(reader, writer)

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    def close(self) -> None:
        self.writer.close()

    async def answer(self) -> tuple[str, bytes]:
        """Returns the first line of an answer without its end, and the value. An end of the connection: ("", b"")."""
        line = await self.reader.readline()
        if not line.endswith(b"\r\n"):
            return "", b""
        value = b""
        if line.startswith(b"VA "):
            value = await self.reader.readexactly(int(line.split()[1]) + 2)
        return line[:-2].decode("latin-1"), value[:-2]


def request(verb: str, key: str, id: str, profile: str, ttl_ms: int, mark: str = "", value: bytes = b"hello") -> bytes:
    """Returns a request in the form of the protocol page."""
    names = f"Pc={profile},d={ttl_ms}" + (f",k={mark}" if mark else "")
    if verb == "mg":
        return f"mg {key} v O{id} {names}\r\n".encode()
    return f"ms {key} {len(value)} O{id} {names}\r\n".encode() + value + b"\r\n"


# ---- the frame of a case ----


class CannotRun(Exception):
    """The case could not be played."""


def play(folder: Path, case: Callable[[Record, Path], Coroutine[Any, Any, list[str]]]) -> None:
    """Plays a case and exits: 1 if it returns breaks of the rule, 0 if it returns none, 2 if it could not run."""
    record = Record(folder)
    record.say(f"trouble: {'yes' if TROUBLE else 'no'}")
    code = CANNOT_RUN
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as scratch:
            try:
                breaks = asyncio.run(asyncio.wait_for(case(record, Path(scratch)), MAX_SECONDS))
            finally:
                for log in Path(scratch).glob("*.log"):
                    record(f"---- {log.name}")
                    record.file.write(log.read_text(errors="replace")[-20000:])
        for text in breaks[:20]:
            record.say(f"BROKEN: {text}")
        record.say(f"{len(breaks)} breaks of the rule")
        code = BROKEN if breaks else HELD
    except Exception as fault:  # a fault of the stage is no break of the rule
        record.say(f"could not run: {fault!r}")
    record.file.close()
    sys.stdout.flush()
    os._exit(code)  # what is still open ends with the process
