"""Errors of this package."""

from __future__ import annotations


class EjectionError(Exception):
    """An ejection or its end could not be put in force; nothing was changed.

    Attributes:
        detail: why, for people.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail
