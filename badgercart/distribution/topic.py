"""One topic: its entries, the number of its last change, and a digest that costs no look at all of
them.

The digest is the sum, modulo 2**64, of a hash of each key with its value: the same at all who have
the same, by whatever way they came to it. The group's keyed hash on each frame keeps strangers out;
the digest finds mistakes.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator

from badgercart.distribution.messages import MAX_ENTRIES, MAX_FRAME, Entry

MASK = (1 << 64) - 1
PART = (
    MAX_FRAME // 2
)  # bytes of keys and values in one part of a whole topic, which leaves room for its framing
EACH = 16  # bytes of framing that one entry takes at most, its lengths included


def fingerprint(key: str, value: bytes) -> int:
    """64 bits of a key with its value."""
    word = key.encode()
    told = hashlib.blake2b(len(word).to_bytes(4) + word + value, digest_size=8).digest()
    return int.from_bytes(told)


class Topic:
    """Entries by key, as of one number. It grows by its entries alone: who keeps many bounds
    them."""

    __slots__ = ("digest", "entries", "number")

    def __init__(self, number: int = 0, entries: Iterable[Entry] = ()) -> None:
        self.number, self.digest = number, 0
        self.entries: dict[str, bytes] = {}
        self.put(entries)

    def put(self, entries: Iterable[Entry]) -> None:
        for entry in entries:
            if (old := self.entries.pop(entry.key, None)) is not None:
                self.digest = (self.digest - fingerprint(entry.key, old)) & MASK
            if entry.value is not None:
                self.entries[entry.key] = entry.value
                self.digest = (self.digest + fingerprint(entry.key, entry.value)) & MASK

    def change(self, entries: Iterable[Entry]) -> None:
        """The next number, with these."""
        self.put(entries)
        self.number += 1

    def digest_with(self, entries: Iterable[Entry]) -> int:
        """What the digest would be. A key may come twice: its last value counts."""
        digest, new = self.digest, {entry.key: entry.value for entry in entries}
        for key, value in new.items():
            if (old := self.entries.get(key)) is not None:
                digest -= fingerprint(key, old)
            if value is not None:
                digest += fingerprint(key, value)
        return digest & MASK

    def parts(self) -> Iterator[tuple[Entry, ...]]:
        """All entries, in pieces that fit a frame; one, empty, where there are none."""
        part: list[Entry] = []
        size, told = 0, False
        for key, value in self.entries.items():
            more = len(key.encode()) + len(value) + EACH
            if part and (size + more > PART or len(part) >= MAX_ENTRIES):
                yield tuple(part)
                part, size, told = [], 0, True
            part.append(Entry(key, value))
            size += more
        if part or not told:
            yield tuple(part)
