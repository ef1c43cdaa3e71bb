"""A play on virtual time: the laws of the fleet and of clients with a small balancer between them, no sockets.

    saw = World(day, seed, make).run()     # make(world) -> a Small balancer; records.Saw, as from a play on sockets

It is there to try the judge on balancers that are wrong on purpose, and for a model of the fleet to build on.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any, Protocol

from ternquay.rig import records
from ternquay.rig.laws import fleet as f
from ternquay.rig.laws.cachehost import CacheCommand
from ternquay.rig.laws.clients import Arrival, Clients, value_size
from ternquay.rig.laws.listing import Entry
from ternquay.rig.terms import MS, SECOND, Day, plan_faults

NET = MS // 5  # one way between any two
BEGIN = 1000 * SECOND
GRACE = 200 * MS


class Small(Protocol):
    """A balancer, told what happens; it acts through the world's hop(), answer() and later()."""

    def arrived(self, one: records.Try, arrival: Arrival) -> None: ...

    def hop_ended(self, id: str, hop: records.Hop, what: str, stamp: str) -> None: ...

    def told(self, entries: list[Entry]) -> None: ...


@dataclass(slots=True)
class Open:
    seen: records.Try
    arrival: Arrival


@dataclass(slots=True)
class World:
    day: Day
    seed: int
    make: Callable[["World"], Small]
    now: int = 0
    pushes: int = 0
    heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = field(default_factory=list)
    open: dict[str, Open] = field(default_factory=dict)
    hops: list[records.Hop] = field(default_factory=list)
    tickets: dict[int, records.Hop] = field(default_factory=dict)
    saw: records.LoadSaw = field(default_factory=lambda: records.LoadSaw([], [], []))
    told: list[records.Told] = field(default_factory=list)
    fleet: f.Fleet = field(init=False)
    clients: Clients = field(init=False)
    balancer: Small = field(init=False)

    def __post_init__(self) -> None:
        faults = plan_faults(self.day, self.seed)
        places = [f"host-{n}" for n in range(self.day.hosts.count)]
        self.fleet = f.Fleet(self.day, faults, self.seed, places)
        self.clients = Clients(self.day, faults, self.seed)
        self.balancer = self.make(self)

    # ---- for the balancer ----

    def later(self, at: int, what: Callable[..., None], *args: Any) -> None:
        self.pushes += 1
        heappush(self.heap, (max(at, self.now), self.pushes, what, args))

    def hop(self, id: str, host: int) -> None:
        """Sends it to that host; its end comes to hop_ended()."""
        self.later(self.now + NET, self._hop_comes, id, host)

    def answer(self, id: str, kind: str, text: str = "", named: str = "") -> None:
        """The answer to a client, with the stamp in it and the id that it names."""
        self.later(self.now + NET, self._answered, id, kind, text, named or id)

    # ---- what happens ----

    def _hop_comes(self, id: str, host: int) -> None:
        arrival = self.open[id].arrival if id in self.open else None
        if arrival is None or not self.fleet.hosts[host].up:
            self.later(self.now + NET, self._hop_ended, id, records.Hop(id, "", 0, False, host, "", 0, 0), "none", "")
            return
        profile = self.day.profiles[arrival.profile]
        mark = f"m{arrival.number}" if profile.kind == "journalled" else ""
        hop = records.Hop(
            id,
            mark,
            arrival.profile,
            profile.write,
            host,
            self.fleet.hosts[host].name,
            self.now + BEGIN,
            self.now + BEGIN,
        )
        self.hops.append(hop)
        ask = CacheCommand(id, arrival.profile, profile.write, arrival.key, mark, value_size(self.day, arrival.key))
        self.tickets[self.fleet.arrive(self.now, host, ask)] = hop

    def _hop_ended(self, id: str, hop: records.Hop, what: str, stamp: str) -> None:
        self.balancer.hop_ended(id, hop, what, stamp)

    def _answered(self, id: str, kind: str, text: str, named: str) -> None:
        found = self.open.get(id)
        if found is None:
            return
        if found.seen.ended:
            self.saw.extras.append(records.Extra(0, found.seen.connection, self.now + BEGIN, kind))
            return
        self._end(found, kind, text, named)

    def _end(self, found: Open, kind: str, text: str = "", named: str = "") -> None:
        seen = found.seen
        seen.answer, seen.text, seen.answer_id = kind, text, named
        seen.ended = self.now + BEGIN if kind != "none" else 0
        if kind in ("value", "receipt"):
            return
        word = kind if kind == "rolled-back" else "abandoned"
        at = self.clients.retry(found.arrival, seen.tries, self.now, word, 0)
        if at is not None:
            self.later(at, self._try, found.arrival, seen.tries + 1, at)

    def _try(self, arrival: Arrival, tries: int, at: int) -> None:
        id, limit = f"t{arrival.number}.{tries}", self.clients.time_left(arrival, at)
        seen = records.Try(
            arrival.number,
            tries,
            id,
            arrival.profile,
            0,
            len(self.saw.tries),
            0,
            arrival.due + BEGIN,
            at + BEGIN,
            at + BEGIN,
            limit,
            True,
        )
        self.saw.tries.append(seen)
        self.open[id] = Open(seen, arrival)
        self.later(at + limit + GRACE, self._over, id)
        self.later(at + NET, self.balancer.arrived, seen, arrival)

    def _over(self, id: str) -> None:
        if self.open[id].seen.answer == "none":
            self._end(self.open[id], "none")

    def _tell(self, revision: int) -> None:
        entries = self.fleet.listing.since(self.now, revision)
        self.told += [records.Told(0, self.now + BEGIN, e.id, e.phase) for e in entries]
        self.balancer.told(entries)

    # ---- time ----

    def _take(self) -> None:
        for outcome in self.fleet.take_outcomes():
            if isinstance(outcome, f.Answer):
                hop = self.tickets[outcome.ticket]
                self.later(self.now + NET, self._hop_ended, hop.id, hop, outcome.kind, outcome.stamp)
            elif isinstance(outcome, f.ListChanged):
                self.later(outcome.at, self._tell, self.fleet.listing.revision(outcome.at - 1))

    def run(self) -> records.Saw:
        for arrival in self.clients.arrivals():
            self.later(arrival.due, self._try, arrival, 1, arrival.due)
        end = int(self.day.seconds * SECOND) + max(p.hard_limit_ms for p in self.day.profiles) * MS + SECOND
        while True:
            due = self.fleet.due()
            if due is not None and (not self.heap or due <= self.heap[0][0]):
                self.now = max(self.now, due)
                if self.now > end:
                    break
                self.fleet.advance(self.now)
            elif self.heap and self.heap[0][0] <= end:
                self.now, _, what, args = heappop(self.heap)
                what(*args)
            else:
                break
            self._take()
        return self._saw()

    def _saw(self) -> records.Saw:
        for ticket, hop in self.tickets.items():
            seen = self.fleet.records[ticket]
            hop.fate, hop.repeat, hop.note, hop.stamp = seen.fate, seen.repeat, seen.note, seen.stamp
            hop.effect, hop.answer, hop.cold = seen.effect and seen.effect + BEGIN, seen.answer, seen.cold
        origin = self.fleet.origin
        saw = records.FleetSaw(
            self.hops,
            self.told,
            [records.Tipped(t.at + BEGIN, t.host, t.name, t.warmth, t.pushed) for t in self.fleet.collapses],
            [records.Stopped(s.at + BEGIN, s.asked, s.by_cold) for s in origin.outages],
            origin.requests_by_tenth,
            [],
            [],
        )
        lives = [records.Life(0, BEGIN - SECOND)]
        return records.Saw(self.day.name, self.seed, self.day.seconds, BEGIN, [self.saw], saw, lives, [])
