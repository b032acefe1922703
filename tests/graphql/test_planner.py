"""Planning, running the parts and merging gives what running the whole gives, for generated
operations.

`BADGERCART_RUNS=2000 pytest tests/graphql/test_planner.py` is the long form; CI runs a seeded
subset.
"""

from __future__ import annotations

import os
import random
from typing import Any

import pytest
from graphql import (
    FragmentDefinitionNode,
    GraphQLError,
    build_schema,
    execute_sync,
    parse,
    print_ast,
    validate,
)

from badgercart.frontends.graphql.merge import Outcome, response
from badgercart.frontends.graphql.planner import BadOperation, Memo, Plan, Planner, choose
from badgercart.frontends.graphql.settings import FieldMap

RUNS = int(os.environ.get("BADGERCART_RUNS", "0"))

SDL = """
type Query {{
  cab(id: ID!): Cab{0}
  cabs(near: String, n: Int = 2): [Cab{1}]
  ride(id: ID!): Ride{2}
  things: [Thing]
  count(x: Int = 3): Int{3}
}}
type Mutation {{
  assign(ride: ID!, key: String): Ride{4}
  cancel(ride: ID!): Boolean{5}
}}
type Cab {{ id: ID! plate: String{6} driver: Driver{7} near(limit: Int = 1): [Cab{8}] }}
type Driver {{ name: String{9} cab: Cab }}
type Ride {{ id: ID! cab: Cab{10} state: String }}
union Thing = Cab | Ride
"""
FIELDS = {
    name: FieldMap.model_validate({"name": name, "class": cls, "affinity": affinity, "key": key})
    for name, cls, affinity, key in (
        ("Query.cab", "cab-lookup", "id", None),
        ("Query.cabs", "cab-lookup", "near", None),
        ("Query.ride", "ride-lookup", "id", None),
        ("Query.things", "cab-lookup", None, None),
        ("Query.count", "cab-lookup", None, None),
        ("Mutation.assign", "ride-assign", "ride", "key"),
        ("Mutation.cancel", "ride-assign", "ride", None),
    )
}
# Of each type: its fields, the arguments as they may be written, and the type below.
SHAPE: dict[str, dict[str, tuple[tuple[str, ...], str]]] = {
    "Query": {
        "cab": (("id: 1", "id: $id", 'id: "x"'), "Cab"),
        "cabs": (("", "near: $near", "n: $n", 'near: "a", n: 1'), "Cab"),
        "ride": (("id: 2", "id: $id"), "Ride"),
        "things": (("",), "Thing"),
        "count": (("", "x: 1", "x: $n"), ""),
        "__typename": (("",), ""),
    },
    "Mutation": {
        "assign": (("ride: 1", 'ride: $id, key: "k"', "ride: 2, key: $near"), "Ride"),
        "cancel": (("ride: 1", "ride: $id"), ""),
        "__typename": (("",), ""),
    },
    "Cab": {
        "id": (("",), ""),
        "plate": (("",), ""),
        "driver": (("",), "Driver"),
        "near": (("", "limit: $n", "limit: 2"), "Cab"),
    },
    "Driver": {"name": (("",), ""), "cab": (("",), "Cab")},
    "Ride": {"id": (("",), ""), "cab": (("",), "Cab"), "state": (("",), "")},
}
VARIABLES = "$id: ID! = 7, $near: String, $n: Int = 2, $yes: Boolean = true, $no: Boolean!"


