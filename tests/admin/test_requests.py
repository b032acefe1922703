"""Admin requests in each form, valid and invalid, split at any position."""

from __future__ import annotations

from http import HTTPStatus

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.admin.requests import MAX_REQUEST_BYTES, AdminExchange, AdminResponse


class RecordingHandlers:
    """Handlers that record their calls."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str]] = []

    def ready(self) -> AdminResponse:
        """Report that the node is ready."""
        return AdminResponse(HTTPStatus.OK, "ready")

    def disable(self, name: str) -> AdminResponse:
        """Record the call and report success."""
        self.calls.append(("disable", name))
        return AdminResponse(HTTPStatus.OK, "out")

    def enable(self, name: str) -> AdminResponse:
        """Record the call and report success."""
        self.calls.append(("enable", name))
        return AdminResponse(HTTPStatus.OK, "in use")


def status(response: bytes | None) -> int:
    """Return the status of a response after checking its headers and its one-line body."""
    assert response is not None
    head, _, body = response.partition(b"\r\n\r\n")
    assert b"Content-Length: %d\r\n" % len(body) in head + b"\r\n" and b"Connection: close" in head
    # The body is one line that is not empty.
    assert body.count(b"\n") == 1 and len(body) > 1
    return int(head.split(b" ")[1])


CASES = [
    (b"GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n", 200, None),
    (b"GET /-/ready HTTP/1.0\r\n\r\n", 200, None),
    (b"GET http://n0:9/-/ready?x=1 HTTP/1.1\r\nHost: n\r\n\r\n", 200, None),
    (b"POST /-/servers/s-1/disable HTTP/1.1\r\nHost: n\r\n\r\n", 200, ("disable", "s-1")),
    (b"POST /-/servers/s-1/enable HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 200, ("enable", "s-1")),
    (b"POST /-/servers/s%2F%C3%A9/enable HTTP/1.1\r\n\r\n", 200, ("enable", "s/é")),
    (b"POST /-/ready HTTP/1.1\r\n\r\n", 405, None),
    (b"GET /-/servers/s-1/disable HTTP/1.1\r\n\r\n", 405, None),
    (b"POST /-/servers//disable HTTP/1.1\r\n\r\n", 404, None),
    (b"POST /-/servers/s-1/restart HTTP/1.1\r\n\r\n", 404, None),
    (b"GET / HTTP/1.1\r\n\r\n", 404, None),
    (b"POST /-/servers/%ff/disable HTTP/1.1\r\n\r\n", 400, None),
    (b"POST /-/servers/%00/disable HTTP/1.1\r\n\r\n", 400, None),
    (b"POST /-/servers/" + b"x" * 300 + b"/disable HTTP/1.1\r\n\r\n", 400, None),
    (b"hello\r\n\r\n", 400, None),
    (b"GET /-/ready HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400, None),
    (b"GET /-/ready HTTP/1.1\r\nX: " + b"x" * MAX_REQUEST_BYTES, 413, None),
]  # fmt: skip


@pytest.mark.parametrize(("call", "expected_status", "expected_call"), CASES, ids=range(len(CASES)))
def test_each_request_has_its_response_however_it_is_split(
    call: bytes, expected_status: int, expected_call: tuple[str, str] | None
) -> None:
    """Check the response and the handler call of each request, split at any positions."""

    @given(st.lists(st.integers(0, len(call)), max_size=6))
    def split(split_positions: list[int]) -> None:
        handlers, positions = RecordingHandlers(), [0, *sorted(split_positions), len(call)]
        exchange, responses = AdminExchange(handlers), list[bytes]()
        for start, end in zip(positions, positions[1:], strict=False):
            if (response := exchange.receive(call[start:end])) is not None:
                responses.append(response)
        assert [status(response) for response in responses] == [expected_status]
        assert handlers.calls == ([expected_call] if expected_call else [])
        # A second request on the connection is ignored.
        assert exchange.receive(call) is None
        if expected_status == 405:
            assert b"\r\nAllow: " in responses[0]

    split()


def test_half_a_request_gets_no_response() -> None:
    """Check that an exchange that is closed halfway through a request never responds."""
    exchange = AdminExchange(RecordingHandlers())
    assert exchange.receive(b"GET /-/ready HTTP/1.1\r\nHost") is None
    exchange.close()
    assert exchange.receive(b": n\r\n\r\n") is None
