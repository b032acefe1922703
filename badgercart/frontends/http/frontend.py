"""The HTTP frontend: its clients' requests go through the pipeline to the server pool."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable, Collection, Mapping

from badgercart.config import Config
from badgercart.core.clock import RESPONSE_MARGIN_MS, now_ms
from badgercart.core.descriptors import DescriptorBudget
from badgercart.core.endpoint_table import EndpointTable
from badgercart.core.memory_budget import MemoryBudget, budget_bytes, connection_limit
from badgercart.core.memory_watch import MemoryWatch, no_other_processes
from badgercart.core.ports import IncomingRequest
from badgercart.core.request_ledger import RequestLedger
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.frontends.http.client_connection import ClientConnection
from badgercart.frontends.http.clients import DRAIN_CHECK_INTERVAL_S, Listener
from badgercart.frontends.http.log_events import (
    HANDING_OVER,
    LISTENING,
    REQUEST_REPEATED,
    STOPPING,
)
from badgercart.frontends.http.requests import (
    ClientRequest,
    ErrorBodyFormatter,
    OperatorPage,
    empty_error_body,
    platform_request_reader,
)
from badgercart.upstream.connection_pool import ServerPool

# File descriptors that clients and servers have each at least, beside another process.
MIN_SHARED_DESCRIPTORS = 8


class HttpFrontend:
    """A listener for HTTP clients and a pool of connections to servers.

    Both share one limit of file descriptors.

    Args:
        config: the node's configuration.
        pipeline: where requests go.
        endpoint_table: the endpoints, whose changes the server pool follows.
        loop: the event loop.
        share: the part of the file descriptors for clients and servers (0 to 1).
        other_components: how many other components with own descriptors the process has.
        pages: pages for operators, by path.
        error_body: formats the body of an error response.
        ledger: the requests that must not run twice; None: those of this process.
    """

    def __init__(
        self,
        config: Config,
        pipeline: RequestPipeline,
        endpoint_table: EndpointTable,
        loop: asyncio.AbstractEventLoop,
        share: float = 1.0,
        other_components: int = 0,
        pages: Mapping[bytes, OperatorPage] | None = None,
        error_body: ErrorBodyFormatter = empty_error_body,
        ledger: RequestLedger | None = None,
    ) -> None:
        self.config = config
        self.streamed_class_indexes = config.streamed_class_indexes
        self.pipeline = pipeline
        self.endpoint_table = endpoint_table
        self.stopping = False
        self.ledger = ledger or RequestLedger()
        pipeline.observers += (self.ledger,)
        descriptors = DescriptorBudget.for_limit(
            config.sockets, config.console is not None, other_components
        )
        clients, servers = descriptors.split(share)
        clients = min(clients, connection_limit(config.memory_mb))
        self.descriptor_limits = clients, servers
        self.memory_budget = MemoryBudget(budget_bytes(config.memory_mb))
        self.memory_watch = MemoryWatch(config.memory_mb, self.memory_budget, loop)
        self.pool = ServerPool(
            loop, config.dial_timeout, config.idle_timeout, servers, pipeline.attempt_ended,
            pipeline.response_started, self.memory_budget, config.source, pipeline.is_awaited,
            pipeline.latest_write_ms, pipeline.response_deadline_ms, pipeline.is_cut_short,
        )  # fmt: skip
        endpoint_table.on_change.append(self.pool.update)
        reader = platform_request_reader(config, stream_responses=True)
        self.listener = Listener(
            loop, config.listen, self, clients, reader, error_body, self.memory_budget
        )
        self.pages: Mapping[bytes, OperatorPage] = {} if pages is None else pages

    @property
    def healthy(self) -> bool:
        """Whether requests can be served: there is an endpoint list that is not suspended."""
        return self.endpoint_table.has_update and not self.endpoint_table.suspended

    def handle_request(self, client: ClientConnection, request: ClientRequest) -> None:
        """Hand a request to the pipeline, unless it may have run already."""
        policy, age_ms = self.pipeline.policy, None
        must_not_run_twice = not policy.is_idempotent(request.class_index)
        if must_not_run_twice:
            age_ms = self.ledger.begin(request.request_name, now_ms())
            if age_ms is not None and not policy.accepts_repeat(request.class_index, age_ms):
                REQUEST_REPEATED(request_name=request.request_name, age=int(age_ms))
                client.reject(409, "a request of this Request-Id may have run")
                return
        client.request_id = self.pipeline.next_request_id()
        upload = request.message.upload
        complete = upload is None or upload.arrived
        incoming = IncomingRequest(
            class_index=request.class_index,
            tenant=request.tenant,
            key=request.key,
            deadline_ms=self.deadline_ms(request) if complete else math.inf,
            payload=request.message,
            expected_work_ms=request.expected_work_ms,
            is_client_retry=request.is_client_retry,
            request_name=request.request_name,
            complete=complete,
            response_window_ms=request.timeout_ms - RESPONSE_MARGIN_MS,
            streams_response=request.class_index in self.streamed_class_indexes,
            is_recorded=must_not_run_twice and age_ms is None,
        )
        self.pipeline.accept(client.request_id, incoming, client, self.pool)

    def deadline_ms(self, request: ClientRequest) -> float:
        """Return the latest time for a response to be sent."""
        return request.sent_ms + request.timeout_ms - RESPONSE_MARGIN_MS

    def request_completed(self, client: ClientConnection, request: ClientRequest) -> None:
        """Handle that the body of a request has been received completely."""
        self.pipeline.request_completed(client.request_id, self.deadline_ms(request))

    def cancel_request(self, request_id: int) -> None:
        """Cancel a request whose client has left."""
        self.pipeline.cancel_request(request_id)

    def start(self, inherited: socket.socket | None = None, opened: bool = True) -> None:
        """Listen on an inherited socket, or else on the configured address.

        Clients wait until the listener is opened.
        """
        self.listener.start(inherited, opened)
        host, port = self.listener.address
        LISTENING(name=self.config.name, host=host, port=port)

    def limit_memory(
        self, other_processes: Callable[[], Collection[int]] = no_other_processes
    ) -> None:
        """Keep this process, with others that share its limit, inside its memory limit."""
        self.memory_watch.limit_process(self.relieve_memory, other_processes)

    def relieve_memory(self, wanted_bytes: int) -> int:
        """End what holds memory without progress; return what that was in bytes."""
        return self.pool.relieve_memory(wanted_bytes) + self.listener.relieve_memory(wanted_bytes)

    def apply_config(self, config: Config) -> None:
        """Use another configuration. Requests that are already received keep the old one."""
        self.config = config
        self.streamed_class_indexes = config.streamed_class_indexes
        self.listener.request_reader = platform_request_reader(config, stream_responses=True)
        self.pool.set_timeouts(config.dial_timeout, config.idle_timeout)

    def set_resource_share(self, share: float) -> None:
        """Use only this part (0 to 1) of the file descriptors and the memory from now on."""
        clients, servers = (
            max(int(limit * share), min(MIN_SHARED_DESCRIPTORS, limit))
            for limit in self.descriptor_limits
        )
        self.memory_budget.total_bytes = int(budget_bytes(self.config.memory_mb) * share)
        self.listener.set_max_connections(clients)
        self.pool.set_max_connections(servers)

    async def drain(self, deadline_ms: float) -> None:
        """Accept requests for a while, then answer all; ends at `deadline_ms` at the latest."""
        self.stopping = True
        STOPPING(held=len(self.pipeline.in_flight))
        await self.listener.drain(deadline_ms)

    async def hand_over(self, deadline_ms: float) -> None:
        """Leave new connections to another process, and answer those that are open.

        It ends at `deadline_ms` at the latest.
        """
        self.stopping = True
        HANDING_OVER(held=len(self.pipeline.in_flight), connections=len(self.listener.connections))
        await self.listener.hand_over(deadline_ms)

    async def finish_responses(self, limit_ms: float) -> None:
        """Let servers finish the responses that are being streamed; ends at `limit_ms` at the latest."""
        while self.has_unfinished_response and now_ms() < limit_ms:
            self.listener.close_idle()
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    @property
    def has_unfinished_response(self) -> bool:
        """Whether a response is being streamed, or not all of one has been sent."""
        return self.memory_budget.stream_count > 0 or any(
            client.write_paused for client in self.listener.connections
        )

    def close(self) -> None:
        """Close the listener."""
        self.listener.close()
        self.memory_watch.close()