class Writer:
    """Writes a random operation."""

    def __init__(self, rng: random.Random) -> None:
        self.random = rng
        self.fragments: list[str] = []
        self.aliases = 0

    def choice(self) -> str:
        if self.random.random() < 0.75:
            return ""
        word = self.random.choice(("skip", "include"))
        return f" @{word}(if: {self.random.choice(('true', 'false', '$yes', '$no'))})"

    def selections(self, on: str, depth: int) -> str:
        rng, found = self.random, []
        if on == "Thing":
            found = [f"... on {t} {{ {self.selections(t, depth + 1)} }}" for t in ("Cab", "Ride")]
            return " ".join(["__typename", *found])
        for _ in range(rng.randrange(1, 5 if depth < 2 else 3)):
            kind = rng.random()
            if kind < 0.15 and depth < 4:
                found.append(f"...{self.choice()} {{ {self.selections(on, depth + 1)} }}")
            elif kind < 0.3 and depth < 4:
                name = f"F{len(self.fragments)}"
                self.fragments.append("")
                at = len(self.fragments) - 1
                self.fragments[at] = (
                    f"fragment {name} on {on} {{ {self.selections(on, depth + 1)} }}"
                )
                found += [f"...{name}{self.choice()}"] * rng.choice((1, 1, 2))
            else:
                found.append(self.field(on, depth))
        return " ".join(found)

    def field(self, on: str, depth: int) -> str:
        name = self.random.choice(list(SHAPE[on]))
        arguments, below = SHAPE[on][name]
        if below and depth > 3:
            return "__typename"
        chosen = self.random.choice(arguments)
        self.aliases += 1
        alias = f"a{self.aliases}: " if chosen or below or self.random.random() < 0.4 else ""
        text = f"{alias}{name}{f'({chosen})' if chosen else ''}{self.choice()}"
        return f"{text} {{ {self.selections(below, depth + 1)} }}" if below else text

    def document(self) -> str:
        kind = self.random.choice(("query", "query", "mutation"))
        body = self.selections("Query" if kind == "query" else "Mutation", 0)
        # Every variable is used, so that the document is valid whatever the selections took.
        uses = "u1: __typename @skip(if: $yes) u2: __typename @include(if: $no)"
        if kind == "query":
            uses += " u3: cabs(near: $near, n: $n) { id } u4: cab(id: $id) { id }"
        else:
            uses += " u3: assign(ride: $id, key: $near) { c: cab { d: near(limit: $n) { id } } }"
        return f"{kind} Op({VARIABLES}) {{ {body} {uses} }} " + " ".join(self.fragments)


