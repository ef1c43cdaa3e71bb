"""Runs one tenant on sockets: listeners, frontend, dispatcher, decisions, connection pool and source of cache hosts."""

from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field, replace
from functools import partial
from socket import socket
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory

from ternquay import model as m
from ternquay.facts import NameTable
from ternquay.hosted.shared.fairness import ClientLimiter, SharedCapacity
from ternquay.hosted.shared.frontend import CROWDING_SHARE, TenantFrontend, TenantListener, TenantSockets
from ternquay.hosted.shared.scheduler import FairScheduler
from ternquay.hosted.tenants.registry import TenantEntry
from ternquay.hosted.tenants.shared_hosts import ListEntry, SharedHostTable
from ternquay.hosted.tenants.tenant import Endpoint, InvalidField, Server, State, Tenant
from ternquay.net.closing import ClosingListeners
from ternquay.net.connection_filter import (
    allow_connection_requests,
    block_connection_requests,
    direct_connection_requests,
    share_address,
)
from ternquay.net.discovery import Discovery
from ternquay.net.dispatcher import Dispatcher, OutgoingHop
from ternquay.net.host_connection import HostConnection
from ternquay.net.limits import SECOND, Limits, derive_limits
from ternquay.net.listing import Address, HostEntry
from ternquay.net.loop_timing import LoopTiming
from ternquay.net.pool import Pool
from ternquay.net.request_ids import IdTable, RequestIds
from ternquay.net.safety import CloseReason, ServerCloseReason
from ternquay.net.start_times import StartTimes

MAX_HOPS = 4
MAX_BACKOFF_NS = SECOND
SPARE_SOCKETS = 8  # for clients that connect when the tenant is full: they are told so and closed
MAX_INDICES = 10_000
MAX_END_NS = 60 * SECOND  # of a tenant in whose listeners clients still wait


@dataclass(slots=True, frozen=True)
class ProcessConfig:
    """What the process offers all tenants together, and its index among the balancers of the service."""

    sockets: int
    memory_mb: int
    balancers: int = 1
    number: int = 0
    seed: int = 0


@dataclass(slots=True)
class ProcessResources:
    """What the tenants of a process share."""

    reactor: Any
    process: ProcessConfig
    scheduler: FairScheduler
    shared_hosts: SharedHostTable
    sockets: SharedCapacity
    wall_clock_offset: Callable[[], int]  # the wall clock minus the reactor's clock
    refresh_lists: Callable[[set[str]], None] = lambda ids: None  # of the tenants with these ids
    # For a member of a fleet that is fenced: how long new transactions of a tenant are told to wait, 0 if it is not.
    admission_delay: Callable[[str], int] | None = None
    request_ids: IdTable = field(default_factory=IdTable)


class NameIndex(dict[str, int]):
    """Assigns small indices to names as they appear. Beyond MAX_INDICES names, each look-up gets a new index."""

    def __init__(self) -> None:
        super().__init__()
        self.last_unshared = MAX_INDICES

    def get(self, name: str, default: Any = None) -> int:
        if name not in self:
            if len(self) >= MAX_INDICES:
                self.last_unshared += 1
                return self.last_unshared
            self[name] = len(self)
        return self[name]


def decision_config(process: ProcessConfig, tenant: Tenant) -> m.Config:
    """Returns the configuration of the tenant's decisions.

    An extra share with quota 0 comes last: clients that crowd others are put there, so all they send is over quota.
    """
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
        max_hops=MAX_HOPS,
        weight_mode=m.WeightMode.STATIC,
        max_backoff=MAX_BACKOFF_NS,
        clock_quantum=0,
        cold_share=rules.cold_share,
        warm_up_time=rules.warm_within,
        overload_multiple=rules.tip_multiple,
        overload_window=rules.tip_window,
    )


def decision_names(tenant: Tenant, zones: NameIndex) -> NameTable:
    """Returns the names that the tenant's decisions know by index."""
    names = NameTable(
        {
            "Profiles": [{"Name": one.name} for one in tenant.profiles],
            "Tenants": [{"Name": share.name} for share in tenant.shares],
        }
    )
    names.shares[CROWDING_SHARE] = len(tenant.shares)
    names.zones = zones
    return names


