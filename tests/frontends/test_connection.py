"""The machine of a client's connection, in any order of events: one answer each, legal moves
only."""

from __future__ import annotations

import json
from collections import deque
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from badgercart.core.identifiers import stable_id
from badgercart.core.requests import Classifier, InvalidRequestError
from badgercart.frontends.graphql.requests import bad_request
from badgercart.frontends.http.connection import MAX_WAITING, MOVES, Connection, State
from badgercart.frontends.http.requests import (
    BadRequest,
    ClientRequest,
    Headers,
    UpstreamRequest,
    platform_requests,
    problem,
)
from tests.net import config, request


class Surroundings:
    """What the machine asks for, noted down. Requests are answered at once where `eager`."""

    def __init__(self) -> None:
        self.keeps = self.serves = True
        self.out = b""
        self.taken: deque[ClientRequest] = deque()
        self.reading, self.finished, self.eager = True, False, False
        self.asked = 0
        self.bulk = False
        self.machine: Connection

    def read(self, method: bytes, url: bytes, headers: Headers, body: bytes) -> ClientRequest:
        if headers.fault or url == b"/bad":
            raise BadRequest(400, headers.fault or "odd")
        name = headers.request_id or b""
        return ClientRequest(
            UpstreamRequest(b"", body), name, 0, 0, stable_id(url), 0.0, 1000.0, 0.0, False
        )

    def words(self, status: int, why: str) -> tuple[bytes, bytes]:
        return b"text/plain", why.encode()

    def take(self, taken: ClientRequest) -> None:
        self.asked += 1
        if self.eager:
            self.machine.answer(self.machine.now, 200, b"", b"", b"")
        else:
            self.taken.append(taken)

    def write(self, data: bytes) -> None:
        assert not self.finished, "nothing is written after the last answer"
        self.out += data

    def pause(self) -> None:
        assert self.reading
        self.reading = False

    def resume(self) -> None:
        assert not self.reading
        self.reading = True

    def finish(self) -> None:
        assert not self.finished
        self.finished = True

    @property
    def answers(self) -> int:
        return self.out.count(b"HTTP/1.1 ") - self.out.count(b"HTTP/1.1 100 ")


