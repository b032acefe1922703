"""Discovery as components: the platform's catalog, and servers that the settings file lists."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import Annotated, Any

from pydantic import Field

from badgercart.app.component import Checked, ComponentDeclaration, ComponentHost, ComponentKind
from badgercart.app.faults import Path
from badgercart.app.model import Address, Listed, Name, Table
from badgercart.config import Address as Pair
from badgercart.discovery.catalog import CatalogClient


class Server(Table):
    """a server that is listed here, for trials and small installations"""

    name: Name = Field(description="its instance id")
    address: Address = Field(description="its host:port")
    zone: Name | None = Field(None, description="its zone")
    kind: Name | None = Field(None, description="its kind of machine")
    cell: int = Field(0, ge=0, le=65535, description="its cell")
    weight: float = Field(1.0, ge=0, le=1e6, description="its size beside the others")

    def line(self) -> dict[str, Any]:
        """Return the server as the platform's catalog words it."""
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
    """Follows the platform's catalog; SIGHUP moves it to another address."""

    def __init__(self, host: ComponentHost, address: Pair) -> None:
        """Set up a client of the catalog at this address."""
        self.client = CatalogClient(
            address, host.endpoint_table.accept, random.Random(host.config.seed), host.config.source
        )

    async def start(self) -> None:
        """Begin to call the catalog."""
        self.client.start()

    def prepare(self, settings: Pair) -> Callable[[], None]:
        """Return what moves to another address."""
        return lambda: self.client.move(settings)

    async def drain(self, until: float) -> None:
        """Go on: requests in flight may still be sent again."""

    def close(self) -> None:
        """End all calls."""
        self.client.close()


class ListedComponent:
    """Servers as the file lists them; SIGHUP takes them anew."""

    def __init__(self, host: ComponentHost, servers: tuple[Server, ...]) -> None:
        """Set up a list that is not in force yet."""
        self.host, self.servers, self.version = host, servers, 0

    def accept(self, servers: tuple[Server, ...]) -> None:
        """Put other servers in force."""
        self.servers, self.version = servers, self.version + 1
        lines = [server.line() for server in servers]
        self.host.endpoint_table.accept(
            {"generation": self.version, "reset": True, "instances": lines}
        )

    async def start(self) -> None:
        """Put the servers in force."""
        self.accept(self.servers)

    def prepare(self, settings: tuple[Server, ...]) -> Callable[[], None]:
        """Return what puts other servers in force."""
        return lambda: self.accept(settings)

    async def drain(self, until: float) -> None:
        """Do nothing: no request is held here."""

    def close(self) -> None:
        """Do nothing: nothing is open here."""


def check_servers(servers: tuple[Server, ...], file: Checked) -> Iterator[tuple[Path, str]]:
    """Yield where in the settings a server can't be used, and why."""
    seen: set[str] = set()
    for at, server in enumerate(servers):
        for key, value, known in (
            ("zone", server.zone, file.base.fleet.zones),
            ("kind", server.kind, file.base.fleet.kinds),
        ):
            if value and value not in known:
                yield (at, key), f"{value!r} is none of fleet.{key}s"
        if server.name in seen:
            yield (at, "name"), f"{server.name!r} stands here twice"
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
