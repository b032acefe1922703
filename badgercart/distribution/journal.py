"""What a store keeps on disk: a snapshot of all topics, and a journal of what was kept since.

A record is its length, the CRC32 of its body, the CRC32 of these eight bytes, and its body in
MessagePack. One `Keep` is one record, written and synced before `keep` returns. A crash can spoil
the last record alone, which nobody was told of: it is cut off. A spoilt record with a whole one
behind it is none that a crash made: then nothing is started.

A snapshot is written beside, synced and renamed; the journal behind it has its generation in its
name and is there before. So at each moment one snapshot and its journal are whole.
"""

from __future__ import annotations

import fcntl
import os
import zlib
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Protocol

import msgspec

from badgercart.distribution.effects import Keep, KeepAll, Recovered
from badgercart.distribution.messages import Change, Entry
from badgercart.distribution.topic import Topic

VERSION = 1
HEAD = 12  # bytes before a record's body
SNAPSHOT, FRESH, JOURNAL, LOCK = "snapshot", "snapshot.new", "journal.", "lock"
FLOOR = 1 << 20  # bytes: a smaller journal is not compacted


class JournalError(Exception):
    """What is on disk can't be trusted, or the disk has failed: the store must not start, or go
    on."""


class Disk(Protocol):
    """What carries out `Keep` and `KeepAll`; see `Journal`."""

    def recover(self) -> Recovered: ...

    def keep(self, effect: Keep | KeepAll) -> None: ...

    @property
    def over(self) -> bool: ...

    def compact(self, state: Recovered) -> None: ...

    def close(self) -> None: ...


class _First(msgspec.Struct, array_like=True, frozen=True):
    """A journal's first record."""

    version: int
    generation: int


class _Kept(msgspec.Struct, array_like=True, frozen=True):
    term: int
    voted: str
    behind: int
    changes: tuple[Change, ...]
    committed: int


class _Snapshot(msgspec.Struct, array_like=True, frozen=True):
    version: int
    generation: int  # of the journal behind it
    term: int
    voted: str
    committed: int
    index: int
    index_term: int
    topics: dict[str, tuple[int, int, dict[str, bytes]]]  # number, digest, entries
    changes: tuple[Change, ...]


_encode = msgspec.msgpack.Encoder().encode
_first: Callable[[bytes], _First] = msgspec.msgpack.Decoder(_First).decode
_kept: Callable[[bytes], _Kept] = msgspec.msgpack.Decoder(_Kept).decode
_snapshot: Callable[[bytes], _Snapshot] = msgspec.msgpack.Decoder(_Snapshot).decode


def record(body: bytes) -> bytes:
    head = len(body).to_bytes(4) + zlib.crc32(body).to_bytes(4)
    return head + zlib.crc32(head).to_bytes(4) + body


def _head_at(data: bytes, place: int) -> int | None:
    """The length of the body of a record that begins there; None: none does."""
    head = data[place : place + 8]
    if len(data) - place < HEAD or zlib.crc32(head) != int.from_bytes(
        data[place + 8 : place + HEAD]
    ):
        return None
    return int.from_bytes(head[:4])


def _body_at(data: bytes, place: int) -> bytes | None:
    """The body of a whole record that begins there."""
    length = _head_at(data, place)
    if length is None or place + HEAD + length > len(data):
        return None
    body = data[place + HEAD : place + HEAD + length]
    return body if zlib.crc32(body) == int.from_bytes(data[place + 4 : place + 8]) else None


