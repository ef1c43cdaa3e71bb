"""Frontend, dispatcher and pool together on a simulated clock. The traces show all data that is written."""

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


def test_a_host_connection_is_reused_and_closed_before_the_host_closes_it() -> None:
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


def test_a_connection_lost_before_the_last_byte_has_not_run_the_transaction_and_after_it_may_have() -> None:
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


def test_a_late_hop_is_cut_off_and_its_transaction_answered_immediately() -> None:
    net = Net()
    client = net.client()
    client.feed(ms(1, "mark") + ms(2))
    net.accept()
    net.run(600)
    net.matches("net_late")


def test_a_client_that_disconnects_ends_its_hops() -> None:
    net = Net()
    client = net.client()
    client.feed(mg(1))
    net.accept()
    client.end()
    assert not net.dispatcher.open_txs
    net.matches("net_client_gone")


def test_when_sockets_are_short_hops_share_a_connection_and_a_late_answer_is_dropped() -> None:
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


def test_a_shared_connection_with_only_abandoned_hops_is_closed() -> None:
    net = Net(limits={"sockets": 3})
    first, second = net.client(), net.client()
    first.feed(mg(1, ttl=300))
    host = net.accept()
    second.feed(mg(2, ttl=400))
    net.run(350)
    assert not host.lost
    net.run(100)
    assert host.lost and not net.dispatcher.open_txs


def test_connections_are_not_shared_where_parallel_tries_are_forbidden() -> None:
    net = Net(limits={"sockets": 3}, ParallelTries=False)
    first, second = net.client(), net.client()
    first.feed(mg(1))
    net.accept()
    second.feed(mg(2))
    net.matches("net_not_shared")


def test_a_request_that_an_answer_triggers_reuses_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_a_draining_host_gets_no_new_hops_and_finishes_its_current_ones() -> None:
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


def test_a_malformed_answer_closes_the_connection_and_the_transaction_may_have_run() -> None:
    net = Net(hosts=1)
    client = net.client()
    client.feed(ms(1) + ms(2))
    first, second = net.accept(), net.accept()
    first.feed(b"EN\r\n")
    second.feed(b"SERVER_ERROR busy 5\r\n")
    net.matches("net_malformed")


def test_at_the_socket_limit_idle_clients_are_closed_first_and_then_requests_are_refused() -> None:
    net = Net(limits={"sockets": 4, "clients": 2, "spare": 1})
    net.frontend.set_accepting = lambda accept: net.say("accepts on" if accept else "accepts no more")
    first, second = net.client(), net.client()
    first.feed(mg(1))
    net.accept().feed(va(1))
    second.feed(mg(2))
    third = net.client()  # the first is idle and is closed for it
    net.take()
    assert first.lost
    third.feed(mg(3))
    net.accept()
    fourth = net.client()  # no client is idle: its requests are refused
    fourth.feed(mg(4))
    net.run(19)
    assert not fourth.lost  # another request of it may be on its way
    net.run(2)
    assert fourth.lost
    fifth = net.client()
    net.run(1300)  # silent for long enough to be closed for the next one
    net.frontend.close_longest_idle()
    net.take()
    assert fifth.lost
    net.matches("net_full")


def test_a_client_over_the_limit_that_sends_another_request_before_its_close_is_answered() -> None:
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


def test_an_idle_client_with_unread_bytes_is_not_closed() -> None:
    net = Net(limits={"sockets": 4, "clients": 1, "spare": 1})
    first = net.client()
    first.feed(b"mn\r\n")
    first.unread = b"m"
    net.client()
    net.take()
    assert not first.lost


def test_a_client_that_reads_no_answers_is_closed() -> None:
    net = Net()
    client = net.client()
    client.take = lambda: None  # type: ignore[method-assign]
    client.feed(mg(1))
    net.accept().feed(va(1, b"x" * 65536))
    net.run(5500)
    assert client.lost and not net.frontend.unsent_answers.total
    many = net.client()
    many.take = lambda: None  # type: ignore[method-assign]
    for number in range(2, 8):
        many.feed(mg(number)) if not many.lost else None
        if net.reactor.tcpClients:
            net.accept()
        hosts = [w for w in net.wires if w.name.startswith("host") and not w.lost]
        hosts[-1].feed(va(number, b"x" * 65536)) if not many.lost else None
    # Known answers wait while others are queued, so that a client that reads slowly loses none.
    assert not many.lost and many.protocol.queued_bytes < 2 * 65600 and len(many.pending) < 2 * 65600
    assert net.frontend.unsent_answers.total > 6 * 65536
    net.run(5500)
    assert many.lost and not net.frontend.unsent_answers.total


def test_an_incomplete_command_does_not_keep_its_connection_forever() -> None:
    net = Net(limits={"buffered_bytes": 1000})
    slow, big = net.client(), net.client()
    slow.feed(b"mg k v")
    big.feed(b"ms k 2000 O1 Pc=once,d=9\r\n" + b"x" * 1500)
    assert "busy" in net.trace[-1] and not slow.lost and net.frontend.incomplete_requests.total == len(b"mg k v")
    net.run(2450)
    assert not big.lost and not slow.lost
    net.run(100)
    assert big.lost and slow.lost and not net.frontend.incomplete_requests.total


