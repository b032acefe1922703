"""The HTTP frontend on the request pipeline: requests of its clients go out over a pool."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Mapping

from badgercart.config import Config
from badgercart.core.clock import RESPONSE_MARGIN_MS
from badgercart.core.descriptors import DescriptorBudget
from badgercart.core.endpoint_table import EndpointTable
from badgercart.core.memory_budget import MemoryBudget, budget_bytes
from badgercart.core.ports import IncomingRequest
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.frontends.http.client_connection import ClientConnection
from badgercart.frontends.http.error_bodies import ErrorBody, no_error_body
from badgercart.frontends.http.listener import Listener
from badgercart.frontends.http.log_events import HANDING_OVER, LISTENING, STOPPING
from badgercart.frontends.http.requests import ClientRequest, Page, platform_request_parser
from badgercart.upstream.connection_pool import PoolSettings
from badgercart.upstream.transport import AttemptCallbacks, HttpTransport

MIN_DESCRIPTORS = 8  # on either side, beside another process


class HttpFrontend:
    """A listener for HTTP clients and a pool of connections, within one limit of descriptors."""

    def __init__(
        self,
        config: Config,
        pipeline: RequestPipeline,
        endpoint_table: EndpointTable,
        loop: asyncio.AbstractEventLoop,
        share: float = 1.0,
        components: int = 0,
        pages: Mapping[bytes, Page] | None = None,
        error_body: ErrorBody = no_error_body,
    ) -> None:
        """Set up a frontend that does not listen yet.

        Args:
            config: the node's configuration.
            pipeline: what requests are handed to.
            endpoint_table: whose changes the pool follows.
            loop: what runs it.
            share: of the descriptors that clients and servers have, what this frontend may hold.
            components: how many others in the process have descriptors of their own.
            pages: what operators may ask the listener for, by path.
            error_body: words the responses to requests that can't be accepted.
        """
        self.config = config
        self.pipeline = pipeline
        self.endpoint_table = endpoint_table
        self.stopping = False
        self.pages: Mapping[bytes, Page] = {} if pages is None else pages
        budget = DescriptorBudget.for_roles(config.sockets, config.console is not None, components)
        self.descriptors = clients, servers = budget.split(share)
        self.memory_budget = MemoryBudget(budget_bytes(config.memory_mb))
        self.transport = HttpTransport(
            loop,
            PoolSettings(config.dial_timeout, config.idle_timeout, servers, config.source),
            AttemptCallbacks(
                pipeline.attempt_ended, pipeline.response_started, pipeline.is_awaited
            ),
            self.memory_budget,
        )
        endpoint_table.on_change.append(self.transport.pool.apply_endpoint)
        parser = platform_request_parser(config, accepts_streaming=True)
        self.listener = Listener(
            loop, config.listen, self, clients, parser, error_body, self.memory_budget
        )

    @property
    def is_healthy(self) -> bool:
        """Whether there are endpoints that requests may go to."""
        return self.endpoint_table.has_update and not self.endpoint_table.suspended

    # Called by the listener.

    def accept(self, client: ClientConnection, request: ClientRequest) -> None:
        """Hand a request to the pipeline, and give its connection the request's id."""
        client.request_id = self.pipeline.next_request_id()
        stream = request.upstream_request.body_stream
        complete = stream is None or stream.complete
        incoming = IncomingRequest(
            class_index=request.class_index,
            tenant=request.tenant,
            key=request.key,
            deadline=response_deadline(request) if complete else math.inf,
            payload=request.upstream_request,
            expected_work_ms=request.expected_work_ms,
            is_client_retry=request.is_client_retry,
            request_name=request.request_name,
            complete=complete,
            response_window_ms=request.timeout_ms - RESPONSE_MARGIN_MS,
        )
        self.pipeline.accept(client.request_id, incoming, client, self.transport)

    def request_completed(self, client: ClientConnection, request: ClientRequest) -> None:
        """Report that a request that was accepted before has been received whole."""
        self.pipeline.request_completed(client.request_id, response_deadline(request))

    def cancel(self, request_id: int) -> None:
        """Report that a request's client has gone."""
        self.pipeline.cancel_request(request_id)

    # Life.

    def start(self, inherited: socket.socket | None = None, is_open: bool = True) -> None:
        """Listen, on a socket that listens already where one is given.

        Unless `is_open`, connections are accepted only once the listener is opened.

        Raises:
            OSError: the configured address can't be had.
        """
        self.listener.start(inherited, is_open)
        host, port = self.listener.address
        LISTENING(name=self.config.name, host=host, port=port)

    def reconfigure(self, config: Config) -> None:
        """Go by another configuration; requests that were read keep what was read of them."""
        self.config = config
        self.listener.parse_request = platform_request_parser(config, accepts_streaming=True)
        self.transport.pool.reconfigure(config.dial_timeout, config.idle_timeout)

    def set_share(self, share: float) -> None:
        """Hold only this share of the descriptors and of memory from now on."""
        clients, servers = (
            max(int(number * share), min(MIN_DESCRIPTORS, number)) for number in self.descriptors
        )
        self.memory_budget.total_bytes = int(budget_bytes(self.config.memory_mb) * share)
        self.listener.set_limit(clients)
        self.transport.pool.set_limit(servers)

    async def drain(self, until: float) -> None:
        """Accept what still comes and answer all requests, until then (ms) at most."""
        self.stopping = True
        STOPPING(held=len(self.pipeline.in_flight.requests))
        await self.listener.drain(until)

    async def hand_over(self, until: float) -> None:
        """Leave new connections to another process and answer on the present ones, until then (ms)."""
        self.stopping = True
        HANDING_OVER(
            held=len(self.pipeline.in_flight.requests),
            connections=len(self.listener.table.connections),
        )
        await self.listener.hand_over(until)

    def close(self) -> None:
        """Stop listening at once."""
        self.listener.close()


def response_deadline(request: ClientRequest) -> float:
    """Return when a response to a request must go out at the latest (ms)."""
    return request.sent_ms + request.timeout_ms - RESPONSE_MARGIN_MS
