"""Tenants' quotas: buckets that leak at this node's part of the quota."""

from __future__ import annotations

import pytest

from badgercart.policy.events import ClusterView, SettingsChanged
from badgercart.policy.quotas import TenantQuotas
from badgercart.policy.settings import Idempotency, RequestClass, Settings

CLASSES = (RequestClass(400.0, 1000.0, 1.0, Idempotency.IDEMPOTENT),)


def change(*quotas: float, reset: frozenset[int] = frozenset()) -> SettingsChanged:
    return SettingsChanged(
        Settings(CLASSES, quotas_per_s=quotas), frozenset({0}), frozenset(), reset
    )


def quotas_of(*quotas: float, nodes: int = 1) -> TenantQuotas:
    made = TenantQuotas()
    made.apply_settings(change(*quotas))
    made.divide(ClusterView(nodes, 0, nodes))
    return made


def test_a_bucket_holds_a_second_of_this_nodes_part() -> None:
    quotas = quotas_of(20.0, nodes=2)
    assert quotas.limit(0) == 10.0
    assert [quotas.admit(0) for _ in range(12)] == [True] * 11 + [False]
    quotas.leak(100.0)  # one request's time
    assert quotas.admit(0) and not quotas.admit(0)


def test_only_tenants_with_something_in_them_have_a_bucket() -> None:
    quotas = quotas_of(10.0, 10.0, 10.0)
    quotas.admit(1)
    assert quotas.buckets.keys() == {1}
    quotas.leak(1000.0)
    quotas.apply_cluster(ClusterView(1, 0, 1))
    assert not quotas.buckets


def test_a_view_with_shares_divides_by_them_and_one_of_other_settings_evenly() -> None:
    quotas = quotas_of(10.0, 30.0)
    quotas.apply_cluster(ClusterView(3, 0, 4, (0.5, 0.1)))
    assert [quotas.limit(tenant) for tenant in (0, 1)] == pytest.approx([5.0, 3.0])
    quotas.apply_cluster(ClusterView(3, 0, 4, (0.5,)))
    assert [quotas.limit(tenant) for tenant in (0, 1)] == [2.5, 7.5]


def test_a_tenant_that_stays_keeps_what_is_in_its_bucket_and_one_that_is_reset_does_not() -> None:
    quotas = quotas_of(10.0, 10.0, 10.0)
    for tenant in (0, 1, 2):
        quotas.admit(tenant)
    quotas.apply_settings(change(10.0, 10.0, reset=frozenset({1})))
    assert quotas.level(0) == 1.0 and quotas.buckets.keys() == {0}


def test_an_unknown_tenant_is_an_error() -> None:
    for tenant in (-1, 2):
        with pytest.raises(LookupError, match=f"names tenant {tenant}"):
            quotas_of(1.0, 1.0).admit(tenant)
