"""Errors of this package."""

from __future__ import annotations


class EjectionError(Exception):
    """A server could not be ejected or reinstated; nothing was changed.

    Attributes:
        detail: the reason, which is shown to the operator.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail
