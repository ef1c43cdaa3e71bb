"""The rig's simulation models, driven by time and events and compared with reviewed traces."""

from typing import Any

import pytest

from ternquay.rig.laws import fleet as fleet_model
from ternquay.rig.laws.cachehost import CacheCommand
from ternquay.rig.laws.clients import Clients
from ternquay.rig.laws.link import RESET, Link
from ternquay.rig.laws.listing import Entry, Listing
from ternquay.rig.laws.origin import Origin
from ternquay.rig.terms import MS, SECOND, ListTerms, OriginTerms, PlannedFault, plan_faults, read_day
from tests.helper import check_trace

# Indexes into PROFILES.
READ = 0
NON_IDEMPOTENT = 2
JOURNALLED = 3
SMALL_FLEET: dict[str, Any] = {
    "hosts": {"count": 2, "speed": [1.0, 1.0], "kept_at_start": 0.0, "queue": 4, "keep_bytes": 5000},
    "origin": {"places": 2, "took_ms": [50.0, 50.0]},
    "clients": {"keys": 50},
}
PROFILES = [
    {
        "name": "clip",
        "kind": "idempotent",
        "share": 0.4,
        "revenue": 1.0,
        "work_ms": [10.0, 10.0],
        "service_goal_ms": 300,
        "hard_limit_ms": 900,
    },
    {
        "name": "transcript",
        "kind": "idempotent",
        "share": 0.4,
        "revenue": 1.0,
        "work_ms": [10.0, 10.0],
        "service_goal_ms": 300,
        "hard_limit_ms": 900,
    },
    {
        "name": "copy-order",
        "kind": "non-idempotent",
        "share": 0.1,
        "revenue": 5.0,
        "work_ms": [10.0, 10.0],
        "service_goal_ms": 300,
        "hard_limit_ms": 900,
    },
    {
        "name": "note",
        "kind": "journalled",
        "share": 0.1,
        "revenue": 5.0,
        "work_ms": [10.0, 10.0],
        "service_goal_ms": 300,
        "hard_limit_ms": 900,
        "memory_ms": 1000,
    },
]


class Simulation:
    """A simulated fleet on a clock that the test advances, with a trace of the outcomes."""

    def __init__(self, **over: Any) -> None:
        self.day = read_day("calm", SMALL_FLEET | {"profiles": PROFILES} | over)
        self.fleet = fleet_model.Fleet(self.day, plan_faults(self.day, 1), 1, ["a", "b"])
        self.now, self.trace = 0, list[str]()
        self.command_names: dict[int, str] = {}

    def log(self, text: str) -> None:
        self.trace.append(f"{self.now / MS:7.1f} ms  {text}")

    def send(
        self, name: str, host: int = 0, profile: int = READ, key: str = "k", mark: str = "", size: int = 1100
    ) -> int:
        write = profile >= NON_IDEMPOTENT
        self.log(f"host {host} is asked {name}: {'write' if write else 'read'} {key}{' mark ' + mark if mark else ''}")
        ticket = self.fleet.arrive(self.now, host, CacheCommand(name, profile, write, key, mark, size))
        self.command_names[ticket] = name
        self.collect_outcomes()
        return ticket

    def cancel(self, ticket: int) -> None:
        self.log(f"nobody waits for {self.command_names[ticket]} any more")
        self.fleet.cancel(self.now, ticket)
        self.collect_outcomes()

    def collect_outcomes(self) -> None:
        for outcome in self.fleet.take_outcomes():
            if isinstance(outcome, fleet_model.Answer):
                note = ("", " hit", " miss", " shared miss")[outcome.note]
                self.log(f"{self.command_names[outcome.ticket]} ends: {outcome.kind}{note}")
            elif isinstance(outcome, fleet_model.ListChanged):
                entry = self.fleet.listing.entries[-1]
                self.log(f"{entry.phase} of a host at {entry.address} can be told from {outcome.at / MS:.0f} ms on")
            else:
                self.log(f"host {outcome.host} is {'up' if isinstance(outcome, fleet_model.HostUp) else 'down'}")

    def run(self, ms: float) -> None:
        until = self.now + int(ms * MS)
        while (due := self.fleet.due()) is not None and due <= until:
            self.now = max(self.now, due)
            self.fleet.advance(self.now)
            self.collect_outcomes()
        self.now = until


