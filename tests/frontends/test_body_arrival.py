"""When a request is taken to have arrived whole, though some of it is unread."""

from __future__ import annotations

import socket

from badgercart.frontends.http.body_arrival import BodyArrival
from badgercart.frontends.http.socket_input import unread_bytes

TIMEOUT_MS = 300.0


def test_a_body_of_known_length_has_arrived_when_none_of_it_is_missing() -> None:
    arrival = BodyArrival()
    arrival.observe(1000, 10.0)
    assert arrival.completed_ms(1, TIMEOUT_MS, 1000.0) is None  # however long its client is silent
    arrival.observe(1001, 1100.0)
    arrival.observe(1001, 1200.0)
    assert arrival.completed_ms(0, TIMEOUT_MS, 1200.0) == 1100.0


def test_a_body_of_unknown_length_has_arrived_when_its_client_was_silent_for_its_whole_time() -> (
    None
):
    arrival = BodyArrival()
    arrival.observe(1000, 10.0)
    assert arrival.completed_ms(None, TIMEOUT_MS, 309.0) is None
    assert arrival.completed_ms(None, TIMEOUT_MS, 310.0) == 10.0
    arrival.observe(2000, 309.0)  # it was not silent
    assert arrival.completed_ms(None, TIMEOUT_MS, 310.0) is None
    assert arrival.completed_ms(None, TIMEOUT_MS, 609.0) == 309.0


def test_the_unread_bytes_of_a_socket_are_counted() -> None:
    reader, writer = socket.socketpair()
    with reader, writer:
        assert unread_bytes(reader.fileno()) == 0
        writer.sendall(bytes(1234))
        assert unread_bytes(reader.fileno()) == 1234
    with open("/dev/null") as no_socket:
        assert unread_bytes(no_socket.fileno()) is None
