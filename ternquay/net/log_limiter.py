"""Holds a flood of one kind of log line to a rate: the kinds are the texts of the source, so they are few."""

from collections.abc import Callable
from typing import Any

from loguru import logger

from ternquay.net.limits import SECOND


class LogRateLimiter:
    def __init__(self, seconds: Callable[[], float], every: int) -> None:
        self.seconds, self.interval_seconds = seconds, every / SECOND
        self.last_logged: dict[str, tuple[float, int]] = {}  # when last told, and how many were held back since

    def log(self, level: str, text: str, *args: Any, trace: bool = False) -> None:
        now = self.seconds()
        last, held = self.last_logged.get(text, (now - self.interval_seconds, 0))
        if now - last < self.interval_seconds:
            self.last_logged[text] = last, held + 1
            return
        self.last_logged[text] = now, 0
        more = " ({} more like it were held back)" if held else ""
        logger.opt(exception=trace).log(level, text + more, *args, *([held] if held else []))
