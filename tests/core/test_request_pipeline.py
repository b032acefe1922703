"""The request pipeline of a node over loopback sockets.

The tests compare what servers, clients and the policy receive.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from badgercart.core.clock import RESPONSE_MARGIN_MS
from badgercart.core.identifiers import stable_id
from badgercart.core.ports import AttemptRequest, IncomingRequest
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.policy.actions import Action, Send, Shed
from badgercart.policy.events import AttemptEnded, AttemptResult, Request, RequestCancelled
from tests.manual_clock import ManualClock
from tests.net import (
    OK,
    WAIT_S,
    NullFrontend,
    ScriptedServer,
    answer,
    config,
    field,
    hang_up,
    request,
    run,
    running,
    stay_silent,
)


def test_a_request_is_forwarded_unchanged_and_so_is_its_response() -> None:
    async def test() -> None:
        typed = OK.replace(b"\r\n\r\n", b"\r\nContent-Type: x/y\r\n\r\n")
        peer = await ScriptedServer(answer(typed)).start()
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


def test_stable_ids_are_the_same_at_every_node_and_start() -> None:
    assert stable_id(b"s-5be2a07c") == 0x850D21AD14919D0C


def test_a_non_idempotent_request_that_may_have_been_executed_is_neither_retried_nor_shed() -> None:
    async def test() -> None:
        peers = [await ScriptedServer(hang_up).start(), await ScriptedServer(hang_up).start()]
        async with running(*peers, attempts=4) as stand:
            status, _, _ = await (await stand.client()).ask(request("pay"))
            assert status == 502
            assert sum(peer.requests.qsize() for peer in peers) == 1

    run(test())


def test_a_disconnected_client_leaves_no_state_behind() -> None:
    async def test() -> None:
        peer = await ScriptedServer(stay_silent).start()
        async with running(peer) as stand:
            client = await stand.client()
            client.writer.write(request())
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            client.writer.close()
            await stand.event(RequestCancelled)
            assert (await stand.outcome()).result == AttemptResult.CANCELLED
            await asyncio.wait_for(peer.ended.get(), WAIT_S)
            node = stand.node
            assert (
                not node.pipeline.in_flight
                and not node.pool.attempts
                and not node.listener.connections
            )

    run(test())


def test_the_policy_receives_what_the_headers_say_about_a_request() -> None:
    async def test() -> None:
        async with running(
            await ScriptedServer().start(), tenants={b"acme": 0, b"ajax": 1}
        ) as stand:
            client = await stand.client()
            assert (await (await stand.client()).ask(request(Tenant="nobody")))[0] == 400
            data = request("book", key="ride/42", Tenant="ajax", Work_Hint="2500", Client_Retry="1")
            assert (await client.ask(data))[0] == 200
            event = await stand.event(Request)
            assert (event.class_index, event.tenant, event.key) == (1, 1, stable_id(b"42"))
            assert (event.expected_work_ms, event.is_client_retry) == (2.5, True)
            assert (await client.ask(request(Tenant="acme", Work_Hint="much")))[0] == 200
            event = await stand.event(Request)
            assert (
                event.class_index,
                event.tenant,
                event.expected_work_ms,
                event.is_client_retry,
            ) == (
                0,
                0,
                0.0,
                False,
            )

    run(test())


def test_the_response_margin_is_subtracted_from_the_timeout() -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            assert (await (await stand.client()).ask(request(timeout="3000m")))[0] == 200
            left = field(await peer.requests.get(), b"Request-Timeout")
            assert left is not None and int(left[:-1]) <= 3000 - RESPONSE_MARGIN_MS

    run(test())


def test_an_exception_in_the_policy_fails_only_its_request(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        async with running(await ScriptedServer().start()) as stand:
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


def test_a_policy_that_raises_an_exception_on_a_request_forgets_it() -> None:
    async def test() -> None:
        async with running(await ScriptedServer().start()) as stand:
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


def test_a_request_that_is_cancelled_during_its_decision_is_not_sent() -> None:
    """The end of one request cancels another one, whose attempt is decided in the same step.

    A GraphQL frontend may do that.
    """
    pipeline = RequestPipeline(config(1).settings, 1, ManualClock())
    received: list[object] = []

    class CancellingFrontend(NullFrontend):
        def on_shed(self, retry_after_ms: float) -> None:
            pipeline.cancel_request(2)

    def decide(now: float, event: object) -> list[Action]:
        received.append(event)
        return (
            [Shed(1, 0.0), Send(2, 7, 100.0)]
            if isinstance(event, Request) and event.id == 2
            else []
        )

    pipeline.policy.handle = decide  # type: ignore[method-assign,assignment]
    for number in (1, 2):
        pipeline.accept(
            number, IncomingRequest(0, 0, 0, 1e9, None), CancellingFrontend(), FailingTransport()
        )
    cancelled, ended = received[-2:]
    assert isinstance(cancelled, RequestCancelled) and isinstance(ended, AttemptEnded)
    assert (ended.id, ended.attempt, ended.result, ended.request_finished) == (
        2,
        0,
        AttemptResult.NOT_SENT,
        True,
    )
    assert not (pipeline.in_flight or pipeline.open_attempts or pipeline.cancelled)


class FailingTransport:
    """A transport by which no attempt may be sent."""

    def send(self, attempt: AttemptRequest) -> None:
        raise AssertionError("sent for a client that has disconnected")

    def cancel(self, request_id: int, attempt_number: int) -> None: ...

    def abandon_attempt(self, request_id: int, attempt_number: int) -> None: ...


def test_the_end_of_an_attempt_after_its_request_reaches_the_policy_and_not_the_client() -> None:
    async def test() -> None:
        peer = await ScriptedServer(stay_silent).start()
        async with running(peer) as stand:
            client = await stand.client()
            client.writer.write(request())
            await asyncio.wait_for(peer.requests.get(), WAIT_S)
            stand.node.pipeline.fail_request(
                stand.node.pipeline.last_request_id, internal_error=False
            )
            stand.node.pool.cancel(stand.node.pipeline.last_request_id, 0)
            assert (await client.answer())[0] == 502
            outcome: AttemptEnded = await stand.outcome()
            assert outcome.request_finished and outcome.result == AttemptResult.CANCELLED

    run(test())


def test_a_request_with_too_short_a_timeout_is_shed_at_once() -> None:
    async def test() -> None:
        peer = await ScriptedServer().start()
        async with running(peer) as stand:
            assert (await (await stand.client()).ask(request(timeout="20m")))[0] == 503
            assert peer.requests.empty()

    run(test())


def test_a_keyed_request_that_may_have_been_executed_is_retried_with_its_key() -> None:
    async def test() -> None:
        peers = [await ScriptedServer(hang_up).start(), await ScriptedServer(hang_up).start()]
        async with running(*peers, attempts=4) as stand:
            stand.node.pipeline.policy.random.random = lambda: 0.99  # type: ignore[method-assign]  # allow the retry
            data = request("book")
            assert (await (await stand.client()).ask(data))[0] == 503
            for peer in peers:
                got = await asyncio.wait_for(peer.requests.get(), WAIT_S)
                assert field(got, b"Idempotency-Key") == b"5c0f"
                assert field(got, b"Request-Id") == field(data, b"Request-Id")

    run(test())


def test_the_end_of_an_attempt_precedes_the_next_request_of_its_client() -> None:
    # The response triggered the client's next, pipelined request before the policy knew of the end
    # of the attempt: the server counted as stalled, and the pipelined request was shed.
    async def test() -> None:
        async with running(await ScriptedServer().start()) as stand:
            client = await stand.client()
            client.writer.write(request() + request())
            for _ in range(2):
                assert (await client.answer())[0] == 200
            await stand.outcome()
            kinds = [await stand.event(object) for _ in range(2)]
            assert [type(event) for event in kinds] == [Request, AttemptEnded]
            assert kinds[0].id == kinds[1].id == 2

    run(test())
