"""The one clock of all events and deadlines."""

from __future__ import annotations

from time import monotonic

# Kept back from a client's or the process's time, so that a response is out in time from a loop that
# runs late.
RESPONSE_MARGIN_MS = 30.0


def now_ms() -> float:
    """Return milliseconds on the system's monotonic clock."""
    return monotonic() * 1000
