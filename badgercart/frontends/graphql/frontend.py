"""The GraphQL front on the join: HTTP in, parts out over connections of its own."""

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
from badgercart.core.ports import AttemptRequest as Attempt
from badgercart.core.ports import UpstreamResponse
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.core.requests import describe_unknown_tenant
from badgercart.frontends.graphql.documents import Documents, Rejected
from badgercart.frontends.graphql.execution import Execution, Order, PartCall
from badgercart.frontends.graphql.log_events import LISTENING, PLAN_FAILED
from badgercart.frontends.graphql.mapping import read_schema
from badgercart.frontends.graphql.merge import Outcome
from badgercart.frontends.graphql.outcomes import read_reply
from badgercart.frontends.graphql.planner import Plan, Planner
from badgercart.frontends.graphql.requests import (
    RESPONSE_JSON,
    Asked,
    HttpError,
    bad_request,
    error,
    media_type,
    read_get,
    read_post,
    status_of,
)
from badgercart.frontends.graphql.settings import GraphqlSettings
from badgercart.frontends.http.clients import ClientConnection, Listener
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

MAX_KEY = 256  # bytes of a client's idempotency key


@dataclass(slots=True)
class GraphqlRequest(ClientRequest):
    """A request as HTTP has it; what it asks is read when its turn comes."""

    method: str
    target: str
    content_type: str | None
    accept: str | None
    client_key: str


