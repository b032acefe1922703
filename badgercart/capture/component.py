"""The capture as a part of an installation."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path as FilePath
from typing import TYPE_CHECKING

from badgercart.app.component import Checked, ComponentDeclaration, ComponentHost, ComponentKind
from badgercart.app.faults import Path
from badgercart.capture.log_events import GAP, OFF, WRITING
from badgercart.capture.settings import CaptureSettings

if TYPE_CHECKING:
    from badgercart.capture.writer import Capture

FLUSH = 0.2  # s between looks for what has gathered


class CaptureComponent:
    """Taps the join from before anything is told to the policy until all is drained."""

    def __init__(self, host: ComponentHost, settings: CaptureSettings) -> None:
        from badgercart.capture.writer import Capture

        self.host, self.folder = host, FilePath(host.folder) / settings.folder
        if not self.folder.is_dir():
            raise NotADirectoryError(f"{self.folder} is no folder")
        config = host.config
        self.capture: Capture = Capture(
            settings,
            self.folder,
            config.name,
            host.pipeline.policy,
            config.seed,
            self.gap,
            self.failed,
        )
        host.pipeline.driver.decision_log = self.capture.tap
        self.timer: asyncio.TimerHandle | None = None
        self.undo: list[Callable[[], None]] = []
        host.metrics.counter(
            "badgercart_capture_events", "Events that were captured.", lambda: self.capture.total
        )
        host.metrics.gauge(
            "badgercart_capture_waiting_bytes",
            "Bytes that wait for the disk.",
            lambda: self.capture.disk.waiting + self.capture.out_size,
        )

    def join_streams(self) -> None:
        """Have the other deciding machines on the same tap; they are all made by now."""
        from badgercart.capture.streams import snapshot, watch

        for name, machine in self.host.machines.items():
            self.capture.snapshots.append(partial(snapshot, name, machine))
            self.capture.note(snapshot(name, machine))
            self.undo.append(watch(name, machine, self.capture.note))

    async def start(self) -> None:
        self.capture.begin_anew()
        self.join_streams()
        WRITING(folder=str(self.folder))
        self.flush()

    def flush(self) -> None:
        self.capture.flush()
        self.timer = self.host.loop.call_later(FLUSH, self.flush)

    def gap(self, count: int) -> None:
        GAP(count=count)

    def failed(self, error: OSError) -> None:
        OFF(error=error)
        self.leave()

    def leave(self) -> None:
        self.host.pipeline.driver.decision_log = None
        while self.undo:
            self.undo.pop()()

    def prepare(self, settings: CaptureSettings) -> Callable[[], None] | None:
        """Nothing here changes without a restart."""
        return None

    async def drain(self, until: float) -> None:
        """What fronts still decide meanwhile is captured, too."""

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.host.pipeline.driver.decision_log is not None:
            self.leave()
            self.capture.close()


def check(settings: CaptureSettings, file: Checked) -> Iterator[tuple[Path, str]]:
    if settings.keep_bytes < 2 * settings.segment_bytes:
        yield ("keep_bytes",), "holds no two segments"


COMPONENTS = (
    ComponentDeclaration(
        name="capture",
        key=("capture",),
        kind=ComponentKind.SERVICE,
        settings=CaptureSettings,
        about="a capture of all that the policy is told, in a ring of segments",
        build=CaptureComponent,
        check=check,
        extra="capture",
        libraries=("msgspec",),
        commands="badgercart.capture.commands:capture",
    ),
)
