"""What the processes of a play have in common: a plan to read, a word that they are ready, an end with the play.

A child reads its plan from the file that its first argument names, writes one line of JSON once it is ready,
reads `begin NANOSECONDS` from its standard input, and ends by itself; sooner if that input ends, as it does when
whoever started it dies.
"""

import gc
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor
from twisted.internet.stdio import StandardIO
from twisted.protocols.basic import LineReceiver

from ternquay.rig.terms import SECOND, Day


class Plan(msgspec.Struct):
    """What one process is told; `out` is where it writes what it saw."""

    day: Day
    seed: int
    out: str
    parent: int = 0
    index: int = 0  # of several load processes
    loads: int = 1
    places: list[str] = []  # where cache hosts listen
    shard: int = 0  # of several processes of cache hosts: this one has each `shards`-th host
    shards: int = 1
    balancers: list[str] = []  # where they listen
    epoch_ms: int = 0
    prefix: str = ""  # of the ids and marks of this load, where several share cache hosts
    addresses: list[str] = []  # that clients come from, in turn; else the system chooses
    tail_ms: int = 1500  # it goes on for so long after the day's end


class MonotonicReactor(EPollReactor):
    seconds = staticmethod(time.monotonic)


class Parent(LineReceiver):
    """The one who started this process, at the other end of the standard streams."""

    delimiter = b"\n"

    def __init__(self, begin: Callable[[int], None], lost: Callable[[], None]) -> None:
        self.begin, self.lost = begin, lost

    def lineReceived(self, line: bytes) -> None:
        word, _, number = line.partition(b" ")
        if word == b"begin" and number.strip().isdigit():
            self.begin(int(number))

    def connectionLost(self, reason: Any = None) -> None:
        self.lost()


def read_plan(path: str) -> Plan:
    return msgspec.json.decode(Path(path).read_bytes(), type=Plan)


def install() -> Any:
    reactor = MonotonicReactor()
    installReactor(reactor)
    # A collection in the midst of a play would be a pause of ours in the balancer's times.
    gc.collect()
    gc.freeze()
    gc.disable()
    return reactor


def live(
    reactor: Any, plan: Plan, ready: dict[str, Any], begin: Callable[[int], None], end: Callable[[], None]
) -> None:
    """Runs until the play is over, then calls `end`; without it if the parent is gone before."""
    done = False

    def begun(at: int) -> None:
        begin(at)
        left = at - time.monotonic_ns() + int(plan.day.seconds * SECOND) + plan.tail_ms * 1_000_000
        reactor.callLater(left / SECOND, over)

    def over() -> None:
        nonlocal done
        done = True
        end()
        reactor.stop()

    def lost() -> None:
        if not done and reactor.running:
            reactor.stop()

    def say_ready() -> None:
        StandardIO(Parent(begun, lost), reactor=reactor)
        sys.stdout.write(msgspec.json.encode(ready).decode() + "\n")
        sys.stdout.flush()

    reactor.callWhenRunning(say_ready)
    reactor.run()


def cpu() -> float:
    return time.process_time()
