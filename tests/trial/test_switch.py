"""The switch passes on what it is told to, each way by itself."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Any

from lab.trial.switch import Switch
from lab.trial.world import Block

WAIT = 10.0  # s; only a failing test gets there


class End(asyncio.DatagramProtocol):
    """One that echoes what comes on connections, and keeps what comes as datagrams."""

    def __init__(self) -> None:
        self.got: asyncio.Queue[tuple[bytes, str]] = asyncio.Queue()

    def datagram_received(self, data: bytes, source: Any) -> None:
        self.got.put_nowait((data, source[0]))

    async def start(self, host: str) -> End:
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
        self.server.close()
        self.transport.close()


async def two() -> tuple[Block, Switch, End, End]:
    block, switch = Block(), Switch()
    ends = [await End().start(f"127.{block.number}.0.{number}") for number in (1, 2)]
    for name, end in zip("ab", ends, strict=True):
        await switch.add(name, end.address, (f"127.{block.number}.128.{1 + ends.index(end)}", 0))
    return block, switch, ends[0], ends[1]


def test_each_way_is_cut_lossy_or_doubled_by_itself_and_senders_are_seen_at_the_switch() -> None:
    async def run() -> None:
        block, switch, a, b = await two()
        shown = {name: endpoint.switch_address for name, endpoint in switch.endpoints.items()}

        def send(end: End, to: str, data: bytes) -> None:
            end.transport.sendto(data, shown[to])

        async def next_of(end: End) -> tuple[bytes, str]:
            return await asyncio.wait_for(end.got.get(), WAIT)

        send(a, "b", b"1")
        assert await next_of(b) == (b"1", shown["a"][0])
        switch.set_fault("a", "b", cut=True)
        send(a, "b", b"lost")
        send(b, "a", b"2")  # the other way is open
        assert await next_of(a) == (b"2", shown["b"][0])
        switch.set_fault("a", "b", cut=False, duplicate=1.0)
        send(a, "b", b"3")
        assert [await next_of(b), await next_of(b)] == [(b"3", shown["a"][0])] * 2
        switch.set_fault("a", "b", duplicate=0.0, loss=1.0)
        send(a, "b", b"lost")
        send(b, "a", b"4")
        await next_of(a)
        assert switch.dropped_datagrams == 2 and b.got.empty()
        switch.set_fault("a", "b", loss=0.0, reorder=1.0)
        send(a, "b", b"overtaken")
        while switch.forwarded_bytes["a", "b"] < 11:
            await asyncio.sleep(0)
        switch.heal()
        send(a, "b", b"first")
        assert [(await next_of(b))[0], (await next_of(b))[0]] == [b"first", b"overtaken"]
        assert [cut for _, _, cut in switch.cut_changes] == [True, False]
        for end in (a, b, switch, block):
            end.close()

    asyncio.run(asyncio.wait_for(run(), 3 * WAIT))


def test_a_cut_holds_connections_in_silence_and_lets_go_of_what_it_held() -> None:
    async def run() -> None:
        block, switch, a, b = await two()
        source = (a.address[0], 0)
        reader, writer = await asyncio.open_connection(
            *switch.endpoints["b"].switch_address, local_addr=source
        )
        writer.write(b"1")
        assert await asyncio.wait_for(reader.read(10), WAIT) == b"1"
        switch.set_fault("b", "a", cut=True)  # only the answer's way
        writer.write(b"2")
        while switch.forwarded_bytes["a", "b"] < 2:
            await asyncio.sleep(0)
        waiting = asyncio.ensure_future(reader.read(10))
        fresh, knock = await asyncio.open_connection(
            *switch.endpoints["b"].switch_address, local_addr=source
        )
        knock.write(b"3")
        while switch.forwarded_bytes["a", "b"] < 3:
            await asyncio.sleep(0.001)
        assert not waiting.done()
        switch.heal()
        assert await asyncio.wait_for(waiting, WAIT) == b"2"
        assert await asyncio.wait_for(fresh.read(10), WAIT) == b"3"
        switch.reset_connections("a", "b")
        with contextlib.suppress(ConnectionError):
            assert await asyncio.wait_for(reader.read(10), WAIT) == b""
        for end in (writer, knock, a, b, switch, block):
            end.close()

    asyncio.run(asyncio.wait_for(run(), 3 * WAIT))


def test_two_trials_have_blocks_of_their_own() -> None:
    one, other = Block(), Block()
    assert one.number != other.number
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as left_over:
        one.close()
        left_over.bind((f"127.{one.number}.0.1", 7946))
        third = Block()
        assert third.number not in (one.number, other.number)
    third.close()
    other.close()
