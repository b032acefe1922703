"""What passes through as it comes: a request's body on its way in, an answer on its way out. No
I/O.

Whoever has bytes asks whether there is room for more; whoever makes room says so. Neither waits for
the other.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol


@dataclass(slots=True)
class ResponseHeaderSection:
    """The head of an answer that goes on as it comes."""

    status: int
    content_type: bytes
    body_length: int | None  # of its body; None: it ends where it ends


class ResponseSink(Protocol):
    """Where such an answer goes. After `done` or `broken` nothing more is told."""

    def write_body(self, data: bytes) -> bool:
        """Bytes of the body; whether there is room for more, else `on_room` is called when there
        is."""

    def finish_body(self) -> None:
        """That was all of it."""

    def abort_body(self) -> None:
        """There is no more, and it is not whole: its reader must be able to tell."""

    def set_callbacks(self, on_space: Callable[[], None], on_abandoned: Callable[[], None]) -> None:
        """Whom to tell that there is room again, and that the reader has gone away."""


def do_nothing() -> None:
    """Nobody listens."""


class Upload:
    """The body of a request that goes on as it comes. It can be read once."""

    def __init__(self, body_length: int | None, window_bytes: Callable[[], int]) -> None:
        """`length` of the whole body, None where it comes in chunks; `window`: bytes that may wait
        here."""
        self.body_length = body_length
        self.window_bytes = window_bytes
        self.chunks: deque[bytes] = deque()
        self.buffered_bytes = 0  # bytes that wait
        self.consumed = False  # some have been read: there is no second reading
        self.complete = False  # all has come in
        self.on_data: Callable[[], None] = do_nothing
        self.on_space: Callable[[], None] = do_nothing
        self.on_abandoned: Callable[[], None] = do_nothing

    # Whoever brings it.

    def feed(self, data: bytes) -> bool:
        """More of the body; whether there is room for still more."""
        self.chunks.append(data)
        self.buffered_bytes += len(data)
        self.on_data()
        return not self.is_full

    @property
    def is_full(self) -> bool:
        return self.buffered_bytes >= self.window_bytes()

    def finish(self) -> None:
        self.complete = True
        self.on_data()

    def abandon(self) -> None:
        """The rest of it never comes."""
        self.on_abandoned()

    # Whoever takes it on.

    def read(self) -> bytes:
        """All that waits; empty where nothing does."""
        if not self.chunks:
            return b""
        self.consumed = True
        data = b"".join(self.chunks) if len(self.chunks) > 1 else self.chunks[0]
        self.chunks.clear()
        self.buffered_bytes = 0
        self.on_space()
        return data

    @property
    def exhausted(self) -> bool:
        """Whether nothing is left to read, now or later."""
        return self.complete and not self.chunks
