"""Trial files: validation by line, a run with real processes, and the records in causal order."""

from __future__ import annotations

from pathlib import Path

import pytest

from badgercart.app.faults import SettingsFileError
from lab.__main__ import main
from lab.model import simulate
from lab.settings import Cell
from lab.trial import records
from lab.trial.inmodel import day_of
from lab.trial.script import FAULT_STEPS, InjectedFault, TrialFile, load
from lab.trial.timeline import ordered

VALID_TRIAL = """[trial]
name = "small"
seconds = 3
nodes = 3
per_s = 60
[[trouble]]
kind = "kill"
at_s = 1
for_s = 1
nodes = ["n2"]
"""


def write_trial(folder: Path, text: str) -> str:
    path = folder / "trial.toml"
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize(
    ("old", "new", "line", "words"),
    [
        ("seconds = 3", "secs = 3", 3, "secs: is not known here"),
        ("nodes = 3", "nodes = 0", 4, "is not within 1 to 200"),
        ('kind = "kill"', 'kind = "kil"', 7, "'kil' is none of slow"),
        ("at_s = 1", "at_s = 30", 9, "lasts beyond the trial's end"),
        ('nodes = ["n2"]', 'nodes = ["n3"]', 10, "'n3' is none of n0 to n2"),
        ('nodes = ["n2"]', "", 6, "kill befalls nodes"),
        ('kind = "kill"', 'kind = "one_way"', 10, "one_way takes two"),
        ('kind = "kill"', 'kind = "partition"\nzone = "x"', 8, "'x' is none of trial.zones"),
    ],
)
def test_invalid_trial_file_is_reported_by_line(
    tmp_path: Path, old: str, new: str, line: int, words: str, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write_trial(tmp_path, VALID_TRIAL.replace(old, new, 1))
    with pytest.raises(SettingsFileError) as caught:
        load(path)
    assert words in str(caught.value) and f"line {line}" in str(caught.value), str(caught.value)
    assert main(["trial", path]) == 2 and words in capsys.readouterr().err


def test_each_fault_kind_has_begin_and_end_steps() -> None:
    kinds = InjectedFault.model_fields["kind"].annotation
    assert set(FAULT_STEPS) == set(kinds.__args__)  # type: ignore[union-attr]


def test_trial_is_run_recorded_and_shown(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path, records_folder = write_trial(tmp_path, VALID_TRIAL), tmp_path / "records"
    assert main(["trial", path, "--results", str(records_folder)]) == 0
    assert "worth in time" in capsys.readouterr().out
    requests = records.read(records_folder, records.REQUESTS)
    attempts = records.read(records_folder, records.ATTEMPTS)
    assert len(requests) > 100 and {row["outcome"] for row in requests} <= {
        "served",
        "refused",
        "lost",
        "failed",
    }
    assert {row["id"] for row in requests if row["outcome"] == "served"} <= {
        row["id"] for row in attempts
    }
    assert {row["node"] for row in attempts} <= {"n0", "n1", "n2"}
    rows = ordered(records.read(records_folder, records.EVENTS))
    restart_index = next(
        index
        for index, row in enumerate(rows)
        if row["event"] == "peers.listening" and row["life"] == 2
    )
    notice_index = next(
        index
        for index, row in enumerate(rows)
        if row["node"] != "n2" and index > restart_index and "n2 is alive" in row["message"]
    )
    assert restart_index < notice_index  # no node learns of a restart before it happens
    assert main(["timeline", str(records_folder), "--about", "n2", "--node", "n0"]) == 0
    out = capsys.readouterr().out
    assert "n2 is alive" in out and "n1" not in out.replace("word of n1", "")
    (records_folder / records.EVENTS).write_bytes(b"junk")
    assert main(["timeline", str(records_folder)]) == 2


FAULT = {
    "at_s": 1.0, "for_s": 2.0, "share": 0.4, "size": 0.5, "chance": 0.3, "zone": "a", "to": "b",
    "zones": ["a"], "nodes": ["n0"],
}  # fmt: skip


@pytest.mark.parametrize("kind", FAULT_STEPS)
def test_each_fault_kind_runs_in_the_model(kind: str) -> None:
    nodes = ["n0", "n1"] if kind == "one_way" else ["n0"]
    trial = {"name": kind, "seconds": 5.0, "per_s": 60.0, "servers": 6}
    settings = {"trial": trial, "trouble": [FAULT | {"kind": kind, "nodes": nodes}]}
    result = simulate(Cell(day_of(TrialFile.model_validate(settings)), "badgercart", 1))
    assert not sum(result["breaches"].values()), result["shown"]
    assert result["requests"] > 200 and result["share"] > 0.5


def test_trial_command_runs_the_trial_in_the_model(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["trial", write_trial(tmp_path, VALID_TRIAL), "--model"]) == 0
    assert "small: " in capsys.readouterr().out
