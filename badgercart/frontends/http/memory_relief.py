"""Which connections to end where the process comes to its memory limit. It does no I/O."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator
from typing import Protocol, TypeVar

# One that holds less is not worth an end.
MIN_HELD_BYTES = 8192


class Holder(Protocol):
    """A connection that holds messages."""

    def held_bytes(self) -> int:
        """Return how many bytes of messages are held for the client."""


HolderType = TypeVar("HolderType", bound=Holder)


def largest_holders(
    connections: Iterable[HolderType], wanted_bytes: int
) -> Iterator[tuple[HolderType, int]]:
    """Yield those that hold most, with what they hold, until that is `wanted_bytes` together."""
    held = [
        (connection.held_bytes(), number, connection)
        for number, connection in enumerate(connections)
    ]
    held = [item for item in held if item[0] >= MIN_HELD_BYTES]
    heapq.heapify(held := [(-size, number, connection) for size, number, connection in held])
    while held and wanted_bytes > 0:
        negative_size, _, connection = heapq.heappop(held)
        wanted_bytes += negative_size
        yield connection, -negative_size
