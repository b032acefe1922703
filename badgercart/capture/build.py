"""Builds a complete segment in memory from given events rather than from a running node. No I/O."""

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

# So many events are encoded together as one BATCH record.
EVENTS_PER_BATCH = 64


class SegmentBuilder:
    """Takes events in their order; `data` closes the segment and returns its bytes."""

    def __init__(self, fields: dict[str, Any]) -> None:
        """Begin a segment with these header fields; the format version is added to them."""
        self.parts = [encode_header(fields | {"format": FORMAT_VERSION})]
        self.batch: list[EncodedEvent] = []
        self.events = 0
        self.time_range_ms = (0.0, 0.0)
        self.request_ids: set[int] = set()

    def add(self, now_ms: float, event: Event, actions: list[Action] | None) -> None:
        """Add an event and the actions that it led to; None where the policy raised."""
        self.batch.append((*plain_event(now_ms, event), plain_actions(actions)))
        self.request_ids.add(getattr(event, "id", 0))
        self.time_range_ms = (self.time_range_ms[0] if self.events else now_ms, now_ms)
        self.events += 1
        if len(self.batch) >= EVENTS_PER_BATCH:
            self.write_batch()

    def write_batch(self) -> None:
        """Append the collected events as a BATCH record."""
        if self.batch:
            self.parts.append(encode_record(RecordKind.BATCH, encode_batch(self.batch)))
            self.batch = []

    def data(self) -> bytes:
        """Close the segment, and return its bytes."""
        self.write_batch()
        self.request_ids.discard(0)
        lowest, highest = min(self.request_ids, default=0), max(self.request_ids, default=0)
        index = SegmentIndex(self.events, 0, *self.time_range_ms, lowest, highest, [])
        index_offset = sum(map(len, self.parts))
        return b"".join((*self.parts, encode_trailer(index, index_offset)))
