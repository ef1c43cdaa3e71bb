"""A large value on its way: the side it comes from offers pieces, the side it goes to takes them as its socket does.

No more of it lies here than `most` and one read. Neither side knows the other: `hold` pauses and resumes whoever
offers, `sink` tells whoever takes that there is something to take, or that it has ended; `drop` tells that nobody takes
it any more.
"""

from collections import deque
from collections.abc import Callable


def no_receiver() -> None:
    """Nobody takes it yet."""


class ValueStream:
    def __init__(
        self, length: int, most: int, hold: Callable[[bool], None], drop: Callable[[], None] = no_receiver
    ) -> None:
        self.length, self.max_buffered, self.set_paused, self.on_discard = length, most, hold, drop
        self.on_data: Callable[[], None] = no_receiver
        self.chunks: deque[bytes] = deque()
        self.buffered = 0
        self.paused = False  # whoever offers is paused
        self.partly_taken = False  # some of it has been handed on, so it can't begin anew elsewhere
        self.complete = False  # all has come, and its end was where it should be
        self.aborted = False  # no more of it comes

    # ---- from whoever offers ----

    def feed(self, data: bytes) -> None:
        if self.aborted:
            return
        self.chunks.append(data)
        self.buffered += len(data)
        self.on_data()
        if self.buffered >= self.max_buffered and not self.paused and not self.aborted:
            self.paused = True
            self.set_paused(True)

    def finish(self) -> None:
        if not self.aborted:
            self.complete = True
            self._resume()  # what comes now is of something else
            self.on_data()

    def abort(self) -> None:
        if not self.aborted and not self.complete:
            self._abort()
            self.on_data()

    # ---- from whoever takes ----

    def take(self) -> bytes:
        """All that lies here; what offers goes on once that is passed on: see taken()."""
        data = b"".join(self.chunks)
        self.chunks.clear()
        self.buffered = 0
        self.partly_taken = self.partly_taken or bool(data)
        return data

    def mark_written(self) -> None:
        """All that was taken has been passed on."""
        if self.buffered < self.max_buffered:
            self._resume()

    def all_taken(self) -> bool:
        """All of it was taken."""
        return self.complete and not self.chunks

    def discard(self) -> None:
        """Nobody takes it any more."""
        if not self.aborted:
            self._abort()
            self.on_discard()

    def _abort(self) -> None:
        self.aborted = True
        self.chunks.clear()
        self.buffered = 0
        self._resume()

    def _resume(self) -> None:
        if self.paused:
            self.paused = False
            self.set_paused(False)
