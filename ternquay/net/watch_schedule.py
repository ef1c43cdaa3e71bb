"""The schedule of calls to discovery: when the next call starts and how long it may take. Performs no I/O.

The platform counts a change of the host list as delivered whatever happened to the call. A change that a silent watch
missed counts as delivered 6 s after the watch fell silent, one in a corrupt response when it was written, a pushed one
at once, and any other 6 s after discovery had it and was reachable, whichever calls failed before. So the reaction to
each kind of failure depends on what it may have missed, and no delay grows beyond what leaves time for a call. The
calculations are in docs/architecture.md, "The list, and a silent discovery".
"""

from dataclasses import dataclass
from enum import Enum
from random import Random

from ternquay.net.limits import Limits

# The estimator of RFC 6298, section 2, applied to response lateness in place of round-trip times.
LATENESS_GAIN = 1 / 8
SPREAD_GAIN = 1 / 4
SPREAD_MULTIPLE = 4
MAX_QUEUE_TIMES = 4


class CallFailure(Enum):
    """How a call to discovery failed."""

    NO_ANSWER = 0  # status 503, reset or refused: the call delivered nothing
    SILENT = 1  # changes since the watch fell silent will count as delivered
    CORRUPT = 2  # the changes in the response count as delivered, but can't be read


@dataclass(slots=True, frozen=True)
class CallTimes:
    """The durations of one call, in nanoseconds."""

    wait: int  # how long discovery may hold the call while there is no news
    timeout: int  # after this the watch counts as silent, and another call starts
    kept_for: int  # how long a response is still accepted after all, as discovery may have a queue


class WatchSchedule:
    """Schedules the calls to one discovery address from the outcomes of earlier calls.

    All times and durations are integer nanoseconds. All random draws come from the Random that the caller passes in.
    """

    def __init__(self, limits: Limits, draw: Random, pushed: bool) -> None:
        self.limits, self.draw, self.pushed = limits, draw, pushed
        self.watching = False  # the last call was answered, and the next one continues that watch
        # Until this time calls are retried fast: a change that counts as delivered, now or soon, may have been missed.
        self.fast_until = 0
        self.fast_retried = False  # since the last response; prevents retrying fast for ever
        self.retry_delay = 0  # before the next call
        self.current = CallTimes(0, 0, 0)
        # How much later than its wait a response arrives, and how much that varies; negative: not measured yet.
        self.lateness, self.lateness_spread = -1.0, 0.0

    def answer_slack(self) -> int:
        """Returns how late a response may arrive, estimated from the lateness of previous responses.

        A fixed limit would notice silence too late with a quick discovery. With a discovery that has a queue it would
        be too early: all balancers would call again and lengthen the queue.
        """
        if self.lateness < 0:
            return self.limits.answer_slack_max
        expected = int(self.lateness + SPREAD_MULTIPLE * self.lateness_spread)
        return max(self.limits.answer_slack_min, min(self.limits.answer_slack_max, expected))

    def next_call(self) -> CallTimes:
        """Returns the durations of a call that starts now."""
        if self.watching:
            # The wait is random: a change ends all watches at once, and equal waits would keep them in step afterwards.
            wait = self.limits.watch_wait - int(self.draw.random() * self.limits.watch_wait / 4)
            timeout = wait + self.answer_slack()
            self.current = CallTimes(wait, timeout, timeout)
        else:
            # A new watch that is not answered may be in discovery's queue or may have fallen silent, and nothing tells
            # which. Another call starts in time for the second case, and this one keeps its place in the queue:
            # otherwise no response would ever arrive where the queue is longer than the timeout of one call.
            first_wait, queue = self.limits.first_wait, self.limits.queue_time
            self.current = CallTimes(first_wait, first_wait + queue, first_wait + MAX_QUEUE_TIMES * queue)
        return self.current

    def answered(self, duration: int, news: bool) -> int:
        """Records a response and returns the delay before the next call. No later call continues this watch."""
        if not news or not self.watching:
            self._record_lateness(max(0, duration - (0 if news else self.current.wait)))
        idle = not news and self.watching and duration <= self.limits.empty_answer_delay
        self.watching, self.fast_retried, self.fast_until, self.retry_delay = True, False, 0, 0
        # The delay protects against a discovery that has no news and does not wait.
        return self.limits.empty_answer_delay if idle else 0

    def _record_lateness(self, late: int) -> None:
        if self.lateness < 0:
            self.lateness, self.lateness_spread = float(late), late / 2
        else:
            self.lateness_spread += (abs(self.lateness - late) - self.lateness_spread) * SPREAD_GAIN
            self.lateness += (late - self.lateness) * LATENESS_GAIN

    def failed(self, now: int, failure: CallFailure) -> int:
        """Records a failed call and returns the delay before the next one."""
        self.watching = False
        if failure is not CallFailure.NO_ANSWER and not self.fast_retried:
            self.fast_retried, self.fast_until, self.retry_delay = True, now + self.limits.fast_retry_window, 0
        if now < self.fast_until:
            # The delay does not double, as little time is left. The window is bounded, as discovery may be down.
            delay, self.retry_delay = self.retry_delay, min(self.limits.fast_retry_max, self.limits.pushed_retry_max)
            return self._jittered(delay)
        shortest, longest = (
            (self.limits.empty_answer_delay // 2, self.limits.pushed_retry_max)
            if self.pushed
            else (self.limits.watch_retry_min, self.limits.watch_retry_max)
        )
        self.retry_delay = max(shortest, min(longest, self.retry_delay * 2))
        return self._jittered(self.retry_delay)

    def _jittered(self, span: int) -> int:
        """Returns from half to one and a half times the duration, so that balancers do not retry in step."""
        return span // 2 + int(self.draw.random() * span)
