"""Watches the memory of the process, and acts before it comes to its limit.

The budget knows what is held for peers; what the process uses beside it shows in the resident
memory alone. So what the budget may still give out is limited by the measured memory too.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Collection

from badgercart.core.log_events import MEMORY_HIGH, MEMORY_RELIEVED
from badgercart.core.memory_budget import MemoryBudget
from badgercart.core.ports import Timers
from badgercart.core.process_memory import (
    heap_trimmer,
    open_statm,
    read_resident,
    read_resident_of,
)

INTERVAL_S = 0.05
# Of the limit; from there on the log has a line.
WARNING_SHARE = 0.8
# Of the limit; what is above is left for what grows between two readings.
USABLE_SHARE = 0.9
# Of the limit; from there on the heap gives back what is free in it.
TRIM_SHARE = 0.7
TRIM_INTERVAL_S = 0.5  # while the process is within what it may use
# The heap is searched once so much more than before is resident beside buffered messages.
MIN_FREE_BYTES = 1 << 20
IDLE_FREE_BYTES = 4 << 20  # far from the limit
CLOSED = -1  # in place of a descriptor


# Ends connections that hold memory and make no progress, for so many bytes; returns what they held.
Relieve = Callable[[int], int]


def no_other_processes() -> Collection[int]:
    """Return that this process has its limit for itself."""
    return ()


class MemoryWatch:
    """Reads the resident memory of the process many times a second.

    The file stays open, so that a lack of descriptors does not blind the watch. Until
    `limit_process` it only warns: a program that runs several nodes has other memory, too.

    Args:
        limit_mb: the process's limit.
        budget: what messages hold, for the log.
        timers: where the readings are scheduled.
    """

    def __init__(self, limit_mb: float, budget: MemoryBudget, timers: Timers) -> None:
        self.limit_bytes = int(limit_mb * 1_000_000)
        self.budget = budget
        self.timers = timers
        self.descriptor = open_statm()
        self.resident_bytes = self.peak_bytes = 0
        self.relieve: Relieve | None = None
        self.other_processes = no_other_processes
        self.trim: Callable[[], None] = heap_trimmer()
        self.trimmed_bytes = 0  # `unaccounted_bytes` after the heap was trimmed last
        self.readings_until_trim = 0
        self.timer = timers.call_later(0.0, self.read_periodically)

    def limit_process(
        self, relieve: Relieve, other_processes: Callable[[], Collection[int]] = no_other_processes
    ) -> None:
        """Keep the process inside its limit from now on.

        Args:
            relieve: called where there is too little room.
            other_processes: returns the ids of those that share the limit.
        """
        self.relieve, self.other_processes = relieve, other_processes
        self.observe(self.read())
        self.trimmed_bytes = self.unaccounted_bytes

    def read(self) -> int:
        """Return the resident memory of all processes that share the limit."""
        others = sum(read_resident_of(process_id) for process_id in self.other_processes())
        return read_resident(self.descriptor) + others

    def read_periodically(self) -> None:
        """Read the memory now and at each interval."""
        self.timer = self.timers.call_later(INTERVAL_S, self.read_periodically)
        self.observe(self.read())
        if self.relieve is not None:
            self.act(self.relieve)
        if self.resident_bytes > WARNING_SHARE * self.limit_bytes:
            MEMORY_HIGH(
                resident=self.resident_bytes,
                limit=self.limit_bytes,
                buffered=self.budget.buffered_bytes,
                streams=self.budget.stream_count,
            )

    def observe(self, resident_bytes: int) -> None:
        """Note a reading."""
        self.resident_bytes = resident_bytes
        self.peak_bytes = max(self.peak_bytes, resident_bytes)

    def act(self, relieve: Relieve) -> None:
        """Limit what the budget gives out by what is left, and free memory where that is too little."""
        self.readings_until_trim -= 1
        if self.has_free_heap and (self.readings_until_trim <= 0 or self.headroom_bytes < 0):
            self.readings_until_trim = round(TRIM_INTERVAL_S / INTERVAL_S)
            self.trim()
            self.observe(self.read())
            self.trimmed_bytes = self.unaccounted_bytes
        headroom = self.headroom_bytes
        self.budget.set_headroom(headroom)
        if headroom < 0 and (freed_bytes := relieve(-headroom)):
            MEMORY_RELIEVED(resident=self.resident_bytes, limit=self.limit_bytes, freed=freed_bytes)

    @property
    def headroom_bytes(self) -> int:
        """How much more may be used; negative where connections have to end."""
        return int(USABLE_SHARE * self.limit_bytes) - self.resident_bytes

    @property
    def has_free_heap(self) -> bool:
        """Whether the heap may have much that it can give back."""
        free_bytes = self.unaccounted_bytes - self.trimmed_bytes
        near_limit = self.resident_bytes > TRIM_SHARE * self.limit_bytes
        return free_bytes >= (MIN_FREE_BYTES if near_limit else IDLE_FREE_BYTES)

    @property
    def unaccounted_bytes(self) -> int:
        """What is resident beside buffered messages."""
        return self.resident_bytes - self.budget.buffered_bytes

    def close(self) -> None:
        """Stop reading. This is idempotent."""
        self.timer.cancel()
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = CLOSED
