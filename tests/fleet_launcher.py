"""`ternquay host` with something odd about it, for tests: python fleet_launcher.py ODD FOLDER host --config ...

die     it kills itself at the step of a change that the file FOLDER/step names, once
jump    the date jumps by an hour, forth and back, each second
slow    its lease's clock runs at a third of its rate: far beyond the stated bound
"""

import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any


def die(folder: Path) -> None:
    """Steps are counted from a proposal at the leader on: each message, each write begun and done, each outcome."""
    from ternquay.hosted.fleet.member import FleetMember

    file, count = folder / "step", {"left": 0}

    def step() -> None:
        if count["left"]:
            count["left"] -= 1
            if not count["left"]:
                file.unlink()
                os.kill(os.getpid(), signal.SIGKILL)

    def stepped(name: str) -> None:
        real = getattr(FleetMember, name)

        def with_step(self: Any, *terms: Any) -> Any:
            step()
            return real(self, *terms)

        setattr(FleetMember, name, with_step)

    real_propose: Callable[..., Any] = FleetMember.propose

    def propose(self: Any, commit: Any) -> Any:
        if file.exists():
            count["left"] = int(file.read_text())
        return real_propose(self, commit)

    for name in ("_frame", "_write", "_written", "_outcome", "_in_force", "_reply"):
        stepped(name)
    FleetMember.propose = propose  # type: ignore[method-assign]


def jump(folder: Path) -> None:
    real = time.time_ns

    def odd() -> int:
        return real() + (int(time.monotonic()) % 3 - 1) * 3600 * 10**9

    time.time_ns, time.time = odd, lambda: odd() / 1e9


def slow(folder: Path) -> None:
    from ternquay.hosted.fleet import member as fleet

    real, began = fleet.clock, fleet.clock()
    fleet.FleetMember.__init__.__defaults__ = (lambda: began + (real() - began) // 3,)


if __name__ == "__main__":
    {"die": die, "jump": jump, "slow": slow}[sys.argv[1]](Path(sys.argv[2]))
    from ternquay.cli import app

    app(sys.argv[3:])
