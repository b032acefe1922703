"""One TCP connection that carries frames behind their lengths."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Protocol, cast

from badgercart.distribution.errors import FrameError
from badgercart.distribution.messages import MAX_FRAME_BYTES, Codec, Message

FRAME_LENGTH = struct.Struct("!I")
WRITE_HIGH_WATER_BYTES = (
    256 << 10
)  # waiting to be written, above which the machine sends nothing more
MAX_WRITE_BUFFER_BYTES = 4 << 20  # a connection for which more waits is closed
STALL_TIMEOUT_S = 10.0  # in which what waits has to go, and sent bytes to be acknowledged
FLUSH_TIMEOUT_S = 1.0  # for the last messages to a connection that is closed


class LinkOwner(Protocol):
    """The driver to which a link belongs."""

    loop: asyncio.AbstractEventLoop
    codec: Codec

    def link_opened(self, link: Link) -> None:
        """Take a connection that is up."""

    def link_lost(self, link: Link) -> None:
        """Forget a connection that is gone."""

    def refuse(self, link: Link, kind: str, detail: str) -> None:
        """Close a connection for what it sent or doesn't read."""

    def message_received(self, link: Link, message: Message) -> None:
        """Take a message."""

    def link_stalled(self, link: Link) -> None:
        """Send nothing more, until `link_writable`."""

    def link_writable(self, link: Link) -> None:
        """Go on with a link that was stalled."""


class Link(asyncio.Protocol):
    """One connection.

    Attributes:
        number: by which the machine knows it.
        replica: the replica that was dialled; empty where the connection came in.
        remote: the other end's address, for people.
        is_closed: whether the owner is done with it; what still comes is ignored.
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

    # The loop's calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set bounds and hand the connection over."""
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
        """Take all whole frames."""
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
        """Return the frame at a position of the buffer; None where it is not whole yet."""
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
        """Stop the machine, and set a time for what waits."""
        detail = f"over {WRITE_HIGH_WATER_BYTES} bytes are not read in {STALL_TIMEOUT_S:.0f} s"
        self._stall_timer = self._owner.loop.call_later(
            STALL_TIMEOUT_S, self._owner.refuse, self, "slow", detail
        )
        self._owner.link_stalled(self)

    def resume_writing(self) -> None:
        """Have the machine go on."""
        self._cancel_stall_timer()
        self._owner.link_writable(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Tell the owner, unless it has closed this itself."""
        self._cancel_stall_timer()
        if not self.is_closed:
            self.is_closed = True
            self._owner.link_lost(self)

    # The owner's calls.

    def write(self, frame: bytes) -> None:
        """Send a frame. The link is refused where too much waits to be written."""
        if self.is_closed or self.transport is None or self.transport.is_closing():
            return
        self.transport.write(FRAME_LENGTH.pack(len(frame)) + frame)
        if self.transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            self._owner.refuse(self, "slow", f"over {MAX_WRITE_BUFFER_BYTES} bytes wait to be read")

    def close(self) -> None:
        """Send what waits, for `FLUSH_TIMEOUT_S` at most, and let go."""
        self._end()
        if self.transport is not None:
            self.transport.close()
            self._owner.loop.call_later(FLUSH_TIMEOUT_S, self.transport.abort)

    def abort(self) -> None:
        """Let go at once."""
        self._end()
        if self.transport is not None:
            self.transport.abort()

    def _end(self) -> None:
        self.is_closed = True
        self._cancel_stall_timer()

    def _cancel_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
