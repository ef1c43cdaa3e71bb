"""All cache hosts, the origin behind them and their list, with the day's faults, as one law on one heap of times.

fleet = Fleet(day, faults, seed, places)     # places: where each host listens, as text
ticket = fleet.arrive(now, host, ask)        # a command came whole
fleet.cancel(now, ticket)                    # nobody waits for its answer any more
fleet.advance(now)                           # all that was due by now
fleet.take()                                 # what has come of it since: Answer, HostDown, HostUp, ListChanged
fleet.due()                                  # when advance() is wanted next, or None
"""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from ternquay.rig.laws.cachehost import Action, CacheCommand, CacheHost, Job
from ternquay.rig.laws.clients import value_size
from ternquay.rig.laws.listing import Entry, Listing
from ternquay.rig.laws.origin import Origin
from ternquay.rig.terms import MS, SECOND, Day, Planned

REPEAT_WORK = 0.2  # of a repeat that is dropped, of the usual
SAMPLE = SECOND // 4


@dataclass(slots=True, frozen=True)
class Answer:
    """A cache host answers a command: value, receipt, busy or error; the note is 1 a hit, 2 a miss, 3 shared."""

    ticket: int
    what: str
    note: int = 0
    stamp: str = ""
    size: int = 0


@dataclass(slots=True, frozen=True)
class HostDown:
    host: int


@dataclass(slots=True, frozen=True)
class HostUp:
    host: int


@dataclass(slots=True, frozen=True)
class ListChanged:
    """There is a new revision, which can be told from `at` on."""

    at: int


Outcome = Answer | HostDown | HostUp | ListChanged


@dataclass(slots=True)
class Seen:
    """What the fleet knows of one command, for the judge; times are 0 where it did not come to that."""

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
class Tip:
    at: int
    host: int
    name: str
    warmth: float
    pushed: float


@dataclass(slots=True, frozen=True)
class HostState:
    at: int
    host: int
    up: bool
    warmth: float
    open: int
    work: int


@dataclass(slots=True)
class Mark:
    """A journalled transaction that is known: repeats within its memory have no effect."""

    first: int
    ticket: int
    stamp: str = ""
    waiting: list[Job] = field(default_factory=list)  # repeats that came while it was under way


