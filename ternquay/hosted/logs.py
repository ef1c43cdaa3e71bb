"""The log of a hosted service: a JSON object a line, with the tenant and version that it is about, and the cause."""

import sys
from typing import Any, TextIO

import orjson
from loguru import logger

FIELDS = ("tenant", "version", "cause", "who", "kind", "status", "clock", "fleet")


def line_of(record: dict[str, Any]) -> str:
    """One line of what loguru hands in; what is bound and not known here is left out, so no value slips in."""
    told: dict[str, Any] = {
        "at": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": record["message"],
    }
    told.update({name: record["extra"][name] for name in FIELDS if name in record["extra"]})
    if record["exception"] is not None:
        fault = record["exception"]
        told["fault"] = f"{fault.type.__name__ if fault.type else ''}: {fault.value}"[:500]
        told["trace"] = _trace(fault.traceback)
    return orjson.dumps(told).decode()


def _trace(frame: Any) -> list[str]:
    found: list[str] = []
    while frame is not None and len(found) < 40:
        found.append(f"{frame.tb_frame.f_code.co_filename.rpartition('/')[2]}:{frame.tb_lineno}")
        frame = frame.tb_next
    return found


def begin(json: bool, level: str, out: TextIO = sys.stderr) -> None:
    logger.remove()
    if not json:
        # Without the values of variables in a traceback: keys and values would be among them.
        logger.add(out, format="{time:HH:mm:ss.SSS} {level} {message}", level=level, backtrace=False, diagnose=False)
        return

    def told(message: Any) -> None:
        out.write(line_of(message.record) + "\n")
        out.flush()

    logger.add(told, level=level, format="{message}", backtrace=False, diagnose=False)
