"""When the first byte of a large value may be passed on to its client.

A value that breaks off after its first byte can only be ended together with the connection, and with it the answers to
all requests behind it. So a value is kept until it is whole if a request waits behind it, or may come: if it breaks off
then, its request alone fails. It is kept only as long as its client waits for a first byte, and for less than the time
after which holding back what a cache host sends counts as a loss. Then it is passed on, also where its cache host
pauses: one that pauses can't be told from one that has stopped, and cutting off a value that goes on counts as a loss.
A value without a request behind it is kept only within half of its service goal, as the client may send one at any
time.

The module does no I/O; times are integer nanoseconds on the caller's monotonic clock.
"""

from dataclasses import dataclass
from enum import Enum

from ternquay.net.value_stream import ValueStream

MS = 1_000_000
MAX_HOLD_NS = 1500 * MS  # a part of a value that is held back for 2 s counts as lost
FIRST_BYTE_MARGIN_NS = 50 * MS  # between the end of a hold and the end of the client's time


class HoldState(Enum):
    """What is to be done with a large value whose turn it is to be written."""

    KEEP = 1
    PASS_ON = 2
    FAIL = 3  # it broke off, and nothing of it was passed on


@dataclass(slots=True)
class ValueHold:
    """The hold of one value, from the time at which it was the first answer to be written."""

    began_at: int
    until: int
    needed: bool  # requests wait behind the value

    def extend(self, time_left: int) -> None:
        """Keeps the value for longer, as a request has come behind it. `time_left`: since the hold began."""
        self.until, self.needed = max(self.until, self.began_at + hold_time(time_left)), True

    def state(self, stream: ValueStream, now: int) -> HoldState:
        """Returns what is to be done with the value now."""
        return HoldState.PASS_ON if stream.complete or now >= self.until else HoldState.KEEP


def begin_hold(now: int, time_left: int, needed: bool) -> ValueHold:
    """Returns the hold of a value that may be written now. `time_left`: how long its first byte may take."""
    return ValueHold(now, now + hold_time(time_left), needed)


def hold_time(time_left: int) -> int:
    """Returns for how long a value may be kept whose first byte may take so long."""
    return max(0, min(MAX_HOLD_NS, time_left - FIRST_BYTE_MARGIN_NS))
