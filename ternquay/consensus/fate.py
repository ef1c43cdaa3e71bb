"""What becomes of a change that is asked for, where it isn't in force."""


class NotNow(Exception):
    """Nothing was proposed; `leader` is who might, "" where nobody is known."""

    def __init__(self, why: str, leader: str = "") -> None:
        super().__init__(why)
        self.why, self.leader = why, leader


class Nowhere(Exception):
    """The change was taken back everywhere, as `member` can't have it."""

    def __init__(self, member: str, field: str, why: str) -> None:
        super().__init__(why)
        self.member, self.field, self.why = member, field, why


class Unknown(Exception):
    """The change may still come into force."""
