"""Plays of cache hosts that write long answers slowly or read large requests slowly, on real processes over loopback.

    python -m tests.slow_transfers answer --seed 1 --process hosted --event drain --memory 64

Each transfer is made on a client connection of its own, at the same time as the others: alone, with requests before
it, behind it, or later while it lasts. Pauses and client times lie below and above each timer of the program. The
judge applies the rules of the protocol to what clients and cache hosts recorded.
"""

import argparse
import asyncio
import itertools
import signal
import socket
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from random import Random

from tests.fault_harness import (
    HOSTED_PROGRAM_MB,
    Answer,
    BalancerProcess,
    CacheHost,
    Client,
    Command,
    HostedProcess,
    StartError,
    free_address,
    profile,
    read,
    read_paced,
    settings,
    watch_memory,
    whole_answer,
    write,
)

LATE_S = 0.55  # an answer up to so long after its time only earns nothing
HELD_BACK_S = 2.0  # what a cache host has given may be held back for less than this
KILL_AFTER_S = 0.7  # beyond the longest time that a client waits, which counts as 3 s at most
LONGEST_COUNTED_S = 3.0
GIVEN_MARGIN_S = 0.1  # a value that its cache host finished so shortly before a kill may not have arrived
FOLLOW_INTERVAL_S = 0.4  # between the requests that come while a transfer lasts
LONGEST_LANE_S = 25.0  # a client waits for all of its answers for so long at most
CROSSING_S = 0.2  # a request that is written so shortly before a close may not have been read
PAUSES_MS = (0, 30, 250, 450, 700, 1000, 1400, 1700, 2300, 4500, 5600, 7000)
WAITS_MS = (150, 600, 1200, 4500)
ANSWER_SIZES = (70_000, 200_000, 1_000_000)
FIRST_SIZE = 400_000  # of the large request before a transfer
REQUEST_SIZES = (60_000, 80_000, 200_000, 600_000, 2_000_000, 4_000_000)
HOSTED_VALUE_BYTES = 65_536  # the largest value that a tenant's client may write
FULL_SPEED = 1e9  # bytes a second; above 0, so that the receive buffer of a cache host is small


class Half(StrEnum):
    """What is transferred slowly."""

    ANSWER = "answer"
    REQUEST = "request"


class Position(StrEnum):
    """Where other requests stand on the connection of a slow transfer."""

    ALONE = "alone"
    AFTER_PIPELINE = "after-pipeline"  # requests were written at once before, and have their answers
    AFTER_LARGE = "after-large"  # a large request was written before, which its cache host took at once
    BEFORE = "before"  # requests are open before it
    BEHIND = "behind"  # requests are written with it
    LATER = "later"  # requests come while it lasts


class Event(StrEnum):
    """What happens to the process while the transfers last."""

    NONE = "none"
    TERM = "term"
    DRAIN = "drain"
    UPGRADE = "upgrade"
    RELOAD = "reload"


@dataclass(frozen=True)
class Transfer:
    """One slow transfer. The cache host pauses after `pause_at` of the value."""

    half: Half
    position: Position
    size: int
    wait_ms: int
    pause_ms: int
    pause_at: float
    rate: int  # bytes a second after the pause; 0: at once
    breaks: bool = False  # the cache host resets the connection at the end of the pause

    def key(self, number: int) -> str:
        """Returns the key that tells a cache host what to do."""
        at = int(self.pause_at * 100)
        return f"slow-{self.size}-{self.pause_ms}-{at}-{self.rate}-{int(self.breaks)}-{number}"


@dataclass(frozen=True)
class Pace:
    """What a cache host reads from a key."""

    size: int
    pause_s: float
    pause_at: float
    rate: int
    breaks: bool

    @classmethod
    def of_key(cls, key: str) -> "Pace | None":
        """Returns the pace that the key names, None if it names none."""
        words = key.split("-")
        if words[0] != "slow":
            return None
        size, pause_ms, at, rate, breaks = map(int, words[1:6])
        return cls(size, pause_ms / 1000, at / 100, rate, bool(breaks))


