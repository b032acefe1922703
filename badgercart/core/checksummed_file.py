"""Small files that are read completely or not at all.

A file is a checksum line and a line of JSON, and is replaced by a rename.
"""

from __future__ import annotations

import json
import os
from hashlib import blake2b
from pathlib import Path
from typing import Any


class CorruptFileError(Exception):
    """The content of the file can't be used; the message says why."""


def encode_checksummed(content: dict[str, Any]) -> bytes:
    """Return a line with the checksum, followed by the content as a line of JSON."""
    line = json.dumps(content, separators=(",", ":")).encode()
    return b"%b\n%b\n" % (checksum(line), line)


def decode_checksummed(data: bytes, version: int) -> dict[str, Any]:
    """Return the content, whose `format` must be `version`.

    Raises CorruptFileError; no part of a corrupt file is used.
    """
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
    """Return the checksum of a line as hexadecimal digits."""
    return blake2b(line, digest_size=16).hexdigest().encode()


def replace_file(path: Path, data: bytes, sync: bool = False) -> None:
    """Replace a file atomically; with `sync`, flush the data to the disk first.

    Raises OSError; the old file then stays. The temporary file is named after the process: two
    processes may write at once, and the last rename wins.
    """
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
