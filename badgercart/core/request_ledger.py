"""Which requests were begun a short time ago, by their Request-Ids, so that none runs twice.

What this process has begun is in its memory; what it shares with another process of its node is kept
by another module. Clock times are those of the machine's monotonic clock, so that all processes on
it can use each other's. No I/O here.
"""

from __future__ import annotations

from typing import Protocol

from badgercart.core.ports import IncomingRequest, RequestOutcome

# An id that comes again after this time is taken for another request.
RETENTION_MS = 60_000.0
MAX_REQUESTS = 16_384  # of this process


class SharedLedger(Protocol):
    """What several processes of one node have begun."""

    def begin(self, name: bytes, now_ms: float) -> float | None:
        """Note that a request begins; return how long ago one of its id began (ms), if one did."""

    def forget(self, name: bytes) -> None:
        """Forget a request that was never sent to a server."""


class RequestLedger:
    """The requests that were begun a short time ago.

    Args:
        shared: what other processes of this node see too; None: there is nothing.
    """

    def __init__(self, shared: SharedLedger | None = None) -> None:
        # When each request was begun (ms), by the hash of its id, the longest ago first.
        self._begun_ms: dict[int, float] = {}
        self._shared = shared

    def begin(self, name: bytes, now_ms: float) -> float | None:
        """Note that a request begins; return how long ago one of its id began (ms), if one did."""
        number = hash(name)
        begun_ms = self._begun_ms.get(number)
        if begun_ms is not None and now_ms - begun_ms < RETENTION_MS:
            return now_ms - begun_ms
        if self._shared is not None:
            age_ms = self._shared.begin(name, now_ms)
            if age_ms is not None:
                return age_ms
        self._drop_old(now_ms)
        self._begun_ms.pop(number, None)
        self._begun_ms[number] = now_ms
        return None

    def _drop_old(self, now_ms: float) -> None:
        """Drop entries that are too old, and the oldest of too many."""
        while self._begun_ms:
            oldest = next(iter(self._begun_ms))
            is_recent = now_ms - self._begun_ms[oldest] < RETENTION_MS
            if is_recent and len(self._begun_ms) < MAX_REQUESTS:
                return
            del self._begun_ms[oldest]

    def forget(self, name: bytes) -> None:
        """Forget a request that was never sent to a server."""
        self._begun_ms.pop(hash(name), None)
        if self._shared is not None:
            self._shared.forget(name)

    # As an observer of requests.

    def request_finished(
        self,
        request_id: int,  # noqa: ARG002
        request: IncomingRequest,
        outcome: RequestOutcome,
        elapsed_ms: float,  # noqa: ARG002
        endpoint_id: int,  # noqa: ARG002
        attempts: int,
    ) -> None:
        """Forget a request that was shed, or whose client left before any attempt."""
        never_sent = outcome is RequestOutcome.CANCELLED and not attempts
        if request.is_recorded and (outcome is RequestOutcome.SHED or never_sent):
            self.forget(request.request_name)
