"""Effects that the state machines of this package request. Drivers execute them in order."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from badgercart.distribution.messages import Change, Entry, Message
from badgercart.distribution.topic import Topic


@dataclass(slots=True, frozen=True)
class RecoveredState:
    """A replica's persisted state: the topics as of a log index, and the log after it.

    Attributes:
        term: the current term.
        voted_for: the replica that got the vote in this term; empty: none.
        commit_index: a log index known to be committed; later changes may be committed as well.
        snapshot_index: the log index that the topics are as of, at most `commit_index`.
        snapshot_term: the term of the change at `snapshot_index`.
        topics: the topics by name.
        changes: the changes from `snapshot_index` + 1 on, without a gap.
    """

    term: int = 0
    voted_for: str = ""
    commit_index: int = 0
    snapshot_index: int = 0
    snapshot_term: int = 0
    topics: dict[str, Topic] = field(default_factory=dict)
    changes: tuple[Change, ...] = ()


@dataclass(slots=True, frozen=True)
class Send:
    """Write a message to a connection."""

    connection: int
    message: Message


@dataclass(slots=True, frozen=True)
class Close:
    """Close a connection. The kind is counted, and the detail is logged."""

    connection: int
    kind: str
    detail: str


@dataclass(slots=True, frozen=True)
class Persist:
    """Write to disk before any later effect is executed.

    The changes replace all changes after `after_index` that were persisted before.

    Attributes:
        term: the current term.
        voted_for: the replica that got the vote in this term; empty: none.
        after_index: the log index after which the changes belong.
        changes: the new tail of the log.
        commit_index: the current commit index.
    """

    term: int
    voted_for: str
    after_index: int
    changes: tuple[Change, ...]
    commit_index: int


@dataclass(slots=True, frozen=True)
class PersistSnapshot:
    """Write to disk before any later effect, in place of everything that was persisted before.

    The topics are not copied: they must be written before the replica's next event.
    """

    state: RecoveredState


@dataclass(slots=True, frozen=True)
class Dial:
    """Connect to a replica, given by its position in the settings.

    The driver calls `connected` or `closed` with the result.
    """

    replica: int
    connection: int


@dataclass(slots=True, frozen=True)
class UpdateTopic:
    """Apply a new version of a followed topic: all entries of a snapshot, or those that changed."""

    topic: str
    version: int
    is_snapshot: bool
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class LogEvent:
    """Log an event of `log_events`, by its name without the `distribution.` prefix."""

    name: str
    fields: dict[str, Any] = field(default_factory=dict)


Effect = Send | Close | Persist | PersistSnapshot | Dial | UpdateTopic | LogEvent


class EffectQueue:
    """The effects of the current event, in order."""

    __slots__ = ("_effects",)

    def __init__(self) -> None:
        self._effects: list[Effect] = []

    def add(self, effect: Effect) -> None:
        """Append an effect."""
        self._effects.append(effect)

    def extend(self, effects: list[Effect]) -> None:
        """Append several effects."""
        self._effects += effects

    def send(self, connection: int, message: Message) -> None:
        """Append a `Send` effect."""
        self._effects.append(Send(connection, message))

    def log_event(self, name: str, fields: dict[str, Any]) -> None:
        """Append a `LogEvent` effect."""
        self._effects.append(LogEvent(name, fields))

    def take(self) -> list[Effect]:
        """Return all effects and empty the queue."""
        effects, self._effects = self._effects, []
        return effects
