"""A server hangs in the middle of a short answer: its client gets no final answer in time."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import deployment_2 as deployment
from deployment_2 import HOST, Message, Record, Server

SERVERS = 6  # of these one hangs: under 19%
WORK_S = 0.04
HANG_S = 8.0
REQUESTS = 40
INTERVAL_S = 0.1
TIMEOUT_MS = 1300


class Clients:
    """Clients that send a request each, and wait for its answer."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.outcomes: Counter[str] = Counter()

    async def ask(self, number: int) -> None:
        """Send a request, and note what comes until half a second after its time."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        headers = deployment.client_headers(number, TIMEOUT_MS)
        writer.write(deployment.request_bytes("GET", f"/lookup/k{number}", headers))
        sent_s = time.monotonic()
        self.record.note(f"client of {headers['Request-Id']} sends")
        got = "nothing"
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000 + deployment.ANSWER_SLACK_S):
                message = await deployment.read_head(reader)
                got = f"the head of {message.status}"
                await deployment.read_body(reader, message)
            outcome = str(message.status)
        except (asyncio.IncompleteReadError, ConnectionError):
            outcome = "connection ended"
        except TimeoutError:
            outcome = "no final answer"
        writer.close()
        self.outcomes[outcome] += 1
        passed_s = time.monotonic() - sent_s
        request_id = headers["Request-Id"]
        self.record.note(f"client of {request_id}: {outcome} after {passed_s:.3f} s, got {got}")


async def case(record: Record, trouble: bool) -> bool:
    """Return whether each request had its final answer in time."""
    hang_over = asyncio.Event()

    async def work(server: Server, request: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(WORK_S)
        first, second = b"a driver", b" is on the way"
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"%x\r\n%b\r\n" % (len(first), first))
        if trouble and server is servers[0] and not hang_over.is_set():
            request_id = request.headers["request-id"]
            record.note(f"{server.name} hangs in the middle of its answer to {request_id}")
            await hang_over.wait()
        writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(second), second))

    servers = [Server(record, f"s-{i + 1}", work) for i in range(SERVERS)]
    async with deployment.deployed(record, servers) as node:
        asyncio.get_running_loop().call_later(HANG_S, hang_over.set)
        clients = Clients(record, node.port)
        tasks = []
        for number in range(1, REQUESTS + 1):
            tasks.append(asyncio.create_task(clients.ask(number)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)
    record.note(f"outcomes: {dict(clients.outcomes)}")
    deployment.require_served(clients.outcomes["200"])
    # A connection that ends tells its client that its answer is not whole: it has failed.
    return not clients.outcomes["no final answer"]


deployment.run(case, __file__)
