"""The quorum: how much of the largest cluster it has seen a node can reach. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from badgercart.cluster.membership_table import REACHABLE, MembershipTable, MemberStatus


class QuorumLevel(StrEnum):
    """How much of the cluster a node reaches, from most to least.

    The log, the admin page and the commands show the values.
    """

    # Every member that may be alive is reachable.
    ALL = "whole"
    # More than half of them are reachable; no other partition can have a majority.
    MAJORITY = "most"
    MINORITY = "some"
    ISOLATED = "alone"


@dataclass(slots=True, frozen=True)
class QuorumState:
    """The quorum of a node at a point in time.

    Attributes:
        level: how much of the cluster the node reaches.
        reachable: the names of the reachable members in sorted order, including the node itself.
        possibly_alive: the number of reachable members and of those that may only be partitioned.
    """

    level: QuorumLevel
    reachable: tuple[str, ...]
    possibly_alive: int

    @property
    def has_majority(self) -> bool:
        """Whether the node is in a partition with more than half of the cluster."""
        return self.level in (QuorumLevel.ALL, QuorumLevel.MAJORITY)


def quorum_level(reachable: int, cluster_size: int) -> QuorumLevel:
    """Return the level for `reachable` of `cluster_size` members that may be alive.

    Both counts include the node itself.
    """
    if reachable >= cluster_size:
        return QuorumLevel.ALL
    if 2 * reachable > cluster_size:
        return QuorumLevel.MAJORITY
    return QuorumLevel.MINORITY if reachable > 1 else QuorumLevel.ISOLATED


@dataclass(slots=True, frozen=True)
class QuorumRule:
    """How the cluster size is determined that reachable members are compared with.

    Attributes:
        dead_retention_ms: how long a dead member may still be alive in another partition.
        expected_size: the minimum cluster size while too few members have been seen.
    """

    dead_retention_ms: float
    expected_size: int = 1


def assess_quorum(
    table: MembershipTable, local_name: str, now_ms: float, rule: QuorumRule
) -> QuorumState:
    """Return the quorum of a node.

    The cluster size counts all members seen within the retention that did not announce that they
    leave, not only the currently reachable ones: a partition that declared the rest dead must not
    take itself for the complete cluster. Suspects count as reachable, but not for the level.
    """
    reachable = {local_name} | {state.record.name for state in table.with_status(*REACHABLE)}
    alive = {local_name} | {state.record.name for state in table.with_status(MemberStatus.ALIVE)}
    possibly_partitioned = sum(
        now_ms - state.since_ms < rule.dead_retention_ms
        for state in table.with_status(MemberStatus.DEAD)
    )
    left = sum(state.record.name != local_name for state in table.with_status(MemberStatus.LEFT))
    possibly_alive = max(len(reachable) + possibly_partitioned, rule.expected_size - left)
    level = quorum_level(len(alive), possibly_alive)
    return QuorumState(level, tuple(sorted(reachable)), possibly_alive)


def isolated(local_name: str, quorum: QuorumState) -> QuorumState:
    """Return the quorum of a node that must not rely on any other member, reachable or not."""
    return QuorumState(QuorumLevel.ISOLATED, (local_name,), quorum.possibly_alive)
