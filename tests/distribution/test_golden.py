"""Bytes of this package on wires and disks, as written before the names of the code changed.

What stands in `golden/` was written once. It is read to the same values, and the same values are
written as the same bytes, whatever classes and fields are called.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import math
import random
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from badgercart.core.log_events import LOG_EVENTS
from badgercart.distribution import commands, log_events
from badgercart.distribution.driver import Runtime
from badgercart.distribution.effects import Persist, PersistSnapshot, RecoveredState
from badgercart.distribution.journal import Journal
from badgercart.distribution.link import FRAME_LENGTH
from badgercart.distribution.messages import (
    MESSAGE_LABELS,
    RESEND,
    AppendEntries,
    AppendResponse,
    Change,
    Codec,
    Delta,
    Entry,
    Heartbeat,
    Hello,
    InstallSnapshot,
    Message,
    Propose,
    ProposeResponse,
    Rejection,
    Snapshot,
    Status,
    StatusRequest,
    VoteRequest,
    VoteResponse,
)
from badgercart.distribution.replica import Replica
from badgercart.distribution.replica_config import ReplicaGroup, ReplicaTiming
from badgercart.distribution.replica_driver import ReplicaAddresses, ReplicaDriver
from badgercart.distribution.topic import Topic
from tests.distribution.support import subscribe, topic_parts

GOLDEN = Path(__file__).parent / "golden"
CODEC = Codec("budapest", b"sixteen or more bytes")
LINES = (Entry("s-1", b'{"instanceId":"s-1"}'), Entry("s-2", None))
CHANGE = Change(3, 9, "servers/a", LINES)
LINE_VALUES = [["s-1", b'{"instanceId":"s-1"}'], ["s-2", None]]

# The file of each frame, the message in it, and its fields as they are read from there.
MESSAGES: list[tuple[str, Message, list[Any]]] = [
    ("hello-store", Hello("store-1", True), ["store-1", True]),
    ("hello-follower", Hello("node é", False), ["node é", False]),
    ("vote-request", VoteRequest(3, 2, 9, False), [3, 2, 9, False]),
    ("vote-request-only-asking", VoteRequest(4, 2, 9, True), [4, 2, 9, True]),
    ("vote", VoteResponse(3, True, False), [3, True, False]),
    ("vote-only-asking", VoteResponse(3, False, True), [3, False, True]),
    (
        "append",
        AppendEntries(3, 8, (CHANGE, Change(3, 10, "", ())), 8, 12.5),
        [3, 8, [[3, 9, "servers/a", LINE_VALUES], [3, 10, "", []]], 8, 12.5],
    ),
    ("append-nothing", AppendEntries(3, 8, (), 8), [3, 8, [], 8, 0.0]),
    ("append-never-known", AppendEntries(3, 8, (), 8, math.inf), [3, 8, [], 8, math.inf]),
    ("appended", AppendResponse(3, 9, 8, False), [3, 9, 8, False]),
    ("appended-missing", AppendResponse(3, 0, 8, True), [3, 0, 8, True]),
    (
        "state",
        InstallSnapshot(
            3,
            9,
            2,
            1,
            2,
            topic_parts(("servers/a", 4, 1 << 63, LINES[:1]), ("servers/b", 1, 0, ())),
        ),
        [3, 9, 2, 1, 2, [["servers/a", 4, 1 << 63, LINE_VALUES[:1]], ["servers/b", 1, 0, []]]],
    ),
    (
        "subscribe",
        subscribe(("servers/a", 4, 1 << 63), ("servers/b", 0, 0), ("servers/c", RESEND, 0)),
        [[["servers/a", 4, 1 << 63], ["servers/b", 0, 0], ["servers/c", -1, 0]]],
    ),
    (
        "whole",
        Snapshot("servers/a", 4, 1 << 63, 1, 2, LINES[:1]),
        ["servers/a", 4, 1 << 63, 1, 2, LINE_VALUES[:1]],
    ),
    ("delta", Delta("servers/a", 5, 7, LINES), ["servers/a", 5, 7, LINE_VALUES]),
    ("beat", Heartbeat(1.5), [1.5]),
    ("beat-never-known", Heartbeat(math.inf), [math.inf]),
    ("no", Rejection("behind", "servers/a", "why"), ["behind", "servers/a", "why"]),
    ("propose", Propose(1, "servers/a", LINES, -1), [1, "servers/a", LINE_VALUES, -1]),
    ("proposed", ProposeResponse(1, 5, "", ""), [1, 5, "", ""]),
    ("proposed-refused", ProposeResponse(2, 5, "conflict", "why"), [2, 5, "conflict", "why"]),
    ("status-request", StatusRequest(), []),
    (
        "status",
        Status("store-1", "leading", "store-1", 3, 9, 9, 215, 2, 40, 1.5),
        ["store-1", "leading", "store-1", 3, 9, 9, 215, 2, 40, 1.5],
    ),
]


def values(told: Any) -> Any:
    """Structures of any name as plain lists of their fields, in the order of the wire."""
    if isinstance(told, msgspec.Struct):
        return [values(each) for each in msgspec.structs.astuple(told)]
    if isinstance(told, tuple | list):
        return [values(each) for each in told]
    return told


def test_there_is_a_frame_of_each_message() -> None:
    assert {type(message) for _, message, _ in MESSAGES} == MESSAGE_LABELS.keys()
    assert {path.stem for path in (GOLDEN / "frames").iterdir()} == {
        name for name, _, _ in MESSAGES
    }


@pytest.mark.parametrize(
    ("name", "message", "fields"), MESSAGES, ids=[name for name, _, _ in MESSAGES]
)
def test_a_frame_is_written_and_read_as_ever(
    name: str, message: Message, fields: list[Any]
) -> None:
    frame = (GOLDEN / "frames" / f"{name}.bin").read_bytes()
    assert CODEC.encode(message) == frame
    read = CODEC.decode(frame)
    assert type(read) is type(message) and values(read) == fields


def test_on_tcp_a_frame_stands_behind_its_length() -> None:
    assert FRAME_LENGTH.pack(0x1234) == b"\x00\x00\x12\x34"


def test_words_for_messages_out_of_turn_are_as_ever() -> None:
    told = dict.fromkeys(MESSAGE_LABELS[type(message)] for _, message, _ in MESSAGES)
    assert " ".join(told) == (
        "Hello VoteRequest Vote Append Appended State Subscribe Whole Delta Beat No "
        "Propose Proposed StatusRequest Status"
    )


# A journal, and what it is compacted to.

KEPT = (
    Persist(1, "", 0, (), 0),
    Persist(1, "store-1", 0, (Change(1, 1, "", ()), Change(1, 2, "servers/a", LINES)), 0),
    Persist(2, "", 1, (Change(2, 2, "servers/a", LINES[:1]), Change(2, 3, "settings/é", LINES)), 1),
    Persist(3, "store-2", 3, (), 2),
)
BEHIND = (Change(2, 3, "settings/é", LINES),)


def topics() -> dict[str, Topic]:
    return {"servers/a": Topic(1, LINES[:1]), "servers/empty": Topic(4)}


def whole_state() -> RecoveredState:
    return RecoveredState(3, "store-2", 2, 2, 2, topics(), BEHIND)


def digest(*pairs: tuple[str, bytes]) -> int:
    """The sum of a hash of each key with its value, modulo 2**64."""
    told = 0
    for key, value in pairs:
        data = len(key.encode()).to_bytes(4, "big") + key.encode() + value
        told += int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")
    return told % (1 << 64)


def keep(folder: Path, compacted: bool) -> None:
    journal = Journal(folder)
    journal.recover()
    for each in KEPT:
        journal.persist(each)
    if compacted:
        journal.persist(PersistSnapshot(whole_state()))
        journal.persist(Persist(4, "", 3, (), 3))
    journal.close()


def plain(recovered: RecoveredState) -> list[Any]:
    """All that is recovered, by place."""
    fields = [getattr(recovered, name) for name in recovered.__dataclass_fields__]
    fields[5] = [
        [name, topic.version, topic.digest, topic.entries] for name, topic in fields[5].items()
    ]
    return [values(each) for each in fields]


CASES = [
    (
        "journal",
        False,
        ["journal.0", "lock"],
        [
            3,
            "store-2",
            2,
            0,
            0,
            [],
            [
                [1, 1, "", []],
                [2, 2, "servers/a", LINE_VALUES[:1]],
                [2, 3, "settings/é", LINE_VALUES],
            ],
        ],
    ),
    (
        "snapshot",
        True,
        ["journal.1", "lock", "snapshot"],
        [
            4,
            "",
            3,
            2,
            2,
            [
                [
                    "servers/a",
                    1,
                    digest(("s-1", b'{"instanceId":"s-1"}')),
                    {"s-1": b'{"instanceId":"s-1"}'},
                ],
                ["servers/empty", 4, 0, {}],
            ],
            [[2, 3, "settings/é", LINE_VALUES]],
        ],
    ),
]
GOLDEN_CASES = pytest.mark.parametrize(
    ("name", "compacted", "files", "read"), CASES, ids=[name for name, *_ in CASES]
)


@GOLDEN_CASES
def test_a_folder_is_written_as_ever(
    name: str, compacted: bool, files: list[str], read: list[Any], tmp_path: Path
) -> None:
    keep(tmp_path, compacted)
    assert sorted(path.name for path in tmp_path.iterdir()) == files
    for each in files:
        if each != "lock":  # empty
            assert (tmp_path / each).read_bytes() == (
                GOLDEN / name / f"{each}.bin"
            ).read_bytes(), each


@GOLDEN_CASES
def test_a_folder_is_read_as_ever(
    name: str, compacted: bool, files: list[str], read: list[Any], tmp_path: Path
) -> None:
    for path in (GOLDEN / name).iterdir():
        (tmp_path / path.name.removesuffix(".bin")).write_bytes(path.read_bytes())
    journal = Journal(tmp_path)
    try:
        assert plain(journal.recover()) == read
    finally:
        journal.close()


# What an operator reads of a store.


def test_a_stores_row_is_as_ever() -> None:
    told = Status("store-1", "leading", "store-1", 3, 9, 10, 215, 2, 40, 1.54)
    assert json.dumps(commands.row(told)) == (
        '{"name": "store-1", "role": "leading", "leader": "store-1", "term": 3, "committed": 9, '
        '"last": 10, "followers": 215, "topics": 2, "entries": 40, "age_ms": 1.5}'
    )
    never = Status("store-2", "following", "", 3, 9, 10, 0, 2, 40, math.inf)
    assert json.dumps(commands.row(never)) == (
        '{"name": "store-2", "role": "following", "leader": "", "term": 3, "committed": 9, '
        '"last": 10, "followers": 0, "topics": 2, "entries": 40, "age_ms": null}'
    )
    assert commands.row("no answer in 5 s") == {"error": "no answer in 5 s"}


def test_roles_are_told_as_ever(tmp_path: Path) -> None:
    """A store on its way to lead, and what its driver answers to a status request meanwhile."""
    names = ("store-1", "store-2", "store-3")
    group = ReplicaGroup("store-1", names, names)
    replica = Replica(group, ReplicaTiming(), random.Random(1), RecoveredState())
    loop = asyncio.new_event_loop()
    journal = Journal(tmp_path)
    try:
        driver = ReplicaDriver(
            Runtime(loop, lambda: 5000.0, CODEC),
            replica,
            journal,
            ReplicaAddresses(("127.0.0.1", 0), {}),
            random.Random(1),
        )
        roles = [values(driver.status())[1:4]]
        replica.start(0.0)
        replica.accepted(1.0, 1)
        replica.received(1.0, 1, Hello("store-2", True))
        replica.tick(4000.0)
        roles.append(values(driver.status())[1:4])
        replica.received(4000.0, 1, VoteResponse(1, True, True))
        roles.append(values(driver.status())[1:4])
        replica.received(4000.0, 1, VoteResponse(1, True, False))
        roles.append(values(driver.status())[1:4])
    finally:
        loop.close()
        journal.close()
    assert roles == [
        ["following", "", 0],
        ["pre-candidate", "", 0],
        ["candidate", "", 1],
        ["leading", "store-1", 1],
    ]


def test_events_are_called_and_worded_as_ever() -> None:
    said = [
        f"{event.name} {event.level} {event.words}\n"
        for event in LOG_EVENTS.values()
        if event.name.startswith(f"{log_events.LISTENING.name.partition('.')[0]}.")
    ]
    assert "".join(sorted(said)) == (GOLDEN / "events.txt").read_text()


def test_commands_are_called_as_ever() -> None:
    shown = CliRunner().invoke(commands.distribution, ["--help"]).output
    words = [
        line.split()[0] for line in shown.partition("Commands:")[2].splitlines() if line.strip()
    ]
    assert words == ["get", "put", "status", "store"]
