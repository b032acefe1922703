"""The platform's discovery service over HTTP/1.1: endpoint list snapshots and a watch."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from standins import http1
from standins.ports import ReservedPort

# Interval of the empty lines that a watch gets, changes or not.
HEARTBEAT_INTERVAL_S = 2.0


class Catalog:
    """Discovery service with its endpoint entries by instance id.

    While `silent` is true it writes nothing to any watch and keeps the connections open, as an
    agent that hangs.
    """

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.entries = {entry["instanceId"]: entry for entry in entries}
        self.generation = 1
        self.watches: set[asyncio.StreamWriter] = set()
        # When each (instance id, lifecycle) was last written to the watches, on the monotonic clock.
        self.last_sent_at_s: dict[tuple[str, str], float] = {}
        self.silent = False
        self.host, self.port = "127.0.0.1", 0

    @property
    def address(self) -> str:
        """The address that the service listens on."""
        return f"{self.host}:{self.port}"

    async def start(self) -> Catalog:
        """Listen on a free port and start the heartbeat."""
        self.reserved_port = ReservedPort(self.host)
        self.port = self.reserved_port.number
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.heartbeat_task = asyncio.get_running_loop().create_task(self.heartbeat())
        return self

    def stop(self) -> None:
        """Stop listening and reset the connections of all watches."""
        self.heartbeat_task.cancel()
        self.server.close()
        for writer in list(self.watches):
            writer.transport.abort()

    def change(self, *entries: dict[str, Any]) -> None:
        """Apply changed entries and send them to every watch as one delta."""
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
            self.last_sent_at_s[entry["instanceId"], entry["lifecycle"]] = time.monotonic()

    def line(self, entries: list[dict[str, Any]], reset: bool) -> bytes:
        """Return one message of the protocol: a snapshot where `reset` is set, else a delta."""
        return json.dumps(
            {"generation": self.generation, "reset": reset, "instances": entries}
        ).encode()

    def write(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        """Write one line to a watch as an HTTP chunk."""
        if not self.silent:
            writer.write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    async def heartbeat(self) -> None:
        """Send an empty line to every watch at each interval."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for writer in self.watches:
                self.write(writer, b"")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the polls of one connection, or serve its watch until the node closes it."""
        try:
            while True:
                target = (await http1.read_message(reader)).start_line[1]
                snapshot = self.line(list(self.entries.values()), reset=True)
                if "watch=1" not in target:
                    writer.write(
                        http1.response(200, {"content-type": "application/json"}, snapshot)
                    )
                    continue
                writer.write(b"HTTP/1.1 200 -\r\ntransfer-encoding: chunked\r\n\r\n")
                known_generation = target.partition("from=")[2]
                self.write(writer, b"" if known_generation == str(self.generation) else snapshot)
                self.watches.add(writer)
                # Returns when the node closes the connection.
                await reader.read()
                return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()
