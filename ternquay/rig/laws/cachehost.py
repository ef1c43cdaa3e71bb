"""Model of one cache host: cores, a command queue, an LRU cache, a warm-up phase and collapse under load while cold.

The fleet passes commands and the results of origin requests to a host and collects its `actions`.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from heapq import heappop, heappush

from ternquay.rig.terms import MS, HostTerms


@dataclass(slots=True, frozen=True)
class CacheCommand:
    """A complete command that a cache host received."""

    id: str
    profile: int
    write: bool
    key: str
    mark: str  # identifies repeats of a journalled transaction; empty for other commands
    size: int  # bytes of the value that a read returns


@dataclass(slots=True)
class Job:
    """The state of one command at its host."""

    ticket: int
    command: CacheCommand
    work: int  # nanoseconds on a core of speed 1
    started: int = 0
    stage: str = "queued"  # then running, fetching, waiting (for another job's fetch), storing or over
    note: int = 0  # 1 for a hit, 2 for a miss, 3 for a miss that shares another job's fetch
    repeat: bool = False
    cold: bool = False
    generation: int = 0  # heap entries of earlier generations are stale


@dataclass(slots=True, frozen=True)
class Action:
    """What the fleet does next for a host: `answer`, `busy`, `error`, `fetch`, `store`, or `tip` for a collapse."""

    kind: str
    job: Job | None = None


@dataclass(slots=True)
class CacheHost:
    """One cache host. Callers pass the current time in nanoseconds, which never decreases."""

    terms: HostTerms
    index: int
    name: str
    speed: float
    started_at: int = 0  # time of the latest start; 0 if the host was warm when the play began
    up: bool = True
    draining: bool = False
    collapsed: bool = False  # the host collapsed under load while cold; it does not return
    silent: bool = False  # commands are accepted but not processed
    slowdown: float = 1.0  # factor by which work takes longer
    jobs: dict[int, Job] = field(default_factory=dict)
    queue: deque[Job] = field(default_factory=deque)
    running: list[tuple[int, int, int]] = field(default_factory=list)  # heap of (end, ticket, generation)
    busy_cores: int = 0
    cached: "OrderedDict[str, int]" = field(default_factory=OrderedDict)  # size by key, least recently used first
    cached_bytes: int = 0
    fetch_waiters: dict[str, list[Job]] = field(default_factory=dict)  # jobs that share the fetch, by key
    recent_arrivals: deque[tuple[int, int]] = field(default_factory=deque)  # (time, work) of arrivals while cold
    recent_work: int = 0
    actions: list[Action] = field(default_factory=list)
    work_done: int = 0
    fetch_of: dict[int, str] = field(default_factory=dict)

    # ---- capacity ----

    def warmth(self, now: int) -> float:
        """The share of full speed, which rises linearly after a start until it is 1.0."""
        if not self.started_at:
            return 1.0
        part = min(1.0, max(0, now - self.started_at) / (self.terms.warm_within_ms * MS))
        return self.terms.cold_share + (1 - self.terms.cold_share) * part

    def capacity(self, now: int) -> float:
        """Work completed per unit of time at the current warmth."""
        return self.terms.cores * self.speed * self.warmth(now)

    def _collapses(self, now: int, work: int) -> bool:
        """Records arriving work while the host is cold; returns whether the window exceeds the collapse threshold."""
        if self.warmth(now) >= 1.0:
            self.recent_arrivals.clear()
            self.recent_work = 0
            return False
        window = self.terms.tip_window_ms * MS
        self.recent_arrivals.append((now, work))
        self.recent_work += work
        while self.recent_arrivals[0][0] <= now - window:
            self.recent_work -= self.recent_arrivals.popleft()[1]
        return self.recent_work > self.terms.tip_multiple * self.capacity(now) * window

    # ---- commands ----

    def accept(self, now: int, job: Job) -> None:
        """Queues a job, rejects it as busy, or collapses under it."""
        if self._collapses(now, job.work):
            self.collapsed = True
            self.actions.append(Action("tip"))
            return
        if self.draining or len(self.jobs) >= self.terms.queue:
            job.stage = "over"
            self.actions.append(Action("busy", job))
            return
        job.cold = self.warmth(now) < 1.0
        self.jobs[job.ticket] = job
        if not self.silent:
            self.queue.append(job)
            self._start_jobs(now)

    def cancel(self, now: int, ticket: int) -> bool:
        """Stops a job whose client is gone and returns whether it stopped; a request at the origin continues."""
        job = self.jobs.get(ticket)
        if job is None or job.stage in ("storing", "fetching"):
            return False
        if job.stage == "queued":
            if job in self.queue:
                self.queue.remove(job)
        elif job.stage == "waiting":
            self.fetch_waiters[job.command.key].remove(job)
        elif job.stage == "running":
            self.busy_cores -= 1
        self._finish(job)
        self._start_jobs(now)
        return True

    def _finish(self, job: Job) -> None:
        job.stage = "over"
        job.generation += 1
        self.jobs.pop(job.ticket, None)

    # ---- work ----

    def _start_jobs(self, now: int) -> None:
        while self.queue and self.busy_cores < self.terms.cores and not self.silent:
            job = self.queue.popleft()
            if not job.command.write and not job.repeat and job.note == 0 and not self._hit(job):
                self._miss(job)
                continue
            self.busy_cores += 1
            job.stage, job.started = "running", job.started or now
            rate = self.speed * self.warmth(now) / self.slowdown
            heappush(self.running, (now + int(job.work / rate), job.ticket, job.generation))
            self.work_done += job.work

    def _hit(self, job: Job) -> bool:
        if job.command.key not in self.cached:
            return False
        self.cached.move_to_end(job.command.key)
        job.note = 1
        return True

    def _miss(self, job: Job) -> None:
        key = job.command.key
        if self.terms.shares_fetches and key in self.fetch_waiters:
            job.stage, job.note = "waiting", 3
            self.fetch_waiters[key].append(job)
            return
        job.stage, job.note = "fetching", 2
        self.fetch_waiters.setdefault(key, [])
        self.actions.append(Action("fetch", job))

    def advance(self, now: int) -> None:
        while self.running and self.running[0][0] <= now:
            at, ticket, generation = heappop(self.running)
            job = self.jobs.get(ticket)
            if job is None or job.generation != generation or job.stage != "running":
                continue
            self.busy_cores -= 1
            if job.command.write and not job.repeat:
                job.stage = "storing"
                self.actions.append(Action("store", job))
            else:
                self._finish(job)
                self.actions.append(Action("answer", job))
            self._start_jobs(at)

    def due(self) -> int | None:
        return self.running[0][0] if self.running else None

    # ---- results from the origin ----

    def fetch_ended(self, now: int, job: Job, succeeded: bool) -> None:
        """Ends a fetch: on success stores the value and queues the jobs that waited for it, else fails them."""
        waiting = self.fetch_waiters.pop(job.command.key, [])
        if succeeded:
            self.store(job.command.key, job.command.size)
        for waiter in (job, *waiting):
            if not succeeded:
                self._finish(waiter)
                self.actions.append(Action("error", waiter))
            elif waiter.stage != "over":
                waiter.stage = "queued"
                self.queue.append(waiter)
        self._start_jobs(now)

    def store_ended(self, job: Job, succeeded: bool) -> None:
        """Ends a write."""
        self._finish(job)
        self.actions.append(Action("answer" if succeeded else "error", job))

    # ---- cached values ----

    def store(self, key: str, size: int) -> None:
        """Caches a value of `size` bytes and evicts the least recently used ones beyond the limit."""
        self.invalidate(key)
        self.cached[key] = size
        self.cached_bytes += size
        while self.cached_bytes > self.terms.keep_bytes and len(self.cached) > 1:
            self.cached_bytes -= self.cached.popitem(last=False)[1]

    def invalidate(self, key: str) -> None:
        """Removes the cached value of a key, if any."""
        self.cached_bytes -= self.cached.pop(key, 0)

    # ---- start and stop ----

    def crash(self) -> None:
        """Crashes the host: it loses its jobs and its cache."""
        self.up = False
        for job in list(self.jobs.values()):
            self._finish(job)
        self.queue.clear()
        self.running.clear()
        self.fetch_waiters.clear()
        self.cached.clear()
        self.recent_arrivals.clear()
        self.busy_cores = self.cached_bytes = self.recent_work = 0

    def start(self, now: int, name: str) -> None:
        """Starts the host cold, under that name."""
        self.up, self.draining, self.name, self.started_at = True, False, name, max(1, now)

    def resume(self, now: int) -> None:
        """Ends a silent phase and processes the commands accepted during it."""
        self.silent = False
        self.queue.extend(job for job in self.jobs.values() if job.stage == "queued" and job not in self.queue)
        self._start_jobs(now)
