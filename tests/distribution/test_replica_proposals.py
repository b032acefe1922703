"""The responses of a replica to proposals, and the limits of pending proposals."""

from __future__ import annotations

from badgercart.distribution.messages import (
    MAX_ENTRIES,
    Entry,
    ProposeResponse,
)
from badgercart.distribution.proposals import MAX_CHANGE_BYTES
from badgercart.distribution.replica_config import ReplicaLimits
from badgercart.distribution.topic import framed_size
from tests.distribution.simulation import Group
from tests.distribution.support import (
    propose,
    response_in,
    single_replica,
)


def test_a_proposal_with_another_expected_version_is_a_conflict() -> None:
    replica = single_replica()
    assert response_in(propose(replica, "t", ("k", b"1"), expected=0)).version == 1
    rejected = response_in(propose(replica, "t", ("k", b"2"), expected=0))
    assert (rejected.error, rejected.version) == ("conflict", 1)
    assert replica.topics["t"].entries == {"k": b"1"}
    assert response_in(propose(replica, "t", ("k", b"2"), expected=1)).version == 2


def test_a_proposal_that_changes_nothing_is_answered_with_the_current_version() -> None:
    replica = single_replica()
    propose(replica, "t", ("k", b"1"), ("l", b"2"))
    last_index = replica.raft.state.log.last_index
    for no_op in ((("k", b"1"),), (("m", None),), (), (("k", b"7"), ("k", b"1"))):
        assert response_in(propose(replica, "t", *no_op)) == ProposeResponse(5, 1, "", "")
    assert response_in(propose(replica, "none", ("k", None))) == ProposeResponse(5, 0, "", "")
    assert replica.raft.state.log.last_index == last_index and "none" not in replica.topics


def test_pending_proposals_count_for_the_next_one() -> None:
    group = Group(3)
    assert group.run(5000.0, lambda: bool(group.leader()))
    leader, operator = group.leader(), group.operator
    group.run(500.0)
    one = operator.propose(leader, "t", [Entry("k", b"1")], 0)
    two = operator.propose(leader, "t", [Entry("k", b"2")], 0)
    three = operator.propose(leader, "t", [Entry("k", b"3")], 1)
    no_op = operator.propose(leader, "t", [Entry("k", b"3")])
    group.run(500.0)
    responses = operator.responses
    assert (responses[one].error, responses[one].version) == ("", 1)
    assert responses[two].error == "conflict"
    assert (responses[three].error, responses[three].version) == ("", 2)
    assert (responses[no_op].error, responses[no_op].version) == (
        "",
        2,
    ), "the response comes once the value is committed, not before"


def test_an_oversized_change_is_refused_and_the_largest_fits_all_messages() -> None:
    group = Group(3)
    assert group.run(5000.0, lambda: bool(group.leader()))
    group.run(500.0)
    full_entries = [Entry(f"key {number:02}", bytes(65_000)) for number in range(16)]
    bytes_left = MAX_CHANGE_BYTES - framed_size(full_entries) - len("last") - 16
    largest = [*full_entries, Entry("last", bytes(bytes_left))]
    assert framed_size(largest) == MAX_CHANGE_BYTES
    fitting_request = group.operator.propose(group.leader(), "t" * 200, largest)
    oversized_request = group.operator.propose(
        group.leader(), "t", [*full_entries, Entry("last", bytes(bytes_left + 1))]
    )
    group.run(1000.0)
    assert group.operator.responses[fitting_request].error == ""
    assert group.operator.responses[oversized_request].error == "oversized"
    assert all(group.replica(name).publisher.topics.version("t" * 200) == 1 for name in group.names)
    replica = single_replica()
    assert (
        response_in(propose(replica, "t", *((f"{n}", b"") for n in range(MAX_ENTRIES + 1)))).error
        == "oversized"
    )


def test_pending_proposals_are_bounded_by_count_and_bytes() -> None:
    for limits in (
        ReplicaLimits(max_pending_proposals=3),
        ReplicaLimits(max_pending_bytes=3 * 120),
    ):
        group = Group(3, limits=limits)
        assert group.run(5000.0, lambda group=group: bool(group.leader()))  # type: ignore[misc]
        group.run(500.0)
        leader = group.leader()
        for name in group.names:
            if name != leader:
                group.pause(name)
        request_ids = [
            group.operator.propose(leader, "t", [Entry(f"k{n}", bytes(100))]) for n in range(5)
        ]
        group.run(100.0)
        assert [
            request_id for request_id in request_ids if request_id in group.operator.responses
        ] == request_ids[3:]
        assert {group.operator.responses[request_id].error for request_id in request_ids[3:]} == {
            "too-many"
        }
        replica = group.replica(leader)
        assert (
            replica.proposals.count == 3 and sum(map(len, replica.proposals.by_index.values())) == 3
        )
        for name in group.names:
            group.wake(name)
        group.run(300.0)
        assert [group.operator.responses[request_id].error for request_id in request_ids[:3]] == [
            "",
            "",
            "",
        ]
        assert (
            replica.proposals.count,
            replica.proposals.uncommitted.byte_count,
            replica.proposals.uncommitted.entry_count,
        ) == (0, 0, 0)
        assert not replica.proposals.by_index and not replica.proposals.uncommitted.projected


def test_topics_and_entries_are_bounded() -> None:
    replica = single_replica(ReplicaLimits(max_topics=2, max_entries=5))
    propose(replica, "a", ("k", b"1"))
    propose(replica, "b", ("k", b"1"), ("l", b"1"))
    assert response_in(propose(replica, "c", ("k", b"1"))).error == "too-many"
    assert response_in(propose(replica, "a", ("l", b"1"), ("m", b"1"))).error == ""
    assert response_in(propose(replica, "a", ("n", b"1"))).error == "too-many"
    assert (
        response_in(propose(replica, "a", ("l", None))).error == "too-many"
    ), "a removed entry is counted like a new one"
    assert sorted(replica.topics) == ["a", "b"] and replica.publisher.topics.entry_count == 5
