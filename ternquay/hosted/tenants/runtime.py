"""One tenant on sockets: its listeners, front, door, decisions, pool and source of cache hosts, as its entry has it."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory

from ternquay import model as m
from ternquay.facts import Names
from ternquay.hosted.shared.fairness import ClientLimiter, SharedCapacity
from ternquay.hosted.shared.front import CROWDING, TenantFrontend, TenantListener, TenantSockets
from ternquay.hosted.shared.scheduler import FairScheduler
from ternquay.hosted.tenants.registry import TenantEntry
from ternquay.hosted.tenants.shared_hosts import ListEntry, SharedHostTable
from ternquay.hosted.tenants.tenant import Endpoint, InvalidField, Server, State, Tenant
from ternquay.net.closing import accept_all_waiting
from ternquay.net.discovery import Discovery
from ternquay.net.dispatcher import Dispatcher, OutgoingHop
from ternquay.net.host_connection import HostConnection
from ternquay.net.limits import SECOND, Limits, derive_limits
from ternquay.net.listing import Address, Member
from ternquay.net.loop_timing import LoopTiming
from ternquay.net.pool import Pool
from ternquay.net.safety import CloseReason, ServerCloseReason
from ternquay.net.start_times import StartTimes

MOST_HOPS, BACKOFF_MOST, SPARE = 4, SECOND, 8
NUMBERS_MOST = 10_000


@dataclass(slots=True, frozen=True)
class ProcessConfig:
    """What the process gives all tenants together, and its place among others like it."""

    sockets: int
    memory_mb: int
    balancers: int = 1
    number: int = 0
    seed: int = 0


@dataclass(slots=True)
class ProcessResources:
    """What all tenants of a process share."""

    reactor: Any
    process: ProcessConfig
    scheduler: FairScheduler
    shared_hosts: SharedHostTable
    sockets: SharedCapacity
    difference: Callable[[], int]  # the wall clock less ours
    retell: Callable[[set[str]], None] = lambda names: None
    wait: Callable[[str], int] | None = None  # of a member of a fleet: how long a tenant's new txs are told to wait


class Numbers(dict[str, int]):
    """Small indices for names that are not known before; beyond a bound each is nobody else's."""

    def __init__(self) -> None:
        super().__init__()
        self.beyond = NUMBERS_MOST

    def get(self, name: str, default: Any = None) -> int:
        if name not in self:
            if len(self) >= NUMBERS_MOST:
                self.beyond += 1
                return self.beyond
            self[name] = len(self)
        return self[name]


def started_of(process: ProcessConfig, tenant: Tenant) -> m.Config:
    """What the tenant's decisions are told. Its last share is of those who crowd others: beyond it from the first."""
    rules = tenant.rules
    return m.Config(
        seed=process.seed,
        balancer_count=process.balancers,
        balancer_index=process.number,
        profiles=tuple(one.profile for one in tenant.profiles),
        quotas=(*(share.txs_a_second for share in tenant.shares), 0.0),
        cache_aside=False,
        origin_kind=-1,
        watch_list=False,
        can_cancel=True,
        parallel_hops=True,
        max_hops=MOST_HOPS,
        weight_mode=m.WeightMode.STATIC,
        max_backoff=BACKOFF_MOST,
        clock_quantum=0,
        cold_share=rules.cold_share,
        warm_up_time=rules.warm_within,
        overload_multiple=rules.tip_multiple,
        overload_window=rules.tip_window,
    )


def names_of(tenant: Tenant, zones: Numbers) -> Names:
    names = Names(
        {
            "Profiles": [{"Name": one.name} for one in tenant.profiles],
            "Tenants": [{"Name": share.name} for share in tenant.shares],
        }
    )
    names.shares[CROWDING] = len(tenant.shares)
    names.zones = zones
    return names


