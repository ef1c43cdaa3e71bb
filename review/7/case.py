"""A tenant's listener is moved over the administration API, under traffic in which connections wait to be accepted."""

import asyncio
import http.client
import json
import random
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stage"))

import stage  # noqa: E402

SECONDS = 20.0
MOVE_EVERY = 3.0
CLIENTS = 350
NET = "127.0.17"
PROFILES = [
    {"name": "read", "kind": "idempotent", "service_goal_ms": 600, "hard_limit_ms": 1500},
    {"name": "put", "kind": "non-idempotent", "service_goal_ms": 600, "hard_limit_ms": 1500},
]
PART = {"least": 0.1, "most": 0.8}


def call(api: str, token: str, method: str, path: str, body: Any = None) -> int:
    """Calls the administration API and returns the status."""
    connection = http.client.HTTPConnection(*api.split(":"), timeout=10)
    headers = {"authorization": f"Bearer {token}", "if-match": "*", "content-type": "application/json"}
    connection.request(method, path, json.dumps(body) if body is not None else None, headers)
    reply = connection.getresponse()
    reply.read()
    connection.close()
    return reply.status


async def case(record: stage.Record, scratch: Path) -> list[str]:
    draw = random.Random(7)
    hosts = [stage.CacheHost(f"h{n}", f"{NET}.{n + 1}", record, work=0.05) for n in range(3)]
    for host in hosts:
        await host.start()
    made = subprocess.run(
        [sys.executable, "-m", "ternquay", "admin", "new-operator", "main"],
        cwd=stage.ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    token = next(word for word in made.split() if len(word) > 30)
    digest = made.split('digest = "')[1].split('"')[0]
    api = f"{NET}.200:{stage.free_port(f'{NET}.200')}"
    (scratch / "service.toml").write_text(
        "[process]\nsockets = 1024\nmemory_mb = 256\n"
        f'[store]\npath = "registry.db"\n[api]\nlisten = "{api}"\n'
        f'[[api.operators]]\nname = "main"\ndigest = "{digest}"\n[end]\n'
    )
    with open(scratch / "service.log", "ab") as log:
        service = subprocess.Popen(
            [sys.executable, "-m", "ternquay", "host", "--config", str(scratch / "service.toml")],
            cwd=stage.ROOT,
            stdout=log,
            stderr=log,
        )
    loop = asyncio.get_running_loop()

    async def administer(method: str, path: str, body: Any = None) -> int:
        return await loop.run_in_executor(None, call, api, token, method, path, body)

    places = [f"{NET}.201:{stage.free_port(f'{NET}.201')}" for _ in range(2)]
    tenant: dict[str, Any] = {
        "name": "archivo-uno",
        "listeners": [places[0]],
        "profiles": PROFILES,
        # A tenth of the process's sockets: the traffic wants more at times, and connections wait to be accepted.
        "limits": {
            "txs_a_second": 2000.0,
            "burst": 2000,
            "clients": 500,
            "cpu": PART,
            "memory": PART,
            "sockets": {"least": 0.05, "most": 0.1},
        },
        "servers": [{"name": host.name, "place": host.place} for host in hosts],
    }
    answers: Counter[str] = Counter()
    breaks: list[str] = []
    here = places[0]
    try:
        for _ in range(100):
            try:
                await administer("GET", "/v1/process")
                break
            except OSError:
                await asyncio.sleep(0.1)
        if await administer("POST", "/v1/tenants", tenant) != 201:
            raise stage.CannotRun("the tenant was not made")
        end = stage.now() + SECONDS

        async def ask(id: str) -> float:
            """Asks once on a new connection; returns for how long the client is told to wait."""
            try:
                connection = await stage.Client.connect(here)
            except OSError:
                answers["not connected"] += 1
                return 0.05
            kind = draw.choice(["read", "put"])
            text = stage.request("mg" if kind == "read" else "ms", f"key{draw.randrange(300)}", id, kind, 1400)
            sent = stage.now()
            try:
                connection.send(text)
                await connection.writer.drain()
                record(f"sent {kind} O{id} to {here}")
                line, _ = await asyncio.wait_for(connection.answer(), 5.0)
            except TimeoutError:
                line = ""
            except (ConnectionError, asyncio.IncompleteReadError):
                line = ""
            record(f"O{id} gets {line!r}")
            answers[" ".join(line.split()[:2]) if line.startswith("SERVER") else line[:2] or "no answer"] += 1
            if not line:
                breaks.append(
                    f"{kind} O{id} was sent at {sent - record.begin:.4f} on a connection that was made; it ended at"
                    f" {stage.now() - record.begin:.4f} without an answer"
                )
            connection.close()
            if line.startswith("SERVER_ERROR busy "):
                return int(line.split()[2]) / 1000
            return 0.0

        async def client(number: int) -> None:
            count = 0
            while stage.now() < end:
                count += 1
                wait = await ask(f"c{number}n{count}")
                await asyncio.sleep(wait + draw.random() * 0.02)

        async def moves() -> None:
            nonlocal here
            count = 0
            while stage.now() < end - MOVE_EVERY:
                await asyncio.sleep(MOVE_EVERY)
                count += 1
                there = places[count % 2]
                record(f"the listener is moved to {there}")
                status = await administer("PUT", "/v1/tenants/archivo-uno", tenant | {"listeners": [there]})
                record.say(f"move {count}: status {status}, {len(breaks)} without an answer so far")
                if status != 200:
                    raise stage.CannotRun("the listener was not moved")
                here = there

        await asyncio.gather(*(client(n) for n in range(CLIENTS)), *([moves()] if stage.TROUBLE else []))
    finally:
        service.kill()
        service.wait()
    record.say(f"answers: {dict(answers)}")
    return breaks


stage.play(FOLDER, case)
