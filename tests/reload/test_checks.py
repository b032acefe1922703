"""Faults of a new configuration are found and reported with their path; indexes are stable."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.reload.checks import MAX_CLASSES, OPTIONAL_KEYS, faults, load
from badgercart.reload.index_assignment import assign_indexes
from tests.test_process import raw_config


def complete_configuration() -> dict[str, Any]:
    """Return a raw configuration with optional keys, a tenant and a second class."""
    raw = copy.deepcopy(raw_config()) | {"known": {"generation": 1}, "console": "127.0.0.1:1"}
    raw["settings"]["Customers"] = [{"Name": "acme", "QuotaPerS": 5.0}]
    raw["settings"]["Classes"].append({**raw["settings"]["Classes"][0], "Name": "book"})
    return raw


def key_paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all keys of all tables."""
    paths = []
    items = (
        value.items()
        if isinstance(value, dict)
        else enumerate(value)
        if isinstance(value, list)
        else ()
    )
    for key, inner in items:
        if isinstance(value, dict):
            paths.append((*path, key))
        paths += key_paths(inner, (*path, key))
    return paths


KEY_PATHS = key_paths(complete_configuration())


def path_text(path: tuple[Any, ...]) -> str:
    """Return a path as fault messages write it, such as `settings.Classes[0].Name`."""
    return "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in path)[1:]


@pytest.mark.parametrize("path", KEY_PATHS, ids=map(path_text, KEY_PATHS))
def test_a_missing_key_or_one_of_another_type_is_reported(path: tuple[Any, ...]) -> None:
    """Check that dropping or nulling any key is reported, unless the key is optional."""
    for change in ("drop", [None]):
        new = complete_configuration()
        table = new
        for key in path[:-1]:
            table = table[key]
        if change == "drop":
            del table[path[-1]]
        else:
            table[path[-1]] = None
        found = list(faults(new, complete_configuration()))
        if path[0] in OPTIONAL_KEYS:
            assert found == []
        else:
            assert any(fault.startswith(path_text(path) + " ") for fault in found), found


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
def test_an_invalid_value_is_reported_with_its_path(change: Any, fault: str) -> None:
    """Check that an invalid value is reported with the path of its key."""
    new = complete_configuration()
    change(new["settings"])
    assert any(found.startswith(fault) for found in faults(new, complete_configuration()))


def test_classes_and_tenants_may_be_added_and_removed() -> None:
    """Check that replaced classes, removed tenants and unknown keys are no faults."""
    new = copy.deepcopy(complete_configuration())
    new["settings"]["Classes"] = [{**new["settings"]["Classes"][0], "Name": "x", "More": 1}]
    new["settings"]["Customers"] = []
    assert list(faults(new, complete_configuration())) == []


@pytest.mark.parametrize(
    "text", ['{"a":NaN}', '{"a":1e999}', '{"a":-Infinity}', "[]", "", "{", "3"]
)
def test_text_that_is_no_table_of_finite_numbers_is_rejected(text: str) -> None:
    """Check that only a JSON object whose numbers are all finite is loaded."""
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
    """Check that names keep their indexes, and that new names get low indexes that are free."""
    indexes: dict[str, int] = {}
    for names, busy in steps:
        assigned, new_indexes = assign_indexes(sorted(names), indexes, busy)
        assert assigned.keys() == names
        assert len(set(assigned.values())) == len(assigned)
        for name, index in assigned.items():
            assert (
                (index == indexes[name])
                if name in indexes
                else (index in new_indexes and index not in busy)
            )
        # There are never more indexes than busy indexes (10) and names (8) together.
        assert max(assigned.values(), default=-1) < 10 + 8
        indexes = assigned
