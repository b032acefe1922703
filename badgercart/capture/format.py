"""A segment of a capture, byte by byte. No I/O.

    segment = magic "BCAP" | version u16 | head | record*
    head    = length u32 | crc32 u32 | MessagePack map
    record  = length u32 | crc32 u32 | kind u8 | payload      (length and crc32 cover kind and payload)

All numbers are big-endian; crc32 is zlib's. Kinds: 1 EVENT (decisions' running crc32 u32, then the event),
2 INDEX (MessagePack [[record, time, offset], ...]), 3 GAP (count u64), 4 END (empty: the segment is whole).
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
VERSION = 1
PREFIX = struct.Struct(">4sH")
FRAME = struct.Struct(">II")
EVENT = struct.Struct(">BI")
MAX_RECORD = 1 << 26  # bytes; a longer one is damage
INDEX_EVERY = 4096  # records between entries of the index


class FormatError(Exception):
    """A file that is no capture, or whose head can't be read."""


class Kind(IntEnum):
    EVENT = 1
    INDEX = 2
    GAP = 3
    END = 4


class Ending(IntEnum):
    """How a segment ends."""

    WHOLE = 0
    TORN = 1  # in the middle of a record, or with none that says END: it was cut off
    DAMAGED = 2  # a record's bytes are not those that were written


@dataclass(slots=True, frozen=True)
class Record:
    kind: Kind
    payload: bytes
    offset: int


def head(fields: dict[str, Any]) -> bytes:
    data = msgspec.msgpack.encode(fields)
    return PREFIX.pack(MAGIC, VERSION) + FRAME.pack(len(data), zlib.crc32(data)) + data


def record(kind: Kind, payload: bytes) -> bytes:
    body = bytes((kind,)) + payload
    return FRAME.pack(len(body), zlib.crc32(body)) + body


def event_record(running: int, event: bytes) -> bytes:
    """The same for an event, in one go."""
    body = EVENT.pack(Kind.EVENT, running) + event
    return FRAME.pack(len(body), zlib.crc32(body)) + body


class Segment:
    """Reads one segment. After `records`, `ending` holds, and `good`: the bytes that can be used."""

    def __init__(self, data: bytes) -> None:
        """Raises FormatError."""
        self.data = data
        if data[:4] != MAGIC[: len(data)]:
            raise FormatError("this is no capture")
        if len(data) < PREFIX.size:
            raise FormatError("the head is cut off")
        _, self.version = PREFIX.unpack_from(data)
        if self.version != VERSION:
            raise FormatError(f"format {self.version} is not read here, only {VERSION}")
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
        self.start = self.good = start + length
        self.ending = Ending.TORN

    def records(self) -> Iterator[Record]:
        """Each record that is whole, up to the first that is not."""
        data, at = self.data, self.start
        self.good, self.ending = at, Ending.TORN
        while at + FRAME.size <= len(data):
            length, crc = FRAME.unpack_from(data, at)
            end = at + FRAME.size + length
            if not 1 <= length <= MAX_RECORD:
                self.ending = Ending.DAMAGED
                return
            if end > len(data):
                return
            body = data[at + FRAME.size : end]
            if zlib.crc32(body) != crc or body[0] not in Kind.__members__.values():
                self.ending = Ending.DAMAGED
                return
            self.good = end
            yield Record(Kind(body[0]), body[1:], at)
            if body[0] == Kind.END:
                self.ending = Ending.WHOLE
                return
            at = end
