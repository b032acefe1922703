"""What the join asks of fronts and carriers, and what it hands to each.

A *front* owes an answer: it hands a request to the join with `Join.take` and is told exactly one of
answered, refused or failed, unless it withdrew the request before. A *carrier* carries out an
attempt that the policy has decided and reports its end, once, with `Join.ended`. Both may come from
the same object: a calling proxy asks for a decision and carries it out itself.
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
    """A server's whole answer."""

    status: int
    body: bytes = b""
    content_type: bytes = b""


class RequestOutcome(StrEnum):
    """How a request ended for its client."""

    SERVED = "served"
    CLIENT_ERROR = "faulty"  # a server found it at fault: its 4xx was passed on
    SHED = "refused"  # not run
    FAILED = "failed"  # may have run
    CANCELLED = "withdrawn"  # its client went away


class RequestObserver(Protocol):
    """Whoever watches requests come to their end. It must be quick, and change nothing."""

    def request_finished(
        self,
        request_id: int,
        request: IncomingRequest,
        outcome: RequestOutcome,
        elapsed_ms: float,
        endpoint_id: int,
        attempts: int,
    ) -> None:
        """A request is over after `took` ms and so many sends; `server` gave the answer, 0: none
        did."""


class AttemptObserver(Protocol):
    """Whoever watches attempts at servers. It must be quick, and change nothing."""

    def attempt_sent(self, endpoint_id: int) -> None:
        """An attempt goes out."""

    def attempt_ended(self, endpoint_id: int, result: AttemptResult, elapsed_ms: float) -> None:
        """An attempt has ended, `elapsed` ms after it was sent."""


class Frontend(Protocol):
    """Whoever owes the answer to one request. Each of the first three calls is the final one for
    it."""

    def on_response(self, response: UpstreamResponse) -> None:
        """A server has answered: pass it on."""

    def on_shed(self, retry_after_ms: float) -> None:
        """Not run, trying again does no harm; after `wait` ms, or when it likes where that is 0."""

    def on_failure(self, internal_error: bool) -> None:
        """Nothing is promised: the request may have run, or, where `broken`, the node itself
        failed."""

    def client_is_gone(self) -> bool:
        """Whether its client has left, and that is seen only now: asked before each attempt is
        written."""


class StreamingFrontend(Frontend, Protocol):
    """One whose work may ask for answers that go on as they come."""

    def on_response_started(self, header_section: ResponseHeaderSection) -> ResponseSink:
        """The final answer begins: where it goes."""


class UpstreamTransport(Protocol):
    """Whoever carries out attempts. Every `send` ends in exactly one `Join.ended` with the same
    numbers.

    A carrier that can't send again by itself reports an end as parked, and calls `Join.resume` when
    its own side asks for the next attempt or wants to know how the request ends. One that goes on
    to a fallback by itself says so with `Join.diverted`; the next attempt then is out as if it had
    been sent."""

    def send(self, attempt: AttemptRequest) -> None: ...

    def cancel(self, request_id: int, attempt_number: int) -> None:
        """Stop waiting for an attempt; its end is reported as any other."""

    def abandon_attempt(self, request_id: int, attempt_number: int) -> None:
        """Its request is over: an attempt whose last byte has not gone out never goes out, and ends
        so."""


class TimerHandle(Protocol):
    """A timer that is set."""

    def cancel(self) -> object: ...


class Timers(Protocol):
    """What rings later: an event loop, or a test's own."""

    def call_later(
        self, delay_s: float, callback: Callable[..., object], *args: Any
    ) -> TimerHandle:
        """Call after `delay` s."""


@dataclass(slots=True)
class AttemptRequest:
    """An attempt as the policy decided it."""

    request_id: int
    attempt: int  # of the request's attempts, from 0
    endpoint_id: int
    timeout_ms: (
        float  # ms until the attempt has timed out, from now or from when its request is whole
    )
    payload: Any  # as the front handed it in
    fallbacks: tuple[
        int, ...
    ] = ()  # servers that the carrier may turn to by itself, the first one first


@dataclass(slots=True)
class IncomingRequest:
    """A checked request as a front hands it in. Times are ms on `clock.now_ms`."""

    class_index: int
    tenant: int
    key: int  # 0: none
    deadline_ms: (
        float  # the last moment for an answer to set out; infinite while the request is not whole
    )
    payload: Any  # what the carrier needs to carry it out
    expected_work_ms: float = 0.0  # the client's guess at the work in ms, 0: none
    is_client_retry: bool = False  # marked as the client's retry
    max_fallbacks: int = 0  # how many servers beside the first the carrier can turn to by itself
    possibly_executed: bool = (
        False  # earlier attempts, of which this node knows nothing, may have run
    )
    reachable_endpoints: frozenset[int] | None = None  # the only servers that the carrier can reach
    request_name: bytes = b""  # its Request-Id, for people
    complete: bool = True  # else `Join.whole` follows
    response_window_ms: float = 0.0  # ms from then on in which an answer may set out
