"""Front, door and pool together on a clock of the test's own; what is written stands in the traces."""

import sys
from pathlib import Path
from signal import SIGHUP
from typing import Any

import orjson
import pytest
from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from typer.testing import CliRunner

from ternquay.cli import app
from ternquay.net.config import ConfigError, read_config
from ternquay.net.discovery import Discovery
from ternquay.net.listing import Address, FieldError
from ternquay.net.loop_timing import LoopTiming
from ternquay.net.serve import Service
from ternquay.net.start_times import StartTimes
from tests.helper import FACTS, Net, Wire, member


def mg(number: int, key: str = "k", profile: str = "read", ttl: int = 800) -> bytes:
    return b"mg %s v O%d Pc=%s,d=%d\r\n" % (key.encode(), number, profile.encode(), ttl)


def ms(number: int, profile: str = "once", ttl: int = 800) -> bytes:
    return b"ms k 2 O%d Pc=%s,d=%d,k=77\r\nhi\r\n" % (number, profile.encode(), ttl)


def va(number: int, value: bytes = b"val") -> bytes:
    return b"VA %d O%d h1\r\n%b\r\n" % (len(value), number, value)


def test_a_connection_is_kept_for_the_next_transaction_and_closed_before_the_host_does_it() -> None:
    net = Net()
    client = net.client()
    client.feed(b"mn\r\n" + mg(1), cut=4)
    host = net.accept()
    host.feed(va(1), cut=3)
    client.feed(ms(2))
    host.feed(b"HD O2 cabc\r\n")
    net.run(3500)
    assert host.lost and not client.lost
    client.feed(mg(3))
    net.accept().feed(va(3))
    net.matches("net_calm")


def test_answers_keep_the_order_of_the_commands() -> None:
    net = Net()
    client = net.client()
    client.feed(mg(1) + mg(2) + b"mn\r\n" + b"nonsense\r\n" + mg(3, profile="unheard"))
    first, second = net.accept(), net.accept()
    second.feed(va(2))
    first.feed(va(1))
    net.matches("net_order")


def test_a_break_before_the_last_byte_never_ran_and_one_after_it_may_have() -> None:
    net = Net(hosts=3)
    client = net.client()
    client.feed(ms(1))
    net.refuse()
    host = net.accept()
    host.end()
    client.feed(ms(2))
    net.matches("net_break_after")

    net = Net(hosts=3)
    client = net.client()
    client.feed(ms(1))
    _, _, factory, _, _ = net.reactor.tcpClients.pop(0)
    protocol = factory.buildProtocol(None)
    half = Wire(net, "a host", protocol)
    net.say(f"the system takes a part of {half.pending!r}")
    half.end()
    net.accept().feed(b"HD O1 cabc\r\n")
    net.matches("net_break_before")


def test_what_is_late_is_cut_off_and_answered_at_once() -> None:
    net = Net()
    client = net.client()
    client.feed(ms(1, "mark") + ms(2))
    net.accept()
    net.run(600)
    net.matches("net_late")


def test_a_client_that_goes_away_ends_its_hops() -> None:
    net = Net()
    client = net.client()
    client.feed(mg(1))
    net.accept()
    client.end()
    assert not net.dispatcher.open_txs
    net.matches("net_client_gone")


def test_under_pressure_hops_share_a_connection_and_a_late_answer_reaches_nobody() -> None:
    net = Net(limits={"sockets": 3})
    first, second = net.client(), net.client()
    first.feed(mg(1, ttl=300))
    host = net.accept()
    net.run(200)
    second.feed(mg(2))
    net.run(150)
    host.feed(va(1, b"late") + va(2))
    assert not net.dispatcher.open_txs and not host.lost
    net.matches("net_shared")


def test_a_shared_connection_with_nothing_but_given_up_hops_is_cut_off() -> None:
    net = Net(limits={"sockets": 3})
    first, second = net.client(), net.client()
    first.feed(mg(1, ttl=300))
    host = net.accept()
    second.feed(mg(2, ttl=400))
    net.run(350)
    assert not host.lost
    net.run(100)
    assert host.lost and not net.dispatcher.open_txs


