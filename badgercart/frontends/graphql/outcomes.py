"""Classifies the GraphQL reply of a dispatch server as the result of an attempt. No I/O.

An error in a successful HTTP response counts as an error. The codes are those of
`errors[].extensions.code` that servers commonly give: Apollo Server's "Built-in error codes", and
the platform's own codes for rejected work. A request with any other code may have been executed.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from badgercart.core.results import attempt_result
from badgercart.policy.events import AttemptResult

# The request itself is at fault: every server gives the same reply, so it does not count against
# the server.
REQUEST_ERROR_CODES = frozenset(
    ("BAD_USER_INPUT", "GRAPHQL_PARSE_FAILED", "GRAPHQL_VALIDATION_FAILED", "UNAUTHENTICATED", "FORBIDDEN",
     "NOT_FOUND", "CONFLICT", "OPERATION_RESOLUTION_FAILURE", "PERSISTED_QUERY_NOT_FOUND")
)  # fmt: skip
# Servers give these before any work: no part of the request was executed.
NOT_EXECUTED_CODES = frozenset(("NOT_STARTED", "QUEUE_FULL", "DRAINING"))
TIMEOUT_CODES = frozenset(("TIMEOUT", "DEADLINE_EXCEEDED", "GATEWAY_TIMEOUT"))


@dataclass(slots=True)
class GraphqlReply:
    """A classified reply."""

    result: AttemptResult
    # The client gets the reply whatever its result: it was served, or the request is at fault.
    is_final: bool
    data: dict[str, Any] | None
    errors: list[dict[str, Any]]


def classify_reply(
    status: int, not_started: bool, body: bytes, response_keys: set[str]
) -> GraphqlReply:
    """Classify the reply to a part that selects these response keys."""
    http_result = attempt_result(status, not_started)
    if http_result is AttemptResult.FULL:
        return GraphqlReply(AttemptResult.FULL, False, None, [])
    parsed = _parse_object(body)
    if parsed is None:
        is_client_error = 400 <= status < 500 and status != 429
        return GraphqlReply(
            AttemptResult.CANCELLED if is_client_error else AttemptResult.ERROR,
            is_client_error,
            None,
            [],
        )
    data, errors = parsed.get("data"), parsed.get("errors")
    invalid_data = data is not None and (not isinstance(data, dict) or set(data) != response_keys)
    invalid_errors = errors is not None and (
        not isinstance(errors, list)
        or not errors
        or not all(isinstance(error, dict) for error in errors)
    )
    if invalid_data or invalid_errors or ("data" not in parsed and not errors):
        # Unknown or missing response keys: the reply belongs to another request, or is no GraphQL.
        return GraphqlReply(AttemptResult.ERROR, False, None, [])
    errors = errors or []
    if not errors:
        is_served = status == 200 and data is not None
        return GraphqlReply(
            AttemptResult.OK if is_served else AttemptResult.ERROR, is_served, data, []
        )
    codes = {_error_code(error) for error in errors}
    if codes <= REQUEST_ERROR_CODES:
        return GraphqlReply(AttemptResult.CANCELLED, True, data, errors)
    if codes <= NOT_EXECUTED_CODES and data is None:
        return GraphqlReply(AttemptResult.FULL, False, None, errors)
    if codes & TIMEOUT_CODES:
        return GraphqlReply(AttemptResult.TIMEOUT, False, data, errors)
    return GraphqlReply(AttemptResult.ERROR, False, data, errors)


def _error_code(error: dict[str, Any]) -> str:
    """Return the code of an error; empty where it has none."""
    extensions = error.get("extensions")
    code = extensions.get("code") if isinstance(extensions, dict) else None
    return code if isinstance(code, str) else ""


def _parse_object(body: bytes) -> dict[str, Any] | None:
    """Return the JSON object of a body; None where it holds none."""
    try:
        parsed = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return parsed if isinstance(parsed, dict) else None
