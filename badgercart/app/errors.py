"""Errors of settings files, components and commands."""

from __future__ import annotations


class AppError(Exception):
    """Base of the errors that this package raises, except those of commands."""


class InvalidValueError(AppError, ValueError):
    """A value that a setting can't have: the value and what is wrong, as a fault of the file."""

    def __init__(self, value: object, problem: str) -> None:
        """Keep the value and what is wrong with it."""
        super().__init__(f"{value!r} {problem}")
        self.value, self.problem = value, problem


class FileTooLargeError(AppError, ValueError):
    """A settings file over the limit."""

    def __init__(self, limit_bytes: int) -> None:
        """Keep the limit."""
        super().__init__(f"over {limit_bytes} bytes")
        self.limit_bytes = limit_bytes


class NoSuchSettingError(AppError, LookupError):
    """A variable that names no place in the file."""

    def __init__(self, problem: str) -> None:
        """Keep what is wrong with the place."""
        super().__init__(problem)
        self.problem = problem


class NoSuchTableError(AppError, LookupError):
    """A name that no table of the file has."""

    def __init__(self, name: str, known: str = "") -> None:
        """Keep the name; `known` lists the names that there are."""
        known_text = f"; there are {known}" if known else ""
        super().__init__(f"there is no table {name!r}{known_text}")
        self.name = name


class NoSuchEventError(AppError, LookupError):
    """Prefixes that no log event's name begins with."""

    def __init__(self, prefixes: str) -> None:
        """Keep the prefixes."""
        super().__init__(f"no event's name begins with {prefixes!r}")
        self.prefixes = prefixes


class UnknownMarkError(AppError, LookupError):
    """A mark in an operators' page of an unknown kind."""

    def __init__(self, kind: str, known: str) -> None:
        """Keep the mark's kind; `known` lists the kinds that there are."""
        super().__init__(f"the mark {kind!r} is none of {known}")
        self.kind = kind


class OrderError(AppError):
    """Components whose needs can't be met in any order."""


class MissingNeedError(OrderError):
    """A component that needs another one, which is not switched on."""

    def __init__(self, name: str, need: str) -> None:
        """Keep both names."""
        super().__init__(f"{name} needs {need}, which is not switched on")
        self.name, self.need = name, need


class CircularNeedError(OrderError):
    """Components that need each other."""

    def __init__(self, names: list[str]) -> None:
        """Keep their names."""
        super().__init__(f"{', '.join(names)} wait for each other")
        self.names = names
