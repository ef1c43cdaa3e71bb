"""A soak of one balancer's process: drawn traffic, hosts, slow transfers, crowds and a series of signals, up to a kill.

    python -m tests.fault_soak --seed 1 --seeds 50

Clients go on using their open connections until SIGKILL, which comes as early as the platform's page allows: the
longest time that a client of the deployment waits (3 s at most) and 0.7 s after SIGTERM.
"""

import argparse
import asyncio
import signal
import socket
import time
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from tests.fault_harness import (
    MEMORY_SAMPLE_S,
    Answer,
    BalancerProcess,
    Client,
    Command,
    Reply,
    StartError,
    free_address,
    profile,
    read,
    settings,
    watch_memory,
    whole_answer,
    write,
)
from tests.slow_transfers import Half, Lane, SlowHost, Transfer, describe, draw_transfers
from tests.slow_transfers import judge as judge_transfer

KILL_AFTER_S = 0.7  # beyond the longest time that a client waits
LONGEST_COUNTED_S = 3.0
LATE_S = 0.55
CROSSING_S = 0.2  # a request that was written so shortly before a close may not have been read
KILL_MARGIN_S = 0.1  # what was given so shortly before the kill may not have arrived
CROWDS = ("none", "none", "silent", "stops", "unread", "slow")


@dataclass
class Plan:
    """What one seed draws."""

    random: Random
    goal_ms: int
    waits_ms: tuple[int, int, int]  # of clip, copy and note
    memory_mb: int
    sockets: int
    inherited: bool
    crowd: str
    clients: int
    signals: list[tuple[float, signal.Signals]]  # before SIGTERM, by time
    term_at: float
    second_term_after: float  # 0: there is none
    transfers: list[Transfer]  # that cache hosts make slowly, at times up to SIGTERM
    overdue_revenue: float  # of answers after the service goal: above 0, requests may last as long as clients wait


def draw_plan(seed: int) -> Plan:
    random = Random(f"fault-soak/{seed}")
    goal_ms = random.choice((80, 200, 600))
    longest = random.choice((goal_ms * 2, 1500, 2500, 5000))
    waits = (max(goal_ms + 50, min(longest, 1500)), max(goal_ms + 50, min(longest, 2000)), max(goal_ms + 50, longest))
    term_at = random.uniform(1.0, 2.0)
    return Plan(
        random=random,
        goal_ms=goal_ms,
        waits_ms=waits,
        memory_mb=random.choice((64, 96, 128)),
        sockets=random.choice((128, 256, 1024)),
        inherited=random.random() < 0.4,
        crowd=random.choice(CROWDS),
        clients=random.choice((10, 25)),
        signals=sorted(
            (random.uniform(0.2, term_at), random.choice((signal.SIGHUP, signal.SIGHUP, signal.SIGCONT)))
            for _ in range(random.randrange(4))
        ),
        term_at=term_at,
        second_term_after=random.choice((0.0, 0.1, 0.6)),
        overdue_revenue=random.choice((0.0, 0.4)),
        transfers=draw_transfers(Half.ANSWER, random, False, 8) + draw_transfers(Half.REQUEST, random, False, 4),
    )


