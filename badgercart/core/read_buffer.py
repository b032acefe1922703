"""The one buffer that connections read into: what is read at once has a bound, however much has
come.

A loop asks for the buffer and fills it in one step, so that all connections of a loop can share it.
"""

from __future__ import annotations

MAX_READ_BYTES = 65536  # bytes read at once

_buffer = bytearray(MAX_READ_BYTES)
_view = memoryview(_buffer)


def get_read_buffer() -> memoryview:
    return _view


def copy_read_bytes(count: int) -> bytes:
    """A copy of what was read into it."""
    return bytes(_view[:count])
