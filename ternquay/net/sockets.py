"""Counts the sockets of clients and cache hosts together, and closes idle ones when there are too many."""

from collections.abc import Callable

from ternquay.net.limits import Limits


class Sockets:
    """The count of open sockets and its limits."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.clients = 0
        self.hosts = 0
        self.total = max(1, limits.sockets + limits.spare)
        self.ceiling = self.total  # lower while another process uses a part of the total
        # No longer counted, but still open: Twisted closes them a turn later.
        self.closing: set[object] = set()
        # Each closes the connection that has been idle longest and returns whether there was one.
        self.close_idle_client: Callable[[], bool] = lambda: False
        self.close_idle_host: Callable[[], bool] = lambda: False
        self.on_room: Callable[[], None] = lambda: None  # called when a socket is available again

    def open_count(self) -> int:
        """Returns the number of connections of clients and to cache hosts."""
        return self.clients + self.hosts

    def room(self) -> int:
        """Returns the limit for clients and cache hosts together, without the spare sockets."""
        return min(self.limits.sockets, self.ceiling - self.spare())

    def spare(self) -> int:
        """Returns the number of sockets for clients that are only refused and closed."""
        return self.limits.spare * self.ceiling // self.total

    def max_clients(self) -> int:
        """Returns the limit for clients, without the spare sockets."""
        return self.limits.clients * self.ceiling // self.total

    def client_closed(self) -> None:
        """Stops counting a client."""
        self.clients -= 1

    def host_opened(self) -> None:
        """Counts a connection to a cache host."""
        self.hosts += 1

    def host_closed(self) -> None:
        """Stops counting a connection to a cache host."""
        self.hosts -= 1

    def descriptor_freed(self, connection: object) -> None:
        """The operating system has closed the socket."""
        self.closing.discard(connection)
        self.on_room()

    def _close_idle(self) -> bool:
        # Connections to cache hosts first: the close of a client's connection may cross its next command.
        return self.close_idle_host() or self.close_idle_client()

    def set_ceiling(self, ceiling: int) -> None:
        """Sets the ceiling. Idle connections beyond it are closed now; the others count until they end."""
        self.ceiling = ceiling
        while self.open_count() > ceiling and self._close_idle():
            pass

    def client_opened(self) -> bool:
        """Counts a client. Returns whether there is room to serve it, after closing an idle connection if needed."""
        self.clients += 1
        limit = self.room()
        if self.clients > self.max_clients():
            self.close_idle_client()
        elif self.open_count() > limit:
            self._close_idle()
        return self.clients <= self.max_clients() and self.open_count() <= limit

    def full(self) -> bool:
        """Returns whether all sockets are in use, spare ones included, so that no client can be accepted."""
        return self.remaining() <= 0

    def remaining(self) -> int:
        """Returns how many clients can be accepted, if only to be refused."""
        return self.room() + self.spare() - self.open_count() - len(self.closing)

    def may_open_host(self) -> bool:
        """Returns whether a connection to a cache host may be opened, after closing an idle connection if needed."""
        return (self.open_count() < self.room() or self._close_idle()) and self.remaining() > 0
