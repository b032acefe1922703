"""Records in a file: bodies behind a checked head, so that a crash can be told from damage.

A record is the length of its body, the CRC32 of the body, the CRC32 of these eight bytes, and the
body. A crash spoils the last record alone, which is then cut off. A spoilt record with a whole one
behind it was not left by a crash, and nothing of the file is trusted.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from badgercart.distribution.errors import JournalError

RECORD_HEADER_BYTES = 12  # before a record's body


@dataclass(slots=True, frozen=True)
class Records:
    """The whole records at the beginning of a file."""

    bodies: list[bytes]
    length_bytes: int  # that they take; what a crash left behind them is not counted


def encode_record(body: bytes) -> bytes:
    """Return a record."""
    head = len(body).to_bytes(4) + zlib.crc32(body).to_bytes(4)
    return head + zlib.crc32(head).to_bytes(4) + body


def decode_record(data: bytes, position: int = 0) -> bytes | None:
    """Return the body of the whole record that begins at a position; None where there is none."""
    length = _body_length(data, position)
    if length is None or position + RECORD_HEADER_BYTES + length > len(data):
        return None
    body = data[position + RECORD_HEADER_BYTES : position + RECORD_HEADER_BYTES + length]
    body_crc = int.from_bytes(data[position + 4 : position + 8])
    return body if zlib.crc32(body) == body_crc else None


def _body_length(data: bytes, position: int) -> int | None:
    """Return the length in the head at a position; None where there is no whole head."""
    if len(data) - position < RECORD_HEADER_BYTES:
        return None
    head = data[position : position + 8]
    head_crc = int.from_bytes(data[position + 8 : position + RECORD_HEADER_BYTES])
    return int.from_bytes(head[:4]) if zlib.crc32(head) == head_crc else None


def read_records(data: bytes, name: str) -> Records:
    """Return the records of a file.

    Raises:
        JournalError: a whole record stands behind a spoilt one; `name` is the file's.
    """
    bodies: list[bytes] = []
    position = 0
    while position < len(data):
        body = decode_record(data, position)
        if body is None:
            _check_nothing_follows(data, position, name)
            break
        bodies.append(body)
        position += RECORD_HEADER_BYTES + len(body)
    return Records(bodies, position)


def _check_nothing_follows(data: bytes, position: int, name: str) -> None:
    """Raise JournalError where a whole record stands behind the spoilt one at a position."""
    length = _body_length(data, position)
    # A whole head says where the next record begins; else it may begin anywhere.
    first = position + 1 if length is None else position + RECORD_HEADER_BYTES + length
    for candidate in range(first, len(data)):
        if decode_record(data, candidate) is not None:
            detail = (
                f"the record at byte {position} is spoilt, "
                f"and the one at byte {candidate} is whole"
            )
            raise JournalError(name, detail)
