"""Ports that stay with a stand-in while it does not listen on them."""

from __future__ import annotations

import socket
import weakref

LOOPBACK_HOST = "127.0.0.1"


class ReservedPort:
    """A free port that no other process is given until this object is collected.

    The port is bound by a socket that does not listen. Connections to it are refused until a
    socket with `SO_REUSEADDR` listens there, as the servers of asyncio and gRPC do, and again once
    that socket is closed. A port that is just closed may be given to any other socket.

    Attributes:
        host: Address that the port is bound at.
        number: The port.
    """

    def __init__(self, host: str = LOOPBACK_HOST) -> None:
        holder = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        weakref.finalize(self, holder.close)
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((host, 0))
        self.host = host
        self.number: int = holder.getsockname()[1]

    @property
    def address(self) -> tuple[str, int]:
        """The host and the port."""
        return self.host, self.number
