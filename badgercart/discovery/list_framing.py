"""Takes the lists of a watch out of its bytes. No I/O.

A list is a JSON object on a line of its own, or an indented one over several; an empty line between
two is a sign of life. JSON has no line ends within its texts, so that brackets can be counted line
by line.
"""

from __future__ import annotations

import json
import re
from typing import Any

MAX_LIST_BYTES = 8 << 20  # bytes of one list

_TEXT = re.compile(rb'"(?:[^"\\]|\\.)*"')


class ListFramingError(ValueError):
    """What came is no list, or only a part of one: a change may have been missed with it."""


def depth(line: bytes) -> int:
    """How many more brackets open than close on a line."""
    bare = _TEXT.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


def parse_list(text: bytes) -> dict[str, Any]:
    """A whole list. Raises ListFramingError."""
    try:
        found = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ListFramingError(str(error)) from None
    if not isinstance(found, dict):
        raise ListFramingError("no object")
    return found


class ListParser:
    """The machine: bytes in, lists out."""

    def __init__(self) -> None:
        self.line = b""  # its end has not come
        self.lines: list[bytes] = []  # of a list that is not whole
        self.size = self.open = 0  # bytes of these; brackets

    @property
    def partial(self) -> bool:
        """Whether a list has begun and is not whole."""
        return bool(self.lines or self.line.strip())

    def feed(self, data: bytes) -> list[dict[str, Any] | None]:
        """What has come whole with this: lists, and None for each sign of life. Raises ListFramingError."""
        *lines, self.line = (self.line + data).split(b"\n")
        found = [told for line in lines for told in self.take(line.strip())]
        if self.size + len(self.line) > MAX_LIST_BYTES:
            raise ListFramingError(f"over {MAX_LIST_BYTES} bytes")
        return found

    def end(self) -> list[dict[str, Any] | None]:
        """There is no more: the last line needs no end. Raises ListFramingError where a list is not whole."""
        line, self.line = self.line.strip(), b""
        found = self.take(line) if line else []
        if self.lines:
            raise ListFramingError("it ended within a list")
        return found

    def take(self, line: bytes) -> list[dict[str, Any] | None]:
        if not self.lines:
            if not line:
                return [None]
            if not line.startswith(b"{"):
                raise ListFramingError(f"no list: {line[:40]!r}")
            if line.endswith(b"}"):  # most are whole: their brackets need not be counted
                try:
                    return [parse_list(line)]
                except ListFramingError:
                    if depth(line) <= 0:
                        raise
        elif not line or (line.startswith(b"{") and b'"generation"' in line):
            raise ListFramingError(
                "another line within a list that is not whole"
            )  # the rest of that one never came
        self.lines.append(line)
        self.size += len(line)
        self.open += depth(line)
        if self.open > 0:
            return []
        text = b"\n".join(self.lines)
        self.lines, self.size, self.open = [], 0, 0
        return [parse_list(text)]
