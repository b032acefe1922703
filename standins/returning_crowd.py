"""Clients that hold a node's resources and come again as soon as they end, in a process of its own.

    python -m standins.returning_crowd PORT CLIENTS SEED KIND [KIND ...]

Each visit draws its sizes from the seed, so that the buffers that it causes are all different.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import uvloop

from standins.crowd import IDEMPOTENT, KEYED, connect, request, request_head
from standins.planned_answers import AnswerPlan

READ_BYTES = 65536
RECEIVE_BUFFER_BYTES = 4096
# After a visit that could not begin, or that ended at once.
MIN_VISIT_S = 0.02
# The least rate that the pages grant to a client: 64 kB a second.
SLOW_PIECE_BYTES = 9000
SLOW_PIECE_INTERVAL_S = 0.14
# A client that the node neither answers nor closes gives up after this time.
PATIENCE_S = 6.0


class Visit:
    """One connection of a client."""

    def __init__(self, port: int, rng: random.Random) -> None:
        self.port, self.random = port, rng
        self.loop = asyncio.get_running_loop()

    async def open(self, receive_buffer: int = 0) -> None:
        """Connect."""
        self.socket = await connect(self.port, receive_buffer)

    async def send(self, data: bytes) -> None:
        """Send all of it."""
        await self.loop.sock_sendall(self.socket, data)

    async def wait_for_end(self) -> None:
        """Read and drop what comes, until the node closes."""
        while await self.loop.sock_recv(self.socket, READ_BYTES):
            pass

    async def read_slowly(self) -> None:
        """Read at the least rate until the node closes."""
        while True:
            if not await self.loop.sock_recv(self.socket, SLOW_PIECE_BYTES):
                return
            await asyncio.sleep(SLOW_PIECE_INTERVAL_S)


Behaviour = Callable[[Visit], Awaitable[None]]


async def half_body(visit: Visit) -> None:
    """Send a part of a body of 30 kB to 8 MB, then nothing."""
    length = int(30_000 * (8_000_000 / 30_000) ** visit.random.random())
    await visit.open()
    await visit.send(request_head(KEYED, fields={"Content-Length": str(length)}) + b"\r\n")
    await visit.send(bytes(int(length * visit.random.uniform(0.1, 0.9))))
    await visit.wait_for_end()


async def slow_body(visit: Visit) -> None:
    """Send a body of 64 to 250 kB at the least rate, and read the answer."""
    left = length = visit.random.randint(64_000, 250_000)
    await visit.open()
    await visit.send(request_head(KEYED, fields={"Content-Length": str(length)}) + b"\r\n")
    while left:
        piece = min(left, SLOW_PIECE_BYTES)
        await visit.send(bytes(piece))
        left -= piece
        await asyncio.sleep(SLOW_PIECE_INTERVAL_S)
    await visit.loop.sock_recv(visit.socket, READ_BYTES)


async def requests_ahead(visit: Visit) -> None:
    """Send up to 12 requests with bodies of 2 to 60 kB ahead, and read the answers."""
    count = visit.random.randint(2, 12)
    data = b"".join(
        request(KEYED, AnswerPlan(head_delay=100), 1900, bytes(visit.random.randint(2000, 60_000)))
        for _ in range(count)
    )
    await visit.open()
    await asyncio.gather(visit.send(data), visit.wait_for_end())


async def slow_reader(visit: Visit) -> None:
    """Read a long answer slowly."""
    plan = AnswerPlan(body_bytes=visit.random.randint(100_000, 4_000_000), chunked=1)
    await visit.open(RECEIVE_BUFFER_BYTES)
    await visit.send(request(IDEMPOTENT, plan))
    await visit.read_slowly()


async def unread_answer(visit: Visit) -> None:
    """Ask ahead for answers of up to 4 MB, and read nothing."""
    plan = AnswerPlan(body_bytes=visit.random.randint(20_000, 4_000_000))
    await visit.open(RECEIVE_BUFFER_BYTES)
    await visit.send(request(IDEMPOTENT, plan) * 3)
    await asyncio.sleep(visit.random.uniform(1.0, 4.0))


async def tiny_chunks(visit: Visit) -> None:
    """Send a body in chunks of some bytes, without an end."""
    fields = {"Transfer-Encoding": "chunked"}
    await visit.open()
    await visit.send(request_head(KEYED, fields=fields) + b"\r\n")
    await visit.send(b"2\r\nab\r\n" * visit.random.randint(100, 60_000))
    await visit.wait_for_end()


async def heads(visit: Visit) -> None:
    """Send a part of a head of many fields of all lengths."""
    fields = "".join(
        f"x-{number}: {'v' * visit.random.randint(1, 100)}\r\n" for number in range(200)
    )
    await visit.open()
    await visit.send(request_head() + fields.encode())
    await visit.wait_for_end()


KINDS: dict[str, Behaviour] = {
    "half-bodies": half_body,
    "slow-bodies": slow_body,
    "requests-ahead": requests_ahead,
    "slow-readers": slow_reader,
    "unread-answers": unread_answer,
    "tiny-chunks": tiny_chunks,
    "heads": heads,
}


async def come_again(behaviour: Behaviour, port: int, rng: random.Random) -> None:
    """Make one visit after the other."""
    loop = asyncio.get_running_loop()
    while True:
        visit, begun_s = Visit(port, rng), loop.time()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(PATIENCE_S):
                await behaviour(visit)
        if (sock := getattr(visit, "socket", None)) is not None:
            sock.close()
        if loop.time() - begun_s < MIN_VISIT_S:
            await asyncio.sleep(MIN_VISIT_S)


async def crowd(port: int, clients: int, seed: int, kinds: list[str]) -> None:
    """Have all clients come again until the process is killed."""
    await asyncio.gather(
        *(
            come_again(KINDS[kinds[number % len(kinds)]], port, random.Random(seed + number))
            for number in range(clients)
        )
    )


class ReturningCrowd:
    """The process of a crowd."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process

    @classmethod
    async def start(cls, port: int, clients: int, seed: int, *kinds: str) -> ReturningCrowd:
        """Have `clients` clients of these kinds come again and again."""
        arguments = ("-m", __name__, str(port), str(clients), str(seed), *kinds)
        return cls(
            await asyncio.create_subprocess_exec(
                sys.executable, *arguments, cwd=Path(__file__).parent.parent
            )
        )

    async def stop(self) -> None:
        """End all clients at once."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


@contextmanager
def _quiet() -> Iterator[None]:
    """End without a traceback where the process is interrupted."""
    with contextlib.suppress(KeyboardInterrupt):
        yield


def main() -> None:
    """Play the crowd of the command line."""
    port, clients, seed = (int(argument) for argument in sys.argv[1:4])
    with _quiet():
        uvloop.run(crowd(port, clients, seed, sys.argv[4:]))


if __name__ == "__main__":
    main()
