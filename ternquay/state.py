"""What one balancer keeps, by how long it lives: a hop, a tx, a cache host since its start, a range of keys.

Records only; all that is decided on them stands in ternquay/balance.py.
"""

from collections import deque
from dataclasses import dataclass, field

from ternquay import model as m


@dataclass(slots=True, eq=False)
class Range:
    """A slice of the hashed keys, or one hot key."""

    group: int
    hash: int
    count: int = 0


@dataclass(slots=True, eq=False)
class CacheHost:
    """What this balancer holds of one cache host, or of the origin, since its latest start."""

    index: int
    hash: int
    is_origin: bool
    since: int
    standing: m.Standing
    zone: int = -1
    cell: int = 0
    weight: float = 1.0
    kind: int = -1
    hint: float = 0.0  # the weight last listed, where it moves with load
    size: float = 0.0  # the highest such
    service: float = 0.0  # its time for one, as it tells
    room: float = 1.0  # the part of its ranges that it keeps
    inflight: int = 0
    fails: int = 0  # in a row
    out_until: int = 0
    out_for: int = 0
    trial: bool = False
    took: float = 0.0
    crowd: float = 0.0  # hops in flight when those that gave `took` were sent
    seen: int = 0
    heard: int = 0  # when it last answered a hop
    newest: int = 0  # when the latest hop that it has answered was sent
    cold_sent: deque[int] = field(default_factory=deque)
    part: float = 1.0  # of what it takes while cold that is ours
    unlisted: int = 0  # since when the list lacks it or calls it gone, where that is advice
    cold_since: int = 0  # the start that the two below belong to
    cold_from: int = 0  # the latest hop while cold, or when its start was told
    cold_wait: float = 0.0  # before the next one, as a part of the time between two


@dataclass(slots=True, eq=False)
class Hop:
    host: CacheHost
    sent: int
    crowd: int
    fetches: bool = False  # it is expected to need the origin
    out: bool = True
    may_have_run: bool = True
    judged: bool = False
    erred: bool = False  # it ended in an error that nobody has been blamed for
    begun: bool = False  # the cache host may have all of it: only then it is in flight


@dataclass(slots=True, eq=False)
class Tx:
    id: int
    profile: m.Profile
    write: bool
    key: int = 0
    range: Range | None = None
    over: bool = False  # beyond its share
    goal: int = 0
    give_up: int = 0
    hops: list[Hop] = field(default_factory=list)
    out: int = 0
    ended: bool = False
    whole: bool = True
    since: int = 0
    share: int = -1
    missed: CacheHost | None = None
