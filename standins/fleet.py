"""A small installation on loopback: dispatch servers, their list, and an operator's file that fits
them."""

from __future__ import annotations

import json
import random
import time
from typing import TYPE_CHECKING, Any

from standins.catalog import Catalog
from standins.server import DispatchServer
from standins.traffic import TENANTS, class_tables

if TYPE_CHECKING:
    from standins.etcd import Etcd

WORK = {"cab-lookup": (51.0, 93.0), "ride-assign": (67.0, 120.0)}  # ms
KINDS_OF_MACHINE = ("k2-fast", "k3-slow")
QUOTA = 288.0  # requests a second that all tenants' shares come to


PREFIX = "/badgercart/servers/"  # of the entries in etcd


class Fleet:
    """Servers and their lists, in a catalog and in etcd, with the troubles that can befall them."""

    def __init__(
        self, count: int, seed: int = 1, work: dict[str, tuple[float, float]] = WORK
    ) -> None:
        rng = random.Random(seed)
        self.servers = []
        for number in range(count):
            fast = rng.random() < 0.35
            server = DispatchServer(
                f"s-{number + 1}",
                work,
                cores=2 if fast else 3,
                kind=KINDS_OF_MACHINE[0 if fast else 1],
                seed=seed,
            )
            self.servers.append(server)

    async def start(self) -> Fleet:
        for server in self.servers:
            await server.start()
        self.catalog = await Catalog([server.entry() for server in self.servers]).start()
        self.etcd: Etcd | None = None
        return self

    async def start_etcd(self) -> Etcd:
        """The list in etcd too."""
        from standins.etcd import Etcd  # its libraries are heavy

        self.etcd = await Etcd().start()
        for server in self.servers:
            await self.etcd.put(PREFIX + server.name, json.dumps(server.entry()))
        return self.etcd

    async def tell(self, server: DispatchServer) -> None:
        """Have the lists say what the server is now."""
        self.catalog.change(server.entry())
        if self.etcd is not None and server.state == "left":
            await self.etcd.delete(PREFIX + server.name)
        elif self.etcd is not None:
            await self.etcd.put(PREFIX + server.name, json.dumps(server.entry()))

    async def stop(self) -> None:
        self.catalog.stop()
        if self.etcd is not None:
            await self.etcd.stop()
        for server in self.servers:
            server.stop()

    async def drain(self, server: DispatchServer) -> None:
        """Told by the list only: the server itself goes on taking what comes."""
        server.state = "leaving"
        await self.tell(server)

    async def leave(self, server: DispatchServer) -> None:
        server.stop()
        server.state = "left"
        await self.tell(server)

    async def come_back(self, server: DispatchServer) -> None:
        """The same server, started anew and cold."""
        await server.start(server.port)
        server.state, server.started_at = "active", int(time.time() * 1000)
        await self.tell(server)


def operators_file(catalog: str, etcd: str = "", graphql: str = "", **processor: Any) -> str:
    """The text of a file that serves such a fleet on both fronts, on ports of the system's choice.

    The list comes from etcd where that is given; with the file of a schema there is a GraphQL front
    too."""
    lines = [
        '[node]\nname = "demo"\nzone = "angyalfold"\nseed = "7"',
        f'[fleet]\nzones = ["angyalfold"]\nkinds = ["{KINDS_OF_MACHINE[0]}", "{KINDS_OF_MACHINE[1]}"]',
        "cold_from = 0.32\nramp_ms = 8800\nwarm_keys = true",
        "[retry]\nmax_attempts = 4\nmax_retry_after_ms = 600",
    ]
    lines += class_tables()
    for name, share in TENANTS.items():
        lines.append(f'[[tenant]]\nname = "{name}"\nquota_per_s = {QUOTA * share:.0f}')
    if etcd:
        lines.append(f'[members.etcd]\nendpoints = ["{etcd}"]\nprefix = "{PREFIX}"')
    else:
        lines.append(f'[members]\ncatalog = "{catalog}"')
    lines.append(
        '[fronts.http]\nlisten = "127.0.0.1:0"\n[fronts.processor]\nlisten = "127.0.0.1:0"'
    )
    lines += [f"{name} = {str(value).lower()}" for name, value in processor.items()]
    if graphql:
        lines.append(f'[fronts.graphql]\nlisten = "127.0.0.1:0"\nschema = "{graphql}"')
        for name, cls, affinity, key in (
            ("Query.cabLookup", "cab-lookup", "pickup", ""),
            ("Mutation.rideAssign", "ride-assign", "ride", 'key = "key"'),
        ):
            head = f'[[fronts.graphql.field]]\nname = "{name}"\nclass = "{cls}"'
            lines.append(f'{head}\naffinity = "{affinity}"\n{key}')
    return "\n".join(lines) + "\n"
