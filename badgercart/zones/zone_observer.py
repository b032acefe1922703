"""What this node observes of the zones, and the reports that it makes of it. No I/O."""

from __future__ import annotations

from badgercart.policy.events import AttemptResult
from badgercart.zones.demand import DemandEstimator
from badgercart.zones.endpoint_capacity import EndpointCapacity, no_capacity
from badgercart.zones.failure_detector import Reachability, ZoneFailureDetector
from badgercart.zones.topology import Topology
from badgercart.zones.zone_reports import ZoneReport, encode_report

MIN_COUNTING_SHARE = 0.5  # of the report interval, below which a rate would be chance


class ZoneObserver:
    """Owns the failure detector and the demand of this node's requests."""

    def __init__(
        self, topology: Topology, report_interval_ms: float, check_after_ms: float
    ) -> None:
        """Begin with every zone unknown.

        Args:
            topology: the zones.
            report_interval_ms: between two reports; a change of reachability is reported at once.
            check_after_ms: silence of a zone after which it gets a health check.
        """
        self._report_interval_ms, self._check_after_ms = report_interval_ms, check_after_ms
        self.capacity = no_capacity(len(topology.zones))  # of the endpoints, as scanned last
        self._reported_at = 0.0
        self._checking: set[int] = set()  # zones with a health check on its way
        self.reachability: tuple[Reachability, ...] = ()  # by zone, as reported last
        self.demand = DemandEstimator(topology.row_count, topology.class_count)
        self.reset(topology)

    def reset(self, topology: Topology) -> None:
        """Observe another topology from now on."""
        self._topology = topology
        self.detector = ZoneFailureDetector(len(topology.zones))
        self.demand.reset(topology.row_count, topology.class_count)

    def attempt_sent(self, now: float, zone: int, endpoint_id: int) -> None:
        """Take over that an attempt was sent; unknown zones are left out."""
        if 0 <= zone < len(self.detector.zones):
            self.detector.attempt_sent(now, zone, endpoint_id)

    def attempt_ended(
        self, now: float, zone: int, result: AttemptResult, elapsed_ms: float
    ) -> None:
        """Take over that an attempt ended, `elapsed_ms` after it was sent."""
        if 0 <= zone < len(self.detector.zones):
            self.detector.attempt_ended(now, zone, result, elapsed_ms)

    def request_completed(self, class_index: int, tenant: int) -> None:
        """Count a request into the demand."""
        self.demand.count(self._topology.row_of(class_index, tenant))

    def zones_to_check(self, now: float) -> list[int]:
        """Return the zones that want a health check now; `health_checked` ends each."""
        candidates = [
            zone
            for zone in range(len(self.detector.zones))
            if self.capacity.endpoint_counts[zone] and zone not in self._checking
        ]
        wanted = [
            zone
            for zone in candidates
            if self.detector.wants_check(now, zone, self._check_after_ms)
        ]
        self._checking |= set(wanted)
        return wanted

    def health_checked(self, now: float, zone: int, endpoint_id: int, healthy: bool) -> None:
        """Take over the result of a health check."""
        self._checking.discard(zone)
        if zone < len(self.detector.zones):
            self.detector.health_checked(now, zone, endpoint_id, healthy)

    def report(
        self, now: float, capacity: EndpointCapacity, interval_factor: float
    ) -> bytes | None:
        """Return a report if one is due: at once where reachability changes, else now and then.

        Args:
            now: ms on the node's clock.
            capacity: the endpoints of each zone.
            interval_factor: how many times less often than the interval this node reports.
        """
        self.capacity = capacity
        reachability = tuple(
            self.detector.reachability(now, zone, count)
            for zone, count in enumerate(capacity.endpoint_counts)
        )
        due = now - self._reported_at >= self._report_interval_ms * interval_factor
        if not due and reachability == self.reachability:
            return None
        self.reachability, self._reported_at = reachability, now
        if self.demand.elapsed_ms(now) >= self._report_interval_ms * MIN_COUNTING_SHARE:
            self.demand.update(now, self.detector.mean_latency_ms, capacity.typical_latency_ms)
        return encode_report(self._current_report(now))

    def _current_report(self, now: float) -> ZoneReport:
        zones = self.detector.zones
        return ZoneReport(
            self._topology.digest,
            [int(reachability) for reachability in self.reachability],
            [
                round(100 * zone.latency.relative) if zone.latency.is_current(now) else 0
                for zone in zones
            ],
            [round(100 * zone.success_rate) for zone in zones],
            [round(1000 * slots) for slots in self.demand.slots],
        )
