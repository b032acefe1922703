"""The interfaces that the request pipeline requires of frontends and transports, and its data.

A *frontend* owes a response: it submits a request by `RequestPipeline.accept` and is notified of
exactly one of response, shed or failure, unless it cancelled the request before. An *upstream
transport* executes an attempt that the policy has decided and reports its end once, by
`RequestPipeline.attempt_ended`. One object may be both: a calling proxy asks for a decision and
executes it itself.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from badgercart.core.streams import ResponseHeaderSection, ResponseSink
from badgercart.policy.events import AttemptResult


@dataclass(slots=True)
class UpstreamResponse:
    """A server's complete response."""

    status: int
    body: bytes = b""
    content_type: bytes = b""


class RequestOutcome(StrEnum):
    """How a request ended for its client."""

    SERVED = "served"
    CLIENT_ERROR = "faulty"  # a server rejected it with a 4xx, which was forwarded
    SHED = "refused"  # it was not executed
    FAILED = "failed"  # it may have been executed
    CANCELLED = "withdrawn"  # its client disconnected


class RequestObserver(Protocol):
    """Observes the end of requests. It must be quick, and must not change anything."""

    def request_finished(
        self,
        request_id: int,
        request: IncomingRequest,
        outcome: RequestOutcome,
        elapsed_ms: float,
        endpoint_id: int,
        attempts: int,
    ) -> None:
        """Observe the end of a request.

        `endpoint_id` is the endpoint that sent the response, 0 where none did.
        """


class AttemptObserver(Protocol):
    """Observes attempts at endpoints. It must be quick, and must not change anything."""

    def attempt_sent(self, endpoint_id: int) -> None:
        """Observe that an attempt is sent."""

    def attempt_ended(self, endpoint_id: int, result: AttemptResult, elapsed_ms: float) -> None:
        """Observe the end of an attempt, `elapsed_ms` after it was sent."""


class Frontend(Protocol):
    """The frontend's side of one request, to which it owes a response.

    Each of the first three calls is the final one for the request.
    """

    def on_response(self, response: UpstreamResponse) -> None:
        """Forward the response of a server."""

    def on_shed(self, retry_after_ms: float) -> None:
        """Tell the client that the request was not executed, so that a retry is safe.

        The client may retry after `retry_after_ms`, or at any time where that is 0.
        """

    def on_failure(self, internal_error: bool) -> None:
        """Tell the client that the request failed, and may have been executed.

        With `internal_error`, the node itself failed.
        """

    def client_is_gone(self) -> bool:
        """Return whether the client has disconnected, even if that has not been read yet.

        The transport asks before it writes each attempt.
        """


class StreamingFrontend(Frontend, Protocol):
    """A frontend whose requests may ask for streamed responses."""

    def on_response_started(self, header_section: ResponseHeaderSection) -> ResponseSink:
        """Start the final response, and return where its body goes."""


class UpstreamTransport(Protocol):
    """Executes attempts.

    Every `send` ends in exactly one `RequestPipeline.attempt_ended` with the same numbers.

    A transport that can't send another attempt by itself reports an end with `retry_deferred`, and
    calls `RequestPipeline.retry_decision_due` when its peer asks for the next attempt or for the
    end of the request. A transport that uses a fallback by itself reports that by
    `RequestPipeline.attempt_rerouted`; the next attempt is then open as if it had been sent.
    """

    def send(self, attempt: AttemptRequest) -> None:
        """Start an attempt."""

    def cancel(self, request_id: int, attempt_number: int) -> None:
        """Stop waiting for an attempt; its end is reported like any other."""

    def abandon_attempt(self, request_id: int, attempt_number: int) -> None:
        """End an attempt whose request is over, unless its last byte has been written already."""


class TimerHandle(Protocol):
    """A timer that is set."""

    def cancel(self) -> object:
        """Cancel the timer."""


class Timers(Protocol):
    """Timers of an event loop, or of a test."""

    def call_later(
        self, delay_s: float, callback: Callable[..., object], *args: Any
    ) -> TimerHandle:
        """Call `callback` after `delay_s` seconds."""


@dataclass(slots=True)
class AttemptRequest:
    """An attempt as the policy decided it."""

    request_id: int
    attempt: int  # number among the request's attempts, from 0
    endpoint_id: int
    timeout_ms: float  # from now, or from when the request is complete
    payload: Any  # as the frontend submitted it
    # Endpoints that the transport may use by itself, in this order.
    fallbacks: tuple[int, ...] = ()


@dataclass(slots=True)
class IncomingRequest:
    """A validated request as a frontend submits it. Times are on the clock of `clock.now_ms`."""

    class_index: int
    tenant: int
    key: int  # 0: none
    # The latest time to start writing a response; infinite while the request is incomplete.
    deadline_ms: float
    payload: Any  # what the transport needs to execute the request
    expected_work_ms: float = 0.0  # the client's estimate of the work, 0: none
    is_client_retry: bool = False  # marked as a retry by the client
    max_fallbacks: int = 0  # endpoints that the transport can use by itself after the first
    # Earlier attempts, which this node does not know of, may have been executed.
    possibly_executed: bool = False
    # The only endpoints that the transport can reach; None: all.
    reachable_endpoints: frozenset[int] | None = None
    request_name: bytes = b""  # its Request-Id, for people
    complete: bool = True  # otherwise `RequestPipeline.request_completed` follows
    response_window_ms: float = 0.0  # time for a response, counted from the completion
    # Its response is streamed, and has no deadline once it has begun.
    streams_response: bool = False
    is_recorded: bool = False  # by itself, in the ledger of requests that must not run twice
