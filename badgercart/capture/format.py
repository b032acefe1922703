"""The file format of a capture's segments. No I/O.

    segment = magic "BCAP" | version u16 | header | record*
    header  = length u32 | crc32 u32 | MessagePack map
    record  = length u32 | crc32 u32 | kind u8 | payload      (length and crc32 cover kind and payload)

All numbers are big-endian; crc32 is zlib's. The kinds of format 2 are: 5 BATCH (MessagePack
[event, ...]), 6 NOTE (MessagePack: a call of another state machine), 2 INDEX (MessagePack map), 3
GAP (number of lost events u64), and 4 END (offset of the index u64), which marks the segment as
complete. Format 1 can still be read: its records are 1 EVENT (running crc32 of all actions so far
u32, then the event), an INDEX that holds a list, and an empty END.
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
FORMAT_VERSION = 2
READABLE_VERSIONS = (1, 2)
PREFIX = struct.Struct(">4sH")  # magic and version
FRAME = struct.Struct(">II")  # length and crc32 of what follows
OFFSET = struct.Struct(">Q")  # offset in bytes from the segment's start
# A longer record is taken for a damaged length.
MAX_RECORD_BYTES = 1 << 26


class FormatError(Exception):
    """A file is not a capture, or its header can't be read."""


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
    # The segment was truncated: it ends within a record, or without an END record.
    TORN = 1
    # A record is corrupt: its bytes don't match its checksum, or its length or kind is invalid.
    DAMAGED = 2


KNOWN_KINDS = frozenset(RecordKind)
END_RECORD_BYTES = FRAME.size + 1 + OFFSET.size


@dataclass(slots=True, frozen=True)
class Record:
    """A record with its offset in the segment, in bytes."""

    kind: RecordKind
    payload: bytes
    offset: int


def encode_header(fields: dict[str, Any]) -> bytes:
    """Return the prefix and the header of a segment."""
    data = msgspec.msgpack.encode(fields)
    return PREFIX.pack(MAGIC, FORMAT_VERSION) + FRAME.pack(len(data), zlib.crc32(data)) + data


def encode_record(kind: RecordKind, payload: bytes) -> bytes:
    """Return a record with its frame."""
    body = bytes((kind,)) + payload
    return FRAME.pack(len(body), zlib.crc32(body)) + body


def encode_end(index_offset: int) -> bytes:
    """Return the END record, which points to the INDEX record before it."""
    return encode_record(RecordKind.END, OFFSET.pack(index_offset))


class SegmentIndex(msgspec.Struct, frozen=True):
    """Summary at the end of a complete segment, by which a reader can skip the segment.

    The field names are stored.
    """

    events: int
    lost: int  # events lost in gaps
    begin: float  # time of the first event, ms on the node's clock
    end: float  # time of the last event, ms on the node's clock
    low: int  # lowest request id that an event may be about; 0 where no event is recorded
    high: int  # highest request id that an event may be about
    # Number of an event, its time in ms, and the offset in bytes of the record that it begins.
    marks: list[tuple[int, float, int]]


def encode_trailer(index: SegmentIndex, index_offset: int) -> bytes:
    """Return the last two records of a segment, INDEX and END."""
    return encode_record(RecordKind.INDEX, msgspec.msgpack.encode(index)) + encode_end(index_offset)


_INDEX_DECODER: msgspec.msgpack.Decoder[SegmentIndex] = msgspec.msgpack.Decoder(SegmentIndex)


def read_index(tail: bytes, tail_offset: int) -> SegmentIndex | None:
    """Return the index found in the last bytes of a file, or None where there is no valid one.

    The tail begins at `tail_offset` in the file and must reach back to the index.
    """
    if len(tail) < END_RECORD_BYTES:
        return None
    length, crc = FRAME.unpack_from(tail, len(tail) - END_RECORD_BYTES)
    body = tail[len(tail) - END_RECORD_BYTES + FRAME.size :]
    if length != len(body) or zlib.crc32(body) != crc or body[0] != RecordKind.END:
        return None
    index_start = OFFSET.unpack_from(body, 1)[0] - tail_offset
    if not 0 <= index_start <= len(tail) - END_RECORD_BYTES - FRAME.size:
        return None
    length, crc = FRAME.unpack_from(tail, index_start)
    body = tail[index_start + FRAME.size : index_start + FRAME.size + length]
    if zlib.crc32(body) != crc or body[:1] != bytes((RecordKind.INDEX,)):
        return None
    try:
        return _INDEX_DECODER.decode(body[1:])
    except msgspec.MsgspecError:
        return None


class Segment:
    """Reads one segment.

    Once `records` has been iterated to its end, `ending` says how the segment ends, and
    `usable_bytes` how many bytes from its start are intact.
    """

    def __init__(self, data: bytes) -> None:
        """Read the header. Raises FormatError."""
        self.data = data
        if data[:4] != MAGIC[: len(data)]:
            raise FormatError("this is no capture")
        if len(data) < PREFIX.size:
            raise FormatError("the head is cut off")
        _, self.version = PREFIX.unpack_from(data)
        if self.version not in READABLE_VERSIONS:
            raise FormatError(
                f"format {self.version} is not read here, only {READABLE_VERSIONS[0]} to {READABLE_VERSIONS[-1]}"
            )
        try:
            length, crc = FRAME.unpack_from(data, PREFIX.size)
        except struct.error:
            raise FormatError("the head is cut off") from None
        header_offset = PREFIX.size + FRAME.size
        raw = data[header_offset : header_offset + length]
        if len(raw) < length:
            raise FormatError("the head is cut off")
        if zlib.crc32(raw) != crc:
            raise FormatError("the head is damaged")
        self.header: dict[str, Any] = msgspec.msgpack.decode(raw)
        self.records_offset = self.usable_bytes = header_offset + length
        self.ending = SegmentEnding.TORN

    def records(self) -> Iterator[Record]:
        """Yield each intact record, up to the first that is not."""
        data, offset = self.data, self.records_offset
        self.usable_bytes, self.ending = offset, SegmentEnding.TORN
        while offset + FRAME.size <= len(data):
            length, crc = FRAME.unpack_from(data, offset)
            end = offset + FRAME.size + length
            if not 1 <= length <= MAX_RECORD_BYTES:
                self.ending = SegmentEnding.DAMAGED
                return
            if end > len(data):
                return
            body = data[offset + FRAME.size : end]
            if zlib.crc32(body) != crc or body[0] not in KNOWN_KINDS:
                self.ending = SegmentEnding.DAMAGED
                return
            self.usable_bytes = end
            yield Record(RecordKind(body[0]), body[1:], offset)
            if body[0] == RecordKind.END:
                self.ending = SegmentEnding.WHOLE
                return
            offset = end

    def end_record(self, index_offset: int) -> bytes:
        """Return the END record for the format version of this segment."""
        return encode_record(RecordKind.END, b"") if self.version == 1 else encode_end(index_offset)
