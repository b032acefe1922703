"""Connects operators to the replicas of a group, given a node's or a replica's settings file."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from badgercart.app.exits import CommandError, ExitStatus
from badgercart.app.faults import SettingsFileError
from badgercart.app.file import load_installation
from badgercart.app.node_client import REQUEST_TIMEOUT_S
from badgercart.config import Address
from badgercart.distribution.client import Client
from badgercart.distribution.errors import DistributionError, FrameError
from badgercart.distribution.messages import Codec
from badgercart.distribution.replica_file import load_replica_file
from badgercart.distribution.settings import FollowerSettings, ReplicaSettings

T = TypeVar("T")

CONNECTION_ERRORS = (OSError, TimeoutError, asyncio.IncompleteReadError, FrameError)


class ReplicaCannotServeError(DistributionError):
    """A replica can't serve a request that another replica may be able to serve."""


@dataclass(slots=True, frozen=True)
class GroupClient:
    """Connects to the replicas of a group.

    Attributes:
        name: the group's name.
        secret: the group's secret.
        addresses: the replicas' addresses by name, or by address if the file has no names.
    """

    name: str
    secret: str
    addresses: dict[str, Address]

    def connect(self, address: Address) -> Client:
        """Return a connection to a replica, as a context manager."""
        return Client(address, Codec(self.name, self.secret.encode()))

    def request_in_turn(self, send_request: Callable[[Client], Awaitable[T]]) -> T:
        """Return the response of the first replica that can serve a request.

        Args:
            send_request: sends the request to one replica; raises ReplicaCannotServeError if another
                replica should be tried.

        Raises:
            CommandError: no replica can serve it.
        """
        return asyncio.run(self._request_in_turn(send_request))

    async def _request_in_turn(self, send_request: Callable[[Client], Awaitable[T]]) -> T:
        failures = []
        for name, address in self.addresses.items():
            try:
                async with asyncio.timeout(REQUEST_TIMEOUT_S), self.connect(address) as client:
                    return await send_request(client)
            except ReplicaCannotServeError as error:
                failures.append(f"{name}: {error}")
            except CONNECTION_ERRORS as error:
                failures.append(f"{name}: {describe_error(error)}")
        raise CommandError("no store can do that: " + "; ".join(failures))


def load_group(path: str) -> GroupClient:
    """Return the group from a node's or a replica's settings file. Raises CommandError."""
    try:
        file = load_replica_file(path)
        parts = (
            {"distribution-store": file.distribution}
            if file
            else load_installation(path).component_settings
        )
    except SettingsFileError as error:
        raise CommandError(str(error), ExitStatus.USAGE) from error
    replica, node = parts.get("distribution-store"), parts.get("distribution")
    if isinstance(replica, ReplicaSettings):
        addresses = {entry.name: entry.address for entry in replica.store}
        return GroupClient(replica.group, replica.secret, addresses)
    if isinstance(node, FollowerSettings):
        addresses = {f"{host}:{port}": (host, port) for host, port in node.stores}
        return GroupClient(node.group, node.secret, addresses)
    detail = f"{path}: has neither [members.distribution] nor [distribution]"
    raise CommandError(detail, ExitStatus.USAGE)


def describe_error(error: BaseException) -> str:
    """Return a description of a connection error."""
    if isinstance(error, asyncio.IncompleteReadError):
        return "it ended the connection: is the group's secret right?"
    if isinstance(error, TimeoutError):
        return f"no answer in {REQUEST_TIMEOUT_S:.0f} s"
    return str(error) or type(error).__name__
