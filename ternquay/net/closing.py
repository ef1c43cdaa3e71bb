"""Shutdown steps: accepts the connections that wait in the accept queue, and waits until the last answers are sent."""

from collections.abc import Callable
from typing import Any, Protocol

from ternquay.net.limits import SECOND
from ternquay.net.sockets import Sockets

POLL_INTERVAL_SECONDS = 0.002


class Accepting(Protocol):
    """A listening port that counts the connections that it accepts."""

    sessionno: int

    def accept(self) -> None: ...


def accept_all_waiting(port: Accepting, sockets: Sockets) -> bool:
    """Accepts waiting connections while there are sockets for them. Returns whether none waits any more.

    Closing the listening socket would reset connections in its queue, whose clients may already have sent requests.
    """
    while not sockets.full():
        before = port.sessionno
        port.accept()
        if port.sessionno == before:
            return True
    return False


def after_answers_sent(reactor: Any, has_unsent: Callable[[], bool], timeout: int, then: Callable[[], None]) -> None:
    """Calls `then` once no answers are unsent, or after `timeout` nanoseconds.

    Answers given in the current loop iteration are written in the next one.
    """
    until = reactor.seconds() + timeout / SECOND

    def check() -> None:
        if has_unsent() and reactor.seconds() < until:
            reactor.callLater(POLL_INTERVAL_SECONDS, check)
        else:
            then()

    check()
