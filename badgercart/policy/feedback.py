"""Updates statistics of an endpoint and of the fleet by the end of an attempt. No I/O."""

from __future__ import annotations

from badgercart.policy.endpoints import TrackedEndpoint
from badgercart.policy.events import AttemptResult
from badgercart.policy.fleet import Fleet
from badgercart.policy.latency import ENDPOINT_GAIN
from badgercart.policy.overload import OverloadController
from badgercart.policy.requests import PendingRequest

# Results that carry no information about the endpoint.
UNINFORMATIVE_RESULTS = frozenset({AttemptResult.CANCELLED, AttemptResult.NOT_SENT})
# Results that may come before the endpoint has done the work.
POSSIBLY_QUICK_RESULTS = frozenset({AttemptResult.ERROR, AttemptResult.RESET})
# Weight of such a failure that took the typical latency. The weight is proportional to the time
# taken and at most 1, which it reaches at twice the typical latency.
QUICK_FAILURE_WEIGHT = 0.5


class AttemptFeedback:
    """Passes what attempts show to the parts of the policy that learn from it. It owns no state."""

    __slots__ = ("_fleet", "_latency", "_outliers", "_overload")

    def __init__(self, fleet: Fleet, overload: OverloadController) -> None:
        self._fleet, self._overload = fleet, overload
        self._latency, self._outliers = fleet.latency, fleet.outliers

    def learn(
        self,
        tracked: TrackedEndpoint,
        pending: PendingRequest,
        result: int,
        elapsed_ms: float,
        now_ms: float,
    ) -> None:
        """Learn from an attempt that has ended."""
        if result in UNINFORMATIVE_RESULTS:
            return
        class_index = pending.request.class_index
        weight = self._failure_weight(result, class_index, elapsed_ms)
        failed = result != AttemptResult.OK
        self._overload.error_rate.record(failed, weight, result != AttemptResult.UNREACHABLE)
        if failed:
            if result == AttemptResult.TIMEOUT:
                self._learn_latency(tracked, class_index, elapsed_ms)
            # A quick reset may concern the connection alone; if the process has died, the next
            # connection is refused.
            weight = weight if result == AttemptResult.RESET else 1.0
            self._outliers.record_failure(tracked, class_index, result, weight, now_ms)
            return
        self._learn_work(tracked, class_index, elapsed_ms, now_ms)
        self._learn_latency(tracked, class_index, elapsed_ms)
        request_class = pending.request_class
        if (
            request_class.late_value_share
            or now_ms - pending.arrived_ms <= request_class.latency_objective_ms
        ):
            self._overload.throughput.record_timely(elapsed_ms, self._overload.time_scale)
        self._outliers.record_success(tracked, class_index)

    def _failure_weight(self, result: int, class_index: int, elapsed_ms: float) -> float:
        """Return the weight of a failure in the error rate.

        A failure that put no load on an endpoint does not indicate overload.
        """
        if result == AttemptResult.UNREACHABLE:
            return 0.0
        if result in POSSIBLY_QUICK_RESULTS:
            return min(
                1.0, QUICK_FAILURE_WEIGHT * elapsed_ms / self._latency.typical_ms[class_index]
            )
        return 1.0

    def _learn_work(
        self, tracked: TrackedEndpoint, class_index: int, elapsed_ms: float, now_ms: float
    ) -> None:
        endpoint = tracked.endpoint
        work_ms = elapsed_ms * self._fleet.slow_start.capacity_share(endpoint, now_ms)
        self._latency.record_work(
            endpoint.kind, class_index, work_ms, elapsed_ms, self._overload.level
        )

    def _learn_latency(self, tracked: TrackedEndpoint, class_index: int, elapsed_ms: float) -> None:
        relative = self._latency.record_ratio(tracked.endpoint.kind, class_index, elapsed_ms)
        tracked.relative_latency += ENDPOINT_GAIN * (relative - tracked.relative_latency)

    def learn_from_stream(
        self, tracked: TrackedEndpoint, pending: PendingRequest, result: int, now_ms: float
    ) -> None:
        """Learn from the end of an attempt whose response was being streamed."""
        if result not in (AttemptResult.OK, AttemptResult.CANCELLED):
            self._outliers.record_failure(tracked, pending.request.class_index, result, 1.0, now_ms)
