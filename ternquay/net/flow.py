"""A large value on its way: the side it comes from offers pieces, the side it goes to takes them as its socket does.

No more of it lies here than `most` and one read. Neither side knows the other: `hold` pauses and resumes whoever
offers, `sink` tells whoever takes that there is something to take, or that it has ended; `drop` tells that nobody takes
it any more.
"""

from collections import deque
from collections.abc import Callable


def nothing() -> None:
    """Nobody takes it yet."""


class Flow:
    def __init__(
        self, length: int, most: int, hold: Callable[[bool], None], drop: Callable[[], None] = nothing
    ) -> None:
        self.length, self.most, self.hold, self.drop = length, most, hold, drop
        self.sink: Callable[[], None] = nothing
        self.pieces: deque[bytes] = deque()
        self.held = 0
        self.held_back = False  # whoever offers is paused
        self.touched = False  # some of it has been handed on, so it can't begin anew elsewhere
        self.whole = False  # all has come, and its end was where it should be
        self.broken = False  # no more of it comes

    # ---- from whoever offers ----

    def offer(self, data: bytes) -> None:
        if self.broken:
            return
        self.pieces.append(data)
        self.held += len(data)
        self.sink()
        if self.held >= self.most and not self.held_back and not self.broken:
            self.held_back = True
            self.hold(True)

    def finish(self) -> None:
        if not self.broken:
            self.whole = True
            self._let_go()  # what comes now is of something else
            self.sink()

    def break_off(self) -> None:
        if not self.broken and not self.whole:
            self._end()
            self.sink()

    # ---- from whoever takes ----

    def take(self) -> bytes:
        """All that lies here; what offers goes on once that is passed on: see taken()."""
        data = b"".join(self.pieces)
        self.pieces.clear()
        self.held = 0
        self.touched = self.touched or bool(data)
        return data

    def taken(self) -> None:
        """All that was taken has been passed on."""
        if self.held < self.most:
            self._let_go()

    def over(self) -> bool:
        """All of it was taken."""
        return self.whole and not self.pieces

    def leave(self) -> None:
        """Nobody takes it any more."""
        if not self.broken:
            self._end()
            self.drop()

    def _end(self) -> None:
        self.broken = True
        self.pieces.clear()
        self.held = 0
        self._let_go()

    def _let_go(self) -> None:
        if self.held_back:
            self.held_back = False
            self.hold(False)
