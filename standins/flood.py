"""A client that sends at full speed on one connection after another, in a process of its own.

python -m standins.flood PORT KIND
"""

from __future__ import annotations

import contextlib
import itertools
import socket
import sys
import threading
from collections.abc import Callable
from dataclasses import dataclass

from standins.crowd import KEYED, request, request_head

PIECES_AT_ONCE = 20_000
READ_BYTES = 65536

_numbers = itertools.count(1)


@dataclass(slots=True, frozen=True)
class Flood:
    """What is sent: once for each connection, and then again and again."""

    begin: bytes
    piece: Callable[[], bytes]


def unknown_class() -> bytes:
    """Return a request for a class that there is not, under a new name each time."""
    return request(f"class-{next(_numbers)}")


def tiny_request(timeout_ms: int) -> bytes:
    """Return a sound request of as few bytes as it takes."""
    number = next(_numbers)
    return b"GET /cab-lookup HTTP/1.1\r\nRequest-Id:%x\r\nRequest-Timeout:%dm\r\n\r\n" % (
        number,
        timeout_ms,
    )


FLOODS: dict[str, Flood] = {
    "requests-with-1-ms": Flood(b"", lambda: tiny_request(1)),
    "requests-with-40-ms": Flood(b"", lambda: tiny_request(40)),
    "requests-without-a-time": Flood(b"", lambda: b"GET /cab-lookup/x HTTP/1.1\r\nHost: x\r\n\r\n"),
    "requests-of-new-classes": Flood(b"", unknown_class),
    "health": Flood(b"", lambda: b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"),
    "chunks-of-one-byte": Flood(
        request_head(KEYED, fields={"Transfer-Encoding": "chunked"}) + b"\r\n",
        lambda: b"1\r\na\r\n",
    ),
}


def read_until_closed(sock: socket.socket) -> None:
    """Read and drop what comes."""
    with contextlib.suppress(OSError):
        while sock.recv(READ_BYTES):
            pass


def send(port: int, flood: Flood) -> None:
    """Send on one connection until it ends."""
    with socket.create_connection(("127.0.0.1", port)) as sock, contextlib.suppress(OSError):
        threading.Thread(target=read_until_closed, args=(sock,), daemon=True).start()
        sock.sendall(flood.begin)
        data = b"".join(flood.piece() for _ in range(PIECES_AT_ONCE))
        while True:
            sock.sendall(data)


def main() -> None:
    """Send until the process is killed."""
    port, flood = int(sys.argv[1]), FLOODS[sys.argv[2]]
    while True:
        with contextlib.suppress(OSError):
            send(port, flood)


if __name__ == "__main__":
    main()
