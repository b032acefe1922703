"""The one buffer that connections read into, so that a read has a bound however much has come.

A loop asks for the buffer and fills it in one step, so that all connections of a loop share it.
"""

from __future__ import annotations

READ_SIZE_BYTES = 65536

_buffer = bytearray(READ_SIZE_BYTES)
_view = memoryview(_buffer)


def shared_buffer() -> memoryview:
    """Return the buffer to read into."""
    return _view


def copy_received(count: int) -> bytes:
    """Return a copy of the first `count` bytes of the buffer."""
    return bytes(_view[:count])
