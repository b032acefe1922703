"""A run as it is stored and printed."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks.scale import report
from benchmarks.scale.__main__ import main

SERIES = [
    report.Series(
        "decision",
        "us",
        "servers",
        "median",
        [(10, 61.0), (20, 62.12345), (40, 63.0)],
        {"classes": 1},
    ),
    report.Series("line", "us", "servers", "worst", [(10, 1.0)]),
]


def test_a_run_is_read_as_it_was_written(tmp_path: Path) -> None:
    run = report.new_run("policy", "python -m benchmarks.scale --only policy", SERIES)
    path = report.write(run, tmp_path)
    assert path.name == "policy.json"
    stored = report.read(path)
    assert stored.series[0].points == [(10, 61.0), (20, 62.12), (40, 63.0)]
    assert (stored.subject, stored.command, stored.revision) == (
        run.subject,
        run.command,
        run.revision,
    )
    assert stored.machine.keys() == {"cores", "python"}
    assert report.to_json(stored) == path.read_text() and str(tmp_path) not in path.read_text()


@pytest.mark.parametrize(
    "text", ["", "[]", "{}", '{"series": [{"points": [1]}]}', '{"series": []}']
)
def test_an_invalid_run_is_reported(tmp_path: Path, text: str) -> None:
    (tmp_path / "x.json").write_text(text)
    with pytest.raises(ValueError, match=r"x\.json is not a valid run"):
        report.read(tmp_path / "x.json")


def test_a_table_has_a_slope_only_where_one_can_be_fitted() -> None:
    rows = report.table(report.new_run("policy", "", SERIES)).splitlines()
    assert len(rows) == 4 and "| 61 us at 10 | 63 us at 40 | 0.02 [" in rows[2]
    assert rows[3] == "| line | servers | worst | 1 us at 10 | 1 us at 10 | - | - |"


def test_an_unknown_subject_is_rejected(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit):
        main(["--only", "policy,weather"])
    assert "unknown subjects: weather" in capsys.readouterr().err
