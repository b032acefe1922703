"""Tenants' quotas: buckets that leak at this node's share of the quota."""

from __future__ import annotations

import pytest

from badgercart.policy.events import ClusterView, SettingsChanged
from badgercart.policy.quotas import TenantQuotas
from badgercart.policy.settings import Idempotency, RequestClass, Settings

CLASSES = (RequestClass(400.0, 1000.0, 1.0, Idempotency.IDEMPOTENT),)


def settings_change(*quotas: float, reset: frozenset[int] = frozenset()) -> SettingsChanged:
    return SettingsChanged(
        Settings(CLASSES, quotas_per_s=quotas), frozenset({0}), frozenset(), reset
    )


def quotas_of(*quotas: float, nodes: int = 1) -> TenantQuotas:
    made = TenantQuotas()
    made.apply_settings(settings_change(*quotas))
    made.divide(ClusterView(nodes, 0, nodes))
    return made


def test_a_bucket_holds_this_nodes_share_for_a_second() -> None:
    quotas = quotas_of(20.0, nodes=2)
    assert quotas.limit(0) == 10.0
    assert [quotas.admit(0) for _ in range(12)] == [True] * 11 + [False]
    quotas.leak(100.0)  # the time of one request at the share of 10 per second
    assert quotas.admit(0) and not quotas.admit(0)


def test_empty_buckets_are_dropped() -> None:
    quotas = quotas_of(10.0, 10.0, 10.0)
    quotas.admit(1)
    assert quotas.buckets.keys() == {1}
    quotas.leak(1000.0)
    quotas.apply_cluster(ClusterView(1, 0, 1))
    assert not quotas.buckets


def test_quotas_are_divided_by_announced_shares_or_else_evenly() -> None:
    quotas = quotas_of(10.0, 30.0)
    quotas.apply_cluster(ClusterView(3, 0, 4, (0.5, 0.1)))
    assert [quotas.limit(tenant) for tenant in (0, 1)] == pytest.approx([5.0, 3.0])
    quotas.apply_cluster(ClusterView(3, 0, 4, (0.5,)))
    assert [quotas.limit(tenant) for tenant in (0, 1)] == [2.5, 7.5]


def test_a_tenant_keeps_the_level_of_its_bucket_unless_it_is_reset() -> None:
    quotas = quotas_of(10.0, 10.0, 10.0)
    for tenant in (0, 1, 2):
        quotas.admit(tenant)
    quotas.apply_settings(settings_change(10.0, 10.0, reset=frozenset({1})))
    assert quotas.level(0) == 1.0 and quotas.buckets.keys() == {0}


def test_an_unknown_tenant_is_an_error() -> None:
    for tenant in (-1, 2):
        with pytest.raises(LookupError, match=f"names tenant {tenant}"):
            quotas_of(1.0, 1.0).admit(tenant)
