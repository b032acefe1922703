"""The buffer that all connections of the process read into.

It bounds what is read at once, however much has arrived. An event loop asks for the buffer and
fills it in one step, so that all connections of a loop can share it.
"""

from __future__ import annotations

MAX_READ_BYTES = 65536

_buffer = bytearray(MAX_READ_BYTES)
_view = memoryview(_buffer)


def get_read_buffer() -> memoryview:
    """Return the shared buffer for the next read."""
    return _view


def copy_read_bytes(count: int) -> bytes:
    """Return a copy of the first `count` bytes, which the last read has filled."""
    return bytes(_view[:count])
