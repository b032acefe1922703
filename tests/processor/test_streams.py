"""The processor over loopback, against a scripted proxy: each way in which a stream can go."""

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
from tests.processors import SERVERS, described, entry, site_with_processor

DESTINATION = "x-gateway-destination-endpoint"


def test_a_request_is_told_where_to_go_and_its_end_is_heard() -> None:
    async def test() -> None:
        async with site_with_processor() as bench, bench.proxy() as proxy:
            stream = proxy.stream()
            answer = await stream.ask(described("book", timeout="3000m"))
            headers = told_headers(answer)
            assert headers[DESTINATION] == SERVERS[0]
            assert headers["x-badgercart-answer-age-ms"] == "300"
            assert headers["x-envoy-max-retries"] == "0"  # one server: nothing to fall back to
            assert 0 < int(headers["x-envoy-upstream-rq-timeout-ms"]) <= 3000
            told = answer.dynamic_metadata.fields["envoy.lb"].struct_value.fields
            assert told[DESTINATION].string_value == SERVERS[0]
            assert told["x-badgercart-answer-age-ms"].number_value == 300
            mode = answer.mode_override
            assert (mode.request_header_mode, mode.response_header_mode) == (1, 1)
            assert (mode.request_body_mode, mode.response_body_mode) == (0, 0)
            assert (mode.request_trailer_mode, mode.response_trailer_mode) == (2, 2)
            answer = await stream.respond(200, served=SERVERS[0])
            assert answer.HasField("response_headers") and not told_headers(answer)
            outcome = await bench.event(AttemptEnded)
            assert (outcome.result, outcome.request_finished) == (AttemptResult.OK, True)
            await stream.half_close()
            assert await stream.status() == "ok"
            await bench.settled()
            assert bench.of(RequestCancelled) == []

    run(test())


def test_the_proxys_own_headers_do_where_the_platforms_are_missing() -> None:
    async def test() -> None:
        async with site_with_processor() as bench, bench.proxy() as proxy:
            headers = described()
            del headers["request-id"], headers["request-timeout"]
            headers |= {"x-request-id": "r", "x-envoy-expected-rq-timeout-ms": "700"}
            before = bench.join.clock()
            await proxy.stream().ask(headers)
            assert 0 < (await bench.event(Request)).deadline_at_ms - before <= 700 + 1000

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
def test_what_can_not_be_used_is_told_and_no_server_hears_of_it(
    changes: dict[str, str], status: int
) -> None:
    async def test() -> None:
        async with site_with_processor() as bench, bench.proxy() as proxy:
            answer = await proxy.stream().ask(described() | changes)
            assert answer.immediate_response.status.code == status
            assert answer.immediate_response.body
            assert bench.of(Request) == []
            if status == 405:
                assert told_headers(answer)["allow"] == "GET"

    run(test())


def test_a_refusal_is_told_at_once_with_its_wait() -> None:
    async def test() -> None:
        async with site_with_processor() as bench, bench.proxy() as proxy:
            bench.lists(entry(1, "leaving"))
            stream = proxy.stream()
            answer = await stream.ask(described())
            assert answer.immediate_response.status.code == 503
            assert 0 < float(told_headers(answer)["retry-after"]) <= 0.6
            # Response headers of what was refused are let through, and count for nothing.
            answer = await stream.respond(503)
            assert answer.HasField("response_headers") and bench.of(AttemptEnded) == []
            await stream.half_close()
            await bench.settled()

    run(test())


FLAG = {"UF": 1 << 5, "UC": 1 << 6, "UT": 1 << 2, "UO": 1 << 7, "new": 1 << 40}


