"""What the machines of stores and followers want done. Drivers carry it out in the order given."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from badgercart.distribution.messages import Change, Entry, Message
from badgercart.distribution.topic import Topic


@dataclass(slots=True, frozen=True)
class Recovered:
    """All that a store has on disk: topics as of one place of the log, and the log behind it."""

    term: int = 0
    voted: str = ""  # for whom in this term; empty: nobody
    committed: int = 0  # known to be in force; what lies behind may be, too
    index: int = 0  # the place that the topics are as of, `committed` at most
    index_term: int = 0
    topics: dict[str, Topic] = field(default_factory=dict)
    changes: tuple[Change, ...] = ()  # from `index` + 1 on, without a gap


@dataclass(slots=True, frozen=True)
class Send:
    """Write a message to a connection."""

    connection: int
    message: Message


@dataclass(slots=True, frozen=True)
class Close:
    """End a connection: why, in one word for figures and a few for people."""

    connection: int
    kind: str
    words: str


@dataclass(slots=True, frozen=True)
class Keep:
    """Have this on disk before anything that follows: what a store promised or said that it has.

    `behind`: changes behind this place that were kept before are void, and these stand in their
    place.
    """

    term: int
    voted: str  # for whom in this term; empty: nobody
    behind: int
    changes: tuple[Change, ...]
    committed: int


@dataclass(slots=True, frozen=True)
class KeepAll:
    """As Keep, but in the place of all that was kept before: the leader has told its topics whole.

    The topics are the store's own: written before the machine is called again."""

    state: Recovered


@dataclass(slots=True, frozen=True)
class Dial:
    """Connect to the store of this number in the settings; the answer is `connected` or
    `closed`."""

    store: int
    connection: int


@dataclass(slots=True, frozen=True)
class Take:
    """A follower's topic has changed: all of it (`whole`), or these entries. It is in force now."""

    topic: str
    number: int
    whole: bool
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class Happened:
    """Something for the log, named as in `events`."""

    name: str
    told: dict[str, Any] = field(default_factory=dict)


Effect = Send | Close | Keep | KeepAll | Dial | Take | Happened
