"""How often idle connections are lost unseen, by how long they were idle. Without I/O; times are whole nanoseconds."""

from ternquay.net.limits import MS, Limits


class IdleLoss:
    """What idle connections come to, by how long they were idle: whatever lies between may forget them.

    Where more than one in five that rested as long broke under their next hop, none so old is used; what
    was seen counts half after each `half`, so that they are tried again.
    """

    SHARE = 0.2

    def __init__(self, limits: Limits) -> None:
        self.half, self.least, self.at = limits.idle_loss_half_life, limits.idle_loss_min_samples, 0
        # Each span is twice as long as the last; none rests for longer than the limit.
        spans = self._span(limits.host_idle_timeout) + 1
        self.used, self.broke = [0.0] * spans, [0.0] * spans

    def _span(self, rested: int) -> int:
        return (rested // MS).bit_length()

    def told(self, rested: int, broke: bool) -> None:
        """A connection that had been idle for so long was used, and broke under its next attempt or did not."""
        span = self._span(rested)
        self.used[span] += 1
        self.broke[span] += broke

    def holds(self, rested: int, now: int) -> bool:
        """Whether a connection that has been idle for so long is worth a try."""
        if now - self.at > self.half:
            self.at = now
            self.used, self.broke = [x / 2 for x in self.used], [x / 2 for x in self.broke]
        span = self._span(rested)
        return self.used[span] < self.least or self.broke[span] <= self.SHARE * self.used[span]
