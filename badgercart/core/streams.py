"""Bodies that are streamed: a request's on its way in, a response's on its way out. No I/O.

Flow control is by callbacks: a writer asks whether there is capacity for more, and is called back
when there is again. Neither side waits for the other.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol


@dataclass(slots=True)
class ResponseHead:
    """The head of a response whose body is streamed."""

    status: int
    content_type: bytes
    length: int | None  # bytes of the body; None: it ends where the stream ends


class ResponseSink(Protocol):
    """Where a streamed body goes. Nothing is written after `finish` or `abort`."""

    def write(self, data: bytes) -> bool:
        """Pass on a part of the body, and return whether there is capacity for more.

        Where there is none, the `on_capacity` of `subscribe` is called once there is.
        """

    def finish(self) -> None:
        """End the body: it is whole."""

    def abort(self) -> None:
        """End the body short, in a way that its reader can tell."""

    def subscribe(self, on_capacity: Callable[[], None], on_abort: Callable[[], None]) -> None:
        """Set what is called when there is capacity again, and when the reader has gone."""


def ignore() -> None:
    """Do nothing: the callback of a stream that nobody listens to."""


class StreamedBody:
    """The body of a request that is passed on while it is received. It can be read once."""

    def __init__(self, length: int | None, window_bytes: Callable[[], int]) -> None:
        """Set up an empty stream.

        Args:
            length: bytes of the whole body, None where it comes in chunks.
            window_bytes: returns how many bytes may wait to be read at present.
        """
        self.length = length
        self.window_bytes = window_bytes
        self.chunks: deque[bytes] = deque()
        self.waiting_bytes = 0
        self.consumed = False  # some of it was read: it can't be sent again
        self.complete = False  # all of it was received
        self.on_data: Callable[[], None] = ignore
        self.on_capacity: Callable[[], None] = ignore
        self.on_abort: Callable[[], None] = ignore

    # Called by the frontend.

    def feed(self, data: bytes) -> bool:
        """Add a part of the body, and return whether there is capacity for more."""
        self.chunks.append(data)
        self.waiting_bytes += len(data)
        self.on_data()
        return not self.full

    @property
    def full(self) -> bool:
        """Whether as much waits to be read as may."""
        return self.waiting_bytes >= self.window_bytes()

    def finish(self) -> None:
        """Mark the body as received whole."""
        self.complete = True
        self.on_data()

    def abort(self) -> None:
        """Report that the rest of the body never comes."""
        self.on_abort()

    # Called by the transport.

    def read(self) -> bytes:
        """Return all that waits; empty where nothing does."""
        if not self.chunks:
            return b""
        self.consumed = True
        data = b"".join(self.chunks) if len(self.chunks) > 1 else self.chunks[0]
        self.chunks.clear()
        self.waiting_bytes = 0
        self.on_capacity()
        return data

    @property
    def exhausted(self) -> bool:
        """Whether nothing is left to read, now or later."""
        return self.complete and not self.chunks
