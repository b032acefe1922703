"""The configuration of a replica: its group, timing and limits."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ReplicaGroup:
    """The replicas of one Raft group, as configured on one of them.

    Raises ValueError if there is no voter, or a name is not among the members.

    Attributes:
        local: the name of this replica.
        voters: the names of the voters.
        members: the names of all replicas: voters and learners.
    """

    local: str
    voters: tuple[str, ...]
    members: tuple[str, ...]

    def __post_init__(self) -> None:
        if not set(self.voters) | {self.local} <= set(self.members) or not self.voters:
            detail = (
                f"{self.local!r} and the voters {self.voters} "
                f"have to be among the stores {self.members}"
            )
            raise ValueError(detail)

    def is_voter(self, name: str) -> bool:
        """Return whether a member is a voter."""
        return name in self.voters


@dataclass(slots=True, frozen=True)
class ReplicaTiming:
    """Intervals and timeouts of a replica.

    Attributes:
        heartbeat_interval_ms: the interval of a leader's heartbeats to the other replicas.
        election_timeout_ms: the minimum election timeout, drawn anew each time up to twice this;
            also the duration of a leader's lease.
        subscriber_heartbeat_interval_ms: the interval of heartbeats to subscribers.
        reply_timeout_ms: the timeout for a Hello, or for the response of a replica.
    """

    heartbeat_interval_ms: float = 100.0
    election_timeout_ms: float = 1000.0
    subscriber_heartbeat_interval_ms: float = 1000.0
    reply_timeout_ms: float = 5000.0


@dataclass(slots=True, frozen=True)
class ReplicaLimits:
    """Memory limits of one replica.

    Attributes:
        max_topics: topics.
        max_entries: entries of all topics together.
        max_subscribers: subscribed connections.
        max_subscriptions: topics of all subscribers together.
        max_topic_history: deltas of one topic that are kept for subscribers that lag.
        max_history: deltas of all topics together.
        max_history_bytes: bytes of these deltas.
        max_log_changes: committed changes kept for other replicas after a compaction of the log.
        max_log_bytes: bytes of these changes.
        max_pending_proposals: proposals that are not decided.
        max_pending_bytes: bytes of uncommitted changes.
        max_concurrent_snapshots: replicas to which a snapshot is sent at the same time.
        max_snapshot_parts: parts of a received snapshot.
        max_unidentified_connections: connections that are neither a replica's nor subscribed.
    """

    max_topics: int = 16_384
    max_entries: int = 1_000_000
    max_subscribers: int = 1024
    max_subscriptions: int = 1 << 18
    max_topic_history: int = 64
    max_history: int = 16_384
    max_history_bytes: int = 64 << 20
    max_log_changes: int = 4096
    max_log_bytes: int = 64 << 20
    max_pending_proposals: int = 1024
    max_pending_bytes: int = 16 << 20
    max_concurrent_snapshots: int = 2
    max_snapshot_parts: int = 4096
    max_unidentified_connections: int = 256
