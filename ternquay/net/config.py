"""What a balancer is told when it starts, read from its configuration and the environment."""

import os
import resource
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from ternquay import model as m
from ternquay.facts import NameTable, parse_deployment
from ternquay.net.limits import Limits, derive_limits
from ternquay.net.listing import Address, FieldError, parse_address, parse_list

MIN_SOCKETS = 48
MIN_MEMORY_MB = 36  # in MB: what the program takes, and a little of everything
SOCKET_FD_VARIABLE = (
    "EDGE_SOCKET_FD"  # of the environment: the listening socket that the platform holds (net/inherited.py)
)


class ConfigError(FieldError):
    """The configuration lacks something or holds what can't be used; the text names the field."""


@dataclass(slots=True, frozen=True)
class BalancerConfig:
    path: str  # the file, which may be read again
    name: str
    listen: Address
    management: Address | None
    discovery: Address
    settings: m.Config
    names: NameTable
    initial_list: dict[str, Any]
    limits: Limits


def require_object(whole: dict[str, Any], field: str) -> dict[str, Any]:
    value = whole.get(field)
    if not isinstance(value, dict):
        raise ConfigError(f"{field}: an object is wanted, not {value!r:.60}")
    return value


def parse_integer(value: Any, field: str, least: int) -> int:
    # Written so that what is no number at all is turned away too; more than this is none of a machine's.
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < 2**64:
        raise ConfigError(f"{field}: a number of {least} or more is wanted, not {value!r:.60}")
    return int(value)


def descriptor_limit() -> int:
    """How many the system lets this process have, whatever it was told: past it accepting and dialling fail."""
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return most if most != resource.RLIM_INFINITY else 1 << 31


def parse_seed(value: Any) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else parse_integer(value, "seed", 0)
    except ValueError as fault:
        raise ConfigError(f"seed: a hexadecimal number is wanted, not {value!r:.60}") from fault


def read_file(path: str) -> dict[str, Any]:
    if not path:
        raise ConfigError("EDGE_CONFIG: not set, and no file was named")
    try:
        with open(path, "rb") as source:
            value = orjson.loads(source.read())
    except (OSError, orjson.JSONDecodeError) as fault:
        raise ConfigError(f"EDGE_CONFIG: {path} can't be read: {fault}") from fault
    if not isinstance(value, dict):
        raise ConfigError(f"EDGE_CONFIG: {path} holds no object")
    return value


def read_config(path: str = "", env: Mapping[str, str] = os.environ) -> BalancerConfig:
    """From the file named, or the one in EDGE_CONFIG; the file goes before the environment."""
    path = path or env.get("EDGE_CONFIG", "")
    told = read_file(path)
    facts, bounds = require_object(told, "settings"), require_object(told, "limits")
    # With a listening socket that the platform holds there may be two processes within the limits.
    two = 2 if env.get(SOCKET_FD_VARIABLE) else 1
    least = two * MIN_SOCKETS
    sockets = min(parse_integer(bounds.get("sockets"), "limits.sockets", least), descriptor_limit())
    if sockets < least:
        raise ConfigError(f"limits.sockets: the process may have {sockets} descriptors, {least} are wanted")
    memory = parse_integer(bounds.get("memory_mb"), "limits.memory_mb", two * MIN_MEMORY_MB)
    told_at = told.get("management", env.get("EDGE_MANAGEMENT") or None)
    try:
        settings, names, limits = (
            parse_deployment(parse_seed(told.get("seed")), facts),
            NameTable(facts),
            derive_limits(facts, sockets, memory, managed=told_at is not None, two=two > 1),
        )
    except KeyError as fault:
        raise ConfigError(f"settings: {fault.args[0]} is missing or not known") from fault
    except (TypeError, AttributeError, ValueError, OverflowError) as fault:
        raise ConfigError(f"settings: {fault}") from fault
    initial_list = require_object(told, "known")
    try:
        parse_list(initial_list, 0)
    except FieldError as fault:
        raise ConfigError(f"known.{fault}") from fault
    try:
        listen = parse_address(told.get("listen", env.get("EDGE_LISTEN")), "listen")
        management = parse_address(told_at, "management") if told_at is not None else None
        discovery = parse_address(told.get("discovery", env.get("EDGE_DISCOVERY")), "discovery")
    except FieldError as fault:
        raise ConfigError(str(fault)) from fault
    return BalancerConfig(
        path=path,
        name=str(told.get("name") or env.get("EDGE_NAME", "")),
        listen=listen,
        management=management,
        discovery=discovery,
        settings=settings,
        names=names,
        initial_list=initial_list,
        limits=limits,
    )
