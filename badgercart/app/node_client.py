"""Fetches pages of a running node from its HTTP frontend, for commands."""

from __future__ import annotations

import http.client
import json
from typing import Any

from badgercart.app.exits import CommandError
from badgercart.config import parse_address

REQUEST_TIMEOUT_S = 5.0


class PageError(CommandError):
    """A page of a node that can't be fetched."""

    def __init__(self, node: str, problem: str) -> None:
        """Keep the node, as HOST:PORT, and what went wrong."""
        super().__init__(f"{node}: {problem}")
        self.node, self.problem = node, problem


def fetch_page(node: str, path: str) -> dict[str, Any]:
    """Return a page of the node at HOST:PORT.

    Raises:
        PageError: the node can't be reached, or has no such page.
    """
    try:
        response = _get(node, path)
        page: dict[str, Any] = json.loads(response.read()) if response.status == 200 else {}
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise PageError(node, str(error)) from error
    if response.status != 200:
        raise PageError(node, f"status {response.status} for {path}")
    return page


def _get(node: str, path: str) -> http.client.HTTPResponse:
    host, port = parse_address(node)
    connection = http.client.HTTPConnection(host, port, timeout=REQUEST_TIMEOUT_S)
    connection.request("GET", path)
    return connection.getresponse()
