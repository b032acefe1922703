"""The one clock that every event and deadline is told on."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Milliseconds of the system's monotonic clock."""
    return time.monotonic() * 1000
