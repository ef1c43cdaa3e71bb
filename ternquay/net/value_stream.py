"""A stream of one large value with flow control, from the connection that reads it to the one that writes it.

It buffers at most one piece plus one read, and all streams of a process share the memory for them: the more there are,
the smaller a piece is. A stream that is kept whole reserves its length instead, and never pauses its source. The two
connections do not know each other: `set_paused` pauses and resumes the source, `on_data` tells the receiver that there
are chunks or that the stream has ended, and `on_discard` tells the source that the value is no longer wanted.
"""

from collections import deque
from collections.abc import Callable

PIECES_PER_STREAM = 4  # one and a read in the stream, and as much in the transport that writes it
MIN_PIECE_BYTES = 2048
# Values that are kept whole take at most this part of the budget: a half, or a quarter where nothing waits behind them.
KEPT_FRACTION = 2
PRECAUTION_FRACTION = 4


def no_receiver() -> None:
    """The default callback, used while the stream has no receiver."""


class StreamBudget:
    """The memory that all open streams share."""

    def __init__(self, total_bytes: int, max_piece_bytes: int) -> None:
        self.total_bytes, self.max_piece_bytes = total_bytes, max_piece_bytes
        self.open_streams = 0
        self.kept_bytes = 0  # reserved for values that are kept whole

    def piece_bytes(self) -> int:
        """Returns how many bytes of one stream may be read at once, and buffered before its source is paused."""
        part = (self.total_bytes - self.kept_bytes) // (PIECES_PER_STREAM * max(1, self.open_streams))
        return min(self.max_piece_bytes, max(MIN_PIECE_BYTES, part))

    def is_short(self) -> bool:
        """Whether there are so many streams that each gets the least there is."""
        return self.piece_bytes() <= MIN_PIECE_BYTES < self.max_piece_bytes

    def reserved_bytes(self) -> int:
        """Returns the memory that the open streams may take at most."""
        return self.kept_bytes + self.open_streams * PIECES_PER_STREAM * self.piece_bytes()

    def reserve(self, size: int, precaution: bool = False) -> bool:
        """Reserves memory to keep a value whole. Returns whether there is enough."""
        if self.kept_bytes + size > self.total_bytes // (PRECAUTION_FRACTION if precaution else KEPT_FRACTION):
            return False
        self.kept_bytes += size
        return True


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
        self.on_progress: Callable[[], None] = no_receiver  # tells the source that bytes were taken, also few
        self.chunks: deque[bytes] = deque()
        self.buffered = 0
        self.received = 0  # bytes that have arrived
        self.kept_bytes = 0  # reserved in the budget, as the value is kept whole until it is taken; 0: it is not
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
        self.received += len(data)
        self.on_data()
        if self.buffered >= self.budget.piece_bytes() and not (self.paused or self.aborted or self.kept_bytes):
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

    def keep_whole(self, precaution: bool = False) -> bool:
        """Buffers the whole value from now on. Returns whether there is memory for it.

        `precaution`: nothing depends on it yet.
        """
        if not self.kept_bytes and not self.aborted and self.budget.reserve(self.length, precaution):
            self.kept_bytes = self.length
            self._resume()
        return self.kept_bytes > 0

    def take(self) -> bytes:
        """Returns the buffered data, of a value that is kept whole the next piece.

        A paused source resumes once the data is written: see mark_written().
        """
        if self.kept_bytes:
            data = self._next_piece()
            self._free_kept(len(data))
        else:
            data = b"".join(self.chunks)
            self.chunks.clear()
        self.buffered -= len(data)
        self.partly_taken = self.partly_taken or bool(data)
        return data

    def _next_piece(self) -> bytes:
        """Takes chunks of about one piece from the buffer."""
        piece: list[bytes] = []
        size, enough = 0, self.budget.piece_bytes()
        while self.chunks and size < enough:
            piece.append(self.chunks.popleft())
            size += len(piece[-1])
        return b"".join(piece)

    def _free_kept(self, size: int) -> None:
        """Returns reserved memory to the budget."""
        freed = min(size, self.kept_bytes)
        self.kept_bytes -= freed
        self.budget.kept_bytes -= freed

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
        self._free_kept(self.kept_bytes)
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
