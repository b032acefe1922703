"""The clock on which all events and deadlines are measured."""

from __future__ import annotations

from time import monotonic

MS_PER_S = 1000.0
# Subtracted from a client's deadline and from the time until the process ends, so that responses
# are written in time even when the event loop runs late.
RESPONSE_MARGIN_MS = 30.0
# How long the process may be held up between reading the clock and writing.
MAX_HOLD_UP_MS = 150.0


def now_ms() -> float:
    """Return the time of the system's monotonic clock in ms."""
    return monotonic() * 1000
