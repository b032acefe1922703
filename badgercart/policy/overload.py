"""The overload signal, and the priority score below which requests are shed. No I/O.

The overload signal is between 0 and 1. It depends on the error rate and on the attempts in flight
over the concurrency limit, which is the number that keeps the fleet busy. The shed threshold is
proportional to the cube of the signal and between 0 and 100.
"""

from __future__ import annotations

from badgercart.policy.error_rate import ErrorRate
from badgercart.policy.events import SettingsChanged
from badgercart.policy.throughput import Throughput

REFRESH_INTERVAL_MS = 50.0  # far below any latency objective
# If the strictest latency objective is below this one, all time windows are shorter in proportion.
REFERENCE_OBJECTIVE_MS = 400.0
# Error rate at which the overload signal starts to rise, and at which it is 1.
ERROR_RATE_MIN = 0.1
ERROR_RATE_FULL = 0.4
# The same for the average of attempts in flight over the concurrency limit.
IN_FLIGHT_MIN = 1.0
IN_FLIGHT_FULL = 1.5
# The same for attempts in flight at this moment, of which there are many after a pause.
BURST_MIN = 3.0
BURST_FULL = 6.0
ERROR_WINDOW_MS = 4000.0  # time window of the error rate
MAX_DECAY_SHARE = 0.5  # largest share of the attempts' weight that one refresh removes
# The time window of the average of attempts in flight is this divided by the concurrency limit.
IN_FLIGHT_WINDOW_MS = 4000.0
# Bounds of that window, in refresh intervals.
IN_FLIGHT_WINDOW_MIN_INTERVALS = 4
IN_FLIGHT_WINDOW_MAX_INTERVALS = 100
# Largest factor over the best rate seen that the limit allows while next to nothing fails.
MAX_OVERSHOOT = 1.5
# Factor of the decay while everything is shed and the endpoints are idle.
IDLE_DECAY_FACTOR = 20.0
# Below this concurrency limit it may be chance that hardly anything is in flight.
IDLE_MIN_LIMIT = 8.0
# Shed thresholds above which shedding is logged as on, and below which as off.
LOG_ON_THRESHOLD = 25.0
LOG_OFF_THRESHOLD = 1.0
MAX_SCORE = 100.0


class Concurrency:
    """The number of open attempts.

    Attributes:
        current: the open attempts at this moment.
        average: their moving average.
        limit: how many of them keep this node's share of the fleet busy.
    """

    __slots__ = ("average", "current", "limit")

    def __init__(self) -> None:
        self.current = 0
        self.average = 0.0
        self.limit = 1.0


