"""Saves the policy's statistics periodically and at the end, and restores them at the start."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from badgercart.app.component import ComponentDeclaration, ComponentHost, ComponentKind
from badgercart.statistics.log_events import FAILED, OFF, RESTORED, UNUSED
from badgercart.statistics.settings import LearningSettings

if TYPE_CHECKING:
    from badgercart.policy.statistics import PolicyStatistics
    from badgercart.statistics.snapshot import Snapshot
    from badgercart.statistics.store import Folder, FolderLock

# A file may be from this far in the future, since the system clock may have been set back.
MAX_CLOCK_SKEW_MS = 5000.0
FINAL_SAVE_TIMEOUT_S = 2.0
INTERPRETER_YIELD_S = 0.0002


def yield_interpreter() -> None:
    """Let the event loop's thread run at once, not after the switch interval of 5 ms."""
    time.sleep(INTERPRETER_YIELD_S)


class StatisticsComponent:
    """Saves and restores the policy's statistics.

    A fault of the folder affects no request: it is logged, and the node runs as without the
    component.
    """

    def __init__(self, host: ComponentHost, settings: LearningSettings) -> None:
        """Lock the folder and restore its snapshot, before the policy handles any event."""
        from badgercart.statistics.store import Folder, FolderLock

        self.host, self.settings = host, settings
        self.folder = Path(host.folder) / settings.folder
        self.files: Folder = Folder(self.folder)
        self.lock: FolderLock | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.save_task: asyncio.Future[None] | None = None
        self.saves = self.failures = 0
        try:
            self.lock = FolderLock(self.folder)
        except OSError as error:
            OFF(cause=f"{self.folder}: {error.strerror or error}")
            return
        self.restore()
        host.metrics.counter(
            "badgercart_learning_saves", "Saves of what was learned.", lambda: self.saves
        )
        host.metrics.counter(
            "badgercart_learning_failures", "Saves that failed.", lambda: self.failures
        )

    def restore(self) -> None:
        """Restore the policy's statistics from the stored snapshot, if it can be used."""
        from badgercart.policy.errors import StatisticsMismatchError
        from badgercart.policy.statistics import import_statistics
        from badgercart.statistics import store
        from badgercart.statistics.errors import SnapshotError

        loaded = store.load(self.files)
        for fault in loaded.faults:
            UNUSED(cause=fault)
        if loaded.has_newer_version:
            OFF(cause="the file is of a later version, and is left alone")
            self.release()
        if loaded.snapshot is None:
            return
        age_ms = time.time() * 1000 - loaded.snapshot.saved_ms
        try:
            statistics = self._decayed_statistics(loaded.snapshot, age_ms)
            import_statistics(self.host.pipeline.policy, statistics)
        except (SnapshotError, StatisticsMismatchError) as error:
            UNUSED(cause=str(error))
        else:
            RESTORED(servers=len(statistics.endpoints), age_s=max(0, round(age_ms / 1000)))

    def _decayed_statistics(self, snapshot: Snapshot, age_ms: float) -> PolicyStatistics:
        """Return a snapshot's statistics after the decay. Raises SnapshotError if it is unusable."""
        from badgercart.statistics.ageing import decay_statistics
        from badgercart.statistics.errors import SnapshotError
        from badgercart.statistics.snapshot import extract_statistics

        if age_ms < -MAX_CLOCK_SKEW_MS:
            raise SnapshotError(f"it is {-age_ms / 1000:.0f} s from the future")
        if age_ms > self.settings.oldest_s * 1000:
            raise SnapshotError(f"it is {age_ms / 1000:.0f} s old")
        config = self.host.config
        stored = extract_statistics(snapshot, config, self.host.reader.unix_offset_ms)
        return decay_statistics(stored, age_ms, config.settings)

    async def start(self) -> None:
        """Start the periodic saves."""
        if self.lock is not None:
            self.schedule_save()

    def schedule_save(self) -> None:
        """Set the timer of the next save."""
        self.timer = self.host.loop.call_later(self.settings.every_s, self.begin_save)

    def begin_save(self) -> None:
        """Start a save unless one is still in progress, so that a slow disk gets no more work."""
        if self.save_task is None or self.save_task.done():
            self.save_task = asyncio.ensure_future(self.save())
        self.schedule_save()

    async def save(self) -> None:
        """Copy the policy's statistics, and write them on a thread to keep the event loop free."""
        from badgercart.policy.statistics import export_statistics

        statistics = export_statistics(self.host.pipeline.policy, self.settings.keys)
        try:
            await asyncio.to_thread(self.write_snapshot, statistics)
        except (OSError, ValueError) as error:
            self.failures += 1
            FAILED(cause=error)
        else:
            self.saves += 1

    def write_snapshot(self, statistics: PolicyStatistics) -> None:
        """Write statistics to the folder.

        Raises:
            TooLargeError: The snapshot is larger than the operator allows.
            OSError: The snapshot can't be written.
        """
        from badgercart.statistics import store
        from badgercart.statistics.errors import TooLargeError
        from badgercart.statistics.snapshot import encode, make_snapshot

        unix_offset_ms = self.host.reader.unix_offset_ms
        now_ms = time.time() * 1000
        data = encode(
            make_snapshot(statistics, self.host.config, now_ms, unix_offset_ms, yield_interpreter)
        )
        if len(data) > self.settings.most_bytes:
            raise TooLargeError(len(data))
        store.save(self.files, data)

    def prepare(self, settings: LearningSettings) -> Callable[[], None] | None:
        """Return a function that applies other settings, apart from the folder."""

        def commit() -> None:
            self.settings = settings.model_copy(update={"folder": self.settings.folder})

        return commit

    async def drain(self, _deadline_ms: float) -> None:
        """Save a last time, after all requests have ended and nothing more can be learned."""
        if self.timer is not None:
            self.timer.cancel()
        if self.lock is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FINAL_SAVE_TIMEOUT_S):
                    if self.save_task is not None:
                        await self.save_task
                    await self.save()

    def release(self) -> None:
        """Unlock the folder; nothing is saved from now on."""
        if self.lock is not None:
            self.lock.release()
            self.lock = None

    def close(self) -> None:
        """Stop at once, without a last save."""
        if self.timer is not None:
            self.timer.cancel()
        self.release()


COMPONENTS = (
    ComponentDeclaration(
        name="learning",
        key=("learning",),
        kind=ComponentKind.SERVICE,
        settings=LearningSettings,
        about="what was learned, kept over a restart",
        build=StatisticsComponent,
        extra="learning",
        libraries=("msgspec",),
        reloads=("every_s", "keys", "most_bytes", "oldest_s"),
        commands="badgercart.statistics.commands:learned",
    ),
)
