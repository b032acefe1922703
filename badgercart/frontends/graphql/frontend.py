"""The GraphQL frontend: accepts HTTP requests, and sends their parts to dispatch servers.

It hands each part to the request pipeline, and has its own connections to servers.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from graphql import FragmentDefinitionNode, OperationDefinitionNode, execute_sync, parse, print_ast

from badgercart.config import Config
from badgercart.core.clock import RESPONSE_MARGIN_MS, now_ms
from badgercart.core.descriptors import DescriptorBudget
from badgercart.core.endpoint_table import EndpointTable
from badgercart.core.identifiers import stable_id
from badgercart.core.memory_budget import MemoryBudget, budget_bytes
from badgercart.core.piece_buffer import Body
from badgercart.core.ports import AttemptRequest, UpstreamResponse
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.core.requests import describe_unknown_tenant
from badgercart.frontends.graphql.documents import RequestPlanner, RequestRejectedError
from badgercart.frontends.graphql.execution import Execution, PartCall, PartRequest
from badgercart.frontends.graphql.log_events import LISTENING, PLAN_FAILED
from badgercart.frontends.graphql.mapping import read_schema
from badgercart.frontends.graphql.merge import PartOutcome
from badgercart.frontends.graphql.outcomes import classify_reply
from badgercart.frontends.graphql.planner import Plan, Planner
from badgercart.frontends.graphql.requests import (
    RESPONSE_JSON,
    HttpError,
    OperationRequest,
    encode_http_error,
    graphql_error,
    negotiate_media_type,
    read_get_request,
    read_post_request,
    response_status,
)
from badgercart.frontends.graphql.settings import GraphqlSettings
from badgercart.frontends.http.client_connection import ClientConnection
from badgercart.frontends.http.clients import Listener
from badgercart.frontends.http.requests import (
    BadRequestError,
    ClientRequest,
    OperatorPage,
    RequestHeaders,
)
from badgercart.policy.events import AttemptResult
from badgercart.policy.settings import Idempotency
from badgercart.upstream.connection_pool import ServerPool
from badgercart.upstream.exchange import UpstreamRequest

MAX_IDEMPOTENCY_KEY_BYTES = 256


@dataclass(slots=True)
class GraphqlRequest(ClientRequest):
    """An HTTP request; its GraphQL content is read only when it is handled."""

    method: str
    target: str
    content_type: str | None
    accept: str | None
    client_key: str


class GraphqlTransport:
    """Sends attempts through the server pool and classifies replies as GraphQL.

    An error in a successful HTTP response counts as an error.
    """

    def __init__(self, pipeline: RequestPipeline) -> None:
        self.pipeline = pipeline
        self.calls: dict[tuple[int, int], PartCall] = {}
        self.pool: ServerPool

    def send(self, attempt_request: AttemptRequest) -> None:
        """Send an attempt of a part."""
        call: PartCall = attempt_request.payload
        self.calls[attempt_request.request_id, attempt_request.attempt] = call
        self.pool.send(
            AttemptRequest(
                attempt_request.request_id,
                attempt_request.attempt,
                attempt_request.endpoint_id,
                attempt_request.timeout_ms,
                call.request.message,
            )
        )

    def cancel(self, request_id: int, number: int) -> None:
        """Stop waiting for an attempt."""
        self.pool.cancel(request_id, number)

    def abandon_attempt(self, request_id: int, number: int) -> None:
        """Abandon an attempt that has not been sent completely."""
        self.pool.abandon_attempt(request_id, number)

    def attempt_ended(
        self,
        request_id: int,
        attempt_number: int,
        endpoint_id: int,
        result: AttemptResult,
        elapsed_ms: float,
        response: UpstreamResponse | None = None,
        *,
        body_consumed: bool = False,
    ) -> None:
        """Classify the reply of an attempt, and report its result to the pipeline."""
        call = self.calls.pop((request_id, attempt_number), None)
        if response is None or call is None:
            self.pipeline.attempt_ended(request_id, attempt_number, endpoint_id, result, elapsed_ms)
            return
        reply = classify_reply(
            response.status, result is AttemptResult.FULL, response.body, call.response_keys
        )
        if reply.data is not None or reply.is_final or call.last_reply is None:
            call.last_reply = reply
        # The pipeline gets a status for: served, the request is at fault, or any other error.
        status = 200 if reply.result is AttemptResult.OK else 400 if reply.is_final else 500
        self.pipeline.attempt_ended(
            request_id,
            attempt_number,
            endpoint_id,
            reply.result,
            elapsed_ms,
            UpstreamResponse(status),
        )


class GraphqlFrontend:
    """A listener for GraphQL clients, and connections to GraphQL dispatch servers.

    `descriptor_share` is this frontend's share of the file descriptors for clients and servers.
    `other_components` is the number of components in the process with descriptors of their own.
    Paths in the settings are relative to `folder`.
    """

    def __init__(
        self,
        config: Config,
        settings: GraphqlSettings,
        pipeline: RequestPipeline,
        endpoint_table: EndpointTable,
        loop: asyncio.AbstractEventLoop,
        descriptor_share: float = 1.0,
        other_components: int = 0,
        folder: Path = Path(),
    ) -> None:
        self.config, self.settings, self.pipeline, self.endpoint_table = (
            config,
            settings,
            pipeline,
            endpoint_table,
        )
        self.schema = read_schema((folder / settings.schema_file).read_text("utf-8"))
        allowed_documents = None
        if settings.allow_list is not None:
            allowed_documents = json.loads((folder / settings.allow_list).read_bytes())
        self.planner = Planner(self.schema, settings.by_field)
        self.request_planner = RequestPlanner(
            self.schema,
            self.planner,
            settings.limits,
            settings.cache_bytes,
            settings.introspection,
            allowed_documents,
        )
        self.classes = {name.decode(): number for name, number in config.classes.items()}
        self.idempotency = [request_class.idempotency for request_class in config.settings.classes]
        self.default_timeout_ms = config.longest_deadline_ms
        self.stopping = False
        self.pages: Mapping[bytes, OperatorPage] = {}
        self.last_request_number = 0
        self.executions: dict[int, Execution] = {}
        max_clients, max_servers = DescriptorBudget.for_limit(
            config.sockets, other_components=other_components
        ).split(descriptor_share)
        self.transport = GraphqlTransport(pipeline)
        memory_budget = MemoryBudget(budget_bytes(config.memory_mb))
        self.pool = self.transport.pool = ServerPool(
            loop,
            config.dial_timeout,
            config.idle_timeout,
            max_servers,
            self.transport.attempt_ended,
            memory_budget=memory_budget,
            source_address=config.source,
            is_awaited=pipeline.is_awaited,
            latest_write_ms=pipeline.latest_write_ms,
        )
        endpoint_table.on_change.append(self.pool.update)
        self.listener = Listener(
            loop,
            settings.listen,
            self,
            max_clients,
            self.read_request,
            encode_http_error,
            memory_budget,
            streams_bodies=False,
        )

    @property
    def healthy(self) -> bool:
        """Whether there are endpoints and they are not suspended."""
        return self.endpoint_table.has_update and not self.endpoint_table.suspended

    def read_request(
        self, method: bytes, url: bytes, headers: RequestHeaders, body: Body
    ) -> ClientRequest:
        """Check the HTTP part of a request. Raises BadRequestError.

        The GraphQL part is checked in `handle_request`, which responds with GraphQL errors.
        """
        if url.partition(b"?")[0] != self.settings.path.encode():
            raise BadRequestError(404, f"GraphQL is served at {self.settings.path}")
        if method not in (b"GET", b"POST"):
            raise BadRequestError(405, "GraphQL is asked by GET or POST", b"Allow: GET, POST\r\n")
        tenant = self.config.tenant_index(headers.tenant)
        if headers.fault:
            raise BadRequestError(400, headers.fault)
        if tenant is None:
            raise BadRequestError(400, describe_unknown_tenant(headers.tenant))
        if len(headers.idempotency_key or b"") > MAX_IDEMPOTENCY_KEY_BYTES:
            raise BadRequestError(400, f"Idempotency-Key is over {MAX_IDEMPOTENCY_KEY_BYTES} bytes")
        selected: dict[bytes, bytes] = {}
        for line in bytes(headers.forwarded_lines).splitlines():
            name, _, value = line.partition(b":")
            if (lower := name.lower()) in (b"accept", b"content-type"):
                selected[lower] = (
                    selected[lower] + b"," + value.strip() if lower in selected else value.strip()
                )
        self.last_request_number += 1
        accept, content_type = selected.get(b"accept"), selected.get(b"content-type")
        return GraphqlRequest(
            message=UpstreamRequest(b"", body),
            request_name=headers.request_id or b"g-%d" % self.last_request_number,
            class_index=0,
            tenant=tenant,
            key=0,
            sent_ms=now_ms() - headers.waited_ms,
            timeout_ms=headers.timeout_ms
            if headers.timeout_ms is not None
            else self.default_timeout_ms,
            expected_work_ms=0.0,
            is_client_retry=headers.is_client_retry,
            method=method.decode(),
            target=url.decode("latin-1"),
            content_type=content_type.decode("latin-1") if content_type is not None else None,
            accept=accept.decode("latin-1") if accept is not None else None,
            client_key=(headers.idempotency_key or b"").decode("latin-1"),
        )

    def handle_request(self, client: ClientConnection, request: ClientRequest) -> None:
        """Plan a request and start its execution, or respond with its errors."""
        assert isinstance(request, GraphqlRequest)
        media_type = RESPONSE_JSON
        try:
            media_type = negotiate_media_type(request.accept)
            operation_request = self.read_operation(request)
            plan, operation, document = self.request_planner.plan(
                operation_request, request.client_key
            )
            if operation_request.is_get and operation.operation.value != "query":
                raise HttpError(405, "a mutation can't be sent by GET", "POST")
            part_requests = self.part_requests(plan, request)
        except HttpError as http_error:
            allow = f"Allow: {http_error.allow}\r\n".encode() if http_error.allow else b""
            response = {"errors": [graphql_error(str(http_error), "BAD_REQUEST")]}
            client.respond(
                http_error.status, json.dumps(response).encode(), media_type.encode(), allow
            )
            return
        except RequestRejectedError as rejected:
            response = {"errors": rejected.errors}
            client.respond(
                response_status(media_type, response),
                json.dumps(response).encode(),
                media_type.encode(),
            )
            return
        except Exception:
            # An error in planning one request must not stop the node.
            PLAN_FAILED(True, request=request.request_name.decode("latin-1"))
            client.on_failure(internal_error=True)
            return
        client.request_id = request_id = self.pipeline.next_request_id()

        def on_end(response: dict[str, Any], retry_delay_ms: float | None) -> None:
            self.executions.pop(request_id, None)
            status = response_status(media_type, response, shed=retry_delay_ms is not None)
            retry_header = (
                b"Retry-After: %.3f\r\n" % (retry_delay_ms / 1000) if retry_delay_ms else b""
            )
            client.respond(status, json.dumps(response).encode(), media_type.encode(), retry_header)

        local_outcome = (
            self.execute_locally(plan, operation, document, operation_request)
            if plan.local_roots
            else None
        )
        execution = Execution(
            plan,
            part_requests,
            local_outcome,
            self.pipeline,
            self.transport,
            on_end,
            client.client_is_gone,
        )
        self.executions[request_id] = execution
        execution.start()

    def read_operation(self, request: GraphqlRequest) -> OperationRequest:
        """Read the GraphQL request. Raises HttpError."""
        if request.method == "GET":
            if request.message.body:
                raise HttpError(400, "a GET has no body")
            return read_get_request(request.target)
        return read_post_request(request.content_type, bytes(request.message.body))

    def part_requests(self, plan: Plan, request: GraphqlRequest) -> list[PartRequest]:
        """Return the parts as requests to the pipeline.

        Raises RequestRejectedError where a part needs an idempotency key and has none.
        """
        deadline_ms = request.sent_ms + request.timeout_ms - RESPONSE_MARGIN_MS
        return [
            PartRequest(
                part=part,
                message=self.part_message(plan, number, request),
                class_index=self.classes[part.class_name],
                tenant=request.tenant,
                affinity_key=stable_id(part.affinity.encode(), self.config.key_secret)
                if part.affinity
                else 0,
                deadline_ms=deadline_ms,
                request_name=b"%b.%d" % (request.request_name, number),
            )
            for number, part in enumerate(plan.parts)
        ]

    def part_message(self, plan: Plan, number: int, request: GraphqlRequest) -> UpstreamRequest:
        """Return the HTTP request of a part. Raises RequestRejectedError."""
        part = plan.parts[number]
        lines = [
            f"POST {self.settings.path} HTTP/1.1\r\nHost: backend.local\r\n".encode(),
            b"Content-Type: application/json\r\n",
            b"Accept: application/graphql-response+json, application/json\r\n",
            b"Request-Id: %b.%d\r\n" % (request.request_name, number),
        ]
        if self.idempotency[self.classes[part.class_name]] is Idempotency.KEYED:
            if not part.idempotency_key:
                message = f"{part.roots[0].response_key} needs an idempotency key"
                raise RequestRejectedError([graphql_error(message, "BAD_USER_INPUT")])
            lines.append(f"Idempotency-Key: {part.idempotency_key}\r\n".encode())
        for name, tenant in self.config.tenants.items():
            if tenant == request.tenant:
                lines.append(b"Tenant: %b\r\n" % name)
        body = json.dumps({"query": part.document, "variables": part.variables}).encode()
        lines.append(b"Content-Length: %d\r\n" % len(body))
        return UpstreamRequest(b"".join(lines), body)

    def execute_locally(
        self,
        plan: Plan,
        operation: OperationDefinitionNode,
        document: Any,
        request: OperationRequest,
    ) -> PartOutcome:
        """Execute `__typename` and introspection fields, which need no server."""
        fragments = {
            fragment.name.value: fragment
            for fragment in document.definitions
            if isinstance(fragment, FragmentDefinitionNode)
        }
        local_document, variable_names = self.planner.part_document(
            operation, plan.local_roots, fragments
        )
        variables = {
            name: request.variables[name] for name in variable_names if name in request.variables
        }
        result = execute_sync(
            self.schema, parse(print_ast(local_document)), variable_values=variables
        )
        return PartOutcome(
            plan.local_roots,
            None,
            result.data,
            [dict(error.formatted) for error in result.errors or ()],
        )

    def cancel_request(self, request_id: int) -> None:
        """Cancel a request whose client has left."""
        if (execution := self.executions.pop(request_id, None)) is not None:
            execution.cancel()

    def start(self) -> None:
        """Listen for clients."""
        self.listener.start()
        host, port = self.listener.address
        LISTENING(host=host, port=port, path=self.settings.path)

    async def drain(self, deadline_ms: float) -> None:
        """Accept connections for a while longer, and serve open requests until `deadline_ms`."""
        self.stopping = True
        await self.listener.drain(deadline_ms)

    def close(self) -> None:
        """Close the listener."""
        self.listener.close()
