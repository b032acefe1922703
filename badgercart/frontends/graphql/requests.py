"""Reads GraphQL requests from HTTP requests, and encodes errors. No I/O.

Source: the GraphQL-over-HTTP specification, sections "Request" (GET, POST, JSON encoding),
"Response" (media types, status codes).
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any
from urllib.parse import parse_qsl

RESPONSE_JSON = "application/graphql-response+json"
PLAIN_JSON = "application/json"
# Longer reasons are cut to this length in a response.
MAX_REASON_CHARACTERS = 200
MAX_GET_PARAMETERS = 20


class HttpError(Exception):
    """A request is no well-formed GraphQL request, and gets an HTTP error status.

    `allow` is the value of the Allow header; empty where there is none.
    """

    def __init__(self, status: int, message: str, allow: str = "") -> None:
        super().__init__(message)
        self.status, self.allow = status, allow


@dataclass(slots=True)
class OperationRequest:
    """A GraphQL request as the client sent it, not validated yet."""

    query: str | None
    operation_name: str | None = None
    variables: dict[str, Any] = field(default_factory=dict)
    extensions: dict[str, Any] = field(default_factory=dict)
    is_get: bool = False


def negotiate_media_type(accept: str | None) -> str:
    """Return the media type of the response.

    Raises HttpError (406) where the client accepts neither of the two. Without an Accept header, or
    where the client accepts anything, it is the older type: clients older than the newer type
    expect it.
    """
    if accept is None or not accept.strip():
        return PLAIN_JSON
    best_weight, chosen = 0.0, ""
    for item in accept.split(","):
        name, *parameters = (element.strip().lower() for element in item.split(";"))
        weight, is_utf8 = 1.0, True
        for parameter in parameters:
            key, _, value = parameter.partition("=")
            if key == "q":
                try:
                    weight = float(value)
                except ValueError:
                    weight = 0.0
            elif key == "charset":
                is_utf8 = value.strip('"') in ("utf-8", "utf8")
        offered = {RESPONSE_JSON: RESPONSE_JSON, PLAIN_JSON: PLAIN_JSON, "*/*": PLAIN_JSON}
        offered["application/*"] = PLAIN_JSON
        if is_utf8 and weight > best_weight and name in offered:
            best_weight, chosen = weight, offered[name]
    if not chosen:
        raise HttpError(406, f"answers come as {RESPONSE_JSON} or {PLAIN_JSON}")
    return chosen


def read_get_request(target: str) -> OperationRequest:
    """Read the parameters of a GET request; the first of each name counts. Raises HttpError."""
    values: dict[str, str] = {}
    try:
        pairs = parse_qsl(
            target.partition("?")[2],
            keep_blank_values=True,
            max_num_fields=MAX_GET_PARAMETERS,
            errors="strict",
        )
    except ValueError as error:
        raise HttpError(400, f"the parameters can't be read: {error}") from None
    for name, value in pairs:
        values.setdefault(name, value)
    body: dict[str, Any] = {
        name: values[name] for name in ("query", "operationName") if name in values
    }
    for name in ("variables", "extensions"):
        if values.get(name):
            body[name] = _parse_json(values[name].encode("utf-8", "surrogatepass"), name)
    return _operation_request(body, is_get=True)


def read_post_request(content_type: str | None, body: bytes) -> OperationRequest:
    """Read the body of a POST request. Raises HttpError."""
    name, *parameters = (element.strip().lower() for element in (content_type or "").split(";"))
    if name != PLAIN_JSON:
        raise HttpError(415, f"the body must be {PLAIN_JSON}")
    for parameter in parameters:
        key, _, value = parameter.partition("=")
        if key == "charset" and value.strip('"') not in ("utf-8", "utf8"):
            raise HttpError(415, "the charset must be utf-8")
    return _operation_request(_parse_json(body, "body"))


def _parse_json(data: bytes, source: str) -> Any:
    """Parse strict JSON; `source` names it in the error. Raises HttpError."""
    try:
        return json.loads(data.decode("utf-8"), parse_constant=_reject_constant)
    except (ValueError, RecursionError):
        raise HttpError(400, f"the {source} is no JSON") from None


def _reject_constant(name: str) -> Any:
    """Reject NaN and the infinities, which Python reads and JSON does not have."""
    raise ValueError(f"{name} is no JSON")


def _operation_request(body: Any, is_get: bool = False) -> OperationRequest:
    """Check the types of the parameters. Raises HttpError."""
    if isinstance(body, list):
        raise HttpError(400, "batches are not served: send one request for each operation")
    if not isinstance(body, dict):
        raise HttpError(400, "the body is no JSON object")
    for name, expected_type, type_text in (
        ("query", str, "a string"),
        ("operationName", str, "a string or null"),
        ("variables", dict, "an object or null"),
        ("extensions", dict, "an object or null"),
    ):
        value = body.get(name)
        if value is not None and not isinstance(value, expected_type):
            raise HttpError(400, f"{name} must be {type_text}")
    return OperationRequest(
        body.get("query"),
        body.get("operationName") or None,
        body.get("variables") or {},
        body.get("extensions") or {},
        is_get,
    )


def graphql_error(message: str, code: str, **extensions: Any) -> dict[str, Any]:
    """Return an error without path; `extensions` go beside its code."""
    return {"message": message, "extensions": {"code": code} | extensions}


# Few reasons make up most of the calls.
@lru_cache(maxsize=256)
def encode_http_error(status: int, reason: str) -> tuple[bytes, bytes]:
    """Return media type and body of the response to a malformed HTTP request.

    The media type is the older one: what the client accepts is not known.
    """
    code = "INTERNAL_SERVER_ERROR" if status == 500 else "BAD_REQUEST"
    return PLAIN_JSON.encode(), json.dumps(
        {"errors": [graphql_error(reason[:MAX_REASON_CHARACTERS], code)]}
    ).encode()


def response_status(media_type: str, response: dict[str, Any], shed: bool = False) -> int:
    """Return the HTTP status of a GraphQL response; `shed`: all parts of the request were shed.

    In the newer media type, a response without data means that the request failed. In the older
    one, every well-formed response has status 200.
    """
    if media_type == PLAIN_JSON or "data" in response:
        return 200
    return 503 if shed else 400
