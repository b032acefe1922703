"""What the command line says of an operator's file, byte for byte as it was written before.

The settings and log events of the operators' pages are pinned by those pages themselves
(`test_the_operators_pages_are_made_from_the_program`); here is what they leave out.
"""

from __future__ import annotations

import importlib
import logging
import pkgutil
from pathlib import Path

import pytest

import badgercart
from badgercart.app.cli import main
from badgercart.app.render import _tables as tables
from badgercart.app.render import settings_table
from badgercart.core.log_events import LOG_EVENTS
from tests.app.test_file import GOOD, ROOT

GOLDEN = Path(__file__).parent / "golden"
EXAMPLES = ("distribution", "etcd", "graphql", "peers", "processor", "zones")
WRONG = (
    GOOD.replace("worth = 2", "worth = -1")
    .replace('effect = "safe"', 'effect = "odd"')
    .replace("deadline_ms = 1000\nworth = 8", "worth = 8")
    .replace('listen = "127.0.0.1:0"', 'listen = "here"\nodd = 1')
    + '[peers]\nlisten = "127.0.0.1:1"\n[peers.x]\n[zones]\nmode = "none"\nserves = 0\n[[fronts.graphql]]\n'
)
UNMET = (
    GOOD.replace("aim_ms = 400", "aim_ms = 4000", 1)
    .replace('"book"', '"find"')
    .replace('zone = "a"', 'zone = "x"')
    + '[node]\nzone = "q"\nnumber = 3\nseed = "xyz"\nsource = "q"\n[zones]\nhead = 0.99\nrenew_ms = 3000\n'
)  # fmt: skip


def held_to(name: str, text: str) -> None:
    assert text == (GOLDEN / name).read_text("utf-8")


def command(capsys: pytest.CaptureFixture[str], *words: str) -> str:
    """The output and the status of a command."""
    status = main(list(words))
    told = capsys.readouterr()
    return f"$ {' '.join(words)}\n{told.out}{told.err}status {status}\n"


def test_the_schema_of_the_file_is_as_it_was(capsys: pytest.CaptureFixture[str]) -> None:
    held_to("schema.json", command(capsys, "config", "schema"))


@pytest.mark.parametrize("example", EXAMPLES)
def test_the_effective_settings_of_an_example_are_shown_as_they_were(
    example: str, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(ROOT)
    held_to(f"show_{example}.txt", command(capsys, "config", "show", f"deploy/{example}.toml"))


def test_effective_settings_are_shown_as_the_same_json(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(ROOT)
    monkeypatch.setenv("BADGERCART__CLASS__0__WORTH", "3.5")
    held_to("show.json", command(capsys, "config", "show", "deploy/zones.toml", "--json"))


def test_every_default_table_is_written_as_it_was(capsys: pytest.CaptureFixture[str]) -> None:
    headers = [header for header, _, _ in tables()]
    held_to(
        "defaults.txt",
        "".join(command(capsys, "config", "default", name) for name in [*headers, "x"]),
    )


def test_the_settings_of_every_table_are_described_as_they_were() -> None:
    described = [f"{header}\n{settings_table(model)}\n" for header, model, _ in tables()]
    held_to("settings.md", "\n".join(described))


def test_every_log_event_has_the_name_level_and_words_that_it_had() -> None:
    for module in pkgutil.walk_packages(badgercart.__path__, "badgercart."):
        if module.name.endswith(".log_events"):
            importlib.import_module(module.name)
    told = [
        f"{e.name} {logging.getLevelName(e.level)} {e.words}\n    {e.meaning}\n"
        for e in LOG_EVENTS.values()
    ]
    held_to("events.txt", "".join(sorted(told)))


def test_check_names_the_same_faults_in_the_same_words(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    found = []
    for name, text in (
        ("good", GOOD),
        ("wrong", WRONG),
        ("unmet", UNMET),
        ("none", "a = "),
        ("empty", ""),
    ):
        Path(f"{name}.toml").write_text(text)
        found.append(command(capsys, "check", f"{name}.toml"))
    found.append(command(capsys, "check", "missing.toml"))
    held_to("check.txt", "".join(found))


def test_the_command_line_describes_itself_as_it_did(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("COLUMNS", "80")
    calls = (
        [],
        ["serve"],
        ["check"],
        ["config"],
        ["config", "show"],
        ["config", "pages"],
        ["zones"],
    )
    held_to("help.txt", "".join(command(capsys, *call, "--help") for call in calls))
