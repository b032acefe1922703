"""Splits the bytes of a watch into lists.

A list is a JSON object on one line, or an indented one over several lines. An empty line between
two lists is a heartbeat. JSON strings contain no line breaks, so that brackets can be counted line
by line.

This module does no I/O.
"""

from __future__ import annotations

import json
import re
from typing import Any

MAX_LIST_BYTES = 8 << 20

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class ListFramingError(ValueError):
    """The bytes are no list, or only a part of one.

    A change may have been missed with it.
    """


def bracket_balance(line: bytes) -> int:
    """Return how many more brackets open than close on a line."""
    bare = _STRING.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


def parse_list(text: bytes) -> dict[str, Any]:
    """Parse a complete list. Raises ListFramingError."""
    try:
        parsed = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ListFramingError(str(error)) from None
    if not isinstance(parsed, dict):
        raise ListFramingError("no object")
    return parsed


class ListParser:
    """Parses a stream incrementally: bytes in, lists out."""

    def __init__(self) -> None:
        """Start at the beginning of a line."""
        # The last line, whose end has not been received.
        self.line = b""
        # The complete lines of an incomplete list, their bytes, and their unclosed brackets.
        self.lines: list[bytes] = []
        self.size_bytes = self.open_brackets = 0

    @property
    def partial(self) -> bool:
        """Whether a list has begun and is incomplete."""
        return bool(self.lines or self.line.strip())

    def feed(self, data: bytes) -> list[dict[str, Any] | None]:
        """Return the lists that these bytes complete, and None for each heartbeat.

        Raises ListFramingError.
        """
        *lines, self.line = (self.line + data).split(b"\n")
        parsed = [item for line in lines for item in self._take_line(line.strip())]
        if self.size_bytes + len(self.line) > MAX_LIST_BYTES:
            raise ListFramingError(f"over {MAX_LIST_BYTES} bytes")
        return parsed

    def end(self) -> list[dict[str, Any] | None]:
        """Return what the end of the stream completes: the last line needs no line break.

        Raises ListFramingError where a list is incomplete.
        """
        line, self.line = self.line.strip(), b""
        parsed = self._take_line(line) if line else []
        if self.lines:
            raise ListFramingError("it ended within a list")
        return parsed

    def _take_line(self, line: bytes) -> list[dict[str, Any] | None]:
        if not self.lines:
            if not line:
                return [None]
            if not line.startswith(b"{"):
                raise ListFramingError(f"no list: {line[:40]!r}")
            # Most lists are complete on one line: their brackets need not be counted.
            if line.endswith(b"}"):
                try:
                    return [parse_list(line)]
                except ListFramingError:
                    if bracket_balance(line) <= 0:
                        raise
        elif not line or (line.startswith(b"{") and b'"generation"' in line):
            # The rest of the list that had begun was never sent.
            raise ListFramingError("another line within a list that is not whole")
        self.lines.append(line)
        self.size_bytes += len(line)
        self.open_brackets += bracket_balance(line)
        if self.open_brackets > 0:
            return []
        text = b"\n".join(self.lines)
        self.lines, self.size_bytes, self.open_brackets = [], 0, 0
        return [parse_list(text)]
