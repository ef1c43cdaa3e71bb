"""Rarer faults of a fleet: a leader that dies at each step of a change, wrong clocks, a leader that is removed, a
member that cannot apply what was decided while it was down, even sizes, and a flapping partition."""

import socket
import threading
import time
from pathlib import Path

from tests.fleet_helper import FleetProcesses, wait_until
from tests.hosted_helper import document
from tests.test_fleet import STATE_PATH, VALUE, PollingReader, host, is_busy, set_state  # noqa: F401  # host is a fixture
from tests.test_hosted import FakeCacheHost


def test_the_leader_killed_at_each_step_of_a_change(tmp_path: Path, host: FakeCacheHost) -> None:  # noqa: F811
    """From the proposal to the answer: at whatever step the leader dies, the repeated call makes the change once."""
    fleet = FleetProcesses(tmp_path, fault="die")
    try:
        fleet.start()
        port = fleet.create_tenant(fleet.wait_for_leader(), "sur", (host.address,))
        fleet.wait_converged()
        for step in range(1, 60):
            leader = fleet.wait_for_leader()
            target = fleet.others(leader)[step % 2]
            before = target.status()["version"]
            (leader.folder / "step").write_text(str(step))
            state = ("suspended", "active")[step % 2]
            found = fleet.call_until_final(target, "PUT", STATE_PATH, {"state": state}, key=f"step-{step}")
            assert (found.status, found.body["version"]) == (200, before + 1), (step, found.body)
            assert leader.process is not None
            if (leader.folder / "step").exists():
                break  # the change took fewer steps
            leader.process.wait(5)
            rest = "".join(one.name for one in fleet.others(leader))
            assert fleet.wait_converged(rest) == before + 1
            assert all((one.read(port) == VALUE) == (state == "active") for one in fleet.others(leader))
            leader.start()
            assert fleet.wait_converged() == before + 1
        assert step > 8
    finally:
        fleet.end()


def test_a_date_that_jumps_by_an_hour_has_no_effect(tmp_path: Path, host: FakeCacheHost) -> None:  # noqa: F811
    fleet = FleetProcesses(tmp_path, fault="jump")
    try:
        fleet.start()
        port = fleet.create_tenant(fleet.wait_for_leader(), "sur", (host.address,))
        fleet.wait_converged()
        readers = [PollingReader(one, port) for one in fleet.members.values()]
        wait_until(lambda: all(reader.reads > 300 for reader in readers), 30)
        for reader in readers:
            reader.ended = True
            assert len(reader.values) >= reader.reads - 1
        set_state(fleet, fleet.wait_for_leader())
        assert all(is_busy(one.read(port)) for one in fleet.members.values())
    finally:
        fleet.end()


def test_a_clock_slower_than_the_drift_bound_breaks_the_lease(tmp_path: Path, host: FakeCacheHost) -> None:  # noqa: F811
    """Partitioned, the slow member serves the old version until its own clock ends the lease, after three leases."""
    fleet = FleetProcesses(tmp_path)
    fleet["c"].fault = "slow"
    try:
        fleet.start()
        port = fleet.create_tenant(fleet.wait_for_leader("ab"), "sur", (host.address,))
        fleet.wait_converged()
        wait_until(lambda: fleet["c"].status()["leader"] in ("a", "b"), 10)
        reader = PollingReader(fleet["c"], port)
        fleet.between.cut({"c"}, {"a", "b"})
        set_state(fleet, fleet.wait_for_leader("ab"))
        done = time.monotonic()
        wait_until(lambda: is_busy(fleet["c"].read(port)), 10)
        reader.ended = True
        beyond = [at for at in reader.values if at > done]
        assert beyond and max(beyond) - done < 4  # its lease ends even so
        fleet.between.heal()
        fleet.wait_converged()
    finally:
        fleet.end()


def test_the_leader_is_removed_and_readmitted(tmp_path: Path, host: FakeCacheHost) -> None:  # noqa: F811
    fleet = FleetProcesses(tmp_path)
    try:
        fleet.start()
        port = fleet.create_tenant(fleet.wait_for_leader(), "sur", (host.address,))
        fleet.wait_converged()
        old = fleet.wait_for_leader()
        rest = "".join(one.name for one in fleet.others(old))
        assert old.call("DELETE", f"/v1/fleet/{old.name}").status == 202
        new = fleet.wait_for_leader(rest)
        wait_until(lambda: is_busy(old.read(port)), 10)
        set_state(fleet, new)
        set_state(fleet, new, "active")
        assert fleet.wait_converged(rest) == 3
        time.sleep(0.5)
        assert is_busy(old.read(port)) and new.status()["out"] == [old.name]
        found = fleet.call_until_final(fleet[rest[0]], "PUT", f"/v1/fleet/{old.name}")
        assert found.status == 202, found.body
        assert fleet.wait_converged() == 3
        wait_until(lambda: old.read(port) == VALUE, 10)
        assert fleet.call_until_final(new, "DELETE", "/v1/fleet/nobody").status == 422
    finally:
        fleet.end()


