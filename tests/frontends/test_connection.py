"""Tests the state machine of a client connection with events in any order.

Each request gets one response, and only allowed transitions occur.
"""

from __future__ import annotations

import json
import math
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from badgercart.core.identifiers import stable_id
from badgercart.core.requests import Classifier, InvalidRequestError
from badgercart.frontends.graphql.requests import encode_http_error
from badgercart.frontends.http.connection import (
    ALLOWED_TRANSITIONS,
    MAX_PIPELINED_REQUESTS,
    ConnectionState,
    ConnectionStateMachine,
)
from badgercart.frontends.http.requests import (
    BadRequestError,
    ClientRequest,
    RequestHeaders,
    UpstreamRequest,
    platform_request_reader,
    problem_document,
)
from tests.net import config, request


class RecordingDriver:
    """Records what the state machine asks for; answers requests immediately if `eager`."""

    def __init__(self) -> None:
        self.keeps_connections = self.can_serve = True
        self.written = b""
        self.open_requests: deque[ClientRequest] = deque()
        self.is_reading, self.finished, self.eager = True, False, False
        self.request_count = 0
        self.waited_since_ms = math.inf
        self.streams_bodies = False
        self.machine: ConnectionStateMachine
        self.turns: deque[Callable[[], None]] = deque()

    def call_in_turn(self, callback: Callable[[], None]) -> None:
        """Keep the callback for `take_turns`."""
        self.turns.append(callback)

    def take_turns(self) -> None:
        """Call back all that wait for their turns."""
        while self.turns:
            self.turns.popleft()()

    def now_s(self) -> float:
        """Return the time of the last event."""
        return self.machine.now_s

    def body_buffer_bytes(self) -> int:
        """Return a limit that the requests of these tests do not reach."""
        return 1 << 20

    def read_request(
        self, method: bytes, url: bytes, headers: RequestHeaders, body: bytes
    ) -> ClientRequest:
        """Accept any request but those for /bad and those with invalid headers."""
        if headers.fault or url == b"/bad":
            raise BadRequestError(400, headers.fault or "odd")
        name = headers.request_id or b""
        return ClientRequest(
            UpstreamRequest(b"", body), name, 0, 0, stable_id(url), 0.0, 1000.0, 0.0, False
        )

    def error_body(self, status: int, reason: str) -> tuple[bytes, bytes]:
        """Return the reason as text."""
        return b"text/plain", reason.encode()

    def handle_request(self, received: ClientRequest) -> None:
        """Answer the request, or keep it for the test."""
        self.request_count += 1
        if self.eager:
            self.machine.respond(self.machine.now_s, 200, b"", b"", b"")
        else:
            self.open_requests.append(received)

    def write(self, data: bytes) -> None:
        """Record bytes, none of which may follow the last response."""
        assert not self.finished, "nothing is written after the last response"
        self.written += data

    def pause_reading(self) -> None:
        """Check that reading was not paused."""
        assert self.is_reading
        self.is_reading = False

    def resume_reading(self) -> None:
        """Check that reading was paused."""
        assert not self.is_reading
        self.is_reading = True

    def finish_writing(self) -> None:
        """Check that this is called once."""
        assert not self.finished
        self.finished = True

    @property
    def response_count(self) -> int:
        """How many final responses have been written."""
        return self.written.count(b"HTTP/1.1 ") - self.written.count(b"HTTP/1.1 100 ")


