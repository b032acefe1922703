"""A client's socket: what it holds of unread input and undelivered output, and how it ends."""

from __future__ import annotations

import array
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Iterator
from contextlib import contextmanager

from badgercart.core.clock import MS_PER_S

DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@contextmanager
def borrowed_socket(descriptor: int) -> Iterator[socket.socket]:
    """Give the socket of a descriptor, whose owner closes it."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=descriptor)
    try:
        yield sock
    finally:
        sock.detach()


def poll_socket(descriptor: int, events: int) -> bool:
    """Return whether any of these poll events is set on a socket."""
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))


def unread_bytes(descriptor: int) -> int | None:
    """Return how many bytes wait to be read from a socket; None if the system does not tell."""
    count = array.array("i", [0])
    try:
        fcntl.ioctl(descriptor, termios.FIONREAD, count)
    except OSError:
        return None
    return count[0]


def _tcp_info(descriptor: int, fields: struct.Struct) -> tuple[int, ...] | None:
    """Return fields of struct tcp_info (linux/tcp.h); None where the system does not tell them."""
    try:
        with borrowed_socket(descriptor) as sock:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, fields.size)
        return fields.unpack(info)
    except (OSError, struct.error):
        return None


# Of struct tcp_info: the largest segment, and the window that was announced last, since Linux 6.2.
_RECEIVE_WINDOW = struct.Struct("=84xI144xI")


def has_open_window(descriptor: int, unread: int) -> bool:
    """Return whether a socket's peer can send a whole segment; False where the system does not tell.

    A peer that has more to send waits until the window has room for one, for seconds if need be
    (RFC 9293, section 3.8.6.2.1). Bytes that are `unread` may have come since the window was
    announced.
    """
    info = _tcp_info(descriptor, _RECEIVE_WINDOW)
    if info is None:
        return False
    segment_bytes, window_bytes = info
    return window_bytes - unread >= segment_bytes


def undelivered_bytes(descriptor: int) -> int:
    """Return how many bytes the peer of a socket has not acknowledged; 0 if that is not known.

    Source: tcp(7), `SIOCOUTQ`, which has the number of `TIOCOUTQ`.
    """
    count = array.array("i", [0])
    try:
        fcntl.ioctl(descriptor, termios.TIOCOUTQ, count)
    except OSError:
        return 0
    return count[0]


# Of struct tcp_info: how long ago bytes were last received (ms).
_LAST_DATA_RECEIVED = struct.Struct("=52xI")


def unread_age_s(descriptor: int) -> float:
    """Return how long ago the system received the last bytes of a socket; 0 where it does not tell."""
    info = _tcp_info(descriptor, _LAST_DATA_RECEIVED)
    return 0.0 if info is None else info[0] / MS_PER_S


# Of struct tcp_info: the receive window that the peer announced last (bytes), since Linux 5.4.
_SEND_WINDOW = struct.Struct("=228xI")
# A Linux peer's window by default (tcp(7), `tcp_rmem`).
DEFAULT_WINDOW_BYTES = 65536


def peer_window_bytes(descriptor: int) -> int:
    """Return how much a socket's peer would take now; the default where the system does not tell."""
    info = _tcp_info(descriptor, _SEND_WINDOW)
    return DEFAULT_WINDOW_BYTES if info is None else info[0]


# Of struct linger (sys/socket.h): whether a close waits, and for how long (s).
_LINGER = struct.Struct("ii")


def set_reset_on_close(descriptor: int, enabled: bool) -> None:
    """Set whether a close of a socket resets its connection, which drops undelivered output.

    Source: socket(7), `SO_LINGER`.
    """
    with borrowed_socket(descriptor) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER.pack(int(enabled), 0))
