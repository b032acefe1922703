"""When the client of a streamed request may have written its last byte. No I/O.

A client's time counts from then, also where the byte waits in buffers of its own system: while a
server reads slowly, this node reads no more, and the client's system can't send on. What this
machine can tell of that moment:

- it is past once the last byte has arrived here;
- it is to come while a byte is missing and the client's system could send it;
- a client's system holds a limited number of unsent bytes, so that whatever arrives beyond these
  had not been written before.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from badgercart.core.clock import RESPONSE_MARGIN_MS

# What Linux holds of a connection's unsent bytes at most, and a segment more (tcp(7), `tcp_wmem`).
MAX_UNSENT_BYTES = (4 << 20) + (64 << 10)
# By how much a server may be told more time than the client has left.
MAX_START_ERROR_MS = 150.0
# A look that adds less than this to the one before replaces it.
MIN_LOOK_BYTES = 16384


class Look(NamedTuple):
    """What had arrived of a connection at a time at which the last byte was not known to be written."""

    at_ms: float
    arrived_bytes: int


class BodyArrival:
    """What has arrived of a request's body, as found at regular looks at its connection.

    Args:
        begun_ms: the clock time at which the body's first bytes arrived.
        arrived_bytes: how many bytes of the connection had arrived by then.
    """

    __slots__ = ("_looks", "arrived_bytes", "last_growth_ms")

    def __init__(self, begun_ms: float, arrived_bytes: int) -> None:
        self.arrived_bytes, self.last_growth_ms = arrived_bytes, begun_ms
        self._looks = deque([Look(begun_ms, arrived_bytes)])

    def observe(self, arrived_bytes: int, arrived_ms: float) -> None:
        """Note how many bytes of the connection have arrived, read or not, and the last of them when."""
        if arrived_bytes != self.arrived_bytes:
            self.arrived_bytes, self.last_growth_ms = arrived_bytes, arrived_ms

    def note_client_blocked(self, now_ms: float) -> None:
        """Note that the client's system may not be able to send what its client has written."""
        look = Look(now_ms, self.arrived_bytes)
        if (
            len(self._looks) > 1
            and look.arrived_bytes < self._looks[-1].arrived_bytes + MIN_LOOK_BYTES
        ):
            self._looks.pop()
        self._looks.append(look)

    def note_client_can_send(self, now_ms: float, may_be_whole: bool) -> None:
        """Note that all that the client has written has arrived.

        `may_be_whole`: the last byte may be in what has not been read, so that it arrived with the
        latest bytes; otherwise it is to come.
        """
        self._looks.clear()
        self._looks.append(
            Look(self.last_growth_ms if may_be_whole else now_ms, self.arrived_bytes)
        )

    def written_after_ms(self, missing_bytes: int | None) -> float:
        """Return a clock time, as late as known, before which the last byte was not written.

        `missing_bytes`: how many bytes of the body have not arrived; None if that is not known.
        """
        total_bytes = self.arrived_bytes + (missing_bytes or 0)
        looks = self._looks
        while len(looks) > 1 and looks[1].arrived_bytes + MAX_UNSENT_BYTES < total_bytes:
            looks.popleft()
        return looks[0].at_ms

    def start_ms(self) -> float:
        """Return when the client's time starts, once the last byte has arrived."""
        return min(self.last_growth_ms, self.written_after_ms(0) + MAX_START_ERROR_MS)

    def overdue_start_ms(
        self, missing_bytes: int | None, timeout_ms: float, now_ms: float
    ) -> float | None:
        """Return when the client's time started if that may be over; None while it is not.

        Args:
            missing_bytes: how many bytes of the body have not arrived; None if that is not known.
            timeout_ms: the client's time, from its last byte.
            now_ms: the clock time.
        """
        start_ms = self.written_after_ms(missing_bytes) + MAX_START_ERROR_MS
        return start_ms if now_ms >= start_ms + timeout_ms - RESPONSE_MARGIN_MS else None
