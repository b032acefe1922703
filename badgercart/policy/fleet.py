"""All parts that know the endpoints, and the order in which an update reaches them. No I/O."""

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

SAME_START_MS = 1.0  # difference of two start times below which they are the same start


class Fleet:
    """Holds the parts that know the endpoints, and keeps them in step."""

    def __init__(
        self, settings: Settings, throughput: Throughput, error_rate: ErrorRate, rng: random.Random
    ) -> None:
        self._random = rng
        self._class_count = len(settings.classes)
        # Of the ready endpoints, without what is ejected, lost or still starting.
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
        """Return this node's part of the requests that the available endpoints serve at once."""
        return self.capacity.slots_per_endpoint * self.available_capacity

    def apply_settings(self, event: SettingsChanged) -> None:
        """Put settings in force. `refresh` has to follow once all parts of the policy have them."""
        known, count = len(self.latency.typical_ms), len(event.settings.classes)
        self._class_count = count
        self.latency.apply_settings(event)
        if count > known or event.reset_classes:
            self.endpoints.reset_classes(count, event.reset_classes)
        self.slow_start.apply_settings(event.settings)
        self.cluster.apply_settings(event.settings)

    def apply_view(self, event: ClusterView) -> None:
        """Go by another view of the cluster. `refresh` has to follow."""
        self.cluster.announce(event)
        self.outliers.apply_reports(event.failure_reports)

    def apply_plan(self, event: TrafficPlan) -> bool:
        """Put a traffic plan in force, and return whether `refresh` has to follow."""
        return self.locality.set_plan(event)

    def apply_update(self, event: EndpointUpdate, now_ms: float) -> None:
        """Take over which endpoints there are. `refresh` has to follow."""
        if event.kind is not UpdateKind.DELTA:
            self._remove_unlisted(event, now_ms)
        for endpoint in event.endpoints:
            self._record(endpoint, now_ms)
        if event.kind is UpdateKind.SNAPSHOT:
            # An endpoint that comes later would be given statistics that have not aged meanwhile.
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
        """Take over what an update says of one endpoint."""
        endpoints = self.endpoints
        known = endpoints.by_id.get(endpoint.id)
        if known is None and endpoint.state is EndpointState.GONE:
            return
        if known is None or known.endpoint.started_ms != endpoint.started_ms:
            # It is new or has started anew: what was known of it is void.
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
        """Take over a predecessor's statistics of an endpoint, unless it has started anew since."""
        if abs(statistics.started_ms - tracked.endpoint.started_ms) >= SAME_START_MS:
            return
        if len(statistics.failure_rates) != len(tracked.health):
            return
        self.endpoints.restore(tracked, statistics)
        self.outliers.restore(tracked, statistics, len(self.endpoints.updated), now_ms)

    def forget_if_gone(self, tracked: TrackedEndpoint) -> None:
        """Forget an endpoint that is gone and has no open attempt: ids are never used again."""
        if (
            tracked.endpoint.state is not EndpointState.GONE
            or tracked.open_attempts
            or tracked.uploads
        ):
            return
        self.endpoints.by_id.pop(tracked.endpoint.id, None)
        self.outliers.ejected.discard(tracked.endpoint.id)

    def propagate_changes(self) -> None:
        """Have all parts take over which endpoints are ready, by what changed."""
        changes = self.endpoints.take_changes()
        self.virtual_nodes.mark_pending(changes.endpoint_ids)
        self.slow_start.apply_changes(changes)
        self.locality.apply_changes(changes)
        self.capacity.apply_changes(changes)

    def refresh(self, concurrency_limit: float, now_ms: float) -> None:
        """Work out anew what depends on all endpoints together.

        Args:
            concurrency_limit: attempts in flight that keep this node's part of the fleet busy.
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
        """Work out how many endpoints' work the ready ones can do now.

        What is ejected or lost is left out: a concurrency limit that counted it would fill the
        others until they are overloaded.
        """
        slow_start, ready_count = self.slow_start, len(self.endpoints.ready)
        slow_start.drop_finished(now_ms)
        starting = slow_start.starting_capacity(now_ms)
        unavailable = self._ejected_capacity(now_ms)
        unavailable += self.locality.lost_endpoints() * ready_count / self.subset.size
        available = ready_count - len(slow_start.starting) + starting - unavailable
        self.available_capacity = max(available, 1.0)

    def _ejected_capacity(self, now_ms: float) -> float:
        """Return how many endpoints' work is ejected, outside of lost zones."""
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