class OverloadController:
    """The overload signal and the shed threshold.

    Attributes:
        level: the overload signal, 0 to 1.
        shed_threshold: the score below which requests are shed.
        shedding: whether shedding was last logged as on.
        time_scale: factor of all time windows, at most 1.
    """

    def __init__(self, error_rate: ErrorRate, throughput: Throughput) -> None:
        self.error_rate, self.throughput = error_rate, throughput
        self.concurrency = Concurrency()
        self.level = 0.0
        self.shed_threshold = 0.0
        self.shedding = False
        self.time_scale = 1.0

    def apply_settings(self, event: SettingsChanged) -> None:
        """Scale all time windows by the strictest latency objective of the live classes."""
        classes = event.settings.classes
        strictest_ms = min(classes[index].latency_objective_ms for index in event.live_classes)
        self.time_scale = min(1.0, strictest_ms / REFERENCE_OBJECTIVE_MS)

    def refresh(self, passed_ms: float, fleet_slots: float, ready_count: int) -> str:
        """Update all averages, the concurrency limit and the shed threshold.

        Args:
            passed_ms: time since the last refresh.
            fleet_slots: this node's share of the requests that all endpoints serve at once.
            ready_count: number of ready endpoints.

        Returns:
            The text to log; empty if there is none.
        """
        self._refresh_in_flight(passed_ms)
        self.error_rate.decay(1 - min(MAX_DECAY_SHARE, self._decay_share(passed_ms)))
        self.refresh_limit(passed_ms, fleet_slots, ready_count)
        self.measure()
        return self._log_line()

    def _refresh_in_flight(self, passed_ms: float) -> None:
        concurrency, interval_ms = self.concurrency, REFRESH_INTERVAL_MS
        # Small numbers of attempts in flight vary by chance, so their window is longer.
        window_ms = min(
            max(
                IN_FLIGHT_WINDOW_MS / concurrency.limit,
                IN_FLIGHT_WINDOW_MIN_INTERVALS * interval_ms,
            ),
            IN_FLIGHT_WINDOW_MAX_INTERVALS * interval_ms,
        )
        weight = min(1.0, passed_ms / (window_ms * self.time_scale))
        concurrency.average += (concurrency.current - concurrency.average) * weight
        self.throughput.refresh_send_rate(passed_ms, weight)

    def _decay_share(self, passed_ms: float) -> float:
        """Return the share by which the weight of earlier attempts decays."""
        concurrency = self.concurrency
        # While everything is shed, no attempt can show that the overload has ended.
        idle = (
            self.level >= 1.0
            and concurrency.current < concurrency.limit / 4
            and concurrency.limit >= IDLE_MIN_LIMIT
        )
        factor = IDLE_DECAY_FACTOR if idle else 1.0
        return passed_ms / (ERROR_WINDOW_MS * self.time_scale) * factor

    def refresh_limit(self, passed_ms: float, fleet_slots: float, ready_count: int) -> None:
        """Set the concurrency limit: the best rate of timely responses times their best latency.

        The arguments are those of `refresh`.
        """
        throughput, errors = self.throughput, self.error_rate.rate
        throughput.refresh(passed_ms, self.time_scale, ready_count, errors < ERROR_RATE_MIN / 2)
        margin = 1.0 + (MAX_OVERSHOOT - 1.0) * max(0.0, 1.0 - errors / ERROR_RATE_MIN)
        limit = max(fleet_slots, margin * throughput.best_rate * throughput.best_latency_ms)
        self.concurrency.limit = limit if throughput.is_known else max(limit, 1.0)

    def measure(self) -> None:
        """Compute the overload signal and the shed threshold for this moment."""
        concurrency = self.concurrency
        by_errors = (self.error_rate.rate - ERROR_RATE_MIN) / (ERROR_RATE_FULL - ERROR_RATE_MIN)
        # After a burst fewer attempts are open than on average. By the average alone the threshold
        # would stay up until the fleet is empty, and the next requests would fill it all at once.
        in_flight = min(concurrency.average, concurrency.current)
        by_load = (in_flight / concurrency.limit - IN_FLIGHT_MIN) / (IN_FLIGHT_FULL - IN_FLIGHT_MIN)
        self.level = min(max(by_errors, by_load, 0.0), 1.0)
        self.shed_threshold = MAX_SCORE * self.level**3

    def sheds(self, score: float) -> bool:
        """Return whether a request with this priority score is shed now."""
        if score < self.shed_threshold:
            return True
        concurrency = self.concurrency
        burst = (concurrency.current / concurrency.limit - BURST_MIN) / (BURST_FULL - BURST_MIN)
        return burst > 0 and score < MAX_SCORE * min(burst, 1.0) ** 3

    def retry_suppression(self) -> float:
        """Return the probability of not retrying a failed attempt: retries sustain overload."""
        return max(self.level, self.error_rate.connect_failure_rate)

    def _log_line(self) -> str:
        threshold = LOG_OFF_THRESHOLD if self.shedding else LOG_ON_THRESHOLD
        if self.shedding == (self.shed_threshold > threshold):
            return ""
        self.shedding = not self.shedding
        concurrency = self.concurrency
        in_flight = f"{concurrency.average:.1f} of {concurrency.limit:.1f}"
        state = f"errors {self.error_rate.rate:.2f}, in flight {in_flight}"
        return f"shedding {'on' if self.shedding else 'off'}: x {self.level:.2f}, {state}"
