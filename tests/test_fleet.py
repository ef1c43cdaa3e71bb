"""Several processes of a fleet with faults between them: kill, SIGSTOP, cuts both ways and one, delay, loss, disks.

What a client gets tells what a member takes by: a value where the tenant is active, a word to come again where it is
suspended or the member has no lease. A member that gives a value after a suspension is in force anywhere else is the
fault that all of this stands against.
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

from tests.fleet_helper import READ, Fellow, Fleet, until
from tests.hosted_helper import ROOT, HostedService
from tests.test_hosted import FakeCacheHost

VALUE = b"VA 2 Oi1\r\nhi\r\n"
STATE = "/v1/tenants/sur/state"
CHANGE_MOST = 1.0  # seconds that a change takes at most where a leader is known, from the call to all members


@pytest.fixture(scope="module")
def host() -> FakeCacheHost:
    return FakeCacheHost()


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    one = Fleet(tmp_path)
    yield one
    one.end()


@pytest.fixture
def sur(fleet: Fleet, host: FakeCacheHost) -> int:
    """A fleet of three that serves one tenant everywhere; its port."""
    fleet.start()
    port = fleet.make(fleet.leader(), "sur", (host.address,))
    fleet.same()
    assert [one.read(port) for one in fleet.all.values()] == [VALUE] * 3
    return port


def suspend(fleet: Fleet, at: Fellow, state: str = "suspended") -> int:
    found = fleet.change(at, "PUT", STATE, {"state": state})
    assert found.status == 200, found.body
    return int(found.body["version"])


def busy(answer: bytes) -> bool:
    return answer.startswith(b"SERVER_ERROR busy")


@dataclass(frozen=True)
class Unserved:
    """A read that had no value: when it was begun and answered, and the answer."""

    asked: float
    answered: float
    line: bytes

    def within(self, began: float, ended: float) -> bool:
        return self.asked <= ended and self.answered >= began


class Asker(threading.Thread):
    """Asks one member again and again, on a connection each; when it was asked and whether it had a value."""

    def __init__(self, member: Fellow, port: int) -> None:
        super().__init__(daemon=True)
        self.place = member.address, port
        self.values: list[float] = []
        self.unserved: list[Unserved] = []
        self.asked = 0
        self.ended = False
        self.start()

    def run(self) -> None:
        while not self.ended:
            began = time.monotonic()
            try:
                with socket.create_connection(self.place, timeout=20) as client:
                    client.sendall(READ % (1, 1))
                    line = client.makefile("rb").readline()
            except OSError:
                line = b""
            self.asked += 1
            if line.startswith(b"VA"):
                self.values.append(began)
            else:
                self.unserved.append(Unserved(began, time.monotonic(), line))
            time.sleep(0.005)


def test_a_change_asked_for_anywhere_is_in_force_everywhere(fleet: Fleet, sur: int) -> None:
    leader = fleet.leader()
    follower = fleet.others(leader)[0]
    version = suspend(fleet, follower)
    # The leader's own answer and its own rule: no member takes by the old one once anybody knows.
    assert all(busy(one.read(sur)) for one in fleet.all.values())
    assert fleet.same() == version
    again = follower.call("PUT", STATE, {"state": "active"}, if_match='"1"')
    assert again.status == 412  # a leader's problem reaches whoever asked at another
    assert follower.call("GET", "/v1/tenants/nobody").status == 404


def test_killed_while_a_change_is_made_it_comes_back_with_that_change(fleet: Fleet, sur: int) -> None:
    leader = fleet.leader()
    killed = fleet.others(leader)[0]
    killed.kill()
    version = suspend(fleet, leader)
    killed.start()
    # From its first answer on: before it knows what is in force it takes nothing.
    asker = Asker(killed, sur)
    assert fleet.same() == version
    until(lambda: asker.asked > 20, 10)
    asker.ended = True
    assert asker.values == []


def test_stopped_while_a_change_is_made_it_wakes_up_and_takes_nothing_by_the_old(fleet: Fleet, sur: int) -> None:
    leader = fleet.leader()
    stopped = fleet.others(leader)[0]
    asker = Asker(stopped, sur)
    until(lambda: len(asker.values) > 10, 10)
    stopped.stop()
    client = socket.create_connection((stopped.address, sur), timeout=10)
    client.sendall(READ % (1, 1))  # lies there when it wakes up
    version = suspend(fleet, leader)
    done = time.monotonic()
    stopped.go_on()
    assert busy(client.makefile("rb").readline())
    client.close()
    assert fleet.same() == version
    asker.ended = True
    assert [at for at in asker.values if at > done] == []


def test_a_leader_that_was_stopped_is_another_ones_follower_as_it_wakes_up(fleet: Fleet, sur: int) -> None:
    old = fleet.leader()
    rest = "".join(one.name for one in fleet.others(old))
    old.stop()
    new = fleet.leader(rest)
    version = suspend(fleet, new)
    client = socket.create_connection((old.address, sur), timeout=10)
    client.sendall(READ % (1, 1))
    old.go_on()
    assert busy(client.makefile("rb").readline())
    client.close()
    assert fleet.same() == version
    assert fleet.leader().name != old.name or fleet.leader().fleet()["term"] > 1


@pytest.mark.parametrize("back", [True, False], ids=["both ways", "heard by nobody"])
def test_cut_off_it_takes_nothing_after_its_lease_and_the_others_go_on(fleet: Fleet, sur: int, back: bool) -> None:
    leader = fleet.leader()
    lone, other = fleet.others(leader)
    asker = Asker(lone, sur)
    fleet.between.cut({lone.name}, {leader.name, other.name}, back)
    version = suspend(fleet, leader)
    in_force = time.monotonic()
    assert suspend(fleet, leader, "active") == version + 1
    assert [one.read(sur) for one in (leader, other)] == [VALUE] * 2
    until(lambda: busy(lone.read(sur)), 5)
    asker.ended = True
    assert [at for at in asker.values if at > in_force] == []
    refused = lone.call("PUT", STATE, {"state": "suspended"}, if_match="*")
    assert refused.status in (503, 504)
    assert [row for row in lone.fleet()["members"] if row["name"] == lone.name][0]["fenced"]
    fleet.between.heal()
    assert fleet.same() == version + 1
    assert lone.read(sur) == VALUE


def test_a_leader_that_is_heard_and_hears_nobody_is_followed_by_another(fleet: Fleet, sur: int) -> None:
    old = fleet.leader()
    rest = {one.name for one in fleet.others(old)}
    fleet.between.cut(rest, {old.name}, back=False)  # its rounds go out, their answers are lost
    new = fleet.leader("".join(sorted(rest)))
    assert new is not old
    suspend(fleet, new)
    until(lambda: busy(old.read(sur)), 5)
    fleet.between.heal()
    fleet.same()


def test_a_call_is_answered_as_before_by_the_next_leader(fleet: Fleet, sur: int) -> None:
    old = fleet.leader()
    body = {"state": "suspended"}
    first = fleet.change(old, "PUT", STATE, body, key="once")
    old.kill()
    new = fleet.leader("".join(one.name for one in fleet.others(old)))
    again = fleet.change(new, "PUT", STATE, body, key="once")
    assert (again.status, again.body, again.headers["idempotency-replayed"]) == (200, first.body, "true")
    other = fleet.change(new, "PUT", STATE, {"state": "active"}, key="once")
    assert other.status == 422 and other.body["field"] == "Idempotency-Key"


def test_the_leader_killed_in_the_midst_of_changes_none_that_was_told_is_lost(fleet: Fleet, sur: int) -> None:
    """Each call keeps its key until its outcome is known; in the end the log of changes has each of them once."""
    follower = fleet.others(fleet.leader())[0]
    told: list[int] = []
    ended = threading.Event()

    def changes() -> None:
        while not ended.is_set():
            found = fleet.change(follower, "PUT", STATE, {"state": ("suspended", "active")[len(told) % 2]})
            assert found.status == 200, found.body
            told.append(found.body["version"])

    def more() -> None:
        before = len(told)
        until(lambda: len(told) > before + 5, 20)

    thread = threading.Thread(target=changes)
    thread.start()
    try:
        for _ in range(3):
            more()
            leader = fleet.leader(within=20)
            if leader is follower:
                leader = fleet.others(follower)[0]
            leader.kill()
            more()
            leader.start()
    finally:
        ended.set()
        thread.join(30)
    assert fleet.same() == told[-1] and len(set(told)) == len(told)
    for one in fleet.all.values():
        lines = one.call("GET", f"/v1/changes?after={told[-100:][0] - 1}&limit=200").body["changes"]
        assert [line["version"] for line in lines] == told[-100:]


def test_what_one_machine_can_not_have_is_nowhere(fleet: Fleet, sur: int, host: FakeCacheHost) -> None:
    leader = fleet.leader()
    bad = fleet.others(leader)[0]
    with socket.create_server((bad.address, 0)) as taken:
        from tests.hosted_helper import document

        port = taken.getsockname()[1]
        found = fleet.change(leader, "POST", "/v1/tenants", document("norte", f"0.0.0.0:{port}", (host.address,)))
    assert found.status == 422 and found.body["field"] == "listeners[0]"
    assert found.body["detail"].startswith(f"{bad.name}: can't be bound")
    assert fleet.same() == 1
    for one in fleet.all.values():
        assert one.call("GET", "/v1/tenants/norte").status == 404
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((one.address, port), timeout=2)
    # The same again once there is room: nothing of the first try is left anywhere.
    made = fleet.change(leader, "POST", "/v1/tenants", document("norte", f"0.0.0.0:{port}", (host.address,)))
    assert made.status == 201
    fleet.same()


def test_two_changes_at_once_at_two_members_are_one_after_the_other(fleet: Fleet, sur: int) -> None:
    leader = fleet.leader()
    found: list[Any] = []
    limits = leader.call("GET", "/v1/tenants/sur/limits").body
    limits = limits.get("limits", limits)

    def change(at: Fellow, burst: int) -> None:
        found.append(fleet.change(at, "PUT", "/v1/tenants/sur/limits", limits | {"burst": burst}))

    threads = [threading.Thread(target=change, args=(one, 100 + n)) for n, one in enumerate(fleet.all.values())]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(20)
    assert [one.status for one in found] == [200] * 3
    assert sorted(one.body["version"] for one in found) == [2, 3, 4]
    assert fleet.same() == 4


def test_all_killed_at_once_and_started_one_by_one(fleet: Fleet, sur: int) -> None:
    version = suspend(fleet, fleet.leader())
    for one in fleet.all.values():
        one.kill()
    fleet["a"].start()
    asker = Asker(fleet["a"], sur)
    until(lambda: asker.asked > 10, 10)
    assert not fleet["a"].fleet()["leader"]
    fleet["b"].start()
    fleet.leader("ab")
    assert fleet.same("ab") == version
    fleet["c"].start()
    assert fleet.same() == version
    asker.ended = True
    assert asker.values == []


def test_told_to_end_it_takes_nothing_by_the_old_until_it_is_gone(fleet: Fleet, sur: int) -> None:
    leader = fleet.leader()
    ends = fleet.others(leader)[0]
    asker = Asker(ends, sur)
    until(lambda: len(asker.values) > 10, 10)
    assert ends.process is not None
    ends.process.terminate()
    suspend(fleet, leader)
    done, asked = time.monotonic(), asker.asked
    until(lambda: asker.asked > asked + 20, 10)
    asker.ended = True
    assert [at for at in asker.values if at > done] == []
    assert ends.process.wait(10) == 0


def test_a_leader_that_is_told_to_end_leaves_its_place_and_no_service_is_lost(fleet: Fleet, sur: int) -> None:
    old = fleet.leader()
    rest = fleet.others(old)
    askers = [Asker(one, sur) for one in rest]
    assert old.process is not None
    old.process.terminate()
    names = "".join(one.name for one in rest)
    new = fleet.leader(names, 5)
    assert old.process.poll() is None  # still finishing what it took
    began = time.monotonic()
    suspend(fleet, new, "active")
    fleet.same(names)
    ended = time.monotonic()
    assert ended - began < CHANGE_MOST
    assert old.process.wait(10) == 0
    for asker in askers:
        asker.ended = True
        asker.join(20)
        # While the change is made its tenant is told to come again; at all other times each read has its value.
        lost = [one for one in asker.unserved if not (busy(one.line) and one.within(began, ended))]
        assert not lost and len(asker.values) > 20, (began, ended, lost)


def disk(member: Fellow) -> list[Path]:
    return list(member.folder.glob("registry.db*"))


def test_a_member_that_lost_its_disk_comes_in_anew(fleet: Fleet, sur: int) -> None:
    leader = fleet.leader()
    lost = fleet.others(leader)[0]
    lost.kill()
    for path in disk(lost):
        path.unlink()
    version = suspend(fleet, leader)
    lost.start()
    assert fleet.same() == version
    # It counts again: with the third one dead it is a part of the majority.
    fleet.others(lost)[0].kill()
    rest = "".join(one.name for one in fleet.all.values() if one is not fleet.others(lost)[0])
    suspend(fleet, fleet.leader(rest), "active")


def test_a_disk_that_was_set_back_is_found_out(fleet: Fleet, sur: int, tmp_path: Path) -> None:
    """A copy from before: what the member told the others that it has on disk isn't there."""
    leader = fleet.leader()
    old = fleet.others(leader)[0]
    old.kill()
    copy = tmp_path / "copy"
    copy.mkdir()
    for path in disk(old):
        shutil.copy(path, copy)
    old.start()
    fleet.same()
    for state in ("suspended", "active", "suspended"):
        version = suspend(fleet, leader, state)
    until(lambda: fleet.same() == version, 5)
    old.kill()
    for path in disk(old):
        path.unlink()
    for path in copy.iterdir():
        shutil.copy(path, old.folder)
    old.start()
    assert fleet.same() == version
    assert "an old copy" in old.log.read_text()
    assert all(one.fleet()["dropped"].get("set back") for one in fleet.others(old) if one.fleet()["leader"] == one.name)


