"""Plays a capture back through the policy and says where its decisions first differ."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from badgercart.capture.codec import (
    CodecError,
    decode_event,
    encode_actions,
    module_digest,
    thaw,
)
from badgercart.capture.format import Ending, FormatError, Kind, Record, Segment
from cottonhall.interface import Action, Event
from cottonhall.rules import Policy

SUFFIX = ".bcap"
U32 = 4  # bytes of the running checksum ahead of an event


def segments(paths: Iterable[str]) -> list[Path]:
    """The segments that files and folders hold, in the order of their names: that of their writing."""
    found: list[Path] = []
    for text in paths:
        path = Path(text)
        found += sorted(path.glob(f"*{SUFFIX}")) if path.is_dir() else [path]
    return found


@dataclass(slots=True)
class Difference:
    """The first decision that is another one."""

    segment: str
    record: int  # of the segment, from 0
    now: float
    event: Event
    actions: list[Action] | None  # as decided now


@dataclass(slots=True)
class Replayed:
    """What came of one segment."""

    name: str
    ending: Ending = Ending.TORN
    events: int = 0
    lost: int = 0  # in gaps
    first: float = 0.0  # ms on the node's clock
    last: float = 0.0
    other_module: bool = False  # the policy's text is not the one that decided then
    difference: Difference | None = None
    faults: list[str] = field(default_factory=list)

    @property
    def identical(self) -> bool:
        return self.difference is None and not self.faults


Step = Callable[[Policy, float, Event, "list[Action] | None"], None]


def start(segment: Segment) -> Policy:
    """The policy as it was at the segment's head. Raises CodecError."""
    return thaw(segment.head["state"])


def decide(policy: Policy, now: float, event: Event) -> list[Action] | None:
    """What the policy decides; None where it raises, as the join has it."""
    try:
        return policy.handle(now, event)
    except Exception:
        return None


def read_event(record: Record) -> tuple[int, float, Event]:
    """The running checksum of the decisions, the time and the event. Raises CodecError."""
    now, event = decode_event(record.payload[U32:])
    return int.from_bytes(record.payload[:U32]), now, event


def events(segment: Segment) -> Iterator[tuple[int, float, Event]]:
    """What `read_event` gives of each event, in order. Raises CodecError."""
    return (read_event(record) for record in segment.records() if record.kind is Kind.EVENT)


def replay(path: Path, step: Step | None = None) -> Replayed:
    """One segment, to its end or to the first difference. Raises FormatError and OSError."""
    segment = Segment(path.read_bytes())
    told = Replayed(path.name)
    try:
        told.other_module = segment.head["module"] != module_digest()
        policy = start(segment)
        running: int = segment.head["running"]
        for number, record in enumerate(segment.records()):
            if record.kind is Kind.GAP:
                told.lost += int.from_bytes(record.payload)
            if record.kind is not Kind.EVENT:
                continue
            captured, now, event = read_event(record)
            told.first = told.first or now
            told.last, told.events = now, told.events + 1
            actions = decide(policy, now, event)
            if step is not None:
                step(policy, now, event, actions)
            running = zlib.crc32(encode_actions(actions), running)
            if running != captured:
                told.difference = Difference(path.name, number, now, event, actions)
                break
    except (CodecError, KeyError, TypeError) as error:
        told.faults.append(str(error))
    told.ending = segment.ending
    return told


def replay_all(paths: Iterable[Path]) -> Iterator[Replayed]:
    """Segment by segment; one that can't be read at all is a fault of its own."""
    for path in paths:
        try:
            yield replay(path)
        except (FormatError, OSError) as error:
            yield Replayed(path.name, Ending.DAMAGED, faults=[str(error)])
