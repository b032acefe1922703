"""When servers started, on the node's clock, by the Unix times that lists state. No I/O.

A machine's wall clock may be wrong at any moment, and be set right later. So the start of a server
is worked out once, when it is first listed, and a doubt is decided for the later start: a server
that is taken for a cold one gets less than it could, one that is taken for a warm one falls over.
"""

from __future__ import annotations

from collections.abc import Callable

# Servers whose start is remembered; the longest known are dropped first.
MAX_SERVERS = 8192
LONG_AGO = 0.0


class StartTimes:
    """The starts of the listed servers.

    Args:
        clock: returns the time of the node's clock (ms), which is monotonic.
        wall_clock: returns the Unix time (ms), which may jump.
    """

    def __init__(self, clock: Callable[[], float], wall_clock: Callable[[], float]) -> None:
        self._clock, self._wall_clock = clock, wall_clock
        # The least difference of the two clocks that was seen: by it, servers are youngest.
        self.unix_offset_ms = wall_clock() - clock()
        # By server name: the Unix time that the list stated, and the start on the node's clock.
        self._known: dict[str, tuple[float, float]] = {}

    def started_ms(self, name: str, started_unix_ms: float) -> float:
        """Return when a server started, on the node's clock; `LONG_AGO` where the list says so."""
        if not started_unix_ms:
            return LONG_AGO
        known = self._known.get(name)
        if known is not None and known[0] == started_unix_ms:
            return known[1]
        now_ms = self._clock()
        self.unix_offset_ms = min(self.unix_offset_ms, self._wall_clock() - now_ms)
        # It has started by now, whatever the wall clock said.
        started_ms = min(started_unix_ms - self.unix_offset_ms, now_ms)
        if len(self._known) >= MAX_SERVERS:
            del self._known[next(iter(self._known))]
        self._known.pop(name, None)
        self._known[name] = started_unix_ms, started_ms
        return started_ms
