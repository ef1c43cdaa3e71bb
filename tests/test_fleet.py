"""Processes of a fleet under faults: kill, SIGSTOP, partitions in one and both directions, delay, loss, bad disks.

A client's answer shows which version a member serves: a value while the tenant is active, a busy error while it is
suspended or the member has no lease. All tests guard against a member that still returns a value after a suspension
is in force at any other member.
"""

import json
import shutil
import socket
import sqlite3
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import psutil
import pytest

from tests.fleet_helper import FleetProcesses, MemberProcess, read_command, wait_until
from tests.hosted_helper import ROOT, HostedService
from tests.test_hosted import FakeCacheHost

VALUE = b"VA 2 Oi1\r\nhi\r\n"
STATE_PATH = "/v1/tenants/sur/state"
MAX_CHANGE_SECONDS = 1.0  # from the call until the change is in force at all members, with a leader


@pytest.fixture(scope="module")
def host() -> FakeCacheHost:
    return FakeCacheHost()


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[FleetProcesses]:
    processes = FleetProcesses(tmp_path)
    yield processes
    processes.end()


@pytest.fixture
def sur(fleet: FleetProcesses, host: FakeCacheHost) -> int:
    """The port of the tenant "sur", which all three members of the fleet serve."""
    fleet.start()
    port = fleet.create_tenant(fleet.wait_for_leader(), "sur", (host.address,))
    fleet.wait_converged()
    assert [one.read(port) for one in fleet.members.values()] == [VALUE] * 3
    return port


def set_state(fleet: FleetProcesses, at: MemberProcess, state: str = "suspended") -> int:
    """Sets the tenant's state through a member, and returns the new version."""
    found = fleet.call_until_final(at, "PUT", STATE_PATH, {"state": state})
    assert found.status == 200, found.body
    return int(found.body["version"])


def is_busy(answer: bytes) -> bool:
    return answer.startswith(b"SERVER_ERROR busy")


@dataclass(frozen=True)
class FailedRead:
    """A read that returned no value: when it was sent and answered, and the answer."""

    sent: float
    answered: float
    line: bytes

    def overlaps(self, start: float, end: float) -> bool:
        return self.sent <= end and self.answered >= start


class PollingReader(threading.Thread):
    """Reads from one member again and again, with a new connection each time, and records the results."""

    def __init__(self, member: MemberProcess, port: int) -> None:
        super().__init__(daemon=True)
        self.endpoint = member.address, port
        self.values: list[float] = []  # when the reads that returned a value were sent
        self.failed_reads: list[FailedRead] = []
        self.reads = 0
        self.ended = False
        self.start()

    def run(self) -> None:
        while not self.ended:
            began = time.monotonic()
            try:
                with socket.create_connection(self.endpoint, timeout=20) as client:
                    client.sendall(read_command())
                    line = client.makefile("rb").readline()
            except OSError:
                line = b""
            self.reads += 1
            if line.startswith(b"VA"):
                self.values.append(began)
            else:
                self.failed_reads.append(FailedRead(began, time.monotonic(), line))
            time.sleep(0.005)


def test_a_change_requested_at_any_member_is_in_force_at_all_members(fleet: FleetProcesses, sur: int) -> None:
    leader = fleet.wait_for_leader()
    follower = fleet.others(leader)[0]
    version = set_state(fleet, follower)
    # Once the change is acknowledged, no member serves the old version any more.
    assert all(is_busy(one.read(sur)) for one in fleet.members.values())
    assert fleet.wait_converged() == version
    again = follower.call("PUT", STATE_PATH, {"state": "active"}, if_match='"1"')
    assert again.status == 412  # the leader's error is returned through the follower
    assert follower.call("GET", "/v1/tenants/nobody").status == 404


def test_a_member_killed_during_a_change_restarts_with_that_change(fleet: FleetProcesses, sur: int) -> None:
    leader = fleet.wait_for_leader()
    killed = fleet.others(leader)[0]
    killed.kill()
    version = set_state(fleet, leader)
    killed.start()
    # From its first answer on: until it knows the version in force it serves nothing.
    reader = PollingReader(killed, sur)
    assert fleet.wait_converged() == version
    wait_until(lambda: reader.reads > 20, 10)
    reader.ended = True
    assert reader.values == []


