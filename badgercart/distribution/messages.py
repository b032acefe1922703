"""Messages between replicas, followers and operators: versioned, bounded, authenticated. No I/O.

A frame is `bd`, the protocol's version, a keyed hash of all that follows, and MessagePack. A frame
of another group, version or size is refused before anything of it is decoded. On TCP a frame stands
behind its length, 4 bytes in network order.

A message is an array of its tag and its fields in their order, so that no name of a class or a
field is on the wire. Tags and the values of `kind`, `error` and `role` fields are literals of this
protocol.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from badgercart.distribution.errors import FrameError

PROTOCOL_VERSION = 1
MAGIC = b"bd"
HASH_BYTES = 16
FRAME_HEADER_BYTES = len(MAGIC) + 1 + HASH_BYTES
MAX_FRAME_BYTES = 1 << 20  # with its head; what is larger comes in parts
MAX_VALUE_BYTES = 64 << 10
MAX_ENTRIES = 4096  # of one change, which is committed whole or not at all
MAX_TOPICS = 4096  # of one subscription
MAX_NAME_LENGTH = 200  # characters of a topic, a key, a name
RESEND = -1  # in place of a version: what the subscriber has may be wrong, so no delta helps
ANY_VERSION = -1  # in place of an expected version


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """A key of a topic with its new value; None removes it."""

    key: str
    value: bytes | None


class Change(msgspec.Struct, array_like=True, frozen=True):
    """A change of one topic, at one log index: all of its entries or none.

    Without a topic it changes nothing: a leader begins its term with one of these.
    """

    term: int  # of the leader that put it into the log
    index: int  # in the log, from 1
    topic: str
    entries: tuple[Entry, ...]


class TopicPart(msgspec.Struct, array_like=True, frozen=True):
    """Some entries of a topic that has this version and digest."""

    topic: str
    version: int
    digest: int
    entries: tuple[Entry, ...]


class TopicVersion(msgspec.Struct, array_like=True, frozen=True):
    """What a subscriber has of a topic.

    Version 0 with digest 0 is nothing; `RESEND` with digest 0 asks for a snapshot in any case.
    """

    topic: str
    version: int
    digest: int


# Between replicas.


class Hello(msgspec.Struct, tag="h", array_like=True, frozen=True):
    """The first message on each connection, from both ends. A follower's name is for people."""

    name: str
    is_replica: bool


class VoteRequest(msgspec.Struct, tag="vq", array_like=True, frozen=True):
    """Ask for a vote in a term, by a replica whose log ends there.

    With `pre_vote` it asks whether a vote would be given, and no term is begun.
    """

    term: int
    last_term: int
    last_index: int
    pre_vote: bool


class VoteResponse(msgspec.Struct, tag="v", array_like=True, frozen=True):
    """The answer to a VoteRequest, with the term that was granted, or the voter's."""

    term: int
    granted: bool
    pre_vote: bool


class AppendEntries(msgspec.Struct, tag="a", array_like=True, frozen=True):
    """The leader's log behind an index that the receiver has committed; or, empty, a heartbeat.

    What the receiver has said to match may be committed by this very message.
    """

    term: int
    after_index: int
    changes: tuple[Change, ...]
    commit_index: int  # the leader's
    age_ms: float = 0.0  # since a majority of the voters certainly had this leader


class AppendResponse(msgspec.Struct, tag="d", array_like=True, frozen=True):
    """The log matches the leader's up to an index.

    Where it is `rejected`, the leader has to send everything behind `commit_index` again.
    """

    term: int
    match_index: int
    commit_index: int  # the receiver's
    rejected: bool


class InstallSnapshot(msgspec.Struct, tag="s", array_like=True, frozen=True):
    """A part of all topics as of a log index, for a replica that is too far behind for the log.

    Parts come in order, and are installed with the last.
    """

    term: int
    last_index: int
    last_term: int
    part: int  # from 1
    parts: int
    topics: tuple[TopicPart, ...]


# Between replicas and followers.


class Subscribe(msgspec.Struct, tag="f", array_like=True, frozen=True):
    """Subscribe to these topics, from what the subscriber has; replaces a subscription before."""

    topics: tuple[TopicVersion, ...]


