"""Parses the description of a deployment (its facts), for the bench adapter and the balancer process."""

from typing import Any

from ternquay import model as m

US = 1000  # nanoseconds
SEMANTICS = {"repeatable": m.Semantics.IDEMPOTENT, "by_key": m.Semantics.JOURNALLED, "once": m.Semantics.NON_IDEMPOTENT}
DEDUP_SCOPES = {"all": m.DedupScope.ALL, "zone": m.DedupScope.ZONE, "cell": m.DedupScope.CELL}
WEIGHT_MODES = {
    "none": m.WeightMode.NONE,
    "nominal": m.WeightMode.STATIC,
    "rough": m.WeightMode.STATIC,
    "live": m.WeightMode.LIVE,
}
REPORT_FIELDS = {  # the field and unit of each value of a load report; unknown names are ignored
    "concurrent": ("active", 1.0),
    "depth": ("active", 1.0),
    "mean_ms": ("service_time", 1e6),
    "err_ps": ("errors_per_second", 1.0),
    "tps": ("completed_per_second", 1.0),
}
MAX_REPORT_VALUES = 4
DEFAULT_LIST_MAX_AGE_NS = 10 * 10**9
MAX_DURATION_US = 10**12  # over eleven days
MAX_NUMBER = 10**9  # of any count or rate


def parse_number(
    source: dict[str, Any], name: str, path: str, minimum: float, maximum: float, default: float | None = None
) -> Any:
    """A number between `minimum` and `maximum`; `path` is that of `source`, for messages.

    Raises KeyError where it is missing and has no default, and ValueError where it is no number or out of range.
    """
    field = f"{path}.{name}" if path else name
    value = source.get(name)
    if value is None:
        if default is None:
            raise KeyError(field)
        return default
    # The comparison is negated as a whole so that it rejects NaN too.
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
        raise ValueError(f"{field}: must be a number from {minimum:g} to {maximum:g}, not {value!r:.40}")
    return value


def parse_duration(source: dict[str, Any], name: str, path: str, minimum: int = 0, default: int | None = None) -> int:
    """A duration in nanoseconds, given in microseconds. Raises as `parse_number` does."""
    return int(parse_number(source, name, path, minimum, MAX_DURATION_US, default)) * US


def parse_choice(
    source: dict[str, Any], name: str, path: str, choices: dict[str, Any], default: str | None = None
) -> Any:
    """The choice that a string stands for. Raises ValueError for any other value."""
    value = source.get(name, default)
    if not isinstance(value, str) or value not in choices:
        field = f"{path}.{name}" if path else name
        raise ValueError(f"{field}: must be one of {', '.join(choices)}, not {value!r:.40}")
    return choices[value]


def parse_flag(source: dict[str, Any], name: str, path: str) -> bool:
    """A boolean, false by default. Raises ValueError for anything else, such as a string that Python takes as true."""
    value = source.get(name, False)
    if not isinstance(value, bool):
        raise ValueError(f"{path}.{name}: must be true or false, not {value!r:.40}")
    return value


def parse_named_list(source: Any, path: str) -> list[tuple[str, dict[str, Any]]]:
    """The objects of a list, each with its path. Raises ValueError unless every one has a unique `Name`."""
    if not isinstance(source, list):
        raise ValueError(f"{path}: must be a list, not {source!r:.40}")
    seen: set[str] = set()
    for i, item in enumerate(source):
        name = item.get("Name") if isinstance(item, dict) else None
        if not isinstance(name, str) or not name or name in seen:
            raise ValueError(f"{path}[{i}].Name: must be a unique name, not {name!r:.40}")
        seen.add(name)
    return [(f"{path}[{i}]", item) for i, item in enumerate(source)]


def parse_profile(path: str, source: dict[str, Any]) -> m.Profile:
    """A profile. Raises KeyError or ValueError with the name of the field."""
    return m.Profile(
        semantics=parse_choice(source, "Semantics", path, SEMANTICS),
        dedup_scope=parse_choice(source, "DedupScope", path, DEDUP_SCOPES, "cell"),
        dedup_window=parse_duration(source, "Window", path, default=0),
        service_goal=parse_duration(source, "ServiceGoal", path, 1),
        hard_limit=parse_duration(source, "HardLimit", path, 1),
        overdue_revenue=parse_number(source, "OverdueRevenue", path, -MAX_NUMBER, MAX_NUMBER, 0.0),
    )


