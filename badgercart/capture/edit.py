"""Cuts a stretch out of a segment, and compares two segments event by event."""

from __future__ import annotations

import itertools
import zlib
from collections.abc import Iterator
from pathlib import Path

from badgercart.capture.codec import CodecError, encode_actions, encode_event, freeze
from badgercart.capture.format import Kind, Segment, event_record, head, record
from badgercart.capture.replay import decide, events, start

HEADS = ("settings", "seed", "module", "state")


def cut(source: Path, output: Path, begin: float, end: float) -> int:
    """Write the events of [begin, end) (ms on the node's clock) as a segment of their own; gives their count.

    Its head has the policy's state at `begin`, which takes deciding all before it: CodecError where that
    comes out otherwise than it was captured. Raises FormatError and OSError too."""
    segment = Segment(source.read_bytes())
    policy = start(segment)
    then: int = segment.head["running"]
    out: list[bytes] = []
    running = count = before = 0
    for captured, now, event in events(segment):
        if now >= end:
            break
        if now >= begin and not out:
            state = freeze(policy)
            out.append(head(segment.head | {"state": state, "running": 0, "events_before": before}))
        decided = encode_actions(decide(policy, now, event))
        then = zlib.crc32(decided, then)
        if then != captured:
            raise CodecError(f"the event at {now:.3f} ms is decided otherwise now")
        if out:
            running = zlib.crc32(decided, running)
            out.append(event_record(running, encode_event(now, event)))
            count += 1
        else:
            before += 1
    if not count:
        raise CodecError(f"there is no event from {begin:g} to {end:g} ms")
    output.write_bytes(b"".join((*out, record(Kind.END, b""))))
    return count


def differences(first: Path, second: Path) -> Iterator[str]:
    """In words: what the heads differ in, then the first event and the first decision that differ.

    Raises FormatError, CodecError and OSError."""
    one, other = Segment(first.read_bytes()), Segment(second.read_bytes())
    for name in HEADS:
        if one.head[name] != other.head[name]:
            yield f"{name}: differs"
    told_event = told_decision = False
    pairs = itertools.zip_longest(events(one), events(other))
    for number, (left, right) in enumerate(pairs):
        if left is None or right is None:
            yield f"event {number}: only in {second if left is None else first}"
            return
        if left[1:] != right[1:] and not told_event:
            told_event = True
            here, there = (f"{now:.3f} ms {event}" for _, now, event in (left, right))
            yield f"event {number}: {here} in {first}, {there} in {second}"
        if left[0] != right[0] and not told_decision:
            told_decision = True
            yield f"event {number}: decided otherwise"
        if told_event and told_decision:
            return
