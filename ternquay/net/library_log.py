"""What Twisted logs by itself, passed on to the program's log: failures alone, and nothing to standard error."""

from typing import Any

from loguru import logger
from twisted.logger import ILogObserver, globalLogBeginner
from zope.interface import implementer


@implementer(ILogObserver)
class TwistedLogObserver:
    """An observer of the library's events.

    An error of a system call that the library has dealt with (it says then what it was about) is warned of once. Any
    other failure is an exception that nobody caught.
    """

    def __init__(self) -> None:
        self.warned: set[str] = set()

    def __call__(self, event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if failure is None:
            return
        about = event.get("why")
        if about and failure.check(OSError):
            self._warn(f"{about}: {failure.getErrorMessage()}")
        else:
            logger.error("uncaught: {}", failure.getTraceback())

    def _warn(self, text: str) -> None:
        if text not in self.warned:
            self.warned.add(text)
            logger.warning("{}, further ones are not told", text)


def install() -> None:
    """Takes the library's events from here on; those before are of its own start."""
    observer: Any = TwistedLogObserver()
    globalLogBeginner.beginLoggingTo([observer], discardBuffer=True, redirectStandardIO=False)
