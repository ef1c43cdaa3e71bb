"""Baseline algorithms that choose a cache host, only for comparison with the PAT algorithm of the product.

Each module has the same entry point as ternquay/balance.py. It replaces only the choice of a host: admission, the
origin limit, health and the four rules are those of the product, so that a difference comes from the choice alone.
"""

from importlib import import_module

from ternquay.balance import Balancer

MODULES = {
    "random": "random_choice",
    "highest-hash": "highest_hash",
    "bounded-load": "bounded_load",
    "least-inflight": "least_inflight",
}


def load(name: str) -> type[Balancer]:
    """The balancer class with that algorithm; `pat` is the one of the product."""
    if name == "pat":
        return Balancer
    module = import_module(f"{__name__}.{MODULES[name]}")
    found: type[Balancer] = module.Balancer
    return found
