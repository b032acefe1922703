"""The listening socket that the platform holds, and that every process of the node inherits."""

from __future__ import annotations

import socket

from badgercart.config import ConfigError


def inherited_socket(descriptor: int) -> socket.socket:
    """Raises ConfigError where the descriptor is no listening stream socket.

    It is neither bound nor told to listen here, nor ever shut down: the other process serves on it.
    """
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        raise ConfigError(f"descriptor {descriptor}: {error.strerror}") from None
    if sock.type != socket.SOCK_STREAM or sock.family not in (socket.AF_INET, socket.AF_INET6):
        sock.detach()
        raise ConfigError(f"descriptor {descriptor} is no TCP socket")
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()
        raise ConfigError(f"descriptor {descriptor} does not listen")
    return sock
