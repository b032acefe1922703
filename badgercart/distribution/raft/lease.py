"""The leader's lease, and the age of a replica's data."""

from __future__ import annotations

import math

from badgercart.distribution.raft.state import RaftState


class LeaderLease:
    """Tracks when a majority of the voters last acknowledged this replica as leader of its term.

    A leader whose lease has expired steps down, because the other voters may have elected another
    leader by then.
    """

    __slots__ = ("_acknowledged_ms", "_duration_ms", "_elected_at_ms", "_state")

    def __init__(self, state: RaftState, duration_ms: float) -> None:
        self._state = state
        self._duration_ms = duration_ms
        self._elected_at_ms = 0.0
        self._acknowledged_ms: dict[str, float] = {}

    def begin(self) -> None:
        """Start a new lease after an election that was just won."""
        self._elected_at_ms = self._state.now_ms
        self._acknowledged_ms.clear()

    def acknowledge(self, peer: str, sent_at_ms: float) -> None:
        """Record that a peer has acknowledged the message sent to it at that time."""
        self._acknowledged_ms[peer] = sent_at_ms

    def quorum_contact_ms(self) -> float:
        """Return the latest time at which a majority of voters certainly followed this leader."""
        group = self._state.group
        contacts = [
            self._state.now_ms
            if voter == group.local
            else self._acknowledged_ms.get(voter, self._elected_at_ms)
            for voter in group.voters
        ]
        return sorted(contacts, reverse=True)[len(group.voters) // 2]

    def expired(self) -> bool:
        """Return whether this replica leads but no majority answered within the lease duration."""
        state = self._state
        return state.is_leader and state.now_ms - self.quorum_contact_ms() >= self._duration_ms


class DataAge:
    """Tracks when this replica last had every change that was committed anywhere in the group."""

    __slots__ = ("_lease", "_state", "complete_at_ms")

    def __init__(self, state: RaftState, lease: LeaderLease) -> None:
        self._state = state
        self._lease = lease
        self.complete_at_ms = -math.inf

    def age_ms(self, now_ms: float) -> float:
        """Return the time since the data was known to be complete; infinite if it never was."""
        return max(0.0, now_ms - self._last_complete_ms())

    def _last_complete_ms(self) -> float:
        state = self._state
        # A leader knows the commit index only once a change of its own term is committed.
        knows_committed = state.is_leader and state.log.commit_index >= state.term_start_index
        if not knows_committed:
            return self.complete_at_ms
        return max(self.complete_at_ms, self._lease.quorum_contact_ms())

    def observe(self, complete_at_ms: float) -> None:
        """Record a time at which this replica had every committed change."""
        self.complete_at_ms = max(self.complete_at_ms, complete_at_ms)

    def leadership_lost(self) -> None:
        """Store the time that the lease proves, before the lease ends with the leader role."""
        now_ms = self._state.now_ms
        self.complete_at_ms = now_ms - self.age_ms(now_ms)
