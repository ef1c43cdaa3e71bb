"""The one loop, shared: what has bytes waiting gets its turns by tenant, by client of the tenant, then one by one.

While nobody waits, what comes is read at once. As soon as a turn of the reactor has lasted for a slice, the rest
waits here and is read in pieces, whoever had least first. What a tenant costs elsewhere (answers of its cache hosts)
is charged to it too, so that it reads less.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Protocol

from ternquay.hosted.shared.fairness import Ceiling, Turns
from ternquay.net.limits import MS, SECOND
from ternquay.net.loop_timing import LoopTiming

QUANTUM, CLIENT_QUANTUM = MS, MS // 2
SLICE = 3 * MS // 2  # of one turn of the reactor; others' answers and timers come after it
PIECE = MS // 2  # of one piece of work, unless one step of it takes longer
# A step that took longer by the clock: the process did not run in it (it was stopped, or the machine had no time for
# it), which is no tenant's doing. Charged whole, whoever's turn it was would sit out as long again.
STEP_MOST = 20 * MS


class Work(Protocol):
    """What has something to be read."""

    def piece(self) -> bool:
        """Does a short piece of it; whether there is more."""


class Part:
    """One tenant's part in the loop: its clients by turns, what each has waiting one after the other."""

    def __init__(self, most: float) -> None:
        self.turns = Turns(CLIENT_QUANTUM, others=1.0)
        self.works: dict[str, OrderedDict[Work, None]] = {}
        self.ceiling = Ceiling(most)
        self.spent = 0  # of the loop, in all

    def ready(self, now: int, who: str, work: Work) -> None:
        self.works.setdefault(who, OrderedDict())[work] = None
        self.turns.ready(now, who)

    def piece(self, clock: Callable[[], int]) -> bool:
        """The turn of one client; whether any has more."""
        who = self.turns.next()
        if who is None:
            return False
        began = clock()
        work, _ = self.works[who].popitem(last=False)
        more = work.piece()
        # What was done may have dropped others that waited beside it, and with the last of them their place.
        works = self.works.setdefault(who, OrderedDict())
        if more:
            works[work] = None
        now = clock()
        if not works:
            del self.works[who]
        self.turns.spent(now, who, min(STEP_MOST, now - began), bool(works))
        if works:
            self.turns.ready(now, who)
        return bool(self.works)

    def drop(self, who: str, work: Work) -> None:
        works = self.works.get(who)
        if works is not None and work in works:
            del works[work]
            if not works:
                del self.works[who]
                self.turns.drop(who)


class Loop:
    """Times are whole nanoseconds on `clock`; `loop_timing` knows when this turn of the reactor began."""

    def __init__(self, reactor: Any, clock: Callable[[], int], loop_timing: LoopTiming) -> None:
        self.reactor, self.clock, self.loop_timing = reactor, clock, loop_timing
        self.turns = Turns(QUANTUM)
        self.parts: dict[str, Part] = {}
        self.held: set[str] = set()  # over their ceilings
        self.due: Any = None

    def settle(self, parts: dict[str, tuple[float, float]]) -> None:
        """The weight and the ceiling of each tenant from now on."""
        self.turns.settle({name: weight for name, (weight, _) in parts.items()})
        for name, (_, most) in parts.items():
            if name in self.parts:
                self.parts[name].ceiling.most = most
            else:
                self.parts[name] = Part(most)
        for name in self.parts.keys() - parts.keys():
            del self.parts[name]
        self.held &= parts.keys()

    def at_once(self, name: str) -> bool:
        """Whether what comes for that tenant may be read now: nobody waits, and this turn is short so far."""
        part = self.parts.get(name)
        if self.turns.waiting or name in self.held or part is None:
            return False
        now = self.clock()
        return now - self.loop_timing.started_at < SLICE and not part.ceiling.wait(now)

    def late(self, more: int) -> bool:
        """Whether this turn of the reactor has lasted a slice and so much more."""
        return self.clock() - self.loop_timing.started_at > SLICE + more

    def ready(self, name: str, who: str, work: Work) -> None:
        """It waits until its turn comes."""
        part, now = self.parts.get(name), self.clock()
        if part is None:
            return
        part.ready(now, who, work)
        if name not in self.held:
            self.turns.ready(now, name)
        self._wake()

    def drop(self, name: str, who: str, work: Work) -> None:
        if name in self.parts:
            self.parts[name].drop(who, work)

    def timed(self, name: str, what: Callable[[], Any]) -> Any:
        """Does something of that tenant outside its turns, and charges it."""
        began = self.clock()
        found = what()
        self.charge_since(name, began)
        return found

    def charge_since(self, name: str, began: int) -> None:
        self.charge(name, min(STEP_MOST, self.clock() - began))

    def charge(self, name: str, took: int) -> None:
        part = self.parts.get(name)
        if part is not None:
            now = self.clock()
            part.spent += took
            part.ceiling.spent(now, took)
            self.turns.charge(now, name, took)

    def _wake(self) -> None:
        if self.due is None:
            self.due = self.reactor.callLater(0, self._run)

    def _run(self) -> None:
        self.due = None
        now = self.clock()
        end = now + SLICE
        while now < end and (name := self.turns.next()) is not None:
            part = self.parts[name]
            if wait := part.ceiling.wait(now):
                self._hold(now, name, wait)
                continue
            more = part.piece(self.clock)
            took, now = min(STEP_MOST, self.clock() - now), self.clock()
            part.spent += took
            part.ceiling.spent(now, took)
            self.turns.spent(now, name, took, more)
        if self.turns.waiting:
            self._wake()

    def _hold(self, now: int, name: str, wait: int) -> None:
        self.turns.spent(now, name, 0, False)
        self.held.add(name)
        self.reactor.callLater(wait / SECOND, self._release, name)

    def _release(self, name: str) -> None:
        self.held.discard(name)
        if name in self.parts and self.parts[name].works:
            self.turns.ready(self.clock(), name)
            self._wake()

    def swept(self) -> None:
        now = self.clock()
        self.turns.sweep(now)
        for part in self.parts.values():
            part.turns.sweep(now)
