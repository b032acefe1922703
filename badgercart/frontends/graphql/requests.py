"""GraphQL over HTTP: what a request says, and how its answer is worded. No I/O.

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
MAX_WHY = 200  # characters of a reason that go into an answer


class HttpError(Exception):
    """A request that can't be taken as GraphQL at all."""

    def __init__(self, status: int, words: str, allow: str = "") -> None:
        super().__init__(words)
        self.status, self.allow = status, allow


@dataclass(slots=True)
class Asked:
    """A request as it is worded."""

    query: str | None
    operation: str | None = None
    variables: dict[str, Any] = field(default_factory=dict)
    extensions: dict[str, Any] = field(default_factory=dict)
    by_get: bool = False


def media_type(accept: str | None) -> str:
    """Which of the two an answer is in; 406 where neither is wanted.

    Without a word, or where anything will do, the older one: so do clients from before the newer
    one."""
    if accept is None or not accept.strip():
        return PLAIN_JSON
    best, chosen = 0.0, ""
    for item in accept.split(","):
        name, *parameters = (part.strip().lower() for part in item.split(";"))
        weight, fits = 1.0, True
        for parameter in parameters:
            key, _, value = parameter.partition("=")
            if key == "q":
                try:
                    weight = float(value)
                except ValueError:
                    weight = 0.0
            elif key == "charset":
                fits = value.strip('"') in ("utf-8", "utf8")
        offered = {RESPONSE_JSON: RESPONSE_JSON, PLAIN_JSON: PLAIN_JSON, "*/*": PLAIN_JSON}
        offered["application/*"] = PLAIN_JSON
        if fits and weight > best and name in offered:
            best, chosen = weight, offered[name]
    if not chosen:
        raise HttpError(406, f"answers come as {RESPONSE_JSON} or {PLAIN_JSON}")
    return chosen


def read_get(target: str) -> Asked:
    """The parameters of a GET; the first of each counts."""
    found: dict[str, str] = {}
    try:
        pairs = parse_qsl(
            target.partition("?")[2], keep_blank_values=True, max_num_fields=20, errors="strict"
        )
    except ValueError as error:
        raise HttpError(400, f"the parameters can't be read: {error}") from None
    for name, value in pairs:
        found.setdefault(name, value)
    body: dict[str, Any] = {
        name: found[name] for name in ("query", "operationName") if name in found
    }
    for name in ("variables", "extensions"):
        if found.get(name):
            body[name] = _json(found[name].encode("utf-8", "surrogatepass"), name)
    return _asked(body, by_get=True)


def read_post(content_type: str | None, body: bytes) -> Asked:
    """The JSON of a POST."""
    name, *parameters = (part.strip().lower() for part in (content_type or "").split(";"))
    if name != PLAIN_JSON:
        raise HttpError(415, f"the body must be {PLAIN_JSON}")
    for parameter in parameters:
        key, _, value = parameter.partition("=")
        if key == "charset" and value.strip('"') not in ("utf-8", "utf8"):
            raise HttpError(415, "the charset must be utf-8")
    return _asked(_json(body, "body"))


def _json(data: bytes, what: str) -> Any:
    try:
        return json.loads(data.decode("utf-8"), parse_constant=_no_constant)
    except (ValueError, RecursionError):
        raise HttpError(400, f"the {what} is no JSON") from None


def _no_constant(name: str) -> Any:
    raise ValueError(f"{name} is no JSON")


def _asked(body: Any, by_get: bool = False) -> Asked:
    if isinstance(body, list):
        raise HttpError(400, "batches are not served: send one request for each operation")
    if not isinstance(body, dict):
        raise HttpError(400, "the body is no JSON object")
    for name, kind, words in (
        ("query", str, "a string"),
        ("operationName", str, "a string or null"),
        ("variables", dict, "an object or null"),
        ("extensions", dict, "an object or null"),
    ):
        value = body.get(name)
        if value is not None and not isinstance(value, kind):
            raise HttpError(400, f"{name} must be {words}")
    return Asked(
        body.get("query"),
        body.get("operationName") or None,
        body.get("variables") or {},
        body.get("extensions") or {},
        by_get,
    )


def error(message: str, code: str, **more: Any) -> dict[str, Any]:
    """An error without path."""
    return {"message": message, "extensions": {"code": code} | more}


@lru_cache(maxsize=256)  # the same few reasons over and over
def encode_http_error(status: int, why: str) -> tuple[bytes, bytes]:
    """Media type and body for a request that can't be taken as HTTP: what it accepts is not
    known."""
    code = "INTERNAL_SERVER_ERROR" if status == 500 else "BAD_REQUEST"
    return PLAIN_JSON.encode(), json.dumps({"errors": [error(why[:MAX_WHY], code)]}).encode()


def status_of(media: str, response: dict[str, Any], refused: bool = False) -> int:
    """The status that goes with a response that no HTTP error took the place of.

    In the newer media type a response without data has failed as a request; in the older one all
    well-formed responses are 200."""
    if media == PLAIN_JSON or "data" in response:
        return 200
    return 503 if refused else 400
