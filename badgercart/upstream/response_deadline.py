"""Ends responses whose server has stopped within them, by their clients' deadlines."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from badgercart.core.clock import MS_PER_S, RESPONSE_MARGIN_MS, now_ms
from badgercart.upstream.log_events import RESPONSE_STOPPED
from badgercart.upstream.response_progress import STOP_DECISION_DELAY_MS

if TYPE_CHECKING:
    from badgercart.upstream.server_connection import Attempt, ServerConnection

# An iteration of the event loop, between a deadline and its consequence. The loop runs timers before
# it reads: after a stall a response may be in the socket unread.
FINAL_READ_DELAY_S = 0.001


def no_deadline(request_id: int) -> float:
    """Return infinity, where nothing limits when a response has to be complete."""
    return math.inf


def log_stopped(connection: ServerConnection, attempt: Attempt) -> None:
    """Log that a response is given up, as its server has stopped within it."""
    RESPONSE_STOPPED(
        server=attempt.server.endpoint,
        request=attempt.request_id,
        body=connection.progress.body_bytes,
        silent=int(now_ms() - connection.progress.last_growth_ms),
    )


def client_time_ms(attempt: Attempt) -> float:
    """Return the clock time at which the time of an attempt's client is over."""
    return attempt.deadline_ms + RESPONSE_MARGIN_MS


class ResponseDeadlines:
    """The deadlines of responses that have begun.

    Args:
        loop: the event loop.
        deadline_ms: returns the clock time at which a short response to a request has to be
            complete; infinite: it has no deadline.
        end_stream: ends an attempt whose streamed response has stopped.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deadline_ms: Callable[[int], float],
        end_stream: Callable[[Attempt], None],
    ) -> None:
        self.deadline_ms = deadline_ms
        self._loop = loop
        self._end_stream = end_stream

    def watch_stream(self, attempt: Attempt, deadline_ms: float) -> None:
        """Have a streamed response end soon after its deadline, if it may be short and stops."""
        attempt.deadline_ms, attempt.past_deadline = deadline_ms, False
        if deadline_ms < math.inf:
            self._check_at(attempt, client_time_ms(attempt) + STOP_DECISION_DELAY_MS)

    def _check_at(self, attempt: Attempt, at_ms: float) -> None:
        delay_s = max(0.0, at_ms - now_ms()) / MS_PER_S
        attempt.timer = self._loop.call_later(delay_s, self._check_stream, attempt)

    def _check_stream(self, attempt: Attempt) -> None:
        """End a streamed response past its deadline that has stopped and may be short."""
        connection, now = attempt.connection, now_ms()
        if connection is None or not connection.exchange.may_be_short:
            return
        if connection.read_paused:  # its client is the slow side
            self._check_at(attempt, now + STOP_DECISION_DELAY_MS)
            return
        has_length = connection.exchange.body_length is not None
        stops_at_ms = connection.progress.stops_at_ms(client_time_ms(attempt), has_length)
        if stops_at_ms == math.inf:
            return
        if now < stops_at_ms:
            attempt.past_deadline = False
            self._check_at(attempt, stops_at_ms)
        elif not attempt.past_deadline:
            attempt.past_deadline = True
            self._check_at(attempt, now + FINAL_READ_DELAY_S * MS_PER_S)
        else:
            log_stopped(connection, attempt)
            self._end_stream(attempt)
