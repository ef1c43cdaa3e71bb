"""A new process at the address of one that has gone: docs/incidents/pre-production-faults.md, picture (e)."""

from typing import Any

from ternquay import model as m
from ternquay.net.listing import parse_list
from tests.helper import Net, Scenario, listed_host, member
from tests.test_net import mg, va


def at_first_address(host: int, since: int) -> dict[str, Any]:
    """Returns an entry of a host at the address of host 1."""
    return member(host, since=since) | {"host_port": "127.0.0.1:11211"}


# Guards against: work goes to the new process at an address under the name of the old one that the list still has.
def test_a_host_whose_address_has_a_newer_process_gets_nothing_new() -> None:
    net = Net(hosts=1)
    client = net.client()
    client.feed(mg(1))
    net.accept().feed(va(1))
    net.list(at_first_address(2, since=900_000))
    for number in range(2, 12):
        client.feed(mg(number, key=f"k{number}"))
        (net.accept() if net.reactor.tcpClients else net.wires[-1]).feed(va(number))
    used = {hop for tx in net.dispatcher.open_txs.values() for hop in tx.hops}
    assert not used and net.dispatcher.host_entries["h1"].status is m.HostStatus.DRAINING
    assert net.dispatcher.host_entries["h2"].status is m.HostStatus.READY
    assert not net.pool.hosts[0].ready and net.pool.hosts[1].ready


def test_a_complete_list_with_both_names_the_newer_one() -> None:
    for order in ((1, 2), (2, 1)):
        net = Net(hosts=0)
        net.list(*(at_first_address(host, since=1000 * host) for host in order), complete=True)
        ready = [name for name, entry in net.dispatcher.host_entries.items() if entry.status is m.HostStatus.READY]
        assert ready == ["h2"]


def test_a_start_before_that_of_this_machine_is_later_than_long_ago() -> None:
    net = Net(hosts=1)
    entry = parse_list({"revision": 2, "complete": False, "members": [at_first_address(2, since=1)]}, 10**15)[2]
    net.dispatcher.update_hosts(False, entry)
    assert entry[0].started_at < 0 and net.dispatcher.host_entries["h1"].status is m.HostStatus.DRAINING
    assert net.dispatcher.host_entries["h2"].status is m.HostStatus.READY


def test_two_names_of_one_address_that_nothing_tells_apart_both_stay() -> None:
    net = Net(hosts=0)
    net.list(at_first_address(1, since=0), at_first_address(2, since=0), complete=True)
    assert all(entry.status is m.HostStatus.READY for entry in net.dispatcher.host_entries.values())


# Guards against: a repeat that only its zone recognises goes to an address where another process may answer by now.
def test_a_repeat_goes_to_no_host_whose_connection_broke_since() -> None:
    for outcome, repeated in ((m.HopOutcome.DONE, True), (m.HopOutcome.RESET, False)):
        scenario = Scenario(hosts=0)
        scenario.list(*(listed_host(host) for host in (0, 2, 4)), complete=True)  # one zone
        tx = scenario.arrive("a", profile=3)
        first = scenario.hops[tx][0]
        scenario.run(5)
        others = [scenario.arrive(f"k{number}", profile=2) for number in range(20)]
        broken = {first}  # of each other host one connection breaks, and all else on it is answered
        for other in others:
            host = scenario.hops[other][-1] if other in scenario.hops else first
            scenario.end_hop(other, m.HopOutcome.DONE if host in broken else outcome)
            broken.add(host)
        scenario.run(5)
        scenario.end_hop(tx, m.HopOutcome.ERROR)
        assert (len(scenario.hops[tx]) > 1) == repeated, scenario.trace[-3:]


def test_a_repeat_goes_to_no_host_of_the_zone_that_started_since() -> None:
    scenario = Scenario(hosts=2)
    tx = scenario.arrive("a", profile=3)
    first = scenario.hops[tx][0]
    scenario.run(5)
    scenario.list(listed_host(first + 2, started_at=scenario.now), listed_host(first, m.HostStatus.DRAINING))
    scenario.run(5)
    scenario.end_hop(tx, m.HopOutcome.ERROR)
    assert len(scenario.hops[tx]) == 1, scenario.trace
