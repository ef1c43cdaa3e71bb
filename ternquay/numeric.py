"""Hashes of 64 bits that all balancers draw alike, and the median."""

from collections.abc import Iterable
from hashlib import blake2b

MASK64 = (1 << 64) - 1


def mix64(x: int) -> int:
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK64
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK64
    return x ^ (x >> 31)


def text_hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def median(figures: Iterable[float]) -> float:
    """The higher one of two. The standard library's module of it takes 20 ms to load, at each start."""
    found = sorted(figures)
    return found[len(found) // 2]