def limits_of(process: ProcessConfig, tenant: Tenant) -> Limits:
    """The sizes, counts and times of one tenant; its own limits, within what the process has."""
    own = tenant.limits
    facts = {
        "Limits": {
            "RetryAfter": True,
            "MaxRetryAfter": BACKOFF_MOST // 1000,
            "StreamsPerConn": 16,
            "DialTimeout": 250_000,
            "ConnIdle": 5_000_000,
            "MostHeld": 2 * own.open_txs,
        },
        "Profiles": [
            {"HardLimit": one.profile.hard_limit // 1000, "ServiceGoal": one.profile.service_goal // 1000}
            for one in tenant.profiles
        ],
        "Invariants": {"MustAskIn": 10_000_000},
    }
    whole = derive_limits(facts, process.sockets, process.memory_mb)
    memory = int(own.memory.most * process.memory_mb * (1 << 20))
    return replace(
        whole,
        sockets=max(4, int(own.sockets.most * process.sockets) - SPARE),
        spare=SPARE,
        clients=own.clients,
        value_bytes=65536,
        answer_bytes=1 << 20,
        stream_above_bytes=1 << 20,  # kept whole, as a tenant's memory is counted
        buffered_bytes=max(1 << 20, min(own.held, memory)),
        idle_clients=max(8, own.clients // 2),
    )


class TenantConnection(HostConnection):
    """To a cache host; what its answers cost is charged to the tenant."""

    def rawDataReceived(self, data: bytes) -> None:
        assert isinstance(self.pool, TenantPool)
        scheduler = self.pool.scheduler
        began = scheduler.clock()
        super().rawDataReceived(data)
        scheduler.charge_since(self.pool.name, began)


class TenantPool(Pool):
    connects = TenantConnection

    def __init__(self, scheduler: FairScheduler, name: str, *terms: Any) -> None:
        super().__init__(*terms)
        self.scheduler, self.name = scheduler, name

    def end(self) -> None:
        """Closes all there is, at once."""
        for place in list(self.places.values()):
            for connection in list(place.all):
                connection.drop(ServerCloseReason.REMOVED)


class TenantDispatcher(Dispatcher):
    """Its list goes by the ledger, and what its hops tell of machines that others name too."""

    told: Callable[[bool, tuple[Member, ...]], None]
    machine_ended: Callable[[Endpoint, m.HopOutcome], None]

    def __init__(self, *terms: Any) -> None:
        super().__init__(*terms)
        self.shared: dict[int, Endpoint] = {}

    def update_hosts(self, whole: bool, members: tuple[Member, ...]) -> None:
        self.told(whole, members)

    def settled(self, members: tuple[Member, ...], shared: Mapping[str, Endpoint]) -> None:
        """The list as the decisions are to have it."""
        super().update_hosts(True, members)
        self.shared = {self.host_indices[id]: place for id, place in shared.items() if id in self.host_indices}

    def _finish_hop(self, hop: OutgoingHop, end: m.HopOutcome, answer: Any = None, note: int = 0) -> None:
        place = self.shared.get(hop.host) if self.shared else None
        super()._finish_hop(hop, end, answer, note)
        if place is not None:
            self.machine_ended(place, end)


@dataclass(slots=True)
class PreparedListeners:
    """Listeners that a change needs, bound but not accepting yet."""

    ports: dict[Endpoint, Any] = field(default_factory=dict)

    def drop(self) -> None:
        for port in self.ports.values():
            if port.held:  # else it is in use
                port.stopListening()


class Held(TenantListener):
    """Is bound at once and accepts only from open() on: a change may still fail after it."""

    held = True

    def startReading(self) -> None:
        if not self.held:
            super().startReading()

    def open(self, frontend: TenantFrontend, accepted: Callable[[bool], None]) -> None:
        self.frontend, self.factory, self.on_accepted, self.held = frontend, frontend, accepted, False
        self.startReading()


def bound(reactor: Any, places: tuple[Endpoint, ...], own: str = "", backlog: int = 1024) -> PreparedListeners:
    """`own` stands for 0.0.0.0 here. Raises InvalidField, with nothing left bound, if one of them can't be."""
    prepared = PreparedListeners()
    for i, place in enumerate(places):
        host = own if own and place.host == "0.0.0.0" else place.host
        port = Held(place.port, Factory(), backlog, host, reactor)
        try:
            port.startListening()
        except CannotListenError as fault:
            prepared.drop()
            raise InvalidField(f"listeners[{i}]", f"can't be bound: {fault.socketError}") from fault
        prepared.ports[place] = port
    return prepared


class TenantRuntime:
    def __init__(self, common: ProcessResources, entry: TenantEntry, loop_timing: LoopTiming) -> None:
        self.common, self.entry = common, entry
        self.id = f"{entry.tenant.name}.{entry.incarnation}"  # one made again under the name is another one
        tenant, reactor = entry.tenant, common.reactor
        self.limits = limits_of(common.process, tenant)
        self.zones, self.cells = Numbers(), Numbers()
        self.sockets = TenantSockets(self.limits, self.id, common.sockets, tenant.limits.host_connections)
        self.dispatcher = TenantDispatcher(
            reactor, started_of(common.process, tenant), names_of(tenant, self.zones), self.limits
        )
        self.dispatcher.told, self.dispatcher.machine_ended = self._told, self._machine_ended
        self.pool = self.dispatcher.pool = TenantPool(
            common.scheduler, self.id, reactor, self.dispatcher, self.limits, self.sockets, True
        )
        self.loop_timing = TenantLoopTiming(loop_timing, self.limits.turn_duration)
        self.dispatcher.process_stalled = self.loop_timing.process_stalled
        self.dues = ClientLimiter(tenant.limits.txs_a_second, tenant.limits.burst)
        self.frontend = TenantFrontend(
            reactor, self.dispatcher, self.limits, self.sockets, self.loop_timing, common.scheduler, self.id, self.dues
        )
        self.frontend.open_most = tenant.limits.open_txs
        self.frontend.set_accepting = self._gate
        self.frontend.fenced = partial(common.wait, tenant.name) if common.wait is not None else None
        self.ports: dict[Endpoint, Any] = {}
        self.members: dict[str, Member] = {}
        self.start_times = StartTimes(common.difference)
        self.discovery: Discovery | None = None
        self.ending_since = 0

    # ---- its beginning, changes and end ----

    def begin(self, prepared: PreparedListeners) -> None:
        self._open(prepared)
        self._sourced(self.entry.tenant)
        self._stand(self.entry.tenant.state)

    def change(self, entry: TenantEntry, prepared: PreparedListeners) -> None:
        """The tenant is this from now on; transactions that are open end by what they were taken with."""
        before, self.entry = self.entry, entry
        try:
            self._change(before.tenant, entry.tenant, prepared)
        except BaseException:
            self.entry = before  # so that the next change makes up for all that differs
            raise

    def _change(self, old: Tenant, new: Tenant, prepared: PreparedListeners) -> None:
        if old.limits != new.limits or old.profiles != new.profiles:
            self._limited(new)
        if (old.profiles, old.rules, old.shares) != (new.profiles, new.rules, new.shares):
            start, names = started_of(self.common.process, new), names_of(new, self.zones)
            self.dispatcher.reconfigure(start, names, self.limits)
        if old.listeners != new.listeners:
            for place in set(old.listeners) - set(new.listeners):
                if place in self.ports:
                    self._close_port(place)
            self._open(prepared)
        if (old.servers, old.source) != (new.servers, new.source):
            self._sourced(new, old.source)
        if old.state is not new.state:
            self._stand(new.state)

    def _limited(self, tenant: Tenant) -> None:
        self.limits = limits_of(self.common.process, tenant)
        self.dispatcher.limits = self.pool.limits = self.frontend.limits = self.sockets.limits = self.limits
        self.sockets.hosts_most = tenant.limits.host_connections
        self.loop_timing.max_duration = self.limits.turn_duration
        self.dues.change(tenant.limits.txs_a_second, tenant.limits.burst)
        self.frontend.open_most = tenant.limits.open_txs

    def _open(self, prepared: PreparedListeners) -> None:
        for place, port in prepared.ports.items():
            port.open(self.frontend, self.loop_timing.accept_ended)
            self.ports[place] = port

    def _gate(self, accept: bool) -> None:
        for port in self.ports.values():
            port.set_accepting(accept)

    def _stand(self, state: State) -> None:
        self.frontend.shut = 0 if state is State.ACTIVE else self.limits.retry_after
        if state is State.ENDING and not self.ending_since:
            self.ending_since = self.dispatcher.now()
            self.close_ports()
            self.frontend.leave()

    def close_ports(self, waits: bool = False) -> bool:
        """With `waits` one stays while not all fit who wait at its door. Whether all are closed."""
        for place in list(self.ports):
            self._close_port(place, waits)
        if self.ports:
            self.frontend.close_longest_idle()
        return not self.ports

    def _close_port(self, place: Endpoint, waits: bool = False) -> None:
        if accept_all_waiting(self.ports[place], self.sockets) or not waits:
            self.ports.pop(place).stopListening()

    def over(self) -> bool:
        """Whether it is ending and nothing of it is open any more, or has been for too long."""
        if not self.ending_since:
            return False
        longest = max(one.profile.hard_limit for one in self.entry.tenant.profiles)
        waited = self.dispatcher.now() - self.ending_since
        return (not self.frontend.clients and not self.dispatcher.open_txs) or waited > longest + SECOND

    def end(self) -> None:
        """It is no more: nothing of it stays."""
        self.close_ports()
        if self.discovery is not None:
            self.discovery.end()
        for client in list(self.frontend.clients):
            self.frontend.drop(client, CloseReason.REMOVED)
        self.pool.end()
        self.common.retell(self.common.shared_hosts.remove_tenant(self.dispatcher.now(), self.id))

    # ---- its cache hosts ----

    def _sourced(self, tenant: Tenant, before: Endpoint | None = None) -> None:
        old = None
        if self.discovery is not None and tenant.source != before:
            # What it had written by now counts as told; where servers are listed by hand, the change itself does.
            old, self.discovery = self.discovery, None
            (old.end if tenant.source is None else old.retire)()
        if tenant.source is not None and self.discovery is None:
            where = Address(tenant.source.host, tenant.source.port)
            self.discovery = Discovery(self.common.reactor, self.dispatcher, self.limits, where, self.start_times, old)
            self.dispatcher.request_list = self.discovery.watch
            self.discovery.watch()
        elif tenant.source is None:
            members = tuple(self._member(server) for server in tenant.servers)
            self._told(True, self.start_times.dated(True, members, self.dispatcher.now()))

    def _member(self, server: Server) -> Member:
        # The place stands for the host: it is the same by whatever name it goes.
        where = Address(server.endpoint.host, server.endpoint.port)
        standing = m.HostStatus.DRAINING if server.draining else m.HostStatus.READY
        cell = self.cells.get(str(where))
        return Member(str(where), where, server.zone, "", cell, standing, server.weight, server.started)

    def _told(self, whole: bool, members: tuple[Member, ...]) -> None:
        """From the registry or the source: the ledger has a say in it before the decisions hear of it."""
        old = self.members
        kept = {} if whole else dict(old)
        kept.update({member.id: member for member in members})
        gone = {id for id, member in kept.items() if member.standing is m.HostStatus.GONE}
        if self.entry.tenant.source is not None and whole:
            gone |= old.keys() - kept.keys()
        places = [_place((old.get(id) or kept[id]).where) for id in gone]
        # Where two lines have one place, the machine there is the one that is still listed.
        self.members = {id: member for id, member in kept.items() if id not in gone}
        taken = {_place(member.where) for member in self.members.values()}
        named = {
            id: ListEntry(_place(member.where), member.standing, member.since) for id, member in self.members.items()
        }
        source = self.entry.tenant.source is not None
        told = self.common.shared_hosts.update_list(
            self.dispatcher.now(), self.id, named, [place for place in places if source and place not in taken]
        )
        self.settle()
        self.common.retell(told - {self.id})

    def settle(self) -> None:
        """Its list as the ledger has it goes to the decisions."""
        lines = self.common.shared_hosts.views(self.dispatcher.now(), self.id)
        members = tuple(
            replace(
                member,
                standing=lines[id].status,
                since=lines[id].started_at,
                part=lines[id].cold_fraction,
                zone=member.zone or id,
            )
            for id, member in self.members.items()
        )
        self.dispatcher.settled(members, {id: line.endpoint for id, line in lines.items() if line.shared})

    def _machine_ended(self, place: Endpoint, end: m.HopOutcome) -> None:
        told = self.common.shared_hosts.hop_ended(self.dispatcher.now(), place, end)
        if told:
            self.common.retell(told)

    # ---- now and then ----

    def swept(self) -> None:
        if self.sockets.hosts:
            self.pool.swept()
        if self.frontend.clients:
            self.frontend.swept()

    def held(self) -> int:
        """Bytes that it has in memory of half-read and unanswered things."""
        return (
            self.dispatcher.buffered_bytes + self.frontend.buffered_bytes + self.frontend.queued_bytes + self.pool.kept
        )

    def use(self) -> dict[str, Any]:
        queue = self.common.scheduler.queues.get(self.id)
        return {
            "clients": self.sockets.clients,
            "host_connections": self.sockets.hosts,
            "open": len(self.dispatcher.open_txs),
            "held_bytes": self.held(),
            "cpu_s": round(queue.total_ns / SECOND, 3) if queue else 0.0,
            "servers": len(self.members),
        }


def _place(where: Address) -> Endpoint:
    return Endpoint(where.host, where.port)


class TenantLoopTiming(LoopTiming):
    """One tenant's view of the reactor's turns: when they began is the same for all, what is too long is not."""

    def __init__(self, whole: LoopTiming, most: int) -> None:
        self.whole, self.max_duration, self.accept_backlog_since = whole, most, 0

    @property
    def started_at(self) -> int:  # type: ignore[override]
        return self.whole.started_at

    @property
    def earliest_arrival(self) -> int:  # type: ignore[override]
        return self.whole.earliest_arrival

    @property
    def stalled_before(self) -> bool:  # type: ignore[override]
        return self.whole.stalled_before

    @property
    def iteration(self) -> int:  # type: ignore[override]
        return self.whole.iteration
