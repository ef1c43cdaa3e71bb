"""What decides in a hosted service, without sockets: parts, turns, the ledger of machines, documents, keys, calls."""

import json
from dataclasses import replace
from typing import Any

import msgspec
import pytest

from ternquay import model as m
from ternquay.balance import Balancer
from ternquay.hosted.administration import keys
from ternquay.hosted.administration.api import Api, Call, Proposal, Query, Reply
from ternquay.hosted.administration.openapi import description
from ternquay.hosted.administration.plan import plan_steps
from ternquay.hosted.administration.routes import ROUTES
from ternquay.hosted.shared.fairness import (
    SECOND,
    Allocation,
    ClientLimiter,
    DeficitRoundRobin,
    SharedCapacity,
    TimeCeiling,
)
from ternquay.hosted.shared.scheduler import FairScheduler
from ternquay.hosted.tenants.documents import (
    TenantDocument,
    convert_document,
    decode_document,
    tenant_from_document,
    tenant_to_document,
    to_json_value,
)
from ternquay.hosted.tenants.registry import CreateTenant, Registry
from ternquay.hosted.tenants.shared_hosts import FAILURES_TO_EJECT, GONE_RETENTION_NS, ListEntry, SharedHostTable
from ternquay.hosted.tenants.tenant import ApiKey, Endpoint, Guarantee, InvalidField, Scope
from ternquay.net.loop_timing import LoopTiming
from tests.helper import CONFIG, T0
from tests.hosted_helper import document
from tests.test_registry import LIMITS, registry_of, tenant

MS = 1_000_000


# ---- parts of what a tenant has ----


def test_a_client_within_its_part_is_never_turned_away_by_one_that_asks_without_end() -> None:
    dues = ClientLimiter(100.0, 20.0)
    taken = {"flood": 0, "calm": 0}
    away = 0
    for n in range(10_000):  # ten seconds; the flood asks each millisecond, the other 40 times a second
        now = n * MS
        taken["flood"] += dues.take(now, "flood") == 0
        if n % 25 == 0:
            away += dues.take(now, "calm") != 0
            taken["calm"] += 1
    assert away == 0 and taken["calm"] == 400
    assert 570 <= taken["flood"] <= 1000 + 20 * 2 - 400  # what the other leaves, and no more


def test_what_nobody_else_asks_for_is_lent_and_the_wait_that_is_told_is_long_enough() -> None:
    dues = ClientLimiter(100.0, 10.0)
    assert sum(dues.take(n * MS, "one") == 0 for n in range(5000)) >= 500
    wait = dues.take(5 * SECOND, "one")
    assert wait > 0 and dues.take(5 * SECOND + wait, "one") == 0


def test_the_table_of_clients_has_a_bound_and_who_has_something_open_stays() -> None:
    dues = ClientLimiter(1e6, 1e6, max_clients=50)
    dues.take(0, "first")
    dues.opened("first")
    for n in range(500):
        dues.take(n, f"c{n}")
    assert len(dues.clients) <= 502 and "first" in dues.clients
    dues.closed("first")
    dues.closed("first")  # once too often changes nothing
    for n in range(500):
        dues.take(10 * SECOND + n, "last")
    assert list(dues.clients) == ["last"] and dues.open == 0


def test_who_has_most_open_crowds_others_but_not_itself_alone() -> None:
    dues = ClientLimiter(1e6, 1e6)
    for who, many in (("flood", 200), ("a", 2), ("b", 3)):
        for _ in range(many):
            dues.take(1, who)
            dues.opened(who)
    assert dues.crowds("flood", 8, 1.5) and not dues.crowds("a", 8, 1.5) and not dues.crowds("nobody", 8, 1.5)
    alone = ClientLimiter(1e6, 1e6)
    for _ in range(100):
        alone.take(1, "one")
        alone.opened("one")
    assert not alone.crowds("one", 8, 1.5)


