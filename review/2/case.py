"""A keyed request is sent again after the window for repeats, on a connection that came up late."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from small_deployment import (
    NODE_ENDED,
    CaseError,
    Client,
    Discovery,
    Message,
    Node,
    Record,
    Request,
    Server,
    node_config,
    read_message,
    response,
    run_case,
    settings,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 4
WARM_SERVERS = 6
WARM_REQUESTS = 120
WINDOW_MS = 900.0
# By the protocol page each time limit is 50 ms longer on sockets.
SLACK_MS = 50.0
FAILURE_S = 0.3  # the first server answers 500 this long after it began the request
BUSY_S = 0.6  # how long the other server takes no connections
CONNECT_TIMEOUT_MS = 1500.0


class Bookings:
    """The dispatch servers' work: all of them drop a repeat of a key within the window."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.effects_ms: dict[str, list[float]] = {}  # by key
        self.sends: dict[str, list[tuple[str, float]]] = {}  # by key, each with its server and time
        self.connections: set[asyncio.StreamWriter] = set()
        self.first_server: asyncio.Future[Server] = asyncio.Future()

    async def handle(self, server: Server, message: Message, writer: asyncio.StreamWriter) -> bytes:
        """Do the work of one request. The first server of a booking makes it and answers 500."""
        self.connections.add(writer)
        body, key = (
            f"{server.name} {message.request_id}".encode(),
            message.headers.get("idempotency-key", ""),
        )
        if not key:
            await asyncio.sleep(0.02)
            return response(200, body)
        now = self.record(f"{server.name} begins {message.request_id} of key {key}")
        sends = self.sends.setdefault(key, [])
        sends.append((server.name, now))
        effects = self.effects_ms.setdefault(key, [])
        if effects and now - effects[-1] < WINDOW_MS:
            self.record(f"{server.name} drops the repeat of key {key}")
        else:
            effects.append(now)
            self.record(f"{server.name} makes the booking of key {key}")
        if len(sends) > 1:
            return response(200, body)
        self.first_server.set_result(server)
        await asyncio.sleep(FAILURE_S)
        self.record(f"{server.name} answers {message.request_id} with 500")
        return response(500)


class BusyServer(Server):
    """A server that can be too busy to take connections.

    Its socket has room for one connection that waits. Over that the kernel drops what asks for a
    connection, and the other side's kernel asks again 1 s later: the connection comes up late.
    """

    async def start(self) -> BusyServer:
        """Listen on a free port."""
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(0)
        self.socket.setblocking(False)
        self.port = self.socket.getsockname()[1]
        self.tasks: set[asyncio.Task[None]] = set()
        self.accepting = asyncio.create_task(self.accept())
        return self

    async def accept(self) -> None:
        """Take connections."""
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(self.socket)
            reader, writer = await asyncio.open_connection(sock=sock)
            self.tasks.add(asyncio.create_task(self.serve(reader, writer)))

    async def be_busy(self) -> list[socket.socket]:
        """Take no more connections; return those that wait meanwhile."""
        self.accepting.cancel()
        await asyncio.gather(self.accepting, return_exceptions=True)
        waiting = [socket.socket() for _ in range(3)]
        for sock in waiting:
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", self.port))
        self.record(f"{self.name} is busy and takes no connections")
        return waiting

    def be_free(self, waiting: list[socket.socket]) -> None:
        """Take connections again."""
        for sock in waiting:
            sock.close()
        self.accepting = asyncio.create_task(self.accept())
        self.record(f"{self.name} takes connections again")


async def warm_up(record: Record, node: Node) -> None:
    """Send lookups, so that one failure is not much among the node's requests."""

    async def send(first: int) -> None:
        client = await Client(record, node.port).open()
        for number in range(first, WARM_REQUESTS, 2 * WARM_SERVERS):
            client.writer.write(Request(f"a{number:015x}").encode())
            await read_message(client.reader)
        client.close()

    await asyncio.gather(*(send(first) for first in range(2 * WARM_SERVERS)))


async def book(
    record: Record, node: Node, bookings: Bookings, pair: list[BusyServer], key: str
) -> bool:
    """Send one booking, to be made by one of a pair of servers; return whether the rule held."""
    bookings.first_server = asyncio.get_running_loop().create_future()
    client = await Client(record, node.port).open()
    booking = Request(f"b{key[:15]}", "ride-assign", 1900, key, b"x")
    record(f"the client sends {booking.request_id} of key {key}")
    client.writer.write(booking.encode())
    first = await asyncio.wait_for(bookings.first_server, 5)
    if TROUBLE:
        other = next(server for server in pair if server is not first)
        waiting = await other.be_busy()
        await asyncio.sleep(FAILURE_S + BUSY_S)
        other.be_free(waiting)
    answer = await asyncio.wait_for(read_message(client.reader), 5)
    record(f"the client gets {answer.status}")
    client.close()
    await asyncio.sleep(0.3)
    (_, first_ms), *later = bookings.sends[key]
    for name, at_ms in later:
        record(f"key {key}: sent again, to {name}, {at_ms - first_ms:.0f} ms after the first send")
    record(f"key {key}: {len(bookings.effects_ms[key])} bookings made")
    return all(at_ms - first_ms <= WINDOW_MS + SLACK_MS for _, at_ms in later)


async def play(record: Record) -> bool | None:
    """Return whether the rule held; None if nothing was sent again without the disruption."""
    bookings = Bookings(record)
    found = settings()
    found["Allowed"]["DialTimeout"] = CONNECT_TIMEOUT_MS
    found["Classes"][1] |= {"Window": WINDOW_MS, "Aim": 1800.0}
    warm = [Server(f"w-{number}", bookings.handle, record) for number in range(WARM_SERVERS)]
    pairs = [
        [BusyServer(f"s-{number}{letter}", bookings.handle, record) for letter in "ab"]
        for number in range(ROUNDS)
    ]
    for server in [*warm, *(server for pair in pairs for server in pair)]:
        await server.start()
    discovery = await Discovery(record).start(*warm)
    node, held, listed = Node(record, node_config(discovery, found)), True, warm
    try:
        await node.start()
        await warm_up(record, node)
        for number, pair in enumerate(pairs):
            for server in listed:
                server.lifecycle = "left"
            discovery.change(*listed, *pair)
            listed = [*pair]
            await asyncio.sleep(1.0)
            held &= await book(record, node, bookings, pair, f"{number:032x}")
        if not node.alive:
            raise CaseError(NODE_ENDED)
    finally:
        await node.stop()
    repeats = sum(len(sends) - 1 for sends in bookings.sends.values())
    late = ROUNDS if TROUBLE else 0
    record(f"{len(bookings.connections)} connections of the node to servers, {late} of them late")
    return held if TROUBLE or repeats else None


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).with_name("record.txt"), play))
