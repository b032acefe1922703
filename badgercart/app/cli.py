"""The command line: `serve`, `check`, `config`, and the groups that components bring.

Click was chosen since its groups find commands only when they are called, so that no subsystem's
library is imported for another's command, and since it supports shell completion. Help texts are an
interface, so they stand apart from doc comments.
"""

from __future__ import annotations

import importlib
import json
import os
import sys
from pathlib import Path

import click
import uvloop
from click.shell_completion import get_completion_class

from badgercart.app import logs, render
from badgercart.app.application import ComponentStartError
from badgercart.app.console import show_table
from badgercart.app.exits import CommandError, ExitStatus
from badgercart.app.faults import SettingsFileError
from badgercart.app.file import Installation, load_installation
from badgercart.app.registry import declarations
from badgercart.app.run import run

NAME = "badgercart"
# The variable by which a shell requests completions.
COMPLETE = "_BADGERCART_COMPLETE"

FILE = click.argument("file", metavar="FILE.toml")


class Commands(click.Group):
    """The program's own commands, and one group for each component that brings one."""

    def component_commands(self) -> dict[str, str]:
        """Return `module:name` by the group's name."""
        paths = [
            component.commands for component in declarations() if component.commands is not None
        ]
        return {path.rpartition(":")[2]: path for path in paths}

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return [*super().list_commands(ctx), *self.component_commands()]

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Return the command with this name; that of a component is imported now."""
        if (path := self.component_commands().get(name)) is None:
            return super().get_command(ctx, name)
        module, _, attribute = path.partition(":")
        command: click.Command = getattr(importlib.import_module(module), attribute)
        return command


HELP = """Without arguments: the platform's node, configured by the ROUTER_* variables.

Exit status: 0 done, 1 could not be done or a difference, 2 a wrong command line or file.
"""


@click.group(cls=Commands, help=HELP, context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """Group all commands."""


def load_or_exit(path: str) -> Installation:
    """Return what a file switches on; if it is invalid, print its faults and exit."""
    try:
        return load_installation(path)
    except SettingsFileError as error:
        click.echo(str(error), err=True)
        raise click.exceptions.Exit(ExitStatus.USAGE) from error


@cli.command(help="Start what an operator's file switches on.")
@FILE
def serve(file: str) -> None:
    """Serve until a signal ends the process."""
    installation = load_or_exit(file)
    assert installation.base is not None
    sink = logs.open_sink(installation.config.name, installation.base.log)
    try:
        uvloop.run(run(file, installation))
    except ComponentStartError as error:
        raise CommandError(str(error), ExitStatus.USAGE) from error
    finally:
        logs.close_sink(sink)


@cli.command(help="Say what is wrong with an operator's file, by line and key.")
@FILE
def check(file: str) -> None:
    """Check a file."""
    load_or_exit(file)
    click.echo(f"{file}: good")


@cli.group(help="What may stand in an operator's file, and what one says.")
def config() -> None:
    """Group the commands about files."""


@config.command(help="JSON Schema of the file, for editors that complete and check TOML.")
def schema() -> None:
    """Print the JSON Schema of a file."""
    click.echo(json.dumps(render.json_schema(), indent=2))


@config.command(
    help="The effective settings and where each came from: a line, a variable or the default."
)
@FILE
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def show(file: str, as_json: bool) -> None:
    """Print the settings in force and where each came from."""
    try:
        rows = render.effective(file, os.environ)
    except SettingsFileError as error:
        click.echo(str(error), err=True)
        raise click.exceptions.Exit(ExitStatus.USAGE) from error
    if as_json:
        click.echo(
            json.dumps({key: {"value": value, "from": origin} for key, value, origin in rows})
        )
    else:
        show_table(
            ("setting", "value", "from"),
            [(key, json.dumps(value), origin) for key, value, origin in rows],
        )


@config.command(
    help="A commented table with every default, to begin from: NAME is `node`, `fleet`, `class`, "
    "or a part."
)
@click.argument("name")
def default(name: str) -> None:
    """Print a table with every default."""
    try:
        click.echo(render.default_table(name))
    except LookupError as error:
        raise CommandError(str(error.args[0]), ExitStatus.USAGE) from error


@config.command(
    help="Write the tables of the operators' pages in FOLDER anew from the program itself."
)
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option(
    "--check", "only_check", is_flag=True, help="Change nothing; exit 1 if a page is out of date."
)
def pages(folder: str, only_check: bool) -> None:
    """Rewrite the pages of a folder, or name those that are out of date."""
    stale = []
    for path in sorted(Path(folder).glob("*.md")):
        text = path.read_text("utf-8")
        renewed = _renewed(path, text)
        if renewed != text:
            stale.append(path)
            if not only_check:
                path.write_text(renewed, "utf-8")
    for path in stale:
        click.echo(f"{path}: {'out of date' if only_check else 'written'}")
    if stale and only_check:
        raise click.exceptions.Exit(ExitStatus.FAILED)


def _renewed(path: Path, text: str) -> str:
    try:
        return render.page(text)
    except LookupError as error:
        words = f"{path}: {error.args[0]}"
        raise CommandError(words, ExitStatus.USAGE) from error


@cli.command(help='A script that completes commands: `eval "$(badgercart completion bash)"`.')
@click.argument("shell", type=click.Choice(("bash", "zsh", "fish")))
def completion(shell: str) -> None:
    """Print a script that completes commands."""
    found = get_completion_class(shell)
    assert found is not None
    click.echo(found(cli, {}, NAME, COMPLETE).source())


def main(arguments: list[str]) -> int:
    """Run one command and return its exit status."""
    try:
        done = cli.main(arguments, prog_name=NAME, complete_var=COMPLETE, standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.exceptions.Abort:
        # Interrupted by the user.
        return ExitStatus.DONE
    except BrokenPipeError:
        sys.stderr.close()
        return ExitStatus.FAILED
    return done if isinstance(done, int) else ExitStatus.DONE
