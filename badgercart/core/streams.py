"""Streamed bodies: of requests on their way in, and of responses on their way out. It does no I/O.

The producer is told whether there is space for more; the consumer reports when there is space
again. Neither waits for the other.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from badgercart.core.piece_buffer import PieceBuffer

# A sender that is slow, but goes on, shows that sooner; so does a reader with a small buffer.
STALL_GRACE_MS = 1000.0


@dataclass(slots=True)
class ResponseHeaderSection:
    """The header section of a streamed response, as far as it is forwarded."""

    status: int
    content_type: bytes
    body_length: int | None  # None: unknown until the body ends


class ResponseSink(Protocol):
    """The destination of a streamed response body.

    No call follows `finish_body` or `abort_body`.
    """

    def write_body(self, data: bytes) -> bool:
        """Forward a part of the body, and return whether there is space for more.

        Where there is none, `on_space` is called once there is.
        """

    def finish_body(self) -> None:
        """Finish the body: all of it has been written."""

    def abort_body(self) -> None:
        """End the body although it is incomplete, in a way that its reader can recognize."""

    def stalled_ms(self) -> float:
        """Return for how long the reader has taken nothing of what waits for it; 0: nothing waits."""

    def stall_grace_ms(self) -> float:
        """Return for how long a reader that is slow may take nothing."""

    def set_callbacks(self, on_space: Callable[[], None], on_abandoned: Callable[[], None]) -> None:
        """Set what to call when there is space again, and when the reader has gone away."""


def do_nothing() -> None:
    """Stand in for a callback that is not set."""


def no_window() -> int:
    """Return that nothing more may be buffered, for a body whose producer has ended."""
    return 0


class Upload:
    """The body of a request that is streamed. It can be read once.

    `body_length` is None for a chunked body; `window_bytes` says how much may be buffered here.
    """

    def __init__(self, body_length: int | None, window_bytes: Callable[[], int]) -> None:
        self.body_length = body_length
        self.window_bytes = window_bytes
        self.buffer = PieceBuffer()
        self.consumed = False  # some of it has been read, and can't be read again
        self.complete = False  # all of it has been received
        # The clock time at which its last byte arrived on this machine; infinite: not known.
        self.arrived_ms = math.inf
        # A clock time before which its last byte was not written by the client.
        self.written_after_ms = math.inf
        self.on_data: Callable[[], None] = do_nothing
        self.on_space: Callable[[], None] = do_nothing
        self.on_abandoned: Callable[[], None] = do_nothing

    # For the producer, the frontend.

    def feed(self, data: bytes) -> bool:
        """Append a part of the body, and return whether there is space for more."""
        self.buffer.append(data)
        self.on_data()
        return not self.is_full

    @property
    def buffered_bytes(self) -> int:
        """How many bytes wait to be forwarded."""
        return len(self.buffer)

    @property
    def held_bytes(self) -> int:
        """How much memory the body takes."""
        return self.buffer.held_bytes

    @property
    def is_full(self) -> bool:
        """Whether the window is used up."""
        return self.buffered_bytes >= self.window_bytes()

    def finish(self) -> None:
        """Mark the body as complete."""
        self.complete = True
        self._release_producer()
        self.on_data()

    def mark_arrived(self, arrived_ms: float) -> None:
        """Note when the last byte arrived on this machine, where some may wait to be received."""
        self.arrived_ms = arrived_ms
        self.on_data()

    def abandon(self) -> None:
        """Report that the rest of the body never arrives, and free what has."""
        self.on_abandoned()
        self.buffer.clear()
        self.on_data = self.on_abandoned = do_nothing
        self._release_producer()

    def _release_producer(self) -> None:
        """Drop the callbacks into the producer, which refers to this object in its turn."""
        self.on_space, self.window_bytes = do_nothing, no_window

    # For the consumer, the upstream transport.

    def read(self, max_bytes: int = sys.maxsize) -> bytes:
        """Take buffered bytes, up to about `max_bytes`; empty where there are none."""
        if not self.buffer:
            return b""
        self.consumed = True
        data = self.buffer.take(max_bytes)
        self.on_space()
        return data

    @property
    def arrived(self) -> bool:
        """Whether all of the body is on this machine, so that the client's time has started."""
        return self.complete or self.arrived_ms < math.inf

    @property
    def exhausted(self) -> bool:
        """Whether nothing is left to read, now or later."""
        return self.complete and not self.buffer
