"""64-bit hashes, equal in all balancers and processes, and the median."""

from collections.abc import Iterable
from hashlib import blake2b

MASK64 = (1 << 64) - 1


def mix64(x: int) -> int:
    """The 64-bit finalizer of SplitMix64."""
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK64
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK64
    return x ^ (x >> 31)


def text_hash(text: str) -> int:
    """A 64-bit hash of a string."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def median(values: Iterable[float]) -> float:
    """The median, or the higher of the two middle values. The `statistics` module would add 20 ms to each start."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2]
