"""The process of a hosted service: it runs all tenants on one event loop, applies changes, and shuts down in order."""

import gc
import signal
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from loguru import logger
from twisted.internet.main import installReactor

from ternquay.hosted import logs
from ternquay.hosted.service import ServiceConfig, ServiceConfigError, read_service
from ternquay.hosted.shared.fairness import Allocation, SharedCapacity
from ternquay.hosted.shared.scheduler import FairScheduler
from ternquay.hosted.tenants.registry import (
    Change,
    CreateTenant,
    NotFound,
    Registry,
    RemoveTenant,
    ReplaceTenant,
    SetState,
    VersionConflict,
)
from ternquay.hosted.tenants.runtime import (
    PreparedListener,
    PreparedListeners,
    ProcessResources,
    TenantRuntime,
    bind_listeners,
)
from ternquay.hosted.tenants.shared_hosts import SharedHostTable
from ternquay.hosted.tenants.tenant import Guarantee, InvalidField, State, Tenant
from ternquay.net import library_log
from ternquay.net.closing import after_answers_sent
from ternquay.net.limits import MS, SECOND
from ternquay.net.loop_timing import LoopTiming
from ternquay.net.serve import MonotonicReactor

SWEEP_INTERVAL_NS = 250 * MS
REMOVE_RETRY_SECONDS = 1.0
MIN_WEIGHT = 0.001  # of a tenant without a guaranteed part of the CPU
OWN_DESCRIPTORS = 32  # standard streams, poll, wake-up, store, listeners of the API and a spare


