"""Decodes what an instance is told of its deployment, for the bench's adapter and the balancer alike."""

from typing import Any

from ternquay import model as m

US = 1000
SEMANTICS = {"repeatable": m.Semantics.IDEMPOTENT, "by_key": m.Semantics.JOURNALLED, "once": m.Semantics.NON_IDEMPOTENT}
DEDUP_SCOPES = {"all": m.DedupScope.ALL, "zone": m.DedupScope.ZONE, "cell": m.DedupScope.CELL}
WEIGHT_MODES = {
    "none": m.WeightMode.NONE,
    "nominal": m.WeightMode.STATIC,
    "rough": m.WeightMode.STATIC,
    "live": m.WeightMode.LIVE,
}
REPORT_FIELDS = {  # a value whose name is not known is passed over
    "concurrent": ("active", 1.0),
    "depth": ("active", 1.0),
    "mean_ms": ("service_time", 1e6),
    "err_ps": ("errors_per_second", 1.0),
    "tps": ("completed_per_second", 1.0),
}
MAX_REPORT_VALUES = 4
DEFAULT_LIST_MAX_AGE_NS = 10 * 10**9  # nanoseconds, where nothing is told
MAX_DURATION_US = 10**12  # of any time that is told, in microseconds: some eleven days
MAX_NUMBER = 10**9  # of any count or rate


def parse_number(
    told: dict[str, Any], name: str, at: str, least: float, most: float, usual: float | None = None
) -> Any:
    """A figure within its range. Raises KeyError where it is missing and has no usual value, else ValueError."""
    field = f"{at}.{name}" if at else name
    value = told.get(name)
    if value is None:
        if usual is None:
            raise KeyError(field)
        return usual
    # Written so that what is no number at all is not within the range either.
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise ValueError(f"{field}: a number from {least:g} to {most:g} is wanted, not {value!r:.40}")
    return value


def parse_duration(told: dict[str, Any], name: str, at: str, least: int = 0, usual: int | None = None) -> int:
    """A time that is told in microseconds, in nanoseconds."""
    return int(parse_number(told, name, at, least, MAX_DURATION_US, usual)) * US


def parse_choice(told: dict[str, Any], name: str, at: str, known: dict[str, Any], usual: str | None = None) -> Any:
    value = told.get(name, usual)
    if not isinstance(value, str) or value not in known:
        field = f"{at}.{name}" if at else name
        raise ValueError(f"{field}: one of {', '.join(known)} is wanted, not {value!r:.40}")
    return known[value]


def parse_flag(told: dict[str, Any], name: str, at: str) -> bool:
    """True or false; absent: false. Against a word or a number that counts as true."""
    value = told.get(name, False)
    if not isinstance(value, bool):
        raise ValueError(f"{at}.{name}: true or false is wanted, not {value!r:.40}")
    return value


def parse_named_list(told: Any, what: str) -> list[tuple[str, dict[str, Any]]]:
    """What is listed under names, each with its path; a name stands once."""
    if not isinstance(told, list):
        raise ValueError(f"{what}: a list is wanted, not {told!r:.40}")
    seen: set[str] = set()
    for i, one in enumerate(told):
        name = one.get("Name") if isinstance(one, dict) else None
        if not isinstance(name, str) or not name or name in seen:
            raise ValueError(f"{what}[{i}].Name: a name of its own is wanted, not {name!r:.40}")
        seen.add(name)
    return [(f"{what}[{i}]", one) for i, one in enumerate(told)]


def parse_profile(at: str, told: dict[str, Any]) -> m.Profile:
    return m.Profile(
        semantics=parse_choice(told, "Semantics", at, SEMANTICS),
        dedup_scope=parse_choice(told, "DedupScope", at, DEDUP_SCOPES, "cell"),
        dedup_window=parse_duration(told, "Window", at, usual=0),
        service_goal=parse_duration(told, "ServiceGoal", at, 1),
        hard_limit=parse_duration(told, "HardLimit", at, 1),
        overdue_revenue=parse_number(told, "OverdueRevenue", at, -MAX_NUMBER, MAX_NUMBER, 0.0),
    )


