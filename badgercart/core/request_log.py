"""A line of the log for the end of each request, at level debug."""

from __future__ import annotations

from badgercart.core.log_events import REQUEST_ENDED
from badgercart.core.ports import IncomingRequest, RequestOutcome


class RequestEndLog:
    """Observes the request pipeline."""

    def request_finished(
        self,
        request_id: int,
        request: IncomingRequest,
        outcome: RequestOutcome,
        elapsed_ms: float,
        endpoint_id: int,
        attempts: int,
    ) -> None:
        """Log the end of a request."""
        REQUEST_ENDED(
            request=request.request_name.decode("latin-1"),
            number=request_id,
            outcome=outcome.value,
            elapsed=int(elapsed_ms),
            attempts=attempts,
            endpoint=endpoint_id,
        )
