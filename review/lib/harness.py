"""Starts one balancer as the deploy file says, and ends it. Exit codes of a case: 0 held, 1 broken, 2 couldn't run."""

import asyncio
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins import Connection, Discovery, Record

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def portal_settings() -> dict:
    """The settings of a small deployment of portal-cdmx: one balancer."""

    def profile(name: str, semantics: str, goal_ms: int, limit_ms: int, revenue: float, window_ms: int) -> dict:
        return {
            "Name": name,
            "Semantics": semantics,
            "DedupScope": "all",
            "Window": window_ms * 1000,
            "ServiceGoal": goal_ms * 1000,
            "HardLimit": limit_ms * 1000,
            "OverdueRevenue": 0.0,
            "Revenue": revenue,
            "Stream": False,
        }

    return {
        "Balancers": 1,
        "MyNumber": 0,
        "Clients": {"MarksRetry": True},
        "Discovery": "on_request",
        "FamilyInfo": {"Mode": "through", "Ordered": True, "OriginKind": -1},
        "Goal": {"Whole": 0.45, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.35},
        "Invariants": {
            "ColdShare": 0.17,
            "DrainGrace": 500000,
            "Fall": 1000000,
            "GraceToAnswer": 20000,
            "MustAskIn": 10000000,
            "TipMultiple": 4.0,
            "WarmWithin": 23000000,
        },
        "Kinds": ["nodo-rapido", "nodo-base"],
        "Limits": {
            "Cancel": True,
            "ConnIdle": 5000000,
            "DialTimeout": 250000,
            "MaxRetryAfter": 2000000,
            "MostHeld": 24486,
            "MostHops": 5,
            "ParallelTries": True,
            "Probing": False,
            "RetryAfter": True,
            "StreamsPerConn": 32,
        },
        "LoadReport": {"Names": [], "Source": "none"},
        "Prices": {"CrossZone": 0.03, "Waste": 0.15, "LateFail": 0.069},
        "Profiles": [
            profile("clip", "repeatable", 600, 1500, 1.0, 5000),
            profile("transcripcion", "repeatable", 1200, 2500, 2.0, 5000),
            profile("solicitud-copia", "once", 750, 1500, 5.0, 5000),
            profile("anotacion", "by_key", 1500, 5000, 5.0, 3000),
        ],
        "Quantum": 5000,
        "RevenueBy": "request",
        "Tenants": [],
        "Weights": "none",
        "Zone": "sala-norte",
        "Zones": ["sala-norte", "sala-sur"],
    }


def free_address() -> tuple[str, int]:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()


class Balancer:
    """One balancer process, started by `run` of the deploy file as the platform's page says."""

    def __init__(self, record: Record, discovery: Discovery, known: dict, memory_mb: int, sockets: int, **more) -> None:
        self.record, self.address = record, free_address()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.tmp = self.folder / "tmp"
        self.tmp.mkdir()
        self.sockets = sockets
        self.config = {
            "name": "n0",
            "listen": f"{self.address[0]}:{self.address[1]}",
            "discovery": discovery.host_port,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": known,
            "settings": portal_settings(),
        } | more
        self.path = self.folder / "config.json"
        self.path.write_text(json.dumps(self.config))
        self.process: subprocess.Popen | None = None

    async def start(self) -> None:
        """Starts the process and returns once it has answered `mn` with `MN`."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(self.tmp),
            "EDGE_NAME": "n0",
            "EDGE_LISTEN": self.config["listen"],
            "EDGE_DISCOVERY": self.config["discovery"],
            "EDGE_CONFIG": str(self.path),
        }
        log = (self.folder / "log").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.sockets, self.sockets)),
        )
        log.close()
        for _ in range(300):
            if self.process.poll() is not None:
                raise RuntimeError(f"the balancer ended with {self.process.returncode}")
            try:
                client = await Connection().open(self.address)
                client.writer.write(b"mn\r\n")
                line = await asyncio.wait_for(client.reader.readuntil(b"\r\n"), 1)
                client.close()
                if line == b"MN\r\n":
                    self.record.say("the balancer is ready")
                    return
            except (TimeoutError, OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError("the balancer was not ready within 30 s")

    def signal(self, number: signal.Signals) -> None:
        self.record.say(f"{number.name} is sent to the balancer")
        self.process.send_signal(number)

    def end(self) -> None:
        """Ends the process and keeps its log in the record."""
        if self.process is not None:
            early = self.process.poll()
            if early is None:
                self.process.kill()
            code = self.process.wait()
            self.record.say(f"the balancer {'had ended by itself with' if early is not None else 'was ended:'} {code}")
            self.record.lines += ["", "the balancer's log:"]
            self.record.lines += (self.folder / "log").read_text(errors="replace").splitlines()[:200]
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder: str, play: Callable[[Record], Awaitable[list[str]]]) -> None:
    """Plays a case. `play` returns a line for each break of the rule."""
    record = Record(str(Path(folder) / "record.txt"))
    record.say(f"trouble: {'on' if TROUBLE else 'off'}")
    try:
        broken = asyncio.run(asyncio.wait_for(play(record), 110))
    except Exception as fault:
        record.say(f"the case could not run: {fault!r}")
        record.write()
        print(f"could not run: {fault!r}")
        sys.exit(2)
    record.lines += ["", f"breaks of the rule: {len(broken)}", *broken]
    record.write()
    print(f"trouble {'on' if TROUBLE else 'off'}: {len(broken)} breaks of the rule")
    for line in broken[:5]:
        print(" ", line)
    sys.exit(1 if broken else 0)
