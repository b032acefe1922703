"""The bytes of a list are proportional to its entries."""

from __future__ import annotations

import json

import pytest

from benchmarks.scale import lists


def test_a_list_has_the_same_bytes_per_entry_at_any_length() -> None:
    entry_bytes = len(json.dumps(lists.make_entry(123_456)))
    short, long = (
        len(lists.encode_list(1, [lists.make_entry(n) for n in range(size)], True))
        for size in (100, 1000)
    )
    assert short / 100 == pytest.approx(entry_bytes, rel=0.05)
    assert (long - short) / 900 == pytest.approx(entry_bytes, rel=0.05)