class Snapshot(msgspec.Struct, tag="w", array_like=True, frozen=True):
    """A part of a topic. Parts come in order, and are in force with the last if the digest fits."""

    topic: str
    version: int
    digest: int
    part: int  # from 1
    parts: int
    entries: tuple[Entry, ...]


class Delta(msgspec.Struct, tag="c", array_like=True, frozen=True):
    """The entries that take a topic to this version and digest, from the version before."""

    topic: str
    version: int
    digest: int
    entries: tuple[Entry, ...]


class Heartbeat(msgspec.Struct, tag="b", array_like=True, frozen=True):
    """Everything that was subscribed to was sent, as of that long ago.

    The age is infinite where the replica hasn't known a leader with a majority since its start.
    """

    age_ms: float


class Rejection(msgspec.Struct, tag="n", array_like=True, frozen=True):
    """Something that was subscribed to can't be had.

    Kinds: `unknown-topic`; `behind`, where the replica has an older version than the subscriber;
    `too-many`, where it takes no further subscriber.
    """

    kind: str
    topic: str  # empty where it is not about one
    detail: str


# From operators to a replica.


class Propose(msgspec.Struct, tag="p", array_like=True, frozen=True):
    """Put entries into a topic, if it has the expected version."""

    request_id: int  # by which the response is known
    topic: str
    entries: tuple[Entry, ...]
    expected_version: int  # or ANY_VERSION


class ProposeResponse(msgspec.Struct, tag="q", array_like=True, frozen=True):
    """The proposal is committed as this version of its topic, or has failed with an error.

    Errors: `not-leading`, with the leader's name as detail if it is known; `conflict`, where the
    topic has another version than expected; `too-many`; `oversized`; `unknown`, where the term
    ended before it was decided, so that it may yet be committed or not.
    """

    request_id: int
    version: int
    error: str
    detail: str


class StatusRequest(msgspec.Struct, tag="sq", array_like=True, frozen=True):
    """Ask for a Status. The driver answers it; the replica's machine doesn't know of it."""


class Status(msgspec.Struct, tag="st", array_like=True, frozen=True):
    """The state of a replica, for operators."""

    name: str
    role: str  # see `driver.ROLE_LABELS`
    leader: str  # as far as is known; empty: nobody
    term: int
    commit_index: int
    last_index: int
    subscribers: int
    topics: int
    entries: int
    age_ms: float  # since it knew that it had everything


Message = (
    Hello
    | VoteRequest
    | VoteResponse
    | AppendEntries
    | AppendResponse
    | InstallSnapshot
    | Subscribe
    | Snapshot
    | Delta
    | Heartbeat
    | Rejection
    | Propose
    | ProposeResponse
    | StatusRequest
    | Status
)

# What messages are called in the log, where operators know them by these words.
MESSAGE_LABELS: dict[type[Message], str] = {
    Hello: "Hello",
    VoteRequest: "VoteRequest",
    VoteResponse: "Vote",
    AppendEntries: "Append",
    AppendResponse: "Appended",
    InstallSnapshot: "State",
    Subscribe: "Subscribe",
    Snapshot: "Whole",
    Delta: "Delta",
    Heartbeat: "Beat",
    Rejection: "No",
    Propose: "Propose",
    ProposeResponse: "Proposed",
    StatusRequest: "StatusRequest",
    Status: "Status",
}

_encode = msgspec.msgpack.Encoder().encode
_decode: Callable[[bytes], Message] = msgspec.msgpack.Decoder(Message).decode


def check_message(message: Message) -> None:
    """Raise FrameError where a message exceeds a bound that its types don't show."""
    check = _CHECKS.get(type(message))
    if check is not None:
        check(message)


def _check_hello(message: Hello) -> None:
    _check_name(message.name)


def _check_change(message: Propose | Delta) -> None:
    if len(message.entries) > MAX_ENTRIES:
        detail = f"a change of {len(message.entries)} entries is over {MAX_ENTRIES}"
        raise FrameError("oversized", detail)
    _check_names((message.topic,), message.entries)


def _check_snapshot(message: Snapshot) -> None:
    _check_names((message.topic,), message.entries)