def test_a_ceiling_holds_over_time_and_tells_how_long_to_pause() -> None:
    ceiling, now, had = TimeCeiling(0.25), 0, 0
    while now < 10 * SECOND:
        if wait := ceiling.wait(now):
            now += wait
            continue
        now += 3 * MS
        had += 3 * MS
        ceiling.charge(now, 3 * MS)
    assert 0.24 <= had / now <= 0.27
    assert TimeCeiling(1.0).wait(0) == 0


def test_time_outside_of_turns_is_charged_only_while_others_wait_and_rounds_pay_it_off() -> None:
    turns = DeficitRoundRobin(MS)
    turns.set_weights({"a": 1.0, "b": 1.0})
    turns.charge(0, "a", 50 * MS)
    assert "a" not in turns.credit  # nobody waited
    turns.enqueue(0, "b")
    turns.charge(0, "a", 5 * MS)
    turns.enqueue(0, "a")
    order = []
    for n in range(14):
        who = turns.next_turn()
        assert who is not None
        order.append(who)
        turns.end_turn(n * MS, who, MS, more=True)
    assert order[:5] == ["b"] * 5 and order.count("a") >= 4
    turns.end_turn(0, "a", 0, more=False)
    turns.charge(0, "a", 3 * MS)
    for n in range(10):
        who = turns.next_turn()
        assert who == "b"
        turns.end_turn(n, who, MS, more=True)
    assert "a" not in turns.idle_debt_since  # rounds of the other have paid for it


def test_room_that_others_left_is_lent_and_what_is_there_counts_whatever_the_parts_say() -> None:
    lent = SharedCapacity(100, {"a": Allocation(20, 80), "b": Allocation(30, 100)})
    assert (lent.current_limit("a"), lent.current_limit("b"), lent.current_limit("nobody")) == (80, 100, 0)
    lent.adjust("a", 75)
    assert lent.current_limit("b") == 30 and lent.current_limit("a") == 80  # b's own part, and a's most with 25 left
    lent.adjust("b", 30)
    assert lent.reclaimable() == [("a", 5)]
    lent.adjust("a", -200)
    assert lent.total_used == 30


# ---- machines that several tenants name ----


ENDPOINT, OTHER = Endpoint("10.0.0.1", 80), Endpoint("10.0.0.2", 80)


def entry(endpoint: Endpoint = ENDPOINT, status: m.HostStatus = m.HostStatus.READY, started_at: int = 0) -> ListEntry:
    return ListEntry(endpoint, status, started_at)


def test_one_machine_of_two_tenants_has_one_budget_one_start_and_one_drain() -> None:
    table = SharedHostTable({"a": 1.0, "b": 3.0})
    assert table.update_list(0, "a", {"x": entry()}) == {"a"}
    assert table.views(0, "a")["x"].cold_fraction == 1.0 and not table.views(0, "a")["x"].shared
    assert table.update_list(0, "b", {"y": entry(started_at=50), "z": entry(OTHER)}) == {"a", "b"}
    a, b = table.views(0, "a")["x"], table.views(0, "b")["y"]
    assert (a.cold_fraction, b.cold_fraction, a.started_at, a.shared) == (0.25, 0.75, 50, True) and table.views(0, "b")[
        "z"
    ].cold_fraction == 1.0
    assert table.update_list(0, "b", {"y": entry(status=m.HostStatus.DRAINING, started_at=50), "z": entry(OTHER)}) == {
        "a",
        "b",
    }
    assert table.views(0, "a")["x"].status is m.HostStatus.DRAINING
    assert table.remove_tenant(0, "b") == {"a"}
    assert table.views(0, "a")["x"] == replace(a, cold_fraction=1.0, started_at=0, shared=False)
    assert table.remove_tenant(0, "a") == set() and not table.hosts and not table.lists


