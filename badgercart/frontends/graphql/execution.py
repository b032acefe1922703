"""Executes one plan: its parts become requests to the pipeline, and their results one response.

The parts of a query are executed concurrently, those of a mutation one after the other. A part that
is shed or fails becomes an error in its place. A mutation starts no further part once its client
has left, or once an error has made all data of its response null.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from badgercart.core.ports import IncomingRequest, UpstreamResponse, UpstreamTransport
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.frontends.graphql.merge import PartOutcome, merge_outcomes
from badgercart.frontends.graphql.outcomes import GraphqlReply
from badgercart.frontends.graphql.planner import Part, Plan
from badgercart.frontends.graphql.requests import graphql_error
from badgercart.upstream.exchange import UpstreamRequest


@dataclass(slots=True)
class PartRequest:
    """A part as it is handed to the request pipeline."""

    part: Part
    message: UpstreamRequest
    class_index: int
    tenant: int
    affinity_key: int
    deadline_ms: float
    # The Request-Id that the server gets.
    request_name: bytes = b""


class PartCall:
    """The execution of one part: the frontend that the pipeline answers for it.

    The transport stores the replies of servers in it.
    """

    def __init__(self, execution: Execution, number: int, request: PartRequest) -> None:
        self.execution, self.number, self.request = execution, number, request
        self.request_id = 0
        self.response_keys = {root.response_key for root in request.part.roots}
        self.last_reply: GraphqlReply | None = None
        self.done = False

    def on_response(self, answer: UpstreamResponse) -> None:
        """End the part with the last reply."""
        reply = self.last_reply
        assert reply is not None  # the transport has stored it
        if reply.data is None and not reply.errors:
            self.finish(
                replacement_error=graphql_error("the server can't take this", "SERVER_REFUSED")
            )
        else:
            self.finish(reply)

    def on_shed(self, retry_after_ms: float) -> None:
        """End a part that was shed; the client may retry after `retry_after_ms`."""
        if self.has_data():
            self.finish(self.last_reply)
            return
        self.execution.retry_delays_ms.append(retry_after_ms)
        extensions = {"retryAfter": round(retry_after_ms / 1000, 3)} if retry_after_ms else {}
        self.finish(
            replacement_error=graphql_error(
                "refused: trying again does no harm", "REFUSED", **extensions
            )
        )

    def on_failure(self, internal_error: bool) -> None:
        """End a part that failed; `internal_error`: by an error of the node itself."""
        if self.has_data():
            self.finish(self.last_reply)
            return
        code = "INTERNAL_SERVER_ERROR" if internal_error else "FAILED"
        self.finish(replacement_error=graphql_error("failed: it may have run", code))

    def client_is_gone(self) -> bool:
        """Return whether the client has left."""
        return self.execution.client_is_gone()

    def has_data(self) -> bool:
        """Return whether the last reply has data: data with errors is worth more than none."""
        return self.last_reply is not None and self.last_reply.data is not None

    def finish(
        self, reply: GraphqlReply | None = None, replacement_error: dict[str, Any] | None = None
    ) -> None:
        """End the part with a reply, or with the error that replaces it."""
        self.done = True
        part = self.request.part
        if reply is None:
            outcome = PartOutcome(part.roots, part, replacement_error=replacement_error)
        else:
            outcome = PartOutcome(part.roots, part, reply.data, reply.errors)
        self.execution.part_ended(self.number, outcome)


class Execution:
    """The execution of one operation.

    `on_end` gets the response and, if all parts were shed, the shortest retry delay (ms).
    """

    def __init__(
        self,
        plan: Plan,
        requests: list[PartRequest],
        local_outcome: PartOutcome | None,
        pipeline: RequestPipeline,
        transport: UpstreamTransport,
        on_end: Callable[[dict[str, Any], float | None], None],
        client_is_gone: Callable[[], bool],
    ) -> None:
        """`client_is_gone` returns whether the client has left, even if nobody noticed it yet."""
        self.plan, self.pipeline, self.transport, self.on_end, self.client_is_gone = (
            plan,
            pipeline,
            transport,
            on_end,
            client_is_gone,
        )
        self.calls = [PartCall(self, number, request) for number, request in enumerate(requests)]
        self.outcomes: list[PartOutcome | None] = [None] * len(requests)
        self.local_outcome = local_outcome
        self.retry_delays_ms: list[float] = []
        self.started_parts = 0
        self.is_starting = self.is_over = False

    def start(self) -> None:
        """Start all parts of a query, or the first part of a mutation."""
        if self.plan.serial:
            self.start_serial_parts()
        else:
            self.is_starting = True
            while self.started_parts < len(self.calls):
                self.start_next_part()
            self.is_starting = False
        self.respond_if_complete()

    def start_serial_parts(self) -> None:
        """Start parts one after the other, as long as each ends immediately."""
        if self.is_starting:
            return
        self.is_starting = True
        while (
            not self.is_over
            and self.started_parts < len(self.calls)
            and not self.has_open_parts()
            and not self.data_is_null()
        ):
            self.start_next_part()
        self.is_starting = False

    def has_open_parts(self) -> bool:
        """Return whether a part has started and not ended."""
        return any(not call.done for call in self.calls[: self.started_parts])

    def data_is_null(self) -> bool:
        """Return whether an error made all data null: then no further part starts."""
        outcomes = [outcome for outcome in self.outcomes if outcome is not None]
        return any(
            root.non_null and (outcome.data is None or outcome.data.get(root.response_key) is None)
            for outcome in outcomes
            for root in outcome.roots
        )

    def start_next_part(self) -> None:
        """Hand the next part to the request pipeline."""
        call = self.calls[self.started_parts]
        self.started_parts += 1
        call.request_id = self.pipeline.next_request_id()
        request = call.request
        incoming = IncomingRequest(
            request.class_index,
            request.tenant,
            request.affinity_key,
            request.deadline_ms,
            call,
            request_name=request.request_name,
        )
        self.pipeline.accept(call.request_id, incoming, call, self.transport)

    def part_ended(self, number: int, outcome: PartOutcome) -> None:
        """Record the result of a part; start the next part of a mutation."""
        self.outcomes[number] = outcome
        if self.plan.serial:
            self.start_serial_parts()
        self.respond_if_complete()

    def respond_if_complete(self) -> None:
        """Respond once all started parts have ended and no further part will start."""
        if self.is_over or self.is_starting or self.has_open_parts():
            return
        if self.started_parts < len(self.calls) and not self.data_is_null():
            return
        self.is_over = True
        outcomes = [outcome for outcome in self.outcomes if outcome is not None]
        for call in self.calls[self.started_parts :]:
            replacement_error = graphql_error(
                "not begun: an error ahead of it took all data", "NOT_STARTED"
            )
            outcomes.append(
                PartOutcome(
                    call.request.part.roots, call.request.part, replacement_error=replacement_error
                )
            )
        all_shed = bool(self.calls) and len(self.retry_delays_ms) == self.started_parts == len(
            self.calls
        )
        if self.local_outcome is not None:
            outcomes.append(self.local_outcome)
        response = merge_outcomes(self.plan, outcomes)
        if all_shed and not self.plan.local_roots:
            # No part was executed: the request as a whole is shed.
            response = {"errors": response["errors"]}
        self.on_end(response, min(self.retry_delays_ms) if all_shed else None)

    def cancel(self) -> None:
        """Cancel the open parts of a client that has left, without a response."""
        self.is_over = True
        for call in self.calls[: self.started_parts]:
            if not call.done:
                call.done = True
                self.pipeline.cancel_request(call.request_id)
