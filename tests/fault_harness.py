"""A balancer's process on loopback with stand-ins for cache hosts and clients, on one asyncio loop.

The stand-ins record what the rules are about: when each attempt began, how often each id ran, and when each client sent
its last byte, left, or had its answer. Times are seconds on the monotonic clock.
"""

import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import cache
from itertools import count
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from tests.helper import FACTS
from tests.hosted_helper import HostedService

ROOT = Path(__file__).parents[1]
START_TIMEOUT_S = 30.0
MEMORY_SAMPLE_S = 0.02
MAX_COMMAND_BYTES = 8 << 20
PACED_READ_BYTES = 4096  # of one read of a cache host that reads at a set speed


class StartError(Exception):
    """The process did not become ready."""


def run_command() -> str:
    """Returns the command that starts a balancer, as the platform runs it."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


@cache
def store_compiled_modules() -> None:
    """Does the last step of the build, so that the first process takes no more memory than any other."""
    subprocess.run(
        [ROOT / ".venv/bin/python", "-OO", "-X", "pycache_prefix=.venv/cache", "-m", "ternquay.net.slim_imports"],
        cwd=ROOT,
        env={"PATH": os.environ.get("PATH", "")},
        check=True,
    )


FIRST_PORT = 21_000  # below the ports that the system gives to outgoing connections
ports = count(FIRST_PORT)


def own_host() -> str:
    """Returns a loopback address of this process, so that plays beside each other share no port."""
    return f"127.{100 + os.getpid() // 62_500 % 100}.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"


def free_address() -> tuple[str, int]:
    """Returns an address that nobody listens on."""
    return own_host(), next(ports)


def profile(name: str, semantics: str, goal_ms: int, limit_ms: int, scope: str = "all") -> dict[str, Any]:
    """Returns the settings of one profile."""
    return {
        "Name": name,
        "Semantics": semantics,
        "ServiceGoal": goal_ms * 1000,
        "HardLimit": limit_ms * 1000,
        "DedupScope": scope,
        "Window": 3_000_000,
    }


def settings(**more: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment."""
    profiles = [
        profile("clip", "repeatable", 600, 1500),
        profile("copy", "once", 750, 1500),
        profile("note", "by_key", 1500, 2500),
    ]
    limits = FACTS["Limits"] | {"MostHops": 5, "StreamsPerConn": 32}
    return FACTS | {"Discovery": "pushed", "Profiles": profiles, "Limits": limits, "Balancers": 1} | more


@dataclass
class Attempt:
    """A command as a cache host received it."""

    id: str
    host: str
    began_at: float  # its first byte arrived
    taken_at: float = 0.0  # its last byte arrived; 0: it never did
    ended_at: float = 0.0  # its connection ended, or its answer was written
    answered: bool = False


@dataclass
class Command:
    """A whole command that a cache host answers."""

    verb: bytes
    key: str
    id: str
    params: dict[str, str]
    value_bytes: int


Answer = Callable[[Command, asyncio.StreamWriter], Awaitable[None]]