class TenantHost:
    """Runs the tenants of a registry. To change it, call prepare(), store the change, then call apply()."""

    def __init__(self, reactor: Any, service: ServiceConfig, registry: Registry) -> None:
        self.reactor, self.service, self.registry = reactor, service, registry
        self.loop_timing = LoopTiming(SECOND)
        self.scheduler = FairScheduler(reactor, lambda: int(reactor.seconds() * SECOND), self.loop_timing)
        self.sockets = SharedCapacity(max(16, service.process.sockets - OWN_DESCRIPTORS))
        self.memory_bytes = service.process.memory_mb << 20
        self.own_address = service.fellows.address if service.fellows is not None else ""
        self.resources = ProcessResources(
            reactor,
            service.process,
            self.scheduler,
            SharedHostTable(),
            self.sockets,
            lambda: time.time_ns() - int(reactor.seconds() * SECOND),
            self._refresh_lists,
        )
        self.runtimes: dict[str, TenantRuntime] = {}
        self.runtimes_by_id: dict[str, TenantRuntime] = {}
        self.removing: set[str] = set()  # names of tenants whose removal has been requested
        self.remove: Callable[[str], Any] = self._remove_unstored
        self.started_at, self.ending, self.stopping = reactor.seconds(), False, False
        self.lists_to_refresh: set[str] = set()  # ids of tenants
        self.flush_timeout = 0  # nanoseconds that the shutdown waits for the system to take answers

    # ---- start ----

    def start(self) -> None:
        """Starts all tenants. Raises InvalidField if a listener can't be bound."""
        prepared = {}
        for name, entry in self.registry.tenants.items():
            try:
                endpoints = () if entry.tenant.state is State.ENDING else entry.tenant.listeners
                prepared[name] = bind_listeners(self.reactor, endpoints, self.own_address)
            except InvalidField as fault:
                for one in prepared.values():
                    one.drop()
                raise InvalidField(f"tenants.{name}.{fault.field}", fault.reason) from fault
        for name in self.registry.tenants:
            self._create_runtime(name)
        self._distribute_capacity()
        for name, runtime in self.runtimes.items():
            runtime.start(prepared[name])
        self._sweep()

    def _create_runtime(self, name: str) -> TenantRuntime:
        runtime = TenantRuntime(self.resources, self.registry.tenants[name], self.loop_timing)
        self.runtimes[name] = self.runtimes_by_id[runtime.id] = runtime
        return runtime

    # ---- changes ----

    def prepare(self, registry: Registry, name: str) -> PreparedListeners:
        """Binds the listeners that the change needs. Raises InvalidField and leaves none bound if one can't be."""
        after, before = registry.tenants.get(name), self.registry.tenants.get(name)
        if after is None or after.tenant.state is State.ENDING:
            return PreparedListeners()
        bound = before.tenant.listeners if before is not None else ()
        new = tuple(endpoint for endpoint in after.tenant.listeners if endpoint not in bound)
        try:
            return bind_listeners(self.reactor, new, self.own_address, self._closing_ports())
        except InvalidField as fault:
            index = after.tenant.listeners.index(new[int(fault.field[len("listeners[") : -1])])
            raise InvalidField(f"listeners[{index}]", fault.reason) from fault

    def _closing_ports(self) -> list[PreparedListener]:
        """Returns the listeners of all tenants that are about to close."""
        return [port for runtime in self.runtimes.values() for port in runtime.closing_ports()]

    def apply(self, registry: Registry, name: str, prepared: PreparedListeners) -> None:
        """Applies the change to one tenant in one step. If it raises, the other tenants are as they were."""
        self.registry = registry
        if self.ending:
            # Nothing is opened any more, but tenants are served by their current configuration until the shutdown: when
            # the fleet suspends a tenant, this member must not take its txs meanwhile.
            prepared.drop()
            entry = registry.tenants.get(name)
            if entry is not None and name in self.runtimes:
                self.runtimes[name].change(entry, PreparedListeners())
            return
        try:
            self._apply(registry, name, prepared)
        except BaseException:
            prepared.drop()
            raise

    def _apply(self, registry: Registry, name: str, prepared: PreparedListeners) -> None:
        entry, runtime = registry.tenants.get(name), self.runtimes.get(name)
        if entry is None:
            if runtime is not None:
                del self.runtimes[name], self.runtimes_by_id[runtime.id]
            self.removing.discard(name)
            self._distribute_capacity()
            if runtime is not None:
                runtime.remove()
        elif runtime is None:
            runtime = self._create_runtime(name)
            self._distribute_capacity()
            runtime.start(prepared)
        else:
            limits_changed = runtime.entry.tenant.limits != entry.tenant.limits
            runtime.change(entry, prepared)
            if limits_changed:
                self._distribute_capacity()

    def change(self, change: Change) -> None:
        """Applies a change without storing it.

        Raises InvalidField, NotFound or VersionConflict, and changes nothing then.
        """
        name = change.tenant.name if isinstance(change, CreateTenant | ReplaceTenant) else change.name
        after = self.registry.with_change(change)
        self.apply(after, name, self.prepare(after, name))

    def _remove_unstored(self, name: str) -> None:
        try:
            self.change(RemoveTenant(name))
        except (InvalidField, NotFound, VersionConflict):
            logger.exception("a tenant that has ended could not be removed")

    def _distribute_capacity(self) -> None:
        """Sets each tenant's part of the event loop, of the sockets and of cache hosts that several tenants list."""
        loop_shares, weights, allocations = {}, {}, {}
        for runtime in self.runtimes.values():
            limits = runtime.entry.tenant.limits
            weight = weights[runtime.id] = max(MIN_WEIGHT, limits.cpu.least)
            loop_shares[runtime.id] = weight, limits.cpu.most
            allocations[runtime.id] = allocation_of(limits.sockets, self.sockets.capacity)
        self.scheduler.set_shares(loop_shares)
        self.sockets.set_allocations(allocations)
        self._refresh_lists(self.resources.shared_hosts.set_weights(weights))

    def _refresh_lists(self, ids: set[str]) -> None:
        """Schedules a refresh of these tenants' host lists, which depend on those of others; one for each tenant."""
        if ids and not self.lists_to_refresh:
            self.reactor.callLater(0, self._refresh_now)
        self.lists_to_refresh |= ids

    def _refresh_now(self) -> None:
        ids, self.lists_to_refresh = self.lists_to_refresh, set()
        for id in sorted(ids):
            if id in self.runtimes_by_id:
                self.runtimes_by_id[id].refresh_list()

    # ---- periodic work ----

    def _sweep(self) -> None:
        self.reactor.callLater(SWEEP_INTERVAL_NS / SECOND, self._sweep)
        self.scheduler.sweep()
        self._refresh_lists(self.resources.shared_hosts.expire(int(self.reactor.seconds() * SECOND)))
        for runtime in list(self.runtimes.values()):
            runtime.sweep()
            name = runtime.entry.tenant.name
            if runtime.has_ended() and name not in self.removing and not self.ending:
                self.removing.add(name)
                pending = self.remove(name)
                if pending is not None:
                    pending.addCallback(self._retry_removal, name)
        for id, excess in self.sockets.reclaimable():
            if id in self.runtimes_by_id:
                self.runtimes_by_id[id].frontend.reclaim(excess)
        self._reclaim_memory()

    def _retry_removal(self, reply: Any, name: str) -> None:
        """Tries again later if the tenant could not be removed, for example because the disk is full."""
        if reply.status >= 300:
            self.reactor.callLater(REMOVE_RETRY_SECONDS, self.removing.discard, name)

    def _reclaim_memory(self) -> None:
        """While all tenants together hold too much, frees memory of the tenant that is furthest over its guarantee.

        What can't be freed at once keeps the tenants that are over their guarantee from taking new requests.
        """
        excess: float = sum(runtime.buffered_bytes() for runtime in self.runtimes.values()) - self.memory_bytes
        over = {runtime: self._over_guarantee(runtime) for runtime in self.runtimes.values()}
        while excess > 0 and over:
            runtime = max(over, key=over.__getitem__)
            if over[runtime] <= 0 or not runtime.frontend.free_memory():
                del over[runtime]
                continue
            now_over = self._over_guarantee(runtime)
            excess -= over[runtime] - now_over
            over[runtime] = now_over
        for runtime in self.runtimes.values():
            runtime.frontend.memory_short = excess > 0 and self._over_guarantee(runtime) > 0

    def _over_guarantee(self, runtime: TenantRuntime) -> float:
        """Returns by how many bytes a tenant holds more than its guaranteed part of the memory."""
        return runtime.buffered_bytes() - runtime.entry.tenant.limits.memory.least * self.memory_bytes

    def process(self) -> dict[str, Any]:
        """Returns what the administration API reports of the process."""
        cpu_seconds = time.process_time()
        return {
            "name": self.service.name,
            "up_s": round(self.reactor.seconds() - self.started_at, 1),
            "version": self.registry.version,
            "cpu_s": round(cpu_seconds, 3),
            "sockets": self.sockets.total_used,
            "sockets_most": self.sockets.capacity,
            "tenants": {name: runtime.usage() for name, runtime in sorted(self.runtimes.items())},
        }

    # ---- reload of the operators' file, where there is no store ----

    def follow(self, registry: Registry) -> None:
        """Applies the file's registry. A change that is not possible is logged, and the tenant stays as it is."""
        for change in differences(self.registry, registry):
            try:
                self.change(change)
            except Exception as fault:  # concerns one tenant; the others are still changed
                name = change.tenant.name if isinstance(change, CreateTenant | ReplaceTenant) else change.name
                expected = isinstance(fault, InvalidField | NotFound | VersionConflict)
                logger.opt(exception=not expected).bind(tenant=name, cause=str(fault)).error(
                    "a change of the file could not be applied"
                )

    # ---- shutdown ----

    def shut_down(self) -> None:
        """Shuts down as a single balancer does, all tenants at once (SIGTERM)."""
        if self.ending:
            return
        self.ending = True
        logger.info("shutting down, {} transactions open", self._open_transactions())
        now = int(self.reactor.seconds() * SECOND)
        accept_grace = leave_after = stop_after = flush_timeout = 0
        for runtime in self.runtimes.values():
            limits = runtime.limits
            runtime.dispatcher.answer_all_by(now + limits.last_answer_after, now + limits.leave_after)
            accept_grace, stop_after = max(accept_grace, limits.accept_grace), max(stop_after, limits.stop_after)
            leave_after, flush_timeout = (
                max(leave_after, limits.leave_after),
                max(flush_timeout, limits.flush_timeout),
            )
        self.flush_timeout = flush_timeout
        self.reactor.callLater(accept_grace / SECOND, self._close_listeners)
        self.reactor.callLater(leave_after / SECOND, self._close_clients)
        self.reactor.callLater(stop_after / SECOND, self._stop)

    def _open_transactions(self) -> int:
        return sum(not tx.answered for runtime in self.runtimes.values() for tx in runtime.dispatcher.open_txs.values())

    def _close_listeners(self) -> None:
        for runtime in self.runtimes.values():
            runtime.close_listeners()

    def _close_clients(self) -> None:
        for runtime in self.runtimes.values():
            runtime.frontend.leave()
        self._wait_for_clients()

    def _wait_for_clients(self) -> None:
        if any(runtime.frontend.clients or runtime.closing_listeners.ports for runtime in self.runtimes.values()):
            self.reactor.callLater(0.01, self._wait_for_clients)
        else:
            self._stop()

    def _stop(self) -> None:
        if not self.stopping:
            self.stopping = True
            after_answers_sent(
                self.reactor, self._owes_answers, self._writes_answers, self.flush_timeout, self._stopped
            )

    def _writes_answers(self) -> bool:
        return any(runtime.frontend.writes_answers() for runtime in self.runtimes.values())

    def _owes_answers(self) -> bool:
        return any(runtime.frontend.owes_answers() for runtime in self.runtimes.values())

    def _stopped(self) -> None:
        if self.reactor.running:
            logger.info("shut down, {} transactions open", self._open_transactions())
            self.reactor.stop()


