"""Merges the results of the parts into one response. No I/O.

The data is in the order of the client's selection, in whatever order the parts end. An error has
the path of its field, and the location of that field in the client's document. A part without a
result becomes an error at each of its root fields, whose values are null; all data is null where
the schema declares one of them non-null.

Source: GraphQL specification, sections 6.4.4 (handling execution errors) and 7.1 (response format).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from graphql import get_location

from badgercart.frontends.graphql.planner import Part, Plan, RootField

# How many errors of one part are forwarded.
MAX_ERRORS_PER_PART = 100


@dataclass(slots=True)
class PartOutcome:
    """The result of a part: a server's data and errors, or the one error that replaces them."""

    roots: list[RootField]
    # The part as it was sent; None where the frontend answered the fields itself.
    part: Part | None = None
    # None where there is no reply, or where the server's data is null.
    data: dict[str, Any] | None = None
    errors: list[dict[str, Any]] = field(default_factory=list)
    # An error without path that is reported for each root field.
    replacement_error: dict[str, Any] | None = None


def merge_outcomes(plan: Plan, outcomes: list[PartOutcome]) -> dict[str, Any]:
    """Return the complete response: `data`, and `errors` where there are any."""
    values: dict[str, Any] = {}
    errors: list[dict[str, Any]] = []
    data_is_null = False
    for outcome in outcomes:
        if outcome.replacement_error is not None:
            errors += [
                outcome.replacement_error
                | {"path": [root.response_key], "locations": root_field_locations(root)}
                for root in outcome.roots
            ]
        errors += [relocate_error(error, outcome) for error in outcome.errors[:MAX_ERRORS_PER_PART]]
        for root in outcome.roots:
            value = outcome.data.get(root.response_key) if outcome.data is not None else None
            # A null in a non-null root field makes all data null.
            data_is_null = data_is_null or (value is None and root.non_null)
            values[root.response_key] = value
    data = (
        None
        if data_is_null
        else {root.response_key: values.get(root.response_key) for root in plan.roots}
    )
    order = {root.response_key: number for number, root in enumerate(plan.roots)}
    errors.sort(key=lambda error: order.get(str((error.get("path") or [""])[0]), len(order)))
    return {"errors": errors, "data": data} if errors else {"data": data}


def root_field_locations(root: RootField) -> list[dict[str, int]]:
    """Return where the client's document selects a root field."""
    locations = []
    for node in root.nodes:
        if node.loc is not None:
            location = get_location(node.loc.source, node.loc.start)
            locations.append({"line": location.line, "column": location.column})
    return locations


def relocate_error(error: Mapping[str, Any], outcome: PartOutcome) -> dict[str, Any]:
    """Return a server's error with its locations in the client's document.

    The server's locations refer to the part's document, which the client does not know.
    """
    client_error: dict[str, Any] = {"message": str(error.get("message", "error"))}
    if isinstance(error.get("extensions"), dict):
        client_error["extensions"] = error["extensions"]
    path = error.get("path")
    if not isinstance(path, list) or not path:
        return client_error
    root = next((root for root in outcome.roots if root.response_key == path[0]), None)
    if root is None:
        return client_error
    client_locations = outcome.part.client_locations() if outcome.part is not None else {}
    locations = [
        client_locations[position]
        for position in _positions(error.get("locations"))
        if position in client_locations
    ]
    return client_error | {"path": path, "locations": locations or root_field_locations(root)}


def _positions(locations: Any) -> list[tuple[int, int]]:
    """Return line and column of each well-formed location."""
    positions = []
    for location in locations if isinstance(locations, list) else ():
        if isinstance(location, dict):
            line, column = location.get("line"), location.get("column")
            if isinstance(line, int) and isinstance(column, int):
                positions.append((line, column))
    return positions