def test_where_no_second_copy_is_allowed_nothing_is_shared() -> None:
    net = Net(limits={"sockets": 3}, ParallelTries=False)
    first, second = net.client(), net.client()
    first.feed(mg(1))
    net.accept()
    second.feed(mg(2))
    net.matches("net_not_shared")


def test_what_an_answer_sets_free_goes_out_on_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    net = Net()
    client, other = net.client(), net.client()
    client.feed(mg(1))
    host, ended = net.accept(), net.dispatcher.hop_ended

    def then(*args: Any) -> None:
        monkeypatch.undo()
        ended(*args)
        other.feed(mg(2))

    monkeypatch.setattr(net.dispatcher, "hop_ended", then)
    host.feed(va(1))
    assert not net.reactor.tcpClients and net.sockets.hosts == 1


def test_a_draining_host_gets_nothing_new_and_finishes_what_it_has() -> None:
    net = Net(hosts=1)
    client = net.client()
    client.feed(mg(1) + mg(2))
    first, second = net.accept(), net.accept()
    first.feed(va(1))
    net.list(member(1, "draining"))
    net.run(1)
    client.feed(mg(3))
    second.feed(va(2))
    assert first.lost and second.lost
    net.matches("net_drain")


def test_a_malformed_answer_ends_the_connection_and_may_have_run() -> None:
    net = Net(hosts=1)
    client = net.client()
    client.feed(ms(1) + ms(2))
    first, second = net.accept(), net.accept()
    first.feed(b"EN\r\n")
    second.feed(b"SERVER_ERROR busy 5\r\n")
    net.matches("net_malformed")


def test_at_the_limit_idle_sockets_go_first_and_then_work_is_turned_away() -> None:
    net = Net(limits={"sockets": 4, "clients": 2, "spare": 1})
    net.frontend.set_accepting = lambda accept: net.say("accepts on" if accept else "accepts no more")
    first, second = net.client(), net.client()
    first.feed(mg(1))
    net.accept().feed(va(1))
    second.feed(mg(2))
    third = net.client()  # the first is idle and makes room
    net.take()
    assert first.lost
    third.feed(mg(3))
    net.accept()
    fourth = net.client()  # nobody is idle: it is told so
    fourth.feed(mg(4))
    net.run(19)
    assert not fourth.lost  # what it wrote behind its request may be on its way
    net.run(2)
    assert fourth.lost
    fifth = net.client()
    net.run(1300)  # silent for so long that it is closed for the next one
    net.frontend.close_longest_idle()
    net.take()
    assert fifth.lost
    net.matches("net_full")


def test_one_too_many_that_goes_on_before_it_is_closed_has_its_answer_too() -> None:
    net = Net(limits={"sockets": 4, "clients": 2, "spare": 1})
    for number in range(2):
        net.client().feed(mg(number))
        net.accept()
    crowded = net.client()
    crowded.feed(mg(4))
    net.run(10)
    crowded.feed(mg(5))
    assert not crowded.lost and sum("SERVER_ERROR busy" in line for line in net.trace) == 2
    net.run(19)
    assert not crowded.lost
    net.run(2)
    assert crowded.lost


def test_an_idle_client_that_has_just_written_is_not_closed_on() -> None:
    net = Net(limits={"sockets": 4, "clients": 1, "spare": 1})
    first = net.client()
    first.feed(b"mn\r\n")
    first.unread = b"m"
    net.client()
    net.take()
    assert not first.lost


def test_a_client_that_reads_nothing_is_cut_off() -> None:
    net = Net(limits={"queued_bytes": 4 * 65536})
    client = net.client()
    client.take = lambda: None  # type: ignore[method-assign]
    client.feed(mg(1))
    net.accept().feed(va(1, b"x" * 65536))
    net.run(5500)
    assert client.lost and not net.frontend.queued_bytes
    many = net.client()
    many.take = lambda: None  # type: ignore[method-assign]
    for number in range(2, 8):
        many.feed(mg(number)) if not many.lost else None
        if net.reactor.tcpClients:
            net.accept()
        hosts = [w for w in net.wires if w.name.startswith("host") and not w.lost]
        hosts[-1].feed(va(number, b"x" * 65536)) if not many.lost else None
    assert many.lost and not net.frontend.queued_bytes