def value_answer(size: int = 20, delay_s: float = 0.01) -> Answer:
    """Returns the behaviour of a cache host that answers reads with `size` bytes after a delay."""

    async def answer(command: Command, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(delay_s)
        writer.write(whole_answer(command, size))

    return answer


def whole_answer(command: Command, size: int = 20) -> bytes:
    if command.verb == b"ms":
        return b"HD O%b cr\r\n" % command.id.encode()
    return b"VA %d O%b h1\r\n%b\r\n" % (size, command.id.encode(), b"v" * size)


class CacheHost:
    """A cache host. `answer` writes the answer to a command; `read_bytes_per_s` paces how it reads large values."""

    def __init__(self, name: str, answer: Answer, read_bytes_per_s: float = 0.0) -> None:
        self.name, self.answer, self.read_bytes_per_s = name, answer, read_bytes_per_s
        self.attempts: list[Attempt] = []
        self.address = ("", 0)
        self.server: asyncio.Server | None = None
        self.connections: set[asyncio.StreamWriter] = set()

    async def start(self, address: tuple[str, int] | None = None) -> "CacheHost":
        buffer = 4096 if self.read_bytes_per_s else 1 << 16
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.read_bytes_per_s:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        listener.bind(address or free_address())
        listener.listen(1024)
        self.server = await asyncio.start_server(self._serve, sock=listener, limit=buffer)
        self.address = listener.getsockname()[:2]
        return self

    async def stop(self) -> None:
        """Ends as a process that dies: open connections are reset."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def runs(self, request_id: str) -> int:
        """Returns how often the command of that id has come whole."""
        return sum(1 for one in self.attempts if one.id == request_id and one.taken_at)

    def entry(self, phase: str = "up", **more: Any) -> dict[str, Any]:
        return {
            "id": self.name,
            "host_port": f"{self.address[0]}:{self.address[1]}",
            "locality": "a",
            "flavor": "k",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        } | more

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        attempt = None
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                words = line.split(b" ")
                flags = words[2:] if words[0] == b"mg" else words[3:]
                flags = [flag.strip() for flag in flags]
                request_id = next(flag[1:].decode() for flag in flags if flag[:1] == b"O")
                params = dict(
                    pair.split("=", 1)
                    for pair in next(flag[1:].decode() for flag in flags if flag[:1] == b"P").split(",")
                )
                attempt = Attempt(request_id, self.name, time.monotonic())
                self.attempts.append(attempt)
                size = int(words[2]) if words[0] == b"ms" else -1
                if size >= 0:
                    await self.read_value(reader, size + 2, words[1].decode())
                attempt.taken_at = time.monotonic()
                command = Command(words[0], words[1].strip().decode(), request_id, params, size)
                await self.answer(command, writer)
                await writer.drain()
                attempt.answered, attempt.ended_at = True, time.monotonic()
        except (asyncio.IncompleteReadError, ConnectionError, StopIteration, asyncio.CancelledError):
            pass
        finally:
            if attempt is not None and not attempt.ended_at:
                attempt.ended_at = time.monotonic()
            self.connections.discard(writer)
            with suppress(Exception):
                writer.close()

    async def read_value(self, reader: asyncio.StreamReader, left: int, key: str) -> None:
        """Reads the value of a write to this key."""
        await read_paced(reader, left, self.read_bytes_per_s)


async def read_paced(reader: asyncio.StreamReader, left: int, bytes_per_s: float) -> None:
    """Reads so many bytes at this speed, at once where it is 0. Raises IncompleteReadError if they end before."""
    while left:
        data = await reader.read(min(left, PACED_READ_BYTES if bytes_per_s else left))
        if not data:
            raise asyncio.IncompleteReadError(b"", left)
        left -= len(data)
        if bytes_per_s:
            await asyncio.sleep(len(data) / bytes_per_s)


@dataclass
class Reply:
    """What a client got for one request. `line` is empty where the connection ended before an answer."""

    id: str
    sent_at: float
    ended_at: float
    line: bytes = b""
    body_bytes: int = -1
    begun_at: float = 0.0  # the first byte of the answer arrived

    @property
    def served(self) -> bool:
        return self.line.startswith((b"VA ", b"HD "))

    def wait(self) -> float:
        return self.ended_at - self.sent_at


class Client:
    """A connection of a client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address: tuple[str, int], limit: int = 1 << 16) -> "Client":
        return cls(*await asyncio.open_connection(*address, limit=limit))

    async def read_reply(self, request_id: str, sent_at: float, timeout_s: float = 10.0) -> Reply:
        """Reads one answer whole."""
        reply = Reply(request_id, sent_at, 0.0)
        try:
            async with asyncio.timeout(timeout_s):
                reply.line = await self.reader.readuntil(b"\r\n")
                reply.begun_at = time.monotonic()
                if reply.line.startswith(b"VA "):
                    size = int(reply.line.split()[1])
                    await self.reader.readexactly(size + 2)
                    reply.body_bytes = size
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            if reply.line.startswith(b"VA "):
                reply.line = b"cut off"
        reply.ended_at = time.monotonic()
        return reply

    async def ask(self, command: bytes, request_id: str, timeout_s: float = 10.0) -> Reply:
        with suppress(ConnectionError):
            self.writer.write(command)
            await self.writer.drain()
        return await self.read_reply(request_id, time.monotonic(), timeout_s)

    def leave(self) -> None:
        """Closes the connection."""
        self.writer.transport.abort() if self.writer.transport.is_closing() else self.writer.close()


