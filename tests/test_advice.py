"""Tests of host lists that wrongly drop hosts, where removal is advisory and where it is binding."""

import json
from pathlib import Path
from typing import Any

import pytest

from ternquay import model as m
from ternquay.balance import FORGET_HOST_AFTER_NS, SECOND
from ternquay.facts import parse_deployment
from ternquay.net.config import ConfigError, read_config
from tests.helper import FACTS, Net, Scenario, listed_host, member
from tests.test_net import mg, va
from tests.test_review_links import balancer_config

ADVISORY = {"gone_is_advisory": True}


def facts_with(value: Any) -> dict[str, Any]:
    return FACTS | {"Invariants": FACTS["Invariants"] | {"GoneIsAdvice": value}}


def test_the_setting_is_a_boolean_in_facts_and_in_the_configuration(tmp_path: Path) -> None:
    assert not parse_deployment(1, FACTS).gone_is_advisory
    assert (
        parse_deployment(1, facts_with(True)).gone_is_advisory
        and not parse_deployment(1, facts_with(False)).gone_is_advisory
    )
    path = tmp_path / "x.json"
    for value in (1, "true", None):
        path.write_text(json.dumps(balancer_config(1, 2, settings=facts_with(value))))
        with pytest.raises(ConfigError, match=r"^settings: Invariants\.GoneIsAdvice: must be true or false"):
            read_config(str(path), {})
    path.write_text(json.dumps(balancer_config(1, 2, settings=facts_with(True))))
    assert read_config(str(path), {}).settings.gone_is_advisory


def hosts_used(scenario: Scenario, txs: int = 40) -> set[int]:
    """The hosts that transactions are sent to now."""
    scenario.hops.clear()
    for number in range(txs):
        tx = scenario.arrive(key=f"k{number}")
        for hop in range(len(scenario.hops.get(tx, []))):
            scenario.end_hop(tx, m.HopOutcome.DONE, hop)
        scenario.run(20)
    return {host for hosts in scenario.hops.values() for host in hosts}


@pytest.mark.parametrize("advisory", [True, False])
@pytest.mark.parametrize("removal", ["called gone", "left out", "empty"])
def test_hosts_that_the_list_drops_are_still_used_where_removal_is_advisory(removal: str, advisory: bool) -> None:
    scenario = Scenario(4, gone_is_advisory=advisory)
    if removal == "called gone":
        scenario.list(listed_host(1, m.HostStatus.GONE), listed_host(2, m.HostStatus.GONE))
    elif removal == "left out":
        scenario.list(listed_host(0), listed_host(3), complete=True)
    else:
        scenario.list(complete=True)
    remaining = set() if removal == "empty" else {0, 3}
    assert hosts_used(scenario) == ({0, 1, 2, 3} if advisory else remaining)
    scenario.list(*(listed_host(h) for h in range(4)), complete=True)
    assert hosts_used(scenario) == {0, 1, 2, 3}


def test_an_observed_drain_is_binding_whatever_later_lists_say() -> None:
    scenario = Scenario(4, **ADVISORY)
    scenario.list(listed_host(2, m.HostStatus.DRAINING))
    assert hosts_used(scenario) == {0, 1, 3}
    for entries in ((listed_host(2, m.HostStatus.GONE),), (listed_host(2),)):  # gone, and an outdated list
        scenario.list(*entries)
        assert hosts_used(scenario) == {0, 1, 3}
    scenario.list(*(listed_host(h) for h in range(4)), complete=True)
    assert hosts_used(scenario) == {0, 1, 3}
    scenario.list(listed_host(2, started_at=scenario.now - SECOND))  # restarted: not the process that drained
    assert scenario.balancer.hosts[2].status is m.HostStatus.READY


def test_where_removal_is_binding_a_host_that_is_up_after_a_drain_is_used_at_once() -> None:
    scenario = Scenario(4)
    scenario.list(listed_host(2, m.HostStatus.DRAINING))
    scenario.list(listed_host(2))
    assert hosts_used(scenario) == {0, 1, 2, 3}


@pytest.mark.parametrize("advisory", [True, False])
def test_a_few_hosts_that_the_list_drops_count_as_gone(advisory: bool) -> None:
    """As many hosts may fail by themselves at once; to keep using them costs more than it gains."""
    scenario = Scenario(6, gone_is_advisory=advisory)
    scenario.list(listed_host(1, m.HostStatus.GONE))
    assert hosts_used(scenario) == {0, 2, 3, 4, 5}
    scenario.list(*(listed_host(h) for h in (0, 2, 3, 4)), complete=True)
    assert hosts_used(scenario) == {0, 2, 3, 4}


def test_a_dropped_host_that_fails_is_ejected_like_any_other() -> None:
    scenario = Scenario(6, **ADVISORY)
    hosts_used(scenario)
    scenario.list(complete=True)
    for number in range(60):
        tx = scenario.arrive(key=f"x{number}")
        for hop, host in enumerate(scenario.hops.get(tx, [])):
            scenario.end_hop(tx, m.HopOutcome.UNREACHABLE if host == 5 else m.HopOutcome.DONE, hop)
    assert scenario.balancer.hosts[5].ejected_until > scenario.now and hosts_used(scenario) <= {0, 1, 2, 3, 4}


def test_a_dropped_host_is_forgotten_after_the_limit() -> None:
    scenario = Scenario(4, **ADVISORY)
    scenario.list(listed_host(0), listed_host(1), complete=True)
    scenario.run(FORGET_HOST_AFTER_NS // 1_000_000 - 1000)
    assert len(scenario.balancer.hosts) == 4
    scenario.run(3500)
    assert set(scenario.balancer.hosts) == {0, 1} and hosts_used(scenario) == {0, 1}


def test_the_proxy_reaches_a_dropped_host_until_it_is_forgotten() -> None:
    net = Net(hosts=1, facts=facts_with(True))
    net.list(member(1, "removed"))
    client = net.client()
    client.feed(mg(1))
    net.accept().feed(va(1))
    assert any(line.endswith("client 0 < b'VA 3 O1\\r\\nval\\r\\n'") for line in net.trace)
    net.list(complete=True)
    client.feed(mg(2))
    [w for w in net.wires if w.name == "host 1" and not w.lost][-1].feed(va(2))
    net.run(FORGET_HOST_AFTER_NS // 1_000_000 + 3000)
    assert (
        not net.dispatcher.host_indices
        and not net.dispatcher.host_entries
        and not net.dispatcher.missing_since
        and not net.pool.hosts
    )
    assert not net.dispatcher.balancer.hosts
    net.list(member(1))
    net.run(1)
    client = net.client()
    client.feed(mg(3))
    net.accept().feed(va(3))
    assert not net.dispatcher.missing_since
