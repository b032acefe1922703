"""The one clock that every event and deadline is told on."""

from __future__ import annotations

from time import monotonic

# ms kept back from the time of a client, or of the process: answers must be out in time from a late
# loop.
RESPONSE_MARGIN_MS = 30.0


def now_ms() -> float:
    """Milliseconds of the system's monotonic clock."""
    return monotonic() * 1000
