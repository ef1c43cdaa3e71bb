"""What a balancer is told when it starts, read from its configuration and the environment."""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from ternquay import model as m
from ternquay.facts import Names, read_start
from ternquay.net.limits import Limits, fill


class LaunchError(ValueError):
    """The configuration lacks something or holds what can't be used; the text names the field."""


@dataclass(slots=True, frozen=True)
class Address:
    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(slots=True, frozen=True)
class Launch:
    path: str  # the file, which may be read again
    name: str
    listen: Address
    discovery: Address
    start: m.Started
    names: Names
    known: dict[str, Any]
    limits: Limits


def address(text: Any, field: str) -> Address:
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise LaunchError(f"{field}: an address and a port are wanted, not {text!r}")
    return Address(host, int(port))


def part(whole: dict[str, Any], field: str) -> dict[str, Any]:
    value = whole.get(field)
    if not isinstance(value, dict):
        raise LaunchError(f"{field}: an object is wanted, not {value!r:.60}")
    return value


def whole_number(value: Any, field: str, least: int) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float) or value < least:
        raise LaunchError(f"{field}: a number of {least} or more is wanted, not {value!r:.60}")
    return int(value)


def read_seed(value: Any) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else whole_number(value, "seed", 0)
    except ValueError as fault:
        raise LaunchError(f"seed: a hexadecimal number is wanted, not {value!r:.60}") from fault


def read_file(path: str) -> dict[str, Any]:
    if not path:
        raise LaunchError("EDGE_CONFIG: not set, and no file was named")
    try:
        with open(path, "rb") as source:
            value = orjson.loads(source.read())
    except (OSError, orjson.JSONDecodeError) as fault:
        raise LaunchError(f"EDGE_CONFIG: {path} can't be read: {fault}") from fault
    if not isinstance(value, dict):
        raise LaunchError(f"EDGE_CONFIG: {path} holds no object")
    return value


def read_launch(path: str = "", env: Mapping[str, str] = os.environ) -> Launch:
    """From the file named, or the one in EDGE_CONFIG; the file goes before the environment."""
    path = path or env.get("EDGE_CONFIG", "")
    told = read_file(path)
    facts, bounds = part(told, "settings"), part(told, "limits")
    sockets = whole_number(bounds.get("sockets"), "limits.sockets", 48)
    memory = whole_number(bounds.get("memory_mb"), "limits.memory_mb", 64)
    try:
        start, names, limits = read_start(read_seed(told.get("seed")), facts), Names(facts), fill(
            facts, sockets, memory)
    except KeyError as fault:
        raise LaunchError(f"settings: {fault.args[0]} is missing or not known") from fault
    except (TypeError, AttributeError, ValueError) as fault:
        raise LaunchError(f"settings: {fault}") from fault
    known = part(told, "known")
    if not isinstance(known.get("members"), list):
        raise LaunchError("known.members: a list is wanted")
    return Launch(
        path=path, name=str(told.get("name") or env.get("EDGE_NAME", "")),
        listen=address(told.get("listen", env.get("EDGE_LISTEN")), "listen"),
        discovery=address(told.get("discovery", env.get("EDGE_DISCOVERY")), "discovery"),
        start=start, names=names, known=known, limits=limits,
    )
