"""What a new configuration must have: each fault is found, and named by its path."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.reload.checks import MAX_CLASSES, OPTIONAL_KEYS, faults, load
from badgercart.reload.numbers import assign_indexes
from tests.test_process import raw_config


def whole() -> dict[str, Any]:
    raw = copy.deepcopy(raw_config()) | {"known": {"generation": 1}, "console": "127.0.0.1:1"}
    raw["settings"]["Customers"] = [{"Name": "acme", "QuotaPerS": 5.0}]
    raw["settings"]["Classes"].append({**raw["settings"]["Classes"][0], "Name": "book"})
    return raw


def places(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """All keys of all tables, by their path."""
    found = []
    items = (
        value.items()
        if isinstance(value, dict)
        else enumerate(value)
        if isinstance(value, list)
        else ()
    )
    for key, inner in items:
        if isinstance(value, dict):
            found.append((*path, key))
        found += places(inner, (*path, key))
    return found


PLACES = places(whole())


def words(path: tuple[Any, ...]) -> str:
    return "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in path)[1:]


@pytest.mark.parametrize("path", PLACES, ids=map(words, PLACES))
def test_a_missing_key_or_one_of_another_type_is_named(path: tuple[Any, ...]) -> None:
    for change in ("drop", [None]):
        new = whole()
        table = new
        for key in path[:-1]:
            table = table[key]
        if change == "drop":
            del table[path[-1]]
        else:
            table[path[-1]] = None
        found = list(faults(new, whole()))
        if path[0] in OPTIONAL_KEYS:
            assert found == []
        else:
            assert any(fault.startswith(words(path) + " ") for fault in found), found


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        (lambda s: s["Classes"][0].update(Deadline=-5), "settings.Classes[0].Deadline is -5"),
        (lambda s: s["Classes"][1].update(Aim=0.0), "settings.Classes[1].Aim is 0.0"),
        (lambda s: s["Allowed"].update(MaxAttempts=0), "settings.Allowed.MaxAttempts is 0"),
        (lambda s: s["Classes"][1].update(Name="find"), "settings.Classes[1].Name: 'find' stands"),
        (lambda s: s["Customers"].append(dict(s["Customers"][0])), "settings.Customers[1].Name: 'acme'"),
        (lambda s: s["Classes"].append(7), "settings.Classes[2] is a number where a table belongs"),
        (lambda s: s.update(Classes=s["Classes"] * MAX_CLASSES), "settings.Classes has over 256 items"),
    ],
)  # fmt: skip
def test_an_invalid_configuration_is_named_by_its_path(change: Any, fault: str) -> None:
    new = whole()
    change(new["settings"])
    assert any(found.startswith(fault) for found in faults(new, whole()))


def test_classes_and_tenants_may_come_and_go() -> None:
    new = copy.deepcopy(whole())
    new["settings"]["Classes"] = [{**new["settings"]["Classes"][0], "Name": "x", "More": 1}]
    new["settings"]["Customers"] = []
    assert list(faults(new, whole())) == []


@pytest.mark.parametrize(
    "text", ['{"a":NaN}', '{"a":1e999}', '{"a":-Infinity}', "[]", "", "{", "3"]
)
def test_text_that_is_no_table_of_finite_numbers_is_rejected(text: str) -> None:
    with pytest.raises(ValueError, match="."):
        load(text.encode())
    assert load(json.dumps({"a": 1.5}).encode()) == {"a": 1.5}


@given(
    st.lists(
        st.tuples(st.sets(st.sampled_from("abcdefgh")), st.sets(st.integers(0, 9))), max_size=20
    )
)
def test_names_keep_their_indexes_and_indexes_stay_few(
    steps: list[tuple[set[str], set[int]]],
) -> None:
    numbers: dict[str, int] = {}
    for names, busy in steps:
        new, fresh = assign_indexes(sorted(names), numbers, busy)
        assert new.keys() == names
        assert len(set(new.values())) == len(new)
        for name, number in new.items():
            assert (
                (number == numbers[name])
                if name in numbers
                else (number in fresh and number not in busy)
            )
        assert (
            max(new.values(), default=-1) < 10 + 8
        )  # never more than what was busy and named together
        numbers = new
