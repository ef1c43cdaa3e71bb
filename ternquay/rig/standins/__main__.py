"""The process of the stand-ins: cache hosts, the origin behind them and discovery."""

import sys
import time
from pathlib import Path

from ternquay.rig import records
from ternquay.rig.child import Plan, cpu, install, live, read_plan
from ternquay.rig.standins.discovery import DiscoveryDriver
from ternquay.rig.standins.hosts import FleetDriver
from ternquay.rig.terms import MS, plan_faults


def run(plan: Plan) -> None:
    """Runs the stand-ins of one plan until its end and writes their records."""
    reactor = install()
    hosts = FleetDriver(
        reactor,
        plan.day,
        plan_faults(plan.day, plan.seed),
        plan.seed,
        time.monotonic_ns,
        plan.places,
        plan.shard,
        plan.shards,
    )
    balancers = plan.day.balancers.count if plan.shard == 0 else 0  # only the first shard runs discovery
    discovery = DiscoveryDriver(
        reactor,
        lambda: hosts.model.listing,
        time.monotonic_ns,
        balancers,
        plan.epoch_ms,
        plan.day.list.must_ask_ms * MS,
    )
    hosts.on_list_change = discovery.list_changed
    listing = hosts.model.listing
    known = discovery.encode(listing.revision(0), True, listing.complete(0)).decode()

    def begin(at: int) -> None:
        hosts.start(at)
        discovery.start(at)

    def end() -> None:
        records.write(Path(plan.out), hosts.record(discovery.deliveries, cpu()))

    live(reactor, plan, {"discovery": discovery.addresses, "known": known}, begin, end)


run(read_plan(sys.argv[1]))
