"""Exit statuses of every command, in one place."""

from __future__ import annotations

from enum import IntEnum
from typing import IO, Any

import click


class ExitStatus(IntEnum):
    """The exit statuses."""

    DONE = 0
    # The command could not be executed, or what it compared differs.
    FAILED = 1
    # The command line is invalid, or a file or an address that it names.
    USAGE = 2


class CommandError(click.ClickException):
    """A command failed; the text says why, in one line."""

    def __init__(self, text: str, status: ExitStatus = ExitStatus.FAILED) -> None:
        """Keep the line and the exit status."""
        super().__init__(text)
        # Click declares a class variable, but reads it from the instance.
        self.exit_code = status  # type: ignore[misc]

    def show(self, file: IO[Any] | None = None) -> None:
        """Write the line to standard error, or to a file."""
        click.echo(f"badgercart: {self.format_message()}", file=file, err=file is None)
