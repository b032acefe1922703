"""Envoy-like proxy that asks an external processor where to send each HTTP request.

It follows the headers that the processor's response sets (route timeout, retries). It retries at
the next endpoint of the response where a connection fails or the server rejects the request as not
started. It reports the outcome to the processor with the attributes that Envoy sends. On command it
delays the use of responses, with or without regard to their age, or uses an old one.
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

# The header that says how long a response of the processor may be used, in ms.
AGE_HEADER = "x-badgercart-answer-age-ms"
# Envoy's response flags: upstream connection failure, upstream connection termination, and upstream
# request timeout.
UF, UC, UT = 1 << 5, 1 << 6, 1 << 2
CONNECT_TIMEOUT_S = 0.2
PROCESSOR_TIMEOUT_S = 5.0
UNFORWARDED_HEADERS = frozenset(("connection", "content-length", "transfer-encoding"))


@dataclass(slots=True)
class Sent:
    """The outcome of a request at the servers."""

    answer: http1.Message | None = None
    served: str = ""
    attempts: int = 0
    flags: int = 0
    details: str = "via_upstream"
    # The endpoint of each attempt and its start.
    times: list[tuple[str, float]] = field(default_factory=list)


class Proxy:
    """One proxy. `before_send` may delay the use of a response of the processor."""

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
        # The endpoint of an old response that is used for every request.
        self.stuck: str | None = None
        self.connections = http1.ConnectionPool()
        # Per attempt: request id, endpoint, when its first byte was written (s, monotonic clock).
        self.sent: list[tuple[str, str, float]] = []
        self.asked_again = 0
        self.port = 0

    @property
    def address(self) -> str:
        """The address that clients connect to."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> Proxy:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.server.close()
        self.connections.close()
        await self.caller.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the requests of one connection until it ends."""
        try:
            while True:
                writer.write(await self.handle(await http1.read_message(reader)))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def handle(self, request: http1.Message) -> bytes:
        """Process one request and return the response.

        It fails closed: the response has status 500 where the processor can't be asked.
        """
        described = {
            ":method": request.start_line[0],
            ":path": request.start_line[1],
            ":scheme": "http",
        }
        described |= {":authority": request.headers.get("host", "")} | request.headers
        try:
            return await self.route(request, described)
        # gRPC raises InvalidStateError where the stream to the processor has ended meanwhile.
        except (grpc.RpcError, TimeoutError, asyncio.InvalidStateError):
            return http1.response(500)

    async def route(self, request: http1.Message, described: dict[str, str]) -> bytes:
        """Ask the processor, send the request as it says, and return the response."""
        while True:
            stream = self.caller.stream()
            async with asyncio.timeout(PROCESSOR_TIMEOUT_S):
                response = await stream.ask(described)
            asked_at = time.monotonic()
            if response.HasField("immediate_response"):
                await stream.half_close()
                immediate = response.immediate_response
                return http1.response(immediate.status.code, told_headers(response), immediate.body)
            route_headers = told_headers(response)
            if self.before_send is not None:
                await self.before_send(route_headers[DESTINATION])
            if (
                self.honours_age
                and time.monotonic() - asked_at > float(route_headers[AGE_HEADER]) / 1000
            ):
                # The response is too old to be used: ask again.
                self.asked_again += 1
                stream.cancel()
                continue
            sent = await self.send(request, route_headers)
            return await self.finish(stream, sent)

    async def send(self, request: http1.Message, route_headers: dict[str, str]) -> Sent:
        """Send the request to the endpoints in turn until one has processed it."""
        sent, max_attempts = Sent(), 1 + int(route_headers["x-envoy-max-retries"])
        deadline = time.monotonic() + float(route_headers["x-envoy-upstream-rq-timeout-ms"]) / 1000
        endpoints = [self.stuck] if self.stuck else route_headers[DESTINATION].split(",")
        forwarded = {
            name: value
            for name, value in request.headers.items()
            if name not in UNFORWARDED_HEADERS
        }
        headers = forwarded | {"request-timeout": route_headers["request-timeout"]}
        data = http1.request(request.start_line[0], request.start_line[1], headers, request.body)
        for endpoint in endpoints[:max_attempts]:
            sent.attempts += 1
            sent.served, sent.answer = endpoint, None
            try:
                await self.attempt(
                    sent, request.headers.get("request-id", ""), endpoint, data, deadline
                )
            except TimeoutError:
                sent.flags, sent.details = UT, "response_timeout"
                break
            if sent.answer is not None:
                sent.flags, sent.details = 0, "via_upstream"
                if sent.answer.headers.get("not-started") != "1":
                    break
        return sent

    async def attempt(
        self, sent: Sent, request_id: str, endpoint: str, data: bytes, deadline: float
    ) -> None:
        """Send one attempt and record its outcome in `sent`.

        Raises TimeoutError at the deadline, in s on the monotonic clock.
        """
        try:
            async with asyncio.timeout(
                min(CONNECT_TIMEOUT_S, max(0.0, deadline - time.monotonic()))
            ):
                reader, writer = await self.connections.acquire(endpoint)
        except (OSError, TimeoutError):
            sent.flags, sent.details = (
                UF,
                "upstream_reset_before_response_started{connection_failure}",
            )
            return
        self.sent.append((request_id, endpoint, time.monotonic()))
        try:
            writer.write(data)
            async with asyncio.timeout(max(0.0, deadline - time.monotonic())):
                sent.answer = await http1.read_message(reader)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            writer.close()
            sent.flags = UC
            sent.details = "upstream_reset_before_response_started{connection_termination}"
        except BaseException:
            writer.close()
            raise
        else:
            self.connections.release(endpoint, reader, writer)

    async def finish(self, stream: Any, sent: Sent) -> bytes:
        """Report the outcome in the response phase and return the client's response."""
        if sent.answer is not None:
            status, headers, body = sent.answer.status, sent.answer.headers, sent.answer.body
        else:
            status, headers, body = (504 if sent.flags == UT else 503), {}, b""
        forwarded = {
            name: value for name, value in headers.items() if name not in UNFORWARDED_HEADERS
        }
        verdict = await stream.respond(
            status,
            forwarded,
            served=sent.served,
            response_flags=sent.flags,
            response_code_details=sent.details,
            upstream_address=sent.served,
            upstream_request_attempt_count=sent.attempts,
        )
        await stream.half_close()
        if verdict.HasField("immediate_response"):
            immediate = verdict.immediate_response
            return http1.response(immediate.status.code, told_headers(verdict), immediate.body)
        status = int(told_headers(verdict).get(":status", status))
        return http1.response(status, forwarded, body)