@dataclass(slots=True)
class Fleet:
    day: Day
    faults: tuple[Planned, ...]
    seed: int
    places: list[str]
    hosts: list[CacheHost] = field(default_factory=list)
    seen: dict[int, Seen] = field(default_factory=dict)
    tips: list[Tip] = field(default_factory=list)
    states: list[HostState] = field(default_factory=list)
    heap: list[tuple[int, int, str, int, Planned | None]] = field(default_factory=list)
    wakes: list[tuple[int, int]] = field(default_factory=list)  # a heap of when a host is due; may be over by now
    outcomes: list[Outcome] = field(default_factory=list)
    marks: dict[str, Mark] = field(default_factory=dict)
    jobs: dict[int, tuple[CacheHost, Job]] = field(default_factory=dict)
    incarnations: int = 0
    tickets: int = 0
    pushes: int = 0
    origin: Origin = field(init=False)
    listing: Listing = field(init=False)
    random: Random = field(init=False)

    def __post_init__(self) -> None:
        self.random = Random(f"{self.seed}/fleet")
        self.origin = Origin(self.day.origin, self.seed)
        self.listing = Listing(self.day.list, self.faults, self.seed)
        for index in range(self.day.hosts.count):
            speed = self.random.uniform(*self.day.hosts.speed)
            host = CacheHost(self.day.hosts, index, self._name(index), speed)
            self.hosts.append(host)
            self.listing.change(0, self._entry(host, "up"), at_once=True)
        self._fill()
        for fault in self.faults:
            self._plan(fault)
        self._push(0, "sample", 0)
        if self.day.list.weights_ms:
            self._push(0, "weights", 0)

    def _name(self, index: int) -> str:
        self.incarnations += 1
        return f"host-{index}-{Random(f'{self.seed}/name/{self.incarnations}').randrange(16**6):06x}"

    def _fill(self) -> None:
        # The keys most asked for, each at all hosts that it fits on: the balancers' placement sorts them out.
        terms = self.day.hosts
        room = terms.keep_bytes * terms.kept_at_start
        for host in self.hosts:
            for rank in range(self.day.clients.keys):
                size = value_size(self.day, f"k{rank}")
                if host.cached_bytes + size > room:
                    break
                host.store(f"k{rank}", size)

    # ---- the day's faults ----

    def _push(self, at: int, what: str, host: int, fault: Planned | None = None) -> None:
        self.pushes += 1
        heappush(self.heap, (at, self.pushes, what, host, fault))

    def _plan(self, f: Planned) -> None:
        begins = {
            "host-slow": "slow",
            "host-silent": "mute",
            "host-crash": "crash",
            "host-replaced": "drain",
            "origin-slow": "origin",
            "host-drains": "drain",
        }
        if f.kind == "rolling-release":
            self._plan_release(f)
        elif f.kind == "origin-slow":
            self._push(f.start, "origin", 0, f)
            self._push(f.end, "origin-well", 0, f)
        elif f.kind in begins:
            for host in f.hosts:
                self._push(f.start, begins[f.kind], host, f)
                if f.kind not in ("host-replaced", "host-drains"):
                    self._push(f.end, {"slow": "even", "mute": "heal", "crash": "back"}[begins[f.kind]], host, f)

    def _plan_release(self, f: Planned) -> None:
        """So large a part of the fleet at a time, each group drained, gone, and back under its old address."""
        order = list(f.hosts)
        Random(f"{self.seed}/release").shuffle(order)
        size = max(1, round(f.part * self.day.hosts.count))
        groups = [order[n : n + size] for n in range(0, len(order), size)]
        each = (f.end - f.start) // len(groups)
        for n, group in enumerate(groups):
            for host in group:
                self._push(f.start + n * each, "drain", host, f)

    def _fault(self, at: int, what: str, host: CacheHost, f: Planned) -> None:
        if what in ("slow", "even"):
            host.slowdown = f.factor if what == "slow" else 1.0
        elif what == "mute":
            host.silent = True
        elif what == "heal":
            host.resume(at)
        elif what == "origin":
            self.origin.factor = f.factor
        elif what == "origin-well":
            self.origin.factor = 1.0
        elif what == "drain" and not host.collapsed:
            host.draining = True
            self._tell(at, host, "draining")
            # It is gone once what it had is done, or as a deploy does it, after a second; or stays up for all the day.
            if f.kind != "host-drains":
                self._push(at + SECOND, "gone", host.index, f)
        elif what in ("crash", "gone") and host.up:
            self._down(at, host)
            if what == "gone":
                self._push(at + max(f.pause, 300 * MS), "back", host.index, f)
        elif what == "back" and not host.collapsed:
            old = f.kind == "host-crash"
            host.start(at, host.name if old else self._name(host.index))
            self.outcomes.append(HostUp(host.index))
            self._tell(at, host, "up")

    def _tell(self, at: int, host: CacheHost, phase: str) -> None:
        self.outcomes.append(ListChanged(self.listing.change(at, self._entry(host, phase))))

    def _entry(self, host: CacheHost, phase: str) -> Entry:
        zones, held = self.day.hosts.zones, len(host.jobs) / self.day.hosts.cores
        return Entry(
            host.name,
            self.places[host.index],
            phase,
            host.started_at,
            f"zone-{host.index % zones}" if zones > 1 else "here",
            1 / (1 + held) if self.day.list.weights_ms else 1.0,
        )

    def _tell_weights(self, at: int) -> None:
        for host in self.hosts:
            if host.up and not host.draining:
                self._tell(at, host, "up")
        if at < self.day.seconds * SECOND:
            self._push(at + self.day.list.weights_ms * MS, "weights", 0)

    def _down(self, at: int, host: CacheHost) -> None:
        for ticket, job in list(host.jobs.items()):
            self._void_mark(at, ticket, job)
            self._ended(at, ticket, "")
        host.crash()
        self.outcomes.append(HostDown(host.index))
        self._tell(at, host, "removed")

    # ---- commands ----

    def arrive(self, now: int, host_index: int, command: CacheCommand) -> int:
        self.tickets += 1
        host, ticket = self.hosts[host_index], self.tickets
        profile = self.day.profiles[command.profile]
        work = int(self.random.uniform(*profile.work_ms) * MS)
        seen = self.seen[ticket] = Seen(command, host_index, host.name, now)
        job = Job(ticket, command, work)
        mark = self.marks.get(command.mark) if command.mark else None
        if mark is not None and now - mark.first < profile.memory_ms * MS:
            job.repeat = seen.repeat = True
            job.work = int(job.work * REPEAT_WORK)
        self.jobs[ticket] = host, job
        host.accept(now, job)
        if command.mark and not job.repeat and job.stage != "over":
            self.marks[command.mark] = Mark(now, ticket)
        seen.fate = "busy" if job.stage == "over" else "swallowed" if host.silent else "taken"
        self._carry(now, host)
        return ticket

    def cancel(self, now: int, ticket: int) -> None:
        if ticket not in self.jobs:
            return
        host, job = self.jobs[ticket]
        if host.cancel(now, ticket):
            self._void_mark(now, ticket, job)
            self._ended(now, ticket, "cancelled")
        self._carry(now, host)

    def _ended(self, now: int, ticket: int, answer: str, stamp: str = "") -> None:
        seen = self.seen[ticket]
        _, job = self.jobs.pop(ticket)
        seen.begun, seen.note, seen.cold = job.started, job.note, job.cold
        seen.ended, seen.answer, seen.stamp = now, answer, stamp

    # ---- what hosts say ----

    def _carry(self, now: int, host: CacheHost) -> None:
        while host.actions:
            actions, host.actions = host.actions, []
            for action in actions:
                self._perform(now, host, action)
        if (due := host.due()) is not None:
            heappush(self.wakes, (due, host.index))

    def _perform(self, now: int, host: CacheHost, action: Action) -> None:
        job = action.job
        if job is None:
            self._tip(now, host)
        elif action.kind in ("fetch", "store"):
            if not self.origin.ask(now, job.ticket, job.cold and action.kind == "fetch"):
                self._from_origin(now, job.ticket, False)
        elif job.ticket in self.jobs:
            self._answer(now, host, job, action.kind)

    def _answer(self, now: int, host: CacheHost, job: Job, what: str) -> None:
        mark, stamp = self.marks.get(job.command.mark), ""
        if what == "answer":
            what, stamp = "receipt" if job.command.write else "value", f"{host.name}.{job.ticket}.{job.command.id}"
            if what == "value":
                stamp += f"/{max(job.command.size, len(stamp) + 9)}"  # how long the whole value is
            if mark is not None and job.repeat:
                if not mark.stamp:
                    mark.waiting.append(job)  # told what comes of the first, once that is known
                    return
                stamp = mark.stamp
        self._give(now, job, what, stamp)
        if mark is not None and mark.ticket == job.ticket and stamp:
            mark.stamp = stamp
            for one in mark.waiting:
                self._give(now, one, what, stamp)
            mark.waiting.clear()

    def _give(self, now: int, job: Job, what: str, stamp: str) -> None:
        if job.ticket in self.jobs:
            self._ended(now, job.ticket, what, stamp)
            self.outcomes.append(Answer(job.ticket, what, job.note, stamp, job.command.size))

    def _void_mark(self, now: int, ticket: int, job: Job) -> None:
        """It had no effect and won't have one, so a repeat must."""
        mark = self.marks.get(job.command.mark)
        if mark is not None and mark.ticket == ticket and not mark.stamp:
            del self.marks[job.command.mark]
            for one in mark.waiting:
                self._give(now, one, "error", "")

    def _tip(self, now: int, host: CacheHost) -> None:
        pushed = host.recent_work / (host.capacity(now) * host.terms.tip_window_ms * MS)
        self.tips.append(Tip(now, host.index, host.name, host.warmth(now), pushed))
        self._down(now, host)

    def _from_origin(self, now: int, ticket: int, well: bool) -> None:
        if ticket not in self.jobs:
            return  # its host died meanwhile
        host, job = self.jobs[ticket]
        if job.stage == "storing":
            if well:
                self.seen[ticket].effect = now
                for other in self.hosts:
                    other.invalidate(job.command.key)
            else:
                self._void_mark(now, ticket, job)
            host.store_ended(job, well)
        else:
            host.fetch_ended(now, job, well)
        self._carry(now, host)

    # ---- time ----

    def advance(self, now: int) -> None:
        while (due := self.due()) is not None and due <= now:
            at = max(due, 0)
            for ticket, well in self.origin.advance(at):
                self._from_origin(at, ticket, well)
            while self.wakes and self.wakes[0][0] <= at:
                host = self.hosts[heappop(self.wakes)[1]]
                if (end := host.due()) is not None and end <= at:
                    host.advance(at)
                    self._carry(at, host)
            while self.heap and self.heap[0][0] <= at:
                _, _, what, index, fault = heappop(self.heap)
                if fault is not None:
                    self._fault(at, what, self.hosts[index], fault)
                    self._carry(at, self.hosts[index])
                elif what == "weights":
                    self._tell_weights(at)
                else:
                    self._sample(at)

    def _sample(self, at: int) -> None:
        for host in self.hosts:
            self.states.append(
                HostState(at, host.index, host.up, host.warmth(at) if host.up else 0.0, len(host.jobs), host.work_done)
            )
        self._forget_marks(at)
        if at < self.day.seconds * SECOND:
            self._push(at + SAMPLE, "sample", 0)

    def _forget_marks(self, at: int) -> None:
        memory = max((p.memory_ms for p in self.day.profiles), default=0) * MS
        self.marks = {k: mark for k, mark in self.marks.items() if at - mark.first <= memory}

    def due(self) -> int | None:
        found = self.origin.due()
        for heap in (self.wakes, self.heap):
            if heap and (found is None or heap[0][0] < found):
                found = heap[0][0]
        return found

    def take(self) -> list[Outcome]:
        outcomes, self.outcomes = self.outcomes, []
        return outcomes
