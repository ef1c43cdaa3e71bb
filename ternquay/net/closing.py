"""Steps of an end: closes listeners once nobody waits in them, and waits until the last answers are sent."""

from collections.abc import Callable
from typing import Any, Protocol

from loguru import logger

from ternquay.net.limits import SECOND
from ternquay.net.sockets import Sockets

POLL_INTERVAL_SECONDS = 0.002
ACCEPT_INTERVAL_SECONDS = 0.01  # between two attempts to accept those that wait


class ClosingListener(Protocol):
    """A listening port that can be closed."""

    sessionno: int  # connections accepted so far

    def accept(self) -> None: ...

    def has_waiting(self) -> bool:
        """Returns whether a connection waits in the accept queue."""
        ...

    def stop_connecting(self) -> None:
        """Takes no new connections; those in the accept queue can still be accepted."""
        ...

    def close(self) -> None:
        """Closes the socket at once, which resets the connections in its accept queue."""
        ...


def accept_all_waiting(port: ClosingListener, sockets: Sockets) -> bool:
    """Accepts waiting connections while there are sockets for them. Returns whether none waits any more."""
    while not sockets.full():
        before = port.sessionno
        port.accept()
        if port.sessionno == before:
            break
    return not port.has_waiting()


class ClosingListeners:
    """Listeners that are about to close: each does once all connections in its accept queue are accepted.

    Closing it earlier would reset them, and their clients may have sent requests.
    """

    def __init__(self, reactor: Any, sockets: Sockets, make_room: Callable[[], object]) -> None:
        """`make_room` closes a connection that is not in use."""
        self.reactor, self.sockets, self.make_room = reactor, sockets, make_room
        self.ports: list[ClosingListener] = []
        self.on_closed: Callable[[], None] = lambda: None  # called when the last one has closed
        self.accepting = False  # within accept_waiting()
        self.retry_call: Any = None

    def add(self, port: ClosingListener) -> None:
        """Closes a listener, now or as soon as its accept queue is empty."""
        port.stop_connecting()
        self.ports.append(port)
        self.accept_waiting()
        if self.ports:
            logger.info("a listener closes once the clients that wait in it are accepted")

    def accept_waiting(self) -> None:
        """Accepts those that wait as far as there is room, and closes the listeners in which nobody waits."""
        if self.accepting or not self.ports:
            return
        self.accepting = True
        try:
            for port in list(self.ports):
                if accept_all_waiting(port, self.sockets):
                    self.ports.remove(port)
                    port.close()
        finally:
            self.accepting = False
        if not self.ports:
            self.on_closed()
        elif self.retry_call is None:
            self.retry_call = self.reactor.callLater(ACCEPT_INTERVAL_SECONDS, self._retry)

    def _retry(self) -> None:
        self.retry_call = None
        self.accept_waiting()
        if self.ports:
            self.make_room()

    def close_all(self) -> None:
        """Closes the listeners whoever waits in them."""
        ports, self.ports = self.ports, []
        for port in ports:
            port.close()


def after_answers_sent(
    reactor: Any,
    owes_answers: Callable[[], bool],
    writes_answers: Callable[[], bool],
    timeout: int,
    then: Callable[[], None],
) -> None:
    """Calls `then` once no answer is being written and none is owed, or `timeout` nanoseconds after the last write.

    Clients that take nothing, and large values that stand still, end by the stall timeouts. Answers given in the
    current loop iteration are written in the next one, and requests may wait behind a large value.
    """
    until = reactor.seconds() + timeout / SECOND

    def check() -> None:
        nonlocal until
        now = reactor.seconds()
        writing = writes_answers()
        if writing:
            until = now + timeout / SECOND
        if writing or (now < until and owes_answers()):
            reactor.callLater(POLL_INTERVAL_SECONDS, check)
        else:
            then()

    check()
