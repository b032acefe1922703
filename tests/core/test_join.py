"""The node over loopback sockets: what goes on, what comes back, and what the module is told of
it."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from badgercart.core.clock import MARGIN
from badgercart.core.identifiers import stable_id
from badgercart.core.ports import AttemptRequest, IncomingRequest
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.policy.actions import Action, Send, Shed
from badgercart.policy.events import AttemptEnded, AttemptResult, Request, RequestCancelled
from tests.clockwork import Clockwork
from tests.net import (
    OK,
    WAIT,
    Nobody,
    Peer,
    answer,
    config,
    field,
    hang_up,
    request,
    run,
    running,
    stay_silent,
)


def test_a_request_goes_on_unchanged_and_its_answer_comes_back() -> None:
    async def test() -> None:
        typed = OK.replace(b"\r\n\r\n", b"\r\nContent-Type: x/y\r\n\r\n")
        peer = await Peer(answer(typed)).start()
        async with running(peer) as stand:
            client = await stand.client()
            data = request("book", body=b"\x00ride", Tenant="acme").replace(
                b"/cab7", b"/cab7?a=1&b=%20"
            )
            status, head, body = await client.ask(data)
            assert (status, body, field(head, b"Content-Type")) == (200, b"done", b"x/y")
            got = await peer.requests.get()
            assert got.startswith(b"POST /book/cab7?a=1&b=%20 HTTP/1.1\r\n") and got.endswith(
                b"\r\n\r\n\x00ride"
            )
            for name in (b"Request-Id", b"Idempotency-Key", b"Tenant", b"Host"):
                assert field(got, name) == field(data, name)
            left = field(got, b"Request-Timeout")
            assert left is not None and left.endswith(b"m") and 0 < int(left[:-1]) <= 5000

    run(test())


def test_ids_are_the_same_at_every_node_and_start() -> None:
    assert stable_id(b"s-5be2a07c") == 0x850D21AD14919D0C


def test_an_unsafe_request_that_may_have_run_is_neither_resent_nor_refused() -> None:
    async def test() -> None:
        peers = [await Peer(hang_up).start(), await Peer(hang_up).start()]
        async with running(*peers, attempts=4) as stand:
            status, _, _ = await (await stand.client()).ask(request("pay"))
            assert status == 502
            assert sum(peer.requests.qsize() for peer in peers) == 1

    run(test())


def test_a_client_that_goes_away_frees_everything() -> None:
    async def test() -> None:
        peer = await Peer(stay_silent).start()
        async with running(peer) as stand:
            client = await stand.client()
            client.writer.write(request())
            await asyncio.wait_for(peer.requests.get(), WAIT)
            client.writer.close()
            await stand.event(RequestCancelled)
            assert (await stand.outcome()).result == AttemptResult.CANCELLED
            await asyncio.wait_for(peer.ended.get(), WAIT)
            node = stand.node
            assert (
                not node.pipeline.in_flight
                and not node.pool.attempts
                and not node.listener.connections
            )

    run(test())


def test_the_module_is_told_what_the_client_says_of_a_request() -> None:
    async def test() -> None:
        async with running(await Peer().start(), tenants={b"acme": 0, b"ajax": 1}) as stand:
            client = await stand.client()
            assert (await (await stand.client()).ask(request(Tenant="nobody")))[0] == 400
            data = request("book", key="ride/42", Tenant="ajax", Work_Hint="2500", Client_Retry="1")
            assert (await client.ask(data))[0] == 200
            told = await stand.event(Request)
            assert (told.class_index, told.tenant, told.key) == (1, 1, stable_id(b"42"))
            assert (told.expected_work_ms, told.is_client_retry) == (2.5, True)
            assert (await client.ask(request(Tenant="acme", Work_Hint="much")))[0] == 200
            told = await stand.event(Request)
            assert (told.class_index, told.tenant, told.expected_work_ms, told.is_client_retry) == (
                0,
                0,
                0.0,
                False,
            )

    run(test())


def test_time_is_kept_back_for_the_way_to_the_client() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            assert (await (await stand.client()).ask(request(timeout="3000m")))[0] == 200
            left = field(await peer.requests.get(), b"Request-Timeout")
            assert left is not None and int(left[:-1]) <= 3000 - MARGIN

    run(test())


def test_an_exception_in_the_policy_costs_its_request_alone(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        async with running(await Peer().start()) as stand:
            client = await stand.client()
            handle = stand.node.pipeline.policy.handle

            def broken(now: float, event: object) -> Any:
                raise RuntimeError("broken on purpose")

            stand.node.pipeline.policy.handle = broken  # type: ignore[method-assign]
            assert (await client.ask(request()))[0] == 500
            stand.node.pipeline.policy.handle = handle  # type: ignore[method-assign]
            assert (await client.ask(request()))[0] == 200
            assert not stand.node.pipeline.in_flight

    run(test())
    assert "broken on purpose" in caplog.text


def test_a_policy_that_breaks_over_a_request_forgets_it() -> None:
    async def test() -> None:
        async with running(await Peer().start()) as stand:
            client, policy = await stand.client(), stand.node.pipeline.policy
            attempt = policy.lifecycle.attempt

            def broken(pending: object, now_ms: float) -> None:
                raise RuntimeError("broken on purpose")

            policy.lifecycle.attempt = broken  # type: ignore[method-assign]
            assert (await client.ask(request()))[0] == 500
            policy.lifecycle.attempt = attempt  # type: ignore[method-assign]
            assert (await stand.event(RequestCancelled)).id == 1
            assert not policy.lifecycle.requests and not stand.node.pipeline.in_flight

    run(test())


def test_a_request_that_is_withdrawn_while_it_is_decided_is_not_sent() -> None:
    """One answer withdraws another request, as a GraphQL front may, whose attempt stands behind
    it."""
    join = RequestPipeline(config(1).settings, 1, Clockwork())
    told: list[object] = []

    class Front(Nobody):
        def on_shed(self, wait: float) -> None:
            join.cancel_request(2)

    def decide(now: float, event: object) -> list[Action]:
        told.append(event)
        return (
            [Shed(1, 0.0), Send(2, 7, 100.0)]
            if isinstance(event, Request) and event.id == 2
            else []
        )

    join.policy.handle = decide  # type: ignore[method-assign,assignment]
    for number in (1, 2):
        join.accept(number, IncomingRequest(0, 0, 0, 1e9, None), Front(), NoCarrier())
    gone, ended = told[-2:]
    assert isinstance(gone, RequestCancelled) and isinstance(ended, AttemptEnded)
    assert (ended.id, ended.attempt, ended.result, ended.request_finished) == (
        2,
        0,
        AttemptResult.NOT_SENT,
        True,
    )
    assert not (join.in_flight or join.open_attempts or join.cancelled)


class NoCarrier:
    """Nothing may be sent by it."""

    def send(self, order: AttemptRequest) -> None:
        raise AssertionError("sent for a client that has left")

    def cancel(self, request_id: int, number: int) -> None: ...

    def abandon_attempt(self, request_id: int, number: int) -> None: ...


def test_a_late_answer_reaches_the_policy_and_not_the_client() -> None:
    async def test() -> None:
        peer = await Peer(stay_silent).start()
        async with running(peer) as stand:
            client = await stand.client()
            client.writer.write(request())
            await asyncio.wait_for(peer.requests.get(), WAIT)
            stand.node.pipeline.end(stand.node.pipeline.last_id, broken=False)
            stand.node.pool.cancel(stand.node.pipeline.last_id, 0)
            assert (await client.answer())[0] == 502
            outcome: AttemptEnded = await stand.outcome()
            assert outcome.request_finished and outcome.result == AttemptResult.CANCELLED

    run(test())


def test_a_client_with_too_little_time_is_refused_at_once() -> None:
    async def test() -> None:
        peer = await Peer().start()
        async with running(peer) as stand:
            assert (await (await stand.client()).ask(request(timeout="20m")))[0] == 503
            assert peer.requests.empty()

    run(test())


def test_a_keyed_request_that_may_have_run_is_sent_again_with_its_key() -> None:
    async def test() -> None:
        peers = [await Peer(hang_up).start(), await Peer(hang_up).start()]
        async with running(*peers, attempts=4) as stand:
            stand.node.pipeline.policy.random.random = lambda: 0.99  # type: ignore[method-assign]  # no draw ends it
            data = request("book")
            assert (await (await stand.client()).ask(data))[0] == 503
            for peer in peers:
                got = await asyncio.wait_for(peer.requests.get(), WAIT)
                assert field(got, b"Idempotency-Key") == b"5c0f"
                assert field(got, b"Request-Id") == field(data, b"Request-Id")

    run(test())


def test_the_next_request_of_a_client_comes_after_the_outcome_of_the_one_before() -> None:
    # The answer brought the next request before the policy knew that the attempt was over: its
    # server counted as stalled, and a request sent ahead was refused.
    async def test() -> None:
        async with running(await Peer().start()) as stand:
            client = await stand.client()
            client.writer.write(request() + request())
            for _ in range(2):
                assert (await client.answer())[0] == 200
            await stand.outcome()
            kinds = [await stand.event(object) for _ in range(2)]
            assert [type(event) for event in kinds] == [Request, AttemptEnded]
            assert kinds[0].id == kinds[1].id == 2

    run(test())
