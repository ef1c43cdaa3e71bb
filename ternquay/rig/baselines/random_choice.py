"""A random usable cache host for each hop."""

from ternquay.rig.baselines.baseline import BaselineBalancer
from ternquay.state import CacheHost, Tx


class Balancer(BaselineBalancer):
    def _pick(self, tx: Tx, pool: list[CacheHost]) -> CacheHost:
        return self.random.choice(pool)
