"""The replicated log: terms, batches, commits, compaction, snapshots."""

from __future__ import annotations

import pytest

from badgercart.distribution.raft.log import RaftLog
from tests.distribution.raft.support import change


def log_of(terms: list[int], compacted_index: int = 0, max_changes: int = 4096) -> RaftLog:
    """Return a log with one change of each given term after an index."""
    log = RaftLog(compacted_index, 1, max_changes, 1 << 20)
    log.replace_tail(
        compacted_index,
        tuple(change(index, term) for index, term in enumerate(terms, compacted_index + 1)),
    )
    return log


def test_terms_are_found_by_index_after_a_compacted_prefix() -> None:
    log = log_of([2, 2, 3], compacted_index=10)
    assert (log.last_index, log.last_term) == (13, 3)
    assert [log.term_at(index) for index in (10, 11, 12, 13)] == [1, 2, 2, 3]
    assert log.matches(12, 2) and not log.matches(12, 3) and not log.matches(14, 3)


def test_replacing_the_tail_drops_all_changes_after_the_index() -> None:
    log = log_of([1, 1, 1, 1])
    log.replace_tail(2, (change(3, 2),))
    assert [entry.term for entry in log.changes] == [1, 1, 2]
    assert log.uncommitted() == log.changes


def test_a_batch_fits_a_frame_and_has_at_least_one_change() -> None:
    log = log_of([])
    log.replace_tail(0, tuple(change(index, size_bytes=200_000) for index in range(1, 6)))
    assert [entry.index for entry in log.batch_after(0)] == [1, 2]
    assert [entry.index for entry in log.batch_after(4)] == [5]
    assert log.batch_after(5) == ()
    log.replace_tail(0, (change(1, size_bytes=600_000),))
    assert len(log.batch_after(0)) == 1


def test_changes_are_committed_one_by_one_and_compacted_in_bulk() -> None:
    log = log_of([1] * 20, max_changes=4)
    for index in range(1, 9):
        assert log.commit_next().index == index
        log.compact()
        assert log.compacted_index == 0
    log.commit_next()
    log.compact()
    assert (log.compacted_index, log.compacted_term, log.commit_index) == (5, 1, 9)
    assert log.changes[0].index == 6 and log.last_index == 20
    assert log.committed_bytes == 4 * (1 + 1 + 16)


@pytest.mark.parametrize(("term", "kept"), [(2, [4, 5]), (3, [])])
def test_a_snapshot_keeps_later_changes_only_if_the_log_matches_it(
    term: int, kept: list[int]
) -> None:
    log = log_of([2, 2, 2, 2, 2])
    log.install_snapshot(3, term)
    assert [entry.index for entry in log.changes] == kept
    assert (log.commit_index, log.term_at(3), log.committed_bytes) == (3, term, 0)
