"""The events that the policy is told of, and the types that they carry.

``Policy(settings, seed).handle(now, event)`` takes one event and returns a list of actions, which the caller
carries out in that order. All times are milliseconds on one monotonic clock, whose origin is unspecified.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from badgercart.policy.endpoint import ServerEntry
from badgercart.policy.settings import Settings, _need


class ListKind(IntEnum):
    """How a server list came."""

    DELTA = 0  # changed entries only
    FULL = 1  # the whole list; who is missing is gone
    CACHED = 2  # the whole list as it was held before a restart
    FAILED = 3  # a call failed or the subscription broke; the old list stays in force


class Result(IntEnum):
    """How an attempt ended."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    UNREACHABLE = 5
    RESET = 6
    CANCELLED = 7
    NOT_SENT = 8


NEVER_RAN = frozenset({Result.FULL, Result.UNREACHABLE, Result.NOT_SENT})  # these results prove it

MAY_RUN_ON = frozenset(
    {Result.TIMEOUT, Result.RESET, Result.CANCELLED}
)  # the attempt may be at work still


@dataclass(slots=True)
class ServerList:
    kind: ListKind
    version: int
    servers: list[ServerEntry]


@dataclass(slots=True)
class Request:
    id: int
    cls: int
    due: float  # clock time at which the client gives up on this try
    key: int = 0  # 0: none
    tenant: int = 0
    hint: float = 0.0  # expected work, 0: unknown
    repeat: bool = False  # marked by the client as its retry
    fallbacks: int = 0  # further servers that whoever carries it out may turn to by itself
    resumed: bool = False  # earlier attempts, of which this node knows nothing, may have run
    among: frozenset[int] | None = None  # the only servers that whoever carries it out can reach
    whole: bool = True  # else its times count from the `Whole` that follows, and `due` is infinite


@dataclass(slots=True)
class Whole:
    """A request has come in whole: its times count from now on."""

    id: int
    due: float


@dataclass(slots=True)
class Began:
    """The answer goes on to the client as it comes: no other attempt, and no deadline runs any
    longer."""

    id: int
    attempt: int
    server: int
    elapsed: float


@dataclass(slots=True)
class Outcome:
    id: int
    server: int
    over: bool  # the request is over, by this outcome or before it
    result: int
    attempt: int
    elapsed: float
    report: tuple[float, ...] = ()
    parked: bool = (
        False  # nothing is decided until a Resume: who would carry it out has yet to come back
    )
    spent: bool = False  # what it would take to send the request again is gone


@dataclass(slots=True)
class Diverted:
    """An attempt ended, and its carrier went on to another server by itself, as the next
    attempt."""

    id: int
    attempt: int
    server: int
    result: int
    elapsed: float
    to: int


@dataclass(slots=True)
class Resume:
    """A request whose last outcome was parked: decide now, by sending again or only how it ends."""

    id: int
    resend: bool


@dataclass(slots=True)
class ProbeResult:
    server: int
    result: int
    elapsed: float
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class Timer:
    token: int


@dataclass(slots=True)
class PeerMessage:
    sender: int
    data: bytes


@dataclass(slots=True)
class Withdrawn:
    """The client has left; nothing more is owed."""

    id: int


@dataclass(slots=True)
class Overdue:
    """No time is left for a request: it is to be ended now."""

    id: int


@dataclass(slots=True)
class Retuned:
    """Other settings from now on; requests that are there keep the terms of their class.

    A class has the number that it had, and tenants, zones and kinds theirs."""

    settings: Settings
    live: frozenset[int]  # classes that requests may still come with; the others only end
    fresh: frozenset[int] = (
        frozenset()
    )  # classes that begin anew, also where another had their number
    tenants: frozenset[int] = frozenset()  # the same of tenants


@dataclass(slots=True)
class Company:
    """Which nodes share the fleet from now on, in place of the settings' `group_size` and `me`."""

    size: int  # nodes that are taken to share it, this one among them
    me: int  # this node's number among them
    may_live: int  # these, and those that may only be cut off
    parts: tuple[float, ...] = ()  # of each tenant's quota, ours; empty: one of `may_live`
    hearsay: tuple[
        tuple[int, float], ...
    ] = ()  # servers that others find failing, and how much, 0 to 1

    def __post_init__(self) -> None:
        _need(self.size >= 1, "size", self.size)
        _need(0 <= self.me < self.size, "me", self.me)
        _need(self.may_live >= self.size, "may_live", self.may_live)
        _need(all(0 < part <= 1 for part in self.parts), "parts", self.parts)


@dataclass(slots=True)
class Planned:
    """Where requests go, zone by zone, in place of our own zone first. Without shares: as without a
    plan."""

    # By class, then once more by class for `bound` tenants; in each by zone: the part of these
    # requests that goes there. What the parts leave of 1 is refused.
    shares: tuple[tuple[float, ...], ...] = ()
    spill: tuple[float, ...] = ()  # by zone: attempts a ms that may go there beside their part
    lost: frozenset[int] = frozenset()  # zones where nothing goes
    bound: frozenset[int] = frozenset()  # tenants
    strain: tuple[
        float, ...
    ] = ()  # by zone: the part of its part that is spared it where others have room

    def __post_init__(self) -> None:
        for row in self.shares:
            _need(
                len(row) == len(self.spill) and min(row) >= 0 and sum(row) <= 1.001, "shares", row
            )
        _need(all(rate >= 0 for rate in self.spill), "spill", self.spill)


Event = (
    ServerList
    | Request
    | Whole
    | Began
    | Outcome
    | Diverted
    | Resume
    | ProbeResult
    | Timer
    | PeerMessage
    | Withdrawn
    | Retuned
    | Company
    | Planned
    | Overdue
)