def test_a_machine_that_one_tenants_source_calls_gone_gets_nothing_of_another() -> None:
    table = SharedHostTable()
    table.update_list(0, "a", {"x": entry()})
    table.update_list(0, "b", {"y": entry()})
    assert table.update_list(5, "a", {}, [ENDPOINT]) == {"a", "b"}
    assert table.views(5, "b")["y"].status is m.HostStatus.DRAINING
    assert (
        table.expire(5 + GONE_RETENTION_NS) == {"b"}
        and table.views(5 + GONE_RETENTION_NS, "b")["y"].status is m.HostStatus.READY
    )
    table.update_list(9, "a", {"x": entry()})
    table.update_list(9, "a", {}, [ENDPOINT])
    table.update_list(9, "b", {"y": entry(started_at=7)})  # another start of it: that is another machine
    assert table.views(9, "b")["y"].status is m.HostStatus.READY


def test_a_machine_that_answers_nobody_rests_for_all_and_one_that_answers_any_does_not() -> None:
    table = SharedHostTable()
    table.update_list(0, "a", {"x": entry()})
    assert not any(
        table.hop_ended(n, ENDPOINT, m.HopOutcome.RESET) for n in range(20)
    )  # one tenant's own judges its health
    table.update_list(0, "b", {"y": entry()})
    for n in range(FAILURES_TO_EJECT - 1):
        assert not table.hop_ended(n, ENDPOINT, m.HopOutcome.TIMED_OUT)
    assert not table.hop_ended(5, ENDPOINT, m.HopOutcome.DONE)
    for n in range(FAILURES_TO_EJECT - 1):
        assert not table.hop_ended(
            n, ENDPOINT, (m.HopOutcome.RESET, m.HopOutcome.UNREACHABLE, m.HopOutcome.TIMED_OUT)[n]
        )
    assert table.hop_ended(10, ENDPOINT, m.HopOutcome.CANCELLED) == set()
    assert table.hop_ended(10, ENDPOINT, m.HopOutcome.RESET) == {"a", "b"}
    assert table.views(11, "a")["x"].status is table.views(11, "b")["y"].status is m.HostStatus.DRAINING
    assert table.expire(SECOND) == set() and table.expire(SECOND + 10) == {"a", "b"}
    assert table.views(SECOND + 10, "a")["x"].status is m.HostStatus.READY
    table.hop_ended(SECOND + 20, ENDPOINT, m.HopOutcome.RESET)
    assert table.hop_ended(SECOND + 30, ENDPOINT, m.HopOutcome.RESET) == {
        "a",
        "b",
    }  # sooner after a rest, and for longer
    assert table.expire(3 * SECOND) == set() and table.expire(3 * SECOND + 30) == {"a", "b"}
    assert table.hop_ended(0, OTHER, m.HopOutcome.RESET) == set()


# ---- documents ----


TOLD = document("sur", "127.0.0.1:7001", ("10.0.0.1:80", "[::1]:81"), shares=[{"name": "s", "txs_a_second": 2}])


def test_a_tenant_goes_through_its_document_and_back_unchanged() -> None:
    one = tenant_from_document(convert_document(TenantDocument, TOLD))
    again = tenant_from_document(decode_document(TenantDocument, msgspec.json.encode(tenant_to_document(one))))
    assert again == one and one.servers[1].endpoint == Endpoint("::1", 81)
    assert to_json_value(tenant_to_document(one))["limits"]["cpu"] == {"least": 0.1, "most": 0.8}


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"servers": [{"name": "x", "place": "somewhere"}]}, "servers[0].place"),
        ({"servers": [{"name": "x", "place": "1.2.3.4:99999"}]}, "servers[0].place.port"),
        ({"servers": [{"name": "x", "place": "1.2.3.4:9", "speed": 3}]}, "servers[0]"),
        ({"source": "nowhere"}, "source"),
        ({"source": "127.0.0.1:80"}, "servers"),
        ({"limits": {"cpu": {"least": 0.9, "most": 0.1}}}, "limits.cpu"),
        ({"limits": {"txs_a_second": "many"}}, "limits.txs_a_second"),
        ({"profiles": []}, "profiles"),
        ({"listeners": ["localhost:80"]}, "listeners[0]"),
        ({"name": "Sur"}, "name"),
    ],
)
def test_what_is_no_tenant_names_its_field(change: dict[str, Any], field: str) -> None:
    with pytest.raises(InvalidField) as fault:
        tenant_from_document(convert_document(TenantDocument, TOLD | change))
    assert fault.value.field == field


