"""One cache host: cores, a queue, kept copies, a cold start, tipping over. Fetches are the fleet's to carry.

A host is fed commands and ends of fetches; what comes of it is put into `said`, for the fleet to take.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from heapq import heappop, heappush

from ternquay.rig.terms import MS, HostTerms


@dataclass(slots=True, frozen=True)
class Ask:
    """One command as it came whole."""

    id: str
    profile: int
    write: bool
    key: str
    mark: str  # the mark by which repeats of a journalled one are known, or nothing
    size: int  # of the value that a read gets


@dataclass(slots=True)
class Job:
    ticket: int
    ask: Ask
    work: int  # of a core of speed 1, in nanoseconds
    begun: int = 0
    stage: str = "queued"  # running, fetching, waiting (for another's fetch), storing, over
    note: int = 0
    repeat: bool = False
    cold: bool = False
    run: int = 0  # which run at a core, as an end of an earlier one is void


@dataclass(slots=True, frozen=True)
class Said:
    """What a host does next: `answer`, `busy`, `error`, `fetch`, `store` or `tip`."""

    what: str
    job: Job | None = None


@dataclass(slots=True)
class CacheHost:
    terms: HostTerms
    index: int
    name: str
    speed: float
    since: int = 0  # its latest start, 0 for long ago
    up: bool = True
    draining: bool = False
    tipped: bool = False
    silent: bool = False
    slow: float = 1.0
    jobs: dict[int, Job] = field(default_factory=dict)
    queue: deque[Job] = field(default_factory=deque)
    running: list[tuple[int, int, int]] = field(default_factory=list)  # a heap of end, ticket and run
    busy_cores: int = 0
    kept: "OrderedDict[str, int]" = field(default_factory=OrderedDict)
    kept_bytes: int = 0
    fetched_by: dict[str, list[Job]] = field(default_factory=dict)  # who waits for one fetch of a key
    pushed: deque[tuple[int, int]] = field(default_factory=deque)  # while cold: when, and how much work
    pushed_work: int = 0
    said: list[Said] = field(default_factory=list)
    done_work: int = 0
    fetch_of: dict[int, str] = field(default_factory=dict)

    # ---- what it can do ----

    def warmth(self, now: int) -> float:
        if not self.since:
            return 1.0
        part = min(1.0, max(0, now - self.since) / (self.terms.warm_within_ms * MS))
        return self.terms.cold_share + (1 - self.terms.cold_share) * part

    def capacity(self, now: int) -> float:
        """Work that it can do in a unit of time, as its warmth has it."""
        return self.terms.cores * self.speed * self.warmth(now)

    def _tips(self, now: int, work: int) -> bool:
        if self.warmth(now) >= 1.0:
            self.pushed.clear()
            self.pushed_work = 0
            return False
        window = self.terms.tip_window_ms * MS
        self.pushed.append((now, work))
        self.pushed_work += work
        while self.pushed[0][0] <= now - window:
            self.pushed_work -= self.pushed.popleft()[1]
        return self.pushed_work > self.terms.tip_multiple * self.capacity(now) * window

    # ---- commands ----

    def take(self, now: int, job: Job) -> None:
        if self._tips(now, job.work):
            self.tipped = True
            self.said.append(Said("tip"))
            return
        if self.draining or len(self.jobs) >= self.terms.queue:
            job.stage = "over"
            self.said.append(Said("busy", job))
            return
        job.cold = self.warmth(now) < 1.0
        self.jobs[job.ticket] = job
        if not self.silent:
            self.queue.append(job)
            self._run(now)

    def cancel(self, now: int, ticket: int) -> bool:
        """Work stops when nobody waits for it; what is at the origin goes on. Whether it was stopped."""
        job = self.jobs.get(ticket)
        if job is None or job.stage in ("storing", "fetching"):
            return False
        if job.stage == "queued":
            if job in self.queue:
                self.queue.remove(job)
        elif job.stage == "waiting":
            self.fetched_by[job.ask.key].remove(job)
        elif job.stage == "running":
            self.busy_cores -= 1
        self._over(job)
        self._run(now)
        return True

    def _over(self, job: Job) -> None:
        job.stage = "over"
        job.run += 1
        self.jobs.pop(job.ticket, None)

    # ---- work ----

    def _run(self, now: int) -> None:
        while self.queue and self.busy_cores < self.terms.cores and not self.silent:
            job = self.queue.popleft()
            if not job.ask.write and not job.repeat and job.note == 0 and not self._kept(job):
                self._miss(job)
                continue
            self.busy_cores += 1
            job.stage, job.begun = "running", job.begun or now
            rate = self.speed * self.warmth(now) / self.slow
            heappush(self.running, (now + int(job.work / rate), job.ticket, job.run))
            self.done_work += job.work

    def _kept(self, job: Job) -> bool:
        if job.ask.key not in self.kept:
            return False
        self.kept.move_to_end(job.ask.key)
        job.note = 1
        return True

    def _miss(self, job: Job) -> None:
        key = job.ask.key
        if self.terms.shares_fetches and key in self.fetched_by:
            job.stage, job.note = "waiting", 3
            self.fetched_by[key].append(job)
            return
        job.stage, job.note = "fetching", 2
        self.fetched_by.setdefault(key, [])
        self.said.append(Said("fetch", job))

    def advance(self, now: int) -> None:
        while self.running and self.running[0][0] <= now:
            at, ticket, run = heappop(self.running)
            job = self.jobs.get(ticket)
            if job is None or job.run != run or job.stage != "running":
                continue
            self.busy_cores -= 1
            if job.ask.write and not job.repeat:
                job.stage = "storing"
                self.said.append(Said("store", job))
            else:
                self._over(job)
                self.said.append(Said("answer", job))
            self._run(at)

    def due(self) -> int | None:
        return self.running[0][0] if self.running else None

    # ---- ends at the origin ----

    def fetched(self, now: int, job: Job, well: bool) -> None:
        waiting = self.fetched_by.pop(job.ask.key, [])
        if well:
            self.keep(job.ask.key, job.ask.size)
        for one in (job, *waiting):
            if not well:
                self._over(one)
                self.said.append(Said("error", one))
            elif one.stage != "over":
                one.stage = "queued"
                self.queue.append(one)
        self._run(now)

    def stored(self, job: Job, well: bool) -> None:
        self._over(job)
        self.said.append(Said("answer" if well else "error", job))

    # ---- kept copies ----

    def keep(self, key: str, size: int) -> None:
        self.void(key)
        self.kept[key] = size
        self.kept_bytes += size
        while self.kept_bytes > self.terms.keep_bytes and len(self.kept) > 1:
            self.kept_bytes -= self.kept.popitem(last=False)[1]

    def void(self, key: str) -> None:
        self.kept_bytes -= self.kept.pop(key, 0)

    # ---- its life ----

    def stop(self) -> None:
        """It dies: all that it had is lost."""
        self.up = False
        for job in list(self.jobs.values()):
            self._over(job)
        self.queue.clear()
        self.running.clear()
        self.fetched_by.clear()
        self.kept.clear()
        self.pushed.clear()
        self.busy_cores = self.kept_bytes = self.pushed_work = 0

    def start(self, now: int, name: str) -> None:
        self.up, self.draining, self.name, self.since = True, False, name, max(1, now)

    def heal(self, now: int) -> None:
        """It was silent, and what it took then goes on."""
        self.silent = False
        self.queue.extend(job for job in self.jobs.values() if job.stage == "queued" and job not in self.queue)
        self._run(now)
