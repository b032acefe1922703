"""The machine of a server's connection, and how attempts may end."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgercart.policy.events import AttemptResult
from badgercart.upstream.attempts import ENDS, OVERDUE, At, check_end
from badgercart.upstream.exchange import Done, Exchange, Malformed, Message, State, Unasked

ANSWERS = {
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone": (200, b"done", True),
    b"HTTP/1.1 503 x\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n": (503, b"", True),
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok": (
        200, b"ok", False,
    ),
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n": (
        200, b"abc", True,
    ),
}  # fmt: skip


@given(st.sampled_from(list(ANSWERS)), st.lists(st.integers(0, 120), max_size=6))
def test_an_answer_in_any_pieces_is_the_same(data: bytes, cuts: list[int]) -> None:
    exchange, found = Exchange(), []
    asked = exchange.ask(Message(b"GET / HTTP/1.1\r\n", b""), 250.7)
    assert asked == b"GET / HTTP/1.1\r\nRequest-Timeout: 250m\r\n\r\n"
    edges = sorted({0, len(data), *(cut % len(data) for cut in cuts)})
    for start, end in zip(edges, edges[1:], strict=False):
        found.append(exchange.received(data[start:end]))
    status, body, keep = ANSWERS[data]
    done = found.pop()
    assert isinstance(done, Done) and not any(found)
    assert (done.answer.status, done.answer.body, done.keep) == (status, body, keep)
    assert done.not_started == (status == 503)
    assert exchange.state is (State.IDLE if keep else State.OVER)


def test_what_comes_unasked_or_after_the_answer_ends_the_connection() -> None:
    data = next(iter(ANSWERS))
    exchange = Exchange()
    exchange.ask(Message(b"", b""), 1.0)
    done = exchange.received(data + data)
    assert isinstance(done, Done) and not done.keep
    with pytest.raises(RuntimeError, match="can't go from OVER to ASKED"):
        exchange.ask(Message(b"", b""), 1.0)
    idle = Exchange()
    assert isinstance(idle.received(b"x"), Unasked) and idle.state is State.OVER
    odd = Exchange()
    odd.ask(Message(b"", b""), 1.0)
    assert isinstance(odd.received(b"no answer\r\n\r\n"), Malformed) and odd.state is State.OVER


def test_an_attempt_that_was_not_sent_can_not_have_run() -> None:
    never = {AttemptResult.UNREACHABLE, AttemptResult.CANCELLED, AttemptResult.NOT_SENT}
    may = {AttemptResult.OK, AttemptResult.RESET, AttemptResult.TIMEOUT}
    assert set(ENDS[At.DIALLING]) == never and may <= set(ENDS[At.SENT])
    assert AttemptResult.UNREACHABLE not in ENDS[At.SENT] and all(
        OVERDUE[at] in ENDS[at] for at in At
    )
    for at, result in ((At.DIALLING, AttemptResult.TIMEOUT), (At.SENT, AttemptResult.UNREACHABLE)):
        with pytest.raises(RuntimeError, match=f"that is {at.name} can't end as {result.name}"):
            check_end(at, result)
