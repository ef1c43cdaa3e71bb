"""Counts the sockets of clients and cache hosts together, and sheds idle ones when there are too many."""

from collections.abc import Callable

from ternquay.net.limits import Limits


class Sockets:
    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.clients = 0
        self.hosts = 0
        self.total = max(1, limits.sockets + limits.spare)
        self.ceiling = self.total  # lower while another process has a part of the whole
        # Counted no more, but the library closes them a turn later, so that the system counts them still.
        self.closing: set[object] = set()
        # Each closes the one that has been idle longest and says if there was one.
        self.close_idle_client: Callable[[], bool] = lambda: False
        self.close_idle_host: Callable[[], bool] = lambda: False
        self.on_room: Callable[[], None] = lambda: None

    def open_count(self) -> int:
        return self.clients + self.hosts

    def room(self) -> int:
        """For clients and cache hosts together, without the spare."""
        return min(self.limits.sockets, self.ceiling - self.spare())

    def spare(self) -> int:
        """For clients that come when all is full: they are told so and closed."""
        return self.limits.spare * self.ceiling // self.total

    def max_clients(self) -> int:
        return self.limits.clients * self.ceiling // self.total

    def client_closed(self) -> None:
        self.clients -= 1

    def host_opened(self) -> None:
        self.hosts += 1

    def host_closed(self) -> None:
        self.hosts -= 1

    def descriptor_freed(self, connection: object) -> None:
        """Now the system has it back."""
        self.closing.discard(connection)
        self.on_room()

    def _close_idle(self) -> bool:
        # A connection to a cache host goes first: to close a client's may cross what it sends.
        return self.close_idle_host() or self.close_idle_client()

    def set_ceiling(self, ceiling: int) -> None:
        """Another ceiling; what idles beyond it is closed now, the rest as it ends."""
        self.ceiling = ceiling
        while self.open_count() > ceiling and self._close_idle():
            pass

    def client_opened(self) -> bool:
        """Counts a client; whether there is room to serve it."""
        self.clients += 1
        room = self.room()
        if self.clients > self.max_clients():
            self.close_idle_client()
        elif self.open_count() > room:
            self._close_idle()
        return self.clients <= self.max_clients() and self.open_count() <= room

    def full(self) -> bool:
        """Whether not even a client that is only told so fits: then no more are accepted."""
        return self.remaining() <= 0

    def remaining(self) -> int:
        """How many clients fit that are at least told that it is full."""
        return self.room() + self.spare() - self.open_count() - len(self.closing)

    def may_open_host(self) -> bool:
        """Whether one more connection to a cache host may be opened."""
        return (self.open_count() < self.room() or self._close_idle()) and self.remaining() > 0
