"""Lists that are wrong: where gone is advice, and where it binds; the same traces both ways."""

import json
from pathlib import Path
from typing import Any

import pytest

from ternquay import model as m
from ternquay.balance import FORGET_HOST_AFTER_NS, SECOND
from ternquay.facts import parse_deployment
from ternquay.net.config import ConfigError, read_config
from tests.helper import FACTS, Net, Play, line, member
from tests.test_net import mg, va
from tests.test_review_links import told

ADVICE = {"gone_is_advisory": True}


def facts(value: Any) -> dict[str, Any]:
    return FACTS | {"Invariants": FACTS["Invariants"] | {"GoneIsAdvice": value}}


def test_the_setting_comes_in_both_ways_and_is_a_boolean(tmp_path: Path) -> None:
    assert not parse_deployment(1, FACTS).gone_is_advisory
    assert parse_deployment(1, facts(True)).gone_is_advisory and not parse_deployment(1, facts(False)).gone_is_advisory
    path = tmp_path / "x.json"
    for value in (1, "true", None):
        path.write_text(json.dumps(told(1, 2, settings=facts(value))))
        with pytest.raises(ConfigError, match=r"^settings: Invariants\.GoneIsAdvice: must be true or false"):
            read_config(str(path), {})
    path.write_text(json.dumps(told(1, 2, settings=facts(True))))
    assert read_config(str(path), {}).settings.gone_is_advisory


def sent(play: Play, many: int = 40) -> set[int]:
    """The hosts that get something now."""
    play.hops.clear()
    for number in range(many):
        tx = play.arrive(key=f"k{number}")
        for hop in range(len(play.hops.get(tx, []))):
            play.end(tx, m.HopOutcome.DONE, hop)
        play.run(20)
    return {host for hosts in play.hops.values() for host in hosts}


@pytest.mark.parametrize("advice", [True, False])
@pytest.mark.parametrize("how", ["called gone", "left out", "empty"])
def test_hosts_that_the_list_lacks_are_used_where_that_is_advice_alone(how: str, advice: bool) -> None:
    play = Play(4, gone_is_advisory=advice)
    if how == "called gone":
        play.list(line(1, m.HostStatus.GONE), line(2, m.HostStatus.GONE))
    elif how == "left out":
        play.list(line(0), line(3), whole=True)
    else:
        play.list(whole=True)
    left = set() if how == "empty" else {0, 3}
    assert sent(play) == ({0, 1, 2, 3} if advice else left)
    play.list(*(line(h) for h in range(4)), whole=True)
    assert sent(play) == {0, 1, 2, 3}


def test_a_draining_that_was_seen_binds_whatever_the_list_says_next() -> None:
    play = Play(4, **ADVICE)
    play.list(line(2, m.HostStatus.DRAINING))
    assert sent(play) == {0, 1, 3}
    for lines in ((line(2, m.HostStatus.GONE),), (line(2),)):  # gone, and an older list that comes again
        play.list(*lines)
        assert sent(play) == {0, 1, 3}
    play.list(*(line(h) for h in range(4)), whole=True)
    assert sent(play) == {0, 1, 3}
    play.list(line(2, since=play.now - SECOND))  # started again: another process than the one that drained
    assert play.balancer.hosts[2].status is m.HostStatus.READY


def test_where_gone_binds_an_up_after_a_draining_counts_at_once() -> None:
    play = Play(4)
    play.list(line(2, m.HostStatus.DRAINING))
    play.list(line(2))
    assert sent(play) == {0, 1, 2, 3}


@pytest.mark.parametrize("advice", [True, False])
def test_a_few_that_the_list_drops_are_believed_to_be_gone(advice: bool) -> None:
    """As many as fail together by themselves: to go on with them cost more than it brought."""
    play = Play(6, gone_is_advisory=advice)
    play.list(line(1, m.HostStatus.GONE))
    assert sent(play) == {0, 2, 3, 4, 5}
    play.list(*(line(h) for h in (0, 2, 3, 4)), whole=True)
    assert sent(play) == {0, 2, 3, 4}


def test_one_that_the_list_dropped_and_that_fails_is_out_as_any_other() -> None:
    play = Play(6, **ADVICE)
    sent(play)
    play.list(whole=True)
    for number in range(60):
        tx = play.arrive(key=f"x{number}")
        for hop, host in enumerate(play.hops.get(tx, [])):
            play.end(tx, m.HopOutcome.UNREACHABLE if host == 5 else m.HopOutcome.DONE, hop)
    assert play.balancer.hosts[5].ejected_until > play.now and sent(play) <= {0, 1, 2, 3, 4}


def test_no_host_is_remembered_for_longer_than_the_bound() -> None:
    play = Play(4, **ADVICE)
    play.list(line(0), line(1), whole=True)
    play.run(FORGET_HOST_AFTER_NS // 1_000_000 - 1000)
    assert len(play.balancer.hosts) == 4
    play.run(3500)
    assert set(play.balancer.hosts) == {0, 1} and sent(play) == {0, 1}


def test_on_sockets_too_what_the_list_lacks_is_reached_until_it_is_forgotten() -> None:
    net = Net(hosts=1, facts=facts(True))
    net.list(member(1, "removed"))
    client = net.client()
    client.feed(mg(1))
    net.accept().feed(va(1))
    assert any(line.endswith("client 0 < b'VA 3 O1\\r\\nval\\r\\n'") for line in net.trace)
    net.list(whole=True)
    client.feed(mg(2))
    [w for w in net.wires if w.name == "host 1" and not w.lost][-1].feed(va(2))
    net.run(FORGET_HOST_AFTER_NS // 1_000_000 + 3000)
    assert (
        not net.dispatcher.host_indices
        and not net.dispatcher.members
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
