"""Tests of the processor with a scripted proxy over loopback: each course that a stream can take."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from envoy.service.ext_proc.v3 import external_processor_pb2 as ext_proc

from badgercart.policy.events import (
    AttemptEnded,
    AttemptRerouted,
    AttemptResult,
    Request,
    RequestCancelled,
    RetryDecisionDue,
    TimerFired,
)
from standins.scripted_proxy import request_message, response_message, told_headers
from tests.net import run
from tests.processors import SERVERS, entry, request_headers, site_with_processor

DESTINATION = "x-gateway-destination-endpoint"


def test_a_request_is_routed_and_its_response_is_received() -> None:
    async def test() -> None:
        async with site_with_processor() as harness, harness.proxy() as proxy:
            stream = proxy.stream()
            answer = await stream.ask(request_headers("book", timeout="3000m"))
            headers = told_headers(answer)
            assert headers[DESTINATION] == SERVERS[0]
            assert headers["x-badgercart-answer-age-ms"] == "300"
            assert headers["x-envoy-max-retries"] == "0"  # there is only one server
            assert 0 < int(headers["x-envoy-upstream-rq-timeout-ms"]) <= 3000
            metadata = answer.dynamic_metadata.fields["envoy.lb"].struct_value.fields
            assert metadata[DESTINATION].string_value == SERVERS[0]
            assert metadata["x-badgercart-answer-age-ms"].number_value == 300
            mode = answer.mode_override
            assert (mode.request_header_mode, mode.response_header_mode) == (1, 1)
            assert (mode.request_body_mode, mode.response_body_mode) == (0, 0)
            assert (mode.request_trailer_mode, mode.response_trailer_mode) == (2, 2)
            answer = await stream.respond(200, served=SERVERS[0])
            assert answer.HasField("response_headers") and not told_headers(answer)
            outcome = await harness.event(AttemptEnded)
            assert (outcome.result, outcome.request_finished) == (AttemptResult.OK, True)
            await stream.half_close()
            assert await stream.status() == "ok"
            await harness.settled()
            assert harness.of(RequestCancelled) == []

    run(test())


def test_the_proxys_headers_are_used_if_the_platforms_are_missing() -> None:
    async def test() -> None:
        async with site_with_processor() as harness, harness.proxy() as proxy:
            headers = request_headers()
            del headers["request-id"], headers["request-timeout"]
            headers |= {"x-request-id": "r", "x-envoy-expected-rq-timeout-ms": "700"}
            before = harness.pipeline.clock()
            await proxy.stream().ask(headers)
            assert 0 < (await harness.event(Request)).deadline_at_ms - before <= 700 + 1000

    run(test())


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({":path": "/nothing/1"}, 404),
        ({":path": "nothing"}, 400),
        ({":method": "POST"}, 405),
        ({"request-id": ""}, 400),
        ({"request-timeout": "soon"}, 400),
        ({"idempotency-key": "k", ":method": "POST", ":path": "/pay/1"}, 400),
        ({":method": "POST", ":path": "/book/1"}, 400),
        ({"x-envoy-attempt-count": "none"}, 400),
        ({f"x-{i}": "1" for i in range(200)}, 431),
    ],
)
def test_an_invalid_request_is_answered_and_never_reaches_the_policy(
    changes: dict[str, str], status: int
) -> None:
    async def test() -> None:
        async with site_with_processor() as harness, harness.proxy() as proxy:
            answer = await proxy.stream().ask(request_headers() | changes)
            assert answer.immediate_response.status.code == status
            assert answer.immediate_response.body
            assert harness.of(Request) == []
            if status == 405:
                assert told_headers(answer)["allow"] == "GET"

    run(test())


def test_a_shed_request_is_answered_immediately_with_retry_after() -> None:
    async def test() -> None:
        async with site_with_processor() as harness, harness.proxy() as proxy:
            harness.apply_entries(entry(1, "leaving"))
            stream = proxy.stream()
            answer = await stream.ask(request_headers())
            assert answer.immediate_response.status.code == 503
            assert 0 < float(told_headers(answer)["retry-after"]) <= 0.6
            # Response headers of a shed request are passed on, and have no other effect.
            answer = await stream.respond(503)
            assert answer.HasField("response_headers") and harness.of(AttemptEnded) == []
            await stream.half_close()
            await harness.settled()

    run(test())


FLAGS = {"UF": 1 << 5, "UC": 1 << 6, "UT": 1 << 2, "UO": 1 << 7, "new": 1 << 40}


@pytest.mark.parametrize(
    ("class_name", "status", "attributes", "result", "final_status"),
    [
        ("find", 500, {}, AttemptResult.ERROR, 503),
        ("book", 500, {}, AttemptResult.ERROR, 503),
        ("pay", 500, {}, AttemptResult.ERROR, 0),  # passed on, since it is no rejection
        (
            "pay",
            503,
            {},
            AttemptResult.ERROR,
            502,
        ),  # a 503 would say that a retry does no harm
        ("pay", 503, {"response_flags": FLAGS["UF"]}, AttemptResult.UNREACHABLE, 503),
        ("pay", 503, {"response_flags": FLAGS["UO"]}, AttemptResult.NOT_SENT, 503),
        ("pay", 503, {"response_flags": FLAGS["UC"]}, AttemptResult.RESET, 502),
        ("pay", 503, {"response_flags": FLAGS["new"]}, AttemptResult.ERROR, 502),
        ("pay", 504, {"response_flags": FLAGS["UT"]}, AttemptResult.TIMEOUT, 0),
        (
            "pay",
            503,
            {"response_flags": FLAGS["UF"], "upstream_request_attempt_count": 2},
            AttemptResult.ERROR,
            502,
        ),
        ("find", 404, {}, AttemptResult.CANCELLED, 0),
        ("find", 429, {}, AttemptResult.ERROR, 503),
        (
            "find",
            200,
            {"response_flags": 1 << 20},
            AttemptResult.NOT_SENT,
            0,
        ),  # from the proxy's cache
        (
            "find",
            403,
            {"response_flags": 1 << 12},
            AttemptResult.NOT_SENT,
            0,
        ),  # the proxy's own rule
    ],
)
def test_each_response_gives_one_result_and_one_reply(
    class_name: str,
    status: int,
    attributes: dict[str, Any],
    result: AttemptResult,
    final_status: int,
) -> None:
    async def test() -> None:
        async with site_with_processor() as harness, harness.proxy() as proxy:
            stream = proxy.stream()
            await stream.ask(request_headers(class_name))
            answer = await stream.respond(status, **attributes)
            assert (await harness.event(AttemptEnded)).result == result
            if answer.HasField("immediate_response"):
                assert answer.immediate_response.status.code == final_status == 503
                assert "retry-after" in told_headers(answer)
            else:
                assert told_headers(answer).get(":status") == (
                    str(final_status) if final_status else None
                )
            await stream.half_close()
            await harness.settled()
            assert len(harness.of(AttemptEnded)) == 1

    run(test())


def test_a_not_started_header_is_trusted() -> None:
    async def test() -> None:
        async with site_with_processor() as harness, harness.proxy() as proxy:
            stream = proxy.stream()
            await stream.ask(request_headers("pay"))
            answer = await stream.respond(503, {"not-started": "1"})
            assert (await harness.event(AttemptEnded)).result == AttemptResult.FULL
            assert answer.immediate_response.status.code == 503

    run(test())


# The proxy ends its stream.


@pytest.mark.parametrize("how", ["cancelled", "half-closed", "connection gone"])
def test_a_stream_that_ends_after_the_route_cancels_its_request_once(how: str) -> None:
    async def test() -> None:
        async with site_with_processor() as harness, harness.proxy() as proxy:
            stream = proxy.stream()
            await stream.ask(request_headers("pay"))
            assert harness.pipeline.policy.overload.concurrency.current == 1
            if how == "cancelled":
                stream.cancel()
            elif how == "half-closed":
                await stream.half_close()
            else:
                await proxy.close()
            await harness.event(RequestCancelled)
            await harness.settled()
            outcomes = harness.of(AttemptEnded)
            assert len(harness.of(RequestCancelled)) == 1 and [o.result for o in outcomes] == [
                AttemptResult.CANCELLED
            ]

    run(test())


@pytest.mark.parametrize("how", ["cancelled", "half-closed", "connection gone"])
def test_a_stream_that_ends_before_the_route_cancels_its_request(how: str) -> None:
    async def test() -> None:
        async with site_with_processor() as harness, harness.proxy() as proxy:
            hold_back_requests(harness)
            stream = proxy.stream()
            await stream.call.write(request_message(request_headers("pay")))
            await harness.event(Request)
            if how == "cancelled":
                stream.cancel()
            elif how == "half-closed":
                await stream.half_close()
            else:
                await proxy.close()
            await harness.event(RequestCancelled)
            await harness.settled()
            assert len(harness.of(RequestCancelled)) == 1 and harness.of(AttemptEnded) == []

    run(test())


def hold_back_requests(harness: Any) -> None:
    """Let the policy hold back requests, as it does where requests with one key are serialized."""
    harness.pipeline.policy.lifecycle.attempt = lambda pending, now_ms: None


def test_a_delayed_decision_reaches_its_stream() -> None:
    async def test() -> None:
        async with site_with_processor() as harness, harness.proxy() as proxy:
            policy = harness.pipeline.policy
            attempt, held_back = policy.lifecycle.attempt, []
            policy.lifecycle.attempt = lambda pending, now_ms: held_back.append(pending)  # type: ignore[method-assign]
            stream = proxy.stream()
            asking = asyncio.ensure_future(stream.ask(request_headers(name="held")))
            await harness.event(Request)
            policy.lifecycle.attempt = attempt  # type: ignore[method-assign]
            harness.pipeline.dispatch(TimerFired(held_back[0].request.id))
            assert told_headers(await asking)[DESTINATION] == SERVERS[0]
            await stream.respond(200)
            assert (await harness.event(AttemptEnded)).result == AttemptResult.OK

    run(test())


# Further attempts.


def test_a_later_attempt_continues_its_request() -> None:
    async def test() -> None:
        async with (
            site_with_processor(servers=2, later_attempts=True) as harness,
            harness.proxy() as proxy,
        ):
            harness.pipeline.policy.random.random = lambda: 0.99  # type: ignore[method-assign]  # so that the policy retries
            name = "again"
            first = proxy.stream()
            one = told_headers(await first.ask(request_headers("book", name)))[DESTINATION].split(
                ","
            )[0]
            await first.respond(500, served=one)
            second = proxy.stream()
            two = await second.ask(request_headers("book", name, x_envoy_attempt_count="2"))
            assert told_headers(two)[DESTINATION].split(",")[0] != one
            await second.respond(200)
            await harness.event(AttemptEnded, 2)
            assert len(harness.of(Request)) == 1  # the policy sees one request
            assert [type(e).__name__ for e in harness.events[-3:]] == [
                "AttemptEnded",
                "RetryDecisionDue",
                "AttemptEnded",
            ]
            await first.half_close()
            await second.half_close()
            await harness.settled()

    run(test())


def test_an_unsafe_request_that_may_have_been_executed_is_not_retried() -> None:
    async def test() -> None:
        async with (
            site_with_processor(servers=2, later_attempts=True) as harness,
            harness.proxy() as proxy,
        ):
            first, second, third = proxy.stream(), proxy.stream(), proxy.stream()
            await first.ask(request_headers("pay", "once"))
            # The first stream is still open without a response: its attempt may have been executed.
            answer = await second.ask(request_headers("pay", "once", x_envoy_attempt_count="2"))
            assert answer.immediate_response.status.code == 502
            assert [o.result for o in harness.of(AttemptEnded)] == [AttemptResult.RESET]
            answer = await third.ask(request_headers("pay", "once", x_envoy_attempt_count="3"))
            assert answer.immediate_response.status.code == 502  # the same reply again
            answer = await first.respond(200)  # the late response is passed on
            assert answer.HasField("response_headers")
            for stream in (first, second, third):
                await stream.half_close()
            await harness.settled()

    run(test())


def test_a_retry_of_a_request_that_this_node_does_not_know() -> None:
    async def test() -> None:
        async with site_with_processor() as harness, harness.proxy() as proxy:
            # The deduplication window of `book` is as long as its deadline: a server may have
            # forgotten the first attempt.
            for cls, status in (("pay", 502), ("book", 502), ("find", 0)):
                answer = await proxy.stream().ask(request_headers(cls, x_envoy_attempt_count="2"))
                assert answer.immediate_response.status.code == status
            assert all(request.possibly_executed for request in harness.of(Request))

    run(test())


def test_a_second_stream_for_an_open_request_id_is_rejected() -> None:
    async def test() -> None:
        async with site_with_processor() as harness, harness.proxy() as proxy:
            first, second = proxy.stream(), proxy.stream()
            await first.ask(request_headers(name="same"))
            answer = await second.ask(request_headers(name="same"))
            assert answer.immediate_response.status.code == 409
            await second.half_close()
            assert (await first.respond(200)).HasField("response_headers")
            assert (await harness.event(AttemptEnded)).result == AttemptResult.OK

    run(test())


def test_a_call_whose_proxy_does_not_come_back_is_cancelled() -> None:
    async def test() -> None:
        async with (
            site_with_processor(later_attempts=True, later_wait_ms=20.0) as harness,
            harness.proxy() as proxy,
        ):
            stream = proxy.stream()
            await stream.ask(request_headers())
            stream.cancel()
            await harness.event(RequestCancelled)
            await harness.settled()
            assert [o.retry_deferred for o in harness.of(AttemptEnded)] == [True] and harness.of(
                RetryDecisionDue
            ) == []

    run(test())


# Fallbacks.


def test_fallbacks_are_given_only_if_the_class_allows_another_attempt() -> None:
    async def test() -> None:
        async with site_with_processor(servers=3, fallbacks=2) as harness, harness.proxy() as proxy:
            harness.pipeline.policy.random.random = lambda: 0.5  # type: ignore[method-assign]
            for cls, count in (("find", 3), ("book", 3), ("pay", 1)):
                headers = told_headers(await proxy.stream().ask(request_headers(cls)))
                assert len(set(headers[DESTINATION].split(","))) == count
                assert headers["x-envoy-max-retries"] == str(count - 1)

    run(test())


def test_a_fallback_that_served_counts_as_the_next_attempt() -> None:
    async def test() -> None:
        async with site_with_processor(servers=3, fallbacks=2) as harness, harness.proxy() as proxy:
            harness.pipeline.policy.random.random = lambda: 0.5  # type: ignore[method-assign]
            stream = proxy.stream()
            one, two, three = told_headers(await stream.ask(request_headers()))[DESTINATION].split(
                ","
            )
            await stream.respond(200, served=three, response_flags=FLAGS["UF"])
            assert (await harness.event(AttemptEnded)).result == AttemptResult.OK
            rerouted = harness.of(AttemptRerouted)
            assert [d.result for d in rerouted] == [
                AttemptResult.UNREACHABLE,
                AttemptResult.UNREACHABLE,
            ]
            assert [d.attempt for d in rerouted] == [0, 1] and harness.of(AttemptEnded)[
                0
            ].attempt == 2
            await stream.half_close()
            await harness.settled()

    run(test())


# Unexpected messages.


def test_messages_in_the_wrong_order_end_only_their_stream() -> None:
    async def test() -> None:
        async with site_with_processor() as harness, harness.proxy() as proxy:
            good = proxy.stream()
            await good.ask(request_headers())
            twice = proxy.stream()
            await twice.ask(request_headers())
            await twice.call.write(request_message(request_headers()))
            assert await twice.status() == "invalid_argument"
            ended = proxy.stream()
            await ended.ask(request_headers())
            await ended.respond(200)
            # No further message is requested, so a second response is not read.
            assert await ended.status() == "ok"
            empty = proxy.raw()
            await empty.call.write(b"")
            assert await empty.status() == "invalid_argument"
            malformed = proxy.raw()
            await malformed.call.write(b"\xff\xff\xff")
            assert await malformed.status() == "invalid_argument"
            bad_status = proxy.stream()
            await bad_status.ask(request_headers())
            await bad_status.call.write(response_message(9999))
            assert await bad_status.status() == "invalid_argument"
            assert (await good.respond(200)).HasField("response_headers")
            await good.half_close()
            await harness.settled()

    run(test())


def test_a_response_without_a_request_and_bodies_are_passed_on() -> None:
    async def test() -> None:
        async with site_with_processor() as harness, harness.proxy() as proxy:
            stream = proxy.stream()
            assert (await stream.respond(404)).HasField("response_headers")
            stream = proxy.stream()
            await stream.ask(request_headers())
            for kind in ("request_body", "request_trailers", "response_body", "response_trailers"):
                message = ext_proc.ProcessingRequest()
                getattr(message, kind).SetInParent()
                assert (await stream.send(message)).HasField(kind)
            await stream.respond(200)
            assert (await harness.event(AttemptEnded)).result == AttemptResult.OK

    run(test())


def test_in_observability_mode_nothing_is_decided_or_answered() -> None:
    async def test() -> None:
        async with site_with_processor() as harness, harness.proxy() as proxy:
            stream = proxy.stream()
            await stream.call.write(request_message(request_headers(), observe=True))
            await stream.half_close()
            assert await stream.status() == "ok"
            await harness.settled()
            assert harness.of(Request) == []

    run(test())


def test_a_subset_hint_is_observed() -> None:
    async def test() -> None:
        async with site_with_processor(servers=3) as harness, harness.proxy() as proxy:
            for _ in range(8):
                answer = await proxy.stream().ask(
                    request_headers(), subset=f"{SERVERS[1]}, 127.0.0.1:1"
                )
                assert told_headers(answer)[DESTINATION] == SERVERS[1]
            answer = await proxy.stream().ask(request_headers(), subset="127.0.0.1:1")
            assert answer.immediate_response.status.code == 503

    run(test())
