"""The registry of tenants: a change applies as a whole or not at all, and versions only rise."""

from dataclasses import replace
from typing import Any

import pytest

from ternquay.hosted.tenants.registry import (
    Change,
    CreateTenant,
    NotFound,
    Registry,
    RemoveTenant,
    ReplaceTenant,
    SetKeys,
    SetLimits,
    SetServers,
    SetState,
    VersionConflict,
)
from ternquay.hosted.tenants.tenant import (
    ApiKey,
    Endpoint,
    Guarantee,
    InvalidField,
    NamedProfile,
    RuleSettings,
    Scope,
    Server,
    Share,
    State,
    Tenant,
    TenantLimits,
)
from tests.helper import IDEMPOTENT, JOURNALLED

S = 10**9
LIMITS = TenantLimits(100.0, 50, 1000, 1 << 20, 100, 50, *(Guarantee(0.2, 0.8),) * 3)


def tenant(name: str, number: int = 1, **terms: Any) -> Tenant:
    return replace(
        Tenant(
            name,
            (Endpoint("127.0.0.1", 7000 + number),),
            (Server("one", Endpoint(f"127.0.1.{number}", 11211)),),
            (NamedProfile("read", IDEMPOTENT), NamedProfile("mark", JOURNALLED)),
            RuleSettings(S // 2, 0.2, 20 * S, 4.0, S),
            LIMITS,
            (Share("school", 5.0),),
            (ApiKey("main", bytes([number]) * 32, Scope.ADMINISTRATOR, 1),),
        ),
        **terms,
    )


def registry_of(*tenants: Tenant) -> Registry:
    registry = Registry()
    for one in tenants:
        registry = registry.with_change(CreateTenant(one))
    return registry


def test_versions_only_rise_and_a_recreated_tenant_has_a_new_incarnation() -> None:
    registry = registry_of(tenant("sur"), tenant("norte", 2))
    seen = [registry.version]
    first = registry.tenants["sur"].incarnation
    for change in (
        SetState("sur", State.SUSPENDED),
        SetState("sur", State.ACTIVE),
        SetState("sur", State.ENDING),
        RemoveTenant("sur"),
        CreateTenant(tenant("sur")),
    ):
        registry = registry.with_change(change)
        seen.append(registry.version)
    assert seen == [2, 3, 4, 5, 6, 7]
    assert registry.tenants["sur"].incarnation == 7 != first and registry.tenants["norte"].version == 2


def test_a_change_that_expects_another_version_changes_nothing() -> None:
    registry = registry_of(tenant("sur"))
    one = registry.with_change(SetLimits("sur", replace(LIMITS, burst=7), expected_version=1))
    with pytest.raises(VersionConflict) as raised:
        one.with_change(SetServers("sur", (), expected_version=1))
    assert (raised.value.expected, raised.value.current) == (1, 2)
    assert one.tenants["sur"].tenant.limits.burst == 7 and len(one.tenants["sur"].tenant.servers) == 1
    assert registry.tenants["sur"].tenant.limits.burst == 50  # the earlier registry is unchanged


INVALID_CHANGES: list[tuple[Change, str]] = [
    (CreateTenant(tenant("sur", 9)), "name"),
    (CreateTenant(tenant("Ñandú", 9)), "name"),
    (CreateTenant(tenant("x" * 49, 9)), "name"),
    (CreateTenant(tenant("este", 9, listeners=())), "listeners"),
    (CreateTenant(tenant("este", 9, listeners=(Endpoint("127.0.0.1", 7001),))), "listeners[0]"),
    (CreateTenant(tenant("este", 9, listeners=(Endpoint("127.0.0.1", 7009),) * 2)), "listeners[1]"),
    (CreateTenant(tenant("este", 9, listeners=(Endpoint("127.0.1.1", 11211),))), "listeners[0]"),
    (CreateTenant(tenant("este", 9, listeners=(Endpoint("example.org", 1),))), "listeners[0].host"),
    (CreateTenant(tenant("este", 9, listeners=(Endpoint("127.0.0.1", 0),))), "listeners[0].port"),
    (SetServers("sur", (Server("loop", Endpoint("127.0.0.1", 7002)),)), "servers[0].place"),
    (SetServers("sur", (Server("a", Endpoint("127.0.1.8", 1)), Server("a", Endpoint("127.0.1.9", 1)))), "servers[1]"),
    (SetServers("sur", (Server("a", Endpoint("127.0.1.8", 1)), Server("b", Endpoint("127.0.1.8", 1)))), "servers[1]"),
    (SetServers("sur", (Server("a", Endpoint("127.0.1.8", 1), "", float("nan")),)), "servers[0].weight"),
    (SetLimits("sur", replace(LIMITS, cpu=Guarantee(0.9, 1.0))), "limits.cpu.least"),
    (SetLimits("sur", replace(LIMITS, memory=Guarantee(0.5, 0.4))), "limits.memory"),
    (SetLimits("sur", replace(LIMITS, open_txs=0)), "limits.open_txs"),
    (SetKeys("sur", (ApiKey("k", b"\2" * 32, Scope.READER, 1),)), "keys[0]"),
    (SetKeys("sur", (ApiKey("k", b"short", Scope.READER, 1),)), "keys[0].digest"),
    (SetKeys("sur", (ApiKey("k", b"\5" * 32, Scope.OPERATOR, 1),)), "keys[0].scope"),
    (SetKeys("sur", (ApiKey("k", b"\5" * 32, Scope.READER, 5, 5),)), "keys[0].until"),
    (ReplaceTenant(tenant("sur", state=State.ENDING)), "state"),
    (ReplaceTenant(tenant("sur", profiles=())), "profiles"),
    (
        ReplaceTenant(tenant("sur", profiles=(NamedProfile("m", replace(JOURNALLED, dedup_window=0)),))),
        "profiles[0].memory",
    ),
    (
        ReplaceTenant(tenant("sur", profiles=(NamedProfile("r", replace(IDEMPOTENT, hard_limit=1)),))),
        "profiles[0].hard_limit",
    ),
    (ReplaceTenant(tenant("sur", rules=RuleSettings(S, 1.5, S, 4.0, S))), "rules.cold_share"),
    (ReplaceTenant(tenant("sur", shares=(Share("a", 1.0),) * 2)), "shares[1]"),
    (RemoveTenant("sur"), "state"),
    (SetState("este", State.ACTIVE), "state"),
]


@pytest.mark.parametrize(
    ("change", "field"), INVALID_CHANGES, ids=lambda x: x if isinstance(x, str) else type(x).__name__
)
def test_an_invalid_change_names_its_field_and_changes_nothing(change: Change, field: str) -> None:
    registry = registry_of(tenant("sur"), tenant("norte", 2))
    if isinstance(change, SetState):
        registry = registry.with_change(CreateTenant(tenant("este", 3))).with_change(SetState("este", State.ENDING))
    before = dict(registry.tenants)
    with pytest.raises(InvalidField) as raised:
        registry.with_change(change)
    assert raised.value.field == field and dict(registry.tenants) == before


def test_two_tenants_may_share_a_host_but_guarantees_must_not_exceed_the_process() -> None:
    shared = (Server("same", Endpoint("127.0.1.1", 11211)),)
    registry = registry_of(tenant("sur"), tenant("norte", 2, servers=shared), *(tenant(f"t{n}", n) for n in (3, 4, 5)))
    with pytest.raises(InvalidField) as raised:
        registry.with_change(CreateTenant(tenant("sexto", 6)))
    assert raised.value.field == "limits.cpu.least" and "1.200 of the process" in raised.value.reason
    freed = registry.with_change(SetState("t5", State.ENDING)).with_change(RemoveTenant("t5"))
    assert "sexto" in freed.with_change(CreateTenant(tenant("sexto", 6))).tenants


def test_a_tenant_that_does_not_exist_can_not_be_changed() -> None:
    for change in (
        SetState("sur", State.ACTIVE),
        RemoveTenant("sur"),
        ReplaceTenant(tenant("sur")),
        SetKeys("sur", ()),
    ):
        with pytest.raises(NotFound):
            Registry().with_change(change)
