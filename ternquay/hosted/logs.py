"""The log of a hosted service: one JSON object a line, with the tenant, the version and the cause of an event."""

import sys
from typing import Any, TextIO

import orjson
from loguru import logger

FIELDS = ("tenant", "version", "cause", "who", "kind", "status", "clock", "fleet")


def format_record(record: dict[str, Any]) -> str:
    """Returns the log line of a loguru record. Bound fields that are not in FIELDS are left out, so no value leaks."""
    entry: dict[str, Any] = {
        "at": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": record["message"],
    }
    entry.update({name: record["extra"][name] for name in FIELDS if name in record["extra"]})
    if record["exception"] is not None:
        exception = record["exception"]
        entry["fault"] = f"{exception.type.__name__ if exception.type else ''}: {exception.value}"[:500]
        entry["trace"] = _frames(exception.traceback)
    return orjson.dumps(entry).decode()


def _frames(traceback: Any) -> list[str]:
    """Returns FILE:LINE of up to 40 frames."""
    frames: list[str] = []
    while traceback is not None and len(frames) < 40:
        frames.append(f"{traceback.tb_frame.f_code.co_filename.rpartition('/')[2]}:{traceback.tb_lineno}")
        traceback = traceback.tb_next
    return frames


def configure(json: bool, level: str, out: TextIO = sys.stderr) -> None:
    """Sends the log to `out`, as JSON or as text."""
    logger.remove()
    if not json:
        # Tracebacks show no values of variables, which could be keys and values of clients.
        logger.add(out, format="{time:HH:mm:ss.SSS} {level} {message}", level=level, backtrace=False, diagnose=False)
        return

    def write(message: Any) -> None:
        out.write(format_record(message.record) + "\n")
        out.flush()

    logger.add(write, level=level, format="{message}", backtrace=False, diagnose=False)