def test_a_member_paused_during_a_change_never_serves_the_old_version(fleet: FleetProcesses, sur: int) -> None:
    leader = fleet.wait_for_leader()
    paused = fleet.others(leader)[0]
    reader = PollingReader(paused, sur)
    wait_until(lambda: len(reader.values) > 10, 10)
    paused.pause()
    client = socket.create_connection((paused.address, sur), timeout=10)
    client.sendall(read_command())  # is waiting when the process resumes
    version = set_state(fleet, leader)
    done = time.monotonic()
    paused.resume()
    assert is_busy(client.makefile("rb").readline())
    client.close()
    assert fleet.wait_converged() == version
    reader.ended = True
    assert [at for at in reader.values if at > done] == []


def test_a_paused_leader_resumes_as_a_follower(fleet: FleetProcesses, sur: int) -> None:
    old = fleet.wait_for_leader()
    rest = "".join(one.name for one in fleet.others(old))
    old.pause()
    new = fleet.wait_for_leader(rest)
    version = set_state(fleet, new)
    client = socket.create_connection((old.address, sur), timeout=10)
    client.sendall(read_command())
    old.resume()
    assert is_busy(client.makefile("rb").readline())
    client.close()
    assert fleet.wait_converged() == version
    assert fleet.wait_for_leader().name != old.name or fleet.wait_for_leader().status()["term"] > 1


@pytest.mark.parametrize("back", [True, False], ids=["both ways", "heard by nobody"])
def test_a_partitioned_member_serves_nothing_after_its_lease_and_the_others_go_on(
    fleet: FleetProcesses, sur: int, back: bool
) -> None:
    leader = fleet.wait_for_leader()
    lone, other = fleet.others(leader)
    reader = PollingReader(lone, sur)
    fleet.between.cut({lone.name}, {leader.name, other.name}, back)
    version = set_state(fleet, leader)
    in_force = time.monotonic()
    assert set_state(fleet, leader, "active") == version + 1
    assert [one.read(sur) for one in (leader, other)] == [VALUE] * 2
    wait_until(lambda: is_busy(lone.read(sur)), 5)
    reader.ended = True
    assert [at for at in reader.values if at > in_force] == []
    refused = lone.call("PUT", STATE_PATH, {"state": "suspended"}, if_match="*")
    assert refused.status in (503, 504)
    assert [row for row in lone.status()["members"] if row["name"] == lone.name][0]["fenced"]
    fleet.between.heal()
    assert fleet.wait_converged() == version + 1
    assert lone.read(sur) == VALUE


def test_a_leader_that_receives_nothing_is_replaced(fleet: FleetProcesses, sur: int) -> None:
    old = fleet.wait_for_leader()
    rest = {one.name for one in fleet.others(old)}
    fleet.between.cut(rest, {old.name}, back=False)  # its requests arrive, the replies are lost
    new = fleet.wait_for_leader("".join(sorted(rest)))
    assert new is not old
    set_state(fleet, new)
    wait_until(lambda: is_busy(old.read(sur)), 5)
    fleet.between.heal()
    fleet.wait_converged()


def test_a_repeated_call_gets_the_same_answer_from_the_next_leader(fleet: FleetProcesses, sur: int) -> None:
    old = fleet.wait_for_leader()
    body = {"state": "suspended"}
    first = fleet.call_until_final(old, "PUT", STATE_PATH, body, key="once")
    old.kill()
    new = fleet.wait_for_leader("".join(one.name for one in fleet.others(old)))
    again = fleet.call_until_final(new, "PUT", STATE_PATH, body, key="once")
    assert (again.status, again.body, again.headers["idempotency-replayed"]) == (200, first.body, "true")
    other = fleet.call_until_final(new, "PUT", STATE_PATH, {"state": "active"}, key="once")
    assert other.status == 422 and other.body["field"] == "Idempotency-Key"


