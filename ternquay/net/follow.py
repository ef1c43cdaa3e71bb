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

SMOOTH, SPREAD, DEVIATIONS = 1 / 8, 1 / 4, 4  # RFC 6298, section 2, with lateness in the place of round trips
QUEUES_MOST = 4


class Failure(Enum):
    ENDED = 0  # 503, reset, refused: nothing was told by it
    SILENT = 1  # what it missed since it fell silent will count as told
    SPOILT = 2  # what it told counts as told, and can't be read


@dataclass(slots=True, frozen=True)
class Ask:
    """One call; times in whole nanoseconds."""

    wait: int  # for which discovery may hold it while there is nothing new
    patience: int  # from the call on: by then it has fallen silent, and another is made
    kept: int  # how long an answer to this one is good for all that: discovery may have a queue


class Follow:
    """What is known of one discovery's answers. Times in whole nanoseconds; one random.Random for all that is drawn."""

    def __init__(self, limits: Limits, draw: Random, pushed: bool) -> None:
        self.limits, self.draw, self.pushed = limits, draw, pushed
        self.watching = False  # the last call was answered, and the next goes on with that watch
        self.hurry_until = 0  # something that counts as told, now or soon, may have been missed
        self.hurried = False  # since the last answer: against calls that stay as frequent for ever
        self.pause = 0  # before the next call
        self.asked = Ask(0, 0, 0)
        self.late, self.spread = -1.0, 0.0  # how much later than its wait an answer comes, and how much that varies

    def slack(self) -> int:
        """How late an answer may come, by how late the last ones came.

        Against silence that is noticed after a fixed time, too late for a quick discovery, and too early for one with a
        queue: there all would call again, and make the queue longer.
        """
        if self.late < 0:
            return self.limits.answer_slack_max
        most = int(self.late + DEVIATIONS * self.spread)
        return max(self.limits.answer_slack_min, min(self.limits.answer_slack_max, most))

    def ask(self) -> Ask:
        if self.watching:
            # Not all alike: a change ends all watches at once, and from then on all would come back together.
            wait = self.limits.watch_wait - int(self.draw.random() * self.limits.watch_wait / 4)
            patience = wait + self.slack()
            self.asked = Ask(wait, patience, patience)
        else:
            # A new watch may wait in discovery's queue, or have fallen silent, and nothing tells which. So another is
            # made in time for the second, and this one keeps its place: else none would ever come where the queue is
            # longer than one call may take.
            look, queue = self.limits.first_wait, self.limits.queue_time
            self.asked = Ask(look, look + queue, look + QUEUES_MOST * queue)
        return self.asked

    def answered(self, took: int, news: bool) -> int:
        """How long to pause before the next call, as no later one goes on with this watch."""
        if not news or not self.watching:
            self._came(max(0, took - (0 if news else self.asked.wait)))
        idle = not news and self.watching and took <= self.limits.empty_answer_delay
        self.watching, self.hurried, self.hurry_until, self.pause = True, False, 0, 0
        # Against a discovery that has nothing new and does not wait.
        return self.limits.empty_answer_delay if idle else 0

    def _came(self, late: int) -> None:
        if self.late < 0:
            self.late, self.spread = float(late), late / 2
        else:
            self.spread += (abs(self.late - late) - self.spread) * SPREAD
            self.late += (late - self.late) * SMOOTH

    def failed(self, now: int, how: Failure) -> int:
        """How long to pause before the next call."""
        self.watching = False
        if how is not Failure.ENDED and not self.hurried:
            self.hurried, self.hurry_until, self.pause = True, now + self.limits.fast_retry_window, 0
        if now < self.hurry_until:
            # Not longer each time, as the time that is left is short; and not for ever, as discovery may be down.
            pause, self.pause = self.pause, min(self.limits.fast_retry_max, self.limits.pushed_retry_max)
            return self._about(pause)
        least, most = (
            (self.limits.empty_answer_delay // 2, self.limits.pushed_retry_max)
            if self.pushed
            else (self.limits.watch_retry_min, self.limits.watch_retry_max)
        )
        self.pause = max(least, min(most, self.pause * 2))
        return self._about(self.pause)

    def _about(self, span: int) -> int:
        """From half to one and a half times so long: against instances that wait equally long, and meet again."""
        return span // 2 + int(self.draw.random() * span)
