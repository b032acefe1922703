"""How much is held: bounds that hold for any number of messages and streams."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from badgercart.core.memory_budget import (
    HOLD,
    LEAST_HOLD,
    LEAST_WINDOW,
    WINDOW,
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
        room.held += room.hold
    room.streams = streams
    assert room.held <= room.total // 2 + messages * LEAST_HOLD
    # A window, and what was read at once beyond it.
    assert streams * room.window <= room.total // 4 + streams * LEAST_WINDOW
    assert LEAST_HOLD <= room.hold <= HOLD and LEAST_WINDOW <= room.window <= WINDOW


@given(st.lists(st.one_of(st.binary(min_size=1, max_size=50), st.none()), max_size=30))
def test_an_upload_gives_out_what_it_was_given_and_says_when_there_is_room(
    steps: list[bytes | None],
) -> None:
    upload, given_, got, rooms = Upload(None, lambda: 64), bytearray(), bytearray(), 0

    def room() -> None:
        nonlocal rooms
        rooms += 1

    upload.on_room = room
    for step in steps:
        if step is None:
            waits = upload.size
            got += upload.read()
            assert upload.size == 0 and rooms == bool(waits)
            rooms = 0
            assert upload.spent is bool(got)
        else:
            given_ += step
            assert upload.feed(step) is (upload.size < 64)
    upload.finish()
    assert not upload.ended or not upload.parts
    assert bytes(got + upload.read()) == bytes(given_) and upload.ended
