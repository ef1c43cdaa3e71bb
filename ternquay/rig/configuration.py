"""What the processes of a play are told of its day: places, settings and each balancer's configuration."""

from random import Random
from typing import Any

from ternquay.rig.ports import free_place
from ternquay.rig.terms import Day

KINDS = {"idempotent": "repeatable", "journalled": "by_key", "non-idempotent": "once"}


def tail_ms(day: Day) -> int:
    """For how long the play goes on after its day, so that what is open ends."""
    return max(p.hard_limit_ms for p in day.profiles) + 700


def host_places(day: Day) -> list[str]:
    """An address of its own for each cache host, with a port that is free now."""
    return [free_place(f"127.1.{n // 250}.{n % 250 + 1}") for n in range(day.hosts.count)]


def settings_of(day: Day, number: int) -> dict[str, Any]:
    """What the platform's first message would tell a balancer, out of the day."""
    hosts, rules = day.hosts, day.rules
    profiles = []
    for p in day.profiles:
        told: dict[str, Any] = {
            "Name": p.name,
            "Semantics": KINDS[p.kind],
            "ServiceGoal": p.service_goal_ms * 1000,
            "HardLimit": p.hard_limit_ms * 1000,
        }
        if p.kind == "journalled":
            told |= {"DedupScope": "all", "Window": p.memory_ms * 1000}
        profiles.append(told)
    reshaped: dict[str, Any] = {}
    if number < day.balancers.reshaped:
        zones = [f"zone-{n}" for n in range(hosts.zones)] if hosts.zones > 1 else ["here"]
        reshaped = {
            "Weights": "live" if day.list.weights_ms else "none",
            "Zones": zones,
            "Zone": zones[number % len(zones)],
            "Prices": {"CrossZone": 0.1},
            "Goal": {"KeptPromises": 0.4, "TailSlack": 0.01},
            "LoadReport": {"Source": "answers", "Names": ["err_ps", "tps", "concurrent", "x1"]},
        }
    return {
        "Balancers": day.balancers.count,
        "MyNumber": number,
        "Discovery": "on_request",
        "Quantum": 5000,
        "Weights": "none",
        "Zones": ["here"],
        "Kinds": ["rig"],
        "Tenants": [],
        "FamilyInfo": {"Mode": "through", "OriginKind": -1},
        "Profiles": profiles,
        "Limits": {
            "Cancel": True,
            "ParallelTries": day.balancers.second_copies,
            "MostHops": day.balancers.most_hops,
            "RetryAfter": True,
            "MaxRetryAfter": 1_000_000,
            "StreamsPerConn": 16,
            "ConnIdle": 5_000_000,
            "DialTimeout": 250_000,
            "MostHeld": 20_000,
        },
        "Invariants": {
            "ColdShare": hosts.cold_share,
            "WarmWithin": hosts.warm_within_ms * 1000,
            "TipMultiple": hosts.tip_multiple,
            "Fall": hosts.tip_window_ms * 1000,
            "DrainGrace": rules.drain_grace_ms * 1000,
            "MustAskIn": day.list.must_ask_ms * 1000,
        },
    } | reshaped


def configuration(
    day: Day, number: int, listen: str, discovery: str, known: dict[str, Any], seed: int
) -> dict[str, Any]:
    """What one balancer's file holds; `known` is the list in discovery's form."""
    return {
        "name": f"balancer-{number}",
        "listen": listen,
        "discovery": discovery,
        "seed": f"{Random(f'{seed}/balancer/{number}').randrange(1 << 64):016x}",
        "limits": {"cores": 1.0, "memory_mb": day.balancers.memory_mb, "sockets": day.balancers.sockets},
        "known": known,
        "settings": settings_of(day, number),
    }
