"""The buffer that all connections of the process read into.

It bounds what is read at once, however much has arrived. An event loop asks for the buffer and
fills it in one step, so that all connections of a loop can share it.
"""

from __future__ import annotations

from badgercart.core.memory_budget import MAX_READ_BYTES

_buffer = bytearray(MAX_READ_BYTES)
_view = memoryview(_buffer)


def get_read_buffer(limit_bytes: int = MAX_READ_BYTES) -> memoryview:
    """Return the shared buffer for the next read, which is for so many bytes at most."""
    return _view if limit_bytes >= MAX_READ_BYTES else _view[:limit_bytes]


def read_bytes(count: int) -> memoryview:
    """Return the first `count` bytes, which the last read has filled; the next read replaces them."""
    return _view[:count]
