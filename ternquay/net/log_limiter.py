"""Rate limit for log lines, per message template. Templates are literals of the source code, so there are few."""

from collections.abc import Callable
from typing import Any

from loguru import logger

from ternquay.net.limits import SECOND


class LogRateLimiter:
    """Logs each message template at most once per `interval` nanoseconds, with the number of suppressed lines."""

    def __init__(self, seconds: Callable[[], float], interval: int) -> None:
        self.seconds, self.interval_seconds = seconds, interval / SECOND
        self.last_logged: dict[str, tuple[float, int]] = {}  # time of the last line, and lines suppressed since

    def log(self, level: str, text: str, *args: Any, trace: bool = False) -> None:
        """Logs `text`, formatted with `args`, unless it was logged too recently. `trace` adds the exception."""
        now = self.seconds()
        last, suppressed = self.last_logged.get(text, (now - self.interval_seconds, 0))
        if now - last < self.interval_seconds:
            self.last_logged[text] = last, suppressed + 1
            return
        self.last_logged[text] = now, 0
        more = " ({} more like it were held back)" if suppressed else ""
        logger.opt(exception=trace).log(level, text + more, *args, *([suppressed] if suppressed else []))
