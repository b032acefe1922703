"""What a replica is built from: its group, its timing and its limits."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ReplicaGroup:
    """The replicas of one Raft group, seen from one of them.

    Raises ValueError where there is no voter, or a name is not among the members.
    """

    local: str  # the name of this replica
    voters: tuple[str, ...]
    members: tuple[str, ...]  # voters and learners

    def __post_init__(self) -> None:
        if not set(self.voters) | {self.local} <= set(self.members) or not self.voters:
            detail = (
                f"{self.local!r} and the voters {self.voters} "
                f"have to be among the stores {self.members}"
            )
            raise ValueError(detail)

    def is_voter(self, name: str) -> bool:
        """Tell whether a member has a vote."""
        return name in self.voters


@dataclass(slots=True, frozen=True)
class ReplicaTiming:
    """Intervals and timeouts of a replica."""

    heartbeat_interval_ms: float = 100.0  # of a leader to the other replicas
    election_timeout_ms: float = 1000.0  # at least; up to twice that, drawn for each wait
    subscriber_heartbeat_interval_ms: float = 1000.0
    reply_timeout_ms: float = 5000.0  # for a Hello, or the answer to a request


@dataclass(slots=True, frozen=True)
class ReplicaLimits:
    """Bounds of all tables of one replica."""

    max_topics: int = 16_384
    max_entries: int = 1_000_000  # of all topics together
    max_subscribers: int = 1024
    max_subscriptions: int = 1 << 18  # of all subscribers together
    max_topic_history: int = 64  # deltas of one topic that can be sent again
    max_history: int = 16_384  # deltas of all topics together
    max_history_bytes: int = 64 << 20
    max_log_changes: int = 4096  # committed changes kept for other replicas after a compaction
    max_log_bytes: int = 64 << 20  # the same, in bytes
    max_pending_proposals: int = 1024
    max_pending_bytes: int = 16 << 20
    max_concurrent_snapshots: int = 2  # replicas that are sent all topics at a time
    max_snapshot_parts: int = 4096
    max_unidentified_connections: int = 256  # neither replicas' nor subscribed
