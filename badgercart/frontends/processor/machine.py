"""The life of a stream, and of a request over one or more streams. No I/O: events in, replies out.

A stream describes one attempt: the proxy sends request headers, is told where to go or that it must
not go, and sends the response headers of what came of it. A *call* is one request of a client, by
its id: usually one stream, more where the proxy comes back for a further attempt. Toward the join a
call is both front and carrier: it is owed the decision, and the proxy carries it out.

    call:  WAITING  the policy has not decided yet
           OUT      the proxy was told where to go; an attempt is out
           PARKED   the attempt ended, and the proxy may come back for another
           OVER     answered, refused, failed or left; remembered by its id until its time is up

    stream, by what comes:   FRESH       ASKED (WAITING)     TOLD (OUT)     ENDED
        request headers      ask         illegal             illegal        illegal
        response headers     pass        give up, pass       end of attempt illegal
        body, trailers       skip        skip                skip           skip
        an empty message     illegal     illegal             illegal        illegal

What is illegal ends the stream, as if its proxy had gone; other streams go on.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from badgercart.config import parse_address
from badgercart.core.clock import RESPONSE_MARGIN_MS
from badgercart.core.endpoint_table import DiscoveredEndpoint, EndpointTable
from badgercart.core.ports import AttemptRequest, IncomingRequest, TimerHandle, UpstreamResponse
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.core.requests import InvalidRequestError
from badgercart.frontends.processor.account import Account, Proxy, Standing
from badgercart.frontends.processor.description import Described
from badgercart.frontends.processor.log_events import OLD_ANSWERS
from badgercart.frontends.processor.outcomes import Phase, harmless, read_end
from badgercart.frontends.processor.settings import ProcessorSettings
from badgercart.policy.events import AttemptResult

# Replies.


@dataclass(slots=True)
class Route:
    """Go to the first of these, or where it can't be had to the next."""

    endpoints: tuple[str, ...]
    age: float  # ms for which this may be used
    limit: float  # ms for the whole attempt


@dataclass(slots=True)
class Immediate:
    """Answer the client at once."""

    status: int
    wait: float = 0.0  # ms until the client should come back; 0: no advice
    why: str = ""
    allow: bytes = b""


@dataclass(slots=True, frozen=True)
class Pass:
    """Let the response through, under another status where one is given."""

    status: int = 0


@dataclass(slots=True, frozen=True)
class Skip:
    """Let a body or trailers through."""

    kind: str


Reply = Route | Immediate | Pass | Skip


class Illegal(Exception):
    """A message that the protocol does not allow here."""


class At(Enum):
    FRESH = "before its request headers"
    ASKED = "before the answer to its request headers"
    TOLD = "after that answer"
    ENDED = "after its response headers"


class Stream:
    """One stream. Whoever drives it takes its replies as they come."""

    __slots__ = ("at", "call", "guarded", "proxy", "reply", "verdict")

    def __init__(self, proxy: str, reply: Callable[[Reply], None]) -> None:
        self.proxy = proxy
        self.reply = reply
        self.at = At.FRESH
        self.call: Call | None = None
        self.guarded = False  # told where to go, with what may not be refused once it may have run
        self.verdict: Immediate | None = (
            None  # how its request ended before its response headers came
        )

    def decide(self, reply: Reply) -> None:
        """The answer to its request headers."""
        self.at = At.TOLD
        self.reply(reply)


class Step(Enum):
    WAITING = 1
    OUT = 2
    PARKED = 3
    OVER = 4


