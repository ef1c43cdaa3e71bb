"""Regression tests of docs/incidents/slow-transfers.md: cache hosts that write or read large values slowly.

All are played on real processes over loopback (tests/slow_transfers.py).
"""

import asyncio

from tests.slow_transfers import Half, Position, Stage, Transfer, play


# Guards against: the final answer of a large request comes seconds after its time, as a timer of the large request
# before it on the connection stands in place of its own.
def test_a_large_request_behind_another_one_is_answered_in_its_time_however_slowly_its_host_reads() -> None:
    transfers = [
        Transfer(Half.REQUEST, Position.AFTER_LARGE, 4_000_000, wait_ms, 7000, 0.0, 200_000)
        for wait_ms in (150, 600, 600, 1200)
    ]
    assert asyncio.run(play(Stage(), transfers)) == []
