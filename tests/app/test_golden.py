"""What the command line prints about an operator's file, byte for byte as in the golden files.

The settings and log events of the operators' pages are pinned by those pages themselves
(`test_the_operators_pages_are_made_from_the_program`); these tests pin what they leave out.
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
from tests.app.test_file import ROOT, VALID_TEXT

GOLDEN = Path(__file__).parent / "golden"
EXAMPLES = ("distribution", "etcd", "graphql", "peers", "processor", "zones")
WRONG = (
    VALID_TEXT.replace("worth = 2", "worth = -1")
    .replace('effect = "safe"', 'effect = "odd"')
    .replace("deadline_ms = 1000\nworth = 8", "worth = 8")
    .replace('listen = "127.0.0.1:0"', 'listen = "here"\nodd = 1')
    + '[peers]\nlisten = "127.0.0.1:1"\n[peers.x]\n[zones]\nmode = "none"\nserves = 0\n[[fronts.graphql]]\n'
)
CONTRADICTORY = (
    VALID_TEXT.replace("aim_ms = 400", "aim_ms = 4000", 1)
    .replace('"book"', '"find"')
    .replace('zone = "a"', 'zone = "x"')
    + '[node]\nzone = "q"\nnumber = 3\nseed = "xyz"\nsource = "q"\n[zones]\nhead = 0.99\nrenew_ms = 3000\n'
)  # fmt: skip


def assert_golden(name: str, text: str) -> None:
    assert text == (GOLDEN / name).read_text("utf-8")


def run_command(capsys: pytest.CaptureFixture[str], *arguments: str) -> str:
    """Run a command and return its output and exit status."""
    status = main(list(arguments))
    captured = capsys.readouterr()
    return f"$ {' '.join(arguments)}\n{captured.out}{captured.err}status {status}\n"


def test_the_json_schema_is_unchanged(capsys: pytest.CaptureFixture[str]) -> None:
    assert_golden("schema.json", run_command(capsys, "config", "schema"))


@pytest.mark.parametrize("example", EXAMPLES)
def test_the_effective_settings_of_examples_are_unchanged(
    example: str, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(ROOT)
    assert_golden(
        f"show_{example}.txt", run_command(capsys, "config", "show", f"deploy/{example}.toml")
    )


def test_effective_settings_as_json_are_unchanged(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(ROOT)
    monkeypatch.setenv("BADGERCART__CLASS__0__WORTH", "3.5")
    assert_golden("show.json", run_command(capsys, "config", "show", "deploy/zones.toml", "--json"))


def test_default_tables_are_unchanged(capsys: pytest.CaptureFixture[str]) -> None:
    headers = [header for header, _, _ in tables()]
    assert_golden(
        "defaults.txt",
        "".join(run_command(capsys, "config", "default", name) for name in [*headers, "x"]),
    )


def test_descriptions_of_settings_are_unchanged() -> None:
    described = [f"{header}\n{settings_table(model)}\n" for header, model, _ in tables()]
    assert_golden("settings.md", "\n".join(described))


def test_log_events_are_unchanged() -> None:
    for module in pkgutil.walk_packages(badgercart.__path__, "badgercart."):
        if module.name.endswith(".log_events"):
            importlib.import_module(module.name)
    events = [
        f"{event.name} {logging.getLevelName(event.level)} {event.words}\n    {event.meaning}\n"
        for event in LOG_EVENTS.values()
    ]
    assert_golden("events.txt", "".join(sorted(events)))


def test_messages_of_check_are_unchanged(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    outputs = []
    for name, text in (
        ("good", VALID_TEXT),
        ("wrong", WRONG),
        ("unmet", CONTRADICTORY),
        ("none", "a = "),
        ("empty", ""),
    ):
        Path(f"{name}.toml").write_text(text)
        outputs.append(run_command(capsys, "check", f"{name}.toml"))
    outputs.append(run_command(capsys, "check", "missing.toml"))
    assert_golden("check.txt", "".join(outputs))


def test_help_texts_are_unchanged(
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
    assert_golden("help.txt", "".join(run_command(capsys, *call, "--help") for call in calls))
