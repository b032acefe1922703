"""Writes a node's capture as a ring of segment files.

The event loop fills a bounded buffer, and a thread writes it to the disk, so the event loop never
waits for the disk.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from badgercart.capture.build import EVENTS_PER_BATCH
from badgercart.capture.codec import (
    EncodedEvent,
    dump_policy,
    encode_batch,
    encode_settings,
    module_digest,
    plain_actions,
    plain_event,
)
from badgercart.capture.format import (
    FORMAT_VERSION,
    RecordKind,
    SegmentIndex,
    encode_header,
    encode_record,
    encode_trailer,
)
from badgercart.capture.replay import SEGMENT_SUFFIX
from badgercart.capture.settings import CaptureSettings
from badgercart.policy.actions import Action
from badgercart.policy.events import Event, Request
from badgercart.policy.policy import Policy

# How long the end of the process waits for the remaining writes.
CLOSE_TIMEOUT_S = 2.0
# The index of a segment has one mark per so many events.
EVENTS_PER_MARK = 4096
# A segment holds at least so many times the bytes of its header, since otherwise the policy states
# in the headers would crowd the events out of the ring.
MIN_HEADERS_PER_SEGMENT = 4
# The writer thread is woken once so many bytes are buffered.
CHUNK_BYTES = 1 << 15
# The name of a segment, and the bytes to append to it.
Chunk = tuple[str, bytes]


class DiskWriter:
    """The writer thread: appends chunks to their segments in order and deletes old segments.

    After a write failed, `failure` holds the reason, and the thread has ended.
    """

    def __init__(self, folder: Path, settings: CaptureSettings) -> None:
        self.folder, self.settings = folder, settings
        self.condition = threading.Condition()
        self.chunks: list[Chunk] = []
        self.queued_bytes = 0
        self.closing = False
        self.failure: OSError | None = None
        self.thread = threading.Thread(target=self.run, name="capture", daemon=True)
        self.thread.start()

    def enqueue(self, segment: str, data: bytes) -> None:
        """Queue bytes to be appended to a segment."""
        with self.condition:
            self.chunks.append((segment, data))
            self.queued_bytes += len(data)
            self.condition.notify()

    def close(self) -> None:
        """Write what is queued, and end the thread."""
        with self.condition:
            self.closing = True
            self.condition.notify()
        self.thread.join(CLOSE_TIMEOUT_S)

    def run(self) -> None:
        """Write queued chunks until the writer is closed or the disk fails."""
        name, file = "", None
        try:
            while True:
                with self.condition:
                    while not self.chunks and not self.closing:
                        self.condition.wait()
                    chunks, self.chunks = self.chunks, []
                    if not chunks:
                        return
                for segment, data in chunks:
                    if segment != name:
                        if file is not None:
                            file.close()
                        self.delete_old_segments(segment, len(data))
                        file, name = (self.folder / segment).open("ab", buffering=0), segment
                    assert file is not None
                    file.write(data)
                    with self.condition:
                        self.queued_bytes -= len(data)
        except OSError as error:
            self.failure = error
        finally:
            if file is not None:
                file.close()

    def delete_old_segments(self, new_segment: str, header_bytes: int) -> None:
        """Delete the oldest segments by age and size, so that a complete new segment fits."""
        now_s = time.time()
        kept = []
        for path in sorted(self.folder.glob(f"*{SEGMENT_SUFFIX}")):
            stat = path.stat()
            if path.name != new_segment and stat.st_mtime < now_s - self.settings.keep_s:
                path.unlink()
            else:
                kept.append((path, stat.st_size))
        # A segment exceeds its configured size by its last batch and its index, so the new segment
        # may become as large as the largest one there is.
        largest = max([self.settings.segment_bytes + header_bytes, *(size for _, size in kept)])
        budget, total = self.settings.keep_bytes - largest, sum(size for _, size in kept)
        for path, size in kept:
            if total <= budget or path.name == new_segment:
                break
            path.unlink()
            total -= size


class CaptureWriter:
    """Captures the events of one request pipeline's policy and the actions that they led to."""

    def __init__(
        self,
        settings: CaptureSettings,
        folder: Path,
        node: str,
        policy: Policy,
        seed: int,
        on_gap: Callable[[int], None],
        on_failure: Callable[[OSError], None],
    ) -> None:
        self.settings, self.policy = settings, policy
        self.on_gap, self.on_failure = on_gap, on_failure
        # The header fields that are the same in all segments.
        self.header_fields: dict[str, Any] = {
            "node": node,
            "seed": seed,
            "settings": encode_settings(policy.settings),
            "module": module_digest(),
        }
        self.disk = DiskWriter(folder, settings)
        # The start time in ms; its fixed width makes segments sort by the node's starts.
        self.session = f"{int(time.time() * 1000):013d}"
        self.segment_number = -1
        # Of the present segment: its bytes, its events, and the bytes of its header.
        self.segment_size_bytes = self.segment_events = self.header_bytes = 0
        self.events_before = 0  # events in earlier segments
        # The events lost since the buffer overflowed, and those recorded as lost in this segment.
        self.lost_events = self.segment_lost_events = 0
        # The lowest and the highest request id that the present segment may hold.
        self.min_request_id = self.max_request_id = 0
        # Times of the first and the last event of the present segment.
        self.first_event_ms = self.last_event_ms = 0.0
        self.index_marks: list[tuple[int, float, int]] = []
        self.pending_events: list[EncodedEvent] = []
        self.chunk_bytes = min(CHUNK_BYTES, settings.buffer_bytes // 4, settings.segment_bytes)
        self.buffer: list[bytes] = []
        self.buffered_bytes = 0
        # State notes of other state machines, written behind the header of each segment.
        self.snapshots: list[Callable[[], bytes]] = []
        self.begin_segment(dump_policy(policy))

    @property
    def total_events(self) -> int:
        """Return the number of events captured so far."""
        return self.events_before + self.segment_events + len(self.pending_events)

    @property
    def segment(self) -> str:
        """Return the name of the present segment."""
        return f"{self.session}-{self.segment_number:06d}{SEGMENT_SUFFIX}"

    def begin_segment(self, state: bytes) -> None:
        """Begin a new segment, with the policy's state in its header."""
        self.segment_number += 1
        self.events_before += self.segment_events
        self.segment_events = self.segment_size_bytes = self.segment_lost_events = 0
        self.first_event_ms = self.last_event_ms = 0.0
        self.min_request_id = min(self.open_request_ids(), default=self.max_request_id + 1)
        self.index_marks = []
        fields = self.header_fields | {
            "format": FORMAT_VERSION,
            "segment": self.segment_number,
            "events_before": self.events_before,
            "wall_ms": time.time() * 1000,
            "state": state,
            "adopted": bool(self.policy.fleet.endpoints.restorable),
        }
        data = encode_header(fields)
        self.header_bytes = len(data)
        # The header doesn't count against the buffer: its size says nothing about a slow disk.
        self.max_buffered_bytes = self.settings.buffer_bytes + len(data)
        self.append_bytes(data)
        for snapshot in self.snapshots:
            self.append_bytes(encode_record(RecordKind.NOTE, snapshot()))

    def restart_first_segment(self) -> None:
        """Begin the first segment again where no event was captured yet.

        The policy may have been given state since the writer was made; the header must hold it.
        """
        if not self.total_events and not self.segment_number:
            self.buffer, self.buffered_bytes, self.segment_number = [], 0, -1
            self.begin_segment(dump_policy(self.policy))

    def open_request_ids(self) -> set[int]:
        """Return the ids of the requests that later events may still be about."""
        open_ids = {
            request_id
            for tracked in self.policy.fleet.endpoints.by_id.values()
            for request_id, _ in tracked.open_attempts
        }
        return open_ids | self.policy.lifecycle.requests.keys()

    def append_bytes(self, data: bytes) -> None:
        """Append bytes to the present segment."""
        self.buffer.append(data)
        self.buffered_bytes += len(data)
        self.segment_size_bytes += len(data)

    def flush(self) -> None:
        """Encode pending events and queue the buffer for the disk; called periodically."""
        if self.pending_events:
            self.encode_pending()
        self.queue_buffer()

    def queue_buffer(self) -> None:
        """Hand the buffered bytes over to the writer thread."""
        if self.buffer:
            self.disk.enqueue(self.segment, b"".join(self.buffer))
            self.buffer, self.buffered_bytes = [], 0

    def record_event(self, now_ms: float, event: Event, actions: list[Action] | None) -> None:
        """Record an event and its actions; called before any action is executed. Never raises."""
        try:
            # This runs for every event, so it only copies the fields; the rest runs once per batch.
            if type(event) is Request:
                self.max_request_id = event.id
            self.pending_events.append((*plain_event(now_ms, event), plain_actions(actions)))
            if len(self.pending_events) >= EVENTS_PER_BATCH:
                self.encode_pending()
        except Exception as error:  # a fault of the capture must not fail a request
            self.on_failure(OSError(f"{type(error).__name__}: {error}"))

    def record_note(self, data: bytes) -> None:
        """Record a call of another state machine, in its order among the policy's events."""
        try:
            if self.pending_events:
                self.encode_pending()
            if self.lost_events:
                self.lost_events += 1
            else:
                self.append_bytes(encode_record(RecordKind.NOTE, data))
        except Exception as error:  # a fault of the capture must not fail a request
            self.on_failure(OSError(f"{type(error).__name__}: {error}"))

    def encode_pending(self) -> None:
        """Encode the pending events, or count them as lost where the buffer is full.

        Rolls over to a new segment once the present one has reached its size.
        """
        if self.disk.failure is not None:
            failure, self.disk.failure = self.disk.failure, None
            self.pending_events.clear()
            self.on_failure(failure)
            return
        batch, self.pending_events = self.pending_events, []
        if (
            self.lost_events
            or self.buffered_bytes + self.disk.queued_bytes > self.max_buffered_bytes
        ):
            self.lost_events += len(batch)
            if self.disk.queued_bytes + self.buffered_bytes < self.max_buffered_bytes // 2:
                self.resume_after_gap()
            return
        if (
            self.segment_events // EVENTS_PER_MARK
            != (self.segment_events - EVENTS_PER_BATCH) // EVENTS_PER_MARK
        ):
            self.index_marks.append((self.segment_events, batch[0][1], self.segment_size_bytes))
        if not self.segment_events:
            self.first_event_ms = batch[0][1]
        self.last_event_ms = batch[-1][1]
        self.append_bytes(encode_record(RecordKind.BATCH, encode_batch(batch)))
        self.segment_events += len(batch)
        if self.buffered_bytes >= self.chunk_bytes:
            self.queue_buffer()
        if self.segment_size_bytes - self.header_bytes >= max(
            self.settings.segment_bytes, MIN_HEADERS_PER_SEGMENT * self.header_bytes
        ):
            self.roll_segment()

    def resume_after_gap(self) -> None:
        """Record the gap, and begin a new segment with the policy's state behind it."""
        self.record_gap()
        self.roll_segment()

    def record_gap(self) -> None:
        """Record how many events were lost."""
        self.segment_lost_events, self.lost_events = self.lost_events, 0
        self.append_bytes(encode_record(RecordKind.GAP, self.segment_lost_events.to_bytes(8)))
        self.on_gap(self.segment_lost_events)

    def roll_segment(self) -> None:
        """Close the present segment and begin the next."""
        self.end_segment()
        self.begin_segment(dump_policy(self.policy))

    def end_segment(self) -> None:
        """Append the index and the END record, which mark the segment as complete."""
        index_offset = self.segment_size_bytes
        max_request_id = max(self.max_request_id, self.min_request_id)
        min_request_id = self.min_request_id if self.segment_events else 0
        index = SegmentIndex(
            self.segment_events,
            self.segment_lost_events,
            self.first_event_ms,
            self.last_event_ms,
            min_request_id,
            max_request_id,
            self.index_marks,
        )
        self.append_bytes(encode_trailer(index, index_offset))
        self.queue_buffer()

    def close(self) -> None:
        """Write what is pending and close the segment."""
        if self.pending_events:
            self.encode_pending()
        if self.lost_events:
            self.record_gap()
        self.end_segment()
        self.disk.close()
