"""The platform's discovery: the whole list, and a watch of its changes, over HTTP/1.1."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from standins import http1

HEARTBEAT = 2.0  # s between empty lines while nothing changes


class Catalog:
    """Lists entries by instance id. `silence` stops all that is written, as a dead agent would."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.entries = {entry["instanceId"]: entry for entry in entries}
        self.generation = 1
        self.watches: set[asyncio.StreamWriter] = set()
        self.told: dict[
            tuple[str, str], float
        ] = {}  # (instance, lifecycle): when it was written first
        self.silent = False
        self.host, self.port = "127.0.0.1", 0

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> Catalog:
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat = asyncio.get_running_loop().create_task(self.heartbeat())
        return self

    def stop(self) -> None:
        self.beat.cancel()
        self.server.close()
        for writer in list(self.watches):
            writer.transport.abort()

    def change(self, *entries: dict[str, Any]) -> None:
        """Take over changed entries and tell every watch."""
        self.generation += 1
        for entry in entries:
            if entry["lifecycle"] == "left":
                self.entries.pop(entry["instanceId"], None)
            else:
                self.entries[entry["instanceId"]] = entry
        line = self.line(list(entries), reset=False)
        for writer in self.watches:
            self.write(writer, line)
        for entry in entries:
            self.told[entry["instanceId"], entry["lifecycle"]] = time.monotonic()

    def line(self, entries: list[dict[str, Any]], reset: bool) -> bytes:
        return json.dumps(
            {"generation": self.generation, "reset": reset, "instances": entries}
        ).encode()

    def write(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        if not self.silent:
            writer.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    async def heartbeat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT)
            for writer in self.watches:
                self.write(writer, b"")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                target = (await http1.read_message(reader)).start[1]
                whole = self.line(list(self.entries.values()), reset=True)
                if "watch=1" not in target:
                    writer.write(http1.answer(200, {"content-type": "application/json"}, whole))
                    continue
                writer.write(b"HTTP/1.1 200 -\r\ntransfer-encoding: chunked\r\n\r\n")
                asked = target.partition("from=")[2]
                self.write(writer, b"" if asked == str(self.generation) else whole)
                self.watches.add(writer)
                await reader.read()  # until the node leaves
                return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()
