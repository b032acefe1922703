"""Golden files: named byte strings that are compared with the current output of the code."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path


def format_pieces(pieces: Mapping[str, bytes]) -> str:
    """Return the content of a golden file.

    Each piece has a line with its name, then one bytes literal for each line of its data.
    """
    lines = []
    for name, data in pieces.items():
        lines.append(f"[{name}]")
        lines += [f"{line!r}" for line in data.splitlines(keepends=True)]
    return "\n".join(lines) + "\n"


def differences(path: Path, pieces: Mapping[str, bytes]) -> list[str]:
    """Return the lines that differ between the golden file and the pieces.

    Where only the number of lines differs, the result is one line with both numbers.
    """
    stored = path.read_text("ascii").splitlines()
    written = format_pieces(pieces).splitlines()
    if stored == written:
        return []
    pairs = zip(stored, written, strict=False)
    found = [f"stored {old}, written {new}" for old, new in pairs if old != new]
    return found or [f"stored {len(stored)} lines, written {len(written)}"]
