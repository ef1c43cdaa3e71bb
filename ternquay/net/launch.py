"""What a balancer is told when it starts, read from its configuration and the environment."""

import os
import resource
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from ternquay import model as m
from ternquay.facts import Names, read_start
from ternquay.net.limits import Limits, derive_limits
from ternquay.net.listing import Address, ToldWrong, address, read_list

LEAST_SOCKETS = 48
LEAST_MEMORY = 36  # in MB: what the program takes, and a little of everything
HELD_SOCKET = "EDGE_SOCKET_FD"  # of the environment: the listening socket that the platform holds (net/inherited.py)


class LaunchError(ToldWrong):
    """The configuration lacks something or holds what can't be used; the text names the field."""


@dataclass(slots=True, frozen=True)
class Launch:
    path: str  # the file, which may be read again
    name: str
    listen: Address
    management: Address | None
    discovery: Address
    start: m.Config
    names: Names
    known: dict[str, Any]
    limits: Limits


def part(whole: dict[str, Any], field: str) -> dict[str, Any]:
    value = whole.get(field)
    if not isinstance(value, dict):
        raise LaunchError(f"{field}: an object is wanted, not {value!r:.60}")
    return value


def whole_number(value: Any, field: str, least: int) -> int:
    # Written so that what is no number at all is turned away too; more than this is none of a machine's.
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < 2**64:
        raise LaunchError(f"{field}: a number of {least} or more is wanted, not {value!r:.60}")
    return int(value)


def descriptors() -> int:
    """How many the system lets this process have, whatever it was told: past it accepting and dialling fail."""
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return most if most != resource.RLIM_INFINITY else 1 << 31


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
    # With a listening socket that the platform holds there may be two processes within the limits.
    two = 2 if env.get(HELD_SOCKET) else 1
    least = two * LEAST_SOCKETS
    sockets = min(whole_number(bounds.get("sockets"), "limits.sockets", least), descriptors())
    if sockets < least:
        raise LaunchError(f"limits.sockets: the process may have {sockets} descriptors, {least} are wanted")
    memory = whole_number(bounds.get("memory_mb"), "limits.memory_mb", two * LEAST_MEMORY)
    told_at = told.get("management", env.get("EDGE_MANAGEMENT") or None)
    try:
        start, names, limits = (
            read_start(read_seed(told.get("seed")), facts),
            Names(facts),
            derive_limits(facts, sockets, memory, managed=told_at is not None, two=two > 1),
        )
    except KeyError as fault:
        raise LaunchError(f"settings: {fault.args[0]} is missing or not known") from fault
    except (TypeError, AttributeError, ValueError, OverflowError) as fault:
        raise LaunchError(f"settings: {fault}") from fault
    known = part(told, "known")
    try:
        read_list(known, 0)
    except ToldWrong as fault:
        raise LaunchError(f"known.{fault}") from fault
    try:
        listen = address(told.get("listen", env.get("EDGE_LISTEN")), "listen")
        management = address(told_at, "management") if told_at is not None else None
        discovery = address(told.get("discovery", env.get("EDGE_DISCOVERY")), "discovery")
    except ToldWrong as fault:
        raise LaunchError(str(fault)) from fault
    return Launch(
        path=path,
        name=str(told.get("name") or env.get("EDGE_NAME", "")),
        listen=listen,
        management=management,
        discovery=discovery,
        start=start,
        names=names,
        known=known,
        limits=limits,
    )
