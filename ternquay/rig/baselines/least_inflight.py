"""The usable cache host with the fewest hops in flight from this balancer; ties are broken at random."""

from ternquay.rig.baselines.baseline import BaselineBalancer
from ternquay.state import CacheHost, Tx


class Balancer(BaselineBalancer):
    def _pick(self, tx: Tx, pool: list[CacheHost]) -> CacheHost:
        return min(pool, key=lambda h: (h.in_flight, self.random.random()))
