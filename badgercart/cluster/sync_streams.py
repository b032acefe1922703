"""Push-pulls over TCP: one length-prefixed packet in each direction on a new connection."""

from __future__ import annotations

import asyncio
import contextlib
import struct
from collections.abc import Callable

from badgercart.cluster.codec import MAX_SYNC_BYTES
from badgercart.cluster.messages import Packet
from badgercart.cluster.packet_gate import PacketGate
from badgercart.config import Address

# The prefix of a packet: its size in bytes.
FRAME_LENGTH = struct.Struct("!I")
# Push-pulls at once, for the client and for the server each.
MAX_CONCURRENT_SYNCS = 8
SYNC_TIMEOUT_S = 2.0

Reply = Callable[[Packet], None]


class _PacketStream:
    """Length-prefixed packets on one connection."""

    __slots__ = ("_gate", "_reader", "_writer")

    def __init__(
        self, gate: PacketGate, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._gate, self._reader, self._writer = gate, reader, writer

    def write(self, packet: Packet) -> None:
        data = self._gate.encode(packet)
        self._gate.bytes_out += len(data)
        self._writer.write(FRAME_LENGTH.pack(len(data)) + data)

    async def read(self, source: Address) -> Packet | None:
        """Return the next packet, or None if it is rejected."""
        return self._gate.decode(await self._read_frame(), source, MAX_SYNC_BYTES)

    async def _read_frame(self) -> bytes:
        (length,) = FRAME_LENGTH.unpack(await self._reader.readexactly(FRAME_LENGTH.size))
        if length > MAX_SYNC_BYTES:
            # The gate rejects this as oversized; nothing of the packet is read.
            return bytes(MAX_SYNC_BYTES + 1)
        self._gate.bytes_in += length
        return await self._reader.readexactly(length)


class SyncClient:
    """Starts push-pulls, and passes each reply and its source to `receive`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        gate: PacketGate,
        receive: Callable[[Packet, Address], None],
    ) -> None:
        self._loop, self._gate, self._receive = loop, gate, receive
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, packet: Packet, address: Address, local_host: str) -> None:
        """Send a packet to a node, unless too many push-pulls are in flight."""
        if len(self._tasks) >= MAX_CONCURRENT_SYNCS:
            return
        task = self._loop.create_task(self._exchange(packet, address, local_host))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel all push-pulls."""
        for task in self._tasks:
            task.cancel()

    async def _exchange(self, packet: Packet, address: Address, local_host: str) -> None:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            reply = await self._request(packet, address, local_host)
            if reply is not None:
                self._receive(reply, address)

    async def _request(self, packet: Packet, address: Address, local_host: str) -> Packet | None:
        async with asyncio.timeout(SYNC_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                *address, limit=MAX_SYNC_BYTES, local_addr=(local_host, 0)
            )
            try:
                stream = _PacketStream(self._gate, reader, writer)
                stream.write(packet)
                return await stream.read(address)
            finally:
                writer.close()


class SyncServer:
    """Serves the connections of other nodes, one push-pull each.

    Args:
        gate: encodes and decodes the packets.
        respond: called with a packet, its source, and the function that sends the reply.
    """

    def __init__(self, gate: PacketGate, respond: Callable[[Packet, Address, Reply], None]) -> None:
        self._gate, self._respond = gate, respond
        self._server: asyncio.Server | None = None
        self.connections = 0  # open connections

    async def start(self, address: Address) -> Address:
        """Listen; return the address with the chosen port if it was 0. Raises OSError."""
        self._server = await asyncio.start_server(self._serve, *address, limit=MAX_SYNC_BYTES)
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def close(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source: Address = writer.get_extra_info("peername")[:2]
        if self.connections >= MAX_CONCURRENT_SYNCS or source[0] not in self._gate.allowed:
            writer.transport.abort()
            return
        self.connections += 1
        try:
            # The task is cancelled at the end of the process; asyncio would log that as an error.
            with contextlib.suppress(
                OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.CancelledError
            ):
                await self._respond_once(_PacketStream(self._gate, reader, writer), writer, source)
        finally:
            self.connections -= 1
            writer.close()

    async def _respond_once(
        self, stream: _PacketStream, writer: asyncio.StreamWriter, source: Address
    ) -> None:
        async with asyncio.timeout(SYNC_TIMEOUT_S):
            packet = await stream.read(source)
            if packet is not None:
                self._respond(packet, source, stream.write)
                await writer.drain()