DEEP = b'{"a":' * 1000 + b"1" + b"}" * 1000


@pytest.mark.parametrize("body", [b"", b"{", b"\xff\xfe", b"[" * 100_000, DEEP, b"null"])
def test_what_can_not_be_read_is_unfit_and_nothing_worse(body: bytes) -> None:
    with pytest.raises(InvalidField):
        decode_document(TenantDocument, body)


# ---- keys and calls ----


NOW = 1_800_000_000 * SECOND
OPERATOR = keys.generate_token("", "main")
ADMINISTRATOR, READER, OLD = (keys.generate_token("sur", name) for name in ("admin", "reader", "old"))
OPERATORS = (ApiKey("main", keys.digest_of(OPERATOR), Scope.OPERATOR, 0),)


LITTLE = Guarantee(0.01, 1.0)
SMALL = replace(LIMITS, cpu=LITTLE, sockets=LITTLE, memory=LITTLE)


def world() -> tuple[Api, Registry]:
    its = (
        ApiKey("admin", keys.digest_of(ADMINISTRATOR), Scope.ADMINISTRATOR, 0),
        ApiKey("reader", keys.digest_of(READER), Scope.READER, 0),
        ApiKey("old", keys.digest_of(OLD), Scope.ADMINISTRATOR, 0, NOW),
    )
    return Api(OPERATORS), registry_of(tenant("sur", 1, keys=its), tenant("norte", 2))


def handled(method: str, path: str, token: str = OPERATOR, body: Any = None, **headers: str) -> Any:
    api, registry = world()
    told = {"authorization": f"Bearer {token}"} | {name.replace("_", "-"): value for name, value in headers.items()}
    path, _, query = path.partition("?")
    pairs = dict(pair.split("=", 1) for pair in query.split("&")) if query else {}
    return api.handle(
        Call(method, path, pairs, told, json.dumps(body).encode() if body is not None else b""), registry, NOW
    )


@pytest.mark.parametrize(
    ("token", "status"),
    [
        (OLD, 401),
        ("", 401),
        (OPERATOR[:-1] + ("A" if OPERATOR[-1] != "A" else "B"), 401),
        (OPERATOR + "x", 401),
        (OPERATOR.replace("tq1.-", "tq1.sur"), 401),
        (ADMINISTRATOR.replace("sur", "norte"), 401),
        (ADMINISTRATOR.replace("admin", "reader"), 401),
        ("tq1.nobody.x." + "A" * 43, 401),
        ("\u00e9" * 60, 401),
        (READER, 200),
        (ADMINISTRATOR, 200),
        (OPERATOR, 200),
    ],
    ids=[
        "over",
        "none",
        "altered",
        "longer",
        "another's",
        "another tenant's",
        "another name's",
        "nobody's",
        "not ascii",
        "reader",
        "administrator",
        "operator",
    ],
)
def test_only_a_whole_and_valid_token_lets_in(token: str, status: int) -> None:
    assert handled("GET", "/v1/tenants/sur", token).status == status