def parse_deployment(seed: int, facts: dict[str, Any]) -> m.Config:
    """The configuration of a balancer. Raises KeyError or ValueError with the name of the field."""
    limits, rules, family = facts["Limits"], facts["Invariants"], facts.get("FamilyInfo", {})
    goal = parse_table(facts, "Goal")
    # These are checked but not used: to the decisions, a late response is a loss in any case.
    for name in ("KeptPromises", "TailSlack"):
        parse_number(goal, name, "Goal", 0, 1, 0.0)
    parse_report_fields(facts)
    profiles = tuple(parse_profile(path, item) for path, item in parse_named_list(facts["Profiles"], "Profiles"))
    if not profiles:
        raise ValueError("Profiles: must have at least one entry")
    return m.Config(
        seed=seed,
        balancer_count=int(parse_number(facts, "Balancers", "", 1, MAX_NUMBER)),
        balancer_index=int(parse_number(facts, "MyNumber", "", 0, MAX_NUMBER, 0)),
        profiles=profiles,
        quotas=tuple(
            parse_number(share, "QuotaPerS", path, 0, MAX_NUMBER)
            for path, share in parse_named_list(facts.get("Tenants") or [], "Tenants")
        ),
        cache_aside=family.get("Mode") == "aside",
        origin_kind=family.get("OriginKind", -1),
        watch_list=facts.get("Discovery") == "on_request",
        can_cancel=limits.get("Cancel", False),
        parallel_hops=limits.get("ParallelTries", False),
        max_hops=int(parse_number(limits, "MostHops", "Limits", 1, MAX_NUMBER, 1)),
        weight_mode=parse_choice(facts, "Weights", "", WEIGHT_MODES, "none"),
        max_backoff=parse_duration(limits, "MaxRetryAfter", "Limits", default=0) if limits.get("RetryAfter") else 0,
        clock_quantum=parse_duration(facts, "Quantum", "", default=0),
        cold_share=parse_number(rules, "ColdShare", "Invariants", 0, 1),
        warm_up_time=parse_duration(rules, "WarmWithin", "Invariants"),
        overload_multiple=parse_number(rules, "TipMultiple", "Invariants", 0, MAX_NUMBER),
        overload_window=parse_duration(rules, "Fall", "Invariants"),
        list_max_age=parse_duration(rules, "MustAskIn", "Invariants", default=0) or DEFAULT_LIST_MAX_AGE_NS,
        gone_is_advisory=parse_flag(rules, "GoneIsAdvice", "Invariants"),
        zone=parse_own_zone(facts),
        cross_zone_price=parse_number(parse_table(facts, "Prices"), "CrossZone", "Prices", 0, MAX_NUMBER, 0.0),
    )


def parse_table(facts: dict[str, Any], name: str) -> dict[str, Any]:
    """The object with that name, by default an empty one."""
    value = facts.get(name)
    if value is not None and not isinstance(value, dict):
        raise ValueError(f"{name}: must be an object, not {value!r:.40}")
    return value or {}


def parse_own_zone(facts: dict[str, Any]) -> int:
    """The index of the balancer's own zone, or -1."""
    zones = facts.get("Zones") or []
    zone = facts.get("Zone")
    if zone is not None and zone not in zones:
        raise ValueError(f"Zone: must be one of Zones, not {zone!r:.40}")
    return -1 if zone is None else zones.index(zone)


def parse_report_fields(facts: dict[str, Any]) -> list[tuple[str, float]]:
    """The field and unit of each value of a load report, in order; none where responses carry no report."""
    report = parse_table(facts, "LoadReport")
    in_responses = parse_choice(
        report, "Source", "LoadReport", {"answers": True, "probe": False, "none": False}, "none"
    )
    names = report.get("Names") or []
    if not isinstance(names, list) or not all(isinstance(n, str) and n for n in names):
        raise ValueError(f"LoadReport.Names: must be a list of names, not {names!r:.40}")
    if len(names) > MAX_REPORT_VALUES or len(set(names)) < len(names):
        raise ValueError(f"LoadReport.Names: must be at most {MAX_REPORT_VALUES} unique names, not {names!r:.40}")
    return [REPORT_FIELDS.get(name, ("", 0.0)) for name in names] if in_responses else []


class NameTable:
    """The indices that stand for the names of a deployment in events and actions."""

    def __init__(self, facts: dict[str, Any]) -> None:
        self.profiles = {p["Name"]: i for i, p in enumerate(facts["Profiles"])}
        self.shares = {t["Name"]: i for i, t in enumerate(facts.get("Tenants") or [])}
        self.zones = {z: i for i, z in enumerate(facts.get("Zones") or [])}
        self.kinds = {k: i for i, k in enumerate(facts.get("Kinds") or [])}
        self.report_fields = parse_report_fields(facts)

    def parse_report(self, row: Any) -> m.LoadReport | None:
        """The load report of a response. A value that is no number from 0 to MAX_NUMBER counts as not reported."""
        if not self.report_fields or not isinstance(row, list) or len(row) != len(self.report_fields):
            return None
        values = {
            field: float(value) * unit
            for (field, unit), value in zip(self.report_fields, row, strict=True)
            if field and isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value <= MAX_NUMBER
        }
        return m.LoadReport(**values) if values else None
