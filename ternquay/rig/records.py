"""What each side of a play saw, as it is written down by the processes and read by the judge.

Times are whole nanoseconds on the machine's monotonic clock, which all processes of a play read alike.
"""

from itertools import zip_longest
from pathlib import Path
from typing import Any

import msgspec


class Try(msgspec.Struct, array_like=True):
    """One try of a client's transaction, as the client saw it."""

    number: int  # of the transaction, the same for its retries
    tries: int  # which try, from 1
    id: str
    profile: int
    balancer: int
    connection: int  # a number of its own for each connection
    place: int  # among the commands on that connection, from 0
    due: int  # when the first try of this transaction was due
    planned: int  # when this try was
    sent: int  # 0: it never could be
    limit: int  # how long its answer is waited for, from `planned`
    alone: bool = False  # nothing else was owed on its connection as it was written
    ended: int = 0
    answer: str = "none"  # value, receipt, rolled-back, abandoned, error, closed, left, none
    text: str = ""  # the stamp in the value or the receipt, the wait of a rollback in ms, or the line of an error
    answer_id: str = ""
    waited: int = 0  # when the answer before it on the connection came, 0 for none


class Extra(msgspec.Struct, array_like=True):
    """Bytes of a balancer that were owed to nobody, or were no answer."""

    balancer: int
    connection: int
    at: int
    text: str


class Stop(msgspec.Struct, array_like=True):
    """A client that stopped in the middle of a request and stayed."""

    balancer: int
    began: int  # when it dialled
    written: int = 0  # its last byte; 0: its connection never came up
    told: int = 0  # an error, as its first
    closed: int = 0
    watched: int = 0  # until when it was looked at


class Hop(msgspec.Struct, array_like=True):
    """One command that reached a cache host whole, as the host saw it."""

    id: str
    mark: str
    profile: int
    write: bool
    host: int
    name: str  # of the host, new with each successor
    came: int  # its first byte
    whole: int
    fate: str = "taken"  # busy, swallowed, taken
    begun: int = 0
    effect: int = 0  # when a write took effect
    repeat: bool = False
    note: int = 0
    ended: int = 0
    answer: str = ""  # value, receipt, error, cancelled, or nothing
    stamp: str = ""
    cold: bool = False
    lost: bool = False  # its answer did not go out, or not as it was given


class Told(msgspec.Struct, array_like=True):
    """Discovery wrote a line to a balancer."""

    balancer: int
    at: int
    host: str
    phase: str


class Tipped(msgspec.Struct, array_like=True):
    at: int
    host: int
    name: str
    warmth: float
    pushed: float  # work sent over the window, as a multiple of what it could do


class Stopped(msgspec.Struct, array_like=True):
    at: int
    asked: int
    by_cold: int


class HostSample(msgspec.Struct, array_like=True):
    at: int
    host: int
    up: bool
    warmth: float
    open: int
    work: int  # done so far, in nanoseconds of a core of speed 1


class Life(msgspec.Struct, array_like=True):
    """One process of a balancer, from its start to its end."""

    balancer: int
    started: int
    told_to_end: int = 0  # SIGTERM
    ended: int = 0  # 0: it lived until the end of the play
    killed: bool = False
    code: int = 0


class Pause(msgspec.Struct, array_like=True):
    """A balancer's process was stopped (SIGSTOP) for so long."""

    balancer: int
    began: int
    ended: int


class Sample(msgspec.Struct, array_like=True):
    """One balancer's use of its machine."""

    at: int
    balancer: int
    cpu: float  # seconds so far
    memory: int
    descriptors: int


class LoadSaw(msgspec.Struct):
    tries: list[Try]
    extras: list[Extra]
    late: list[int]  # how late each try was sent, in nanoseconds
    cpu: float = 0.0


class FleetSaw(msgspec.Struct):
    hops: list[Hop]
    told: list[Told]
    tipped: list[Tipped]
    stopped: list[Stopped]
    origin: list[int]  # fetches and writes by tenth of a second
    samples: list[HostSample]
    late: list[int]
    cpu: float = 0.0
    strange: list[str] = []  # what reached a cache host and was no command


class Saw(msgspec.Struct):
    """All that is known of a play."""

    day: str
    seed: int
    seconds: float
    begin: int
    loads: list[LoadSaw]
    fleet: FleetSaw
    lives: list[Life]
    samples: list[Sample]
    pauses: list[Pause] = []
    stops: list[Stop] = []


def write(path: Path, what: Any) -> None:
    path.write_bytes(msgspec.msgpack.encode(what))


def together(parts: list[FleetSaw]) -> FleetSaw:
    """What several processes of cache hosts saw, as one."""
    whole = parts[0]
    for part in parts[1:]:
        whole.hops += part.hops
        whole.samples += part.samples
        whole.late += part.late
        whole.strange = whole.strange + part.strange
        whole.stopped += part.stopped
        whole.tipped += part.tipped
        whole.origin = [sum(pair) for pair in zip_longest(whole.origin, part.origin, fillvalue=0)]
        whole.cpu = max(whole.cpu, part.cpu)
    return whole


def read_load(path: Path) -> LoadSaw:
    return msgspec.msgpack.decode(path.read_bytes(), type=LoadSaw)


def read_stops(path: Path) -> list[Stop]:
    return msgspec.msgpack.decode(path.read_bytes(), type=list[Stop])


def read_fleet(path: Path) -> FleetSaw:
    return msgspec.msgpack.decode(path.read_bytes(), type=FleetSaw)
