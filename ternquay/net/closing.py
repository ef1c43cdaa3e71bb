"""What the end of a process owes: those who wait at its door, and the bytes of the last answers."""

from collections.abc import Callable
from typing import Any, Protocol

from ternquay.net.limits import SECOND
from ternquay.net.sockets import Sockets

POLL_INTERVAL_SECONDS = 0.002  # seconds


class Accepting(Protocol):
    """A listening port that counts the connections it has accepted."""

    sessionno: int

    def accept(self) -> None: ...


def accept_all_waiting(port: Accepting, sockets: Sockets) -> bool:
    """Whether nobody waits at the door: who was let in by the system only would be reset, with what it wrote."""
    while not sockets.full():
        before = port.sessionno
        port.accept()
        if port.sessionno == before:
            return True
    return False


def after_answers_sent(reactor: Any, owes: Callable[[], bool], most: int, then: Callable[[], None]) -> None:
    """Calls `then` once nothing is owed, or after so long.

    What is answered in this very turn, by a loop that is behind, is written in the next one.
    """
    until = reactor.seconds() + most / SECOND

    def look() -> None:
        if owes() and reactor.seconds() < until:
            reactor.callLater(POLL_INTERVAL_SECONDS, look)
        else:
            then()

    look()
