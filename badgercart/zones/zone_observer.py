"""This node's observations of the zones, and its reports of them. No I/O."""

from __future__ import annotations

from badgercart.policy.events import AttemptResult
from badgercart.zones.demand import DemandEstimator
from badgercart.zones.endpoint_capacity import EndpointCapacity, no_capacity
from badgercart.zones.failure_detector import Reachability, ZoneFailureDetector
from badgercart.zones.topology import Topology
from badgercart.zones.zone_reports import ZoneReport, encode_report

# Share of the report interval below which requests are not converted to a rate, since it would be
# mostly random.
MIN_COUNTING_SHARE = 0.5


class ZoneObserver:
    """Owns the failure detector and the demand of this node's requests.

    Attributes:
        capacity: the capacity of the endpoints at the latest scan.
        reachability: the reachability of each zone in the latest report.
        demand: the demand of this node's requests.
        detector: the failure detector.
    """

    def __init__(
        self, topology: Topology, report_interval_ms: float, check_after_ms: float
    ) -> None:
        """Start with every zone unknown.

        Args:
            topology: the zones.
            report_interval_ms: the interval between two reports; a change of reachability is
                reported at once.
            check_after_ms: the silence of a zone after which it gets a health check.
        """
        self._report_interval_ms, self._check_after_ms = report_interval_ms, check_after_ms
        self.capacity = no_capacity(len(topology.zones))
        self._reported_at_ms = 0.0
        self._checking: set[int] = set()  # zones with a health check in flight
        self.reachability: tuple[Reachability, ...] = ()
        self.demand = DemandEstimator(topology.row_count, topology.class_count)
        self.reset(topology)

    def reset(self, topology: Topology) -> None:
        """Use another topology, and drop the observations of the old one."""
        self._topology = topology
        self.detector = ZoneFailureDetector(len(topology.zones))
        self.demand.reset(topology.row_count, topology.class_count)

    def attempt_sent(self, now_ms: float, zone: int, endpoint_id: int) -> None:
        """Record that an attempt was sent; unknown zones are ignored."""
        if 0 <= zone < len(self.detector.zones):
            self.detector.attempt_sent(now_ms, zone, endpoint_id)

    def attempt_ended(
        self, now_ms: float, zone: int, result: AttemptResult, elapsed_ms: float
    ) -> None:
        """Record that an attempt ended, `elapsed_ms` after it was sent."""
        if 0 <= zone < len(self.detector.zones):
            self.detector.attempt_ended(now_ms, zone, result, elapsed_ms)

    def request_completed(self, class_index: int, tenant: int) -> None:
        """Count a request in the demand."""
        self.demand.count(self._topology.row_of(class_index, tenant))

    def zones_to_check(self, now_ms: float) -> list[int]:
        """Return the zones that need a health check now; `health_checked` must end each."""
        candidates = [
            zone
            for zone in range(len(self.detector.zones))
            if self.capacity.endpoint_counts[zone] and zone not in self._checking
        ]
        needed = [
            zone
            for zone in candidates
            if self.detector.wants_check(now_ms, zone, self._check_after_ms)
        ]
        self._checking |= set(needed)
        return needed

    def health_checked(self, now_ms: float, zone: int, endpoint_id: int, healthy: bool) -> None:
        """Record the result of a health check."""
        self._checking.discard(zone)
        if zone < len(self.detector.zones):
            self.detector.health_checked(now_ms, zone, endpoint_id, healthy)

    def report(
        self, now_ms: float, capacity: EndpointCapacity, interval_factor: float
    ) -> bytes | None:
        """Return a report if the interval has passed or the reachability has changed.

        Args:
            now_ms: the time on the node's clock.
            capacity: the capacity of the endpoints.
            interval_factor: the factor by which the report interval is extended.
        """
        self.capacity = capacity
        reachability = tuple(
            self.detector.reachability(now_ms, zone, count)
            for zone, count in enumerate(capacity.endpoint_counts)
        )
        due = now_ms - self._reported_at_ms >= self._report_interval_ms * interval_factor
        if not due and reachability == self.reachability:
            return None
        self.reachability, self._reported_at_ms = reachability, now_ms
        if self.demand.elapsed_ms(now_ms) >= self._report_interval_ms * MIN_COUNTING_SHARE:
            self.demand.update(now_ms, self.detector.mean_latency_ms, capacity.typical_latency_ms)
        return encode_report(self._current_report(now_ms))

    def _current_report(self, now_ms: float) -> ZoneReport:
        zones = self.detector.zones
        return ZoneReport(
            self._topology.digest,
            [int(reachability) for reachability in self.reachability],
            [
                round(100 * zone.latency.relative) if zone.latency.is_current(now_ms) else 0
                for zone in zones
            ],
            [round(100 * zone.success_rate) for zone in zones],
            [round(1000 * slots) for slots in self.demand.slots],
        )
