"""Holds a flood of one kind of log line to a rate: the kinds are the texts of the source, so they are few."""

from collections.abc import Callable
from typing import Any

from loguru import logger

from ternquay.net.limits import SECOND


class LogRateLimiter:
    def __init__(self, seconds: Callable[[], float], every: int) -> None:
        self.seconds, self.every = seconds, every / SECOND
        self.kinds: dict[str, tuple[float, int]] = {}  # when last told, and how many were held back since

    def log(self, level: str, text: str, *args: Any, trace: bool = False) -> None:
        now = self.seconds()
        last, held = self.kinds.get(text, (now - self.every, 0))
        if now - last < self.every:
            self.kinds[text] = last, held + 1
            return
        self.kinds[text] = now, 0
        more = " ({} more like it were held back)" if held else ""
        logger.opt(exception=trace).log(level, text + more, *args, *([held] if held else []))
