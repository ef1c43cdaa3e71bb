"""When the first byte of a large value may be passed on to its client.

A value that breaks off after its first byte can only be ended together with the connection, and with it the answers to
all requests behind it. So a value is kept until it is whole if a request waits behind it, or may come: if it breaks off
then, its request alone fails. It is kept only as long as its client waits for a first byte, and for less than the time
after which holding back what a cache host sends counts as a loss. A value without a request behind it is kept only
within half of its service goal, as the client may send one at any time.

The module does no I/O; times are integer nanoseconds on the caller's monotonic clock.
"""

from dataclasses import dataclass
from enum import Enum

from ternquay.net.value_stream import ValueStream

MS = 1_000_000
MAX_HOLD_NS = 1500 * MS  # a part of a value that is held back for 2 s counts as lost
STOPPED_NS = 500 * MS  # a cache host that has sent nothing for this long has stopped
FIRST_BYTE_MARGIN_NS = 50 * MS  # between the end of a hold and the end of the client's time


class HoldState(Enum):
    """What is to be done with a large value whose turn it is to be written."""

    KEEP = 1
    PASS_ON = 2
    FAIL = 3  # its time is over and the cache host has stopped sending it


@dataclass(slots=True)
class ValueHold:
    """The hold of one value, from the time at which it was the first answer to be written."""

    began_at: int
    until: int
    moved_at: int  # when the latest part of the value arrived
    received: int
    needed: bool  # requests wait behind the value

    def extend(self, time_left: int) -> None:
        """Keeps the value for longer, as a request has come behind it. `time_left`: since the hold began."""
        self.until, self.needed = max(self.until, self.began_at + hold_time(time_left)), True

    def state(self, stream: ValueStream, now: int) -> HoldState:
        """Returns what is to be done with the value now."""
        if stream.received != self.received:
            self.received, self.moved_at = stream.received, now
        if stream.complete:
            return HoldState.PASS_ON
        if now < self.until:
            return HoldState.KEEP
        stopped = now - self.moved_at >= STOPPED_NS
        return HoldState.FAIL if self.needed and stopped else HoldState.PASS_ON


def begin_hold(stream: ValueStream, now: int, time_left: int, needed: bool) -> ValueHold:
    """Returns the hold of a value that may be written now. `time_left`: how long its first byte may take."""
    return ValueHold(now, now + hold_time(time_left), now, stream.received, needed)


def hold_time(time_left: int) -> int:
    """Returns for how long a value may be kept whose first byte may take so long."""
    return max(0, min(MAX_HOLD_NS, time_left - FIRST_BYTE_MARGIN_NS))
