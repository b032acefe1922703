"""The actions that the policy answers with."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """Send a request to an endpoint, as its next attempt; attempts are numbered from 0."""

    id: int  # of the request
    endpoint_id: int
    timeout_ms: float  # from now, or from when the request is complete
    fallbacks: tuple[int, ...] = ()  # endpoints that the transport may go on to by itself, in order


@dataclass(slots=True)
class Shed:
    """End a request: it was not executed, or trying again does no harm."""

    id: int  # of the request
    retry_after_ms: float  # how long the client should stay away; 0: no advice


@dataclass(slots=True)
class Fail:
    """End a request: it failed, and may have been executed."""

    id: int  # of the request


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an open attempt; its end is still to be told."""

    id: int  # of the request
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Tell `TimerFired` with this token after a while."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class HealthCheck:
    """Check an endpoint's health."""

    endpoint_id: int


@dataclass(slots=True)
class Subscribe:
    """Ask for the endpoints, and for their changes from now on."""


@dataclass(slots=True)
class Log:
    """Say something in the log."""

    text: str


Action = Send | Shed | Fail | CancelAttempt | SetTimer | HealthCheck | Subscribe | Log