def records(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Bodies of whole records, and the bytes that they take; what a crash left behind them is not
    counted.

    Raises JournalError where a record behind a spoilt one is whole."""
    bodies: list[bytes] = []
    place = 0
    while place < len(data):
        body = _body_at(data, place)
        if body is None:
            length = _head_at(data, place)
            # Where the head is whole we know where the next begins; else it may begin anywhere.
            after = (
                range(place + 1, len(data))
                if length is None
                else range(place + HEAD + length, len(data))
            )
            whole = next((at for at in after if _body_at(data, at) is not None), None)
            if whole is not None:
                raise JournalError(
                    f"{name}: the record at byte {place} is spoilt, and the one at byte {whole} is whole"
                )
            break
        bodies.append(body)
        place += HEAD + len(body)
    return bodies, place


def replay(start: Recovered, kept: Iterable[Keep | _Kept], name: str = "journal") -> Recovered:
    """What is kept, from a snapshot and all that was kept since. Raises JournalError."""
    term, voted, committed = start.term, start.voted, start.committed
    changes = list(start.changes)
    for number, each in enumerate(kept, 1):
        last = start.index + len(changes)
        if not committed <= each.behind <= last and each.changes:
            raise JournalError(
                f"{name}: record {number} is put behind {each.behind}, of {committed} to {last}"
            )
        if each.changes:
            del changes[each.behind - start.index :]
            for change in each.changes:
                if change.index != start.index + len(changes) + 1:
                    raise JournalError(
                        f"{name}: record {number} has a gap before place {change.index}"
                    )
                changes.append(change)
        last = start.index + len(changes)
        if each.term < term or not committed <= each.committed <= last:
            raise JournalError(
                f"{name}: record {number} goes back, from term {term} and place {committed} "
                f"to term {each.term} and place {each.committed} of {last}"
            )
        term, voted, committed = each.term, each.voted, each.committed
    return Recovered(
        term, voted, committed, start.index, start.index_term, start.topics, tuple(changes)
    )


class Journal:
    """A store's folder, which is its alone as long as this is open."""

    def __init__(self, folder: Path, floor: int = FLOOR) -> None:
        """Raises JournalError where another process has the folder, and OSError."""
        self.folder, self.floor = folder, floor
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self.lock = os.open(folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            raise JournalError(f"{folder}: another process has it") from None
        self.handle = -1  # of the journal, for appending
        self.generation = self.size = self.snapshot_size = 0
        self.failed = ""  # why nothing can be kept any more

    def close(self) -> None:
        if self.handle >= 0:
            os.close(self.handle)
        os.close(self.lock)
        self.handle, self.failed = -1, "it is closed"

    # Reading.

    def recover(self) -> Recovered:
        """What was kept, by a store of this folder before. Raises JournalError and OSError."""
        start = Recovered()
        self.generation = 0
        if (data := self.read(SNAPSHOT)) is not None:
            self.generation, start = self.load(data)
            self.snapshot_size = len(data)
        name = f"{JOURNAL}{self.generation}"
        data = self.read(name)
        if data is None and self.generation:
            raise JournalError(f"{name}: it is gone, the snapshot says that it is there")
        bodies, whole = records(data or b"", name)
        if not bodies:
            if self.generation:
                raise JournalError(f"{name}: its first record is spoilt")
            self.create()  # the first start, or one that got no further
            recovered = start
        else:
            recovered = replay(start, self.decode(bodies, name), name)
            self.handle = os.open(self.folder / name, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
            if data is not None and whole < len(data):
                os.ftruncate(self.handle, whole)
                os.fsync(self.handle)
            self.size = whole
        self.tidy()
        return recovered

    def read(self, name: str) -> bytes | None:
        try:
            return (self.folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def load(self, data: bytes) -> tuple[int, Recovered]:
        """A snapshot: its journal's generation, and what it holds."""
        body = _body_at(data, 0)
        if body is None or HEAD + len(body) != len(data):
            raise JournalError(f"{SNAPSHOT}: it is spoilt")
        try:
            told = _snapshot(body)
        except msgspec.MsgspecError as error:
            raise JournalError(f"{SNAPSHOT}: {error}") from None
        if told.version != VERSION:
            raise JournalError(
                f"{SNAPSHOT}: it is of version {told.version}, this program's is {VERSION}"
            )
        topics: dict[str, Topic] = {}
        for name, (number, digest, entries) in told.topics.items():
            topic = topics[name] = Topic(
                number, (Entry(key, value) for key, value in entries.items())
            )
            if topic.digest != digest:
                raise JournalError(f"{SNAPSHOT}: {name!r} has another digest than it should have")
        if told.index + len(told.changes) < told.committed or told.committed < told.index:
            raise JournalError(f"{SNAPSHOT}: its places {told.index} and {told.committed} can't be")
        recovered = Recovered(
            told.term, told.voted, told.committed, told.index, told.index_term, topics, told.changes
        )
        return told.generation, recovered

    def decode(self, bodies: list[bytes], name: str) -> list[_Kept]:
        try:
            first = _first(bodies[0])
            if first.version != VERSION:
                raise JournalError(
                    f"{name}: it is of version {first.version}, this program's is {VERSION}"
                )
            if first.generation != self.generation:
                raise JournalError(f"{name}: it says that it is generation {first.generation}")
            return [_kept(body) for body in bodies[1:]]
        except msgspec.MsgspecError as error:
            raise JournalError(f"{name}: {error}") from None

    def tidy(self) -> None:
        """Remove what a crash left of a compaction."""
        for path in self.folder.iterdir():
            old = path.name.startswith(JOURNAL) and path.name != f"{JOURNAL}{self.generation}"
            if old or path.name == FRESH:
                path.unlink()

    # Writing.

    def keep(self, effect: Keep | KeepAll) -> None:
        """On disk when it returns. Raises OSError, and JournalError from then on: how much was kept
        is not known, and a new process has to look."""
        if isinstance(effect, KeepAll):
            self.compact(effect.state)
            return
        self.check()
        kept = _Kept(effect.term, effect.voted, effect.behind, effect.changes, effect.committed)
        try:
            self.size += self.write(self.handle, _encode(kept))
            os.fsync(self.handle)
        except OSError as error:
            self.failed = str(error)
            raise

    @property
    def over(self) -> bool:
        """Whether the journal is over twice the state, so that `compact` is wanted."""
        return self.size > max(self.floor, 2 * self.snapshot_size)

    def compact(self, state: Recovered) -> None:
        """Keep this in the place of all that was kept before. Raises as `keep`."""
        self.check()
        topics = {
            name: (topic.number, topic.digest, topic.entries)
            for name, topic in state.topics.items()
        }
        told = _Snapshot(
            VERSION,
            self.generation + 1,
            state.term,
            state.voted,
            state.committed,
            state.index,
            state.index_term,
            topics,
            state.changes,
        )
        old, before = self.handle, self.generation
        try:
            fresh = os.open(
                self.folder / FRESH, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600
            )
            try:
                takes = self.write(fresh, _encode(told))
                os.fsync(fresh)
            finally:
                os.close(fresh)
            self.generation += 1
            self.create()
            os.replace(self.folder / FRESH, self.folder / SNAPSHOT)
            self.sync_folder()
        except OSError as error:
            self.failed = str(error)
            raise
        self.snapshot_size = takes
        os.close(old)
        (self.folder / f"{JOURNAL}{before}").unlink()

    def create(self) -> None:
        """This generation's journal, with its first record."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        self.handle = os.open(self.folder / f"{JOURNAL}{self.generation}", flags, 0o600)
        self.size = self.write(self.handle, _encode(_First(VERSION, self.generation)))
        os.fsync(self.handle)
        self.sync_folder()

    def check(self) -> None:
        if self.failed or self.handle < 0:
            raise JournalError(
                f"{self.folder}: nothing is kept any more: {self.failed or 'not recovered'}"
            )

    @staticmethod
    def write(handle: int, body: bytes) -> int:
        """A record; how many bytes it takes."""
        data = memoryview(record(body))
        rest = data
        while rest:
            rest = rest[os.write(handle, rest) :]
        return len(data)

    def sync_folder(self) -> None:
        handle = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
