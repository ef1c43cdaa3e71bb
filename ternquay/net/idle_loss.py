"""How often idle connections turn out to be broken, by idle time. No I/O; times are integer nanoseconds."""

from ternquay.net.limits import MS, Limits


class IdleLoss:
    """Estimates which idle times break connections, as network devices may silently drop idle ones.

    A connection is not reused if more than MAX_LOSS_RATIO of those that were idle for a similar time broke under their
    next hop. Samples lose half their weight after each `half_life`, so that such idle times are tried again.
    """

    MAX_LOSS_RATIO = 0.2

    def __init__(self, limits: Limits) -> None:
        self.half_life, self.min_samples, self.decayed_at = limits.idle_loss_half_life, limits.idle_loss_min_samples, 0
        # Each bucket covers twice the idle time of the previous one; the idle timeout bounds their number.
        buckets = self._bucket(limits.host_idle_timeout) + 1
        self.used, self.lost = [0.0] * buckets, [0.0] * buckets

    def _bucket(self, idle_time: int) -> int:
        return (idle_time // MS).bit_length()

    def record_use(self, idle_time: int, broken: bool) -> None:
        """Records that a connection was reused after it was idle for `idle_time`, and whether its next hop broke it."""
        bucket = self._bucket(idle_time)
        self.used[bucket] += 1
        self.lost[bucket] += broken

    def is_usable(self, idle_time: int, now: int) -> bool:
        """Whether a connection that has been idle for `idle_time` should be reused."""
        if now - self.decayed_at > self.half_life:
            self.decayed_at = now
            self.used, self.lost = [x / 2 for x in self.used], [x / 2 for x in self.lost]
        bucket = self._bucket(idle_time)
        return self.used[bucket] < self.min_samples or self.lost[bucket] <= self.MAX_LOSS_RATIO * self.used[bucket]
