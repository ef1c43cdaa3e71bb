"""Runs `ternquay host` with an injected fault, for tests: python fleet_launcher.py FAULT FOLDER host --config ...

die     the process kills itself once, at the step of a change whose number is in the file FOLDER/step
jump    the date jumps by an hour back and forth each second
slow    the clock of the leases runs at a third of its rate, far beyond the stated drift bound
"""

import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any


def die(folder: Path) -> None:
    """Counts steps from a proposal at the leader: each message, each write started or completed, each outcome."""
    from ternquay.hosted.fleet.member import FleetMember

    file, count = folder / "step", {"left": 0}

    def step() -> None:
        if count["left"]:
            count["left"] -= 1
            if not count["left"]:
                file.unlink()
                os.kill(os.getpid(), signal.SIGKILL)

    def count_calls(name: str) -> None:
        original = getattr(FleetMember, name)

        def with_step(self: Any, *args: Any) -> Any:
            step()
            return original(self, *args)

        setattr(FleetMember, name, with_step)

    original_propose: Callable[..., Any] = FleetMember.propose

    def propose(self: Any, commit: Any) -> Any:
        if file.exists():
            count["left"] = int(file.read_text())
        return original_propose(self, commit)

    for name in ("_frame", "_write_jobs", "_on_written", "_on_outcome", "_apply_change", "_send_reply"):
        count_calls(name)
    FleetMember.propose = propose  # type: ignore[method-assign]


def jump(folder: Path) -> None:
    original = time.time_ns

    def jumping() -> int:
        return original() + (int(time.monotonic()) % 3 - 1) * 3600 * 10**9

    time.time_ns, time.time = jumping, lambda: jumping() / 1e9


def slow(folder: Path) -> None:
    from ternquay.hosted.fleet import member

    original, start = member.clock, member.clock()
    member.FleetMember.__init__.__defaults__ = (lambda: start + (original() - start) // 3,)


if __name__ == "__main__":
    {"die": die, "jump": jump, "slow": slow}[sys.argv[1]](Path(sys.argv[2]))
    from ternquay.cli import app

    app(sys.argv[3:])
