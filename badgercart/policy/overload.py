"""Overload and the score below which requests are shed. No I/O.

The overload signal goes from 0 to 1, by the error rate and by the attempts in flight over what a
busy fleet needs (the concurrency limit). The shed threshold rises with its cube, from 0 to 100.
"""

from __future__ import annotations

from badgercart.policy.error_rate import ErrorRate
from badgercart.policy.events import SettingsChanged
from badgercart.policy.throughput import Throughput

REFRESH_INTERVAL_MS = 50.0  # between refreshes; far below any latency objective
REFERENCE_OBJECTIVE_MS = 400.0  # where a class wants its answers sooner, all windows are shorter
ERROR_RATE_MIN, ERROR_RATE_FULL = 0.1, 0.4  # where overload begins, and where it is 1
IN_FLIGHT_MIN, IN_FLIGHT_FULL = (
    1.0,
    1.5,
)  # the same for attempts in flight over the concurrency limit
BURST_MIN, BURST_FULL = 3.0, 6.0  # the same for attempts open at this moment, as after a pause
ERROR_WINDOW_MS = 4000.0  # that the error rate looks back over
MAX_FADE = 0.5  # of what was seen, at one refresh
IN_FLIGHT_WINDOW_MS = 4000.0  # to average attempts in flight over, divided by the limit
MAX_OVERSHOOT = 1.5  # over the best rate seen that may be tried while next to nothing fails
# What was seen fades faster while everything is shed and the endpoints are idle.
IDLE_FADE_FACTOR = 20.0
IDLE_MIN_LIMIT = 8.0  # below this limit it is chance that nothing is in flight
LOG_ON_THRESHOLD, LOG_OFF_THRESHOLD = 25.0, 1.0  # shed thresholds at which shedding is logged
MAX_SCORE = 100.0


class Concurrency:
    """Open attempts, and how many of them keep a busy fleet busy."""

    __slots__ = ("average", "current", "limit")

    def __init__(self) -> None:
        self.current = 0
        self.average = 0.0
        self.limit = 1.0


class OverloadController:
    """The overload signal and the shed threshold."""

    def __init__(self, error_rate: ErrorRate, throughput: Throughput) -> None:
        self.error_rate, self.throughput = error_rate, throughput
        self.concurrency = Concurrency()
        self.level = 0.0
        self.shed_threshold = 0.0
        self.shedding = False  # as it was logged last
        self.time_scale = 1.0

    def apply_settings(self, event: SettingsChanged) -> None:
        """Have all windows follow the strictest latency objective of the live classes."""
        classes = event.settings.classes
        strictest_ms = min(classes[index].latency_objective_ms for index in event.live_classes)
        self.time_scale = min(1.0, strictest_ms / REFERENCE_OBJECTIVE_MS)

    def refresh(self, passed_ms: float, fleet_slots: float, ready_count: int) -> str:
        """Bring all averages up to date.

        Args:
            passed_ms: since the last refresh.
            fleet_slots: this node's part of the requests that all endpoints serve at once.
            ready_count: endpoints that are ready.

        Returns:
            What is to be logged; empty where there is nothing.
        """
        self._refresh_in_flight(passed_ms)
        self.error_rate.fade(1 - min(MAX_FADE, self._fade(passed_ms)))
        self.refresh_limit(passed_ms, fleet_slots, ready_count)
        self.measure()
        return self._log_line()

    def _refresh_in_flight(self, passed_ms: float) -> None:
        concurrency, interval = self.concurrency, REFRESH_INTERVAL_MS
        # Of few attempts in flight most is chance: then the average reaches back further.
        window = min(max(IN_FLIGHT_WINDOW_MS / concurrency.limit, 4 * interval), 100 * interval)
        weight = min(1.0, passed_ms / (window * self.time_scale))
        concurrency.average += (concurrency.current - concurrency.average) * weight
        self.throughput.refresh_send_rate(passed_ms, weight)

    def _fade(self, passed_ms: float) -> float:
        """Return what share of the attempts seen is forgotten."""
        concurrency = self.concurrency
        # While everything is shed nothing comes that could tell of a better time.
        idle = (
            self.level >= 1.0
            and concurrency.current < concurrency.limit / 4
            and concurrency.limit >= IDLE_MIN_LIMIT
        )
        return passed_ms / (ERROR_WINDOW_MS * self.time_scale) * (IDLE_FADE_FACTOR if idle else 1.0)

    def refresh_limit(self, passed_ms: float, fleet_slots: float, ready_count: int) -> None:
        """Set the limit: the best rate of timely answers times their best latency.

        Args are those of `refresh`.
        """
        throughput, errors = self.throughput, self.error_rate.rate
        throughput.refresh(passed_ms, self.time_scale, ready_count, errors < ERROR_RATE_MIN / 2)
        margin = 1.0 + (MAX_OVERSHOOT - 1.0) * max(0.0, 1.0 - errors / ERROR_RATE_MIN)
        limit = max(fleet_slots, margin * throughput.best_rate * throughput.best_latency_ms)
        self.concurrency.limit = limit if throughput.is_known else max(limit, 1.0)

    def measure(self) -> None:
        """Work out the overload signal and the shed threshold as of this moment."""
        concurrency = self.concurrency
        by_errors = (self.error_rate.rate - ERROR_RATE_MIN) / (ERROR_RATE_FULL - ERROR_RATE_MIN)
        # Behind a burst less is open than on average: a threshold that stayed would empty the
        # fleet, and then let in at once what fills it again.
        in_flight = min(concurrency.average, concurrency.current)
        by_load = (in_flight / concurrency.limit - IN_FLIGHT_MIN) / (IN_FLIGHT_FULL - IN_FLIGHT_MIN)
        self.level = min(max(by_errors, by_load, 0.0), 1.0)
        self.shed_threshold = MAX_SCORE * self.level**3

    def sheds(self, score: float) -> bool:
        """Return whether a request with this score is shed now."""
        if score < self.shed_threshold:
            return True
        concurrency = self.concurrency
        burst = (concurrency.current / concurrency.limit - BURST_MIN) / (BURST_FULL - BURST_MIN)
        return burst > 0 and score < MAX_SCORE * min(burst, 1.0) ** 3

    def retry_suppression(self) -> float:
        """Return the probability with which a failed attempt is not retried: retries feed a jam."""
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