def test_half_a_command_does_not_hold_its_place_for_ever() -> None:
    net = Net(limits={"buffered_bytes": 1000})
    slow, big = net.client(), net.client()
    slow.feed(b"mg k v")
    big.feed(b"ms k 2000 O1 Pc=once,d=9\r\n" + b"x" * 1500)
    assert big.lost and not slow.lost
    net.run(5500)
    assert slow.lost and not net.frontend.buffered_bytes


def test_more_held_than_there_is_room_for_is_turned_away() -> None:
    net = Net(limits={"buffered_bytes": 700})
    for number in (1, 2, 3):
        net.client().feed(mg(number))
    net.matches("net_held")


def test_a_transaction_that_the_decisions_forget_is_answered_by_its_hard_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    net = Net()
    client = net.client()
    monkeypatch.setattr(net.dispatcher.balancer, "decide", lambda now, event: [])
    client.feed(mg(1))
    net.run(801)
    assert not net.dispatcher.open_txs

    def broken(*_: object) -> None:
        raise ValueError("broken on purpose")

    monkeypatch.setattr(net.dispatcher.balancer, "decide", broken)
    client.feed(mg(2))
    net.matches("net_forgotten")


def test_hosts_that_are_gone_leave_nothing_behind_once_their_last_hop_has_ended() -> None:
    net = Net(hosts=1)
    client = net.client()
    client.feed(mg(1) + mg(2))
    busy, idle = net.accept(), net.accept()
    idle.feed(va(2))
    for host in range(2, 40):
        net.list(member(host), member(host - 1, "removed"))
        net.list(member(host + 100, "removed"))
    net.run(1)
    assert idle.lost and list(net.pool.hosts) == [0, 38]
    busy.feed(va(1))
    net.run(1)
    assert (
        busy.lost and len(net.pool.hosts) == len(net.dispatcher.host_indices) == len(net.dispatcher.balancer.hosts) == 1
    )
    assert net.sockets.hosts == 0
    net.matches("net_gone")


@pytest.mark.parametrize("unread", [b"", b"VA 1 O1 h1\r\nx\r\n"])
def test_a_connection_that_was_closed_or_written_to_behind_our_back_gets_no_hop(unread: bytes) -> None:
    net = Net(hosts=1)
    client = net.client()
    client.feed(mg(1))
    host = net.accept()
    host.feed(va(1))
    host.unread = unread
    client.feed(ms(2))
    assert host.lost and not host.pending and len(net.reactor.tcpClients) == 1


def test_a_value_that_is_kept_comes_back_whole_and_half_ones_have_a_bound() -> None:
    net = Net(hosts=1, limits={"buffered_bytes": 700_000, "queued_bytes": 700_000, "stream_above_bytes": 1 << 20})
    client, other = net.client(), net.client()
    client.feed(mg(1))
    host = net.accept()
    host.feed(va(1, b"x" * 400_000), cut=65536)
    assert net.trace[-1].endswith("... 400016 bytes'") and "client 0 <" in net.trace[-1]
    client.feed(mg(2))
    other.feed(mg(3))
    first, second = host, net.accept()
    first.feed(va(2, b"x" * 500_000)[:400_000], cut=65536)
    second.feed(va(3, b"x" * 500_000)[:400_000], cut=65536)
    assert second.lost and not first.lost and 0 < net.pool.buffered_bytes <= 400_000
    net.run(600)
    assert first.lost and not net.pool.buffered_bytes


def test_connections_idle_for_as_long_as_others_that_broke_are_not_used_for_a_while() -> None:
    """Against a network that forgets connections idle for 90 ms: the next hop on one is reset."""
    net = Net(hosts=1)
    client = net.client()
    risked = []
    for number in range(120):
        client.feed(mg(number))
        kept = not net.reactor.tcpClients
        host = [w for w in net.wires if w.name == "host 1"][-1] if kept else net.accept()
        if kept:
            risked.append(number)
            host.end()
        else:
            host.feed(va(number))
        net.run(100)
    assert risked[:8] == [1, 3, 5, 7, 9, 11, 13, 15] and len(risked) < 20 and risked[8] > 40
    client.feed(mg(200))
    net.accept().feed(va(200)) if net.reactor.tcpClients else None
    net.run(10)
    client.feed(mg(201))
    assert not net.reactor.tcpClients  # so short a rest does no harm


