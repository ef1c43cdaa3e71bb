"""When the first byte of a large value may be passed on to a client that has sent further requests.

A value that breaks off after its first byte can only be ended together with the connection, and with it the answers to
all requests behind it. So a value is kept until it is whole if a request waits behind it, or may come: if it breaks off
then, its request alone fails. It is kept only as long as its client waits for a first byte, and for less than the time
after which holding back what a cache host sends counts as a loss.

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

    until: int
    moved_at: int
    received: int

    def state(self, stream: ValueStream, now: int) -> HoldState:
        """Returns what is to be done with the value now."""
        if stream.received != self.received:
            self.received, self.moved_at = stream.received, now
        if stream.complete:
            return HoldState.PASS_ON
        if now < self.until:
            return HoldState.KEEP
        return HoldState.FAIL if now - self.moved_at >= STOPPED_NS else HoldState.PASS_ON


def begin_hold(stream: ValueStream, now: int, time_left: int) -> ValueHold:
    """Returns the hold of a value that may be written now. `time_left`: how long its client waits for a first byte."""
    hold_time = max(0, min(MAX_HOLD_NS, time_left - FIRST_BYTE_MARGIN_NS))
    return ValueHold(now + hold_time, now, stream.received)
