"""Model of all cache hosts, the origin behind them and their list, with the day's faults, in one event queue.

fleet = Fleet(day, faults, seed, addresses)  # addresses: where each host listens, as text
ticket = fleet.arrive(now, host, command)    # a host received a complete command
fleet.cancel(now, ticket)                    # no client waits for the answer any more
fleet.advance(now)                           # processes everything due by now
fleet.take_outcomes()                        # results since the last call: Answer, HostDown, HostUp, ListChanged
fleet.due()                                  # time of the next event, or None
"""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from ternquay.rig.laws.cachehost import Action, CacheCommand, CacheHost, Job
from ternquay.rig.laws.clients import value_size
from ternquay.rig.laws.listing import Entry, Listing
from ternquay.rig.laws.origin import Origin
from ternquay.rig.terms import MS, SECOND, Day, PlannedFault

REPEAT_WORK_SHARE = 0.2  # work of a repeat without effect, relative to a full command
SAMPLE_INTERVAL_NS = SECOND // 4


@dataclass(slots=True, frozen=True)
class Answer:
    """The answer of a cache host to a command: value, receipt, busy or error.

    The note is 1 for a hit, 2 for a miss and 3 for a miss that shared another command's fetch.
    """

    ticket: int
    kind: str
    note: int = 0
    stamp: str = ""
    size: int = 0


@dataclass(slots=True, frozen=True)
class HostDown:
    """A host stopped."""

    host: int


@dataclass(slots=True, frozen=True)
class HostUp:
    """A host started."""

    host: int


@dataclass(slots=True, frozen=True)
class ListChanged:
    """The list has a new revision, which is visible from `at` on."""

    at: int


Outcome = Answer | HostDown | HostUp | ListChanged


@dataclass(slots=True)
class CommandRecord:
    """The history of one command, for the judge; the time of a step that did not happen is 0."""

    command: CacheCommand
    host: int
    name: str
    at: int
    fate: str = "taken"
    begun: int = 0
    effect: int = 0
    repeat: bool = False
    note: int = 0
    ended: int = 0
    answer: str = ""
    stamp: str = ""
    cold: bool = False


@dataclass(slots=True, frozen=True)
class Collapse:
    """A cold host that collapsed under load; `pushed` is the arriving work relative to its capacity."""

    at: int
    host: int
    name: str
    warmth: float
    pushed: float


@dataclass(slots=True, frozen=True)
class HostState:
    """A periodic sample of one host; `work` is the total of the work started, in nanoseconds."""

    at: int
    host: int
    up: bool
    warmth: float
    open: int
    work: int


@dataclass(slots=True)
class Mark:
    """A remembered journalled transaction: repeats within the profile's memory time have no effect."""

    first: int
    ticket: int
    stamp: str = ""
    waiting: list[Job] = field(default_factory=list)  # repeats that arrived while it was in progress