class GraphqlCarrier:
    """The server pool, with replies read as GraphQL: an error inside a 200 is what it is."""

    def __init__(self, join: RequestPipeline) -> None:
        self.join = join
        self.calls: dict[tuple[int, int], PartCall] = {}
        self.pool: ServerPool

    def send(self, order: Attempt) -> None:
        call: PartCall = order.payload
        self.calls[order.request_id, order.attempt] = call
        self.pool.send(
            Attempt(
                order.request_id,
                order.attempt,
                order.endpoint_id,
                order.timeout_ms,
                call.order.message,
            )
        )

    def cancel(self, request_id: int, number: int) -> None:
        self.pool.cancel(request_id, number)

    def abandon_attempt(self, request_id: int, number: int) -> None:
        self.pool.abandon_attempt(request_id, number)

    def ended(
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
        call = self.calls.pop((request_id, attempt_number), None)
        if response is None or call is None:
            self.join.attempt_ended(request_id, attempt_number, endpoint_id, result, elapsed_ms)
            return
        reply = read_reply(response.status, result is AttemptResult.FULL, response.body, call.keys)
        if reply.data is not None or reply.final or call.reply is None:
            call.reply = reply
        # To the join: served, the request's own fault, or neither.
        status = 200 if reply.result is AttemptResult.OK else 400 if reply.final else 500
        self.join.attempt_ended(
            request_id,
            attempt_number,
            endpoint_id,
            reply.result,
            elapsed_ms,
            UpstreamResponse(status),
        )


class GraphqlFront:
    """A listener for GraphQL clients and the connections to GraphQL dispatch servers."""

    def __init__(
        self,
        config: Config,
        settings: GraphqlSettings,
        join: RequestPipeline,
        roster: EndpointTable,
        loop: asyncio.AbstractEventLoop,
        share: float = 1.0,  # of the descriptors that clients and servers have
        parts: int = 0,  # others in the process, which have descriptors of their own
        folder: Path = Path(),  # what the settings' files are relative to
    ) -> None:
        self.config, self.settings, self.join, self.roster = config, settings, join, roster
        self.schema = read_schema((folder / settings.schema_file).read_text("utf-8"))
        allowed = None
        if settings.allow_list is not None:
            allowed = json.loads((folder / settings.allow_list).read_bytes())
        self.planner = Planner(self.schema, settings.by_field)
        self.documents = Documents(
            self.schema,
            self.planner,
            settings.limits,
            settings.cache_bytes,
            settings.introspection,
            allowed,
        )
        self.classes = {name.decode(): number for name, number in config.classes.items()}
        self.effects = [cls.idempotency for cls in config.settings.classes]
        self.deadline = config.longest_deadline_ms
        self.stopping = False
        self.pages: Mapping[bytes, OperatorPage] = {}
        self.last = 0
        self.open: dict[int, Execution] = {}
        clients, servers = DescriptorBudget.for_limit(config.sockets, other_components=parts).split(
            share
        )
        self.carrier = GraphqlCarrier(join)
        self.pool = self.carrier.pool = ServerPool(
            loop,
            config.dial_timeout,
            config.idle_timeout,
            servers,
            self.carrier.ended,
            source_address=config.source,
            is_awaited=join.is_awaited,
        )
        roster.on_change.append(self.pool.update)
        self.listener = Listener(loop, settings.listen, self, clients, self.read, bad_request)

    @property
    def healthy(self) -> bool:
        return self.roster.has_update and not self.roster.suspended

    # From the listener.

    def read(
        self, method: bytes, url: bytes, headers: RequestHeaders, body: bytes
    ) -> ClientRequest:
        """What HTTP itself says of a request. The rest is read in its turn, and answered in
        words."""
        if url.partition(b"?")[0] != self.settings.path.encode():
            raise BadRequestError(404, f"GraphQL is served at {self.settings.path}")
        if method not in (b"GET", b"POST"):
            raise BadRequestError(405, "GraphQL is asked by GET or POST", b"Allow: GET, POST\r\n")
        tenant = self.config.tenant_index(headers.tenant)
        if headers.fault:
            raise BadRequestError(400, headers.fault)
        if tenant is None:
            raise BadRequestError(400, describe_unknown_tenant(headers.tenant))
        if len(headers.idempotency_key or b"") > MAX_KEY:
            raise BadRequestError(400, f"Idempotency-Key is over {MAX_KEY} bytes")
        more: dict[bytes, bytes] = {}
        for line in headers.forwarded_lines:
            name, _, value = line.partition(b":")
            if (lower := name.lower()) in (b"accept", b"content-type"):
                more[lower] = more[lower] + b"," + value.strip() if lower in more else value.strip()
        self.last += 1
        accept, content_type = more.get(b"accept"), more.get(b"content-type")
        return GraphqlRequest(
            message=UpstreamRequest(b"", body),
            request_name=headers.request_id or b"g-%d" % self.last,
            class_index=0,
            tenant=tenant,
            key=0,
            sent_ms=now_ms(),
            timeout_ms=headers.timeout_ms if headers.timeout_ms is not None else self.deadline,
            expected_work_ms=0.0,
            is_client_retry=headers.is_client_retry,
            method=method.decode(),
            target=url.decode("latin-1"),
            content_type=content_type.decode("latin-1") if content_type is not None else None,
            accept=accept.decode("latin-1") if accept is not None else None,
            client_key=(headers.idempotency_key or b"").decode("latin-1"),
        )

    def handle_request(self, client: ClientConnection, request: ClientRequest) -> None:
        assert isinstance(request, GraphqlRequest)
        media = RESPONSE_JSON
        try:
            media = media_type(request.accept)
            asked = self.asked(request)
            plan, operation, document = self.documents.plan(asked, request.client_key)
            if asked.by_get and operation.operation.value != "query":
                raise HttpError(405, "a mutation can't be sent by GET", "POST")
            orders = self.orders(plan, request)
        except HttpError as bad:
            allow = f"Allow: {bad.allow}\r\n".encode() if bad.allow else b""
            told = {"errors": [error(str(bad), "BAD_REQUEST")]}
            client.respond(bad.status, json.dumps(told).encode(), media.encode(), allow)
            return
        except Rejected as rejected:
            told = {"errors": rejected.errors}
            client.respond(status_of(media, told), json.dumps(told).encode(), media.encode())
            return
        except Exception:
            # One request must not take the node down with it.
            PLAN_FAILED(True, request=request.request_name.decode("latin-1"))
            client.on_failure(broken=True)
            return
        client.request_id = number = self.join.next_request_id()

        def on_end(told: dict[str, Any], wait: float | None) -> None:
            self.open.pop(number, None)
            status = status_of(media, told, refused=wait is not None)
            after = b"Retry-After: %.3f\r\n" % (wait / 1000) if wait else b""
            client.respond(status, json.dumps(told).encode(), media.encode(), after)

        local = self.local(plan, operation, document, asked) if plan.local else None
        execution = Execution(
            plan, orders, local, self.join, self.carrier, on_end, client.client_is_gone
        )
        self.open[number] = execution
        execution.start()

    def asked(self, request: GraphqlRequest) -> Asked:
        if request.method == "GET":
            if request.message.body:
                raise HttpError(400, "a GET has no body")
            return read_get(request.target)
        return read_post(request.content_type, request.message.body)

    def orders(self, plan: Plan, request: GraphqlRequest) -> list[Order]:
        """The parts as requests to the core. Raises Rejected where one lacks its key."""
        due = request.sent_ms + request.timeout_ms - RESPONSE_MARGIN_MS
        return [
            Order(
                part=part,
                message=self.message(plan, number, request),
                cls=self.classes[part.cls],
                tenant=request.tenant,
                key=stable_id(part.affinity.encode(), self.config.key_secret)
                if part.affinity
                else 0,
                due=due,
                name=b"%b.%d" % (request.request_name, number),
            )
            for number, part in enumerate(plan.parts)
        ]

    def message(self, plan: Plan, number: int, request: GraphqlRequest) -> UpstreamRequest:
        part = plan.parts[number]
        lines = [
            f"POST {self.settings.path} HTTP/1.1\r\nHost: backend.local\r\n".encode(),
            b"Content-Type: application/json\r\n",
            b"Accept: application/graphql-response+json, application/json\r\n",
            b"Request-Id: %b.%d\r\n" % (request.request_name, number),
        ]
        if self.effects[self.classes[part.cls]] is Idempotency.KEYED:
            if not part.key:
                words = f"{part.roots[0].response_key} needs an idempotency key"
                raise Rejected([error(words, "BAD_USER_INPUT")])
            lines.append(f"Idempotency-Key: {part.key}\r\n".encode())
        for name, tenant in self.config.tenants.items():
            if tenant == request.tenant:
                lines.append(b"Tenant: %b\r\n" % name)
        body = json.dumps({"query": part.document, "variables": part.variables}).encode()
        lines.append(b"Content-Length: %d\r\n" % len(body))
        return UpstreamRequest(b"".join(lines), body)

    def local(
        self, plan: Plan, operation: OperationDefinitionNode, document: Any, asked: Asked
    ) -> Outcome:
        """`__typename` and introspection: they concern no server."""
        fragments = {
            d.name.value: d for d in document.definitions if isinstance(d, FragmentDefinitionNode)
        }
        part, needed = self.planner.document(operation, plan.local, fragments)
        variables = {name: asked.variables[name] for name in needed if name in asked.variables}
        done = execute_sync(self.schema, parse(print_ast(part)), variable_values=variables)
        return Outcome(plan.local, None, done.data, [dict(e.formatted) for e in done.errors or ()])

    def cancel_request(self, request_id: int) -> None:
        if (execution := self.open.pop(request_id, None)) is not None:
            execution.withdraw()

    # Start and stop.

    def start(self) -> None:
        self.listener.start()
        host, port = self.listener.address
        LISTENING(host=host, port=port, path=self.settings.path)

    async def drain(self, until: float) -> None:
        """Take what still comes and answer all that is held, until then (ms) at most."""
        self.stopping = True
        await self.listener.drain(until)

    def close(self) -> None:
        self.listener.close()
