"""The one clock that every event and deadline is told on."""

from __future__ import annotations

from time import monotonic


def now_ms() -> float:
    """Milliseconds of the system's monotonic clock."""
    return monotonic() * 1000
