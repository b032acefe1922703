"""Writes segments: the tap fills a bounded buffer, a thread carries it to the disk, nobody waits
for it."""

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
    VERSION,
    RecordKind,
    SegmentIndex,
    encode_closing,
    encode_head,
    encode_record,
)
from badgercart.capture.replay import SUFFIX
from badgercart.capture.settings import CaptureSettings
from badgercart.policy.actions import Action
from badgercart.policy.events import Event, Request
from badgercart.policy.policy import Policy

CLOSE_TIMEOUT_S = 2.0  # s for what is written at the end of the process
MARK_EVERY = 4096  # events between marks of the index
# a segment is at least so many times its head: states must not crowd out events
MIN_HEADS_PER_SEGMENT = 4
CHUNK_BYTES = 1 << 15  # bytes that gather before the thread is woken
Chunk = tuple[str, bytes]  # the segment it belongs to, and its bytes


class DiskWriter:
    """The thread: appends chunks to their segments in order, and keeps the ring. `failed`: why
    it stopped."""

    def __init__(self, folder: Path, settings: CaptureSettings) -> None:
        self.folder, self.settings = folder, settings
        self.ready = threading.Condition()
        self.chunks: list[Chunk] = []
        self.waiting = 0  # bytes
        self.ended = False
        self.failed: OSError | None = None
        self.thread = threading.Thread(target=self.work, name="capture", daemon=True)
        self.thread.start()

    def put(self, segment: str, data: bytes) -> None:
        """Have bytes appended to a segment."""
        with self.ready:
            self.chunks.append((segment, data))
            self.waiting += len(data)
            self.ready.notify()

    def close(self) -> None:
        """Write what is left, and end the thread."""
        with self.ready:
            self.ended = True
            self.ready.notify()
        self.thread.join(CLOSE_TIMEOUT_S)

    def work(self) -> None:
        """Write until it is closed or the disk fails."""
        name, file = "", None
        try:
            while True:
                with self.ready:
                    while not self.chunks and not self.ended:
                        self.ready.wait()
                    chunks, self.chunks = self.chunks, []
                    if not chunks:
                        return
                for segment, data in chunks:
                    if segment != name:
                        if file is not None:
                            file.close()
                        self.make_room(segment, len(data))
                        file, name = (self.folder / segment).open("ab", buffering=0), segment
                    assert file is not None
                    file.write(data)
                    with self.ready:
                        self.waiting -= len(data)
        except OSError as error:
            self.failed = error
        finally:
            if file is not None:
                file.close()

    def make_room(self, fresh: str, head: int) -> None:
        """Let the oldest segments go, by age and by bytes, so that a whole new one has room."""
        now = time.time()
        kept = []
        for path in sorted(self.folder.glob(f"*{SUFFIX}")):
            stat = path.stat()
            if path.name != fresh and stat.st_mtime < now - self.settings.keep_s:
                path.unlink()
            else:
                kept.append((path, stat.st_size))
        # A segment ends with the batch and the index that take it over its size: the next may be as
        # large.
        largest = max([self.settings.segment_bytes + head, *(size for _, size in kept)])
        room, total = self.settings.keep_bytes - largest, sum(size for _, size in kept)
        for path, size in kept:
            if total <= room or path.name == fresh:
                break
            path.unlink()
            total -= size


