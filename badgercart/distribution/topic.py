"""A topic: its entries, the version that its last change gave it, and a digest of its entries.

The digest is the sum, modulo 2**64, of a hash of each key with its value. It is the same for the
same entries, in whatever order they came, and costs a change no look at the others. It finds
mistakes; it keeps nobody out, which the keyed hash of each frame does.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator

from badgercart.distribution.messages import MAX_ENTRIES, MAX_FRAME_BYTES, Change, Entry

DIGEST_MASK = (1 << 64) - 1
# Keys and values in one part of a snapshot, which leaves room for its framing.
MAX_PART_BYTES = MAX_FRAME_BYTES // 2
ENTRY_FRAMING_BYTES = 16  # of one entry, its lengths included, at most


def entry_digest(key: str, value: bytes) -> int:
    """Return 64 bits of hash of a key with its value."""
    key_bytes = key.encode()
    data = len(key_bytes).to_bytes(4) + key_bytes + value
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


def framed_size(entries: Iterable[Entry]) -> int:
    """Return how many bytes entries take in a frame, at most."""
    return sum(
        len(entry.key.encode()) + len(entry.value or b"") + ENTRY_FRAMING_BYTES for entry in entries
    )


class Topic:
    """Entries by key, as of one version. Whoever keeps topics bounds their entries."""

    __slots__ = ("digest", "entries", "version")

    def __init__(self, version: int = 0, entries: Iterable[Entry] = ()) -> None:
        self.version, self.digest = version, 0
        self.entries: dict[str, bytes] = {}
        self.put(entries)

    def put(self, entries: Iterable[Entry]) -> None:
        """Set or remove entries without a new version."""
        for entry in entries:
            replaced = self.entries.pop(entry.key, None)
            if replaced is not None:
                self.digest = (self.digest - entry_digest(entry.key, replaced)) & DIGEST_MASK
            if entry.value is not None:
                self.entries[entry.key] = entry.value
                self.digest = (self.digest + entry_digest(entry.key, entry.value)) & DIGEST_MASK

    def apply(self, entries: Iterable[Entry]) -> None:
        """Set or remove entries, which makes the next version."""
        self.put(entries)
        self.version += 1

    def digest_with(self, entries: Iterable[Entry]) -> int:
        """Return the digest that these entries would give. The last value of a key counts."""
        digest = self.digest
        for key, value in {entry.key: entry.value for entry in entries}.items():
            replaced = self.entries.get(key)
            if replaced is not None:
                digest -= entry_digest(key, replaced)
            if value is not None:
                digest += entry_digest(key, value)
        return digest & DIGEST_MASK

    def parts(self) -> Iterator[tuple[Entry, ...]]:
        """Yield all entries in parts that fit a frame; one empty part where there are none."""
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
    """All topics by name, with the number of their entries."""

    __slots__ = ("by_name", "entry_count")

    def __init__(self, topics: dict[str, Topic]) -> None:
        self.replace(topics)

    def replace(self, topics: dict[str, Topic]) -> None:
        """Hold these topics in place of all others."""
        self.by_name = topics
        self.entry_count = sum(len(topic.entries) for topic in topics.values())

    def apply(self, change: Change) -> Topic:
        """Apply a change to its topic, which is made if need be, and return that."""
        topic = self.by_name.get(change.topic)
        if topic is None:
            topic = self.by_name[change.topic] = Topic()
        count_before = len(topic.entries)
        topic.apply(change.entries)
        self.entry_count += len(topic.entries) - count_before
        return topic

    def version(self, name: str) -> int:
        """Return the version of a topic; 0 where there is none."""
        topic = self.by_name.get(name)
        return 0 if topic is None else topic.version
