"""Balancers that follow their list wrongly, each in one way: what the rig's judge has to catch."""

from dataclasses import replace
from random import Random

from ternquay.net.follow import Failure, Follow
from ternquay.net.limits import SECOND, Limits


class NotAnew(Follow):
    """A watch that has fallen silent is not opened anew."""

    def failed(self, now: int, how: Failure) -> int:
        return super().failed(now, how) if how is not Failure.SILENT else 3600 * SECOND


class Late(Follow):
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


TWINS: dict[str, type[Follow]] = {"not-anew": NotAnew, "late": Late}
