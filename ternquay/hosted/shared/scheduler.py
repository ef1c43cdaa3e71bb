"""Schedules the reading of client data on the shared event loop: by tenant, by client of the tenant, then in order.

While nothing is waiting, data is read as it arrives. Once a turn of the reactor has lasted longer than a slice, further
work is queued here and done in short pieces, for the tenant that has used least time first. Time that a tenant uses
elsewhere, such as for the answers of its cache hosts, is charged to it too, so that it reads less.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Protocol

from ternquay.hosted.shared.fairness import DeficitRoundRobin, TimeCeiling
from ternquay.net.limits import MS, SECOND
from ternquay.net.loop_timing import LoopTiming

TENANT_QUANTUM_NS = MS
CLIENT_QUANTUM_NS = MS // 2
SLICE_NS = 3 * MS // 2  # of one turn of the reactor; answers of cache hosts and timers run after it
PIECE_NS = MS // 2  # of one piece of work; a single step may take longer
# A step that took longer by the clock means that the process did not run for a while, because it was stopped or the
# machine was busy. That is no tenant's doing, so it is charged up to this limit only. Charged in full, the tenant whose
# turn it was would sit out as long again.
MAX_STEP_CHARGE_NS = 20 * MS


class Work(Protocol):
    """Something that has data to be read."""

    def run_piece(self) -> bool:
        """Does a short piece of the work; returns whether there is more."""


class TenantQueue:
    """The waiting work of one tenant: its clients take turns, and each client's work is done in order."""

    def __init__(self, ceiling: float) -> None:
        self.round_robin = DeficitRoundRobin(CLIENT_QUANTUM_NS, default_weight=1.0)
        self.work_by_client: dict[str, OrderedDict[Work, None]] = {}
        self.ceiling = TimeCeiling(ceiling)
        self.total_ns = 0  # of the event loop's time since the tenant was added

    def enqueue(self, now: int, client: str, work: Work) -> None:
        """Adds work of a client."""
        self.work_by_client.setdefault(client, OrderedDict())[work] = None
        self.round_robin.enqueue(now, client)

    def run_piece(self, clock: Callable[[], int]) -> bool:
        """Runs a piece of work for the client whose turn it is; returns whether any client has more."""
        client = self.round_robin.next_turn()
        if client is None:
            return False
        began = clock()
        work, _ = self.work_by_client[client].popitem(last=False)
        more = work.run_piece()
        # The piece may have removed the client's other work, and with the last of it the client's queue.
        queue = self.work_by_client.setdefault(client, OrderedDict())
        if more:
            queue[work] = None
        now = clock()
        if not queue:
            del self.work_by_client[client]
        self.round_robin.end_turn(now, client, min(MAX_STEP_CHARGE_NS, now - began), bool(queue))
        if queue:
            self.round_robin.enqueue(now, client)
        return bool(self.work_by_client)

    def remove(self, client: str, work: Work) -> None:
        """Removes work of a client, if it is queued."""
        queue = self.work_by_client.get(client)
        if queue is not None and work in queue:
            del queue[work]
            if not queue:
                del self.work_by_client[client]
                self.round_robin.remove(client)


class FairScheduler:
    """Divides the event loop's time among tenants.

    Times are whole nanoseconds on `clock`; `loop_timing` knows when the current turn of the reactor began.
    """

    def __init__(self, reactor: Any, clock: Callable[[], int], loop_timing: LoopTiming) -> None:
        self.reactor, self.clock, self.loop_timing = reactor, clock, loop_timing
        self.round_robin = DeficitRoundRobin(TENANT_QUANTUM_NS)
        self.queues: dict[str, TenantQueue] = {}
        self.paused: set[str] = set()  # tenants that are over their ceilings
        self.scheduled_run: Any = None

    def set_shares(self, shares: dict[str, tuple[float, float]]) -> None:
        """Sets the weight and the ceiling of each tenant."""
        self.round_robin.set_weights({name: weight for name, (weight, _) in shares.items()})
        for name, (_, ceiling) in shares.items():
            if name in self.queues:
                self.queues[name].ceiling.fraction = ceiling
            else:
                self.queues[name] = TenantQueue(ceiling)
        for name in self.queues.keys() - shares.keys():
            del self.queues[name]
        self.paused &= shares.keys()

    def may_run_now(self, name: str) -> bool:
        """Whether the tenant's data may be read at once: nothing is waiting, and this turn has been short so far."""
        queue = self.queues.get(name)
        if self.round_robin.waiting or name in self.paused or queue is None:
            return False
        now = self.clock()
        return now - self.loop_timing.started_at < SLICE_NS and not queue.ceiling.wait(now)

    def is_late(self, margin: int) -> bool:
        """Whether this turn of the reactor has lasted longer than a slice and `margin` nanoseconds."""
        return self.clock() - self.loop_timing.started_at > SLICE_NS + margin

    def enqueue(self, name: str, client: str, work: Work) -> None:
        """Queues work until its turn comes."""
        queue, now = self.queues.get(name), self.clock()
        if queue is None:
            return
        queue.enqueue(now, client, work)
        if name not in self.paused:
            self.round_robin.enqueue(now, name)
        self._schedule_run()

    def remove(self, name: str, client: str, work: Work) -> None:
        """Removes work, if it is queued."""
        if name in self.queues:
            self.queues[name].remove(client, work)

    def run_charged(self, name: str, action: Callable[[], Any]) -> Any:
        """Runs an action of the tenant outside its turns and charges the time to the tenant."""
        began = self.clock()
        result = action()
        self.charge_since(name, began)
        return result

    def charge_since(self, name: str, began: int) -> None:
        """Charges the time since `began` to the tenant."""
        self.charge(name, min(MAX_STEP_CHARGE_NS, self.clock() - began))

    def charge(self, name: str, took: int) -> None:
        """Charges `took` nanoseconds outside its turns to the tenant."""
        queue = self.queues.get(name)
        if queue is not None:
            now = self.clock()
            queue.total_ns += took
            queue.ceiling.charge(now, took)
            self.round_robin.charge(now, name, took)

    def _schedule_run(self) -> None:
        if self.scheduled_run is None:
            self.scheduled_run = self.reactor.callLater(0, self._run)

    def _run(self) -> None:
        self.scheduled_run = None
        now = self.clock()
        end = now + SLICE_NS
        while now < end and (name := self.round_robin.next_turn()) is not None:
            queue = self.queues[name]
            if wait := queue.ceiling.wait(now):
                self._pause(now, name, wait)
                continue
            more = queue.run_piece(self.clock)
            took, now = min(MAX_STEP_CHARGE_NS, self.clock() - now), self.clock()
            queue.total_ns += took
            queue.ceiling.charge(now, took)
            self.round_robin.end_turn(now, name, took, more)
        if self.round_robin.waiting:
            self._schedule_run()

    def _pause(self, now: int, name: str, wait: int) -> None:
        """Suspends a tenant that is over its ceiling."""
        self.round_robin.end_turn(now, name, 0, False)
        self.paused.add(name)
        self.reactor.callLater(wait / SECOND, self._resume, name)

    def _resume(self, name: str) -> None:
        self.paused.discard(name)
        if name in self.queues and self.queues[name].work_by_client:
            self.round_robin.enqueue(self.clock(), name)
            self._schedule_run()

    def sweep(self) -> None:
        """Forgets expired debts; called periodically."""
        now = self.clock()
        self.round_robin.expire_debts(now)
        for queue in self.queues.values():
            queue.round_robin.expire_debts(now)
