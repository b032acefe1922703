"""Which connection is closed where a new client comes at the limit of connections. No I/O.

A connection that serves a request never is. Of the others those go first that no request needs: new
ones, then those that have their last response, then those that were idle for long; then clients that
fell silent within a request, the longest silent first, since a slow client goes on writing and one
that only holds its place does not.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

from badgercart.frontends.http.connection import ConnectionState

GREETING_S = 0.05  # in which a new client is sure to be heard
STALL_S = 0.3  # of silence in the middle of a request, after which its client may be evicted
SETTLED_S = 2.0  # of idling, after which a client has hardly any use for its connection

Client = TypeVar("Client")

# In this order: what a client waits for, and how long it must have been silent (s).
EVICTION_ORDER: tuple[tuple[ConnectionState, float], ...] = (
    (ConnectionState.NEW, GREETING_S),
    (ConnectionState.CLOSING, GREETING_S),
    (ConnectionState.IDLE, SETTLED_S),
    (ConnectionState.RECEIVING, STALL_S),
    (ConnectionState.IDLE, 0.0),
)


def connection_to_evict(
    waiting: Mapping[ConnectionState, Iterable[Client]],
    last_active_s: Callable[[Client], float],
    is_spared: Callable[[Client], Any],
    now: float,
) -> Client | None:
    """Return whose connection is to be closed.

    Args:
        waiting: the clients by what they wait for.
        last_active_s: returns when a client was last heard, or came.
        is_spared: returns whether a client can't be evicted now.
        now: seconds on the same clock.

    Returns:
        A client, or None where all are being served or were heard just now.
    """
    for state, silence_s in EVICTION_ORDER:
        found = longest_silent(waiting[state], last_active_s, is_spared, now - silence_s)
        if found is not None:
            return found
    return None


def longest_silent(
    clients: Iterable[Client],
    last_active_s: Callable[[Client], float],
    is_spared: Callable[[Client], Any],
    before: float,
) -> Client | None:
    """Return the client that has been silent for the longest, since `before` at least."""
    found, longest = None, before
    for client in clients:
        since = last_active_s(client)
        # Of those that are as long silent the first: a loop's clock may stand still for many.
        is_longer = since < longest or (found is None and since <= longest)
        if is_longer and not is_spared(client):
            found, longest = client, since
    return found