def test_clients_that_ask_once_and_stay_do_not_take_the_place_of_others() -> None:
    net = Net(limits={"idle_clients": 2})
    clients = [net.client() for _ in range(4)]
    host = None
    for number, client in enumerate(clients):
        client.feed(mg(number))
        host = host or net.accept()
        host.feed(va(number))
        clients[0].feed(mg(10 + number))
        host.feed(va(10 + number))
        net.run(100)
    assert [client.lost for client in clients] == [False, True, True, False]
    assert len(net.frontend.answered_idle) == len(net.frontend.idle_clients) == 2


def test_an_unreadable_list_changes_nothing() -> None:
    net = Net()
    watch = Discovery(net.reactor, net.dispatcher, net.limits, Address("127.0.0.1", 8500), StartTimes(lambda: 0))
    odd: tuple[Any, ...] = (
        None,
        [],
        {},
        {"revision": 1, "complete": True, "members": [member(1), member(2, "odd")]},
        {"revision": "x", "complete": True, "members": []},
        {"revision": 1, "complete": True, "members": [member(1) | {"host_port": "nowhere"}]},
    )
    for told in odd:
        with pytest.raises(FieldError):
            watch.apply(told)
    net.client().feed(mg(1))
    assert len(net.reactor.tcpClients) == 1


class Response:
    """One answer of discovery, as the HTTP library hands it over."""

    def __init__(self, code: int, body: bytes) -> None:
        self.code, self.body = code, body

    def deliverBody(self, protocol: Any) -> None:
        protocol.dataReceived(self.body)
        protocol.connectionLost(Failure(ResponseDone()))  # type: ignore[no-untyped-call]


class Agent:
    """In place of the HTTP library's: keeps the calls, and makes none."""

    def __init__(self, net: Net) -> None:
        self.net = net
        self.calls: list[Deferred[Any]] = []

    def usingEndpointFactory(self, *_: Any, **__: Any) -> "Agent":
        return self

    def request(self, verb: bytes, url: bytes) -> "Deferred[Any]":
        self.net.say(f"{verb.decode()} {url.decode()[17:]}")
        self.calls.append(Deferred())
        return self.calls[-1]


def test_the_list_is_watched_without_a_gap_and_a_failed_call_of_any_kind_is_told(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    net = Net()
    agent = Agent(net)
    calls = agent.calls
    monkeypatch.setattr("ternquay.net.discovery.Agent", agent)
    watch = Discovery(net.reactor, net.dispatcher, net.limits, Address("127.0.0.1", 8500), StartTimes(lambda: 0))
    watch.revision, net.dispatcher.request_list = 0, watch.watch
    watch.watch()
    good = {"revision": 5, "complete": False, "members": [member(2)]}
    calls[-1].callback(Response(200, orjson.dumps(good)))
    odd = Response(503, b""), Response(200, b"{"), Response(200, b'{"members":1}')
    for end in (*odd, None, connectionDone):
        watch.watch()  # a second one while one is out is not made
        before = len(calls)
        if end is None:
            net.run(7000)
        elif isinstance(end, Response):
            calls[-1].callback(end)
        else:
            calls[-1].errback(end)
        net.say("the call has failed")
        while len(calls) == before:
            net.run(50)
    calls[-1].callback(Response(200, orjson.dumps(good | {"revision": 6})))
    calls[-1].callback(Response(200, orjson.dumps(good | {"revision": 6, "members": []})))
    net.run(101)
    net.matches("net_discovery")


TOLD = {
    "name": "n1",
    "listen": "127.0.0.1:4000",
    "discovery": "127.0.0.1:8500",
    "seed": "ff",
    "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 128},
    "settings": FACTS,
    "known": {"revision": 1, "complete": True, "members": [member(1, since=5)]},
}


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"listen": "here"}, "listen"),
        ({"listen": None}, "listen"),
        ({"discovery": "h:99999"}, "discovery"),
        ({"seed": "zz"}, "seed"),
        ({"limits": {"memory_mb": 96}}, "limits.sockets"),
        ({"limits": 3}, "limits"),
        ({"limits": {"memory_mb": "x", "sockets": 128}}, "limits.memory_mb"),
        ({"settings": None}, "settings"),
        ({"settings": {}}, "settings: Limits"),
        ({"settings": FACTS | {"Profiles": 5}}, "settings"),
        ({"known": None}, "known"),
        ({"known": {}}, "known.members"),
    ],
)
def test_a_bad_configuration_is_named(tmp_path: Path, change: dict[str, Any], named: str) -> None:
    path = tmp_path / "told.json"
    path.write_bytes(orjson.dumps(TOLD | change))
    with pytest.raises(ConfigError, match=named):
        read_config(str(path), {})


