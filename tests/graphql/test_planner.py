"""Property test of planning and merging, and tests of the planner.

For generated operations, executing the parts and merging their results gives the same response as
executing the operation. `BADGERCART_RUNS=2000 pytest tests/graphql/test_planner.py` runs 2000
seeds; without the variable there are 400.
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

from badgercart.frontends.graphql.merge import PartOutcome, merge_outcomes
from badgercart.frontends.graphql.planner import (
    OperationError,
    Plan,
    Planner,
    PlanningCache,
    select_operation,
)
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
# By type and field: the alternatives for its arguments, and the type of its selections.
FIELD_CHOICES: dict[str, dict[str, tuple[tuple[str, ...], str]]] = {
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


class OperationGenerator:
    """Generates random operations."""

    def __init__(self, rng: random.Random) -> None:
        self.random = rng
        self.fragments: list[str] = []
        self.aliases = 0

    def condition(self) -> str:
        """Return a random `@skip` or `@include` directive, or in most cases an empty text."""
        if self.random.random() < 0.75:
            return ""
        directive = self.random.choice(("skip", "include"))
        return f" @{directive}(if: {self.random.choice(('true', 'false', '$yes', '$no'))})"

    def selections(self, type_name: str, depth: int) -> str:
        """Return random selections on a type at this depth of the document."""
        rng, selections = self.random, []
        if type_name == "Thing":
            selections = [
                f"... on {t} {{ {self.selections(t, depth + 1)} }}" for t in ("Cab", "Ride")
            ]
            return " ".join(["__typename", *selections])
        for _ in range(rng.randrange(1, 5 if depth < 2 else 3)):
            kind = rng.random()
            if kind < 0.15 and depth < 4:
                selections.append(
                    f"...{self.condition()} {{ {self.selections(type_name, depth + 1)} }}"
                )
            elif kind < 0.3 and depth < 4:
                name = f"F{len(self.fragments)}"
                self.fragments.append("")
                at = len(self.fragments) - 1
                self.fragments[at] = (
                    f"fragment {name} on {type_name} {{ {self.selections(type_name, depth + 1)} }}"
                )
                selections += [f"...{name}{self.condition()}"] * rng.choice((1, 1, 2))
            else:
                selections.append(self.field(type_name, depth))
        return " ".join(selections)

    def field(self, type_name: str, depth: int) -> str:
        """Return a random field of a type with its alias, arguments and selections."""
        name = self.random.choice(list(FIELD_CHOICES[type_name]))
        arguments, child_type = FIELD_CHOICES[type_name][name]
        if child_type and depth > 3:
            return "__typename"
        chosen = self.random.choice(arguments)
        self.aliases += 1
        alias = f"a{self.aliases}: " if chosen or child_type or self.random.random() < 0.4 else ""
        text = f"{alias}{name}{f'({chosen})' if chosen else ''}{self.condition()}"
        return f"{text} {{ {self.selections(child_type, depth + 1)} }}" if child_type else text

    def document(self) -> str:
        """Return a random query or mutation with the fragments that it uses."""
        kind = self.random.choice(("query", "query", "mutation"))
        body = self.selections("Query" if kind == "query" else "Mutation", 0)
        # Uses every variable, so that the document is valid whatever the selections are.
        uses = "u1: __typename @skip(if: $yes) u2: __typename @include(if: $no)"
        if kind == "query":
            uses += " u3: cabs(near: $near, n: $n) { id } u4: cab(id: $id) { id }"
        else:
            uses += " u3: assign(ride: $id, key: $near) { c: cab { d: near(limit: $n) { id } } }"
        return f"{kind} Op({VARIABLES}) {{ {body} {uses} }} " + " ".join(self.fragments)


class RandomResolver:
    """Resolves fields to values, nulls and errors that depend only on the seed and the path."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def resolve(self, source: Any, info: Any, **arguments: Any) -> Any:
        """Return the value of a field, or null, or raise an error."""
        # The field name and the arguments seed the values too: a part must resolve to the same
        # values as the complete operation.
        path_text = ".".join(str(step) for step in info.path.as_list())
        rng = random.Random(
            f"{self.seed} {path_text} {info.field_name} {sorted(arguments.items())}"
        )
        chance = rng.random()
        if chance < 0.06:
            raise GraphQLError(f"no {info.field_name} at {path_text}")
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


def execute_by_parts(
    schema: Any, resolver: RandomResolver, text: str, variables: dict[str, Any]
) -> tuple[Plan, dict[str, Any]]:
    document = parse(text)
    operation = select_operation(document, None)
    planner = Planner(schema, FIELDS)
    cache = PlanningCache()
    planner.plan(document, operation, {"no": True, "near": "other", "n": 9}, "", cache)
    # The caches now hold results for other variables, which must not show in this plan.
    plan = planner.plan(document, operation, variables, "", cache)
    fragments = {
        d.name.value: d for d in document.definitions if isinstance(d, FragmentDefinitionNode)
    }
    outcomes = []
    executions: list[tuple[Any, ...]] = [(p.roots, p, p.document, p.variables) for p in plan.parts]
    if plan.local_roots:
        local, variable_names = planner.part_document(operation, plan.local_roots, fragments)
        part_variables = {n: variables[n] for n in variable_names if n in variables}
        executions.append((plan.local_roots, None, print_ast(local), part_variables))
    random.Random(text).shuffle(executions)  # the parts end in any order
    for roots, part, part_text, part_variables in executions:
        part_document = parse(part_text)
        assert validate(schema, part_document) == [], part_text
        result = execute_sync(
            schema, part_document, variable_values=part_variables, field_resolver=resolver.resolve
        )
        errors = [error.formatted for error in result.errors or ()]
        assert result.data is None or set(result.data) == {root.response_key for root in roots}
        outcomes.append(PartOutcome(roots, part, result.data, errors))  # type: ignore[arg-type]
    return plan, merge_outcomes(plan, outcomes)


