"""A run as it is kept and printed."""

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
    run = report.run_of("policy", "python -m benchmarks.scale --only policy", SERIES)
    path = report.write(run, tmp_path)
    assert path.name == "policy.json"
    kept = report.read(path)
    assert kept.series[0].points == [(10, 61.0), (20, 62.12), (40, 63.0)]
    assert (kept.subject, kept.command, kept.revision) == (run.subject, run.command, run.revision)
    assert kept.machine.keys() == {"cores", "python"}
    assert report.text(kept) == path.read_text() and str(tmp_path) not in path.read_text()


@pytest.mark.parametrize(
    "text", ["", "[]", "{}", '{"series": [{"points": [1]}]}', '{"series": []}']
)
def test_what_is_no_run_is_named(tmp_path: Path, text: str) -> None:
    (tmp_path / "x.json").write_text(text)
    with pytest.raises(ValueError, match=r"x\.json is no run"):
        report.read(tmp_path / "x.json")


def test_a_table_says_a_slope_only_where_there_is_one() -> None:
    rows = report.table(report.run_of("policy", "", SERIES)).splitlines()
    assert len(rows) == 4 and "| 61 us at 10 | 63 us at 40 | 0.02 [" in rows[2]
    assert rows[3] == "| line | servers | worst | 1 us at 10 | 1 us at 10 | - | - |"


def test_a_subject_that_is_none_is_refused(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit):
        main(["--only", "policy,weather"])
    assert "no subject: weather" in capsys.readouterr().err
