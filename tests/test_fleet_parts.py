"""A member's driver by itself, with a disk that only takes down what it is given."""

from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from ternquay.consensus.core import Outcome, Write
from ternquay.consensus.messages import Rejection
from ternquay.hosted.fleet.member import Change, FleetMember
from ternquay.hosted.fleet.store import Applied, FleetStore, Founded
from ternquay.hosted.service import FleetConfig
from ternquay.hosted.tenants.registry import Registry
from ternquay.hosted.tenants.tenant import Endpoint


class Disk:
    def __init__(self) -> None:
        self.batches: list[list[Any]] = []

    def do(self, what: Any, jobs: list[Any]) -> "Deferred[Any]":
        self.batches.append(list(jobs))
        return Deferred()


def member(folder: Path, disk: Disk, names: str = "a") -> FleetMember:
    places = {name: Endpoint("127.0.0.1", 9000 + n) for n, name in enumerate(names)}
    fellows = FleetConfig("f", "a", places, places["a"], b"k" * 32, 10**9, False, "", 64)
    store = FleetStore(folder / "registry.db")
    host: Any = SimpleNamespace(registry=Registry(), runtimes={})
    return FleetMember(Clock(), fellows, host, disk, store, store.begin_boot(), lambda: 10**10)


def test_a_fleet_is_founded_on_disk_in_one_step(tmp_path: Path) -> None:
    """Founded by its id and without its members, a member that died between the two counted for nothing for good."""
    disk = Disk()
    one = member(tmp_path, disk)
    one._found()
    assert [type(job) for job in disk.batches[0]][:2] == [Founded, Write]
    one.store.carry(disk.batches[0])
    life = one.store.begin_boot()
    assert life.founded is not None and life.kept.log.base_membership.names() == ("a",)


def test_what_can_not_be_read_is_taken_by_no_longer_nor_passed_over(tmp_path: Path) -> None:
    """As a change by a later version of the program: nothing is taken, and nothing behind it counts as applied."""
    disk = Disk()
    one = member(tmp_path, disk)
    one._found()
    one.core.lease_until = 10**12
    assert one.admission_delay("sur") == 0
    good = msgspec.msgpack.encode(Change("sur", 1, 1, "w", "gone", b"{}", None, None, None))
    one._outcome(Outcome(5, 4, 1, b"\xc1 nothing", True, Rejection()))
    assert one.admission_delay("sur") > 0 and "can't be read" in one.why_not()
    one._adopt()  # as a timer from before may
    one._outcome(Outcome(7, 6, 1, good, True, Rejection()))
    assert one.admission_delay("sur") > 0
    assert not [job for batch in [*disk.batches, one.jobs] for job in batch if isinstance(job, Applied)]


def test_the_change_log_is_read_once_all_that_is_in_force_is_on_disk(tmp_path: Path) -> None:
    """Read while a hundred changes were still to be written, it told their version and none of their lines."""
    disk = Disk()
    one = member(tmp_path, disk)
    one._found()
    told: list[None] = []
    one.when_flushed().addCallback(told.append)
    for at in range(10):
        assert told == [] or not one.jobs
        if at < len(disk.batches):
            one._written(None, disk.batches[at])
    assert told == [None] and not one.jobs
    one.when_flushed().addCallback(told.append)
    assert len(told) == 2