def sorted_errors(errors: Any) -> list[tuple[Any, ...]]:
    return sorted(
        (
            tuple(map(str, e["path"])),
            e["message"],
            [(p["line"], p["column"]) for p in e["locations"]],
        )
        for e in errors or ()
    )


def check_seed(seed: int) -> bool:
    """Check one generated operation; return False where it is not valid."""
    rng = random.Random(seed)
    schema = build_schema(SDL.format(*(rng.choice(("", "!")) for _ in range(11))))
    text = OperationGenerator(rng).document()
    if validate(schema, parse(text)):
        return False
    variables: dict[str, Any] = {"no": rng.random() < 0.5}
    if rng.random() < 0.5:
        variables |= {"near": "x", "n": 1}
    resolver = RandomResolver(seed)
    complete_result = execute_sync(
        schema, parse(text), variable_values=variables, field_resolver=resolver.resolve
    )
    plan, merged = execute_by_parts(schema, resolver, text, variables)
    assert merged["data"] == complete_result.data, text
    expected, found = (
        sorted_errors([e.formatted for e in complete_result.errors or ()]),
        sorted_errors(merged.get("errors")),
    )
    if complete_result.data is None:
        # The error that made all data null may have ended the execution before further errors.
        assert set(map(repr, expected)) <= set(map(repr, found)), text
    else:
        assert list(merged["data"]) == list(complete_result.data) and found == expected, text
    if plan.serial:
        assert [len(part.roots) for part in plan.parts] == [1] * len(plan.parts)
        names = [root.response_key for root in plan.roots if root not in plan.local_roots]
        assert [part.roots[0].response_key for part in plan.parts] == names
    return True


@pytest.mark.parametrize("start", range(0, RUNS or 400, 100))
def test_merged_parts_equal_the_complete_result(start: int) -> None:
    assert sum(check_seed(seed) for seed in range(start, start + 100)) > 50


SCHEMA = build_schema(SDL.format(*[""] * 11))


def plan_document(text: str, client_key: str = "", **variables: Any) -> Plan:
    document = parse(text)
    assert validate(SCHEMA, document) == []
    return Planner(SCHEMA, FIELDS).plan(
        document, select_operation(document, None), variables, client_key
    )


def test_query_fields_are_grouped_by_class_and_affinity() -> None:
    plan = plan_document(
        "{ a: cab(id: 1) { id } b: count c: cab(id: 1) { plate } "
        "d: ride(id: 1) { id } e: cab(id: 2) { id } f: things { __typename } }"
    )
    groups = [
        (part.class_name, part.affinity, [root.response_key for root in part.roots])
        for part in plan.parts
    ]
    assert groups == [
        ("cab-lookup", "1", ["a", "c"]),
        ("cab-lookup", "", ["b", "f"]),
        ("ride-lookup", "1", ["d"]),
        ("cab-lookup", "2", ["e"]),
    ]
    assert not plan.serial


def test_each_alias_of_a_mutation_has_its_own_key_that_is_stable_across_retries() -> None:
    text = 'mutation { a: assign(ride: 1, key: "k") { id } b: assign(ride: 1, key: "k") { id } }'
    keys = [part.idempotency_key for part in plan_document(text).parts]
    assert len(set(keys)) == 2 and all(keys)
    assert [
        part.idempotency_key for part in plan_document(text.replace(" a:", "  a:")).parts
    ] == keys
    other = [part.idempotency_key for part in plan_document(text.replace('"k"', '"j"')).parts]
    assert not set(other) & set(keys)


def test_a_mutation_without_a_key_argument_uses_the_key_of_the_request() -> None:
    text = "mutation { cancel(ride: 1) }"
    assert plan_document(text).parts[0].idempotency_key == ""
    assert (
        plan_document(text, "req").parts[0].idempotency_key
        != plan_document(text, "other").parts[0].idempotency_key
        != ""
    )


@pytest.mark.parametrize(
    "text",
    [
        "mutation M { ...F } fragment F on Mutation { assign(ride: 1) { id } }",
        "mutation M { ... on Mutation { ... { assign(ride: 1) { id } } } }",
        "mutation M($yes: Boolean = true) { x: __typename assign(ride: 1) @include(if: $yes) { id } }",
        "query A { count } mutation M { assign(ride: 1) { id } }",
    ],
)
def test_fragments_and_conditions_do_not_hide_a_mutation_field(text: str) -> None:
    document = parse(text)
    plan = Planner(SCHEMA, FIELDS).plan(document, select_operation(document, "M"), {})
    assert [part.class_name for part in plan.parts] == ["ride-assign"] and plan.serial


def test_a_part_has_only_the_fragments_and_variables_that_it_uses() -> None:
    plan = plan_document(
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
    ("text", "name", "message"),
    [
        ("query A { count } query B { count }", None, "operationName"),
        ("query A { count }", "C", "no operation 'C'"),
        ("fragment F on Cab { id }", None, "no operation"),
    ],
)
def test_selecting_an_operation_fails_unless_exactly_one_matches(
    text: str, name: str | None, message: str
) -> None:
    with pytest.raises(OperationError, match=message):
        select_operation(parse(text), name)


def test_errors_of_invalid_variables_have_locations() -> None:
    text = "query Q($id: ID!) { cab(id: $id) { id } }"
    for variables in ({}, {"id": None}, {"id": {"a": 1}}):
        with pytest.raises(OperationError) as caught:
            plan_document(text, **variables)
        assert caught.value.errors[0].locations
