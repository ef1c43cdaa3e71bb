"""A limit on memory that many connections share, with the bytes that each of them holds."""

from collections.abc import Iterator
from typing import Generic, TypeVar

Holder = TypeVar("Holder")


class SharedBudget(Generic[Holder]):
    """Counts the bytes of each holder. Holders without bytes are not kept."""

    def __init__(self) -> None:
        self.total = 0
        self.sizes: dict[Holder, int] = {}

    def set_size(self, holder: Holder, size: int) -> None:
        """Records how many bytes the holder has now. Its place in the order of holders stays the same."""
        self.total += size - self.sizes.get(holder, 0)
        if size:
            self.sizes[holder] = size
        else:
            self.sizes.pop(holder, None)

    def record_progress(self, holder: Holder, size: int) -> None:
        """Records the bytes of a holder that has just received some: it becomes the last one in the order."""
        self.release(holder)
        if size:
            self.set_size(holder, size)

    def release(self, holder: Holder) -> None:
        """Forgets a holder whose bytes are freed."""
        self.total -= self.sizes.pop(holder, 0)

    def __iter__(self) -> Iterator[Holder]:
        """Returns the holders, those without progress for longest first."""
        return iter(self.sizes)

    def largest(self) -> Holder | None:
        """Returns the holder with the most bytes, of several the one without progress for longest."""
        return max(self.sizes, key=self.sizes.__getitem__, default=None)
