"""Asks a running node's HTTP front for one of its pages, for commands."""

from __future__ import annotations

import http.client
import json
from typing import Any

from badgercart.app.exits import CommandError
from badgercart.config import parse_address

PATIENCE = 5.0  # s


def page_of(node: str, path: str) -> dict[str, Any]:
    """What the node at HOST:PORT says there. CommandError where it does not."""
    try:
        host, port = parse_address(node)
        connection = http.client.HTTPConnection(host, port, timeout=PATIENCE)
        connection.request("GET", path)
        answer = connection.getresponse()
        if answer.status != 200:
            raise CommandError(f"{node}: status {answer.status} for {path}")
        told: dict[str, Any] = json.loads(answer.read())
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise CommandError(f"{node}: {error}") from None
    return told
