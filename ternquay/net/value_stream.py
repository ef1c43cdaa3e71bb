"""A stream of one large value with flow control, from the connection that reads it to the one that writes it.

It buffers at most `max_buffered` bytes plus one read. The two connections do not know each other: `set_paused` pauses
and resumes the source, `on_data` tells the receiver that there are chunks or that the stream has ended, and
`on_discard` tells the source that the value is no longer wanted.
"""

from collections import deque
from collections.abc import Callable


def no_receiver() -> None:
    """The default callback, used while the stream has no receiver."""


class ValueStream:
    """A large value of `length` bytes that is forwarded as it arrives."""

    def __init__(
        self,
        length: int,
        max_buffered: int,
        set_paused: Callable[[bool], None],
        on_discard: Callable[[], None] = no_receiver,
    ) -> None:
        self.length, self.max_buffered, self.set_paused, self.on_discard = length, max_buffered, set_paused, on_discard
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
        if self.buffered >= self.max_buffered and not self.paused and not self.aborted:
            self.paused = True
            self.set_paused(True)

    def finish(self) -> None:
        """Marks the value as complete."""
        if not self.aborted:
            self.complete = True
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
        if self.buffered < self.max_buffered:
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
        self.chunks.clear()
        self.buffered = 0
        self._resume()

    def _resume(self) -> None:
        if self.paused:
            self.paused = False
            self.set_paused(False)