def parse_deployment(seed: int, facts: dict[str, Any]) -> m.Config:
    """Raises KeyError or ValueError, which name the field."""
    limits, rules, family = facts["Limits"], facts["Invariants"], facts.get("FamilyInfo", {})
    goal = parse_table(facts, "Goal")
    for part in ("KeptPromises", "TailSlack"):  # the decisions read neither: an answer late is a loss in any case
        parse_number(goal, part, "Goal", 0, 1, 0.0)
    parse_report_fields(facts)
    profiles = tuple(parse_profile(at, one) for at, one in parse_named_list(facts["Profiles"], "Profiles"))
    if not profiles:
        raise ValueError("Profiles: at least one is wanted")
    return m.Config(
        seed=seed,
        balancer_count=int(parse_number(facts, "Balancers", "", 1, MAX_NUMBER)),
        balancer_index=int(parse_number(facts, "MyNumber", "", 0, MAX_NUMBER, 0)),
        profiles=profiles,
        quotas=tuple(
            parse_number(t, "QuotaPerS", at, 0, MAX_NUMBER)
            for at, t in parse_named_list(facts.get("Tenants") or [], "Tenants")
        ),
        cache_aside=family.get("Mode") == "aside",
        origin_kind=family.get("OriginKind", -1),
        watch_list=facts.get("Discovery") == "on_request",
        can_cancel=limits.get("Cancel", False),
        parallel_hops=limits.get("ParallelTries", False),
        max_hops=int(parse_number(limits, "MostHops", "Limits", 1, MAX_NUMBER, 1)),
        weight_mode=parse_choice(facts, "Weights", "", WEIGHT_MODES, "none"),
        max_backoff=parse_duration(limits, "MaxRetryAfter", "Limits", usual=0) if limits.get("RetryAfter") else 0,
        clock_quantum=parse_duration(facts, "Quantum", "", usual=0),
        cold_share=parse_number(rules, "ColdShare", "Invariants", 0, 1),
        warm_up_time=parse_duration(rules, "WarmWithin", "Invariants"),
        overload_multiple=parse_number(rules, "TipMultiple", "Invariants", 0, MAX_NUMBER),
        overload_window=parse_duration(rules, "Fall", "Invariants"),
        list_max_age=parse_duration(rules, "MustAskIn", "Invariants", usual=0) or DEFAULT_LIST_MAX_AGE_NS,
        gone_is_advisory=parse_flag(rules, "GoneIsAdvice", "Invariants"),
        zone=parse_own_zone(facts),
        cross_zone_price=parse_number(parse_table(facts, "Prices"), "CrossZone", "Prices", 0, MAX_NUMBER, 0.0),
    )


def parse_table(facts: dict[str, Any], name: str) -> dict[str, Any]:
    """What is told under that name; absent: nothing."""
    told = facts.get(name)
    if told is not None and not isinstance(told, dict):
        raise ValueError(f"{name}: an object is wanted, not {told!r:.40}")
    return told or {}


def parse_own_zone(facts: dict[str, Any]) -> int:
    zones = facts.get("Zones") or []
    told = facts.get("Zone")
    if told is not None and told not in zones:
        raise ValueError(f"Zone: one of Zones is wanted, not {told!r:.40}")
    return -1 if told is None else zones.index(told)


def parse_report_fields(facts: dict[str, Any]) -> list[tuple[str, float]]:
    """The field and unit of each value of a load report, in their order; none where answers carry none."""
    told = parse_table(facts, "LoadReport")
    source = parse_choice(told, "Source", "LoadReport", {"answers": True, "probe": False, "none": False}, "none")
    names = told.get("Names") or []
    if not isinstance(names, list) or not all(isinstance(n, str) and n for n in names):
        raise ValueError(f"LoadReport.Names: a list of names is wanted, not {names!r:.40}")
    if len(names) > MAX_REPORT_VALUES or len(set(names)) < len(names):
        raise ValueError(
            f"LoadReport.Names: at most {MAX_REPORT_VALUES} names, each once, are wanted, not {names!r:.40}"
        )
    return [REPORT_FIELDS.get(name, ("", 0.0)) for name in names] if source else []


class NameTable:
    """The small indices that stand for the deployment's names."""

    def __init__(self, facts: dict[str, Any]) -> None:
        self.profiles = {p["Name"]: i for i, p in enumerate(facts["Profiles"])}
        self.shares = {t["Name"]: i for i, t in enumerate(facts.get("Tenants") or [])}
        self.zones = {z: i for i, z in enumerate(facts.get("Zones") or [])}
        self.kinds = {k: i for i, k in enumerate(facts.get("Kinds") or [])}
        self.report_fields = parse_report_fields(facts)

    def parse_report(self, row: Any) -> m.LoadReport | None:
        """What came with an answer. Against rows that are odd: what is no figure of its own counts as not told."""
        if not self.report_fields or not isinstance(row, list) or len(row) != len(self.report_fields):
            return None
        told = {
            field: float(value) * unit
            for (field, unit), value in zip(self.report_fields, row, strict=True)
            if field and isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value <= MAX_NUMBER
        }
        return m.LoadReport(**told) if told else None