class AnyOrder(RuleBasedStateMachine):
    """Bytes in any pieces, answers, floods, a client that does not read, a listener that stops, an
    end."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.side, self.names = Surroundings(), set[bytes]()
        self.waits: dict[State, dict[Any, float]] = {
            state: {} for state in State if state not in (State.HELD, State.CLOSED)
        }
        self.machine = self.side.machine = Connection(self.side, self.now, self.names, self.waits)
        self.rest = b""
        self.gone = False
        self.sent = 0

    def later(self) -> float:
        self.now += 1.0
        return self.now

    @precondition(lambda self: not self.gone and self.side.reading and not self.rest)
    @rule(count=st.integers(1, 12), bad=st.booleans(), cut=st.floats(0, 1), twice=st.booleans())
    def send(self, count: int, bad: bool, cut: float, twice: bool) -> None:
        pieces = []
        for _ in range(count):
            self.sent += 1
            pieces.append(b"GET /find/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: %d\r\n\r\n" % self.sent)
        if twice:
            pieces[-1] = pieces[0]
        if bad:
            pieces[len(pieces) // 2] = b"GET /bad HTTP/1.1\r\nHost: x\r\n\r\n"
        data = b"".join(pieces)
        at = int(len(data) * cut)
        self.rest = data[at:]
        self.machine.received(data[:at], self.later())

    @precondition(lambda self: not self.gone and self.rest)
    @rule()
    def send_the_rest(self) -> None:
        rest, self.rest = self.rest, b""
        self.machine.received(rest, self.later())

    @precondition(lambda self: not self.gone and self.side.taken)
    @rule(status=st.sampled_from((200, 503, 502)))
    def answer(self, status: int) -> None:
        self.side.taken.popleft()
        self.machine.answer(self.later(), status, b"", b"", b"")

    @precondition(
        lambda self: not self.gone and self.side.out
    )  # what was not written can't stay unread
    @rule(full=st.booleans())
    def reading_client(self, full: bool) -> None:
        if full and not self.machine.full:
            self.machine.unread()
        elif not full and self.machine.full:
            self.machine.read_again(self.later())

    @precondition(lambda self: not self.gone and self.machine.state is State.ARRIVING)
    @rule()
    def overdue(self) -> None:
        self.machine.overdue(self.later())

    @rule(keeps=st.booleans(), eager=st.booleans())
    def listener(self, keeps: bool, eager: bool) -> None:
        self.side.keeps, self.side.eager = keeps, eager

    @precondition(lambda self: not self.gone)
    @rule()
    def lose(self) -> None:
        self.machine.lost(self.later())
        self.gone = True
        self.machine.answer(
            self.later(), 200, b"", b"", b""
        )  # one that comes too late changes nothing

    @invariant()
    def one_answer_each_and_bounds(self) -> None:
        machine, side = self.machine, self.side
        assert len(side.taken) <= 1, "one request is served at a time"
        assert len(machine.waiting) <= MAX_WAITING + 4096 // 40
        assert self.gone or machine.busy == bool(side.taken)
        if self.gone:
            assert not self.names and not any(self.waits.values()) and machine.state is State.CLOSED
            return
        held = {taken.name for taken in side.taken}
        waiting = {item.name for item, _ in machine.waiting if isinstance(item, ClientRequest)}
        assert self.names == held | waiting
        where = [state for state, wait in self.waits.items() if side in wait]
        assert where == ([] if machine.state is State.HELD else [machine.state])
        assert (machine.state is State.HELD) == machine.busy
        if machine.state is State.ENDING:
            assert side.finished and side.reading and not machine.waiting

    def teardown(self) -> None:
        while self.side.taken and not self.gone:
            self.answer(200)
        if not self.gone:
            assert self.side.answers >= self.side.asked  # and what was turned away


AnyOrder.TestCase.settings = settings(max_examples=150, stateful_step_count=30, deadline=None)
test_any_order = AnyOrder.TestCase


def test_a_move_that_is_not_in_the_table_is_an_error() -> None:
    machine = Connection(Surroundings(), 0.0, set(), {state: {} for state in State})
    machine.state = State.ENDING
    with pytest.raises(RuntimeError, match="can't go from ENDING to ARRIVING"):
        machine.move(State.ARRIVING)
    assert set(MOVES) == set(State) and not MOVES[State.CLOSED]


@pytest.mark.parametrize(
    ("more", "words"),
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
def test_each_fault_of_the_headers_has_its_words(more: dict[str, str], words: str) -> None:
    side = Surroundings()
    side.read = platform_requests(config(1))  # type: ignore[assignment]
    side.words = problem  # type: ignore[method-assign]
    Connection(side, 0.0, set(), {state: {} for state in State}).received(request(**more), 1.0)
    head, _, body = side.out.partition(b"\r\n\r\n")
    assert b"Content-Type: application/problem+json" in head and side.finished
    told = json.loads(body)
    assert (told["status"], told["title"], told["detail"]) == (400, "Bad Request", words)


def test_a_default_tenant_takes_requests_without_the_header_and_others_are_named() -> None:
    plain = replace(config(1), tenants={b"a": 0, b"b": 1})
    with pytest.raises(InvalidRequestError, match="no Tenant header, and no default_tenant is set"):
        Classifier(plain).classify(b"GET", b"/find/1", b"r", None, None)
    with pytest.raises(InvalidRequestError, match="there is no tenant 'x'"):
        Classifier(plain).classify(b"GET", b"/find/1", b"r", b"x", None)
    filled = replace(plain, default_tenant=b"b")
    assert Classifier(filled).classify(b"GET", b"/find/1", b"r", None, None).tenant == 1
    assert Classifier(filled).classify(b"GET", b"/find/1", b"r", b"a", None).tenant == 0


def test_graphql_words_a_bad_request_as_an_error() -> None:
    media, body = bad_request(400, "w" * 1000)
    (told,) = json.loads(body)["errors"]
    assert media == b"application/json" and told["extensions"]["code"] == "BAD_REQUEST"
    assert told["message"] == "w" * 200
