"""The listening socket that the platform opens, and that all processes of the node inherit."""

from __future__ import annotations

import socket

from badgercart.config import ConfigError


def inherited_socket(descriptor: int) -> socket.socket:
    """Return the inherited listening socket of a file descriptor.

    The socket is not bound, put into listening mode or shut down here, because the other process
    also serves on it.

    Raises:
        ConfigError: the descriptor is not a listening TCP socket.
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
