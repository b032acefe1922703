"""The format of `benchmarks/scale/runs/*.json`: each stored run is read and written unchanged."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks.scale import report
from benchmarks.scale.fit import Point

GOLDEN = Path(__file__).parent / "golden"
POINTS: list[Point] = [(10, 61.0), (20, 62.12), (40, 63.0)]


@pytest.mark.parametrize(
    "path", sorted((report.ROOT / "benchmarks/scale/runs").glob("*.json")), ids=str
)
def test_a_stored_run_is_read_and_written_unchanged(path: Path) -> None:
    assert report.to_json(report.read(path)) == path.read_text()


def test_a_run_is_written_and_read_as_the_golden_file(tmp_path: Path) -> None:
    series = [
        report.Series(
            "decision",
            "us",
            "servers",
            "median",
            [(10, 61.0), (20, 62.12345), (40, 63.0)],
            {"a": 1},
        ),
        report.Series("line", "us", "servers", "worst", [(10, 1.0)]),
    ]
    run = report.Run("policy", "python -m x", "02a955d", {"cores": 8, "python": "3.11"}, series)
    stored = GOLDEN / "run.json"
    assert report.write(run, tmp_path, "policy-x").read_text() == stored.read_text()
    read = report.read(stored)
    rounded = report.Series("decision", "us", "servers", "median", POINTS, {"a": 1})
    assert read == report.Run(
        "policy", "python -m x", "02a955d", {"cores": 8, "python": "3.11"}, [rounded, series[1]]
    )


@pytest.mark.parametrize("old", ['"subject"', '"name"', '"fixed"'])
def test_a_run_with_an_unknown_key_is_rejected(tmp_path: Path, old: str) -> None:
    path = tmp_path / "x.json"
    path.write_text((GOLDEN / "run.json").read_text().replace(old, '"other"', 1))
    with pytest.raises(ValueError, match=r"x\.json is not a valid run"):
        report.read(path)
