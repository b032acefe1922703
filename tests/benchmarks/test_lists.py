"""The bytes of a list go by its lines."""

from __future__ import annotations

import json

import pytest

from benchmarks.scale import lists


def test_a_list_costs_the_same_a_line_however_long_it_is() -> None:
    a_line = len(json.dumps(lists.line(123_456)))
    few, many = (
        len(lists.text(1, [lists.line(n) for n in range(size)], True)) for size in (100, 1000)
    )
    assert few / 100 == pytest.approx(a_line, rel=0.05)
    assert (many - few) / 900 == pytest.approx(a_line, rel=0.05)
