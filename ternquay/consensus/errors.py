"""Why a requested change is not, or not yet, in force."""


class RetryLater(Exception):
    """The change was not made and may be requested again.

    `leader` is the member to ask, "" where none is known.
    """

    def __init__(self, reason: str, leader: str = "") -> None:
        super().__init__(reason)
        self.reason, self.leader = reason, leader


class ChangeAborted(Exception):
    """The change was aborted on every member because `member` cannot apply it; `field` names the part at fault."""

    def __init__(self, member: str, field: str, reason: str) -> None:
        super().__init__(reason)
        self.member, self.field, self.reason = member, field, reason


class OutcomeUnknown(Exception):
    """The outcome is not known yet: the change may still come into force."""
