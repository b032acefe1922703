"""The command line: `serve`, `check`, `config`, and the groups that parts bring.

Why click: its groups find commands only when they are called, so that no subsystem's library is
imported for another's command, and completion comes with it. Typer is click with another face, and
rich as a must.
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
from badgercart.app.console import show_table
from badgercart.app.exits import CommandError, Exit
from badgercart.app.faults import FileError
from badgercart.app.file import Installation, load
from badgercart.app.registry import declarations
from badgercart.app.run import run
from badgercart.app.site import PartError

NAME = "badgercart"
COMPLETE = "_BADGERCART_COMPLETE"  # the variable by which a shell asks for completions

FILE = click.argument("file", metavar="FILE.toml")


class Commands(click.Group):
    """The program's own commands, and one group for each part that brings one."""

    def brought(self) -> dict[str, str]:
        """`module:name` by the group's name."""
        paths = [part.commands for part in declarations() if part.commands is not None]
        return {path.rpartition(":")[2]: path for path in paths}

    def list_commands(self, ctx: click.Context) -> list[str]:
        return [*super().list_commands(ctx), *self.brought()]

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if (path := self.brought().get(name)) is None:
            return super().get_command(ctx, name)
        module, _, attribute = path.partition(":")
        command: click.Command = getattr(importlib.import_module(module), attribute)
        return command


@click.group(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """Without arguments: the platform's node, configured by the ROUTER_* variables.

    Exit status: 0 done, 1 could not be done or a difference, 2 a wrong command line or file.
    """


def loaded(path: str) -> Installation:
    try:
        return load(path)
    except FileError as error:
        click.echo(str(error), err=True)
        raise click.exceptions.Exit(Exit.USAGE) from None


@cli.command()
@FILE
def serve(file: str) -> None:
    """Start what an operator's file switches on."""
    what = loaded(file)
    assert what.base is not None
    sink = logs.open_sink(what.config.name, what.base.log)
    try:
        uvloop.run(run(file, what))
    except PartError as error:
        raise CommandError(str(error), Exit.USAGE) from None
    finally:
        logs.close_sink(sink)


@cli.command()
@FILE
def check(file: str) -> None:
    """Say what is wrong with an operator's file, by line and key."""
    loaded(file)
    click.echo(f"{file}: good")


@cli.group()
def config() -> None:
    """What may stand in an operator's file, and what one says."""


@config.command()
def schema() -> None:
    """JSON Schema of the file, for editors that complete and check TOML."""
    click.echo(json.dumps(render.json_schema(), indent=2))


@config.command()
@FILE
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def show(file: str, as_json: bool) -> None:
    """The effective settings and where each came from: a line, a variable or the default."""
    try:
        rows = render.effective(file, os.environ)
    except FileError as error:
        click.echo(str(error), err=True)
        raise click.exceptions.Exit(Exit.USAGE) from None
    if as_json:
        click.echo(
            json.dumps({key: {"value": value, "from": origin} for key, value, origin in rows})
        )
    else:
        show_table(
            ("setting", "value", "from"), [(k, json.dumps(v), origin) for k, v, origin in rows]
        )


@config.command()
@click.argument("name")
def default(name: str) -> None:
    """A commented table with every default, to begin from: NAME is `node`, `fleet`, `class`, or a
    part."""
    try:
        click.echo(render.default_table(name))
    except LookupError as error:
        raise CommandError(str(error.args[0]), Exit.USAGE) from None


@config.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option(
    "--check", "only_check", is_flag=True, help="Change nothing; exit 1 if a page is out of date."
)
def pages(folder: str, only_check: bool) -> None:
    """Write the tables of the operators' pages in FOLDER anew from the program itself."""
    stale = []
    for path in sorted(Path(folder).glob("*.md")):
        text = path.read_text("utf-8")
        try:
            fresh = render.page(text)
        except LookupError as error:
            raise CommandError(f"{path}: {error.args[0]}", Exit.USAGE) from None
        if fresh != text:
            stale.append(path)
            if not only_check:
                path.write_text(fresh, "utf-8")
    for path in stale:
        click.echo(f"{path}: {'out of date' if only_check else 'written'}")
    if stale and only_check:
        raise click.exceptions.Exit(Exit.FAILED)


@cli.command()
@click.argument("shell", type=click.Choice(("bash", "zsh", "fish")))
def completion(shell: str) -> None:
    """A script that completes commands: `eval "$(badgercart completion bash)"`."""
    found = get_completion_class(shell)
    assert found is not None
    click.echo(found(cli, {}, NAME, COMPLETE).source())


def main(arguments: list[str]) -> int:
    """Run one command and give its exit status."""
    try:
        done = cli.main(arguments, prog_name=NAME, complete_var=COMPLETE, standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.exceptions.Abort:
        return Exit.DONE  # interrupted by its user
    except BrokenPipeError:
        sys.stderr.close()
        return Exit.FAILED
    return done if isinstance(done, int) else Exit.DONE
