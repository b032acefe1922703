"""Why a listener ends a client's connection that the client would have kept."""

from __future__ import annotations

from enum import StrEnum

from badgercart.core.log_events import LogEvent
from badgercart.frontends.http.log_events import ANSWER_UNREAD, EVICTED, REQUEST_INCOMPLETE


class CloseReason(StrEnum):
    """The reasons, as metrics show them."""

    EVICTED = "evicted"
    REQUEST_INCOMPLETE = "request_incomplete"
    ANSWER_UNREAD = "answer_unread"
    IDLE = "idle"
    MEMORY = "memory"


# The reasons that are worth a line in the log.
LOGGED_REASONS: dict[CloseReason, LogEvent] = {
    CloseReason.EVICTED: EVICTED,
    CloseReason.REQUEST_INCOMPLETE: REQUEST_INCOMPLETE,
    CloseReason.ANSWER_UNREAD: ANSWER_UNREAD,
}
