"""The GraphQL front over loopback, in front of scripted GraphQL dispatch servers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from hashlib import sha256
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import pytest

from badgercart.app.file import Installation
from badgercart.app.site import Application
from badgercart.frontends.graphql.documents import Cache
from badgercart.frontends.graphql.settings import GraphqlSettings
from badgercart.policy.events import AttemptEnded, AttemptResult, Request, RequestCancelled
from badgercart.policy.settings import Idempotency, RequestClass
from standins import graphql as dispatch
from standins import http1
from tests.net import (
    WAIT_S,
    Client,
    ScriptedServer,
    config,
    field,
    hang_up,
    operator_entry,
    run,
    stay_silent,
)
from tests.processors import EventRecorder

FIELDS = [
    {"name": "Query.cabLookup", "class": "cab-lookup", "affinity": "pickup"},
    {"name": "Mutation.rideAssign", "class": "ride-assign", "affinity": "ride", "key": "key"},
]
CLASSES = (
    RequestClass(
        latency_objective_ms=5000.0,
        deadline_ms=9000.0,
        priority_weight=2.0,
        idempotency=Idempotency.IDEMPOTENT,
    ),
    RequestClass(
        latency_objective_ms=5000.0,
        deadline_ms=9000.0,
        priority_weight=8.0,
        idempotency=Idempotency.KEYED,
        deduplication_window_ms=20000.0,
    ),
)
NEW = "application/graphql-response+json"
Script = Callable[[dict[str, Any]], tuple[int, Any] | None]


class Dispatch(ScriptedServer):
    """A GraphQL dispatch server. `script` may put something in place of its answer."""

    def __init__(self, name: str = "s", script: Script | None = None) -> None:
        super().__init__()
        self.name, self.instead = name, script
        self.asked: list[dict[str, Any]] = []
        self.keys: list[str] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await http1.read_message(reader)
                asked = json.loads(message.body)
                self.asked.append(asked)
                self.keys.append(message.headers.get("idempotency-key", ""))
                self.requests.put_nowait(message.body)
                said = self.instead(asked) if self.instead else None
                if said is None:
                    status, body = dispatch.answer(self.name, message.body)
                    writer.write(http1.answer(status, {}, body))
                elif said[0] == -1:
                    await hang_up(self, b"", writer)
                elif said[0]:
                    writer.write(http1.answer(said[0], {}, json.dumps(said[1]).encode()))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Desk(EventRecorder):
    """A running site with a GraphQL front."""

    def __init__(self, site: Application) -> None:
        super().__init__(site.pipeline)
        self.site, self.front = site, site.components["graphql"].front

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection(*self.front.listener.address))

    async def send(
        self,
        body: Any,
        accept: str | None = NEW,
        content_type: str = "application/json",
        **headers: str,
    ) -> tuple[int, bytes, Any]:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        lines = {"host": "x", "content-type": content_type, "request-timeout": "8000m"}
        lines |= {"accept": accept} if accept is not None else {}
        lines |= {name.replace("_", "-"): value for name, value in headers.items()}
        return await self.raw(http1.request("POST", "/graphql", lines, data))

    async def get(self, accept: str | None = NEW, **parameters: str) -> tuple[int, bytes, Any]:
        lines = {"host": "x"} | ({"accept": accept} if accept is not None else {})
        return await self.raw(http1.request("GET", f"/graphql?{urlencode(parameters)}", lines))

    async def raw(self, data: bytes) -> tuple[int, bytes, Any]:
        client = await self.client()
        status, head, body = await client.ask(data)
        client.writer.close()
        return status, head, json.loads(body) if body else None


@asynccontextmanager
async def desk(*servers: ScriptedServer, attempts: int = 1, **changes: Any) -> AsyncIterator[Desk]:
    base = config(1, attempts=attempts)
    names = {b"cab-lookup": 0, b"ride-assign": 1}
    what = Installation(
        config=replace(base, settings=replace(base.settings, classes=CLASSES), classes=names),
        component_settings={
            "graphql": GraphqlSettings.model_validate(
                {"listen": "127.0.0.1:0", "schema": str(dispatch.SCHEMA_FILE), "field": FIELDS}
                | changes
            ),
            "server": tuple(
                operator_entry(server.entry(f"s-{n}")) for n, server in enumerate(servers, 1)
            ),
        },
    )
    site = Application(what, asyncio.get_running_loop())
    await site.start()
    try:
        yield Desk(site)
    finally:
        site.close()


LOOKUP = '{ cabLookup(pickup: "opera") { pickup cabs { id } } }'
ASSIGN = 'mutation { rideAssign(ride: "r1", key: "k1") { id server } }'


def play(
    test: Callable[[Desk, Dispatch], Awaitable[None]], script: Script | None = None, **changes: Any
) -> None:
    async def whole() -> None:
        server = Dispatch(script=script)
        await server.start()
        async with desk(server, **changes) as front:
            await test(front, server)
            assert (
                not front.pipeline.in_flight
                and not front.pipeline.open_attempts
                and not front.front.open
            )

    run(whole())


def test_a_lookup_and_an_assignment() -> None:
    async def test(front: Desk, server: Dispatch) -> None:
        status, head, told = await front.send({"query": LOOKUP})
        assert status == 200 and field(head, b"Content-Type") == NEW.encode()
        assert told == {
            "data": {
                "cabLookup": {"pickup": "opera", "cabs": [{"id": f"cab{n}"} for n in range(3)]}
            }
        }
        status, _, told = await front.send({"query": ASSIGN})
        assert told["data"]["rideAssign"] == {"id": "r1", "server": "s"}
        assert [request.class_index for request in front.of(Request)] == [0, 1]
        assert server.keys[0] == "" and server.keys[1] != ""

    play(test)


def test_mixed_work_is_parted_and_comes_back_in_order() -> None:
    async def test(front: Desk, server: Dispatch) -> None:
        query = (
            "query Q($p: String!) { kind: __typename b: cabLookup(pickup: $p) { pickup } "
            'a: cabLookup(pickup: "x", limit: 1) { cabs { id } } '
            "again: cabLookup(pickup: $p) { cabs { minutes } } }"
        )
        _, _, told = await front.send({"query": query, "variables": {"p": "opera"}})
        assert list(told["data"]) == ["kind", "b", "a", "again"] and told["data"]["kind"] == "Query"
        assert len(server.asked) == 2  # what is about the same thing goes together

    play(test)


def test_a_refused_part_is_an_error_in_its_place_and_the_others_answer() -> None:
    async def test(front: Desk, server: Dispatch) -> None:
        policy, ask = front.pipeline.policy, front.pipeline.policy.handle

        def under_a_cut(now_ms: float, event: Any) -> Any:
            # The cut lies between the two: lookups are refused, assignments are not.
            if isinstance(event, Request):
                cut = 1000.0 if event.class_index == 0 and len(front.of(Request)) else 0.0
                policy.overload.measure = lambda: setattr(  # type: ignore[method-assign]
                    policy.overload, "shed_threshold", cut
                )
                policy.schedule.refreshed_at_ms = now_ms
            return ask(now_ms, event)

        policy.handle = under_a_cut  # type: ignore[method-assign]
        query = '{ a: cabLookup(pickup: "x") { pickup } b: cabLookup(pickup: "y") { pickup } }'
        status, _, told = await front.send({"query": query})
        assert status == 200 and told["data"] == {"a": {"pickup": "x"}, "b": None}
        (error,) = told["errors"]
        assert error["path"] == ["b"] and error["locations"] == [{"line": 1, "column": 40}]
        assert error["extensions"]["code"] == "REFUSED" and error["extensions"]["retryAfter"] > 0
        status, _, told = await front.send({"query": ASSIGN})
        assert status == 200 and "errors" not in told
        # Where all of it is refused, nothing was begun: the request is.
        status, head, told = await front.send({"query": LOOKUP})
        assert status == 503 and "data" not in told and field(head, b"Retry-After")
        status, _, told = await front.send({"query": LOOKUP}, accept="application/json")
        assert status == 200 and told["errors"][0]["extensions"]["code"] == "REFUSED"

    play(test)


def test_an_error_inside_a_success_counts_as_one_and_its_data_is_kept() -> None:
    partial = {"data": {"cabLookup": None}, "errors": [{"message": "no", "path": ["cabLookup"]}]}

    async def test(front: Desk, server: Dispatch) -> None:
        _, _, told = await front.send({"query": LOOKUP})
        assert told["data"] == {"cabLookup": None}
        assert told["errors"] == [
            {"message": "no", "path": ["cabLookup"], "locations": [{"line": 1, "column": 3}]}
        ]
        assert [outcome.result for outcome in front.of(AttemptEnded)] == [AttemptResult.ERROR]
        assert front.pipeline.policy.overload.error_rate.failures > 0

    play(test, lambda asked: (200, partial))


@pytest.mark.parametrize(
    "said",
    [
        {"data": {"other": 1}},  # another request's
        {"data": {}},
        {"data": {"cabLookup": None, "more": 1}},
        [],
        "x",
    ],
)
def test_a_reply_to_something_else_is_no_answer(said: Any) -> None:
    async def test(front: Desk, server: Dispatch) -> None:
        _, _, told = await front.send({"query": LOOKUP})
        assert told["errors"][0]["extensions"]["code"] in ("REFUSED", "FAILED")
        assert [outcome.result for outcome in front.of(AttemptEnded)] == [AttemptResult.ERROR]

    play(test, lambda asked: (200, said))


def test_a_failed_assignment_is_sent_again_with_the_same_key() -> None:
    async def test() -> None:
        servers = [
            Dispatch("one", lambda asked: (-1, None)),
            Dispatch("two", lambda asked: (-1, None)),
        ]
        for server in servers:
            await server.start()
        async with desk(*servers, attempts=4) as front:
            front.pipeline.policy.random.random = lambda: 0.99  # type: ignore[method-assign]  # no draw ends it
            await front.send({"query": ASSIGN})
            keys = servers[0].keys + servers[1].keys
            assert len(keys) == 2 and len(set(keys)) == 1 and keys[0]

    run(test())


def test_mutations_go_in_their_order_and_stop_with_their_client() -> None:
    chain = (
        "mutation { "
        + " ".join(f'm{i}: rideAssign(ride: "{i}", key: "k") {{ id }}' for i in range(4))
        + " }"
    )

    async def test(front: Desk, server: Dispatch) -> None:
        _, _, told = await front.send({"query": chain})
        assert list(told["data"]) == ["m0", "m1", "m2", "m3"]
        assert [f'"{i}"' in asked["query"] for i, asked in enumerate(server.asked)] == [True] * 4
        assert len(set(server.keys)) == 4

    play(test)

    async def silent(front: Desk, server: Dispatch) -> None:
        client = await front.client()
        head = {"host": "x", "content-type": "application/json", "request-timeout": "8000m"}
        client.writer.write(
            http1.request("POST", "/graphql", head, json.dumps({"query": chain}).encode())
        )
        await asyncio.wait_for(server.requests.get(), WAIT_S)
        client.writer.close()
        await front.event(RequestCancelled)
        await front.event(AttemptEnded)
        assert len(front.of(Request)) == 1  # what had not begun does not begin

    play(silent, lambda asked: (0, None))


def test_one_part_that_times_out_leaves_the_others_whole() -> None:
    async def test() -> None:
        server = Dispatch(script=lambda asked: (0, None) if '"slow"' in asked["query"] else None)
        await server.start()
        async with desk(server) as front:
            usual = front.pipeline.policy
            usual.fleet.latency.typical_ms = [10.0, 10.0]
            query = (
                '{ a: cabLookup(pickup: "slow") { pickup } b: cabLookup(pickup: "x") { pickup } }'
            )
            status, _, told = await front.send({"query": query}, request_timeout="300m")
            assert status == 200 and list(told["data"]) == ["a", "b"]
            assert told["data"]["b"] == {"pickup": "x"} and told["errors"][0]["path"] == ["a"]

    run(test())


@pytest.mark.parametrize(
    ("body", "accept", "content_type", "status"),
    [
        (b"{", NEW, "application/json", 400),
        (b"", NEW, "application/json", 400),
        (b"\xff", NEW, "application/json", 400),
        (b"NaN", NEW, "application/json", 400),
        (b"[" * 60000, NEW, "application/json", 400),
        ([{"query": LOOKUP}], NEW, "application/json", 400),
        ("x", NEW, "application/json", 400),
        ({}, NEW, "application/json", 400),
        ({"query": 1}, NEW, "application/json", 400),
        ({"query": LOOKUP, "variables": []}, NEW, "application/json", 400),
        ({"query": LOOKUP, "variables": "{}"}, NEW, "application/json", 400),
        ({"query": LOOKUP, "operationName": 1}, NEW, "application/json", 400),
        ({"query": LOOKUP, "operationName": "Q"}, NEW, "application/json", 400),
        ({"query": LOOKUP, "extensions": "x"}, NEW, "application/json", 400),
        ({"query": LOOKUP}, "text/html", "application/json", 406),
        ({"query": LOOKUP}, f"{NEW};charset=latin-1", "application/json", 406),
        ({"query": LOOKUP}, NEW, "text/plain", 415),
        ({"query": LOOKUP}, NEW, "application/json; charset=utf-16", 415),
        ({"query": "{ nothing }"}, NEW, "application/json", 400),
        ({"query": "{"}, NEW, "application/json", 400),
        ({"query": "{"}, "application/json", "application/json", 200),
        ({"query": "{"}, None, "application/json", 200),
        ({"query": "subscription { x }"}, NEW, "application/json", 400),
        ({"query": "{" + "a" * 17000 + "}"}, NEW, "application/json", 400),
        # no key
        ({"query": 'mutation { rideAssign(ride: "1") { id } }'}, NEW, "application/json", 400),
        ({"query": "query($p: String!) { cabLookup(pickup: $p) { pickup } }"}, NEW, "application/json", 400),
        ({"query": LOOKUP}, f"text/html, {NEW};q=0.5", "application/json; charset=UTF-8", 200),
        ({"query": LOOKUP, "variables": None, "operationName": None, "extensions": None}, "*/*",
         "application/json", 200),
    ],
)  # fmt: skip
def test_how_requests_are_taken(
    body: Any, accept: str | None, content_type: str, status: int
) -> None:
    async def test(front: Desk, server: Dispatch) -> None:
        got, _, told = await front.send(body, accept, content_type)
        assert got == status
        if status != 200:
            assert told["errors"][0]["message"] and front.of(Request) == []

    play(test)


def test_get_is_for_queries_only() -> None:
    async def test(front: Desk, server: Dispatch) -> None:
        variables = json.dumps({"p": "opera"})
        query = "query Q($p: String!) { cabLookup(pickup: $p) { pickup } }"
        status, _, told = await front.get(query=query, variables=variables, operationName="Q")
        assert status == 200 and told["data"]["cabLookup"]["pickup"] == "opera"
        status, head, _ = await front.get(query=ASSIGN)
        assert status == 405 and field(head, b"Allow") == b"POST"
        assert (await front.get())[0] == 400 and (await front.get(query=LOOKUP, variables="{"))[
            0
        ] == 400
        assert len(front.of(Request)) == 1
        assert (await front.raw(http1.request("DELETE", "/graphql", {"host": "x"})))[0] == 405
        assert (await front.raw(http1.request("GET", "/other", {"host": "x"})))[0] == 404

    play(test)


def test_introspection_is_answered_here_or_switched_off() -> None:
    query = '{ __schema { queryType { name } } __type(name: "Cab") { fields { name } } }'

    async def on(front: Desk, server: Dispatch) -> None:
        _, _, told = await front.send({"query": query})
        assert told["data"]["__schema"]["queryType"]["name"] == "Query" and not server.asked

    async def off(front: Desk, server: Dispatch) -> None:
        status, _, told = await front.send({"query": query})
        assert status == 400 and told["errors"][0]["extensions"]["code"] == "INTROSPECTION_DISABLED"
        assert (await front.send({"query": "{ __typename }"}))[2] == {
            "data": {"__typename": "Query"}
        }

    play(on)
    play(off, introspection=False)


def test_persisted_documents_and_an_allow_list(tmp_path: Path) -> None:
    digest = sha256(LOOKUP.encode()).hexdigest()
    by_hash = {"extensions": {"persistedQuery": {"version": 1, "sha256Hash": digest}}}

    async def persisted(front: Desk, server: Dispatch) -> None:
        _, _, told = await front.send(by_hash)
        assert told["errors"][0]["extensions"]["code"] == "PERSISTED_QUERY_NOT_FOUND"
        assert "errors" not in (await front.send({"query": LOOKUP} | by_hash))[2]
        assert "errors" not in (await front.send(by_hash))[2]
        _, _, told = await front.send({"query": ASSIGN} | by_hash)
        assert "hash" in told["errors"][0]["message"]

    play(persisted)
    path = tmp_path / "allowed.json"
    path.write_text(json.dumps({digest: LOOKUP}))

    async def allowed(front: Desk, server: Dispatch) -> None:
        assert "errors" not in (await front.send(by_hash))[2]
        assert "errors" not in (await front.send({"query": LOOKUP}))[2]
        for query in (ASSIGN, LOOKUP + " "):
            _, _, told = await front.send({"query": query})
            assert told["errors"][0]["extensions"]["code"] == "PERSISTED_QUERY_NOT_ALLOWED"
        assert len(front.of(Request)) == 2

    play(allowed, allow_list=str(path))


def test_the_cache_is_bounded_in_bytes() -> None:
    cache = Cache(100)
    for number in range(50):
        cache.put(number, 30, number)
        assert cache.size <= 100
    assert cache.get(49) == 49 and len(cache.held) == 3
    cache.put("large", 101, 1)
    assert "large" not in cache.held


def test_a_silent_server_and_a_policy_that_raises_cost_their_request_alone() -> None:
    async def test(front: Desk, server: Dispatch) -> None:
        handle = front.pipeline.policy.handle

        def broken(now: float, event: object) -> Any:
            raise RuntimeError("broken on purpose")

        front.pipeline.policy.handle = broken  # type: ignore[method-assign]
        _, _, told = await front.send({"query": LOOKUP})
        assert told["errors"][0]["extensions"]["code"] == "INTERNAL_SERVER_ERROR"
        front.pipeline.policy.handle = handle  # type: ignore[method-assign]
        assert "errors" not in (await front.send({"query": LOOKUP}))[2]

    play(test)
    assert stay_silent
