"""Short plays of each day with a fleet, judged; and the judge's fifth rule by itself."""

from pathlib import Path

import pytest

from ternquay.rig import records
from ternquay.rig.agree import Made, mixed, play_agreement
from ternquay.rig.terms import MS, DayError, read_day

DAYS = ("agree-crash", "agree-partition", "agree-slow", "agree-restart")


@pytest.mark.parametrize("name", DAYS)
def test_a_fleet_keeps_every_rule_and_loses_no_change(name: str, tmp_path: Path) -> None:
    day = read_day(name, {"seconds": 9.0, "clients": {"rate": 100.0}})
    result, breaches = play_agreement(day, 2, tmp_path)
    assert breaches == []
    agreed = result["agreement"]
    assert (agreed["mixed"], agreed["lost"], agreed["unknown"], agreed["other"]) == (0, 0, 0, [])
    # Else it was no test: changes took hold, one machine's no made some nowhere, and members were without a lease.
    assert agreed["in_force"] > 5 and agreed["nowhere"] > 0
    assert result["tenants"]["sur"]["service"] > 0.5


def saw(*tries: records.Try, hops: tuple[records.Hop, ...] = ()) -> records.Saw:
    return records.Saw(
        "d",
        1,
        1.0,
        0,
        [records.LoadSaw(list(tries), [], [])],
        records.FleetSaw(list(hops), [], [], [], [], [], []),
        [],
        [],
    )


def one(id: str, sent: int, ended: int, answer: str = "value") -> records.Try:
    return records.Try(1, 1, id, 0, 0, 0, 0, 0, 0, sent * MS, 900 * MS, ended=ended * MS, answer=answer)


def test_the_fifth_rule_is_broken_by_a_taking_under_the_old_version_alone() -> None:
    made = [
        Made("state", "", "PUT", "", {"state": "suspended"}, version=2, status=200),
        Made("state", "", "PUT", "", {"state": "active"}, version=3, status=200),
        Made("remove", "", "DELETE", "", None, "host-1", version=4, status=200),
        Made("add", "", "PUT", "", {}, "host-1", version=5, status=200),
    ]
    times = {2: [100 * MS, 103 * MS], 3: [200 * MS], 4: [300 * MS], 5: [400 * MS]}
    for sent, ended, answer, broken in (
        (110, 120, "value", True),
        (110, 120, "receipt", True),
        (110, 120, "rolled-back", False),
        (99, 120, "value", False),
        (110, 201, "value", False),
        (210, 220, "value", False),
    ):
        assert bool(mixed(saw(one("t", sent, ended, answer)), made, times)) is broken, (sent, ended, answer)
    for sent, came, name, broken in (
        (310, 320, "host-1-aa", True),
        (299, 320, "host-1-aa", False),
        (310, 320, "host-2-aa", False),
        (310, 401, "host-1-aa", False),
    ):
        hop = records.Hop("t", "", 0, False, 1, name, came * MS, came * MS)
        assert bool(mixed(saw(one("t", sent, 500), hops=(hop,)), made, times)) is broken, (sent, came, name)


def test_a_trouble_that_can_not_be_is_told_by_its_field() -> None:
    for over, field in (
        ({"kind": "flood", "start": 0.1, "end": 0.2}, r"troubles\[0\].kind"),
        ({"kind": "kill", "start": 0.3, "end": 0.2}, r"agreement.troubles\[0\].end"),
        ({"kind": "kill", "who": "me", "start": 0.1, "end": 0.2}, r"troubles\[0\].who"),
    ):
        with pytest.raises(DayError, match=field):
            read_day("agree-crash", {"agreement": {"troubles": [over]}})
