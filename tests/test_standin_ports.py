"""Check that a stand-in that is down keeps its port from all other listeners."""

from __future__ import annotations

import errno
import gc
import socket
from collections.abc import Callable
from typing import Any

import pytest

from standins.catalog import Catalog
from standins.etcd import Etcd
from standins.ports import ReservedPort
from standins.server import DispatchServer
from tests.net import DiscoveryAgent, ScriptedServer, run


def bind_error(port: int) -> int:
    """Return the error number of another listener's bind of the port, or 0."""
    with socket.socket() as other:
        try:
            other.bind(("127.0.0.1", port))
        except OSError as error:
            return error.errno or 0
    return 0


def connect_error(port: int) -> int:
    """Return the error number of a connection to the port, or 0."""
    with socket.socket() as client:
        return client.connect_ex(("127.0.0.1", port))


def test_a_reserved_port_is_refused_to_clients_and_to_other_listeners() -> None:
    port = ReservedPort()
    assert bind_error(port.number) == errno.EADDRINUSE
    assert connect_error(port.number) == errno.ECONNREFUSED
    with socket.create_server(port.address):  # with SO_REUSEADDR
        assert connect_error(port.number) == 0
    assert connect_error(port.number) == errno.ECONNREFUSED


def test_a_reserved_port_is_free_again_once_its_object_is_collected() -> None:
    port = ReservedPort()
    number = port.number
    del port
    gc.collect()
    assert bind_error(number) == 0


# Guards against a stand-in that cannot come back, as another listener was given its port meanwhile.
@pytest.mark.parametrize(
    ("make", "restart"),
    [
        (lambda: DispatchServer("s-1", {}), lambda server: server.start(server.port)),
        (lambda: Catalog([]), None),
        (Etcd, lambda server: server.start(server.port)),
        (ScriptedServer, lambda server: server.start()),
        (lambda: DiscoveryAgent([]), lambda server: server.start()),
    ],
    ids=["dispatch server", "catalog", "etcd", "scripted server", "discovery agent"],
)
def test_a_stand_in_that_is_down_keeps_its_port(
    make: Callable[[], Any], restart: Callable[[Any], Any] | None
) -> None:
    async def test() -> None:
        server = await make().start()
        assert connect_error(server.port) == 0
        await stop(server)
        assert connect_error(server.port) == errno.ECONNREFUSED
        assert bind_error(server.port) == errno.EADDRINUSE
        if restart is not None:
            await restart(server)
            assert connect_error(server.port) == 0
            await stop(server)

    async def stop(server: Any) -> None:
        if isinstance(server, Etcd):
            await server.stop()
        elif isinstance(server, DispatchServer | Catalog):
            server.stop()
        else:
            server.server.close()

    run(test())
