"""A TCP connection that carries length-prefixed frames."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Protocol, cast

from badgercart.distribution.errors import FrameError
from badgercart.distribution.messages import MAX_FRAME_BYTES, Codec, Message

FRAME_LENGTH = struct.Struct("!I")
# Above this size of its write buffer a connection is stalled: the state machine sends no more.
WRITE_HIGH_WATER_BYTES = 256 << 10
# Above this size of its write buffer a connection is closed.
MAX_WRITE_BUFFER_BYTES = 4 << 20
# A connection is closed if it stays stalled, or sent bytes stay unacknowledged, for this long.
STALL_TIMEOUT_S = 10.0
# The time to send the last messages of a connection that is being closed.
FLUSH_TIMEOUT_S = 1.0


class LinkOwner(Protocol):
    """The interface of the driver that owns a link."""

    loop: asyncio.AbstractEventLoop
    codec: Codec

    def link_opened(self, link: Link) -> None:
        """Handle an established connection."""

    def link_lost(self, link: Link) -> None:
        """Handle the loss of a connection."""

    def refuse(self, link: Link, kind: str, detail: str) -> None:
        """Close a connection that sends invalid frames or doesn't read."""

    def message_received(self, link: Link, message: Message) -> None:
        """Handle a received message."""

    def link_stalled(self, link: Link) -> None:
        """Stop sending to the link until `link_writable`."""

    def link_writable(self, link: Link) -> None:
        """Resume sending to a link that was stalled."""


class Link(asyncio.Protocol):
    """One connection.

    Attributes:
        number: identifies the connection in events and effects.
        replica: the name of the dialled replica; empty for other connections.
        remote: the address of the other end, for the log.
        is_closed: whether the connection is closed; data received after that is ignored.
        transport: the transport; None until connected.
    """

    def __init__(self, owner: LinkOwner, number: int, replica: str = "") -> None:
        self.number = number
        self.replica = replica
        self.remote = ""
        self.is_closed = False
        self.transport: asyncio.Transport | None = None
        self._owner = owner
        self._buffer = bytearray()
        self._stall_timer: asyncio.TimerHandle | None = None

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set buffer limits and timeouts, and notify the owner."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(WRITE_HIGH_WATER_BYTES)
        address = transport.get_extra_info("peername") or ("?", "?")
        self.remote = f"{address[0]}:{address[1]}"
        sock = transport.get_extra_info("socket")
        if sock is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
            timeout_ms = int(STALL_TIMEOUT_S * 1000)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
        self._owner.link_opened(self)

    def data_received(self, data: bytes) -> None:
        """Decode all complete frames and pass them to the owner."""
        self._buffer += data
        position = 0
        try:
            while not self.is_closed:
                frame = self._frame_at(position)
                if frame is None:
                    break
                position += FRAME_LENGTH.size + len(frame)
                self._owner.message_received(self, self._owner.codec.decode(frame))
        except FrameError as error:
            self._owner.refuse(self, error.kind, error.detail)
        if self.is_closed:
            self._buffer.clear()
        else:
            del self._buffer[:position]

    def _frame_at(self, position: int) -> bytes | None:
        """Return the frame at a position of the buffer; None if it is incomplete."""
        start = position + FRAME_LENGTH.size
        if len(self._buffer) < start:
            return None
        (length,) = FRAME_LENGTH.unpack_from(self._buffer, position)
        if length > MAX_FRAME_BYTES:
            detail = f"a frame of {length} bytes is over {MAX_FRAME_BYTES}"
            raise FrameError("oversized", detail)
        if len(self._buffer) < start + length:
            return None
        return bytes(self._buffer[start : start + length])

    def pause_writing(self) -> None:
        """Handle a full write buffer: notify the owner and start the stall timeout."""
        detail = f"over {WRITE_HIGH_WATER_BYTES} bytes are not read in {STALL_TIMEOUT_S:.0f} s"
        self._stall_timer = self._owner.loop.call_later(
            STALL_TIMEOUT_S, self._owner.refuse, self, "slow", detail
        )
        self._owner.link_stalled(self)

    def resume_writing(self) -> None:
        """Handle a drained write buffer: cancel the stall timeout and notify the owner."""
        self._cancel_stall_timer()
        self._owner.link_writable(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Notify the owner, unless it closed the connection itself."""
        self._cancel_stall_timer()
        if not self.is_closed:
            self.is_closed = True
            self._owner.link_lost(self)

    # Methods for the owner.

    def write(self, frame: bytes) -> None:
        """Send a frame. The link is refused if its write buffer is over the limit."""
        if self.is_closed or self.transport is None or self.transport.is_closing():
            return
        self.transport.write(FRAME_LENGTH.pack(len(frame)) + frame)
        if self.transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            self._owner.refuse(self, "slow", f"over {MAX_WRITE_BUFFER_BYTES} bytes wait to be read")

    def close(self) -> None:
        """Close the connection after its write buffer is sent, or after `FLUSH_TIMEOUT_S`."""
        self._end()
        if self.transport is not None:
            self.transport.close()
            self._owner.loop.call_later(FLUSH_TIMEOUT_S, self.transport.abort)

    def abort(self) -> None:
        """Close the connection at once."""
        self._end()
        if self.transport is not None:
            self.transport.abort()

    def _end(self) -> None:
        self.is_closed = True
        self._cancel_stall_timer()

    def _cancel_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
