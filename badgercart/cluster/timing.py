"""The settings of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass

from badgercart.config import Address


@dataclass(slots=True, frozen=True)
class SwimTiming:
    """Intervals in ms and counts, named as in memberlist where it has them.

    Attributes:
        probe_period_ms: the interval between two probes.
        probe_timeout_ms: the time for an acknowledgement before indirect probes are requested.
        indirect_probes: members that are asked for an indirect probe.
        gossip_interval_ms: the interval between two rounds of gossip.
        gossip_fanout: members that one round of gossip is sent to.
        suspicion_multiplier: the minimum suspicion timeout in probe periods.
        max_suspicion_multiplier: the timeout of an unconfirmed suspicion as a multiple of the
            minimum.
        sync_interval_ms: the interval between push-pulls with a random member.
        retry_interval_ms: the interval between attempts to reach a dead member or a seed.
        dead_retention_ms: how long a dead member may still be alive in another partition.
        expected_size_ms: the time from the start in which the configured cluster size counts.
    """

    probe_period_ms: float = 1000.0
    probe_timeout_ms: float = 500.0
    indirect_probes: int = 3
    gossip_interval_ms: float = 200.0
    gossip_fanout: int = 3
    suspicion_multiplier: float = 4.0
    max_suspicion_multiplier: float = 6.0
    sync_interval_ms: float = 30_000.0
    retry_interval_ms: float = 2000.0
    dead_retention_ms: float = 600_000.0
    expected_size_ms: float = 60_000.0


@dataclass(slots=True, frozen=True)
class Bootstrap:
    """What is configured about a cluster that the node has not joined yet.

    Attributes:
        seeds: addresses of members through which the node joins.
        expected_size: how many members the cluster should have.
    """

    seeds: tuple[Address, ...] = ()
    expected_size: int = 1
