"""Plays a capture back through the policy and says where its decisions first differ."""

from __future__ import annotations

import re
import zlib
from collections import OrderedDict
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
    module_digest,
    thaw,
)
from badgercart.capture.format import Ending, FormatError, Kind, Record, Segment
from badgercart.capture.streams import Streams
from badgercart.policy.actions import Action
from badgercart.policy.events import Event
from badgercart.policy.policy import Policy

SUFFIX = ".bcap"
U32 = 4  # bytes of the running checksum ahead of an event of format 1
NAME = re.compile(rf"(\d+)-(\d+){re.escape(SUFFIX)}")


def segments(paths: Iterable[str]) -> list[Path]:
    """The segments that files and folders hold, in the order of their names: that of their
    writing."""
    found: list[Path] = []
    for text in paths:
        path = Path(text)
        found += sorted(path.glob(f"*{SUFFIX}")) if path.is_dir() else [path]
    return found


def missing(paths: Iterable[Path]) -> Iterator[str]:
    """In words: which segments of one start of a node are not there between others that are."""
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
class Replayed:
    """What came of one segment."""

    name: str
    ending: Ending = Ending.TORN
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
class Decided:
    """An event, and what is known of what was decided by it."""

    now: float
    event: Event
    then: bytes | None  # the actions as `encode_actions` has them; None in format 1
    running: int = 0  # format 1: crc32 of all actions so far

    def same(self, actions: list[Action] | None, running: int) -> tuple[bool, int]:
        """Whether these are the actions decided then, and the running checksum after them."""
        mine = encode_actions(actions)
        if self.then is not None:
            return mine == self.then, 0
        running = zlib.crc32(mine, running)
        return running == self.running, running


Step = Callable[[Policy, float, Event, "list[Action] | None"], None]


def start(segment: Segment) -> Policy:
    """The policy as it was at the segment's head. Raises CodecError.

    Where its text is another one now, it is made anew at the node's start, and later on given what
    it did not have then as a new policy has it."""
    if segment.head["module"] == module_digest():
        return thaw(segment.head["state"])
    fresh = Policy(decode_settings(segment.head["settings"]), segment.head["seed"])
    if segment.head["events_before"] or segment.head.get("adopted"):
        fresh.__dict__.update(thaw(segment.head["state"]).__dict__)
        fresh.unplaced = OrderedDict(
            fresh.unplaced
        )  # an older text had a plain one, and looked at all servers
        fresh.touched |= fresh.servers.keys()
    return fresh


def decide(policy: Policy, now: float, event: Event) -> list[Action] | None:
    """What the policy decides; None where it raises, as the join has it."""
    try:
        return policy.handle(now, event)
    except Exception:
        return None


def decided(record: Record) -> Iterator[Decided]:
    """What a record of events holds. Raises CodecError."""
    if record.kind is Kind.BATCH:
        for now, event, then in decode_batch(record.payload):
            yield Decided(now, event, then)
    elif record.kind is Kind.EVENT:
        now, event = decode_event(record.payload[U32:])
        yield Decided(now, event, None, int.from_bytes(record.payload[:U32]))


def events(segment: Segment) -> Iterator[Decided]:
    """All events of a segment in order. Raises CodecError."""
    for record in segment.records():
        yield from decided(record)


def replay(path: Path, step: Step | None = None) -> Replayed:
    """One segment, to its end or to the first difference. Raises FormatError and OSError."""
    segment = Segment(path.read_bytes())
    told = Replayed(path.name)
    streams = Streams()
    try:
        told.other_module = segment.head["module"] != module_digest()
        policy, running = start(segment), 0
        for record in segment.records():
            if record.kind is Kind.GAP:
                told.lost += int.from_bytes(record.payload)
            elif record.kind is Kind.NOTE:
                told.notes += 1
                if fault := streams.play(record.payload):
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
                    then = decode_actions(item.then) if item.then is not None else None
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


def replay_all(paths: Iterable[Path]) -> Iterator[Replayed]:
    """Segment by segment; one that can't be read at all is a fault of its own."""
    for path in paths:
        try:
            yield replay(path)
        except (FormatError, OSError) as error:
            yield Replayed(path.name, Ending.DAMAGED, faults=[str(error)])
