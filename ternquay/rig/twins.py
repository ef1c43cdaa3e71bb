"""Balancers that follow their list wrongly, each in one way: what the rig's judge has to catch."""

from dataclasses import replace
from random import Random

from ternquay.net.limits import SECOND, Limits
from ternquay.net.watch_schedule import CallFailure, WatchSchedule


class NotAnew(WatchSchedule):
    """A watch that has fallen silent is not opened anew."""

    def failed(self, now: int, failure: CallFailure) -> int:
        return super().failed(now, failure) if failure is not CallFailure.SILENT else 3600 * SECOND


class Late(WatchSchedule):
    """Silence is noticed some seconds after what it missed counts as told, and followed by the usual pause."""

    def __init__(self, limits: Limits, draw: Random, pushed: bool) -> None:
        super().__init__(
            replace(
                limits,
                watch_wait=5 * SECOND,
                first_wait=5 * SECOND,
                queue_time=6 * SECOND,
                answer_slack_max=6 * SECOND,
                answer_slack_min=6 * SECOND,
                fast_retry_window=0,
            ),
            draw,
            pushed,
        )


TWINS: dict[str, type[WatchSchedule]] = {"not-anew": NotAnew, "late": Late}
