"""One endpoint as discovery lists it, and the statistics of one that outlive a restart."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class EndpointState(IntEnum):
    """What discovery says of an endpoint."""

    READY = 0
    GONE = 1
    DRAINING = 2


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One endpoint as discovery lists it."""

    id: int
    zone: int  # negative: in none
    kind: int  # of machine
    cell: int
    state: EndpointState
    size: float  # compared with other endpoints' only; 1 serves one request at once
    started_ms: float  # clock time; 0: long ago


@dataclass(slots=True, frozen=True)
class EndpointStatistics:
    """What was learned of an endpoint before a restart; void if it has started anew since."""

    started_ms: float  # as in `Endpoint`
    relative_latency: float  # over the typical one for class and kind
    recent_attempts: float  # halved now and then
    failure_rates: tuple[float, ...]  # by class
    consecutive_ejections: tuple[float, ...]  # by class
