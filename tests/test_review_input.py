"""Invalid input at a start and while serving: one line names the field, and the state in force is unchanged."""

import json
import subprocess
import sys
from pathlib import Path
from signal import SIGHUP
from typing import Any

import orjson
import pytest
from loguru import logger
from typer.testing import CliRunner

from ternquay import model as m
from ternquay.cli import app
from ternquay.net.config import ConfigError, read_config
from ternquay.net.discovery import Discovery
from ternquay.net.listing import Address, FieldError, parse_list
from ternquay.net.serve import Service
from ternquay.net.start_times import StartTimes
from tests.helper import FACTS, Net, Scenario, listed_host, member
from tests.test_net import BASE_CONFIG, FakeAgent, FakeResponse, mg, va

ROOT = Path(__file__).parents[1]


def settings(**changed: Any) -> dict[str, Any]:
    return {"settings": FACTS | changed}


def profile(**changed: Any) -> dict[str, Any]:
    return settings(Profiles=[FACTS["Profiles"][0] | changed])


def known(*members: dict[str, Any], **changed: Any) -> dict[str, Any]:
    return {"known": {"revision": 1, "complete": True, "members": list(members)} | changed}


INVALID_SETTINGS: list[tuple[dict[str, Any], str]] = [
    (settings(Balancers=0), "settings: Balancers"),
    (settings(Balancers=-2), "settings: Balancers"),
    (settings(Balancers="2"), "settings: Balancers"),
    (settings(MyNumber=-1), "settings: MyNumber"),
    (settings(Profiles=[]), "settings: Profiles"),
    (profile(HardLimit=0), "settings: Profiles[0].HardLimit"),
    (profile(HardLimit=1e300), "settings: Profiles[0].HardLimit"),
    (profile(ServiceGoal=-5), "Profiles[0].ServiceGoal"),
    (profile(Semantics="often"), "settings: Profiles[0].Semantics"),
    (profile(Name=7), "settings: Profiles[0].Name"),
    (profile(OverdueRevenue="x"), "settings: Profiles[0].OverdueRevenue"),
    (settings(Profiles=[FACTS["Profiles"][0]] * 2), "settings: Profiles[1].Name"),
    (settings(Invariants=FACTS["Invariants"] | {"ColdShare": "x"}), "settings: Invariants.ColdShare"),
    (settings(Invariants=FACTS["Invariants"] | {"ColdShare": 1.5}), "settings: Invariants.ColdShare"),
    (settings(Invariants=FACTS["Invariants"] | {"Fall": -1}), "settings: Invariants.Fall"),
    (settings(Limits=FACTS["Limits"] | {"MostHops": 0}), "settings: Limits.MostHops"),
    (settings(Limits=FACTS["Limits"] | {"ConnIdle": 10**30}), "settings: Limits.ConnIdle"),
    (settings(Tenants=[{"Name": "t", "QuotaPerS": -1}]), "settings: Tenants[0].QuotaPerS"),
    (settings(Weights="heavy"), "settings: Weights"),
    (settings(Zone="nowhere"), "settings: Zone"),
    (settings(LoadReport={"Source": "gossip"}), "settings: LoadReport.Source"),
    (settings(LoadReport={"Source": "answers", "Names": ["a", "a"]}), "settings: LoadReport.Names"),
    (settings(Prices={"CrossZone": -1}), "settings: Prices.CrossZone"),
    (settings(Goal={"TailSlack": 2}), "settings: Goal.TailSlack"),
    ({"listen": "127.0.0.1:\u00b2"}, "listen"),
    ({"listen": "127.0.0.1:" + "9" * 5000}, "listen"),
    ({"listen": "a\0b:80"}, "listen"),
    ({"discovery": "somewhere.test:80"}, "discovery"),
    ({"limits": {"memory_mb": 96, "sockets": 10**400}}, "EDGE_CONFIG"),
]
INVALID_LISTS: list[tuple[dict[str, Any], str]] = [
    (known(member(1), member(2) | {"id": "h1"}), "known.members[1].id"),
    (known(member(1) | {"id": ""}), "known.members[0].id"),
    (known(member(1) | {"id": None}), "known.members[0].id"),
    (known(member(1, "odd")), "known.members[0].phase"),
    (known(member(1) | {"phase": []}), "known.members[0].phase"),
    (known(member(1) | {"size": -1.0}), "known.members[0].size"),
    (known(member(1) | {"size": 1e300}), "known.members[0].size"),
    (known(member(1) | {"size": "x"}), "known.members[0].size"),
    (known(member(1) | {"cell": 1e300}), "known.members[0].cell"),
    (known(member(1) | {"up_since_ms": 1e308}), "known.members[0].up_since_ms"),
    (known(member(1) | {"up_since_ms": -1}), "known.members[0].up_since_ms"),
    (known(member(1) | {"host_port": "10.0.0.1:\u00b2"}), "known.members[0].host_port"),
    (known(member(1) | {"host_port": "a.name:80"}), "known.members[0].host_port"),
    (known(5), "known.members[0]"),  # type: ignore[arg-type]
    (known(revision=-1), "known.revision"),
    (known(revision=1e300), "known.revision"),
    (known(complete="false"), "known.complete"),
    (known(members={}), "known.members"),
]


