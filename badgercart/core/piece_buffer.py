"""A queue of bytes in pieces of bounded size. It does no I/O.

Whatever the sizes in which a peer sends, the allocations are all of about one size, so that the heap
can use each of them again for the next peer.
"""

from __future__ import annotations

from collections import deque

# The most that one piece holds.
PIECE_BYTES = 4096
# What the objects of one piece take beside its bytes.
PIECE_OVERHEAD_BYTES = 96
# A shorter piece is filled up by what follows.
MIN_FULL_PIECE_BYTES = PIECE_BYTES // 2


def held_bytes(size_bytes: int) -> int:
    """Return how much memory so many bytes take in pieces."""
    return size_bytes + PIECE_OVERHEAD_BYTES * (-(-size_bytes // PIECE_BYTES))


class PieceBuffer:
    """A queue of bytes, first in, first out."""

    __slots__ = ("pieces", "size_bytes")

    def __init__(self) -> None:
        self.pieces: deque[bytes | bytearray] = deque()
        self.size_bytes = 0

    def __len__(self) -> int:
        return self.size_bytes

    def __bytes__(self) -> bytes:
        return b"".join(self.pieces)

    @property
    def held_bytes(self) -> int:
        """How much memory the content takes."""
        return self.size_bytes + PIECE_OVERHEAD_BYTES * len(self.pieces)

    def append(self, data: bytes | memoryview) -> None:
        """Add bytes at the end."""
        size = len(data)
        if size > PIECE_BYTES:
            for begin in range(0, size, PIECE_BYTES):
                self._append_piece(data[begin : begin + PIECE_BYTES])
        elif size:
            self._append_piece(data)

    def _append_piece(self, data: bytes | memoryview) -> None:
        size = len(data)
        self.size_bytes += size
        last = self.pieces[-1] if self.pieces else None
        if isinstance(last, bytearray) and len(last) + size <= PIECE_BYTES:
            last += data
        elif size >= MIN_FULL_PIECE_BYTES:
            self.pieces.append(bytes(data))
        else:
            self.pieces.append(bytearray(data))

    def pop_piece(self) -> bytes:
        """Take the first piece; there must be one."""
        piece = self.pieces.popleft()
        self.size_bytes -= len(piece)
        return bytes(piece)

    def take(self, max_bytes: int) -> bytes:
        """Take whole pieces from the front, up to about `max_bytes`; at least one, if there is one."""
        taken = 0
        pieces: list[bytes | bytearray] = []
        while self.pieces and (not pieces or taken + len(self.pieces[0]) <= max_bytes):
            piece = self.pieces.popleft()
            pieces.append(piece)
            taken += len(piece)
        self.size_bytes -= taken
        return b"".join(pieces)

    def clear(self) -> None:
        """Drop the content."""
        self.pieces.clear()
        self.size_bytes = 0

    def compact(self) -> bytes | PieceBuffer:
        """Return the content as bytes where it fits into one piece, or else this buffer."""
        return bytes(self) if self.size_bytes <= PIECE_BYTES else self


# The body of a message: long ones stay in pieces.
Body = bytes | PieceBuffer
