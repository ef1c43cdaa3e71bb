"""The stand-ins alone, for trying a balancer by hand, with the faults of one day."""

import json
import time
from pathlib import Path

import typer
from twisted.internet.main import installReactor

from ternquay.rig.child import MonotonicReactor
from ternquay.rig.configuration import configuration, host_places
from ternquay.rig.standins.discovery import DiscoveryDriver
from ternquay.rig.standins.hosts import FleetDriver
from ternquay.rig.terms import MS, Day, plan_faults


def run(day: Day, seed: int, config: Path, listen: str) -> None:
    reactor = MonotonicReactor()
    installReactor(reactor)
    places = host_places(day)
    hosts = FleetDriver(reactor, day, plan_faults(day, seed), seed, time.monotonic_ns, places)
    discovery = DiscoveryDriver(reactor, lambda: hosts.model.listing, time.monotonic_ns, 1, time.time_ns() // MS)
    hosts.on_list_change = discovery.list_changed
    listing = hosts.model.listing
    known = json.loads(discovery.encode(listing.revision(0), True, listing.complete(0)))
    told = configuration(day, 0, listen, discovery.addresses[0][0], known, seed)
    config.write_text(json.dumps(told, indent=1) + "\n")
    begin = time.monotonic_ns()
    hosts.start(begin)
    discovery.start(begin)
    for place, host in zip(places, hosts.model.hosts, strict=True):
        typer.echo(f"{host.name:20} {place}")
    typer.echo(f"discovery            {discovery.addresses[0][0]}")
    typer.echo(f"start a balancer with: ternquay serve --config {config}")
    reactor.run()