def test_a_cache_host_shares_a_fetch_caches_evicts_and_rejects() -> None:
    simulation = Simulation()
    simulation.send("first")
    simulation.send("second")
    simulation.run(100)
    simulation.send("third")
    simulation.run(20)
    for n in range(6):
        simulation.send(f"many-{n}", key=f"k{n}")
    simulation.run(300)
    simulation.send("evicted", key="k")
    simulation.run(100)
    check_trace("law_cache_host", simulation.trace)


def test_a_write_invalidates_copies_and_a_repeat_of_a_mark_has_no_effect() -> None:
    simulation = Simulation()
    simulation.send("fills", host=1)
    simulation.run(100)
    first = simulation.send("writes", profile=JOURNALLED, mark="m")
    repeat = simulation.send("repeats", host=1, profile=JOURNALLED, mark="m")
    simulation.run(100)
    simulation.send("reads", host=1)
    simulation.run(100)
    simulation.send("repeats late", profile=JOURNALLED, mark="m")
    simulation.run(1000)
    late = simulation.send("forgotten", profile=JOURNALLED, mark="m")
    simulation.run(100)
    records = simulation.fleet.records
    assert records[first].stamp == records[repeat].stamp and records[repeat].effect == 0 != records[first].effect
    assert records[late].effect
    check_trace("law_marks", simulation.trace)


def test_cancelled_work_stops_unless_it_is_at_the_origin() -> None:
    simulation = Simulation()
    running = simulation.send("running", profile=NON_IDEMPOTENT)
    queued = simulation.send("queued", profile=JOURNALLED, mark="m")
    simulation.run(5)
    simulation.cancel(queued)
    simulation.cancel(running)
    stored = simulation.send("stored", profile=JOURNALLED, mark="m")
    simulation.run(20)
    simulation.cancel(stored)
    simulation.run(100)
    assert [bool(simulation.fleet.records[t].effect) for t in (running, queued, stored)] == [False, False, True]
    check_trace("law_cancel", simulation.trace)


def test_a_crashed_host_restarts_cold_and_collapses_under_load() -> None:
    fault = {"kind": "host-crash", "start": 0.01, "end": 0.05, "count": 1}
    simulation = Simulation(faults=[fault], hosts=SMALL_FLEET["hosts"] | {"queue": 900})
    host = plan_faults(simulation.day, 1)[0].hosts[0]
    simulation.run(190)
    simulation.send("lost", host)
    simulation.run(900)
    assert simulation.fleet.hosts[host].warmth(simulation.now) == pytest.approx(0.2, abs=0.05)
    for n in range(90):
        simulation.send(f"n{n}", host, key="kept")
        if simulation.fleet.hosts[host].collapsed:
            break
    simulation.trace[3:] = [line for line in simulation.trace[3:] if "asked" not in line]
    assert simulation.fleet.collapses[0].pushed > 4.0
    check_trace("law_cold", simulation.trace)


def test_a_silent_host_answers_accepted_commands_when_it_recovers() -> None:
    simulation = Simulation(faults=[{"kind": "host-silent", "start": 0.01, "end": 0.05, "share": 1.0}])
    simulation.run(300)
    ticket = simulation.send("swallowed")
    simulation.run(1000)
    check_trace("law_silent", simulation.trace)
    assert simulation.fleet.records[ticket].fate == "swallowed"


def test_the_origin_stops_above_its_threshold_and_recovers() -> None:
    origin = Origin(OriginTerms(places=1, took_ms=(10.0, 10.0), stopping_rate=20.0, stopped_ms=500), 1)
    accepted = [origin.request(n * MS, n, cold=n % 2 == 0) for n in range(25)]
    assert accepted == [True] * 20 + [False] * 5
    assert (origin.outages[0].asked, origin.outages[0].by_cold) == (21, 11)
    assert sorted(ticket for ticket, succeeded in origin.advance(30 * MS) if not succeeded) == [*range(20)]
    assert not origin.request(400 * MS, 30, cold=False)
    assert origin.request(521 * MS, 31, cold=False)
    assert origin.advance(531 * MS)[-1] == (31, True)


