"""The GraphQL side of a dispatch server: the dispatch schema, with results of this server's own
making."""

from __future__ import annotations

import json
from functools import lru_cache
from pathlib import Path
from typing import Any

from graphql import DocumentNode, GraphQLError, build_schema, execute_sync, parse, validate

SCHEMA_FILE = Path(__file__).parent.parent / "deploy" / "dispatch.graphql"
SCHEMA = build_schema(SCHEMA_FILE.read_text())
# Which of the brief's classes a root field's work is.
WORK_OF = {"cabLookup": "cab-lookup", "rideAssign": "ride-assign"}


@lru_cache(maxsize=1024)
def _read(query: str) -> tuple[DocumentNode | None, int, bytes]:
    """A document, or the status and the body that say why it is none."""
    try:
        document = parse(query)
    except GraphQLError as error:
        return None, 400, _errors([error], "GRAPHQL_PARSE_FAILED")
    if found := validate(SCHEMA, document):
        return None, 400, _errors(found, "GRAPHQL_VALIDATION_FAILED")
    return document, 200, b""


def root_fields(query: str) -> list[str]:
    """The names of the first operation's root fields, for the work that they are."""
    document, _, _ = _read(query)
    if document is None:
        return []
    selections = getattr(document.definitions[0], "selection_set", None)
    return [node.name.value for node in selections.selections] if selections else []


def answer(server: str, body: bytes) -> tuple[int, bytes]:
    """Status and body of a reply."""
    asked = json.loads(body)
    document, status, fault = _read(asked["query"])
    if document is None:
        return status, fault

    def resolve(source: Any, info: Any, **arguments: Any) -> Any:
        if info.parent_type.name in ("Query", "Mutation"):
            if info.field_name == "cabLookup":
                cabs = [{"id": f"cab{n}", "minutes": n + 2} for n in range(arguments["limit"] or 0)]
                return {"pickup": arguments["pickup"], "cabs": cabs}
            return {"id": arguments["ride"], "server": server, "cab": {"id": "cab1", "minutes": 4}}
        return source.get(info.field_name)

    variables = asked.get("variables") or {}
    done = execute_sync(SCHEMA, document, variable_values=variables, field_resolver=resolve)
    return 200, json.dumps(done.formatted).encode()


def _errors(errors: list[GraphQLError], code: str) -> bytes:
    told = [dict(error.formatted) | {"extensions": {"code": code}} for error in errors]
    return json.dumps({"errors": told}).encode()
