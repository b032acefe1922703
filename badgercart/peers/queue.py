"""What still has to be passed on: the least passed on first, so often as the group's size asks. No I/O."""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Any

RETRANSMIT = 4  # times log10 of the group's size + 1, as memberlist has it


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
        self.most = most
        self.count = 0

    def __len__(self) -> int:
        return len(self.items)

    def put(self, key: Hashable, what: Any, size: int) -> None:
        self.count += 1
        self.items.pop(key, None)
        if len(self.items) >= self.most:  # the one passed on most often has had its time
            del self.items[max(self.items, key=lambda key: (self.items[key].times, -self.items[key].order))]
        self.items[key] = Item(what, size, self.count)

    def take(self, room: int, members: int) -> list[Any]:
        """What fits into so many bytes; each counts as passed on once more."""
        limit, found = most_times(members), []
        for key, item in sorted(self.items.items(), key=lambda pair: (pair[1].times, -pair[1].order)):
            if item.size > room:
                continue
            room -= item.size
            found.append(item.what)
            item.times += 1
            if item.times >= limit:
                del self.items[key]
        return found
