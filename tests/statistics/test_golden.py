"""A snapshot file of an earlier release is decoded to the same values and encoded the same.

`version-1.learned` (see `test_statistics.py`) is a file of real traffic; this test fixes the place
of each field.
"""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

from click.testing import CliRunner

from badgercart.policy.endpoint import EndpointStatistics
from badgercart.policy.settings import Idempotency, RequestClass
from badgercart.policy.statistics import PolicyStatistics
from badgercart.statistics.commands import learned
from badgercart.statistics.snapshot import decode, encode, extract_statistics, make_snapshot
from tests.net import config

GOLDEN = Path(__file__).parent / "golden"
BASE = config(("127.0.0.1", 1))
CLASSES = (
    RequestClass(580.0, 1400.0, 2.0, Idempotency.IDEMPOTENT),
    RequestClass(750.0, 1900.0, 8.0, Idempotency.IDEMPOTENT),
)
CONFIG = replace(
    BASE,
    name="n-1",
    settings=replace(BASE.settings, classes=CLASSES),
    classes={b"find": 0, b"book": 1},
    kinds={"k0": 0, "k1": 1},
    zones={"east": 0, "west": 1},
)
SAVED_MS, UNIX_OFFSET_MS = 1.75e12, 1.7e12


def example_statistics() -> PolicyStatistics:
    """Return statistics in which all numbers differ."""
    return PolicyStatistics(
        [33.5, 44.25],
        [10.0, 11.0, 0.5, 0.25],
        {0: 1.5, 1: 0.75},
        21.0,
        22.5,
        60.0,
        0.125,
        0.0625,
        {7: 3.0, 2**63: 1.5},
        5.5,
        {
            11: EndpointStatistics(5000.0, 4.0, 3.0, (0.75, 0.125), (2.0, 0.0)),
            2**62: EndpointStatistics(0.0, 1.0, 0.5, (0.0, 0.25), (0.0, 1.0)),
        },
    )


def encoded_example() -> bytes:
    snapshot = make_snapshot(example_statistics(), CONFIG, SAVED_MS, UNIX_OFFSET_MS)
    return encode(snapshot)


def test_the_encoded_bytes_are_the_same() -> None:
    assert encoded_example() == (GOLDEN / "learned.bin").read_bytes()


def test_the_decoded_values_are_the_same() -> None:
    snapshot = decode((GOLDEN / "learned.bin").read_bytes())
    assert (snapshot.node, snapshot.fleet, snapshot.saved_ms) == ("n-1", "east,west/k0,k1", 1.75e12)
    assert extract_statistics(snapshot, CONFIG, UNIX_OFFSET_MS) == example_statistics()


def test_the_command_shows_the_same_names() -> None:
    shown = CliRunner().invoke(learned, ["show", str(GOLDEN / "learned.bin"), "--json"])
    assert json.loads(shown.output) == {
        "node": "n-1",
        "fleet": "east,west/k0,k1",
        "saved_ms": 1.75e12,
        "classes": {
            "find": {"usual": 33.5, "offered": 10.0, "beyond": 0.5},
            "book": {"usual": 44.25, "offered": 11.0, "beyond": 0.25},
        },
        "kinds": {"k0": 1.5, "k1": 0.75},
        "least": 21.0,
        "mean": 22.5,
        "answers": 60.0,
        "best_rate": 0.125,
        "carried": 0.0625,
        "keys_total": 5.5,
        "keys": {"7": 3.0, "9223372036854775808": 1.5},
        "servers": [
            [11, 1.700000005e12, 4.0, 3.0, [0.75, 0.125], [2.0, 0.0]],
            [4611686018427387904, 0.0, 1.0, 0.5, [0.0, 0.25], [0.0, 1.0]],
        ],
    }
