"""Messages between replicas, followers and operators: versioned, bounded, authenticated. No I/O.

A frame consists of the magic bytes `bd`, the protocol version, a keyed hash of the rest, and a
message in MessagePack. A frame of another group or version, or one that is too large, is refused
before its message is decoded. On TCP each frame is preceded by its length, which has 4 bytes in
network order.

A message is an array of its tag and its fields in order of declaration, so names of classes and
fields are not on the wire. Tags and the values of the `kind`, `error` and `role` fields are
literals of this protocol.
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
# The limit includes the frame header. Larger snapshots are sent in parts.
MAX_FRAME_BYTES = 1 << 20
MAX_VALUE_BYTES = 64 << 10
# The limit of one change, which is committed completely or not at all.
MAX_ENTRIES = 4096
# The limit of one subscription.
MAX_TOPICS = 4096
# The limit in characters of a topic, a key or a name.
MAX_NAME_LENGTH = 200
# In place of a version: the subscriber's content may be wrong, so it needs a snapshot, not deltas.
RESEND = -1
# In place of an expected version.
ANY_VERSION = -1


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """A key of a topic with its new value; None removes the key."""

    key: str
    value: bytes | None


class Change(msgspec.Struct, array_like=True, frozen=True):
    """An atomic change of one topic, which is one entry of the replicated log.

    An empty topic name makes it a no-op, with which a leader begins its term.

    Attributes:
        term: the term of the leader that appended it.
        index: the log index, from 1.
        topic: the name of the topic.
        entries: the entries to set or remove.
    """

    term: int
    index: int
    topic: str
    entries: tuple[Entry, ...]


class TopicPart(msgspec.Struct, array_like=True, frozen=True):
    """Some entries of a topic, with the version and digest of the complete topic."""

    topic: str
    version: int
    digest: int
    entries: tuple[Entry, ...]


class TopicVersion(msgspec.Struct, array_like=True, frozen=True):
    """The version and digest that a subscriber has of a topic.

    Version 0 with digest 0 means that it has nothing. `RESEND` with digest 0 requests a snapshot in
    any case.
    """

    topic: str
    version: int
    digest: int


# Between replicas.


class Hello(msgspec.Struct, tag="h", array_like=True, frozen=True):
    """The first message on each connection, from both ends.

    The name of a follower is only shown to operators.
    """

    name: str
    is_replica: bool


class VoteRequest(msgspec.Struct, tag="vq", array_like=True, frozen=True):
    """Request a vote in a term, for a candidate whose log ends at the given term and index.

    With `pre_vote` it only asks whether the vote would be granted, and the term is not entered.
    """

    term: int
    last_term: int
    last_index: int
    pre_vote: bool


class VoteResponse(msgspec.Struct, tag="v", array_like=True, frozen=True):
    """The response to a VoteRequest, with the requested term if granted, else the voter's term."""

    term: int
    granted: bool
    pre_vote: bool


class AppendEntries(msgspec.Struct, tag="a", array_like=True, frozen=True):
    """The leader's changes after an index that the receiver has committed; empty as a heartbeat.

    Changes that the receiver has acknowledged may be committed by the same message.

    Attributes:
        term: the leader's term.
        after_index: the log index after which the changes follow.
        changes: the changes.
        commit_index: the leader's commit index.
        age_ms: the time since a majority of the voters last certainly followed this leader.
    """

    term: int
    after_index: int
    changes: tuple[Change, ...]
    commit_index: int
    age_ms: float = 0.0


class AppendResponse(msgspec.Struct, tag="d", array_like=True, frozen=True):
    """The response to AppendEntries or InstallSnapshot.

    Attributes:
        term: the receiver's term.
        match_index: the log index up to which the receiver's log matches the leader's.
        commit_index: the receiver's commit index.
        rejected: whether the leader must send everything after `commit_index` again.
    """

    term: int
    match_index: int
    commit_index: int
    rejected: bool


