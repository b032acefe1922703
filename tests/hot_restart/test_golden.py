"""The statistics file of hot restarts is unchanged: the next process may be of another version."""

from __future__ import annotations

from pathlib import Path

from badgercart.hot_restart.state_transfer import decode, encode
from tests.statistics.test_golden import CONFIG, example_statistics

FILE = Path(__file__).parent / "golden" / "handover.txt"
NOW, OFFSET = 1_000_000.0, 777.0


def written() -> bytes:
    return encode(example_statistics(), CONFIG, NOW, OFFSET)


def test_the_file_is_encoded_unchanged() -> None:
    assert written() == FILE.read_bytes()


def test_the_file_is_decoded_unchanged() -> None:
    assert decode(FILE.read_bytes(), CONFIG, NOW + 5.0, OFFSET) == example_statistics()
