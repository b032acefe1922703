"""One endpoint as discovery lists it, and the statistics of one that are kept over a restart."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class EndpointState(IntEnum):
    """The state that discovery reports for an endpoint."""

    READY = 0
    GONE = 1
    DRAINING = 2


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One endpoint as discovery lists it.

    Attributes:
        id: the id of the endpoint; ids are never reused.
        zone: the index of its zone; negative: none.
        kind: the index of its kind of machine.
        cell: the index of its cell.
        state: whether it accepts requests.
        size: its capacity relative to other endpoints; size 1 serves one request at once.
        started_ms: the clock time of its start; 0: long ago.
    """

    id: int
    zone: int
    kind: int
    cell: int
    state: EndpointState
    size: float
    started_ms: float


@dataclass(slots=True, frozen=True)
class EndpointStatistics:
    """What was learned of an endpoint before a restart; void if the endpoint has restarted since.

    Attributes:
        started_ms: as in `Endpoint`.
        relative_latency: its latency over the typical one for class and kind.
        recent_attempts: attempts that it got, halved periodically.
        failure_rates: its failure rates, by class.
        consecutive_ejections: its consecutive ejections, by class.
    """

    started_ms: float
    relative_latency: float
    recent_attempts: float
    failure_rates: tuple[float, ...]
    consecutive_ejections: tuple[float, ...]
