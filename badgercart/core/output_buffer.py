"""What waits to be written to a socket.

A transport keeps whole what it was given until the last byte has been sent. So it is given one
batch at a time, and the rest waits here, where its size is known.
"""

from __future__ import annotations

import asyncio

from badgercart.core.piece_buffer import PieceBuffer

# The most that a transport is given at once.
BATCH_BYTES = 16384


class OutputBuffer:
    """The output of one connection, in order.

    The transport has to call `pause` and `resume` by way of its protocol. It does so as soon as the
    socket does not take all.

    Attributes:
        paused: whether the transport still has a part of its last batch.
        waiting: what follows that batch.
    """

    __slots__ = ("batch_bytes", "is_ending", "paused", "transport", "waiting")

    transport: asyncio.Transport

    def __init__(self) -> None:
        self.waiting: PieceBuffer | None = None  # most connections never need it
        self.batch_bytes = 0
        self.paused = False
        self.is_ending = False

    def attach(self, transport: asyncio.Transport) -> None:
        """Write to this transport from now on."""
        self.transport = transport
        transport.set_write_buffer_limits(high=0)

    def write(self, data: bytes) -> None:
        """Write these bytes after all others."""
        if self.paused:
            self._wait(data)
        elif len(data) <= BATCH_BYTES:
            self.batch_bytes = len(data)
            self.transport.write(data)
        else:
            self._write_batches(data)

    def _write_batches(self, data: bytes) -> None:
        for begin in range(0, len(data), BATCH_BYTES):
            self.write(data[begin : begin + BATCH_BYTES])

    def _wait(self, data: bytes) -> None:
        if self.waiting is None:
            self.waiting = PieceBuffer()
        self.waiting.append(data)

    def pause(self) -> None:
        """Note that the socket has not taken all of the last batch."""
        self.paused = True

    def resume(self) -> bool:
        """Go on writing; return whether all has been written."""
        self.paused = False
        while self.waiting and not self.paused and not self.transport.is_closing():
            self.write(self.waiting.take(BATCH_BYTES))
        if self.paused:
            return False
        self.waiting = None
        if self.is_ending:
            self._end()
        return True

    def end(self) -> None:
        """Send the end of the stream after what has been written."""
        self.is_ending = True
        if not self.waiting:
            self._end()

    def _end(self) -> None:
        if not self.transport.is_closing() and self.transport.can_write_eof():
            self.transport.write_eof()
        else:
            self.transport.close()

    @property
    def is_empty(self) -> bool:
        """Whether the socket has taken all."""
        return not self.paused

    @property
    def unsent_bytes(self) -> int:
        """How many bytes the socket has not taken."""
        if not self.paused:
            return 0
        return self.transport.get_write_buffer_size() + len(self.waiting or b"")

    @property
    def held_bytes(self) -> int:
        """How much memory the output takes."""
        if not self.paused:
            return 0
        return self.batch_bytes + (self.waiting.held_bytes if self.waiting else 0)

    def release(self) -> None:
        """Free what waits: the connection is lost."""
        self.waiting = None
        self.paused = False