def test_a_torn_log_is_found_out_as_well(fleet: Fleet, sur: int) -> None:
    """The last record of the write-ahead log is torn off, with what it told the others."""
    leader = fleet.leader()
    torn = fleet.others(leader)[0]
    version = suspend(fleet, leader)
    fleet.same()
    torn.kill()
    log = torn.folder / "registry.db-wal"
    size = log.stat().st_size
    with open(log, "r+b") as file:
        file.truncate(size // 2)
    torn.start()
    assert fleet.same() == version
    assert busy(torn.read(sur))


def test_a_full_disk_serves_on_and_votes_for_nothing(fleet: Fleet, sur: int) -> None:
    leader = fleet.leader()
    full = fleet.others(leader)[0]
    full.kill()
    full.start()
    fleet.same()
    for n in range(4):  # so that its files are longer than the bound below, and the program's log is not
        suspend(fleet, leader, ("suspended", "active")[n % 2])
    fleet.same()
    assert full.process is not None
    process = psutil.Process(full.process.pid)
    process.rlimit(psutil.RLIMIT_FSIZE, (8 << 10, -1))  # what is written behind that fails, as on a full disk
    version = suspend(fleet, leader)
    assert fleet.same() == version and busy(full.read(sur))
    until(lambda: bool([row for row in leader.fleet()["members"] if row["name"] == full.name][0]["disk"]), 5)
    suspend(fleet, leader, "active")
    fleet.same()
    assert full.read(sur) == VALUE
    third = next(one for one in fleet.others(leader) if one is not full)
    leader.kill()
    until(lambda: busy(third.read(sur)), 10)  # no vote is to be had, so no leader
    assert not third.fleet()["leader"]
    process.rlimit(psutil.RLIMIT_FSIZE, (-1, -1))
    fleet.leader(full.name + third.name)
    until(lambda: [one.read(sur) for one in (full, third)] == [VALUE] * 2, 10)


def test_full_disks_at_a_majority_stop_changes_and_no_service_and_the_outcome_is_told_later(
    fleet: Fleet, sur: int
) -> None:
    leader = fleet.leader()
    for n in range(4):
        suspend(fleet, leader, ("suspended", "active")[n % 2])
    fleet.same()
    full = [psutil.Process(one.process.pid) for one in fleet.others(leader) if one.process is not None]
    for process in full:
        process.rlimit(psutil.RLIMIT_FSIZE, (8 << 10, -1))
    told = leader.call("PUT", STATE, {"state": "suspended"}, if_match="*", idempotency_key="later")
    assert told.status == 504, told.body
    assert [one.read(sur) for one in fleet.all.values()] == [VALUE] * 3
    for process in full:
        process.rlimit(psutil.RLIMIT_FSIZE, (-1, -1))
    found = fleet.change(leader, "PUT", STATE, {"state": "suspended"}, key="later")
    assert found.status == 200 and found.headers["idempotency-replayed"] == "true"
    assert fleet.same() == 6 and all(busy(one.read(sur)) for one in fleet.all.values())


def test_messages_lost_doubled_late_and_in_pieces(fleet: Fleet, sur: int) -> None:
    for way in fleet.between.ways.values():
        way.loss, way.double, way.delay = 0.1, 0.1, 0.05
    version = 0
    for n in range(10):
        version = suspend(fleet, fleet["abc"[n % 3]], ("suspended", "active")[n % 2])
    fleet.between.heal()
    for way in fleet.between.ways.values():
        way.drip = 64
    version = suspend(fleet, fleet["a"])
    fleet.between.heal()
    assert fleet.same() == version


def test_the_command_line_shows_the_fleet(fleet: Fleet, sur: int) -> None:
    leader = fleet.leader()
    follower = fleet.others(leader)[0]
    follower.kill()
    suspend(fleet, leader)

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

    until(lambda: "suspected" in admin("fleet").stdout, 10)
    table = admin("fleet").stdout.splitlines()
    assert f"test as {leader.name} sees it: led by {leader.name}, term" in table[-1] and "version 2" in table[-1]
    told = json.loads(admin("--json", "fleet").stdout)
    assert {row["name"]: row["reach"] for row in told["members"]}[follower.name] == "suspected"
    assert told["leader"] == leader.name and told["version"] == 2
    wrong = admin("fleet", "leave", "nobody")
    assert wrong.returncode == 2 and "nobody is no member" in wrong.stderr


def test_strangers_bytes_end_nothing(fleet: Fleet, sur: int) -> None:
    one = fleet["a"]
    place = fleet.between.places["a"]
    for text in (
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x40\x00\x00\x00" + b"x" * 1000,
        b"\x00\x00\x00\x40" + b"y" * 64,
        b"\x00" * 4,
        b"\x00\x00",
    ):
        with socket.create_connection(place, timeout=5) as stranger:
            stranger.sendall(text)
            time.sleep(0.05)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        for size in (0, 1, 100, 8000):
            stranger.sendto(b"z" * size, place)
    until(lambda: {"size", "digest"} <= set(one.fleet()["dropped"]), 5, lambda: str(one.fleet()["dropped"]))
    suspend(fleet, one)
    fleet.same()


def test_with_go_on_a_lone_member_serves_and_changes_want_all(tmp_path: Path, host: FakeCacheHost) -> None:
    fleet = Fleet(tmp_path, more='alone = "go-on"')
    try:
        fleet.start()
        port = fleet.make(fleet.leader(), "sur", (host.address,))
        fleet.same()
        leader = fleet.leader()
        lone, other = fleet.others(leader)
        fleet.between.cut({lone.name}, {leader.name, other.name})
        found = fleet.change(leader, "PUT", STATE, {"state": "suspended"}, within=10)
        assert found.status == 422 and f"{lone.name}: is out of reach" in found.body["detail"]
        assert [one.read(port) for one in fleet.all.values()] == [VALUE] * 3
        # Alone and started again it serves by what it has, but for a tenant whose proposal has no outcome here.
        lone.kill()
        lone.start()
        until(lambda: lone.read(port) == VALUE, 5)
        # Taken out by the operators, it is waited for no more.
        assert fleet.change(leader, "DELETE", f"/v1/fleet/{lone.name}").status == 202
        lone.kill()
        until(lambda: fleet.change(leader, "PUT", STATE, {"state": "suspended"}, within=10).status == 200, 20)
        fleet.between.heal()
        lone.start()
        until(lambda: busy(lone.read(port)), 10)
    finally:
        fleet.end()


def test_a_registry_of_one_process_is_what_the_fleet_begins_with(tmp_path: Path, host: FakeCacheHost) -> None:
    fleet = Fleet(tmp_path)
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
        assert fleet.same() == 1
        assert fleet["b"].fleet()["leader"] == "b"  # nobody else had it
        assert fleet["a"].call("GET", "/v1/tenants/sur").status == 200
        assert port
        fleet["b"].kill()
        suspend(fleet, fleet.leader("ac"))
        # By itself it may be behind, so it does not begin without its fleet.
        alone.config_file.write_text(alone.config_file.read_text().replace("[peers]", "[never]"))
        with pytest.raises(AssertionError, match="never"):
            alone.start()
    finally:
        fleet.end()


def test_who_is_far_behind_gets_all_that_is_in_force_at_once(tmp_path: Path, host: FakeCacheHost) -> None:
    fleet = Fleet(tmp_path, more="log_kept = 16")
    try:
        fleet.start()
        port = fleet.make(fleet.leader(), "sur", (host.address,))
        gone = fleet.make(fleet.leader(), "norte", (host.address,))
        fleet.same()
        leader = fleet.leader()
        behind = fleet.others(leader)[0]
        behind.kill()
        for n in range(60):
            version = suspend(fleet, leader, ("suspended", "active")[n % 2])
        assert fleet.change(leader, "DELETE", "/v1/tenants/norte").status == 202
        until(lambda: leader.call("GET", "/v1/tenants/norte").status == 404, 10)
        behind.start()
        assert fleet.same() > version
        assert behind.read(port) == VALUE
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((behind.address, gone), timeout=2)
        behind.terminate()
        store = sqlite3.connect(behind.folder / "registry.db")
        assert int(store.execute("SELECT value FROM fleet_meta WHERE name = 'base'").fetchone()[0]) > 100
        store.close()
    finally:
        fleet.end()
