"""What a dispatch server's GraphQL reply means for its attempt. No I/O.

An error inside a successful HTTP reply counts as what it is. Codes are those of
`errors[].extensions.code` that servers commonly give (Apollo Server's "Built-in error codes", and
the platform's own words for work that was turned away). What is not listed may have run.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from badgercart.core.results import attempt_result
from badgercart.policy.events import AttemptResult

# The request itself is at fault: wherever it goes the answer is the same, and no server is the
# worse for it.
FAULT = frozenset(
    ("BAD_USER_INPUT", "GRAPHQL_PARSE_FAILED", "GRAPHQL_VALIDATION_FAILED", "UNAUTHENTICATED", "FORBIDDEN",
     "NOT_FOUND", "CONFLICT", "OPERATION_RESOLUTION_FAILURE", "PERSISTED_QUERY_NOT_FOUND")
)  # fmt: skip
# Nothing of it ran: said by servers ahead of any work.
TURNED_AWAY = frozenset(("NOT_STARTED", "QUEUE_FULL", "DRAINING"))
TIMED_OUT = frozenset(("TIMEOUT", "DEADLINE_EXCEEDED", "GATEWAY_TIMEOUT"))


@dataclass(slots=True)
class Reply:
    """A reply as it was understood."""

    result: AttemptResult
    final: bool  # the client gets it whatever the result: the request is at fault, or it was served
    data: dict[str, Any] | None
    errors: list[dict[str, Any]]


def read_reply(status: int, not_started: bool, body: bytes, keys: set[str]) -> Reply:
    """A reply to a part that asked for these response keys."""
    whole = attempt_result(status, not_started)
    if whole is AttemptResult.FULL:
        return Reply(AttemptResult.FULL, False, None, [])
    parsed = _object(body)
    if parsed is None:
        fault = 400 <= status < 500 and status != 429
        return Reply(AttemptResult.CANCELLED if fault else AttemptResult.ERROR, fault, None, [])
    data, errors = parsed.get("data"), parsed.get("errors")
    wrong_data = data is not None and (not isinstance(data, dict) or set(data) != keys)
    wrong_errors = errors is not None and (
        not isinstance(errors, list)
        or not errors
        or not all(isinstance(error, dict) for error in errors)
    )
    if wrong_data or wrong_errors or ("data" not in parsed and not errors):
        # Keys that were not asked for, or missing ones: another request's, or no GraphQL at all.
        return Reply(AttemptResult.ERROR, False, None, [])
    errors = errors or []
    if not errors:
        served = status == 200 and data is not None
        return Reply(AttemptResult.OK if served else AttemptResult.ERROR, served, data, [])
    codes = {_code(error) for error in errors}
    if codes <= FAULT:
        return Reply(AttemptResult.CANCELLED, True, data, errors)
    if codes <= TURNED_AWAY and data is None:
        return Reply(AttemptResult.FULL, False, None, errors)
    if codes & TIMED_OUT:
        return Reply(AttemptResult.TIMEOUT, False, data, errors)
    return Reply(AttemptResult.ERROR, False, data, errors)


def _code(error: dict[str, Any]) -> str:
    extensions = error.get("extensions")
    code = extensions.get("code") if isinstance(extensions, dict) else None
    return code if isinstance(code, str) else ""


def _object(body: bytes) -> dict[str, Any] | None:
    try:
        parsed = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return parsed if isinstance(parsed, dict) else None
