"""Files that are hostile or odd, variables that override, and what the commands make of the
models."""

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
from badgercart.app.document import MAX_FILE
from badgercart.app.faults import SettingsFileError
from badgercart.app.file import load_installation
from tests.app.test_file import GOOD, ROOT, faults

PARTS = ("http", "processor", "graphql", "etcd", "metrics")


def test_a_file_of_a_megabyte_of_nested_tables_is_faults_in_little_time(tmp_path: Path) -> None:
    deep = "".join(
        f"[a.{'.'.join('bcdefgh'[: n % 8])}.t{n}]\nx = {n}\n".replace("..", ".")
        for n in range(40_000)
    )
    text = (GOOD + deep)[: MAX_FILE - 1].rpartition("\n[")[0] + "\n"
    (found,) = faults(tmp_path, text)
    assert found[:2] == (23, "a")
    assert found[2].startswith("is not known here")


@pytest.mark.parametrize(
    "more",
    ["[fleet]\n", "[node]\n[node]\n", "[node]\nname = 'a'\nname = 'b'\n", "[fronts]\nhttp = 1\n"],
)
def test_a_duplicate_key_or_table_is_one_fault(tmp_path: Path, more: str) -> None:
    assert len(faults(tmp_path, GOOD + more)) == 1


def test_a_missing_library_is_one_line_that_names_the_extra(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(sys.modules, "grpc", None)
    found = faults(tmp_path, GOOD + '[fronts.processor]\nlisten = "127.0.0.1:0"\n')
    words = "needs grpc, which is not installed: pip install 'badgercart[processor]'"
    assert found == [(23, "fronts.processor", words)]


def test_variables_override_single_settings_and_are_named_in_their_faults(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text(GOOD)
    environ = {
        "BADGERCART__CLASS__0__WORTH": "3.5",
        "BADGERCART__NODE__NAME": "north",
        "BADGERCART__FLEET__ZONES": '["a", "c"]',
        "BADGERCART__METRICS__LISTEN": "127.0.0.1:0",
        "OTHER": "x",
    }
    what = load_installation(str(path), environ)
    assert what.config.settings.classes[0].priority_weight == 3.5
    assert what.config.name == "north"
    assert what.config.zones == {"a": 0, "c": 1}
    assert what.component_settings["metrics"].listen == (
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
            path.write_text('[node]\nname = "a"\n' + GOOD)
        with pytest.raises(SettingsFileError) as caught:
            load_installation(str(path), {f"BADGERCART__{name}": value})
        (problem,) = caught.value.problems
        assert problem.key == key
        assert words in problem.words
        assert f"(set by BADGERCART__{name})" in problem.words


def test_show_names_the_origin_of_each_setting(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text(GOOD)
    rows = {
        k: (v, o) for k, v, o in render.effective(str(path), {"BADGERCART__RETRY__CANCEL": "false"})
    }
    assert rows["class[0].worth"] == (2.0, "line 7")
    assert rows["retry.cancel"] == (False, "BADGERCART__RETRY__CANCEL")
    assert rows["retry.max_attempts"] == (4, "default")
    assert rows["fronts.http.listen"] == ("127.0.0.1:0", "line 22")


def test_no_secret_is_shown_but_its_file(
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
def test_every_default_table_is_toml_whose_values_are_the_defaults(
    name: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["config", "default", name]) == 0
    text = capsys.readouterr().out
    tomllib.loads(text)
    header = next(h for h, _, _ in render._tables() if h.rpartition(".")[2] == name)
    assert f"[{header}]" in text
    assert "#" in text
    assert main(["config", "default", "nothing"]) == 2


def test_the_schema_knows_every_setting_that_the_examples_use() -> None:
    schema = render.json_schema()

    def walk(value: Any, at: dict[str, Any], path: str) -> None:
        while "$ref" in at or "anyOf" in at:
            at = at["anyOf"][0] if "anyOf" in at else schema["$defs"][at["$ref"].rpartition("/")[2]]
        if isinstance(value, dict):
            assert at["additionalProperties"] is False, path
            for key, item in value.items():
                assert key in at["properties"], f"{path}.{key}"
                walk(item, at["properties"][key], f"{path}.{key}")
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for item in value:
                walk(item, at["items"], path)

    for example in ROOT.glob("deploy/*.toml"):
        if example.name != "balancer.toml":
            walk(tomllib.loads(example.read_text()), schema, example.name)


def test_the_operators_pages_are_made_from_the_program() -> None:
    import badgercart.__main__  # noqa: F401 - as the program does: its log events stand on a page

    assert main(["config", "pages", "--check", str(ROOT / "docs" / "operators")]) == 0


def test_a_page_that_is_out_of_date_is_named_and_renewed(tmp_path: Path) -> None:
    page = tmp_path / "a.md"
    page.write_text("x\n<!-- settings: fronts.http -->\nold\n<!-- end -->\ny\n")
    assert main(["config", "pages", "--check", str(tmp_path)]) == 1
    assert main(["config", "pages", str(tmp_path)]) == 0
    assert "`listen`" in page.read_text()
    assert main(["config", "pages", "--check", str(tmp_path)]) == 0
    page.write_text("<!-- wrong: a -->\n<!-- end -->\n")
    assert main(["config", "pages", str(tmp_path)]) == 2


@pytest.mark.parametrize(
    ("words", "status"),
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
def test_commands_end_with_the_statuses_of_the_table(words: list[str], status: int) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "badgercart", *words], capture_output=True, text=True, check=False
    )
    assert done.returncode == status, done.stderr
    assert bool(done.stdout) == (status == 0)
    assert bool(done.stderr) == (status != 0)
    if words == ["config", "schema"]:
        assert json.loads(done.stdout)["title"] == "File"