class AnyEventOrder(RuleBasedStateMachine):
    """Generates events in any order.

    These are bytes cut anywhere, many pipelined requests, responses, a client that does not read, a
    listener that stops, and the end of the connection.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.driver, self.open_request_names = RecordingDriver(), set[bytes]()
        self.waiting_since: dict[ConnectionState, dict[Any, float]] = {
            state: {}
            for state in ConnectionState
            if state not in (ConnectionState.SERVING, ConnectionState.CLOSED)
        }
        self.machine = self.driver.machine = ConnectionStateMachine(
            self.driver, self.now_s, self.open_request_names, self.waiting_since
        )
        self.unsent = b""
        self.lost = False
        self.sent_count = 0

    def advance(self) -> float:
        """Advance the clock and return the time."""
        self.now_s += 1.0
        return self.now_s

    @precondition(lambda self: not self.lost and self.driver.is_reading and not self.unsent)
    @rule(count=st.integers(1, 12), bad=st.booleans(), cut=st.floats(0, 1), twice=st.booleans())
    def send(self, count: int, bad: bool, cut: float, twice: bool) -> None:
        """Send requests, the last of them perhaps in part."""
        pieces = []
        for _ in range(count):
            self.sent_count += 1
            pieces.append(
                b"GET /find/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: %d\r\n\r\n" % self.sent_count
            )
        if twice:
            pieces[-1] = pieces[0]
        if bad:
            pieces[len(pieces) // 2] = b"GET /bad HTTP/1.1\r\nHost: x\r\n\r\n"
        data = b"".join(pieces)
        at = int(len(data) * cut)
        self.unsent = data[at:]
        self.machine.received(data[:at], self.advance())

    @precondition(lambda self: not self.lost and self.unsent)
    @rule()
    def send_the_rest(self) -> None:
        """Send what was cut off."""
        unsent, self.unsent = self.unsent, b""
        self.machine.received(unsent, self.advance())

    @precondition(lambda self: not self.lost and self.driver.open_requests)
    @rule(status=st.sampled_from((200, 503, 502)))
    def respond(self, status: int) -> None:
        """Answer the request that is being served."""
        self.driver.open_requests.popleft()
        self.machine.respond(self.advance(), status, b"", b"", b"")

    # Only written bytes can be left unread.
    @precondition(lambda self: not self.lost and self.driver.written)
    @rule(blocked=st.booleans())
    def change_writing(self, blocked: bool) -> None:
        """Let the client stop or continue to read its responses."""
        if blocked and not self.machine.write_blocked:
            self.machine.writing_blocked()
        elif not blocked and self.machine.write_blocked:
            self.machine.writing_unblocked(self.advance())

    @precondition(lambda self: not self.lost and self.machine.state is ConnectionState.RECEIVING)
    @rule()
    def time_out(self) -> None:
        """Let the request being received exceed its time."""
        self.machine.request_timed_out(self.advance())

    @rule(keeps=st.booleans(), eager=st.booleans())
    def change_driver(self, keeps: bool, eager: bool) -> None:
        """Change whether connections are kept and requests are answered immediately."""
        self.driver.keeps_connections, self.driver.eager = keeps, eager

    @precondition(lambda self: not self.lost)
    @rule()
    def lose(self) -> None:
        """End the connection; a response after that changes nothing."""
        self.machine.connection_lost(self.advance())
        self.lost = True
        self.machine.respond(self.advance(), 200, b"", b"", b"")

    @precondition(lambda self: self.driver.turns)
    @rule()
    def take_turn(self) -> None:
        """Parse the next part of what was received."""
        self.driver.turns.popleft()()

    @invariant()
    def one_response_each_and_limits(self) -> None:
        """Check the state machine against its driver."""
        machine, driver = self.machine, self.driver
        assert len(driver.open_requests) <= 1, "one request is served at a time"
        assert len(machine.pending) <= MAX_PIPELINED_REQUESTS + 4096 // 40
        assert self.lost or machine.is_serving == bool(driver.open_requests)
        if self.lost:
            assert (
                not self.open_request_names
                and not any(self.waiting_since.values())
                and machine.state is ConnectionState.CLOSED
            )
            return
        served = {received.request_name for received in driver.open_requests}
        pending = {
            item.request_name for item, _ in machine.pending if isinstance(item, ClientRequest)
        }
        assert self.open_request_names == served | pending
        where = [state for state, waiting in self.waiting_since.items() if driver in waiting]
        assert where == ([] if machine.state is ConnectionState.SERVING else [machine.state])
        assert (machine.state is ConnectionState.SERVING) == machine.is_serving
        if machine.state is ConnectionState.CLOSING:
            assert driver.finished and driver.is_reading and not machine.pending

    def teardown(self) -> None:
        """Answer open requests; rejected ones have got responses, too."""
        while (self.driver.open_requests or self.driver.turns) and not self.lost:
            self.driver.take_turns()
            if self.driver.open_requests:
                self.respond(200)
        if not self.lost:
            assert self.driver.response_count >= self.driver.request_count


AnyEventOrder.TestCase.settings = settings(max_examples=150, stateful_step_count=30, deadline=None)
test_any_event_order = AnyEventOrder.TestCase


def test_a_transition_that_is_not_allowed_is_an_error() -> None:
    machine = ConnectionStateMachine(
        RecordingDriver(), 0.0, set(), {state: {} for state in ConnectionState}
    )
    machine.state = ConnectionState.CLOSING
    with pytest.raises(RuntimeError, match="can't go from CLOSING to RECEIVING"):
        machine.transition(ConnectionState.RECEIVING)
    assert (
        set(ALLOWED_TRANSITIONS) == set(ConnectionState)
        and not ALLOWED_TRANSITIONS[ConnectionState.CLOSED]
    )


@pytest.mark.parametrize(
    ("headers", "reason"),
    [
        ({"Request_ID": "twice"}, "Request-Id stands there twice"),
        ({"Tenant": "a", "tenant": "b"}, "Tenant stands there twice"),
        ({"Idempotency_Key": ""}, "Idempotency-Key is empty"),
        (
            {"timeout": "soon"},
            "Request-Timeout is no number with a unit, as 480m (ms) or 1500u (µs)",
        ),
    ],
)
def test_each_header_fault_is_reported_in_a_problem_document(
    headers: dict[str, str], reason: str
) -> None:
    driver = RecordingDriver()
    driver.read_request = platform_request_reader(config(1))  # type: ignore[assignment]
    driver.error_body = problem_document  # type: ignore[method-assign]
    ConnectionStateMachine(driver, 0.0, set(), {state: {} for state in ConnectionState}).received(
        request(**headers), 1.0
    )
    head, _, body = driver.written.partition(b"\r\n\r\n")
    assert b"Content-Type: application/problem+json" in head and driver.finished
    problem = json.loads(body)
    assert (problem["status"], problem["title"], problem["detail"]) == (400, "Bad Request", reason)


def test_a_request_without_a_tenant_counts_for_the_default_tenant() -> None:
    plain = replace(config(1), tenants={b"a": 0, b"b": 1})
    with pytest.raises(InvalidRequestError, match="no Tenant header, and no default_tenant is set"):
        Classifier(plain).classify(b"GET", b"/find/1", b"r", None, None)
    with pytest.raises(InvalidRequestError, match="there is no tenant 'x'"):
        Classifier(plain).classify(b"GET", b"/find/1", b"r", b"x", None)
    with_default = replace(plain, default_tenant=b"b")
    assert Classifier(with_default).classify(b"GET", b"/find/1", b"r", None, None).tenant == 1
    assert Classifier(with_default).classify(b"GET", b"/find/1", b"r", b"a", None).tenant == 0


def test_graphql_reports_a_bad_request_as_a_graphql_error() -> None:
    media_type, body = encode_http_error(400, "w" * 1000)
    (error,) = json.loads(body)["errors"]
    assert media_type == b"application/json" and error["extensions"]["code"] == "BAD_REQUEST"
    assert error["message"] == "w" * 200