def test_the_command_line_says_what_is_wrong_in_one_line_and_with_a_status(tmp_path: Path) -> None:
    path = tmp_path / "told.json"
    for told, status, said in ((TOLD, 0, "n1: listens on 127.0.0.1:4000"), ({}, 2, "ternquay: settings:")):
        path.write_bytes(orjson.dumps(told))
        result = CliRunner().invoke(app, ["check", "--config", str(path)])
        assert result.exit_code == status and result.output.startswith(said)
        assert result.output.count("\n") == 1


def test_no_configuration_at_all_is_named(tmp_path: Path) -> None:
    for env in ({}, {"EDGE_CONFIG": str(tmp_path / "none")}):
        with pytest.raises(ConfigError, match="EDGE_CONFIG"):
            read_config("", env)


def test_a_new_configuration_moves_the_watch_and_a_bad_one_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "told.json"
    path.write_bytes(orjson.dumps(TOLD))
    net = Net()
    agent = Agent(net)
    monkeypatch.setattr("ternquay.net.discovery.Agent", agent)
    service = Service(net.reactor, read_config(str(path), {}))
    reload = service.signals()[SIGHUP]
    service.begin()
    bad = b'{"discovery":', orjson.dumps(TOLD | {"discovery": 5}), orjson.dumps(TOLD | {"settings": 3})
    for told in (*bad, orjson.dumps(TOLD | {"listen": "127.0.0.9:1", "discovery": "127.0.0.1:8600"})):
        path.write_bytes(told)
        reload()
        net.say(f"told to read {told[:15]!r}")
    moved = service.discovery
    # What the old address had written by then counts as told; what it tells later is nobody's.
    net.run(101)
    agent.calls[0].callback(Response(200, orjson.dumps({"revision": 9, "complete": True, "members": []})))
    assert not moved.stopped and len(service.pool.hosts) == 1
    told_anew = {"revision": 2, "complete": True, "members": [member(2)]}
    agent.calls[1].callback(Response(200, orjson.dumps(told_anew)))
    assert list(service.pool.hosts) == [1] and list(service.dispatcher.host_indices) == ["h2"]
    agent.calls[-1].errback(connectionDone)
    net.run(1500)
    path.write_bytes(orjson.dumps(TOLD))
    reload()
    net.run(5000)
    assert moved.stopped
    net.matches("net_reload")


def test_a_planned_end_finishes_what_was_taken_and_closes_between_transactions(tmp_path: Path) -> None:
    path = tmp_path / "told.json"
    path.write_bytes(orjson.dumps(TOLD))
    net = Net()
    reactor = net.reactor
    service = Service(reactor, read_config(str(path), {}))
    net.frontend, net.dispatcher = service.frontend, service.dispatcher
    service.begin()
    reactor.running = True
    reactor.tcpClients.clear()
    idle, busy = net.client(), net.client()
    service.end()
    net.run(300)
    late = net.client()
    late.feed(mg(1))
    net.accept().feed(va(1))
    net.run(600)
    busy.feed(mg(2))
    net.wires[-1].feed(va(2))
    assert not idle.lost and not late.lost
    net.run(250)
    busy.feed(mg(3))
    net.run(50)
    assert idle.lost and late.lost and not busy.lost and reactor.running
    net.run(295)
    assert busy.lost and not reactor.running
    net.matches("net_end")


