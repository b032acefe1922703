"""The parts' results into one response. No I/O.

Data comes in the order of the selection whatever the order of the answers; an error has the path of
its field and the place of that field in the client's document; a part that has no result is an
error at each of its fields, and null, or null for all data where the schema says that the field is
never null.

Source: GraphQL specification, sections 6.4.4 (handling execution errors) and 7.1 (response format).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from graphql import get_location

from badgercart.frontends.graphql.planner import Part, Plan, Root

MAX_ERRORS = 100  # of one part that are passed on


@dataclass(slots=True)
class Outcome:
    """What came of a part: a server's data and errors, or the one error that stands in its
    place."""

    roots: list[Root]
    part: Part | None = None  # as it was sent; None where it was answered here
    data: dict[str, Any] | None = None  # None: nothing came, or the server's data is null
    errors: list[dict[str, Any]] = field(default_factory=list)
    instead: dict[str, Any] | None = None  # an error without path, for each of its fields


def response(plan: Plan, outcomes: list[Outcome]) -> dict[str, Any]:
    """The whole response: `data`, and `errors` where there are any."""
    found: dict[str, Any] = {}
    errors: list[dict[str, Any]] = []
    nothing = False  # an error has taken all data with it
    for outcome in outcomes:
        if outcome.instead is not None:
            errors += [
                outcome.instead | {"path": [root.response_key], "locations": root_places(root)}
                for root in outcome.roots
            ]
        errors += [relocated(error, outcome) for error in outcome.errors[:MAX_ERRORS]]
        for root in outcome.roots:
            value = outcome.data.get(root.response_key) if outcome.data is not None else None
            nothing = nothing or (value is None and root.non_null)
            found[root.response_key] = value
    data = (
        None
        if nothing
        else {root.response_key: found.get(root.response_key) for root in plan.roots}
    )
    order = {root.response_key: number for number, root in enumerate(plan.roots)}
    errors.sort(key=lambda error: order.get(str((error.get("path") or [""])[0]), len(order)))
    return {"errors": errors, "data": data} if errors else {"data": data}


def root_places(root: Root) -> list[dict[str, int]]:
    """Where the client's document asks for a root field."""
    places = []
    for node in root.nodes:
        if node.loc is not None:
            at = get_location(node.loc.source, node.loc.start)
            places.append({"line": at.line, "column": at.column})
    return places


def relocated(error: Mapping[str, Any], outcome: Outcome) -> dict[str, Any]:
    """A server's error with its places in the client's document, which is not the one that the
    server saw."""
    kept: dict[str, Any] = {"message": str(error.get("message", "error"))}
    if isinstance(error.get("extensions"), dict):
        kept["extensions"] = error["extensions"]
    path = error.get("path")
    if not isinstance(path, list) or not path:
        return kept
    root = next((root for root in outcome.roots if root.response_key == path[0]), None)
    if root is None:
        return kept
    known = outcome.part.places() if outcome.part is not None else {}
    places = [known[place] for place in _pairs(error.get("locations")) if place in known]
    return kept | {"path": path, "locations": places or root_places(root)}


def _pairs(locations: Any) -> list[tuple[int, int]]:
    found = []
    for place in locations if isinstance(locations, list) else ():
        if isinstance(place, dict):
            line, column = place.get("line"), place.get("column")
            if isinstance(line, int) and isinstance(column, int):
                found.append((line, column))
    return found
