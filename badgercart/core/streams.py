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
class Opening:
    """The head of an answer that goes on as it comes."""

    status: int
    content_type: bytes
    length: int | None  # of its body; None: it ends where it ends


class Sink(Protocol):
    """Where such an answer goes. After `done` or `broken` nothing more is told."""

    def part(self, data: bytes) -> bool:
        """Bytes of the body; whether there is room for more, else `on_room` is called when there
        is."""

    def done(self) -> None:
        """That was all of it."""

    def broken(self) -> None:
        """There is no more, and it is not whole: its reader must be able to tell."""

    def watch(self, on_room: Callable[[], None], on_lost: Callable[[], None]) -> None:
        """Whom to tell that there is room again, and that the reader has gone away."""


def nothing() -> None:
    """Nobody listens."""


class Upload:
    """The body of a request that goes on as it comes. It can be read once."""

    def __init__(self, length: int | None, window: Callable[[], int]) -> None:
        """`length` of the whole body, None where it comes in chunks; `window`: bytes that may wait
        here."""
        self.length = length
        self.window = window
        self.parts: deque[bytes] = deque()
        self.size = 0  # bytes that wait
        self.spent = False  # some have been read: there is no second reading
        self.whole = False  # all has come in
        self.on_data: Callable[[], None] = nothing
        self.on_room: Callable[[], None] = nothing
        self.on_lost: Callable[[], None] = nothing

    # Whoever brings it.

    def feed(self, data: bytes) -> bool:
        """More of the body; whether there is room for still more."""
        self.parts.append(data)
        self.size += len(data)
        self.on_data()
        return not self.full

    @property
    def full(self) -> bool:
        return self.size >= self.window()

    def finish(self) -> None:
        self.whole = True
        self.on_data()

    def abandon(self) -> None:
        """The rest of it never comes."""
        self.on_lost()

    # Whoever takes it on.

    def read(self) -> bytes:
        """All that waits; empty where nothing does."""
        if not self.parts:
            return b""
        self.spent = True
        data = b"".join(self.parts) if len(self.parts) > 1 else self.parts[0]
        self.parts.clear()
        self.size = 0
        self.on_room()
        return data

    @property
    def ended(self) -> bool:
        """Whether nothing is left to read, now or later."""
        return self.whole and not self.parts
