"""Logs membership changes, and keeps the latest for the page and `badgercart peers why`."""

from __future__ import annotations

from collections import deque
from typing import Any

from badgercart.cluster import log_events
from badgercart.cluster.effects import Effect, MemberChanged, NameConflict, ProcessPaused
from badgercart.cluster.membership_table import MemberState, MemberStatus
from badgercart.cluster.swim import SwimProtocol

# Membership changes that are kept; the oldest are dropped first.
MAX_RECORDED_CHANGES = 512
# The words for a member's status on the admin page and in the log.
STATUS_WORDS = {
    MemberStatus.ALIVE: "alive",
    MemberStatus.SUSPECT: "suspect",
    MemberStatus.DEAD: "dead",
    MemberStatus.LEFT: "left",
}


class ClusterEventLog:
    """Logs effects, each with a hybrid timestamp, and owns the list of the latest changes."""

    def __init__(self, protocol: SwimProtocol) -> None:
        self._protocol = protocol
        self.changes: deque[dict[str, Any]] = deque(maxlen=MAX_RECORDED_CHANGES)

    def stamp(self) -> dict[str, Any]:
        """Return the field of a log event that holds its hybrid timestamp."""
        wall_ms, counter = self._protocol.timestamp()
        return {"hlc": f"{wall_ms}.{counter}"}

    def record(self, effect: Effect) -> None:
        """Log an effect if it has a log event."""
        if isinstance(effect, MemberChanged):
            self._member_changed(effect.after)
        elif isinstance(effect, NameConflict):
            self._name_conflict(effect)
        elif isinstance(effect, ProcessPaused):
            log_events.PROCESS_PAUSED(gap_ms=round(effect.gap_ms), **self.stamp())

    def _member_changed(self, state: MemberState) -> None:
        record, stamp = state.record, self.stamp()
        fields = {
            "peer": record.name,
            "status": STATUS_WORDS[record.status],
            "word": state.reporter,
            "accuser": record.accuser,
            "incarnation": record.incarnation,
        }
        self.changes.append(fields | stamp)
        log_events.MEMBER_CHANGED(**fields, **stamp)

    def _name_conflict(self, conflict: NameConflict) -> None:
        log_events.NAME_CONFLICT(
            name=self._protocol.local_record.name,
            does="stands back" if conflict.yields else "goes on",
            boot=conflict.generation,
            **self.stamp(),
        )
