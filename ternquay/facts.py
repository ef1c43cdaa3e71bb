"""Decodes what an instance is told of its deployment, for the bench's adapter and the balancer alike."""

from typing import Any

from ternquay import model as m

US = 1000
KINDS = {"repeatable": m.Semantics.IDEMPOTENT, "by_key": m.Semantics.JOURNALLED, "once": m.Semantics.NON_IDEMPOTENT}
SCOPES = {"all": m.DedupScope.ALL, "zone": m.DedupScope.ZONE, "cell": m.DedupScope.CELL}
WEIGHTS = {
    "none": m.WeightMode.NONE,
    "nominal": m.WeightMode.STATIC,
    "rough": m.WeightMode.STATIC,
    "live": m.WeightMode.LIVE,
}
REPORTS = {  # a value whose name is not known is passed over
    "concurrent": ("active", 1.0),
    "depth": ("active", 1.0),
    "mean_ms": ("service_time", 1e6),
    "err_ps": ("errors_per_second", 1.0),
    "tps": ("completed_per_second", 1.0),
}
REPORT_MOST = 4
MUST_ASK = 10 * 10**9  # nanoseconds, where nothing is told
LONGEST = 10**12  # of any time that is told, in microseconds: some eleven days
MOST = 10**9  # of any count or rate


def number(told: dict[str, Any], name: str, at: str, least: float, most: float, usual: float | None = None) -> Any:
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


def span(told: dict[str, Any], name: str, at: str, least: int = 0, usual: int | None = None) -> int:
    """A time that is told in microseconds, in nanoseconds."""
    return int(number(told, name, at, least, LONGEST, usual)) * US


def choice(told: dict[str, Any], name: str, at: str, known: dict[str, Any], usual: str | None = None) -> Any:
    value = told.get(name, usual)
    if not isinstance(value, str) or value not in known:
        field = f"{at}.{name}" if at else name
        raise ValueError(f"{field}: one of {', '.join(known)} is wanted, not {value!r:.40}")
    return known[value]


def flag(told: dict[str, Any], name: str, at: str) -> bool:
    """True or false; absent: false. Against a word or a number that counts as true."""
    value = told.get(name, False)
    if not isinstance(value, bool):
        raise ValueError(f"{at}.{name}: true or false is wanted, not {value!r:.40}")
    return value


def named(told: Any, what: str) -> list[tuple[str, dict[str, Any]]]:
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


def read_profile(at: str, told: dict[str, Any]) -> m.Profile:
    return m.Profile(
        semantics=choice(told, "Semantics", at, KINDS),
        dedup_scope=choice(told, "DedupScope", at, SCOPES, "cell"),
        dedup_window=span(told, "Window", at, usual=0),
        service_goal=span(told, "ServiceGoal", at, 1),
        hard_limit=span(told, "HardLimit", at, 1),
        overdue_revenue=number(told, "OverdueRevenue", at, -MOST, MOST, 0.0),
    )


def read_start(seed: int, facts: dict[str, Any]) -> m.Config:
    """Raises KeyError or ValueError, which name the field."""
    limits, rules, family = facts["Limits"], facts["Invariants"], facts.get("FamilyInfo", {})
    goal = table(facts, "Goal")
    for part in ("KeptPromises", "TailSlack"):  # the decisions read neither: an answer late is a loss in any case
        number(goal, part, "Goal", 0, 1, 0.0)
    read_report_names(facts)
    profiles = tuple(read_profile(at, one) for at, one in named(facts["Profiles"], "Profiles"))
    if not profiles:
        raise ValueError("Profiles: at least one is wanted")
    return m.Config(
        seed=seed,
        balancer_count=int(number(facts, "Balancers", "", 1, MOST)),
        balancer_index=int(number(facts, "MyNumber", "", 0, MOST, 0)),
        profiles=profiles,
        quotas=tuple(number(t, "QuotaPerS", at, 0, MOST) for at, t in named(facts.get("Tenants") or [], "Tenants")),
        cache_aside=family.get("Mode") == "aside",
        origin_kind=family.get("OriginKind", -1),
        watch_list=facts.get("Discovery") == "on_request",
        can_cancel=limits.get("Cancel", False),
        parallel_hops=limits.get("ParallelTries", False),
        max_hops=int(number(limits, "MostHops", "Limits", 1, MOST, 1)),
        weight_mode=choice(facts, "Weights", "", WEIGHTS, "none"),
        max_backoff=span(limits, "MaxRetryAfter", "Limits", usual=0) if limits.get("RetryAfter") else 0,
        clock_quantum=span(facts, "Quantum", "", usual=0),
        cold_share=number(rules, "ColdShare", "Invariants", 0, 1),
        warm_up_time=span(rules, "WarmWithin", "Invariants"),
        overload_multiple=number(rules, "TipMultiple", "Invariants", 0, MOST),
        overload_window=span(rules, "Fall", "Invariants"),
        list_max_age=span(rules, "MustAskIn", "Invariants", usual=0) or MUST_ASK,
        gone_is_advisory=flag(rules, "GoneIsAdvice", "Invariants"),
        zone=own_zone(facts),
        cross_zone_price=number(table(facts, "Prices"), "CrossZone", "Prices", 0, MOST, 0.0),
    )


def table(facts: dict[str, Any], name: str) -> dict[str, Any]:
    """What is told under that name; absent: nothing."""
    told = facts.get(name)
    if told is not None and not isinstance(told, dict):
        raise ValueError(f"{name}: an object is wanted, not {told!r:.40}")
    return told or {}


def own_zone(facts: dict[str, Any]) -> int:
    zones = facts.get("Zones") or []
    told = facts.get("Zone")
    if told is not None and told not in zones:
        raise ValueError(f"Zone: one of Zones is wanted, not {told!r:.40}")
    return -1 if told is None else zones.index(told)


def read_report_names(facts: dict[str, Any]) -> list[tuple[str, float]]:
    """The field and unit of each value of a load report, in their order; none where answers carry none."""
    told = table(facts, "LoadReport")
    source = choice(told, "Source", "LoadReport", {"answers": True, "probe": False, "none": False}, "none")
    names = told.get("Names") or []
    if not isinstance(names, list) or not all(isinstance(n, str) and n for n in names):
        raise ValueError(f"LoadReport.Names: a list of names is wanted, not {names!r:.40}")
    if len(names) > REPORT_MOST or len(set(names)) < len(names):
        raise ValueError(f"LoadReport.Names: at most {REPORT_MOST} names, each once, are wanted, not {names!r:.40}")
    return [REPORTS.get(name, ("", 0.0)) for name in names] if source else []


class Names:
    """The small indices that stand for the deployment's names."""

    def __init__(self, facts: dict[str, Any]) -> None:
        self.profiles = {p["Name"]: i for i, p in enumerate(facts["Profiles"])}
        self.shares = {t["Name"]: i for i, t in enumerate(facts.get("Tenants") or [])}
        self.zones = {z: i for i, z in enumerate(facts.get("Zones") or [])}
        self.kinds = {k: i for i, k in enumerate(facts.get("Kinds") or [])}
        self.reports = read_report_names(facts)

    def report(self, row: Any) -> m.LoadReport | None:
        """What came with an answer. Against rows that are odd: what is no figure of its own counts as not told."""
        if not self.reports or not isinstance(row, list) or len(row) != len(self.reports):
            return None
        told = {
            field: float(value) * unit
            for (field, unit), value in zip(self.reports, row, strict=True)
            if field and isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value <= MOST
        }
        return m.LoadReport(**told) if told else None