class World:
    """Values, nulls and errors that depend on nothing but the path's fields and the seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def resolve(self, source: Any, info: Any, **arguments: Any) -> Any:
        # Not on response keys of the list's places alone: a part must meet the very same world.
        way = ".".join(str(step) for step in info.path.as_list())
        rng = random.Random(f"{self.seed} {way} {info.field_name} {sorted(arguments.items())}")
        chance = rng.random()
        if chance < 0.06:
            raise GraphQLError(f"no {info.field_name} at {way}")
        if chance < 0.14:
            return None
        kind = str(info.return_type).strip("!")
        if kind.startswith("["):
            return [{"__typename": rng.choice(("Cab", "Ride"))} for _ in range(rng.randrange(3))]
        return {
            "ID": lambda: f"i{rng.randrange(9)}",
            "String": lambda: f"s{rng.randrange(9)}",
            "Int": lambda: rng.randrange(9),
            "Boolean": lambda: rng.random() < 0.5,
        }.get(kind, dict)()


def by_parts(
    schema: Any, world: World, text: str, variables: dict[str, Any]
) -> tuple[Plan, dict[str, Any]]:
    document = parse(text)
    operation = choose(document, None)
    planner = Planner(schema, FIELDS)
    memo = Memo()
    planner.plan(document, operation, {"no": True, "near": "other", "n": 9}, "", memo)
    plan = planner.plan(document, operation, variables, "", memo)  # what it remembers must not show
    fragments = {
        d.name.value: d for d in document.definitions if isinstance(d, FragmentDefinitionNode)
    }
    outcomes = []
    jobs: list[tuple[Any, ...]] = [(p.roots, p, p.document, p.variables) for p in plan.parts]
    if plan.local:
        local, needed = planner.document(operation, plan.local, fragments)
        given = {n: variables[n] for n in needed if n in variables}
        jobs.append((plan.local, None, print_ast(local), given))
    random.Random(text).shuffle(jobs)  # answers come in any order
    for roots, part, printed, given in jobs:
        parsed = parse(printed)
        assert validate(schema, parsed) == [], printed
        done = execute_sync(schema, parsed, variable_values=given, field_resolver=world.resolve)
        errors = [error.formatted for error in done.errors or ()]
        assert done.data is None or set(done.data) == {root.response_key for root in roots}
        outcomes.append(Outcome(roots, part, done.data, errors))  # type: ignore[arg-type]
    return plan, response(plan, outcomes)


def told(errors: Any) -> list[tuple[Any, ...]]:
    return sorted(
        (
            tuple(map(str, e["path"])),
            e["message"],
            [(p["line"], p["column"]) for p in e["locations"]],
        )
        for e in errors or ()
    )


def one(seed: int) -> bool:
    rng = random.Random(seed)
    schema = build_schema(SDL.format(*(rng.choice(("", "!")) for _ in range(11))))
    text = Writer(rng).document()
    if validate(schema, parse(text)):
        return False
    variables: dict[str, Any] = {"no": rng.random() < 0.5}
    if rng.random() < 0.5:
        variables |= {"near": "x", "n": 1}
    world = World(seed)
    whole = execute_sync(
        schema, parse(text), variable_values=variables, field_resolver=world.resolve
    )
    plan, merged = by_parts(schema, world, text, variables)
    assert merged["data"] == whole.data, text
    expected, found = told([e.formatted for e in whole.errors or ()]), told(merged.get("errors"))
    if (
        whole.data is None
    ):  # an error that took all data may have ended the whole before others came
        assert set(map(repr, expected)) <= set(map(repr, found)), text
    else:
        assert list(merged["data"]) == list(whole.data) and found == expected, text
    if plan.serial:
        assert [len(part.roots) for part in plan.parts] == [1] * len(plan.parts)
        names = [root.response_key for root in plan.roots if root not in plan.local]
        assert [part.roots[0].response_key for part in plan.parts] == names
    return True


@pytest.mark.parametrize("start", range(0, RUNS or 400, 100))
def test_parts_merged_are_the_whole(start: int) -> None:
    assert sum(one(seed) for seed in range(start, start + 100)) > 50


# What goes together, and keys.

SCHEMA = build_schema(SDL.format(*[""] * 11))


def planned(text: str, client_key: str = "", **variables: Any) -> Plan:
    document = parse(text)
    assert validate(SCHEMA, document) == []
    return Planner(SCHEMA, FIELDS).plan(document, choose(document, None), variables, client_key)


def test_fields_of_one_class_and_affinity_go_together() -> None:
    plan = planned(
        "{ a: cab(id: 1) { id } b: count c: cab(id: 1) { plate } "
        "d: ride(id: 1) { id } e: cab(id: 2) { id } f: things { __typename } }"
    )
    groups = [
        (part.cls, part.affinity, [root.response_key for root in part.roots]) for part in plan.parts
    ]
    assert groups == [
        ("cab-lookup", "1", ["a", "c"]),
        ("cab-lookup", "", ["b", "f"]),
        ("ride-lookup", "1", ["d"]),
        ("cab-lookup", "2", ["e"]),
    ]
    assert not plan.serial


def test_two_aliases_of_a_mutation_are_two_effects_with_keys_that_a_repeat_gets_again() -> None:
    text = 'mutation { a: assign(ride: 1, key: "k") { id } b: assign(ride: 1, key: "k") { id } }'
    keys = [part.key for part in planned(text).parts]
    assert len(set(keys)) == 2 and all(keys)
    assert [part.key for part in planned(text.replace(" a:", "  a:")).parts] == keys
    other = [part.key for part in planned(text.replace('"k"', '"j"')).parts]
    assert not set(other) & set(keys)


def test_a_mutation_without_a_key_of_its_own_takes_the_requests() -> None:
    text = "mutation { cancel(ride: 1) }"
    assert planned(text).parts[0].key == ""
    assert planned(text, "req").parts[0].key != planned(text, "other").parts[0].key != ""


@pytest.mark.parametrize(
    "text",
    [
        "mutation M { ...F } fragment F on Mutation { assign(ride: 1) { id } }",
        "mutation M { ... on Mutation { ... { assign(ride: 1) { id } } } }",
        "mutation M($yes: Boolean = true) { x: __typename assign(ride: 1) @include(if: $yes) { id } }",
        "query A { count } mutation M { assign(ride: 1) { id } }",
    ],
)
def test_an_assignment_can_not_hide(text: str) -> None:
    document = parse(text)
    plan = Planner(SCHEMA, FIELDS).plan(document, choose(document, "M"), {})
    assert [part.cls for part in plan.parts] == ["ride-assign"] and plan.serial


def test_a_part_holds_only_what_it_needs() -> None:
    plan = planned(
        "query Q($id: ID!, $n: Int, $near: String) "
        "{ cab(id: $id) { ...C } cabs(near: $near) { id } count(x: $n) } "
        "fragment C on Cab { plate near(limit: $n) { ...D } } fragment D on Cab { id }",
        id="1", n=2, near="x",
    )  # fmt: skip
    first = plan.parts[0]
    assert first.variables == {"id": "1", "n": 2}
    assert (
        "$near" not in first.document
        and "fragment C" in first.document
        and "fragment D" in first.document
    )
    assert "fragment" not in plan.parts[1].document


@pytest.mark.parametrize(
    ("text", "name", "words"),
    [
        ("query A { count } query B { count }", None, "operationName"),
        ("query A { count }", "C", "no operation 'C'"),
        ("fragment F on Cab { id }", None, "no operation"),
    ],
)
def test_an_operation_must_be_named_where_there_are_several(
    text: str, name: str | None, words: str
) -> None:
    with pytest.raises(BadOperation, match=words):
        choose(parse(text), name)


def test_variables_that_do_not_fit_are_told_with_their_places() -> None:
    text = "query Q($id: ID!) { cab(id: $id) { id } }"
    for variables in ({}, {"id": None}, {"id": {"a": 1}}):
        with pytest.raises(BadOperation) as caught:
            planned(text, **variables)
        assert caught.value.errors[0].locations
