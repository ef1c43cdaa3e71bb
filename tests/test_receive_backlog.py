"""Since when bytes of a connection may lie unread. Times are milliseconds."""

from ternquay.net.receive_backlog import MS, ReceiveBacklog


def backlog(*reads: tuple[int, int, bool]) -> ReceiveBacklog:
    one = ReceiveBacklog()
    for now, arrived_after, more in reads:
        one.record_read(now * MS, arrived_after * MS, more)
    return one


def test_reads_that_empty_the_buffer_begin_no_backlog() -> None:
    assert backlog((100, 100, False), (300, 250, False)).since == 0


def test_a_backlog_lasts_until_nothing_came_for_a_moment_after_it_was_empty() -> None:
    assert backlog((100, 90, True), (200, 104, True)).since == 90 * MS
    assert backlog((100, 90, True), (200, 104, False), (210, 204, False)).since == 90 * MS
    assert backlog((100, 90, True), (200, 104, False), (210, 206, False)).since == 0
    assert backlog((100, 90, True), (200, 150, True), (210, 206, False)).since == 90 * MS
    assert backlog((100, 90, True), (200, 104, False), (210, 206, True)).since == 206 * MS


def test_bytes_that_come_while_reading_is_paused_are_as_old_as_the_pause() -> None:
    one = backlog((100, 100, False))
    one.record_pause(120 * MS)
    one.record_resume(150 * MS, empty=False)
    assert not one.is_old(170 * MS) and one.is_old(171 * MS)
    one.record_read(500 * MS, 490 * MS, False)
    assert one.since == 120 * MS and one.is_old(500 * MS)


def test_a_pause_in_which_nothing_came_is_no_backlog() -> None:
    one = backlog((100, 100, False))
    one.record_pause(120 * MS)
    one.record_resume(200 * MS, empty=True)
    one.record_read(500 * MS, 490 * MS, False)
    assert one.since == 0
