"""Tests the bounds of buffered memory for any number of messages and streams."""

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
def test_buffered_messages_and_streams_stay_within_the_budget(
    memory_mb: float, messages: int, streams: int
) -> None:
    budget = MemoryBudget(budget_bytes(memory_mb))
    for _ in range(messages):
        budget.held += budget.hold
    budget.streams = streams
    assert budget.held <= budget.total // 2 + messages * LEAST_HOLD
    # A stream buffers its window, and beyond it what a single read returned.
    assert streams * budget.window <= budget.total // 4 + streams * LEAST_WINDOW
    assert LEAST_HOLD <= budget.hold <= HOLD and LEAST_WINDOW <= budget.window <= WINDOW


@given(st.lists(st.one_of(st.binary(min_size=1, max_size=50), st.none()), max_size=30))
def test_an_upload_returns_what_it_was_fed_and_notifies_of_capacity(
    steps: list[bytes | None],
) -> None:
    upload, fed, received, notifications = Upload(None, lambda: 64), bytearray(), bytearray(), 0

    def on_room() -> None:
        nonlocal notifications
        notifications += 1

    upload.on_room = on_room
    for step in steps:
        if step is None:
            size = upload.size
            received += upload.read()
            assert upload.size == 0 and notifications == bool(size)
            notifications = 0
            assert upload.spent is bool(received)
        else:
            fed += step
            assert upload.feed(step) is (upload.size < 64)
    upload.finish()
    assert not upload.ended or not upload.parts
    assert bytes(received + upload.read()) == bytes(fed) and upload.ended
