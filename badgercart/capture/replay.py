"""Plays a capture back through the policy and says where its decisions first differ."""

from __future__ import annotations

import re
import zlib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from badgercart.capture.codec import (
    CodecError,
    decode_actions,
    decode_batch,
    decode_event,
    decode_settings,
    encode_actions,
    load_policy,
    module_digest,
)
from badgercart.capture.format import FormatError, Record, RecordKind, Segment, SegmentEnding
from badgercart.capture.streams import NoteReplayer
from badgercart.policy.actions import Action
from badgercart.policy.events import Event
from badgercart.policy.policy import Policy

SEGMENT_SUFFIX = ".bcap"
U32 = 4  # bytes of the running checksum ahead of an event of format 1
NAME = re.compile(rf"(\d+)-(\d+){re.escape(SEGMENT_SUFFIX)}")


def find_segments(paths: Iterable[str]) -> list[Path]:
    """Return the segments that files and folders hold, in the order of their writing."""
    found: list[Path] = []
    for text in paths:
        path = Path(text)
        found += sorted(path.glob(f"*{SEGMENT_SUFFIX}")) if path.is_dir() else [path]
    return found


def missing_segments(paths: Iterable[Path]) -> Iterator[str]:
    """Say in words which segments are missing between others of one start of a node."""
    before: tuple[str, int] | None = None
    for path in paths:
        if (name := NAME.fullmatch(path.name)) is None:
            continue
        start, number = name[1], int(name[2])
        if before is not None and before[0] == start and number > before[1] + 1:
            last = f" to {number - 1}" if number > before[1] + 2 else ""
            yield f"{path.name}: segment {before[1] + 1}{last} is missing before it"
        before = start, number


@dataclass(slots=True)
class Difference:
    """The first decision that is another one."""

    segment: str
    record: int  # the event's number in the segment, from 0
    now: float
    event: Event
    actions: list[Action] | None  # as decided now
    then: list[Action] | None  # as decided then; None too where format 1 does not tell


@dataclass(slots=True)
class ReplayReport:
    """What came of one segment."""

    name: str
    ending: SegmentEnding = SegmentEnding.TORN
    events: int = 0
    notes: int = 0  # what other machines were told
    lost: int = 0  # in gaps
    first: float = 0.0  # ms on the node's clock
    last: float = 0.0
    jumps: int = 0  # times at which the captured clock went back
    other_module: bool = False  # the policy's text is not the one that decided then
    difference: Difference | None = None
    faults: list[str] = field(default_factory=list)

    @property
    def identical(self) -> bool:
        return self.difference is None and not self.faults


@dataclass(slots=True, frozen=True)
class CapturedEvent:
    """An event, and what is known of what was decided by it."""

    now: float
    event: Event
    then_actions: bytes | None  # the actions as `encode_actions` has them; None in format 1
    running: int = 0  # format 1: crc32 of all actions so far

    def same(self, actions: list[Action] | None, running: int) -> tuple[bool, int]:
        """Return whether these actions were decided then, and the running checksum after."""
        mine = encode_actions(actions)
        if self.then_actions is not None:
            return mine == self.then_actions, 0
        running = zlib.crc32(mine, running)
        return running == self.running, running


Step = Callable[[Policy, float, Event, "list[Action] | None"], None]


def initial_policy(segment: Segment) -> Policy:
    """Return the policy as it was at a segment's head. Raises CodecError.

    Where its files are others now, it is made anew, and later on has what it did not have then as a
    new one has it.
    """
    head = segment.header
    if head["module"] == module_digest():
        return load_policy(head["state"])
    if not head["events_before"] and not head.get("adopted"):
        return Policy(decode_settings(head["settings"]), head["seed"])
    policy = load_policy(head["state"])
    # An older text looked at all endpoints, whether something had been learned of them or not.
    policy.fleet.endpoints.active.update(policy.fleet.endpoints.by_id)
    return policy


def decide(policy: Policy, now: float, event: Event) -> list[Action] | None:
    """Return what the policy decides; None where it raises, as the pipeline has it."""
    try:
        return policy.handle(now, event)
    except Exception:
        return None


def decided(record: Record) -> Iterator[CapturedEvent]:
    """Give the events of a record. Raises CodecError."""
    if record.kind is RecordKind.BATCH:
        for now, event, then in decode_batch(record.payload):
            yield CapturedEvent(now, event, then)
    elif record.kind is RecordKind.EVENT:
        now, event = decode_event(record.payload[U32:])
        yield CapturedEvent(now, event, None, int.from_bytes(record.payload[:U32]))


def events(segment: Segment) -> Iterator[CapturedEvent]:
    """Give all events of a segment in order. Raises CodecError."""
    for record in segment.records():
        yield from decided(record)


def replay(path: Path, step: Step | None = None) -> ReplayReport:
    """Replay a segment to its end or the first difference. Raises FormatError and OSError."""
    segment = Segment(path.read_bytes())
    told = ReplayReport(path.name)
    note_replayer = NoteReplayer()
    try:
        told.other_module = segment.header["module"] != module_digest()
        policy, running = initial_policy(segment), 0
        for record in segment.records():
            if record.kind is RecordKind.GAP:
                told.lost += int.from_bytes(record.payload)
            elif record.kind is RecordKind.NOTE:
                told.notes += 1
                if fault := note_replayer.replay(record.payload):
                    told.faults.append(fault)
            for item in decided(record):
                told.first = told.first or item.now
                told.jumps += item.now < told.last
                told.last, told.events = item.now, told.events + 1
                actions = decide(policy, item.now, item.event)
                if step is not None:
                    step(policy, item.now, item.event, actions)
                same, running = item.same(actions, running)
                if not same:
                    then = (
                        decode_actions(item.then_actions) if item.then_actions is not None else None
                    )
                    told.difference = Difference(
                        path.name, told.events - 1, item.now, item.event, actions, then
                    )
                    break
            if told.difference is not None:
                break
    except (CodecError, KeyError, TypeError) as error:
        told.faults.append(str(error))
    told.ending = segment.ending
    return told


def replay_all(paths: Iterable[Path]) -> Iterator[ReplayReport]:
    """Replay segment by segment; one that can't be read at all is a fault of its own."""
    for path in paths:
        try:
            yield replay(path)
        except (FormatError, OSError) as error:
            yield ReplayReport(path.name, SegmentEnding.DAMAGED, faults=[str(error)])
