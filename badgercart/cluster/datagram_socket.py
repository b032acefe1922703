"""The socket for datagrams between nodes."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from badgercart.cluster.codec import MTU_BYTES
from badgercart.config import Address

MAX_READS_PER_WAKEUP = 32  # datagrams, before the loop turns to requests again
MAX_DATAGRAMS_PER_S = 4000  # that are looked at: a flood costs a bounded share of the core
PAUSE_S = 0.02  # for which the socket is left alone when that is used up


class DatagramBudget:
    """A token bucket of the datagrams that may be read, which holds those of one second."""

    __slots__ = ("_refilled_s", "_tokens")

    def __init__(self, now_s: float) -> None:
        self._tokens, self._refilled_s = float(MAX_DATAGRAMS_PER_S), now_s

    def refill(self, now_s: float) -> None:
        """Add what the time since the last call brings."""
        refilled = self._tokens + (now_s - self._refilled_s) * MAX_DATAGRAMS_PER_S
        self._tokens = min(refilled, float(MAX_DATAGRAMS_PER_S))
        self._refilled_s = now_s

    @property
    def exhausted(self) -> bool:
        """Whether no datagram may be read now."""
        return self._tokens < 1

    def spend(self) -> None:
        """Count a datagram."""
        self._tokens -= 1


class DatagramSocket:
    """Reads within a rate, and hands each datagram with its source to `receive`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        receive: Callable[[bytes, Address], None],
    ) -> None:
        """Bind the socket. Raises OSError if the address can't be had."""
        self._loop, self._receive = loop, receive
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self._budget = DatagramBudget(loop.time())
        self._closed = False
        self._resume()

    def close(self) -> None:
        """Stop to read and close the socket."""
        if not self._closed:
            self._closed = True
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()

    def send(self, data: bytes, address: Address) -> bool:
        """Send a datagram; return whether the system took it."""
        if self._closed:
            return False
        with contextlib.suppress(OSError):  # a full buffer or no route: lost, as datagrams may be
            self._socket.sendto(data, address)
            return True
        return False

    def _resume(self) -> None:
        if not self._closed:
            self._loop.add_reader(self._socket.fileno(), self._readable)

    def _readable(self) -> None:
        """Read some of what waits, within the rate."""
        self._budget.refill(self._loop.time())
        for _ in range(MAX_READS_PER_WAKEUP):
            if self._budget.exhausted:
                self._loop.remove_reader(self._socket.fileno())
                self._loop.call_later(PAUSE_S, self._resume)
                return
            try:
                data, source = self._socket.recvfrom(MTU_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue  # an error that an earlier datagram met
            self._budget.spend()
            self._receive(data, source)
