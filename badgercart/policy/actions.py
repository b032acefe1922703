"""The actions that the policy returns for the caller to execute."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """Send a request to an endpoint as its next attempt; attempts are numbered from 0.

    Attributes:
        id: the id of the request.
        endpoint_id: the endpoint of the attempt.
        timeout_ms: time allowed for the attempt, from now on; for an incomplete request, from when
            it is complete.
        fallbacks: endpoints that the transport may try next without asking the policy, in order.
    """

    id: int
    endpoint_id: int
    timeout_ms: float
    fallbacks: tuple[int, ...] = ()


@dataclass(slots=True)
class Shed:
    """End a request that was not executed, or that the client may retry without harm.

    Attributes:
        id: the id of the request.
        retry_after_ms: how long the client should wait before a retry; 0: no advice.
    """

    id: int
    retry_after_ms: float


@dataclass(slots=True)
class Fail:
    """End a request that failed and may have been executed.

    Attributes:
        id: the id of the request.
    """

    id: int


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an open attempt; an `AttemptEnded` event still has to follow.

    Attributes:
        id: the id of the request.
        attempt: the number of the attempt.
    """

    id: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Send a `TimerFired` event with this token after a delay."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class HealthCheck:
    """Check an endpoint's health."""

    endpoint_id: int


@dataclass(slots=True)
class Subscribe:
    """Request the list of endpoints, and its changes from now on."""


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Send | Shed | Fail | CancelAttempt | SetTimer | HealthCheck | Subscribe | Log
