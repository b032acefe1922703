"""Frames: what is refused, with nothing of it read; and a topic's digest and parts."""

from __future__ import annotations

import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.distribution.messages import (
    HEAD,
    MAGIC,
    MAX_ENTRIES,
    MAX_FRAME,
    MAX_TOPICS,
    MAX_VALUE,
    NAME,
    VERSION,
    WHOLE,
    Append,
    Appended,
    Beat,
    Change,
    Codec,
    Delta,
    Entry,
    Hello,
    Message,
    No,
    Propose,
    Proposed,
    Refused,
    State,
    Status,
    StatusRequest,
    Subscribe,
    Vote,
    VoteRequest,
    Whole,
)
from badgercart.distribution.topic import Topic

CODEC = Codec("budapest", b"sixteen or more bytes")
ENTRIES = (Entry("s-1", b"{}"), Entry("s-2", None))
CHANGE = Change(3, 9, "servers/a", ENTRIES)
EACH = [
    Hello("store-1", True),
    VoteRequest(3, 2, 9, True),
    Vote(3, True, False),
    Append(3, 8, (CHANGE, Change(3, 10, "", ())), 8, 12.5),
    Appended(3, 9, 8, False),
    State(3, 9, 2, 1, 2, (("servers/a", 4, 1 << 63, ENTRIES[:1]),)),
    Subscribe((("servers/a", 4, 1 << 63), ("servers/b", 0, 0), ("servers/c", WHOLE, 0))),
    Whole("servers/a", 4, 1 << 63, 1, 2, ENTRIES[:1]),
    Delta("servers/a", 5, 7, ENTRIES),
    Beat(1.5),
    Beat(math.inf),
    No("behind", "servers/a", "why"),
    Propose(1, "servers/a", ENTRIES, -1),
    Proposed(1, 5, "", ""),
    StatusRequest(),
    Status("store-1", "leading", "store-1", 3, 9, 9, 215, 2, 40, 1.5),
]


def refusal(data: bytes, codec: Codec = CODEC) -> str:
    with pytest.raises(Refused) as caught:
        codec.decode(data)
    assert str(caught.value)
    return caught.value.kind


def framed(body: bytes) -> bytes:
    """A frame of this group around anything."""
    return MAGIC + bytes((VERSION,)) + CODEC.tag(body) + body


@pytest.mark.parametrize("message", EACH, ids=lambda message: type(message).__name__)
def test_each_message_comes_through(message: Message) -> None:
    assert CODEC.decode(CODEC.encode(message)) == message


def test_strangers_versions_and_spoilt_frames_are_refused_by_their_kinds() -> None:
    good = CODEC.encode(Hello("n", False))
    assert refusal(good, Codec("vienna", b"sixteen or more bytes")) == "forged"
    assert refusal(good, Codec("budapest", b"another sixteen bytes")) == "forged"
    assert refusal(good[:2] + bytes((VERSION + 1,)) + good[3:]) == "version"
    assert refusal(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n") == "stray"
    assert refusal(b"") == "stray" and refusal(good[:HEAD]) == "stray"
    assert refusal(good + bytes(MAX_FRAME)) == "oversized"
    for at in range(3, len(good)):  # any bit of the hash or of what it is of
        assert refusal(good[:at] + bytes((good[at] ^ 1,)) + good[at + 1 :]) == "forged"
    assert refusal(good[:-1]) == "forged"


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
def test_what_is_no_message_is_refused_though_its_hash_is_right(body: bytes) -> None:
    assert refusal(framed(body)) == "malformed"


LONG = "x" * (NAME + 1)
OVER: list[tuple[Message, str]] = [
    (Delta("t", 1, 0, (Entry("k", bytes(MAX_VALUE + 1)),)), "oversized"),
    (Propose(1, "t", tuple(Entry(f"k{i}", b"") for i in range(MAX_ENTRIES + 1)), -1), "oversized"),
    (Subscribe(tuple((f"t{i}", 0, 0) for i in range(MAX_TOPICS + 1))), "oversized"),
    (
        Whole("t", 1, 0, 1, 1, tuple(Entry(f"k{i}", bytes(MAX_VALUE)) for i in range(17))),
        "oversized",
    ),
    (Hello("", False), "malformed"),
    (Hello(LONG, False), "malformed"),
    (Delta(LONG, 1, 0, ()), "malformed"),
    (Delta("t\n", 1, 0, ()), "malformed"),
    (Whole("t", 1, 0, 1, 1, (Entry("", b""),)), "malformed"),
    (Subscribe((("", 0, 0),)), "malformed"),
    (Append(1, 0, (Change(1, 1, "", ENTRIES),), 0), "malformed"),
    (State(1, 1, 1, 1, 1, ((LONG, 1, 0, ()),)), "malformed"),
]


@pytest.mark.parametrize(("message", "kind"), OVER)
def test_what_is_over_a_bound_is_refused_at_both_ends(message: Message, kind: str) -> None:
    with pytest.raises(Refused) as caught:
        CODEC.encode(message)
    assert caught.value.kind == kind
    assert refusal(framed(msgspec.msgpack.encode(message))) == kind


@given(st.binary(max_size=200))
def test_any_bytes_are_refused_or_a_message(body: bytes) -> None:
    for data in (body, framed(body)):
        try:
            CODEC.decode(data)
        except Refused as refused:
            assert refused.kind in {"stray", "forged", "version", "malformed", "oversized"}


KEYS = st.sampled_from(["a", "b", "c", "é", "dd"])
CHANGES = st.lists(st.builds(Entry, KEYS, st.one_of(st.none(), st.binary(max_size=3))), max_size=6)


@given(st.lists(CHANGES, max_size=8))
def test_a_digest_is_that_of_the_entries_by_whatever_way_they_came(
    changes: list[list[Entry]],
) -> None:
    topic, plain = Topic(), dict[str, bytes]()
    for number, entries in enumerate(changes, 1):
        foretold = topic.digest_with(entries)
        topic.change(entries)
        for entry in entries:
            plain.pop(entry.key, None)
            if entry.value is not None:
                plain[entry.key] = entry.value
        assert topic.digest == foretold and topic.number == number and topic.entries == plain
        assert topic.digest == Topic(0, [Entry(k, v) for k, v in reversed(plain.items())]).digest
        changed = {**plain, "a": plain.get("a", b"") + b"!"}
        assert topic.digest != Topic(0, [Entry(k, v) for k, v in changed.items()]).digest


@pytest.mark.parametrize(
    ("count", "size"),
    [(0, 0), (1, MAX_VALUE), (MAX_ENTRIES + 1, 1), (40, MAX_VALUE), (20_000, 200)],
)
def test_parts_of_a_whole_fit_a_frame_and_are_all_of_it(count: int, size: int) -> None:
    topic = Topic(1, (Entry("é" * 100 + str(i), bytes(size)) for i in range(count)))
    parts = list(topic.parts())
    for at, part in enumerate(parts, 1):
        assert (
            len(CODEC.encode(Whole("t" * NAME, 1, topic.digest, at, len(parts), part))) <= MAX_FRAME
        )
    assert len(parts) >= 1 and (count == 0 or all(parts))
    assert Topic(1, [entry for part in parts for entry in part]).entries == topic.entries
