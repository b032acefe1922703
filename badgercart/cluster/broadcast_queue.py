"""The queue of broadcasts to piggyback on packets, least transmitted first. No I/O."""

from __future__ import annotations

import bisect
import math
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Any

# Factor of log10(members + 1) that gives the transmissions of one broadcast, as in memberlist.
RETRANSMIT_MULTIPLIER = 4
# Broadcasts too large for the remaining capacity that are skipped while one packet is filled.
MAX_SKIPPED_BROADCASTS = 16


def transmit_limit(members: int) -> int:
    """Return how often a broadcast is transmitted in a cluster of this size."""
    return RETRANSMIT_MULTIPLIER * math.ceil(math.log10(members + 1))


@dataclass(slots=True)
class QueuedBroadcast:
    """A queued broadcast.

    Attributes:
        payload: what is sent.
        size_bytes: its encoded size.
        sequence: its position in the order of enqueueing; among broadcasts with the same number of
            transmissions, the newest is sent first.
        transmissions: how often it was sent.
    """

    payload: Any
    size_bytes: int
    sequence: int
    transmissions: int = 0


class BroadcastQueue:
    """Broadcasts by key; a newer one replaces an older one with the same key.

    Attributes:
        items: the queued broadcasts by key.
        transmission_order: negated transmissions, sequence and key of each; the next one to send is
            last.
        examined_count: broadcasts that were examined, over all packets.
    """

    def __init__(self, max_items: int) -> None:
        self.items: dict[Hashable, QueuedBroadcast] = {}
        self.transmission_order: list[tuple[int, int, Hashable]] = []
        self.max_items = max_items
        self.sequence = 0
        self.examined_count = 0

    def __len__(self) -> int:
        return len(self.items)

    def enqueue(self, key: Hashable, payload: Any, size_bytes: int) -> None:
        """Add a broadcast. A full queue drops the one that was transmitted most often."""
        self.sequence += 1
        if (replaced := self.items.pop(key, None)) is not None:
            entry = (-replaced.transmissions, replaced.sequence)
            del self.transmission_order[bisect.bisect_left(self.transmission_order, entry)]
        if len(self.items) >= self.max_items:
            del self.items[self.transmission_order.pop(0)[2]]
        self.items[key] = QueuedBroadcast(payload, size_bytes, self.sequence)
        self.transmission_order.append((0, self.sequence, key))

    def clear(self) -> None:
        """Drop all broadcasts."""
        self.items.clear()
        self.transmission_order.clear()

    def take(self, capacity_bytes: int, members: int) -> list[Any]:
        """Return the payloads that fit into a packet, and count one transmission of each.

        The cost depends on what fits, not on the queue's length: after `MAX_SKIPPED_BROADCASTS`
        broadcasts that are too large, the remaining capacity is left unused.
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
        """Remove the broadcasts that fit from the transmission order, and return them."""
        selected = []
        skipped, position = 0, len(self.transmission_order)
        while position and skipped < MAX_SKIPPED_BROADCASTS:
            position -= 1
            key = self.transmission_order[position][2]
            item = self.items[key]
            self.examined_count += 1
            if item.size_bytes > capacity_bytes:
                skipped += 1
                continue
            capacity_bytes -= item.size_bytes
            selected.append((key, item))
            del self.transmission_order[position]
        return selected