def test_no_acknowledged_change_is_lost_when_leaders_are_killed(fleet: FleetProcesses, sur: int) -> None:
    """Calls are repeated with their key until the outcome is known; the change log must hold each change once."""
    follower = fleet.others(fleet.wait_for_leader())[0]
    versions: list[int] = []
    ended = threading.Event()

    def make_changes() -> None:
        while not ended.is_set():
            found = fleet.call_until_final(
                follower, "PUT", STATE_PATH, {"state": ("suspended", "active")[len(versions) % 2]}
            )
            assert found.status == 200, found.body
            versions.append(found.body["version"])

    def wait_for_changes() -> None:
        before = len(versions)
        wait_until(lambda: len(versions) > before + 5, 20)

    thread = threading.Thread(target=make_changes)
    thread.start()
    try:
        for _ in range(3):
            wait_for_changes()
            leader = fleet.wait_for_leader(within=20)
            if leader is follower:
                leader = fleet.others(follower)[0]
            leader.kill()
            wait_for_changes()
            leader.start()
    finally:
        ended.set()
        thread.join(30)
    assert fleet.wait_converged() == versions[-1] and len(set(versions)) == len(versions)
    for one in fleet.members.values():
        lines = one.call("GET", f"/v1/changes?after={versions[-100:][0] - 1}&limit=200").body["changes"]
        assert [line["version"] for line in lines] == versions[-100:]


def test_a_change_that_one_member_cannot_apply_is_aborted_everywhere(
    fleet: FleetProcesses, sur: int, host: FakeCacheHost
) -> None:
    leader = fleet.wait_for_leader()
    bad = fleet.others(leader)[0]
    with socket.create_server((bad.address, 0)) as taken:
        from tests.hosted_helper import document

        port = taken.getsockname()[1]
        found = fleet.call_until_final(
            leader, "POST", "/v1/tenants", document("norte", f"0.0.0.0:{port}", (host.address,))
        )
    assert found.status == 422 and found.body["field"] == "listeners[0]"
    assert found.body["detail"].startswith(f"{bad.name}: can't be bound")
    assert fleet.wait_converged() == 1
    for one in fleet.members.values():
        assert one.call("GET", "/v1/tenants/norte").status == 404
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((one.address, port), timeout=2)
    # The same call succeeds once the port is free: nothing of the aborted change is left at any member.
    made = fleet.call_until_final(leader, "POST", "/v1/tenants", document("norte", f"0.0.0.0:{port}", (host.address,)))
    assert made.status == 201
    fleet.wait_converged()


def test_concurrent_changes_at_all_members_are_serialized(fleet: FleetProcesses, sur: int) -> None:
    leader = fleet.wait_for_leader()
    found: list[Any] = []
    limits = leader.call("GET", "/v1/tenants/sur/limits").body
    limits = limits.get("limits", limits)

    def change(at: MemberProcess, burst: int) -> None:
        found.append(fleet.call_until_final(at, "PUT", "/v1/tenants/sur/limits", limits | {"burst": burst}))

    threads = [threading.Thread(target=change, args=(one, 100 + n)) for n, one in enumerate(fleet.members.values())]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(20)
    assert [one.status for one in found] == [200] * 3
    assert sorted(one.body["version"] for one in found) == [2, 3, 4]
    assert fleet.wait_converged() == 4


def test_all_killed_at_once_and_started_one_by_one(fleet: FleetProcesses, sur: int) -> None:
    version = set_state(fleet, fleet.wait_for_leader())
    for one in fleet.members.values():
        one.kill()
    fleet["a"].start()
    reader = PollingReader(fleet["a"], sur)
    wait_until(lambda: reader.reads > 10, 10)
    assert not fleet["a"].status()["leader"]
    fleet["b"].start()
    fleet.wait_for_leader("ab")
    assert fleet.wait_converged("ab") == version
    fleet["c"].start()
    assert fleet.wait_converged() == version
    reader.ended = True
    assert reader.values == []


def test_a_terminating_member_never_serves_the_old_version(fleet: FleetProcesses, sur: int) -> None:
    leader = fleet.wait_for_leader()
    member = fleet.others(leader)[0]
    reader = PollingReader(member, sur)
    wait_until(lambda: len(reader.values) > 10, 10)
    assert member.process is not None
    member.process.terminate()
    set_state(fleet, leader)
    done, reads = time.monotonic(), reader.reads
    wait_until(lambda: reader.reads > reads + 20, 10)
    reader.ended = True
    assert [at for at in reader.values if at > done] == []
    assert member.process.wait(10) == 0