def _check_append(message: AppendEntries) -> None:
    topics = [change.topic for change in message.changes if change.topic or change.entries]
    _check_names(topics, [entry for change in message.changes for entry in change.entries])


def _check_install_snapshot(message: InstallSnapshot) -> None:
    topics = [part.topic for part in message.topics]
    _check_names(topics, [entry for part in message.topics for entry in part.entries])


def _check_subscribe(message: Subscribe) -> None:
    if len(message.topics) > MAX_TOPICS:
        detail = f"{len(message.topics)} topics are more than {MAX_TOPICS}"
        raise FrameError("oversized", detail)
    for wanted in message.topics:
        _check_name(wanted.topic)


_CHECKS: dict[type[Message], Callable[[Any], None]] = {
    Hello: _check_hello,
    AppendEntries: _check_append,
    InstallSnapshot: _check_install_snapshot,
    Subscribe: _check_subscribe,
    Snapshot: _check_snapshot,
    Delta: _check_change,
    Propose: _check_change,
}


def _check_names(topics: Iterable[str], entries: Iterable[Entry]) -> None:
    for topic in topics:
        _check_name(topic)
    for entry in entries:
        _check_name(entry.key)
    for entry in entries:
        if entry.value is not None and len(entry.value) > MAX_VALUE_BYTES:
            length = len(entry.value)
            detail = f"the value of {entry.key!r} has {length} bytes of {MAX_VALUE_BYTES}"
            raise FrameError("oversized", detail)


def _check_name(name: str) -> None:
    if not 0 < len(name) <= MAX_NAME_LENGTH or not name.isprintable():
        detail = f"{name[:40]!r} is no name: 1 to {MAX_NAME_LENGTH} printable characters"
        raise FrameError("malformed", detail)


class Codec:
    """Turns messages of one group into frames and back.

    Args:
        group: the group's name, which is part of each hash.
        secret: the group's secret, from which the key of the hash is derived.
    """

    def __init__(self, group: str, secret: bytes) -> None:
        self._group = group.encode()
        self._key = hashlib.blake2b(secret, digest_size=32, person=b"badgercart-distr").digest()

    def hash(self, data: bytes) -> bytes:
        """Return the keyed hash of a message's bytes."""
        data = self._group + b"\0" + data
        return hashlib.blake2b(data, digest_size=HASH_BYTES, key=self._key).digest()

    def encode(self, message: Message) -> bytes:
        """Return a frame. Raises FrameError where the other end would refuse it."""
        check_message(message)
        data = _encode(message)
        if FRAME_HEADER_BYTES + len(data) > MAX_FRAME_BYTES:
            detail = f"{FRAME_HEADER_BYTES + len(data)} bytes are more than {MAX_FRAME_BYTES}"
            raise FrameError("oversized", detail)
        return MAGIC + bytes((PROTOCOL_VERSION,)) + self.hash(data) + data

    def decode(self, frame: bytes) -> Message:
        """Return the message of a frame. Raises FrameError."""
        self._check_header(frame)
        try:
            message = _decode(frame[FRAME_HEADER_BYTES:])
        except msgspec.MsgspecError as error:
            raise FrameError("malformed", str(error)) from error
        check_message(message)
        return message

    def _check_header(self, frame: bytes) -> None:
        if len(frame) > MAX_FRAME_BYTES:
            detail = f"{len(frame)} bytes are more than {MAX_FRAME_BYTES}"
            raise FrameError("oversized", detail)
        if len(frame) <= FRAME_HEADER_BYTES or not frame.startswith(MAGIC):
            raise FrameError("stray", "it is none of this protocol's frames")
        version = frame[len(MAGIC)]
        if version != PROTOCOL_VERSION:
            detail = f"it is of version {version}, this process speaks {PROTOCOL_VERSION}"
            raise FrameError("version", detail)
        hash_in_frame = frame[len(MAGIC) + 1 : FRAME_HEADER_BYTES]
        if not hmac.compare_digest(hash_in_frame, self.hash(frame[FRAME_HEADER_BYTES:])):
            raise FrameError("forged", "its hash is not this group's")
