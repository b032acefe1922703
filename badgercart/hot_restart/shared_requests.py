"""The table of requests that the processes of one node share while one replaces another.

It is a file of a fixed size in the folder that they share. An id belongs to one bucket of it; a bucket
that is full gives up its oldest entry. Each process reads and writes single buckets; one that can't
be read or written costs the other process's knowledge of it, and nothing else.
"""

from __future__ import annotations

import os
import struct
from pathlib import Path

from badgercart.core.identifiers import stable_id
from badgercart.core.request_ledger import RETENTION_MS
from badgercart.hot_restart.log_events import REQUESTS_UNSHARED

FILE_NAME = "badgercart-requests"
BUCKETS = 2048
ENTRIES_PER_BUCKET = 8
# For each entry, the id as a number (0: a free entry) and when the request was begun (ms).
BUCKET_FORMAT = struct.Struct("<" + "Qd" * ENTRIES_PER_BUCKET)
TABLE_BYTES = BUCKETS * BUCKET_FORMAT.size
FREE = 0


class Bucket:
    """The entries of one bucket, the free ones included."""

    def __init__(self, data: bytes) -> None:
        values = BUCKET_FORMAT.unpack(data.ljust(BUCKET_FORMAT.size, b"\0"))
        self.entries: list[tuple[int, float]] = list(zip(values[::2], values[1::2], strict=True))

    def age_ms(self, number: int, now_ms: float) -> float | None:
        """Return how long ago a request was begun; None if it is not known or too long ago."""
        for entry, begun_ms in self.entries:
            if entry == number and 0.0 <= now_ms - begun_ms < RETENTION_MS:
                return now_ms - begun_ms
        return None

    def add(self, number: int, now_ms: float) -> None:
        """Add a request in place of a free entry, or of the oldest one."""
        oldest = min(
            range(ENTRIES_PER_BUCKET),
            key=lambda i: (self.entries[i][0] not in (FREE, number), self.entries[i][1]),
        )
        self.entries[oldest] = number, now_ms

    def remove(self, number: int) -> None:
        """Remove a request."""
        self.entries = [(FREE, 0.0) if entry[0] == number else entry for entry in self.entries]

    def encode(self) -> bytes:
        """Return the bytes of the bucket."""
        return BUCKET_FORMAT.pack(*(value for entry in self.entries for value in entry))


def offset_of(number: int) -> int:
    """Return where the bucket of an id begins in the file."""
    return number % BUCKETS * BUCKET_FORMAT.size


class SharedRequestTable:
    """The table in a file."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / FILE_NAME
        self.descriptor: int | None = None
        self.open()

    def open(self) -> None:
        """Open the file, which stays open; a failure is logged, and tried again at the next use."""
        try:
            self.descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            if os.fstat(self.descriptor).st_size < TABLE_BYTES:
                os.ftruncate(self.descriptor, TABLE_BYTES)
        except OSError as error:
            REQUESTS_UNSHARED(path=self.path, error=error)

    def begin(self, name: bytes, now_ms: float) -> float | None:
        """Note that a request begins; return how long ago one of its id began (ms), if one did."""
        number = stable_id(name)
        bucket = self.bucket_of(number)
        age_ms = bucket.age_ms(number, now_ms)
        if age_ms is None:
            bucket.add(number, now_ms)
            self.write(offset_of(number), bucket.encode())
        return age_ms

    def forget(self, name: bytes) -> None:
        """Forget a request that was never sent to a server."""
        number = stable_id(name)
        bucket = self.bucket_of(number)
        bucket.remove(number)
        self.write(offset_of(number), bucket.encode())

    def bucket_of(self, number: int) -> Bucket:
        """Return the bucket that an id belongs to."""
        return Bucket(self.read(offset_of(number)))

    def read(self, offset: int) -> bytes:
        """Return the bytes of the bucket at an offset; empty if they can't be read."""
        if self.descriptor is None:
            self.open()
        if self.descriptor is None:
            return b""
        try:
            return os.pread(self.descriptor, BUCKET_FORMAT.size, offset)
        except OSError as error:
            REQUESTS_UNSHARED(path=self.path, error=error)
            return b""

    def write(self, offset: int, data: bytes) -> None:
        """Replace the bytes of the bucket at an offset, if that is possible."""
        if self.descriptor is None:
            return
        try:
            os.pwrite(self.descriptor, data, offset)
        except OSError as error:
            REQUESTS_UNSHARED(path=self.path, error=error)

    def close(self) -> None:
        """Close the file. This is idempotent."""
        if self.descriptor is not None:
            os.close(self.descriptor)
            self.descriptor = None
