"""Gossip registers: the latest value of each author on each topic, carried to every node. No I/O.

An update has a version that only grows; the higher one wins, so that updates merge in any order to
the same registers. Membership carries the updates of other subsystems and reads none of them.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

MAX_REGISTERS = 16_384
MAX_VALUE_BYTES = 512  # fits a datagram beside its header and some records
MAX_VERSION = (1 << 63) - 1


class RegisterUpdate(NamedTuple):
    """A new value of one register. The order of the fields is the wire format."""

    topic: str
    author: str
    version: int
    value: bytes


class GossipRegisters:
    """The latest updates by topic and author."""

    def __init__(self, max_registers: int = MAX_REGISTERS) -> None:
        self.updates: dict[tuple[str, str], RegisterUpdate] = {}
        self.topics: set[str] = set()
        self.urgent: set[str] = set()  # topics that are passed on as they come
        self.direct: set[str] = set()  # topics that are for the recipient alone
        self.max_registers = max_registers
        self.rejected = 0

    def declare(self, topic: str, urgent: bool = False, direct: bool = False) -> None:
        """Have a topic carried. Others are not, since nodes' versions may differ in their topics.

        Args:
            topic: its name.
            urgent: whether updates are passed on at once instead of with the next round of gossip.
            direct: whether updates are for the node that they are sent to alone.
        """
        self.topics.add(topic)
        if urgent:
            self.urgent.add(topic)
        if direct:
            self.direct.add(topic)

    def merge(self, update: RegisterUpdate) -> bool:
        """Take over an update; return whether it is new."""
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
        """Forget all registers of these authors."""
        removed = set(authors)
        for key in [key for key in self.updates if key[1] in removed]:
            del self.updates[key]