def test_a_terminating_leader_hands_over_without_failed_reads(fleet: FleetProcesses, sur: int) -> None:
    old = fleet.wait_for_leader()
    rest = fleet.others(old)
    readers = [PollingReader(one, sur) for one in rest]
    assert old.process is not None
    old.process.terminate()
    names = "".join(one.name for one in rest)
    new = fleet.wait_for_leader(names, 5)
    assert old.process.poll() is None  # it is still finishing its transactions
    began = time.monotonic()
    set_state(fleet, new, "active")
    fleet.wait_converged(names)
    ended = time.monotonic()
    assert ended - began < MAX_CHANGE_SECONDS
    assert old.process.wait(10) == 0
    for reader in readers:
        reader.ended = True
        reader.join(20)
        # During the change reads of its tenant may get a busy error; at all other times each returns its value.
        lost = [one for one in reader.failed_reads if not (is_busy(one.line) and one.overlaps(began, ended))]
        assert not lost and len(reader.values) > 20, (began, ended, lost)


def disk_files(member: MemberProcess) -> list[Path]:
    return list(member.folder.glob("registry.db*"))


def test_a_member_that_lost_its_disk_rejoins(fleet: FleetProcesses, sur: int) -> None:
    leader = fleet.wait_for_leader()
    lost = fleet.others(leader)[0]
    lost.kill()
    for path in disk_files(lost):
        path.unlink()
    version = set_state(fleet, leader)
    lost.start()
    assert fleet.wait_converged() == version
    # It is a voter again: with the third member dead it is part of the majority.
    fleet.others(lost)[0].kill()
    rest = "".join(one.name for one in fleet.members.values() if one is not fleet.others(lost)[0])
    set_state(fleet, fleet.wait_for_leader(rest), "active")


def test_a_rolled_back_disk_is_detected(fleet: FleetProcesses, sur: int, tmp_path: Path) -> None:
    """A rolled-back copy lacks entries that the member has reported as durable; it must not vote with them."""
    leader = fleet.wait_for_leader()
    old = fleet.others(leader)[0]
    old.kill()
    copy = tmp_path / "copy"
    copy.mkdir()
    for path in disk_files(old):
        shutil.copy(path, copy)
    old.start()
    fleet.wait_converged()
    for state in ("suspended", "active", "suspended"):
        version = set_state(fleet, leader, state)
    wait_until(lambda: fleet.wait_converged() == version, 5)
    old.kill()
    for path in disk_files(old):
        path.unlink()
    for path in copy.iterdir():
        shutil.copy(path, old.folder)
    old.start()
    assert fleet.wait_converged() == version
    assert "an old copy" in old.log.read_text()
    assert all(
        one.status()["dropped"].get("set back") for one in fleet.others(old) if one.status()["leader"] == one.name
    )


