"""A fleet of processes in which one dies at each step of a change, has an odd clock, leads and is taken out, or can't
have what was decided while it was away."""

import socket
import threading
import time
from pathlib import Path

from tests.fleet_helper import Fleet, until
from tests.hosted_helper import document
from tests.test_fleet import STATE, VALUE, Asker, busy, host, suspend  # noqa: F401  # a fixture among them
from tests.test_hosted import FakeCacheHost


def test_the_leader_killed_at_each_step_of_a_change(tmp_path: Path, host: FakeCacheHost) -> None:  # noqa: F811
    """From the proposal to the answer: whatever the step, asked again with its key the change is made once."""
    fleet = Fleet(tmp_path, odd="die")
    try:
        fleet.start()
        port = fleet.make(fleet.leader(), "sur", (host.address,))
        fleet.same()
        for step in range(1, 60):
            leader = fleet.leader()
            asked = fleet.others(leader)[step % 2]
            before = asked.fleet()["version"]
            (leader.folder / "step").write_text(str(step))
            state = ("suspended", "active")[step % 2]
            found = fleet.change(asked, "PUT", STATE, {"state": state}, key=f"step-{step}")
            assert (found.status, found.body["version"]) == (200, before + 1), (step, found.body)
            assert leader.process is not None
            if (leader.folder / "step").exists():
                break  # it has no so late a step any more
            leader.process.wait(5)
            rest = "".join(one.name for one in fleet.others(leader))
            assert fleet.same(rest) == before + 1
            assert all((one.read(port) == VALUE) == (state == "active") for one in fleet.others(leader))
            leader.start()
            assert fleet.same() == before + 1
        assert step > 8
    finally:
        fleet.end()


def test_a_date_that_jumps_by_hours_changes_nothing(tmp_path: Path, host: FakeCacheHost) -> None:  # noqa: F811
    fleet = Fleet(tmp_path, odd="jump")
    try:
        fleet.start()
        port = fleet.make(fleet.leader(), "sur", (host.address,))
        fleet.same()
        askers = [Asker(one, port) for one in fleet.all.values()]
        until(lambda: all(asker.asked > 300 for asker in askers), 30)
        for asker in askers:
            asker.ended = True
            assert len(asker.values) >= asker.asked - 1
        suspend(fleet, fleet.leader())
        assert all(busy(one.read(port)) for one in fleet.all.values())
    finally:
        fleet.end()


def test_a_clock_far_slower_than_the_bound_is_what_the_bound_is_stated_against(
    tmp_path: Path,
    host: FakeCacheHost,  # noqa: F811
) -> None:
    """Cut off, it takes on by the old version for as long as its clock says: three leases instead of one."""
    fleet = Fleet(tmp_path)
    fleet["c"].odd = "slow"
    try:
        fleet.start()
        port = fleet.make(fleet.leader("ab"), "sur", (host.address,))
        fleet.same()
        until(lambda: fleet["c"].fleet()["leader"] in ("a", "b"), 10)
        asker = Asker(fleet["c"], port)
        fleet.between.cut({"c"}, {"a", "b"})
        suspend(fleet, fleet.leader("ab"))
        done = time.monotonic()
        until(lambda: busy(fleet["c"].read(port)), 10)
        asker.ended = True
        beyond = [at for at in asker.values if at > done]
        assert beyond and max(beyond) - done < 4  # it ends all the same
        fleet.between.heal()
        fleet.same()
    finally:
        fleet.end()


def test_the_member_that_leads_is_taken_out_and_let_in_again(tmp_path: Path, host: FakeCacheHost) -> None:  # noqa: F811
    fleet = Fleet(tmp_path)
    try:
        fleet.start()
        port = fleet.make(fleet.leader(), "sur", (host.address,))
        fleet.same()
        old = fleet.leader()
        rest = "".join(one.name for one in fleet.others(old))
        assert old.call("DELETE", f"/v1/fleet/{old.name}").status == 202
        new = fleet.leader(rest)
        until(lambda: busy(old.read(port)), 10)
        suspend(fleet, new)
        suspend(fleet, new, "active")
        assert fleet.same(rest) == 3
        time.sleep(0.5)
        assert busy(old.read(port)) and new.fleet()["out"] == [old.name]
        found = fleet.change(fleet[rest[0]], "PUT", f"/v1/fleet/{old.name}")
        assert found.status == 202, found.body
        assert fleet.same() == 3
        until(lambda: old.read(port) == VALUE, 10)
        assert fleet.change(new, "DELETE", "/v1/fleet/nobody").status == 422
    finally:
        fleet.end()


