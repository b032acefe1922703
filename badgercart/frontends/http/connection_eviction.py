"""Selects the client connection to close when a new client comes at the connection limit. No I/O.

Connections with a request in progress are never closed. Of the others, those that no request needs
go first: a client that never sent a byte, then one that has its last response, then one that has
been idle for long. After them come clients that stopped in the middle of a request, the longest
silent first: a slow client continues to send, and one that only holds its connection does not.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

from badgercart.frontends.http.connection import ConnectionState

# The first bytes of a new client are read within this time; before, it is not evicted.
FIRST_BYTE_GRACE_S = 0.05
# A client that is silent in the middle of a request may be evicted after this time.
STALLED_REQUEST_GRACE_S = 0.3
# A client that has been idle for this long is unlikely to use its connection again.
LONG_IDLE_S = 2.0

Client = TypeVar("Client")

# The order in which connections are evicted: by state, with the minimum time of silence in s.
EVICTION_ORDER: tuple[tuple[ConnectionState, float], ...] = (
    (ConnectionState.NEW, FIRST_BYTE_GRACE_S),
    (ConnectionState.CLOSING, FIRST_BYTE_GRACE_S),
    (ConnectionState.IDLE, LONG_IDLE_S),
    (ConnectionState.RECEIVING, STALLED_REQUEST_GRACE_S),
    (ConnectionState.IDLE, 0.0),
)


def choose_connection_to_evict(
    waiting_since: Mapping[ConnectionState, Iterable[Client]],
    silent_since_s: Callable[[Client], float],
    is_protected: Callable[[Client], Any],
    now_s: float,
) -> Client | None:
    """Choose the connection to close.

    Args:
        waiting_since: the connections that wait for their client, by state.
        silent_since_s: returns when a client last sent something or, if later, was last answered.
        is_protected: returns whether a connection must not be closed now.
        now_s: the time on the same clock.

    Returns:
        The connection, or None if all are in use or their clients have sent something recently.
    """
    for state, min_silence_s in EVICTION_ORDER:
        found, longest_s = None, now_s - min_silence_s
        for client in waiting_since[state]:
            since_s = silent_since_s(client)
            # Of connections that are equally long silent the first one is chosen: many can have
            # the same time, since the event loop's clock stands still within an iteration.
            if (
                since_s < longest_s or (found is None and since_s <= longest_s)
            ) and not is_protected(client):
                found, longest_s = client, since_s
        if found is not None:
            return found
    return None
