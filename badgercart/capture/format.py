"""A segment of a capture, byte by byte. No I/O.

    segment = magic "BCAP" | version u16 | head | record*
    head    = length u32 | crc32 u32 | MessagePack map
    record  = length u32 | crc32 u32 | kind u8 | payload      (length and crc32 cover kind and payload)

All numbers are big-endian; crc32 is zlib's. Kinds: 5 BATCH (MessagePack [event, ...]), 6 NOTE
(MessagePack: what another deciding machine was told), 2 INDEX (MessagePack map), 3 GAP (count u64),
4 END (offset of the index u64: the segment is whole). Format 1, which is read still, has 1 EVENT
(decisions' running crc32 u32, then the event), a list in INDEX, and an empty END.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgspec

MAGIC = b"BCAP"
VERSION = 2
READABLE = (1, 2)
PREFIX = struct.Struct(">4sH")
FRAME = struct.Struct(">II")
OFFSET = struct.Struct(">Q")
MAX_RECORD = 1 << 26  # bytes; a longer one is damage


class FormatError(Exception):
    """A file that is no capture, or whose head can't be read."""


class RecordKind(IntEnum):
    """What a record holds."""

    EVENT = 1  # format 1 only
    INDEX = 2
    GAP = 3
    END = 4
    BATCH = 5
    NOTE = 6


class SegmentEnding(IntEnum):
    """How a segment ends."""

    WHOLE = 0
    TORN = 1  # in the middle of a record, or with none that says END: it was cut off
    DAMAGED = 2  # a record's bytes are not those that were written


KINDS = frozenset(RecordKind)
END_SIZE = FRAME.size + 1 + OFFSET.size


@dataclass(slots=True, frozen=True)
class Record:
    kind: RecordKind
    payload: bytes
    offset: int


def encode_head(fields: dict[str, Any]) -> bytes:
    """Return the beginning of a segment."""
    data = msgspec.msgpack.encode(fields)
    return PREFIX.pack(MAGIC, VERSION) + FRAME.pack(len(data), zlib.crc32(data)) + data


def encode_record(kind: RecordKind, payload: bytes) -> bytes:
    """Return a record."""
    body = bytes((kind,)) + payload
    return FRAME.pack(len(body), zlib.crc32(body)) + body


def encode_end(index: int) -> bytes:
    """Return the last record; `index` is the offset of the one before it."""
    return encode_record(RecordKind.END, OFFSET.pack(index))


class SegmentIndex(msgspec.Struct, frozen=True):
    """What a whole segment holds, at its end: enough to know whether it is worth reading."""

    events: int
    lost: int
    begin: float  # ms on the node's clock, of the first event and the last
    end: float
    low: int  # no event is about a request with a lower number; 0: about none
    high: int
    marks: list[tuple[int, float, int]]  # event, its time, offset of the record that it begins


def encode_closing(index: SegmentIndex, at: int) -> bytes:
    """Return the last two records of a segment, whose index begins at offset `at`."""
    return encode_record(RecordKind.INDEX, msgspec.msgpack.encode(index)) + encode_end(at)


_INDEX: msgspec.msgpack.Decoder[SegmentIndex] = msgspec.msgpack.Decoder(SegmentIndex)


def read_index(tail: bytes, data_from: int) -> SegmentIndex | None:
    """Return the index by a file's last bytes, from offset `data_from` on, or None."""
    if len(tail) < END_SIZE:
        return None
    length, crc = FRAME.unpack_from(tail, len(tail) - END_SIZE)
    body = tail[len(tail) - END_SIZE + FRAME.size :]
    if length != len(body) or zlib.crc32(body) != crc or body[0] != RecordKind.END:
        return None
    at = OFFSET.unpack_from(body, 1)[0] - data_from
    if not 0 <= at <= len(tail) - END_SIZE - FRAME.size:
        return None
    length, crc = FRAME.unpack_from(tail, at)
    body = tail[at + FRAME.size : at + FRAME.size + length]
    if zlib.crc32(body) != crc or body[:1] != bytes((RecordKind.INDEX,)):
        return None
    try:
        return _INDEX.decode(body[1:])
    except msgspec.MsgspecError:
        return None


class Segment:
    """Reads one segment. After `records`, `ending` holds, and `good`: the bytes that can be
    used."""

    def __init__(self, data: bytes) -> None:
        """Read the head. Raises FormatError."""
        self.data = data
        if data[:4] != MAGIC[: len(data)]:
            raise FormatError("this is no capture")
        if len(data) < PREFIX.size:
            raise FormatError("the head is cut off")
        _, self.version = PREFIX.unpack_from(data)
        if self.version not in READABLE:
            raise FormatError(
                f"format {self.version} is not read here, only {READABLE[0]} to {READABLE[-1]}"
            )
        try:
            length, crc = FRAME.unpack_from(data, PREFIX.size)
        except struct.error:
            raise FormatError("the head is cut off") from None
        start = PREFIX.size + FRAME.size
        raw = data[start : start + length]
        if len(raw) < length:
            raise FormatError("the head is cut off")
        if zlib.crc32(raw) != crc:
            raise FormatError("the head is damaged")
        self.head: dict[str, Any] = msgspec.msgpack.decode(raw)
        self.start = self.usable_bytes = start + length
        self.ending = SegmentEnding.TORN

    def records(self) -> Iterator[Record]:
        """Give each record that is whole, up to the first that is not."""
        data, at = self.data, self.start
        self.usable_bytes, self.ending = at, SegmentEnding.TORN
        while at + FRAME.size <= len(data):
            length, crc = FRAME.unpack_from(data, at)
            end = at + FRAME.size + length
            if not 1 <= length <= MAX_RECORD:
                self.ending = SegmentEnding.DAMAGED
                return
            if end > len(data):
                return
            body = data[at + FRAME.size : end]
            if zlib.crc32(body) != crc or body[0] not in KINDS:
                self.ending = SegmentEnding.DAMAGED
                return
            self.usable_bytes = end
            yield Record(RecordKind(body[0]), body[1:], at)
            if body[0] == RecordKind.END:
                self.ending = SegmentEnding.WHOLE
                return
            at = end

    def close(self, index: int) -> bytes:
        """Return the last record of a segment of this version; `index`: its offset in format 2."""
        return encode_record(RecordKind.END, b"") if self.version == 1 else encode_end(index)
