"""Cuts a stretch out of a segment, and compares two segments event by event."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from pathlib import Path

from badgercart.capture.build import SegmentBuilder
from badgercart.capture.codec import CodecError, decode_actions, dump_policy
from badgercart.capture.format import Segment
from badgercart.capture.replay import decide, initial_policy, read_events
from badgercart.capture.words import show

HEADS = ("settings", "seed", "module", "state")


def cut(source: Path, output: Path, begin: float, end: float) -> int:
    """Write the events of [begin, end) (ms on the node's clock) as a segment of their own; gives
    their count.

    Its head has the policy's state at `begin`, which takes deciding all before it: CodecError where
    that comes out otherwise than it was captured. Raises FormatError and OSError too."""
    segment = Segment(source.read_bytes())
    policy = initial_policy(segment)
    built: SegmentBuilder | None = None
    running_crc = before = 0
    for item in read_events(segment):
        if item.now_ms >= end:
            break
        if item.now_ms >= begin and built is None:
            built = SegmentBuilder(
                segment.header | {"state": dump_policy(policy), "events_before": before}
            )
        actions = decide(policy, item.now_ms, item.event)
        same, running_crc = item.matches(actions, running_crc)
        if not same:
            raise CodecError(f"the event at {item.now_ms:.3f} ms is decided otherwise now")
        if built is None:
            before += 1
        else:
            built.add(item.now_ms, item.event, actions)
    if built is None:
        raise CodecError(f"there is no event from {begin:g} to {end:g} ms")
    output.write_bytes(built.data())
    return built.events


def differences(first: Path, second: Path) -> Iterator[str]:
    """In words: what the heads differ in, then the first event and the first decision that differ.

    Raises FormatError, CodecError and OSError."""
    one, other = Segment(first.read_bytes()), Segment(second.read_bytes())
    for name in HEADS:
        if one.header[name] != other.header[name]:
            yield f"{name}: differs"
    told_event = told_decision = False
    pairs = itertools.zip_longest(read_events(one), read_events(other))
    for number, (left, right) in enumerate(pairs):
        if left is None or right is None:
            yield f"event {number}: only in {second if left is None else first}"
            return
        if (left.now_ms, left.event) != (right.now_ms, right.event) and not told_event:
            told_event = True
            here, there = (f"{item.now_ms:.3f} ms {show(item.event)}" for item in (left, right))
            yield f"event {number}: {here} in {first}, {there} in {second}"
        if (left.captured_actions, left.running_crc) != (
            right.captured_actions,
            right.running_crc,
        ) and not told_decision:
            told_decision = True
            one_did, other_did = (
                show(decode_actions(i.captured_actions)) if i.captured_actions else None
                for i in (left, right)
            )
            yield f"event {number}: decided otherwise: {one_did} in {first}, {other_did} in {second}"
        if told_event and told_decision:
            return
