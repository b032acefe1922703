"""The log and the metrics tell when the process comes near its memory limit."""

from __future__ import annotations

import logging
from typing import Any

import pytest

from badgercart.core.memory_budget import (
    MIN_BUFFERED_MESSAGE_BYTES,
    MIN_READ_BYTES,
    MemoryBudget,
)
from badgercart.core.memory_watch import MemoryWatch


class NoTimer:
    """A timer that never fires."""

    def cancel(self) -> None: ...


class NoTimers:
    """Timers that never fire."""

    def call_later(self, delay_s: float, callback: Any, *args: Any) -> NoTimer:
        return NoTimer()


@pytest.mark.parametrize(("limit_mb", "warned"), [(1.0, True), (1e6, False)])
def test_a_process_near_its_memory_limit_says_so(
    limit_mb: float, warned: bool, caplog: pytest.LogCaptureFixture
) -> None:
    budget = MemoryBudget(1 << 20)
    budget.buffered_bytes = 12345
    watch = MemoryWatch(limit_mb, budget, NoTimers())
    with caplog.at_level(logging.WARNING):
        watch.read_periodically()
    watch.close()
    assert watch.resident_bytes > 1_000_000 and watch.peak_bytes == watch.resident_bytes
    assert ("12345 of them buffered" in caplog.text) is warned


@pytest.mark.parametrize(("resident_mb", "trims"), [(58, 3), (56, 1)], ids=["over", "within"])
def test_the_heap_gives_back_what_is_free_at_each_reading_over_the_usable_part(
    resident_mb: int, trims: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a process that comes over its limit while its heap has free pages.
    watch = MemoryWatch(64.0, MemoryBudget(1 << 20), NoTimers())
    watch.limit_process(lambda _: 0)
    watch.trimmed_bytes, trimmed = 0, 0

    def trim() -> None:
        nonlocal trimmed
        trimmed += 1

    watch.trim = trim
    monkeypatch.setattr(watch, "read", lambda: resident_mb * 1_000_000)
    for _ in range(3):
        watch.trimmed_bytes = 0
        watch.observe(watch.read())
        watch.act(lambda _: 0)
    watch.close()
    assert trimmed == trims


def test_headroom_is_not_given_out_twice_to_what_connections_may_take_at_least() -> None:
    # Guards against a crowd whose smallest reads alone exceed what is left.
    budget = MemoryBudget(64 << 20)
    budget.connection_count = 500
    budget.set_headroom(2_000_000)
    assert budget.read_limit_bytes == MIN_READ_BYTES
    assert budget.message_limit_bytes == MIN_BUFFERED_MESSAGE_BYTES
