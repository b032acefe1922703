"""The formats of frames, journals and snapshots, and texts shown to operators, do not change.

The files in `golden/` were written by an earlier version of the code. They must be decoded to the
same values, and the same values must be encoded as the same bytes, whatever the names of classes
and fields are.
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
ENTRIES = (Entry("s-1", b'{"instanceId":"s-1"}'), Entry("s-2", None))
CHANGE = Change(3, 9, "servers/a", ENTRIES)
ENTRY_VALUES = [["s-1", b'{"instanceId":"s-1"}'], ["s-2", None]]

# The file name of each frame, its message, and the decoded fields.
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
        [3, 8, [[3, 9, "servers/a", ENTRY_VALUES], [3, 10, "", []]], 8, 12.5],
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
            topic_parts(("servers/a", 4, 1 << 63, ENTRIES[:1]), ("servers/b", 1, 0, ())),
        ),
        [3, 9, 2, 1, 2, [["servers/a", 4, 1 << 63, ENTRY_VALUES[:1]], ["servers/b", 1, 0, []]]],
    ),
    (
        "subscribe",
        subscribe(("servers/a", 4, 1 << 63), ("servers/b", 0, 0), ("servers/c", RESEND, 0)),
        [[["servers/a", 4, 1 << 63], ["servers/b", 0, 0], ["servers/c", -1, 0]]],
    ),
    (
        "whole",
        Snapshot("servers/a", 4, 1 << 63, 1, 2, ENTRIES[:1]),
        ["servers/a", 4, 1 << 63, 1, 2, ENTRY_VALUES[:1]],
    ),
    ("delta", Delta("servers/a", 5, 7, ENTRIES), ["servers/a", 5, 7, ENTRY_VALUES]),
    ("beat", Heartbeat(1.5), [1.5]),
    ("beat-never-known", Heartbeat(math.inf), [math.inf]),
    ("no", Rejection("behind", "servers/a", "why"), ["behind", "servers/a", "why"]),
    ("propose", Propose(1, "servers/a", ENTRIES, -1), [1, "servers/a", ENTRY_VALUES, -1]),
    ("proposed", ProposeResponse(1, 5, "", ""), [1, 5, "", ""]),
    ("proposed-refused", ProposeResponse(2, 5, "conflict", "why"), [2, 5, "conflict", "why"]),
    ("status-request", StatusRequest(), []),
    (
        "status",
        Status("store-1", "leading", "store-1", 3, 9, 9, 215, 2, 40, 1.5),
        ["store-1", "leading", "store-1", 3, 9, 9, 215, 2, 40, 1.5],
    ),
]


def values(value: Any) -> Any:
    """Convert structures to lists of their fields, in the order of the wire."""
    if isinstance(value, msgspec.Struct):
        return [values(field) for field in msgspec.structs.astuple(value)]
    if isinstance(value, tuple | list):
        return [values(item) for item in value]
    return value


def test_there_is_a_golden_frame_of_each_message() -> None:
    assert {type(message) for _, message, _ in MESSAGES} == MESSAGE_LABELS.keys()
    assert {path.stem for path in (GOLDEN / "frames").iterdir()} == {
        name for name, _, _ in MESSAGES
    }


@pytest.mark.parametrize(
    ("name", "message", "fields"), MESSAGES, ids=[name for name, _, _ in MESSAGES]
)
def test_frames_are_encoded_and_decoded_unchanged(
    name: str, message: Message, fields: list[Any]
) -> None:
    frame = (GOLDEN / "frames" / f"{name}.bin").read_bytes()
    assert CODEC.encode(message) == frame
    read = CODEC.decode(frame)
    assert type(read) is type(message) and values(read) == fields


def test_on_tcp_a_frame_is_preceded_by_its_length() -> None:
    assert FRAME_LENGTH.pack(0x1234) == b"\x00\x00\x12\x34"


def test_labels_of_messages_in_the_log_are_unchanged() -> None:
    labels = dict.fromkeys(MESSAGE_LABELS[type(message)] for _, message, _ in MESSAGES)
    assert " ".join(labels) == (
        "Hello VoteRequest Vote Append Appended State Subscribe Whole Delta Beat No "
        "Propose Proposed StatusRequest Status"
    )


# A journal, and the snapshot that it is compacted to.

RECORDS = (
    Persist(1, "", 0, (), 0),
    Persist(1, "store-1", 0, (Change(1, 1, "", ()), Change(1, 2, "servers/a", ENTRIES)), 0),
    Persist(
        2, "", 1, (Change(2, 2, "servers/a", ENTRIES[:1]), Change(2, 3, "settings/é", ENTRIES)), 1
    ),
    Persist(3, "store-2", 3, (), 2),
)
LATER_CHANGES = (Change(2, 3, "settings/é", ENTRIES),)


def topics() -> dict[str, Topic]:
    return {"servers/a": Topic(1, ENTRIES[:1]), "servers/empty": Topic(4)}


def compacted_state() -> RecoveredState:
    return RecoveredState(3, "store-2", 2, 2, 2, topics(), LATER_CHANGES)


def digest(*pairs: tuple[str, bytes]) -> int:
    """Return the sum of a hash of each key with its value, modulo 2**64."""
    total = 0
    for key, value in pairs:
        data = len(key.encode()).to_bytes(4, "big") + key.encode() + value
        total += int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")
    return total % (1 << 64)


def write_folder(folder: Path, compacted: bool) -> None:
    journal = Journal(folder)
    journal.recover()
    for record in RECORDS:
        journal.persist(record)
    if compacted:
        journal.persist(PersistSnapshot(compacted_state()))
        journal.persist(Persist(4, "", 3, (), 3))
    journal.close()


def field_values(recovered: RecoveredState) -> list[Any]:
    """Return all fields of the recovered state, in order."""
    fields = [getattr(recovered, name) for name in recovered.__dataclass_fields__]
    fields[5] = [
        [name, topic.version, topic.digest, topic.entries] for name, topic in fields[5].items()
    ]
    return [values(field) for field in fields]


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
                [2, 2, "servers/a", ENTRY_VALUES[:1]],
                [2, 3, "settings/é", ENTRY_VALUES],
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
            [[2, 3, "settings/é", ENTRY_VALUES]],
        ],
    ),
]
GOLDEN_CASES = pytest.mark.parametrize(
    ("name", "compacted", "files", "read"), CASES, ids=[name for name, *_ in CASES]
)


@GOLDEN_CASES
def test_journals_and_snapshots_are_written_unchanged(
    name: str, compacted: bool, files: list[str], read: list[Any], tmp_path: Path
) -> None:
    write_folder(tmp_path, compacted)
    assert sorted(path.name for path in tmp_path.iterdir()) == files
    for file in files:
        # The lock file is empty.
        if file != "lock":
            assert (tmp_path / file).read_bytes() == (
                GOLDEN / name / f"{file}.bin"
            ).read_bytes(), file


@GOLDEN_CASES
def test_journals_and_snapshots_are_read_unchanged(
    name: str, compacted: bool, files: list[str], read: list[Any], tmp_path: Path
) -> None:
    for path in (GOLDEN / name).iterdir():
        (tmp_path / path.name.removesuffix(".bin")).write_bytes(path.read_bytes())
    journal = Journal(tmp_path)
    try:
        assert field_values(journal.recover()) == read
    finally:
        journal.close()


# Output for operators.


def test_the_status_columns_are_unchanged() -> None:
    status = Status("store-1", "leading", "store-1", 3, 9, 10, 215, 2, 40, 1.54)
    assert json.dumps(commands.status_columns(status)) == (
        '{"name": "store-1", "role": "leading", "leader": "store-1", "term": 3, "committed": 9, '
        '"last": 10, "followers": 215, "topics": 2, "entries": 40, "age_ms": 1.5}'
    )
    never_complete = Status("store-2", "following", "", 3, 9, 10, 0, 2, 40, math.inf)
    assert json.dumps(commands.status_columns(never_complete)) == (
        '{"name": "store-2", "role": "following", "leader": "", "term": 3, "committed": 9, '
        '"last": 10, "followers": 0, "topics": 2, "entries": 40, "age_ms": null}'
    )
    assert commands.status_columns("no answer in 5 s") == {"error": "no answer in 5 s"}


def test_role_names_are_unchanged(tmp_path: Path) -> None:
    """The status of a replica in each role on its way to become leader."""
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


def test_log_events_are_unchanged() -> None:
    lines = [
        f"{event.name} {event.level} {event.words}\n"
        for event in LOG_EVENTS.values()
        if event.name.startswith(f"{log_events.LISTENING.name.partition('.')[0]}.")
    ]
    assert "".join(sorted(lines)) == (GOLDEN / "events.txt").read_text()


def test_command_names_are_unchanged() -> None:
    shown = CliRunner().invoke(commands.distribution, ["--help"]).output
    words = [
        line.split()[0] for line in shown.partition("Commands:")[2].splitlines() if line.strip()
    ]
    assert words == ["get", "put", "status", "store"]
