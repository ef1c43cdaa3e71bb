"""Model of when discovery counts a list change as delivered to a balancer, whether or not the change arrived.

A change that is written to a balancer counts when it is written. A watch that falls silent is broken: the changes that
it misses count 6 s after it fell silent, or 2 s after the wait of its call ends if that is later, unless they were
written before. When discovery goes down, its watches end, silent ones included: such a watch has missed the changes
that were visible by then, and later changes follow the rule for balancers without a watch. A balancer without a watch
is held to the list that it has for the configured asking interval after its last call, or four times as long if that
call failed; from then on each change counts one such interval after it was made.
"""

from dataclasses import dataclass, field

from ternquay.rig.terms import SECOND

SILENCE_LIMIT_NS = 6 * SECOND
AFTER_WAIT_NS = 2 * SECOND
FAILED_CALL_FACTOR = 4


@dataclass(slots=True)
class DeliveryClock:
    """The delivery state of one balancer. Times are nanoseconds of one clock; a version is a number of changes."""

    must_ask_ns: int  # interval within which a balancer without a watch has to ask
    version: int = 0  # latest version written to the balancer
    called_at: int = 0  # time of its latest call
    wait: int = 0  # how long discovery may hold that call open
    failed: bool = False
    watching: bool = False
    silent_since: int = 0  # time at which the watch fell silent; 0 if it works
    deadline: int = 0  # time at which what the silent watch missed counts
    ended_at: int = 0  # time at which discovery went down and ended the silent watch; 0 if it did not
    counted: list[int] = field(default_factory=list)

    def call_received(self, now: int, wait: int) -> None:
        """Records a call, which replaces a silent watch; what that watch missed still counts at its deadline."""
        self.called_at, self.wait, self.failed, self.watching = now, wait, False, True

    def answer_written(self, version: int) -> None:
        """Records an answer with all changes up to that version; the balancer continues its watch."""
        self.version, self.silent_since, self.ended_at, self.watching = max(self.version, version), 0, 0, True

    def call_failed(self) -> None:
        """Records that the latest call failed, which ends the watch."""
        self.failed, self.watching = True, False

    def watch_silent(self, now: int) -> None:
        """Records that the watch no longer delivers anything."""
        if not self.silent_since:
            self.silent_since, self.deadline = (
                now,
                max(now + SILENCE_LIMIT_NS, self.called_at + self.wait + AFTER_WAIT_NS),
            )
            self.ended_at = 0

    def discovery_down(self, now: int) -> None:
        """Records that discovery went down, which ends a silent watch."""
        if self.silent_since and not self.ended_at:
            self.ended_at = now

    def due_version(self, now: int, visible: list[int]) -> int:
        """Returns how many changes count as delivered by now; `visible` has the time at which each became visible."""
        missed = (
            self._visible_by(self.ended_at or now, visible)
            if self.silent_since and now >= self.deadline
            else self.version
        )
        if self.watching or (self.silent_since and not self.ended_at):
            return missed
        return max(missed, self._due_without_watch(now, visible))

    def _due_without_watch(self, now: int, visible: list[int]) -> int:
        """Returns how many changes count as delivered to a balancer that has no watch."""
        interval = self.must_ask_ns * (FAILED_CALL_FACTOR if self.failed else 1)
        return self._visible_by(now - self.must_ask_ns, visible) if now >= self.called_at + interval else self.version

    def _visible_by(self, until: int, visible: list[int]) -> int:
        return max(self.version, sum(1 for at in visible if at <= until))
