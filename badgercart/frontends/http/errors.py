"""What can be wrong in this package."""

from __future__ import annotations


class HttpError(Exception):
    """The base of the package's errors."""


class BadRequestError(HttpError):
    """A request that can't be accepted."""

    def __init__(self, status: int, reason: str, extra_headers: bytes = b"") -> None:
        """Keep the status, why, and header lines that go with it."""
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.extra_headers = extra_headers


class IllegalTransitionError(HttpError, RuntimeError):
    """A connection was to take a step that its state rules out: a fault of the program."""

    def __init__(self, state: str, wanted: str) -> None:
        """Keep the names of the present and of the wanted state."""
        super().__init__(f"a client's connection can't go from {state} to {wanted}")
        self.state = state
        self.wanted = wanted
