"""Timing of the event loop: how long the current iteration lasts, and how long its input may have waited unread.

An iteration starts when the poll returns. Input that is readable now was not readable at the previous poll, so it has
waited no longer than since then, and not at all if the poll blocked. Input that is read late in a long iteration also
waits for all work before it.
"""

from collections.abc import Callable
from typing import Any

BLOCKED_NS = 100_000  # a poll that takes longer had nothing to report when it was called
STALL_NS = 100_000_000  # a poll that returns this late, or an iteration that lasts this long, means a stalled process


class LoopTiming:
    """Tracks the iterations of the event loop. A TimedPoller reports their starts.

    Times are integer nanoseconds on the caller's clock.
    """

    def __init__(self, max_duration: int) -> None:
        self.max_duration = max_duration  # an iteration that lasts longer accepts no further transactions
        self.started_at = self.earliest_arrival = self.iteration = 0
        self.accept_backlog_since = 0  # since when clients may wait in the accept queue; 0: the queue was emptied
        self.stalled_before = False  # the process stalled before this iteration
        self.arrivals_unreported = False  # it stalled and the poll reported nothing: the next poll reports the input

    def begin(self, now: int, polled_at: int = 0, timeout: int = -1, has_input: bool = True) -> None:
        """Starts an iteration, as a poll that was called at `polled_at` returns. `has_input`: it reported input.

        A poll that blocks returns with the first input. If the process stalls during it, it returns later than its
        `timeout` (-1: none), and the reported input may have arrived at any time since `polled_at`.
        """
        polled_at = polled_at or now
        stalled, waited = 0 <= timeout < now - polled_at - STALL_NS, now - polled_at > BLOCKED_NS
        unreported = self.arrivals_unreported and not waited
        self.stalled_before = stalled or unreported or (self.started_at > 0 and polled_at - self.started_at > STALL_NS)
        # A poll that a process stop interrupts returns without input once its timeout is over, even if input arrived.
        self.arrivals_unreported = (stalled or unreported) and not has_input
        self.iteration += 1
        if waited:
            self.earliest_arrival = polled_at if stalled else now
        elif not unreported:
            self.earliest_arrival = self.started_at or now
        self.started_at = now

    def accept_ended(self, more_waiting: bool) -> None:
        """Records that clients were accepted. `more_waiting`: more may wait in the accept queue."""
        self.accept_backlog_since = (self.accept_backlog_since or self.earliest_arrival) if more_waiting else 0

    def waiting_since(self) -> int:
        """Returns the earliest time since which a client that is accepted now may have waited."""
        return self.accept_backlog_since or self.earliest_arrival

    def max_unread_time(self, now: int, since: int) -> int:
        """Returns the longest time that input read now may have waited, in nanoseconds.

        `since`: the earliest arrival on a new connection, whose input may be older than the iteration; 0: none.
        """
        earliest = min(self.earliest_arrival, since) if since else self.earliest_arrival
        return now - earliest if earliest else 0

    def process_stalled(self, now: int) -> bool:
        """Whether the process was stopped or busy for so long that input may have arrived unread."""
        return self.stalled_before or (self.started_at > 0 and now - self.started_at > STALL_NS)

    def is_overrun(self, now: int) -> bool:
        """Whether this iteration has lasted so long that further requests are refused."""
        return self.started_at > 0 and now - self.started_at > self.max_duration


class TimedPoller:
    """Wraps an epoll object and reports each poll: time of return, time of call, timeout and whether it found input."""

    def __init__(self, poller: Any, now: Callable[[], int], on_poll: Callable[[int, int, int, bool], None]) -> None:
        self.now, self.on_poll = now, on_poll
        self.register, self.modify, self.unregister = poller.register, poller.modify, poller.unregister
        self.inner_poll, self.close = poller.poll, poller.close

    def poll(self, timeout: float, *args: Any) -> Any:
        polled_at = self.now()
        events = self.inner_poll(timeout, *args)
        self.on_poll(self.now(), polled_at, int(timeout * 1_000_000_000) if timeout >= 0 else -1, bool(events))
        return events
