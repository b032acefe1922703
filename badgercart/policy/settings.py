"""What a node knows at its start: the classes of requests and the rules of the deployment.

All times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


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
