"""The server list as parts of an installation: the platform's catalog, and servers written in the
file."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import Annotated, Any

from pydantic import Field

from badgercart.app.component import CheckedFile, ComponentDeclaration, ComponentHost, ComponentKind
from badgercart.app.faults import Path
from badgercart.app.model import Address, Listed, Name, Table
from badgercart.config import Address as Pair
from badgercart.discovery.catalog import Discovery


class Server(Table, title="Server"):
    """a server that is listed here, for trials and small installations"""

    name: Name = Field(description="its instance id")
    address: Address = Field(description="its host:port")
    zone: Name | None = Field(None, description="its zone")
    kind: Name | None = Field(None, description="its kind of machine")
    cell: int = Field(0, ge=0, le=65535, description="its cell")
    weight: float = Field(1.0, ge=0, le=1e6, description="its size beside the others")

    def line(self) -> dict[str, Any]:
        """As a line of the platform's list."""
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
        self.discovery = Discovery(
            address, host.endpoint_table.accept, random.Random(host.config.seed), host.config.source
        )

    async def start(self) -> None:
        self.discovery.start()

    def prepare(self, settings: Pair) -> Callable[[], None]:
        return lambda: self.discovery.move(settings)

    async def drain(self, until: float) -> None:
        """The list is followed to the end: what is held may still be sent again."""

    def close(self) -> None:
        self.discovery.close()


class ListedComponent:
    """Servers as the file lists them; SIGHUP takes them anew."""

    def __init__(self, host: ComponentHost, servers: tuple[Server, ...]) -> None:
        self.host, self.servers, self.version = host, servers, 0

    def take(self, servers: tuple[Server, ...]) -> None:
        self.servers, self.version = servers, self.version + 1
        lines = [server.line() for server in servers]
        self.host.endpoint_table.accept(
            {"generation": self.version, "reset": True, "instances": lines}
        )

    async def start(self) -> None:
        self.take(self.servers)

    def prepare(self, settings: tuple[Server, ...]) -> Callable[[], None]:
        return lambda: self.take(settings)

    async def drain(self, until: float) -> None:
        """Nothing is held here."""

    def close(self) -> None:
        """Nor open."""


def check_servers(servers: tuple[Server, ...], file: CheckedFile) -> Iterator[tuple[Path, str]]:
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
