"""When the client of a streamed request may have written its last byte, though not all of it is read."""

from __future__ import annotations

import contextlib
import socket

import pytest

from badgercart.core.clock import RESPONSE_MARGIN_MS
from badgercart.frontends.http.body_arrival import (
    MAX_START_ERROR_MS,
    MAX_UNSENT_BYTES,
    MIN_LOOK_BYTES,
    BodyArrival,
)
from badgercart.frontends.http.socket_input import has_open_window, unread_bytes

TIMEOUT_MS = 300.0
BEGUN_MS = 1000.0
# From a moment at which the last byte may have been written to the end of the request.
OVERDUE_MS = MAX_START_ERROR_MS + TIMEOUT_MS - RESPONSE_MARGIN_MS


def begun() -> BodyArrival:
    return BodyArrival(BEGUN_MS, 100)


@pytest.mark.parametrize("missing", [1, None], ids=["length", "chunked"])
def test_a_client_that_may_be_blocked_is_overdue_by_its_time_from_the_begin(
    missing: int | None,
) -> None:
    # Guards against a request whose last byte waits at its client for as long as a server reads it.
    arrival = begun()
    for at_ms in range(1100, 1500, 100):  # it grows all the time
        arrival.observe(at_ms * 1000, at_ms)
        arrival.note_client_blocked(at_ms)
    assert arrival.written_after_ms(missing) == BEGUN_MS
    end_ms = BEGUN_MS + OVERDUE_MS
    assert arrival.overdue_start_ms(missing, TIMEOUT_MS, end_ms - 1.0) is None
    start_ms = BEGUN_MS + MAX_START_ERROR_MS
    assert arrival.overdue_start_ms(missing, TIMEOUT_MS, end_ms) == start_ms


def test_a_client_that_can_send_and_does_not_keeps_its_time() -> None:
    arrival = begun()
    arrival.note_client_can_send(9000.0, may_be_whole=False)
    assert arrival.written_after_ms(1) == 9000.0


def test_a_body_of_unknown_length_whose_end_may_be_unread_ended_with_the_latest_bytes() -> None:
    arrival = begun()
    arrival.observe(5000, 1200.0)
    arrival.note_client_can_send(9000.0, may_be_whole=True)
    assert arrival.written_after_ms(None) == 1200.0


@pytest.mark.parametrize("missing", [MAX_UNSENT_BYTES, None], ids=["length", "chunked"])
def test_what_a_client_s_system_can_t_have_held_was_written_later(missing: int | None) -> None:
    # Guards against a limit on long bodies that fast servers read in time.
    arrival = begun()
    arrival.observe(1_000_000, 1100.0)
    arrival.note_client_blocked(1100.0)
    more = 2_000_000 if missing else MAX_UNSENT_BYTES + 1_000_001
    arrival.observe(more, 1200.0)
    arrival.note_client_blocked(1200.0)
    assert arrival.written_after_ms(missing) == 1100.0


def test_the_time_of_a_body_that_has_arrived_starts_with_its_last_byte() -> None:
    arrival = begun()
    arrival.observe(5000, BEGUN_MS + MAX_START_ERROR_MS)
    assert arrival.start_ms() == BEGUN_MS + MAX_START_ERROR_MS


def test_the_time_of_a_body_that_arrived_late_starts_soon_after_it_may_have_been_written() -> None:
    # Guards against a server that is told more time than its request's client has left.
    arrival = begun()
    arrival.note_client_blocked(1400.0)
    arrival.observe(5000, 2000.0)
    assert arrival.start_ms() == BEGUN_MS + MAX_START_ERROR_MS


def test_looks_at_a_body_that_hardly_grows_are_few() -> None:
    arrival = begun()
    for number in range(100):
        arrival.observe(100 + number, 1000.0 + number)
        arrival.note_client_blocked(1000.0 + number)
    arrival.observe(200 + MIN_LOOK_BYTES, 1200.0)
    arrival.note_client_blocked(1200.0)
    assert len(arrival._looks) == 3
    assert arrival.written_after_ms(1) == BEGUN_MS


def test_the_unread_bytes_of_a_socket_are_counted() -> None:
    reader, writer = socket.socketpair()
    with reader, writer:
        assert unread_bytes(reader.fileno()) == 0
        writer.sendall(bytes(1234))
        assert unread_bytes(reader.fileno()) == 1234
    with open("/dev/null") as no_socket:
        assert unread_bytes(no_socket.fileno()) is None
        assert not has_open_window(no_socket.fileno(), 0)


def test_a_connection_whose_window_holds_no_whole_segment_may_block_its_client() -> None:
    # Guards against a client that is taken for one that could send, as its receive buffer is not half full.
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
        with client, accepted:
            assert has_open_window(accepted.fileno(), 0)
            client.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    client.send(bytes(65536))
            unread = unread_bytes(accepted.fileno()) or 0
            assert not has_open_window(accepted.fileno(), unread)
            accepted.recv(4096)
            assert not has_open_window(accepted.fileno(), unread - 4096)
