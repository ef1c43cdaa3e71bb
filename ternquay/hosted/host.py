"""The process of a hosted service: all tenants on one loop, changed one step at a time, ended in order."""

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
from ternquay.hosted.tenants.runtime import PreparedListeners, ProcessResources, TenantRuntime, bound
from ternquay.hosted.tenants.shared_hosts import SharedHostTable
from ternquay.hosted.tenants.tenant import Guarantee, InvalidField, State, Tenant
from ternquay.net import library_log
from ternquay.net.closing import after_answers_sent
from ternquay.net.limits import MS, SECOND
from ternquay.net.loop_timing import LoopTiming
from ternquay.net.safety import CloseReason
from ternquay.net.serve import MonotonicReactor

SWEEP = 250 * MS
REMOVE_AGAIN = 1.0  # seconds
WEIGHT_LEAST = 0.001  # of a tenant that was promised nothing
OWN_DESCRIPTORS = 32  # standard streams, poll, wake-up, store, listeners of the API and a spare


class TenantHost:
    """Runs the tenants of a registry; whoever changes it calls prepare() first and apply() once it is stored."""

    def __init__(self, reactor: Any, service: ServiceConfig, registry: Registry) -> None:
        self.reactor, self.service, self.registry = reactor, service, registry
        self.loop_timing = LoopTiming(SECOND)
        self.scheduler = FairScheduler(reactor, lambda: int(reactor.seconds() * SECOND), self.loop_timing)
        self.sockets = SharedCapacity(max(16, service.process.sockets - OWN_DESCRIPTORS))
        self.memory = service.process.memory_mb << 20
        self.own = service.fellows.address if service.fellows is not None else ""
        self.common = ProcessResources(
            reactor,
            service.process,
            self.scheduler,
            SharedHostTable(),
            self.sockets,
            lambda: time.time_ns() - int(reactor.seconds() * SECOND),
            self._retell,
        )
        self.runtimes: dict[str, TenantRuntime] = {}
        self.runtimes_by_id: dict[str, TenantRuntime] = {}
        self.removing: set[str] = set()
        self.remove: Callable[[str], Any] = self._removed_here
        self.began, self.ending, self.stopping = reactor.seconds(), False, False
        self.told: set[str] = set()
        self.flush = 0  # at the end: for answers that the system has not taken by then

    # ---- beginning ----

    def begin(self) -> None:
        """Raises InvalidField where a listener can't be bound."""
        prepared = {}
        for name, entry in self.registry.tenants.items():
            try:
                places = () if entry.tenant.state is State.ENDING else entry.tenant.listeners
                prepared[name] = bound(self.reactor, places, self.own)
            except InvalidField as fault:
                for one in prepared.values():
                    one.drop()
                raise InvalidField(f"tenants.{name}.{fault.field}", fault.reason) from fault
        for name in self.registry.tenants:
            self._made(name)
        self._settle()
        for name, tenancy in self.runtimes.items():
            tenancy.begin(prepared[name])
        self._sweep()

    def _made(self, name: str) -> TenantRuntime:
        tenancy = TenantRuntime(self.common, self.registry.tenants[name], self.loop_timing)
        self.runtimes[name] = self.runtimes_by_id[tenancy.id] = tenancy
        return tenancy

    # ---- changes ----

    def prepare(self, registry: Registry, name: str) -> PreparedListeners:
        """Binds what the change needs; raises InvalidField with nothing bound."""
        after, before = registry.tenants.get(name), self.registry.tenants.get(name)
        if after is None or after.tenant.state is State.ENDING:
            return PreparedListeners()
        there = before.tenant.listeners if before is not None else ()
        new = tuple(place for place in after.tenant.listeners if place not in there)
        try:
            return bound(self.reactor, new, self.own)
        except InvalidField as fault:
            at = after.tenant.listeners.index(new[int(fault.field[len("listeners[") : -1])])
            raise InvalidField(f"listeners[{at}]", fault.reason) from fault

    def apply(self, registry: Registry, name: str, prepared: PreparedListeners) -> None:
        """All of it, in one step of the loop. What raises leaves the other tenants as they are."""
        self.registry = registry
        if self.ending:
            # It opens nothing any more. But what is served on until the end is served by what is in force: a member of
            # a fleet that suspends a tenant elsewhere must not take its txs here meanwhile.
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
        entry, tenancy = registry.tenants.get(name), self.runtimes.get(name)
        if entry is None:
            if tenancy is not None:
                del self.runtimes[name], self.runtimes_by_id[tenancy.id]
            self.removing.discard(name)
            self._settle()
            if tenancy is not None:
                tenancy.end()
        elif tenancy is None:
            tenancy = self._made(name)
            self._settle()
            tenancy.begin(prepared)
        else:
            parts = tenancy.entry.tenant.limits != entry.tenant.limits
            tenancy.change(entry, prepared)
            if parts:
                self._settle()

    def change(self, change: Change) -> None:
        """Applies a change without storing it.

        Raises InvalidField, NotFound or VersionConflict, and changes nothing then.
        """
        name = change.tenant.name if isinstance(change, CreateTenant | ReplaceTenant) else change.name
        after = self.registry.with_change(change)
        self.apply(after, name, self.prepare(after, name))

    def _removed_here(self, name: str) -> None:
        try:
            self.change(RemoveTenant(name))
        except (InvalidField, NotFound, VersionConflict):
            logger.exception("a tenant that has ended could not be removed")

    def _settle(self) -> None:
        """Each tenant's parts of the loop, of sockets and of machines that several name."""
        parts, weights, allocations = {}, {}, {}
        for tenancy in self.runtimes.values():
            limits = tenancy.entry.tenant.limits
            weight = weights[tenancy.id] = max(WEIGHT_LEAST, limits.cpu.least)
            parts[tenancy.id] = weight, limits.cpu.most
            allocations[tenancy.id] = share_of(limits.sockets, self.sockets.capacity)
        self.scheduler.set_shares(parts)
        self.sockets.set_allocations(allocations)
        self._retell(self.common.shared_hosts.set_weights(weights))

    def _retell(self, ids: set[str]) -> None:
        """Lists that are others by what other tenants' lists say; told in a turn of their own, once each."""
        if ids and not self.told:
            self.reactor.callLater(0, self._tell)
        self.told |= ids

    def _tell(self) -> None:
        told, self.told = self.told, set()
        for id in sorted(told):
            if id in self.runtimes_by_id:
                self.runtimes_by_id[id].settle()

    # ---- now and then ----

    def _sweep(self) -> None:
        self.reactor.callLater(SWEEP / SECOND, self._sweep)
        self.scheduler.sweep()
        self._retell(self.common.shared_hosts.expire(int(self.reactor.seconds() * SECOND)))
        for tenancy in list(self.runtimes.values()):
            tenancy.swept()
            name = tenancy.entry.tenant.name
            if tenancy.over() and name not in self.removing and not self.ending:
                self.removing.add(name)
                asked = self.remove(name)
                if asked is not None:
                    asked.addCallback(self._asked, name)
        for id, due in self.sockets.reclaimable():
            if id in self.runtimes_by_id:
                self.runtimes_by_id[id].frontend.give_back(due)
        self._take_memory_back()

    def _asked(self, reply: Any, name: str) -> None:
        """One that could not be removed, as the disk is full, is tried again later."""
        if reply.status >= 300:
            self.reactor.callLater(REMOVE_AGAIN, self.removing.discard, name)

    def _take_memory_back(self) -> None:
        """Where all hold more than there is, whoever is furthest over its part loses what it has half-read."""
        held = {tenancy: tenancy.held() for tenancy in self.runtimes.values()}
        while sum(held.values()) > self.memory:
            tenancy = max(held, key=lambda t: held[t] - t.entry.tenant.limits.memory.least * self.memory)
            clients = [client for client in tenancy.frontend.clients if client.buffered_bytes or client.queued_bytes]
            if not clients:
                break
            tenancy.frontend.drop(
                max(clients, key=lambda client: client.buffered_bytes + client.queued_bytes), CloseReason.MEMORY
            )
            held[tenancy] = tenancy.held()

    def process(self) -> dict[str, Any]:
        use = time.process_time()
        return {
            "name": self.service.name,
            "up_s": round(self.reactor.seconds() - self.began, 1),
            "version": self.registry.version,
            "cpu_s": round(use, 3),
            "sockets": self.sockets.total_used,
            "sockets_most": self.sockets.capacity,
            "tenants": {name: tenancy.use() for name, tenancy in sorted(self.runtimes.items())},
        }

    # ---- the operators' file again, where there is no store ----

    def follow(self, registry: Registry) -> None:
        """Makes the registry what the file says; what does not fit is told and left as it is."""
        for change in differences(self.registry, registry):
            try:
                self.change(change)
            except Exception as fault:  # of one tenant, and no reason to leave out the others
                name = change.tenant.name if isinstance(change, CreateTenant | ReplaceTenant) else change.name
                expected = isinstance(fault, InvalidField | NotFound | VersionConflict)
                logger.opt(exception=not expected).bind(tenant=name, cause=str(fault)).error(
                    "the file's change was not made"
                )

    # ---- the end ----

    def end(self) -> None:
        """SIGTERM: as a single balancer ends, for all tenants at once."""
        if self.ending:
            return
        self.ending = True
        logger.info("told to end, {} transactions open", self._open())
        now = int(self.reactor.seconds() * SECOND)
        lame = serve_on = leave = flush = 0
        for tenancy in self.runtimes.values():
            limits = tenancy.limits
            tenancy.dispatcher.answer_deadline = now + limits.last_answer_after
            lame, leave = max(lame, limits.accept_grace), max(leave, limits.stop_after)
            serve_on, flush = max(serve_on, limits.leave_after), max(flush, limits.flush_timeout)
        self.flush = flush
        self.reactor.callLater(lame / SECOND, self._close)
        self.reactor.callLater(serve_on / SECOND, self._leave)
        self.reactor.callLater(leave / SECOND, self._stop)

    def _open(self) -> int:
        return sum(not tx.answered for tenancy in self.runtimes.values() for tx in tenancy.dispatcher.open_txs.values())

    def _close(self) -> None:
        closed = [tenancy.close_ports(not tenancy.frontend.leaving) for tenancy in self.runtimes.values()]
        if not all(closed):
            self.reactor.callLater(0.01, self._close)

    def _leave(self) -> None:
        for tenancy in self.runtimes.values():
            tenancy.frontend.leave()
        self._wait()

    def _wait(self) -> None:
        if any(tenancy.frontend.clients for tenancy in self.runtimes.values()):
            self.reactor.callLater(0.01, self._wait)
        else:
            self._stop()

    def _stop(self) -> None:
        if not self.stopping:
            self.stopping = True
            after_answers_sent(self.reactor, self._owes, self.flush, self._stopped)

    def _owes(self) -> bool:
        return any(tenancy.frontend.has_unsent_answers() for tenancy in self.runtimes.values())

    def _stopped(self) -> None:
        if self.reactor.running:
            logger.info("ended, {} transactions open", self._open())
            self.reactor.stop()


