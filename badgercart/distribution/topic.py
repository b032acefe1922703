"""A topic: its entries, its version, and a digest of its entries.

The digest is the sum, modulo 2**64, of a hash of each key with its value. It depends only on the
entries, not on their order, and a change updates it without reading the other entries. The digest
detects faults but is no protection against forgery; the keyed hash of each frame is.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator

from badgercart.distribution.messages import MAX_ENTRIES, MAX_FRAME_BYTES, Change, Entry

DIGEST_MASK = (1 << 64) - 1
# The limit of keys and values in one part of a snapshot. The rest of a frame is left for framing.
MAX_PART_BYTES = MAX_FRAME_BYTES // 2
# Upper bound for the encoding of one entry, without its key and value.
ENTRY_FRAMING_BYTES = 16


def entry_digest(key: str, value: bytes) -> int:
    """Return a 64-bit hash of a key with its value."""
    key_bytes = key.encode()
    data = len(key_bytes).to_bytes(4) + key_bytes + value
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


def framed_size(entries: Iterable[Entry]) -> int:
    """Return an upper bound for the size of entries in a frame, in bytes."""
    return sum(
        len(entry.key.encode()) + len(entry.value or b"") + ENTRY_FRAMING_BYTES for entry in entries
    )


class Topic:
    """Entries by key, as of one version. Callers limit the number and size of the entries."""

    __slots__ = ("digest", "entries", "version")

    def __init__(self, version: int = 0, entries: Iterable[Entry] = ()) -> None:
        self.version, self.digest = version, 0
        self.entries: dict[str, bytes] = {}
        self.put(entries)

    def put(self, entries: Iterable[Entry]) -> None:
        """Set or remove entries without changing the version."""
        for entry in entries:
            replaced = self.entries.pop(entry.key, None)
            if replaced is not None:
                self.digest = (self.digest - entry_digest(entry.key, replaced)) & DIGEST_MASK
            if entry.value is not None:
                self.entries[entry.key] = entry.value
                self.digest = (self.digest + entry_digest(entry.key, entry.value)) & DIGEST_MASK

    def apply(self, entries: Iterable[Entry]) -> None:
        """Set or remove entries and increment the version."""
        self.put(entries)
        self.version += 1

    def digest_with(self, entries: Iterable[Entry]) -> int:
        """Return the digest after a change with these entries. The last value of a key counts."""
        digest = self.digest
        for key, value in {entry.key: entry.value for entry in entries}.items():
            replaced = self.entries.get(key)
            if replaced is not None:
                digest -= entry_digest(key, replaced)
            if value is not None:
                digest += entry_digest(key, value)
        return digest & DIGEST_MASK

    def parts(self) -> Iterator[tuple[Entry, ...]]:
        """Yield all entries in parts that fit a frame; one empty part if there are no entries."""
        part: list[Entry] = []
        part_bytes = 0
        for key, value in self.entries.items():
            entry_bytes = len(key.encode()) + len(value) + ENTRY_FRAMING_BYTES
            is_full = part_bytes + entry_bytes > MAX_PART_BYTES or len(part) >= MAX_ENTRIES
            if part and is_full:
                yield tuple(part)
                part, part_bytes = [], 0
            part.append(Entry(key, value))
            part_bytes += entry_bytes
        if part or not self.entries:
            yield tuple(part)


class TopicTable:
    """All topics by name, and the total number of their entries."""

    __slots__ = ("by_name", "entry_count")

    def __init__(self, topics: dict[str, Topic]) -> None:
        self.replace(topics)

    def replace(self, topics: dict[str, Topic]) -> None:
        """Replace all topics."""
        self.by_name = topics
        self.entry_count = sum(len(topic.entries) for topic in topics.values())

    def apply(self, change: Change) -> Topic:
        """Apply a change to its topic, which is created if missing, and return the topic."""
        topic = self.by_name.get(change.topic)
        if topic is None:
            topic = self.by_name[change.topic] = Topic()
        count_before = len(topic.entries)
        topic.apply(change.entries)
        self.entry_count += len(topic.entries) - count_before
        return topic

    def version(self, name: str) -> int:
        """Return the version of a topic; 0 if it doesn't exist."""
        topic = self.by_name.get(name)
        return 0 if topic is None else topic.version
