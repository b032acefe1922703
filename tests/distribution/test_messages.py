"""Encoding and validation of frames; the digest and the parts of a topic."""

from __future__ import annotations

import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.distribution.errors import FrameError
from badgercart.distribution.messages import (
    FRAME_HEADER_BYTES,
    MAGIC,
    MAX_ENTRIES,
    MAX_FRAME_BYTES,
    MAX_NAME_LENGTH,
    MAX_TOPICS,
    MAX_VALUE_BYTES,
    PROTOCOL_VERSION,
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
from badgercart.distribution.topic import Topic
from tests.distribution.support import subscribe, topic_parts

CODEC = Codec("budapest", b"sixteen or more bytes")
ENTRIES = (Entry("s-1", b"{}"), Entry("s-2", None))
CHANGE = Change(3, 9, "servers/a", ENTRIES)
MESSAGES = [
    Hello("store-1", True),
    VoteRequest(3, 2, 9, True),
    VoteResponse(3, True, False),
    AppendEntries(3, 8, (CHANGE, Change(3, 10, "", ())), 8, 12.5),
    AppendResponse(3, 9, 8, False),
    InstallSnapshot(3, 9, 2, 1, 2, topic_parts(("servers/a", 4, 1 << 63, ENTRIES[:1]))),
    subscribe(("servers/a", 4, 1 << 63), ("servers/b", 0, 0), ("servers/c", RESEND, 0)),
    Snapshot("servers/a", 4, 1 << 63, 1, 2, ENTRIES[:1]),
    Delta("servers/a", 5, 7, ENTRIES),
    Heartbeat(1.5),
    Heartbeat(math.inf),
    Rejection("behind", "servers/a", "why"),
    Propose(1, "servers/a", ENTRIES, -1),
    ProposeResponse(1, 5, "", ""),
    StatusRequest(),
    Status("store-1", "leading", "store-1", 3, 9, 9, 215, 2, 40, 1.5),
]


def refusal_kind(data: bytes, codec: Codec = CODEC) -> str:
    with pytest.raises(FrameError) as caught:
        codec.decode(data)
    assert str(caught.value)
    return caught.value.kind


def framed(body: bytes) -> bytes:
    """Return a frame of this group with any body."""
    return MAGIC + bytes((PROTOCOL_VERSION,)) + CODEC.hash(body) + body


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_each_message_is_decoded_as_encoded(message: Message) -> None:
    assert CODEC.decode(CODEC.encode(message)) == message


def test_foreign_and_damaged_frames_are_refused_by_kind() -> None:
    good = CODEC.encode(Hello("n", False))
    assert refusal_kind(good, Codec("vienna", b"sixteen or more bytes")) == "forged"
    assert refusal_kind(good, Codec("budapest", b"another sixteen bytes")) == "forged"
    assert refusal_kind(good[:2] + bytes((PROTOCOL_VERSION + 1,)) + good[3:]) == "version"
    assert refusal_kind(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n") == "stray"
    assert refusal_kind(b"") == "stray" and refusal_kind(good[:FRAME_HEADER_BYTES]) == "stray"
    assert refusal_kind(good + bytes(MAX_FRAME_BYTES)) == "oversized"
    # Any change of the hash or of the hashed message is detected.
    for position in range(3, len(good)):
        assert (
            refusal_kind(good[:position] + bytes((good[position] ^ 1,)) + good[position + 1 :])
            == "forged"
        )
    assert refusal_kind(good[:-1]) == "forged"


@pytest.mark.parametrize(
    "body",
    [
        b"\xc1",
        msgspec.msgpack.encode(["nothing known", 1]),
        msgspec.msgpack.encode(["h", "n"]),
        msgspec.msgpack.encode(["h", 1, True]),
        msgspec.msgpack.encode(["b", "old"]),
        msgspec.msgpack.encode({"type": "h"}),
        msgspec.msgpack.encode(["c", "t", 1, 2, [["k", "text"]]])[:-3],
        b"\x91" * 5000,
    ],
)
def test_an_authentic_frame_without_a_message_is_refused(body: bytes) -> None:
    assert refusal_kind(framed(body)) == "malformed"


LONG_NAME = "x" * (MAX_NAME_LENGTH + 1)
INVALID_MESSAGES: list[tuple[Message, str]] = [
    (Delta("t", 1, 0, (Entry("k", bytes(MAX_VALUE_BYTES + 1)),)), "oversized"),
    (Propose(1, "t", tuple(Entry(f"k{i}", b"") for i in range(MAX_ENTRIES + 1)), -1), "oversized"),
    (subscribe(*((f"t{i}", 0, 0) for i in range(MAX_TOPICS + 1))), "oversized"),
    (
        Snapshot("t", 1, 0, 1, 1, tuple(Entry(f"k{i}", bytes(MAX_VALUE_BYTES)) for i in range(17))),
        "oversized",
    ),
    (Hello("", False), "malformed"),
    (Hello(LONG_NAME, False), "malformed"),
    (Delta(LONG_NAME, 1, 0, ()), "malformed"),
    (Delta("t\n", 1, 0, ()), "malformed"),
    (Snapshot("t", 1, 0, 1, 1, (Entry("", b""),)), "malformed"),
    (subscribe(("", 0, 0)), "malformed"),
    (AppendEntries(1, 0, (Change(1, 1, "", ENTRIES),), 0), "malformed"),
    (InstallSnapshot(1, 1, 1, 1, 1, topic_parts((LONG_NAME, 1, 0, ()))), "malformed"),
]


@pytest.mark.parametrize(("message", "kind"), INVALID_MESSAGES)
def test_messages_over_a_limit_are_refused_by_sender_and_receiver(
    message: Message, kind: str
) -> None:
    with pytest.raises(FrameError) as caught:
        CODEC.encode(message)
    assert caught.value.kind == kind
    assert refusal_kind(framed(msgspec.msgpack.encode(message))) == kind


@given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_refused(body: bytes) -> None:
    for data in (body, framed(body)):
        try:
            CODEC.decode(data)
        except FrameError as refused:
            assert refused.kind in {"stray", "forged", "version", "malformed", "oversized"}


KEYS = st.sampled_from(["a", "b", "c", "é", "dd"])
CHANGES = st.lists(st.builds(Entry, KEYS, st.one_of(st.none(), st.binary(max_size=3))), max_size=6)


@given(st.lists(CHANGES, max_size=8))
def test_a_digest_depends_on_the_entries_alone(
    changes: list[list[Entry]],
) -> None:
    topic, values = Topic(), dict[str, bytes]()
    for number, entries in enumerate(changes, 1):
        expected_digest = topic.digest_with(entries)
        topic.apply(entries)
        for entry in entries:
            values.pop(entry.key, None)
            if entry.value is not None:
                values[entry.key] = entry.value
        assert (
            topic.digest == expected_digest and topic.version == number and topic.entries == values
        )
        assert topic.digest == Topic(0, [Entry(k, v) for k, v in reversed(values.items())]).digest
        changed = {**values, "a": values.get("a", b"") + b"!"}
        assert topic.digest != Topic(0, [Entry(k, v) for k, v in changed.items()]).digest


@pytest.mark.parametrize(
    ("count", "size"),
    [(0, 0), (1, MAX_VALUE_BYTES), (MAX_ENTRIES + 1, 1), (40, MAX_VALUE_BYTES), (20_000, 200)],
)
def test_parts_of_a_topic_fit_a_frame_and_hold_all_entries(count: int, size: int) -> None:
    topic = Topic(1, (Entry("é" * 100 + str(i), bytes(size)) for i in range(count)))
    parts = list(topic.parts())
    for number, part in enumerate(parts, 1):
        assert (
            len(
                CODEC.encode(
                    Snapshot("t" * MAX_NAME_LENGTH, 1, topic.digest, number, len(parts), part)
                )
            )
            <= MAX_FRAME_BYTES
        )
    assert len(parts) >= 1 and (count == 0 or all(parts))
    assert Topic(1, [entry for part in parts for entry in part]).entries == topic.entries
