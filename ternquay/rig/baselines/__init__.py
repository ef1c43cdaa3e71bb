"""Other ways to choose a cache host, for comparison only: the product's ordinary path is PAT.

Each module has the entry point of ternquay/balance.py. All but the choice is that module's own (admission, the
origin's gate, health, the guard of the four rules), so that a difference is the choice's alone.
"""

from importlib import import_module

from ternquay.balance import Balancer

NAMES = {
    "random": "random_choice",
    "highest-hash": "highest_hash",
    "bounded-load": "bounded_load",
    "least-inflight": "least_inflight",
}


def load(name: str) -> type[Balancer]:
    """The decisions of that name; `pat` are the product's own."""
    if name == "pat":
        return Balancer
    module = import_module(f"{__name__}.{NAMES[name]}")
    found: type[Balancer] = module.Balancer
    return found
