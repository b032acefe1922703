"""The rate and latency of timely responses, at present and at best. No I/O."""

from __future__ import annotations

RATE_WINDOW_MS = 2000.0  # time window of the rate of timely responses
BEST_RATE_WINDOW_MS = 20_000.0  # time in which the best rate decays
# Time in which the best latency would double, so that it can follow work that gets slower.
BEST_LATENCY_DOUBLING_MS = 100_000.0
# The mean latency covers this number of responses, or those of the rate's window if they are more.
LATENCY_SAMPLES = 60.0
MIN_SAMPLES = LATENCY_SAMPLES / 5  # latencies of fewer responses are not used
# Responses are fast while their mean latency is below this multiple of the best one.
FAST_LATENCY_FACTOR = 1.3
# With more timely responses in the rate's window, their latency shows a slowdown early enough.
TRUSTED_SAMPLES = LATENCY_SAMPLES / 2


class Throughput:
    """Timely responses and sent attempts, at present and at best. Rates are per ms.

    Attributes:
        sent: attempts sent since the last refresh.
        send_rate: the rate of attempts.
        timely: timely responses since the last refresh.
        observed_ms: the time with traffic that the rate covers, at most its time window.
        rate: the rate of timely responses.
        best_rate: the highest such rate.
        best_rate_per_endpoint: the highest such rate per ready endpoint.
        mean_latency_ms: the mean latency of timely responses.
        best_latency_ms: the lowest such mean.
        samples: the number of responses that the mean is based on.
    """

    __slots__ = (
        "best_latency_ms",
        "best_rate",
        "best_rate_per_endpoint",
        "mean_latency_ms",
        "observed_ms",
        "rate",
        "samples",
        "send_rate",
        "sent",
        "timely",
    )

    def __init__(self) -> None:
        self.sent = 0
        self.send_rate = 0.0
        self.timely = 0
        self.observed_ms = 0.0
        self.rate = 0.0
        self.best_rate = 0.0
        self.best_rate_per_endpoint = 0.0
        self.mean_latency_ms = 0.0
        self.best_latency_ms = 0.0
        self.samples = 0.0

    @property
    def is_known(self) -> bool:
        """Whether there were enough timely responses to use their latency."""
        return self.samples >= MIN_SAMPLES

    def record_timely(self, elapsed_ms: float, time_scale: float) -> None:
        """Count a response within the latency objective."""
        self.timely += 1
        self.samples = min(
            self.samples + 1, max(LATENCY_SAMPLES, self.rate * RATE_WINDOW_MS * time_scale)
        )
        self.mean_latency_ms += (elapsed_ms - self.mean_latency_ms) / self.samples

    def refresh_send_rate(self, passed_ms: float, weight: float) -> None:
        """Update the average rate of attempts, giving the last interval this weight."""
        self.send_rate += (self.sent / max(passed_ms, 1.0) - self.send_rate) * weight
        self.sent = 0

    def refresh(
        self, passed_ms: float, time_scale: float, ready_count: int, has_few_failures: bool
    ) -> None:
        """Update the average rate of timely responses, and the best rate and latency.

        Args:
            passed_ms: time since the last refresh.
            time_scale: factor of all time windows; below 1 if a class has a strict latency
                objective.
            ready_count: number of ready endpoints, including the ejected ones.
            has_few_failures: whether next to nothing fails.
        """
        # A node that has just started averages over the time since its start.
        self.observed_ms = min(self.observed_ms + passed_ms, RATE_WINDOW_MS * time_scale)
        self.rate += (self.timely / max(passed_ms, 1.0) - self.rate) * passed_ms / self.observed_ms
        decay = 1 - passed_ms / (BEST_RATE_WINDOW_MS * time_scale)
        self.best_rate = max(self.best_rate * decay, self.rate)
        per_endpoint = self.rate / max(ready_count, 1)
        self.best_rate_per_endpoint = max(self.best_rate_per_endpoint * decay, per_endpoint)
        self.timely = 0
        if self.is_known:
            self._refresh_best(passed_ms, time_scale, has_few_failures)

    def _refresh_best(self, passed_ms: float, time_scale: float, has_few_failures: bool) -> None:
        drift = 1 + passed_ms / BEST_LATENCY_DOUBLING_MS
        self.best_latency_ms = min(
            (self.best_latency_ms or self.mean_latency_ms) * drift, self.mean_latency_ms
        )
        # While traffic grows, the rate of attempts shows the load that the fleet is about to get
        # before the rate of responses does. Attempts in flight are no such sign: they also grow
        # when responses slow down, before the first response shows it. With few responses a
        # slowdown would be seen too late.
        is_fast = self.mean_latency_ms < FAST_LATENCY_FACTOR * self.best_latency_ms
        is_trusted = self.rate * RATE_WINDOW_MS * time_scale > TRUSTED_SAMPLES
        if has_few_failures and is_fast and is_trusted:
            self.best_rate = max(self.best_rate, self.send_rate)
