"""Builds a whole segment in memory, for what is made out of captures rather than by a node. No
I/O."""

from __future__ import annotations

from typing import Any

from badgercart.capture.codec import Told, encode_batch, plain_actions, plain_event
from badgercart.capture.format import VERSION, Index, Kind, closing, head, record
from badgercart.policy.actions import Action
from badgercart.policy.events import Event

BATCH = 64  # events that are encoded in one go


class Builder:
    """Takes events in their order; `data` closes the segment and gives its bytes."""

    def __init__(self, fields: dict[str, Any]) -> None:
        """`fields` of the head, as the design note has them."""
        self.out = [head(fields | {"format": VERSION})]
        self.batch: list[Told] = []
        self.events = 0
        self.times = (0.0, 0.0)
        self.numbers: set[int] = set()

    def add(self, now: float, event: Event, actions: list[Action] | None) -> None:
        self.batch.append((*plain_event(now, event), plain_actions(actions)))
        self.numbers.add(getattr(event, "id", 0))
        self.times = (self.times[0] if self.events else now, now)
        self.events += 1
        if len(self.batch) >= BATCH:
            self.write()

    def write(self) -> None:
        if self.batch:
            self.out.append(record(Kind.BATCH, encode_batch(self.batch)))
            self.batch = []

    def data(self) -> bytes:
        self.write()
        self.numbers.discard(0)
        low, high = min(self.numbers, default=0), max(self.numbers, default=0)
        index = Index(self.events, 0, *self.times, low, high, [])
        at = sum(map(len, self.out))
        return b"".join((*self.out, closing(index, at)))