def allocation_of(guarantee: Guarantee, capacity: int) -> Allocation:
    """Returns the guarantee as amounts of the capacity."""
    return Allocation(int(guarantee.least * capacity), int(guarantee.most * capacity))


def differences(old: Registry, new: Registry) -> list[Change]:
    """Returns the changes from one registry to the other: those that free resources first."""
    changes: list[Change] = []
    for name, entry in old.tenants.items():
        if name not in new.tenants and entry.tenant.state is not State.ENDING:
            changes.append(SetState(name, State.ENDING))
    for name, entry in new.tenants.items():
        current = old.tenants.get(name)
        changes += (
            [CreateTenant(entry.tenant)] if current is None else _tenant_differences(current.tenant, entry.tenant)
        )
    return changes


def _tenant_differences(old: Tenant, new: Tenant) -> list[Change]:
    changes: list[Change] = []
    if replace(new, state=old.state) != old:
        changes.append(ReplaceTenant(replace(new, state=old.state)))
    if new.state is not old.state:
        changes.append(SetState(new.name, new.state))
    return changes


class ServiceProcess:
    """The tenant host with its store, its administration API and its fleet, and what signals make it do."""

    def __init__(self, reactor: Any, service: ServiceConfig) -> None:
        self.reactor, self.service = reactor, service
        self.executor: Any = None
        self.api: Any = None
        self.store_thread: Any = None
        self.fleet: Any = None
        if service.store:
            self._with_store()
        else:
            self.host = TenantHost(reactor, service, service.registry)

    def _with_store(self) -> None:
        # Imported here, because a process without a store does not load any of this.
        from ternquay.hosted.administration.api import Api
        from ternquay.hosted.administration.changes import ChangeExecutor, StoreThread
        from ternquay.hosted.store import Store, StoreError

        fleet_config, boot = self.service.fellows, None
        store: Store
        try:
            if fleet_config is not None:
                from ternquay.hosted.fleet.store import FleetStore

                store = member = FleetStore(self.service.store)
                boot = member.begin_boot()
            else:
                store = Store(self.service.store)
                if store.belongs_to_fleet():
                    raise ServiceConfigError(
                        "peers: are wanted, as the store is a member's: by itself it may be behind"
                    )
            registry = store.registry()
        except StoreError as fault:
            raise ServiceConfigError(f"store.path: {fault}") from fault
        self.host = TenantHost(self.reactor, self.service, registry)
        self.store_thread = StoreThread(self.reactor, store)
        self.executor = ChangeExecutor(
            self.reactor, Api(self.service.operators), self.host, self.store_thread, time.time_ns
        )
        self.host.remove = self.executor.remove
        if fleet_config is not None:
            from ternquay.hosted.fleet.member import FleetMember

            assert boot is not None
            self.fleet = FleetMember(self.reactor, fleet_config, self.host, self.store_thread, member, boot)
            self.executor.join(self.fleet)
            self.host.resources.admission_delay = self.fleet.admission_delay

    def start(self) -> None:
        """Starts everything. Raises ServiceConfigError."""
        try:
            if self.fleet is not None:
                self.fleet.start()  # before any tenant takes transactions
            self.host.start()
            if self.service.api is not None:
                from ternquay.hosted.administration.http import ApiPort

                self.api = ApiPort(self.reactor, self.service, self.executor)
                self.api.begin()
        except InvalidField as fault:
            raise ServiceConfigError(f"{self.service.path}: {fault.field}: {fault.reason}") from fault
        logger.info("{} serves {} tenants", self.service.name, len(self.host.runtimes))

    def reload(self) -> None:
        """Reads the file again (SIGHUP): operators' keys, the certificate and, without a store, the tenants."""
        try:
            new = read_service(Path(self.service.path))
            if self.api is not None and new.api is not None:
                self.api.reload(new)
        except ServiceConfigError as fault:
            logger.bind(cause=str(fault)).error("the reloaded file is invalid; keeping the old one")
            return
        for field in ("process", "store", "listen", "log", "fellows"):
            if getattr(new, field) != getattr(self.service, field) and field != "process":
                logger.warning("the reloaded file changes {}, which takes effect at the next start", field)
        if self.executor is not None:
            if new.api is not None:  # else all operators would be locked out until the next start
                self.executor.api.operators = new.operators
        elif not self.host.ending:
            self.host.follow(new.registry)
        logger.info("reloaded the file")

    def shut_down(self) -> None:
        """Stops the API and the changes, and lets the tenants finish."""
        if self.api is not None:
            self.api.end()
        if self.executor is not None:
            self.executor.end()
        if self.fleet is not None:
            self.fleet.step_down()
        self.host.shut_down()  # a member votes and renews its lease while it finishes open transactions

    def close(self) -> None:
        """Closes the fleet's links and the store, after the event loop has stopped."""
        if self.fleet is not None:
            self.fleet.stop()
        if self.store_thread is not None:
            self.store_thread.end()


def run(service: ServiceConfig) -> None:
    """Serves until SIGTERM or SIGINT. Raises ServiceConfigError if the service can't start."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until a reload is possible; SIGHUP must never end the process
    logs.configure(service.log.json, service.log.level)
    library_log.install()
    reactor = MonotonicReactor()
    installReactor(reactor)
    running = ServiceProcess(reactor, service)
    try:
        running.start()
        reactor.mark_turns(running.host.loop_timing)
        # The objects of the start live on. Without the freeze each full garbage collection scans them and stops all
        # transactions for 50 to 80 ms.
        gc.collect()
        gc.freeze()
        for number, action in (
            (signal.SIGTERM, running.shut_down),
            (signal.SIGINT, running.shut_down),
            (signal.SIGHUP, running.reload),
        ):
            reactor.callWhenRunning(_handle_signal, reactor, number, action)
        reactor.run()
    finally:
        running.close()


def _handle_signal(reactor: Any, number: signal.Signals, action: Callable[[], None]) -> None:
    signal.signal(number, lambda *_: reactor.callFromThread(action))
