"""What one process leaves for the next, by an earlier text: the next may be of another one."""

from __future__ import annotations

from pathlib import Path

from badgercart.hot_restart.state_transfer import decode, encode
from tests.statistics.test_golden import CONFIG, memory

FILE = Path(__file__).parent / "golden" / "handover.txt"
NOW, OFFSET = 1_000_000.0, 777.0


def written() -> bytes:
    return encode(memory(), CONFIG, NOW, OFFSET)


def test_it_is_written_with_the_same_bytes() -> None:
    assert written() == FILE.read_bytes()


def test_it_is_read_to_the_same_values() -> None:
    assert decode(FILE.read_bytes(), CONFIG, NOW + 5.0, OFFSET) == memory()
