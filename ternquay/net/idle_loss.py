"""How often idle connections are lost unseen, by how long they were idle. Without I/O; times are whole nanoseconds."""

from ternquay.net.limits import MS, Limits


class IdleLoss:
    """What idle connections come to, by how long they were idle: whatever lies between may forget them.

    Where more than one in five that rested as long broke under their next hop, none so old is used; what
    was seen counts half after each `half`, so that they are tried again.
    """

    MAX_LOSS_RATIO = 0.2

    def __init__(self, limits: Limits) -> None:
        self.half_life, self.min_samples, self.decayed_at = limits.idle_loss_half_life, limits.idle_loss_min_samples, 0
        # Each span is twice as long as the last; none rests for longer than the limit.
        spans = self._bucket(limits.host_idle_timeout) + 1
        self.used, self.lost = [0.0] * spans, [0.0] * spans

    def _bucket(self, rested: int) -> int:
        return (rested // MS).bit_length()

    def record_use(self, rested: int, broke: bool) -> None:
        """A connection that had been idle for so long was used, and broke under its next attempt or did not."""
        span = self._bucket(rested)
        self.used[span] += 1
        self.lost[span] += broke

    def is_usable(self, rested: int, now: int) -> bool:
        """Whether a connection that has been idle for so long is worth a try."""
        if now - self.decayed_at > self.half_life:
            self.decayed_at = now
            self.used, self.lost = [x / 2 for x in self.used], [x / 2 for x in self.lost]
        span = self._bucket(rested)
        return self.used[span] < self.min_samples or self.lost[span] <= self.MAX_LOSS_RATIO * self.used[span]
