"""Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018), over a rendezvous ranking.

Picks the first host in the ranking of the key with fewer hops in flight than (1 + EPSILON) times the mean, rounded up.
"""

from math import ceil

from ternquay.rig.baselines.baseline import BaselineBalancer
from ternquay.rig.baselines.highest_hash import host_rank
from ternquay.state import CacheHost, Tx

EPSILON = 0.25


class Balancer(BaselineBalancer):
    def _pick(self, tx: Tx, pool: list[CacheHost]) -> CacheHost:
        limit = ceil((1 + EPSILON) * (self.in_flight + 1) / max(1, len(self.ready)))
        ranked = sorted(pool, key=lambda h: host_rank(tx.key, h), reverse=True)
        return next((h for h in ranked if h.in_flight < limit), ranked[0])
