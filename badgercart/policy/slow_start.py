"""Slow start: recently started endpoints get fewer attempts, summed over all nodes. No I/O.

Each endpoint in slow start has a token bucket. All nodes together send at most a share of the load
that would make it collapse, each node an equal part of it.
"""

from __future__ import annotations

from badgercart.policy.cluster import Cluster
from badgercart.policy.endpoint import Endpoint
from badgercart.policy.endpoints import EndpointChanges, EndpointSet, TrackedEndpoint
from badgercart.policy.latency import LatencyModel
from badgercart.policy.settings import Settings
from badgercart.policy.subset import Subset
from badgercart.policy.throughput import Throughput

# Share of the rate at which an endpoint collapses that it may get. It is below 1, since sizes are
# approximate and a new endpoint has no keys cached.
BUDGET_SHARE = 0.8
# A token bucket holds this share of a node's part in the collapse window, at least one token.
BURST_SHARE = 0.25
# A listed size in this range is used as the number of requests that an endpoint serves at once.
MIN_SIZE = 0.5
MAX_SIZE = 8.0
# If more than this share of the ready endpoints is in slow start, the warm ones are too few.
ALL_STARTING_SHARE = 0.9


class SlowStart:
    """The endpoints in slow start, and the attempts that each may get.

    Attributes:
        starting: ids of ready endpoints that may be in slow start.
    """

    __slots__ = (
        "_cluster",
        "_endpoints",
        "_latency",
        "_settings",
        "_subset",
        "_throughput",
        "starting",
    )

    def __init__(
        self,
        endpoints: EndpointSet,
        subset: Subset,
        cluster: Cluster,
        latency: LatencyModel,
        throughput: Throughput,
        settings: Settings,
    ) -> None:
        self._endpoints, self._subset, self._cluster = endpoints, subset, cluster
        self._latency, self._throughput, self._settings = latency, throughput, settings
        self.starting: set[int] = set()

    def apply_settings(self, settings: Settings) -> None:
        """Apply settings."""
        self._settings = settings

    def apply_changes(self, changes: EndpointChanges) -> None:
        """Update the endpoints in slow start by changes of the ready endpoints."""
        starting = self.starting
        for endpoint_id, _, after in changes:
            starting.discard(endpoint_id)
            if after is not None and after.started_ms:
                starting.add(endpoint_id)

    def capacity_share(self, endpoint: Endpoint, now_ms: float) -> float:
        """Return the share of its capacity that an endpoint has reached by its age."""
        started_ms = endpoint.started_ms
        if not started_ms:
            return 1.0
        settings, age_ms = self._settings, max(0.0, now_ms - started_ms)
        if age_ms >= settings.slow_start_duration_ms:
            return 1.0
        min_capacity = settings.slow_start_min_capacity
        return min_capacity + (1.0 - min_capacity) * age_ms / settings.slow_start_duration_ms

    def drop_finished(self, now_ms: float) -> None:
        """Forget endpoints whose slow start is over."""
        by_id = self._endpoints.by_id
        self.starting = {
            i for i in self.starting if self.capacity_share(by_id[i].endpoint, now_ms) < 1.0
        }

    def starting_capacity(self, now_ms: float) -> float:
        """Return the capacity of the endpoints in slow start together, in endpoints."""
        by_id = self._endpoints.by_id
        return sum(self.capacity_share(by_id[i].endpoint, now_ms) for i in self.starting)

    def has_token(self, tracked: TrackedEndpoint, now_ms: float) -> bool:
        """Fill an endpoint's token bucket, and return whether it may get an attempt now."""
        endpoint, settings, nodes = (
            tracked.endpoint,
            self._settings,
            self._cluster.view.possibly_alive,
        )
        # An endpoint of size 1 serves one request at once.
        size = endpoint.size if MIN_SIZE <= endpoint.size <= MAX_SIZE else 1.0
        rate = self._rate_per_ms(endpoint, size, now_ms)
        earned = (
            rate
            * len(self._endpoints.ready)
            / self._subset.size
            * (now_ms - tracked.tokens_as_of_ms)
        )
        max_tokens = max(1.0, BURST_SHARE * rate * settings.collapse_window_ms)
        tracked.tokens = min(tracked.tokens + earned, max_tokens)
        tracked.tokens_as_of_ms = now_ms
        # A fleet that starts all at once has no warm endpoints: each may get one attempt on credit
        # if it has a free slot.
        all_starting = len(self.starting) > ALL_STARTING_SHARE * len(self._endpoints.ready)
        on_credit = all_starting and (len(tracked.open_attempts) + 1) * nodes <= size
        return tracked.tokens >= (-1.0 if on_credit else 0.0)

    def _rate_per_ms(self, endpoint: Endpoint, size: float, now_ms: float) -> float:
        """Return the attempts per ms that an endpoint may get from this node."""
        if not self._subset.contains(endpoint.id):
            # Its budget belongs to the nodes that have it in their subsets.
            return 0.0
        work_ms = self._latency.warm_work_ms.get(endpoint.kind) or max(self._latency.typical_ms)
        warm_rate = max(size / work_ms, self._throughput.best_rate_per_endpoint)
        return (
            BUDGET_SHARE
            * self._settings.collapse_load_factor
            * self.capacity_share(endpoint, now_ms)
            * warm_rate
            / self._cluster.view.possibly_alive
        )
