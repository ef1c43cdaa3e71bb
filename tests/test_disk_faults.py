"""A disk that fails for a while under the hosted service: acknowledged changes hold, others apply whole or not."""

import subprocess
import sys
import time
from pathlib import Path

import pytest
from msgspec.structs import replace

from ternquay.rig.disk_faults import DiskFault, failure_counts, fault_environment
from ternquay.rig.terms import DayError
from tests.hosted_helper import ROOT, HostedService
from tests.test_hosted import READ, FakeCacheHost, read_ids

STATE = "/v1/tenants/sur/state"
STATES = ("suspended", "active")
FAILURE_START_SECONDS = 2.5  # after the start of the process; the tenant is created before that
LATER_BY_SECONDS = (0.0, 5.0, 15.0)  # added to it where the machine was too slow for that
FAILURE_SECONDS = 2.0


class FailingDisk(HostedService):
    """A hosted service whose store is in a folder that fails by a plan, relative to the start of the process."""

    def __init__(self, folder: Path, *faults: DiskFault) -> None:
        super().__init__(folder)
        self.store, self.scratch = folder / "store", folder / "scratch"
        self.store.mkdir()
        self.scratch.mkdir()
        self.config_text = self.config_text.replace('path = "registry.db"', 'path = "store/registry.db"')
        self.config_file.write_text(self.config_text)
        self.faults = faults
        self.began = 0.0

    def launch(self) -> None:
        environment = fault_environment(self.faults, self.store, self.scratch)
        self.began = time.monotonic()
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.command(), "host", "--config", str(self.config_file)],
                cwd=ROOT,
                stderr=log,
                env=environment,
            )


def started_before_failures(
    folder: Path, faults: tuple[DiskFault, ...], cache_host: str
) -> tuple[FailingDisk, str, float]:
    """Starts a service and creates its tenant while the disk is sound.

    Returns the service, the address of the tenant, and when the failures begin, in seconds after the start.
    """
    for later_by in LATER_BY_SECONDS:
        failing_from = FAILURE_START_SECONDS + later_by
        shifted = [replace(fault, start=fault.start + later_by, end=fault.end + later_by) for fault in faults]
        attempt_folder = folder / f"from-{failing_from:.0f}"
        attempt_folder.mkdir()
        service = FailingDisk(attempt_folder, *shifted)
        try:
            service.start()
            listen = service.create_tenant("sur", (cache_host,))
        except (AssertionError, OSError):
            if time.monotonic() < service.began + failing_from:
                raise
        else:
            if time.monotonic() < service.began + failing_from:
                return service, listen, failing_from
        service.kill()
    raise AssertionError(f"no tenant within {failing_from} s of the start")


def set_state(service: HostedService, state: str) -> int:
    """Sets the state of the tenant. Returns the version that was acknowledged, 0 if the change was refused."""
    reply = service.call("PUT", STATE, {"state": state}, if_match="*")
    assert reply.status in (200, 503, 504, 507), (reply.status, reply.body)
    if reply.status != 200:
        assert reply.body["detail" if "detail" in reply.body else "title"]  # the reason
    return int(reply.body["version"]) if reply.status == 200 else 0


@pytest.mark.parametrize(
    "faults",
    [
        (DiskFault("write", "ENOSPC", FAILURE_START_SECONDS, FAILURE_START_SECONDS + FAILURE_SECONDS),),
        (DiskFault("write", "SHORT", FAILURE_START_SECONDS, FAILURE_START_SECONDS + FAILURE_SECONDS, 0.5),),
        (DiskFault("fsync", "EIO", FAILURE_START_SECONDS, FAILURE_START_SECONDS + FAILURE_SECONDS),),
        (
            DiskFault("fsync", "EIO", FAILURE_START_SECONDS, FAILURE_START_SECONDS + FAILURE_SECONDS, 0.3),
            DiskFault("write", "EDQUOT", FAILURE_START_SECONDS, FAILURE_START_SECONDS + FAILURE_SECONDS, 0.1),
        ),
        (
            DiskFault("open", "EROFS", FAILURE_START_SECONDS, FAILURE_START_SECONDS + FAILURE_SECONDS),
            DiskFault("write", "EROFS", FAILURE_START_SECONDS, FAILURE_START_SECONDS + FAILURE_SECONDS),
        ),
    ],
    ids=["full", "short writes", "no sync", "now and then", "read-only"],
)
def test_a_failing_disk_refuses_changes_and_loses_none_that_were_acknowledged(
    tmp_path: Path, faults: tuple[DiskFault, ...]
) -> None:
    always_fails = all(fault.rate == 1.0 for fault in faults)
    host = FakeCacheHost()
    service, port, failing_from = started_before_failures(tmp_path, faults, host.address)
    failing_until = failing_from + FAILURE_SECONDS
    acknowledged, asked, refused, states = 1, 0, 0, {1: "active"}
    try:
        while time.monotonic() < service.began + failing_until:
            state, began = STATES[asked % 2], time.monotonic() - service.began
            version, asked = set_state(service, state), asked + 1
            ended = time.monotonic() - service.began
            if version:
                assert version > acknowledged
                # Nothing can reach the disk while every call fails.
                assert not (always_fails and began > failing_from + 0.1 and ended < failing_until - 0.1), (
                    version,
                    began,
                )
                acknowledged = version
                states[version] = state
            refused += not version
            # Transactions go on under the configuration in force, whatever the disk does.
            assert service.exchange(port, READ % (1, next(read_ids)), 0.3).startswith((b"VA 2", b"SERVER_ERROR busy"))
        end = time.monotonic() + 10
        while not (version := set_state(service, "active")):
            assert time.monotonic() < end, service.log.read_text()[-2000:]
            time.sleep(0.1)
        acknowledged, states[version] = version, "active"
        assert service.exchange(port, READ % (1, next(read_ids)), 0.5).startswith(b"VA 2")
        log = service.log.read_text()
        assert failure_counts(service.scratch).total() > 0 and "Traceback" not in log
        service.kill()
        service.faults = ()
        service.start()
        tenant = service.call("GET", "/v1/tenants/sur").body
        assert tenant["version"] == acknowledged and tenant["state"] == states[acknowledged]
    finally:
        if service.process is not None and service.process.poll() is None:
            service.kill()


@pytest.mark.parametrize(
    ("fault", "field"),
    [
        (DiskFault("open", "SHORT"), "faults[0].error"),
        (DiskFault("fsync", "EX"), "faults[0].error"),
        (DiskFault("write", "EIO", 2.0, 1.0), "faults[0].end"),
    ],
)
def test_an_invalid_plan_names_its_field(tmp_path: Path, fault: DiskFault, field: str) -> None:
    with pytest.raises(DayError, match=field.replace("[", r"\[")):
        fault_environment((fault,), tmp_path, tmp_path)
