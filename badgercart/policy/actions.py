"""The actions that the policy answers with. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    id: int
    endpoint_id: int
    timeout_ms: float  # time-out of this attempt, from now or from when its request is whole
    fallbacks: tuple[int, ...] = ()  # where it may go on to by itself, the first one first


@dataclass(slots=True)
class Shed:
    """Final answer: not run, trying again does no harm."""

    id: int
    retry_after_ms: float  # how long the client should stay away; 0: no advice


@dataclass(slots=True)
class Fail:
    """Final answer: failed, nothing promised."""

    id: int


@dataclass(slots=True)
class CancelAttempt:
    id: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    delay_ms: float
    token: int


@dataclass(slots=True)
class HealthCheck:
    endpoint_id: int


@dataclass(slots=True)
class Subscribe:
    """Ask for the server list and for its changes from now on."""


@dataclass(slots=True)
class Log:
    text: str


Action = Send | Shed | Fail | CancelAttempt | SetTimer | HealthCheck | Subscribe | Log
