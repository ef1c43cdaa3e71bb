"""Eviction of inactive clients in favour of clients that wait in the accept queue while all sockets are in use.

The operating system has already completed the connections of waiting clients, and their requests must be answered. As
many inactive clients are closed as wait: first clients that stopped in the middle of a request that is refused already,
then clients that are idle after an answer or have sent nothing, then clients that stopped in the middle of any other
request or write slowly on a spare place, longest inactive first. A client that waits for an answer or has unread bytes
is never closed. Times are integer nanoseconds.
"""

from collections.abc import Iterator
from itertools import islice
from typing import TYPE_CHECKING

from ternquay.net.limits import MS
from ternquay.net.safety import CloseReason

if TYPE_CHECKING:
    from ternquay.net.client import ClientConnection
    from ternquay.net.frontend import Frontend

EVICTION_INTERVAL_NS = 50 * MS  # between two evictions while all sockets are in use
# A waiting client may have only a few hundred milliseconds left, so these times are a fraction of that.
MIN_SILENCE_NS = 100 * MS  # without a byte since the accept; an ordinary client writes as soon as it connects
MIN_PAUSE_NS = 100 * MS  # without another byte of an incomplete request
MAX_SPARE_TIME_NS = 200 * MS  # for a request on a spare place, where it is only refused


def evict_clients(frontend: "Frontend", most: int) -> int:
    """Closes up to `most` inactive clients. Returns how many."""
    return sum(1 for _ in islice(_evictions(frontend), most))


def close_refused(frontend: "Frontend") -> bool:
    """Closes a client that stopped in the middle of a refused request. Returns whether there was one."""
    now = frontend.dispatcher.now()
    stopped = (c for c in frontend.refused_values if _is_stopped(c, now) and not c.has_unread_bytes())
    client = next(stopped, None)
    if client is None:
        return False
    client.fail_request(CloseReason.STOPPED)
    frontend.client_disconnected(client)
    return True


def _evictions(frontend: "Frontend") -> Iterator[None]:
    now = frontend.dispatcher.now()
    while close_refused(frontend):
        yield
    for client in [c for c in frontend.idle_clients if c.answered or now - c.last_activity >= MIN_SILENCE_NS]:
        if client in frontend.idle_clients and frontend.close_idle(client):
            yield
    stopped = [c for c in frontend.partial_requests if _is_stopped(c, now) or _holds_spare_place(c, now)]
    for client in sorted(stopped, key=lambda c: c.deadline.last_byte_at):
        # Closing one client may have closed another one of this list.
        if client in frontend.partial_requests and not client.has_unread_bytes():
            client.fail_request(CloseReason.STOPPED)
            yield


def _holds_spare_place(client: "ClientConnection", now: int) -> bool:
    """Whether the client writes slowly on a place that is meant to tell further clients at once to come again."""
    return (
        client.over_limit
        and not client.pending
        and not client.queued_bytes
        and now - client.accepted_at >= MAX_SPARE_TIME_NS
    )


def _is_stopped(client: "ClientConnection", now: int) -> bool:
    """Whether the client itself stopped in the middle of a request, and none of its other requests is open."""
    return (
        not client.pending
        and not client.queued_bytes
        and not client.reading_held()
        and now - client.deadline.last_byte_at >= MIN_PAUSE_NS
    )
