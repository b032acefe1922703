"""What was learned, given back at the start, saved now and then and at the end."""

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

MAX_CLOCK_SKEW_MS = 5000.0  # by which a file may be younger than now: clocks are set
FINAL_SAVE_TIMEOUT_S = 2.0
YIELD_S = 0.0002


def yield_interpreter() -> None:
    """Let the loop have the interpreter at once, not after its switch interval of 5 ms."""
    time.sleep(YIELD_S)


class StatisticsComponent:
    """Keeps what the policy learned.

    Nothing that is wrong with the folder costs a request: it is logged, and the node runs as
    without it.
    """

    def __init__(self, host: ComponentHost, settings: LearningSettings) -> None:
        """Lock the folder and give its content to the policy, before this is told anything."""
        from badgercart.statistics.store import Folder, FolderLock

        self.host, self.settings = host, settings
        self.folder = Path(host.folder) / settings.folder
        self.files: Folder = Folder(self.folder)
        self.lock: FolderLock | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.saving: asyncio.Future[None] | None = None
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
        """Give the policy what is kept, as far as it can be used."""
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
            statistics = self._aged_statistics(loaded.snapshot, age_ms)
            import_statistics(self.host.pipeline.policy, statistics)
        except (SnapshotError, StatisticsMismatchError) as error:
            UNUSED(cause=str(error))
        else:
            RESTORED(servers=len(statistics.endpoints), age_s=max(0, round(age_ms / 1000)))

    def _aged_statistics(self, snapshot: Snapshot, age_ms: float) -> PolicyStatistics:
        """Return what is left of a snapshot. Raises SnapshotError where it can't be used."""
        from badgercart.statistics.ageing import decay_statistics
        from badgercart.statistics.errors import SnapshotError
        from badgercart.statistics.snapshot import extract_statistics

        if age_ms < -MAX_CLOCK_SKEW_MS:
            raise SnapshotError(f"it is {-age_ms / 1000:.0f} s from the future")
        if age_ms > self.settings.oldest_s * 1000:
            raise SnapshotError(f"it is {age_ms / 1000:.0f} s old")
        config = self.host.config
        kept = extract_statistics(snapshot, config, self.host.reader.unix_offset)
        return decay_statistics(kept, age_ms, config.settings)

    async def start(self) -> None:
        """Begin to save now and then."""
        if self.lock is not None:
            self.schedule_save()

    def schedule_save(self) -> None:
        """Set the timer of the next save."""
        self.timer = self.host.loop.call_later(self.settings.every_s, self.begin_save)

    def begin_save(self) -> None:
        """Save, unless the last save is not done yet: a slow disk is not asked for more."""
        if self.saving is None or self.saving.done():
            self.saving = asyncio.ensure_future(self.save())
        self.schedule_save()

    async def save(self) -> None:
        """Copy what the policy knows, and write it on a thread: the loop waits for no disk."""
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
            TooLargeError: They take more than the operator allows.
            OSError: They can't be written.
        """
        from badgercart.statistics import store
        from badgercart.statistics.errors import TooLargeError
        from badgercart.statistics.snapshot import encode, make_snapshot

        offset = self.host.reader.unix_offset
        now_ms = time.time() * 1000
        data = encode(
            make_snapshot(statistics, self.host.config, now_ms, offset, yield_interpreter)
        )
        if len(data) > self.settings.most_bytes:
            raise TooLargeError(len(data))
        store.save(self.files, data)

    def prepare(self, settings: LearningSettings) -> Callable[[], None] | None:
        """Return what puts other settings in force; the folder stays."""

        def commit() -> None:
            self.settings = settings.model_copy(update={"folder": self.settings.folder})

        return commit

    async def drain(self, _until: float) -> None:
        """Save a last time: all requests are answered by now, and nothing more can be learned."""
        if self.timer is not None:
            self.timer.cancel()
        if self.lock is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FINAL_SAVE_TIMEOUT_S):
                    if self.saving is not None:
                        await self.saving
                    await self.save()

    def release(self) -> None:
        """Let another process have the folder; nothing is saved any more."""
        if self.lock is not None:
            self.lock.release()
            self.lock = None

    def close(self) -> None:
        """End at once."""
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
