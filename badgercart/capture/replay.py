"""Replays a capture through the policy and reports the first decision that differs."""

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
# Bytes of the running checksum before an event of format 1.
RUNNING_CRC_BYTES = 4
_SEGMENT_NAME = re.compile(rf"(\d+)-(\d+){re.escape(SEGMENT_SUFFIX)}")


def find_segments(paths: Iterable[str]) -> list[Path]:
    """Return the paths of the given files and of the segments in the given folders.

    The segments of a folder come in the order in which they were written.
    """
    found: list[Path] = []
    for text in paths:
        path = Path(text)
        found += sorted(path.glob(f"*{SEGMENT_SUFFIX}")) if path.is_dir() else [path]
    return found


def missing_segments(paths: Iterable[Path]) -> Iterator[str]:
    """Yield a message for each gap in the numbering of the segments of one start of a node."""
    previous: tuple[str, int] | None = None
    for path in paths:
        if (name := _SEGMENT_NAME.fullmatch(path.name)) is None:
            continue
        start, number = name[1], int(name[2])
        if previous is not None and previous[0] == start and number > previous[1] + 1:
            last = f" to {number - 1}" if number > previous[1] + 2 else ""
            yield f"{path.name}: segment {previous[1] + 1}{last} is missing before it"
        previous = start, number


@dataclass(slots=True)
class Difference:
    """The first decision of a segment that differs from the captured one."""

    segment: str
    event_number: int  # within the segment, from 0
    now_ms: float
    event: Event
    actions: list[Action] | None  # as decided in the replay; None where the policy raised
    # As captured; None where the policy raised, and in format 1, which stores no actions.
    captured_actions: list[Action] | None


@dataclass(slots=True)
class ReplayReport:
    """The result of replaying one segment."""

    name: str
    ending: SegmentEnding = SegmentEnding.TORN
    events: int = 0
    notes: int = 0  # recorded calls and states of other state machines
    lost_events: int = 0  # in gaps
    first_ms: float = 0.0  # time of the first event on the node's clock
    last_ms: float = 0.0  # time of the last event on the node's clock
    backward_jumps: int = 0  # how often the captured clock went back
    policy_changed: bool = False  # whether the policy's source files differ from the captured ones
    difference: Difference | None = None
    faults: list[str] = field(default_factory=list)

    @property
    def identical(self) -> bool:
        """Return whether all that was replayed was decided as captured."""
        return self.difference is None and not self.faults


@dataclass(slots=True, frozen=True)
class CapturedEvent:
    """An event, and what the capture holds of the actions that it led to."""

    now_ms: float
    event: Event
    captured_actions: bytes | None  # as encoded by `encode_actions`; None in format 1
    running_crc: int = 0  # format 1: crc32 of all actions so far

    def matches(self, actions: list[Action] | None, running_crc: int) -> tuple[bool, int]:
        """Return whether the actions are the captured ones, and the updated running checksum."""
        encoded = encode_actions(actions)
        if self.captured_actions is not None:
            return encoded == self.captured_actions, 0
        running_crc = zlib.crc32(encoded, running_crc)
        return running_crc == self.running_crc, running_crc


# Called after each replayed event: the policy, the time in ms, the event and its actions.
Step = Callable[[Policy, float, Event, "list[Action] | None"], None]


def initial_policy(segment: Segment) -> Policy:
    """Return the policy as it was at the beginning of a segment. Raises CodecError.

    A policy whose source files have changed since the capture starts new where the segment holds
    its first event. Otherwise it is loaded from the captured state, and whatever that state doesn't
    have is as in a new policy.
    """
    header = segment.header
    if header["module"] == module_digest():
        return load_policy(header["state"])
    if not header["events_before"] and not header.get("adopted"):
        return Policy(decode_settings(header["settings"]), header["seed"])
    policy = load_policy(header["state"])
    # Older versions of the policy examined all endpoints, including those without statistics.
    policy.fleet.endpoints.active.update(policy.fleet.endpoints.by_id)
    return policy


def decide(policy: Policy, now_ms: float, event: Event) -> list[Action] | None:
    """Return the policy's actions for an event; None where it raises, as in the pipeline."""
    try:
        return policy.handle(now_ms, event)
    except Exception:
        return None


def record_events(record: Record) -> Iterator[CapturedEvent]:
    """Yield the events of a record. Raises CodecError."""
    if record.kind is RecordKind.BATCH:
        for now_ms, event, captured_actions in decode_batch(record.payload):
            yield CapturedEvent(now_ms, event, captured_actions)
    elif record.kind is RecordKind.EVENT:
        now_ms, event = decode_event(record.payload[RUNNING_CRC_BYTES:])
        running_crc = int.from_bytes(record.payload[:RUNNING_CRC_BYTES])
        yield CapturedEvent(now_ms, event, None, running_crc)


def read_events(segment: Segment) -> Iterator[CapturedEvent]:
    """Yield all events of a segment in order. Raises CodecError."""
    for record in segment.records():
        yield from record_events(record)


def replay(path: Path, step: Step | None = None) -> ReplayReport:
    """Replay a segment to its end or the first difference. Raises FormatError and OSError."""
    segment = Segment(path.read_bytes())
    report = ReplayReport(path.name)
    note_replayer = NoteReplayer()
    try:
        report.policy_changed = segment.header["module"] != module_digest()
        policy, running_crc = initial_policy(segment), 0
        for record in segment.records():
            if record.kind is RecordKind.GAP:
                report.lost_events += int.from_bytes(record.payload)
            elif record.kind is RecordKind.NOTE:
                report.notes += 1
                if fault := note_replayer.replay(record.payload):
                    report.faults.append(fault)
            for item in record_events(record):
                report.first_ms = report.first_ms or item.now_ms
                report.backward_jumps += item.now_ms < report.last_ms
                report.last_ms, report.events = item.now_ms, report.events + 1
                actions = decide(policy, item.now_ms, item.event)
                if step is not None:
                    step(policy, item.now_ms, item.event, actions)
                same, running_crc = item.matches(actions, running_crc)
                if not same:
                    captured_actions = (
                        decode_actions(item.captured_actions)
                        if item.captured_actions is not None
                        else None
                    )
                    report.difference = Difference(
                        path.name,
                        report.events - 1,
                        item.now_ms,
                        item.event,
                        actions,
                        captured_actions,
                    )
                    break
            if report.difference is not None:
                break
    except (CodecError, KeyError, TypeError) as error:
        report.faults.append(str(error))
    report.ending = segment.ending
    return report


def replay_all(paths: Iterable[Path]) -> Iterator[ReplayReport]:
    """Replay the segments one by one; an unreadable segment is reported as damaged."""
    for path in paths:
        try:
            yield replay(path)
        except (FormatError, OSError) as error:
            yield ReplayReport(path.name, SegmentEnding.DAMAGED, faults=[str(error)])
