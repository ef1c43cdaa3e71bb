"""A stream of one large value with flow control, from the connection that reads it to the one that writes it.

It buffers at most one piece plus one read, and all streams of a process share the memory for them: the more there are,
the smaller a piece is. The two connections do not know each other: `set_paused` pauses
and resumes the source, `on_data` tells the receiver that there are chunks or that the stream has ended, and
`on_discard` tells the source that the value is no longer wanted.
"""

from collections import deque
from collections.abc import Callable

PIECES_PER_STREAM = 4  # one and a read in the stream, and as much in the transport that writes it
MIN_PIECE_BYTES = 2048


def no_receiver() -> None:
    """The default callback, used while the stream has no receiver."""


class StreamBudget:
    """The memory that all open streams share."""

    def __init__(self, total_bytes: int, max_piece_bytes: int) -> None:
        self.total_bytes, self.max_piece_bytes = total_bytes, max_piece_bytes
        self.open_streams = 0

    def piece_bytes(self) -> int:
        """Returns how many bytes of one stream may be read at once, and buffered before its source is paused."""
        part = self.total_bytes // (PIECES_PER_STREAM * max(1, self.open_streams))
        return min(self.max_piece_bytes, max(MIN_PIECE_BYTES, part))

    def reserved_bytes(self) -> int:
        """Returns the memory that the open streams may take at most."""
        return self.open_streams * PIECES_PER_STREAM * self.piece_bytes()


class ValueStream:
    """A large value of `length` bytes that is forwarded as it arrives."""

    def __init__(
        self,
        length: int,
        budget: StreamBudget,
        set_paused: Callable[[bool], None],
        on_discard: Callable[[], None] = no_receiver,
    ) -> None:
        self.length, self.budget, self.set_paused, self.on_discard = length, budget, set_paused, on_discard
        self.counted = True  # in the budget
        budget.open_streams += 1
        self.on_data: Callable[[], None] = no_receiver
        self.chunks: deque[bytes] = deque()
        self.buffered = 0
        self.paused = False  # the source is paused
        self.partly_taken = False  # a part was passed on, so the value cannot be sent anew elsewhere
        self.complete = False  # the whole value arrived and ended correctly
        self.aborted = False  # no more data will arrive or be taken

    # ---- called by the source ----

    def feed(self, data: bytes) -> None:
        """Adds a chunk, and pauses the source when the buffer is full."""
        if self.aborted:
            return
        self.chunks.append(data)
        self.buffered += len(data)
        self.on_data()
        if self.buffered >= self.budget.piece_bytes() and not self.paused and not self.aborted:
            self.paused = True
            self.set_paused(True)

    def finish(self) -> None:
        """Marks the value as complete."""
        if not self.aborted:
            self.complete = True
            self._release()
            self._resume()  # later data of the source does not belong to this value
            self.on_data()

    def abort(self) -> None:
        """Ends an incomplete stream because its source failed, and tells the receiver."""
        if not self.aborted and not self.complete:
            self._abort()
            self.on_data()

    # ---- called by the receiver ----

    def take(self) -> bytes:
        """Returns all buffered data. A paused source resumes once it is written: see mark_written()."""
        data = b"".join(self.chunks)
        self.chunks.clear()
        self.buffered = 0
        self.partly_taken = self.partly_taken or bool(data)
        return data

    def mark_written(self) -> None:
        """Records that all taken data was written, and resumes the source."""
        if self.buffered < self.budget.piece_bytes():
            self._resume()

    def all_taken(self) -> bool:
        """Whether the receiver has taken the complete value."""
        return self.complete and not self.chunks

    def discard(self) -> None:
        """Ends the stream because nobody receives it any more, and tells the source."""
        if not self.aborted:
            self._abort()
            self.on_discard()

    def _abort(self) -> None:
        self.aborted = True
        self._release()
        self.chunks.clear()
        self.buffered = 0
        self._resume()

    def _release(self) -> None:
        """Gives the part of the budget to the other streams."""
        if self.counted:
            self.counted = False
            self.budget.open_streams -= 1

    def _resume(self) -> None:
        if self.paused:
            self.paused = False
            self.set_paused(False)
