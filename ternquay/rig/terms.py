"""The settings of a day of the rig, a test scenario: decoded from TOML and validated before anything starts."""

import errno
import tomllib
from importlib import resources
from pathlib import Path
from random import Random
from typing import Annotated, Any, Literal

import msgspec

MS = 1_000_000
SECOND = 1_000_000_000

Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, msgspec.Meta(gt=0.0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Millis = Annotated[int, msgspec.Meta(ge=0)]
FaultKind = Literal[
    "host-slow",
    "host-silent",
    "host-crash",
    "host-replaced",
    "rolling-release",
    "origin-slow",
    "hot-key",
    "burst",
    "once-keys",
    "list-down",
    "list-late",
    "list-garbage",
    "link-refuse",
    "link-reset",
    "link-delay",
    "link-drip",
    "link-cut",
    "link-silent",
    "answers-lost",
    "answers-spoilt",
    "balancer-kill",
    "balancer-restart",
    "reload",
    "host-drains",
    "list-silent",
    "list-queue",
    "balancer-stop",
    "crowd-stops",
    "crowd-values",
    "crowd-silent",
    "crowd-unread",
]
ON_HOSTS = {
    "host-slow",
    "host-silent",
    "host-crash",
    "host-replaced",
    "link-refuse",
    "link-reset",
    "link-delay",
    "link-drip",
    "link-cut",
    "link-silent",
    "answers-lost",
    "answers-spoilt",
    "host-drains",
}
BALANCER_FAULTS = {"balancer-kill", "balancer-restart", "reload", "balancer-stop"}
# Crowds of `count` clients of one balancer: each stops within a request, or within a value that the balancer buffers,
# sends nothing, or reads no answers.
CROWDS = {"crowd-stops", "crowd-values", "crowd-silent", "crowd-unread"}


class DayError(ValueError):
    """A day, or an override of its settings, is invalid; the text names the file and the field."""


class Terms(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The base of all parts of a day; unknown fields are errors."""


class ProfileTerms(Terms, frozen=True):
    """A profile of transactions and its share of the arrivals."""

    name: str
    kind: Literal["idempotent", "journalled", "non-idempotent"]
    share: Share
    revenue: Positive
    work_ms: tuple[Positive, Positive]  # range of the work on a core of speed 1
    service_goal_ms: Count
    hard_limit_ms: Count
    memory_ms: Millis = 0  # how long a cache host recognizes repeats of a journalled transaction

    @property
    def write(self) -> bool:
        return self.kind != "idempotent"


class HostTerms(Terms, frozen=True):
    """The cache hosts."""

    count: Count = 10
    zones: Count = 1  # hosts and balancers are assigned to zones in turn
    cores: Count = 1
    speed: tuple[Positive, Positive] = (0.9, 1.4)
    queue: Count = 40  # commands that wait or run; a host rejects more as busy
    keep_bytes: Count = 900_000
    kept_at_start: Share = 0.9  # of keep_bytes, filled with the most popular keys
    shares_fetches: bool = True  # concurrent misses of a key share one fetch
    cold_share: Share = 0.2  # of the full speed, right after a start
    warm_within_ms: Count = 6000
    tip_multiple: Positive = 4.0  # a cold host collapses if the work in the window exceeds its capacity so many times
    tip_window_ms: Count = 1000


class OriginTerms(Terms, frozen=True):
    """The origin, which stops for `stopped_ms` when its request rate passes `stopping_rate`."""

    places: Count = 12  # concurrent requests
    took_ms: tuple[Positive, Positive] = (30.0, 70.0)
    stopping_rate: Positive = 420.0  # fetches and writes per second, over the window
    stopping_window_ms: Count = 1000
    stopped_ms: Count = 3000
    queue: Count = 400


class ClientTerms(Terms, frozen=True):
    """The clients."""

    rate: Positive = 400.0  # transactions per second, over all balancers
    keys: Count = 4000
    skew: float = 0.9
    value_bytes: tuple[Count, Count] = (200, 2000)
    tries: Count = 3
    leaves_early: Share = 0.002
    pipelined: Share = 0.05
    connections: Count = 40  # limit per load process and balancer
    # Clients per second that stop in the middle of a request and stay connected.
    stops: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0


class ListTerms(Terms, frozen=True):
    """The list of cache hosts."""

    late_ms: tuple[Millis, Millis] = (300, 1500)
    must_ask_ms: Count = 10_000  # a balancer without a watch is held to its list for this time
    weights_ms: Millis = 0  # interval of weight updates that lower a loaded host's size; 0 for none


class RuleTerms(Terms, frozen=True):
    """The limits that the judge applies."""

    drain_grace_ms: Count = 500
    slack_ms: Count = 50  # tolerance added to each time limit on sockets
    cold_part: Share = 0.5  # share of fetches by cold hosts from which they count as the cause of an outage


class BalancerTerms(Terms, frozen=True):
    """The balancers."""

    count: Count = 2
    sockets: Annotated[int, msgspec.Meta(ge=48)] = 512
    memory_mb: Annotated[int, msgspec.Meta(ge=64)] = 128
    most_hops: Count = 4
    second_copies: bool = True
    reshaped: Millis = 0  # number of balancers, from the first, configured with list weights, zones and zone cost


class TenantTerms(Terms, frozen=True):
    """One tenant of a hosted balancer; with `fleet` it shares the cache hosts of the tenant of that name."""

    name: str
    rate: Positive = 120.0
    hosts: Count = 5
    fleet: str = ""
    addresses: Count = 4  # source addresses of its clients
    txs_a_second: Positive = 300.0
    burst: Count = 150
    open_txs: Count = 400
    clients: Count = 150
    least: Share = 0.25  # guaranteed share of the process's time, sockets and memory
    most: Share = 0.8  # upper limit of that share


FloodShape = Literal["none", "pipelined", "connections", "values", "halves", "garbage", "api"]


class FloodTerms(Terms, frozen=True):
    """One client that sends `factor` times its tenant's limit."""

    shape: FloodShape = "none"
    tenant: str = ""
    start: Share = 0.15  # of the play's length
    end: Share = 0.95
    factor: Positive = 10.0


class ChangeTerms(Terms, frozen=True):
    """Configuration changes through the administration API during the play."""

    a_second: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0  # changes per second
    tenants: tuple[str, ...] = ()  # tenants to change


TroubleKind = Literal[
    "kill",
    "stop",
    "restart",
    "kill-all",
    "cut",
    "cut-out",
    "cut-in",
    "halves",
    "late",
    "lossy",
    "drip",
    "disk-old",
    "disk-lost",
]


class Trouble(Terms, frozen=True):
    """A fault of fleet members or between them. `who` draws the members as it begins, except for halves and all."""

    kind: TroubleKind
    start: Share  # of the play's length
    end: Share
    who: Literal["leader", "follower", "any", "all"] = "any"
    ms: Millis = 0  # maximum message delay
    part: Share = 0.0  # share of messages that are lost, and share of those that are duplicated
    flaps: Count = 1  # number of on/off cycles


class AgreementTerms(Terms, frozen=True):
    """A fleet of hosted balancers that receives changes while members fail; see rig/agree.py."""

    a_second: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0  # changes per second
    lease_ms: Count = 1000
    alone: Literal["stop", "go-on"] = "stop"
    peers: bool = True  # if false, members are independent and unchanged, to measure the cost of peers
    troubles: tuple[Trouble, ...] = ()


class Fault(Terms, frozen=True):
    """A fault of the day. Its targets are a share or a count of the hosts, drawn by the seed."""

    kind: FaultKind
    start: Share  # of the play's length
    end: Share
    share: Share | None = None  # of the hosts, or:
    count: Count | None = None  # number of hosts or clients
    balancer: Annotated[int, msgspec.Meta(ge=0)] = 0
    tenant: str = ""  # on days with tenants: whose cache hosts
    factor: Positive = 1.0
    part: Share = 0.0  # of answers, connections, arrivals or commands, depending on the kind
    ms: Millis = 0


Call = Literal[
    "accept", "socket", "bind", "listen", "connect_ex", "send", "recv", "setsockopt", "shutdown", "close", "epoll_ctl"
]
SHORT = "SHORT"  # instead of an error name: a partial read or write


class CallFault(Terms, frozen=True):
    """`call` fails with `error` and probability `rate` from `start` to `end`, in seconds since the process started."""

    call: Call
    error: str
    start: float = 0.0
    end: float = 1e9
    rate: Share = 1.0


class ClockStep(Terms, frozen=True):
    """The wall clock of a process is set forward or back by `by` seconds, `at` seconds after its start."""

    at: Annotated[float, msgspec.Meta(ge=0.0)]
    by: float


class Day(Terms, frozen=True):
    """A day: everything that one play needs besides the seed."""

    name: str
    line: str  # one-line description
    profiles: tuple[ProfileTerms, ...]
    seconds: Positive = 20.0
    hosts: HostTerms = HostTerms()
    origin: OriginTerms = OriginTerms()
    clients: ClientTerms = ClientTerms()
    list: ListTerms = ListTerms()
    rules: RuleTerms = RuleTerms()
    balancers: BalancerTerms = BalancerTerms()
    faults: tuple[Fault, ...] = ()
    tenants: tuple[TenantTerms, ...] = ()
    flood: FloodTerms = FloodTerms()
    changes: ChangeTerms = ChangeTerms()
    agreement: AgreementTerms = AgreementTerms()
    calls: tuple[CallFault, ...] = ()  # faults of each balancer process, timed from each of its starts
    clock: tuple[ClockStep, ...] = ()


def has_stopped_clients(day: Day) -> bool:
    """Whether the play needs the process of clients that stop."""
    return day.clients.stops > 0 or any(one.kind in CROWDS for one in day.faults)


class PlannedFault(msgspec.Struct, frozen=True):
    """A fault with its times, in nanoseconds, and its targets."""

    kind: str
    start: int
    end: int
    hosts: tuple[int, ...]
    balancer: int
    factor: float
    part: float
    pause: int
    count: int


def active_fault(faults: tuple[PlannedFault, ...], now: int, kind: str) -> PlannedFault | None:
    """Returns the first fault of that kind that is active now, or None."""
    return next((f for f in faults if f.kind == kind and f.start <= now < f.end), None)


def _invalid_field(day: Day) -> str:
    """Returns what is invalid in a day beyond the types of its fields, or an empty string."""
    if not day.profiles:
        return "profiles: at least one is wanted"
    total = sum(p.share for p in day.profiles)
    if abs(total - 1.0) > 1e-6:
        return f"profiles: the shares add up to {total:g}, not 1"
    if day.balancers.reshaped > day.balancers.count:
        return f"balancers.reshaped: there are {day.balancers.count} balancers"
    for i, p in enumerate(day.profiles):
        if p.service_goal_ms > p.hard_limit_ms:
            return f"profiles[{i}].service_goal_ms: {p.service_goal_ms} is past the hard limit"
        if p.work_ms[0] > p.work_ms[1]:
            return f"profiles[{i}].work_ms: the first is larger than the second"
        if p.kind == "journalled" and not p.memory_ms:
            return f"profiles[{i}].memory_ms: a journalled profile needs one"
    for i, f in enumerate(day.faults):
        if f.end <= f.start:
            return f"faults[{i}].end: {f.end} is not after the start"
        if f.kind in ON_HOSTS | {"rolling-release"} and f.share is None and f.count is None:
            return f"faults[{i}].share: a share or a count of hosts is wanted"
        if f.kind in CROWDS and f.count is None:
            return f"faults[{i}].count: a count of clients is wanted"
        if f.kind in BALANCER_FAULTS | CROWDS and f.balancer >= day.balancers.count:
            return f"faults[{i}].balancer: there are {day.balancers.count} balancers, from 0"
    if wrong := invalid_calls(day.calls, "calls"):
        return wrong
    for i, trouble in enumerate(day.agreement.troubles):
        if trouble.end <= trouble.start:
            return f"agreement.troubles[{i}].end: {trouble.end} is not after the start"
        if not day.agreement.peers:
            return f"agreement.troubles[{i}]: are between members, and without peers there are none"
    return _invalid_tenants(day)


def invalid_calls(calls: tuple[CallFault, ...], where: str) -> str:
    """Returns what is invalid in call faults beyond the types of their fields, or an empty string."""
    for i, one in enumerate(calls):
        if one.error == SHORT and one.call not in ("send", "recv"):
            return f"{where}[{i}].error: {SHORT} is for send and recv"
        if one.error != SHORT and one.error not in errno.errorcode.values():
            return f"{where}[{i}].error: unknown error {one.error:.40}"
        if not 0 <= one.start < one.end:
            return f"{where}[{i}].end: {one.end} is not after the start"
    return ""


def _invalid_tenants(day: Day) -> str:
    """Returns what is invalid in the settings of tenants, or an empty string."""
    names = [one.name for one in day.tenants]
    owners = {one.name for one in day.tenants if not one.fleet}
    if len(set(names)) != len(names):
        return "tenants: a name is not unique"
    for i, one in enumerate(day.tenants):
        if one.fleet and one.fleet not in owners:
            return f"tenants[{i}].fleet: {one.fleet} is no tenant with cache hosts of its own"
    if day.flood.shape != "none" and day.flood.tenant not in names:
        return f"flood.tenant: {day.flood.tenant or 'one'} is wanted among the tenants"
    for i, name in enumerate(day.changes.tenants):
        if name not in names:
            return f"changes.tenants[{i}]: {name} is no tenant"
    for i, f in enumerate(day.faults):
        if day.tenants and f.tenant not in owners:
            return f"faults[{i}].tenant: a tenant with cache hosts of its own is wanted"
    return ""


def _checked(document: Any, where: str) -> Day:
    try:
        day = msgspec.convert(document, Day)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(" - at `$")
        raise DayError(f"{where}: {path.strip('.`') or 'the day'}: {text}") from error
    if wrong := _invalid_field(day):
        raise DayError(f"{where}: {wrong}")
    return day


def day_names() -> list[str]:
    """Returns the names of the days that come with the rig, sorted."""
    folder = resources.files("ternquay.rig") / "days"
    return sorted(
        entry.name[:-5] for entry in folder.iterdir() if entry.name.endswith(".toml") and entry.name != "base.toml"
    )


def read_toml(path: Path) -> dict[str, Any]:
    """Reads a TOML file. Raises DayError, which names the file."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise DayError(f"{path}: {error}") from error


def merge_tables(below: dict[str, Any], above: dict[str, Any]) -> dict[str, Any]:
    """Returns `below` overridden by `above`: tables are merged, all else is replaced."""
    merged = dict(below)
    for field, value in above.items():
        old = merged.get(field)
        merged[field] = merge_tables(old, value) if isinstance(old, dict) and isinstance(value, dict) else value
    return merged


def read_day(name: str, over: dict[str, Any] | None = None) -> Day:
    """Reads a day by its name or by the path of a TOML file, with `over` merged over it. Raises DayError."""
    folder = Path(str(resources.files("ternquay.rig") / "days"))
    path = Path(name) if name.endswith(".toml") else folder / f"{name}.toml"
    if not name.endswith(".toml") and name not in day_names():
        raise DayError(f"{name}: no day of that name; there are {', '.join(day_names())}")
    document = merge_tables(merge_tables(read_toml(folder / "base.toml"), read_toml(path)), over or {})
    document.setdefault("name", path.stem)
    return _checked(document, str(path) if name.endswith(".toml") else path.name)


def with_flood(day: Day, shape: str) -> Day:
    """Returns the day with another shape of its flood."""
    return msgspec.structs.replace(day, flood=msgspec.structs.replace(day.flood, shape=shape))


def plan_faults(day: Day, seed: int) -> tuple[PlannedFault, ...]:
    """Returns the faults of a day with their targets drawn, the same for the same seed."""
    length, faults = int(day.seconds * SECOND), []
    for i, f in enumerate(day.faults):
        random = Random(f"{seed}/fault/{i}")
        target_count = f.count if f.count is not None else round((f.share or 0.0) * day.hosts.count)
        hosts = tuple(sorted(random.sample(range(day.hosts.count), min(max(1, target_count), day.hosts.count))))
        faults.append(
            PlannedFault(
                f.kind,
                int(f.start * length),
                int(f.end * length),
                hosts,
                f.balancer,
                f.factor,
                f.part,
                f.ms * MS,
                f.count or 1,
            )
        )
    return tuple(faults)
