"""How much of its cluster a node reaches, against the largest cluster that it has seen. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from badgercart.cluster.membership_table import REACHABLE, MembershipTable, MemberStatus


class QuorumLevel(StrEnum):
    """What a node may decide by itself, from most to least.

    The values are those of the log, the admin page and the commands.
    """

    ALL = "whole"  # every member that may be alive is reachable
    MAJORITY = "most"  # more than half of them: no other part of the cluster can have it
    MINORITY = "some"
    ISOLATED = "alone"


@dataclass(slots=True, frozen=True)
class QuorumState:
    """What a node can count on at a moment."""

    level: QuorumLevel
    reachable: tuple[str, ...]  # reachable members by name, the node itself among them
    possibly_alive: int  # those and all that may only be cut off

    @property
    def has_majority(self) -> bool:
        """Whether the node is in a part of the cluster that holds more than half of it."""
        return self.level in (QuorumLevel.ALL, QuorumLevel.MAJORITY)


def quorum_level(reachable: int, cluster_size: int) -> QuorumLevel:
    """Return the level where `reachable` of `cluster_size` possibly alive are reachable.

    Both counts have the node itself in them.
    """
    if reachable >= cluster_size:
        return QuorumLevel.ALL
    if 2 * reachable > cluster_size:
        return QuorumLevel.MAJORITY
    return QuorumLevel.MINORITY if reachable > 1 else QuorumLevel.ISOLATED


@dataclass(slots=True, frozen=True)
class QuorumRule:
    """How the size of the cluster is determined, against which reachable members count."""

    dead_retention_ms: float  # for which a silent member that was seen may still be alive
    expected_size: int = 1  # the least size, where too little has been seen yet


def assess_quorum(
    table: MembershipTable, local_name: str, now_ms: float, rule: QuorumRule
) -> QuorumState:
    """Return what the node can count on.

    The size of the cluster is that of the union of all members seen within the retention that did
    not announce that they leave, not what gossip says at the moment: a half that declared the other
    dead must not take itself for all. Suspects count as reachable, but not for the level.
    """
    live = {local_name} | {state.record.name for state in table.with_status(*REACHABLE)}
    alive = {local_name} | {state.record.name for state in table.with_status(MemberStatus.ALIVE)}
    possibly_cut_off = sum(
        now_ms - state.since_ms < rule.dead_retention_ms
        for state in table.with_status(MemberStatus.DEAD)
    )
    left = sum(state.record.name != local_name for state in table.with_status(MemberStatus.LEFT))
    possibly_alive = max(len(live) + possibly_cut_off, rule.expected_size - left)
    level = quorum_level(len(alive), possibly_alive)
    return QuorumState(level, tuple(sorted(live)), possibly_alive)


def isolated(local_name: str, quorum: QuorumState) -> QuorumState:
    """Return the state of a node that must count on nobody, whoever is reachable."""
    return QuorumState(QuorumLevel.ISOLATED, (local_name,), quorum.possibly_alive)