@pytest.mark.parametrize(("change", "named"), INVALID_SETTINGS + INVALID_LISTS)
def test_a_start_with_an_invalid_field_names_it_in_one_line(tmp_path: Path, change: dict[str, Any], named: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(BASE_CONFIG | change))
    result = CliRunner().invoke(app, ["check", "--config", str(path)])
    assert result.exit_code == 2 and result.output.count("\n") == 1, (result.output, result.exception)
    assert named in result.output and len(result.output) < 400


def test_a_start_with_a_truncated_file_ends_with_status_2(tmp_path: Path) -> None:
    path, whole = tmp_path / "config.json", orjson.dumps(BASE_CONFIG)
    for cut in range(len(whole)):
        path.write_bytes(whole[:cut])
        with pytest.raises(ConfigError) as error:
            read_config(str(path), {})
        assert str(error.value).startswith("EDGE_CONFIG: ") and "\n" not in str(error.value)
    path.write_bytes(whole[:-9])
    done = subprocess.run(
        [sys.executable, "-m", "ternquay", "serve", "--config", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and "EDGE_CONFIG" in done.stderr


def started(net: Net, path: Path, monkeypatch: pytest.MonkeyPatch) -> tuple[Service, FakeAgent]:
    """Starts a service on the reactor of `net`. The test answers the calls to discovery."""
    agent = FakeAgent(net)
    monkeypatch.setattr("ternquay.net.discovery.Agent", agent)
    path.write_bytes(orjson.dumps(BASE_CONFIG))
    service = Service(net.reactor, read_config(str(path), {}))
    net.frontend, net.dispatcher = service.frontend, service.dispatcher
    service.begin()
    return service, agent


def test_a_reload_of_an_invalid_file_changes_nothing_and_open_requests_are_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    net, path, lines = Net(), tmp_path / "config.json", []
    service, agent = started(net, path, monkeypatch)
    handler = logger.add(lambda text: lines.append(str(text)), format="{level} {message}")
    client, whole = net.client(), orjson.dumps(BASE_CONFIG | {"discovery": "127.0.0.1:8600"})
    bad = [whole[:cut] for cut in range(0, len(whole), 7)]
    bad += [json.dumps(BASE_CONFIG | change).encode() for change, _ in INVALID_SETTINGS]
    # The clock stands still, so each reload takes place while a transaction is open.
    for n, content in enumerate(bad):
        client.feed(mg(n))
        host = net.wires[-1] if not net.reactor.tcpClients else net.accept()
        path.write_bytes(content)
        service.signals()[SIGHUP]()
        host.feed(va(n))
    logger.remove(handler)
    assert service.config.discovery == Address("127.0.0.1", 8500) and len(agent.calls) == 1
    kept = [text for text in lines if "the old configuration is kept" in text]
    assert len(kept) == len(bad) and all(text.count("\n") == 1 for text in kept), len(kept)
    answers = [one for one in net.trace if "client 0 < b'VA" in one]
    assert len(answers) == len(bad) and not service.dispatcher.open_txs


def test_reloads_with_a_discovery_that_never_answers_keep_the_host_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    net, path = Net(), tmp_path / "config.json"
    service, agent = started(net, path, monkeypatch)
    path.write_bytes(orjson.dumps(BASE_CONFIG | {"discovery": "127.0.0.1:8600"}))
    service.reload()
    service.reload()
    assert len(agent.calls) == 2
    client = net.client()
    client.feed(mg(1))
    net.accept().feed(va(1))
    net.run(30_000)
    assert "client 0 < b'VA 3 O1" in "".join(net.trace) and len(service.pool.hosts) == 1
    assert 4 <= len(agent.calls) <= 12  # it keeps calling the new address at growing intervals
    service.end()
    path.write_bytes(orjson.dumps(BASE_CONFIG))
    service.reload()
    assert service.config.discovery.port == 8600


# ---- lists while serving ----


def followed(net: Net, monkeypatch: pytest.MonkeyPatch) -> tuple[Discovery, FakeAgent]:
    agent = FakeAgent(net)
    monkeypatch.setattr("ternquay.net.discovery.Agent", agent)
    watch = Discovery(net.reactor, net.dispatcher, net.limits, Address("127.0.0.1", 8500), StartTimes(lambda: 0))
    net.dispatcher.request_list = watch.watch
    watch.watch()
    return watch, agent


def list_response(revision: int, *members: Any, complete: Any = True) -> FakeResponse:
    return FakeResponse(
        200, json.dumps({"revision": revision, "complete": complete, "members": list(members)}).encode()
    )


def run_until_called(net: Net, agent: FakeAgent, count: int) -> None:
    for _ in range(200):
        if len(agent.calls) >= count:
            return
        net.run(50)
    raise AssertionError(f"called {len(agent.calls)} times")


@pytest.mark.parametrize(("change", "named"), INVALID_LISTS)
def test_an_invalid_list_is_logged_changes_nothing_and_is_superseded_by_the_next(
    monkeypatch: pytest.MonkeyPatch, change: dict[str, Any], named: str
) -> None:
    net, lines = Net(), []
    handler = logger.add(lambda text: lines.append(str(text)), format="{level} {message}")
    _, agent = followed(net, monkeypatch)
    agent.calls[0].callback(list_response(5, member(1), member(2)))
    client = net.client()
    client.feed(mg(1))
    before = dict(net.dispatcher.host_indices)
    agent.calls[1].callback(FakeResponse(200, json.dumps(change["known"]).encode()))
    net.accept().feed(va(1))
    logger.remove(handler)
    assert net.dispatcher.host_indices == before and "client 0 < b'VA 3 O1" in "".join(net.trace)
    assert sum(named.replace("known.", "") in text for text in lines) == 1, lines
    run_until_called(net, agent, 3)
    asked = [one for one in net.trace if " GET " in one]
    assert asked[-1].endswith("/api/targets")  # a request for the complete list, as changes may be lost
    agent.calls[2].callback(list_response(7, member(3)))
    assert set(net.dispatcher.host_indices) == {"h3"}


def test_an_older_revision_is_rejected_but_accepted_in_a_new_complete_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    net = Net()
    watch, agent = followed(net, monkeypatch)
    agent.calls[0].callback(list_response(9, member(1), member(2)))
    agent.calls[1].callback(list_response(4, member(1, "draining"), complete=False))
    assert (
        watch.revision == -1
        and net.dispatcher.balancer.hosts[net.dispatcher.host_indices["h1"]].status is m.HostStatus.READY
    )
    run_until_called(net, agent, 3)
    agent.calls[2].callback(list_response(4, member(1, "draining"), member(2)))
    assert watch.revision == 4
    assert net.dispatcher.balancer.hosts[net.dispatcher.host_indices["h1"]].status is m.HostStatus.DRAINING


@pytest.mark.parametrize("stays", [True, False])
def test_a_list_that_could_not_be_applied_is_requested_again(monkeypatch: pytest.MonkeyPatch, stays: bool) -> None:
    net = Net()
    watch, agent = followed(net, monkeypatch)
    agent.calls[0].callback(list_response(5, member(1)))
    with monkeypatch.context() as broken:
        broken.setattr(net.pool, "update_host", lambda *_: 1 / 0)
        agent.calls[1].callback(list_response(6, member(2), complete=False))
    run_until_called(net, agent, 3)
    assert not any("index=6" in one for one in net.trace)
    agent.calls[2].callback(list_response(6, member(1), *([member(2)] if stays else [])))
    assert watch.revision == 6
    left = {"h1", "h2"} if stays else {"h1"}
    assert set(net.dispatcher.host_indices) == left and len(net.dispatcher.balancer.hosts) == len(
        net.pool.hosts
    ) == len(left)


def test_an_empty_complete_list_is_applied_and_superseded_by_the_next() -> None:
    net = Net(hosts=2)
    first, client = net.client(), net.client()
    first.feed(mg(1))
    host = net.accept()
    net.list(complete=True)
    client.feed(mg(2))
    client.feed(mg(3, profile="once"))
    assert not net.reactor.tcpClients
    host.feed(va(1))
    asked = [one for one in net.trace if "client 1 <" in one]
    assert len(asked) == 2 and all(int(one.split("busy ")[1].split("\\r")[0]) > 0 for one in asked)
    assert sum("client 0 < b'VA 3 O1" in one for one in net.trace) == 1
    net.list(member(1), member(2), complete=True)
    client.feed(mg(4))
    net.accept().feed(va(4))
    assert "VA 3 O4" in net.trace[-1] and not net.dispatcher.open_txs


def test_a_host_that_was_gone_and_is_listed_again_gets_its_keys_back() -> None:
    """The host returns under the same index. Its record is new, while the order of a group referred to the old one."""
    play = Scenario(hosts=3)
    tx = play.arrive("a")
    home = play.hops[tx][0]
    play.end_hop(tx, m.HopOutcome.DONE)
    play.list(listed_host(home, m.HostStatus.GONE))
    play.list(listed_host(home))
    assert play.hops[play.arrive("a")] == [home]


def test_changed_weights_give_the_same_host_orders_as_a_fresh_start() -> None:
    def weighed(*hints: float) -> tuple[m.ListedHost, ...]:
        return tuple(m.ListedHost(n, f"h{n}", 0, 0, 0, m.HostStatus.READY, hint, 0) for n, hint in enumerate(hints))

    old, new = Scenario(hosts=0, weight_mode=m.WeightMode.STATIC), Scenario(hosts=0, weight_mode=m.WeightMode.STATIC)
    for hints in ((1.0, 1.0, 1.0, 1.0), (4.0, 1.0, 0.5, 1.0)):
        old.list(*weighed(*hints), complete=True)
        for group in range(64):
            old.balancer._host_order(group)
    new.list(*weighed(4.0, 1.0, 0.5, 1.0), complete=True)
    for group in range(64):
        assert [h.index for h in old.balancer._host_order(group)] == [h.index for h in new.balancer._host_order(group)]


def test_counters_stay_consistent_while_ranges_are_replaced_and_the_list_changes() -> None:
    play, out = Scenario(hosts=4), []
    for n in range(1200):
        out.append(play.arrive(f"k{n % 90}"))
        if n % 97 == 0:
            drains = n // 97 % 4
            play.list(
                *(listed_host(h, m.HostStatus.DRAINING if h == drains else m.HostStatus.READY) for h in range(4)),
                complete=True,
            )
        if len(out) > 6:
            play.end_hop(out.pop(0), m.HopOutcome.DONE)
    for tx in out:
        play.end_hop(tx, m.HopOutcome.DONE)
    balancer = play.balancer
    assert not balancer.txs and balancer.in_flight == 0 and all(h.in_flight == 0 for h in balancer.hosts.values())
    counts = sum(r.accesses for r in (*balancer.ranges.values(), *balancer.hot_keys.values()))
    assert counts == len(balancer.window) == sum(balancer.group_loads)


def test_known_copies_are_forgotten_for_hosts_that_are_gone() -> None:
    play = Scenario(hosts=2)
    for n in range(300):
        play.list(listed_host(n), listed_host(n + 1), complete=True)
        play.end_hop(play.arrive("hot"), m.HopOutcome.DONE)
    for _ in range(600):  # past the next placement of ranges
        play.end_hop(play.arrive("hot"), m.HopOutcome.DONE)
    assert all(len(hosts) <= 2 for hosts in play.balancer.known_copies.values())


def test_parse_list_names_an_invalid_field() -> None:
    with pytest.raises(FieldError, match=r"members\[1\]\.host_port"):
        parse_list({"revision": 1, "complete": True, "members": [member(1), member(2) | {"host_port": 3}]}, 0)
