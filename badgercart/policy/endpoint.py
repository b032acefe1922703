"""One endpoint as discovery lists it, and the statistics of one that outlive a restart."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class EndpointState(IntEnum):
    """What the list says of a server."""

    READY = 0
    GONE = 1
    DRAINING = 2


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One line of the server list."""

    id: int
    zone: int
    kind: int
    cell: int
    state: EndpointState
    size: float  # compared with other servers' only
    started_ms: float  # 0: long ago


@dataclass(slots=True, frozen=True)
class EndpointStatistics:
    """What was learned of a server before a restart; by class where it is several."""

    started_ms: float  # as `ServerEntry.started`: of another start all else is void
    relative_latency: float  # its answers' time over the usual
    recent_attempts: float  # attempts lately
    failure_rates: tuple[float, ...]
    consecutive_ejections: tuple[float, ...]
