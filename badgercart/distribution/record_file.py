"""A file format of checksummed records, which distinguishes crashes from corruption.

A record consists of the length of its body, the CRC32 of the body, the CRC32 of these eight bytes,
and the body. A crash can only leave the last record incomplete, which is then truncated. An invalid
record followed by a valid one is not the result of a crash, so the file is rejected as corrupt.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from badgercart.distribution.errors import JournalError

RECORD_HEADER_BYTES = 12


@dataclass(slots=True, frozen=True)
class Records:
    """The valid records at the beginning of a file.

    Attributes:
        bodies: the bodies of the records.
        length_bytes: the size of these records, without an incomplete one at the end.
    """

    bodies: list[bytes]
    length_bytes: int


def encode_record(body: bytes) -> bytes:
    """Return the record of a body."""
    head = len(body).to_bytes(4) + zlib.crc32(body).to_bytes(4)
    return head + zlib.crc32(head).to_bytes(4) + body


def decode_record(data: bytes, position: int = 0) -> bytes | None:
    """Return the body of the valid record at a position; None if there is none."""
    length = _body_length(data, position)
    if length is None or position + RECORD_HEADER_BYTES + length > len(data):
        return None
    body = data[position + RECORD_HEADER_BYTES : position + RECORD_HEADER_BYTES + length]
    body_crc = int.from_bytes(data[position + 4 : position + 8])
    return body if zlib.crc32(body) == body_crc else None


def _body_length(data: bytes, position: int) -> int | None:
    """Return the body length in the record header at a position; None if it is invalid."""
    if len(data) - position < RECORD_HEADER_BYTES:
        return None
    head = data[position : position + 8]
    head_crc = int.from_bytes(data[position + 8 : position + RECORD_HEADER_BYTES])
    return int.from_bytes(head[:4]) if zlib.crc32(head) == head_crc else None


def read_records(data: bytes, name: str) -> Records:
    """Return the valid records of a file, whose name is used in errors.

    Raises:
        JournalError: a valid record follows an invalid one.
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
    """Raise JournalError if a valid record follows the invalid one at a position."""
    length = _body_length(data, position)
    # A valid header tells where the next record begins; otherwise it may begin at any byte.
    first = position + 1 if length is None else position + RECORD_HEADER_BYTES + length
    for candidate in range(first, len(data)):
        if decode_record(data, candidate) is not None:
            detail = (
                f"the record at byte {position} is spoilt, "
                f"and the one at byte {candidate} is whole"
            )
            raise JournalError(name, detail)
