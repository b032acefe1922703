"""Gossip registers: the latest value of each author on each topic, on every node. No I/O.

Each update has a version that only grows, and the highest version wins: updates merge to the same
registers in any order. The membership protocol replicates the values of other subsystems without
interpreting them.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

MAX_REGISTERS = 16_384
# A value of this size fits into a datagram together with the header and some records.
MAX_VALUE_BYTES = 512
MAX_VERSION = (1 << 63) - 1


class RegisterUpdate(NamedTuple):
    """A new value of one register. The order of the fields is the wire format."""

    topic: str
    author: str
    version: int
    value: bytes


class GossipRegisters:
    """The latest updates by topic and author.

    Attributes:
        updates: the update in force by topic and author.
        topics: the declared topics.
        urgent: topics whose updates are forwarded immediately.
        direct: topics whose updates are for the recipient only.
        rejected: updates that were invalid or beyond the maximum number of registers.
    """

    def __init__(self, max_registers: int = MAX_REGISTERS) -> None:
        self.updates: dict[tuple[str, str], RegisterUpdate] = {}
        self.topics: set[str] = set()
        self.urgent: set[str] = set()
        self.direct: set[str] = set()
        self.max_registers = max_registers
        self.rejected = 0

    def declare(self, topic: str, urgent: bool = False, direct: bool = False) -> None:
        """Accept updates on a topic.

        Updates on other topics are rejected, since nodes of another version may use other topics.

        Args:
            topic: the name of the topic.
            urgent: whether updates are forwarded immediately instead of in the next gossip round.
            direct: whether updates are for the recipient only, and not forwarded.
        """
        self.topics.add(topic)
        if urgent:
            self.urgent.add(topic)
        if direct:
            self.direct.add(topic)

    def merge(self, update: RegisterUpdate) -> bool:
        """Merge an update; return whether it is new."""
        if not self._is_valid(update):
            self.rejected += 1
            return False
        key = update.topic, update.author
        before = self.updates.get(key)
        if before is not None and before[2:] >= update[2:]:
            return False
        if before is None and len(self.updates) >= self.max_registers:
            self.rejected += 1
            return False
        self.updates[key] = update
        return True

    def _is_valid(self, update: RegisterUpdate) -> bool:
        return (
            update.topic in self.topics
            and len(update.value) <= MAX_VALUE_BYTES
            and 0 <= update.version <= MAX_VERSION
        )

    def remove_authors(self, authors: Iterable[str]) -> None:
        """Remove all registers of these authors."""
        removed = set(authors)
        for key in [key for key in self.updates if key[1] in removed]:
            del self.updates[key]