@pytest.mark.parametrize(
    ("cls", "status", "attributes", "result", "shown"),
    [
        ("find", 500, {}, AttemptResult.ERROR, 503),
        ("book", 500, {}, AttemptResult.ERROR, 503),
        ("pay", 500, {}, AttemptResult.ERROR, 0),  # let through: it is a failure
        (
            "pay",
            503,
            {},
            AttemptResult.ERROR,
            502,
        ),  # a 503 would say that trying again does no harm
        ("pay", 503, {"response_flags": FLAG["UF"]}, AttemptResult.UNREACHABLE, 503),
        ("pay", 503, {"response_flags": FLAG["UO"]}, AttemptResult.NOT_SENT, 503),
        ("pay", 503, {"response_flags": FLAG["UC"]}, AttemptResult.RESET, 502),
        ("pay", 503, {"response_flags": FLAG["new"]}, AttemptResult.ERROR, 502),
        ("pay", 504, {"response_flags": FLAG["UT"]}, AttemptResult.TIMEOUT, 0),
        (
            "pay",
            503,
            {"response_flags": FLAG["UF"], "upstream_request_attempt_count": 2},
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
def test_each_end_is_one_outcome_and_one_answer(
    cls: str, status: int, attributes: dict[str, Any], result: AttemptResult, shown: int
) -> None:
    async def test() -> None:
        async with site_with_processor() as bench, bench.proxy() as proxy:
            stream = proxy.stream()
            await stream.ask(described(cls))
            answer = await stream.respond(status, **attributes)
            assert (await bench.event(AttemptEnded)).result == result
            if answer.HasField("immediate_response"):
                assert answer.immediate_response.status.code == shown == 503
                assert "retry-after" in told_headers(answer)
            else:
                assert told_headers(answer).get(":status") == (str(shown) if shown else None)
            await stream.half_close()
            await bench.settled()
            assert len(bench.of(AttemptEnded)) == 1

    run(test())


def test_not_started_is_believed() -> None:
    async def test() -> None:
        async with site_with_processor() as bench, bench.proxy() as proxy:
            stream = proxy.stream()
            await stream.ask(described("pay"))
            answer = await stream.respond(503, {"not-started": "1"})
            assert (await bench.event(AttemptEnded)).result == AttemptResult.FULL
            assert answer.immediate_response.status.code == 503

    run(test())


# The caller gives up.


@pytest.mark.parametrize("how", ["cancelled", "half-closed", "connection gone"])
def test_a_caller_that_gives_up_after_the_answer_is_heard_once(how: str) -> None:
    async def test() -> None:
        async with site_with_processor() as bench, bench.proxy() as proxy:
            stream = proxy.stream()
            await stream.ask(described("pay"))
            assert bench.join.policy.overload.concurrency.current == 1
            if how == "cancelled":
                stream.cancel()
            elif how == "half-closed":
                await stream.half_close()
            else:
                await proxy.close()
            await bench.event(RequestCancelled)
            await bench.settled()
            outcomes = bench.of(AttemptEnded)
            assert len(bench.of(RequestCancelled)) == 1 and [o.result for o in outcomes] == [
                AttemptResult.CANCELLED
            ]

    run(test())


@pytest.mark.parametrize("how", ["cancelled", "half-closed", "connection gone"])
def test_a_caller_that_gives_up_before_the_answer_leaves_nothing(how: str) -> None:
    async def test() -> None:
        async with site_with_processor() as bench, bench.proxy() as proxy:
            hold_in_line(bench)
            stream = proxy.stream()
            await stream.call.write(request_message(described("pay")))
            await bench.event(Request)
            if how == "cancelled":
                stream.cancel()
            elif how == "half-closed":
                await stream.half_close()
            else:
                await proxy.close()
            await bench.event(RequestCancelled)
            await bench.settled()
            assert len(bench.of(RequestCancelled)) == 1 and bench.of(AttemptEnded) == []

    run(test())


def hold_in_line(bench: Any) -> None:
    """Have the policy hold the next request back, as it does where requests of a key take turns."""
    bench.join.policy.lifecycle.attempt = lambda pending, now_ms: None


def test_a_decision_that_comes_later_reaches_its_stream() -> None:
    async def test() -> None:
        async with site_with_processor() as bench, bench.proxy() as proxy:
            policy = bench.join.policy
            attempt, held = policy.lifecycle.attempt, []
            policy.lifecycle.attempt = lambda pending, now_ms: held.append(pending)  # type: ignore[method-assign]
            stream = proxy.stream()
            asking = asyncio.ensure_future(stream.ask(described(name="held")))
            await bench.event(Request)
            policy.lifecycle.attempt = attempt  # type: ignore[method-assign]
            bench.join.dispatch(TimerFired(held[0].request.id))
            assert told_headers(await asking)[DESTINATION] == SERVERS[0]
            await stream.respond(200)
            assert (await bench.event(AttemptEnded)).result == AttemptResult.OK

    run(test())


# Further attempts.


def test_a_later_attempt_continues_its_request() -> None:
    async def test() -> None:
        async with (
            site_with_processor(servers=2, later_attempts=True) as bench,
            bench.proxy() as proxy,
        ):
            bench.join.policy.random.random = lambda: 0.99  # type: ignore[method-assign]  # no draw ends it
            name = "again"
            first = proxy.stream()
            one = told_headers(await first.ask(described("book", name)))[DESTINATION].split(",")[0]
            await first.respond(500, served=one)
            second = proxy.stream()
            two = await second.ask(described("book", name, x_envoy_attempt_count="2"))
            assert told_headers(two)[DESTINATION].split(",")[0] != one
            await second.respond(200)
            await bench.event(AttemptEnded, 2)
            assert len(bench.of(Request)) == 1  # one request to the policy, by its number
            assert [type(e).__name__ for e in bench.told[-3:]] == [
                "AttemptEnded",
                "RetryDecisionDue",
                "AttemptEnded",
            ]
            await first.half_close()
            await second.half_close()
            await bench.settled()

    run(test())


def test_an_unsafe_request_that_may_have_run_gets_no_later_attempt() -> None:
    async def test() -> None:
        async with (
            site_with_processor(servers=2, later_attempts=True) as bench,
            bench.proxy() as proxy,
        ):
            first, second, third = proxy.stream(), proxy.stream(), proxy.stream()
            await first.ask(described("pay", "once"))
            # The earlier stream is still open and has told nothing: its attempt may have run.
            answer = await second.ask(described("pay", "once", x_envoy_attempt_count="2"))
            assert answer.immediate_response.status.code == 502
            assert [o.result for o in bench.of(AttemptEnded)] == [AttemptResult.RESET]
            answer = await third.ask(described("pay", "once", x_envoy_attempt_count="3"))
            assert answer.immediate_response.status.code == 502  # the same answer again
            answer = await first.respond(200)  # and the first one's late answer goes through
            assert answer.HasField("response_headers")
            for stream in (first, second, third):
                await stream.half_close()
            await bench.settled()

    run(test())


def test_an_attempt_of_a_request_that_this_node_never_saw() -> None:
    async def test() -> None:
        async with site_with_processor() as bench, bench.proxy() as proxy:
            # `book` here has a window no longer than its deadline: it may be forgotten by now.
            for cls, status in (("pay", 502), ("book", 502), ("find", 0)):
                answer = await proxy.stream().ask(described(cls, x_envoy_attempt_count="2"))
                assert answer.immediate_response.status.code == status
            assert all(request.possibly_executed for request in bench.of(Request))

    run(test())


def test_a_second_stream_for_an_open_id_is_turned_away() -> None:
    async def test() -> None:
        async with site_with_processor() as bench, bench.proxy() as proxy:
            first, second = proxy.stream(), proxy.stream()
            await first.ask(described(name="same"))
            answer = await second.ask(described(name="same"))
            assert answer.immediate_response.status.code == 409
            await second.half_close()
            assert (await first.respond(200)).HasField("response_headers")
            assert (await bench.event(AttemptEnded)).result == AttemptResult.OK

    run(test())


def test_a_proxy_that_does_not_come_back_leaves_nothing() -> None:
    async def test() -> None:
        async with (
            site_with_processor(later_attempts=True, later_wait_ms=20.0) as bench,
            bench.proxy() as proxy,
        ):
            stream = proxy.stream()
            await stream.ask(described())
            stream.cancel()
            await bench.event(RequestCancelled)
            await bench.settled()
            assert [o.retry_deferred for o in bench.of(AttemptEnded)] == [True] and bench.of(
                RetryDecisionDue
            ) == []

    run(test())


# Fallbacks.


def test_fallbacks_only_where_the_class_allows_another_attempt() -> None:
    async def test() -> None:
        async with site_with_processor(servers=3, fallbacks=2) as bench, bench.proxy() as proxy:
            bench.join.policy.random.random = lambda: 0.5  # type: ignore[method-assign]
            for cls, count in (("find", 3), ("book", 3), ("pay", 1)):
                headers = told_headers(await proxy.stream().ask(described(cls)))
                assert len(set(headers[DESTINATION].split(","))) == count
                assert headers["x-envoy-max-retries"] == str(count - 1)

    run(test())


def test_a_fallback_that_served_counts_as_the_next_attempt() -> None:
    async def test() -> None:
        async with site_with_processor(servers=3, fallbacks=2) as bench, bench.proxy() as proxy:
            bench.join.policy.random.random = lambda: 0.5  # type: ignore[method-assign]
            stream = proxy.stream()
            one, two, three = told_headers(await stream.ask(described()))[DESTINATION].split(",")
            await stream.respond(200, served=three, response_flags=FLAG["UF"])
            assert (await bench.event(AttemptEnded)).result == AttemptResult.OK
            diverted = bench.of(AttemptRerouted)
            assert [d.result for d in diverted] == [
                AttemptResult.UNREACHABLE,
                AttemptResult.UNREACHABLE,
            ]
            assert [d.attempt for d in diverted] == [0, 1] and bench.of(AttemptEnded)[
                0
            ].attempt == 2
            await stream.half_close()
            await bench.settled()

    run(test())


# Wrong messages.


def test_messages_in_the_wrong_order_end_their_stream_alone() -> None:
    async def test() -> None:
        async with site_with_processor() as bench, bench.proxy() as proxy:
            good = proxy.stream()
            await good.ask(described())
            twice = proxy.stream()
            await twice.ask(described())
            await twice.call.write(request_message(described()))
            assert await twice.status() == "invalid_argument"
            ended = proxy.stream()
            await ended.ask(described())
            await ended.respond(200)
            assert (
                await ended.status() == "ok"
            )  # nothing more is asked for, and a second one goes unread
            empty = proxy.raw()
            await empty.call.write(b"")
            assert await empty.status() == "invalid_argument"
            broken = proxy.raw()
            await broken.call.write(b"\xff\xff\xff")
            assert await broken.status() == "invalid_argument"
            odd = proxy.stream()
            await odd.ask(described())
            await odd.call.write(response_message(9999))
            assert await odd.status() == "invalid_argument"
            assert (await good.respond(200)).HasField("response_headers")
            await good.half_close()
            await bench.settled()

    run(test())


def test_a_response_with_no_request_and_bodies_are_let_through() -> None:
    async def test() -> None:
        async with site_with_processor() as bench, bench.proxy() as proxy:
            stream = proxy.stream()
            assert (await stream.respond(404)).HasField("response_headers")
            stream = proxy.stream()
            await stream.ask(described())
            for kind in ("request_body", "request_trailers", "response_body", "response_trailers"):
                message = ext_proc.ProcessingRequest()
                getattr(message, kind).SetInParent()
                assert (await stream.send(message)).HasField(kind)
            await stream.respond(200)
            assert (await bench.event(AttemptEnded)).result == AttemptResult.OK

    run(test())


def test_in_observability_mode_nothing_is_answered_or_decided() -> None:
    async def test() -> None:
        async with site_with_processor() as bench, bench.proxy() as proxy:
            stream = proxy.stream()
            await stream.call.write(request_message(described(), observe=True))
            await stream.half_close()
            assert await stream.status() == "ok"
            await bench.settled()
            assert bench.of(Request) == []

    run(test())


def test_a_subset_hint_is_kept() -> None:
    async def test() -> None:
        async with site_with_processor(servers=3) as bench, bench.proxy() as proxy:
            for _ in range(8):
                answer = await proxy.stream().ask(described(), subset=f"{SERVERS[1]}, 127.0.0.1:1")
                assert told_headers(answer)[DESTINATION] == SERVERS[1]
            answer = await proxy.stream().ask(described(), subset="127.0.0.1:1")
            assert answer.immediate_response.status.code == 503

    run(test())