def read(request_id: str, key: str = "key", wait_ms: int = 1200, profile_name: str = "clip", more: str = "") -> bytes:
    return f"mg {key} v O{request_id} Pc={profile_name},d={wait_ms}{more}\r\n".encode()


def write(request_id: str, size: int, key: str = "key", wait_ms: int = 1200, profile_name: str = "copy") -> bytes:
    return f"ms {key} {size} O{request_id} Pc={profile_name},d={wait_ms},k=m{request_id}\r\n".encode()


@dataclass
class BalancerProcess:
    """A process of the balancer, started as deploy/balancer.toml says."""

    hosts: list[CacheHost]
    memory_mb: float = 96
    sockets: int = 1024
    inherited: socket.socket | None = None
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="fault-")))
    shared_folder: Path | None = None  # TMPDIR of both processes of an upgrade
    facts: dict[str, Any] = field(default_factory=settings)
    listen: tuple[str, int] = ("", 0)
    management: tuple[str, int] = ("", 0)
    discovery: tuple[str, int] = ("", 0)
    stopped: bool = False  # it has ended as it should
    process: "subprocess.Popen[bytes] | None" = None

    def configuration(self) -> dict[str, Any]:
        return {
            "name": "n1",
            "listen": f"{self.listen[0]}:{self.listen[1]}",
            "discovery": f"{self.discovery[0]}:{self.discovery[1]}",
            "management": f"{self.management[0]}:{self.management[1]}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": {"revision": 1, "complete": True, "members": [host.entry() for host in self.hosts]},
            "settings": self.facts,
        }

    async def start(self) -> "BalancerProcess":
        """Starts the process and returns when it has answered `mn`. Raises StartError if it ends before."""
        store_compiled_modules()
        if self.inherited is not None:
            self.listen = self.inherited.getsockname()[:2]
        elif not self.listen[1]:
            self.listen = free_address()
        self.management = self.management if self.management[1] else free_address()
        self.discovery = self.discovery if self.discovery[1] else free_address()
        self.folder.mkdir(exist_ok=True, parents=True)
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.configuration()))
        shared = self.shared_folder or self.folder / "tmp"
        shared.mkdir(exist_ok=True, parents=True)
        env = {"PATH": os.environ.get("PATH", ""), "TMPDIR": str(shared), "EDGE_CONFIG": str(path)}
        descriptors: tuple[int, ...] = ()
        if self.inherited is not None:
            env["EDGE_SOCKET_FD"], descriptors = str(self.inherited.fileno()), (self.inherited.fileno(),)
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_command()],
                cwd=ROOT,
                env=env,
                stderr=log,
                stdin=subprocess.DEVNULL,
                pass_fds=descriptors,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.sockets, self.sockets)),
            )
        until = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready():
            if self.process.poll() is not None:
                raise StartError(f"ended with {self.process.returncode}: {self.log()}")
            if time.monotonic() > until:
                raise StartError("not ready in time")
            await asyncio.sleep(0.02)
        return self

    async def is_ready(self) -> bool:
        """Whether the management address says yes."""
        try:
            client = await Client.open(self.management)
            client.writer.write(b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(client.reader.readline(), 2)
            client.leave()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return b" 200 " in line

    def log(self) -> str:
        return (self.folder / "log").read_text(errors="replace")

    def resident_mb(self) -> float:
        """Returns the resident memory of the process, 0 where it has ended."""
        assert self.process is not None
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * resource.getpagesize() / (1 << 20)

    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


HOSTED_PROGRAM_MB = 80  # a hosted service's limit is for what tenants have open, beside the program
HOSTED_PROFILES = [
    {"name": "clip", "kind": "idempotent", "service_goal_ms": 600, "hard_limit_ms": 1500},
    {"name": "copy", "kind": "non-idempotent", "service_goal_ms": 750, "hard_limit_ms": 1500},
    {"name": "note", "kind": "journalled", "memory_ms": 3000, "service_goal_ms": 1500, "hard_limit_ms": 2500},
]


@dataclass
class HostedProcess(BalancerProcess):
    """A process of the hosted service with one tenant, which stands in for a balancer's."""

    async def start(self) -> "HostedProcess":
        self.folder.mkdir(exist_ok=True, parents=True)
        service = HostedService(self.folder)
        service.config_text = service.config_text.replace(
            "sockets = 256", f"sockets = {self.sockets}\nmemory_mb = {int(self.memory_mb)}"
        )
        service.config_file.write_text(service.config_text)
        service.start()
        self.process = service.process
        places = tuple(f"{host.address[0]}:{host.address[1]}" for host in self.hosts)
        limits = {"txs_a_second": 100_000, "burst": 100_000, "open_txs": 1000}
        listen = await asyncio.to_thread(
            lambda: service.create_tenant("coro", places, profiles=HOSTED_PROFILES, limits=limits)
        )
        self.listen = service.parse_address(listen)
        return self


async def watch_memory(processes: list[BalancerProcess], peak: list[float]) -> None:
    """Records the highest sum of the resident memory of the processes, in MB, as peak[0]."""
    while True:
        peak[0] = max(peak[0], sum(process.resident_mb() for process in processes if process.process is not None))
        await asyncio.sleep(MEMORY_SAMPLE_S)


@dataclass
class UsualClients:
    """Clients that send one read after another, each on its connection, and judge their answers."""

    address: tuple[str, int]
    number: int = 10
    wait_ms: int = 1200
    pause_s: float = 0.05
    late_s: float = 0.55  # an answer up to so long after its time only earns nothing
    replies: list[Reply] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    async def run(self, until: float) -> None:
        await asyncio.gather(*(self._one(number, until) for number in range(self.number)))

    async def _one(self, number: int, until: float) -> None:
        client: Client | None = None
        serial = 0
        while time.monotonic() < until:
            serial += 1
            name = f"{number:04x}{serial:012x}"
            try:
                if client is None:
                    client = await Client.open(self.address)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            limit = self.wait_ms / 1000 + self.late_s
            reply = await client.ask(read(name, f"k{serial % 50}", self.wait_ms), name, limit)
            self.replies.append(reply)
            if not reply.line:
                self.broken.append(f"{name}: no answer after {reply.wait():.2f} s")
                client.leave()
                client = None
            await asyncio.sleep(self.pause_s)
        if client is not None:
            client.leave()

    def served(self) -> float:
        """Returns the share of requests that were served."""
        return sum(reply.served for reply in self.replies) / max(1, len(self.replies))


async def measure_lag(worst: list[float]) -> None:
    """Records the longest delay of a turn of this loop as worst[0]."""
    while True:
        before = time.monotonic()
        await asyncio.sleep(0)
        worst[0] = max(worst[0], time.monotonic() - before)
        await asyncio.sleep(0.001)


def _serve_hosts(addresses: list[tuple[str, int]], delay_s: float, pipe: Any) -> None:
    """Serves cache hosts until the pipe says so, then returns their attempts by it."""

    async def serve() -> None:
        hosts = [CacheHost(f"h{n}", value_answer(delay_s=delay_s)) for n in range(len(addresses))]
        for host, address in zip(hosts, addresses, strict=True):
            await host.start(address)
        lag = [0.0]
        meter = asyncio.ensure_future(measure_lag(lag))
        pipe.send(None)
        await asyncio.get_running_loop().run_in_executor(None, pipe.recv)
        meter.cancel()
        pipe.send(([attempt for host in hosts for attempt in host.attempts], lag[0]))

    asyncio.run(serve())


class HostsProcess:
    """Cache hosts in a process of their own, so that their times are not those of a busy client."""

    def __init__(self, number: int, delay_s: float) -> None:
        addresses = [free_address() for _ in range(number)]
        self.hosts = [CacheHost(f"h{n}", value_answer()) for n in range(number)]
        for host, address in zip(self.hosts, addresses, strict=True):
            host.address = address
        self.pipe, other = get_context("spawn").Pipe()
        self.process = get_context("spawn").Process(target=_serve_hosts, args=(addresses, delay_s, other), daemon=True)
        self.process.start()
        self.pipe.recv()

    def attempts(self) -> tuple[list[Attempt], float]:
        """Ends the process. Returns all attempts that it saw, and how late it may have seen them."""
        self.pipe.send(None)
        seen: list[Attempt]
        seen, lag = self.pipe.recv()
        self.process.kill()
        return seen, lag
