"""Exit statuses of every command, in one place."""

from __future__ import annotations

from enum import IntEnum

import click


class Exit(IntEnum):
    DONE = 0
    FAILED = 1  # could not be done, or what was compared differs
    USAGE = 2  # a wrong command line, a file or an address that can't be used


class CommandError(click.ClickException):
    """What can't be done, in one line, and the status that says so."""

    def __init__(self, text: str, status: Exit = Exit.FAILED) -> None:
        super().__init__(text)
        self.exit_code = status  # type: ignore[misc]  # click says class, and reads it of the instance

    def show(self, file: object = None) -> None:
        click.echo(f"badgercart: {self.format_message()}", err=True)
