"""Proposals before they are committed: what is admitted by what the log holds already."""

from __future__ import annotations

import pytest

from badgercart.distribution.errors import ProposalRejectedError
from badgercart.distribution.messages import ANY_VERSION, Change, Entry, Propose
from badgercart.distribution.proposals import PendingProposal, Proposals
from badgercart.distribution.replica_config import ReplicaLimits
from badgercart.distribution.topic import Topic, TopicTable


def proposals(limits: ReplicaLimits | None = None) -> Proposals:
    """With topic `t` at version 3."""
    return Proposals(TopicTable({"t": Topic(3, [Entry("k", b"1")])}), limits or ReplicaLimits())


def propose(topic: str, key: str, value: bytes | None, expected: int = ANY_VERSION) -> Propose:
    return Propose(1, topic, (Entry(key, value),), expected)


def test_expected_versions_count_changes_that_are_not_committed() -> None:
    made = proposals()
    made.check(propose("t", "k", b"2", 3))
    made.uncommitted.add(Change(1, 10, "t", (Entry("k", b"2"),)))
    made.check(propose("t", "k", b"3", 4))
    with pytest.raises(ProposalRejectedError, match="number 3 was expected, it is 4") as caught:
        made.check(propose("t", "k", b"3", 3))
    assert caught.value.kind == "conflict"


def test_values_that_are_there_or_will_be_change_nothing() -> None:
    made = proposals()
    assert made.is_no_op(propose("t", "k", b"1"))
    change = Change(1, 10, "t", (Entry("k", None), Entry("l", b"2")))
    made.uncommitted.add(change)
    assert made.is_no_op(propose("t", "k", None))
    assert made.is_no_op(propose("t", "l", b"2"))
    assert not made.is_no_op(propose("t", "k", b"1"))
    made.uncommitted.remove(change)
    assert made.uncommitted.projected == {} and made.uncommitted.byte_count == 0


def test_new_topics_are_bounded_with_those_under_way() -> None:
    made = proposals(ReplicaLimits(max_topics=2))
    made.check(propose("u", "k", b"1"))
    made.uncommitted.add(Change(1, 10, "u", (Entry("k", b"1"),)))
    made.check(propose("u", "l", b"1"))
    with pytest.raises(ProposalRejectedError, match="there are 2 topics, the most"):
        made.check(propose("v", "k", b"1"))


def test_pending_proposals_are_taken_by_index_or_all_at_once() -> None:
    made = proposals()
    first, second, third = (PendingProposal(1, number, "t") for number in (1, 2, 3))
    made.add_pending(10, first)
    made.add_pending(10, second)
    made.add_pending(11, third)
    assert made.take_decided(10) == [first, second] and made.count == 1
    assert made.take_decided(10) == []
    assert made.take_all() == [third] and made.count == 0 and not made.by_index