def test_list_changes_become_visible_late_and_in_order_and_the_list_goes_down() -> None:
    late = PlannedFault("list-late", 0, SECOND, (), 0, 1.0, 0.0, 2 * SECOND, 1)
    down = PlannedFault("list-down", 3 * SECOND, 4 * SECOND, (), 0, 1.0, 0.0, 0, 1)
    listing = Listing(ListTerms(late_ms=(100, 100)), (late, down), 1)
    listing.change(0, Entry("h", "a", "up", 0), immediate=True)
    assert listing.change(SECOND // 2, Entry("h", "a", "draining", 0)) == 2600 * MS
    assert listing.change(SECOND, Entry("h", "a", "removed", 0)) == 2600 * MS
    assert [e.phase for e in listing.complete(2 * SECOND)] == ["up"]
    assert [e.phase for e in listing.since(2600 * MS, 1)] == ["removed"] and listing.complete(2600 * MS) == []
    assert listing.next_change(1) == 2600 * MS and listing.next_change(3) is None
    assert [listing.down(t * SECOND) for t in (2, 3, 4)] == [False, True, False]


def test_arrivals_repeat_for_a_seed_and_rise_in_a_burst() -> None:
    day = read_day("burst", {"seconds": 20.0})
    first, second = (list(Clients(day, plan_faults(day, 5), 5).arrivals()) for _ in range(2))
    other = list(Clients(day, plan_faults(day, 6), 6).arrivals())
    assert first == second != other
    inside = sum(8 * SECOND <= a.due < 13 * SECOND for a in first) / 5
    outside = sum(not 8 * SECOND <= a.due < 13 * SECOND for a in first) / 15
    assert 2.2 < inside / outside < 2.8
    assert abs(outside - day.clients.rate) < 0.1 * day.clients.rate
    assert any(a.key.startswith("once-") for a in first)


def test_a_client_retries_what_its_profile_allows_while_time_is_left() -> None:
    day = read_day("calm")
    clients = Clients(day, (), 1)
    arrivals = {a.profile: a for a in clients.arrivals()}
    retried = {
        (p, answer): clients.retry(arrivals[p], 1, arrivals[p].due + 50 * MS, answer, 0) is not None
        for p in range(4)
        for answer in ("rolled-back", "abandoned", "closed")
    }
    assert [retried[p, "rolled-back"] for p in range(4)] == [True] * 4
    for answer in ("abandoned", "closed"):
        assert [retried[p, answer] for p in range(4)] == [True, True, False, False]
    assert clients.retry(arrivals[0], 3, arrivals[0].due, "rolled-back", 0) is None
    assert clients.retry(arrivals[0], 1, arrivals[0].due + 890 * MS, "rolled-back", 0) is None


def test_a_link_loses_bytes_only_by_its_faults() -> None:
    answer = b"VA 300 Oabc h1\r\n" + b"x" * 300 + b"\r\n"

    def link(kind: str, part: float = 1.0, pause: int = 20 * MS) -> Link:
        return Link((PlannedFault(kind, 0, SECOND, (0,), 0, 1.0, part, pause, 1),), 0, 1)

    assert link("link-delay").fragments(5, answer) == [(5 + 20 * MS, answer)]
    for kind in ("link-drip", "link-cut"):
        fragments = link(kind).fragments(0, answer)
        assert len(fragments) > 1 and b"".join(data for _, data in fragments) == answer
        assert [at for at, _ in fragments] == sorted(at for at, _ in fragments)
    assert link("link-reset").resets(0) and not link("link-reset").resets(SECOND)
    assert link("link-refuse").refuses(0) and link("link-silent").silent(0) and link("answers-lost").loses(0)
    corrupting_link = link("answers-spoilt")
    corrupted = {corrupting_link.corrupt(0, answer) for _ in range(60)}
    assert len(corrupted) == 5 and answer not in corrupted
    assert any(RESET in text for text in corrupted)
