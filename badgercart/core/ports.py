"""What the request pipeline asks of frontends and transports, and what they hand to each other.

A *frontend* owes the response to a request. It hands the request in with `RequestPipeline.accept`
and is told exactly one of response, shed or failure, unless it cancelled the request before. An
*upstream transport* carries out the attempts that the policy decided and reports the end of each,
once, with `RequestPipeline.attempt_ended`. One object may be both: a calling proxy asks for a
decision and carries it out itself.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from badgercart.core.streams import ResponseHead, ResponseSink
from badgercart.policy.events import AttemptResult


@dataclass(slots=True)
class Response:
    """An endpoint's response, received whole."""

    status: int
    body: bytes = b""
    content_type: bytes = b""


class RequestOutcome(StrEnum):
    """How a request ended for its client; the values are labels of metrics and log lines."""

    SERVED = "served"
    CLIENT_ERROR = "faulty"  # an endpoint's 4xx was passed on
    SHED = "refused"  # not executed
    FAILED = "failed"  # may have been executed
    CANCELLED = "withdrawn"  # the client went away


class RequestObserver(Protocol):
    """What is told how requests end. It must be quick and change nothing."""

    def request_finished(
        self,
        request_id: int,
        request: IncomingRequest,
        outcome: RequestOutcome,
        elapsed_ms: float,
        endpoint_id: int,
        attempts: int,
    ) -> None:
        """Take note of a request's end.

        `elapsed_ms` counts from when it was accepted, 0 where nobody observed that; `endpoint_id` is
        the endpoint that gave the response, 0 where none did.
        """


class AttemptObserver(Protocol):
    """What is told of attempts. It must be quick and change nothing."""

    def attempt_sent(self, endpoint_id: int) -> None:
        """Take note that an attempt goes out."""

    def attempt_ended(self, endpoint_id: int, result: AttemptResult, elapsed_ms: float) -> None:
        """Take note that an attempt ended, `elapsed_ms` after it was sent."""


class Frontend(Protocol):
    """What owes the response to one request. Each of the `on_` calls is the final one for it."""

    def on_response(self, response: Response) -> None:
        """Pass an endpoint's response on to the client."""

    def on_shed(self, retry_after_ms: float) -> None:
        """Tell the client that nothing was executed and that a retry does no harm.

        `retry_after_ms` is when it should come back; 0 gives no advice.
        """

    def on_failure(self, internal_error: bool) -> None:
        """Tell the client that its request may have been executed, or that the node itself failed."""

    def client_is_gone(self) -> bool:
        """Return whether the client has left without this having been reported yet.

        Asked before each attempt is written.
        """


class StreamingFrontend(Frontend, Protocol):
    """A frontend whose payloads may ask for responses that are streamed."""

    def on_response_started(self, head: ResponseHead) -> ResponseSink:
        """Begin the final response to the client, and return where its body goes."""


class UpstreamTransport(Protocol):
    """What carries out attempts.

    Every `send` ends in exactly one `RequestPipeline.attempt_ended` with the same numbers. A
    transport that can't retry by itself reports the end as parked, and calls
    `RequestPipeline.retry_decision_due` when its own side asks for the next attempt or for how the
    request ends. One that goes on to a fallback by itself reports that with
    `RequestPipeline.attempt_rerouted`; the next attempt is open from then on.
    """

    def send(self, attempt: AttemptRequest) -> None:
        """Begin an attempt."""

    def cancel(self, request_id: int, attempt: int) -> None:
        """Stop waiting for an attempt; its end is reported as any other."""

    def abandon_attempt(self, request_id: int, attempt: int) -> None:
        """End an attempt of a completed request unless its last byte has been written."""


class TimerHandle(Protocol):
    """A timer that is set."""

    def cancel(self) -> object:
        """Have the timer never ring."""


class Timers(Protocol):
    """What calls back later: an event loop, or a test's own."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> TimerHandle:
        """Call back after `delay` seconds."""


@dataclass(slots=True)
class AttemptRequest:
    """An attempt as the policy decided it."""

    request_id: int
    attempt: int  # counted from 0 for each request
    endpoint_id: int
    timeout_ms: float  # from now, or from when the request is complete
    payload: Any  # as the frontend handed it in
    # Endpoints that the transport may go on to by itself, in this order.
    fallbacks: tuple[int, ...] = ()


@dataclass(slots=True)
class IncomingRequest:
    """A valid request as a frontend hands it in. Times are milliseconds on `clock.now_ms`."""

    class_index: int
    tenant: int
    key: int  # 0: none
    deadline: float  # when a response must go out at the latest; infinite while incomplete
    payload: Any  # what the transport needs to carry out attempts
    expected_work_ms: float = 0.0  # the client's estimate, 0: none
    is_client_retry: bool = False  # marked so by the client
    max_fallbacks: int = 0  # endpoints beside the first that the transport can go on to by itself
    possibly_executed: bool = False  # by earlier attempts that this node knows nothing of
    reachable_endpoints: frozenset[int] | None = None  # of the transport; None: all
    request_name: bytes = b""  # its Request-Id header, for people
    complete: bool = True  # else `RequestPipeline.request_completed` follows
    response_window_ms: float = 0.0  # time for a response, from when the request is complete
