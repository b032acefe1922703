"""The capture as a component of a node: opens, flushes and closes the capture writer."""

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
    """Captures all events of the policy, from before its first one until the node has drained."""

    def __init__(self, host: ComponentHost, settings: CaptureSettings) -> None:
        """Begin the first segment. Raises NotADirectoryError where there is no such folder."""
        from badgercart.capture.writer import CaptureWriter

        self.host, self.folder = host, FilePath(host.folder) / settings.folder
        if not self.folder.is_dir():
            raise NotADirectoryError(f"{self.folder} is no folder")
        config = host.config
        self.writer: CaptureWriter = CaptureWriter(
            settings,
            self.folder,
            config.name,
            host.pipeline.policy,
            config.seed,
            self.log_gap,
            self.on_write_failure,
        )
        host.pipeline.decision_log = self.writer.record_event
        self.flush_timer: asyncio.TimerHandle | None = None
        self.undo_recording: list[Callable[[], None]] = []
        host.metrics.counter(
            "badgercart_capture_events",
            "Events that were captured.",
            lambda: self.writer.total_events,
        )
        host.metrics.gauge(
            "badgercart_capture_waiting_bytes",
            "Bytes that wait for the disk.",
            lambda: self.writer.disk.queued_bytes + self.writer.buffered_bytes,
        )

    def record_machines(self) -> None:
        """Record the calls of the node's other state machines too; all of them exist by now."""
        from badgercart.capture.streams import record_calls, state_note

        for name, machine in self.host.captured_state_machines.items():
            self.writer.snapshots.append(partial(state_note, name, machine))
            self.writer.record_note(state_note(name, machine))
            self.undo_recording.append(record_calls(name, machine, self.writer.record_note))

    async def start(self) -> None:
        """Begin with the state that the policy was given so far, and flush periodically."""
        self.writer.restart_first_segment()
        self.record_machines()
        WRITING(folder=str(self.folder))
        self.flush()

    def flush(self) -> None:
        """Hand what is buffered over to the writer thread, and schedule the next flush."""
        self.writer.flush()
        self.flush_timer = self.host.loop.call_later(FLUSH_INTERVAL_S, self.flush)

    def log_gap(self, count: int) -> None:
        """Log how many events were not captured."""
        GAP(count=count)

    def on_write_failure(self, error: OSError) -> None:
        """Log that the folder can't be written, and stop capturing."""
        OFF(error=error)
        self.stop_recording()

    def stop_recording(self) -> None:
        """Detach the capture from the policy and the other state machines."""
        self.host.pipeline.decision_log = None
        while self.undo_recording:
            self.undo_recording.pop()()

    def prepare(self, settings: CaptureSettings) -> Callable[[], None] | None:
        """Return None: a reload applies no setting of the capture, only a restart does."""
        return None

    async def drain(self, deadline_ms: float) -> None:
        """Do nothing: what the policy decides while the node drains is captured too."""

    def close(self) -> None:
        """Close the last segment."""
        if self.flush_timer is not None:
            self.flush_timer.cancel()
        if self.host.pipeline.decision_log is not None:
            self.stop_recording()
            self.writer.close()


def check(settings: CaptureSettings, file: CheckedFile) -> Iterator[tuple[Path, str]]:
    """Yield the faults of the settings, each with its path."""
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
