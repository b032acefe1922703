"""Broadcasts that wait to be piggybacked on packets, those sent least often first. No I/O."""

from __future__ import annotations

import bisect
import math
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Any

RETRANSMIT_MULTIPLIER = 4  # times log10 of the cluster's size + 1, as in memberlist
MAX_MISFITS = 16  # items too large for the capacity left that are passed over for one packet


def transmit_limit(members: int) -> int:
    """Return how often an item is sent in a cluster of this size."""
    return RETRANSMIT_MULTIPLIER * math.ceil(math.log10(members + 1))


@dataclass(slots=True)
class QueuedBroadcast:
    """An item of the queue."""

    payload: Any
    size_bytes: int
    sequence: int  # of items sent equally often the newest goes first
    transmissions: int = 0


class BroadcastQueue:
    """Items by key; a newer one of the same key takes the older one's place."""

    def __init__(self, max_items: int) -> None:
        self.items: dict[Hashable, QueuedBroadcast] = {}
        self.transmission_order: list[
            tuple[int, int, Hashable]
        ] = []  # the next one to send is last
        self.max_items = max_items
        self.sequence = 0
        self.examined_count = 0  # items looked at, over all packets

    def __len__(self) -> int:
        return len(self.items)

    def enqueue(self, key: Hashable, payload: Any, size_bytes: int) -> None:
        """Add an item. A full queue drops the one that was sent most often."""
        self.sequence += 1
        if (replaced := self.items.pop(key, None)) is not None:
            entry = (-replaced.transmissions, replaced.sequence)
            del self.transmission_order[bisect.bisect_left(self.transmission_order, entry)]
        if len(self.items) >= self.max_items:
            del self.items[self.transmission_order.pop(0)[2]]
        self.items[key] = QueuedBroadcast(payload, size_bytes, self.sequence)
        self.transmission_order.append((0, self.sequence, key))

    def clear(self) -> None:
        """Drop all items."""
        self.items.clear()
        self.transmission_order.clear()

    def take(self, capacity_bytes: int, members: int) -> list[Any]:
        """Return the payloads that fit into a packet, and count each as sent once more.

        The cost goes by what fits, not by what waits: after `MAX_MISFITS` items that are too large
        for what is left of the capacity, the rest of it stays empty.
        """
        selected = self._select(capacity_bytes)
        limit = transmit_limit(members)
        for key, item in selected:
            item.transmissions += 1
            if item.transmissions >= limit:
                del self.items[key]
            else:
                bisect.insort(self.transmission_order, (-item.transmissions, item.sequence, key))
        return [item.payload for _, item in selected]

    def _select(self, capacity_bytes: int) -> list[tuple[Hashable, QueuedBroadcast]]:
        """Take the items that fit out of the order."""
        selected = []
        misfits, position = 0, len(self.transmission_order)
        while position and misfits < MAX_MISFITS:
            position -= 1
            key = self.transmission_order[position][2]
            item = self.items[key]
            self.examined_count += 1
            if item.size_bytes > capacity_bytes:
                misfits += 1
                continue
            capacity_bytes -= item.size_bytes
            selected.append((key, item))
            del self.transmission_order[position]
        return selected
