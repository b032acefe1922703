"""Which stream to end where connections to servers run short. It does no I/O.

A stream whose client takes or sends nothing holds a connection that others need. One whose client
is slow, but goes on, is never ended for that.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Protocol


class Stream(Protocol):
    """A connection to a server that may carry a stream."""

    def client_stalled_ms(self, now_ms: float) -> float:
        """Return for how long the client of a stream has made no progress; 0: none is waited for."""

    def client_grace_ms(self) -> float:
        """Return for how long a client that is slow, but goes on, may show no progress."""


@dataclass(slots=True, frozen=True)
class StalledStream:
    """A stream, and for how long its client has made no progress (ms)."""

    connection: Any
    stalled_ms: float


def longest_stalled(
    connections: Iterable[Stream], now_ms: float, count: int
) -> list[StalledStream]:
    """Return the `count` streams whose clients have stalled for longest, if for long enough."""
    stalled = [
        StalledStream(connection, stalled_ms)
        for connection in connections
        if (stalled_ms := connection.client_stalled_ms(now_ms)) >= connection.client_grace_ms()
    ]
    return heapq.nlargest(count, stalled, key=lambda stream: stream.stalled_ms)
