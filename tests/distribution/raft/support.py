"""A Raft state with a recording state machine, for tests of the parts of a node."""

from __future__ import annotations

from badgercart.distribution.effects import EffectQueue, RecoveredState
from badgercart.distribution.messages import Change, Entry
from badgercart.distribution.raft.state import RaftState
from badgercart.distribution.replica_config import ReplicaGroup, ReplicaLimits
from badgercart.distribution.topic import Topic

VOTERS = ("a", "b", "c")


def change(index: int, term: int = 1, size_bytes: int = 1) -> Change:
    """Return a change of topic `t` with one entry of that size."""
    return Change(term, index, "t", (Entry("k", bytes(size_bytes)),))


class RecordingMachine:
    """A state machine that records its calls."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        # Log indices of applied changes, and whether the replica was leading.
        self.applied: list[tuple[int, bool]] = []
        self.leadership_events: list[str] = []

    def apply(self, change: Change, is_leader: bool) -> None:
        self.applied.append((change.index, is_leader))

    def install_snapshot(self, topics: dict[str, Topic]) -> None:
        self.topics = topics

    def change_appended(self, change: Change) -> None:
        self.leadership_events.append(f"appended {change.index}")

    def leadership_gained(self, uncommitted: list[Change]) -> None:
        self.leadership_events.append(f"gained {[change.index for change in uncommitted]}")

    def leadership_lost(self) -> None:
        self.leadership_events.append("lost")


def raft_state(
    recovered: RecoveredState | None = None,
    group: ReplicaGroup | None = None,
    limits: ReplicaLimits | None = None,
) -> tuple[RaftState, RecordingMachine, EffectQueue]:
    """Return the state of replica `a` of three, its state machine and its effects."""
    machine, effects = RecordingMachine(), EffectQueue()
    state = RaftState(
        group or ReplicaGroup("a", VOTERS, VOTERS),
        recovered or RecoveredState(),
        machine,
        effects,
        limits or ReplicaLimits(),
    )
    return state, machine, effects
