"""Golden files: named pieces of bytes, a line each, compared with what the code writes today."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path


def text(pieces: Mapping[str, bytes]) -> str:
    """The file's form: each piece by its name, its bytes as a Python literal, a line of it a
    line."""
    lines = []
    for name, data in pieces.items():
        lines.append(f"[{name}]")
        lines += [f"{line!r}" for line in data.splitlines(keepends=True)]
    return "\n".join(lines) + "\n"


def differences(path: Path, pieces: Mapping[str, bytes]) -> list[str]:
    """The lines that stand in the file or are written, and not both, in their places."""
    stored = path.read_text("ascii").splitlines()
    written = text(pieces).splitlines()
    if stored == written:
        return []
    pairs = zip(stored, written, strict=False)
    found = [f"stored {old}, written {new}" for old, new in pairs if old != new]
    return found or [f"stored {len(stored)} lines, written {len(written)}"]