@pytest.mark.parametrize("route", ROUTES, ids=lambda route: route.name)
def test_nobody_reaches_another_tenant_nor_more_than_its_scope_allows(route: Any) -> None:
    path = route.path.replace("{server}", "one").replace("{key}", "main").replace("{member}", "b")
    foreign = path.replace("{tenant}", "norte")
    for token in (READER, ADMINISTRATOR):
        if "{tenant}" in path:
            assert handled(route.method, foreign, token, {}, if_match="*").status == 403
            assert handled(route.method, foreign.replace("norte", "nobody"), token, {}, if_match="*").status == 403
    own = path.replace("{tenant}", "sur")
    below = {Scope.OPERATOR: (READER, ADMINISTRATOR), Scope.ADMINISTRATOR: (READER,), Scope.READER: ()}[route.scope]
    for token in below:
        assert handled(route.method, own, token, {}, if_match="*").status == 403
    assert handled(route.method, own, "nonsense", {}).status == 401


@pytest.mark.parametrize(
    "path",
    [
        "",
        "/",
        "//v1/tenants",
        "/v1/tenants/",
        "/v1/../v1/tenants",
        "/v1/tenants/%73ur",
        "/v1/tenants/sur%00",
        "/v1/tenants/sur/../norte",
        "/v1/tenants/SUR",
        "/v1/tenants/sur;x",
        "/v1/tenants/" + "a" * 400,
        "/v2/tenants",
        "/v1/tenants/sur/keys/x/y/z",
        "*",
    ],
)
def test_odd_paths_lead_nowhere(path: str) -> None:
    assert handled("GET", path).status == 404


def test_a_method_that_a_path_has_not_is_told_which_it_has() -> None:
    found = handled("PATCH", "/v1/tenants/sur")
    assert found.status == 405 and found.headers["allow"] == "GET, PUT, DELETE"


def test_a_change_wants_the_version_that_it_is_meant_for() -> None:
    path, body = "/v1/tenants/sur/limits", to_json_value(tenant_to_document(tenant("sur")))["limits"]
    assert handled("PUT", path, body=body).status == 428
    stale = handled("PUT", path, body=body, if_match='"99"')
    assert stale.status == 412 and stale.headers["etag"] == '"1"'
    assert handled("PUT", path, body=body, if_match="yesterday").status == 400
    for told in ('"1"', "*", '"7", "1"'):
        assert isinstance(handled("PUT", path, body=body, if_match=told), Proposal)


def test_a_page_ends_where_the_next_begins() -> None:
    api, registry = Api(OPERATORS), Registry()
    for n in range(7):
        registry = registry.with_change(CreateTenant(tenant(f"t{n}", n, keys=(), limits=SMALL)))
    seen: list[str] = []
    query: dict[str, str] = {"limit": "3"}
    while True:
        told = Call("GET", "/v1/tenants", query, {"authorization": f"Bearer {OPERATOR}"})
        found = api.handle(told, registry, NOW)
        assert isinstance(found, Reply)
        seen += [one["tenant"]["name"] for one in found.body["tenants"]]
        if "next" not in found.body:
            break
        query = {"limit": "3", "cursor": found.body["next"]}
    assert seen == [f"t{n}" for n in range(7)]
    for wrong in ("cursor=%%%", "limit=x"):
        assert handled("GET", f"/v1/tenants?{wrong}").status == 400
    mine = handled("GET", "/v1/tenants", READER).body["tenants"]
    assert [one["tenant"]["name"] for one in mine] == ["sur"]  # of the others it does not even learn the names
    look = handled("GET", "/v1/changes?after=3&wait_s=999", READER)
    assert look == Query("changes", 3, 50, 60 * SECOND, "sur")


def test_a_cache_host_that_a_change_adds_is_cold_from_then_on_and_a_known_one_keeps_its_start() -> None:
    body = {
        "servers": [
            {"name": "one", "place": "127.0.1.1:11211"},
            {"name": "new", "place": "10.9.9.9:1"},
            {"name": "old", "place": "10.9.9.8:1", "started_ms": 5},
        ]
    }
    found = handled("PUT", "/v1/tenants/sur/servers", ADMINISTRATOR, body, if_match="*")
    assert [server.started for server in found.change.servers] == [0, NOW, 5 * MS]


