"""The map of root fields in an operator's file, checked against its schema."""

from __future__ import annotations

from pathlib import Path

import pytest

from badgercart.app.file import SettingsFileError, load_installation
from standins.fleet import operators_file
from standins.graphql import SCHEMA_FILE


def text(schema: str) -> str:
    return operators_file("127.0.0.1:1", graphql=schema)


def test_a_good_map_is_taken(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text(text(str(SCHEMA_FILE)))
    what = load_installation(str(path))
    assert what.component_settings["graphql"].by_field["Mutation.rideAssign"].key == "key"


LOOKUP, ASSIGN = '"Query.cabLookup"\nclass = ', '"Mutation.rideAssign"\nclass = '


@pytest.mark.parametrize(
    ("old", "new", "key", "words"),
    [
        (f'{LOOKUP}"cab-lookup"', f'{LOOKUP}"ride-assign"', "class", "not safe"),
        (f'{ASSIGN}"ride-assign"', f'{ASSIGN}"cab-lookup"', "class", "a mutation is not"),
        (f'{ASSIGN}"ride-assign"', f'{ASSIGN}"other"', "class", "there is no class 'other'"),
        ('"Query.cabLookup"', '"Query.cabs"', "", "has no field 'cabs'"),
        ('"Query.cabLookup"', '"Other.cabLookup"', "", "is no root type"),
        ('affinity = "pickup"', 'affinity = "place"', "affinity", "has no argument 'place'"),
        ('key = "key"', 'key = "id"', "key", "has no argument 'id'"),
        ('"Query.cabLookup"', '"Mutation.rideAssign"', "", "names a field twice"),
    ],
)
def test_each_fault_of_a_map_is_named(
    tmp_path: Path, old: str, new: str, key: str, words: str
) -> None:
    path, good = tmp_path / "site.toml", text(str(SCHEMA_FILE))
    assert old in good
    path.write_text(good.replace(old, new, 1))
    with pytest.raises(SettingsFileError) as caught:
        load_installation(str(path))
    assert any(words in p.words and p.line and p.key.endswith(key) for p in caught.value.problems)


@pytest.mark.parametrize(
    ("schema", "words"),
    [
        (
            "type Query { cabLookup(pickup: String): Int more: Int }",
            "no class is given for Query.more",
        ),
        (
            "type Query { cabLookup(pickup: String): Int } type Subscription { x: Int }",
            "subscriptions",
        ),
        ("type Query {", "can't be used"),
        ("type Query { a: Missing }", "can't be used"),
    ],
)
def test_a_schema_that_does_not_fit_is_told(tmp_path: Path, schema: str, words: str) -> None:
    (tmp_path / "s.graphql").write_text(schema)
    path = tmp_path / "site.toml"
    path.write_text(text("s.graphql"))  # beside the file
    with pytest.raises(SettingsFileError, match=words):
        load_installation(str(path))


def test_a_schema_or_a_list_that_is_missing_is_told(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text(
        text("none.graphql").replace("[fronts.graphql]", '[fronts.graphql]\nallow_list = "no.json"')
    )
    with pytest.raises(SettingsFileError) as caught:
        load_installation(str(path))
    assert [p.key for p in caught.value.problems] == [
        "fronts.graphql.allow_list",
        "fronts.graphql.schema",
    ]