@dataclass(slots=True)
class Fleet:
    """The event-driven model. Callers pass the current time in nanoseconds, which never decreases."""

    day: Day
    faults: tuple[PlannedFault, ...]
    seed: int
    addresses: list[str]
    hosts: list[CacheHost] = field(default_factory=list)
    records: dict[int, CommandRecord] = field(default_factory=dict)
    collapses: list[Collapse] = field(default_factory=list)
    samples: list[HostState] = field(default_factory=list)
    events: list[tuple[int, int, str, int, PlannedFault | None]] = field(default_factory=list)
    host_wakeups: list[tuple[int, int]] = field(default_factory=list)  # heap of (time, host), may be stale
    outcomes: list[Outcome] = field(default_factory=list)
    marks: dict[str, Mark] = field(default_factory=dict)
    jobs: dict[int, tuple[CacheHost, Job]] = field(default_factory=dict)
    names_drawn: int = 0
    last_ticket: int = 0
    event_count: int = 0
    origin: Origin = field(init=False)
    listing: Listing = field(init=False)
    random: Random = field(init=False)

    def __post_init__(self) -> None:
        self.random = Random(f"{self.seed}/fleet")
        self.origin = Origin(self.day.origin, self.seed)
        self.listing = Listing(self.day.list, self.faults, self.seed)
        for index in range(self.day.hosts.count):
            speed = self.random.uniform(*self.day.hosts.speed)
            host = CacheHost(self.day.hosts, index, self._new_name(index), speed)
            self.hosts.append(host)
            self.listing.change(0, self._list_entry(host, "up"), immediate=True)
        self._fill_caches()
        for fault in self.faults:
            self._schedule_fault(fault)
        self._schedule(0, "sample", 0)
        if self.day.list.weights_ms:
            self._schedule(0, "weights", 0)

    def _new_name(self, index: int) -> str:
        self.names_drawn += 1
        return f"host-{index}-{Random(f'{self.seed}/name/{self.names_drawn}').randrange(16**6):06x}"

    def _fill_caches(self) -> None:
        # Every host starts with as many of the most popular keys as fit; the placement of the balancers decides which
        # of these copies are used.
        terms = self.day.hosts
        room = terms.keep_bytes * terms.kept_at_start
        for host in self.hosts:
            for rank in range(self.day.clients.keys):
                size = value_size(self.day, f"k{rank}")
                if host.cached_bytes + size > room:
                    break
                host.store(f"k{rank}", size)

    # ---- the day's faults ----

    def _schedule(self, at: int, event: str, host: int, fault: PlannedFault | None = None) -> None:
        self.event_count += 1
        heappush(self.events, (at, self.event_count, event, host, fault))

    def _schedule_fault(self, fault: PlannedFault) -> None:
        first_events = {
            "host-slow": "slow",
            "host-silent": "silent",
            "host-crash": "crash",
            "host-replaced": "drain",
            "origin-slow": "origin-slow",
            "host-drains": "drain",
        }
        if fault.kind == "rolling-release":
            self._schedule_release(fault)
        elif fault.kind == "origin-slow":
            self._schedule(fault.start, "origin-slow", 0, fault)
            self._schedule(fault.end, "origin-slow-end", 0, fault)
        elif fault.kind in first_events:
            for host in fault.hosts:
                self._schedule(fault.start, first_events[fault.kind], host, fault)
                if fault.kind not in ("host-replaced", "host-drains"):
                    self._schedule(
                        fault.end,
                        {"slow": "slow-end", "silent": "silent-end", "crash": "start"}[first_events[fault.kind]],
                        host,
                        fault,
                    )

    def _schedule_release(self, fault: PlannedFault) -> None:
        """Schedules a rolling release: group by group, hosts drain, stop and start again at their old address."""
        order = list(fault.hosts)
        Random(f"{self.seed}/release").shuffle(order)
        size = max(1, round(fault.part * self.day.hosts.count))
        groups = [order[n : n + size] for n in range(0, len(order), size)]
        step = (fault.end - fault.start) // len(groups)
        for n, group in enumerate(groups):
            for host in group:
                self._schedule(fault.start + n * step, "drain", host, fault)

    def _apply_fault(self, at: int, event: str, host: CacheHost, fault: PlannedFault) -> None:
        if event in ("slow", "slow-end"):
            host.slowdown = fault.factor if event == "slow" else 1.0
        elif event == "silent":
            host.silent = True
        elif event == "silent-end":
            host.resume(at)
        elif event == "origin-slow":
            self.origin.slowdown = fault.factor
        elif event == "origin-slow-end":
            self.origin.slowdown = 1.0
        elif event == "drain" and not host.collapsed:
            host.draining = True
            self._change_list(at, host, "draining")
            # As in a deploy, the host stops one second later, done or not. With `host-drains` it stays up all day.
            if fault.kind != "host-drains":
                self._schedule(at + SECOND, "stop", host.index, fault)
        elif event in ("crash", "stop") and host.up:
            self._stop_host(at, host)
            if event == "stop":
                self._schedule(at + max(fault.pause, 300 * MS), "start", host.index, fault)
        elif event == "start" and not host.collapsed:
            keeps_name = fault.kind == "host-crash"
            host.start(at, host.name if keeps_name else self._new_name(host.index))
            self.outcomes.append(HostUp(host.index))
            self._change_list(at, host, "up")

    def _change_list(self, at: int, host: CacheHost, phase: str) -> None:
        self.outcomes.append(ListChanged(self.listing.change(at, self._list_entry(host, phase))))

    def _list_entry(self, host: CacheHost, phase: str) -> Entry:
        zones, load = self.day.hosts.zones, len(host.jobs) / self.day.hosts.cores
        return Entry(
            host.name,
            self.addresses[host.index],
            phase,
            host.started_at,
            f"zone-{host.index % zones}" if zones > 1 else "here",
            1 / (1 + load) if self.day.list.weights_ms else 1.0,
        )

    def _update_weights(self, at: int) -> None:
        for host in self.hosts:
            if host.up and not host.draining:
                self._change_list(at, host, "up")
        if at < self.day.seconds * SECOND:
            self._schedule(at + self.day.list.weights_ms * MS, "weights", 0)

    def _stop_host(self, at: int, host: CacheHost) -> None:
        for ticket, job in list(host.jobs.items()):
            self._forget_mark(at, ticket, job)
            self._finish(at, ticket, "")
        host.crash()
        self.outcomes.append(HostDown(host.index))
        self._change_list(at, host, "removed")

    # ---- commands ----

    def arrive(self, now: int, host_index: int, command: CacheCommand) -> int:
        """Passes a complete command to a host and returns its ticket."""
        self.last_ticket += 1
        host, ticket = self.hosts[host_index], self.last_ticket
        profile = self.day.profiles[command.profile]
        work = int(self.random.uniform(*profile.work_ms) * MS)
        record = self.records[ticket] = CommandRecord(command, host_index, host.name, now)
        job = Job(ticket, command, work)
        mark = self.marks.get(command.mark) if command.mark else None
        if mark is not None and now - mark.first < profile.memory_ms * MS:
            job.repeat = record.repeat = True
            job.work = int(job.work * REPEAT_WORK_SHARE)
        self.jobs[ticket] = host, job
        host.accept(now, job)
        if command.mark and not job.repeat and job.stage != "over":
            self.marks[command.mark] = Mark(now, ticket)
        record.fate = "busy" if job.stage == "over" else "swallowed" if host.silent else "taken"
        self._perform_actions(now, host)
        return ticket

    def cancel(self, now: int, ticket: int) -> None:
        """Stops the work on a command whose answer nobody waits for."""
        if ticket not in self.jobs:
            return
        host, job = self.jobs[ticket]
        if host.cancel(now, ticket):
            self._forget_mark(now, ticket, job)
            self._finish(now, ticket, "cancelled")
        self._perform_actions(now, host)

    def _finish(self, now: int, ticket: int, answer: str, stamp: str = "") -> None:
        record = self.records[ticket]
        _, job = self.jobs.pop(ticket)
        record.begun, record.note, record.cold = job.started, job.note, job.cold
        record.ended, record.answer, record.stamp = now, answer, stamp

    # ---- actions of hosts ----

    def _perform_actions(self, now: int, host: CacheHost) -> None:
        while host.actions:
            actions, host.actions = host.actions, []
            for action in actions:
                self._perform(now, host, action)
        if (due := host.due()) is not None:
            heappush(self.host_wakeups, (due, host.index))

    def _perform(self, now: int, host: CacheHost, action: Action) -> None:
        job = action.job
        if job is None:
            self._collapse(now, host)
        elif action.kind in ("fetch", "store"):
            if not self.origin.request(now, job.ticket, job.cold and action.kind == "fetch"):
                self._origin_ended(now, job.ticket, False)
        elif job.ticket in self.jobs:
            self._answer(now, host, job, action.kind)

    def _answer(self, now: int, host: CacheHost, job: Job, kind: str) -> None:
        mark, stamp = self.marks.get(job.command.mark), ""
        if kind == "answer":
            kind, stamp = "receipt" if job.command.write else "value", f"{host.name}.{job.ticket}.{job.command.id}"
            if kind == "value":
                stamp += f"/{max(job.command.size, len(stamp) + 9)}"  # length of the whole value
            if mark is not None and job.repeat:
                if not mark.stamp:
                    mark.waiting.append(job)  # answered when the result of the first is known
                    return
                stamp = mark.stamp
        self._send_answer(now, job, kind, stamp)
        if mark is not None and mark.ticket == job.ticket and stamp:
            mark.stamp = stamp
            for repeat in mark.waiting:
                self._send_answer(now, repeat, kind, stamp)
            mark.waiting.clear()

    def _send_answer(self, now: int, job: Job, kind: str, stamp: str) -> None:
        if job.ticket in self.jobs:
            self._finish(now, job.ticket, kind, stamp)
            self.outcomes.append(Answer(job.ticket, kind, job.note, stamp, job.command.size))

    def _forget_mark(self, now: int, ticket: int, job: Job) -> None:
        """Forgets the mark of a command that will never take effect, so that a repeat of it does."""
        mark = self.marks.get(job.command.mark)
        if mark is not None and mark.ticket == ticket and not mark.stamp:
            del self.marks[job.command.mark]
            for repeat in mark.waiting:
                self._send_answer(now, repeat, "error", "")

    def _collapse(self, now: int, host: CacheHost) -> None:
        pushed = host.recent_work / (host.capacity(now) * host.terms.tip_window_ms * MS)
        self.collapses.append(Collapse(now, host.index, host.name, host.warmth(now), pushed))
        self._stop_host(now, host)

    def _origin_ended(self, now: int, ticket: int, succeeded: bool) -> None:
        if ticket not in self.jobs:
            return  # the host stopped meanwhile
        host, job = self.jobs[ticket]
        if job.stage == "storing":
            if succeeded:
                self.records[ticket].effect = now
                for other in self.hosts:
                    other.invalidate(job.command.key)
            else:
                self._forget_mark(now, ticket, job)
            host.store_ended(job, succeeded)
        else:
            host.fetch_ended(now, job, succeeded)
        self._perform_actions(now, host)

    # ---- time ----

    def advance(self, now: int) -> None:
        """Processes all events due by now, in order."""
        while (due := self.due()) is not None and due <= now:
            at = max(due, 0)
            for ticket, succeeded in self.origin.advance(at):
                self._origin_ended(at, ticket, succeeded)
            while self.host_wakeups and self.host_wakeups[0][0] <= at:
                host = self.hosts[heappop(self.host_wakeups)[1]]
                if (end := host.due()) is not None and end <= at:
                    host.advance(at)
                    self._perform_actions(at, host)
            while self.events and self.events[0][0] <= at:
                _, _, event, index, fault = heappop(self.events)
                if fault is not None:
                    self._apply_fault(at, event, self.hosts[index], fault)
                    self._perform_actions(at, self.hosts[index])
                elif event == "weights":
                    self._update_weights(at)
                else:
                    self._sample(at)

    def _sample(self, at: int) -> None:
        for host in self.hosts:
            self.samples.append(
                HostState(at, host.index, host.up, host.warmth(at) if host.up else 0.0, len(host.jobs), host.work_done)
            )
        self._expire_marks(at)
        if at < self.day.seconds * SECOND:
            self._schedule(at + SAMPLE_INTERVAL_NS, "sample", 0)

    def _expire_marks(self, at: int) -> None:
        memory = max((p.memory_ms for p in self.day.profiles), default=0) * MS
        self.marks = {id: mark for id, mark in self.marks.items() if at - mark.first <= memory}

    def due(self) -> int | None:
        """Returns the time of the next event, or None."""
        earliest = self.origin.due()
        for heap in (self.host_wakeups, self.events):
            if heap and (earliest is None or heap[0][0] < earliest):
                earliest = heap[0][0]
        return earliest

    def take_outcomes(self) -> list[Outcome]:
        """Returns and clears the outcomes since the last call."""
        outcomes, self.outcomes = self.outcomes, []
        return outcomes
