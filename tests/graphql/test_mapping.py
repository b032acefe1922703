"""The mapping of root fields in a settings file is checked against its schema."""

from __future__ import annotations

from pathlib import Path

import pytest

from badgercart.app.file import SettingsFileError, load_installation
from standins.fleet import operators_file
from standins.graphql import SCHEMA_FILE


def settings_text(schema: str) -> str:
    return operators_file("127.0.0.1:1", graphql=schema)


def test_a_valid_mapping_is_loaded(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text(settings_text(str(SCHEMA_FILE)))
    installation = load_installation(str(path))
    assert installation.component_settings["graphql"].by_field["Mutation.rideAssign"].key == "key"


LOOKUP, ASSIGN = '"Query.cabLookup"\nclass = ', '"Mutation.rideAssign"\nclass = '


@pytest.mark.parametrize(
    ("old", "new", "key", "message"),
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
def test_each_fault_of_a_mapping_is_reported(
    tmp_path: Path, old: str, new: str, key: str, message: str
) -> None:
    path, valid_text = tmp_path / "site.toml", settings_text(str(SCHEMA_FILE))
    assert old in valid_text
    path.write_text(valid_text.replace(old, new, 1))
    with pytest.raises(SettingsFileError) as caught:
        load_installation(str(path))
    assert any(
        message in problem.words and problem.line and problem.key.endswith(key)
        for problem in caught.value.problems
    )


@pytest.mark.parametrize(
    ("schema", "message"),
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
def test_an_unsuitable_schema_is_reported(tmp_path: Path, schema: str, message: str) -> None:
    (tmp_path / "s.graphql").write_text(schema)
    path = tmp_path / "site.toml"
    # The schema path is relative to the settings file.
    path.write_text(settings_text("s.graphql"))
    with pytest.raises(SettingsFileError, match=message):
        load_installation(str(path))


def test_a_missing_schema_or_allow_list_is_reported(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text(
        settings_text("none.graphql").replace(
            "[fronts.graphql]", '[fronts.graphql]\nallow_list = "no.json"'
        )
    )
    with pytest.raises(SettingsFileError) as caught:
        load_installation(str(path))
    assert [problem.key for problem in caught.value.problems] == [
        "fronts.graphql.allow_list",
        "fronts.graphql.schema",
    ]
