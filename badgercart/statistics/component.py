"""What was learned as a part of an installation: given back at the start, saved in a while and at
the end."""

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
    from badgercart.statistics.store import Folder, Lock

FUTURE = 5000.0  # ms by which a file may be younger than now: clocks are set
PATIENCE = 2.0  # s for the last save


def give_way() -> None:
    """On the saving thread: let the loop have the interpreter now, not after its switch interval of
    5 ms."""
    time.sleep(0.0002)


class StatisticsComponent:
    """Nothing that is wrong with the folder costs a request: it is said, and the node runs as
    without it."""

    def __init__(self, host: ComponentHost, settings: LearningSettings) -> None:
        from badgercart.statistics.store import Folder, Lock

        self.host, self.settings = host, settings
        self.folder = Path(host.folder) / settings.folder
        self.files: Folder = Folder(self.folder)
        self.lock: Lock | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.saving: asyncio.Future[None] | None = None
        self.saves = self.failures = 0
        try:
            self.lock = Lock(self.folder)
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
        """Before anything is told to the policy."""
        from badgercart.policy.statistics import import_statistics
        from badgercart.statistics import ageing, snapshot, store

        loaded = store.load(self.files)
        for fault in loaded.faults:
            UNUSED(cause=fault)
        if loaded.newer:
            OFF(cause="the file is of a later version, and is left alone")
            self.release()
        if (kept := loaded.snapshot) is None:
            return
        age = time.time() * 1000 - kept.saved_ms
        try:
            if age < -FUTURE:
                raise snapshot.SnapshotError(f"it is {-age / 1000:.0f} s from the future")
            if age > self.settings.oldest_s * 1000:
                raise snapshot.SnapshotError(f"it is {age / 1000:.0f} s old")
            memory = snapshot.give(kept, self.host.config, self.host.reader.unix_offset)
            import_statistics(
                self.host.pipeline.policy, ageing.aged(memory, age, self.host.config.settings)
            )
        except (snapshot.SnapshotError, ValueError) as error:
            UNUSED(cause=str(error))
        else:
            RESTORED(servers=len(memory.servers), age_s=max(0, round(age / 1000)))

    async def start(self) -> None:
        if self.lock is not None:
            self.again()

    def again(self) -> None:
        self.timer = self.host.loop.call_later(self.settings.every_s, self.tick)

    def tick(self) -> None:
        if self.saving is None or self.saving.done():  # a slow disk is not asked for more
            self.saving = asyncio.ensure_future(self.save())
        self.again()

    async def save(self) -> None:
        """The copy is made here, all else on a thread: the loop waits for no disk."""
        from badgercart.policy.statistics import export_statistics

        memory = export_statistics(self.host.pipeline.policy, self.settings.keys)
        try:
            await asyncio.to_thread(self.write, memory)
        except (OSError, ValueError) as error:
            self.failures += 1
            FAILED(cause=error)
        else:
            self.saves += 1

    def write(self, memory: PolicyStatistics) -> None:
        from badgercart.statistics import snapshot, store

        offset = self.host.reader.unix_offset
        now = time.time() * 1000
        data = snapshot.encode(snapshot.take(memory, self.host.config, now, offset, give_way))
        if len(data) > self.settings.most_bytes:
            raise ValueError(f"it takes {len(data)} bytes, over most_bytes")
        store.save(self.files, data)

    def prepare(self, settings: LearningSettings) -> Callable[[], None] | None:
        def commit() -> None:
            self.settings = settings.model_copy(update={"folder": self.settings.folder})

        return commit

    async def drain(self, until: float) -> None:
        """All that was held is answered by now: this is the last that can be learned."""
        if self.timer is not None:
            self.timer.cancel()
        if self.lock is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PATIENCE):
                    if self.saving is not None:
                        await self.saving
                    await self.save()

    def release(self) -> None:
        if self.lock is not None:
            self.lock.release()
            self.lock = None

    def close(self) -> None:
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