def test_requests_beyond_the_memory_limit_are_refused() -> None:
    net = Net(limits={"buffered_bytes": 700, "tx_bytes": 512})
    for number in (1, 2, 3):
        net.client().feed(mg(number))
    net.matches("net_held")


def test_a_transaction_that_the_decisions_never_answer_is_answered_at_its_hard_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
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


def test_removed_hosts_leave_no_state_once_their_last_hop_has_ended() -> None:
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
def test_an_idle_connection_that_the_host_closed_or_wrote_to_gets_no_hop(unread: bytes) -> None:
    net = Net(hosts=1)
    client = net.client()
    client.feed(mg(1))
    host = net.accept()
    host.feed(va(1))
    host.unread = unread
    client.feed(ms(2))
    assert host.lost and not host.pending and len(net.reactor.tcpClients) == 1


def test_a_buffered_value_is_returned_unchanged_and_incomplete_answers_have_a_memory_limit() -> None:
    net = Net(hosts=1, limits={"buffered_bytes": 700_000, "stream_above_bytes": 1 << 20})
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
    assert first.lost and not second.lost and 0 < net.pool.incomplete_responses.total <= 400_000
    net.run(600)
    assert second.lost and not net.pool.incomplete_responses.total


def test_connections_are_not_reused_after_idle_times_that_broke_others_for_a_while() -> None:
    """The network drops connections that are idle for 90 ms: the next hop on one is reset."""
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
    assert not net.reactor.tcpClients  # such a short idle time is safe


def test_clients_that_stay_idle_after_one_request_do_not_use_up_the_sockets() -> None:
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


def test_an_invalid_host_list_changes_nothing() -> None:
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


class FakeResponse:
    """A response of discovery, with the interface of the HTTP library."""

    def __init__(self, code: int, body: bytes) -> None:
        self.code, self.body = code, body

    def deliverBody(self, protocol: Any) -> None:
        protocol.dataReceived(self.body)
        protocol.connectionLost(Failure(ResponseDone()))  # type: ignore[no-untyped-call]


class FakeAgent:
    """Replaces the agent of the HTTP library: records requests and sends none."""

    def __init__(self, net: Net) -> None:
        self.net = net
        self.calls: list[Deferred[Any]] = []

    def usingEndpointFactory(self, *_: Any, **__: Any) -> "FakeAgent":
        return self

    def request(self, verb: bytes, url: bytes) -> "Deferred[Any]":
        self.net.say(f"{verb.decode()} {url.decode()[17:]}")
        self.calls.append(Deferred())
        return self.calls[-1]


def test_the_host_list_is_watched_without_a_gap_and_every_kind_of_failure_is_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    net = Net()
    agent = FakeAgent(net)
    calls = agent.calls
    monkeypatch.setattr("ternquay.net.discovery.Agent", agent)
    watch = Discovery(net.reactor, net.dispatcher, net.limits, Address("127.0.0.1", 8500), StartTimes(lambda: 0))
    watch.revision, net.dispatcher.request_list = 0, watch.watch
    watch.watch()
    good = {"revision": 5, "complete": False, "members": [member(2)]}
    calls[-1].callback(FakeResponse(200, orjson.dumps(good)))
    odd = FakeResponse(503, b""), FakeResponse(200, b"{"), FakeResponse(200, b'{"members":1}')
    for end in (*odd, None, connectionDone):
        watch.watch()  # no second request while one is in flight
        before = len(calls)
        if end is None:
            net.run(7000)
        elif isinstance(end, FakeResponse):
            calls[-1].callback(end)
        else:
            calls[-1].errback(end)
        net.say("the call has failed")
        while len(calls) == before:
            net.run(50)
    calls[-1].callback(FakeResponse(200, orjson.dumps(good | {"revision": 6})))
    calls[-1].callback(FakeResponse(200, orjson.dumps(good | {"revision": 6, "members": []})))
    net.run(101)
    net.matches("net_discovery")


