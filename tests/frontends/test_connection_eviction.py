"""Tests which connection is evicted at the limit, on generated sets of connections."""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from badgercart.frontends.http.connection import ConnectionState
from badgercart.frontends.http.connection_eviction import (
    EVICTION_ORDER,
    FIRST_BYTE_GRACE_S,
    STALLED_REQUEST_GRACE_S,
    choose_connection_to_evict,
)

NOW_S = 100.0


@dataclass(eq=False)
class FakeConnection:
    """A connection whose client has been silent for a time."""

    state: ConnectionState
    silence_s: float
    is_protected: bool = False
    waiting_since: dict[ConnectionState, list[FakeConnection]] = field(default_factory=dict)


def choose(connections: list[FakeConnection]) -> FakeConnection | None:
    """Return the connection that is evicted."""
    waiting = {
        state: [connection for connection in connections if connection.state is state]
        for state in ConnectionState
    }
    return choose_connection_to_evict(
        waiting,
        lambda connection: NOW_S - connection.silence_s,
        lambda connection: connection.is_protected,
        NOW_S,
    )


CONNECTION = st.builds(
    FakeConnection, st.sampled_from(ConnectionState), st.floats(0, 20), st.booleans()
)


@given(st.lists(CONNECTION, max_size=40))
def test_a_connection_is_evicted_if_and_only_if_one_may_be(
    connections: list[FakeConnection],
) -> None:
    found = choose(connections)
    min_silence_s = {
        state: min(s for at, s in EVICTION_ORDER if at is state) for state, _ in EVICTION_ORDER
    }
    evictable = [
        connection
        for connection in connections
        if connection.state in min_silence_s
        and not connection.is_protected
        and connection.silence_s >= min_silence_s[connection.state]
    ]
    assert (found is None) == (not evictable)
    if found is not None:
        assert found in evictable


@given(
    st.lists(st.floats(0.0, STALLED_REQUEST_GRACE_S * 0.9), min_size=1, max_size=20),
    st.lists(st.floats(STALLED_REQUEST_GRACE_S * 1.1, 3.0), min_size=1, max_size=20),
    st.lists(st.floats(FIRST_BYTE_GRACE_S * 1.1, 3.0), max_size=20),
)
def test_clients_that_still_send_are_not_evicted_before_silent_ones(
    sending: list[float], stalled: list[float], new: list[float]
) -> None:
    connections = [
        FakeConnection(ConnectionState.RECEIVING, silence_s) for silence_s in sending + stalled
    ]
    connections += [FakeConnection(ConnectionState.NEW, silence_s) for silence_s in new]
    for _ in range(len(stalled) + len(new)):
        found = choose(connections)
        assert found is not None and (
            found.state is ConnectionState.NEW or found.silence_s > STALLED_REQUEST_GRACE_S
        )
        if found.state is ConnectionState.RECEIVING:
            assert (
                found.silence_s
                >= max(
                    connection.silence_s
                    for connection in connections
                    if connection.state is ConnectionState.RECEIVING
                )
                - 1e-6
            )
        connections.remove(found)
    assert choose(connections) is None


def test_of_equally_long_silent_connections_the_first_is_evicted() -> None:
    connections = [FakeConnection(ConnectionState.IDLE, 1.0) for _ in range(5)]
    assert choose(connections) is connections[0]