class CaptureWriter:
    """The tap of one join: what the policy is told, and a running checksum of what it decides."""

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
        self.fixed: dict[str, Any] = {
            "node": node,
            "seed": seed,
            "settings": encode_settings(policy.settings),
            "module": module_digest(),
        }
        self.disk = DiskWriter(folder, settings)
        self.session = f"{int(time.time() * 1000):013d}"  # sorts by the node's starts
        self.number = -1  # of the segment
        self.size = self.records = self.head = 0  # of the segment: bytes, events, bytes of its head
        self.before = 0  # events in earlier segments
        self.lost = self.told_lost = 0  # events since the buffer ran over; of the segment
        self.low = self.high = 0  # numbers of requests in the segment
        self.first = self.last = 0.0  # times of its events
        self.marks: list[tuple[int, float, int]] = []
        self.pending: list[EncodedEvent] = []
        self.chunk = min(CHUNK_BYTES, settings.buffer_bytes // 4, settings.segment_bytes)
        self.out: list[bytes] = []
        self.out_size = 0
        self.snapshots: list[
            Callable[[], bytes]
        ] = []  # of other machines, at the head of each segment
        self.begin(dump_policy(policy))

    @property
    def total(self) -> int:
        """Events captured so far."""
        return self.before + self.records + len(self.pending)

    @property
    def segment(self) -> str:
        """Return the name of the present segment."""
        return f"{self.session}-{self.number:06d}{SUFFIX}"

    def begin(self, state: bytes) -> None:
        """Begin a new segment, with the policy's state."""
        self.number += 1
        self.before += self.records
        self.records = self.size = self.told_lost = 0
        self.first = self.last = 0.0
        self.low = min(self.under_way(), default=self.high + 1)
        self.marks = []
        fields = self.fixed | {
            "format": VERSION,
            "segment": self.number,
            "events_before": self.before,
            "wall_ms": time.time() * 1000,
            "state": state,
            "adopted": bool(self.policy.fleet.endpoints.restorable),
        }
        data = encode_head(fields)
        self.head = len(data)
        self.bound = self.settings.buffer_bytes + len(data)  # a state is no sign of a slow disk
        self.add(data)
        for snapshot in self.snapshots:
            self.add(encode_record(RecordKind.NOTE, snapshot()))

    def begin_anew(self) -> None:
        """The policy was given something before its first event: the first segment begins with
        that."""
        if not self.total and not self.number:
            self.out, self.out_size, self.number = [], 0, -1
            self.begin(dump_policy(self.policy))

    def under_way(self) -> set[int]:
        """Return the requests that events may still come about."""
        out = {
            number
            for server in self.policy.fleet.endpoints.by_id.values()
            for number, _ in server.open_attempts
        }
        return out | self.policy.lifecycle.requests.keys()

    def add(self, data: bytes) -> None:
        """Add bytes to the present segment."""
        self.out.append(data)
        self.out_size += len(data)
        self.size += len(data)

    def flush(self) -> None:
        """Hand over what has gathered, as often as the loop has a moment."""
        if self.pending:
            self.encode()
        self.hand_over()

    def hand_over(self) -> None:
        """Give what has gathered to the thread."""
        if self.out:
            self.disk.put(self.segment, b"".join(self.out))
            self.out, self.out_size = [], 0

    def tap(self, now: float, event: Event, actions: list[Action] | None) -> None:
        """After the policy has decided, and before anything of it is done. It never raises."""
        try:
            # This runs for every event: fields are taken now, all else once a batch.
            if type(event) is Request:
                self.high = event.id
            self.pending.append((*plain_event(now, event), plain_actions(actions)))
            if len(self.pending) >= EVENTS_PER_BATCH:
                self.encode()
        except Exception as error:  # a fault of ours must not cost a request
            self.on_failure(OSError(f"{type(error).__name__}: {error}"))

    def note(self, data: bytes) -> None:
        """Note what another deciding machine was told, in its order among the policy's events."""
        try:
            if self.pending:
                self.encode()
            if self.lost:
                self.lost += 1
            else:
                self.add(encode_record(RecordKind.NOTE, data))
        except Exception as error:  # as for the policy's events
            self.on_failure(OSError(f"{type(error).__name__}: {error}"))

    def encode(self) -> None:
        """Turn a batch into bytes, or count it as lost; begin a new segment where this one is
        long enough."""
        if self.disk.failed is not None:
            failed, self.disk.failed = self.disk.failed, None
            self.pending.clear()
            self.on_failure(failed)
            return
        batch, self.pending = self.pending, []
        if self.lost or self.out_size + self.disk.waiting > self.bound:
            self.lost += len(batch)
            if self.disk.waiting + self.out_size < self.bound // 2:
                self.resume()
            return
        if self.records // MARK_EVERY != (self.records - EVENTS_PER_BATCH) // MARK_EVERY:
            self.marks.append((self.records, batch[0][1], self.size))
        if not self.records:
            self.first = batch[0][1]
        self.last = batch[-1][1]
        self.add(encode_record(RecordKind.BATCH, encode_batch(batch)))
        self.records += len(batch)
        if self.out_size >= self.chunk:
            self.hand_over()
        if self.size - self.head >= max(
            self.settings.segment_bytes, MIN_HEADS_PER_SEGMENT * self.head
        ):
            self.roll()

    def resume(self) -> None:
        """Behind a gap: say how many are missing, and begin anew from the state there."""
        self.tell_gap()
        self.roll()

    def tell_gap(self) -> None:
        """Record how many events were lost."""
        self.told_lost, self.lost = self.lost, 0
        self.add(encode_record(RecordKind.GAP, self.told_lost.to_bytes(8)))
        self.on_gap(self.told_lost)

    def roll(self) -> None:
        """Close the present segment and begin the next."""
        self.end()
        self.begin(dump_policy(self.policy))

    def end(self) -> None:
        """Close the segment: the index, and that it is whole."""
        at, high = self.size, max(self.high, self.low)
        low = self.low if self.records else 0
        index = SegmentIndex(
            self.records, self.told_lost, self.first, self.last, low, high, self.marks
        )
        self.add(encode_closing(index, at))
        self.hand_over()

    def close(self) -> None:
        """Write what is left and close the segment."""
        if self.pending:
            self.encode()
        if self.lost:
            self.tell_gap()
        self.end()
        self.disk.close()
