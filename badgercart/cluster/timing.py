"""The settings of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass

from badgercart.config import Address


@dataclass(slots=True, frozen=True)
class SwimTiming:
    """Intervals in ms, and counts, by the names that memberlist gives them where it has them."""

    probe_period_ms: float = 1000.0
    probe_timeout_ms: float = 500.0  # after which other members are asked to probe
    indirect_probes: int = 3  # members that are asked then
    gossip_interval_ms: float = 200.0
    gossip_fanout: int = 3  # members that one round of gossip goes to
    suspicion_multiplier: float = 4.0  # probe periods of the shortest suspicion
    max_suspicion_multiplier: float = 6.0  # of the shortest: a suspicion that nobody confirms
    sync_interval_ms: float = 30_000.0  # between push-pulls with a random member
    retry_interval_ms: float = 2000.0  # between attempts to reach a dead member or a seed
    dead_retention_ms: float = 600_000.0  # for which a dead member may still be alive
    expected_size_ms: float = 60_000.0  # from the start, in which the configured size counts


@dataclass(slots=True, frozen=True)
class Bootstrap:
    """What a node is told of its cluster, before it has seen it.

    Attributes:
        seeds: members that it turns to at first.
        expected_size: how many members there should be.
    """

    seeds: tuple[Address, ...] = ()
    expected_size: int = 1
