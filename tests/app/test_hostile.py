"""Hostile and unusual files, variables that override settings, and the output of commands."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from badgercart.app import render
from badgercart.app.cli import main
from badgercart.app.document import MAX_FILE_BYTES
from badgercart.app.faults import SettingsFileError
from badgercart.app.file import load_installation
from tests.app.test_file import ROOT, VALID_TEXT, reported_faults

PARTS = ("http", "processor", "graphql", "etcd", "metrics")


def test_a_megabyte_of_nested_tables_is_rejected_quickly(tmp_path: Path) -> None:
    deep = "".join(
        f"[a.{'.'.join('bcdefgh'[: n % 8])}.t{n}]\nx = {n}\n".replace("..", ".")
        for n in range(40_000)
    )
    text = (VALID_TEXT + deep)[: MAX_FILE_BYTES - 1].rpartition("\n[")[0] + "\n"
    (found,) = reported_faults(tmp_path, text)
    assert found[:2] == (23, "a")
    assert found[2].startswith("is not known here")


@pytest.mark.parametrize(
    "more",
    ["[fleet]\n", "[node]\n[node]\n", "[node]\nname = 'a'\nname = 'b'\n", "[fronts]\nhttp = 1\n"],
)
def test_a_duplicate_key_or_table_is_one_fault(tmp_path: Path, more: str) -> None:
    assert len(reported_faults(tmp_path, VALID_TEXT + more)) == 1


def test_a_missing_library_is_reported_with_its_extra(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(sys.modules, "grpc", None)
    found = reported_faults(tmp_path, VALID_TEXT + '[fronts.processor]\nlisten = "127.0.0.1:0"\n')
    words = "needs grpc, which is not installed: pip install 'badgercart[processor]'"
    assert found == [(23, "fronts.processor", words)]


def test_variables_override_settings_and_are_named_in_their_faults(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text(VALID_TEXT)
    environ = {
        "BADGERCART__CLASS__0__WORTH": "3.5",
        "BADGERCART__NODE__NAME": "north",
        "BADGERCART__FLEET__ZONES": '["a", "c"]',
        "BADGERCART__METRICS__LISTEN": "127.0.0.1:0",
        "OTHER": "x",
    }
    installation = load_installation(str(path), environ)
    assert installation.config.settings.classes[0].priority_weight == 3.5
    assert installation.config.name == "north"
    assert installation.config.zones == {"a": 0, "c": 1}
    assert installation.component_settings["metrics"].listen == (
        "127.0.0.1",
        0,
    )
    for name, value, key, words in (
        ("CLASS__0__WORTH", "-1", "class[0].worth", "-1 is not within 0 to 1e+06"),
        ("CLASS__9__WORTH", "1", "class[9].worth", "there is no such table"),
        ("NODE__NAME__X", "1", "node.name.x", "there is no such setting"),
        ("NODE__NAMES", "1", "node.names", "is not known here"),
        ("CLASS__0", "1", "class[0]", "is no table"),
    ):
        if name == "NODE__NAME__X":
            path.write_text('[node]\nname = "a"\n' + VALID_TEXT)
        with pytest.raises(SettingsFileError) as caught:
            load_installation(str(path), {f"BADGERCART__{name}": value})
        (problem,) = caught.value.problems
        assert problem.key == key
        assert words in problem.words
        assert f"(set by BADGERCART__{name})" in problem.words


def test_show_names_the_origin_of_each_setting(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text(VALID_TEXT)
    rows = {
        key: (value, origin)
        for key, value, origin in render.effective(
            str(path), {"BADGERCART__RETRY__CANCEL": "false"}
        )
    }
    assert rows["class[0].worth"] == (2.0, "line 7")
    assert rows["retry.cancel"] == (False, "BADGERCART__RETRY__CANCEL")
    assert rows["retry.max_attempts"] == (4, "default")
    assert rows["fronts.http.listen"] == ("127.0.0.1:0", "line 22")


def test_show_prints_the_file_of_a_secret_but_not_the_secret(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    secret = tmp_path / "password"
    secret.write_text("planted-secret")
    path = tmp_path / "site.toml"
    text = (
        (ROOT / "deploy" / "etcd.toml")
        .read_text()
        .replace("# user", "user")
        .replace("# password", "password")
    )
    path.write_text(text.replace("/etc/badgercart/etcd-password", str(secret)))
    assert main(["config", "show", str(path)]) == 0
    shown = capsys.readouterr().out
    assert str(secret) in shown
    assert "planted-secret" not in shown


@pytest.mark.parametrize(
    "name", ["node", "fleet", "retry", "class", "tenant", "log", *PARTS, "server"]
)
def test_every_default_table_is_valid_toml(name: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["config", "default", name]) == 0
    text = capsys.readouterr().out
    tomllib.loads(text)
    header = next(header for header, _, _ in render._tables() if header.rpartition(".")[2] == name)
    assert f"[{header}]" in text
    assert "#" in text
    assert main(["config", "default", "nothing"]) == 2


def test_the_schema_contains_every_setting_of_the_examples() -> None:
    schema = render.json_schema()

    def check_value(value: Any, definition: dict[str, Any], path: str) -> None:
        while "$ref" in definition or "anyOf" in definition:
            definition = (
                definition["anyOf"][0]
                if "anyOf" in definition
                else schema["$defs"][definition["$ref"].rpartition("/")[2]]
            )
        if isinstance(value, dict):
            assert definition["additionalProperties"] is False, path
            for key, item in value.items():
                assert key in definition["properties"], f"{path}.{key}"
                check_value(item, definition["properties"][key], f"{path}.{key}")
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for item in value:
                check_value(item, definition["items"], path)

    for example in ROOT.glob("deploy/*.toml"):
        if example.name != "balancer.toml":
            check_value(tomllib.loads(example.read_text()), schema, example.name)


def test_the_operators_pages_are_made_from_the_program() -> None:
    import badgercart.__main__  # noqa: F401 - as the program does: its log events stand on a page

    assert main(["config", "pages", "--check", str(ROOT / "docs" / "operators")]) == 0


def test_an_outdated_page_is_named_and_rewritten(tmp_path: Path) -> None:
    page = tmp_path / "a.md"
    page.write_text("x\n<!-- settings: fronts.http -->\nold\n<!-- end -->\ny\n")
    assert main(["config", "pages", "--check", str(tmp_path)]) == 1
    assert main(["config", "pages", str(tmp_path)]) == 0
    assert "`listen`" in page.read_text()
    assert main(["config", "pages", "--check", str(tmp_path)]) == 0
    page.write_text("<!-- wrong: a -->\n<!-- end -->\n")
    assert main(["config", "pages", str(tmp_path)]) == 2


@pytest.mark.parametrize(
    ("arguments", "status"),
    [
        (["--help"], 0),
        (["processor", "--help"], 0),
        (["members", "--help"], 0),
        (["completion", "bash"], 0),
        (["config", "schema"], 0),
        (["nothing"], 2),
        (["check"], 2),
        (["check", "/none.toml"], 2),
        (["processor", "proxies", "127.0.0.1:1"], 1),
    ],
)
def test_commands_end_with_the_documented_statuses(arguments: list[str], status: int) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "badgercart", *arguments],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == status, done.stderr
    assert bool(done.stdout) == (status == 0)
    assert bool(done.stderr) == (status != 0)
    if arguments == ["config", "schema"]:
        assert json.loads(done.stdout)["title"] == "File"
