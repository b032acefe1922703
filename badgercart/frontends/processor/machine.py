"""The state machines of a stream, and of a request over one or more streams. No I/O.

A stream describes one attempt: the proxy sends the request headers, gets a route or an immediate
response, and sends the response headers of the attempt. A *call* is one request of a client, by its
id: usually one stream, more if the proxy comes back for another attempt. To the request pipeline a
call is both frontend and upstream transport: it receives the decision, and the proxy executes it.

    call:  WAITING         the policy has not decided yet
           IN_FLIGHT       the proxy has a route; an attempt is open
           AWAITING_RETRY  the attempt has ended, and the proxy may come back for another one
           FINISHED        answered, shed, failed or cancelled; remembered by its id for its deadline

    stream, by message:  NEW      WAITING (call WAITING)   DECIDED (IN_FLIGHT)  ENDED
        request headers  start    error                    error                error
        response headers pass on  cancel, pass on          end of the attempt   error
        body, trailers   pass on  pass on                  pass on              pass on
        an empty message error    error                    error                error

A message that is an error ends its stream, as if its proxy had gone; other streams continue.
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
from badgercart.frontends.processor.description import RequestDescription
from badgercart.frontends.processor.log_events import OLD_ANSWERS
from badgercart.frontends.processor.old_answers import OldAnswerTracker, ProxyRecord, Standing
from badgercart.frontends.processor.outcomes import (
    ResponsePhase,
    classify_response,
    is_safe_to_retry,
)
from badgercart.frontends.processor.settings import ProcessorSettings
from badgercart.policy.events import AttemptResult

CONNECTION_FAILURE_FLAG_BIT = 5  # Envoy's response flag UF

# Replies.


@dataclass(slots=True)
class RouteReply:
    """Send the request to the first endpoint, or if that is unreachable to the next."""

    endpoints: tuple[str, ...]
    max_age_ms: float  # how long this answer may be used
    timeout_ms: float  # for the whole attempt


@dataclass(slots=True)
class ImmediateReply:
    """Answer the client immediately."""

    status: int
    retry_after_ms: float = 0.0  # 0: the response has no Retry-After
    reason: str = ""
    allow: bytes = b""


@dataclass(slots=True, frozen=True)
class PassReply:
    """Pass the response on, with another status unless that is 0."""

    status: int = 0


@dataclass(slots=True, frozen=True)
class SkipReply:
    """Pass a body or trailers on."""

    kind: str


Reply = RouteReply | ImmediateReply | PassReply | SkipReply


class ProtocolError(Exception):
    """A message that the protocol does not allow at this point."""


class StreamState(Enum):
    """How far a stream has come. The values are parts of error messages."""

    NEW = "before its request headers"
    WAITING = "before the answer to its request headers"
    DECIDED = "after that answer"
    ENDED = "after its response headers"


class Stream:
    """One stream. Its replies go to the callback `reply`."""

    __slots__ = ("call", "final_reply", "proxy", "reply", "retry_unsafe", "state")

    def __init__(self, proxy: str, reply: Callable[[Reply], None]) -> None:
        self.proxy = proxy
        self.reply = reply
        self.state = StreamState.NEW
        self.call: Call | None = None
        # A request is routed that must not be shed once it may have been executed.
        self.retry_unsafe = False
        # How its request ended, if that was before its response headers came.
        self.final_reply: ImmediateReply | None = None

    def decide(self, reply: Reply) -> None:
        """Answer the request headers."""
        self.state = StreamState.DECIDED
        self.reply(reply)


class CallState(Enum):
    """How far a call has come."""

    WAITING = 1
    IN_FLIGHT = 2
    AWAITING_RETRY = 3
    FINISHED = 4


class Call:
    """One request over its streams."""

    __slots__ = (
        "attempt", "calls", "client_may_retry", "deadline_ms", "description", "final_reply", "first_endpoint",
        "proxy", "request_id", "response_unseen", "sent_ms", "state", "stream", "timer",
    )  # fmt: skip

    def __init__(
        self,
        calls: Calls,
        description: RequestDescription,
        stream: Stream,
        proxy: ProxyRecord,
        now_ms: float,
    ) -> None:
        self.calls = calls
        self.description = description
        self.proxy = proxy
        self.stream: Stream | None = stream  # of the current attempt
        self.request_id = 0  # in the pipeline
        self.deadline_ms = now_ms + description.timeout_ms - RESPONSE_MARGIN_MS
        self.client_may_retry = calls.client_may_retry[description.class_index]
        self.attempt: AttemptRequest | None = None
        self.sent_ms = 0.0
        self.first_endpoint = ""  # of the route
        self.state = CallState.WAITING
        self.timer: TimerHandle | None = None
        self.response_unseen = False  # it is routed, and there is no response phase yet
        self.final_reply: ImmediateReply | None = None

    # As a frontend of the pipeline.

    def on_response(self, response: UpstreamResponse) -> None:
        """Finish the call: the client has its response."""
        self.calls.finish_call(self, ImmediateReply(409, reason="already answered"))

    def on_shed(self, retry_after_ms: float) -> None:
        """Finish the call: the request is shed, and the client may retry after that time."""
        self.conclude(ImmediateReply(503, retry_after_ms, "refused: trying again does no harm"))

    def on_failure(self, internal_error: bool) -> None:
        """Finish the call: the request failed; `internal_error`: by an error of the node itself."""
        self.conclude(
            ImmediateReply(500, reason="broken")
            if internal_error
            else ImmediateReply(502, reason="failed")
        )

    def client_is_gone(self) -> bool:
        """Return False: the proxy knows its clients, and ends their streams."""
        return False

    def conclude(self, reply: ImmediateReply) -> None:
        """Finish the call with a reply.

        If its stream does not wait for one, the reply is kept for the response headers.
        """
        self.final_reply = reply
        self.proxy.refused += reply.status == 503
        stream = self.stream
        self.calls.finish_call(self, reply)
        if stream is not None and stream.state is StreamState.WAITING:
            stream.decide(reply)
        elif stream is not None:
            stream.final_reply = reply

    # As an upstream transport of the pipeline.

    def send(self, attempt: AttemptRequest) -> None:
        """Reply with the route of an attempt."""
        self.calls.route(self, attempt)

    def cancel(self, request_id: int, attempt_number: int) -> None:
        """End an attempt for the pipeline; the proxy can't be told, so it may be executed still."""
        if self.attempt is not None and self.attempt.attempt == attempt_number:
            self.calls.end_attempt(self, AttemptResult.CANCELLED)

    def abandon_attempt(self, request_id: int, attempt_number: int) -> None:
        """Do nothing: the proxy has the attempt already, and knows if its client has left."""


