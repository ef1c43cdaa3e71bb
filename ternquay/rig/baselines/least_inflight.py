"""The usable cache host with the fewest hops of ours in flight, ties drawn."""

from ternquay.rig.baselines.plain import Plain
from ternquay.state import CacheHost, Tx


class Balancer(Plain):
    def _pick(self, tx: Tx, pool: list[CacheHost]) -> CacheHost:
        return min(pool, key=lambda h: (h.in_flight, self.random.random()))
