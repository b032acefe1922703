"""The switch forwards traffic with the faults of each direction."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from typing import Any

from lab.trial.switch import Switch
from lab.trial.world import AddressBlock

TIMEOUT_S = 10.0  # reached only by a failing test


class EchoPeer(asyncio.DatagramProtocol):
    """A peer that echoes data on its connections and keeps the datagrams it receives."""

    def __init__(self) -> None:
        self.datagrams: asyncio.Queue[tuple[bytes, str]] = asyncio.Queue()

    def datagram_received(self, data: bytes, source: Any) -> None:
        """Keep a datagram and the host it came from."""
        self.datagrams.put_nowait((data, source[0]))

    async def start(self, host: str) -> EchoPeer:
        """Listen on the host, for connections and datagrams at the same port."""

        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(1000):
                writer.write(data)
            writer.close()

        self.server = await asyncio.start_server(echo, host, 0)
        self.address = self.server.sockets[0].getsockname()
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )
        return self

    def close(self) -> None:
        """Close both sockets."""
        self.server.close()
        self.transport.close()


async def start_two_peers() -> tuple[AddressBlock, Switch, EchoPeer, EchoPeer]:
    block, switch = AddressBlock(), Switch()
    peers = [await EchoPeer().start(f"127.{block.number}.0.{number}") for number in (1, 2)]
    for name, peer in zip("ab", peers, strict=True):
        await switch.add(name, peer.address, (f"127.{block.number}.128.{1 + peers.index(peer)}", 0))
    return block, switch, peers[0], peers[1]


def test_faults_apply_to_one_direction_and_receivers_see_the_switch_address() -> None:
    async def run() -> None:
        block, switch, a, b = await start_two_peers()
        switch_addresses = {
            name: endpoint.switch_address for name, endpoint in switch.endpoints.items()
        }

        def send(peer: EchoPeer, to: str, data: bytes) -> None:
            peer.transport.sendto(data, switch_addresses[to])

        async def next_datagram(peer: EchoPeer) -> tuple[bytes, str]:
            return await asyncio.wait_for(peer.datagrams.get(), TIMEOUT_S)

        send(a, "b", b"1")
        assert await next_datagram(b) == (b"1", switch_addresses["a"][0])
        switch.set_fault("a", "b", cut=True)
        send(a, "b", b"lost")
        send(b, "a", b"2")  # the other direction is open
        assert await next_datagram(a) == (b"2", switch_addresses["b"][0])
        switch.set_fault("a", "b", cut=False, duplicate=1.0)
        send(a, "b", b"3")
        assert [await next_datagram(b), await next_datagram(b)] == [
            (b"3", switch_addresses["a"][0])
        ] * 2
        switch.set_fault("a", "b", duplicate=0.0, loss=1.0)
        send(a, "b", b"lost")
        send(b, "a", b"4")
        await next_datagram(a)
        assert switch.dropped_datagrams == 2 and b.datagrams.empty()
        switch.set_fault("a", "b", loss=0.0, reorder=1.0)
        send(a, "b", b"overtaken")
        while switch.forwarded_bytes["a", "b"] < 11:
            await asyncio.sleep(0)
        switch.heal()
        send(a, "b", b"first")
        assert [(await next_datagram(b))[0], (await next_datagram(b))[0]] == [
            b"first",
            b"overtaken",
        ]
        assert [cut for _, _, cut in switch.cut_changes] == [True, False]
        for peer in (a, b, switch, block):
            peer.close()

    asyncio.run(asyncio.wait_for(run(), 3 * TIMEOUT_S))


def test_cut_holds_connections_and_heal_releases_what_was_held() -> None:
    async def run() -> None:
        block, switch, a, b = await start_two_peers()
        source = (a.address[0], 0)
        reader, writer = await asyncio.open_connection(
            *switch.endpoints["b"].switch_address, local_addr=source
        )
        writer.write(b"1")
        assert await asyncio.wait_for(reader.read(10), TIMEOUT_S) == b"1"
        switch.set_fault("b", "a", cut=True)  # only the direction of the response
        writer.write(b"2")
        while switch.forwarded_bytes["a", "b"] < 2:
            await asyncio.sleep(0)
        waiting = asyncio.ensure_future(reader.read(10))
        new_reader, new_writer = await asyncio.open_connection(
            *switch.endpoints["b"].switch_address, local_addr=source
        )
        new_writer.write(b"3")
        while switch.forwarded_bytes["a", "b"] < 3:
            await asyncio.sleep(0.001)
        assert not waiting.done()
        switch.heal()
        assert await asyncio.wait_for(waiting, TIMEOUT_S) == b"2"
        assert await asyncio.wait_for(new_reader.read(10), TIMEOUT_S) == b"3"
        switch.reset_connections("a", "b")
        with contextlib.suppress(ConnectionError):
            assert await asyncio.wait_for(reader.read(10), TIMEOUT_S) == b""
        for peer in (writer, new_writer, a, b, switch, block):
            peer.close()

    asyncio.run(asyncio.wait_for(run(), 3 * TIMEOUT_S))


def test_data_that_a_cut_held_is_recorded_with_the_time_of_its_arrival() -> None:
    async def run() -> None:
        block, switch, a, b = await start_two_peers()
        switch.set_fault("a", "b", cut=True)
        reader, writer = await asyncio.open_connection(
            *switch.endpoints["b"].switch_address, local_addr=(a.address[0], 0)
        )
        started_at_s = time.monotonic()
        writer.write(b"held")
        while not switch.open_writers.get(("a", "b")):
            await asyncio.sleep(0.001)
        for _ in range(10):  # the data is in the socket's buffer; let the event loop read it
            await asyncio.sleep(0)
        healed_at_s = time.monotonic()
        switch.heal()
        assert await asyncio.wait_for(reader.read(10), TIMEOUT_S) == b"held"
        writer.write(b"direct")
        assert await asyncio.wait_for(reader.read(10), TIMEOUT_S) == b"direct"
        (held,) = switch.held_data
        assert (held.link, held.data) == (("a", "b"), b"held")
        assert started_at_s <= held.received_at_s <= healed_at_s <= held.forwarded_at_s
        for peer in (writer, a, b, switch, block):
            peer.close()

    asyncio.run(asyncio.wait_for(run(), 3 * TIMEOUT_S))


def test_concurrent_trials_use_different_address_blocks() -> None:
    one, other = AddressBlock(), AddressBlock()
    assert one.number != other.number
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as left_over:
        one.close()
        left_over.bind((f"127.{one.number}.0.1", 7946))
        third = AddressBlock()
        assert third.number not in (one.number, other.number)
    third.close()
    other.close()
