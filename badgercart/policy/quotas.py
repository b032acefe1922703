"""Tenants' quotas: a leaky bucket each, a second deep, for this node's part of it. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from badgercart.policy.events import ClusterView, SettingsChanged

MS_PER_S = 1000


class TenantQuotas:
    """The tenants' buckets. They leak when looked at: a refresh must not cost all tenants."""

    __slots__ = ("buckets", "divisors", "leaked_ms", "quotas_per_s")

    def __init__(self) -> None:
        self.quotas_per_s: tuple[float, ...] = ()  # over all nodes, by tenant
        self.divisors: list[float] = []  # a quota over this node's part of it, by tenant
        self.buckets: dict[
            int, tuple[float, float]
        ] = {}  # requests, as of so many ms leaked, by tenant
        self.leaked_ms = 0.0

    def level(self, tenant: int) -> float:
        """Return how many requests are in a tenant's bucket."""
        count, as_of_ms = self.buckets.get(tenant, (0.0, 0.0))
        leaked = self.quotas_per_s[tenant] * (
            (self.leaked_ms - as_of_ms) / MS_PER_S / self.divisors[tenant]
        )
        return max(0.0, count - leaked)

    def limit(self, tenant: int) -> float:
        """Return what a tenant's bucket holds: this node's part of its quota for a second."""
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
        """Let so much time pass."""
        self.leaked_ms += passed_ms

    def apply_settings(self, event: SettingsChanged) -> None:
        """Take over the quotas; a tenant that stays keeps what is in its bucket."""
        quotas = event.settings.quotas_per_s
        self._settle(t for t in self.buckets if t < len(quotas) and t not in event.reset_tenants)
        self.quotas_per_s = quotas

    def apply_cluster(self, view: ClusterView) -> None:
        """Take over which part of each quota is this node's."""
        self._settle(self.buckets)
        self.divide(view)

    def divide(self, view: ClusterView) -> None:
        """Work out this node's part of each quota: as announced, else an even one."""
        tenants = len(self.quotas_per_s)
        if len(view.quota_shares) == tenants:  # else they are of other settings
            self.divisors = [1 / share for share in view.quota_shares]
        else:
            self.divisors = [view.possibly_alive] * tenants

    def _settle(self, tenants: Iterable[int]) -> None:
        """Keep the buckets of these tenants that hold something, as of now."""
        levels = ((tenant, self.level(tenant)) for tenant in tenants)
        self.buckets = {tenant: (level, self.leaked_ms) for tenant, level in levels if level > 0}
