"""Admission of proposals, considering the uncommitted changes in the log."""

from __future__ import annotations

import pytest

from badgercart.distribution.errors import ProposalRejectedError
from badgercart.distribution.messages import ANY_VERSION, Change, Entry, Propose
from badgercart.distribution.proposals import PendingProposal, Proposals
from badgercart.distribution.replica_config import ReplicaLimits
from badgercart.distribution.topic import Topic, TopicTable


def proposals(limits: ReplicaLimits | None = None) -> Proposals:
    """Return proposals on topics with `t` at version 3."""
    return Proposals(TopicTable({"t": Topic(3, [Entry("k", b"1")])}), limits or ReplicaLimits())


def propose(topic: str, key: str, value: bytes | None, expected: int = ANY_VERSION) -> Propose:
    return Propose(1, topic, (Entry(key, value),), expected)


def test_expected_versions_count_changes_that_are_not_committed() -> None:
    pending = proposals()
    pending.check(propose("t", "k", b"2", 3))
    pending.uncommitted.add(Change(1, 10, "t", (Entry("k", b"2"),)))
    pending.check(propose("t", "k", b"3", 4))
    with pytest.raises(ProposalRejectedError, match="number 3 was expected, it is 4") as caught:
        pending.check(propose("t", "k", b"3", 3))
    assert caught.value.kind == "conflict"


def test_a_proposal_of_current_or_future_values_is_a_no_op() -> None:
    pending = proposals()
    assert pending.is_no_op(propose("t", "k", b"1"))
    change = Change(1, 10, "t", (Entry("k", None), Entry("l", b"2")))
    pending.uncommitted.add(change)
    assert pending.is_no_op(propose("t", "k", None))
    assert pending.is_no_op(propose("t", "l", b"2"))
    assert not pending.is_no_op(propose("t", "k", b"1"))
    pending.uncommitted.remove(change)
    assert pending.uncommitted.projected == {} and pending.uncommitted.byte_count == 0


def test_the_limit_of_topics_includes_uncommitted_ones() -> None:
    pending = proposals(ReplicaLimits(max_topics=2))
    pending.check(propose("u", "k", b"1"))
    pending.uncommitted.add(Change(1, 10, "u", (Entry("k", b"1"),)))
    pending.check(propose("u", "l", b"1"))
    with pytest.raises(ProposalRejectedError, match="there are 2 topics, the most"):
        pending.check(propose("v", "k", b"1"))


def test_pending_proposals_are_removed_by_index_or_all_at_once() -> None:
    pending = proposals()
    first, second, third = (PendingProposal(1, number, "t") for number in (1, 2, 3))
    pending.add_pending(10, first)
    pending.add_pending(10, second)
    pending.add_pending(11, third)
    assert pending.take_decided(10) == [first, second] and pending.count == 1
    assert pending.take_decided(10) == []
    assert pending.take_all() == [third] and pending.count == 0 and not pending.by_index