def test_keys_are_shown_once_and_a_rotation_lets_the_old_one_go_on_for_the_overlap() -> None:
    found = handled("POST", "/v1/tenants/sur/keys/admin/rotate", ADMINISTRATOR, {"name": "admin-2", "overlap_s": 60})
    api, registry = world()
    after = registry.with_change(found.change)
    reply = found.reply(after)
    token = reply.body["token"]
    kept = {key.name: key for key in after.tenants["sur"].tenant.keys}
    assert token not in repr(kept) and kept["admin-2"].digest == keys.digest_of(token)
    assert kept["admin"].until == NOW + 60 * SECOND and kept["admin-2"].scope is Scope.ADMINISTRATOR
    assert "old" not in kept  # what has expired makes room
    assert keys.authenticate(token, after, OPERATORS, NOW).key == "admin-2"
    assert keys.authenticate(ADMINISTRATOR, after, OPERATORS, NOW + 59 * SECOND).key == "admin"
    with pytest.raises(keys.AccessDenied):
        keys.authenticate(ADMINISTRATOR, after, OPERATORS, NOW + 60 * SECOND)
    assert "digest" not in json.dumps(handled("GET", "/v1/tenants/sur/keys", ADMINISTRATOR).body)


def test_the_description_has_each_route_and_each_reference_leads_somewhere() -> None:
    told = description()
    assert {(path, method.upper()) for path, methods in told["paths"].items() for method in methods} == {
        (route.path, route.method) for route in ROUTES
    }
    text = json.dumps(told)
    for part in text.split('"#/components/schemas/')[1:]:
        assert part.partition('"')[0] in told["components"]["schemas"]
    assert told["components"]["schemas"]["TenantDocument"]["required"] == ["name", "listeners", "profiles"]
    for route in ROUTES:
        operation = told["paths"][route.path][route.method.lower()]
        assert ("requestBody" in operation) == (route.body_type is not None)
        assert (len(operation["operationId"]), str(route.status) in operation["responses"]) > (0, False)


def test_a_plan_shows_what_differs_and_nothing_where_nothing_does() -> None:
    file = convert_document(TenantDocument, TOLD)
    there = [{"version": 4, "state": "active", "tenant": to_json_value(tenant_to_document(tenant_from_document(file)))}]
    assert plan_steps([(file, "active")], there) == []
    there[0]["tenant"]["servers"][0]["started_ms"] = 77  # stamped by the API; the file does not tell of it
    there[0]["tenant"]["limits"]["burst"] = 3
    steps = plan_steps([(file, "suspended")], there)
    assert [(s.kind, s.version, s.lines) for s in steps] == [
        ("replace", 4, ("limits.burst: 3 -> 500",)),
        ("state", -1, ("state: active -> suspended",)),
    ]
    other = there[0] | {"tenant": there[0]["tenant"] | {"name": "norte"}}
    steps = plan_steps([(file, "active")], [other], remove=True)
    assert [(s.kind, s.tenant) for s in steps] == [("end", "norte"), ("make", "sur")]


# ---- the shared loop ----


class Time:
    """A reactor's clock and calls, in turns of which each takes what is due at its begin; and works that take time."""

    def __init__(self) -> None:
        self.at = 0
        self.calls: list[tuple[int, Any, tuple[Any, ...]]] = []
        self.loop_timing = LoopTiming(SECOND)
        self.scheduler = FairScheduler(self, self.now, self.loop_timing)
        self.had: dict[str, int] = {}

    def now(self) -> int:
        return self.at

    def callLater(self, delay: float, what: Any, *terms: Any) -> int:
        self.calls.append((self.at + int(delay * SECOND), what, terms))
        return len(self.calls)

    def run(self, turns: int, pause: int = 0) -> None:
        for _ in range(turns):
            self.at += pause
            self.loop_timing.begins(self.at)
            due = [call for call in self.calls if call[0] <= self.at]
            self.calls = [call for call in self.calls if call[0] > self.at]
            for _, what, terms in due:
                what(*terms)


