"""The rig's laws, fed with time and events: short traces that people have read."""

from typing import Any

import pytest

from ternquay.rig.laws import fleet as f
from ternquay.rig.laws.cachehost import CacheCommand
from ternquay.rig.laws.clients import Clients
from ternquay.rig.laws.link import RESET, Link
from ternquay.rig.laws.listing import Entry, Listing
from ternquay.rig.laws.origin import Origin
from ternquay.rig.terms import MS, SECOND, ListTerms, OriginTerms, Planned, planned, read_day
from tests.helper import check_trace

READ, ONCE, NOTE = 0, 2, 3
SMALL: dict[str, Any] = {
    "hosts": {"count": 2, "speed": [1.0, 1.0], "kept_at_start": 0.0, "queue": 4, "keep_bytes": 5000},
    "origin": {"places": 2, "took_ms": [50.0, 50.0]},
    "clients": {"keys": 50},
}
EVEN = [
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


class Scene:
    """A fleet on a clock of the test's own, and the trace of what comes of it."""

    def __init__(self, **over: Any) -> None:
        self.day = read_day("calm", SMALL | {"profiles": EVEN} | over)
        self.fleet = f.Fleet(self.day, planned(self.day, 1), 1, ["a", "b"])
        self.now, self.trace = 0, list[str]()
        self.names: dict[int, str] = {}

    def say(self, text: str) -> None:
        self.trace.append(f"{self.now / MS:7.1f} ms  {text}")

    def ask(
        self, name: str, host: int = 0, profile: int = READ, key: str = "k", mark: str = "", size: int = 1100
    ) -> int:
        write = profile >= ONCE
        self.say(f"host {host} is asked {name}: {'write' if write else 'read'} {key}{' mark ' + mark if mark else ''}")
        ticket = self.fleet.arrive(self.now, host, CacheCommand(name, profile, write, key, mark, size))
        self.names[ticket] = name
        self.take()
        return ticket

    def cancel(self, ticket: int) -> None:
        self.say(f"nobody waits for {self.names[ticket]} any more")
        self.fleet.cancel(self.now, ticket)
        self.take()

    def take(self) -> None:
        for one in self.fleet.take_outcomes():
            if isinstance(one, f.Answer):
                note = ("", " hit", " miss", " shared miss")[one.note]
                self.say(f"{self.names[one.ticket]} ends: {one.kind}{note}")
            elif isinstance(one, f.ListChanged):
                entry = self.fleet.listing.entries[-1]
                self.say(f"{entry.phase} of a host at {entry.where} can be told from {one.at / MS:.0f} ms on")
            else:
                self.say(f"host {one.host} is {'up' if isinstance(one, f.HostUp) else 'down'}")

    def run(self, ms: float) -> None:
        until = self.now + int(ms * MS)
        while (due := self.fleet.due()) is not None and due <= until:
            self.now = max(self.now, due)
            self.fleet.advance(self.now)
            self.take()
        self.now = until


def test_a_cache_host_fetches_once_keeps_evicts_and_turns_away() -> None:
    scene = Scene()
    scene.ask("first")
    scene.ask("second")
    scene.run(100)
    scene.ask("third")
    scene.run(20)
    for n in range(6):
        scene.ask(f"many-{n}", key=f"k{n}")
    scene.run(300)
    scene.ask("evicted", key="k")
    scene.run(100)
    check_trace("law_cache_host", scene.trace)


def test_a_write_voids_copies_and_a_repeat_of_a_mark_has_no_effect() -> None:
    scene = Scene()
    scene.ask("fills", host=1)
    scene.run(100)
    first = scene.ask("writes", profile=NOTE, mark="m")
    repeat = scene.ask("repeats", host=1, profile=NOTE, mark="m")
    scene.run(100)
    scene.ask("reads", host=1)
    scene.run(100)
    scene.ask("repeats late", profile=NOTE, mark="m")
    scene.run(1000)
    late = scene.ask("forgotten", profile=NOTE, mark="m")
    scene.run(100)
    seen = scene.fleet.records
    assert seen[first].stamp == seen[repeat].stamp and seen[repeat].effect == 0 != seen[first].effect
    assert seen[late].effect
    check_trace("law_marks", scene.trace)


def test_work_stops_with_its_transaction_unless_the_origin_has_it() -> None:
    scene = Scene()
    running = scene.ask("running", profile=ONCE)
    queued = scene.ask("queued", profile=NOTE, mark="m")
    scene.run(5)
    scene.cancel(queued)
    scene.cancel(running)
    stored = scene.ask("stored", profile=NOTE, mark="m")
    scene.run(20)
    scene.cancel(stored)
    scene.run(100)
    assert [bool(scene.fleet.records[t].effect) for t in (running, queued, stored)] == [False, False, True]
    check_trace("law_cancel", scene.trace)


def test_a_host_dies_comes_back_cold_and_tips_over() -> None:
    fault = {"kind": "host-crash", "start": 0.01, "end": 0.05, "count": 1}
    scene = Scene(faults=[fault], hosts=SMALL["hosts"] | {"queue": 900})
    host = planned(scene.day, 1)[0].hosts[0]
    scene.run(190)
    scene.ask("lost", host)
    scene.run(900)
    assert scene.fleet.hosts[host].warmth(scene.now) == pytest.approx(0.2, abs=0.05)
    for n in range(90):
        scene.ask(f"n{n}", host, key="kept")
        if scene.fleet.hosts[host].collapsed:
            break
    scene.trace[3:] = [line for line in scene.trace[3:] if "asked" not in line]
    assert scene.fleet.collapses[0].pushed > 4.0
    check_trace("law_cold", scene.trace)


def test_a_silent_host_answers_what_it_took_once_it_is_well() -> None:
    scene = Scene(faults=[{"kind": "host-silent", "start": 0.01, "end": 0.05, "share": 1.0}])
    scene.run(300)
    ticket = scene.ask("swallowed")
    scene.run(1000)
    check_trace("law_silent", scene.trace)
    assert scene.fleet.records[ticket].fate == "swallowed"


def test_the_origin_stops_past_its_load_and_comes_back() -> None:
    origin = Origin(OriginTerms(places=1, took_ms=(10.0, 10.0), stopping_rate=20.0, stopped_ms=500), 1)
    taken = [origin.ask(n * MS, n, cold=n % 2 == 0) for n in range(25)]
    assert taken == [True] * 20 + [False] * 5
    assert (origin.stops[0].asked, origin.stops[0].by_cold) == (21, 11)
    assert sorted(ticket for ticket, well in origin.advance(30 * MS) if not well) == [*range(20)]
    assert not origin.ask(400 * MS, 30, cold=False)
    assert origin.ask(521 * MS, 31, cold=False)
    assert origin.advance(531 * MS)[-1] == (31, True)


def test_the_list_tells_late_in_order_and_is_down_or_garbage_in_its_time() -> None:
    late = Planned("list-late", 0, SECOND, (), 0, 1.0, 0.0, 2 * SECOND, 1)
    down = Planned("list-down", 3 * SECOND, 4 * SECOND, (), 0, 1.0, 0.0, 0, 1)
    listing = Listing(ListTerms(late_ms=(100, 100)), (late, down), 1)
    listing.change(0, Entry("h", "a", "up", 0), at_once=True)
    assert listing.change(SECOND // 2, Entry("h", "a", "draining", 0)) == 2600 * MS
    assert listing.change(SECOND, Entry("h", "a", "removed", 0)) == 2600 * MS
    assert [e.phase for e in listing.whole(2 * SECOND)] == ["up"]
    assert [e.phase for e in listing.since(2600 * MS, 1)] == ["removed"] and listing.whole(2600 * MS) == []
    assert listing.next_change(1) == 2600 * MS and listing.next_change(3) is None
    assert [listing.down(t * SECOND) for t in (2, 3, 4)] == [False, True, False]


def test_clients_are_the_same_for_a_seed_and_jump_in_a_burst() -> None:
    day = read_day("burst", {"seconds": 20.0})
    once, again = (list(Clients(day, planned(day, 5), 5).arrivals()) for _ in range(2))
    other = list(Clients(day, planned(day, 6), 6).arrivals())
    assert once == again != other
    inside = sum(8 * SECOND <= a.due < 13 * SECOND for a in once) / 5
    outside = sum(not 8 * SECOND <= a.due < 13 * SECOND for a in once) / 15
    assert 2.2 < inside / outside < 2.8
    assert abs(outside - day.clients.rate) < 0.1 * day.clients.rate
    assert any(a.key.startswith("once-") for a in once)


def test_a_client_repeats_what_its_profile_allows_and_only_while_there_is_time() -> None:
    day = read_day("calm")
    clients = Clients(day, (), 1)
    arrivals = {a.profile: a for a in clients.arrivals()}
    told = {
        (p, answer): clients.retry(arrivals[p], 1, arrivals[p].due + 50 * MS, answer, 0) is not None
        for p in range(4)
        for answer in ("rolled-back", "abandoned", "closed")
    }
    assert [told[p, "rolled-back"] for p in range(4)] == [True] * 4
    for answer in ("abandoned", "closed"):
        assert [told[p, answer] for p in range(4)] == [True, True, False, False]
    assert clients.retry(arrivals[0], 3, arrivals[0].due, "rolled-back", 0) is None
    assert clients.retry(arrivals[0], 1, arrivals[0].due + 890 * MS, "rolled-back", 0) is None


def test_a_link_loses_no_bytes_but_by_its_faults() -> None:
    answer = b"VA 300 Oabc h1\r\n" + b"x" * 300 + b"\r\n"

    def link(kind: str, part: float = 1.0, pause: int = 20 * MS) -> Link:
        return Link((Planned(kind, 0, SECOND, (0,), 0, 1.0, part, pause, 1),), 0, 1)

    assert link("link-delay").fragments(5, answer) == [(5 + 20 * MS, answer)]
    for kind in ("link-drip", "link-cut"):
        pieces = link(kind).fragments(0, answer)
        assert len(pieces) > 1 and b"".join(data for _, data in pieces) == answer
        assert [at for at, _ in pieces] == sorted(at for at, _ in pieces)
    assert link("link-reset").resets(0) and not link("link-reset").resets(SECOND)
    assert link("link-refuse").refuses(0) and link("link-silent").silent(0) and link("answers-lost").loses(0)
    spoiler = link("answers-spoilt")
    spoilt = {spoiler.corrupt(0, answer) for _ in range(60)}
    assert len(spoilt) == 5 and answer not in spoilt
    assert any(RESET in text for text in spoilt)
