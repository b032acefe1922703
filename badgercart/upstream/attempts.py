"""The life of one attempt: its phases, and how it may end from each. No I/O: tables."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

from badgercart.policy.events import AttemptResult
from badgercart.upstream.errors import IllegalResultError

if TYPE_CHECKING:
    from badgercart.upstream.connection import UpstreamConnection
    from badgercart.upstream.connection_pool import UpstreamEndpoint
    from badgercart.upstream.exchange import UpstreamRequest


class AttemptPhase(IntEnum):
    """How far an attempt has come."""

    CONNECTING = 0  # no byte has been sent
    SENT = 1  # given to the socket's transport: it may have been executed
    UPLOADING = 2  # the request's body is streamed: it can't be executed before its last byte
    STREAMING = 3  # the response is streamed


# What never was sent was never executed, and what was sent may have been.
POSSIBLE_RESULTS: dict[AttemptPhase, tuple[AttemptResult, ...]] = {
    AttemptPhase.CONNECTING: (
        AttemptResult.UNREACHABLE,
        AttemptResult.CANCELLED,
        AttemptResult.NOT_SENT,
    ),
    AttemptPhase.SENT: (
        AttemptResult.OK,
        AttemptResult.ERROR,
        AttemptResult.FULL,
        AttemptResult.RESET,
        AttemptResult.TIMEOUT,
        AttemptResult.CANCELLED,
    ),
    AttemptPhase.UPLOADING: (
        AttemptResult.OK,
        AttemptResult.ERROR,
        AttemptResult.FULL,
        AttemptResult.UNREACHABLE,
        AttemptResult.CANCELLED,
    ),
    AttemptPhase.STREAMING: (
        AttemptResult.OK,
        AttemptResult.ERROR,
        AttemptResult.RESET,
        AttemptResult.TIMEOUT,
        AttemptResult.CANCELLED,
    ),
}
TIMEOUT_RESULTS = {
    AttemptPhase.CONNECTING: AttemptResult.UNREACHABLE,
    AttemptPhase.SENT: AttemptResult.TIMEOUT,
    AttemptPhase.UPLOADING: AttemptResult.UNREACHABLE,
    AttemptPhase.STREAMING: AttemptResult.TIMEOUT,
}
DISCONNECT_RESULTS = {
    AttemptPhase.SENT: AttemptResult.RESET,
    AttemptPhase.UPLOADING: AttemptResult.UNREACHABLE,
    AttemptPhase.STREAMING: AttemptResult.RESET,
}


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, from when the policy decided it to its end."""

    request_id: int
    attempt: int  # its number, counted from 0 for each request
    endpoint: UpstreamEndpoint
    version: int  # of the endpoint when the attempt was decided
    request: UpstreamRequest
    started_ms: float
    deadline_ms: float  # infinite while the request's body is not complete
    phase: AttemptPhase = AttemptPhase.CONNECTING
    timed_out: bool = False
    timeout_ms: float = 0.0  # where it counts from when the request is complete
    timer: asyncio.TimerHandle | None = None
    stream_timer: asyncio.TimerHandle | None = None  # when its response is streamed at the latest
    connecting: asyncio.Task[None] | None = None
    connection: UpstreamConnection | None = None


def blocked_result(is_awaited: bool, is_usable: bool, left_ms: float) -> AttemptResult | None:
    """Return how an attempt ends that may not be written now; None where it may.

    Args:
        is_awaited: a client still waits for its request.
        is_usable: its endpoint and connection may get something new.
        left_ms: what is left of its time.
    """
    if not is_awaited:
        return AttemptResult.NOT_SENT
    return None if is_usable and left_ms > 0 else AttemptResult.UNREACHABLE


def check_result(phase: AttemptPhase, result: AttemptResult) -> None:
    """Raise IllegalResultError where an attempt in this phase can't end so."""
    if result not in POSSIBLE_RESULTS[phase]:
        raise IllegalResultError(phase.name, result.name)