def test_a_member_that_cannot_apply_a_decided_change_serves_nothing(
    tmp_path: Path,
    host: FakeCacheHost,  # noqa: F811
) -> None:
    fleet = FleetProcesses(tmp_path)
    try:
        fleet.start()
        port = fleet.create_tenant(fleet.wait_for_leader(), "sur", (host.address,))
        fleet.wait_converged()
        leader = fleet.wait_for_leader()
        away = fleet.others(leader)[0]
        away.kill()
        with socket.create_server((away.address, 0)) as taken:
            other = taken.getsockname()[1]
            found = fleet.call_until_final(
                leader, "POST", "/v1/tenants", document("norte", f"0.0.0.0:{other}", (host.address,))
            )
            assert found.status == 201
            away.start()
            wait_until(
                lambda: (
                    "can't be bound"
                    in str([row["why"] for row in away.status()["members"] if row["name"] == away.name])
                ),
                10,
            )
            assert is_busy(away.read(port))
        assert fleet.wait_converged() == 2  # once the port is free
        wait_until(lambda: away.read(port) == VALUE and away.read(other) == VALUE, 10)
    finally:
        fleet.end()


def test_five_members_tolerate_the_loss_of_two_but_not_of_three(tmp_path: Path, host: FakeCacheHost) -> None:  # noqa: F811
    fleet = FleetProcesses(tmp_path, "abcde")
    try:
        fleet.start()
        port = fleet.create_tenant(fleet.wait_for_leader(), "sur", (host.address,))
        fleet.wait_converged()
        leader = fleet.wait_for_leader()
        lost = [leader, fleet.others(leader)[0]]
        for one in lost:
            one.kill()
        rest = [one for one in fleet.members.values() if one not in lost]
        names = "".join(one.name for one in rest)
        set_state(fleet, fleet.wait_for_leader(names))
        assert all(is_busy(one.read(port)) for one in rest)
        set_state(fleet, rest[0], "active")
        fleet.wait_converged(names)
        rest[0].kill()
        wait_until(lambda: all(is_busy(one.read(port)) for one in rest[1:]), 5)
        assert rest[1].call("PUT", STATE_PATH, {"state": "suspended"}, if_match="*").status == 503
        for one in (*lost, rest[0]):
            one.launch()
        for one in (*lost, rest[0]):
            one.wait_until_ready()
        assert fleet.wait_converged() == 3
    finally:
        fleet.end()


def test_two_members_warn_and_neither_makes_changes_alone(tmp_path: Path, host: FakeCacheHost) -> None:  # noqa: F811
    fleet = FleetProcesses(tmp_path, "ab")
    try:
        fleet.start()
        port = fleet.create_tenant(fleet.wait_for_leader(), "sur", (host.address,))
        fleet.wait_converged()
        assert "2 members tolerate the loss of 0" in fleet["a"].log.read_text()
        fleet["b"].kill()
        wait_until(lambda: is_busy(fleet["a"].read(port)), 5)
        assert fleet["a"].call("PUT", STATE_PATH, {"state": "suspended"}, if_match="*").status in (503, 504)
        fleet["b"].start()
        assert fleet.wait_converged() == 1
    finally:
        fleet.end()


def test_changes_during_a_flapping_partition(tmp_path: Path, host: FakeCacheHost) -> None:  # noqa: F811
    """Every half second a member is partitioned or the network heals; changes go to any member, each with its key."""
    fleet = FleetProcesses(tmp_path)
    ended = threading.Event()

    def flap() -> None:
        names = ("a", "b", "c")
        for n in range(1000):
            if ended.wait(0.5):
                return
            fleet.between.heal()
            if n % 2 == 0:
                fleet.between.cut({names[n // 2 % 3]}, set(names))

    flapping = threading.Thread(target=flap)
    try:
        fleet.start()
        fleet.create_tenant(fleet.wait_for_leader(), "sur", (host.address,))
        fleet.wait_converged()
        flapping.start()
        versions: list[int] = []
        end = time.monotonic() + 8
        while time.monotonic() < end:
            versions.append(
                set_state(fleet, fleet["abc"[len(versions) % 3]], ("suspended", "active")[len(versions) % 2])
            )
        ended.set()
        flapping.join(5)
        fleet.between.heal()
        assert fleet.wait_converged() == versions[-1] and len(versions) > 10
        assert versions == sorted(set(versions))
    finally:
        ended.set()
        fleet.end()
