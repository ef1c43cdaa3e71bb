"""The base class of all baselines."""

from ternquay import balance
from ternquay.state import CacheHost, Tx


class BaselineBalancer(balance.Balancer):
    """Picks one usable cache host that is warm or within its cold budget; none if that one would miss the goal."""

    def _pick(self, tx: Tx, pool: list[CacheHost]) -> CacheHost:
        raise NotImplementedError

    def _choose_host(self, tx: Tx) -> CacheHost | None:
        tried = {id(hop.host) for hop in tx.hops}
        pool = [h for h in self.ready if self._usable(h) and id(h) not in tried and self._has_cold_budget(h)]
        host = self._pick(tx, pool) if pool else None
        return host if host is not None and self._meets_goal(tx, host) else None
