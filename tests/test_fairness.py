"""Rates, shared capacity and round robin: a tenant never gets more than its part at the expense of another."""

from collections import Counter
from random import Random

import pytest

from ternquay.hosted.shared.fairness import SECOND, Allocation, DeficitRoundRobin, SharedCapacity, TokenBucket

MS = 1_000_000


def test_a_token_bucket_admits_its_rate_and_burst_and_returns_the_wait() -> None:
    bucket = TokenBucket(100.0, 5.0)
    assert [bucket.take(0) for _ in range(5)] == [0] * 5
    wait = bucket.take(0)
    assert 9 * MS < wait <= 10 * MS + 1
    assert bucket.take(wait - MS) > 0 and bucket.take(wait + 1) == 0
    taken = sum(bucket.take(SECOND + n * MS) == 0 for n in range(10_000))
    assert 1000 <= taken <= 1006  # ten seconds at 100 a second, and the burst
    bucket.change(20 * SECOND, 1.0, 2.0)
    assert [bucket.take(20 * SECOND) == 0 for _ in range(3)] == [True, True, False]
    assert bucket.take(19 * SECOND) > 0  # a clock that goes back adds no tokens


def test_unused_capacity_is_lent_and_reclaimed_by_its_owner_at_once() -> None:
    capacity = SharedCapacity(100, {"a": Allocation(40, 90), "b": Allocation(40, 90), "c": Allocation(20, 50)})
    assert sum(capacity.acquire("a") for _ in range(200)) == 90  # its limit
    assert sum(capacity.acquire("b") for _ in range(200)) == 40  # ten are left of the capacity, but 40 are guaranteed
    assert capacity.total_used == 130 and capacity.reclaimable() == [("a", 30)]
    capacity.release("a", 30)
    assert capacity.reclaimable() == [] and not capacity.acquire("a") and capacity.acquire("c", 20)
    assert capacity.reclaimable() == [("a", 20)]


def test_a_tenant_without_an_allocation_gives_back_everything() -> None:
    capacity = SharedCapacity(10, {"a": Allocation(5, 10), "b": Allocation(5, 10)})
    assert capacity.acquire("a", 8)
    capacity.set_allocations({"b": Allocation(5, 10)})
    assert not capacity.acquire("a") and capacity.acquire("b", 5) and capacity.reclaimable() == [("a", 3)]
    capacity.release("a", 8)
    capacity.release("a", 8)
    assert capacity.total_used == 5 and capacity.used == {"b": 5}


def test_allocations_hold_over_random_use() -> None:
    random = Random(7)
    allocations = {f"t{n}": Allocation(n * 4, 30 + n * 9) for n in range(6)}
    capacity = SharedCapacity(100, allocations)
    for _ in range(20_000):
        name, amount = random.choice(sorted(allocations)), random.randrange(1, 9)
        before = capacity.used.get(name, 0)
        if random.random() < 0.6:
            took = capacity.acquire(name, amount)
            assert took or before + amount > allocations[name].guaranteed  # within the guarantee nothing is refused
        else:
            capacity.release(name, amount)
        assert (
            capacity.total_used == sum(capacity.used.values()) and capacity.used.get(name, 0) <= allocations[name].limit
        )
        for other, due in capacity.reclaimable():
            capacity.release(other, due)
        assert capacity.total_used <= capacity.capacity


def simulate(
    scheduler: DeficitRoundRobin, cost: dict[str, int], seconds: float, arrive: dict[str, int]
) -> tuple[Counter[str], int]:
    """Returns the time that each name had, and the longest wait of a name that pauses `arrive` between its turns."""
    now, had, longest = 0, Counter[str](), 0
    due = dict.fromkeys(arrive, 0)
    waits: dict[str, int] = {}
    random = Random(1)
    while now < seconds * SECOND:
        for name, at in due.items():
            if at <= now and name not in waits:
                waits[name] = at
                scheduler.enqueue(now, name)
        who = scheduler.next_turn()
        if who is None:
            now = min(due.values())
            continue
        took = int(cost[who] * random.uniform(0.5, 1.5))
        if arrive[who]:
            longest = max(longest, now - waits[who])
        del waits[who]
        now += took
        had[who] += took
        due[who] = now + arrive[who]
        if not arrive[who]:
            waits[who] = now
        scheduler.end_turn(now, who, took, more=not arrive[who])
    return had, longest


def test_saturating_tenants_share_the_time_by_weight_whatever_their_turns_cost() -> None:
    scheduler = DeficitRoundRobin(MS)
    scheduler.set_weights({"a": 1.0, "b": 1.0, "c": 2.0})
    had, _ = simulate(scheduler, {"a": 20 * MS, "b": MS // 10, "c": MS}, 20, {"a": 0, "b": 0, "c": 0})
    whole = sum(had.values())
    assert {name: round(had[name] / whole, 2) for name in "abc"} == {"a": 0.25, "b": 0.25, "c": 0.5}


def test_an_occasional_tenant_waits_for_one_turn_of_a_saturating_one_at_most() -> None:
    scheduler = DeficitRoundRobin(MS)
    scheduler.set_weights({"flood": 1.0, "calm": 1.0})
    had, longest = simulate(scheduler, {"flood": 3 * MS, "calm": MS // 2}, 20, {"flood": 0, "calm": 20 * MS})
    assert had["calm"] > 0.95 * 20 / 0.0225 * 0.5 * MS  # nearly all that it asked for
    assert longest <= 2 * 4.5 * MS


def test_a_debt_outlasts_a_pause_and_expires_with_time() -> None:
    scheduler = DeficitRoundRobin(MS)
    scheduler.set_weights({"a": 1.0, "b": 1.0})
    scheduler.enqueue(0, "a")
    assert scheduler.next_turn() == "a"
    scheduler.end_turn(0, "a", 50 * MS, more=False)  # far more than its part, then a pause
    scheduler.enqueue(MS, "b")
    scheduler.enqueue(MS, "a")
    order = []
    for n in range(30):
        name = scheduler.next_turn()
        assert name is not None
        order.append(name)
        scheduler.end_turn(MS * n, name, MS, more=True)
    assert order == ["b"] * 30
    scheduler.end_turn(0, "a", 0, more=False)
    scheduler.expire_debts(3 * SECOND)
    scheduler.enqueue(3 * SECOND, "a")
    assert scheduler.credit["a"] == 0.0 and not scheduler.idle_debt_since


@pytest.mark.parametrize("gone", ["a", "b"])
def test_a_name_removed_during_its_turn_is_not_waited_for(gone: str) -> None:
    scheduler = DeficitRoundRobin(MS)
    scheduler.set_weights({"a": 1.0, "b": 1.0})
    scheduler.enqueue(0, "a")
    scheduler.enqueue(0, "b")
    scheduler.next_turn()
    scheduler.set_weights({name: 1.0 for name in "ab" if name != gone})
    scheduler.end_turn(0, gone, MS, more=True)
    assert scheduler.next_turn() != gone and scheduler.next_turn() is not None
    scheduler.enqueue(0, gone)
    assert list(scheduler.waiting) == [name for name in "ab" if name != gone]
