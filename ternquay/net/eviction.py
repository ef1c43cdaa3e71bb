"""Whose places are given up for clients that wait to be accepted while all places are taken.

A client that waits has been let in by the system, and what it writes is owed an answer. As many as wait lose their
places of those that stand still: first who has had an answer and is idle, or has written nothing, then who stopped in a
request, the longest first. None that is owed an answer does, and none on which bytes lie unread. Times are whole
nanoseconds.
"""

from collections.abc import Iterator
from itertools import islice
from typing import TYPE_CHECKING

from ternquay.net.limits import MS
from ternquay.net.safety import CloseReason

if TYPE_CHECKING:
    from ternquay.net.client import ClientConnection
    from ternquay.net.frontend import Frontend

EVICTION_INTERVAL_NS = 50 * MS  # between two looks while all places are taken
# Who waits may have a few hundred milliseconds left, so the least of these is no more than a part of that.
MIN_SILENCE_NS = 100 * MS  # since it was accepted, without a byte: a true client writes as it connects
MIN_PAUSE_NS = 100 * MS  # without another byte of a request that has begun


def evict_clients(frontend: "Frontend", most: int) -> int:
    """Ends so many clients at most; how many it was."""
    return sum(1 for _ in islice(_evictions(frontend), most))


def _evictions(frontend: "Frontend") -> Iterator["ClientConnection"]:
    now = frontend.dispatcher.now()
    for client in [one for one in frontend.idle_clients if one.answered or now - one.last_activity >= MIN_SILENCE_NS]:
        if client in frontend.idle_clients and frontend.close_idle(client):
            yield client
    stopped = [one for one in frontend.partial_requests if _is_stopped(one, now)]
    for client in sorted(stopped, key=lambda one: one.deadline.last_byte_at):
        # The end of one may set off that of another.
        if client in frontend.partial_requests and not client.has_unread_bytes():
            client.fail_request(CloseReason.STOPPED)
            yield client


def _is_stopped(client: "ClientConnection", now: int) -> bool:
    """Whether it stands in the middle of a request by its own doing, and no other of its requests is open."""
    return (
        not client.pending
        and not client.queued_bytes
        and not client.reading_held()
        and now - client.deadline.last_byte_at >= MIN_PAUSE_NS
    )
