"""Rendezvous hashing: the usable cache host of highest hash with the key (Thaler and Ravishankar, 1998)."""

from ternquay.numeric import mix64
from ternquay.rig.baselines.plain import Plain
from ternquay.state import CacheHost, Tx


def rank(key: int, host: CacheHost) -> int:
    return mix64(key ^ host.hash)


class Balancer(Plain):
    def _pick(self, tx: Tx, pool: list[CacheHost]) -> CacheHost:
        return max(pool, key=lambda h: rank(tx.key, h))