class InstallSnapshot(msgspec.Struct, tag="s", array_like=True, frozen=True):
    """A part of a snapshot of all topics, for a replica that needs changes no longer in the log.

    Parts are sent in order, numbered from 1, and are installed with the last one.
    """

    term: int
    last_index: int
    last_term: int
    part: int
    parts: int
    topics: tuple[TopicPart, ...]


# Between replicas and followers.


class Subscribe(msgspec.Struct, tag="f", array_like=True, frozen=True):
    """Subscribe to topics from the versions that the subscriber has.

    It replaces an earlier subscription of the connection.
    """

    topics: tuple[TopicVersion, ...]


class Snapshot(msgspec.Struct, tag="w", array_like=True, frozen=True):
    """A part of a snapshot of one topic.

    Parts are sent in order, numbered from 1. The subscriber applies the snapshot with the last
    part, if its digest is right.
    """

    topic: str
    version: int
    digest: int
    part: int
    parts: int
    entries: tuple[Entry, ...]


class Delta(msgspec.Struct, tag="c", array_like=True, frozen=True):
    """The entries that change a topic from the previous version to this version and digest."""

    topic: str
    version: int
    digest: int
    entries: tuple[Entry, ...]


class Heartbeat(msgspec.Struct, tag="b", array_like=True, frozen=True):
    """Confirms that the subscriber was sent all changes committed up to `age_ms` ago.

    The age is infinite if the replica has not followed a leader with a majority since its start.
    """

    age_ms: float


class Rejection(msgspec.Struct, tag="n", array_like=True, frozen=True):
    """Rejects a subscription, or one topic of it; then `topic` is its name, else empty.

    Kinds: `unknown-topic`; `behind`, if the replica has an older version than the subscriber;
    `too-many`, if a limit of subscribers or subscriptions is reached.
    """

    kind: str
    topic: str
    detail: str


# From operators to a replica.


class Propose(msgspec.Struct, tag="p", array_like=True, frozen=True):
    """Propose a change of a topic, if the topic has the expected version.

    Attributes:
        request_id: identifies the response.
        topic: the name of the topic.
        entries: the entries to set or remove.
        expected_version: the version that the topic must have, or ANY_VERSION.
    """

    request_id: int
    topic: str
    entries: tuple[Entry, ...]
    expected_version: int


class ProposeResponse(msgspec.Struct, tag="q", array_like=True, frozen=True):
    """The result of a proposal: the version of the topic that contains it, or an error.

    Errors: `not-leading`, with the leader's name as detail if it is known; `conflict`, if the topic
    has another version than expected; `too-many`; `oversized`; `unknown`, if the term ended before
    the proposal was decided, so that it may or may not be committed later.
    """

    request_id: int
    version: int
    error: str
    detail: str


class StatusRequest(msgspec.Struct, tag="sq", array_like=True, frozen=True):
    """Request a Status. The driver responds to it, not the replica's state machine."""


class Status(msgspec.Struct, tag="st", array_like=True, frozen=True):
    """The state of a replica, for operators.

    Attributes:
        name: the replica's name.
        role: its role, see `replica_driver.ROLE_LABELS`.
        leader: the name of the current term's leader; empty: not known.
        term: the current term.
        commit_index: the commit index.
        last_index: the log index of the newest change.
        subscribers: the number of subscribers.
        topics: the number of topics.
        entries: the number of entries of all topics.
        age_ms: the time since the replica was last known to have every committed change.
    """

    name: str
    role: str
    leader: str
    term: int
    commit_index: int
    last_index: int
    subscribers: int
    topics: int
    entries: int
    age_ms: float


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

# The names of messages in log texts, as operators know them.
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
    """Raise FrameError if a message exceeds a limit that its types don't express."""
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
    for topic_version in message.topics:
        _check_name(topic_version.topic)


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
    """Encodes messages of one group as frames, and decodes them.

    Args:
        group: the group's name, which is part of the hashed data.
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
        """Return the frame of a message. Raises FrameError if the receiver would refuse it."""
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
