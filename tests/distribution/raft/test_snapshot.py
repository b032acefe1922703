"""Snapshots of all topics: parts that fit frames, and their assembly by the receiver."""

from __future__ import annotations

import pytest

from badgercart.distribution.errors import SnapshotError
from badgercart.distribution.messages import Codec, Entry, InstallSnapshot
from badgercart.distribution.raft.snapshot import SnapshotAssembler, snapshot_parts
from badgercart.distribution.replica_config import ReplicaLimits
from badgercart.distribution.topic import Topic

CODEC = Codec("a group", b"its secret")
LIMITS = ReplicaLimits()


def topics() -> dict[str, Topic]:
    big = [Entry(f"k{number}", bytes(60_000)) for number in range(20)]
    return {"big": Topic(7, big), "empty": Topic(3), "small": Topic(1, [Entry("k", b"v")])}


def assembled(parts: list[InstallSnapshot], limits: ReplicaLimits = LIMITS) -> SnapshotAssembler:
    assembler = SnapshotAssembler(parts[0])
    for part in parts:
        assert part is parts[0] or assembler.continues_with(part)
        assembler.add(part, limits)
    return assembler


def test_all_topics_are_assembled_from_parts_that_fit_frames() -> None:
    sent = topics()
    parts = list(snapshot_parts(sent, 5, 90, 4))
    assert [(part.part, part.parts) for part in parts] == [(1, 3), (2, 3), (3, 3)]
    for part in parts:
        assert CODEC.decode(CODEC.encode(part)) == part
    assembler = assembled(parts)
    assembler.verify({"big": Topic(7), "small": Topic(1)})
    assert {name: (t.version, t.entries) for name, t in assembler.topics.items()} == {
        name: (t.version, t.entries) for name, t in sent.items()
    }


def test_no_topics_are_one_empty_part() -> None:
    (part,) = snapshot_parts({}, 5, 90, 4)
    assert part == InstallSnapshot(5, 90, 4, 1, 1, ())
    assembled([part]).verify({})


def test_a_part_of_another_snapshot_does_not_continue_this_one() -> None:
    first, second, third = snapshot_parts(topics(), 5, 90, 4)
    assembler = SnapshotAssembler(first)
    assert assembler.continues_with(second) and not assembler.continues_with(third)
    for other in (snapshot_parts(topics(), 6, 90, 4), snapshot_parts(topics(), 5, 91, 4)):
        assert not assembler.continues_with(list(other)[1])


def test_snapshots_over_a_limit_or_with_older_topics_are_rejected() -> None:
    parts = list(snapshot_parts(topics(), 5, 90, 4))
    with pytest.raises(SnapshotError, match="more than 2 topics"):
        assembled(parts, ReplicaLimits(max_topics=2))
    with pytest.raises(SnapshotError, match="or 20 entries"):
        assembled(parts, ReplicaLimits(max_entries=20))
    with pytest.raises(SnapshotError, match="'small' is older than here"):
        assembled(parts).verify({"small": Topic(2)})
    with pytest.raises(SnapshotError, match="'gone' is older than here"):
        assembled(parts).verify({"gone": Topic(1)})
