"""What stores and followers say to each other: versioned, bounded, keyed by the group's secret. No
I/O.

A frame is `bd`, the protocol's version, a keyed hash of all that follows, and MessagePack. Whatever
is not of this group, this version and this size is refused before any of it is read, and changes
nothing. On TCP a frame stands behind its length (4 bytes, big-endian).
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable

import msgspec

VERSION = 1
MAGIC = b"bd"
TAG = 16  # bytes of the keyed hash
HEAD = len(MAGIC) + 1 + TAG
MAX_FRAME = 1 << 20  # bytes of one frame, its head included: what is longer comes in parts
MAX_VALUE = 64 << 10  # bytes of one value
MAX_ENTRIES = 4096  # of one change: it is in force whole or not at all
MAX_TOPICS = 4096  # that one follower may ask for
WHOLE = -1  # in place of a number: what I have may be wrong, and no change mends that
NAME = 200  # characters of a topic, a key, a name


class Refused(Exception):
    """What is not taken: why, in one word for figures and a few for people."""

    def __init__(self, kind: str, words: str) -> None:
        super().__init__(words)
        self.kind = kind


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One key of a topic, with its new value; None: it is gone."""

    key: str
    value: bytes | None


class Change(msgspec.Struct, array_like=True, frozen=True):
    """What changes in one topic, at one place of the log: all of it or nothing.

    Without a topic: a term's first word, which changes none."""

    term: int  # of the leader that put it into the log
    index: int  # its place, from 1
    topic: str
    entries: tuple[Entry, ...]


# Between stores.


class Hello(msgspec.Struct, tag="h", array_like=True, frozen=True):
    """The first word on each connection, from both sides. A follower's name is for people."""

    name: str
    store: bool


class VoteRequest(msgspec.Struct, tag="vq", array_like=True, frozen=True):
    """Let me lead this term; my log ends there. `only_asking`: would you? (no term is begun by
    that)"""

    term: int
    last_term: int
    last_index: int
    only_asking: bool


class Vote(msgspec.Struct, tag="v", array_like=True, frozen=True):
    term: int
    granted: bool
    only_asking: bool


class Append(msgspec.Struct, tag="a", array_like=True, frozen=True):
    """The leader's log behind `after`, which the receiver has committed; nothing new is a sign of
    life.

    What the receiver has said that it has as told may be committed by this very message."""

    term: int
    after: int
    changes: tuple[Change, ...]
    committed: int  # the last place that more than half of the voters keep
    age: float = (
        0.0  # ms since the leader last knew that more than half of the voters had it as leader
    )


class Appended(msgspec.Struct, tag="d", array_like=True, frozen=True):
    """The log is as told up to `index`; or (`missing`) all behind `committed` is wanted anew."""

    term: int
    index: int
    committed: int
    missing: bool


class State(msgspec.Struct, tag="s", array_like=True, frozen=True):
    """A part of all topics as of a place of the log, for a store that is too far behind.

    Parts come in order, and are in force all or none."""

    term: int
    index: int
    index_term: int
    part: int
    parts: int
    topics: tuple[
        tuple[str, int, int, tuple[Entry, ...]], ...
    ]  # topic, number, digest, some of its entries


# Between stores and followers.


class Subscribe(msgspec.Struct, tag="f", array_like=True, frozen=True):
    """Tell me these topics, from the number and digest that I have; 0, 0: nothing; WHOLE, 0: all
    anew.

    Replaces what was asked for before."""

    topics: tuple[tuple[str, int, int], ...]


class Whole(msgspec.Struct, tag="w", array_like=True, frozen=True):
    """A part of a whole topic. In order; in force with the last part, and only if the digest is
    right."""

    topic: str
    number: int
    digest: int
    part: int
    parts: int
    entries: tuple[Entry, ...]


class Delta(msgspec.Struct, tag="c", array_like=True, frozen=True):
    """The change by which a topic comes to this number and digest, from the number before."""

    topic: str
    number: int
    digest: int
    entries: tuple[Entry, ...]


class Beat(msgspec.Struct, tag="b", array_like=True, frozen=True):
    """All that was asked for is told as of `age` ms ago.

    That is when this store last knew of a leader that more than half of the voters have; inf: it
    has not since it began."""

    age: float


class No(msgspec.Struct, tag="n", array_like=True, frozen=True):
    """Something asked for can't be had: why.

    `unknown-topic`; `behind`: I know less of it than you; `too-many`: I can't take another
    follower.
    """

    kind: str
    about: str  # the topic, if it is about one
    words: str


# From operators to a store.


class Propose(msgspec.Struct, tag="p", array_like=True, frozen=True):
    """Put these into a topic. `expected`: only if the topic's number is this; -1: whatever it
    is."""

    serial: int  # by which the answer is known
    topic: str
    entries: tuple[Entry, ...]
    expected: int


