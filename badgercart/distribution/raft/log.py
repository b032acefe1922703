"""The replicated log in memory: the changes after a compacted prefix, and the commit index."""

from __future__ import annotations

from badgercart.distribution.messages import MAX_ENTRIES, Change
from badgercart.distribution.topic import MAX_PART_BYTES, framed_size

# Upper bound for the encoding of one change or topic, without its name and entries.
CHANGE_FRAMING_BYTES = 64


class RaftLog:
    """Changes in the order of their log indices, which start at 1.

    Changes up to `compacted_index` are no longer stored. Changes up to `commit_index` are committed
    and are never replaced.

    Attributes:
        changes: the stored changes, from `compacted_index` + 1 on.
        commit_index: the log index of the newest committed change.
        committed_bytes: the size of the committed changes that are still stored.
        compacted_index: the log index of the newest change that is no longer stored.
        compacted_term: the term of the change at `compacted_index`.
        max_bytes: the size of the committed changes that a compaction keeps.
        max_changes: the number of committed changes that a compaction keeps.
    """

    __slots__ = (
        "changes",
        "commit_index",
        "committed_bytes",
        "compacted_index",
        "compacted_term",
        "max_bytes",
        "max_changes",
    )

    def __init__(
        self, compacted_index: int, compacted_term: int, max_changes: int, max_bytes: int
    ) -> None:
        """Create an empty log.

        Args:
            compacted_index: the log index after which the log begins.
            compacted_term: the term of the change at that index.
            max_changes: how many committed changes are kept for replicas that lag behind.
            max_bytes: the same limit in bytes of entries.
        """
        self.compacted_index = compacted_index
        self.compacted_term = compacted_term
        self.changes: list[Change] = []
        self.commit_index = compacted_index
        self.committed_bytes = 0
        self.max_changes = max_changes
        self.max_bytes = max_bytes

    @property
    def last_index(self) -> int:
        """The log index of the newest change."""
        return self.compacted_index + len(self.changes)

    @property
    def last_term(self) -> int:
        """The term of the newest change."""
        return self.term_at(self.last_index)

    def term_at(self, index: int) -> int:
        """Return the term of a stored change, or of the last one that was compacted."""
        if index == self.compacted_index:
            return self.compacted_term
        return self.changes[index - self.compacted_index - 1].term

    def matches(self, index: int, term: int) -> bool:
        """Return whether the log has a change of that term at that index."""
        return index <= self.last_index and self.term_at(index) == term

    def replace_tail(self, after_index: int, changes: tuple[Change, ...]) -> None:
        """Replace all changes after an index with these."""
        del self.changes[after_index - self.compacted_index :]
        self.changes += changes

    def uncommitted(self) -> list[Change]:
        """Return the changes that are not committed and may still be replaced."""
        return self.changes[self.commit_index - self.compacted_index :]

    def batch_after(self, index: int) -> tuple[Change, ...]:
        """Return the changes after an index: as many as fit one frame, but at least one."""
        start = index - self.compacted_index
        batch: list[Change] = []
        bytes_left = MAX_PART_BYTES
        for change in self.changes[start : start + MAX_ENTRIES]:
            bytes_left -= framed_size(change.entries)
            bytes_left -= len(change.topic.encode()) + CHANGE_FRAMING_BYTES
            if batch and bytes_left < 0:
                break
            batch.append(change)
        return tuple(batch)

    def commit_next(self) -> Change:
        """Commit the next change and return it."""
        change = self.changes[self.commit_index - self.compacted_index]
        self.commit_index += 1
        self.committed_bytes += framed_size(change.entries)
        return change

    def compact(self) -> None:
        """Drop old committed changes once twice as many are stored as should be kept.

        Dropping them in bulk spreads the cost of moving the list over many commits.
        """
        committed_count = self.commit_index - self.compacted_index
        if committed_count <= 2 * self.max_changes and self.committed_bytes <= 2 * self.max_bytes:
            return
        dropped_count = 0
        while (
            committed_count - dropped_count > self.max_changes
            or self.committed_bytes > self.max_bytes
        ):
            self.committed_bytes -= framed_size(self.changes[dropped_count].entries)
            dropped_count += 1
        self.compacted_term = self.changes[dropped_count - 1].term
        self.compacted_index += dropped_count
        del self.changes[:dropped_count]

    def install_snapshot(self, index: int, term: int) -> None:
        """Start the log after a snapshot, and keep the changes after it if the log matches it."""
        tail: list[Change] = []
        if self.matches(index, term):
            tail = self.changes[index - self.compacted_index :]
        self.compacted_index, self.compacted_term = index, term
        self.changes, self.committed_bytes = tail, 0
        self.commit_index = index
