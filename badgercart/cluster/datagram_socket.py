"""The UDP socket for datagrams between nodes."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from badgercart.cluster.codec import MTU_BYTES
from badgercart.config import Address

# Datagrams read in one callback, before the event loop serves requests again.
MAX_READS_PER_WAKEUP = 32
# Rate limit of received datagrams, so that a flood uses a bounded share of the CPU core.
MAX_DATAGRAMS_PER_S = 4000
# Pause between reads once the rate limit is reached.
READ_PAUSE_S = 0.02


class DatagramBudget:
    """A token bucket that limits received datagrams; its capacity is the limit of one second."""

    __slots__ = ("_refilled_s", "_tokens")

    def __init__(self, now_s: float) -> None:
        self._tokens, self._refilled_s = float(MAX_DATAGRAMS_PER_S), now_s

    def refill(self, now_s: float) -> None:
        """Add the tokens earned since the last call."""
        refilled = self._tokens + (now_s - self._refilled_s) * MAX_DATAGRAMS_PER_S
        self._tokens = min(refilled, float(MAX_DATAGRAMS_PER_S))
        self._refilled_s = now_s

    @property
    def exhausted(self) -> bool:
        """Whether no token is left."""
        return self._tokens < 1

    def spend(self) -> None:
        """Take a token for a received datagram."""
        self._tokens -= 1


class DatagramSocket:
    """A rate-limited socket that passes each datagram and its source to `receive`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        receive: Callable[[bytes, Address], None],
    ) -> None:
        """Bind the socket. Raises OSError if the address is not available."""
        self._loop, self._receive = loop, receive
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self._budget = DatagramBudget(loop.time())
        self._closed = False
        self._resume()

    def close(self) -> None:
        """Stop reading, and close the socket."""
        if not self._closed:
            self._closed = True
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()

    def send(self, data: bytes, address: Address) -> bool:
        """Send a datagram; return whether the operating system accepted it."""
        if self._closed:
            return False
        # A full buffer or a missing route loses the datagram, which the protocol tolerates.
        with contextlib.suppress(OSError):
            self._socket.sendto(data, address)
            return True
        return False

    def _resume(self) -> None:
        if not self._closed:
            self._loop.add_reader(self._socket.fileno(), self._readable)

    def _readable(self) -> None:
        """Read a batch of datagrams within the rate limit."""
        self._budget.refill(self._loop.time())
        for _ in range(MAX_READS_PER_WAKEUP):
            if self._budget.exhausted:
                self._loop.remove_reader(self._socket.fileno())
                self._loop.call_later(READ_PAUSE_S, self._resume)
                return
            try:
                data, source = self._socket.recvfrom(MTU_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue  # an error reported for a datagram that was sent earlier
            self._budget.spend()
            self._receive(data, source)
