"""What can happen to a balancer and what it can ask for, in the project's words.

Times are whole nanoseconds on the clock that the caller hands in. A tx, a cache host, a profile, a share, a
zone and a kind are small indices given out at the door by whoever calls the decisions.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum


class Semantics(Enum):
    """How often a transaction of a profile may run."""

    IDEMPOTENT = 1
    JOURNALLED = 2
    NON_IDEMPOTENT = 3


class DedupScope(Enum):
    """Which cache hosts drop the repeats of a journalled transaction."""

    ALL = 1
    ZONE = 2
    CELL = 3


class HopOutcome(IntEnum):
    """How a hop ended. The ones up to MISS prove that it never ran."""

    FULL = 1
    UNREACHABLE = 2
    SKIPPED = 3
    MISS = 4
    DONE = 5
    ERROR = 6
    TIMED_OUT = 7
    RESET = 8
    CANCELLED = 9


class HostStatus(Enum):
    """What the list says of a cache host."""

    READY = 1
    DRAINING = 2
    GONE = 3


class WeightMode(Enum):
    """What the list's weights are."""

    NONE = 1
    STATIC = 2
    LIVE = 3  # the size, lowered the more the cache host holds


@dataclass(slots=True, frozen=True)
class Profile:
    semantics: Semantics
    dedup_scope: DedupScope
    dedup_window: int  # how long a repeat of a journalled transaction is known
    service_goal: int
    hard_limit: int
    overdue_revenue: float


@dataclass(slots=True, frozen=True)
class Config:
    """The instance starts, with what it is told of its deployment; later on, what it is told is another."""

    seed: int
    balancer_count: int
    balancer_index: int  # its own among them, from 0
    profiles: tuple[Profile, ...]
    quotas: tuple[float, ...]  # transactions a second, by share
    cache_aside: bool
    origin_kind: int
    watch_list: bool
    can_cancel: bool
    parallel_hops: bool
    max_hops: int
    weight_mode: WeightMode
    max_backoff: int  # 0 where clients are given none
    clock_quantum: int
    cold_share: float
    warm_up_time: int
    overload_multiple: float
    overload_window: int
    zone: int = -1  # its own
    cross_zone_price: float = 0.0  # of a hop to another zone, as a part of what a transaction earns
    gone_is_advisory: bool = False  # of the list only a draining that was seen binds
    list_max_age: int = (
        10_000_000_000  # for so long the list that is held counts, where it is asked for and not watched
    )


@dataclass(slots=True, frozen=True)
class ListedHost:
    """One line of the list of cache hosts."""

    host: int
    address: str
    zone: int
    kind: int
    cell: int
    status: HostStatus
    weight: float
    started_at: int  # its latest start, 0 for long ago
    cold_fraction: float = 1.0  # of what it takes while cold, where others of this process send to it too


@dataclass(slots=True, frozen=True)
class ListChanged:
    complete: bool
    entries: tuple[ListedHost, ...]


@dataclass(slots=True, frozen=True)
class ListUnavailable:
    """The list could not be had, or following it was interrupted."""


@dataclass(slots=True, frozen=True)
class TxArrived:
    tx: int
    profile: int
    share: int  # -1: none
    key: str | None
    ttl: int
    is_retry: bool
    is_write: bool
    fully_received: bool = True  # False: its value is still coming, and TxFullyReceived tells its last byte


@dataclass(slots=True, frozen=True)
class TxFullyReceived:
    """The last byte of a tx that came as it was still being written; its times run from here."""

    tx: int


@dataclass(slots=True, frozen=True)
class LoadReport:
    """What a cache host told of its load with an answer: late, noisy; what it did not tell is below nought."""

    active: float = -1.0  # transactions that it holds, or that wait there
    service_time: float = -1.0  # its time for one, without waiting
    errors_per_second: float = -1.0  # a second
    completed_per_second: float = -1.0  # a second


@dataclass(slots=True, frozen=True)
class HopEnded:
    tx: int
    hop: int
    outcome: HopOutcome
    duration: int
    tx_ended: bool
    cache_result: int  # 1 a hit, 2 a miss, 3 a miss while another fetches, 0 not told
    report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class ClientGone:
    tx: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The instance's one timer is due."""


@dataclass(slots=True, frozen=True)
class LearnedHost:
    """What is known of one cache host; times are spans."""

    host: int
    took: float
    crowd: float
    fails: int
    out_for: int
    out_left: int
    trial: bool
    size: float = 0.0  # the highest weight that it was listed with
    room: float = 1.0


@dataclass(slots=True, frozen=True)
class Learned:
    """What another process of this balancer had measured, taken by one that has measured nothing yet."""

    usual: float
    rate: float
    unit_rate: float
    hits: float  # of reads, where cache hosts tell
    origin_limit: float
    origin_took: float
    hosts: tuple[LearnedHost, ...]


Event = (
    Learned | ListChanged | ListUnavailable | TxArrived | TxFullyReceived | HopEnded | ClientGone | TimerFired | Config
)


@dataclass(slots=True, frozen=True)
class SendHop:
    tx: int
    host: int
    deadline: int
    begin_by: int = 0  # a repeat may be known as one no longer than that; 0: no matter when


@dataclass(slots=True, frozen=True)
class CancelHop:
    tx: int
    hop: int


@dataclass(slots=True, frozen=True)
class RollBack:
    tx: int
    backoff: int


@dataclass(slots=True, frozen=True)
class Abandon:
    tx: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    at: int


@dataclass(slots=True, frozen=True)
class WatchList:
    pass


Action = SendHop | CancelHop | RollBack | Abandon | SetTimer | WatchList
