"""Captures what the policy is told, as a component of a node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path as FilePath
from typing import TYPE_CHECKING

from badgercart.app.component import CheckedFile, ComponentDeclaration, ComponentHost, ComponentKind
from badgercart.app.faults import Path
from badgercart.capture.log_events import GAP, OFF, WRITING
from badgercart.capture.settings import CaptureSettings

if TYPE_CHECKING:
    from badgercart.capture.writer import CaptureWriter

FLUSH_INTERVAL_S = 0.2


class CaptureComponent:
    """Logs decisions from before the policy is told anything until all is drained."""

    def __init__(self, host: ComponentHost, settings: CaptureSettings) -> None:
        """Begin the first segment. Raises NotADirectoryError where there is no such folder."""
        from badgercart.capture.writer import CaptureWriter

        self.host, self.folder = host, FilePath(host.folder) / settings.folder
        if not self.folder.is_dir():
            raise NotADirectoryError(f"{self.folder} is no folder")
        config = host.config
        self.capture: CaptureWriter = CaptureWriter(
            settings,
            self.folder,
            config.name,
            host.pipeline.policy,
            config.seed,
            self.gap,
            self.failed,
        )
        host.pipeline.decision_log = self.capture.tap
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
        from badgercart.capture.streams import record_calls, state_note

        for name, machine in self.host.protocol_machines.items():
            self.capture.snapshots.append(partial(state_note, name, machine))
            self.capture.note(state_note(name, machine))
            self.undo.append(record_calls(name, machine, self.capture.note))

    async def start(self) -> None:
        """Begin with what the policy was given by now, and write now and then."""
        self.capture.begin_anew()
        self.join_streams()
        WRITING(folder=str(self.folder))
        self.flush()

    def flush(self) -> None:
        """Hand over what has gathered, and set the timer of the next time."""
        self.capture.flush()
        self.timer = self.host.loop.call_later(FLUSH_INTERVAL_S, self.flush)

    def gap(self, count: int) -> None:
        """Log that so many events were not captured."""
        GAP(count=count)

    def failed(self, error: OSError) -> None:
        """Log that the folder can't be written, and capture nothing more."""
        OFF(error=error)
        self.leave()

    def leave(self) -> None:
        """Capture nothing more."""
        self.host.pipeline.decision_log = None
        while self.undo:
            self.undo.pop()()

    def prepare(self, settings: CaptureSettings) -> Callable[[], None] | None:
        """Return nothing: no setting changes without a restart."""
        return None

    async def drain(self, until: float) -> None:
        """Go on: what is still decided is captured, too."""

    def close(self) -> None:
        """Close the last segment."""
        if self.timer is not None:
            self.timer.cancel()
        if self.host.pipeline.decision_log is not None:
            self.leave()
            self.capture.close()


def check(settings: CaptureSettings, file: CheckedFile) -> Iterator[tuple[Path, str]]:
    """Give what is wrong with settings, by their path."""
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
