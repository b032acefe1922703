"""The state machine of a connection to a server, and the possible results of attempts."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.policy.events import AttemptResult
from badgercart.upstream.attempts import (
    POSSIBLE_RESULTS,
    TIMEOUT_RESULTS,
    AttemptPhase,
    check_result,
)
from badgercart.upstream.exchange import (
    CompleteResponse,
    Exchange,
    ExchangeState,
    MalformedResponse,
    UnexpectedData,
    UpstreamRequest,
)

RESPONSES = {
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone": (200, b"done", True),
    b"HTTP/1.1 503 x\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n": (503, b"", True),
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok": (
        200, b"ok", False,
    ),
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n": (
        200, b"abc", True,
    ),
}  # fmt: skip


@given(st.sampled_from(list(RESPONSES)), st.lists(st.integers(0, 120), max_size=6))
def test_a_response_parses_the_same_in_any_pieces(data: bytes, cuts: list[int]) -> None:
    exchange, results = Exchange(), []
    request_bytes = exchange.start_request(UpstreamRequest(b"GET / HTTP/1.1\r\n", b""), 250.7)
    assert request_bytes == b"GET / HTTP/1.1\r\nRequest-Timeout: 250m\r\n\r\n"
    edges = sorted({0, len(data), *(cut % len(data) for cut in cuts)})
    for start, end in zip(edges, edges[1:], strict=False):
        results.append(exchange.receive(data[start:end]))
    status, body, reusable = RESPONSES[data]
    result = results.pop()
    assert isinstance(result, CompleteResponse) and not any(results)
    assert (result.response.status, result.response.body, result.reusable) == (
        status,
        body,
        reusable,
    )
    assert result.not_started == (status == 503)
    assert exchange.state is (ExchangeState.IDLE if reusable else ExchangeState.CLOSED)


def test_unexpected_data_closes_the_exchange() -> None:
    data = next(iter(RESPONSES))
    exchange = Exchange()
    exchange.start_request(UpstreamRequest(b"", b""), 1.0)
    result = exchange.receive(data + data)
    assert isinstance(result, CompleteResponse) and not result.reusable
    with pytest.raises(RuntimeError, match="can't go from CLOSED to AWAITING_RESPONSE"):
        exchange.start_request(UpstreamRequest(b"", b""), 1.0)
    idle = Exchange()
    assert isinstance(idle.receive(b"x"), UnexpectedData) and idle.state is ExchangeState.CLOSED
    invalid = Exchange()
    invalid.start_request(UpstreamRequest(b"", b""), 1.0)
    assert (
        isinstance(invalid.receive(b"no answer\r\n\r\n"), MalformedResponse)
        and invalid.state is ExchangeState.CLOSED
    )


def test_an_attempt_that_was_not_sent_can_not_have_been_executed() -> None:
    never = {AttemptResult.UNREACHABLE, AttemptResult.CANCELLED, AttemptResult.NOT_SENT}
    may = {AttemptResult.OK, AttemptResult.RESET, AttemptResult.TIMEOUT}
    assert set(POSSIBLE_RESULTS[AttemptPhase.CONNECTING]) == never and may <= set(
        POSSIBLE_RESULTS[AttemptPhase.SENT]
    )
    assert AttemptResult.UNREACHABLE not in POSSIBLE_RESULTS[AttemptPhase.SENT] and all(
        TIMEOUT_RESULTS[phase] in POSSIBLE_RESULTS[phase] for phase in AttemptPhase
    )
    for phase, result in (
        (AttemptPhase.CONNECTING, AttemptResult.TIMEOUT),
        (AttemptPhase.SENT, AttemptResult.UNREACHABLE),
    ):
        with pytest.raises(RuntimeError, match=f"in phase {phase.name} can't end as {result.name}"):
            check_result(phase, result)