BASE_CONFIG = {
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
def test_an_error_names_the_bad_field_of_the_configuration(tmp_path: Path, change: dict[str, Any], named: str) -> None:
    path = tmp_path / "told.json"
    path.write_bytes(orjson.dumps(BASE_CONFIG | change))
    with pytest.raises(ConfigError, match=named):
        read_config(str(path), {})


def test_the_command_line_reports_an_error_in_one_line_and_by_its_exit_status(tmp_path: Path) -> None:
    path = tmp_path / "told.json"
    for told, status, said in ((BASE_CONFIG, 0, "n1: listens on 127.0.0.1:4000"), ({}, 2, "ternquay: settings:")):
        path.write_bytes(orjson.dumps(told))
        result = CliRunner().invoke(app, ["check", "--config", str(path)])
        assert result.exit_code == status and result.output.startswith(said)
        assert result.output.count("\n") == 1


def test_a_missing_configuration_is_reported(tmp_path: Path) -> None:
    for env in ({}, {"EDGE_CONFIG": str(tmp_path / "none")}):
        with pytest.raises(ConfigError, match="EDGE_CONFIG"):
            read_config("", env)


def test_a_reload_moves_the_watch_to_the_new_address_and_a_bad_configuration_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "told.json"
    path.write_bytes(orjson.dumps(BASE_CONFIG))
    net = Net()
    agent = FakeAgent(net)
    monkeypatch.setattr("ternquay.net.discovery.Agent", agent)
    service = Service(net.reactor, read_config(str(path), {}))
    reload = service.signals()[SIGHUP]
    service.begin()
    bad = b'{"discovery":', orjson.dumps(BASE_CONFIG | {"discovery": 5}), orjson.dumps(BASE_CONFIG | {"settings": 3})
    for told in (*bad, orjson.dumps(BASE_CONFIG | {"listen": "127.0.0.9:1", "discovery": "127.0.0.1:8600"})):
        path.write_bytes(told)
        reload()
        net.say(f"told to read {told[:15]!r}")
    moved = service.discovery
    # A list that the old address had sent by then counts as delivered; later ones are ignored.
    net.run(101)
    agent.calls[0].callback(FakeResponse(200, orjson.dumps({"revision": 9, "complete": True, "members": []})))
    assert not moved.stopped and len(service.pool.hosts) == 1
    told_anew = {"revision": 2, "complete": True, "members": [member(2)]}
    agent.calls[1].callback(FakeResponse(200, orjson.dumps(told_anew)))
    assert list(service.pool.hosts) == [1] and list(service.dispatcher.host_indices) == ["h2"]
    agent.calls[-1].errback(connectionDone)
    net.run(1500)
    path.write_bytes(orjson.dumps(BASE_CONFIG))
    reload()
    net.run(5000)
    assert moved.stopped
    net.matches("net_reload")


def test_a_planned_shutdown_answers_open_transactions_and_closes_between_transactions(tmp_path: Path) -> None:
    path = tmp_path / "told.json"
    path.write_bytes(orjson.dumps(BASE_CONFIG))
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


def test_repeated_warnings_are_rate_limited_and_counted(capsys: pytest.CaptureFixture[str]) -> None:
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


def test_a_long_loop_iteration_accepts_no_more_and_requests_that_waited_have_less_time() -> None:
    # Without this, a balancer under twice its capacity answered a third of the load, far past the hard limit.
    net = Net()
    start = net.dispatcher.now()
    net.loop_timing.begin(start)
    client = net.client()
    client.feed(mg(1))
    host = net.accept()
    host.feed(va(1))
    net.loop_timing.begin(start + 300_000_000)
    net.reactor.advance(0.3)
    client.feed(mg(2, ttl=600))  # may have arrived just after the previous poll
    host.feed(va(2))
    net.reactor.advance(net.limits.turn_duration / 1e9 + 0.001)
    client.feed(mg(3))
    net.loop_timing.begin(net.dispatcher.now())
    client.feed(mg(4))
    host.feed(va(4))
    net.matches("net_long_turn")


def test_the_wait_of_an_accepted_client_counts_from_the_last_time_the_queue_was_emptied() -> None:
    timing = LoopTiming(10)
    timing.begin(100)
    assert (timing.max_unread_time(105, 0), timing.waiting_since()) == (5, 100)
    timing.begin(200)
    timing.accept_ended(more_waiting=True)  # more may wait, possibly since the poll at 100
    timing.begin(300)
    timing.accept_ended(more_waiting=True)
    assert (
        timing.waiting_since() == 100
        and timing.max_unread_time(310, timing.waiting_since()) == 210
        and timing.max_unread_time(310, 0) == 110
    )
    timing.accept_ended(more_waiting=False)
    assert timing.waiting_since() == 200
    assert not timing.is_overrun(310) and timing.is_overrun(311)


def test_input_that_arrives_while_the_loop_is_idle_has_not_waited() -> None:
    timing = LoopTiming(1_000_000)
    timing.begin(1_000_000_000)
    # The poll blocked for 250 ms and returned as soon as there was input.
    timing.begin(1_250_000_000, polled_at=1_000_200_000)
    assert timing.max_unread_time(1_250_010_000, 0) == 10_000
    timing.begin(1_253_000_000, polled_at=1_252_990_000)
    assert timing.max_unread_time(1_253_000_000, 0) == 3_000_000


def test_no_more_clients_are_accepted_at_once_than_there_are_sockets() -> None:
    net = Net(sockets=64)
    most = net.limits.sockets + net.limits.spare
    while not net.sockets.full():
        for _ in range(net.frontend.accept_room()):
            net.client()
        assert net.sockets.clients <= most
    assert net.sockets.clients == most and net.frontend.accept_room() == 1


def test_a_drain_during_a_partly_written_hop_lets_it_end_and_sends_nothing_new() -> None:
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
    assert half.lost  # an idle connection to a draining host is closed
    net.matches("net_drain_half_written")