@dataclass
class Given:
    """How a cache host gave a value."""

    head_at: float
    parts: list[tuple[float, int]] = field(default_factory=list)  # when how many bytes had been written
    whole_at: float = 0.0  # 0: it never gave all
    cut_at: float = 0.0  # the balancer closed the connection before all was given


async def answer_at_once(command: Command, writer: asyncio.StreamWriter) -> None:
    """Answers after 10 ms, to keys that ask for it 0.3 s later."""
    await asyncio.sleep(0.3 if command.key.startswith("later") else 0.01)
    writer.write(whole_answer(command))


class SlowHost(CacheHost):
    """A cache host that gives and takes the values of keys that name a pace slowly, and all others at once."""

    def __init__(self, name: str, other_answer: Answer | None = None) -> None:
        super().__init__(name, self._answer, read_bytes_per_s=FULL_SPEED)
        self.other_answer = other_answer or answer_at_once  # to keys that name no pace
        self.given: dict[str, list[Given]] = {}

    async def _answer(self, command: Command, writer: asyncio.StreamWriter) -> None:
        pace = Pace.of_key(command.key)
        if pace is None or command.verb == b"ms":
            await self.other_answer(command, writer)
            return
        await asyncio.sleep(0.03)
        given = Given(time.monotonic())
        self.given.setdefault(command.id, []).append(given)
        try:
            await self._give(pace, command, writer, given)
        except ConnectionError:
            given.cut_at = time.monotonic()
            raise

    async def _give(self, pace: Pace, command: Command, writer: asyncio.StreamWriter, given: Given) -> None:
        text = whole_answer(command, pace.size)
        head = text.index(b"\r\n") + 2
        first = head + int(pace.size * pace.pause_at)
        await self._send(writer, text[:first], given)
        await asyncio.sleep(pace.pause_s)
        if pace.breaks:
            writer.transport.abort()
            raise ConnectionResetError
        piece = max(2000, pace.rate // 20) if pace.rate else len(text)
        for start in range(first, len(text), piece):
            await self._send(writer, text[start : start + piece], given)
            await asyncio.sleep(piece / pace.rate if pace.rate else 0)
        given.whole_at = time.monotonic()

    async def _send(self, writer: asyncio.StreamWriter, text: bytes, given: Given) -> None:
        if writer.transport.is_closing():
            raise ConnectionResetError
        writer.write(text)
        total = given.parts[-1][1] if given.parts else 0
        given.parts.append((time.monotonic(), total + len(text)))
        await writer.drain()

    async def read_value(self, reader: asyncio.StreamReader, left: int, key: str) -> None:
        pace = Pace.of_key(key)
        if pace is None:
            await super().read_value(reader, left, key)
            return
        speed = pace.rate or FULL_SPEED
        first = int(pace.size * pace.pause_at)
        await read_paced(reader, first, speed)
        await asyncio.sleep(pace.pause_s)
        if pace.breaks:
            raise asyncio.IncompleteReadError(b"", left - first)
        await read_paced(reader, left - first, speed)


@dataclass
class Asked:
    """One request and what came of it. Times are seconds on the monotonic clock."""

    id: str
    profile: str
    wait_s: float
    written_at: float = 0.0  # its last byte was written; 0: it never was
    line: bytes = b""
    size: int = -1  # of the value that the answer's first line names
    begun_at: float = 0.0
    received: int = 0  # bytes of the value
    parts: list[tuple[float, int]] = field(default_factory=list)  # when how many bytes of the answer had come
    ended_at: float = 0.0  # its last byte came; 0: it never did

    def is_whole(self) -> bool:
        return self.ended_at > 0

    def is_served(self) -> bool:
        return self.is_whole() and self.line.startswith((b"VA ", b"HD "))


class Lane:
    """One client connection with its requests, which are written and read independently of each other."""

    def __init__(self, address: tuple[str, int], name: str, transfer: Transfer) -> None:
        self.address, self.name, self.transfer = address, name, transfer
        self.asked: list[Asked] = []
        self.slow: Asked | None = None
        self.closed_at = 0.0
        self.buffer = bytearray()
        self.index = 0  # of the request whose answer is being read

    async def run(self, began: float, delay_s: float) -> None:
        """Makes the transfer and its other requests, and reads until each has its answer or the connection ends."""
        await asyncio.sleep(max(0, began + delay_s - time.monotonic()))
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(self.socket, self.address)
        except OSError:
            return
        reading = asyncio.ensure_future(self._read())
        writing = asyncio.ensure_future(self._write())
        try:
            with suppress(OSError, TimeoutError):
                await asyncio.wait_for(writing, LONGEST_LANE_S)
        finally:
            for task in (reading, writing):
                task.cancel()
            await asyncio.gather(reading, writing, return_exceptions=True)
            self.socket.close()

    async def _write(self) -> None:
        position, transfer = self.transfer.position, self.transfer
        if position is Position.AFTER_PIPELINE:
            await self._send([self._small("p0"), self._small("p1")])
            await self._until_answered()
        if position is Position.AFTER_LARGE and self.transfer.size > HOSTED_VALUE_BYTES:
            await self._send([self._large("quick", FIRST_SIZE)])
            await self._until_answered()
        batch = [self._small("later-a"), self._small("b")] if position is Position.BEFORE else []
        self.slow, text = self._transfer(transfer)
        batch.append((self.slow, text))
        if position is Position.BEHIND:
            batch += [self._small("c"), self._small("d", profile_name="copy"), self._small("e", profile_name="note")]
        await self._send(batch)
        while position is Position.LATER and not self.slow.is_whole() and not self.closed_at:
            await asyncio.sleep(FOLLOW_INTERVAL_S)
            if len(self.asked) > 12 or self.closed_at:
                break
            await self._send([self._small("f", profile_name=("clip", "copy")[len(self.asked) % 2])])
        await self._until_answered()

    async def _until_answered(self) -> None:
        while self.index < len(self.asked) and not self.closed_at:
            await asyncio.sleep(0.01)

    def _small(self, key: str, profile_name: str = "clip") -> tuple[Asked, bytes]:
        name = f"{self.name}{len(self.asked):04d}"
        asked = Asked(name, profile_name, 1.2)
        self.asked.append(asked)
        if profile_name == "clip":
            return asked, read(name, key, 1200)
        return asked, write(name, 5, key, 1200, profile_name) + b"value\r\n"

    def _large(self, key: str, size: int) -> tuple[Asked, bytes]:
        asked = Asked(f"{self.name}{len(self.asked):04d}", "clip", 1.2)
        self.asked.append(asked)
        return asked, write(asked.id, size, key, 1200, "clip") + b"x" * size + b"\r\n"

    def _transfer(self, transfer: Transfer) -> tuple[Asked, bytes]:
        name, key = f"{self.name}{len(self.asked):04d}", transfer.key(int(self.name[1:]))
        asked = Asked(name, "clip", transfer.wait_ms / 1000)
        self.asked.append(asked)
        if transfer.half is Half.ANSWER:
            return asked, read(name, key, transfer.wait_ms)
        asked.profile = ("clip", "copy", "note")[transfer.size % 3]
        line = write(name, transfer.size, key, transfer.wait_ms, asked.profile)
        return asked, line + b"x" * transfer.size + b"\r\n"

    async def _send(self, batch: Sequence[tuple[Asked, bytes]]) -> None:
        loop = asyncio.get_running_loop()
        for chunk, last in group_small(batch):
            await loop.sock_sendall(self.socket, chunk)
            for asked in last:
                asked.written_at = time.monotonic()

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await loop.sock_recv(self.socket, 1 << 18)
            except OSError:
                data = b""
            if not data:
                self.closed_at = time.monotonic()
                return
            self.buffer += data
            while self._parse():
                pass

    def _parse(self) -> bool:
        """Takes the next part of an answer from the buffer. Returns whether there may be more."""
        if self.index >= len(self.asked) or not self.buffer:
            return False
        asked, now = self.asked[self.index], time.monotonic()
        if asked.size < 0:
            line, found, rest = self.buffer.partition(b"\r\n")
            asked.begun_at = asked.begun_at or now
            if not found:
                return False
            asked.line, self.buffer = bytes(line), rest
            if not line.startswith(b"VA "):
                return self._end(asked, now)
            asked.size = int(line.split()[1])
        taken = min(len(self.buffer), asked.size + 2 - asked.received)
        del self.buffer[:taken]
        asked.received += taken
        asked.parts.append((now, asked.received))
        return self._end(asked, now) if asked.received == asked.size + 2 else False

    def _end(self, asked: Asked, now: float) -> bool:
        asked.ended_at = now
        self.index += 1
        return True


def group_small(batch: Sequence[tuple[Asked, bytes]]) -> list[tuple[bytes, list[Asked]]]:
    """Joins what may be written at once: all of the batch up to a large request, and what is behind it."""
    groups: list[tuple[bytes, list[Asked]]] = [(b"", [])]
    for asked, text in batch:
        joined, members = groups[-1]
        groups[-1] = (joined + text, [*members, asked])
        if len(text) > HOSTED_VALUE_BYTES:
            groups.append((b"", []))
    return [group for group in groups if group[1]]


# ---- the judge ----


def judge(lane: Lane, hosts: Sequence[SlowHost], over_at: float) -> list[str]:
    """Returns what broke a rule on this connection. From `over_at` on the process had been killed."""
    found: list[str] = []
    free_at = 0.0  # when the answer before was whole: the time for which one waits for others does not count
    behind_value = False
    for asked in lane.asked:
        if not asked.written_at:
            continue
        if behind_value:
            break  # answers come in order, and the value before this one was still given when the process was killed
        behind_value = asked is lane.slow and is_given_after(asked, lane, hosts, over_at)
        runs = sum(host.runs(asked.id) for host in hosts)
        is_slow_read = asked is lane.slow and lane.transfer.half is Half.ANSWER
        found += [f"{asked.id} ({asked.profile}): {text}" for text in broken_rules(asked, runs, free_at, lane, over_at)]
        if is_slow_read:
            found += [f"{asked.id}: {text}" for text in broken_value(asked, hosts, lane, over_at)]
        free_at = asked.ended_at or free_at
    return found


def is_given_after(asked: Asked, lane: Lane, hosts: Sequence[SlowHost], over_at: float) -> bool:
    """Whether the value was under way when the process was killed, and its cache host had still to give a part."""
    lasted = not lane.closed_at or lane.closed_at > over_at - GIVEN_MARGIN_S
    whole = [one.whole_at for host in hosts for one in host.given.get(asked.id, ()) if one.whole_at]
    in_time = any(at < over_at - GIVEN_MARGIN_S for at in whole)
    return over_at > 0 and bool(asked.begun_at) and not asked.is_whole() and lasted and not in_time


def broken_rules(asked: Asked, runs: int, free_at: float, lane: Lane, over_at: float) -> list[str]:
    """Judges one request by the rules on final answers and on effects."""
    found: list[str] = []
    due = max(asked.written_at, free_at) + asked.wait_s + LATE_S
    is_streamed = asked is lane.slow and lane.transfer.half is Half.ANSWER and bool(asked.begun_at)
    if not asked.is_whole():
        crossed = lane.closed_at and not runs and lane.closed_at - asked.written_at < CROSSING_S
        killed = over_at and asked.written_at > over_at - CROSSING_S
        if not is_streamed and not crossed and not killed:
            after = (lane.closed_at or time.monotonic()) - asked.written_at
            found.append(f"no answer, {'closed' if lane.closed_at else 'open'} after {after:.2f} s, ran {runs} times")
    elif asked.begun_at > due:
        found.append(f"{asked.line[:20]!r} came {asked.begun_at - due + LATE_S:.2f} s after its time")
    if asked.profile == "copy" and runs > 1:
        found.append(f"ran {runs} times")
    if asked.profile == "copy" and runs and asked.line.startswith(b"SERVER_ERROR busy"):
        found.append("refused, and it ran")
    return found


def broken_value(asked: Asked, hosts: Sequence[SlowHost], lane: Lane, over_at: float) -> list[str]:
    """Judges a slow answer: what a sound cache host gives is passed on, and not held back."""
    given = [one for host in hosts for one in host.given.get(asked.id, ())]
    in_time = [one for one in given if one.head_at < asked.written_at + asked.wait_s - 0.1]
    if not in_time or lane.transfer.breaks or is_given_after(asked, lane, hosts, over_at):
        return []
    if not asked.is_served():
        cut = max(one.cut_at for one in given)
        return [
            f"a sound value was cut off or refused: {asked.line[:24]!r}, "
            f"{asked.received} of {lane.transfer.size} bytes, "
            f"ended {(asked.ended_at or lane.closed_at) - asked.written_at:.2f} s after it was written"
            + (f", its host was cut off after {cut - asked.written_at:.2f} s" if cut else "")
        ]
    held = min(held_back(asked, one) for one in in_time)
    return [f"held back for {held:.2f} s"] if held >= HELD_BACK_S else []


def held_back(asked: Asked, given: Given) -> float:
    """Returns the longest time between the giving of a byte by the cache host and its arrival at the client."""
    longest, parts = 0.0, iter(asked.parts)
    arrived_at, arrived = next(parts, (0.0, 0))
    for given_at, size in given.parts:
        body = min(size - 40, asked.size)  # without the first line
        while arrived < body:
            step = next(parts, None)
            if step is None:
                return longest
            arrived_at, arrived = step
        longest = max(longest, arrived_at - given_at)
    return longest


# ---- plays ----


@dataclass
class Stage:
    """What the transfers are played on."""

    hosted: bool = False
    memory_mb: int = 96
    event: Event = Event.NONE
    event_after_s: float = 0.4
    kill_after_s: float = LONGEST_COUNTED_S + KILL_AFTER_S  # after SIGTERM; the platform's earliest
    hosts: int = 4


def deployment() -> dict[str, object]:
    """Returns settings whose clients may wait for long."""
    profiles = [
        profile("clip", "repeatable", 600, 5000),
        profile("copy", "once", 750, 5000),
        profile("note", "by_key", 1500, 5000),
    ]
    return settings(Profiles=profiles)


@asynccontextmanager
async def running(stage: Stage, hosts: list[SlowHost]) -> AsyncIterator[list[BalancerProcess]]:
    """Runs the process, for an upgrade with a listening socket that a second one may inherit."""
    folder = Path(tempfile.mkdtemp(prefix="slow-"))
    held = None
    if stage.event is Event.UPGRADE:
        held = socket.create_server(free_address(), backlog=1024)
        held.set_inheritable(True)
    for host in hosts:
        await host.start()
    process_class = HostedProcess if stage.hosted else BalancerProcess
    shared = folder / "tmp" if held is not None else None
    process = process_class(
        list(hosts), stage.memory_mb, 1024, held, folder / "first", shared_folder=shared, facts=deployment()
    )
    processes = [process]
    try:
        await process.start()
        yield processes
    finally:
        for one in processes:
            one.end()
        if held is not None:
            held.close()
        for host in hosts:
            await host.stop()


async def trouble(stage: Stage, processes: list[BalancerProcess]) -> float:
    """Does what the stage names. Returns when the process was killed, 0 if it was not."""
    await asyncio.sleep(stage.event_after_s)
    first = processes[0]
    if stage.event is Event.RELOAD:
        first.send(signal.SIGHUP)
    elif stage.event is Event.DRAIN:
        client = await Client.open(first.management)
        client.writer.write(b"POST /control/out-of-service HTTP/1.1\r\nHost: x\r\n\r\n")
        await client.reader.readline()
        client.leave()
    elif stage.event in (Event.TERM, Event.UPGRADE):
        if stage.event is Event.UPGRADE:
            second = BalancerProcess(
                first.hosts,
                first.memory_mb,
                first.sockets,
                first.inherited,
                first.folder.parent / "second",
                shared_folder=first.shared_folder,
                facts=first.facts,
            )
            processes.append(second)
            await second.start()
        first.stopped = True
        first.send(signal.SIGTERM)
        await asyncio.sleep(stage.kill_after_s)
        first.end()
        return time.monotonic()
    return 0.0


async def play(stage: Stage, transfers: Sequence[Transfer]) -> list[str]:
    """Makes the transfers at the same time, each on its connection. Returns what was broken."""
    hosts = [SlowHost(f"h{n}") for n in range(stage.hosts)]
    found: list[str] = []
    peak = [0.0]
    async with running(stage, hosts) as processes:
        watcher = asyncio.ensure_future(watch_memory(processes, peak))
        began = time.monotonic()
        lanes = [Lane(processes[0].listen, f"t{number:05d}", one) for number, one in enumerate(transfers)]
        event = asyncio.ensure_future(trouble(stage, processes))
        spread = stage.event_after_s / max(1, len(lanes))
        await asyncio.gather(*(lane.run(began, spread * number) for number, lane in enumerate(lanes)))
        over_at = await event
        watcher.cancel()
        for lane in lanes:
            found += [f"{describe(lane.transfer)}: {text}" for text in judge(lane, hosts, over_at)]
        allowed_mb = stage.memory_mb + (HOSTED_PROGRAM_MB if stage.hosted else 0)
        if peak[0] > allowed_mb:
            found.append(f"memory: {peak[0]:.1f} MB resident, {allowed_mb} allowed")
        for process in processes:
            if not process.stopped and not process.alive():
                found.append("a process ended by itself")
            if "violation:" in process.log() or "Traceback" in process.log():
                found.append(f"log: {process.log()[-400:]}")
    return found


def describe(transfer: Transfer) -> str:
    """Returns the transfer in a few words."""
    pause = f"{'reset' if transfer.breaks else 'pause'} {transfer.pause_ms} ms at {transfer.pause_at:.0%}"
    what = f"{transfer.half} {transfer.size} {transfer.position}, waits {transfer.wait_ms}"
    return f"[{what}, {pause}, rate {transfer.rate}]"


def draw_transfers(
    half: Half,
    random: Random,
    hosted: bool,
    number: int,
    breaks: bool = False,
    positions: Sequence[Position] = tuple(Position),
) -> list[Transfer]:
    """Returns transfers in the positions with all pauses and client times, in a drawn order."""
    shapes = list(itertools.product(positions, PAUSES_MS, WAITS_MS))
    random.shuffle(shapes)
    sizes = ANSWER_SIZES if half is Half.ANSWER else REQUEST_SIZES[: 1 if hosted else None]
    return [
        Transfer(
            half,
            position,
            random.choice(sizes),
            wait_ms,
            pause_ms,
            random.choice((0.0, 0.3, 0.5, 0.9)),
            random.choice((0, 50_000, 200_000)),
            breaks,
        )
        for position, pause_ms, wait_ms in itertools.islice(itertools.cycle(shapes), number)
    ]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("half", type=Half, choices=list(Half))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--number", type=int, default=60)
    parser.add_argument("--process", choices=("net", "hosted"), default="net")
    parser.add_argument("--event", type=Event, choices=list(Event), default=Event.NONE)
    parser.add_argument("--memory", type=int, default=96)
    parser.add_argument("--kill", type=float, default=LONGEST_COUNTED_S + KILL_AFTER_S)
    parser.add_argument("--position", type=Position, nargs="*", default=list(Position))
    parser.add_argument("--breaks", action="store_true")
    parser.add_argument("--alone", action="store_true", help="one transfer after the other, each on a new process")
    chosen = parser.parse_args()
    stage = Stage(chosen.process == "hosted", chosen.memory, chosen.event, kill_after_s=chosen.kill)
    transfers = draw_transfers(
        chosen.half, Random(chosen.seed), stage.hosted, chosen.number, chosen.breaks, chosen.position
    )
    found: list[str] = []
    try:
        for group in [[one] for one in transfers] if chosen.alone else [transfers]:
            found += asyncio.run(play(stage, group))
    except StartError as fault:
        found.append(f"start: {fault}")
    for text in found:
        print(" ", text)
    print(f"{chosen.half} seed {chosen.seed}, {len(transfers)} transfers, {stage}: {len(found)} broken", flush=True)


if __name__ == "__main__":
    main()
