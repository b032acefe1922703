"""Extracts a time range from a segment, and compares two segments event by event."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from pathlib import Path

from badgercart.capture.build import SegmentBuilder
from badgercart.capture.codec import CodecError, decode_actions, dump_policy
from badgercart.capture.format import Segment
from badgercart.capture.replay import decide, initial_policy, read_events
from badgercart.capture.words import show

COMPARED_HEADER_FIELDS = ("settings", "seed", "module", "state")


def extract(source: Path, output: Path, begin_ms: float, end_ms: float) -> int:
    """Write the events of [begin_ms, end_ms) as a segment; returns the number of events.

    Times are on the node's clock. The header of the new segment holds the policy's state at
    `begin_ms`, for which the events before it are replayed.

    Raises:
        CodecError: The replay decides differently from the capture, or there is no event.
        FormatError: The file is not a capture, or its header can't be read.
        OSError: A file can't be read or written.
    """
    segment = Segment(source.read_bytes())
    policy = initial_policy(segment)
    builder: SegmentBuilder | None = None
    running_crc = events_before = 0
    for item in read_events(segment):
        if item.now_ms >= end_ms:
            break
        if item.now_ms >= begin_ms and builder is None:
            builder = SegmentBuilder(
                segment.header | {"state": dump_policy(policy), "events_before": events_before}
            )
        actions = decide(policy, item.now_ms, item.event)
        same, running_crc = item.matches(actions, running_crc)
        if not same:
            raise CodecError(f"the event at {item.now_ms:.3f} ms is decided otherwise now")
        if builder is None:
            events_before += 1
        else:
            builder.add(item.now_ms, item.event, actions)
    if builder is None:
        raise CodecError(f"there is no event from {begin_ms:g} to {end_ms:g} ms")
    output.write_bytes(builder.data())
    return builder.events


def differences(first: Path, second: Path) -> Iterator[str]:
    """Yield the header fields that differ, then the first event and the first decision that do.

    Raises FormatError, CodecError and OSError.
    """
    first_segment, second_segment = Segment(first.read_bytes()), Segment(second.read_bytes())
    for name in COMPARED_HEADER_FIELDS:
        if first_segment.header[name] != second_segment.header[name]:
            yield f"{name}: differs"
    event_differs = decision_differs = False
    pairs = itertools.zip_longest(read_events(first_segment), read_events(second_segment))
    for number, (left, right) in enumerate(pairs):
        if left is None or right is None:
            yield f"event {number}: only in {second if left is None else first}"
            return
        if (left.now_ms, left.event) != (right.now_ms, right.event) and not event_differs:
            event_differs = True
            left_text, right_text = (
                f"{item.now_ms:.3f} ms {show(item.event)}" for item in (left, right)
            )
            yield f"event {number}: {left_text} in {first}, {right_text} in {second}"
        if (left.captured_actions, left.running_crc) != (
            right.captured_actions,
            right.running_crc,
        ) and not decision_differs:
            decision_differs = True
            left_actions, right_actions = (
                show(decode_actions(item.captured_actions)) if item.captured_actions else None
                for item in (left, right)
            )
            yield (
                f"event {number}: decided otherwise: "
                f"{left_actions} in {first}, {right_actions} in {second}"
            )
        if event_differs and decision_differs:
            return
