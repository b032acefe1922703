"""The leader's lease: its contact with a majority of the voters; and the age of what a node has."""

from __future__ import annotations

import math

from badgercart.distribution.raft.state import RaftState


class LeaderLease:
    """Knows when a majority of the voters last took this replica for the leader of its term.

    A leader whose lease has expired steps down: others may have elected another by then.
    """

    __slots__ = ("_acknowledged_ms", "_duration_ms", "_elected_at_ms", "_state")

    def __init__(self, state: RaftState, duration_ms: float) -> None:
        self._state = state
        self._duration_ms = duration_ms
        self._elected_at_ms = 0.0
        self._acknowledged_ms: dict[str, float] = {}

    def begin(self) -> None:
        """Start over with an election that was just won."""
        self._elected_at_ms = self._state.now_ms
        self._acknowledged_ms.clear()

    def acknowledge(self, peer: str, sent_at_ms: float) -> None:
        """Note that a peer has answered what was sent to it at that time."""
        self._acknowledged_ms[peer] = sent_at_ms

    def quorum_contact_ms(self) -> float:
        """Return the time at which a majority of the voters certainly had this leader."""
        group = self._state.group
        contacts = [
            self._state.now_ms
            if voter == group.local
            else self._acknowledged_ms.get(voter, self._elected_at_ms)
            for voter in group.voters
        ]
        return sorted(contacts, reverse=True)[len(group.voters) // 2]

    def expired(self) -> bool:
        """Tell whether this replica leads without a majority having answered for a lease."""
        state = self._state
        return state.is_leader and state.now_ms - self.quorum_contact_ms() >= self._duration_ms


class DataAge:
    """Knows when this replica last had every change that was committed anywhere."""

    __slots__ = ("_lease", "_state", "complete_at_ms")

    def __init__(self, state: RaftState, lease: LeaderLease) -> None:
        self._state = state
        self._lease = lease
        self.complete_at_ms = -math.inf

    def age_ms(self, now_ms: float) -> float:
        """Return the time since then; infinite where it was never known."""
        return max(0.0, now_ms - self._last_complete_ms())

    def _last_complete_ms(self) -> float:
        state = self._state
        # Until a change of its own term is committed, a leader doesn't know what was.
        knows_committed = state.is_leader and state.log.commit_index >= state.term_start_index
        if not knows_committed:
            return self.complete_at_ms
        return max(self.complete_at_ms, self._lease.quorum_contact_ms())

    def observe(self, complete_at_ms: float) -> None:
        """Note a time at which this replica had everything."""
        self.complete_at_ms = max(self.complete_at_ms, complete_at_ms)

    def leadership_lost(self) -> None:
        """Keep what the lease proves, which is gone with the leader's role."""
        now_ms = self._state.now_ms
        self.complete_at_ms = now_ms - self.age_ms(now_ms)
