"""What still has to be passed on: the least passed on first, so often as the group's size asks. No
I/O."""

from __future__ import annotations

import bisect
import math
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Any

RETRANSMIT = 4  # times log10 of the group's size + 1, as memberlist has it
MISFITS = 16  # items too large for what is left of a packet that are passed over before it goes


def most_times(members: int) -> int:
    """How often an item is passed on in a group of this size."""
    return RETRANSMIT * math.ceil(math.log10(members + 1))


@dataclass(slots=True)
class Item:
    what: Any
    size: int
    order: int  # of its coming: the newer first among those passed on as often
    times: int = 0


class Queue:
    """Items by key; a newer one of the same key takes the older one's place."""

    def __init__(self, most: int) -> None:
        self.items: dict[Hashable, Item] = {}
        self.waiting: list[tuple[int, int, Hashable]] = []  # what is passed on next is last
        self.most = most
        self.count = 0
        self.looked = 0  # items looked at, over all packets

    def __len__(self) -> int:
        return len(self.items)

    def put(self, key: Hashable, what: Any, size: int) -> None:
        self.count += 1
        if (old := self.items.pop(key, None)) is not None:
            del self.waiting[bisect.bisect_left(self.waiting, (-old.times, old.order))]
        if len(self.items) >= self.most:  # the one passed on most often has had its time
            del self.items[self.waiting.pop(0)[2]]
        self.items[key] = Item(what, size, self.count)
        self.waiting.append((0, self.count, key))

    def take(self, room: int, members: int) -> list[Any]:
        """What fits into so many bytes; each counts as passed on once more.

        Its cost goes by what fits, not by what waits: after `MISFITS` that are too large for what
        is left of the room, the rest of it stays empty."""
        limit, taken, misfits, at = most_times(members), [], 0, len(self.waiting)
        while at and misfits < MISFITS:
            at -= 1
            key = self.waiting[at][2]
            item = self.items[key]
            self.looked += 1
            if item.size > room:
                misfits += 1
                continue
            room -= item.size
            taken.append((key, item))
            del self.waiting[at]
        for key, item in taken:
            item.times += 1
            if item.times >= limit:
                del self.items[key]
            else:
                bisect.insort(self.waiting, (-item.times, item.order, key))
        return [item.what for _, item in taken]
