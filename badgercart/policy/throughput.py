"""The rate of timely answers and their latency, now and at best. No I/O."""

from __future__ import annotations

RATE_WINDOW_MS = 2000.0  # to average the rate of timely answers over
BEST_RATE_WINDOW_MS = 20_000.0  # in which the best rate is forgotten
# In which the best latency would double: it can follow slower work.
BEST_LATENCY_DOUBLING_MS = 100_000.0
# The mean latency reaches back over so many, or over the rate's window if that is more.
LATENCY_SAMPLES = 60.0
MIN_SAMPLES = LATENCY_SAMPLES / 5  # on fewer nothing is based
FAST_FACTOR = 1.3  # answers are fast while their mean latency is under this multiple of the best
# Timely answers in the rate's window that can show slowness in time.
TRUSTED_SAMPLES = LATENCY_SAMPLES / 2


class Throughput:
    """Timely answers and sent attempts, now and at best. Rates are per ms."""

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
        self.sent = 0  # attempts since the last refresh
        self.send_rate = 0.0
        self.timely = 0  # timely answers since the last refresh
        self.observed_ms = 0.0  # of traffic, up to the rate's window
        self.rate = 0.0  # of timely answers
        self.best_rate = 0.0
        self.best_rate_per_endpoint = 0.0
        self.mean_latency_ms = 0.0
        self.best_latency_ms = 0.0  # the lowest mean
        self.samples = 0.0  # answers that the mean rests on

    @property
    def is_known(self) -> bool:
        """Whether there were enough timely answers to go by."""
        return self.samples >= MIN_SAMPLES

    def record_timely(self, elapsed_ms: float, time_scale: float) -> None:
        """Count an answer that came within its latency objective."""
        self.timely += 1
        self.samples = min(
            self.samples + 1, max(LATENCY_SAMPLES, self.rate * RATE_WINDOW_MS * time_scale)
        )
        self.mean_latency_ms += (elapsed_ms - self.mean_latency_ms) / self.samples

    def refresh_send_rate(self, passed_ms: float, weight: float) -> None:
        """Average the rate of attempts, where the last interval has this weight."""
        self.send_rate += (self.sent / max(passed_ms, 1.0) - self.send_rate) * weight
        self.sent = 0

    def refresh(self, passed_ms: float, time_scale: float, ready_count: int, calm: bool) -> None:
        """Average the rate of timely answers, and follow the best rate and latency.

        Args:
            passed_ms: since the last refresh.
            time_scale: of all windows; below 1 where a class wants its answers sooner.
            ready_count: endpoints that are ready, whether ejected or not.
            calm: whether next to nothing fails.
        """
        # A node that has just begun has no more to average over than it saw.
        self.observed_ms = min(self.observed_ms + passed_ms, RATE_WINDOW_MS * time_scale)
        self.rate += (self.timely / max(passed_ms, 1.0) - self.rate) * passed_ms / self.observed_ms
        fade = 1 - passed_ms / (BEST_RATE_WINDOW_MS * time_scale)
        self.best_rate = max(self.best_rate * fade, self.rate)
        per_endpoint = self.rate / max(ready_count, 1)
        self.best_rate_per_endpoint = max(self.best_rate_per_endpoint * fade, per_endpoint)
        self.timely = 0
        if self.is_known:
            self._refresh_best(passed_ms, time_scale, calm)

    def _refresh_best(self, passed_ms: float, time_scale: float, calm: bool) -> None:
        drift = 1 + passed_ms / BEST_LATENCY_DOUBLING_MS
        self.best_latency_ms = min(
            (self.best_latency_ms or self.mean_latency_ms) * drift, self.mean_latency_ms
        )
        # Growing traffic is sent before it is answered, so the rate of attempts shows what the
        # fleet is asked to do next. Attempts in flight don't: they also grow when answers slow
        # down, before the first one shows it. Few answers would show slowness too late.
        fast = self.mean_latency_ms < FAST_FACTOR * self.best_latency_ms
        if calm and fast and self.rate * RATE_WINDOW_MS * time_scale > TRUSTED_SAMPLES:
            self.best_rate = max(self.best_rate, self.send_rate)
