"""A stretch that is cut out replays by itself, and two segments are compared event by event."""

from __future__ import annotations

from pathlib import Path

import pytest

from badgercart.app.cli import main
from badgercart.capture.edit import cut, differences
from badgercart.capture.format import SegmentEnding
from badgercart.capture.replay import find_segments, replay
from tests.capture.support import captured


@pytest.fixture(scope="module")
def path(tmp_path_factory: pytest.TempPathFactory) -> Path:
    folder = tmp_path_factory.mktemp("day")
    captured(folder, 6, 500, segment_bytes=1 << 30)
    return find_segments([str(folder)])[0]


def test_a_stretch_replays_from_its_first_event(path: Path, tmp_path: Path) -> None:
    whole = replay(path)
    begin, end = whole.first_ms + 1000.0, whole.first_ms + 2500.0
    out = tmp_path / "part.bcap"
    count = cut(path, out, begin, end)
    part = replay(out)
    assert part.identical and part.ending is SegmentEnding.WHOLE and part.events == count > 50
    assert begin <= part.first_ms <= part.last_ms < end
    assert main(["capture", "cut", str(path), "--from", "1", "--to", "2", "-o", str(out)]) == 1
    assert main(["capture", "cut", str(path), "--from", str(begin), "-o", str(out)]) == 0
    assert replay(out).last_ms == whole.last_ms


def test_differences_are_named_by_event(
    path: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert (
        list(differences(path, path)) == [] and main(["capture", "diff", str(path), str(path)]) == 0
    )
    captured(tmp_path, 7, 500, segment_bytes=1 << 30)
    (other,) = find_segments([str(tmp_path)])
    lines = list(differences(path, other))
    assert lines[:2] == ["seed: differs", "state: differs"] and "event " in lines[2]
    short = tmp_path / "short.bcap"
    whole = replay(path)
    cut(path, short, whole.first_ms, whole.first_ms + 1000.0)
    assert any(f"only in {path}" in line for line in differences(path, short))
    assert (
        main(["capture", "diff", str(path), str(other)]) == 1
        and "seed: differs" in capsys.readouterr().out
    )
