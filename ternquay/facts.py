"""Decodes what an instance is told of its deployment, for the bench's adapter and the balancer alike."""

from typing import Any

from ternquay import model as m

US = 1000
KINDS = {"repeatable": m.Kind.IDEMPOTENT, "by_key": m.Kind.JOURNALLED, "once": m.Kind.NON_IDEMPOTENT}
SCOPES = {"all": m.Scope.ALL, "zone": m.Scope.ZONE, "cell": m.Scope.CELL}



def read_start(seed: int, facts: dict[str, Any]) -> m.Started:
    limits, rules, family = facts["Limits"], facts["Invariants"], facts.get("FamilyInfo", {})
    profiles = tuple(
        m.Profile(
            kind=KINDS[p["Semantics"]], scope=SCOPES[p.get("DedupScope", "cell")],
            memory=p.get("Window", 0) * US, service_goal=p["ServiceGoal"] * US,
            hard_limit=p["HardLimit"] * US, overdue_revenue=p.get("OverdueRevenue", 0.0),
        )
        for p in facts["Profiles"]
    )
    return m.Started(
        seed=seed, balancers=facts["Balancers"], number=facts.get("MyNumber", 0), profiles=profiles,
        quotas=tuple(t["QuotaPerS"] for t in facts.get("Tenants") or []),
        aside=family.get("Mode") == "aside", origin_kind=family.get("OriginKind", -1),
        watch_list=facts.get("Discovery") == "on_request", cancel=limits.get("Cancel", False),
        parallel=limits.get("ParallelTries", False), most_hops=limits.get("MostHops", 1),
        hints_weigh=facts.get("Weights") in ("nominal", "rough"),
        max_backoff=limits.get("MaxRetryAfter", 0) * US if limits.get("RetryAfter") else 0,
        quantum=facts.get("Quantum", 0) * US, cold_share=rules["ColdShare"],
        warm_within=rules["WarmWithin"] * US, tip_multiple=rules["TipMultiple"],
        tip_window=rules["Fall"] * US,
    )


class Names:
    """The small indices that stand for the deployment's names."""

    def __init__(self, facts: dict[str, Any]) -> None:
        self.profiles = {p["Name"]: i for i, p in enumerate(facts["Profiles"])}
        self.shares = {t["Name"]: i for i, t in enumerate(facts.get("Tenants") or [])}
        self.zones = {z: i for i, z in enumerate(facts.get("Zones") or [])}
        self.kinds = {k: i for i, k in enumerate(facts.get("Kinds") or [])}
