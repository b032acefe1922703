"""Takes the lists of a watch out of its bytes. No I/O.

A list is a JSON object on a line of its own, or an indented one over several lines; an empty line
between two is a sign of life. JSON has no line ends within its strings, so that brackets can be
counted line by line.
"""

from __future__ import annotations

import json
import re
from typing import Any

from badgercart.discovery.errors import MalformedListError

MAX_LIST_BYTES = 8 << 20

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


def bracket_depth(line: bytes) -> int:
    """Return how many more brackets open than close on a line."""
    bare = _STRING.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


def parse_list(text: bytes) -> dict[str, Any]:
    """Return a list that is whole.

    Raises:
        MalformedListError: it is none.
    """
    try:
        found = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise MalformedListError(str(error)) from error
    if not isinstance(found, dict):
        raise MalformedListError("no object")
    return found


class ListDecoder:
    """The machine: bytes in, lists out, and None for each sign of life."""

    def __init__(self) -> None:
        """Set up a decoder that has been fed nothing."""
        self.unfinished_line = b""
        self.unfinished_list: list[bytes] = []  # its lines
        self.size_bytes = 0  # of these
        self.open_brackets = 0  # in these

    @property
    def has_partial_list(self) -> bool:
        """Whether a list has begun and is not whole."""
        return bool(self.unfinished_list or self.unfinished_line.strip())

    def feed(self, data: bytes) -> list[dict[str, Any] | None]:
        """Return what has come whole with these bytes.

        Raises:
            MalformedListError: what came is no list, or over the limit.
        """
        *lines, self.unfinished_line = (self.unfinished_line + data).split(b"\n")
        found = [item for line in lines for item in self._take_line(line.strip())]
        if self.size_bytes + len(self.unfinished_line) > MAX_LIST_BYTES:
            raise MalformedListError(f"over {MAX_LIST_BYTES} bytes")
        return found

    def finish(self) -> list[dict[str, Any] | None]:
        """Return what was left: there is no more, and the last line needs no end.

        Raises:
            MalformedListError: a list is not whole.
        """
        line, self.unfinished_line = self.unfinished_line.strip(), b""
        found = self._take_line(line) if line else []
        if self.unfinished_list:
            raise MalformedListError("it ended within a list")
        return found

    def _take_line(self, line: bytes) -> list[dict[str, Any] | None]:
        if not self.unfinished_list:
            if not line:
                return [None]
            if not line.startswith(b"{"):
                raise MalformedListError(f"no list: {line[:40]!r}")
            found = parse_if_whole(line)
            if found is not None:
                return [found]
        elif not line or (line.startswith(b"{") and b'"generation"' in line):
            # The rest of the list that was begun never came.
            raise MalformedListError("another line within a list that is not whole")
        return self._take_part(line)

    def _take_part(self, line: bytes) -> list[dict[str, Any] | None]:
        """Take a line of a list over several lines, and return the list with its last line."""
        self.unfinished_list.append(line)
        self.size_bytes += len(line)
        self.open_brackets += bracket_depth(line)
        if self.open_brackets > 0:
            return []
        text = b"\n".join(self.unfinished_list)
        self.unfinished_list, self.size_bytes, self.open_brackets = [], 0, 0
        return [parse_list(text)]


def parse_if_whole(line: bytes) -> dict[str, Any] | None:
    """Return the list on a line; None where it goes on over further lines.

    Most lists are whole, so that their brackets need not be counted.
    """
    if not line.endswith(b"}"):
        return None
    try:
        return parse_list(line)
    except MalformedListError:
        if bracket_depth(line) <= 0:
            raise
    return None