def test_a_flood_of_one_warning_is_held_to_a_rate_and_counted(capsys: pytest.CaptureFixture[str]) -> None:
    net = Net(hosts=1)
    handler = logger.add(sys.stdout, format="{level} {message}")
    client = net.client()
    for number in range(40):
        client.feed(mg(number))
        while net.reactor.tcpClients:
            net.accept().feed(b"EN\r\n")
        net.run(50)
    logger.remove(handler)
    told = capsys.readouterr().out.splitlines()
    assert told[0] == "WARNING 127.0.0.1:11211 sent an invalid response: unexpected EN, 2 bytes"
    assert len(told) <= 3 and told[1].endswith("more like it were held back)")


def test_a_turn_that_lasts_too_long_takes_no_more_and_what_waited_for_it_has_less_time() -> None:
    # Before, a balancer with twice the load that it can carry answered a third of it, much past the hard limit.
    net = Net()
    start = net.dispatcher.now()
    net.loop_timing.begin(start)
    client = net.client()
    client.feed(mg(1))
    host = net.accept()
    host.feed(va(1))
    net.loop_timing.begin(start + 300_000_000)
    net.reactor.advance(0.3)
    client.feed(mg(2, ttl=600))  # may have come just after the poll before
    host.feed(va(2))
    net.reactor.advance(net.limits.turn_duration / 1e9 + 0.001)
    client.feed(mg(3))
    net.loop_timing.begin(net.dispatcher.now())
    client.feed(mg(4))
    host.feed(va(4))
    net.matches("net_long_turn")


def test_a_client_that_waited_to_be_accepted_has_waited_since_the_last_look_at_all() -> None:
    turn = LoopTiming(10)
    turn.begin(100)
    assert (turn.max_unread_time(105, 0), turn.waiting_since()) == (5, 100)
    turn.begin(200)
    turn.accept_ended(more_waiting=True)  # there may be more, and they may have come since the poll at 100
    turn.begin(300)
    turn.accept_ended(more_waiting=True)
    assert (
        turn.waiting_since() == 100
        and turn.max_unread_time(310, turn.waiting_since()) == 210
        and turn.max_unread_time(310, 0) == 110
    )
    turn.accept_ended(more_waiting=False)
    assert turn.waiting_since() == 200
    assert not turn.is_overrun(310) and turn.is_overrun(311)


def test_what_comes_while_the_loop_stands_idle_has_not_waited() -> None:
    turn = LoopTiming(1_000_000)
    turn.begin(1_000_000_000)
    # The poll had nothing to tell for 250 ms, and came back at once when there was something.
    turn.begin(1_250_000_000, polled_at=1_000_200_000)
    assert turn.max_unread_time(1_250_010_000, 0) == 10_000
    turn.begin(1_253_000_000, polled_at=1_252_990_000)
    assert turn.max_unread_time(1_253_000_000, 0) == 3_000_000


def test_no_more_clients_are_accepted_at_once_than_fit() -> None:
    net = Net(sockets=64)
    most = net.limits.sockets + net.limits.spare
    while not net.sockets.full():
        for _ in range(net.frontend.accept_room()):
            net.client()
        assert net.sockets.clients <= most
    assert net.sockets.clients == most and net.frontend.accept_room() == 1


def test_a_drain_told_while_a_hop_is_half_written_lets_it_end_and_sends_nothing_new() -> None:
    net = Net(hosts=2)
    client = net.client()
    client.feed(ms(1))
    host, _, factory, _, _ = net.reactor.tcpClients.pop(0)
    half = Wire(net, f"host {host[-1]}", factory.buildProtocol(None))
    net.say(f"the system has a part of {half.pending!r}")
    net.list(member(int(host[-1]), "draining"))
    half.take()
    half.feed(b"HD O1 cabc\r\n")
    client.feed(ms(2))
    other = net.accept()
    assert other.name != half.name
    other.feed(b"HD O2 cabc\r\n")
    half.take()
    assert half.lost  # idle to a host that drains: closed
    net.matches("net_drain_half_written")
