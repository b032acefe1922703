"""Small files that are taken whole or not at all: a checksum, a line of JSON, and replaced by
rename."""

from __future__ import annotations

import json
import os
from hashlib import blake2b
from pathlib import Path
from typing import Any


class CorruptFileError(Exception):
    """What is in the file can't be taken: why."""


def encode_checksummed(content: dict[str, Any]) -> bytes:
    """The first line is the checksum of the second, which is JSON."""
    line = json.dumps(content, separators=(",", ":")).encode()
    return b"%b\n%b\n" % (checksum(line), line)


def decode_checksummed(data: bytes, version: int) -> dict[str, Any]:
    """What was sealed, of that `format`. Raises Unusable; nothing is taken in part."""
    expected_checksum, _, rest = data.partition(b"\n")
    line = rest.removesuffix(b"\n")
    if not rest.endswith(b"\n") or expected_checksum != checksum(line):
        raise CorruptFileError("it is cut off or was changed: its checksum does not fit")
    try:
        content: dict[str, Any] = json.loads(line)
        if content["format"] != version:
            raise CorruptFileError(f"it is of format {content['format']!r}, not {version}")
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise CorruptFileError(f"{type(error).__name__}: {error}") from None
    return content


def checksum(line: bytes) -> bytes:
    return blake2b(line, digest_size=16).hexdigest().encode()


def replace_file(path: Path, data: bytes, sync: bool = False) -> None:
    """Replace a file whole, on the disk where it is to be synced. Raises OSError; then the old one
    stays.

    The part has a name of its own: two processes may write at once, and the last one there wins."""
    temporary = path.with_name(f"{path.name}.{os.getpid()}")
    try:
        with temporary.open("wb") as file:
            file.write(data)
            if sync:
                file.flush()
                os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise
