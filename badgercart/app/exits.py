"""Exit statuses of every command, in one place."""

from __future__ import annotations

from enum import IntEnum
from typing import IO, Any

import click


class ExitStatus(IntEnum):
    """The exit statuses."""

    DONE = 0
    FAILED = 1  # could not be done, or what was compared differs
    USAGE = 2  # a wrong command line, a file or an address that can't be used


class CommandError(click.ClickException):
    """What can't be done, in one line, and the status that says so."""

    def __init__(self, text: str, status: ExitStatus = ExitStatus.FAILED) -> None:
        """Keep the line and the exit status."""
        super().__init__(text)
        # click declares a class variable, and reads it of the instance
        self.exit_code = status  # type: ignore[misc]

    def show(self, file: IO[Any] | None = None) -> None:
        """Write the line to standard error, or to a file."""
        click.echo(f"badgercart: {self.format_message()}", file=file, err=file is None)