class Calls:
    """All calls and streams of one processor.

    `now_ms` is given with each event, on the pipeline's clock.
    """

    def __init__(
        self,
        settings: ProcessorSettings,
        pipeline: RequestPipeline,
        endpoint_table: EndpointTable,
        drain_grace_ms: float = 500.0,
    ) -> None:
        self.settings = settings
        self.drain_grace_ms = drain_grace_ms
        self.pipeline = pipeline
        self.endpoint_table = endpoint_table
        self.old_answers = OldAnswerTracker(settings.old_answers)
        self.client_may_retry = [cls.client_may_retry for cls in pipeline.policy.settings.classes]
        self.open: dict[bytes, Call] = {}
        # Finished calls, by id: until when they are remembered, and their final reply.
        self.finished: OrderedDict[bytes, tuple[float, ImmediateReply | None]] = OrderedDict()

    # Events of streams.

    def request_headers_received(
        self,
        stream: Stream,
        description: RequestDescription,
        now_ms: float,
        subset: tuple[str, ...] = (),
    ) -> None:
        """Handle valid request headers.

        `subset`: the endpoints that the proxy accepts; empty if it accepts any. Raises
        ProtocolError.
        """
        if stream.state is not StreamState.NEW:
            raise ProtocolError(f"request headers {stream.state.value}")
        stream.state = StreamState.WAITING
        proxy = self.old_answers.find_or_add(stream.proxy)
        call = self.open.get(description.request_name)
        if call is not None:
            if description.attempt <= 1:
                # The servers could not tell apart two requests with the same id.
                stream.decide(ImmediateReply(409, reason="a request of this id is open"))
            else:
                self.start_next_attempt(call, stream, now_ms)
            return
        resumed = False
        if description.attempt > 1:
            until_ms, final_reply = self.finished.get(description.request_name, (0.0, None))
            if final_reply is not None and now_ms < until_ms:
                stream.decide(final_reply)
                return
            resumed = True
        standing = self.old_answers.standing(proxy, now_ms)
        if standing is Standing.REFUSED and (
            not resumed or self.client_may_retry[description.class_index]
        ):
            proxy.refused += 1
            stream.decide(
                ImmediateReply(503, proxy.refused_until_ms - now_ms, "this proxy uses old answers")
            )
            return
        call = Call(self, description, stream, proxy, now_ms)
        self.open[description.request_name] = call
        stream.call = call
        call.request_id = self.pipeline.next_request_id()
        incoming = IncomingRequest(
            class_index=description.class_index,
            tenant=description.tenant,
            key=description.key,
            deadline_ms=call.deadline_ms,
            payload=call,
            expected_work_ms=description.expected_work_ms,
            is_client_retry=description.is_client_retry,
            max_fallbacks=self.settings.fallbacks if standing is Standing.GOOD else 0,
            possibly_executed=resumed,
            reachable_endpoints=self.endpoint_ids(subset) if subset else None,
            request_name=description.request_name,
        )
        self.pipeline.accept(call.request_id, incoming, call, call)

    def endpoint_ids(self, addresses: tuple[str, ...]) -> frozenset[int]:
        """Return the ids of the endpoints with these addresses, as far as they are known."""
        found = map(self.find_endpoint, addresses)
        return frozenset(endpoint.entry.id for endpoint in found if endpoint is not None)

    def reject_request(self, stream: Stream, error: InvalidRequestError) -> None:
        """Answer invalid request headers, of which the policy learns nothing."""
        if stream.state is not StreamState.NEW:
            raise ProtocolError(f"request headers {stream.state.value}")
        stream.decide(ImmediateReply(error.status, reason=str(error), allow=error.allowed_method))

    def start_next_attempt(self, call: Call, stream: Stream, now_ms: float) -> None:
        """Handle that the proxy comes back for another attempt of an open call.

        The attempt before is ended first, then the policy decides.
        """
        previous = call.stream
        if call.state is CallState.WAITING:
            # There is no attempt yet that could end; the decision goes to the new stream.
            self.attach(call, stream)
            if previous is not None:
                previous.call = None
                previous.decide(ImmediateReply(409, reason="asked again on another stream"))
            return
        if call.state is CallState.IN_FLIGHT:
            # How it ended is not known, so it may have been executed.
            self.end_attempt(call, AttemptResult.RESET, retry_deferred=True)
        if previous is not None:
            previous.call = None
        if call.state is CallState.FINISHED:  # the end of the attempt was the request's final one
            stream.decide(call.final_reply or ImmediateReply(409, reason="already answered"))
            return
        self.attach(call, stream)
        self.stop_timer(call)
        call.state = CallState.WAITING
        self.pipeline.retry_decision_due(call.request_id, resend=True)

    def attach(self, call: Call, stream: Stream) -> None:
        """Make a stream the one of a call's current attempt."""
        call.stream, stream.call = stream, call

    def response_headers_received(
        self, stream: Stream, phase: ResponsePhase, served: str | None, now_ms: float
    ) -> None:
        """Handle response headers; `served`: the endpoint that the proxy names. Raises ProtocolError."""
        state, call = stream.state, stream.call
        if state is StreamState.ENDED:
            raise ProtocolError(f"response headers {state.value}")
        stream.state = StreamState.ENDED
        if state is StreamState.WAITING and call is not None:
            # The proxy made a response itself, before it had an answer.
            self.cancel_call(call)
            stream.reply(PassReply())
        elif call is None or call.state is not CallState.IN_FLIGHT or call.stream is not stream:
            stream.reply(self.late_response_reply(stream, phase))
        else:
            stream.reply(self.attempt_response_reply(call, stream, phase, served, now_ms))

    def late_response_reply(self, stream: Stream, phase: ResponsePhase) -> Reply:
        """Return the reply to a response of a request that was shed or is finished."""
        if phase.status < 500 and phase.status != 429:
            return PassReply()  # the client's first response, whatever the policy has assumed
        if stream.final_reply is not None:
            return stream.final_reply
        # The request continues on another stream, so nothing proves that it was not executed here.
        return PassReply(502) if stream.retry_unsafe and phase.status in (429, 503) else PassReply()

    def stream_closed(self, stream: Stream, now_ms: float) -> None:
        """Handle the end of a stream."""
        state, call, stream.call = stream.state, stream.call, None
        stream.state = StreamState.ENDED
        if call is None or call.stream is not stream:
            return
        call.stream = None
        if call.state is CallState.WAITING:
            self.cancel_call(call)
        elif call.state is CallState.IN_FLIGHT and state is StreamState.DECIDED:
            call.proxy.lost += 1
            if self.settings.later_attempts:
                self.end_attempt(call, AttemptResult.CANCELLED, retry_deferred=True)
            else:
                self.cancel_call(call)

    def body_received(self, stream: Stream, kind: str) -> None:
        """Handle a body or trailers, which the processor has not requested."""
        stream.reply(SkipReply(kind))

    # Attempts.

    def route(self, call: Call, attempt: AttemptRequest) -> None:
        """Reply with the endpoints that the policy has selected."""
        now_ms = self.pipeline.clock()
        endpoints = [
            self.endpoint_table.listed.get(endpoint_id)
            for endpoint_id in (attempt.endpoint_id, *attempt.fallbacks)
        ]
        call.attempt, call.sent_ms = attempt, now_ms
        call.state = CallState.IN_FLIGHT
        stream = call.stream
        # The proxy does not ask again before it sends, so that it gets no more time than there is.
        repeat_ms = self.pipeline.latest_write_ms(call.request_id, attempt.attempt) - now_ms
        if (
            stream is None
            or stream.state is not StreamState.WAITING
            or endpoints[0] is None
            or repeat_ms <= 0
        ):
            # There is no stream to reply to, the endpoint has just been removed from the list, or
            # servers would not recognize a repeat any more.
            self.end_attempt(call, AttemptResult.NOT_SENT)
            return
        call.response_unseen = True
        call.proxy.answered += 1
        call.proxy.unseen += 1
        attempt_ms = min(attempt.timeout_ms, repeat_ms)
        expiry_ms = max(0.0, attempt_ms) + self.settings.late_ms
        call.timer = self.pipeline.timers.call_later(expiry_ms / 1000, self.attempt_timed_out, call)
        timeout_ms = max(1.0, attempt_ms)
        max_age_ms = min(self.settings.answer_age_ms, self.drain_grace_ms, timeout_ms)
        addresses = tuple([endpoint.address_text for endpoint in endpoints if endpoint is not None])
        call.first_endpoint = addresses[0]
        stream.retry_unsafe = not call.client_may_retry
        stream.decide(RouteReply(addresses, max_age_ms, timeout_ms))

    def attempt_response_reply(
        self,
        call: Call,
        stream: Stream,
        phase: ResponsePhase,
        served: str | None,
        now_ms: float,
    ) -> Reply:
        """Handle the response phase of the open attempt, and return the reply to it."""
        assert call.attempt is not None
        end = classify_response(phase)
        result_of_first = self.report_reroutes(call, phase, served, now_ms)
        if end.by_proxy and (
            phase.status < 400 or 400 <= phase.status < 500 and phase.status != 429
        ):
            # A cached response, a login page or another rule of the proxy: no server was involved.
            self.cancel_call(
                call,
                AttemptResult.NOT_SENT if not end.possibly_executed else AttemptResult.CANCELLED,
            )
            return PassReply()
        if result_of_first is not None:
            self.cancel_call(call, result_of_first)
            unharmed = is_safe_to_retry(True, call.client_may_retry) or phase.status not in (
                429,
                503,
            )
            return PassReply() if unharmed else PassReply(502)
        response = None if end.by_proxy else UpstreamResponse(phase.status)
        self.end_attempt(call, end.result, response, retry_deferred=True)
        if call.state is CallState.FINISHED:
            return PassReply()
        possibly_executed = end.possibly_executed or call.attempt.attempt > 0
        if self.settings.later_attempts:
            return PassReply(
                502
                if phase.status in (429, 503)
                and not is_safe_to_retry(possibly_executed, call.client_may_retry)
                else 0
            )
        self.pipeline.retry_decision_due(call.request_id, resend=False)
        return self.failed_attempt_reply(stream, phase)

    def failed_attempt_reply(self, stream: Stream, phase: ResponsePhase) -> Reply:
        """Return the reply for a failed attempt that is not retried, by the policy's decision."""
        final_reply = stream.final_reply
        if final_reply is not None and final_reply.status == 503:
            return final_reply
        return PassReply(502 if phase.status in (429, 503) else 0)

    def report_reroutes(
        self, call: Call, phase: ResponsePhase, served: str | None, now_ms: float
    ) -> AttemptResult | None:
        """Report to the pipeline if the proxy sent the request to other servers by itself.

        If the server where it ended is not in the endpoint list, the request can't be followed
        further: then the result of the attempt at the first endpoint is returned, else None.
        """
        assert call.attempt is not None
        attempt, proxy = call.attempt, call.proxy
        if served == call.first_endpoint:
            proxy.first += 1  # by far the most frequent case
            return None
        endpoint = self.find_endpoint(served or phase.upstream)
        # If the proxy names no server, or its own name for the upstream, it followed the route.
        served_id = (
            attempt.endpoint_id
            if endpoint is None and served is None
            else endpoint.entry.id
            if endpoint
            else 0
        )
        if served_id == attempt.endpoint_id:
            proxy.first += 1
            return None
        unlisted = served_id not in self.endpoint_table.listed
        if served_id in attempt.fallbacks:
            proxy.fallback += 1
            result_of_first = (
                AttemptResult.UNREACHABLE
                if phase.flags is not None and phase.flags >> CONNECTION_FAILURE_FLAG_BIT & 1
                else AttemptResult.ERROR
            )
            if unlisted:
                return result_of_first
            for endpoint_id in attempt.fallbacks[: attempt.fallbacks.index(served_id) + 1]:
                if endpoint_id in self.endpoint_table.listed:
                    self.reroute(call, result_of_first, endpoint_id)
            return None
        # The proxy used an old answer: the attempt was not sent to the first endpoint of its route.
        draining_since_ms = self.endpoint_table.draining_since.get(served_id)
        drained = draining_since_ms is not None and now_ms - draining_since_ms > self.drain_grace_ms
        before = self.old_answers.standing(proxy, now_ms)
        after = self.old_answers.record_old_use(proxy, drained, now_ms)
        if before is not after:
            OLD_ANSWERS(proxy=proxy.name, standing=after.value, was=before.value)
        if unlisted:
            return AttemptResult.NOT_SENT
        self.reroute(call, AttemptResult.NOT_SENT, served_id)
        return None

    def reroute(self, call: Call, result: AttemptResult, endpoint_id: int) -> None:
        """Report that the open attempt ended with a result, and continued at another endpoint."""
        assert call.attempt is not None
        attempt, request_id = call.attempt, call.request_id
        elapsed_ms = self.pipeline.clock() - call.sent_ms
        self.pipeline.attempt_rerouted(
            request_id, attempt.attempt, attempt.endpoint_id, result, elapsed_ms, endpoint_id
        )
        fallbacks = tuple(fallback for fallback in attempt.fallbacks if fallback != endpoint_id)
        call.attempt = AttemptRequest(
            request_id,
            attempt.attempt + 1,
            endpoint_id,
            attempt.timeout_ms,
            attempt.payload,
            fallbacks,
        )

    def find_endpoint(self, text: str | None) -> DiscoveredEndpoint | None:
        """Return the endpoint with an address, if there is one."""
        if text is None:
            return None
        try:
            return self.endpoint_table.find_by_address(parse_address(text))
        except ValueError:
            return None

    def end_attempt(
        self,
        call: Call,
        result: AttemptResult,
        response: UpstreamResponse | None = None,
        retry_deferred: bool = False,
    ) -> None:
        """Report the end of the open attempt.

        With `retry_deferred`, the proxy may ask for another attempt.
        """
        if call.state is not CallState.IN_FLIGHT or call.attempt is None:
            return
        self.stop_timer(call)
        attempt, now_ms = call.attempt, self.pipeline.clock()
        if self.settings.later_attempts and retry_deferred:
            wait_ms = min(self.settings.later_wait_ms, call.deadline_ms - now_ms)
            call.timer = self.pipeline.timers.call_later(
                max(0.0, wait_ms) / 1000, self.retry_wait_expired, call
            )
        self.mark_seen(call)
        call.state = CallState.AWAITING_RETRY
        self.pipeline.attempt_ended(
            call.request_id,
            attempt.attempt,
            attempt.endpoint_id,
            result,
            now_ms - call.sent_ms,
            response,
            retry_deferred,
        )

    def attempt_timed_out(self, call: Call) -> None:
        """End an attempt whose timeout and the proxy's own have passed without a response phase."""
        call.timer = None
        if call.state is CallState.IN_FLIGHT:
            self.end_attempt(call, AttemptResult.TIMEOUT)

    def retry_wait_expired(self, call: Call) -> None:
        """Cancel a call for which the proxy has not come back."""
        call.timer = None
        if call.state is CallState.AWAITING_RETRY:
            self.cancel_call(call)

    def cancel_call(self, call: Call, result: AttemptResult = AttemptResult.CANCELLED) -> None:
        """Finish a call that needs no reply any more, and end its open attempt with a result."""
        if call.state is CallState.FINISHED:
            return
        in_flight, attempt = call.state is CallState.IN_FLIGHT, call.attempt
        self.mark_seen(call)
        self.finish_call(call, None)
        self.pipeline.cancel_request(call.request_id)
        if in_flight and attempt is not None:
            self.pipeline.attempt_ended(
                call.request_id,
                attempt.attempt,
                attempt.endpoint_id,
                result,
                self.pipeline.clock() - call.sent_ms,
            )

    def finish_call(self, call: Call, final_reply: ImmediateReply | None) -> None:
        """Forget a call, except its final reply while its client may still wait for one."""
        self.stop_timer(call)
        call.state = CallState.FINISHED
        name = call.description.request_name
        if self.open.get(name) is call:
            del self.open[name]
        self.finished.pop(name, None)
        self.finished[name] = (call.deadline_ms + RESPONSE_MARGIN_MS, final_reply)
        if len(self.finished) > self.settings.max_finals:
            self.finished.popitem(last=False)

    def mark_seen(self, call: Call) -> None:
        """Count that the current attempt waits for no response phase any more."""
        call.proxy.unseen -= call.response_unseen
        call.response_unseen = False

    def stop_timer(self, call: Call) -> None:
        """Stop a call's timer if it is set."""
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None

    # For operators.

    def proxy_rows(self) -> dict[str, dict[str, Any]]:
        """Return the row of each proxy on the operators' page."""
        now_ms = self.pipeline.clock()
        return {
            name: proxy.row(self.old_answers.standing(proxy, now_ms))
            for name, proxy in self.old_answers.proxies.items()
        }


def format_retry_after(wait_ms: float, whole_seconds: bool) -> str:
    """Return a wait in seconds, as a decimal number or rounded up."""
    return str(max(1, math.ceil(wait_ms / 1000))) if whole_seconds else f"{wait_ms / 1000:.3f}"
