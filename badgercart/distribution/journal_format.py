"""The format of journal and snapshot records, and the replay of a journal. No I/O.

The first record of a journal is its header, with the format version and the generation; each
further record is a `Persist`. A snapshot is one record in a file of its own. All records are
MessagePack arrays of the fields in their order of declaration.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from badgercart.distribution.effects import Persist, RecoveredState
from badgercart.distribution.errors import JournalError
from badgercart.distribution.messages import Change, Entry
from badgercart.distribution.record_file import RECORD_HEADER_BYTES, decode_record
from badgercart.distribution.topic import Topic

FORMAT_VERSION = 1


class JournalHeader(msgspec.Struct, array_like=True, frozen=True):
    """The header, which is the first record of a journal."""

    format_version: int
    generation: int


class PersistRecord(msgspec.Struct, array_like=True, frozen=True):
    """One `Persist` effect."""

    term: int
    voted_for: str
    after_index: int
    changes: tuple[Change, ...]
    commit_index: int


class SnapshotRecord(msgspec.Struct, array_like=True, frozen=True):
    """A `RecoveredState`, with the generation of the journal that continues it.

    The values of `topics` are version, digest and entries.
    """

    format_version: int
    generation: int
    term: int
    voted_for: str
    commit_index: int
    snapshot_index: int
    snapshot_term: int
    topics: dict[str, tuple[int, int, dict[str, bytes]]]
    changes: tuple[Change, ...]


encode: Callable[[object], bytes] = msgspec.msgpack.Encoder().encode
_decode_header: Callable[[bytes], JournalHeader] = msgspec.msgpack.Decoder(JournalHeader).decode
_decode_persist: Callable[[bytes], PersistRecord] = msgspec.msgpack.Decoder(PersistRecord).decode
_decode_snapshot: Callable[[bytes], SnapshotRecord] = msgspec.msgpack.Decoder(SnapshotRecord).decode


def encode_header(generation: int) -> bytes:
    """Return the body of a journal's header."""
    return encode(JournalHeader(FORMAT_VERSION, generation))


def encode_persist(effect: Persist) -> bytes:
    """Return the body of a `Persist` record."""
    return encode(
        PersistRecord(
            effect.term,
            effect.voted_for,
            effect.after_index,
            effect.changes,
            effect.commit_index,
        )
    )


def encode_snapshot(state: RecoveredState, generation: int) -> bytes:
    """Return the body of a snapshot's record."""
    topics = {
        name: (topic.version, topic.digest, topic.entries) for name, topic in state.topics.items()
    }
    return encode(
        SnapshotRecord(
            FORMAT_VERSION,
            generation,
            state.term,
            state.voted_for,
            state.commit_index,
            state.snapshot_index,
            state.snapshot_term,
            topics,
            state.changes,
        )
    )


def decode_journal(bodies: list[bytes], generation: int, name: str) -> list[Persist]:
    """Decode the records of a journal, of which there must be at least one.

    Raises:
        JournalError: a record is malformed, or the header has another version or generation.
    """
    try:
        header = _decode_header(bodies[0])
        _check_format(header.format_version, name)
        if header.generation != generation:
            detail = f"it says that it is generation {header.generation}"
            raise JournalError(name, detail)
        records = [_decode_persist(body) for body in bodies[1:]]
    except msgspec.MsgspecError as error:
        raise JournalError(name, str(error)) from error
    return [
        Persist(
            record.term,
            record.voted_for,
            record.after_index,
            record.changes,
            record.commit_index,
        )
        for record in records
    ]


def decode_snapshot(data: bytes, name: str) -> tuple[int, RecoveredState]:
    """Decode a snapshot file; return the generation of its journal, and the state.

    Raises:
        JournalError: the file is corrupt, of another format version, or inconsistent.
    """
    body = decode_record(data)
    if body is None or RECORD_HEADER_BYTES + len(body) != len(data):
        raise JournalError(name, "it is spoilt")
    try:
        record = _decode_snapshot(body)
    except msgspec.MsgspecError as error:
        raise JournalError(name, str(error)) from error
    _check_format(record.format_version, name)
    topics = _decode_topics(record, name)
    last_index = record.snapshot_index + len(record.changes)
    if not record.snapshot_index <= record.commit_index <= last_index:
        detail = f"its places {record.snapshot_index} and {record.commit_index} can't be"
        raise JournalError(name, detail)
    state = RecoveredState(
        record.term,
        record.voted_for,
        record.commit_index,
        record.snapshot_index,
        record.snapshot_term,
        topics,
        record.changes,
    )
    return record.generation, state


def _check_format(version: int, name: str) -> None:
    if version != FORMAT_VERSION:
        detail = f"it is of version {version}, this program's is {FORMAT_VERSION}"
        raise JournalError(name, detail)


def _decode_topics(record: SnapshotRecord, name: str) -> dict[str, Topic]:
    topics: dict[str, Topic] = {}
    for topic_name, (version, digest, values) in record.topics.items():
        topic = Topic(version, (Entry(key, value) for key, value in values.items()))
        if topic.digest != digest:
            detail = f"{topic_name!r} has another digest than it should have"
            raise JournalError(name, detail)
        topics[topic_name] = topic
    return topics


def replay(
    start: RecoveredState, persisted: Iterable[Persist], name: str = "journal"
) -> RecoveredState:
    """Apply all persisted records to the state of a snapshot, and return the result.

    Args:
        start: the state of the snapshot.
        persisted: the records since then, in order.
        name: the journal's file name, for errors.

    Raises:
        JournalError: a record does not continue the state before it.
    """
    state = _Replay(start, name)
    for number, record in enumerate(persisted, 1):
        state.apply(record, number)
    return state.result()


class _Replay:
    """The log while it is reconstructed from records."""

    def __init__(self, start: RecoveredState, name: str) -> None:
        self.start = start
        self.name = name
        self.term, self.voted_for = start.term, start.voted_for
        self.commit_index = start.commit_index
        self.changes = list(start.changes)

    @property
    def last_index(self) -> int:
        return self.start.snapshot_index + len(self.changes)

    def apply(self, persist: Persist, number: int) -> None:
        """Apply one record; its number is used in errors."""
        if persist.changes:
            self._replace_tail(persist, number)
        last_index = self.last_index
        if persist.term < self.term or not self.commit_index <= persist.commit_index <= last_index:
            detail = (
                f"record {number} goes back, from term {self.term} "
                f"and place {self.commit_index} to term {persist.term} "
                f"and place {persist.commit_index} of {last_index}"
            )
            raise JournalError(self.name, detail)
        self.term, self.voted_for = persist.term, persist.voted_for
        self.commit_index = persist.commit_index

    def _replace_tail(self, persist: Persist, number: int) -> None:
        if not self.commit_index <= persist.after_index <= self.last_index:
            detail = (
                f"record {number} is put behind {persist.after_index}, "
                f"of {self.commit_index} to {self.last_index}"
            )
            raise JournalError(self.name, detail)
        del self.changes[persist.after_index - self.start.snapshot_index :]
        for change in persist.changes:
            if change.index != self.last_index + 1:
                detail = f"record {number} has a gap before place {change.index}"
                raise JournalError(self.name, detail)
            self.changes.append(change)

    def result(self) -> RecoveredState:
        """Return the state after all records."""
        start = self.start
        return RecoveredState(
            self.term,
            self.voted_for,
            self.commit_index,
            start.snapshot_index,
            start.snapshot_term,
            start.topics,
            tuple(self.changes),
        )
