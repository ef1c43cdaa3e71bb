"""A single FleetMember, with a disk that only records what it is asked to write."""

from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from ternquay.consensus.core import Outcome, Write
from ternquay.consensus.messages import Rejection
from ternquay.hosted.fleet.member import Change, FleetMember
from ternquay.hosted.fleet.store import FleetIdentity, FleetStore, MarkApplied
from ternquay.hosted.service import FleetConfig
from ternquay.hosted.tenants.registry import Registry
from ternquay.hosted.tenants.tenant import Endpoint


class Disk:
    """Records the batches of jobs; no write ever completes by itself."""

    def __init__(self) -> None:
        self.batches: list[list[Any]] = []

    def run(self, operation: Any, jobs: list[Any]) -> "Deferred[Any]":
        self.batches.append(list(jobs))
        return Deferred()


def member(folder: Path, disk: Disk, names: str = "a") -> FleetMember:
    endpoints = {name: Endpoint("127.0.0.1", 9000 + n) for n, name in enumerate(names)}
    config = FleetConfig("f", "a", endpoints, endpoints["a"], b"k" * 32, 10**9, False, "", 64)
    store = FleetStore(folder / "registry.db")
    host: Any = SimpleNamespace(registry=Registry(), runtimes={})
    return FleetMember(Clock(), config, host, disk, store, store.begin_boot(), lambda: 10**10)


def test_a_bootstrap_is_written_in_one_transaction(tmp_path: Path) -> None:
    """A member that died between writing the fleet's id and its membership could never take part again."""
    disk = Disk()
    fleet = member(tmp_path, disk)
    fleet._try_bootstrap()
    assert [type(job) for job in disk.batches[0]][:2] == [FleetIdentity, Write]
    fleet.store.execute(disk.batches[0])
    boot = fleet.store.begin_boot()
    assert boot.identity is not None and boot.state.log.base_membership.names() == ("a",)


def test_a_change_that_cannot_be_decoded_stops_service_and_is_not_skipped(tmp_path: Path) -> None:
    """After a change by a later version of the program the member serves nothing and applies no later change."""
    disk = Disk()
    fleet = member(tmp_path, disk)
    fleet._try_bootstrap()
    fleet.core.lease_until = 10**12
    assert fleet.admission_delay("sur") == 0
    good = msgspec.msgpack.encode(Change("sur", 1, 1, "w", "gone", b"{}", None, None, None))
    fleet._on_outcome(Outcome(5, 4, 1, b"\xc1 nothing", True, Rejection()))
    assert fleet.admission_delay("sur") > 0 and "can't be read" in fleet.refusal_reason()
    fleet._adopt_registry()  # as a pending retry timer may do
    fleet._on_outcome(Outcome(7, 6, 1, good, True, Rejection()))
    assert fleet.admission_delay("sur") > 0
    assert not [job for batch in [*disk.batches, fleet.jobs] for job in batch if isinstance(job, MarkApplied)]


def test_the_change_log_is_read_once_everything_in_force_is_on_disk(tmp_path: Path) -> None:
    """Read while a hundred changes were still to be written, the log returned their version without their lines."""
    disk = Disk()
    fleet = member(tmp_path, disk)
    fleet._try_bootstrap()
    fired: list[None] = []
    fleet.when_flushed().addCallback(fired.append)
    for at in range(10):
        assert fired == [] or not fleet.jobs
        if at < len(disk.batches):
            fleet._on_written(None, disk.batches[at])
    assert fired == [None] and not fleet.jobs
    fleet.when_flushed().addCallback(fired.append)
    assert len(fired) == 2
