"""What the machines of this package want done. Drivers carry it out in the order given."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from badgercart.distribution.messages import Change, Entry, Message
from badgercart.distribution.topic import Topic


@dataclass(slots=True, frozen=True)
class RecoveredState:
    """Everything that a replica has on disk: topics as of a log index, and the log behind it."""

    term: int = 0
    voted_for: str = ""  # in this term; empty: nobody
    commit_index: int = 0  # known to be committed; later changes may be, too
    snapshot_index: int = 0  # that the topics are as of, `commit_index` at most
    snapshot_term: int = 0
    topics: dict[str, Topic] = field(default_factory=dict)
    changes: tuple[Change, ...] = ()  # from `snapshot_index` + 1 on, without a gap


@dataclass(slots=True, frozen=True)
class Send:
    """Write a message to a connection."""

    connection: int
    message: Message


@dataclass(slots=True, frozen=True)
class Close:
    """Close a connection, for a reason: one word for counters, a sentence for people."""

    connection: int
    kind: str
    detail: str


@dataclass(slots=True, frozen=True)
class Persist:
    """Have this on disk before any later effect.

    Changes behind `after_index` that were persisted before are void: these take their place.
    """

    term: int
    voted_for: str  # in this term; empty: nobody
    after_index: int
    changes: tuple[Change, ...]
    commit_index: int


@dataclass(slots=True, frozen=True)
class PersistSnapshot:
    """Have this on disk before any later effect, in place of all that was persisted before.

    The topics are the replica's own: they have to be written before its next event.
    """

    state: RecoveredState


@dataclass(slots=True, frozen=True)
class Dial:
    """Connect to a replica, by its position in the settings; `connected` or `closed` answers."""

    replica: int
    connection: int


@dataclass(slots=True, frozen=True)
class UpdateTopic:
    """Put a new version of a followed topic in force: all of it, or the entries that changed."""

    topic: str
    version: int
    is_snapshot: bool
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class LogEvent:
    """Log an event of `events`, by its name without the subsystem, with these fields."""

    name: str
    fields: dict[str, Any] = field(default_factory=dict)


Effect = Send | Close | Persist | PersistSnapshot | Dial | UpdateTopic | LogEvent


class EffectQueue:
    """The effects of the current event, in their order."""

    __slots__ = ("_effects",)

    def __init__(self) -> None:
        self._effects: list[Effect] = []

    def add(self, effect: Effect) -> None:
        """Add one more effect."""
        self._effects.append(effect)

    def extend(self, effects: list[Effect]) -> None:
        """Add more effects."""
        self._effects += effects

    def send(self, connection: int, message: Message) -> None:
        """Add a message to be sent."""
        self._effects.append(Send(connection, message))

    def log_event(self, name: str, fields: dict[str, Any]) -> None:
        """Add an event to be logged."""
        self._effects.append(LogEvent(name, fields))

    def take(self) -> list[Effect]:
        """Return all effects and begin anew."""
        effects, self._effects = self._effects, []
        return effects
