"""Tenants' quotas, each by a leaky bucket that holds this node's share for a second. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from badgercart.policy.events import ClusterView, SettingsChanged

MS_PER_S = 1000


class TenantQuotas:
    """The tenants' leaky buckets.

    The level of a bucket is computed on access: a refresh must not take time for every tenant.

    Attributes:
        quotas_per_s: the quota over all nodes, by tenant.
        divisors: the quota divided by this node's share of it, by tenant.
        buckets: requests in the bucket, and the value of `leaked_ms` at which they were counted, by
            tenant.
        leaked_ms: the time that has passed for all buckets.
    """

    __slots__ = ("buckets", "divisors", "leaked_ms", "quotas_per_s")

    def __init__(self) -> None:
        self.quotas_per_s: tuple[float, ...] = ()
        self.divisors: list[float] = []
        self.buckets: dict[int, tuple[float, float]] = {}
        self.leaked_ms = 0.0

    def level(self, tenant: int) -> float:
        """Return the number of requests in a tenant's bucket."""
        count, as_of_ms = self.buckets.get(tenant, (0.0, 0.0))
        leaked = self.quotas_per_s[tenant] * (
            (self.leaked_ms - as_of_ms) / MS_PER_S / self.divisors[tenant]
        )
        return max(0.0, count - leaked)

    def limit(self, tenant: int) -> float:
        """Return the capacity of a tenant's bucket: this node's share of its quota for a second."""
        return self.quotas_per_s[tenant] / self.divisors[tenant]

    def admit(self, tenant: int) -> bool:
        """Count a request and return whether it is within its tenant's quota.

        Raises:
            LookupError: There is no such tenant.
        """
        if not 0 <= tenant < len(self.quotas_per_s):
            raise LookupError(f"a request names tenant {tenant}, which the settings do not have")
        level = self.level(tenant)
        if level > self.limit(tenant):
            return False
        self.buckets[tenant] = level + 1, self.leaked_ms
        return True

    def leak(self, passed_ms: float) -> None:
        """Advance the time of all buckets."""
        self.leaked_ms += passed_ms

    def apply_settings(self, event: SettingsChanged) -> None:
        """Apply the quotas; a tenant that stays keeps the level of its bucket."""
        quotas = event.settings.quotas_per_s
        self._settle(
            tenant
            for tenant in self.buckets
            if tenant < len(quotas) and tenant not in event.reset_tenants
        )
        self.quotas_per_s = quotas

    def apply_cluster(self, view: ClusterView) -> None:
        """Apply this node's share of each quota."""
        self._settle(self.buckets)
        self.divide(view)

    def divide(self, view: ClusterView) -> None:
        """Compute the divisors: by the announced shares, else by equal ones."""
        tenants = len(self.quotas_per_s)
        # Announced shares of another number of tenants belong to other settings.
        if len(view.quota_shares) == tenants:
            self.divisors = [1 / share for share in view.quota_shares]
        else:
            self.divisors = [view.possibly_alive] * tenants

    def _settle(self, tenants: Iterable[int]) -> None:
        """Compute the buckets of these tenants for now, and drop all others and empty ones."""
        levels = ((tenant, self.level(tenant)) for tenant in tenants)
        self.buckets = {tenant: (level, self.leaked_ms) for tenant, level in levels if level > 0}
