"""Components that provide the endpoint list: the platform's catalog, and servers in the file."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import Annotated, Any

from pydantic import Field

from badgercart.app.component import CheckedFile, ComponentDeclaration, ComponentHost, ComponentKind
from badgercart.app.faults import Path
from badgercart.app.model import Address, Listed, Name, Table
from badgercart.config import Address as HostAndPort
from badgercart.discovery.catalog import Discovery


class Server(Table, title="Server"):
    """a server that is listed here, for trials and small installations"""

    name: Name = Field(description="its instance id")
    address: Address = Field(description="its host:port")
    zone: Name | None = Field(None, description="its zone")
    kind: Name | None = Field(None, description="its kind of machine")
    cell: int = Field(0, ge=0, le=65535, description="its cell")
    weight: float = Field(1.0, ge=0, le=1e6, description="its size beside the others")

    def list_entry(self) -> dict[str, Any]:
        """Return the server as an entry of the platform's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone or "",
            "machineType": self.kind or "",
            "cell": self.cell,
            "lifecycle": "active",
            "weight": self.weight,
            "startedAtMs": 0,
        }


class CatalogComponent:
    """Follows the platform's catalog; SIGHUP can move it to another address."""

    def __init__(self, host: ComponentHost, address: HostAndPort) -> None:
        """Take the node and the address of its discovery service."""
        self.discovery = Discovery(
            address, host.endpoint_table.accept, random.Random(host.config.seed), host.config.source
        )

    async def start(self) -> None:
        """Start to follow the list."""
        self.discovery.start()

    def prepare(self, settings: HostAndPort) -> Callable[[], None]:
        """Return the move to another address."""
        return lambda: self.discovery.move(settings)

    async def drain(self, deadline_ms: float) -> None:
        """Follow the list to the end, since requests in flight may still be retried."""

    def close(self) -> None:
        """Close all calls."""
        self.discovery.close()


class ListedComponent:
    """Provides the servers that the file lists; SIGHUP reads them again."""

    def __init__(self, host: ComponentHost, servers: tuple[Server, ...]) -> None:
        """Take the node and its servers."""
        self.host, self.servers, self.version = host, servers, 0

    def publish(self, servers: tuple[Server, ...]) -> None:
        """Replace the list in force by these servers."""
        self.servers, self.version = servers, self.version + 1
        entries = [server.list_entry() for server in servers]
        self.host.endpoint_table.accept(
            {"generation": self.version, "reset": True, "instances": entries}
        )

    async def start(self) -> None:
        """Publish the servers."""
        self.publish(self.servers)

    def prepare(self, settings: tuple[Server, ...]) -> Callable[[], None]:
        """Return the change to another set of servers."""
        return lambda: self.publish(settings)

    async def drain(self, deadline_ms: float) -> None:
        """Do nothing: there are no requests here."""

    def close(self) -> None:
        """Do nothing: nothing is open."""


def check_servers(servers: tuple[Server, ...], file: CheckedFile) -> Iterator[tuple[Path, str]]:
    """Yield the faults of listed servers: unknown zones or machine types, repeated names."""
    seen: set[str] = set()
    for index, server in enumerate(servers):
        for key, value, known in (
            ("zone", server.zone, file.base.fleet.zones),
            ("kind", server.kind, file.base.fleet.kinds),
        ):
            if value and value not in known:
                yield (index, key), f"{value!r} is none of fleet.{key}s"
        if server.name in seen:
            yield (index, "name"), f"{server.name!r} stands here twice"
        seen.add(server.name)


COMPONENTS = (
    ComponentDeclaration(
        name="catalog",
        key=("members", "catalog"),
        kind=ComponentKind.DISCOVERY,
        settings=Address,
        about="the host:port of the platform's discovery",
        build=CatalogComponent,
        reloads=("*",),
    ),
    ComponentDeclaration(
        name="server",
        key=("members", "server"),
        kind=ComponentKind.DISCOVERY,
        settings=Annotated[tuple[Server, ...], Listed],
        about="a server that is listed here, for trials and small installations",
        build=ListedComponent,
        check=check_servers,
        reloads=("*",),
    ),
)
