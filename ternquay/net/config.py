"""Reads the configuration of a balancer's process from a JSON file and the environment."""

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
MIN_MEMORY_MB = 1
SOCKET_FD_VARIABLE = "EDGE_SOCKET_FD"  # the descriptor of an inherited listening socket, see net/inherited.py


class ConfigError(FieldError):
    """The configuration is incomplete or invalid. The message names the field."""


@dataclass(slots=True, frozen=True)
class BalancerConfig:
    """The configuration of one process."""

    path: str  # of the file, for a reload
    name: str
    listen: Address
    management: Address | None
    discovery: Address
    settings: m.Config
    names: NameTable
    initial_list: dict[str, Any]  # the host list to start with, as discovery would return it
    limits: Limits


def require_object(document: dict[str, Any], field: str) -> dict[str, Any]:
    """Returns a field that has to be an object. Raises ConfigError."""
    value = document.get(field)
    if not isinstance(value, dict):
        raise ConfigError(f"{field}: an object is wanted, not {value!r:.60}")
    return value


def parse_integer(value: Any, field: str, minimum: int) -> int:
    """Returns a number of at least `minimum` as an integer. Raises ConfigError."""
    # The comparison is negated as a whole so that it rejects NaN too. No machine has 2**64 of anything.
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value < 2**64:
        raise ConfigError(f"{field}: a number of {minimum} or more is wanted, not {value!r:.60}")
    return int(value)


def descriptor_limit() -> int:
    """Returns the process's limit on open descriptors, beyond which accepting and connecting fail."""
    soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return soft_limit if soft_limit != resource.RLIM_INFINITY else 1 << 31


def parse_seed(value: Any) -> int:
    """Returns a seed, given as a hexadecimal string or an integer. Raises ConfigError."""
    try:
        return int(value, 16) if isinstance(value, str) else parse_integer(value, "seed", 0)
    except ValueError as fault:
        raise ConfigError(f"seed: a hexadecimal number is wanted, not {value!r:.60}") from fault


def read_file(path: str) -> dict[str, Any]:
    """Reads the JSON object of a configuration file. Raises ConfigError."""
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
    """Reads the configuration file `path`, or the one that EDGE_CONFIG names. Raises ConfigError.

    Fields of the file take precedence over variables of the environment.
    """
    path = path or env.get("EDGE_CONFIG", "")
    document = read_file(path)
    facts, bounds = require_object(document, "settings"), require_object(document, "limits")
    # With an inherited listening socket, two processes may have to run within the limits.
    processes = 2 if env.get(SOCKET_FD_VARIABLE) else 1
    min_sockets = processes * MIN_SOCKETS
    sockets = min(parse_integer(bounds.get("sockets"), "limits.sockets", min_sockets), descriptor_limit())
    if sockets < min_sockets:
        raise ConfigError(f"limits.sockets: the process may have {sockets} descriptors, {min_sockets} are wanted")
    memory_mb = parse_integer(bounds.get("memory_mb"), "limits.memory_mb", MIN_MEMORY_MB)
    management_text = document.get("management", env.get("EDGE_MANAGEMENT") or None)
    try:
        settings, names, limits = (
            parse_deployment(parse_seed(document.get("seed")), facts),
            NameTable(facts),
            derive_limits(facts, sockets, memory_mb, managed=management_text is not None, two_processes=processes > 1),
        )
    except KeyError as fault:
        raise ConfigError(f"settings: {fault.args[0]} is missing or not known") from fault
    except (TypeError, AttributeError, ValueError, OverflowError) as fault:
        raise ConfigError(f"settings: {fault}") from fault
    initial_list = require_object(document, "known")
    try:
        parse_list(initial_list, 0)
    except FieldError as fault:
        raise ConfigError(f"known.{fault}") from fault
    try:
        listen = parse_address(document.get("listen", env.get("EDGE_LISTEN")), "listen")
        management = parse_address(management_text, "management") if management_text is not None else None
        discovery = parse_address(document.get("discovery", env.get("EDGE_DISCOVERY")), "discovery")
    except FieldError as fault:
        raise ConfigError(str(fault)) from fault
    return BalancerConfig(
        path=path,
        name=str(document.get("name") or env.get("EDGE_NAME", "")),
        listen=listen,
        management=management,
        discovery=discovery,
        settings=settings,
        names=names,
        initial_list=initial_list,
        limits=limits,
    )
