"""Hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018), on a ranking by highest hash.

The first of a key's ranking whose hops in flight stay within (1 + EPSILON) of the mean, rounded up.
"""

from math import ceil

from ternquay.rig.baselines.highest_hash import rank
from ternquay.rig.baselines.plain import Plain
from ternquay.state import CacheHost, Tx

EPSILON = 0.25


class Balancer(Plain):
    def _pick(self, tx: Tx, pool: list[CacheHost]) -> CacheHost:
        most = ceil((1 + EPSILON) * (self.in_flight + 1) / max(1, len(self.ready)))
        ranked = sorted(pool, key=lambda h: rank(tx.key, h), reverse=True)
        return next((h for h in ranked if h.in_flight < most), ranked[0])
