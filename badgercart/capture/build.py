"""Builds a whole segment in memory, for what is made out of captures rather than by a node. No
I/O."""

from __future__ import annotations

from typing import Any

from badgercart.capture.codec import EncodedEvent, encode_batch, plain_actions, plain_event
from badgercart.capture.format import (
    FORMAT_VERSION,
    RecordKind,
    SegmentIndex,
    encode_header,
    encode_record,
    encode_trailer,
)
from badgercart.policy.actions import Action
from badgercart.policy.events import Event

EVENTS_PER_BATCH = 64  # events that are encoded in one go


class SegmentBuilder:
    """Takes events in their order; `data` closes the segment and gives its bytes."""

    def __init__(self, fields: dict[str, Any]) -> None:
        """`fields` of the head, as the design note has them."""
        self.out = [encode_header(fields | {"format": FORMAT_VERSION})]
        self.batch: list[EncodedEvent] = []
        self.events = 0
        self.times = (0.0, 0.0)
        self.numbers: set[int] = set()

    def add(self, now: float, event: Event, actions: list[Action] | None) -> None:
        """Add an event and the actions that it led to; None where the policy raised."""
        self.batch.append((*plain_event(now, event), plain_actions(actions)))
        self.numbers.add(getattr(event, "id", 0))
        self.times = (self.times[0] if self.events else now, now)
        self.events += 1
        if len(self.batch) >= EVENTS_PER_BATCH:
            self.write()

    def write(self) -> None:
        """Write what has gathered as a batch."""
        if self.batch:
            self.out.append(encode_record(RecordKind.BATCH, encode_batch(self.batch)))
            self.batch = []

    def data(self) -> bytes:
        """Close the segment, and return its bytes."""
        self.write()
        self.numbers.discard(0)
        low, high = min(self.numbers, default=0), max(self.numbers, default=0)
        index = SegmentIndex(self.events, 0, *self.times, low, high, [])
        at = sum(map(len, self.out))
        return b"".join((*self.out, encode_trailer(index, at)))
