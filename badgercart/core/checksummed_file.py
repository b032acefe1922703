"""Small files that are read whole or not at all: a checksum, a line of JSON, replaced by rename."""

from __future__ import annotations

import json
import os
from hashlib import blake2b
from pathlib import Path
from typing import Any

from badgercart.core.errors import CoreError


class CorruptFileError(CoreError):
    """The content of a file can't be used."""

    def __init__(self, reason: str) -> None:
        """Keep the reason in words."""
        super().__init__(reason)
        self.reason = reason


def encode_checksummed(content: dict[str, Any]) -> bytes:
    """Return a file whose first line is the checksum of the second, which is the content as JSON."""
    line = json.dumps(content, separators=(",", ":")).encode()
    return b"%b\n%b\n" % (checksum(line), line)


def decode_checksummed(data: bytes, version: int) -> dict[str, Any]:
    """Return the content of a file whose field `format` has this version.

    Raises:
        CorruptFileError: the file was cut off or changed, or has another format.
    """
    first, _, rest = data.partition(b"\n")
    line = rest.removesuffix(b"\n")
    if not rest.endswith(b"\n") or first != checksum(line):
        raise CorruptFileError("it is cut off or was changed: its checksum does not fit")
    try:
        content: dict[str, Any] = json.loads(line)
        found = content["format"]
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise CorruptFileError(f"{type(error).__name__}: {error}") from error
    if found != version:
        raise CorruptFileError(f"it is of format {found!r}, not {version}")
    return content


def checksum(line: bytes) -> bytes:
    """Return the checksum of a line, as hexadecimal digits."""
    return blake2b(line, digest_size=16).hexdigest().encode()


def replace_file(path: Path, data: bytes, sync: bool = False) -> None:
    """Replace a file whole, and have it on the disk before this returns where `sync` is set.

    The temporary file has the process's id in its name: two processes may write at once, and the
    last one to rename wins.

    Raises:
        OSError: it can't be written; the old file stays.
    """
    part = path.with_name(f"{path.name}.{os.getpid()}")
    try:
        with part.open("wb") as file:
            file.write(data)
            if sync:
                file.flush()
                os.fsync(file.fileno())
        os.replace(part, path)
    except OSError:
        part.unlink(missing_ok=True)
        raise
