"""Carries out one plan: its parts become requests to the core, and their ends one response.

Parts of a query go side by side, those of a mutation one after the other. A part that is refused or
fails is an error in its place; a mutation whose client has gone, or whose response holds no data
any more, begins no further part.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from badgercart.core.ports import IncomingRequest, UpstreamResponse, UpstreamTransport
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.frontends.graphql.merge import Outcome, response
from badgercart.frontends.graphql.outcomes import Reply
from badgercart.frontends.graphql.planner import Part, Plan
from badgercart.frontends.graphql.requests import error
from badgercart.upstream.exchange import UpstreamRequest


@dataclass(slots=True)
class Order:
    """A part as it is to be handed to the core."""

    part: Part
    message: UpstreamRequest
    cls: int
    tenant: int
    key: int  # affinity
    due: float
    name: bytes = b""  # the Request-Id that its server gets


class PartCall:
    """One part on its way: the join's front for it, and what the carrier finds in its replies."""

    def __init__(self, execution: Execution, number: int, order: Order) -> None:
        self.execution, self.number, self.order = execution, number, order
        self.request_id = 0
        self.keys = {root.response_key for root in order.part.roots}
        self.reply: Reply | None = None  # the last one
        self.done = False

    def on_response(self, answer: UpstreamResponse) -> None:
        reply = self.reply
        assert reply is not None  # the carrier has read it
        if reply.data is None and not reply.errors:
            self.end(instead=error("the server can't take this", "SERVER_REFUSED"))
        else:
            self.end(reply)

    def on_shed(self, wait: float) -> None:
        if self.usable():
            self.end(self.reply)
            return
        self.execution.waits.append(wait)
        more = {"retryAfter": round(wait / 1000, 3)} if wait else {}
        self.end(instead=error("refused: trying again does no harm", "REFUSED", **more))

    def on_failure(self, broken: bool) -> None:
        if self.usable():
            self.end(self.reply)
            return
        code = "INTERNAL_SERVER_ERROR" if broken else "FAILED"
        self.end(instead=error("failed: it may have run", code))

    def client_is_gone(self) -> bool:
        return self.execution.gone()

    def usable(self) -> bool:
        """Whether the last reply holds some data: what came with errors is still worth more than
        none."""
        return self.reply is not None and self.reply.data is not None

    def end(self, reply: Reply | None = None, instead: dict[str, Any] | None = None) -> None:
        self.done = True
        part = self.order.part
        if reply is None:
            outcome = Outcome(part.roots, part, instead=instead)
        else:
            outcome = Outcome(part.roots, part, reply.data, reply.errors)
        self.execution.ended(self.number, outcome)


class Execution:
    """One operation. `on_end` gets the response and, if all of it was refused, the shortest wait
    (ms)."""

    def __init__(
        self,
        plan: Plan,
        orders: list[Order],
        local: Outcome | None,
        join: RequestPipeline,
        carrier: UpstreamTransport,
        on_end: Callable[[dict[str, Any], float | None], None],
        gone: Callable[[], bool],
    ) -> None:
        """`gone`: whether the client has left, and that is seen only now."""
        self.plan, self.join, self.carrier, self.on_end, self.gone = (
            plan,
            join,
            carrier,
            on_end,
            gone,
        )
        self.calls = [PartCall(self, number, order) for number, order in enumerate(orders)]
        self.outcomes: list[Outcome | None] = [None] * len(orders)
        self.local = local
        self.waits: list[float] = []
        self.begun = 0
        self.starting = self.over = False

    def start(self) -> None:
        if self.plan.serial:
            self.next()
        else:
            self.starting = True
            while self.begun < len(self.calls):
                self.begin()
            self.starting = False
        self.look()

    def next(self) -> None:
        """Begin parts one after the other, for as long as they end at once."""
        if self.starting:
            return
        self.starting = True
        while (
            not self.over
            and self.begun < len(self.calls)
            and not self.waiting()
            and not self.void()
        ):
            self.begin()
        self.starting = False

    def waiting(self) -> bool:
        return any(not call.done for call in self.calls[: self.begun])

    def void(self) -> bool:
        """Whether an error has taken all data with it: what has not begun does not begin."""
        ends = [outcome for outcome in self.outcomes if outcome is not None]
        return any(
            root.non_null and (outcome.data is None or outcome.data.get(root.response_key) is None)
            for outcome in ends
            for root in outcome.roots
        )

    def begin(self) -> None:
        call = self.calls[self.begun]
        self.begun += 1
        call.request_id = self.join.next_request_id()
        order = call.order
        intake = IncomingRequest(
            order.cls, order.tenant, order.key, order.due, call, request_name=order.name
        )
        self.join.accept(call.request_id, intake, call, self.carrier)

    def ended(self, number: int, outcome: Outcome) -> None:
        self.outcomes[number] = outcome
        if self.plan.serial:
            self.next()
        self.look()

    def look(self) -> None:
        """Answer once all that was begun has ended, and nothing is to begin any more."""
        if self.over or self.starting or self.waiting():
            return
        if self.begun < len(self.calls) and not self.void():
            return
        self.over = True
        ends = [outcome for outcome in self.outcomes if outcome is not None]
        for call in self.calls[self.begun :]:
            instead = error("not begun: an error ahead of it took all data", "NOT_STARTED")
            ends.append(Outcome(call.order.part.roots, call.order.part, instead=instead))
        refused = bool(self.calls) and len(self.waits) == self.begun == len(self.calls)
        if self.local is not None:
            ends.append(self.local)
        told = response(self.plan, ends)
        if refused and not self.plan.local:
            told = {
                "errors": told["errors"]
            }  # nothing was begun: the request as a whole is refused
        self.on_end(told, min(self.waits) if refused else None)

    def withdraw(self) -> None:
        """The client has gone: nothing more begins, and nothing is owed."""
        self.over = True
        for call in self.calls[: self.begun]:
            if not call.done:
                call.done = True
                self.join.cancel_request(call.request_id)