def connection_limits(process: ProcessConfig, tenant: Tenant) -> Limits:
    """Returns the sizes, counts and times for the tenant's connections: its own limits within those of the process."""
    own = tenant.limits
    facts = {
        "Limits": {
            "RetryAfter": True,
            "MaxRetryAfter": MAX_BACKOFF_NS // 1000,
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
    limits = derive_limits(facts, process.sockets, process.memory_mb)
    memory = int(own.memory.most * process.memory_mb * (1 << 20))
    return replace(
        limits,
        sockets=max(4, int(own.sockets.most * process.sockets) - SPARE_SOCKETS),
        spare=SPARE_SOCKETS,
        clients=own.clients,
        value_bytes=65536,
        answer_bytes=1 << 20,
        stream_above_bytes=65536,
        buffered_bytes=max(1 << 20, min(own.held, memory)),
        idle_clients=max(8, own.clients // 2),
    )


class TenantConnection(HostConnection):
    """A connection to a cache host. The time that its answers take is charged to the tenant."""

    def rawDataReceived(self, data: bytes) -> None:
        assert isinstance(self.pool, TenantPool)
        scheduler = self.pool.scheduler
        began = scheduler.clock()
        super().rawDataReceived(data)
        scheduler.charge_since(self.pool.name, began)


class TenantPool(Pool):
    """The tenant's connections to its cache hosts."""

    connection_class = TenantConnection

    def __init__(self, scheduler: FairScheduler, name: str, *args: Any) -> None:
        super().__init__(*args)
        self.scheduler, self.name = scheduler, name

    def close_all(self) -> None:
        """Closes all connections at once."""
        for host in list(self.hosts.values()):
            for connection in list(host.connections):
                connection.abort(ServerCloseReason.REMOVED)


class TenantDispatcher(Dispatcher):
    """Passes host lists through the shared host table, and reports hops that end at a shared host to it."""

    list_received: Callable[[bool, tuple[HostEntry, ...]], None]
    shared_hop_ended: Callable[[Endpoint, m.HopOutcome], None]

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.shared_endpoints: dict[int, Endpoint] = {}

    def update_hosts(self, whole: bool, entries: tuple[HostEntry, ...]) -> None:
        self.list_received(whole, entries)

    def apply_list(self, entries: tuple[HostEntry, ...], shared: Mapping[str, Endpoint]) -> None:
        """Hands the list to the decisions; `shared` holds the endpoints that other tenants list too, by entry id."""
        super().update_hosts(True, entries)
        self.shared_endpoints = {
            self.host_indices[id]: endpoint for id, endpoint in shared.items() if id in self.host_indices
        }

    def _finish_hop(self, hop: OutgoingHop, outcome: m.HopOutcome, answer: Any = None, cache_result: int = 0) -> None:
        endpoint = self.shared_endpoints.get(hop.host) if self.shared_endpoints else None
        super()._finish_hop(hop, outcome, answer, cache_result)
        if endpoint is not None:
            self.shared_hop_ended(endpoint, outcome)


@dataclass(slots=True)
class PreparedListeners:
    """Listeners that a change needs: bound, but not accepting yet."""

    ports: dict[Endpoint, Any] = field(default_factory=dict)

    def drop(self) -> None:
        """Closes the listeners that were not opened."""
        for port in self.ports.values():
            if port.awaiting_open:  # else it is in use
                port.close()


class PreparedListener(TenantListener):
    """Binds at once but takes connections only after open(), because the change may still fail in between."""

    awaiting_open = True
    endpoint: Endpoint

    def createInternetSocket(self) -> socket:
        own: socket = super().createInternetSocket()
        block_connection_requests(own)
        return own

    def startReading(self) -> None:
        if not self.awaiting_open:
            super().startReading()

    def open(self, frontend: TenantFrontend, accepted: Callable[[bool], None]) -> None:
        self.frontend, self.factory, self.on_accepted, self.awaiting_open = frontend, frontend, accepted, False
        with suppress(OSError):  # there is no filter where the system can't attach one
            allow_connection_requests(self.socket)
        self.startReading()


class SharingListener(PreparedListener):
    """A listener at an address at which others are closing. It gets all new connections."""

    def __init__(self, closing: list[PreparedListener], *args: Any) -> None:
        super().__init__(*args)
        self._reusePort, self.closing = True, closing

    def startListening(self) -> None:
        for port in self.closing:
            share_address(port.socket)
        super().startListening()
        direct_connection_requests(self.socket, len(self.closing))


def bind_listeners(
    reactor: Any,
    endpoints: tuple[Endpoint, ...],
    own_address: str = "",
    closing: Iterable[PreparedListener] = (),
    backlog: int = 1024,
) -> PreparedListeners:
    """Binds a listener to each endpoint; `own_address`, if given, replaces 0.0.0.0.

    `closing` has the listeners of this process that are still open, as clients wait in them, but are about to close.
    Raises InvalidField if one can't be bound, and leaves none bound then.
    """
    prepared = PreparedListeners()
    for i, endpoint in enumerate(endpoints):
        host = own_address if own_address and endpoint.host == "0.0.0.0" else endpoint.host
        arguments = endpoint.port, Factory(), backlog, host, reactor
        beside = [port for port in closing if port.endpoint == endpoint]
        port = SharingListener(beside, *arguments) if beside else PreparedListener(*arguments)
        try:
            port.startListening()
        except (CannotListenError, OSError) as fault:
            prepared.drop()
            cause = fault.socketError if isinstance(fault, CannotListenError) else fault
            raise InvalidField(f"listeners[{i}]", f"can't be bound: {cause}") from fault
        port.endpoint, prepared.ports[endpoint] = endpoint, port
    return prepared


class TenantRuntime:
    """One tenant of the process, run as its registry entry configures it."""

    def __init__(self, resources: ProcessResources, entry: TenantEntry, loop_timing: LoopTiming) -> None:
        self.resources, self.entry = resources, entry
        self.id = f"{entry.tenant.name}.{entry.incarnation}"  # a tenant created again under the name has another id
        tenant, reactor = entry.tenant, resources.reactor
        self.limits = connection_limits(resources.process, tenant)
        self.zones, self.cells = NameIndex(), NameIndex()
        self.sockets = TenantSockets(self.limits, self.id, resources.sockets, tenant.limits.host_connections)
        self.dispatcher = TenantDispatcher(
            reactor, decision_config(resources.process, tenant), decision_names(tenant, self.zones), self.limits
        )
        self.dispatcher.request_ids = RequestIds(resources.request_ids, self.id)
        self.dispatcher.list_received, self.dispatcher.shared_hop_ended = self._list_received, self._shared_hop_ended
        self.pool = self.dispatcher.pool = TenantPool(
            resources.scheduler, self.id, reactor, self.dispatcher, self.limits, self.sockets, True
        )
        self.loop_timing = TenantLoopTiming(loop_timing, self.limits.turn_duration)
        self.dispatcher.process_stalled = self.loop_timing.process_stalled
        self.client_limiter = ClientLimiter(tenant.limits.txs_a_second, tenant.limits.burst)
        self.frontend = TenantFrontend(
            reactor,
            self.dispatcher,
            self.limits,
            self.sockets,
            self.loop_timing,
            resources.scheduler,
            self.id,
            self.client_limiter,
        )
        self.pool.is_short = self.frontend.is_short
        self.frontend.max_open_txs = tenant.limits.open_txs
        self.frontend.set_accepting = self._set_accepting
        self.frontend.fence_delay = (
            partial(resources.admission_delay, tenant.name) if resources.admission_delay is not None else None
        )
        self.ports: dict[Endpoint, Any] = {}  # open listeners
        self.closing_listeners = ClosingListeners(reactor, self.sockets, self.frontend.close_longest_idle)
        self.closing_listeners.on_closed = self._update_accepting
        self.host_list: dict[str, HostEntry] = {}  # by host id
        self.start_times = StartTimes(resources.wall_clock_offset)
        self.discovery: Discovery | None = None
        self.ending_since = 0  # 0: not ending
        self.writing_until = 0  # while ending: when answers were last being written

    # ---- start, changes and end ----

    def start(self, prepared: PreparedListeners) -> None:
        """Opens the listeners and follows the source of cache hosts."""
        self._open_listeners(prepared)
        self._use_host_source(self.entry.tenant)
        self._apply_state(self.entry.tenant.state)

    def change(self, entry: TenantEntry, prepared: PreparedListeners) -> None:
        """Applies another configuration. Open transactions finish under the one that they began with."""
        before, self.entry = self.entry, entry
        try:
            self._apply_changes(before.tenant, entry.tenant, prepared)
        except BaseException:
            self.entry = before  # so that the next change applies all that differs
            raise

    def _apply_changes(self, old: Tenant, new: Tenant, prepared: PreparedListeners) -> None:
        if old.limits != new.limits or old.profiles != new.profiles:
            self._apply_limits(new)
        if (old.profiles, old.rules, old.shares) != (new.profiles, new.rules, new.shares):
            config, names = decision_config(self.resources.process, new), decision_names(new, self.zones)
            self.dispatcher.reconfigure(config, names, self.limits)
        if old.listeners != new.listeners:
            for endpoint in set(old.listeners) - set(new.listeners):
                if endpoint in self.ports:
                    self._close_listener(endpoint)
            self._open_listeners(prepared)
        if (old.servers, old.source) != (new.servers, new.source):
            self._use_host_source(new, old.source)
        if old.state is not new.state:
            self._apply_state(new.state)

    def _apply_limits(self, tenant: Tenant) -> None:
        self.limits = connection_limits(self.resources.process, tenant)
        self.dispatcher.limits = self.pool.limits = self.frontend.limits = self.sockets.limits = self.limits
        self.sockets.max_hosts = tenant.limits.host_connections
        self.loop_timing.max_duration = self.limits.turn_duration
        self.client_limiter.change(tenant.limits.txs_a_second, tenant.limits.burst)
        self.frontend.max_open_txs = tenant.limits.open_txs

    def _open_listeners(self, prepared: PreparedListeners) -> None:
        for endpoint, port in prepared.ports.items():
            port.open(self.frontend, self.loop_timing.accept_ended)
            self.ports[endpoint] = port
        self._update_accepting()

    def _set_accepting(self, accept: bool) -> None:
        """Starts or stops accepting. Who waits in a listener that is about to close comes first."""
        if accept:
            self.closing_listeners.accept_waiting()
        self._update_accepting()

    def _update_accepting(self) -> None:
        accept = not self.frontend.accepting_paused and not self.closing_listeners.ports
        for port in self.ports.values():
            port.set_accepting(accept)

    def _apply_state(self, state: State) -> None:
        self.frontend.suspended_delay = 0 if state is State.ACTIVE else self.limits.retry_after
        if state is State.ENDING and not self.ending_since:
            self.ending_since = self.dispatcher.now()
            self.close_listeners()
            self.frontend.leave()

    def close_listeners(self) -> None:
        """Closes the listeners. One in whose accept queue clients wait that don't fit in yet stays until they do."""
        for endpoint in list(self.ports):
            self._close_listener(endpoint)

    def closing_ports(self) -> list[PreparedListener]:
        """Returns the listeners that are about to close."""
        return [port for port in self.closing_listeners.ports if isinstance(port, PreparedListener)]

    def _close_listener(self, endpoint: Endpoint) -> None:
        self.closing_listeners.add(self.ports.pop(endpoint))
        self._update_accepting()

    def has_ended(self) -> bool:
        """Whether the tenant is ending and has nothing open any more, or has been ending for too long.

        Answers that are being written are waited for. Clients that take none, and large values that stand still, end by
        the stall timeouts.
        """
        if not self.ending_since:
            return False
        longest = max(one.profile.hard_limit for one in self.entry.tenant.profiles)
        waited = self.dispatcher.now() - self.ending_since
        if self.closing_listeners.ports:
            return waited > MAX_END_NS
        if not self.frontend.clients and not self.dispatcher.open_txs:
            return True
        if self.frontend.writes_answers():
            self.writing_until = self.dispatcher.now()  # requests may wait behind a large value
        last_due = max(self.ending_since + longest, self.writing_until)
        return self.dispatcher.now() - last_due > SECOND

    def remove(self) -> None:
        """Closes everything; the tenant exists no longer."""
        self.close_listeners()
        self.closing_listeners.close_all()
        if self.discovery is not None:
            self.discovery.stop()
        for client in list(self.frontend.clients):
            self.frontend.drop(client, CloseReason.REMOVED)
        self.pool.close_all()
        self.resources.refresh_lists(self.resources.shared_hosts.remove_tenant(self.dispatcher.now(), self.id))

    # ---- cache hosts ----

    def _use_host_source(self, tenant: Tenant, before: Endpoint | None = None) -> None:
        """Takes the cache hosts from the tenant's source or list; `before` is the source until now."""
        old = None
        if self.discovery is not None and tenant.source != before:
            # What the old source has sent by now still counts, unless the change itself lists the servers.
            old, self.discovery = self.discovery, None
            (old.stop if tenant.source is None else old.retire)()
        if tenant.source is not None and self.discovery is None:
            address = Address(tenant.source.host, tenant.source.port)
            self.discovery = Discovery(
                self.resources.reactor, self.dispatcher, self.limits, address, self.start_times, old
            )
            self.dispatcher.request_list = self.discovery.watch
            self.discovery.watch()
        elif tenant.source is None:
            hosts = tuple(self._host_entry(server) for server in tenant.servers)
            self._list_received(True, self.start_times.to_monotonic(True, hosts, self.dispatcher.now()))

    def _host_entry(self, server: Server) -> HostEntry:
        # The endpoint identifies the host, whatever name the tenant gives it.
        address = Address(server.endpoint.host, server.endpoint.port)
        status = m.HostStatus.DRAINING if server.draining else m.HostStatus.READY
        cell = self.cells.get(str(address))
        return HostEntry(str(address), address, server.zone, "", cell, status, server.weight, server.started)

    def _list_received(self, whole: bool, hosts: tuple[HostEntry, ...]) -> None:
        """Takes a list from the registry or the source and passes it through the shared host table to the decisions."""
        old = self.host_list
        merged = {} if whole else dict(old)
        merged.update({host.id: host for host in hosts})
        gone = {id for id, host in merged.items() if host.status is m.HostStatus.GONE}
        if self.entry.tenant.source is not None and whole:
            gone |= old.keys() - merged.keys()
        gone_endpoints = [_endpoint_of((old.get(id) or merged[id]).address) for id in gone]
        # Where two entries have the same endpoint, the host there is the one that is still listed.
        self.host_list = {id: host for id, host in merged.items() if id not in gone}
        listed = {_endpoint_of(host.address) for host in self.host_list.values()}
        entries = {
            id: ListEntry(_endpoint_of(host.address), host.status, host.started_at)
            for id, host in self.host_list.items()
        }
        has_source = self.entry.tenant.source is not None
        changed = self.resources.shared_hosts.update_list(
            self.dispatcher.now(),
            self.id,
            entries,
            [endpoint for endpoint in gone_endpoints if has_source and endpoint not in listed],
        )
        self.refresh_list()
        self.resources.refresh_lists(changed - {self.id})

    def refresh_list(self) -> None:
        """Hands the decisions the tenant's list as the shared host table has it."""
        views = self.resources.shared_hosts.views(self.dispatcher.now(), self.id)
        hosts = tuple(
            replace(
                host,
                status=views[id].status,
                started_at=views[id].started_at,
                cold_fraction=views[id].cold_fraction,
                zone=host.zone or id,
            )
            for id, host in self.host_list.items()
        )
        self.dispatcher.apply_list(hosts, {id: view.endpoint for id, view in views.items() if view.shared})

    def _shared_hop_ended(self, endpoint: Endpoint, outcome: m.HopOutcome) -> None:
        changed = self.resources.shared_hosts.hop_ended(self.dispatcher.now(), endpoint, outcome)
        if changed:
            self.resources.refresh_lists(changed)

    # ---- periodic work and usage ----

    def sweep(self) -> None:
        """Closes stale connections; called periodically."""
        if self.sockets.hosts:
            self.pool.close_stale()
        if self.frontend.clients:
            self.frontend.close_stale()

    def buffered_bytes(self) -> int:
        """Returns the bytes in memory of incomplete requests and answers, and of what is not answered yet."""
        return (
            self.dispatcher.buffered_bytes
            + self.frontend.incomplete_requests.total
            + self.frontend.unsent_answers.total
            + self.pool.incomplete_responses.total
            + self.dispatcher.streams.reserved_bytes()
        )

    def usage(self) -> dict[str, Any]:
        """Returns what the administration API reports of the tenant."""
        queue = self.resources.scheduler.queues.get(self.id)
        return {
            "clients": self.sockets.clients,
            "host_connections": self.sockets.hosts,
            "open": len(self.dispatcher.open_txs),
            "held_bytes": self.buffered_bytes(),
            "cpu_s": round(queue.total_ns / SECOND, 3) if queue else 0.0,
            "servers": len(self.host_list),
        }


def _endpoint_of(address: Address) -> Endpoint:
    return Endpoint(address.host, address.port)


class TenantLoopTiming(LoopTiming):
    """One tenant's view of the reactor's turns: they begin at the same time for all; each tenant has its own bound."""

    def __init__(self, process_timing: LoopTiming, max_duration: int) -> None:
        self.process_timing, self.max_duration, self.accept_backlog_since = process_timing, max_duration, 0

    @property
    def started_at(self) -> int:  # type: ignore[override]
        return self.process_timing.started_at

    @property
    def earliest_arrival(self) -> int:  # type: ignore[override]
        return self.process_timing.earliest_arrival

    @property
    def stalled_before(self) -> bool:  # type: ignore[override]
        return self.process_timing.stalled_before

    @property
    def iteration(self) -> int:  # type: ignore[override]
        return self.process_timing.iteration
