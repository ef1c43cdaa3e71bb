"""The events that a balancer receives and the actions that it returns.

All times and durations are integer nanoseconds on the clock that the caller passes in. Transactions, cache hosts,
profiles, shares, zones and host kinds are identified by small integers that the caller assigns.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum


class Semantics(Enum):
    """How often a transaction of a profile may take effect."""

    IDEMPOTENT = 1
    JOURNALLED = 2
    NON_IDEMPOTENT = 3


class DedupScope(Enum):
    """The cache hosts that recognise and drop a repeat of a journalled transaction."""

    ALL = 1
    ZONE = 2
    CELL = 3


class HopOutcome(IntEnum):
    """How a hop ended. Values up to and including MISS prove that the transaction did not run on that hop."""

    FULL = 1  # the host refused it
    UNREACHABLE = 2  # no connection, or it broke before the transaction was sent as a whole
    SKIPPED = 3  # never sent
    MISS = 4  # the host has no copy and does not fetch it
    DONE = 5
    ERROR = 6  # the host returned an error
    TIMED_OUT = 7
    RESET = 8  # the connection broke after the transaction was sent
    CANCELLED = 9


class HostStatus(Enum):
    """The status of a cache host in the host list. The member names are stored in hand-over files."""

    READY = 1
    DRAINING = 2
    GONE = 3


class WeightMode(Enum):
    """What the weights in the host list mean."""

    NONE = 1
    STATIC = 2
    LIVE = 3  # the capacity, reduced as the load of the cache host rises


@dataclass(slots=True, frozen=True)
class Profile:
    """A class of transactions with the same semantics and time limits."""

    semantics: Semantics
    dedup_scope: DedupScope
    dedup_window: int  # how long cache hosts recognise a repeat of a journalled transaction
    service_goal: int
    hard_limit: int
    overdue_revenue: float


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of a balancer and its deployment. As an event, it replaces the one in use."""

    seed: int
    balancer_count: int
    balancer_index: int  # of this balancer, from 0
    profiles: tuple[Profile, ...]
    quotas: tuple[float, ...]  # transactions per second of each share, over all balancers
    cache_aside: bool  # True: the balancer sends misses and writes to the origin; False: cache hosts do so themselves
    origin_kind: int  # the host kind that marks the origin, with `cache_aside`
    watch_list: bool  # True: the balancer requests the host list
    can_cancel: bool
    parallel_hops: bool  # whether a transaction may have several hops in flight
    max_hops: int
    weight_mode: WeightMode
    max_backoff: int  # 0: responses to clients carry no backoff
    clock_quantum: int  # the resolution of event times; time limits are kept with this margin
    cold_share: float  # fraction of its normal load that a cache host takes right after a start
    warm_up_time: int  # from a start until a cache host takes its full load
    overload_multiple: float  # more than this multiple of a cold host's share within a window overloads it
    overload_window: int
    zone: int = -1  # of this balancer
    cross_zone_price: float = 0.0  # of a hop to another zone, as a fraction of the revenue of a transaction
    gone_is_advisory: bool = False  # True: the list's removals are hints, only an observed drain is binding
    list_max_age: int = 10_000_000_000  # how long a list stays valid where it is requested and not watched


@dataclass(slots=True, frozen=True)
class ListedHost:
    """One entry of the host list."""

    host: int
    address: str
    zone: int
    kind: int
    cell: int
    status: HostStatus
    weight: float
    started_at: int  # time of the latest start; 0: long ago
    cold_fraction: float = 1.0  # part of the host's cold budget, where other tenants of this process use it too


@dataclass(slots=True, frozen=True)
class ListChanged:
    """A host list arrived."""

    complete: bool  # True: a host that is not listed is gone; False: the entries are changes
    entries: tuple[ListedHost, ...]


@dataclass(slots=True, frozen=True)
class ListUnavailable:
    """The host list could not be fetched, or watching it was interrupted."""


@dataclass(slots=True, frozen=True)
class TxArrived:
    """A client sent a transaction."""

    tx: int
    profile: int
    share: int  # -1: none
    key: str | None
    ttl: int  # how long the client waits for a response
    is_retry: bool
    is_write: bool
    fully_received: bool = True  # False: the value is still arriving; TxFullyReceived follows its last byte


@dataclass(slots=True, frozen=True)
class TxFullyReceived:
    """The last byte of a transaction was read whose value was still arriving. Its time limits start with that byte."""

    tx: int
    unread: int = 0  # how long ago the byte may have arrived, in nanoseconds


@dataclass(slots=True, frozen=True)
class LoadReport:
    """The load that a cache host reports with a response, delayed and noisy. Negative: not reported."""

    active: float = -1.0  # transactions in service or queued there
    service_time: float = -1.0  # per transaction, without queueing
    errors_per_second: float = -1.0
    completed_per_second: float = -1.0


@dataclass(slots=True, frozen=True)
class HopEnded:
    """A hop ended, with or without a response."""

    tx: int
    hop: int
    outcome: HopOutcome
    duration: int
    tx_ended: bool  # the response of this hop went to the client
    cache_result: int  # 1: hit, 2: miss, 3: miss while another fetch is in progress, 0: not reported
    report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client no longer waits for the transaction."""

    tx: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The balancer's only timer expired."""


@dataclass(slots=True, frozen=True)
class LearnedHost:
    """Measurements of one cache host. All times are durations. Hand-over files store the field names."""

    host: int
    took: float  # smoothed hop duration
    crowd: float  # smoothed number of hops in flight when the measured hops were sent
    fails: int  # consecutive failures
    out_for: int  # length of the latest ejection
    out_left: int  # remainder of the current ejection
    trial: bool  # on probation after an ejection
    size: float = 0.0  # the highest weight that it was listed with
    room: float = 1.0  # fraction of its ranges that it keeps


@dataclass(slots=True, frozen=True)
class Learned:
    """Measurements that a new process of this balancer takes over. Hand-over files store the field names."""

    usual: float  # smoothed hop duration over all cache hosts
    rate: float  # transactions per second
    unit_rate: float  # hops per second to a warm cache host of weight 1
    hits: float  # hit ratio of reads, where cache hosts report it
    origin_limit: float  # concurrent fetches from the origin
    origin_took: float  # smoothed duration of a fetch
    hosts: tuple[LearnedHost, ...]


Event = (
    Learned | ListChanged | ListUnavailable | TxArrived | TxFullyReceived | HopEnded | ClientGone | TimerFired | Config
)


@dataclass(slots=True, frozen=True)
class SendHop:
    """Send the transaction to a host."""

    tx: int
    host: int
    deadline: int
    begin_by: int = 0  # the latest start at which a repeat is sure to be recognised; 0: no limit


@dataclass(slots=True, frozen=True)
class CancelHop:
    """Cancel a hop that is in flight."""

    tx: int
    hop: int


@dataclass(slots=True, frozen=True)
class RollBack:
    """Tell the client that it may safely retry after `backoff`."""

    tx: int
    backoff: int


@dataclass(slots=True, frozen=True)
class Abandon:
    """Tell the client that the transaction may have taken effect and must not be retried."""

    tx: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Set the balancer's only timer to an earlier time, or again after it expired."""

    at: int


@dataclass(slots=True, frozen=True)
class WatchList:
    """Request the host list."""


Action = SendHop | CancelHop | RollBack | Abandon | SetTimer | WatchList