def drawn_answer(random: Random, goal_ms: int) -> Answer:
    """Returns the behaviour of a host that is quick, slow, or hangs now and then."""
    slow = random.choice((0.0, 0.05, 0.3))
    usual_s = goal_ms / 1000 / 6

    async def answer(command: Command, writer: asyncio.StreamWriter) -> None:
        draw = random.random()
        await asyncio.sleep(random.uniform(0, usual_s) if draw > slow else random.uniform(0.2, 4.0))
        size = 100_000 if command.key.startswith("big") else 20
        text = whole_answer(command, size)
        if size > 65_536 and draw < 0.5:
            writer.write(text[: len(text) // 2])
            await writer.drain()
            await asyncio.sleep(random.uniform(0, 0.4))
            text = text[len(text) // 2 :]
        writer.write(text)

    return answer


@dataclass
class Traffic:
    """Clients that use their connections until these end, and what became of each request."""

    process: BalancerProcess
    plan: Plan
    replies: list[tuple[Reply, str, int]] = field(default_factory=list)  # with the profile and the wait in ms
    over: bool = False

    async def client(self, number: int) -> None:
        client: Client | None = None
        serial = 0
        while not self.over:
            serial += 1
            try:
                if client is None:
                    client = await asyncio.wait_for(Client.open(self.process.listen), 1)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            if not await self.ask(client, f"c{number:03d}{serial:09d}"):
                client.leave()
                client = None
            await asyncio.sleep(self.plan.random.uniform(0, 0.1))
        if client is not None:
            client.leave()

    async def ask(self, client: Client, name: str) -> bool:
        """Sends one request. Returns whether the connection goes on."""
        random = self.plan.random
        kind = random.randrange(3)
        profile_name, wait_ms = ("clip", "copy", "note")[kind], self.plan.waits_ms[kind]
        wait_ms = random.randint(max(30, wait_ms // 2), wait_ms)
        key = f"{'big' if random.random() < 0.1 else 'k'}{random.randrange(50)}"
        command = read(name, key, wait_ms)
        if kind:
            size = random.choice((10, 10, 3000, 100_000))
            command = write(name, size, key, wait_ms, profile_name) + b"x" * size + b"\r\n"
        reply = await client.ask(command, name, wait_ms / 1000 + 3)
        self.replies.append((reply, profile_name, wait_ms))
        return bool(reply.line)


async def crowd_client(plan: Plan, process: BalancerProcess, number: int) -> None:
    """One client of the crowd, which stays until the process ends."""
    with suppress(OSError, asyncio.IncompleteReadError):
        client = await Client.open(process.listen, limit=4096)
        if plan.crowd == "stops":
            client.writer.write((write(f"x{number}", 50_000) + b"x" * 49_000)[: plan.random.randrange(5, 40_000)])
        elif plan.crowd == "unread":
            client.writer.write(b"".join(read(f"x{number}-{n}", f"big{n}") for n in range(20)))
            await asyncio.sleep(20)
        elif plan.crowd == "slow":
            for byte in write(f"x{number}", 5) + b"value\r\n":
                if client.reader.at_eof():
                    return
                client.writer.write(bytes([byte]))
                await asyncio.sleep(0.05)
        await client.reader.read()


def judge(traffic: Traffic, hosts: list[SlowHost], killed_at: float) -> list[str]:
    """Returns what broke a rule."""
    found = []
    for reply, profile_name, wait_ms in traffic.replies:
        runs = sum(host.runs(reply.id) for host in hosts)
        tag = f"{profile_name} {reply.id}"
        due = reply.sent_at + wait_ms / 1000
        if reply.line == b"cut off":
            # No cache host breaks off a value, but the kill may.
            if reply.ended_at < killed_at - KILL_MARGIN_S:
                found.append(f"{tag}: a sound value was cut off after {reply.wait():.2f} s")
        elif not reply.line:
            if runs:
                found.append(f"{tag}: forwarded, and its connection ended without an answer after {reply.wait():.2f} s")
            elif reply.wait() > CROSSING_S and reply.ended_at < killed_at + 1:
                found.append(f"{tag}: no answer, its connection ended after {reply.wait():.2f} s")
        elif reply.ended_at > due + LATE_S:
            found.append(f"{tag}: answered {reply.ended_at - due:.2f} s after its time")
        if profile_name == "copy" and runs > 1:
            found.append(f"{tag}: ran {runs} times")
        if profile_name == "copy" and runs and reply.line.startswith(b"SERVER_ERROR busy"):
            found.append(f"{tag}: refused, and it ran")
    return found


async def play_seed(seed: int) -> list[str]:
    """Plays one seed and returns what broke."""
    plan = draw_plan(seed)
    profiles = [
        profile("clip", "repeatable", plan.goal_ms, plan.waits_ms[0]),
        profile("copy", "once", plan.goal_ms, plan.waits_ms[1]),
        profile("note", "by_key", plan.goal_ms, plan.waits_ms[2]),
    ]
    for one in profiles:
        one["OverdueRevenue"] = plan.overdue_revenue
    hosts = [SlowHost(f"h{n}", drawn_answer(plan.random, plan.goal_ms)) for n in range(4)]
    for host in hosts:
        await host.start()
    held = socket.create_server(free_address(), backlog=1024) if plan.inherited else None
    if held is not None:
        held.set_inheritable(True)
    process = BalancerProcess(list(hosts), plan.memory_mb, plan.sockets, held, facts=settings(Profiles=profiles))
    found: list[str] = []
    peak = [0.0]
    tasks: list[asyncio.Task[None]] = []
    try:
        await process.start()
        began = time.monotonic()
        tasks.append(asyncio.ensure_future(watch_memory([process], peak)))
        traffic = Traffic(process, plan)
        clients = [asyncio.ensure_future(traffic.client(n)) for n in range(plan.clients)]
        lanes = [Lane(process.listen, f"t{n:05d}", transfer) for n, transfer in enumerate(plan.transfers)]
        starts = [plan.term_at * (number + 0.5) / len(lanes) for number in range(len(lanes))]
        transferring = [asyncio.ensure_future(lane.run(began, at)) for lane, at in zip(lanes, starts, strict=True)]
        if plan.crowd != "none":
            size = min(300, plan.sockets)
            tasks += [asyncio.ensure_future(crowd_client(plan, process, n)) for n in range(size)]
        for at, number in plan.signals:
            await asyncio.sleep(max(0, began + at - time.monotonic()))
            process.send(number)
        await asyncio.sleep(max(0, began + plan.term_at - time.monotonic()))
        if not process.alive():
            found.append(f"the process ended by itself: {process.log()[-300:]}")
            return found
        process.send(signal.SIGTERM)
        terminated_at = time.monotonic()
        longest = min(max(plan.waits_ms) / 1000, LONGEST_COUNTED_S)
        if plan.second_term_after:
            await asyncio.sleep(plan.second_term_after)
            if process.alive():
                process.send(signal.SIGTERM)
        while process.alive() and time.monotonic() < terminated_at + longest + KILL_AFTER_S:
            await asyncio.sleep(MEMORY_SAMPLE_S)
        was_killed = process.alive()
        process.end()
        killed_at = time.monotonic()
        traffic.over = True
        await asyncio.wait(clients + transferring, timeout=2)
        found += judge(traffic, hosts, killed_at)
        for lane in lanes:
            found += [f"{describe(lane.transfer)}: {text}" for text in judge_transfer(lane, hosts, killed_at)]
        code = process.process.returncode if process.process is not None else 0
        if not was_killed and code:
            found.append(f"ended with {code} after SIGTERM: {process.log()[-300:]}")
        if peak[0] > plan.memory_mb:
            found.append(f"memory: {peak[0]:.1f} MB resident, {plan.memory_mb} allowed")
        if "violation:" in process.log() or "Traceback" in process.log():
            found.append(f"log: {process.log()[-500:]}")
        tasks += clients + transferring
    except StartError as fault:
        found.append(f"start: {fault}")
    finally:
        process.end()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if held is not None:
            held.close()
        for host in hosts:
            await host.stop()
    return found


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    chosen = parser.parse_args()
    broken = []
    for seed in range(chosen.seed, chosen.seed + chosen.seeds):
        plan, found = draw_plan(seed), asyncio.run(play_seed(seed))
        broken += [seed] if found else []
        shown = f"goal {plan.goal_ms}, waits {plan.waits_ms}, {plan.memory_mb} MB, {plan.sockets}, crowd {plan.crowd}"
        print(f"seed {seed} ({shown}): {'; '.join(found[:6]) or 'whole'}", flush=True)
    print(f"{chosen.seeds} seeds, {len(broken)} broken {broken}")


if __name__ == "__main__":
    main()
