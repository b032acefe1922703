"""The base of all errors that the core raises."""

from __future__ import annotations


class CoreError(Exception):
    """An error of the core; subclasses say in fields what went wrong."""
