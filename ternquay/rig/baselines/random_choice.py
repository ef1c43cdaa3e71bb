"""Any usable cache host with room, drawn anew for each hop."""

from ternquay.rig.baselines.plain import Plain
from ternquay.state import CacheHost, Tx


class Balancer(Plain):
    def _pick(self, tx: Tx, pool: list[CacheHost]) -> CacheHost:
        return self.random.choice(pool)