def test_what_was_decided_while_it_was_away_and_it_can_not_have_keeps_it_from_taking(
    tmp_path: Path,
    host: FakeCacheHost,  # noqa: F811
) -> None:
    fleet = Fleet(tmp_path)
    try:
        fleet.start()
        port = fleet.make(fleet.leader(), "sur", (host.address,))
        fleet.same()
        leader = fleet.leader()
        away = fleet.others(leader)[0]
        away.kill()
        with socket.create_server((away.address, 0)) as taken:
            other = taken.getsockname()[1]
            found = fleet.change(leader, "POST", "/v1/tenants", document("norte", f"0.0.0.0:{other}", (host.address,)))
            assert found.status == 201
            away.start()
            until(
                lambda: (
                    "can't be bound" in str([row["why"] for row in away.fleet()["members"] if row["name"] == away.name])
                ),
                10,
            )
            assert busy(away.read(port))
        assert fleet.same() == 2  # as soon as there is room
        until(lambda: away.read(port) == VALUE and away.read(other) == VALUE, 10)
    finally:
        fleet.end()


def test_five_bear_the_loss_of_two_and_two_of_none(tmp_path: Path, host: FakeCacheHost) -> None:  # noqa: F811
    fleet = Fleet(tmp_path, "abcde")
    try:
        fleet.start()
        port = fleet.make(fleet.leader(), "sur", (host.address,))
        fleet.same()
        leader = fleet.leader()
        lost = [leader, fleet.others(leader)[0]]
        for one in lost:
            one.kill()
        rest = [one for one in fleet.all.values() if one not in lost]
        names = "".join(one.name for one in rest)
        suspend(fleet, fleet.leader(names))
        assert all(busy(one.read(port)) for one in rest)
        suspend(fleet, rest[0], "active")
        fleet.same(names)
        rest[0].kill()
        until(lambda: all(busy(one.read(port)) for one in rest[1:]), 5)
        assert rest[1].call("PUT", STATE, {"state": "suspended"}, if_match="*").status == 503
        for one in (*lost, rest[0]):
            one.launch()
        for one in (*lost, rest[0]):
            one.wait_until_ready()
        assert fleet.same() == 3
    finally:
        fleet.end()


def test_two_members_warn_and_neither_changes_anything_alone(tmp_path: Path, host: FakeCacheHost) -> None:  # noqa: F811
    fleet = Fleet(tmp_path, "ab")
    try:
        fleet.start()
        port = fleet.make(fleet.leader(), "sur", (host.address,))
        fleet.same()
        assert "2 members bear the loss of 0" in fleet["a"].log.read_text()
        fleet["b"].kill()
        until(lambda: busy(fleet["a"].read(port)), 5)
        assert fleet["a"].call("PUT", STATE, {"state": "suspended"}, if_match="*").status in (503, 504)
        fleet["b"].start()
        assert fleet.same() == 1
    finally:
        fleet.end()


def test_changes_while_a_cut_flaps(tmp_path: Path, host: FakeCacheHost) -> None:  # noqa: F811
    """Each half second one is cut off or all hear each other; changes go in at any member, each with its key."""
    fleet = Fleet(tmp_path)
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
        fleet.make(fleet.leader(), "sur", (host.address,))
        fleet.same()
        flapping.start()
        told: list[int] = []
        end = time.monotonic() + 8
        while time.monotonic() < end:
            told.append(suspend(fleet, fleet["abc"[len(told) % 3]], ("suspended", "active")[len(told) % 2]))
        ended.set()
        flapping.join(5)
        fleet.between.heal()
        assert fleet.same() == told[-1] and len(told) > 10
        assert told == sorted(set(told))
    finally:
        ended.set()
        fleet.end()
