"""GraphQL API of a dispatch server: the dispatch schema with results that the server makes up."""

from __future__ import annotations

import json
from functools import lru_cache
from pathlib import Path
from typing import Any

from graphql import DocumentNode, GraphQLError, build_schema, execute_sync, parse, validate

SCHEMA_FILE = Path(__file__).parent.parent / "deploy" / "dispatch.graphql"
SCHEMA = build_schema(SCHEMA_FILE.read_text())
# The request class that sets the service time of a root field.
WORK_OF = {"cabLookup": "cab-lookup", "rideAssign": "ride-assign"}


@lru_cache(maxsize=1024)
def _parse(query: str) -> tuple[DocumentNode | None, int, bytes]:
    """Parse and validate a query.

    Returns the document with status 200, or None with the status and body of the error response.
    """
    try:
        document = parse(query)
    except GraphQLError as error:
        return None, 400, _errors([error], "GRAPHQL_PARSE_FAILED")
    if found := validate(SCHEMA, document):
        return None, 400, _errors(found, "GRAPHQL_VALIDATION_FAILED")
    return document, 200, b""


def root_fields(query: str) -> list[str]:
    """Return the names of the first operation's root fields, which set the service time."""
    document, _, _ = _parse(query)
    if document is None:
        return []
    selections = getattr(document.definitions[0], "selection_set", None)
    return [node.name.value for node in selections.selections] if selections else []


def execute_request(server: str, body: bytes) -> tuple[int, bytes]:
    """Execute the query of a request body and return the response's status and body."""
    request = json.loads(body)
    document, status, error_body = _parse(request["query"])
    if document is None:
        return status, error_body

    def resolve(source: Any, info: Any, **arguments: Any) -> Any:
        if info.parent_type.name in ("Query", "Mutation"):
            if info.field_name == "cabLookup":
                cabs = [
                    {"id": f"cab{number}", "minutes": number + 2}
                    for number in range(arguments["limit"] or 0)
                ]
                return {"pickup": arguments["pickup"], "cabs": cabs}
            return {"id": arguments["ride"], "server": server, "cab": {"id": "cab1", "minutes": 4}}
        return source.get(info.field_name)

    variables = request.get("variables") or {}
    result = execute_sync(SCHEMA, document, variable_values=variables, field_resolver=resolve)
    return 200, json.dumps(result.formatted).encode()


def _errors(errors: list[GraphQLError], code: str) -> bytes:
    """Return the body of an error response."""
    formatted = [dict(error.formatted) | {"extensions": {"code": code}} for error in errors]
    return json.dumps({"errors": formatted}).encode()