class Proposed(msgspec.Struct, tag="q", array_like=True, frozen=True):
    """In force as this number of its topic; or not, for this `error`.

    `not-leading` (`words`: who leads, if known), `conflict` (another number than expected),
    `too-many`, `oversized`, `unknown`: the term ended before it was decided, so that it may be in
    force or not.
    """

    serial: int
    number: int
    error: str
    words: str


class StatusRequest(msgspec.Struct, tag="sq", array_like=True, frozen=True):
    """How do you stand? Answered by the store's driver; the machine knows nothing of it."""


class Status(msgspec.Struct, tag="st", array_like=True, frozen=True):
    """How a store stands."""

    name: str
    role: str
    leader: str  # who leads, as far as it knows; empty: nobody
    term: int
    committed: int
    last: int  # place of its log
    followers: int
    topics: int
    entries: int
    age: float  # ms since it knew that it had all that was in force


Message = (
    Hello
    | VoteRequest
    | Vote
    | Append
    | Appended
    | State
    | Subscribe
    | Whole
    | Delta
    | Beat
    | No
    | Propose
    | Proposed
    | StatusRequest
    | Status
)

# What people read of a message that came out of turn; these words don't follow the names of the
# types.
LABELS: dict[type[Message], str] = {
    Hello: "Hello",
    VoteRequest: "VoteRequest",
    Vote: "Vote",
    Append: "Append",
    Appended: "Appended",
    State: "State",
    Subscribe: "Subscribe",
    Whole: "Whole",
    Delta: "Delta",
    Beat: "Beat",
    No: "No",
    Propose: "Propose",
    Proposed: "Proposed",
    StatusRequest: "StatusRequest",
    Status: "Status",
}

_encode = msgspec.msgpack.Encoder().encode
_decode: Callable[[bytes], Message] = msgspec.msgpack.Decoder(Message).decode


def check(message: Message) -> None:
    """Refused where a message is over a bound that its form does not show."""
    entries: tuple[Entry, ...] = ()
    names: list[str] = []
    if isinstance(message, Hello):
        names = [message.name]
    elif isinstance(message, Propose | Delta | Whole):
        entries, names = message.entries, [message.topic]
    elif isinstance(message, Append):
        entries = tuple(entry for change in message.changes for entry in change.entries)
        names = [change.topic for change in message.changes if change.topic or change.entries]
    elif isinstance(message, State):
        entries = tuple(entry for topic in message.topics for entry in topic[3])
        names = [topic[0] for topic in message.topics]
    elif isinstance(message, Subscribe):
        names = [topic[0] for topic in message.topics]
        if len(names) > MAX_TOPICS:
            raise Refused("oversized", f"{len(names)} topics are more than {MAX_TOPICS}")
    if isinstance(message, Propose | Delta) and len(entries) > MAX_ENTRIES:
        raise Refused("oversized", f"a change of {len(entries)} entries is over {MAX_ENTRIES}")
    for name in (*names, *(entry.key for entry in entries)):
        if not 0 < len(name) <= NAME or not name.isprintable():
            raise Refused(
                "malformed", f"{name[:40]!r} is no name: 1 to {NAME} printable characters"
            )
    for entry in entries:
        if entry.value is not None and len(entry.value) > MAX_VALUE:
            raise Refused(
                "oversized",
                f"the value of {entry.key!r} has {len(entry.value)} bytes of {MAX_VALUE}",
            )


class Codec:
    """Frames of one group, to bytes and back."""

    def __init__(self, group: str, secret: bytes) -> None:
        self.key = hashlib.blake2b(secret, digest_size=32, person=b"badgercart-distr").digest()
        self.group = group.encode()

    def tag(self, data: bytes) -> bytes:
        return hashlib.blake2b(self.group + b"\0" + data, digest_size=TAG, key=self.key).digest()

    def encode(self, message: Message) -> bytes:
        """Refused where it would be refused at the other end."""
        check(message)
        data = _encode(message)
        if HEAD + len(data) > MAX_FRAME:
            raise Refused("oversized", f"{HEAD + len(data)} bytes are more than {MAX_FRAME}")
        return MAGIC + bytes((VERSION,)) + self.tag(data) + data

    def decode(self, data: bytes) -> Message:
        """Raises Refused, with nothing taken."""
        if len(data) > MAX_FRAME:
            raise Refused("oversized", f"{len(data)} bytes are more than {MAX_FRAME}")
        if len(data) <= HEAD or data[:2] != MAGIC:
            raise Refused("stray", "it is none of this protocol's frames")
        if data[2] != VERSION:
            raise Refused("version", f"it is of version {data[2]}, this process speaks {VERSION}")
        if not hmac.compare_digest(data[3:HEAD], self.tag(data[HEAD:])):
            raise Refused("forged", "its hash is not this group's")
        try:
            message = _decode(data[HEAD:])
        except msgspec.MsgspecError as error:
            raise Refused("malformed", str(error)) from None
        check(message)
        return message
