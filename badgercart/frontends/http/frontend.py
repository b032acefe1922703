"""The HTTP front on the join: its clients' requests go out over the server pool."""

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
from badgercart.frontends.http.clients import ClientConnection, Listener
from badgercart.frontends.http.log_events import HANDING_OVER, LISTENING, STOPPING
from badgercart.frontends.http.requests import (
    ClientRequest,
    Page,
    Words,
    no_words,
    platform_requests,
)
from badgercart.upstream.connection_pool import ServerPool

LEAST = 8  # descriptors on either side, beside another process


class HttpFront:
    """A listener for HTTP clients and the connections to the servers, within one limit of
    descriptors."""

    def __init__(
        self,
        config: Config,
        join: RequestPipeline,
        roster: EndpointTable,
        loop: asyncio.AbstractEventLoop,
        share: float = 1.0,  # of the descriptors that clients and servers have
        parts: int = 0,  # others in the process, which have descriptors of their own
        pages: Mapping[bytes, Page] | None = None,  # what operators may ask for, by path
        words: Words = no_words,  # in which requests that can't be taken are told why
    ) -> None:
        self.config = config
        self.join = join
        self.roster = roster
        self.stopping = False
        ledger = DescriptorBudget.for_limit(config.sockets, config.console is not None, parts)
        self.room = clients, servers = ledger.split(share)
        self.bulk = MemoryBudget(budget_bytes(config.memory_mb))
        self.pool = ServerPool(
            loop, config.dial_timeout, config.idle_timeout, servers, join.attempt_ended,
            join.response_started, self.bulk, config.source, join.is_awaited,
        )  # fmt: skip
        roster.on_change.append(self.pool.update)
        read = platform_requests(config, streams=True)
        self.listener = Listener(loop, config.listen, self, clients, read, words, self.bulk)
        self.pages: Mapping[bytes, Page] = {} if pages is None else pages

    @property
    def healthy(self) -> bool:
        return self.roster.has_update and not self.roster.suspended

    def take(self, client: ClientConnection, request: ClientRequest) -> None:
        client.request_id = self.join.next_request_id()
        upload = request.message.upload
        whole = upload is None or upload.complete
        intake = IncomingRequest(
            class_index=request.cls,
            tenant=request.tenant,
            key=request.key,
            deadline_ms=self.due(request) if whole else math.inf,
            payload=request.message,
            expected_work_ms=request.hint,
            is_client_retry=request.repeat,
            request_name=request.name,
            complete=whole,
            response_window_ms=request.timeout - RESPONSE_MARGIN_MS,
        )
        self.join.accept(client.request_id, intake, client, self.pool)

    def due(self, request: ClientRequest) -> float:
        return request.sent + request.timeout - RESPONSE_MARGIN_MS

    def whole(self, client: ClientConnection, request: ClientRequest) -> None:
        self.join.request_completed(client.request_id, self.due(request))

    def withdraw(self, request_id: int) -> None:
        self.join.cancel_request(request_id)

    def start(self, inherited: socket.socket | None = None, opened: bool = True) -> None:
        """Serve on a socket that listens already, or on the configured address; once opened, if not
        now."""
        self.listener.start(inherited, opened)
        host, port = self.listener.address
        LISTENING(name=self.config.name, host=host, port=port)

    def retune(self, config: Config) -> None:
        """Go by another configuration: requests that have come in whole keep what was read of
        them."""
        self.config = config
        self.listener.read = platform_requests(config, streams=True)
        self.pool.set_timeouts(config.dial_timeout, config.idle_timeout)

    def keep_to(self, part: float) -> None:
        """Hold only this part of the descriptors, from now on."""
        clients, servers = (max(int(room * part), min(LEAST, room)) for room in self.room)
        self.bulk.total_bytes = int(budget_bytes(self.config.memory_mb) * part)
        self.listener.keep_to(clients)
        self.pool.set_max_connections(servers)

    async def drain(self, until: float) -> None:
        """Take what still comes and answer all that is held, until then (ms) at most."""
        self.stopping = True
        STOPPING(held=len(self.join.in_flight))
        await self.listener.drain(until)

    async def hand_over(self, until: float) -> None:
        """Leave new connections to another process, and answer on those that are here, until then
        (ms)."""
        self.stopping = True
        HANDING_OVER(held=len(self.join.in_flight), connections=len(self.listener.connections))
        await self.listener.hand_over(until)

    def close(self) -> None:
        self.listener.close()
