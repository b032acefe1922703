"""How much is held: bounds that hold for any number of messages and streams."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from badgercart.core.memory_budget import (
    MAX_BUFFERED_MESSAGE_BYTES,
    MAX_STREAM_WINDOW_BYTES,
    MIN_BUFFERED_MESSAGE_BYTES,
    MIN_STREAM_WINDOW_BYTES,
    MemoryBudget,
    budget_bytes,
)
from badgercart.core.streams import Upload


@given(st.floats(32, 192), st.integers(0, 1000), st.integers(0, 1000))
def test_what_is_held_and_what_streams_stay_within_the_room(
    memory_mb: float, messages: int, streams: int
) -> None:
    room = MemoryBudget(budget_bytes(memory_mb))
    for _ in range(messages):
        room.buffered_bytes += room.message_limit_bytes
    room.stream_count = streams
    assert room.buffered_bytes <= room.total_bytes // 2 + messages * MIN_BUFFERED_MESSAGE_BYTES
    # A window, and what was read at once beyond it.
    assert (
        streams * room.stream_window_bytes
        <= room.total_bytes // 4 + streams * MIN_STREAM_WINDOW_BYTES
    )
    assert (
        MIN_BUFFERED_MESSAGE_BYTES <= room.message_limit_bytes <= MAX_BUFFERED_MESSAGE_BYTES
        and MIN_STREAM_WINDOW_BYTES <= room.stream_window_bytes <= MAX_STREAM_WINDOW_BYTES
    )


@given(st.lists(st.one_of(st.binary(min_size=1, max_size=50), st.none()), max_size=30))
def test_an_upload_gives_out_what_it_was_given_and_says_when_there_is_room(
    steps: list[bytes | None],
) -> None:
    upload, given_, got, rooms = Upload(None, lambda: 64), bytearray(), bytearray(), 0

    def room() -> None:
        nonlocal rooms
        rooms += 1

    upload.on_space = room
    for step in steps:
        if step is None:
            waits = upload.buffered_bytes
            got += upload.read()
            assert upload.buffered_bytes == 0 and rooms == bool(waits)
            rooms = 0
            assert upload.consumed is bool(got)
        else:
            given_ += step
            assert upload.feed(step) is (upload.buffered_bytes < 64)
    upload.finish()
    assert not upload.exhausted or not upload.chunks
    assert bytes(got + upload.read()) == bytes(given_) and upload.exhausted
