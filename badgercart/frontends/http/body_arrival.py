"""When the last byte of a request arrived on this machine, though not all of it has been read.

A body that waits for its server is not read further. Its client may have sent all of it meanwhile,
and then counts its time from there. No I/O.
"""

from __future__ import annotations


class BodyArrival:
    """What has arrived of a request's body, as found at regular looks at its connection."""

    __slots__ = ("arrived_bytes", "last_growth_ms")

    def __init__(self) -> None:
        self.arrived_bytes = -1
        self.last_growth_ms = 0.0

    def observe(self, arrived_bytes: int, now_ms: float) -> None:
        """Note how many bytes of the connection have arrived up to now, read or not."""
        if arrived_bytes != self.arrived_bytes:
            self.arrived_bytes, self.last_growth_ms = arrived_bytes, now_ms

    def completed_ms(
        self, missing_bytes: int | None, timeout_ms: float, now_ms: float
    ) -> float | None:
        """Return the clock time at which the last byte arrived; None if it has not, or hardly.

        Args:
            missing_bytes: how many bytes of the body have not arrived; None if that is not known.
                A client that has sent nothing for its whole time is then taken to have sent all:
                if it had, its time would be over.
            timeout_ms: the client's time, from its last byte.
            now_ms: the clock time of the last look.
        """
        if missing_bytes is None:
            is_over = now_ms - self.last_growth_ms >= timeout_ms
            return self.last_growth_ms if is_over else None
        return self.last_growth_ms if missing_bytes <= 0 else None