class Endless:
    """Something that always has more to be read, so many nanoseconds a piece."""

    def __init__(self, time: Time, name: str, took: int, most: int = 1 << 30) -> None:
        self.time, self.name, self.took, self.most = time, name, took, most

    def run_piece(self) -> bool:
        self.time.at += self.took
        self.time.had[self.name] = self.time.had.get(self.name, 0) + self.took
        self.most -= 1
        return self.most > 0


def test_tenants_that_flood_share_the_loop_by_weight_and_clients_of_one_evenly() -> None:
    time = Time()
    time.scheduler.set_shares({"a": (1.0, 1.0), "b": (3.0, 1.0)})
    for _ in range(50):  # one client with fifty connections, and one with one
        time.scheduler.enqueue("a", "many", Endless(time, "many", MS // 2))
    time.scheduler.enqueue("a", "few", Endless(time, "few", 2 * MS))
    time.scheduler.enqueue("b", "x", Endless(time, "b", MS))
    time.run(2000)
    whole = sum(time.had.values())
    assert abs(time.had["b"] / whole - 0.75) < 0.02
    assert abs(time.had["few"] / (time.had["many"] + time.had["few"]) - 0.5) < 0.03


def test_one_that_comes_now_and_then_is_read_before_the_floods_next_pieces() -> None:
    time = Time()
    time.scheduler.set_shares({"flood": (1.0, 1.0), "calm": (1.0, 1.0)})
    for _ in range(20):
        time.scheduler.enqueue("flood", "f", Endless(time, "flood", 3 * MS))
    time.run(50)
    waits = []
    for _ in range(30):
        assert not time.scheduler.may_run_now("calm")  # as others wait, it waits for its turn too
        began, before = time.now(), time.had.get("calm", 0)
        time.scheduler.enqueue("calm", "c", Endless(time, "calm", MS, most=1))
        while time.had.get("calm", 0) == before:
            time.run(1)
        waits.append(time.now() - began)
        time.run(10)
    assert max(waits) <= 8 * MS


@pytest.mark.parametrize("at_once", [True, False])
def test_a_process_that_was_stopped_in_a_tenants_turn_charges_it_for_no_more_than_a_step(at_once: bool) -> None:
    """0.8 s in which nothing ran were charged to whoever's turn it was, which then sat out 0.75 s."""
    time = Time()
    time.scheduler.set_shares({"a": (1.0, 0.9), "b": (1.0, 0.9)})

    def stopped() -> bool:
        time.at += 800 * MS
        return False

    if at_once:
        time.scheduler.run_charged("a", stopped)
    else:
        work = Endless(time, "a", MS)
        work.run_piece = stopped  # type: ignore[method-assign]
        time.scheduler.enqueue("a", "x", work)
        time.run(1)
    time.run(1, 40 * MS)
    assert time.scheduler.may_run_now("a")


def test_a_tenant_at_its_ceiling_pauses_and_what_it_costs_elsewhere_counts() -> None:
    time = Time()
    time.scheduler.set_shares({"a": (1.0, 0.2)})
    assert time.scheduler.may_run_now("a")
    time.scheduler.enqueue("a", "x", Endless(time, "a", MS))
    began = time.now()
    time.run(3000, MS)
    part = time.had["a"] / (time.now() - began)
    assert 0.17 <= part <= 0.22
    time.scheduler.charge("a", SECOND)
    assert not time.scheduler.may_run_now("a") and time.scheduler.queues["a"].total_ns >= SECOND
    before = time.had["a"]
    time.run(10)
    assert time.had["a"] - before <= 2 * MS


def test_what_is_dropped_while_it_waits_is_not_read_and_a_tenant_that_is_gone_leaves_nothing() -> None:
    time = Time()
    time.scheduler.set_shares({"a": (1.0, 1.0), "b": (1.0, 1.0)})
    work = Endless(time, "dropped", MS)
    time.scheduler.enqueue("a", "x", work)
    time.scheduler.remove("a", "x", work)
    time.scheduler.remove("a", "x", work)
    time.scheduler.enqueue("b", "y", Endless(time, "b", MS, most=2))
    time.run(20)
    assert time.had == {"b": 2 * MS} and not time.scheduler.round_robin.waiting
    time.scheduler.enqueue("b", "y", Endless(time, "gone", MS))
    time.scheduler.set_shares({"a": (1.0, 1.0)})
    time.scheduler.enqueue("b", "y", Endless(time, "gone", MS))
    time.scheduler.charge("b", MS)
    time.run(20)
    assert "gone" not in time.had and set(time.scheduler.queues) == {"a"} and not time.scheduler.may_run_now("b")


def test_a_work_that_drops_the_others_beside_it_goes_on_alone() -> None:
    time = Time()
    time.scheduler.set_shares({"a": (1.0, 1.0)})
    other = Endless(time, "other", MS)

    class Dropping(Endless):
        def run_piece(self) -> bool:
            time.scheduler.remove("a", "x", other)
            return super().run_piece()

    time.scheduler.enqueue("a", "x", Dropping(time, "it", MS, most=5))
    time.scheduler.enqueue("a", "x", other)
    time.run(20)
    assert time.had == {"it": 5 * MS} and not time.scheduler.queues["a"].work_by_client


# ---- a part of a cold host's budget ----


def test_tenants_that_share_a_cold_host_send_it_together_what_one_might() -> None:
    def sent(part: float) -> int:
        balancer = Balancer(replace(CONFIG, balancer_count=1, overload_window=10 * SECOND, warm_up_time=100 * SECOND))
        balancer.rate_per_weight = 20.0
        line = m.ListedHost(0, "a", 0, 0, 0, m.HostStatus.READY, 1.0, T0 - 1, part)
        balancer.decide(T0, m.ListChanged(True, (line,)))
        hops = 0
        for n in range(200):
            for action in balancer.decide(T0 + n * MS, m.TxArrived(n, 0, -1, f"k{n}", 900 * MS, False, False)):
                if isinstance(action, m.SendHop):
                    hops += 1
                    balancer.decide(T0 + n * MS, m.HopEnded(n, 0, m.HopOutcome.DONE, MS, True, 1))
        return hops

    alone, quarter = sent(1.0), sent(0.25)
    assert alone >= 40 and quarter <= alone // 4 + 1 and quarter > 0


def test_other_figures_are_for_what_comes_and_what_is_open_ends_by_those_it_was_taken_with() -> None:
    balancer = Balancer(CONFIG)
    balancer.decide(
        T0, m.ListChanged(True, tuple(m.ListedHost(n, f"h{n}", 0, 0, 0, m.HostStatus.READY, 1.0, 0) for n in range(3)))
    )
    sends = [
        a for a in balancer.decide(T0, m.TxArrived(1, 2, -1, "k", 900 * MS, False, True)) if isinstance(a, m.SendHop)
    ]
    assert len(sends) == 1  # a non-idempotent one is out
    balancer.decide(T0 + MS, replace(CONFIG, profiles=(CONFIG.profiles[0],), quotas=()))
    actions = balancer.decide(T0 + 2 * MS, m.HopEnded(1, 0, m.HopOutcome.RESET, MS, False, 0))
    assert any(isinstance(a, m.Abandon) for a in actions) and not any(isinstance(a, m.SendHop) for a in actions)
    again = balancer.decide(T0 + 3 * MS, m.TxArrived(2, 0, 0, "k", 900 * MS, False, False))
    assert any(isinstance(a, m.SendHop) for a in again)
