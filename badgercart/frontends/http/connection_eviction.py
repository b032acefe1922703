"""Who makes room where a new client comes and the limit of connections is reached. No I/O.

A client at work is never asked to. Of the others those go first that no request needs: who never
spoke, then who has its last answer, then who stood idle for long; then whoever fell silent within a
request, the longest silent first, since a slow client goes on writing and one that only holds its
place does not.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

from badgercart.frontends.http.connection import State

GREETING = (
    0.05  # s in which a new client is sure to be heard, before it may have to make room for others
)
HASTE = 0.3  # s of silence in the middle of a request after which its client may have to make room
SETTLED = 2.0  # s of standing idle after which its client has hardly any use for a connection

Client = TypeVar("Client")

# In this order: what a client waits for, and how long it must have waited in silence (s).
ORDER: tuple[tuple[State, float], ...] = (
    (State.SILENT, GREETING),
    (State.ENDING, GREETING),
    (State.IDLE, SETTLED),
    (State.ARRIVING, HASTE),
    (State.IDLE, 0.0),
)


def makes_room(
    waits: Mapping[State, Iterable[Client]],
    silent_since: Callable[[Client], float],
    spared: Callable[[Client], Any],
    now: float,
) -> Client | None:
    """Whose connection is to be closed; None where all are at work or were heard just now.

    `silent_since`: when a client was last heard, or came (s); `spared`: who can't be closed now."""
    for state, least in ORDER:
        found, longest = None, now - least
        for client in waits[state]:
            since = silent_since(client)
            # Of those that are as long silent the first one: a loop's clock may stand still for
            # many of them.
            if (since < longest or (found is None and since <= longest)) and not spared(client):
                found, longest = client, since
        if found is not None:
            return found
    return None
