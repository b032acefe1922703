"""Runs the membership protocol on sockets and one timer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from badgercart.cluster.codec import MTU_BYTES
from badgercart.cluster.datagram_socket import DatagramSocket
from badgercart.cluster.effects import Effect, SendDatagram, StartSync
from badgercart.cluster.messages import Leave, Packet, Sync
from badgercart.cluster.packet_gate import PacketGate
from badgercart.cluster.swim import SwimProtocol
from badgercart.cluster.sync_streams import Reply, SyncClient, SyncServer
from badgercart.config import Address


@dataclass(slots=True, eq=False)
class ClusterDriver:
    """The sockets and the timer of one membership protocol.

    Attributes:
        loop: the event loop.
        clock: returns the node's monotonic time in ms.
        protocol: the protocol to run.
        gate: encodes and decodes the packets.
        listen: the address to listen on; a port of 0 is replaced by the chosen one in `start`.
        on_effects: called with the effects that do not send a packet.
    """

    loop: asyncio.AbstractEventLoop
    clock: Callable[[], float]
    protocol: SwimProtocol
    gate: PacketGate
    listen: Address
    on_effects: Callable[[list[Effect]], None]
    server: SyncServer = field(init=False)
    _client: SyncClient = field(init=False)
    _datagrams: DatagramSocket | None = None
    _timer: asyncio.TimerHandle | None = None

    def __post_init__(self) -> None:
        self.server = SyncServer(self.gate, self._respond)
        self._client = SyncClient(self.loop, self.gate, self._sync_answered)

    async def start(self) -> None:
        """Listen and start the protocol. Raises OSError if the address is not available."""
        self.listen = await self.server.start(self.listen)
        self._datagrams = DatagramSocket(self.loop, self.listen, self._datagram_received)
        self.run(self.protocol.start(self.clock()))

    def close(self) -> None:
        """Close all sockets, and cancel the timer and all push-pulls."""
        if self._timer is not None:
            self._timer.cancel()
        if self._datagrams is not None:
            self._datagrams.close()
            self._datagrams = None
        self.server.close()
        self._client.close()

    def run(self, effects: list[Effect]) -> None:
        """Execute the protocol's effects, and set the timer for its next tick."""
        others: list[Effect] = []
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._send(effect)
            elif isinstance(effect, StartSync):
                self._client.start(effect.packet, effect.address, self.listen[0])
            else:
                others.append(effect)
        if others:
            self.on_effects(others)
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._datagrams is not None:
            delay_ms = max(0.0, self.protocol.due_ms - self.clock())
            self._timer = self.loop.call_later(delay_ms / 1000, self._tick)

    def _tick(self) -> None:
        self.run(self.protocol.tick(self.clock()))

    def _send(self, effect: SendDatagram) -> None:
        data = self.gate.encode(effect.packet)
        if self._datagrams is not None and self._datagrams.send(data, effect.address):
            self.gate.bytes_out += len(data)

    def _datagram_received(self, data: bytes, source: Address) -> None:
        self.gate.bytes_in += len(data)
        packet = self.gate.decode(data, source, MTU_BYTES)
        if packet is not None and not isinstance(packet.body, Sync | Leave):
            self.run(self.protocol.receive(self.clock(), packet, source))

    def _sync_answered(self, packet: Packet, source: Address) -> None:
        if isinstance(packet.body, Sync):
            self.run(self.protocol.receive(self.clock(), packet, source))

    def _respond(self, packet: Packet, source: Address, reply: Reply) -> None:
        """Reply to a packet that was received over TCP."""
        if isinstance(packet.body, Leave):
            self._leave(packet, reply)
        elif isinstance(packet.body, Sync):
            answer, effects = self.protocol.answer_sync(self.clock(), packet, source)
            reply(answer)
            self.run(effects)

    def _leave(self, packet: Packet, reply: Reply) -> None:
        """Leave the cluster at an operator's request, which bears this node's own name."""
        if packet.sender == self.protocol.local_record.name:
            self.run(self.protocol.leave(self.clock()))
            reply(self.protocol.anti_entropy.full_state())
