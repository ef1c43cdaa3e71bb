"""Rates, lent parts and turns: what one tenant takes beyond its part is never another's."""

from collections import Counter
from random import Random

import pytest

from ternquay.hosted.shared.fairness import SECOND, Bucket, Lent, Part, Turns

MS = 1_000_000


def test_a_bucket_takes_its_rate_and_burst_and_tells_when_to_come_back() -> None:
    bucket = Bucket(100.0, 5.0)
    assert [bucket.take(0) for _ in range(5)] == [0] * 5
    wait = bucket.take(0)
    assert 9 * MS < wait <= 10 * MS + 1
    assert bucket.take(wait - MS) > 0 and bucket.take(wait + 1) == 0
    taken = sum(bucket.take(SECOND + n * MS) == 0 for n in range(10_000))
    assert 1000 <= taken <= 1006  # ten seconds at 100, and the burst
    bucket.change(20 * SECOND, 1.0, 2.0)
    assert [bucket.take(20 * SECOND) == 0 for _ in range(3)] == [True, True, False]
    assert bucket.take(19 * SECOND) > 0  # a clock that went back gives nothing


def test_what_is_not_used_is_lent_and_its_owner_gets_it_back_at_once() -> None:
    lent = Lent(100, {"a": Part(40, 90), "b": Part(40, 90), "c": Part(20, 50)})
    assert sum(lent.take("a") for _ in range(200)) == 90  # its most
    assert sum(lent.take("b") for _ in range(200)) == 40  # ten are left of the whole, but its part is its own
    assert lent.total == 130 and lent.owed() == [("a", 30)]
    lent.give("a", 30)
    assert lent.owed() == [] and not lent.take("a") and lent.take("c", 20)
    assert lent.owed() == [("a", 20)]


def test_one_that_has_no_part_any_more_gives_back_all_and_leaves_no_trace() -> None:
    lent = Lent(10, {"a": Part(5, 10), "b": Part(5, 10)})
    assert lent.take("a", 8)
    lent.settle({"b": Part(5, 10)})
    assert not lent.take("a") and lent.take("b", 5) and lent.owed() == [("a", 3)]
    lent.give("a", 8)
    lent.give("a", 8)
    assert lent.total == 5 and lent.used == {"b": 5}


def test_parts_hold_whatever_is_taken_and_given_back() -> None:
    random = Random(7)
    parts = {f"t{n}": Part(n * 4, 30 + n * 9) for n in range(6)}
    lent = Lent(100, parts)
    for _ in range(20_000):
        name, amount = random.choice(sorted(parts)), random.randrange(1, 9)
        before = lent.used.get(name, 0)
        if random.random() < 0.6:
            took = lent.take(name, amount)
            assert took or before + amount > parts[name].least  # within its part nobody is turned away
        else:
            lent.give(name, amount)
        assert lent.total == sum(lent.used.values()) and lent.used.get(name, 0) <= parts[name].most
        for other, due in lent.owed():
            lent.give(other, due)
        assert lent.total <= lent.whole


def played(turns: Turns, cost: dict[str, int], seconds: float, arrive: dict[str, int]) -> tuple[Counter[str], int]:
    """Time that each had, and the longest wait of one that pauses `arrive` between its turns."""
    now, had, longest = 0, Counter[str](), 0
    due = dict.fromkeys(arrive, 0)
    waits: dict[str, int] = {}
    random = Random(1)
    while now < seconds * SECOND:
        for name, at in due.items():
            if at <= now and name not in waits:
                waits[name] = at
                turns.ready(now, name)
        who = turns.next()
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
        turns.spent(now, who, took, more=not arrive[who])
    return had, longest


def test_floods_share_the_loop_by_weight_whatever_their_turns_cost() -> None:
    turns = Turns(MS)
    turns.settle({"a": 1.0, "b": 1.0, "c": 2.0})
    had, _ = played(turns, {"a": 20 * MS, "b": MS // 10, "c": MS}, 20, {"a": 0, "b": 0, "c": 0})
    whole = sum(had.values())
    assert {name: round(had[name] / whole, 2) for name in "abc"} == {"a": 0.25, "b": 0.25, "c": 0.5}


def test_who_asks_now_and_then_waits_for_one_turn_of_a_flood_at_the_most() -> None:
    turns = Turns(MS)
    turns.settle({"flood": 1.0, "calm": 1.0})
    had, longest = played(turns, {"flood": 3 * MS, "calm": MS // 2}, 20, {"flood": 0, "calm": 20 * MS})
    assert had["calm"] > 0.95 * 20 / 0.0225 * 0.5 * MS  # all that it asked for, or nearly
    assert longest <= 2 * 4.5 * MS


def test_a_pause_does_not_wipe_out_a_debt_and_time_does() -> None:
    turns = Turns(MS)
    turns.settle({"a": 1.0, "b": 1.0})
    turns.ready(0, "a")
    assert turns.next() == "a"
    turns.spent(0, "a", 50 * MS, more=False)  # far more than its part, then nothing for a moment
    turns.ready(MS, "b")
    turns.ready(MS, "a")
    order = []
    for n in range(30):
        name = turns.next()
        assert name is not None
        order.append(name)
        turns.spent(MS * n, name, MS, more=True)
    assert order == ["b"] * 30
    turns.spent(0, "a", 0, more=False)
    turns.sweep(3 * SECOND)
    turns.ready(3 * SECOND, "a")
    assert turns.left["a"] == 0.0 and not turns.since


@pytest.mark.parametrize("gone", ["a", "b"])
def test_one_that_is_gone_in_its_turn_is_not_waited_for(gone: str) -> None:
    turns = Turns(MS)
    turns.settle({"a": 1.0, "b": 1.0})
    turns.ready(0, "a")
    turns.ready(0, "b")
    turns.next()
    turns.settle({name: 1.0 for name in "ab" if name != gone})
    turns.spent(0, gone, MS, more=True)
    assert turns.next() != gone and turns.next() is not None
    turns.ready(0, gone)
    assert list(turns.waiting) == [name for name in "ab" if name != gone]
