"""The parts of the policy that know the endpoints, updated in order of dependency. No I/O."""

from __future__ import annotations

import random
from dataclasses import replace

from badgercart.policy.capacity import CapacityModel
from badgercart.policy.cluster import Cluster
from badgercart.policy.endpoint import Endpoint, EndpointState, EndpointStatistics
from badgercart.policy.endpoints import EndpointSet, TrackedEndpoint
from badgercart.policy.error_rate import ErrorRate
from badgercart.policy.events import (
    ClusterView,
    EndpointUpdate,
    SettingsChanged,
    TrafficPlan,
    UpdateKind,
)
from badgercart.policy.hash_ring import VirtualNodes
from badgercart.policy.latency import LatencyModel
from badgercart.policy.locality import Locality
from badgercart.policy.outlier_detection import OutlierDetector
from badgercart.policy.settings import Settings
from badgercart.policy.slow_start import SlowStart
from badgercart.policy.subset import Subset
from badgercart.policy.throughput import Throughput

# Two start times of an endpoint that differ by less than this are the same start.
SAME_START_MS = 1.0


class Fleet:
    """Owns the parts that know the endpoints, and keeps them consistent.

    Attributes:
        available_capacity: how many endpoints at full capacity the ready endpoints are equal to,
            without those that are ejected or in lost zones, and by the share that those in slow
            start can serve.
    """

    def __init__(
        self, settings: Settings, throughput: Throughput, error_rate: ErrorRate, rng: random.Random
    ) -> None:
        self._random = rng
        self._class_count = len(settings.classes)
        self.available_capacity = 1.0
        self.cluster = Cluster(settings)
        self.latency = LatencyModel()
        self.endpoints = EndpointSet()
        self.capacity = CapacityModel(self.latency)
        self.subset = Subset(self.endpoints)
        self.virtual_nodes = VirtualNodes(self.endpoints, self.capacity, self.subset)
        self.outliers = OutlierDetector(
            self.endpoints, self.subset, self.virtual_nodes, error_rate, rng
        )
        self.slow_start = SlowStart(
            self.endpoints, self.subset, self.cluster, self.latency, throughput, settings
        )
        self.locality = Locality(self.endpoints, self.subset, rng)

    @property
    def slots(self) -> float:
        """Return this node's share of the requests that the available endpoints serve at once."""
        return self.capacity.slots_per_endpoint * self.available_capacity

    def apply_settings(self, event: SettingsChanged) -> None:
        """Apply settings. `refresh` has to follow once all parts of the policy have them."""
        known, count = len(self.latency.typical_ms), len(event.settings.classes)
        self._class_count = count
        self.latency.apply_settings(event)
        if count > known or event.reset_classes:
            self.endpoints.reset_classes(count, event.reset_classes)
        self.slow_start.apply_settings(event.settings)
        self.cluster.apply_settings(event.settings)

    def apply_view(self, event: ClusterView) -> None:
        """Apply another view of the cluster. `refresh` has to follow."""
        self.cluster.announce(event)
        self.outliers.apply_reports(event.failure_reports)

    def apply_plan(self, event: TrafficPlan) -> bool:
        """Apply a traffic plan, and return whether `refresh` has to follow."""
        return self.locality.set_plan(event)

    def apply_update(self, event: EndpointUpdate, now_ms: float) -> None:
        """Apply an endpoint update. `refresh` has to follow."""
        if event.kind is not UpdateKind.DELTA:
            self._remove_unlisted(event, now_ms)
        for endpoint in event.endpoints:
            self._record(endpoint, now_ms)
        if event.kind is UpdateKind.SNAPSHOT:
            # The statistics do not age here: an endpoint that is listed later would be given stale
            # ones.
            self.endpoints.restorable.clear()
        self.propagate_changes()

    def _remove_unlisted(self, event: EndpointUpdate, now_ms: float) -> None:
        listed = {endpoint.id for endpoint in event.endpoints}
        endpoints = self.endpoints
        for endpoint_id in [i for i in endpoints.ready if i not in listed]:
            self._record(
                replace(endpoints.by_id[endpoint_id].endpoint, state=EndpointState.GONE), now_ms
            )

    def _record(self, endpoint: Endpoint, now_ms: float) -> None:
        """Apply the entry of one endpoint in an update."""
        endpoints = self.endpoints
        known = endpoints.by_id.get(endpoint.id)
        if known is None and endpoint.state is EndpointState.GONE:
            return
        if known is None or known.endpoint.started_ms != endpoint.started_ms:
            # It is new or has restarted: what was known of it is void.
            class_count = len(self.latency.typical_ms)
            tracked = endpoints.track(endpoint, class_count, now_ms, self._random)
            statistics = endpoints.restorable.pop(endpoint.id, None)
            if statistics is not None and known is None:
                self._restore(tracked, statistics, now_ms)
        else:
            tracked = known
        endpoints.updated.add(endpoint.id)
        tracked.endpoint = endpoint
        self.forget_if_gone(tracked)

    def _restore(
        self, tracked: TrackedEndpoint, statistics: EndpointStatistics, now_ms: float
    ) -> None:
        """Restore an endpoint's statistics from before a restart of this node.

        They are void if the endpoint has restarted since.
        """
        if abs(statistics.started_ms - tracked.endpoint.started_ms) >= SAME_START_MS:
            return
        if len(statistics.failure_rates) != len(tracked.health):
            return
        self.endpoints.restore(tracked, statistics)
        self.outliers.restore(tracked, statistics, len(self.endpoints.updated), now_ms)

    def forget_if_gone(self, tracked: TrackedEndpoint) -> None:
        """Forget an endpoint that is gone and has no open attempt: ids are never reused."""
        if (
            tracked.endpoint.state is not EndpointState.GONE
            or tracked.open_attempts
            or tracked.uploads
        ):
            return
        self.endpoints.by_id.pop(tracked.endpoint.id, None)
        self.outliers.ejected.discard(tracked.endpoint.id)

    def propagate_changes(self) -> None:
        """Pass the changes of the ready endpoints to all parts."""
        changes = self.endpoints.take_changes()
        self.virtual_nodes.mark_pending(changes.endpoint_ids)
        self.slow_start.apply_changes(changes)
        self.locality.apply_changes(changes)
        self.capacity.apply_changes(changes)

    def refresh(self, concurrency_limit: float, now_ms: float) -> None:
        """Recompute the values that depend on all endpoints together.

        Args:
            concurrency_limit: attempts in flight that keep this node's share of the fleet busy.
            now_ms: clock time.
        """
        partial = self.subset.refresh(concurrency_limit, self.cluster.view)
        self.locality.refresh(self._class_count)
        self.refresh_available_capacity(now_ms)
        kind_ratios = self.capacity.refresh(len(self.endpoints.ready), self.cluster.view.size)
        counts = self.virtual_nodes.counts.keys()
        entered_or_left = self.subset.differing(counts) if partial else set[int]()
        self.virtual_nodes.update(kind_ratios, entered_or_left)

    def refresh_available_capacity(self, now_ms: float) -> None:
        """Recompute how many endpoints at full capacity the ready ones are equal to now.

        Endpoints that are ejected or in lost zones are left out: a concurrency limit that counted
        them would overload the others.
        """
        slow_start, ready_count = self.slow_start, len(self.endpoints.ready)
        slow_start.drop_finished(now_ms)
        starting = slow_start.starting_capacity(now_ms)
        unavailable = self._ejected_capacity(now_ms)
        unavailable += self.locality.lost_endpoints() * ready_count / self.subset.size
        available = ready_count - len(slow_start.starting) + starting - unavailable
        self.available_capacity = max(available, 1.0)

    def _ejected_capacity(self, now_ms: float) -> float:
        """Return the ejected capacity outside of lost zones, in endpoints."""
        applied, by_id = self.endpoints.applied, self.endpoints.by_id
        lost_zones, share = self.locality.lost_zones, self.slow_start.capacity_share
        ejected = [
            by_id[endpoint_id] for endpoint_id in self.outliers.ejected if endpoint_id in applied
        ]
        return sum(
            self.outliers.ejected_capacity(tracked, share(tracked.endpoint, now_ms))
            for tracked in ejected
            if tracked.endpoint.zone not in lost_zones
        )
