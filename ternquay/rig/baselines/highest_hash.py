"""Rendezvous hashing (Thaler and Ravishankar, 1998): the usable cache host with the highest hash for the key."""

from ternquay.numeric import mix64
from ternquay.rig.baselines.baseline import BaselineBalancer
from ternquay.state import CacheHost, Tx


def host_rank(key: int, host: CacheHost) -> int:
    return mix64(key ^ host.hash)


class Balancer(BaselineBalancer):
    def _pick(self, tx: Tx, pool: list[CacheHost]) -> CacheHost:
        return max(pool, key=lambda h: host_rank(tx.key, h))
