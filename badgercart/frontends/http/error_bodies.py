"""How a response words why a request can't be accepted."""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import lru_cache
from http import HTTPStatus

MAX_REASON_CHARS = 200
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}

# The status and the reason into a content type and a body.
ErrorBody = Callable[[int, str], tuple[bytes, bytes]]


def no_error_body(status: int, reason: str) -> tuple[bytes, bytes]:
    """Return nothing: the platform's node says it by the status alone."""
    return b"", b""


@lru_cache(maxsize=256)  # the same few reasons over and over
def problem_document(status: int, reason: str) -> tuple[bytes, bytes]:
    """Return a problem document (RFC 9457, section 3)."""
    document = {
        "type": "about:blank",
        "title": REASON_PHRASES.get(status, b"").decode(),
        "status": status,
        "detail": reason[:MAX_REASON_CHARS],
    }
    return b"application/problem+json", json.dumps(document).encode()