class Call:
    """One request over its streams."""

    __slots__ = (
        "calls", "described", "due", "endpoint", "number", "order", "proxy", "refusable", "sent", "step",
        "stream", "timer", "told", "verdict",
    )  # fmt: skip

    def __init__(
        self, calls: Calls, described: Described, stream: Stream, proxy: Proxy, now: float
    ) -> None:
        self.calls = calls
        self.described = described
        self.proxy = proxy
        self.stream: Stream | None = stream  # the one that its present attempt is on
        self.number = 0  # the join's
        self.due = now + described.timeout - RESPONSE_MARGIN_MS
        self.refusable = calls.refusable[described.cls]
        self.order: AttemptRequest | None = None
        self.sent = 0.0
        self.endpoint = ""  # the first that the proxy was told
        self.step = Step.WAITING
        self.timer: TimerHandle | None = None
        self.told = False  # an answer is out of which nothing has been seen
        self.verdict: Immediate | None = None

    # As the join's front.

    def on_response(self, answer: UpstreamResponse) -> None:
        self.calls.over(self, Immediate(409, why="already answered"))

    def on_shed(self, wait: float) -> None:
        self.conclude(Immediate(503, wait, "refused: trying again does no harm"))

    def on_failure(self, broken: bool) -> None:
        self.conclude(Immediate(500, why="broken") if broken else Immediate(502, why="failed"))

    def client_is_gone(self) -> bool:
        """It is the proxy that knows of its clients, and ends their streams."""
        return False

    def conclude(self, verdict: Immediate) -> None:
        """The final answer: to the stream that waits for it, else kept for the stream's response
        headers."""
        self.verdict = verdict
        self.proxy.refused += verdict.status == 503
        stream = self.stream
        self.calls.over(self, verdict)
        if stream is not None and stream.at is At.ASKED:
            stream.decide(verdict)
        elif stream is not None:
            stream.verdict = verdict

    # As the join's carrier.

    def send(self, order: AttemptRequest) -> None:
        self.calls.route(self, order)

    def cancel(self, request_id: int, number: int) -> None:
        """There is no way to call a proxy back: the attempt may run on, and nobody waits for it."""
        if self.order is not None and self.order.attempt == number:
            self.calls.end_attempt(self, AttemptResult.CANCELLED)

    def abandon_attempt(self, request_id: int, number: int) -> None:
        """The proxy has the attempt as soon as it is decided, and knows itself that its client
        left."""


