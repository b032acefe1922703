"""An Envoy-like proxy: takes HTTP requests, asks an external processor, and sends them where it
says.

It keeps the headers that the answer sets (route time-out, retries), goes on to a named fallback
where a connection can't be had or the server turns the request away, and tells the processor how it
ended with the attributes that Envoy sends. On command it holds answers back, with or without regard
to their age, or uses old ones.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import grpc

from standins import http1
from standins.scripted_proxy import DESTINATION, ScriptedProxy, told_headers

AGE = "x-badgercart-answer-age-ms"
UF, UC, UT = 1 << 5, 1 << 6, 1 << 2  # Envoy's response flags
CONNECT_TIME = 0.2  # s
ASK_TIME = 5.0  # s for an answer of the processor
DROPPED = frozenset(("connection", "content-length", "transfer-encoding"))


@dataclass(slots=True)
class Sent:
    """What came of a request at the servers."""

    answer: http1.Message | None = None
    served: str = ""
    attempts: int = 0
    flags: int = 0
    details: str = "via_upstream"
    times: list[tuple[str, float]] = field(default_factory=list)  # where a send began, and when


class Proxy:
    """One proxy. `before_send` may hold an answer back before it is used."""

    def __init__(
        self,
        processor: str,
        name: str = "proxy-1",
        honours_age: bool = True,
        before_send: Callable[[str], Awaitable[None]] | None = None,
    ) -> None:
        self.caller = ScriptedProxy(processor, name)
        self.honours_age = honours_age
        self.before_send = before_send
        self.stuck: str | None = None  # an old answer that is used for everything
        self.connections = http1.Connections()
        self.sent: list[
            tuple[str, str, float]
        ] = []  # request id, server, when its first byte was written
        self.asked_again = 0
        self.port = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> Proxy:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        self.server.close()
        self.connections.close()
        await self.caller.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                writer.write(await self.handle(await http1.read_message(reader)))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def handle(self, request: http1.Message) -> bytes:
        """The whole way of one request; 500 where the processor can't be asked (it fails
        closed)."""
        described = {":method": request.start[0], ":path": request.start[1], ":scheme": "http"}
        described |= {":authority": request.headers.get("host", "")} | request.headers
        try:
            return await self.through(request, described)
        except (
            grpc.RpcError,
            TimeoutError,
            asyncio.InvalidStateError,
        ):  # the last: it ended meanwhile
            return http1.answer(500)

    async def through(self, request: http1.Message, described: dict[str, str]) -> bytes:
        while True:
            stream = self.caller.stream()
            async with asyncio.timeout(ASK_TIME):
                answer = await stream.ask(described)
            asked = time.monotonic()
            if answer.HasField("immediate_response"):
                await stream.half_close()
                immediate = answer.immediate_response
                return http1.answer(immediate.status.code, told_headers(answer), immediate.body)
            told = told_headers(answer)
            if self.before_send is not None:
                await self.before_send(told[DESTINATION])
            if self.honours_age and time.monotonic() - asked > float(told[AGE]) / 1000:
                # Too old by now: give it up unused and ask anew.
                self.asked_again += 1
                stream.cancel()
                continue
            sent = await self.send(request, told)
            return await self.finish(stream, sent)

    async def send(self, request: http1.Message, told: dict[str, str]) -> Sent:
        sent, tries = Sent(), 1 + int(told["x-envoy-max-retries"])
        end = time.monotonic() + float(told["x-envoy-upstream-rq-timeout-ms"]) / 1000
        endpoints = [self.stuck] if self.stuck else told[DESTINATION].split(",")
        kept = {name: value for name, value in request.headers.items() if name not in DROPPED}
        headers = kept | {"request-timeout": told["request-timeout"]}
        data = http1.request(request.start[0], request.start[1], headers, request.body)
        for endpoint in endpoints[:tries]:
            sent.attempts += 1
            sent.served, sent.answer = endpoint, None
            try:
                await self.attempt(sent, request.headers.get("request-id", ""), endpoint, data, end)
            except TimeoutError:
                sent.flags, sent.details = UT, "response_timeout"
                break
            if sent.answer is not None:
                sent.flags, sent.details = 0, "via_upstream"
                if sent.answer.headers.get("not-started") != "1":
                    break
        return sent

    async def attempt(self, sent: Sent, name: str, endpoint: str, data: bytes, end: float) -> None:
        try:
            async with asyncio.timeout(min(CONNECT_TIME, max(0.0, end - time.monotonic()))):
                reader, writer = await self.connections.open(endpoint)
        except (OSError, TimeoutError):
            sent.flags, sent.details = (
                UF,
                "upstream_reset_before_response_started{connection_failure}",
            )
            return
        self.sent.append((name, endpoint, time.monotonic()))
        try:
            writer.write(data)
            async with asyncio.timeout(max(0.0, end - time.monotonic())):
                sent.answer = await http1.read_message(reader)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            writer.close()
            sent.flags = UC
            sent.details = "upstream_reset_before_response_started{connection_termination}"
        except BaseException:
            writer.close()
            raise
        else:
            self.connections.keep(endpoint, reader, writer)

    async def finish(self, stream: Any, sent: Sent) -> bytes:
        """The response phase, and what the client gets of it."""
        if sent.answer is not None:
            status, headers, body = sent.answer.status, sent.answer.headers, sent.answer.body
        else:
            status, headers, body = (504 if sent.flags == UT else 503), {}, b""
        kept = {name: value for name, value in headers.items() if name not in DROPPED}
        verdict = await stream.respond(
            status,
            kept,
            served=sent.served,
            response_flags=sent.flags,
            response_code_details=sent.details,
            upstream_address=sent.served,
            upstream_request_attempt_count=sent.attempts,
        )
        await stream.half_close()
        if verdict.HasField("immediate_response"):
            immediate = verdict.immediate_response
            return http1.answer(immediate.status.code, told_headers(verdict), immediate.body)
        status = int(told_headers(verdict).get(":status", status))
        return http1.answer(status, kept, body)
