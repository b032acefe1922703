"""What the decision module is told and what it answers: settings, events and actions.

``Policy(settings, seed).handle(now, event)`` takes one event and returns a list of actions, which
the caller carries out in that order. All times are milliseconds on one clock that only goes
forward; nothing is said about where it starts.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Effect(Enum):
    """What repeating a request of a class does."""

    SAFE = "safe"  # may run any number of times
    KEYED = "keyed"  # a group of servers drops repeats for a while
    UNSAFE = "unsafe"  # must never run twice


class Group(Enum):
    """The servers that drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(IntEnum):
    """What the list says of a server."""

    READY = 0
    GONE = 1
    DRAINING = 2


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


def _need(ok: bool, name: str, value: object) -> None:
    if not ok:
        raise ValueError(f"settings: {name} can't be {value!r}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: its wanted time, its worth, and what a repeat does."""

    aim: float
    deadline: float
    worth: float
    effect: Effect
    group: Group = Group.ALL
    window: float = (
        0.0  # keyed: how long repeats are dropped, from the first send that may have run
    )
    late_value: float = 0.0  # share of the worth left after the aim
    in_order: bool = (
        False  # requests of such classes that share a key run one at a time, as they came
    )

    def __post_init__(self) -> None:
        _need(self.aim > 0, "classes[].aim", self.aim)
        _need(self.deadline > 0, "classes[].deadline", self.deadline)
        _need(self.worth >= 0, "classes[].worth", self.worth)
        _need(self.window >= 0, "classes[].window", self.window)
        _need(0 <= self.late_value <= 1, "classes[].late_value", self.late_value)
        _need(isinstance(self.effect, Effect), "classes[].effect", self.effect)
        _need(isinstance(self.group, Group), "classes[].group", self.group)

    @property
    def refusable(self) -> bool:
        """Whether a client may be told that trying again does no harm even if the request may have
        run."""
        return self.effect is Effect.SAFE or (
            self.effect is Effect.KEYED and self.group is Group.ALL
        )


@dataclass(slots=True, frozen=True)
class Settings:
    """What a node knows at its start."""

    classes: tuple[RequestClass, ...]
    zone: int = 0  # this node's own zone
    group_size: int = 1  # nodes of this tier
    me: int = 0  # this node's number among them
    quotas: tuple[float, ...] = ()  # per tenant: requests a second, over all nodes
    over_quota_worth: float = 1.0
    warm_keys: bool = False  # a server that met a key lately serves it with less work
    ask_for_list: bool = False  # the list comes only when asked for
    ask_within: float = 10000.0
    tick: float = 1.0
    may_cancel: bool = False
    max_attempts: int = 1
    max_retry_after: float = 0.0  # 0: clients are told nothing
    full_may_have_run: bool = False  # servers answer 'full' also to work that they had begun
    key_rest: float = (
        0.0  # in order: how long a key rests after an attempt that may be running still
    )
    cold_from: float = 1.0  # a server starts with this share of its capacity or more
    ramp_time: float = 0.0
    tip_multiple: float = 1.0  # sent more than this multiple of its capacity by all nodes together
    overload_for: float = 1000.0  # within any such time, a cold server falls over

    def __post_init__(self) -> None:
        _need(len(self.classes) > 0, "classes", self.classes)
        _need(self.group_size >= 1, "group_size", self.group_size)
        _need(self.max_attempts >= 1, "max_attempts", self.max_attempts)
        _need(0 < self.cold_from <= 1, "cold_from", self.cold_from)
        _need(0 <= self.over_quota_worth <= 1, "over_quota_worth", self.over_quota_worth)
        _need(self.tick > 0, "tick", self.tick)
        _need(self.tip_multiple > 0, "tip_multiple", self.tip_multiple)
        _need(self.overload_for > 0, "overload_for", self.overload_for)
        for name in (
            "ask_within",
            "ramp_time",
            "max_retry_after",
            "key_rest",
        ):
            _need(getattr(self, name) >= 0, name, getattr(self, name))
        for quota in self.quotas:
            _need(quota >= 0, "quotas[]", quota)


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


# Events: what the module is told.


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


# Actions: what the module decides.


@dataclass(slots=True)
class Send:
    id: int
    server: int
    limit: float  # time-out of this attempt, from now or from when its request is whole
    fallbacks: tuple[int, ...] = ()  # where it may go on to by itself, the first one first


@dataclass(slots=True)
class Refuse:
    """Final answer: not run, trying again does no harm."""

    id: int
    wait: float  # how long the client should stay away; 0: no advice


@dataclass(slots=True)
class Fail:
    """Final answer: failed, nothing promised."""

    id: int


@dataclass(slots=True)
class Cancel:
    id: int
    attempt: int


@dataclass(slots=True)
class Wake:
    delay: float
    token: int


@dataclass(slots=True)
class Probe:
    server: int


@dataclass(slots=True)
class Subscribe:
    """Ask for the server list and for its changes from now on."""


@dataclass(slots=True)
class Log:
    text: str


Action = Send | Refuse | Fail | Cancel | Wake | Probe | Subscribe | Log
