"""One endpoint as discovery lists it, and the statistics of one that outlive a restart."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class State(IntEnum):
    """What the list says of a server."""

    READY = 0
    GONE = 1
    DRAINING = 2


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One line of the server list."""

    id: int
    zone: int
    kind: int
    cell: int
    state: State
    size: float  # compared with other servers' only
    started: float  # 0: long ago


@dataclass(slots=True, frozen=True)
class Known:
    """What was learned of a server before a restart; by class where it is several."""

    started: float  # as `ServerEntry.started`: of another start all else is void
    slow: float  # its answers' time over the usual
    recent: float  # attempts lately
    fails: tuple[float, ...]
    strikes: tuple[float, ...]
