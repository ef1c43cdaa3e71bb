"""Passes the failures that Twisted logs to the log of the program. Nothing else of Twisted's is logged."""

from typing import Any

from loguru import logger
from twisted.logger import ILogObserver, globalLogBeginner
from zope.interface import implementer


@implementer(ILogObserver)
class TwistedLogObserver:
    """An observer of Twisted's log events.

    A failed system call that Twisted has handled, for which its event has a `why`, is logged once as a warning. Any
    other failure is an uncaught exception.
    """

    def __init__(self) -> None:
        self.warned: set[str] = set()

    def __call__(self, event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if failure is None:
            return
        reason = event.get("why")
        if reason and failure.check(OSError):
            self._warn(f"{reason}: {failure.getErrorMessage()}")
        else:
            logger.error("uncaught: {}", failure.getTraceback())

    def _warn(self, text: str) -> None:
        if text not in self.warned:
            self.warned.add(text)
            logger.warning("{}; further occurrences are not logged", text)


def install() -> None:
    """Observes Twisted's events from now on. Earlier ones, of its own start, are discarded."""
    observer: Any = TwistedLogObserver()
    globalLogBeginner.beginLoggingTo([observer], discardBuffer=True, redirectStandardIO=False)
