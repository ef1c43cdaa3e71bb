"""When discovery is called next, and how long an answer may take: the clocks of a followed list, without I/O.

What discovery tells counts as told however it fared on its way: what a watch misses that has fallen silent, 6 s
after that; what came spoilt, when it was written; what is pushed, at once; and all else 6 s after discovery had it and
could be reached, whatever call failed before. So each failure is answered by what may have been missed by it, no pause
grows past what leaves time for a call, and the sums are in docs/architecture.md, "The list, and a silent discovery".
"""

from dataclasses import dataclass
from enum import Enum
from random import Random

from ternquay.net.limits import Limits

# RFC 6298, section 2, with lateness in the place of round trips.
LATENESS_GAIN = 1 / 8
SPREAD_GAIN = 1 / 4
SPREAD_MULTIPLE = 4
MAX_QUEUE_TIMES = 4


class CallFailure(Enum):
    NO_ANSWER = 0  # 503, reset, refused: nothing was told by it
    SILENT = 1  # what it missed since it fell silent will count as told
    CORRUPT = 2  # what it told counts as told, and can't be read


@dataclass(slots=True, frozen=True)
class CallTimes:
    """One call; times in whole nanoseconds."""

    wait: int  # for which discovery may hold it while there is nothing new
    timeout: int  # from the call on: by then it has fallen silent, and another is made
    kept_for: int  # how long an answer to this one is good for all that: discovery may have a queue


class WatchSchedule:
    """What is known of one discovery's answers. Times in whole nanoseconds; one random.Random for all that is drawn."""

    def __init__(self, limits: Limits, draw: Random, pushed: bool) -> None:
        self.limits, self.draw, self.pushed = limits, draw, pushed
        self.watching = False  # the last call was answered, and the next goes on with that watch
        self.fast_until = 0  # something that counts as told, now or soon, may have been missed
        self.fast_retried = False  # since the last answer: against calls that stay as frequent for ever
        self.retry_delay = 0  # before the next call
        self.current = CallTimes(0, 0, 0)
        self.lateness, self.lateness_spread = (
            -1.0,
            0.0,
        )  # how much later than its wait an answer comes, and how much that varies

    def answer_slack(self) -> int:
        """How late an answer may come, by how late the last ones came.

        Against silence that is noticed after a fixed time, too late for a quick discovery, and too early for one with a
        queue: there all would call again, and make the queue longer.
        """
        if self.lateness < 0:
            return self.limits.answer_slack_max
        most = int(self.lateness + SPREAD_MULTIPLE * self.lateness_spread)
        return max(self.limits.answer_slack_min, min(self.limits.answer_slack_max, most))

    def next_call(self) -> CallTimes:
        if self.watching:
            # Not all alike: a change ends all watches at once, and from then on all would come back together.
            wait = self.limits.watch_wait - int(self.draw.random() * self.limits.watch_wait / 4)
            timeout = wait + self.answer_slack()
            self.current = CallTimes(wait, timeout, timeout)
        else:
            # A new watch may wait in discovery's queue, or have fallen silent, and nothing tells which. So another is
            # made in time for the second, and this one keeps its place: else none would ever come where the queue is
            # longer than one call may take.
            look, queue = self.limits.first_wait, self.limits.queue_time
            self.current = CallTimes(look, look + queue, look + MAX_QUEUE_TIMES * queue)
        return self.current

    def answered(self, took: int, news: bool) -> int:
        """How long to pause before the next call, as no later one goes on with this watch."""
        if not news or not self.watching:
            self._record_lateness(max(0, took - (0 if news else self.current.wait)))
        idle = not news and self.watching and took <= self.limits.empty_answer_delay
        self.watching, self.fast_retried, self.fast_until, self.retry_delay = True, False, 0, 0
        # Against a discovery that has nothing new and does not wait.
        return self.limits.empty_answer_delay if idle else 0

    def _record_lateness(self, late: int) -> None:
        if self.lateness < 0:
            self.lateness, self.lateness_spread = float(late), late / 2
        else:
            self.lateness_spread += (abs(self.lateness - late) - self.lateness_spread) * SPREAD_GAIN
            self.lateness += (late - self.lateness) * LATENESS_GAIN

    def failed(self, now: int, failure: CallFailure) -> int:
        """How long to pause before the next call."""
        self.watching = False
        if failure is not CallFailure.NO_ANSWER and not self.fast_retried:
            self.fast_retried, self.fast_until, self.retry_delay = True, now + self.limits.fast_retry_window, 0
        if now < self.fast_until:
            # Not longer each time, as the time that is left is short; and not for ever, as discovery may be down.
            pause, self.retry_delay = self.retry_delay, min(self.limits.fast_retry_max, self.limits.pushed_retry_max)
            return self._jittered(pause)
        least, most = (
            (self.limits.empty_answer_delay // 2, self.limits.pushed_retry_max)
            if self.pushed
            else (self.limits.watch_retry_min, self.limits.watch_retry_max)
        )
        self.retry_delay = max(least, min(most, self.retry_delay * 2))
        return self._jittered(self.retry_delay)

    def _jittered(self, span: int) -> int:
        """From half to one and a half times so long: against instances that wait equally long, and meet again."""
        return span // 2 + int(self.draw.random() * span)