def share_of(part: Guarantee, whole: int) -> Allocation:
    """A part of the whole in its own unit."""
    return Allocation(int(part.least * whole), int(part.most * whole))


def differences(old: Registry, new: Registry) -> list[Change]:
    """The changes that make one registry of the other; first what makes room, then what takes it."""
    found: list[Change] = []
    for name, entry in old.tenants.items():
        if name not in new.tenants and entry.tenant.state is not State.ENDING:
            found.append(SetState(name, State.ENDING))
    for name, entry in new.tenants.items():
        there = old.tenants.get(name)
        found += [CreateTenant(entry.tenant)] if there is None else _differ(there.tenant, entry.tenant)
    return found


def _differ(old: Tenant, new: Tenant) -> list[Change]:
    found: list[Change] = []
    if replace(new, state=old.state) != old:
        found.append(ReplaceTenant(replace(new, state=old.state)))
    if new.state is not old.state:
        found.append(SetState(new.name, new.state))
    return found


class ServiceProcess:
    """The host with its store and its API, and the signals that it heeds."""

    def __init__(self, reactor: Any, service: ServiceConfig) -> None:
        self.reactor, self.service = reactor, service
        self.keeper: Any = None
        self.api: Any = None
        self.stored: Any = None
        self.fleet: Any = None
        if service.store:
            self._with_store()
        else:
            self.host = TenantHost(reactor, service, service.registry)

    def _with_store(self) -> None:
        # Only here, as without a store none of it is even loaded.
        from ternquay.hosted.administration.api import Api
        from ternquay.hosted.administration.changes import Keeper, Stored
        from ternquay.hosted.store import Store, StoreError

        fellows, life = self.service.fellows, None
        store: Store
        try:
            if fellows is not None:
                from ternquay.hosted.fleet.store import FleetStore

                store = member = FleetStore(self.service.store)
                life = member.begin_boot()
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
        self.stored = Stored(self.reactor, store)
        self.keeper = Keeper(self.reactor, Api(self.service.operators), self.host, self.stored, time.time_ns)
        self.host.remove = self.keeper.remove
        if fellows is not None:
            from ternquay.hosted.fleet.member import FleetMember

            assert life is not None
            self.fleet = FleetMember(self.reactor, fellows, self.host, self.stored, member, life)
            self.keeper.join(self.fleet)
            self.host.common.wait = self.fleet.admission_delay

    def begin(self) -> None:
        try:
            if self.fleet is not None:
                self.fleet.start()  # before any tenant takes anything
            self.host.begin()
            if self.service.api is not None:
                from ternquay.hosted.administration.http import ApiPort

                self.api = ApiPort(self.reactor, self.service, self.keeper)
                self.api.begin()
        except InvalidField as fault:
            raise ServiceConfigError(f"{self.service.path}: {fault.field}: {fault.reason}") from fault
        logger.info("{} serves {} tenants", self.service.name, len(self.host.runtimes))

    def reload(self) -> None:
        """SIGHUP: the file is read again: operators' keys, the certificate, and without a store the tenants."""
        try:
            new = read_service(Path(self.service.path))
            if self.api is not None and new.api is not None:
                self.api.reload(new)
        except ServiceConfigError as fault:
            logger.bind(cause=str(fault)).error("told to read the file again, the old one is kept")
            return
        for field in ("process", "store", "listen", "log", "fellows"):
            if getattr(new, field) != getattr(self.service, field) and field != "process":
                logger.warning("the file has another {}, which waits for the next start", field)
        if self.keeper is not None:
            if new.api is not None:  # else all of them would be locked out until the next start
                self.keeper.api.operators = new.operators
        elif not self.host.ending:
            self.host.follow(new.registry)
        logger.info("read the file again")

    def end(self) -> None:
        if self.api is not None:
            self.api.end()
        if self.keeper is not None:
            self.keeper.end()
        if self.fleet is not None:
            self.fleet.step_down()
        self.host.end()  # a member votes, and renews its lease, while it finishes what it has

    def over(self) -> None:
        if self.fleet is not None:
            self.fleet.stop()
        if self.stored is not None:
            self.stored.end()


def run(service: ServiceConfig) -> None:
    """Serves until SIGTERM. Raises ServiceConfigError if it can't begin."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to read again: never an end
    logs.begin(service.log.json, service.log.level)
    library_log.begin()
    reactor = MonotonicReactor()
    installReactor(reactor)
    running = ServiceProcess(reactor, service)
    try:
        running.begin()
        reactor.mark_turns(running.host.loop_timing)
        # What is there now stays: to look through it again and again held all transactions up for 50 to 80 ms.
        gc.collect()
        gc.freeze()
        for number, what in (
            (signal.SIGTERM, running.end),
            (signal.SIGINT, running.end),
            (signal.SIGHUP, running.reload),
        ):
            reactor.callWhenRunning(_heed, reactor, number, what)
        reactor.run()
    finally:
        running.over()


def _heed(reactor: Any, number: signal.Signals, what: Callable[[], None]) -> None:
    signal.signal(number, lambda *_: reactor.callFromThread(what))
