"""The requests that are owed a final response, and the attempts that are open for them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from badgercart.core.ports import (
    AttemptObserver,
    Frontend,
    IncomingRequest,
    RequestObserver,
    RequestOutcome,
    UpstreamTransport,
)


@dataclass(slots=True)
class InFlightRequest:
    """A request that is owed its final response."""

    frontend: Frontend
    transport: UpstreamTransport
    request: IncomingRequest
    accepted_ms: float  # on the pipeline's clock; 0 where nobody observed requests at that time
    attempts: int = 0


class InFlightRequests:
    """Requests by id, attempts by request id and attempt number, and who observes both.

    An attempt may outlive its request: one that must not be cancelled stays open after the client
    has its response or has gone.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Set up an empty table; `clock` gives milliseconds."""
        self.clock = clock
        self.requests: dict[int, InFlightRequest] = {}
        self.attempts: dict[tuple[int, int], UpstreamTransport] = {}
        # Requests whose client has gone while the policy was handling an event: it may still answer
        # that event with an attempt for them.
        self.cancelled: dict[int, InFlightRequest] = {}
        self.observers: tuple[RequestObserver, ...] = ()
        self.attempt_observers: tuple[AttemptObserver, ...] = ()
        self.last_id = 0

    def next_id(self) -> int:
        """Return a new request id, counted from 1."""
        self.last_id += 1
        return self.last_id

    def add(
        self,
        request_id: int,
        request: IncomingRequest,
        frontend: Frontend,
        transport: UpstreamTransport,
    ) -> None:
        """Take a request into the table."""
        accepted_ms = self.clock() if self.observers else 0.0
        self.requests[request_id] = InFlightRequest(frontend, transport, request, accepted_ms)

    def complete(
        self, request_id: int, outcome: RequestOutcome, endpoint_id: int = 0
    ) -> InFlightRequest | None:
        """Take a request out of the table, tell observers of its outcome, and return it.

        Returns None where the request is not in flight. `endpoint_id` is the endpoint that gave the
        response, 0 where none did.
        """
        in_flight = self.requests.pop(request_id, None)
        if in_flight is not None and self.observers:
            self._notify_finished(request_id, in_flight, outcome, endpoint_id)
        return in_flight

    def _notify_finished(
        self, request_id: int, in_flight: InFlightRequest, outcome: RequestOutcome, endpoint_id: int
    ) -> None:
        accepted_ms = in_flight.accepted_ms
        elapsed_ms = self.clock() - accepted_ms if accepted_ms else 0.0
        for observer in self.observers:
            observer.request_finished(
                request_id,
                in_flight.request,
                outcome,
                elapsed_ms,
                endpoint_id,
                in_flight.attempts,
            )

    def begin_attempt(self, request_id: int, in_flight: InFlightRequest) -> int:
        """Open the request's next attempt and return its number, counted from 0."""
        attempt = in_flight.attempts
        in_flight.attempts += 1
        self.attempts[request_id, attempt] = in_flight.transport
        return attempt

    def abandon_attempts(self, request_id: int, in_flight: InFlightRequest) -> None:
        """Have every attempt of a completed request that is not written yet never be written.

        This holds also where attempts that are under way must not be cancelled.
        """
        for attempt in range(in_flight.attempts):
            transport = self.attempts.get((request_id, attempt))
            if transport is not None:
                transport.abandon_attempt(request_id, attempt)