def test_a_truncated_write_ahead_log_is_detected(fleet: FleetProcesses, sur: int) -> None:
    """The write-ahead log is truncated, and with it entries that the member has reported as durable."""
    leader = fleet.wait_for_leader()
    torn = fleet.others(leader)[0]
    version = set_state(fleet, leader)
    fleet.wait_converged()
    torn.kill()
    log = torn.folder / "registry.db-wal"
    size = log.stat().st_size
    with open(log, "r+b") as file:
        file.truncate(size // 2)
    torn.start()
    assert fleet.wait_converged() == version
    assert is_busy(torn.read(sur))


def test_a_member_with_a_full_disk_serves_but_does_not_vote(fleet: FleetProcesses, sur: int) -> None:
    leader = fleet.wait_for_leader()
    full = fleet.others(leader)[0]
    full.kill()
    full.start()
    fleet.wait_converged()
    for n in range(4):  # so that its files exceed the limit below, and the program's log does not
        set_state(fleet, leader, ("suspended", "active")[n % 2])
    fleet.wait_converged()
    assert full.process is not None
    process = psutil.Process(full.process.pid)
    process.rlimit(psutil.RLIMIT_FSIZE, (8 << 10, -1))  # writes past this offset fail, as on a full disk
    version = set_state(fleet, leader)
    assert fleet.wait_converged() == version and is_busy(full.read(sur))
    wait_until(lambda: bool([row for row in leader.status()["members"] if row["name"] == full.name][0]["disk"]), 5)
    set_state(fleet, leader, "active")
    fleet.wait_converged()
    assert full.read(sur) == VALUE
    third = next(one for one in fleet.others(leader) if one is not full)
    leader.kill()
    wait_until(lambda: is_busy(third.read(sur)), 10)  # the full disk cannot vote, so there is no leader
    assert not third.status()["leader"]
    process.rlimit(psutil.RLIMIT_FSIZE, (-1, -1))
    fleet.wait_for_leader(full.name + third.name)
    wait_until(lambda: [one.read(sur) for one in (full, third)] == [VALUE] * 2, 10)


def test_full_disks_at_a_majority_stop_changes_but_not_service(fleet: FleetProcesses, sur: int) -> None:
    leader = fleet.wait_for_leader()
    for n in range(4):
        set_state(fleet, leader, ("suspended", "active")[n % 2])
    fleet.wait_converged()
    full = [psutil.Process(one.process.pid) for one in fleet.others(leader) if one.process is not None]
    for process in full:
        process.rlimit(psutil.RLIMIT_FSIZE, (8 << 10, -1))
    first = leader.call("PUT", STATE_PATH, {"state": "suspended"}, if_match="*", idempotency_key="later")
    assert first.status == 504, first.body
    assert [one.read(sur) for one in fleet.members.values()] == [VALUE] * 3
    for process in full:
        process.rlimit(psutil.RLIMIT_FSIZE, (-1, -1))
    found = fleet.call_until_final(leader, "PUT", STATE_PATH, {"state": "suspended"}, key="later")
    assert found.status == 200 and found.headers["idempotency-replayed"] == "true"
    assert fleet.wait_converged() == 6 and all(is_busy(one.read(sur)) for one in fleet.members.values())


def test_lost_duplicated_delayed_and_fragmented_messages(fleet: FleetProcesses, sur: int) -> None:
    for way in fleet.between.ways.values():
        way.loss, way.double, way.delay = 0.1, 0.1, 0.05
    version = 0
    for n in range(10):
        version = set_state(fleet, fleet["abc"[n % 3]], ("suspended", "active")[n % 2])
    fleet.between.heal()
    for way in fleet.between.ways.values():
        way.drip = 64
    version = set_state(fleet, fleet["a"])
    fleet.between.heal()
    assert fleet.wait_converged() == version


def test_the_command_line_shows_the_fleet(fleet: FleetProcesses, sur: int) -> None:
    leader = fleet.wait_for_leader()
    follower = fleet.others(leader)[0]
    follower.kill()
    set_state(fleet, leader)

    def admin(*words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [
                sys.executable,
                "-m",
                "ternquay",
                "admin",
                "--url",
                f"http://{leader.api}",
                "--token",
                leader.operator_token,
                *words,
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
        )

    wait_until(lambda: "suspected" in admin("fleet").stdout, 10)
    table = admin("fleet").stdout.splitlines()
    assert f"test as {leader.name} sees it: led by {leader.name}, term" in table[-1] and "version 2" in table[-1]
    status = json.loads(admin("--json", "fleet").stdout)
    assert {row["name"]: row["reach"] for row in status["members"]}[follower.name] == "suspected"
    assert status["leader"] == leader.name and status["version"] == 2
    wrong = admin("fleet", "leave", "nobody")
    assert wrong.returncode == 2 and "nobody is no member" in wrong.stderr


def test_invalid_bytes_from_strangers_are_dropped(fleet: FleetProcesses, sur: int) -> None:
    one = fleet["a"]
    address = fleet.between.places["a"]
    for text in (
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x40\x00\x00\x00" + b"x" * 1000,
        b"\x00\x00\x00\x40" + b"y" * 64,
        b"\x00" * 4,
        b"\x00\x00",
    ):
        with socket.create_connection(address, timeout=5) as stranger:
            stranger.sendall(text)
            time.sleep(0.05)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        for size in (0, 1, 100, 8000):
            stranger.sendto(b"z" * size, address)
    wait_until(lambda: {"size", "digest"} <= set(one.status()["dropped"]), 5, lambda: str(one.status()["dropped"]))
    set_state(fleet, one)
    fleet.wait_converged()


def test_with_go_on_a_lone_member_serves_and_changes_need_all_members(tmp_path: Path, host: FakeCacheHost) -> None:
    fleet = FleetProcesses(tmp_path, more='alone = "go-on"')
    try:
        fleet.start()
        port = fleet.create_tenant(fleet.wait_for_leader(), "sur", (host.address,))
        fleet.wait_converged()
        leader = fleet.wait_for_leader()
        lone, other = fleet.others(leader)
        fleet.between.cut({lone.name}, {leader.name, other.name})
        found = fleet.call_until_final(leader, "PUT", STATE_PATH, {"state": "suspended"}, within=10)
        assert found.status == 422 and f"{lone.name}: is out of reach" in found.body["detail"]
        assert [one.read(port) for one in fleet.members.values()] == [VALUE] * 3
        # Restarted alone it serves the version it has, except tenants with a proposal of unknown outcome.
        lone.kill()
        lone.start()
        wait_until(lambda: lone.read(port) == VALUE, 5)
        # Changes don't wait for a removed member.
        assert fleet.call_until_final(leader, "DELETE", f"/v1/fleet/{lone.name}").status == 202
        lone.kill()
        wait_until(
            lambda: fleet.call_until_final(leader, "PUT", STATE_PATH, {"state": "suspended"}, within=10).status == 200,
            20,
        )
        fleet.between.heal()
        lone.start()
        wait_until(lambda: is_busy(lone.read(port)), 10)
    finally:
        fleet.end()


def test_a_fleet_starts_with_the_registry_of_a_single_process(tmp_path: Path, host: FakeCacheHost) -> None:
    fleet = FleetProcesses(tmp_path)
    try:
        alone = fleet["b"]
        text = alone.config_file.read_text()
        alone.config_file.write_text(
            text.replace("[peers]", "#").replace(text.partition("[peers]")[2].partition("[[api.operators]]")[0], "\n")
        )
        alone.start()
        port = HostedService.parse_address(alone.create_tenant("sur", (host.address,)))[1]
        assert alone.terminate() == 0
        alone.config_file.write_text(text)
        fleet.start()
        assert fleet.wait_converged() == 1
        assert fleet["b"].status()["leader"] == "b"  # no other member had the registry
        assert fleet["a"].call("GET", "/v1/tenants/sur").status == 200
        assert port
        fleet["b"].kill()
        set_state(fleet, fleet.wait_for_leader("ac"))
        # Without its fleet it may be behind, so it refuses to start.
        alone.config_file.write_text(alone.config_file.read_text().replace("[peers]", "[never]"))
        with pytest.raises(AssertionError, match="never"):
            alone.start()
    finally:
        fleet.end()


def test_a_member_far_behind_receives_a_snapshot(tmp_path: Path, host: FakeCacheHost) -> None:
    fleet = FleetProcesses(tmp_path, more="log_kept = 16")
    try:
        fleet.start()
        port = fleet.create_tenant(fleet.wait_for_leader(), "sur", (host.address,))
        gone = fleet.create_tenant(fleet.wait_for_leader(), "norte", (host.address,))
        fleet.wait_converged()
        leader = fleet.wait_for_leader()
        behind = fleet.others(leader)[0]
        behind.kill()
        for n in range(60):
            version = set_state(fleet, leader, ("suspended", "active")[n % 2])
        assert fleet.call_until_final(leader, "DELETE", "/v1/tenants/norte").status == 202
        wait_until(lambda: leader.call("GET", "/v1/tenants/norte").status == 404, 10)
        behind.start()
        assert fleet.wait_converged() > version
        assert behind.read(port) == VALUE
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((behind.address, gone), timeout=2)
        behind.terminate()
        store = sqlite3.connect(behind.folder / "registry.db")
        assert int(store.execute("SELECT value FROM fleet_meta WHERE name = 'base'").fetchone()[0]) > 100
        store.close()
    finally:
        fleet.end()
