"""A small installation on loopback: dispatch servers, discovery and an operator's file."""

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

# By request class, the minimum and maximum service time in ms.
WORK = {"cab-lookup": (51.0, 93.0), "ride-assign": (67.0, 120.0)}
MACHINE_TYPES = ("k2-fast", "k3-slow")
# The quotas of all tenants together, in requests per second.
QUOTA = 288.0
# The key prefix of the endpoint entries in etcd.
PREFIX = "/badgercart/servers/"
# The share of the servers that have the fast machine type.
FAST_SERVER_SHARE = 0.35


class Fleet:
    """Servers and their endpoint lists, in a catalog and in etcd, with faults of servers."""

    def __init__(
        self, count: int, seed: int = 1, work: dict[str, tuple[float, float]] = WORK
    ) -> None:
        rng = random.Random(seed)
        self.servers = []
        for number in range(count):
            fast = rng.random() < FAST_SERVER_SHARE
            server = DispatchServer(
                f"s-{number + 1}",
                work,
                cores=2 if fast else 3,
                machine_type=MACHINE_TYPES[0 if fast else 1],
                seed=seed,
            )
            self.servers.append(server)

    async def start(self) -> Fleet:
        """Start the servers and the catalog."""
        for server in self.servers:
            await server.start()
        self.catalog = await Catalog([server.entry() for server in self.servers]).start()
        self.etcd: Etcd | None = None
        return self

    async def start_etcd(self) -> Etcd:
        """Start an etcd that has the endpoint list too."""
        # Imported here: gRPC and protobuf load slowly, and most uses do without etcd.
        from standins.etcd import Etcd

        self.etcd = await Etcd().start()
        for server in self.servers:
            await self.etcd.put(PREFIX + server.name, json.dumps(server.entry()))
        return self.etcd

    async def tell(self, server: DispatchServer) -> None:
        """Write the server's current entry to the endpoint lists."""
        self.catalog.change(server.entry())
        if self.etcd is not None and server.state == "left":
            await self.etcd.delete(PREFIX + server.name)
        elif self.etcd is not None:
            await self.etcd.put(PREFIX + server.name, json.dumps(server.entry()))

    async def stop(self) -> None:
        """Stop discovery and all servers."""
        self.catalog.stop()
        if self.etcd is not None:
            await self.etcd.stop()
        for server in self.servers:
            server.stop()

    async def drain(self, server: DispatchServer) -> None:
        """Mark the server as leaving in the lists only: the server still accepts requests."""
        server.state = "leaving"
        await self.tell(server)

    async def leave(self, server: DispatchServer) -> None:
        """Stop the server and remove it from the lists."""
        server.stop()
        server.state = "left"
        await self.tell(server)

    async def come_back(self, server: DispatchServer) -> None:
        """Start the same server again at the same address; a node treats it as cold."""
        await server.start(server.port)
        server.state, server.started_at_ms = "active", int(time.time() * 1000)
        await self.tell(server)


def operators_file(catalog: str, etcd: str = "", graphql: str = "", **processor: Any) -> str:
    """Return the text of an operator's file for such a fleet.

    It has the HTTP and the processor frontend, on free ports. The endpoint list comes from etcd
    where its address is given, else from the catalog. With the path of a schema there is a GraphQL
    frontend too. `processor` holds further settings of the processor frontend.
    """
    lines = [
        '[node]\nname = "demo"\nzone = "angyalfold"\nseed = "7"',
        f'[fleet]\nzones = ["angyalfold"]\nkinds = ["{MACHINE_TYPES[0]}", "{MACHINE_TYPES[1]}"]',
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
        for name, class_name, affinity, key in (
            ("Query.cabLookup", "cab-lookup", "pickup", ""),
            ("Mutation.rideAssign", "ride-assign", "ride", 'key = "key"'),
        ):
            field = f'[[fronts.graphql.field]]\nname = "{name}"\nclass = "{class_name}"'
            lines.append(f'{field}\naffinity = "{affinity}"\n{key}')
    return "\n".join(lines) + "\n"