class Calls:
    """All calls and streams of one processor. `now` is given with each event, in ms of the join's
    clock."""

    def __init__(
        self,
        settings: ProcessorSettings,
        join: RequestPipeline,
        roster: EndpointTable,
        drain_grace: float = 500.0,  # ms
    ) -> None:
        self.settings = settings
        self.drain_grace = drain_grace
        self.join = join
        self.roster = roster
        self.account = Account(settings.old_answers)
        self.refusable = [cls.client_may_retry for cls in join.policy.settings.classes]
        self.open: dict[bytes, Call] = {}
        self.finals: OrderedDict[bytes, tuple[float, Immediate | None]] = (
            OrderedDict()
        )  # until when, which

    # What comes on streams.

    def request(
        self, stream: Stream, described: Described, now: float, subset: tuple[str, ...] = ()
    ) -> None:
        """Request headers that can be used, and the only endpoints that will do, if the proxy names
        any."""
        if stream.at is not At.FRESH:
            raise Illegal(f"request headers {stream.at.value}")
        stream.at = At.ASKED
        proxy = self.account.proxy(stream.proxy)
        call = self.open.get(described.name)
        if call is not None:
            if described.attempt <= 1:
                # Two requests under one id could not be told apart by the servers.
                stream.decide(Immediate(409, why="a request of this id is open"))
            else:
                self.again(call, stream, now)
            return
        resumed = False
        if described.attempt > 1:
            until, final = self.finals.get(described.name, (0.0, None))
            if final is not None and now < until:
                stream.decide(final)
                return
            resumed = True
        standing = self.account.standing(proxy, now)
        if standing is Standing.REFUSED and (not resumed or self.refusable[described.cls]):
            proxy.refused += 1
            stream.decide(Immediate(503, proxy.refused_until - now, "this proxy uses old answers"))
            return
        call = Call(self, described, stream, proxy, now)
        self.open[described.name] = call
        stream.call = call
        call.number = self.join.next_request_id()
        intake = IncomingRequest(
            class_index=described.cls,
            tenant=described.tenant,
            key=described.key,
            deadline_ms=call.due,
            payload=call,
            expected_work_ms=described.hint,
            is_client_retry=described.repeat,
            max_fallbacks=self.settings.fallbacks if standing is Standing.GOOD else 0,
            possibly_executed=resumed,
            reachable_endpoints=self.among(subset) if subset else None,
            request_name=described.name,
        )
        self.join.accept(call.number, intake, call, call)

    def among(self, subset: tuple[str, ...]) -> frozenset[int]:
        found = map(self.member, subset)
        return frozenset(member.entry.id for member in found if member is not None)

    def bad_request(self, stream: Stream, error: InvalidRequestError) -> None:
        """Request headers that can't be used: no server hears of them."""
        if stream.at is not At.FRESH:
            raise Illegal(f"request headers {stream.at.value}")
        stream.decide(Immediate(error.status, why=str(error), allow=error.allowed_method))

    def again(self, call: Call, stream: Stream, now: float) -> None:
        """The proxy comes back with a further attempt: first the end of the one before, then a
        decision."""
        old = call.stream
        if call.step is Step.WAITING:
            # It never was told where to go, so nothing ended; the decision goes to the newer
            # stream.
            self.adopt(call, stream)
            if old is not None:
                old.call = None
                old.decide(Immediate(409, why="asked again on another stream"))
            return
        if call.step is Step.OUT:
            # No word of how it ended: it may have run.
            self.end_attempt(call, AttemptResult.RESET, parked=True)
        if old is not None:
            old.call = None
        if call.step is Step.OVER:  # the end was the request's own
            stream.decide(call.verdict or Immediate(409, why="already answered"))
            return
        self.adopt(call, stream)
        self.stop_timer(call)
        call.step = Step.WAITING
        self.join.retry_decision_due(call.number, resend=True)

    def adopt(self, call: Call, stream: Stream) -> None:
        call.stream, stream.call = stream, call

    def response(self, stream: Stream, phase: Phase, served: str | None, now: float) -> None:
        """Response headers."""
        at, call = stream.at, stream.call
        if at is At.ENDED:
            raise Illegal(f"response headers {at.value}")
        stream.at = At.ENDED
        if at is At.ASKED and call is not None:
            # The proxy answered by itself before it was told anything.
            self.leave(call)
            stream.reply(Pass())
        elif call is None or call.step is not Step.OUT or call.stream is not stream:
            stream.reply(self.late(stream, phase))
        else:
            stream.reply(self.attempt_ended(call, stream, phase, served, now))

    def late(self, stream: Stream, phase: Phase) -> Reply:
        """A response to what was refused, or whose request was over before it came."""
        if phase.status < 500 and phase.status != 429:
            return Pass()  # the client's first answer, whatever the policy was told meanwhile
        if stream.verdict is not None:
            return stream.verdict
        # Continued elsewhere: nothing proves any more that it never ran here.
        return Pass(502) if stream.guarded and phase.status in (429, 503) else Pass()

    def closed(self, stream: Stream, now: float) -> None:
        """The stream is over, however it ended."""
        at, call, stream.call = stream.at, stream.call, None
        stream.at = At.ENDED
        if call is None or call.stream is not stream:
            return
        call.stream = None
        if call.step is Step.WAITING:
            self.leave(call)
        elif call.step is Step.OUT and at is At.TOLD:
            call.proxy.lost += 1
            if self.settings.later_attempts:
                self.end_attempt(call, AttemptResult.CANCELLED, parked=True)
            else:
                self.leave(call)

    def body(self, stream: Stream, kind: str) -> None:
        """A body or trailers, which were not asked for."""
        stream.reply(Skip(kind))

    # Attempts.

    def route(self, call: Call, order: AttemptRequest) -> None:
        """The policy has decided on a server."""
        now = self.join.clock()
        members = [self.roster.listed.get(i) for i in (order.endpoint_id, *order.fallbacks)]
        call.order, call.sent = order, now
        call.step = Step.OUT
        stream = call.stream
        if stream is None or stream.at is not At.ASKED or members[0] is None:
            # Nobody is there to carry it out, or the list lost the server in this very turn.
            self.end_attempt(call, AttemptResult.NOT_SENT)
            return
        call.told = True
        call.proxy.answered += 1
        call.proxy.unseen += 1
        late = max(0.0, order.timeout_ms) + self.settings.late_ms
        call.timer = self.join.timers.call_later(late / 1000, self.expire, call)
        limit = max(1.0, order.timeout_ms)
        age = min(self.settings.answer_age_ms, self.drain_grace, limit)
        endpoints = tuple([member.address_text for member in members if member is not None])
        call.endpoint = endpoints[0]
        stream.guarded = not call.refusable
        stream.decide(Route(endpoints, age, limit))

    def attempt_ended(
        self, call: Call, stream: Stream, phase: Phase, served: str | None, now: float
    ) -> Reply:
        """The response phase of the attempt that is out."""
        assert call.order is not None
        end = read_end(phase)
        tried = self.tried(call, phase, served, now)
        if end.by_proxy and (
            phase.status < 400 or 400 <= phase.status < 500 and phase.status != 429
        ):
            # A cached answer, a login page, a rule of the proxy's own: its answer, and none of
            # ours.
            self.leave(
                call, AttemptResult.NOT_SENT if not end.may_have_run else AttemptResult.CANCELLED
            )
            return Pass()
        if tried is not None:
            self.leave(call, tried)
            unharmed = harmless(True, call.refusable) or phase.status not in (429, 503)
            return Pass() if unharmed else Pass(502)
        answer = None if end.by_proxy else UpstreamResponse(phase.status)
        self.end_attempt(call, end.result, answer, parked=True)
        if call.step is Step.OVER:
            return Pass()
        may_have_run = end.may_have_run or call.order.attempt > 0
        if self.settings.later_attempts:
            return Pass(
                502
                if phase.status in (429, 503) and not harmless(may_have_run, call.refusable)
                else 0
            )
        self.join.retry_decision_due(call.number, resend=False)
        return self.final(stream, phase)

    def final(self, stream: Stream, phase: Phase) -> Reply:
        """What the policy made of a failed attempt that nothing follows."""
        verdict = stream.verdict
        if verdict is not None and verdict.status == 503:
            return verdict
        return Pass(502 if phase.status in (429, 503) else 0)

    def tried(
        self, call: Call, phase: Phase, served: str | None, now: float
    ) -> AttemptResult | None:
        """Tell of the servers that the proxy went on to by itself.

        Where the list does not have the one that it ended at, nothing more can be told of the
        request: how the attempt ended where it was sent first."""
        assert call.order is not None
        order, proxy = call.order, call.proxy
        if served == call.endpoint:
            proxy.first += 1  # by far the most
            return None
        member = self.member(served or phase.upstream)
        # Without a word, or with the proxy's own name for the way there, it went where it was told.
        at = (
            order.endpoint_id
            if member is None and served is None
            else member.entry.id
            if member
            else 0
        )
        if at == order.endpoint_id:
            proxy.first += 1
            return None
        gone = at not in self.roster.listed
        if at in order.fallbacks:
            proxy.fallback += 1
            first = (
                AttemptResult.UNREACHABLE
                if phase.flags is not None and phase.flags >> 5 & 1
                else AttemptResult.ERROR
            )
            if gone:
                return first
            for server_id in order.fallbacks[: order.fallbacks.index(at) + 1]:
                if server_id in self.roster.listed:
                    self.divert(call, first, server_id)
            return None
        # Neither: the proxy used an answer of another time. What it was told for this request went
        # nowhere.
        leaving = self.roster.draining_since.get(at)
        drained = leaving is not None and now - leaving > self.drain_grace
        before = self.account.standing(proxy, now)
        after = self.account.used_old(proxy, drained, now)
        if before is not after:
            OLD_ANSWERS(proxy=proxy.name, standing=after.value, was=before.value)
        if gone:
            return AttemptResult.NOT_SENT
        self.divert(call, AttemptResult.NOT_SENT, at)
        return None

    def divert(self, call: Call, result: AttemptResult, to: int) -> None:
        assert call.order is not None
        order, number = call.order, call.number
        elapsed = self.join.clock() - call.sent
        self.join.attempt_rerouted(number, order.attempt, order.endpoint_id, result, elapsed, to)
        rest = tuple(i for i in order.fallbacks if i != to)
        call.order = AttemptRequest(
            number, order.attempt + 1, to, order.timeout_ms, order.payload, rest
        )

    def member(self, text: str | None) -> DiscoveredEndpoint | None:
        if text is None:
            return None
        try:
            return self.roster.find_by_address(parse_address(text))
        except ValueError:
            return None

    def end_attempt(
        self,
        call: Call,
        result: AttemptResult,
        answer: UpstreamResponse | None = None,
        parked: bool = False,
    ) -> None:
        """Tell the join how the attempt that is out ended."""
        if call.step is not Step.OUT or call.order is None:
            return
        self.stop_timer(call)
        order, now = call.order, self.join.clock()
        if self.settings.later_attempts and parked:
            wait = min(self.settings.later_wait_ms, call.due - now)
            call.timer = self.join.timers.call_later(max(0.0, wait) / 1000, self.given_up, call)
        self.seen(call)
        call.step = Step.PARKED
        self.join.attempt_ended(
            call.number, order.attempt, order.endpoint_id, result, now - call.sent, answer, parked
        )

    def expire(self, call: Call) -> None:
        """The attempt's time and the proxy's own are over, and no response phase came."""
        call.timer = None
        if call.step is Step.OUT:
            self.end_attempt(call, AttemptResult.TIMEOUT)

    def given_up(self, call: Call) -> None:
        """The proxy has not come back."""
        call.timer = None
        if call.step is Step.PARKED:
            self.leave(call)

    def leave(self, call: Call, result: AttemptResult = AttemptResult.CANCELLED) -> None:
        """Nothing more is owed: the policy hears it once, and no load counts for it."""
        if call.step is Step.OVER:
            return
        out, order = call.step is Step.OUT, call.order
        self.seen(call)
        self.over(call, None)
        self.join.cancel_request(call.number)
        if out and order is not None:
            self.join.attempt_ended(
                call.number, order.attempt, order.endpoint_id, result, self.join.clock() - call.sent
            )

    def over(self, call: Call, final: Immediate | None) -> None:
        """Forget a call, but for how it ended while its client may still be there."""
        self.stop_timer(call)
        call.step = Step.OVER
        name = call.described.name
        if self.open.get(name) is call:
            del self.open[name]
        self.finals.pop(name, None)
        self.finals[name] = (call.due + RESPONSE_MARGIN_MS, final)
        if len(self.finals) > self.settings.max_finals:
            self.finals.popitem(last=False)

    def seen(self, call: Call) -> None:
        call.proxy.unseen -= call.told
        call.told = False

    def stop_timer(self, call: Call) -> None:
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None

    # For operators.

    def rows(self) -> dict[str, dict[str, Any]]:
        """The account of each proxy."""
        now = self.join.clock()
        return {
            name: proxy.row(self.account.standing(proxy, now))
            for name, proxy in self.account.proxies.items()
        }


def retry_after(wait: float, whole: bool) -> str:
    """Seconds, decimal or rounded up."""
    return str(max(1, math.ceil(wait / 1000))) if whole else f"{wait / 1000:.3f}"
