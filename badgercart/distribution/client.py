"""An operator's connection to one replica."""

from __future__ import annotations

import asyncio
import contextlib

from badgercart.config import Address
from badgercart.distribution.errors import FrameError
from badgercart.distribution.link import FRAME_LENGTH
from badgercart.distribution.messages import MAX_FRAME_BYTES, Codec, Hello, Message

# The name in the client's Hello.
OPERATOR_NAME = "operator"


class Client:
    """An operator's connection to one replica, as a context manager."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def __init__(self, address: Address, codec: Codec) -> None:
        self._address = address
        self._codec = codec

    async def __aenter__(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection(*self._address)
        self.write(Hello(OPERATOR_NAME, False))
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()
        with contextlib.suppress(OSError):
            await self.writer.wait_closed()

    def write(self, message: Message) -> None:
        """Send a message. Raises FrameError if it exceeds a limit."""
        frame = self._codec.encode(message)
        self.writer.write(FRAME_LENGTH.pack(len(frame)) + frame)

    async def read(self) -> Message:
        """Return the next message other than Hello.

        Raises:
            FrameError: the received frame is invalid or of another group.
            OSError: the connection failed.
            asyncio.IncompleteReadError: the replica closed the connection.
        """
        while True:
            message = await self._read_any()
            if not isinstance(message, Hello):
                return message

    async def _read_any(self) -> Message:
        (length,) = FRAME_LENGTH.unpack(await self.reader.readexactly(FRAME_LENGTH.size))
        if length > MAX_FRAME_BYTES:
            detail = f"a frame of {length} bytes is over {MAX_FRAME_BYTES}"
            raise FrameError("oversized", detail)
        return self._codec.decode(await self.reader.readexactly(length))
